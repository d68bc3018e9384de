#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "gspard.h"

/* Allocates a message; NULL if out of memory. */
struct msg *
msg_new(enum msg_kind kind)
{
	struct msg *m;

	m = calloc(1, sizeof(*m));
	if (m != NULL)
		m->kind = kind;
	return (m);
}

/* Frees a message and all it carries. */
void
msg_free(struct msg *m)
{
	if (m == NULL)
		return;
	frame_free(m->frame);
	free(m->bytes.p);
	if (m->data != NULL && m->free_data != NULL)
		m->free_data(m->data);
	free(m);
}

/*
 * Sends data to a service, which takes it over.  If the ring is full, frees the
 * data with free_data(), unless that is NULL, and returns -1: a sender whose
 * data must not be lost has to check.
 */
int
msg_post(struct kernel *k, const char *to, enum msg_kind kind, void *data,
    void (*free_data)(void *))
{
	struct msg *m;

	m = msg_new(kind);
	if (m == NULL) {
		if (free_data != NULL)
			free_data(data);
		return (-1);
	}
	m->data = data;
	m->free_data = free_data;
	if (kernel_send(k, to, m) == 0)
		return (0);
	msg_free(m);
	return (-1);
}

/* Returns the service that handles a frame. */
static const char *
frame_service(const Gspar__Frame *f)
{
	switch (f->body_case) {
	case GSPAR__FRAME__BODY_REQUEST:
	case GSPAR__FRAME__BODY_CANCEL:
		return ("dispatch");
	case GSPAR__FRAME__BODY_ANSWER:
		return ("router");
	default:
		return ("control");
	}
}

/* Passes a frame from a peer or this host to its service; owns the frame. */
void
deliver_frame(
    struct kernel *k, const char *host, uint64_t conn, Gspar__Frame *f)
{
	struct msg *m;

	m = msg_new(MSG_FRAME);
	if (m == NULL) {
		frame_free(f);
		return;
	}
	name_copy(m->host, sizeof(m->host), host);
	m->conn = conn;
	m->frame = f;
	/*
	 * Dropped if the ring is full: the sender's deadline then ends the
	 * request with outcome "unknown", and a counter shows the loss.
	 */
	if (kernel_send(k, frame_service(f), m) != 0)
		msg_free(m);
}

/*
 * Sends a frame to a host, or on the connection conn if that is not 0.  A frame
 * to this host itself does not leave the process.
 */
void
send_frame(
    struct kernel *k, const char *host, uint64_t conn, const Gspar__Frame *f)
{
	struct bytes b;
	struct msg *m;
	Gspar__Frame *copy;

	if (frame_pack(&b, f) != 0) {
		log_line(LOG_ERR, "peer", "Frame too large, not sent.");
		return;
	}
	if (strcmp(host, kernel_conf(k)->host) == 0) {
		copy = frame_unpack(
		    b.p + FRAME_HEADER_SIZE, b.n - FRAME_HEADER_SIZE);
		free(b.p);
		if (copy != NULL)
			deliver_frame(k, host, 0, copy);
		return;
	}
	m = msg_new(MSG_SEND);
	if (m == NULL) {
		free(b.p);
		return;
	}
	name_copy(m->host, sizeof(m->host), host);
	m->conn = conn;
	m->bytes = b;
	m->state = frame_is_state(f);
	if (f->body_case == GSPAR__FRAME__BODY_REQUEST)
		m->corr = f->request->corr;
	if (frame_is_control(f)) {
		count_add(C_CONTROL_FRAMES, 1);
		count_add(C_CONTROL_BYTES, b.n);
	}
	if (kernel_send(k, "peer", m) != 0)
		msg_free(m);
}

/* Makes a reference-counted object with one reference; free_data() frees p. */
struct shared *
shared_new(void *p, void (*free_data)(void *))
{
	struct shared *s;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return (NULL);
	s->refs = 1;
	s->p = p;
	s->free_data = free_data;
	return (s);
}

/* Adds a reference. */
struct shared *
shared_ref(struct shared *s)
{
	__atomic_add_fetch(&s->refs, 1, __ATOMIC_RELAXED);
	return (s);
}

/* Drops a reference; takes void * to serve as a message's free_data(). */
void
shared_unref(void *arg)
{
	struct shared *s = arg;

	if (s == NULL || __atomic_sub_fetch(&s->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	s->free_data(s->p);
	free(s);
}

/* Moves the shared object of a message to *at, which drops its earlier one. */
void
msg_take_snapshot(struct msg *m, struct shared **at)
{
	shared_unref(*at);
	*at = m->data;
	m->data = NULL;
}

/* Allocates a store call for store_send(); NULL if out of memory. */
struct store *
store_new(enum store_op op, const char *reply_to, const char *path)
{
	struct store *s;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return (NULL);
	s->op = op;
	s->reply_to = reply_to;
	name_copy(s->path, sizeof(s->path), path);
	return (s);
}

/* Frees a store call. */
void
store_free(void *arg)
{
	struct store *s = arg;

	str_free(&s->body);
	str_free(&s->after);
	str_free(&s->last);
	json_decref(s->parsed);
	free(s->items);
	free(s);
}

/* Sends a store call; if the ring is full, it ends as one without answer. */
void
store_send(struct kernel *k, struct store *s)
{
	struct msg *m;

	m = msg_new(MSG_STORE_CALL);
	if (m == NULL) {
		store_free(s);
		return;
	}
	m->data = s;
	m->free_data = store_free;
	if (kernel_send(k, "platform", m) == 0)
		return;
	m->kind = MSG_STORE_DONE;
	s->status = 0;
	if (kernel_send(k, s->reply_to, m) != 0)
		msg_free(m);
}

/* Frees a lease message. */
void
lease_free(void *arg)
{
	struct lease *l = arg;

	free(l->duties);
	free(l);
}
