/* Switches features off; only in ablation builds. */
#include <string.h>

#include "feature.h"

static const char *const names[FEATURES] = {
    [FEATURE_COLD] = "cold",
    [FEATURE_DOUBT] = "doubt",
    [FEATURE_EARLY] = "early",
    [FEATURE_FAILS] = "fails",
    [FEATURE_FAR] = "far",
    [FEATURE_FILL] = "fill",
    [FEATURE_HOTTEST] = "hottest",
    [FEATURE_JOIN] = "join",
    [FEATURE_NEIGHBOURS] = "neighbours",
    [FEATURE_OTHERS] = "others",
    [FEATURE_PARK] = "park",
    [FEATURE_RESEND] = "resend",
    [FEATURE_REST] = "rest",
    [FEATURE_RETRY] = "retry",
    [FEATURE_SHUN] = "shun",
    [FEATURE_SPEED] = "speed",
    [FEATURE_SPREAD] = "spread",
    [FEATURE_STANDBY] = "standby",
};

/* Written before the threads that read it start.  Settings that are reloaded
 * name the same features. */
static unsigned char off[FEATURES];

/* True if the feature is enabled. */
int
feature_on(enum feature f)
{
	return (!off[f]);
}

/* Returns the feature's name in the settings. */
const char *
feature_name(enum feature f)
{
	return (names[f]);
}

/* Returns the feature that a word of n bytes names, or FEATURES if none. */
static int
feature_find(const char *word, size_t n)
{
	int f;

	for (f = 0; f < FEATURES; f++) {
		if (strlen(names[f]) == n && memcmp(names[f], word, n) == 0)
			break;
	}
	return (f);
}

/*
 * Disables the features in a list separated by blanks, and enables all others.
 * Returns 0, or -1 without any change if a name is unknown.
 */
int
features_off(const char *list)
{
	unsigned char chosen[FEATURES] = {0};
	size_t n;
	int f;

	for (list += strspn(list, " "); *list != '\0';
	     list += strspn(list, " ")) {
		n = strcspn(list, " ");
		f = feature_find(list, n);
		if (f == FEATURES)
			return (-1);
		chosen[f] = 1;
		list += n;
	}
	memcpy(off, chosen, sizeof(off));
	return (0);
}
