/*
 * Site configuration: which requests are routed to which services, and how.
 * Built once for each version, then shared read-only by all threads.
 */
#ifndef SITE_H
#define SITE_H

#include <stdint.h>

#include "clock.h"
#include "str.h"

#define SITE_SERVICES_MAX 64
#define RULE_BACKENDS_MAX 8

/* A service that a rule routes to, and its share of the rule's requests. */
struct rule_backend {
	int service; /* index into the site's services */
	uint32_t weight;
};

/* How requests to one host and path prefix are routed. */
struct rule {
	struct str host;
	struct str prefix;
	int idempotent;
	usec timeout; /* of the request, all attempts included */
	usec aim;     /* target latency */
	int attempts; /* at most; counts those that may have run */
	int priority; /* 0 is the highest */
	struct rule_backend backends[RULE_BACKENDS_MAX];
	int nbackends;
	uint32_t total_weight; /* sum over the parts */
	int gone;	       /* in a difference: the rule was removed */
};

struct site_service {
	char name[NAME_MAX_GS];
	int keyed;	  /* each key is owned by one target */
	int max_conns;	  /* of a target, from all hosts together */
	usec warmup;	  /* time for which keys moved without a
			     handover are slow */
	usec cold_start;  /* targets are cold this long after their start */
	double cold_rate; /* requests a second to a cold target from all hosts;
			     0 is unlimited */
};

struct site {
	uint64_t version;
	uint64_t since;	    /* in a difference: the base version; else 0 */
	struct rule *rules; /* sorted by rule_cmp */
	int nrules;
	struct site_service services[SITE_SERVICES_MAX];
	int nservices;
	size_t head_max; /* longest request header, bytes */
	size_t body_max; /* longest request body, bytes */
	usec head_time;	 /* within which a request header must be complete */
	usec idle_time;	 /* after which idle connections are closed */
};

struct site *site_new(int max_rules);
void site_free(void *);
struct rule *site_add_rule(struct site *);
void site_finish(struct site *);
int rule_copy(struct rule *, const struct rule *);
int rule_cmp(const struct rule *, const struct rule *);
int site_service(const struct site *, const char *name);
const struct rule *site_find_rule(
    const struct site *, const struct str *host, const struct str *path);
int rule_backend(const struct rule *, uint64_t n);

#endif
