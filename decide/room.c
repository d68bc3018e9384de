#include "room.h"

#define MB ((size_t)1024 * 1024)
/* Contents up to this size in bytes are small. */
#define SMALL_MAX ((size_t)64 * 1024)
/* Memory of a connection with the longest head, in bytes. */
#define CONNECTION_SIZE ((size_t)24 * 1024)
/* Upper limits on connections whatever the process may use. */
#define CONNECTIONS_MAX 4096
#define TUNNELS_MAX 512

/*
 * Returns the most bytes of requests and answers that are held at a time, of a
 * process that may use so much memory.  With 120 MB this takes a body of 64
 * MB.
 */
size_t
room_content_max(int memory_mb)
{
	return ((size_t)memory_mb * MB / 8 * 5);
}

/* True for the size of a small request, answer or frame. */
int
room_is_small(size_t size)
{
	return (size <= SMALL_MAX);
}

/*
 * Returns the limit on all contents that holds for one of a size.  Large ones
 * leave a sixteenth to small ones, so that an ordinary request finds room while
 * clients hold all that large ones may take.
 */
size_t
room_limit(size_t max, size_t size)
{
	return (room_is_small(size) ? max : max - max / 16);
}

/*
 * Returns how much speaks for giving up what has taken so many bytes for so
 * long.  What has held the most memory for the longest goes first: one that
 * trickles grows older, and neither a small request nor a large one that
 * arrives fast is chosen before it.
 */
uint64_t
room_weight(size_t size, usec age)
{
	return ((uint64_t)size * (uint64_t)(age > 0 ? age / 1000 + 1 : 1));
}

/* Returns the lesser of two numbers. */
static long
least(long a, long b)
{
	return (a < b ? a : b);
}

/* Returns how many connections of callers may be open: their heads take a sixth
 * of the memory, and they leave five eighths of the descriptors to targets, the
 * store and other hosts. */
int
room_connections_max(int memory_mb, long descriptors)
{
	size_t n = (size_t)memory_mb * MB / 6 / CONNECTION_SIZE;

	return (
	    (int)least(least((long)n, descriptors / 8 * 3), CONNECTIONS_MAX));
}

/* Returns how many connections may be open that were opened to the address for
 * other hosts. */
int
room_peers_max(long descriptors)
{
	return ((int)(descriptors / 4));
}

/* Returns how many connections to targets may be relayed, of two descriptors
 * each. */
int
room_tunnels_max(long descriptors)
{
	return ((int)least(descriptors / 8, TUNNELS_MAX));
}
