/* One HTTP transfer to a target: a request or an order. */
#ifndef TRANSFER_H
#define TRANSFER_H

#include "target_ops.h"

struct transfer {
	const struct target_ops *ops;
	CURL *easy;
	struct curl_slist *headers;
	struct reply reply;
	size_t body_max; /* of the answer; 0 discards the body */
	int maybe_sent;	 /* bytes may have been sent */
	int new_conn;	 /* ... on a connection opened for this transfer */
};

void transfers_wake(void *multi);
int transfer_set_keepalive(void *, curl_socket_t, curlsocktype);
void transfer_set_options(struct transfer *, const char *url,
    long connect_timeout_ms, const char *source);
void transfer_set_tunnel(struct transfer *, const char *host);
void transfer_free(struct transfer *);

#endif
