/* Differences between site configurations: applied to its base, a difference
 * gives the new configuration, and it has only the rules that changed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site_change.h"
#include "unit.h"

#define RULES 40
#define SERVICES 4

/* Makes a configuration with services, but without rules. */
static struct site *
empty(uint64_t version, int nservices)
{
	struct site *site = site_new(2 * RULES);
	int i;

	site->version = version;
	for (i = 0; i < nservices; i++)
		snprintf(site->services[site->nservices++].name, NAME_MAX_GS,
		    "s%d", i);
	site->head_max = (size_t)version * 10;
	return (site);
}

/* Adds a rule with one service. */
static struct rule *
add(struct site *site, const char *host, int prefix, int service)
{
	struct rule *r = site_add_rule(site);
	char p[32];

	snprintf(p, sizeof(p), "/%d/", prefix);
	str_set(&r->host, host, strlen(host));
	str_set(&r->prefix, p, strlen(p));
	r->backends[0].service = service;
	r->backends[0].weight = 1;
	r->nbackends = 1;
	return (r);
}

/* True if both have the same rules in the same order, and the same bounds. */
static int
equal(const struct site *a, const struct site *b)
{
	const struct rule *x, *y;
	int i, k;

	if (a->version != b->version || a->nrules != b->nrules ||
	    a->nservices != b->nservices || a->head_max != b->head_max)
		return (0);
	for (i = 0; i < a->nrules; i++) {
		x = &a->rules[i];
		y = &b->rules[i];
		if (rule_cmp(x, y) != 0 || x->priority != y->priority ||
		    x->nbackends != y->nbackends ||
		    x->total_weight != y->total_weight || x->gone || y->gone)
			return (0);
		for (k = 0; k < x->nbackends; k++) {
			if (strcmp(a->services[x->backends[k].service].name,
				b->services[y->backends[k].service].name) !=
				0 ||
			    x->backends[k].weight != y->backends[k].weight)
				return (0);
		}
	}
	return (1);
}

/* Makes the difference between two configurations and applies it.  Returns the
 * number of its rules, or -1 if the result is not the new configuration. */
static int
round_trip(const struct site *old, const struct site *new)
{
	struct site *c = site_diff(old, new), *result;
	int n;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->since, old->version);
	result = site_apply(old, c);
	n = result != NULL && equal(result, new) ? c->nrules : -1;
	site_free(c);
	site_free(result);
	return (n);
}

/* One rule is changed, one is added, one is removed. */
static void
one_rule(void)
{
	struct site *old = empty(3, 2), *new = empty(7, 2);
	int i;

	for (i = 0; i < RULES; i++) {
		add(old, "a.example", i, 0);
		if (i != 5)
			add(new, "a.example", i, i == 9);
	}
	add(new, "b.example", 1, 1);
	site_finish(old);
	site_finish(new);
	CU_ASSERT_EQUAL(round_trip(old, new), 3);
	CU_ASSERT_EQUAL(round_trip(old, old), 0);
	site_free(old);
	site_free(new);
}

/* Services may change their indexes.  A difference is refused if a rule that
 * stays has lost its service, or if the configuration is not its base. */
static void
services_reordered(void)
{
	struct site *old = empty(3, 3), *new = empty(7, 3), *c, *other;

	add(old, "a.example", 1, 2);
	add(new, "a.example", 1, 0);
	strcpy(new->services[0].name, "s2");
	strcpy(new->services[2].name, "s0");
	site_finish(old);
	site_finish(new);
	CU_ASSERT_EQUAL(round_trip(old, new), 0);
	c = site_diff(old, new);
	strcpy(c->services[0].name, "s9");
	CU_ASSERT_PTR_NULL(site_apply(old, c));
	strcpy(c->services[0].name, "s2");
	other = site_apply(old, c);
	CU_ASSERT_PTR_NOT_NULL_FATAL(other);
	CU_ASSERT_PTR_NULL(site_apply(other, c));
	site_free(old);
	site_free(new);
	site_free(c);
	site_free(other);
}

/* Makes a random configuration: hosts in upper and lower case, several rules
 * for the same requests, one or two services for each. */
static struct site *
random_site(uint64_t version, unsigned *seed)
{
	static const char *const hosts[] = {"a.example", "B.example", "c"};
	struct site *site = empty(version, 1 + rand_r(seed) % SERVICES);
	struct rule *r;
	int i, n = rand_r(seed) % RULES;

	for (i = 0; i < n; i++) {
		r = add(site, hosts[rand_r(seed) % 3], rand_r(seed) % 12,
		    rand_r(seed) % site->nservices);
		r->priority = rand_r(seed) % 2;
		if (rand_r(seed) % 3 == 0) {
			r->backends[1] = r->backends[0];
			r->backends[1].weight = 1 + (uint32_t)rand_r(seed) % 9;
			r->nbackends = 2;
		}
	}
	site_finish(site);
	return (site);
}

/* Differences between random configurations. */
static void
random_sites(void)
{
	struct site *old, *new;
	unsigned seed = 41;
	int i;

	for (i = 0; i < 3000; i++) {
		old = random_site(3, &seed);
		new = random_site(7, &seed);
		CU_ASSERT(round_trip(old, new) >= 0);
		site_free(old);
		site_free(new);
	}
}

static const struct unit_test tests[] = {
    {"one rule", one_rule},
    {"services reordered", services_reordered},
    {"random", random_sites},
};
UNIT_MAIN("site_change", tests)
