/* Tests the digest of a request's content. */
#include <string.h>

#include "digest.h"
#include "unit.h"

/* The digest of two texts. */
static uint64_t
two(const char *a, const char *b)
{
	struct str parts[] = {{(char *)a, strlen(a)}, {(char *)b, strlen(b)}};

	return (digest_parts(parts, 2));
}

/* The same content has the same digest, at any address. */
static void
same(void)
{
	char text[] = "/lots/7";

	CU_ASSERT(two("GET", "/lots/7") == two("GET", text));
}

/* Other bytes, another split into parts or a missing part change the digest. */
static void
different(void)
{
	struct str one = {"GET", 3};

	CU_ASSERT(two("GET", "/lots/7") != two("GET", "/lots/8"));
	CU_ASSERT(two("GET", "/lots/7") != two("GET/", "lots/7"));
	CU_ASSERT(two("", "GET") != two("GET", ""));
	CU_ASSERT(two("GET", "") != digest_parts(&one, 1));
}

/* An empty part may have a NULL pointer. */
static void
empty(void)
{
	struct str none[] = {{NULL, 0}, {NULL, 0}};

	CU_ASSERT(digest_parts(none, 2) == two("", ""));
}

static const struct unit_test tests[] = {
    {"same", same},
    {"different", different},
    {"empty", empty},
};
UNIT_MAIN("digest", tests)
