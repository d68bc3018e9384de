/* The framing of answers. */
#include <stdio.h>
#include <string.h>

#include "framing.h"
#include "unit.h"

#define BODY_MAX 1000
#define OPEN_MAX 300

/* Follows lines up to the empty one that ends the last head; returns what the
 * last line was. */
static enum framing_line
follow(struct framing *f, const char *text)
{
	enum framing_line last = FRAMING_IGNORED;
	const char *end;

	for (; *text != '\0' && last != FRAMING_INVALID; text = end) {
		end = strchr(text, '\n') + 1;
		last = framing_line(f, text, (size_t)(end - text));
	}
	return (last);
}

/* Follows the head of an answer to a GET. */
static enum framing_line
head(struct framing *f, const char *text)
{
	framing_init(f, BODY_MAX, OPEN_MAX, 0);
	return (follow(f, text));
}

/* An answer that ends at any line of its head is taken for whole. */
static void
ends_in_head(void)
{
	static const char *const heads[] = {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n",
	    "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
	    "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	    "HTTP/1.0 200\r\n\r\n"};
	struct framing f;
	const char *p, *end;
	size_t i;

	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		framing_init(&f, BODY_MAX, OPEN_MAX, 0);
		for (p = heads[i]; *p != '\0'; p = end) {
			CU_ASSERT_FALSE(framing_is_whole(&f, 1));
			end = strchr(p, '\n') + 1;
			framing_line(&f, p, (size_t)(end - p));
		}
		CU_ASSERT_TRUE(framing_is_whole(&f, 1));
		CU_ASSERT_FALSE(framing_is_whole(&f, 0));
	}
}

/* An answer with fewer bytes than its length says is taken for whole. */
static void
ends_in_body(void)
{
	struct framing f;
	int i;

	CU_ASSERT_EQUAL(
	    head(&f, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"),
	    FRAMING_HEAD_END);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_FALSE(framing_is_whole(&f, 1));
		CU_ASSERT_EQUAL(framing_body(&f, 1), 0);
	}
	CU_ASSERT_TRUE(framing_is_whole(&f, 1));
	CU_ASSERT_EQUAL(framing_body(&f, 1), 0);
	CU_ASSERT_FALSE(framing_is_whole(&f, 1));
}

/* An answer without a body is never whole, as its length says that of the body
 * that it stands for. */
static void
no_body(void)
{
	struct framing f;

	framing_init(&f, BODY_MAX, OPEN_MAX, 1);
	follow(&f, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
	CU_ASSERT_TRUE(framing_is_whole(&f, 1));
	head(&f, "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n");
	CU_ASSERT_TRUE(framing_is_whole(&f, 1));
}

/* A length that cannot be known for certain is taken for the body's. */
static void
bad_lengths(void)
{
	static const char *const bad[] = {
	    "Content-Length: 3\r\nContent-Length: 4", "Content-Length: 3, 3",
	    "Content-Length: -1", "Content-Length: +1",
	    "Content-Length:", "Content-Length: 0x1", "Content-Length: 1 1",
	    "Content-Length: 99999999999999999999",
	    "Content-Length: 3\r\nTransfer-Encoding: chunked",
	    "Transfer-Encoding: chunked\r\nContent-Length: 3",
	    "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip",
	    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"};
	static const char *const good[] = {
	    "Content-Length: 3\r\ncontent-length:3 ",
	    "transfer-encoding:\tChunked ", "X-Content-Length: x",
	    "Content-Length-X: x"};
	char text[200];
	struct framing f;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\n%s\r\n\r\n",
		    bad[i]);
		CU_ASSERT_EQUAL(head(&f, text), FRAMING_INVALID);
		CU_ASSERT_FALSE(framing_is_whole(&f, 1));
	}
	for (i = 0; i < sizeof(good) / sizeof(good[0]); i++) {
		snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\n%s\r\n\r\n",
		    good[i]);
		CU_ASSERT_EQUAL(head(&f, text), FRAMING_HEAD_END);
	}
}

/* Bytes that are no answer are taken for one. */
static void
bad_lines(void)
{
	static const char *const bad[] = {"HTTP/1.1 20 OK\r\n\r\n",
	    "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
	    "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n",
	    "HTTP/1.1 101 Upgrade\r\n\r\n", "HTTP/2 200 OK\r\n\r\n",
	    "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 200", "200 OK\r\n\r\n",
	    "\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n"};
	struct framing f;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		framing_init(&f, BODY_MAX, OPEN_MAX, 0);
		if (strchr(bad[i], '\n') == NULL)
			framing_line(&f, bad[i], strlen(bad[i]));
		else
			follow(&f, bad[i]);
		CU_ASSERT_EQUAL(f.state, FRAMING_BROKEN);
		CU_ASSERT_FALSE(framing_is_whole(&f, 1));
		CU_ASSERT_EQUAL(
		    framing_line(&f, "X: y\r\n", 6), FRAMING_INVALID);
		CU_ASSERT_EQUAL(framing_body(&f, 1), -1);
	}
}

/* A line that a reader may take for another header, or for two, is passed on or
 * hides how the body is framed. */
