/* Counters since the start, for the metrics page; thread-safe. */
#ifndef COUNT_H
#define COUNT_H

#include <stdint.h>
#include <stdio.h>

/* X(identifier, metric name, help text) */
#define COUNT_TABLE(X)                                                         \
	X(C_CALLER_REQUESTS, "caller_requests", "Requests from callers")       \
	X(C_CALLER_ANSWERS, "caller_answers", "Whole answers of targets")      \
	X(C_CALLER_NOT_RUN, "caller_not_run", "Answers not_run")               \
	X(C_CALLER_UNKNOWN, "caller_unknown", "Answers unknown")               \
	X(C_CALLER_BAD, "caller_bad", "Requests refused at the door")          \
	X(C_CALLER_GONE, "caller_gone", "Callers that left early")             \
	X(C_NO_ROOM, "caller_no_room",                                         \
	    "Requests refused or given up as memory or connections are short") \
	X(C_ANSWER_UNREAD, "answers_unread",                                   \
	    "Answers that callers did not read, cut to free memory")           \
	X(C_CALLER_ENDED, "caller_ended",                                      \
	    "Connections without a request closed to make room, or too slow")  \
	X(C_LINGERED, "connections_lingered",                                  \
	    "Connections closed whose peers could still lose an answer")       \
	X(C_LINGER_BYTES, "linger_bytes",                                      \
	    "Bytes that peers sent on these, discarded")                       \
	X(C_UNDELIVERED, "answers_undelivered",                                \
	    "Connections released before the peer had received everything")    \
	X(C_RELAYED, "relayed", "Requests relayed to another host")            \
	X(C_RETRIES, "retries", "Requests sent again")                         \
	X(C_RETRY_PAID, "retry_paid", "Retries taken from the budget")         \
	X(C_RETRY_REFUSED, "retry_refused", "Retries the budget refused")      \
	X(C_ANSWER_LATE, "answer_late", "Late or crossed answers dropped")     \
	X(C_PARKED, "parked", "Requests held while their key moves")           \
	X(C_QUEUED, "queued", "Requests queued at a dispatcher")               \
	X(C_SENT, "sent", "Requests sent to targets")                          \
	X(C_REFUSED_EARLY, "refused_early", "Requests refused at arrival")     \
	X(C_JOINED, "joined", "Repeats answered from the ticket table")        \
	X(C_CANCELS, "cancels", "Cancels sent to targets")                     \
	X(C_GRANTS, "grants", "Grants and renewals sent to targets")           \
	X(C_PEER_IN, "peer_frames_in", "Frames from peers")                    \
	X(C_PEER_OUT, "peer_frames_out", "Frames to peers")                    \
	X(C_PEER_IN_BYTES, "peer_bytes_in", "Bytes from peers")                \
	X(C_PEER_OUT_BYTES, "peer_bytes_out", "Bytes to peers")                \
	X(C_CONTROL_FRAMES, "control_frames", "Control frames, both ways")     \
	X(C_CONTROL_BYTES, "control_bytes", "Control payload, both ways")      \
	X(C_PEER_BAD, "peer_bad_frames", "Frames that closed a connection")    \
	X(C_PEER_SILENT, "peer_silent", "Connections found silent")            \
	X(C_PEER_UNSENT, "peer_unsent_bytes", "Lost with their connections")   \
	X(C_PEER_HELD_UP, "peer_held_up", "Copies not sent: link is full")     \
	X(C_SITE_TOLD, "site_told", "Configurations told to other hosts")      \
	X(C_SITE_TOLD_BYTES, "site_told_bytes", "Of them, in bytes")           \
	X(C_STORE_GET, "store_gets", "Reads of the platform")                  \
	X(C_STORE_LIST, "store_lists", "Of these, pages of lists")             \
	X(C_STORE_PUT, "store_puts", "Writes of the platform")                 \
	X(C_STORE_FAIL, "store_failures", "Platform calls that failed")        \
	X(C_RING_FULL, "ring_full", "Messages that a full ring refused")       \
	X(C_EVENTS, "events", "Events recorded")                               \
	X(C_LOG_DROPPED, "log_dropped", "Log lines not written")               \
	X(C_WAITED, "waited", "Requests that waited for room at a target")     \
	X(C_UNREACHED, "unreached", "Tries that did not reach a target")       \
	X(C_TARGET_LOST, "broke",                                              \
	    "Requests whose target gave no whole answer")                      \
	X(C_ANSWER_FOREIGN, "foreign",                                         \
	    "Answers that belong to no request here")                          \
	X(C_ANSWER_NO_ID, "answers_without_id",                                \
	    "Answers without the id of a request")                             \
	X(C_ANSWER_STOPPED, "answers_stopped",                                 \
	    "Answers read no further: not valid, or too large")                \
	X(C_NOT_OWNER, "missent", "Requests that came to no owner of the key") \
	X(C_TARGET_FULL, "target_full", "Requests that a full target refused") \
	X(C_GRANTS_FAILED, "grants_failed", "Orders not answered in time")     \
	X(C_QUARANTINED, "quarantined",                                        \
	    "Requests refused: they crash targets")                            \
	X(C_STORE_NEWS, "store_news", "Broadcasts of the store's news")        \
	X(C_TUNNELS, "tunnels",                                                \
	    "Connections to targets relayed for other hosts")                  \
	X(C_TUNNEL_BYTES, "tunnel_bytes", "Bytes of these, both ways")         \
	X(C_SENT_VIA, "sent_via", "Requests sent through another host")        \
	X(C_TARGET_CONNS, "target_connections",                                \
	    "Connections opened to targets for requests")                      \
	X(C_PERMIT_ASKED, "permits_asked",                                     \
	    "Permits asked of targets' admission hosts")                       \
	X(C_PERMIT_REFUSED, "permits_refused", "Of these, refused")            \
	X(C_PERMIT_SILENT, "permits_silent",                                   \
	    "Of these, without a reply: sent by this host's own estimate")     \
	X(C_PERMIT_UNUSED, "permits_unused",                                   \
	    "Permits given back without a request")                            \
	X(C_ADMIT_GIVEN, "admission_permits", "Permits given to hosts")        \
	X(C_ADMIT_WAITED, "admission_waited", "Requests that waited for one")  \
	X(C_ADMIT_REFUSED, "admission_refused",                                \
	    "Requests refused as no target could serve them in time")          \
	X(C_PERMIT_BYTES, "permit_bytes",                                      \
	    "Bytes of datagrams on permits, sent")                             \
	X(C_PERMIT_BAD, "permits_bad", "Datagrams that make no sense")         \
	X(C_HEADER_UNKNOWN, "headers_unknown",                                 \
	    "Answers of targets with a header that is not known")              \
	X(C_LOAD_BAD, "loads_bad", "Loads of targets that make no sense")      \
	X(C_ENTRY_FOREIGN, "entries_foreign", "Entries that make no sense")

#define COUNT_ENUM(e, name, help) e,
enum counter { COUNT_TABLE(COUNT_ENUM) COUNT_N };

void count_add(enum counter, uint64_t);
uint64_t count_get(enum counter);
const char *count_name(enum counter);
const char *count_help(enum counter);

#endif
