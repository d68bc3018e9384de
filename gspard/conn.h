/* A connection between two hosts: its buffers and frames, without polling. */
#ifndef CONN_H
#define CONN_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_pools.h>

#include "gspard.h"

/* Unsent bytes of a connection beyond which frames are refused. */
#define CONN_OUT_MAX (64u * 1024 * 1024)
/* Largest first frame, by which the other host names itself, in bytes. */
#define HELLO_MAX 4096u

struct conn {
	struct conn *next;
	apr_pool_t *pool;
	apr_socket_t *sock;
	apr_pollfd_t pfd;
	uint64_t id;
	char host[NAME_MAX_GS];
	int outgoing;
	int connecting;
	int hello_received;
	int failed;
	const char *fail_reason;
	struct str in;
	size_t in_pos;
	size_t held;	  /* bytes of in that count as held */
	usec waits_since; /* when a frame of which part has arrived began */
	struct str out;
	size_t out_pos;
	usec opened_at;
	usec last_recv;
	usec first_unanswered; /* first send since the last receipt; 0: none */
	int pinged;
	int blocked; /* the last write did not fit into the socket buffer */
	/* Requests queued before the connection was established. */
	uint64_t *waiting_corrs;
	size_t nwaiting;
};

typedef void (*conn_frame_fn)(void *, struct conn *, Gspar__Frame *);

struct conn *conn_new(apr_socket_t *, apr_pool_t *, uint64_t id, usec now);
void conn_free(struct conn *);
void conn_close(struct conn *);
int conn_queue(struct conn *, const uint8_t *, size_t, usec now);
void conn_add_waiting(struct conn *, uint64_t corr);
void conn_read(struct conn *, usec now, conn_frame_fn, void *);
int conn_is_backlogged(const struct conn *, size_t);
void conn_write(struct conn *, usec now);
void conn_fail(struct conn *, const char *fail_reason);

#endif
