/* The dispatcher's targets: their grants, their shards and the short calls to
 * them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <apr_general.h>

#include "dispatch.h"
#include "transfer.h"
#include "view.h"

/* Timeout of a short call. */
#define TARGET_CALL_TIMEOUT_MS 300
/* Largest body of an answer to one, in bytes. */
#define CALL_ANSWER_MAX 65536
/* Budget of requests retried after a target was silent: their share of all
 * requests, and the largest burst. */
#define RETRY_SHARE 0.1
#define RETRY_BURST 64

/* Returns a target by name, or NULL. */
struct target *
target_find(struct dispatch *d, const char *name)
{
	struct target *t;

	for (t = d->targets; t != NULL; t = t->next) {
		if (strcmp(t->name, name) == 0)
			return (t);
	}
	return (NULL);
}

/* Frees a packed answer, the value of a ticket table's slots. */
static void
free_answer(void *arg)
{
	struct bytes *b = arg;

	free(b->p);
	free(b);
}

/* Copies the target's settings from the catalogue; 0, or -1 if the catalogue
 * does not have it. */
int
target_configure(struct dispatch *d, struct target *t)
{
	const struct catalogue *cat;
	const struct target_conf *tc;
	const struct entry *e;
	int i, k;

	if (d->catalogue == NULL)
		return (-1);
	cat = d->catalogue->p;
	for (i = 0; i < cat->n; i++) {
		e = cat->entries[i];
		for (k = 0; k < e->ncells; k++) {
			if (strcmp(e->cells[k].name, t->cell) != 0)
				continue;
			tc = cell_conf_target(&e->cells[k], t->name);
			if (tc == NULL)
				continue;
			name_copy(t->service, sizeof(t->service), e->name);
			name_copy(t->addr, sizeof(t->addr), tc->addr);
			t->first = e->cells[k].first;
			t->shards = e->cells[k].last - t->first + 1;
			t->class = e->class;
			t->answer_max = (size_t)e->answer;
			queue_resize(
			    &t->queue, (unsigned)tc->slots, (unsigned)e->queue);
			return (0);
		}
	}
	return (-1);
}

/* Starts to dispatch for a target; NULL if memory is exhausted or this
 * host's catalogue does not have the target. */
struct target *
target_new(struct service *s, const char *name, const struct dispatch_cell *c,
    const struct duty *duty, usec now)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct grant_conf gc = {MS(conf->grant_ms), MS(conf->renew_ms)};
	struct dispatch *d = s->state;
	struct target *t;
	uint64_t table;

	t = calloc(1, sizeof(*t));
	if (t == NULL)
		return (NULL);
	name_copy(t->name, sizeof(t->name), name);
	name_copy(t->cell, sizeof(t->cell), c->name);
	queue_init(&t->queue, 1, 1);
	if (target_configure(d, t) != 0) {
		free(t);
		return (NULL);
	}
	t->fence = calloc(t->shards, sizeof(*t->fence));
	t->moving = calloc(t->shards, sizeof(*t->moving));
	t->excluded = calloc(t->shards, sizeof(*t->excluded));
	t->inflight = calloc(t->shards, sizeof(*t->inflight));
	t->busy = calloc(t->shards, sizeof(*t->busy));
	apr_generate_random_bytes((unsigned char *)&table, sizeof(table));
	if (once_init(&t->once, table, TICKETS_MAX, free_answer) != 0 ||
	    t->fence == NULL || t->moving == NULL || t->excluded == NULL ||
	    t->inflight == NULL || t->busy == NULL) {
		target_free(s, t);
		return (NULL);
	}
	grant_init(&t->grant, &gc, duty->epoch, now);
	budget_init(&t->retry_budget, RETRY_SHARE, RETRY_BURST);
	t->min_view = duty->min_view;
	t->loads_since = now;
	t->next = d->targets;
	d->targets = t;
	event_add("dispatch", 0, "target %s taken over", name);
	return (t);
}

/* Frees a short call; aborts one in flight. */
static void
target_call_free(struct service *s, struct target_call *n)
{
	struct dispatch *d = s->state;

	*n->link = n->next;
	if (n->next != NULL)
		n->next->link = n->link;
	curl_multi_remove_handle(d->multi, n->easy);
	curl_easy_cleanup(n->easy);
	str_free(&n->out);
	str_free(&n->in);
	free(n);
}

