/* Orders (grants and releases), each an HTTP call to a target. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "hist.h"
#include "reach_probe.h"
#include "sitectl.h"
#include "transfer.h"
#include "tunnel.h"

/*
 * A release is answered once the requests in progress on its keys are complete.
 */
#define RELEASE_TIMEOUT_MS 2500
#define CONNECT_TIMEOUT_MS 300
/* Largest body of an answer, in bytes. */
#define ANSWER_MAX 65536
/*
 * Time limit of a grant on a reused connection: it is normally read at once and
 * answered within milliseconds, so without a reply its connection is broken.
 * On a new connection it may wait for a slot of a busy target; aborting it
 * would put it at the end of the queue again.
 */
#define REUSED_CONN_TIMEOUT MS(500)

struct order_call {
	struct order_call *next;
	struct order_call **link;
	struct transfer t;
	struct sitectl *control;
	char id[40]; /* that the answer echoes, if the target does */
	char service[NAME_MAX_GS];
	struct key_order order;
	char body[256];
	usec sent;
	int via; /* sent through another host */
};

/*
 * Sets the socket options of an order's connection.  SO_LINGER 0 discards
 * unsent data on close: a grant delivered late, when a network partition ends,
 * would take effect from that time on.
 */
static int
order_sockopt(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	return (transfer_set_keepalive(arg, fd, purpose));
}

/* Returns whether an answer is that to its order. */
static int
is_own(struct transfer *t)
{
	const struct reply *r = &t->reply;
	const struct order_call *c;
	struct order_answer a;

	curl_easy_getinfo(t->easy, CURLINFO_PRIVATE, &c);
	a = (struct order_answer){
	    .addr = t->addr,
	    .port = t->local_port,
	    .new_conn = t->new_conn,
	    .id = answer_id_of(r->id, c->id),
	    .release = c->order.release,
	    .token = r->handover[0] == '\0' ? 0 : hash_name(r->handover),
	};

	return (order_answer_is_own(&c->control->order_conns, &a));
}

/* Frees a call; aborts one in progress. */
static void
order_call_free(struct sitectl *k, struct order_call *c)
{
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	curl_multi_remove_handle(k->multi, c->t.easy);
	curl_easy_cleanup(c->t.easy);
	transfer_free(&c->t);
	free(c);
}

