/* Requests for tunnels between hosts, and the answers to them. */
#include <string.h>

#include "tunnel.h"
#include "unit.h"

/* Parses a request; target holds its address. */
static int
parse(const char *head, char *target)
{
	return (tunnel_parse_head(head, strlen(head), target, 64));
}

/* A request is not understood by the host that it is sent to. */
static void
own_head(void)
{
	char head[TUNNEL_HEAD_SIZE], target[64];
	int n = tunnel_head(head, sizeof(head), "10.1.2.3:8706");

	CU_ASSERT_EQUAL(n, (int)strlen(head));
	CU_ASSERT_EQUAL(parse(head, target), 0);
	CU_ASSERT_STRING_EQUAL(target, "10.1.2.3:8706");
}

/* A request that arrives in parts, or is none, is taken for another. */
static void
heads(void)
{
	static const char whole[] =
	    "CONNECT [::1]:80 HTTP/1.1\r\nHost: x\r\nUser-Agent: y\r\n\r\n";
	static const char *const bad[] = {"GET / HTTP/1.1\r\n\r\n",
	    "CONNECT a.example:80 HTTP/1.1\r\n\r\n",
	    "CONNECT 10.1.2.3 HTTP/1.1\r\n\r\n", "CONNECT  HTTP/1.1\r\n\r\n",
	    "CONNECT HTTP/1.1\r\n\r\n",
	    "CONNECT 10.1.2.3:80\r\nX: HTTP/1.0\r\n\r\n",
	    "CONNECT 10.1.2.3:80 HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	    "CONNECT 10.1.2.3:8000000000000000000000000000000000000000000000000"
	    "0000000000000000000000 HTTP/1.1\r\n\r\n"};
	char target[64], full[TUNNEL_HEAD_SIZE];
	size_t i;

	CU_ASSERT_EQUAL(parse(whole, target), 0);
	CU_ASSERT_STRING_EQUAL(target, "[::1]:80");
	for (i = 0; i < sizeof(whole) - 1; i++)
		CU_ASSERT_EQUAL(tunnel_parse_head(whole, i, target, 64), 1);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(parse(bad[i], target), -1);
	memset(full, 'x', sizeof(full));
	CU_ASSERT_EQUAL(tunnel_parse_head(full, sizeof(full), target, 64), -1);
}

/* A refusal is taken for a tunnel, or the other way round. */
static void
replies(void)
{
	static const int refusals[] = {TUNNEL_BAD_REQUEST, TUNNEL_REFUSED,
	    TUNNEL_UNAVAILABLE, TUNNEL_TIMEOUT};
	char text[TUNNEL_REPLY_SIZE];
	size_t i, n = (size_t)tunnel_reply(text, sizeof(text), TUNNEL_OK);

	CU_ASSERT(n < sizeof(text));
	CU_ASSERT(tunnel_reply_complete(text, n));
	CU_ASSERT(!tunnel_reply_complete(text, n - 1));
	CU_ASSERT(tunnel_reply_ok(text, n));
	CU_ASSERT(!tunnel_reply_ok(text, 5));
	CU_ASSERT(!tunnel_reply_ok(text, 0));
	/* A body after it would be read as the target's first bytes. */
	CU_ASSERT_PTR_NULL(strstr(text, "Content-Length"));
	for (i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		n = (size_t)tunnel_reply(text, sizeof(text), refusals[i]);
		CU_ASSERT(n < sizeof(text));
		CU_ASSERT(!tunnel_reply_ok(text, n));
	}
}

static const struct unit_test tests[] = {
    {"own head", own_head}, {"heads", heads}, {"replies", replies}};
UNIT_MAIN("tunnel", tests)
