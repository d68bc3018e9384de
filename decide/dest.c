#include <math.h>
#include <string.h>

#include "dest.h"
#include "feature.h"

/* What a target told of others' requests halves in this time: it is about as
 * long as a request runs (36 to 220 ms, by the sites' tables). */
#define OTHERS_HALF MS(150)
/* How much one sample changes what was learnt; the first ones more, for hot
 * keys come within the first seconds of a target's life. */
#define SPEED_GAIN 0.06
#define SPEED_FIRST 0.35
#define FAIL_GAIN 0.1
/* A target is sent work until this many times its slots are under way: its own
 * queue then bridges the way to and fro, and it is far from full. */
#define FILL 2.5
/* A request to another data centre pays for the bytes between them: it goes
 * there where that saves this much time.  Against 12 ms, 45 ms takes the bytes
 * of a heavy day from 0.069 GB to 0.050 (means of four days played with each),
 * and 91.0 of 100 of the credit is served, 90.8 before (16 days with each). */
#define FAR_COST MS(45)
/* A cold target takes about twice as long. */
#define COLD_FACTOR 2.0
/* How long a target is left alone after it was not reached; doubled with each
 * further time up to the longest. */
#define SHUN_FIRST MS(150)
#define SHUN_MOST MS(1200)
/* Without a whole answer so often in a row it is taken for lost. */
#define STRIKES_BROKE 3
/* A target that refused is left alone for about as long as a request runs. */
#define SHUN_FULL MS(40)

/* A target of which nothing is known yet. */
void
dest_init(struct dest *d, int slots)
{
	memset(d, 0, sizeof(*d));
	d->slots = slots;
	d->speed = 1;
	d->limit = -1;
	rate_init(&d->rate);
}

/* The rate limit in force, in requests a second of all hosts; negative is none.
 * A cold target crashes well above its own. */
double
dest_limit(const struct dest *d, usec now)
{
	if (now >= d->cold_until || d->cold_rate <= 0)
		return (d->limit);
	return (d->limit < 0 ? d->cold_rate : fmin(d->limit, d->cold_rate));
}

/* Applies the rate limit in force. */
void
dest_look(struct dest *d, const struct rate_turns *t, usec now)
{
	rate_told(&d->rate, dest_limit(d, now), t, now);
}

/* A request goes there. */
void
dest_sent(struct dest *d, usec now)
{
	d->mine++;
	rate_take(&d->rate, now);
}

/* Leaves the target alone for a while, longer each time in a row. */
static void
shun(struct dest *d, usec now)
{
	int times = d->strikes < 4 ? d->strikes : 4;
	usec span = SHUN_FIRST << (times > 0 ? times - 1 : 0);

	if (!feature_on(FEATURE_SHUN))
		return;
	if (span > SHUN_MOST)
		span = SHUN_MOST;
	d->shunned_until = now + span;
}

/* Learns how fast the target is from a request that did not wait there. */
static void
learn_speed(struct dest *d, const struct dest_answer *a)
{
	double x, gain;

	if (a->expected <= 0 || a->load.waiting > 0 ||
	    !feature_on(FEATURE_SPEED))
		return;
	x = (double)a->took / (double)a->expected;
	/* One request may take many times the usual: it says little. */
	x = fmin(fmax(x, 0.2), 4);
	gain = SPEED_FIRST / (1 + 0.15 * d->samples++);
	d->speed += fmax(gain, SPEED_GAIN) * (x - d->speed);
}

/* A request there ended. */
void
dest_ended(struct dest *d, usec now, const struct dest_answer *a)
{
	double bad = a->end == DEST_FAILED || a->end == DEST_BROKE;

	if (d->mine > 0)
		d->mine--;
	d->fails += FAIL_GAIN * (bad - d->fails);
	if (a->load.told) {
		d->load = a->load;
		d->others =
		    fmax(a->load.running + a->load.waiting - d->mine, 0);
		/* What it tells may still count the request that has ended. */
		if (a->end == DEST_ANSWERED && d->others >= 1)
			d->others -= 1;
		d->heard = now;
	}
	switch (a->end) {
	case DEST_ANSWERED:
		d->strikes = 0;
		learn_speed(d, a);
		break;
	case DEST_FAILED:
	case DEST_MISSENT:
		d->strikes = 0;
		break;
	case DEST_REFUSED:
		d->strikes = 0;
		if (feature_on(FEATURE_SHUN) &&
		    d->shunned_until < now + SHUN_FULL)
			d->shunned_until = now + SHUN_FULL;
		break;
	case DEST_UNREACHED:
		d->strikes++;
		shun(d, now);
		break;
	case DEST_BROKE:
	case DEST_TIMED_OUT:
		if (++d->strikes >= STRIKES_BROKE)
			shun(d, now);
		break;
	}
}

/* Requests under way there, as far as this host can know. */
double
dest_load(const struct dest *d, usec now)
{
	double age = (double)(now - d->heard);

	if (d->heard == 0 || !feature_on(FEATURE_OTHERS))
		return (d->mine);
	return (d->mine + d->others * exp2(-age / (double)OTHERS_HALF));
}

/* True where the target gets no new requests. */
int
dest_closed(const struct dest *d, usec now)
{
	return (d->leaving || (d->closed_from != 0 && now >= d->closed_from));
}

/* True where the target may be sent new work at all. */
int
dest_usable(const struct dest *d, usec now)
{
	return (!dest_closed(d, now) && now >= d->shunned_until);
}

/*
 * True where one more request may go there now.  Some targets never answer
 * what they cannot queue, nor anything after it on that connection: all hosts
 * together must stay below slots and queue, though each knows only what the
 * target last told.  A host with nothing there may send one where the last
 * word is old, or it would never hear a newer.
 */
int
dest_room(const struct dest *d, usec now, const struct dest_conf *conf)
{
	double share = FILL * d->slots / (conf->hosts > 0 ? conf->hosts : 1);
	int most = (int)ceil(share) + 1;

	if (!dest_usable(d, now) || !rate_allows(&d->rate, now))
		return (0);
	if (!feature_on(FEATURE_FILL))
		return (1);
	if (d->mine >= most)
		return (0);
	return (dest_load(d, now) < FILL * d->slots);
}

/*
 * How long a request of some usual length would take there, in microseconds;
 * only for comparing targets.  What it waits for there are others, of the
 * usual length of all requests to the service: a read of 36 ms waits as long
 * behind exports of 220 ms as an export does.
 */
double
dest_cost(const struct dest *d, usec now, usec work, usec others_work)
{
	double load = dest_load(d, now), ahead = load + 1 - d->slots;
	double slow = d->speed, cost;

	if (now < d->cold_until && feature_on(FEATURE_COLD))
		slow *= COLD_FACTOR;
	cost = (double)work * slow * (1 + 0.15 * load / d->slots);
	if (ahead > 0)
		cost += (double)others_work * slow * ahead / d->slots;
	if (feature_on(FEATURE_FAILS))
		cost *= 1 + 2 * d->fails;
	return (cost +
	    (d->near || !feature_on(FEATURE_FAR) ? 0 : (double)FAR_COST));
}
