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
	if (f->id == ANSWER_ID_NONE)
		return (f->new_conn && !f->is_signed);
	/* An attempt that is followed by another on the same connection did not
	 * run, so only a refusal can be a second one to it. */
	return (!f->not_run || !f->resent || f->idempotent);
}
