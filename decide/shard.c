#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "shard.h"

/*
 * Returns the shard of a key, 0 to of - 1.  The service's name seeds the hash,
 * so that keys which are hot in several services do not share a shard in all of
 * them.  All hosts of all versions must agree, so the hash must never change.
 */
uint32_t
shard_of(const char *service, const char *key, size_t n, uint32_t of)
{
	XXH64_hash_t seed;

	seed = XXH3_64bits(service, strlen(service));
	return ((uint32_t)(XXH3_64bits_withSeed(key, n, seed) % of));
}
