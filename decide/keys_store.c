/* Reads and writes the owners of keys in the store, one write at a time. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "keys.h"

/* Longest hold time that is accepted from the store; platforms allow 10 s. */
#define HOLD_MAX MS(60000)
/* Stored fences from here on are invalid.  Each term may raise the fence 2^32
 * times. */
#define FENCE_MAX (1ll << 62)
#define FENCE_TERM_SHIFT 32
/* Delay before another read of the store. */
#define STORE_RETRY_DELAY MS(250)
/* Longest delay of a change that nothing waits for, so that one write covers
 * several.  A controller that takes over before the write has to wait for both
 * the old and the new owner of the keys. */
#define WRITE_DELAY MS(400)

/* Returns a range as it is kept in the store. */
static json_t *
range_json(const struct keys *k, const struct key_range *r)
{
	return (json_pack("[I,s,I,s,I]", (json_int_t)r->from,
	    r->owner == NO_TARGET ? "" : k->targets[r->owner].id,
	    (json_int_t)r->fence,
	    r->next == NO_TARGET ? "" : k->targets[r->next].id,
	    (json_int_t)r->next_fence));
}

/* Returns the object to be kept in the store; the caller frees it. */
static char *
to_json(const struct keys *k)
{
	json_t *o, *list = json_array();
	char *text;
	int i;

	for (i = 0; i < k->nranges; i++)
		json_array_append_new(list, range_json(k, &k->ranges[i]));
	o = json_pack("{s:I,s:I,s:I,s:I,s:I,s:o}", "term", (json_int_t)k->term,
	    "era", (json_int_t)k->era.number, "write", (json_int_t)k->write_seq,
	    "fence", (json_int_t)k->top_fence, "hold_ms",
	    (json_int_t)(k->conf.hold / 1000), "ranges", list);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return (text);
}

/* Returns the target that a stored range names, or NO_TARGET. */
static int
stored_target(struct keys *k, const json_t *v)
{
	const char *id = json_string_value(v);

	return (
	    id == NULL || id[0] == '\0' ? NO_TARGET : keys_target_add(k, id));
}

/*
 * Reads one range.  The last grants of the earlier controller are not known: it
 * may have sent them just before it lost control, so the range may be held
 * until those lapse, even if a release gets its reply before.
 */
static void
read_range(struct keys *k, const json_t *v, usec grants_lapse_at)
{
	struct key_range *r = &k->ranges[k->nranges++];

	memset(r, 0, sizeof(*r));
	r->from = (uint32_t)json_integer_value(json_array_get(v, 0));
	r->owner = stored_target(k, json_array_get(v, 1));
	r->fence = (uint64_t)json_integer_value(json_array_get(v, 2));
	r->next = stored_target(k, json_array_get(v, 3));
	r->next_fence = (uint64_t)json_integer_value(json_array_get(v, 4));
	if (r->owner == NO_TARGET) {
		/* Only the next owner can hold it. */
		r->owner = r->next;
		r->fence = r->next_fence;
		r->next = NO_TARGET;
	}
	r->granted_until = grants_lapse_at;
	r->unanswered_until = grants_lapse_at;
	r->phase = r->next == NO_TARGET ? RANGE_OWNED : RANGE_PLANNED;
	/* The next owner may have been granted the keys already. */
	r->releasing = r->next != NO_TARGET;
}

/* Returns when all grants of an earlier controller with this hold time have
 * lapsed; targets may not have read the last of them yet. */
static usec
earlier_grants_lapse_at(const struct keys *k, usec hold, usec now)
{
	if (hold < k->conf.hold)
		hold = k->conf.hold;
	return (now + k->conf.order_timeout + KEYS_NETWORK_DELAY +
	    (usec)((double)hold * KEYS_CLOCK_DRIFT));
}

/* True for a valid fence, or 0, which is none. */
static int
is_fence(const json_t *v)
{
	return (json_is_integer(v) && json_integer_value(v) >= 0 &&
	    json_integer_value(v) < FENCE_MAX);
}

/* True if a stored list is valid: ranges in order that cover all keys. */
static int
is_valid_list(const json_t *list)
{
	json_int_t last = -1, from;
	const json_t *v;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > KEYS_RANGES_MAX)
		return (0);
	json_array_foreach(list, i, v)
	{
		from = json_integer_value(json_array_get(v, 0));
		if (!json_is_integer(json_array_get(v, 0)) || from <= last ||
		    from >= KEYS || (i == 0 && from != 0) ||
		    !json_is_string(json_array_get(v, 1)) ||
		    !is_fence(json_array_get(v, 2)) ||
		    !json_is_string(json_array_get(v, 3)) ||
		    !is_fence(json_array_get(v, 4)))
			return (0);
		last = from;
	}
	return (1);
}

