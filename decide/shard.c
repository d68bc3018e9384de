#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "shard.h"

/*
 * The shard of a key, of `of` shards.  The service's name seeds the hash, so
 * that keys hot in one service do not share shards in another.  Every host
 * must compute the same: the hash is fixed for good.
 */
uint32_t
shard_of(const char *service, const char *key, size_t n, uint32_t of)
{
	XXH64_hash_t seed;

	seed = XXH3_64bits(service, strlen(service));
	return ((uint32_t)(XXH3_64bits_withSeed(key, n, seed) % of));
}
