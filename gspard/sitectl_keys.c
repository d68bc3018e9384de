/*
 * Connects the key rules (decide/keys) with the store, the targets and this
 * host.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "sitectl.h"

/*
 * Duration of a grant of keys, which is renewed after a third of it.  The keys
 * of an unavailable target are without an owner for about as long; a change of
 * controller within that time leaves no key without an owner.
 */
#define HOLD_TIME MS(3000)
#define RENEW_DIVISOR 3
/* Time limit of a grant that was sent on a new connection. */
#define GRANT_TIMEOUT MS(1500)
/* Time allowed for targets to register when everything starts at once. */
#define SETTLE_TIME MS(1500)

/* Creates a store call for the owners of a service's keys. */
static struct store *
owners_store(enum store_op op, const char *service)
{
	struct store *st;
	char path[NAME_MAX_GS * 2];

	snprintf(path, sizeof(path), "%s/%s", KIND_OWNERS, service);
	st = store_new(op, "control", path);
	if (st != NULL)
		snprintf(st->tag, sizeof(st->tag), "keys %s", service);
	return (st);
}

/* Reads the owners of a service's keys from the store. */
static void
get_owners(void *arg, const char *service)
{
	struct sitectl *k = arg;
	struct store *st = owners_store(STORE_GET, service);

	if (st != NULL)
		store_send(k->s->kernel, st);
}

/* Writes the owners of a service's keys to the store. */
static void
put_owners(void *arg, const char *service, uint64_t base, const char *json)
{
	struct sitectl *k = arg;
	struct store *st = owners_store(STORE_PUT, service);

	if (st == NULL)
		return;
	st->base = base;
	st->generation = keys_write_id(sitectl_keys(k, service));
	str_set(&st->body, json, strlen(json));
	store_send(k->s->kernel, st);
}

/* Sends an order to a target if this host is still the controller. */
static void
send_order(void *arg, const char *service, const struct key_order *o)
{
	struct sitectl *k = arg;

	/*
	 * The clock is read again: a host that was suspended since the tick
	 * began would otherwise send an order under an expired lease, while
	 * another controller grants the same keys to other targets.
	 */
	if (!term_may_renew(&k->term, clock_mono())) {
		keys_order_done(sitectl_keys(k, service), clock_mono(), o->id,
		    ORDER_NOT_SENT, "");
		return;
	}
	order_send(k, service, o);
}

/* Logs a decision about keys. */
static void
keys_event(void *arg, const char *service, const char *what)
{
	log_line(LOG_INFO, "control", "Service %s: %s.", service, what);
}

static const struct keys_callbacks keys_callbacks = {
    get_owners, put_owners, send_order, keys_event};

/* Returns the key assignment of a service, or NULL. */
struct keys *
sitectl_keys(struct sitectl *k, const char *service)
{
	int i;

	for (i = 0; i < k->nkeys; i++) {
		if (strcmp(k->keys[i]->service, service) == 0)
			return (k->keys[i]);
	}
	return (NULL);
}

/* Creates the key assignment of a new keyed service. */
static void
add_keys(struct sitectl *k, const struct site_service *v, usec now)
{
	const struct bounds *b = &kernel_conf(k->s->kernel)->bounds;
	struct keys_conf kc = {HOLD_TIME, HOLD_TIME, GRANT_TIMEOUT, SETTLE_TIME,
	    v->cold_start, v->cold_rate > 0};
	struct keys *ks;

	if (k->nkeys == SITECTL_SERVICES_MAX ||
	    (ks = calloc(1, sizeof(*ks))) == NULL)
		return;
	if (kc.hold > MS(b->hold_max_ms))
		kc.hold = MS(b->hold_max_ms);
	kc.renew = kc.hold / RENEW_DIVISOR;
	if (keys_init(ks, v->name, &kc, &keys_callbacks, k) != 0) {
		free(ks);
		return;
	}
	if (k->term.era.known)
		keys_store_era(ks, now, k->term.era.number);
	k->keys[k->nkeys++] = ks;
	if (k->fleet != NULL)
		keys_set_fleet(ks, k->fleet->p, now);
	if (k->acting)
		keys_begin(ks, k->term.rec.term, now);
}

/*
 * Creates or updates the key assignment of all keyed services; only a
 * controller needs them.
 */
void
sitectl_add_services(struct sitectl *k, usec now)
{
	const struct site *site = sitectl_site(k);
	const struct site_service *v;
	struct keys *ks;
	int i;

	for (i = 0; site != NULL && i < site->nservices; i++) {
		v = &site->services[i];
		if (!v->keyed)
			continue;
		if ((ks = sitectl_keys(k, v->name)) == NULL)
			add_keys(k, v, now);
		else
			keys_set_cold_start(
			    ks, v->cold_start, v->cold_rate > 0);
	}
}

/* Frees the key assignments of all services. */
void
sitectl_drop_keys(struct sitectl *k)
{
	int i;

	for (i = 0; i < k->nkeys; i++) {
		keys_free(k->keys[i]);
		free(k->keys[i]);
	}
	k->nkeys = 0;
}

/* Returns the outcome of a write to the store. */
enum put_result
sitectl_put_result(const struct store *st)
{
	if (st->result == STORE_DONE)
		return (PUT_DONE);
	return (st->result == STORE_CONFLICT ? PUT_CONFLICT : PUT_UNKNOWN);
}

/* Handles the result of a store call for the owners of a service's keys. */
void
sitectl_keys_done(struct sitectl *k, const struct store *st, usec now)
{
	struct keys *ks = sitectl_keys(k, st->tag + 5);

	if (ks == NULL)
		return;
	if (st->op == STORE_PUT)
		keys_put_done(ks, now, st->generation, sitectl_put_result(st),
		    st->version);
	else if (st->result == STORE_DONE || st->result == STORE_NOT_FOUND)
		keys_get_done(ks, now, st->result == STORE_DONE, st->version,
		    st->body.p, st->body.n);
	else
		keys_get_failed(ks, now);
}