/* Reads the stored object; returns 0, or -1 if it is invalid. */
static int
from_json(struct keys *k, const char *json, size_t n, usec now)
{
	json_t *o = json_loadb(json, n, 0, NULL), *list;
	json_int_t hold_ms;
	usec grants_lapse_at;
	uint64_t fence;
	size_t i;
	int r;

	list = json_object_get(o, "ranges");
	hold_ms = json_integer_value(json_object_get(o, "hold_ms"));
	if (!is_valid_list(list) || !is_fence(json_object_get(o, "fence")) ||
	    hold_ms < 0 || hold_ms > HOLD_MAX / MS(1)) {
		json_decref(o);
		return (-1);
	}
	fence = (uint64_t)json_integer_value(json_object_get(o, "fence"));
	if (fence > k->top_fence)
		k->top_fence = fence;
	k->stale = k->era.known &&
	    (uint64_t)json_integer_value(json_object_get(o, "era")) !=
		k->era.number;
	grants_lapse_at = earlier_grants_lapse_at(k, MS(hold_ms), now);
	k->nranges = 0;
	if (keys_ranges_reserve(k, (int)json_array_size(list)) != 0) {
		json_decref(o);
		return (-1);
	}
	for (i = 0; i < json_array_size(list); i++)
		read_range(k, json_array_get(list, i), grants_lapse_at);
	for (r = 0; r < k->nranges; r++)
		k->ranges[r].to =
		    r + 1 < k->nranges ? k->ranges[r + 1].from - 1 : KEYS - 1;
	json_decref(o);
	return (0);
}

/* Sends a write of the whole object. */
static void
send_write(struct keys *k)
{
	k->write_seq++;
	k->dirty = 0;
	k->urgent = 0;
	free(k->put_text);
	k->put_text = to_json(k);
	k->base_version = k->version;
	k->put_pending = 1;
	k->put_unknown = 0;
	k->cb->put(k->arg, k->service, k->base_version, k->put_text);
}

/*
 * Writes what was read back under this term, with higher fences.  No order is
 * sent before this is stored: until then a write of an earlier controller that
 * is still on its way could change the owners that were just read.
 */
static void
claim(struct keys *k)
{
	int i;

	k->top_fence++;
	for (i = 0; i < k->nranges; i++) {
		k->ranges[i].fence = k->top_fence;
		if (k->ranges[i].next != NO_TARGET)
			k->ranges[i].next_fence = k->top_fence + 1;
		k->ranges[i].fence_write = k->write_seq + 1;
		k->ranges[i].plan_write = k->write_seq + 1;
	}
	k->top_fence++;
	send_write(k);
}

/* Raises the last fence above all that earlier terms can have used. */
static void
skip_earlier_fences(struct keys *k)
{
	if (k->top_fence < k->term << FENCE_TERM_SHIFT)
		k->top_fence = k->term << FENCE_TERM_SHIFT;
}

/*
 * Takes the stored owners for what they were: the store has come back from an
 * old copy, and any target may have been granted any keys since, with higher
 * fences.  Each range is without an owner until all earlier grants have lapsed,
 * and then granted to the target that is stored.
 */
static void
distrust_owners(struct keys *k)
{
	struct key_range *r;
	int i;

	k->cb->event(k->arg, k->service,
	    "stored owners are of an earlier era of the store, waiting for all "
	    "grants to lapse");
	skip_earlier_fences(k);
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		if (r->next == NO_TARGET)
			r->next = r->owner;
		r->owner = NO_TARGET;
		r->phase = r->next == NO_TARGET ? RANGE_OWNED : RANGE_PLANNED;
		r->releasing = r->next != NO_TARGET;
	}
}

/* Sets one range over all keys, without an owner. */
static void
init_ranges(struct keys *k)
{
	memset(&k->ranges[0], 0, sizeof(k->ranges[0]));
	k->ranges[0].to = KEYS - 1;
	k->ranges[0].owner = NO_TARGET;
	k->ranges[0].next = NO_TARGET;
	k->nranges = 1;
}

/*
 * Starts again without owners, because the stored object is invalid: something
 * other than a controller has written it, and the owners and fences are lost.
 * Or the store has come back from a copy that has no such object.
 * All keys wait until every earlier grant has lapsed, and fences go on above
 * all that earlier terms can have used.  Otherwise no key could be granted
 * until an operator repairs the object.
 */
static void
reset_owners(struct keys *k, usec now)
{
	k->cb->event(k->arg, k->service,
	    "stored owners are invalid or lost, all keys are assigned again");
	init_ranges(k);
	k->ranges[0].granted_until = earlier_grants_lapse_at(k, 0, now);
	skip_earlier_fences(k);
}

/* Records that the pending write is stored. */
static void
write_stored(struct keys *k, uint64_t version, usec now)
{
	k->put_pending = 0;
	k->put_unknown = 0;
	k->version = version;
	k->stored_seq = k->write_seq;
	if (k->claimed)
		return;
	k->claimed = 1;
	k->next_plan = now;
	k->number++;
	k->cb->event(k->arg, k->service, "owners claimed");
}

