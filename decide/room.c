#include "room.h"

#define MB ((size_t)1024 * 1024)
/* Contents up to this size in bytes are small. */
#define SMALL_MAX ((size_t)64 * 1024)

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

/*
 * Returns the limit on all contents that holds for one of a size.  Large ones
 * leave a sixteenth to small ones, so that an ordinary request finds room while
 * clients hold all that large ones may take.
 */
size_t
room_limit(size_t max, size_t size)
{
	return (size > SMALL_MAX ? max - max / 16 : max);
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
