/* Requests for tunnels, and answers to them, as text. */
#include <stdio.h>
#include <string.h>

#include "conf.h"
#include "tunnel.h"

#define METHOD "CONNECT "
#define VERSION " HTTP/1.1\r\n"

/* Formats a request for a tunnel to a target; returns its length. */
int
tunnel_head(char *buf, size_t size, const char *target)
{
	return (snprintf(
	    buf, size, METHOD "%s" VERSION "Host: %s\r\n\r\n", target, target));
}

/*
 * Parses the head of a request.  Returns 0 and the target's address, 1 if the
 * head is not complete, or -1 if it is invalid.
 */
int
tunnel_parse_head(const char *head, size_t n, char *target, size_t size)
{
	const char *end = memmem(head, n, "\r\n\r\n", 4);
	const char *version = memmem(head, n, VERSION, strlen(VERSION));
	char ip[ADDR_MAX_GS];
	size_t length;
	int port;

	if (end == NULL)
		return (n < TUNNEL_HEAD_SIZE ? 1 : -1);
	/* A client sends nothing more before the answer. */
	if (end + 4 != head + n || version == NULL || version > end ||
	    strncmp(head, METHOD, strlen(METHOD)) != 0)
		return (-1);
	head += strlen(METHOD);
	if (version < head || (length = (size_t)(version - head)) >= size)
		return (-1);
	memcpy(target, head, length);
	target[length] = '\0';
	return (addr_parse(target, ip, sizeof(ip), &port) == 0 ? 0 : -1);
}

/* Formats the answer to a request; returns its length. */
int
tunnel_reply(char *buf, size_t size, int status)
{
	const char *reason = status == TUNNEL_OK ? "Connection established"
	    : status == TUNNEL_BAD_REQUEST	 ? "Bad request"
	    : status == TUNNEL_REFUSED		 ? "Target not connected"
	    : status == TUNNEL_TIMEOUT		 ? "Target timed out"
						 : "Not relaying";

	return (snprintf(buf, size, "HTTP/1.1 %d %s\r\n%s\r\n", status, reason,
	    status == TUNNEL_OK ? "" : "Content-Length: 0\r\n"));
}

/* True if an answer has its whole head, or is too long. */
int
tunnel_reply_complete(const char *reply, size_t n)
{
	return (
	    n >= TUNNEL_REPLY_SIZE || memmem(reply, n, "\r\n\r\n", 4) != NULL);
}

/* True if the answer says that the target is connected. */
int
tunnel_reply_ok(const char *reply, size_t n)
{
	static const char ok[] = "HTTP/1.1 200 ";

	return (n >= sizeof(ok) && memcmp(reply, ok, sizeof(ok) - 1) == 0);
}
