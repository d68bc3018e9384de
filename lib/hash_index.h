/*
 * Hash index of the entries of a table: finds positions by the hash of a key.
 * The table, its keys and their comparison stay with the user.
 */
#ifndef HASH_INDEX_H
#define HASH_INDEX_H

#include <stddef.h>
#include <stdint.h>

struct hash_index {
	int *buckets;	  /* 1 + first position, 0 if empty */
	int *next;	  /* 1 + next position in the bucket, 0 at the end */
	uint64_t *hashes; /* by position */
	int size;	  /* positions and buckets; a power of two, or 0 */
};

uint64_t hash_name(const char *name);
int hash_index_reserve(struct hash_index *, int n);
void *hash_index_grow(
    struct hash_index *, void *list, size_t entry, int n, int *capacity);
void hash_index_add(struct hash_index *, int i, uint64_t hash);
void hash_index_remove(struct hash_index *, int i);
void hash_index_clear(struct hash_index *);
void hash_index_free(struct hash_index *);
int hash_index_first(const struct hash_index *, uint64_t hash);
int hash_index_next(const struct hash_index *, int i);

#endif