static void
bad_fields(void)
{
	static const char *const bad[] = {"Content-Length : 5", "X Y: z",
	    " : z", ": z", "X\t: z", "X\x01Y: z", "X\x0b: z", "X\x7f: z",
	    "X\rY: z", "X\xe9: z", "X(Y): z", "X",
	    "Transfer-Encoding\x0b: chunked", "X: y\rZ: 1", "X: y\x01",
	    "X: y\x7f", "X: y\r"};
	static const char *const good[] = {
	    "X:", "X: ", "x-Y_1.~!#$%&'*+^`|: z", "X:\ty\t\xe9 ", "X: a:b"};
	static const char *const starts[] = {
	    "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n"};
	char text[200];
	struct framing f;
	size_t i, k;

	for (k = 0; k < sizeof(starts) / sizeof(starts[0]); k++) {
		for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
			snprintf(
			    text, sizeof(text), "%s%s\r\n", starts[k], bad[i]);
			CU_ASSERT_EQUAL(head(&f, text), FRAMING_INVALID);
			CU_ASSERT_FALSE(framing_is_whole(&f, 1));
		}
		for (i = 0; i < sizeof(good) / sizeof(good[0]); i++) {
			snprintf(
			    text, sizeof(text), "%s%s\n", starts[k], good[i]);
			CU_ASSERT_NOT_EQUAL(head(&f, text), FRAMING_INVALID);
		}
	}
	framing_init(&f, BODY_MAX, OPEN_MAX, 0);
	follow(&f, starts[0]);
	CU_ASSERT_EQUAL(framing_line(&f, "X\0: y\r\n", 7), FRAMING_INVALID);
}

/* Headers of an interim answer, or those that follow a body, are taken for
 * headers of the answer. */
static void
other_lines(void)
{
	struct framing f;

	framing_init(&f, BODY_MAX, OPEN_MAX, 0);
	CU_ASSERT_EQUAL(
	    follow(&f, "HTTP/1.1 103 Early Hints\r\n"), FRAMING_IGNORED);
	CU_ASSERT_EQUAL(follow(&f, "Content-Length: 7\r\n"), FRAMING_IGNORED);
	CU_ASSERT_EQUAL(follow(&f, "\r\n"), FRAMING_IGNORED);
	CU_ASSERT_EQUAL(follow(&f, "HTTP/1.1 200 OK\r\n"), FRAMING_IGNORED);
	CU_ASSERT_FALSE(f.has_length);
	CU_ASSERT_EQUAL(
	    follow(&f, "Transfer-Encoding: chunked\r\n"), FRAMING_FIELD);
	CU_ASSERT_EQUAL(follow(&f, "\r\n"), FRAMING_HEAD_END);
	CU_ASSERT_EQUAL(framing_body(&f, 5), 0);
	CU_ASSERT_EQUAL(follow(&f, "Content-Length: 7\r\n"), FRAMING_IGNORED);
	CU_ASSERT_EQUAL(follow(&f, "HTTP/1.1 500 X\r\n"), FRAMING_IGNORED);
	CU_ASSERT_EQUAL(f.status, 200);
	CU_ASSERT_TRUE(framing_is_whole(&f, 1));
}

/* Header lines, interim answers, trailers or a body without end are read on. */
static void
without_end(void)
{
	static const char *const starts[] = {"HTTP/1.1 200 OK\r\n",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
	struct framing f;
	size_t i, n;

	for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
		head(&f, starts[i]);
		for (n = 0; framing_line(&f, "X: y\r\n", 6) != FRAMING_INVALID;)
			n += 6;
		CU_ASSERT_TRUE(n <= FRAMING_HEAD_MAX);
		CU_ASSERT_FALSE(framing_is_whole(&f, 1));
	}
	framing_init(&f, BODY_MAX, OPEN_MAX, 0);
	for (n = 0;
	     follow(&f, "HTTP/1.1 100 Continue\r\n\r\n") == FRAMING_IGNORED;)
		n += 25;
	CU_ASSERT_TRUE(n <= FRAMING_HEAD_MAX);
	head(&f, "HTTP/1.1 200 OK\r\n\r\n");
	for (n = 0; framing_body(&f, 3) == 0;)
		n += 3;
	CU_ASSERT_EQUAL(n, OPEN_MAX / 3 * 3);
	CU_ASSERT_TRUE(f.too_large);
	CU_ASSERT_FALSE(framing_is_whole(&f, 1));
	CU_ASSERT_EQUAL(framing_body(&f, 0), -1);
}

/* A body that is known to be too large is read up to the limit. */
static void
length_too_large(void)
{
	struct framing f;

	CU_ASSERT_EQUAL(
	    head(&f, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"),
	    FRAMING_HEAD_END);
	CU_ASSERT_EQUAL(framing_body(&f, BODY_MAX), 0);
	CU_ASSERT_TRUE(framing_is_whole(&f, 1));
	CU_ASSERT_EQUAL(
	    head(&f, "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"),
	    FRAMING_INVALID);
	CU_ASSERT_TRUE(f.too_large);
}

static const struct unit_test tests[] = {{"ends in head", ends_in_head},
    {"ends in body", ends_in_body}, {"no body", no_body},
    {"bad lengths", bad_lengths}, {"bad lines", bad_lines},
    {"bad fields", bad_fields}, {"other lines", other_lines},
    {"without end", without_end}, {"length too large", length_too_large}};

UNIT_MAIN("framing", tests)
