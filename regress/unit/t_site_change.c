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
	struct site *t = site_new(2 * RULES);
	int i;

	t->version = version;
	for (i = 0; i < nservices; i++)
		snprintf(
		    t->services[t->nservices++].name, NAME_MAX_GS, "s%d", i);
	t->head_max = (size_t)version * 10;
	return (t);
}

/* Adds a rule with one service. */
static struct rule *
add(struct site *t, const char *host, int prefix, int service)
{
	struct rule *r = site_add(t);
	char p[32];

	snprintf(p, sizeof(p), "/%d/", prefix);
	str_set(&r->host, host, strlen(host));
	str_set(&r->prefix, p, strlen(p));
	r->parts[0].service = service;
	r->parts[0].weight = 1;
	r->nparts = 1;
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
		    x->nparts != y->nparts || x->weights != y->weights ||
		    x->gone || y->gone)
			return (0);
		for (k = 0; k < x->nparts; k++) {
			if (strcmp(a->services[x->parts[k].service].name,
				b->services[y->parts[k].service].name) != 0 ||
			    x->parts[k].weight != y->parts[k].weight)
				return (0);
		}
	}
	return (1);
}

/* Makes the difference between two configurations and applies it.  Returns the
 * number of its rules, or -1 if the result is not the new configuration. */
static int
there(const struct site *was, const struct site *now)
{
	struct site *c = site_change(was, now), *made;
	int n;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(c->since, was->version);
	made = site_apply(was, c);
	n = made != NULL && equal(made, now) ? c->nrules : -1;
	site_free(c);
	site_free(made);
	return (n);
}

/* One rule is changed, one is added, one is removed. */
static void
one_rule(void)
{
	struct site *was = empty(3, 2), *now = empty(7, 2);
	int i;

	for (i = 0; i < RULES; i++) {
		add(was, "a.example", i, 0);
		if (i != 5)
			add(now, "a.example", i, i == 9);
	}
	add(now, "b.example", 1, 1);
	site_seal(was);
	site_seal(now);
	CU_ASSERT_EQUAL(there(was, now), 3);
	CU_ASSERT_EQUAL(there(was, was), 0);
	site_free(was);
	site_free(now);
}

/* Services may change their indexes.  A difference is refused if a rule that
 * stays has lost its service, or if the configuration is not its base. */
static void
services_move(void)
{
	struct site *was = empty(3, 3), *now = empty(7, 3), *c, *other;

	add(was, "a.example", 1, 2);
	add(now, "a.example", 1, 0);
	strcpy(now->services[0].name, "s2");
	strcpy(now->services[2].name, "s0");
	site_seal(was);
	site_seal(now);
	CU_ASSERT_EQUAL(there(was, now), 0);
	c = site_change(was, now);
	strcpy(c->services[0].name, "s9");
	CU_ASSERT_PTR_NULL(site_apply(was, c));
	strcpy(c->services[0].name, "s2");
	other = site_apply(was, c);
	CU_ASSERT_PTR_NOT_NULL_FATAL(other);
	CU_ASSERT_PTR_NULL(site_apply(other, c));
	site_free(was);
	site_free(now);
	site_free(c);
	site_free(other);
}

/* Makes a random configuration: hosts in upper and lower case, several rules
 * for the same requests, one or two services for each. */
static struct site *
drawn(uint64_t version, unsigned *seed)
{
	static const char *const hosts[] = {"a.example", "B.example", "c"};
	struct site *t = empty(version, 1 + rand_r(seed) % SERVICES);
	struct rule *r;
	int i, n = rand_r(seed) % RULES;

	for (i = 0; i < n; i++) {
		r = add(t, hosts[rand_r(seed) % 3], rand_r(seed) % 12,
		    rand_r(seed) % t->nservices);
		r->priority = rand_r(seed) % 2;
		if (rand_r(seed) % 3 == 0) {
			r->parts[1] = r->parts[0];
			r->parts[1].weight = 1 + (uint32_t)rand_r(seed) % 9;
			r->nparts = 2;
		}
	}
	site_seal(t);
	return (t);
}

/* Differences between random configurations. */
static void
any(void)
{
	struct site *was, *now;
	unsigned seed = 41;
	int i;

	for (i = 0; i < 3000; i++) {
		was = drawn(3, &seed);
		now = drawn(7, &seed);
		CU_ASSERT(there(was, now) >= 0);
		site_free(was);
		site_free(now);
	}
}

static const struct unit_test tests[] = {
    {"one rule", one_rule},
    {"services move", services_move},
    {"random", any},
};
UNIT_MAIN("site_change", tests)
