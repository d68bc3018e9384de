#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "sockopt.h"

/* A silent connection is probed after this many seconds, this often ... */
#define PROBE_IDLE_S 1
#define PROBE_EVERY_S 1
#define PROBES 2
/* ... and lost after this, also where what was sent is not acknowledged. */
#define USER_TIMEOUT_MS 2500

/*
 * Makes the kernel notice a connection that went silent for good.  Nothing
 * else tells: a watch on it hears no change, a request no answer, until their
 * time is up.
 */
int
sockopt_alive(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1, idle = PROBE_IDLE_S, every = PROBE_EVERY_S, n = PROBES;
	int ms = USER_TIMEOUT_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof(every));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &n, sizeof(n));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return (CURL_SOCKOPT_OK);
}
