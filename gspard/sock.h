/* Sockets by "IP:PORT". */
#ifndef SOCK_H
#define SOCK_H

#include <stddef.h>
#include <sys/types.h>

int sock_bind(const char *at);
int sock_connect(const char *to, const char *source);
int sock_bind_datagram(const char *at);
int sock_send_datagram(int fd, const char *to, const void *, size_t);
int sock_set_nonblocking(int fd);
int sock_error(int fd);
int sock_is_closed(int fd);
int sock_unsent(int fd);
ssize_t sock_discard(int fd, size_t max);
void sock_end(int fd);
void sock_close_orderly(int fd);
void sock_close_reset(int fd);

#endif
