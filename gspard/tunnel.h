/*
 * Connections to targets that a host relays for another one.  A relaying host
 * is asked with CONNECT, as an HTTP proxy is, and its answer to that is 200 the
 * target is connected; 502  the target refused the connection, or is not known;
 *   504  the target did not accept it in time;
 *   503  this host does not relay at the moment.
 */
#ifndef TUNNEL_H
#define TUNNEL_H

#include <stddef.h>

#define TUNNEL_OK 200
#define TUNNEL_BAD_REQUEST 400
#define TUNNEL_REFUSED 502
#define TUNNEL_UNAVAILABLE 503
#define TUNNEL_TIMEOUT 504
/* Longest head of a request, and of an answer. */
#define TUNNEL_HEAD_SIZE 512
#define TUNNEL_REPLY_SIZE 128

struct kernel;

/* tunnel.c */
int tunnel_count(struct kernel *);

/* tunnel_head.c */
int tunnel_head(char *buf, size_t size, const char *target);
int tunnel_parse_head(const char *head, size_t n, char *target, size_t size);
int tunnel_reply(char *buf, size_t size, int status);
int tunnel_reply_complete(const char *reply, size_t n);
int tunnel_reply_ok(const char *reply, size_t n);

#endif
