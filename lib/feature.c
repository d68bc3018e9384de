/* The switches of a build for measurements; of no other. */
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

/* Set by the settings before the threads that read it start; settings that are
 * read again name the same. */
static unsigned char off[FEATURES];

/* True where a mechanism is in use. */
int
feature_on(enum feature f)
{
	return (!off[f]);
}

/* The name of a mechanism in settings. */
const char *
feature_name(enum feature f)
{
	return (names[f]);
}

/* The mechanism that a word of n bytes names, or FEATURES. */
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
 * Leaves out the mechanisms that are named, with blanks in between, and no
 * others; 0, or -1 where a name is unknown, and then nothing is changed.
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
