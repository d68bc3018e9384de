/*
 * Features of routing, key ownership and control that can be disabled one by
 * one to measure the effect of each.  Only ablation builds (BUILD=ablation) can
 * disable them; in all others they are always on.
 */
#ifndef FEATURE_H
#define FEATURE_H

enum feature {
	FEATURE_COLD,	    /* less load for targets that just started */
	FEATURE_DOUBT,	    /* keeping entries that lapse in an outage */
	FEATURE_EARLY,	    /* refusal of requests that cannot be in time */
	FEATURE_FAILS,	    /* higher cost of targets that fail */
	FEATURE_FAR,	    /* higher cost of other data centres */
	FEATURE_FILL,	    /* limit of requests in flight per target */
	FEATURE_HOTTEST,    /* hottest key to the fastest target */
	FEATURE_JOIN,	    /* merging of small idle ranges */
	FEATURE_NEIGHBOURS, /* load estimate from neighbouring keys */
	FEATURE_OTHERS,	    /* other hosts' requests at a target */
	FEATURE_PARK,	    /* waiting while a key has no owner */
	FEATURE_RESEND,	    /* retry of requests that a target refused */
	FEATURE_REST,	    /* cooldown of keys that moved */
	FEATURE_RETRY,	    /* retry delay from the queueing time */
	FEATURE_SHUN,	    /* backoff from targets that fail */
	FEATURE_SPEED,	    /* measured response times of targets */
	FEATURE_SPREAD,	    /* random variation of target choice */
	FEATURE_STANDBY,    /* choice of standbys by data centre and size */
	FEATURES
};

#ifdef ABLATION
int feature_on(enum feature);
const char *feature_name(enum feature);
int features_off(const char *names);
#else
#define feature_on(f) 1
#endif

#endif
