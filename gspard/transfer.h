/* One HTTP transfer to a target: a request or an order. */
#ifndef TRANSFER_H
#define TRANSFER_H

#include "answers.h"
#include "framing.h"
#include "target_ops.h"

struct transfer {
	const struct target_ops *ops;
	CURL *easy;
	struct curl_slist *headers;
	const struct call *call; /* the request; NULL for an order */
	/* Returns whether the answer, whose head was read, is that to this
	 * transfer; NULL for a request. */
	int (*is_own)(struct transfer *);
	struct framing framing; /* of the answer */
	struct reply reply;
	size_t *held; /* bytes of all bodies that are being received, which then
			 also count in the account of held.h; or NULL */
	int discards_body;
	int is_foreign; /* the answer's head shows that it is not to the request
			 */
	int maybe_sent; /* bytes may have been sent */
	int new_conn;	/* ... on a connection opened for this transfer */
	int local_port; /* ... of that connection; 0 if nothing was sent */
	int resent;	/* an earlier attempt of the request was sent on it */
	uint64_t addr;	/* digest of the target's address */
	struct sends *sends; /* attempts of the request, or NULL */
};

void transfers_wake(void *multi);
int transfer_set_keepalive(void *, curl_socket_t, curlsocktype);
void transfer_init(struct transfer *, const struct target_ops *,
    size_t body_max, size_t open_max, int to_head);
void transfer_set_options(struct transfer *, const char *url,
    long connect_timeout_ms, const char *source);
void transfer_set_tunnel(struct transfer *, const char *host);
enum reply_kind transfer_kind(const struct transfer *);
CURLcode transfer_result(const struct framing *, CURLcode);
CURLcode transfer_end(const struct transfer *, CURLcode);
int transfer_broke_off(const struct transfer *, CURLcode);
void transfer_free(struct transfer *);

#endif
