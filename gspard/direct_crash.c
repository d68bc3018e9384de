/* Reports of crashing targets to the control service, and the check whether a
 * quarantined content may run. */
#include "direct.h"

/* Retry delay for a content on probation. */
#define PROBATION_RETRY_DELAY MS(1000)

/* Reports the end of a target: its address refuses connections or belongs to
 * another target, or its entry was removed though it had not announced that it
 * leaves. */
void
crash_add_end(struct direct *d, struct target_state *s)
{
	struct crash_report *n = &d->crashes;

	if (s->ended || n->nended == CRASH_REPORT_MAX)
		return;
	s->ended = 1;
	n->ended[n->nended++] = s->digest;
}

/* Returns the controller's quarantine list, or NULL. */
static const struct quarantine_list *
current_list(const struct direct *d)
{
	return (d->quarantine == NULL ? NULL : d->quarantine->p);
}

/* True if a content is on probation. */
static int
on_probation(const struct direct *d, uint64_t digest, usec now)
{
	const struct quarantine_item *item =
	    quarantine_find(current_list(d), digest, now);

	return (item != NULL && item->probation);
}

/* Reports an answer to a content on probation to the controller. */
static void
report_answer(struct direct *d, uint64_t digest)
{
	struct crash_report *n = &d->crashes;

	if (n->nanswered < CRASH_REPORT_MAX)
		n->answered[n->nanswered++] = digest;
}

/* Records an answer. */
void
crash_add_answer(struct direct *d, uint64_t digest, usec now)
{
	recent_add(&d->recent_answers, digest, now);
	if (on_probation(d, digest, now))
		report_answer(d, digest);
}

/* Records whether the content of a request that is sent is on probation. */
void
crash_mark_sent(struct direct *d, struct pending *p, usec now)
{
	p->attempt->on_probation = on_probation(d, p->digest, now);
}

/* Records that an attempt on probation ended without an answer. */
void
crash_add_unanswered(struct direct *d, const struct pending *p, usec now)
{
	if (p->attempt != NULL && p->attempt->on_probation)
		recent_add(&d->probation_unanswered, p->digest, now);
}

/* Reports recent answers to contents that a new list has on probation. */
void
crash_list_changed(struct direct *d, usec now)
{
	const struct quarantine_list *l = current_list(d);
	int i;

	for (i = 0; i < l->n; i++) {
		if (l->items[i].probation &&
		    recent_has(&d->recent_answers, l->items[i].digest, now))
			report_answer(d, l->items[i].digest);
	}
}

/* True if this host has an attempt with the content in flight. */
static int
is_running(const struct direct *d, uint64_t digest)
{
	const struct pending *p;

	for (p = d->first; p != NULL; p = p->next) {
		if (p->digest == digest && p->attempt != NULL)
			return (1);
	}
	return (0);
}

/*
 * True if the content of a request permits a run; else sets the retry delay.
 * On probation one host runs it, one at a time, so that a crash has one
 * possible cause.
 */
int
crash_may_run(struct direct *d, const struct pending *p, usec *wait, usec now)
{
	const struct quarantine_item *item =
	    quarantine_find(current_list(d), p->digest, now);

	if (item == NULL)
		return (1);
	if (!item->probation) {
		*wait = quarantine_item_left(item, now);
		return (0);
	}
	*wait = PROBATION_RETRY_DELAY;
	if (recent_has(&d->recent_answers, p->digest, now))
		return (1);
	return (d->hosts_known &&
	    quarantine_runs_here(p->digest, d->rank, d->conf.hosts) &&
	    !is_running(d, p->digest) &&
	    !recent_has(&d->probation_unanswered, p->digest, now));
}

/* Reports an attempt that ended without an answer: the request may have crashed
 * the target. */
void
crash_add_break(struct direct *d, const struct pending *p,
    const struct target_state *s, usec now)
{
	struct crash_report *n = &d->crashes;

	if (n->nbroken == CRASH_REPORT_MAX ||
	    recent_has(&d->recent_answers, p->digest, now))
		return;
	n->broken[n->nbroken].digest = p->digest;
	n->broken[n->nbroken].on_probation = p->attempt->on_probation;
	n->broken[n->nbroken++].target = s->digest;
}
