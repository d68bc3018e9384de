#include <string.h>

#include "answers.h"

/* Compares the id in an answer, "" if it has none, with that of the request. */
enum answer_id
answer_id_of(const char *received, const char *sent)
{
	if (received[0] == '\0')
		return (ANSWER_ID_NONE);
	return (strcmp(received, sent) == 0 ? ANSWER_ID_OWN : ANSWER_ID_OTHER);
}

/* Records that an attempt was sent to an address from a port. */
void
sends_add(struct sends *s, uint64_t addr, int port)
{
	if (s->n < SENDS_MAX) {
		s->list[s->n].addr = addr;
		s->list[s->n].port = port;
	}
	s->n++;
}

/* True if an attempt may have been sent to the address from the port. */
int
sends_include(const struct sends *s, uint64_t addr, int port)
{
	int i;

	for (i = 0; i < s->n && i < SENDS_MAX; i++) {
		if (s->list[i].addr == addr && s->list[i].port == port)
			return (1);
	}
	return (s->n > SENDS_MAX);
}

/* Records that an attempt was certainly refused. */
void
sends_refused(struct sends *s)
{
	s->nrefused++;
}

/* True if an attempt may have run, or may yet: its caller must not be told that
 * the request did not run. */
int
sends_may_have_run(const struct sends *s)
{
	return (s->n > s->nrefused);
}

/*
 * True if a refusal certainly says that this attempt did not run.  The target
 * has to say so, not only by its status, and to name the request if that has an
 * id: bytes that were sent before it was read do not.  Only answers of runs are
 * signed.  An attempt that is followed by another on the same connection did
 * not run, so that only a refusal can be a second answer to it.
 */
static int
refusal_is_certain(const struct answer_facts *f)
{
	return (f->is_stated && !f->is_signed && !f->resent &&
	    (f->id == ANSWER_ID_OWN || !f->has_id));
}

/*
 * True if the answer that came where one is due is certain to be that to the
 * attempt sent last on its connection.
 */
int
answer_is_own(const struct answer_facts *f)
{
	if (f->id == ANSWER_ID_OTHER)
		return (0);
	/* Targets name the request in all answers, and leave that out only if
	 * they could not read it. */
	if (f->id == ANSWER_ID_NONE &&
	    (!f->new_conn || (f->is_signed && f->has_id)))
		return (0);
	return (!f->not_run || refusal_is_certain(f));
}
