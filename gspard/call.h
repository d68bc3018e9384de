/* A caller's request, as the door and the router share it. */
#ifndef CALL_H
#define CALL_H

#include <microhttpd.h>

#include "callers.h"
#include "delivery.h"
#include "gspard.h"
#include "site.h"

#define KEY_MAX_GS 512
#define REST_MAX 1024

struct answer {
	int code;    /* result code, GS_X */
	int outcome; /* OUT_X */
	uint32_t retry_ms;
	int status; /* HTTP status of the target's answer */
	struct str type;
	struct str body;
	struct str headers; /* of the target, to pass on; lines end in CRLF */
	char target[NAME_MAX_GS];
	uint64_t fence;
};

struct intake;
struct call {
	/* The members up to claim belong to intake.c. */
	struct call *next;
	struct call **link;
	struct intake *intake;
	usec since;	    /* when its first line was read */
	usec read_deadline; /* the request must be complete by then, unless
			       more of it arrives */
	usec answered_at;   /* when its answer was complete; 0: not yet */
	int ends;	    /* it was given up, and its connection is closed
			       once the caller has the answer */
	struct delivery delivery; /* ... of that answer */
	size_t held;		  /* bytes of memory that it takes */
	int yields;		  /* it may be given up for others */
	int claim;		  /* who answers the call */
	struct MHD_Connection *conn;
	int fd;
	enum caller_end ended; /* the connection, by this host */
	char *uri;
	int head_parsed; /* the head has been parsed */
	int refusal;	 /* result code from parsing the head */
	int too_large;
	int submitted;
	int answered;
	size_t body_max;
	size_t body_length; /* stated in the head; 0 if it is not */
	size_t body_read;   /* bytes of the body that have arrived */
	size_t body_size;   /* of the allocation of body */
	char method[16];
	char service[NAME_MAX_GS];
	char key[KEY_MAX_GS + 1];
	char rest[REST_MAX + 1];
	char idkey[128];
	char caller[128];
	char type[128];
	struct str body;
	int ticket;  /* the caller requests a ticket */
	int left_ms; /* time until its deadline */
	/* The members below are used only with the platform's interface
	 * FORM_OBJECTS. */
	struct shared *site; /* the configuration that owns the rule */
	const struct rule *rule;
	struct str headers; /* forwarded to the target; lines end in CRLF */
	char id[128];	    /* request id given by the caller */
	int key_number; /* shard key, used if the service is keyed; -1: none */
	struct answer answer;
};

/* door.c */
/* Ends a call; the router must not use it afterwards. */
void call_end(struct call *);
int call_abandoned(const struct call *);
int door_inflight(void);
int door_make_room(struct kernel *, usec now);
int door_connections(struct kernel *);
void door_close_listener(struct kernel *);
void door_close_idle(struct kernel *);
void door_refuse_calls(struct kernel *);

#endif
