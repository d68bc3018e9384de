/* Latency histograms for the metrics page; thread-safe. */
#ifndef HIST_H
#define HIST_H

#include "clock.h"
#include "str.h"

/* X(identifier, metric name, help text) */
#define HIST_TABLE(X)                                                          \
	X(H_REQUEST, "request", "From a request's arrival to its answer")      \
	X(H_QUEUE, "queue", "Waiting at this host before sending")             \
	X(H_TARGET, "target", "From sending to the target's answer")           \
	X(H_ORDER, "order", "From a grant or release to its answer")           \
	X(H_STORE, "store", "Calls to the platform's store, watches excepted")

#define HIST_ENUM(e, name, help) e,
enum hist { HIST_TABLE(HIST_ENUM) HIST_N };

void hist_add(enum hist, usec);
void hist_print(struct str *);

#endif
