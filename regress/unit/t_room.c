/* What clients may take of a host. */
#include "excess.h"
#include "room.h"
#include "unit.h"

#define MB ((size_t)1024 * 1024)

/* A body of the largest size that is allowed by default is refused though
 * nothing else is held, or all limits together exceed the memory. */
static void
content(void)
{
	static const int sizes[] = {120, 160, 260, 512, 1024};
	size_t i, max, heads;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		max = room_content_max(sizes[i]);
		heads =
		    (size_t)room_connections_max(sizes[i], 1 << 20) * 24 * 1024;
		CU_ASSERT(64 * MB < room_limit(max, 64 * MB));
		CU_ASSERT(max + heads < (size_t)sizes[i] * MB / 100 * 80);
	}
}

/* Large contents leave no room for small ones. */
static void
reserve(void)
{
	size_t max = room_content_max(120);

	CU_ASSERT_EQUAL(room_limit(max, 0), max);
	CU_ASSERT_EQUAL(room_limit(max, 64 * 1024), max);
	CU_ASSERT(room_limit(max, 64 * 1024 + 1) <= max - 4 * MB);
}

/* A small request gives way to those that hold more, or one that arrives fast
 * to one that stands still. */
static void
order(void)
{
	uint64_t small = room_weight(2000, MS(1000));
	uint64_t fast = room_weight(64 * MB, MS(500));

	CU_ASSERT(small < room_weight(64 * 1024, MS(1000)));
	CU_ASSERT(small < fast);
	CU_ASSERT(fast < room_weight(8 * MB, MS(5000)));
	CU_ASSERT(room_weight(MB, MS(1000)) < room_weight(MB, MS(1001)));
	CU_ASSERT(room_weight(1, 0) > 0);
	CU_ASSERT(room_weight(1, -1) > 0);
	/* No overflow with the largest body and the longest age. */
	CU_ASSERT(room_weight(1024 * MB, MS(1000)) <
	    room_weight(1024 * MB, 86400 * US_PER_SEC));
}

/* Connections leave no descriptors for targets, the store and other hosts. */
static void
descriptors(void)
{
	CU_ASSERT_EQUAL(room_connections_max(1024, 400), 150);
	CU_ASSERT_EQUAL(room_connections_max(4096, 1 << 20), 4096);
	CU_ASSERT(room_connections_max(120, 3075) > 800);
	CU_ASSERT(room_connections_max(260, 4100) + room_peers_max(4100) +
		2 * room_tunnels_max(4100) <
	    4100);
	CU_ASSERT_EQUAL(room_tunnels_max(4100), 512);
	CU_ASSERT_EQUAL(room_tunnels_max(400), 50);
}

static const struct unit_test tests[] = {{"content", content},
    {"reserve", reserve}, {"order", order}, {"descriptors", descriptors}};

UNIT_MAIN("room", tests)
