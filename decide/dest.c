#include <math.h>
#include <string.h>

#include "dest.h"
#include "feature.h"

/* Half-life of the reported number of other hosts' requests: about as long as a
 * request runs, which is 36 to 220 ms. */
#define OTHERS_HALF_LIFE MS(150)
/* Weight of one sample in the moving averages.  The first samples weigh more,
 * because hot keys arrive within the first seconds after a target's start. */
#define LATENCY_GAIN 0.06
#define LATENCY_GAIN_FIRST 0.35
#define FAILURE_GAIN 0.1
/* A target is sent requests until this many times its slots are in flight: its
 * queue then covers the round trip between answers, and is far from full. */
#define FILL_FACTOR 2.5
/* Traffic between data centres is paid for, so a request goes to another one
 * only if that saves this much time.  Compared with 12 ms, 45 ms saves about a
 * quarter of the bytes between data centres, and as many requests are served.
 */
#define FAR_COST MS(45)
/* A cold target takes about twice as long for a request. */
#define COLD_FACTOR 2.0
/* How long no requests are sent to a target that could not be reached; doubled
 * for each further failure in a row, up to the maximum. */
#define BACKOFF_FIRST MS(150)
#define BACKOFF_MAX MS(1200)
/* After this many requests in a row without a whole answer, a host backs off
 * from the target as if it could not be reached. */
#define BROKEN_STREAK_MAX 3
/* Backoff after a refusal: about as long as a request runs. */
#define BACKOFF_REFUSED MS(40)

/* Initializes a target of which nothing is known yet. */
void
dest_init(struct dest *d, int slots)
{
	memset(d, 0, sizeof(*d));
	d->slots = slots;
	d->latency_ratio = 1;
	d->limit = -1;
	rate_init(&d->rate);
}

/* The rate limit in force, in requests a second from all hosts; negative
 * if none.  A cold target crashes if it gets far more than its cold rate. */
double
dest_limit(const struct dest *d, usec now)
{
	if (now >= d->cold_until || d->cold_rate <= 0)
		return (d->limit);
	return (d->limit < 0 ? d->cold_rate : fmin(d->limit, d->cold_rate));
}

/* Applies the rate limit in force to this host's turns. */
void
dest_apply_limit(struct dest *d, const struct rate_turns *t, usec now)
{
	rate_set(&d->rate, dest_limit(d, now), t, now);
}

/* Records that a request is sent to the target. */
void
dest_sent(struct dest *d, usec now)
{
	d->inflight++;
	rate_sent(&d->rate, now);
}

/* Backs off from the target, longer for each failure in a row. */
static void
back_off(struct dest *d, usec now)
{
	int times = d->unanswered_streak < 4 ? d->unanswered_streak : 4;
	usec span = BACKOFF_FIRST << (times > 0 ? times - 1 : 0);

	if (!feature_on(FEATURE_SHUN))
		return;
	if (span > BACKOFF_MAX)
		span = BACKOFF_MAX;
	d->backoff_until = now + span;
}

/* Updates the target's latency ratio from a request that did not wait there. */
static void
learn_latency(struct dest *d, const struct dest_answer *a)
{
	double x, gain;

	if (a->expected <= 0 || a->load.waiting > 0 ||
	    !feature_on(FEATURE_SPEED))
		return;
	x = (double)a->took / (double)a->expected;
	/* A single request may take many times the usual: clamp outliers. */
	x = fmin(fmax(x, 0.2), 4);
	gain = LATENCY_GAIN_FIRST / (1 + 0.15 * d->latency_samples++);
	d->latency_ratio += fmax(gain, LATENCY_GAIN) * (x - d->latency_ratio);
}

/* Records the end of a request that was sent to the target. */
void
dest_ended(struct dest *d, usec now, const struct dest_answer *a)
{
	double failed = a->end == DEST_FAILED || a->end == DEST_BROKEN;

	if (d->inflight > 0)
		d->inflight--;
	d->failure_rate += FAILURE_GAIN * (failed - d->failure_rate);
	if (a->load.reported) {
		d->load = a->load;
		d->others_inflight =
		    fmax(a->load.running + a->load.waiting - d->inflight, 0);
		/* The report may still count the request that has ended. */
		if (a->end == DEST_ANSWERED && d->others_inflight >= 1)
			d->others_inflight -= 1;
		d->load_at = now;
	}
	switch (a->end) {
	case DEST_ANSWERED:
		d->unanswered_streak = 0;
		learn_latency(d, a);
		break;
	case DEST_FAILED:
	case DEST_NOT_OWNER:
		d->unanswered_streak = 0;
		break;
	case DEST_REFUSED:
		d->unanswered_streak = 0;
		if (feature_on(FEATURE_SHUN) &&
		    d->backoff_until < now + BACKOFF_REFUSED)
			d->backoff_until = now + BACKOFF_REFUSED;
		break;
	case DEST_UNREACHED:
		d->unanswered_streak++;
		back_off(d, now);
		break;
	case DEST_BROKEN:
	case DEST_TIMED_OUT:
		if (++d->unanswered_streak >= BROKEN_STREAK_MAX)
			back_off(d, now);
		break;
	case DEST_NOT_SENT:
		break;
	}
}