/* True if the store holds the pending write. */
static int
is_own_write(const struct keys *k, const char *json, size_t n)
{
	json_t *o = json_loadb(json, n, 0, NULL);
	int own;

	own = (uint64_t)json_integer_value(json_object_get(o, "term")) ==
		k->term &&
	    (uint64_t)json_integer_value(json_object_get(o, "write")) ==
		k->write_seq;
	json_decref(o);
	return (own);
}

/* Drops all plans and reads again, because another has written the owners. */
static void
drop_claim(struct keys *k, usec now)
{
	k->cb->event(
	    k->arg, k->service, "stored owners were changed by another writer");
	k->claimed = 0;
	k->loaded = 0;
	k->put_pending = 0;
	k->put_unknown = 0;
	keys_orders_drop(k);
	k->next_try = now + STORE_RETRY_DELAY;
}

/*
 * Takes the era of the store from a response.  If it has risen, the store has
 * come back from an old copy and may have lost what this controller wrote.  The
 * controller knows the owners, and writes all of them again.
 */
void
keys_store_era(struct keys *k, usec now, uint64_t era)
{
	if (!era_rose(&k->era, era) || !k->active)
		return;
	k->restored = 1;
	if (!k->claimed)
		k->loaded = 0;
	k->rewrite = k->claimed;
	k->put_pending = 0;
	k->put_unknown = 0;
	k->next_try = now;
}

/* Writes all owners again over what the store has, unless a controller of a
 * later term has claimed them since. */
static void
write_again(
    struct keys *k, usec now, uint64_t version, const char *json, size_t n)
{
	json_t *o = json_loadb(json, n, 0, NULL);
	uint64_t term =
	    (uint64_t)json_integer_value(json_object_get(o, "term"));

	json_decref(o);
	k->rewrite = 0;
	if (term > k->term) {
		drop_claim(k, now);
		return;
	}
	k->cb->event(k->arg, k->service,
	    "store restored from a copy, writing the owners");
	k->version = version;
	send_write(k);
}

/* Handles the reply to a read; found is 0 if there is no object. */
void
keys_get_done(struct keys *k, usec now, int found, uint64_t version,
    const char *json, size_t n)
{
	k->get_pending = 0;
	if (!k->active || (k->put_pending && !k->put_unknown))
		return;
	if (k->rewrite) {
		write_again(k, now, found ? version : 0, found ? json : "",
		    found ? n : 0);
		return;
	}
	if (k->put_unknown) {
		if (found && is_own_write(k, json, n))
			write_stored(k, version, now);
		else if (!found ? k->base_version == 0
				: version == k->base_version) {
			/* Not there yet, so send it again: whichever copy
			 * arrives first makes the other one fail. */
			k->put_unknown = 0;
			k->cb->put(
			    k->arg, k->service, k->base_version, k->put_text);
		} else
			drop_claim(k, now);
		return;
	}
	k->version = found ? version : 0;
	if (!found && !k->restored)
		init_ranges(k);
	else if (!found || from_json(k, json, n, now) != 0)
		reset_owners(k, now);
	else if (k->stale)
		distrust_owners(k);
	k->loaded = 1;
	claim(k);
}

/* Handles a failed read. */
void
keys_get_failed(struct keys *k, usec now)
{
	k->get_pending = 0;
	k->next_try = now + STORE_RETRY_DELAY;
}

/* Returns the id of the last write sent, unique among all terms. */
uint64_t
keys_write_id(const struct keys *k)
{
	return (k->term << 32 | k->write_seq);
}

/*
 * Handles the outcome of a write.  The outcome of a write of an earlier term is
 * ignored: taken for that of the pending one, it would let plans be carried out
 * that are not stored.
 */
void
keys_put_done(struct keys *k, usec now, uint64_t write, enum put_result res,
    uint64_t version)
{
	if (!k->put_pending || write != keys_write_id(k))
		return;
	if (res == PUT_DONE) {
		write_stored(k, version, now);
		return;
	}
	k->put_unknown = 1;
	k->next_try = res == PUT_CONFLICT ? now : now + STORE_RETRY_DELAY;
}

/* Sends the read or write that is due. */
void
keys_store_tick(struct keys *k, usec now)
{
	int want = !k->loaded || k->put_unknown || k->rewrite;

	if (want && !k->get_pending && now >= k->next_try) {
		k->get_pending = 1;
		k->next_try = now + STORE_RETRY_DELAY;
		k->cb->get(k->arg, k->service);
	}
	if (k->claimed && !k->put_pending && !k->rewrite && k->dirty &&
	    (k->urgent || k->handing_over ||
		now - k->dirty_since >= WRITE_DELAY))
		send_write(k);
}
