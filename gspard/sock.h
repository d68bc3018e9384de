/* TCP sockets by "IP:PORT". */
#ifndef SOCK_H
#define SOCK_H

int sock_bind(const char *at);
int sock_connect(const char *to, const char *source);
int sock_set_nonblocking(int fd);
int sock_error(int fd);
int sock_is_closed(int fd);
void sock_close_reset(int fd);

#endif