/* Estimates the requests in flight at the target, from all hosts. */
double
dest_load(const struct dest *d, usec now)
{
	double age = (double)(now - d->load_at);

	if (d->load_at == 0 || !feature_on(FEATURE_OTHERS))
		return (d->inflight);
	return (d->inflight +
	    d->others_inflight * exp2(-age / (double)OTHERS_HALF_LIFE));
}

/* Records that the target has announced that it is leaving, so that it gets no
 * new requests after `from`; returns 0 if that was known. */
int
dest_announce_leave(struct dest *d, usec from)
{
	if (d->leaving_from != 0)
		return (0);
	d->leaving_from = from;
	return (1);
}

/* True if the target has announced that it is leaving, and the time in which
 * its keys should have moved is over. */
int
dest_left(const struct dest *d, usec now)
{
	return (d->leaving_from != 0 && now >= d->leaving_from);
}

/* True if the target leaves, or its data centre is being evacuated. */
int
dest_closed(const struct dest *d, usec now)
{
	return (d->leaving || dest_left(d, now) ||
	    (d->closed_from != 0 && now >= d->closed_from));
}

/* Records that the target wants no requests for some time. */
void
dest_pause(struct dest *d, usec until)
{
	if (d->paused_until < until)
		d->paused_until = until;
}

/* True if the target wants no requests now. */
int
dest_paused(const struct dest *d, usec now)
{
	return (now < d->paused_until);
}

/* Forgets failures that said nothing of the target, as no target was reached.
 */
void
dest_forget_failures(struct dest *d)
{
	d->unanswered_streak = 0;
	d->backoff_until = 0;
}

/* How long the target is backed off from or wants no requests. */
usec
dest_wait(const struct dest *d, usec now)
{
	usec until = d->backoff_until > d->paused_until ? d->backoff_until
							: d->paused_until;

	return (until > now ? until - now : 0);
}

/* True if the target is not closed, not backed off from, and wants requests. */
int
dest_usable(const struct dest *d, usec now)
{
	return (!dest_closed(d, now) && dest_wait(d, now) == 0);
}

/*
 * True if one more request may be sent to the target now.  Some targets never
 * answer a request that they cannot queue, nor any later one on the same
 * connection, so all hosts together must stay below the slots and the queue,
 * although each knows only the load that the target last reported to it.  That
 * report fades with time, so that a host with nothing in flight there sends a
 * request again and gets a newer one.
 */
int
dest_can_send(const struct dest *d, usec now, const struct dest_conf *conf)
{
	double share =
	    FILL_FACTOR * d->slots / (conf->hosts > 0 ? conf->hosts : 1);
	int max_inflight = (int)ceil(share) + 1;

	if (!dest_usable(d, now) || !rate_allows(&d->rate, now))
		return (0);
	if (!feature_on(FEATURE_FILL))
		return (1);
	if (d->inflight >= max_inflight)
		return (0);
	return (dest_load(d, now) < FILL_FACTOR * d->slots);
}

/*
 * Estimates how long a request would take at the target, in microseconds, to
 * compare targets.  `work` is the usual time of such a request, `others_work`
 * that of all requests to the service, which it may have to wait for: a read of
 * 36 ms waits as long behind exports of 220 ms as another export does.
 */
double
dest_cost(const struct dest *d, usec now, usec work, usec others_work)
{
	double load = dest_load(d, now), ahead = load + 1 - d->slots;
	double factor = d->latency_ratio, cost;

	if (now < d->cold_until && feature_on(FEATURE_COLD))
		factor *= COLD_FACTOR;
	cost = (double)work * factor * (1 + 0.15 * load / d->slots);
	if (ahead > 0)
		cost += (double)others_work * factor * ahead / d->slots;
	if (feature_on(FEATURE_FAILS))
		cost *= 1 + 2 * d->failure_rate;
	return (cost +
	    (d->same_dc || !feature_on(FEATURE_FAR) ? 0 : (double)FAR_COST));
}
