/* Result codes of requests; explained in docs/ERRORS.md. */
#ifndef RESULT_H
#define RESULT_H

#include <stddef.h>
#include <stdint.h>

/*
 * X(name, number, HTTP status, default outcome, may be retried, reason).
 * Numbers are never reused.
 */
#define RESULT_TABLE(X)                                                        \
	X(GS_OK, 0, 200, OUT_RAN, 0, "done")                                   \
	X(GS_BAD_REQUEST, 100, 400, OUT_NOT_RUN, 0, "malformed request")       \
	X(GS_NO_SERVICE, 101, 404, OUT_NOT_RUN, 0, "unknown service")          \
	X(GS_BAD_KEY, 102, 400, OUT_NOT_RUN, 0, "empty or over-long key")      \
	X(GS_TOO_LARGE, 103, 413, OUT_NOT_RUN, 0, "body over the limit")       \
	X(GS_BAD_METHOD, 104, 405, OUT_NOT_RUN, 0, "method not allowed")       \
	X(GS_BAD_DEADLINE, 105, 400, OUT_NOT_RUN, 0, "bad deadline")           \
	X(GS_NEED_TICKET, 106, 428, OUT_NOT_RUN, 0,                            \
	    "this class needs a ticket as Idempotency-Key")                    \
	X(GS_BAD_TICKET, 107, 400, OUT_NOT_RUN, 0, "no ticket of this system") \
	X(GS_NO_ROUTE, 109, 404, OUT_NOT_RUN, 0, "no route for this path")     \
	X(GS_SLOW, 108, 408, OUT_NOT_RUN, 0, "request sent too slowly")        \
	X(GS_BUSY, 200, 503, OUT_NOT_RUN, 1, "queue full")                     \
	X(GS_TOO_LATE, 201, 503, OUT_NOT_RUN, 1,                               \
	    "cannot start before the deadline")                                \
	X(GS_NO_OWNER, 202, 503, OUT_NOT_RUN, 1, "no server owns the key now") \
	X(GS_MOVED, 203, 503, OUT_NOT_RUN, 1, "the key is moving")             \
	X(GS_OVER_LIMIT, 204, 429, OUT_NOT_RUN, 1, "over the entry's limit")   \
	X(GS_SHED, 205, 503, OUT_NOT_RUN, 1, "the server refused the work")    \
	X(GS_STOPPING, 206, 503, OUT_NOT_RUN, 1, "this host is stopping")      \
	X(GS_CANCELLED, 207, 499, OUT_NOT_RUN, 0, "cancelled by the caller")   \
	X(GS_NO_CATALOGUE, 208, 503, OUT_NOT_RUN, 1, "no catalogue yet")       \
	X(GS_QUARANTINED, 209, 503, OUT_NOT_RUN, 1,                            \
	    "servers have crashed under this request")                         \
	X(GS_TARGET_LIMIT, 210, 503, OUT_NOT_RUN, 1,                           \
	    "over the server's own limit")                                     \
	X(GS_CUT_OFF, 211, 503, OUT_NOT_RUN, 1, "no server can be reached")    \
	X(GS_NO_ROOM, 212, 503, OUT_NOT_RUN, 1, "no memory for the request")   \
	X(GS_DEADLINE, 300, 504, OUT_UNKNOWN, 0, "deadline passed")            \
	X(GS_TARGET_LOST, 301, 502, OUT_UNKNOWN, 0,                            \
	    "connection to the server lost")                                   \
	X(GS_PEER_LOST, 302, 502, OUT_UNKNOWN, 0,                              \
	    "connection to another host lost")                                 \
	X(GS_CUT_SHORT, 303, 502, OUT_UNKNOWN, 0, "answer cut short")          \
	X(GS_OLD_TICKET, 304, 409, OUT_UNKNOWN, 0,                             \
	    "nobody remembers this ticket")                                    \
	X(GS_ANSWER_LARGE, 305, 502, OUT_UNKNOWN, 0, "answer over the limit")  \
	X(GS_IO, 500, 500, OUT_UNKNOWN, 0, "input or output failed")           \
	X(GS_NOMEM, 501, 500, OUT_NOT_RUN, 0, "out of memory")                 \
	X(GS_RING_FULL, 503, 503, OUT_NOT_RUN, 1, "ring full")

#define RESULT_ENUM(n, num, http, out, retry, reason) n = num,
enum gs_result { RESULT_TABLE(RESULT_ENUM) };

/* Whether a request was run by a target. */
enum gs_outcome { OUT_NOT_RUN = 1, OUT_UNKNOWN = 2, OUT_RAN = 3 };

const char *result_name(int);
const char *result_reason(int);
int result_http_status(int);
int result_retryable(int);
enum gs_outcome result_outcome(int);
const char *outcome_name(int);
int result_json(char *buf, size_t size, int code, int outcome, uint32_t ms);

#endif
