/* Shared by the daemon's parts: the kernel, its services, their messages. */
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

/* When to come back where nothing is known of it, in milliseconds. */
#define LOST_RETRY_MS 1000

enum msg_kind {
	MSG_NONE,
	MSG_CALL,	/* door to router: a caller's request */
	MSG_FRAME,	/* peer to any: a frame came */
	MSG_SEND,	/* any to peer: a frame goes */
	MSG_PEER_DOWN,	/* peer to all: a connection was lost */
	MSG_UNSENT,	/* peer to router: a request that did not leave */
	MSG_PEERS,	/* control to peer: the hosts and their addresses */
	MSG_STORE,	/* any to platform: a call */
	MSG_STORED,	/* platform to any: its outcome */
	MSG_CATALOGUE,	/* control to all: the entries in force */
	MSG_VIEW,	/* control to router and dispatch */
	MSG_LEASE,	/* control to dispatch: lease and duties */
	MSG_TARGETS,	/* dispatch to control: what it holds */
	MSG_STATUS,	/* admin to control: a question */
	MSG_READY,	/* router to door: callers can be served */
	MSG_SITE,	/* watch to all: routes and services in force */
	MSG_FLEET,	/* watch to router and control: the targets */
	MSG_OWNERS,	/* control to router: who owns which keys */
	MSG_HEAT,	/* router to control: what was asked for */
	MSG_QUARANTINE, /* control to router: contents that are sent to none */
	MSG_TOLD,	/* control to watch: a configuration that a host told */
	MSG_READ_SITE,	/* control to watch: read the configuration now */
	MSG_SITE_UNREAD, /* watch to control: the store did not give it */
	MSG_SITE_READ,	 /* watch to control: it has been read */
	MSG_RELIST,	 /* control to watch: something was missed */
	MSG_FOLLOW,	 /* control to watch: follow the store ... */
	MSG_BE_TOLD,	 /* ... or do not, the controller tells */
	MSG_FRESH,	 /* watch to control: the store answers for targets */
	MSG_STALE,	 /* watch to control: it does not, or is not asked */
	MSG_FLEET_TOLD, /* control to watch: targets that the controller told */
	MSG_STOP,	/* kernel to all: stop in order */
	MSG_QUIT	/* kernel to all: end the thread now */
};

struct msg {
	enum msg_kind kind;
	char host[NAME_MAX_GS]; /* the peer a frame is from or for */
	uint64_t conn;		/* its connection; 0 is the one to the host */
	int state; /* a frame that tells state: it is sent again on a timer */
	uint64_t corr; /* of a request sent, or not sent */
	Gspar__Frame *frame;
	struct bytes bytes;
	void *data;
	void (*drop)(void *data);
};

/* A call to the platform, and its outcome. */
enum store_op {
	STORE_GET,
	STORE_PUT, /* where the version is still base; 0 is not there yet */
	STORE_LIST,
	STORE_HOSTS,
	STORE_WATCH, /* what changed after base, waited for */
	STORE_DELETE
};

enum store_result {
	STORE_SILENT, /* no answer: it may have been done, or be done later */
	STORE_DONE,
	STORE_ABSENT,
	STORE_CONFLICT,
	STORE_FORGOTTEN, /* changes so far back are not kept: list anew */
	STORE_BUSY,	 /* over the rate: not done */
	STORE_DOWN	 /* refused: not done */
};

/* An object of a list or a change. */
struct found {
	char name[NAME_MAX_GS];
	uint64_t version;
	int deleted;
	struct json_t *raw; /* borrowed from the call's answer */
};

struct store {
	enum store_op op;
	const char *reply_to;
	char path[CELL_NAME_MAX + 128];
	char tag[CELL_NAME_MAX + NAME_MAX_GS + 8];
	uint64_t base;
	uint64_t gen; /* the sender's, to know stale outcomes by */
	struct str body;
	int status; /* HTTP status, or 0 where no answer came */
	usec took;  /* from its sending to its end */
	uint64_t version;
	enum store_result result;
	int wait_ms; /* of a watch */
	int stale;   /* of a read: an answer that is seconds old will do */
	char after[NAME_MAX_GS]; /* of a list: where to go on */
	struct json_t *parsed;
	struct found *found;
	int nfound;
	int more; /* the list goes on */
};

/* Objects that several threads read: counted, and never changed. */
struct shared {
	int refs;
	void *p;
	void (*drop)(void *);
};

struct catalogue {
	struct entry **entries;
	int n;
	uint64_t digest;
};

struct peer_addr {
	char host[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char addr[ADDR_MAX_GS];
	char admin[ADDR_MAX_GS];
	int leaving;
};

struct peers {
	struct peer_addr *list;
	int n;
};

/* A host's lease for one cell, and what it is to dispatch under it. */
struct duty {
	char target[NAME_MAX_GS];
	uint64_t epoch;
	uint64_t min_view;
	int limited;
	uint32_t rate; /* thousandths of a request a second */
};

struct lease {
	char cell[CELL_NAME_MAX];
	usec until;
	uint64_t seq; /* of the ask that was answered */
	struct duty *duties;
	int n;
};

/* What the dispatcher holds in a cell, for the controller. */
struct report {
	Gspar__LeaseAsk *ask;
	int urgent; /* something changed: do not wait for the next ask */
};

/* One service of the micro-kernel. */
struct kernel;
struct service;
struct service_ops {
	const char *name;
	unsigned ring_size;
	/* Readies the service before its thread starts; 0, or -1. */
	int (*open)(struct service *);
	/* The thread; returns after MSG_QUIT. */
	void (*run)(struct service *);
	/* Frees what open made, after the thread has ended. */
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
int kernel_send(struct kernel *, const char *to, struct msg *);
void kernel_done(struct kernel *, const char *what);
int kernel_wait(struct kernel *, const char *what, int ms);

/* msg.c */
struct msg *msg_new(enum msg_kind);
void msg_free(struct msg *);
int msg_post(struct kernel *, const char *to, enum msg_kind, void *data,
    void (*drop)(void *));
void deliver_frame(
    struct kernel *, const char *host, uint64_t conn, Gspar__Frame *);
void send_frame(
    struct kernel *, const char *host, uint64_t conn, const Gspar__Frame *);
struct shared *shared_new(void *, void (*)(void *));
struct shared *shared_ref(struct shared *);
void shared_unref(void *);
void msg_keep(struct msg *, struct shared **at);
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
extern const struct service_ops keeper_service;
extern const struct service_ops watch_service;
extern const struct service_ops probe_service;

#endif
