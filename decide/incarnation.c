#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "incarnation.h"

/* Between the id and the moment of the start, in Unix milliseconds. */
#define BORN_AFTER '#'

/* Names a life of a target; born is 0 where it tells none.  0, or -1 where the
 * name is too long, or the id could be taken for that of a life. */
int
incarnation_name(char *name, size_t size, const char *target, uint64_t born)
{
	int n;

	if (strchr(target, BORN_AFTER) != NULL)
		return (-1);
	if (born == 0)
		n = snprintf(name, size, "%s", target);
	else
		n = snprintf(
		    name, size, "%s%c%" PRIu64, target, BORN_AFTER, born);
	return (n < 0 || (size_t)n >= size ? -1 : 0);
}

/* How many bytes of a life's name are its target's id. */
size_t
incarnation_target(const char *name)
{
	const char *at = strchr(name, BORN_AFTER);

	return (at == NULL ? strlen(name) : (size_t)(at - name));
}

/* When a life began; 0 is not told. */
static uint64_t
born(const char *name)
{
	const char *at = strchr(name, BORN_AFTER);

	return (at == NULL ? 0 : strtoull(at + 1, NULL, 10));
}

/* True where the name is that of a life of the target. */
int
incarnation_is_of(const char *name, const char *target)
{
	size_t n = incarnation_target(name);

	return (strlen(target) == n && memcmp(name, target, n) == 0);
}

/* True at the end of the target's id in a life's name. */
static int
id_ends(char c)
{
	return (c == '\0' || c == BORN_AFTER);
}

/* True where both name lives of one target, the same life included.  Asked of
 * each target for each other while a list is read, so it ends early. */
int
incarnation_same_target(const char *a, const char *b)
{
	while (*a == *b && !id_ends(*a)) {
		a++;
		b++;
	}
	return (id_ends(*a) && id_ends(*b));
}

/* True where one life of a target came after another: that one has ended. */
int
incarnation_follows(const char *later, const char *earlier)
{
	return (incarnation_same_target(later, earlier) &&
	    born(later) > born(earlier));
}

/* A number that stands for a life; never 0. */
uint64_t
incarnation_digest(const char *name)
{
	uint64_t h = XXH3_64bits(name, strlen(name));

	return (h == 0 ? 1 : h);
}
