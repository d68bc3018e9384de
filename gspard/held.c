#include <stdatomic.h>
#include <stdint.h>

#include "held.h"
#include "room.h"

static _Atomic size_t held;
static size_t held_max = SIZE_MAX;

/* Sets the limit, before any thread starts. */
void
held_init(size_t max)
{
	held_max = max;
}

/* Records that n more bytes are held. */
void
held_add(size_t n)
{
	atomic_fetch_add(&held, n);
}

/* Records that n bytes fewer are held. */
void
held_sub(size_t n)
{
	atomic_fetch_sub(&held, n);
}

/* Returns the bytes that are held. */
size_t
held_now(void)
{
	return (atomic_load(&held));
}

/* True if more is held than may be beside contents of this size: one of them,
 * or what gives way to them, must be given up. */
int
held_is_over(size_t size)
{
	return (held_now() > room_limit(held_max, size));
}

/* True if size more bytes may be held, if of what is held so many bytes give
 * way to them. */
int
held_admits(size_t size, size_t yielding)
{
	size_t now = held_now();

	now = now > yielding ? now - yielding : 0;
	return (now + size <= room_limit(held_max, size));
}
