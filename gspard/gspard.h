/* Common declarations: the kernel, its services and their messages. */
#ifndef GSPARD_H
#define GSPARD_H

#include <stdint.h>

#include "clock.h"
#include "conf.h"
#include "count.h"
#include "entry.h"
#include "event.h"
#include "frame.h"
#include "log.h"
#include "result.h"
#include "ring.h"
#include "str.h"

/* Suggested retry delay if no better one is known, in milliseconds. */
#define RETRY_DEFAULT_MS 1000

enum msg_kind {
	MSG_NONE,
	MSG_CALL,	    /* door to router: a caller's request */
	MSG_FRAME,	    /* peer to any: a frame was received */
	MSG_SEND,	    /* any to peer: send a frame */
	MSG_PEER_DOWN,	    /* peer to all: a connection was lost */
	MSG_REQUEST_UNSENT, /* peer to router: a request was not sent */
	MSG_PEERS,	    /* control to peer: the hosts and their addresses */
	MSG_STORE_CALL,	    /* any to platform: a store call */
	MSG_STORE_DONE,	    /* platform to any: its outcome */
	MSG_CATALOGUE,	    /* control to all: current catalogue entries */
	MSG_VIEW,	    /* control to router and dispatch: a view */
	MSG_LEASE,	    /* control to dispatch: lease and duties */
	MSG_REPORT,	    /* dispatch to control: targets it holds */
	MSG_QUERY,	    /* admin to control: a query */
	MSG_READY,	    /* router to door: callers can be served */
	MSG_SITE,	    /* watch to all: current routes and services */
	MSG_FLEET,	    /* watch to router and control: the targets */
	MSG_OWNERS,	    /* control to router: owners of keys */
	MSG_HOST_COUNT,	    /* control to router: hosts that share limits */
	MSG_ROUTER_REPORT,  /* router to control: sample of requested keys */
	MSG_QUARANTINE,	    /* control to router: quarantined contents */
	MSG_SITE_RECEIVED,  /* control to watch: configuration from a host */
	MSG_READ_SITE,	    /* control to watch: read the configuration now */
	MSG_SITE_READ_FAILED, /* watch to control: reading it failed */
	MSG_SITE_READ,	      /* watch to control: it has been read */
	MSG_RELIST, /* control to watch: changes were missed, list again */
	MSG_FOLLOW_STORE,      /* control to watch: follow the store from a
				  version on, or list all ... */
	MSG_FOLLOW_CONTROLLER, /* ... or the controller's updates */
	MSG_TARGETS_FRESH,     /* watch to control: store answers for targets */
	MSG_TARGETS_STALE,  /* watch to control: it does not, or is not asked */
	MSG_STORE_AS_OF,    /* watch to control: version followed up to */
	MSG_FLEET_RECEIVED, /* control to watch: targets from the controller */
	MSG_LEAVE_ANNOUNCED,  /* control to watch: a target is leaving */
	MSG_REACH,	      /* reach to others: the way to the targets */
	MSG_REACH_DOUBTED,    /* any to reach: targets may be out of reach */
	MSG_REACH_VIA_FAILED, /* any to reach: ... through the named host */
	MSG_STOP,	      /* kernel to all: begin the orderly stop */
	MSG_QUIT	      /* kernel to all: end the thread */
};

struct msg {
	enum msg_kind kind;
	char host[NAME_MAX_GS]; /* peer that a frame comes from or goes to */
	uint64_t conn; /* connection of the frame; 0: the one to host */
	int state;     /* a frame that is sent again periodically */
	uint64_t corr; /* correlation number of a request, sent or not */
	Gspar__Frame *frame;
	struct bytes bytes;
	void *data;
	void (*free_data)(void *data);
};

/* Operations of the platform's store. */
enum store_op {
	STORE_GET,
	STORE_PUT, /* if the version is still base; 0: does not exist yet */
	STORE_LIST,
	STORE_HOSTS,
	STORE_WATCH, /* waits for changes after version base */
	STORE_DELETE
};

enum store_result {
	STORE_NO_REPLY, /* no response: the call may still take effect */
	STORE_DONE,
	STORE_NOT_FOUND,
	STORE_CONFLICT,
	STORE_COMPACTED,    /* changes since base are not kept: list again */
	STORE_RATE_LIMITED, /* over the rate limit: not done */
	STORE_REFUSED	    /* refused: not done */
};

/* An object of a list, or a change of one. */
struct store_item {
	char name[NAME_MAX_GS];
	uint64_t version;
	int deleted;
	struct json_t *raw; /* borrowed from the call's response */
};

