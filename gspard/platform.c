/* The service that sends calls to the platform's store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "framing.h"
#include "hist.h"
#include "objects.h"
#include "store.h"
#include "transfer.h"
#include "version.h"

/* Timeout of a call; an answer that comes later is too late for any lease. */
#define CALL_TIMEOUT_MS 1500
/*
 * Lists and changes may be large: their timeout is longer while bytes arrive,
 * and CALL_TIMEOUT_MS applies to gaps between these.  With CALL_TIMEOUT_MS for
 * the whole answer, a link that needs longer than that for 750 KB would
 * never complete a read, as each is given up most of the way.
 */
#define LARGE_TIMEOUT_MS 10000
/* Longest wait for events, without large calls in flight and with. */
#define POLL_IDLE_MS 1000
#define POLL_LARGE_MS 100
/* Largest body of an answer, in bytes: an object and a page of a list have
 * about 1 MB at most, but a watch may bring many changes. */
#define ANSWER_MAX (8u * 1024 * 1024)

struct store_call;

/* The platform service. */
struct platform {
	CURLM *multi;
	struct store_call *calls;
	int addr_index; /* index of the address in use */
	struct store_era era;
	int stop;
};

/* A call in flight. */
struct store_call {
	struct store_call *next;
	struct store_call **link;
	struct store *store;
	const struct store_form *form;
	CURL *easy;
	struct curl_slist *headers;
	struct framing framing; /* of the answer */
	struct str body;
	int addr_index; /* index of the address that it was sent to */
	usec sent;
	usec received_at; /* when bytes last arrived */
};

/* Appends received bytes to the answer's body. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct store_call *c = arg;

	c->received_at = clock_mono();
	return (framing_collect(&c->framing, &c->body, p, size * n));
}

/* Passes the headers of the answer's own head to the kind of store. */
static size_t
on_header(char *p, size_t size, size_t n, void *arg)
{
	struct store_call *c = arg;
	enum framing_line line = framing_line(&c->framing, p, size * n);

	if (line == FRAMING_FIELD && c->form->header != NULL)
		c->form->header(c->store, p, size * n);
	return (line == FRAMING_INVALID ? 0 : size * n);
}

/* Removes a call from the list and frees it. */
static void
call_free(struct store_call *c)
{
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	if (c->easy != NULL)
		curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	str_free(&c->body);
	if (c->store != NULL)
		store_free(c->store);
	free(c);
}

/* Returns the kind of store that the settings name. */
static const struct store_form *
store_form_of(const struct conf *conf)
{
	return (conf->form == FORM_OBJECTS ? &objects_form : &native_form);
}

/* True for calls whose answer may be large. */
static int
is_large(const struct store *st)
{
	return (st->op == STORE_LIST || st->op == STORE_WATCH);
}

/* Starts a call; the service owns st from here on. */
static void
call_start(struct service *s, struct store *st)
{
	struct platform *p = s->state;
	struct store_call *c;
	struct store_http h;

	memset(&h, 0, sizeof(h));
	c = calloc(1, sizeof(*c));
	if (c == NULL || (c->easy = curl_easy_init()) == NULL) {
		free(c);
		store_free(st);
		return;
	}
	framing_init(&c->framing, ANSWER_MAX, ANSWER_MAX, 0);
	c->store = st;
	c->addr_index = p->addr_index;
	c->sent = c->received_at = clock_mono();
	c->next = p->calls;
	c->link = &p->calls;
	if (c->next != NULL)
		c->next->link = &c->next;
	p->calls = c;
	c->form = store_form_of(kernel_conf(s->kernel));
	c->form->request(
	    st, kernel_conf(s->kernel)->platform[p->addr_index], &h);
	curl_easy_setopt(c->easy, CURLOPT_URL, h.url.p);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
	    (long)((is_large(st) ? LARGE_TIMEOUT_MS : CALL_TIMEOUT_MS) +
		st->wait_ms));
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, 500L);
	curl_easy_setopt(
	    c->easy, CURLOPT_SOCKOPTFUNCTION, transfer_set_keepalive);
	curl_easy_setopt(
	    c->easy, CURLOPT_USERAGENT, kernel_conf(s->kernel)->host);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, h.method);
	if (h.header[0] != '\0')
		c->headers = curl_slist_append(c->headers, h.header);
	if (h.body.n > 0) {
		c->headers = curl_slist_append(c->headers, "Expect:");
		c->headers = curl_slist_append(
		    c->headers, "Content-Type: application/json");
		curl_easy_setopt(
		    c->easy, CURLOPT_POSTFIELDSIZE, (long)h.body.n);
		curl_easy_setopt(c->easy, CURLOPT_COPYPOSTFIELDS, h.body.p);
		/* On a cached connection that has died libcurl would send a
		 * write again, which may have been done. */
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	}
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	str_free(&h.url);
	str_free(&h.body);
	count_add(st->op == STORE_PUT ? C_STORE_PUT : C_STORE_GET, 1);
	count_add(C_STORE_LIST, st->op == STORE_LIST);
	curl_multi_add_handle(p->multi, c->easy);
}

