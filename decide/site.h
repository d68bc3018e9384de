/*
 * A configuration: which requests may go to which services.  Built
 * once a version, then only read, by all threads.
 */
#ifndef SITE_H
#define SITE_H

#include <stdint.h>

#include "clock.h"
#include "str.h"

#define SITE_SERVICES 64
#define RULE_PARTS 8

/* A service that a rule sends to, and its share of the rule's requests. */
struct rule_part {
	int service; /* index into the site's services */
	uint32_t weight;
};

/* What becomes of requests to one host and path. */
struct rule {
	struct str host;
	struct str prefix;
	int idempotent;
	usec timeout; /* longest time to the final answer */
	usec aim;     /* an answer within this is worth most */
	int attempts; /* targets that one request may be sent to */
	int priority; /* 0 is the most urgent */
	struct rule_part parts[RULE_PARTS];
	int nparts;
	uint32_t weights; /* sum over the parts */
	int gone;	  /* in a change: there is no such rule any more */
};

struct site_service {
	char name[NAME_MAX_GS];
	int keyed;	  /* each key is owned by one target */
	int max_conns;	  /* that a target takes from all hosts together */
	usec warmup;	  /* for which keys are slow without a hand-over */
	usec cold_start;  /* targets are cold for so long after a start */
	double cold_rate; /* requests a second that a cold one takes from all
			     hosts; 0 is any number */
};

struct site {
	uint64_t version;
	uint64_t since;	    /* of a change: the version that it is of; else 0 */
	struct rule *rules; /* by host, then longest prefix first */
	int nrules;
	struct site_service services[SITE_SERVICES];
	int nservices;
	size_t head_max;
	size_t body_max;
	usec head_time;
	usec idle_time;
};

struct site *site_new(int max_rules);
void site_free(void *);
struct rule *site_add(struct site *);
void site_seal(struct site *);
int rule_copy(struct rule *, const struct rule *);
int rule_cmp(const struct rule *, const struct rule *);
int site_service(const struct site *, const char *name);
const struct rule *site_find(
    const struct site *, const struct str *host, const struct str *path);
int rule_part(const struct rule *, uint64_t n);

#endif
