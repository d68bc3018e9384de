/*
 * Whose answer came on a connection.  Targets may send an answer a second time,
 * where the one to the next request is due.  The id in an answer names the
 * request, which a retry shares with the attempts before it.
 */
#ifndef ANSWERS_H
#define ANSWERS_H

#include <stdint.h>

/* Sends that are remembered of one request; further ones count as sent on any
 * connection. */
#define SENDS_MAX 8

/* The attempts of a request that were sent: their connections, by the digest of
 * the target's address and this host's port, and how many of them certainly did
 * not run. */
struct sends {
	struct {
		uint64_t addr;
		int port;
	} list[SENDS_MAX];
	int n;
	int nrefused;
};

/* Which request an answer names. */
enum answer_id { ANSWER_ID_NONE, ANSWER_ID_OWN, ANSWER_ID_OTHER };

struct answer_facts {
	enum answer_id id;
	int is_signed; /* it is that of a run */
	int not_run;   /* it means that its request did not run ... */
	int is_stated; /* ... and says so, besides its status */
	int new_conn;  /* nothing was sent on the connection before */
	int resent;    /* an earlier attempt of the request was */
	int has_id;    /* the request has one */
};

enum answer_id answer_id_of(const char *received, const char *sent);
void sends_add(struct sends *, uint64_t addr, int port);
int sends_include(const struct sends *, uint64_t addr, int port);
void sends_refused(struct sends *);
int sends_may_have_run(const struct sends *);
int answer_is_own(const struct answer_facts *);

#endif
