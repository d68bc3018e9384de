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

/* Where the rules for the same requests as the i-th end. */
static int
group_end(const struct site *t, int i)
{
	int n = i + 1;

	while (n < t->nrules && rule_cmp(&t->rules[i], &t->rules[n]) == 0)
		n++;
	return (n);
}

/* Adds what became of one group of rules, from is to be before to; 0, or -1. */
static int
add_group(struct site *c, const struct site *was, int from, int from_end,
    const struct site *now, int to, int to_end)
{
	int i;

	for (i = 0; from_end - from == to_end - to && i < to_end - to; i++) {
		if (!same(was, &was->rules[from + i], now, &now->rules[to + i]))
			break;
	}
	if (from_end - from == to_end - to && i == to_end - to)
		return (0);
	for (i = to; i < to_end; i++) {
		if (add_copy(c, now, &now->rules[i]) != 0)
			return (-1);
	}
	if (to < to_end)
		return (0);
	if (rule_copy(&c->rules[c->nrules++], &was->rules[from]) != 0)
		return (-1);
	c->rules[c->nrules - 1].gone = 1;
	c->rules[c->nrules - 1].nparts = 0;
	return (0);
}

/* What makes one configuration of another; NULL without memory. */
struct site *
site_change(const struct site *was, const struct site *now)
{
	struct site *c = copy_frame(now, was->nrules + now->nrules);
	int i = 0, k = 0, i_end, k_end, order;

	while (c != NULL && (i < was->nrules || k < now->nrules)) {
		if (i == was->nrules)
			order = 1;
		else if (k == now->nrules)
			order = -1;
		else
			order = rule_cmp(&was->rules[i], &now->rules[k]);
		i_end = order <= 0 ? group_end(was, i) : i;
		k_end = order >= 0 ? group_end(now, k) : k;
		if (add_group(c, was, i, i_end, now, k, k_end) != 0) {
			site_free(c);
			return (NULL);
		}
		i = i_end;
		k = k_end;
	}
	if (c != NULL)
		c->since = was->version;
	return (c);
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
