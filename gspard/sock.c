#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bind.h"
#include "conf.h"

/* Returns a TCP socket bound to "IP:PORT", or -1. */
int
bind_to(const char *at)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct sockaddr_in6 sin6 = {.sin6_family = AF_INET6};
	char ip[ADDR_MAX_GS];
	int fd, port, six, on = 1, res;

	addr_parse(at, ip, sizeof(ip), &port);
	six = inet_pton(AF_INET, ip, &sin.sin_addr) != 1;
	if (six)
		inet_pton(AF_INET6, ip, &sin6.sin6_addr);
	sin.sin_port = htons((uint16_t)port);
	sin6.sin6_port = htons((uint16_t)port);
	fd = socket(six ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	res = six ? bind(fd, (struct sockaddr *)&sin6, sizeof(sin6))
		  : bind(fd, (struct sockaddr *)&sin, sizeof(sin));
	if (res == 0)
		return (fd);
	close(fd);
	return (-1);
}
