#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "hash_index.h"
#include "intern.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct hash_index by_name;
static const char **names;
static int n;

/* Returns the name that is held, or NULL.  The caller has the lock. */
static const char *
find(const char *name, uint64_t hash)
{
	int i;

	for (i = hash_index_first(&by_name, hash); i >= 0;
	     i = hash_index_next(&by_name, i)) {
		if (strcmp(names[i], name) == 0)
			return (names[i]);
	}
	return (NULL);
}

/* Adds a name; NULL if memory runs out or there are too many.  The caller has
 * the lock. */
static const char *
add(const char *name, uint64_t hash)
{
	const char **list;
	char *copy;

	if (n == INTERN_MAX || hash_index_reserve(&by_name, n + 1) != 0 ||
	    (list = realloc(names, sizeof(*list) * (size_t)(n + 1))) == NULL)
		return (NULL);
	names = list;
	if ((copy = strdup(name)) == NULL)
		return (NULL);
	names[n] = copy;
	hash_index_add(&by_name, n++, hash);
	return (copy);
}

/*
 * Returns the one copy of a name, which is never freed; NULL if memory runs out
 * or INTERN_MAX other names are held.  Safe for use by several threads.
 */
const char *
intern(const char *name)
{
	uint64_t hash = hash_name(name);
	const char *held;

	pthread_mutex_lock(&lock);
	held = find(name, hash);
	if (held == NULL)
		held = add(name, hash);
	pthread_mutex_unlock(&lock);
	return (held);
}
