#include <stdlib.h>
#include <string.h>

#include "site_change.h"

/* A copy without rules, with room for so many; NULL without memory. */
static struct site *
copy_frame(const struct site *from, int max_rules)
{
	struct site *t = site_new(max_rules);
	struct rule *rules;

	if (t == NULL)
		return (NULL);
	rules = t->rules;
	*t = *from;
	t->rules = rules;
	t->nrules = 0;
	t->since = 0;
	return (t);
}

/* Adds a copy of a rule of another configuration, whose services may stand at
 * other places; 0, or -1 where one of them is not here. */
static int
add_copy(struct site *t, const struct site *from, const struct rule *r)
{
	struct rule *to = site_add(t);
	int i, n;

	if (rule_copy(to, r) != 0)
		return (-1);
	for (i = 0; i < to->nparts; i++) {
		n = site_service(t, from->services[r->parts[i].service].name);
		if (n < 0)
			return (-1);
		to->parts[i].service = n;
	}
	return (0);
}

/* True where two rules send the same requests to the same services alike. */
static int
same(const struct site *was, const struct rule *a, const struct site *now,
    const struct rule *b)
{
	const struct rule_part *pa, *pb;
	int i;

	if (a->idempotent != b->idempotent || a->timeout != b->timeout ||
	    a->aim != b->aim || a->attempts != b->attempts ||
	    a->priority != b->priority || a->nparts != b->nparts)
		return (0);
	for (i = 0; i < a->nparts; i++) {
		pa = &a->parts[i];
		pb = &b->parts[i];
		if (pa->weight != pb->weight ||
		    strcmp(was->services[pa->service].name,
			now->services[pb->service].name) != 0)
			return (0);
	}
	return (1);
}

/* Rules of one configuration that are for the same requests. */
struct group {
	const struct site *site;
	int from;
	int end; /* the first that is not of the group */
};

/* The group that begins with a rule. */
static struct group
group_at(const struct site *t, int from)
{
	struct group g = {t, from, from + 1};

	while (g.end < t->nrules &&
	    rule_cmp(&t->rules[from], &t->rules[g.end]) == 0)
		g.end++;
	return (g);
}

/* True where two groups have the same rules. */
static int
same_group(const struct group *a, const struct group *b)
{
	int i, n = a->end - a->from;

	if (n != b->end - b->from)
		return (0);
	for (i = 0; i < n; i++) {
		if (!same(a->site, &a->site->rules[a->from + i], b->site,
			&b->site->rules[b->from + i]))
			return (0);
	}
	return (1);
}

/* Adds all rules of a group to a change; 0, or -1. */
static int
add_group(struct site *c, const struct group *g)
{
	int i;

	for (i = g->from; i < g->end; i++) {
		if (add_copy(c, g->site, &g->site->rules[i]) != 0)
			return (-1);
	}
	return (0);
}

/* Adds to a change that there are no such rules any more; 0, or -1. */
static int
add_gone(struct site *c, const struct rule *r)
{
	struct rule *to = site_add(c);

	if (rule_copy(to, r) != 0)
		return (-1);
	to->gone = 1;
	to->nparts = 0;
	return (0);
}

/* Adds all rules that differ, both in order; 0, or -1 without memory. */
static int
add_changed(struct site *c, const struct site *was, const struct site *now)
{
	struct group a = {was, 0, 0}, b = {now, 0, 0};
	int order, st;

	while (a.from < was->nrules || b.from < now->nrules) {
		if (a.from < was->nrules)
			a = group_at(was, a.from);
		if (b.from < now->nrules)
			b = group_at(now, b.from);
		if (a.from == was->nrules)
			order = 1;
		else if (b.from == now->nrules)
			order = -1;
		else
			order =
			    rule_cmp(&was->rules[a.from], &now->rules[b.from]);
		st = 0;
		if (order < 0)
			st = add_gone(c, &was->rules[a.from]);
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

/* What makes one configuration of another; NULL without memory. */
struct site *
site_change(const struct site *was, const struct site *now)
{
	struct site *c = copy_frame(now, was->nrules + now->nrules);

	if (c == NULL)
		return (NULL);
	c->since = was->version;
	if (add_changed(c, was, now) == 0)
		return (c);
	site_free(c);
	return (NULL);
}

/* Adds the rules of a configuration that a change does not name; 0, or -1. */
static int
add_kept(struct site *t, const struct site *was, const struct site *change)
{
	int i, k = 0, order = 1;

	for (i = 0; i < was->nrules; i++) {
		while (k < change->nrules &&
		    (order = rule_cmp(&change->rules[k], &was->rules[i])) < 0)
			k++;
		if (k < change->nrules && order == 0)
			continue;
		if (add_copy(t, was, &was->rules[i]) != 0)
			return (-1);
	}
	return (0);
}

/*
 * The configuration that a change makes of the one that it is of; NULL where it
 * is of another, or a rule that stays has lost its service: what would come of
 * it is none that the operator wrote.
 */
struct site *
site_apply(const struct site *was, const struct site *change)
{
	struct site *t;
	int i, bad;

	if (was->version != change->since)
		return (NULL);
	t = copy_frame(change, was->nrules + change->nrules);
	if (t == NULL)
		return (NULL);
	bad = add_kept(t, was, change) != 0;
	for (i = 0; i < change->nrules && !bad; i++) {
		if (!change->rules[i].gone)
			bad = add_copy(t, change, &change->rules[i]) != 0;
	}
	if (bad) {
		site_free(t);
		return (NULL);
	}
	site_seal(t);
	return (t);
}
