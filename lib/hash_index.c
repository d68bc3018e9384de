#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "hash_index.h"

#define INITIAL_SIZE 16

/* Returns the hash of a name. */
uint64_t
hash_name(const char *name)
{
	return (XXH3_64bits(name, strlen(name)));
}

/* Returns the bucket of a hash. */
static int *
bucket_of(const struct hash_index *x, uint64_t hash)
{
	return (&x->buckets[hash & (uint64_t)(x->size - 1)]);
}

/* Frees the index and resets it to an empty one. */
void
hash_index_free(struct hash_index *x)
{
	free(x->buckets);
	free(x->next);
	free(x->hashes);
	memset(x, 0, sizeof(*x));
}

/* Removes all positions. */
void
hash_index_clear(struct hash_index *x)
{
	if (x->size > 0)
		memset(x->buckets, 0, sizeof(*x->buckets) * (size_t)x->size);
}

/* Appends to `to`, which is larger and empty, all positions of an index. */
static void
copy_positions(struct hash_index *to, const struct hash_index *from)
{
	int b, i;

	for (b = 0; b < from->size; b++) {
		for (i = from->buckets[b]; i != 0; i = from->next[i - 1])
			hash_index_add(to, i - 1, from->hashes[i - 1]);
	}
}

/*
 * Makes room for positions up to n - 1, for several times as many at once, so
 * that adding one at a time takes linear time in all.  Returns 0, or -1 if
 * memory runs out; the index is then as it was.
 */
int
hash_index_reserve(struct hash_index *x, int n)
{
	struct hash_index new;
	int size = x->size == 0 ? INITIAL_SIZE : x->size;

	if (n <= x->size)
		return (0);
	while (size < n)
		size *= 2;
	new.size = size;
	new.buckets = calloc((size_t)size, sizeof(*new.buckets));
	new.next = calloc((size_t)size, sizeof(*new.next));
	new.hashes = calloc((size_t)size, sizeof(*new.hashes));
	if (new.buckets == NULL || new.next == NULL || new.hashes == NULL) {
		hash_index_free(&new);
		return (-1);
	}
	copy_positions(&new, x);
	hash_index_free(x);
	*x = new;
	return (0);
}

/*
 * Makes room for one more than n entries of so many bytes in a list and its
 * index.  Returns the list, which may have moved; NULL if memory runs out, with
 * the list as it was.
 */
void *
hash_index_grow(
    struct hash_index *x, void *list, size_t entry, int n, int *capacity)
{
	int size = *capacity == 0 ? INITIAL_SIZE : 2 * *capacity;
	void *grown;

	if (n < *capacity)
		return (list);
	if (hash_index_reserve(x, size) != 0 ||
	    (grown = realloc(list, entry * (size_t)size)) == NULL)
		return (NULL);
	*capacity = size;
	return (grown);
}

/* Adds a position, for which there is room and which is not in the index. */
void
hash_index_add(struct hash_index *x, int i, uint64_t hash)
{
	int *bucket = bucket_of(x, hash);

	x->hashes[i] = hash;
	x->next[i] = *bucket;
	*bucket = i + 1;
}

/* Removes a position; does nothing if it is not in the index. */
void
hash_index_remove(struct hash_index *x, int i)
{
	int *at;

	if (i >= x->size)
		return;
	at = bucket_of(x, x->hashes[i]);
	while (*at != 0 && *at != i + 1)
		at = &x->next[*at - 1];
	if (*at != 0)
		*at = x->next[i];
}

/* Returns the first position at or after that of link `at` with a hash, or -1.
 */
static int
match(const struct hash_index *x, int at, uint64_t hash)
{
	while (at != 0 && x->hashes[at - 1] != hash)
		at = x->next[at - 1];
	return (at - 1);
}

/* Returns a position with this hash, or -1.  Keys may differ though their
 * hashes do not: the user compares them and goes on with hash_index_next(). */
int
hash_index_first(const struct hash_index *x, uint64_t hash)
{
	return (x->size == 0 ? -1 : match(x, *bucket_of(x, hash), hash));
}

/* Returns the next position with the same hash, or -1. */
int
hash_index_next(const struct hash_index *x, int i)
{
	return (match(x, x->next[i], x->hashes[i]));
}
