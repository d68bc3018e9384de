#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "site.h"

/* Allocates an empty configuration for up to max_rules rules; NULL if out of
 * memory. */
struct site *
site_new(int max_rules)
{
	struct site *site;

	site = calloc(1, sizeof(*site));
	if (site == NULL)
		return (NULL);
	site->rules = calloc((size_t)max_rules + 1, sizeof(*site->rules));
	if (site->rules != NULL)
		return (site);
	free(site);
	return (NULL);
}

/* Frees a configuration; takes void * so that it can be a shared object's
 * destructor. */
void
site_free(void *arg)
{
	struct site *site = arg;
	int i;

	if (site == NULL)
		return;
	for (i = 0; i < site->nrules; i++) {
		str_free(&site->rules[i].host);
		str_free(&site->rules[i].prefix);
	}
	free(site->rules);
	free(site);
}

/* Returns the next rule, to be filled in; the caller keeps within max_rules. */
struct rule *
site_add_rule(struct site *site)
{
	return (&site->rules[site->nrules++]);
}

/* Compares host names, ignoring case; rules are sorted by them. */
static int
host_cmp(const struct str *a, const struct str *b)
{
	size_t n = a->n < b->n ? a->n : b->n;
	int c;

	c = n == 0 ? 0 : strncasecmp(a->p, b->p, n);
	if (c != 0)
		return (c);
	return (a->n < b->n ? -1 : a->n > b->n);
}

/* Compares rules by host, then by prefix, longest first; 0 if both match the
 * same requests. */
int
rule_cmp(const struct rule *a, const struct rule *b)
{
	int c;

	c = host_cmp(&a->host, &b->host);
	if (c != 0)
		return (c);
	if (a->prefix.n != b->prefix.n)
		return (a->prefix.n > b->prefix.n ? -1 : 1);
	return (a->prefix.n == 0
		? 0
		: memcmp(a->prefix.p, b->prefix.p, a->prefix.n));
}

/* Wraps rule_cmp for qsort. */
static int
sort_cmp(const void *a, const void *b)
{
	return (rule_cmp(a, b));
}

/* Copies a rule and its strings; 0, or -1 if out of memory. */
int
rule_copy(struct rule *to, const struct rule *from)
{
	*to = *from;
	to->host.p = to->prefix.p = NULL;
	to->host.n = to->prefix.n = 0;
	if (str_set(&to->host, from->host.p, from->host.n) != 0)
		return (-1);
	return (str_set(&to->prefix, from->prefix.p, from->prefix.n));
}

/* Sums weights and sorts the rules; call it after the last rule and before
 * site_find_rule. */
void
site_finish(struct site *site)
{
	struct rule *r;
	int i, k;

	for (i = 0; i < site->nrules; i++) {
		r = &site->rules[i];
		r->total_weight = 0;
		for (k = 0; k < r->nbackends; k++)
			r->total_weight += r->backends[k].weight;
	}
	qsort(
	    site->rules, (size_t)site->nrules, sizeof(*site->rules), sort_cmp);
}

/* Returns the index of a service, or -1. */
int
site_service(const struct site *site, const char *name)
{
	int i;

	for (i = 0; i < site->nservices; i++) {
		if (strcmp(site->services[i].name, name) == 0)
			return (i);
	}
	return (-1);
}

/* Returns the index of a host's first rule or, if it has none, of where that
 * would be. */
static int
first_rule(const struct site *site, const struct str *host)
{
	int low = 0, high = site->nrules, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (host_cmp(&site->rules[mid].host, host) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return (low);
}

/* Returns the rule of a host with the longest prefix that matches the path, or
 * NULL. */
const struct rule *
site_find_rule(
    const struct site *site, const struct str *host, const struct str *path)
{
	const struct rule *r;
	int i;

	for (i = first_rule(site, host); i < site->nrules; i++) {
		r = &site->rules[i];
		if (host_cmp(&r->host, host) != 0)
			break;
		if (r->prefix.n <= path->n &&
		    memcmp(r->prefix.p, path->p, r->prefix.n) == 0)
			return (r);
	}
	return (NULL);
}

/*
 * Returns the index of the service for the n-th request of a rule, by weight;
 * -1 if all weights are 0.  Multiples of the golden ratio spread evenly over
 * [0, 1), so each short run of requests is split by the weights: with random
 * draws, the shares in 200 requests would be off by up to a tenth.
 */
int
rule_backend(const struct rule *r, uint64_t n)
{
	uint64_t at;
	uint32_t sum = 0;
	int i;

	if (r->nbackends == 0 || r->total_weight == 0)
		return (-1);
	at = ((n * 0x9e3779b97f4a7c15u) >> 32) * r->total_weight >> 32;
	for (i = 0; i < r->nbackends - 1; i++) {
		sum += r->backends[i].weight;
		if (at < sum)
			break;
	}
	return (r->backends[i].service);
}
