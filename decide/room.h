/*
 * What clients may take of a host: memory for requests and answers, and
 * connections.  Limits are parts of what the process may use, so that all of
 * them together leave room for the host's own work.
 */
#ifndef ROOM_H
#define ROOM_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

size_t room_content_max(int memory_mb);
int room_is_small(size_t size);
size_t room_limit(size_t max, size_t size);
uint64_t room_weight(size_t size, usec age);
int room_connections_max(int memory_mb, long descriptors);
int room_peers_max(long descriptors);
int room_tunnels_max(long descriptors);

#endif
