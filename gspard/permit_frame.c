#include <string.h>

#include "frame.h"
#include "permit_frame.h"

/* Times in a datagram are at most this long. */
#define TIME_MAX_MS 3600000

/* Encodes a time as milliseconds; 0 if it has passed. */
static uint32_t
to_ms(usec t)
{
	if (t <= 0)
		return (0);
	return ((uint32_t)(t < MS(TIME_MAX_MS) ? t / 1000 : TIME_MAX_MS));
}

/* Encodes a time as microseconds. */
static uint32_t
to_us(usec t)
{
	if (t <= 0)
		return (0);
	return ((uint32_t)(t < MS(TIME_MAX_MS) ? t : MS(TIME_MAX_MS)));
}

/* Fills in an ask. */
static void
fill_ask(Gspar__PermitAsk *f, const struct permit_msg *m)
{
	gspar__permit_ask__init(f);
	f->id = m->id;
	f->service = (char *)m->service;
	f->target = (char *)m->target;
	f->avoid = (char *)m->avoid;
	f->rank = (uint32_t)(m->rank > 0 ? m->rank : 0);
	f->no_wait = m->no_wait;
	f->left_ms = to_ms(m->left);
	f->aim_ms = to_ms(m->aim_left);
	f->work_us = to_us(m->work);
}

/* Fills in an end. */
static void
fill_end(Gspar__PermitEnd *f, const struct permit_msg *m)
{
	const struct dest_answer *a = &m->answer;

	gspar__permit_end__init(f);
	f->id = m->id;
	f->service = (char *)m->service;
	f->end = (uint32_t)a->end;
	f->took_us = to_us(a->took);
	f->expected_us = to_us(a->expected);
	f->has_load = a->load.reported;
	if (!a->load.reported)
		return;
	f->running = (uint32_t)a->load.running;
	f->waiting = (uint32_t)a->load.waiting;
}

/* Encodes a message into buf; returns its size, or 0 if it is too large. */
size_t
permit_pack(const struct permit_msg *m, uint8_t *buf, size_t size)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Permits p = GSPAR__PERMITS__INIT;
	Gspar__PermitAsk ask, *asks = &ask;
	Gspar__PermitReply reply, *replies = &reply;
	Gspar__PermitEnd end, *ends = &end;

	p.host = (char *)m->host;
	switch (m->kind) {
	case PERMIT_ASK:
		fill_ask(&ask, m);
		p.n_asks = 1;
		p.asks = &asks;
		break;
	case PERMIT_REPLY:
		gspar__permit_reply__init(&reply);
		reply.id = m->id;
		reply.verdict = (uint32_t)m->verdict;
		reply.target = (char *)m->target;
		reply.wait_ms = to_ms(m->wait);
		p.n_replies = 1;
		p.replies = &replies;
		break;
	case PERMIT_END:
		fill_end(&end, m);
		p.n_ends = 1;
		p.ends = &ends;
		break;
	}
	f.body_case = GSPAR__FRAME__BODY_PERMITS;
	f.permits = &p;
	if (gspar__frame__get_packed_size(&f) > size)
		return (0);
	return (gspar__frame__pack(&f, buf));
}

/* Stores a name, which may be empty; returns -1 if it is none. */
static int
read_name(char *name, const char *text)
{
	if (text[0] != '\0' && !name_ok(text, strlen(text)))
		return (-1);
	name_copy(name, NAME_MAX_GS, text);
	return (0);
}

/* Stores the id of a target's incarnation, or ""; returns -1 if it is too long.
 */
static int
read_target(char *id, const char *text)
{
	if (strlen(text) >= NAME_MAX_GS)
		return (-1);
	name_copy(id, NAME_MAX_GS, text);
	return (0);
}

/* Decodes an ask. */
static int
read_ask(struct permit_msg *m, const Gspar__PermitAsk *f)
{
	m->kind = PERMIT_ASK;
	m->id = f->id;
	m->rank = f->rank > ADMISSION_RANKS ? ADMISSION_RANKS : (int)f->rank;
	m->no_wait = f->no_wait;
	m->left = MS(f->left_ms > TIME_MAX_MS ? TIME_MAX_MS : f->left_ms);
	m->aim_left = MS(f->aim_ms > TIME_MAX_MS ? TIME_MAX_MS : f->aim_ms);
	m->work = f->work_us;
	return (read_name(m->service, f->service) != 0 ||
		    read_target(m->target, f->target) != 0 ||
		    read_target(m->avoid, f->avoid) != 0
		? -1
		: 0);
}

/* Decodes a reply. */
static int
read_reply(struct permit_msg *m, const Gspar__PermitReply *f)
{
	m->kind = PERMIT_REPLY;
	m->id = f->id;
	m->wait = MS(f->wait_ms > TIME_MAX_MS ? TIME_MAX_MS : f->wait_ms);
	if (f->verdict > ADMISSION_UNKNOWN)
		return (-1);
	m->verdict = (enum admission_verdict)f->verdict;
	return (read_target(m->target, f->target));
}

/* Decodes an end. */
static int
read_end(struct permit_msg *m, const Gspar__PermitEnd *f)
{
	struct dest_answer *a = &m->answer;

	m->kind = PERMIT_END;
	m->id = f->id;
	if (f->end > DEST_NOT_SENT || f->running > INT32_MAX ||
	    f->waiting > INT32_MAX)
		return (-1);
	a->end = (enum dest_end)f->end;
	a->took = f->took_us;
	a->expected = f->expected_us;
	a->load.reported = f->has_load;
	a->load.running = (int)f->running;
	a->load.waiting = (int)f->waiting;
	return (read_name(m->service, f->service));
}

/* Decodes a datagram, which holds one message; returns 0, or -1 if it is
 * malformed. */
int
permit_unpack(struct permit_msg *m, const uint8_t *p, size_t n)
{
	Gspar__Frame *f = frame_unpack(p, n);
	const Gspar__Permits *in;
	int result = -1;

	memset(m, 0, sizeof(*m));
	if (f == NULL || f->body_case != GSPAR__FRAME__BODY_PERMITS) {
		frame_free(f);
		return (-1);
	}
	in = f->permits;
	if (in->host[0] == '\0' || read_name(m->host, in->host) != 0 ||
	    in->n_asks + in->n_replies + in->n_ends != 1)
		result = -1;
	else if (in->n_asks > 0)
		result = read_ask(m, in->asks[0]);
	else if (in->n_replies > 0)
		result = read_reply(m, in->replies[0]);
	else
		result = read_end(m, in->ends[0]);
	frame_free(f);
	return (result);
}