/* Frees a target with its short calls and runs. */
void
target_free(struct service *s, struct target *t)
{
	struct dispatch *d = s->state;
	struct target **at;

	for (at = &d->targets; *at != NULL; at = &(*at)->next) {
		if (*at == t) {
			*at = t->next;
			break;
		}
	}
	while (t->target_calls != NULL)
		target_call_free(s, t->target_calls);
	while (t->runs != NULL)
		run_free(s, t->runs);
	once_free(&t->once);
	free(t->fence);
	free(t->moving);
	free(t->excluded);
	free(t->inflight);
	free(t->busy);
	free(t);
}

/*
 * Removes moving shards from the wanted set once none of their requests runs,
 * and adds those whose move was cancelled.
 */
void
target_update_wanted(struct target *t)
{
	uint32_t i;
	int out;

	for (i = 0; i < t->shards; i++) {
		out = t->moving[i] && t->inflight[i] == 0;
		if (t->fence[i] == 0 || out == t->excluded[i])
			continue;
		if (!out && t->moving[i])
			continue;
		t->excluded[i] = (uint8_t)out;
		t->grant.wanted_set++;
	}
}

/* Sets the target's shards from a newer view. */
void
target_apply_view(struct target *t, const Gspar__View *v, uint64_t number)
{
	const Gspar__ServiceView *sv = view_service(v, t->service);
	uint64_t fence;
	size_t i, self = 0;
	uint32_t n;

	if (sv == NULL || number < t->min_view || number <= t->view ||
	    sv->n_owner != t->shards || sv->n_fence != t->shards)
		return;
	for (i = 0; i < sv->n_targets; i++) {
		if (strcmp(sv->targets[i], t->name) == 0)
			self = i + 1;
	}
	t->view = number;
	memset(t->moving, 0, t->shards);
	t->nmoving = 0;
	for (i = 0; i < sv->n_moving; i++) {
		n = sv->moving[i] - t->first;
		if (n >= t->shards || self == 0 || sv->owner[n] != self)
			continue;
		t->moving[n] = 1;
		t->nmoving++;
	}
	for (n = 0; n < t->shards; n++) {
		fence = self != 0 && sv->owner[n] == self ? sv->fence[n] : 0;
		if (fence == t->fence[n])
			continue;
		t->fence[n] = fence;
		t->excluded[n] = 0;
		t->grant.wanted_set++;
	}
	target_update_wanted(t);
}

/* Appends received bytes to the answer's body. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct target_call *target_call = arg;

	return (framing_collect(
	    &target_call->framing, &target_call->in, p, size * n));
}

/* Follows the head of the answer to a short call. */
static size_t
on_header(char *p, size_t size, size_t n, void *arg)
{
	struct target_call *target_call = arg;

	return (
	    framing_line(&target_call->framing, p, size * n) == FRAMING_INVALID
		? 0
		: size * n);
}

