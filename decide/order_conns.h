/*
 * Whose answer came to an order.  Orders and their answers bear an id where
 * targets echo it.  Where they do not, the answer to a release is told by its
 * hand-over token, if that has not come on the connection before.
 */
#ifndef ORDER_CONNS_H
#define ORDER_CONNS_H

#include <stdint.h>

#include "answers.h"
#include "hash_index.h"

/* Tokens that are remembered of one connection.  With more, it is no longer
 * known which have come. */
#define ORDER_TOKENS_MAX 256
/* Connections that are remembered, open ones and others.  With more, all are
 * forgotten. */
#define ORDER_CONNS_MAX 8192

/* A connection for orders, and the digests of all tokens that have come on it.
 */
struct order_conn {
	uint64_t *tokens;
	int ntokens;
	int capacity;
};

struct order_conns {
	struct order_conn *list;
	int n;
	int capacity;
	struct hash_index index; /* by address and port */
};

struct order_answer {
	uint64_t addr; /* digest of the target's address */
	int port;      /* of this host */
	int new_conn;  /* nothing was sent on the connection before */
	enum answer_id id;
	int release;	/* the order is one, not a grant */
	uint64_t token; /* digest; 0 if the answer has none */
};

void order_conns_free(struct order_conns *);
int order_answer_is_own(struct order_conns *, const struct order_answer *);

#endif
