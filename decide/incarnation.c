#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "incarnation.h"

/* Separates the target's id from its start time, in Unix milliseconds. */
#define START_SEPARATOR '#'

/* Formats the name of an incarnation; born is 0 if the target gives no start
 * time.  0, or -1 if the name does not fit or the id contains the separator. */
int
incarnation_format(
    char *name, size_t size, const char *target, uint64_t started_at)
{
	int n;

	if (strchr(target, START_SEPARATOR) != NULL)
		return (-1);
	if (started_at == 0)
		n = snprintf(name, size, "%s", target);
	else
		n = snprintf(name, size, "%s%c%" PRIu64, target,
		    START_SEPARATOR, started_at);
	return (n < 0 || (size_t)n >= size ? -1 : 0);
}

/* Returns the length of the target's id at the start of a name. */
size_t
incarnation_id_length(const char *name)
{
	const char *at = strchr(name, START_SEPARATOR);

	return (at == NULL ? strlen(name) : (size_t)(at - name));
}

/* Returns the start time of an incarnation; 0 if it has none. */
static uint64_t
started_at(const char *name)
{
	const char *at = strchr(name, START_SEPARATOR);

	return (at == NULL ? 0 : strtoull(at + 1, NULL, 10));
}

/* True if the name is that of an incarnation of the target. */
int
incarnation_is_of(const char *name, const char *target)
{
	size_t n = incarnation_id_length(name);

	return (strlen(target) == n && memcmp(name, target, n) == 0);
}

/* True if the character ends the target's id in a name. */
static int
id_ends(char c)
{
	return (c == '\0' || c == START_SEPARATOR);
}

/* True if both name incarnations of one target, or the same one.  Runs for many
 * pairs of targets while a list is read, so it stops at the first difference.
 */
int
incarnation_same_target(const char *a, const char *b)
{
	while (*a == *b && !id_ends(*a)) {
		a++;
		b++;
	}
	return (id_ends(*a) && id_ends(*b));
}

/* True if one incarnation of a target is later than another, which has thus
 * ended. */
int
incarnation_follows(const char *later, const char *earlier)
{
	return (incarnation_same_target(later, earlier) &&
	    started_at(later) > started_at(earlier));
}

/* Returns a digest of an incarnation's name; never 0. */
uint64_t
incarnation_digest(const char *name)
{
	uint64_t h = XXH3_64bits(name, strlen(name));

	return (h == 0 ? 1 : h);
}