/* Starts a short call; it owns the body, if any. */
static void
target_call_send(struct service *s, struct target *t, enum grant_step step,
    const char *path, char *body)
{
	struct dispatch *d = s->state;
	struct target_call *n;
	char url[160];

	n = calloc(1, sizeof(*n));
	if (n == NULL || (n->easy = curl_easy_init()) == NULL) {
		free(n);
		free(body);
		return;
	}
	framing_init(&n->framing, CALL_ANSWER_MAX, CALL_ANSWER_MAX, 0);
	n->target = t;
	n->step = step;
	n->epoch = t->grant.epoch;
	n->sent = clock_mono();
	n->next = t->target_calls;
	n->link = &t->target_calls;
	if (n->next != NULL)
		n->next->link = &n->next;
	t->target_calls = n;
	snprintf(url, sizeof(url), "http://%s%s", t->addr, path);
	curl_easy_setopt(n->easy, CURLOPT_URL, url);
	curl_easy_setopt(n->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    n->easy, CURLOPT_USERAGENT, kernel_conf(s->kernel)->host);
	curl_easy_setopt(
	    n->easy, CURLOPT_TIMEOUT_MS, (long)TARGET_CALL_TIMEOUT_MS);
	limit_conn_age(t, n->easy, n->sent);
	curl_easy_setopt(n->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(n->easy, CURLOPT_WRITEDATA, n);
	curl_easy_setopt(n->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(n->easy, CURLOPT_HEADERDATA, n);
	/* The low bit distinguishes short calls from runs in reap(). */
	curl_easy_setopt(n->easy, CURLOPT_PRIVATE, (void *)((uintptr_t)n | 1));
	if (body != NULL) {
		n->out.p = body;
		n->out.n = strlen(body);
		curl_easy_setopt(n->easy, CURLOPT_POSTFIELDS, n->out.p);
		curl_easy_setopt(
		    n->easy, CURLOPT_POSTFIELDSIZE, (long)n->out.n);
	}
	curl_multi_add_handle(d->multi, n->easy);
}

/* Asks a target to stop a run; the answer is ignored. */
void
target_call_cancel(struct service *s, struct target *t, uint64_t id)
{
	char path[64];

	count_add(C_CANCELS, 1);
	snprintf(path, sizeof(path), "/cancel?id=%llu", (unsigned long long)id);
	target_call_send(s, t, STEP_NONE, path, NULL);
}

/*
 * Returns the JSON text of a grant, full or as a renewal; the caller frees it.
 */
static char *
grant_text(struct service *s, const struct target *t, int whole, int64_t until)
{
	json_t *o, *all, *set;
	char *text;
	uint32_t i;

	o = json_pack("{s:s, s:s, s:I, s:I, s:I}", "cell", t->cell, "giver",
	    kernel_conf(s->kernel)->host, "epoch", (json_int_t)t->grant.epoch,
	    "seq", (json_int_t)t->grant.seq, "until", (json_int_t)until);
	if (whole) {
		set = json_array();
		for (i = 0; i < t->shards; i++) {
			if (t->fence[i] != 0 && !t->excluded[i])
				json_array_append_new(set,
				    json_pack("[I, I]",
					(json_int_t)(t->first + i),
					(json_int_t)t->fence[i]));
		}
		all = json_object();
		json_object_set_new(all, t->service, set);
		json_object_set_new(o, "shards", all);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return (text);
}

/* Sends the short call that the grant's rules say is due. */
void
target_tick(struct service *s, struct target *t, usec now)
{
	struct dispatch *d = s->state;
	struct dispatch_cell *c = dispatch_cell(d, t->cell);
	enum grant_phase was = t->grant.phase;
	enum grant_step step;
	int64_t until = 0;

	/* Grants nothing until a view of at least min_view has arrived: by an
	 * older one, shards may be granted here that another target owns. */
	step = grant_next(&t->grant, now,
	    t->view >= t->min_view && t->view != 0 ? c->lease_until : 0,
	    &until);
	if (t->grant.phase == GRANT_INACTIVE && was != GRANT_INACTIVE) {
		event_add("dispatch", 0,
		    "target %s does not answer, grant lapsed", t->name);
		d->report_due = 1;
		run_flush(s, t, GS_NO_OWNER, now);
	}
	switch (step) {
	case STEP_NONE:
		return;
	case STEP_CLOCK:
		target_call_send(s, t, step, "/clock", NULL);
		return;
	case STEP_FULL:
	case STEP_RENEW:
		count_add(C_GRANTS, 1);
		target_call_send(s, t, step, "/grant",
		    grant_text(s, t, step == STEP_FULL, until));
		return;
	}
}

/* Handles the outcome of a short call. */
void
target_call_done(
    struct service *s, struct target_call *n, CURLcode res, usec now)
{
	struct dispatch *d = s->state;
	struct target *t = n->target;
	json_int_t clock, boot;
	json_t *o = NULL;
	int leaving, was_up = t->grant.up;

	if (n->step == STEP_NONE)
		goto out;
	res = transfer_result(&n->framing, res);
	if (res == CURLE_OK)
		o = json_loadb(
		    n->in.p == NULL ? "" : n->in.p, n->in.n, 0, NULL);
	if (res != CURLE_OK)
		silence_probe_missed(&t->silence);
	else if (silence_probe_answered(&t->silence, n->sent))
		runs_resend(s, t, now);
	clock = json_integer_value(json_object_get(o, "clock"));
	boot = json_integer_value(json_object_get(o, "boot"));
	if (clock == 0 || n->epoch != t->grant.epoch) {
		grant_failed(&t->grant, now);
		if (n->epoch != t->grant.epoch)
			t->grant.up = was_up;
	} else {
		grant_answered(&t->grant, now, n->step,
		    n->framing.status == 200, clock, boot);
		leaving = json_is_true(json_object_get(o, "leaving"));
		if (leaving != t->leaving)
			d->report_due = 1;
		t->leaving = leaving;
		if (n->step == STEP_FULL)
			d->report_due = 1;
	}
	if (was_up != t->grant.up)
		d->report_due = 1;
out:
	json_decref(o);
	target_call_free(s, n);
	run_send_queued(s, t, now);
	target_tick(s, t, now);
}
