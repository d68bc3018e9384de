#include <stdlib.h>
#include <string.h>

#include "hosts.h"

#define INITIAL_CAPACITY 16

/* Returns the host with a name, or NULL.  Valid until a host is added or
 * removed. */
struct host_entry *
hosts_find(const struct hosts *t, const char *name)
{
	int i;

	for (i = hash_index_first(&t->by_name, hash_name(name)); i >= 0;
	     i = hash_index_next(&t->by_name, i)) {
		if (strcmp(t->list[i].process.host, name) == 0)
			return (&t->list[i]);
	}
	return (NULL);
}

/* Makes room for one more host; 0, or -1 if memory runs out. */
static int
grow(struct hosts *t)
{
	int capacity = t->capacity == 0 ? INITIAL_CAPACITY : t->capacity * 2;
	struct host_entry *list;

	if (t->n < t->capacity)
		return (0);
	list = realloc(t->list, sizeof(*list) * (size_t)capacity);
	if (list == NULL)
		return (-1);
	t->list = list;
	if (hash_index_reserve(&t->by_name, capacity) != 0)
		return (-1);
	t->capacity = capacity;
	return (0);
}

/* Adds a host that is not in the table, with nothing known but its name; NULL
 * if memory runs out. */
struct host_entry *
hosts_add(struct hosts *t, const char *name)
{
	struct host_entry *h;

	if (grow(t) != 0)
		return (NULL);
	h = &t->list[t->n];
	memset(h, 0, sizeof(*h));
	name_copy(h->process.host, sizeof(h->process.host), name);
	hash_index_add(&t->by_name, t->n++, hash_name(name));
	return (h);
}

/* Removes a host; the last one takes its position. */
void
hosts_remove(struct hosts *t, int i)
{
	int last = --t->n;

	hash_index_remove(&t->by_name, i);
	if (i == last)
		return;
	hash_index_remove(&t->by_name, last);
	t->list[i] = t->list[last];
	hash_index_add(&t->by_name, i, hash_name(t->list[i].process.host));
}

/* Frees the table and resets it to an empty one. */
void
hosts_free(struct hosts *t)
{
	free(t->list);
	hash_index_free(&t->by_name);
	memset(t, 0, sizeof(*t));
}
