/*
 * A small deployment on loopback addresses: the store's stand-in, hosts that
 * run the daemon as the deploy file says, upstreams and clients of this
 * program.
 */
#ifndef STAGE_H
#define STAGE_H

#include <stdint.h>

#define KEY_COUNT 65536
#define HOSTS_MAX 12
#define UPSTREAMS_MAX 32
#define ID_SIZE 64
#define ADDR_SIZE 64

typedef long long usec;

/* What a faulty upstream does to some of its answers. */
enum fault { FAULT_NONE, FAULT_CUT, FAULT_EXTRA };

/* An upstream, as the users' PROTOCOL.md describes it. */
struct upstream {
	char id[ID_SIZE];
	char service[ID_SIZE];
	char addr[ADDR_SIZE];
	const char *zone;
	int keyed;
	int listener;
	int running;
	int waiting;
	volatile int faulty; /* in this spell */
	long long *fence;    /* by key */
	usec *until;	     /* by key: holds it until then; 0 if released */
	usec *given;	     /* by key: last grant runs out, released or not */
};

/* A host that runs the daemon. */
struct host {
	char name[ID_SIZE];
	char ip[ADDR_SIZE];
	char front[ADDR_SIZE];
	char ready[ADDR_SIZE];
	const char *zone;
	int pid;
};

/* An answer to a client. */
struct reply {
	int status; /* 0 if the connection ended without a whole answer */
	int is_signed;
	char id[ID_SIZE];
	char *body;
	long length;
	int closes;
};

/* What the deployment of one case looks like. */
struct stage_conf {
	const char *routes;   /* JSON members */
	const char *services; /* JSON members */
	int hosts;
	enum fault fault;
	double fault_share; /* of the upstreams */
	double fault_part;  /* of their answers */
	int work_ms;	    /* mean */
};

extern struct upstream upstreams[UPSTREAMS_MAX];
extern int nupstreams;
extern struct host hosts[HOSTS_MAX];
extern int nhosts;
extern volatile int violations;

/* Arguments: DIR TROUBLE; starts all, exits with 2 if that fails. */
void stage_open(int argc, char **argv, const struct stage_conf *);
void stage_add_upstreams(const char *service, int keyed, int count);
void stage_start(void);
/* Ends all processes and exits with 0, 1 or 2. */
void stage_close(void);
void stage_fail(const char *, ...) __attribute__((format(printf, 1, 2)));
int stage_trouble(void);
/* Begins or ends a spell in which upstreams are faulty. */
void stage_set_spell(int on);
/* Writes a line to the record, with the time. */
void record(const char *, ...) __attribute__((format(printf, 1, 2)));
/* Records that a rule was broken. */
void broken(const char *, ...) __attribute__((format(printf, 1, 2)));

usec now_us(void);
double random_part(void);
/* Connects to "IP:PORT"; -1 on failure. */
int dial(const char *addr);
/* Sends a request and reads the answer; the body is the caller's to free. */
void exchange(
    int fd, const char *request, long n, struct reply *, int timeout_ms);
/* Sends a request of a client, on a connection to any host that is kept open in
 * fd, and reads its answer.  Returns the status. */
int ask(int *fd, const char *what, const char *id, const char *headers,
    const char *body, int deadline_ms, struct reply *);
void start_thread(void *(*fn)(void *), void *arg);

/* What an upstream made of a request: -1 if it did not run it, else the length
 * of its body.  The status is what it answered. */
long made_length(const char *id, int *status);
/* Fills in the body that an upstream makes for a request. */
char *made_body(const char *id, long n);

#endif
