#include <stdlib.h>
#include <string.h>

#include "site_change.h"

/* Copies a configuration without its rules, for up to max_rules rules; NULL if
 * out of memory. */
static struct site *
copy_without_rules(const struct site *from, int max_rules)
{
	struct site *site = site_new(max_rules);
	struct rule *rules;

	if (site == NULL)
		return (NULL);
	rules = site->rules;
	*site = *from;
	site->rules = rules;
	site->nrules = 0;
	site->since = 0;
	return (site);
}

/* Adds a copy of another configuration's rule.  Services may have other indexes
 * there.  0, or -1 if a service does not exist here or memory runs out. */
static int
add_copy(struct site *site, const struct site *from, const struct rule *r)
{
	struct rule *to = site_add_rule(site);
	int i, n;

	if (rule_copy(to, r) != 0)
		return (-1);
	for (i = 0; i < to->nbackends; i++) {
		n = site_service(
		    site, from->services[r->backends[i].service].name);
		if (n < 0)
			return (-1);
		to->backends[i].service = n;
	}
	return (0);
}

/* True if two rules for the same requests route them in the same way. */
static int
same_routing(const struct site *old, const struct rule *a,
    const struct site *new, const struct rule *b)
{
	const struct rule_backend *pa, *pb;
	int i;

	if (a->idempotent != b->idempotent || a->timeout != b->timeout ||
	    a->aim != b->aim || a->attempts != b->attempts ||
	    a->priority != b->priority || a->nbackends != b->nbackends)
		return (0);
	for (i = 0; i < a->nbackends; i++) {
		pa = &a->backends[i];
		pb = &b->backends[i];
		if (pa->weight != pb->weight ||
		    strcmp(old->services[pa->service].name,
			new->services[pb->service].name) != 0)
			return (0);
	}
	return (1);
}

/* Consecutive rules of a configuration that match the same requests. */
struct rule_group {
	const struct site *site;
	int from;
	int end; /* index after the last */
};

/* Returns the group that begins with a rule. */
static struct rule_group
group_at(const struct site *site, int from)
{
	struct rule_group g = {site, from, from + 1};

	while (g.end < site->nrules &&
	    rule_cmp(&site->rules[from], &site->rules[g.end]) == 0)
		g.end++;
	return (g);
}

/* True if two groups have the same rules. */
static int
same_group(const struct rule_group *a, const struct rule_group *b)
{
	int i, n = a->end - a->from;

	if (n != b->end - b->from)
		return (0);
	for (i = 0; i < n; i++) {
		if (!same_routing(a->site, &a->site->rules[a->from + i],
			b->site, &b->site->rules[b->from + i]))
			return (0);
	}
	return (1);
}

/* Adds all rules of a group to a difference; 0, or -1. */
static int
add_group(struct site *c, const struct rule_group *g)
{
	int i;

	for (i = g->from; i < g->end; i++) {
		if (add_copy(c, g->site, &g->site->rules[i]) != 0)
			return (-1);
	}
	return (0);
}

/* Adds to a difference that all rules for the same requests were removed; 0, or
 * -1. */
static int
add_removed(struct site *c, const struct rule *r)
{
	struct rule *to = site_add_rule(c);

	if (rule_copy(to, r) != 0)
		return (-1);
	to->gone = 1;
	to->nbackends = 0;
	return (0);
}

/* Adds all rules that differ to a difference, walking the sorted rules of both
 * configurations; 0, or -1 if out of memory. */
static int
add_changed(struct site *c, const struct site *old, const struct site *new)
{
	struct rule_group a = {old, 0, 0}, b = {new, 0, 0};
	int order, st;

	while (a.from < old->nrules || b.from < new->nrules) {
		if (a.from < old->nrules)
			a = group_at(old, a.from);
		if (b.from < new->nrules)
			b = group_at(new, b.from);
		if (a.from == old->nrules)
			order = 1;
		else if (b.from == new->nrules)
			order = -1;
		else
			order =
			    rule_cmp(&old->rules[a.from], &new->rules[b.from]);
		st = 0;
		if (order < 0)
			st = add_removed(c, &old->rules[a.from]);
		else if (order > 0 || !same_group(&a, &b))
			st = add_group(c, &b);
		if (st != 0)
			return (-1);
		if (order <= 0)
			a.from = a.end;
		if (order >= 0)
			b.from = b.end;
	}
	return (0);
}

/* Returns the difference that turns one configuration into another, to be freed
 * with site_free; NULL if out of memory. */
struct site *
site_diff(const struct site *old, const struct site *new)
{
	struct site *c = copy_without_rules(new, old->nrules + new->nrules);

	if (c == NULL)
		return (NULL);
	c->since = old->version;
	if (add_changed(c, old, new) == 0)
		return (c);
	site_free(c);
	return (NULL);
}

/* Adds the rules of a configuration that a difference leaves as they are; 0, or
 * -1. */
static int
add_unchanged(
    struct site *site, const struct site *old, const struct site *diff)
{
	int i, k = 0, order = 1;

	for (i = 0; i < old->nrules; i++) {
		while (k < diff->nrules &&
		    (order = rule_cmp(&diff->rules[k], &old->rules[i])) < 0)
			k++;
		if (k < diff->nrules && order == 0)
			continue;
		if (add_copy(site, old, &old->rules[i]) != 0)
			return (-1);
	}
	return (0);
}

/*
 * Applies a difference to its base and returns the new configuration, to be
 * freed with site_free.  NULL if the base is another version, a rule that stays
 * refers to a service that is gone, or memory runs out: the result would not be
 * a configuration that the operator has written.
 */
struct site *
site_apply(const struct site *old, const struct site *diff)
{
	struct site *site;
	int i, failed;

	if (old->version != diff->since)
		return (NULL);
	site = copy_without_rules(diff, old->nrules + diff->nrules);
	if (site == NULL)
		return (NULL);
	failed = add_unchanged(site, old, diff) != 0;
	for (i = 0; i < diff->nrules && !failed; i++) {
		if (!diff->rules[i].gone)
			failed = add_copy(site, diff, &diff->rules[i]) != 0;
	}
	if (failed) {
		site_free(site);
		return (NULL);
	}
	site_finish(site);
	return (site);
}
