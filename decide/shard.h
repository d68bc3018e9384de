/* Maps keys to shards. */
#ifndef SHARD_H
#define SHARD_H

#include <stddef.h>
#include <stdint.h>

uint32_t shard_of(const char *service, const char *key, size_t n, uint32_t of);

#endif