/*
 * Switches to the platform's next address after a call without an answer.  A
 * call that was sent before an earlier switch does not cause another, or
 * several calls that fail together would skip an address that works.
 */
static void
switch_address(struct service *s, const struct store_call *c)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct platform *p = s->state;

	if (conf->nplatforms < 2 || c->addr_index != p->addr_index)
		return;
	p->addr_index = (p->addr_index + 1) % conf->nplatforms;
	log_line(LOG_NOTICE, "platform", "No answer from %s, switching to %s.",
	    conf->platform[c->addr_index], conf->platform[p->addr_index]);
}

/* Adds the era to the versions in a response. */
static void
add_era(struct store *st)
{
	int i;

	st->version = version_make(st->era, st->version);
	for (i = 0; i < st->nitems; i++)
		st->items[i].version =
		    version_make(st->era, st->items[i].version);
}

/*
 * Discards a response that no longer holds.  One of an earlier era was sent
 * before the store came back from a copy.  A watch that began in another era
 * may have missed changes: the revision that it began from may have been given
 * out again.
 */
static void
check_era(const struct platform *p, struct store *st)
{
	/* Nothing was done, in whichever era. */
	if (st->result == STORE_REFUSED || st->result == STORE_RATE_LIMITED)
		return;
	if (st->era < p->era.number)
		st->result = STORE_NO_REPLY;
	else if (st->op == STORE_WATCH && st->result == STORE_DONE &&
	    st->base != 0 && version_era(st->base) != st->era)
		st->result = STORE_COMPACTED;
}

/* Records the era of a response, and logs that it has risen. */
static void
note_era(struct platform *p, const struct store *st)
{
	uint64_t was = p->era.number;

	if (era_rose(&p->era, st->era))
		log_line(LOG_WARNING, "platform",
		    "The store has come back from an old copy, era %llu, was "
		    "%llu.",
		    (unsigned long long)st->era, (unsigned long long)was);
}

/* Logs a write that was refused because the object has another version. */
static void
log_conflict(const struct store *st)
{
	if (st->op == STORE_PUT && st->result == STORE_CONFLICT)
		log_line(LOG_INFO, "platform",
		    "Write of %s refused: based on revision %llu, the store "
		    "has revision %llu, era %llu.",
		    st->path, (unsigned long long)version_revision(st->base),
		    (unsigned long long)version_revision(st->version),
		    (unsigned long long)st->era);
}

/* Sends a call's outcome to the service that made it, and the call with it. */
static void
send_outcome(struct service *s, struct store *st)
{
	struct msg *m = msg_new(MSG_STORE_DONE);

	if (m == NULL) {
		store_free(st);
		return;
	}
	m->data = st;
	m->free_data = store_free;
	if (kernel_send(s->kernel, st->reply_to, m) != 0)
		msg_free(m);
}

/*
 * Ends a call whose base is of an earlier era without sending it.  Its revision
 * may have been given out again, and a write would then replace what its sender
 * has not read.
 */
static int
ends_outdated(struct service *s, struct store *st)
{
	const struct platform *p = s->state;

	if ((st->op != STORE_PUT && st->op != STORE_WATCH) || st->base == 0 ||
	    version_era(st->base) >= p->era.number)
		return (0);
	st->result = st->op == STORE_PUT ? STORE_CONFLICT : STORE_COMPACTED;
	st->era = p->era.number;
	send_outcome(s, st);
	return (1);
}

/*
 * Has a watch begin anew from a list if its changes are too large to be read:
 * the list has each object once, and the same changes would come again.
 */