/* A call to the platform's store, and its outcome. */
struct store {
	enum store_op op;
	const char *reply_to;
	char path[CELL_NAME_MAX + 128];
	char tag[CELL_NAME_MAX + NAME_MAX_GS + 8];
	uint64_t base;
	uint64_t generation; /* of the sender, to recognise stale outcomes */
	struct str body;
	int status;    /* HTTP status, or 0 if there was no response */
	usec duration; /* time from sending to the end */
	uint64_t version;
	/* Of the response, 0 if it states none: rises each time that the store
	 * comes back from an old copy. */
	uint64_t era;
	enum store_result result;
	int wait_ms;	  /* watch: how long to wait for a change */
	int allow_stale;  /* read: a value that is seconds old is accepted */
	struct str after; /* list: continue after this name, of any length */
	struct json_t *parsed;
	struct store_item *items;
	int nitems;
	int nunnamed;	 /* others, without a usable name */
	int more;	 /* the list is not complete ... */
	struct str last; /* ... and this is the last name in it, or "" */
};

/* A reference-counted object that several threads read; never changed. */
struct shared {
	int refs;
	void *p;
	void (*free_data)(void *);
};

struct catalogue {
	struct entry **entries;
	int n;
	uint64_t digest;
};

/* The number of hosts that share limits, and this host's turn among them. */
struct host_turn {
	int hosts;
	int rank; /* from 0 */
};

struct peer_addr {
	char host[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char addr[ADDR_MAX_GS];
	char admin[ADDR_MAX_GS];
	char tunnel[ADDR_MAX_GS]; /* at which it relays connections */
	int leaving;
};

struct peers {
	struct peer_addr *list;
	int n;
};

/* A target that a host dispatches under its lease. */
struct duty {
	char target[NAME_MAX_GS];
	uint64_t epoch;
	uint64_t min_view;
	int limited;
	uint32_t rate; /* in 1/1000 requests per second */
};

/* A host's lease for one cell, with its duties. */
struct lease {
	char cell[CELL_NAME_MAX];
	usec until;
	uint64_t seq; /* of the request that was answered */
	struct duty *duties;
	int n;
};

/* The dispatcher's targets in a cell, reported to the controller. */
struct report {
	Gspar__LeaseAsk *ask;
	int urgent; /* something changed: send it without delay */
};

/* The functions of a service; each service has a thread and a message ring. */
struct kernel;
struct service;
struct service_ops {
	const char *name;
	unsigned ring_size;
	/* Sets up the service before its thread starts; 0, or -1 on error. */
	int (*open)(struct service *);
	/* The thread; returns after MSG_QUIT. */
	void (*run)(struct service *);
	/* Frees what open allocated, after the thread has ended. */
	void (*close)(struct service *);
};

struct service {
	const struct service_ops *ops;
	struct kernel *kernel;
	struct ring *in;
	void *state;
	int running;
};

/* kernel.c */
struct kernel *kernel_new(const struct conf *);
void kernel_free(struct kernel *);
int kernel_add(struct kernel *, const struct service_ops *);
struct service *kernel_find(struct kernel *, const char *name);
int kernel_start(struct kernel *);
void kernel_quit(struct kernel *);
const struct conf *kernel_conf(const struct kernel *);
void kernel_set_conf(struct kernel *, const struct conf *);
uint64_t kernel_boot(const struct kernel *);
long kernel_descriptors(const struct kernel *);
int kernel_send(struct kernel *, const char *to, struct msg *);
void kernel_step_done(struct kernel *, const char *what);
int kernel_wait_step(struct kernel *, const char *what, int ms);

/* msg.c */
struct msg *msg_new(enum msg_kind);
void msg_free(struct msg *);
int msg_post(struct kernel *, const char *to, enum msg_kind, void *data,
    void (*free_data)(void *));
void deliver_frame(
    struct kernel *, const char *host, uint64_t conn, Gspar__Frame *);
void send_frame(
    struct kernel *, const char *host, uint64_t conn, const Gspar__Frame *);
struct shared *shared_new(void *, void (*)(void *));
struct shared *shared_ref(struct shared *);
void shared_unref(void *);
void msg_take_snapshot(struct msg *, struct shared **at);
struct store *store_new(enum store_op, const char *reply_to, const char *path);
void store_free(void *);
void store_send(struct kernel *, struct store *);
void lease_free(void *);

extern const struct service_ops door_service;
extern const struct service_ops router_service;
extern const struct service_ops peer_service;
extern const struct service_ops dispatch_service;
extern const struct service_ops control_service;
extern const struct service_ops platform_service;
extern const struct service_ops admin_service;
extern const struct service_ops direct_service;
extern const struct service_ops sitectl_service;
extern const struct service_ops watch_service;
extern const struct service_ops probe_service;
extern const struct service_ops reach_service;
extern const struct service_ops tunnel_service;
extern const struct service_ops linger_service;

#endif