/* Sets the URL, headers, body and options of the transfer. */
static void
order_call_set(struct order_call *c, const char *source, long wait_ms)
{
	char url[FLEET_ADDR + 32], line[NAME_MAX_GS + 32];
	const char *path = c->t.ops->order(&c->order, c->body, sizeof(c->body));

	snprintf(url, sizeof(url), "http://%s%s", c->order.addr, path);
	c->t.headers =
	    curl_slist_append(c->t.headers, "Content-Type: application/json");
	c->t.headers = curl_slist_append(c->t.headers, "Expect:");
	c->t.headers = curl_slist_append(c->t.headers, "Accept:");
	c->t.ops->expect(c->order.target, line, sizeof(line));
	c->t.headers = curl_slist_append(c->t.headers, line);
	c->t.ops->id(c->id, line, sizeof(line));
	c->t.headers = curl_slist_append(c->t.headers, line);
	transfer_set_options(&c->t, url, CONNECT_TIMEOUT_MS, source);
	curl_easy_setopt(c->t.easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->t.easy, CURLOPT_TIMEOUT_MS, wait_ms);
	curl_easy_setopt(c->t.easy, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(c->t.easy, CURLOPT_MAXAGE_CONN, 4L);
	curl_easy_setopt(c->t.easy, CURLOPT_SOCKOPTFUNCTION, order_sockopt);
}

/* Starts the call of an order. */
void
order_send(struct sitectl *k, const char *service, const struct key_order *o)
{
	struct keys *keys = sitectl_keys(k, service);
	struct order_call *c;
	long wait = o->release ? RELEASE_TIMEOUT_MS
			       : (long)(keys->conf.order_timeout / 1000);

	c = calloc(1, sizeof(*c));
	if (c == NULL || (c->t.easy = curl_easy_init()) == NULL) {
		free(c);
		keys_order_done(keys, clock_mono(), o->id, ORDER_NOT_SENT, "");
		return;
	}
	transfer_init(&c->t, k->ops, ANSWER_MAX, ANSWER_MAX, 0);
	c->t.discards_body = 1;
	c->t.is_own = is_own;
	c->t.addr = hash_name(o->addr);
	c->control = k;
	snprintf(c->id, sizeof(c->id), "%016llx.%llx",
	    (unsigned long long)kernel_boot(k->s->kernel),
	    (unsigned long long)++k->order_id);
	c->order = *o;
	c->sent = clock_mono();
	name_copy(c->service, sizeof(c->service), service);
	c->next = k->calls;
	c->link = &k->calls;
	if (c->next != NULL)
		c->next->link = &c->next;
	k->calls = c;
	order_call_set(c, kernel_conf(k->s->kernel)->source, wait);
	if (k->path.via[0] != '\0') {
		transfer_set_tunnel(&c->t, k->path.addr);
		c->via = 1;
	}
	count_add(C_GRANTS, 1);
	curl_multi_add_handle(k->multi, c->t.easy);
}

/* Has it found out whether this host reaches the targets.  Until then no target
 * is taken for lost. */
static void
doubt_path(struct sitectl *k, usec now)
{
	int i;

	if (k->path.via[0] != '\0')
		return;
	k->path.doubted = 1;
	for (i = 0; i < k->nkeys; i++)
		keys_doubt_orders(k->keys[i], now);
	reach_post_doubt(k->s->kernel);
}

/* Handles an order without a reply, which may be because of the way to the
 * targets. */
static void
check_path(
    struct sitectl *k, const struct order_call *c, CURLcode res, usec now)
{
	long tunnel_status = 0;

	curl_easy_getinfo(c->t.easy, CURLINFO_HTTP_CONNECTCODE, &tunnel_status);
	if (c->via && k->path.via[0] != '\0' &&
	    tunnel_status != TUNNEL_REFUSED && tunnel_status != TUNNEL_TIMEOUT)
		reach_post_via_failed(k->s->kernel, k->path.via);
	if (c->via)
		return;
	doubt_path(k, now);
	if (res == CURLE_COULDNT_CONNECT && k->nrefused < SITECTL_REFUSED_MAX)
		name_copy(
		    k->refused[k->nrefused++], NAME_MAX_GS, c->order.target);
}

/* Reports the outcome of an order to the key assignment and frees its call. */
static void
order_done(struct sitectl *k, struct order_call *c, CURLcode res, usec now)
{
	struct keys *keys = sitectl_keys(k, c->service);
	long status = c->t.reply.status;

	if (res != CURLE_OK && res != CURLE_ABORTED_BY_CALLBACK &&
	    !transfer_broke_off(&c->t, res))
		check_path(k, c, res, now);
	if (c->t.is_foreign)
		count_add(C_ANSWER_FOREIGN, 1);
	if (res == CURLE_OK && status != 421 && c->t.reply.leaving)
		fleet_leave_announced(k, c->order.target);
	if (!c->t.maybe_sent)
		status = ORDER_NOT_SENT;
	else if (res != CURLE_OK || c->t.is_foreign || status == 421 ||
	    status >= 500)
		status = c->t.new_conn || c->via ? ORDER_NO_REPLY_NEW_CONN
						 : ORDER_NO_REPLY;
	if (status != 200) {
		count_add(C_GRANTS_FAILED, 1);
		log_line(LOG_INFO, "control",
		    "%s of %s keys %u-%u fence %llu at target %s: %s, "
		    "status %ld, after %lld ms.",
		    c->order.release ? "Release" : "Grant", c->service,
		    c->order.from, c->order.to,
		    (unsigned long long)c->order.fence, c->order.target,
		    c->t.is_foreign	  ? "answer to another order"
			: res == CURLE_OK ? "answered"
					  : curl_easy_strerror(res),
		    status, (long long)((now - c->sent) / 1000));
	} else
		hist_add(H_ORDER, now - c->sent);
	if (keys != NULL)
		keys_order_done(
		    keys, now, c->order.id, (int)status, c->t.reply.handover);
	order_call_free(k, c);
}

/* Aborts grants without a reply on a reused connection. */
static void
expire_silent_grants(struct sitectl *k, usec now)
{
	struct order_call *c, *next;

	for (c = k->calls; c != NULL; c = next) {
		next = c->next;
		if (!c->order.release && c->t.maybe_sent && !c->t.new_conn &&
		    now - c->sent > REUSED_CONN_TIMEOUT)
			order_done(k, c, CURLE_OPERATION_TIMEDOUT, now);
	}
}

/* Handles all completed orders and expired grants. */
void
orders_reap(struct sitectl *k, usec now)
{
	struct order_call *c;
	CURLMsg *m;
	CURLcode res;
	int left;

	while ((m = curl_multi_info_read(k->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		res = transfer_end(&c->t, m->data.result);
		order_done(k, c, res, now);
	}
	expire_silent_grants(k, now);
}

/* Sends the orders again that have not left this host. */
static void
end_unsent_orders(struct sitectl *k, usec now)
{
	struct order_call *c, *next;

	for (c = k->calls; c != NULL; c = next) {
		next = c->next;
		if (!c->t.maybe_sent)
			order_done(k, c, CURLE_ABORTED_BY_CALLBACK, now);
	}
}

/* Takes the way to the targets that was found. */
void
orders_set_path(struct sitectl *k, const struct reach_path *path, usec now)
{
	int i, changed = strcmp(k->path.via, path->via) != 0;
	int forget = changed || k->path.unreachable;

	k->path = *path;
	if (changed)
		end_unsent_orders(k, now);
	if (path->unreachable) {
		for (i = 0; i < k->nkeys; i++)
			keys_doubt_orders(k->keys[i], now);
	}
	if (path->doubted || path->unreachable)
		return;
	/* Behind a cut they would all seem to have ended. */
	for (i = 0; i < k->nrefused && path->via[0] == '\0'; i++)
		quarantine_conn_refused(k, k->refused[i], now);
	k->nrefused = 0;
	for (i = 0; i < k->nkeys; i++)
		keys_settle_orders(k->keys[i], forget);
}

/* Aborts all orders in progress. */
void
orders_cancel(struct sitectl *k)
{
	while (k->calls != NULL)
		order_call_free(k, k->calls);
}
