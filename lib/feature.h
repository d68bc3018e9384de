/*
 * Mechanisms of routing, ownership and control that can be left out, one by
 * one, to measure what each is worth.  Only a build for that (BUILD=ablation)
 * has the switches; in any other each of them is a constant.
 */
#ifndef FEATURE_H
#define FEATURE_H

enum feature {
	FEATURE_COLD,	    /* targets that have just started count less */
	FEATURE_DOUBT,	    /* entries that lapse in an outage are doubted */
	FEATURE_EARLY,	    /* too late is said before the deadline */
	FEATURE_FAILS,	    /* failures make a target less wanted */
	FEATURE_FAR,	    /* targets of other data centres cost more */
	FEATURE_FILL,	    /* a target is sent so much at a time */
	FEATURE_HOTTEST,    /* the hottest key to the fastest target */
	FEATURE_JOIN,	    /* small cold ranges are joined */
	FEATURE_NEIGHBOURS, /* keys close together are as busy */
	FEATURE_OTHERS,	    /* what other hosts have at a target */
	FEATURE_PARK,	    /* requests wait while their key has no owner */
	FEATURE_RESEND,	    /* what a target refused is sent once more */
	FEATURE_REST,	    /* keys that moved stay for a while */
	FEATURE_RETRY,	    /* when to come back follows the line */
	FEATURE_SHUN,	    /* targets that fail are left alone */
	FEATURE_SPEED,	    /* how fast a target is, is learnt */
	FEATURE_SPREAD,	    /* hosts choose unlike each other */
	FEATURE_STANDBY,    /* standbys are apart, large ones first */
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