static void
end_large_watch(const struct platform *p, struct store *st)
{
	log_line(LOG_WARNING, "platform",
	    "Changes of %s since revision %llu are over %u bytes.", st->path,
	    (unsigned long long)version_revision(st->base), ANSWER_MAX);
	st->result = STORE_COMPACTED;
	st->era = p->era.number;
}

/* Ends a call that got a response, or got none: one that is not whole is
 * none. */
static void
call_finish(struct service *s, struct store_call *c, CURLcode res)
{
	struct store *st = c->store;
	int whole = framing_is_whole(&c->framing, res == CURLE_OK);

	if (!whole) {
		count_add(C_STORE_FAIL, 1);
		switch_address(s, c);
	}
	st->duration = clock_mono() - c->sent;
	/* Not for a watch, in which the store waits for changes. */
	if (st->wait_ms == 0)
		hist_add(H_STORE, st->duration);
	st->status = whole ? c->framing.status : 0;
	str_free(&st->body);
	st->body = c->body;
	memset(&c->body, 0, sizeof(c->body));
	if (st->status != 0) {
		c->form->response(st);
		add_era(st);
		note_era(s->state, st);
		check_era(s->state, st);
		log_conflict(st);
	} else if (st->op == STORE_WATCH && c->framing.too_large)
		end_large_watch(s->state, st);
	c->store = NULL;
	send_outcome(s, st);
}

/* Handles all messages in the ring. */
static void
handle_messages(struct service *s)
{
	struct platform *p = s->state;
	struct msg *m;

	while ((m = ring_get(s->in)) != NULL) {
		if (m->kind == MSG_STORE_CALL) {
			if (!ends_outdated(s, m->data))
				call_start(s, m->data);
			m->data = NULL;
		} else if (m->kind == MSG_QUIT)
			p->stop = 1;
		msg_free(m);
	}
}

/* Handles all calls that have ended. */
static void
calls_reap(struct service *s)
{
	struct platform *p = s->state;
	struct store_call *c;
	CURLMsg *cm;
	int left;

	while ((cm = curl_multi_info_read(p->multi, &left)) != NULL) {
		if (cm->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(cm->easy_handle, CURLINFO_PRIVATE, &c);
		call_finish(s, c, cm->data.result);
		curl_multi_remove_handle(p->multi, c->easy);
		call_free(c);
	}
}

/* True if no byte has arrived for too long; the answer to a watch may begin
 * late. */
static int
is_stalled(const struct store_call *c, usec now)
{
	int ms = CALL_TIMEOUT_MS +
	    (c->received_at == c->sent ? c->store->wait_ms : 0);

	return (is_large(c->store) && now - c->received_at > MS(ms));
}

/* Ends stalled calls; returns the time until the next check, in ms. */
static int
end_stalled(struct service *s, usec now)
{
	struct platform *p = s->state;
	struct store_call *c, *next;
	int wait = POLL_IDLE_MS;

	for (c = p->calls; c != NULL; c = next) {
		next = c->next;
		if (is_large(c->store))
			wait = POLL_LARGE_MS;
		if (!is_stalled(c, now))
			continue;
		curl_multi_remove_handle(p->multi, c->easy);
		call_finish(s, c, CURLE_OPERATION_TIMEDOUT);
		call_free(c);
	}
	return (wait);
}

/* Runs the service's thread until MSG_QUIT. */
static void
platform_run(struct service *s)
{
	struct platform *p = s->state;
	int running, wait;

	while (!p->stop) {
		handle_messages(s);
		curl_multi_perform(p->multi, &running);
		calls_reap(s);
		wait = end_stalled(s, clock_mono());
		if (!p->stop)
			curl_multi_poll(p->multi, NULL, 0, wait, NULL);
	}
}

/* Opens the service; 0, or -1 on failure. */
static int
platform_open(struct service *s)
{
	struct platform *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL || (p->multi = curl_multi_init()) == NULL) {
		free(p);
		return (-1);
	}
	s->state = p;
	ring_set_wake(s->in, transfers_wake, p->multi);
	return (0);
}

/* Frees the service's state; calls in flight end with an unknown outcome. */
static void
platform_close(struct service *s)
{
	struct platform *p = s->state;

	ring_set_wake(s->in, NULL, NULL);
	while (p->calls != NULL) {
		curl_multi_remove_handle(p->multi, p->calls->easy);
		call_free(p->calls);
	}
	curl_multi_cleanup(p->multi);
	free(p);
}

const struct service_ops platform_service = {
    "platform", 1024, platform_open, platform_run, platform_close};
