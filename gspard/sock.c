#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conf.h"
#include "sock.h"

/* Bytes read at a time to be discarded, and the most before a close. */
#define DISCARD_SIZE 16384
#define DISCARD_MAX ((size_t)1024 * 1024)

/* An IPv4 or IPv6 address for the socket calls. */
struct sock_addr {
	union {
		struct sockaddr any;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	} u;
	socklen_t size;
};

/* Converts an IP address and a port; returns 0, or -1 if it is invalid. */
static int
set_addr(struct sock_addr *a, const char *ip, int port)
{
	memset(a, 0, sizeof(*a));
	if (inet_pton(AF_INET, ip, &a->u.in.sin_addr) == 1) {
		a->u.in.sin_family = AF_INET;
		a->u.in.sin_port = htons((uint16_t)port);
		a->size = sizeof(a->u.in);
		return (0);
	}
	if (inet_pton(AF_INET6, ip, &a->u.in6.sin6_addr) != 1)
		return (-1);
	a->u.in6.sin6_family = AF_INET6;
	a->u.in6.sin6_port = htons((uint16_t)port);
	a->size = sizeof(a->u.in6);
	return (0);
}

/* The same for "IP:PORT". */
static int
parse_addr(struct sock_addr *a, const char *at)
{
	char ip[ADDR_MAX_GS];
	int port;

	if (addr_parse(at, ip, sizeof(ip), &port) != 0)
		return (-1);
	return (set_addr(a, ip, port));
}

/* Returns a TCP socket bound to "IP:PORT", or -1. */
int
sock_bind(const char *at)
{
	struct sock_addr a;
	int fd, on = 1;

	if (parse_addr(&a, at) != 0)
		return (-1);
	fd = socket(a.u.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, &a.u.any, a.size) == 0)
		return (fd);
	close(fd);
	return (-1);
}

/*
 * Returns a non-blocking socket that is being connected to "IP:PORT", from an
 * IP address unless that is ""; -1 if the connection failed at once.
 */
int
sock_connect(const char *to, const char *source)
{
	struct sock_addr a, from;
	int fd;

	if (parse_addr(&a, to) != 0 ||
	    (source[0] != '\0' && set_addr(&from, source, 0) != 0))
		return (-1);
	fd = socket(
	    a.u.any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return (-1);
	if ((source[0] == '\0' || bind(fd, &from.u.any, from.size) == 0) &&
	    (connect(fd, &a.u.any, a.size) == 0 || errno == EINPROGRESS))
		return (fd);
	close(fd);
	return (-1);
}

/* Returns a non-blocking datagram socket bound to "IP:PORT", or -1. */
int
sock_bind_datagram(const char *at)
{
	struct sock_addr a;
	int fd;

	if (parse_addr(&a, at) != 0)
		return (-1);
	fd = socket(
	    a.u.any.sa_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return (-1);
	if (bind(fd, &a.u.any, a.size) == 0)
		return (fd);
	close(fd);
	return (-1);
}

/* Sends a datagram to "IP:PORT"; returns 0, or -1 if it was not sent. */
int
sock_send_datagram(int fd, const char *to, const void *p, size_t n)
{
	struct sock_addr a;

	if (parse_addr(&a, to) != 0)
		return (-1);
	return (sendto(fd, p, n, 0, &a.u.any, a.size) == (ssize_t)n ? 0 : -1);
}

/* Makes calls on a socket return instead of waiting; returns 0 or -1. */
int
sock_set_nonblocking(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	return (flags < 0 ? -1 : fcntl(fd, F_SETFL, flags | O_NONBLOCK));
}

/* Returns the pending error of a socket, an errno value, or 0. */
int
sock_error(int fd)
{
	int err = 0;
	socklen_t n = sizeof(err);

	getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n);
	return (err);
}

/* True if nothing is left to be read from a socket and the peer has closed or
 * reset the connection. */
int
sock_is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR));
}

/* Returns the number of bytes sent that the peer has not acknowledged; 0 if it
 * cannot be known. */
int
sock_unsent(int fd)
{
	int n;

	return (ioctl(fd, SIOCOUTQ, &n) == 0 ? n : 0);
}

/* Reads and discards what has arrived, at most max bytes.  Returns the number
 * of bytes, or -1 if the peer has closed or reset the connection. */
ssize_t
sock_discard(int fd, size_t max)
{
	char buf[DISCARD_SIZE];
	size_t total = 0;
	ssize_t n;

	while (total < max) {
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n > 0)
			total += (size_t)n;
		else if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		else
			return (-1);
	}
	return ((ssize_t)total);
}

/* Prepares the close of a socket: the system goes on sending what it has not
 * sent.  Unread bytes would make it reset the connection instead. */
void
sock_end(int fd)
{
	shutdown(fd, SHUT_WR);
	sock_discard(fd, DISCARD_MAX);
}

/* Closes a socket in order. */
void
sock_close_orderly(int fd)
{
	sock_end(fd);
	close(fd);
}

/* Closes a socket by a reset, which also discards its unsent bytes. */
void
sock_close_reset(int fd)
{
	struct linger hard = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
}
