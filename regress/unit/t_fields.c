/* Heads of requests that can be passed on. */
#include <string.h>

#include "fields.h"
#include "unit.h"

/* Adds a header, given as "Name: value" without further spaces. */
static void
add(struct fields *f, const char *line)
{
	const char *colon = strchr(line, ':');

	fields_add(
	    f, line, (size_t)(colon - line), colon + 1, strlen(colon + 1));
}

/* True if a request with these headers is accepted; b may be NULL. */
static int
accepted(const char *a, const char *b)
{
	struct fields f = {0};

	add(&f, a);
	if (b != NULL)
		add(&f, b);
	return (fields_ok(&f));
}

/* The end of a body is ambiguous, so a part of it is run as a request. */
static void
lengths(void)
{
	CU_ASSERT_TRUE(accepted("Content-Length:12", "X-A:b"));
	CU_ASSERT_TRUE(accepted("Transfer-Encoding:chunked", NULL));
	CU_ASSERT_TRUE(accepted("transfer-encoding:Chunked", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length:0", "Content-Length:12"));
	CU_ASSERT_FALSE(accepted("Content-Length:12", "content-length:12"));
	CU_ASSERT_FALSE(
	    accepted("Content-Length:12", "Transfer-Encoding:chunked"));
	CU_ASSERT_FALSE(
	    accepted("Transfer-Encoding:chunked", "Transfer-Encoding:chunked"));
	CU_ASSERT_FALSE(accepted("Transfer-Encoding:gzip, chunked", NULL));
	CU_ASSERT_FALSE(accepted("Transfer-Encoding:identity", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length:+12", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length:1 2", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length:1,1", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length:", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length :12", NULL));
	CU_ASSERT_FALSE(accepted("Content-Length12:", NULL));
	CU_ASSERT_FALSE(accepted("Transfer-Encodingchunked:", NULL));
	CU_ASSERT_FALSE(accepted("Host:a", "Host:b"));
}

/* A part of a header's value becomes a header of its own on its way. */
static void
characters(void)
{
	struct fields f = {0};

	CU_ASSERT_TRUE(accepted("X-A:b\tc \xc3\xa6", NULL));
	CU_ASSERT_TRUE(accepted("X-A:", NULL));
	CU_ASSERT_FALSE(accepted("X-A:b\rContent-Length: 0", NULL));
	CU_ASSERT_FALSE(accepted("X-A:b\nContent-Length: 0", NULL));
	CU_ASSERT_FALSE(accepted("X-A:b\x7f", NULL));
	CU_ASSERT_FALSE(accepted("X-\rA:b", NULL));
	CU_ASSERT_FALSE(accepted(" X-A:b", NULL));
	CU_ASSERT_FALSE(accepted(":b", NULL));
	fields_add(&f, "X-A", 3, "b\0c", 3);
	CU_ASSERT_FALSE(fields_ok(&f));
}

/* A request line is read in two ways. */
static void
request_lines(void)
{
	static const char *const bad[] = {
	    "", "/a b", "/a\rb", "/a\tb", "/a\x7f", "/a HTTP/1.1\rX: y"};
	size_t i;

	CU_ASSERT_TRUE(fields_target_ok("/a?b=%20&c=\xc3\xa6", 13));
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_FALSE(fields_target_ok(bad[i], strlen(bad[i])));
	CU_ASSERT_TRUE(fields_token_ok("M-SEARCH", 8));
	CU_ASSERT_FALSE(fields_token_ok("G T", 3));
	CU_ASSERT_FALSE(fields_token_ok("G\0T", 3));
	CU_ASSERT_FALSE(fields_token_ok("", 0));
}

static const struct unit_test tests[] = {{"lengths", lengths},
    {"characters", characters}, {"request lines", request_lines}};

UNIT_MAIN("fields", tests)
