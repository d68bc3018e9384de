/* The connections of callers, of which the idle ones are ended by an orderly
 * stop and where there are too many. */
#ifndef CALLERS_H
#define CALLERS_H

#include <microhttpd.h>

#include "clock.h"
#include "linger.h"

struct callers;

/* Whether this host has ended an idle connection. */
enum caller_end {
	CALLER_OPEN,
	CALLER_ENDED, /* what had arrived is still read */
	CALLER_CUT
};

struct callers *callers_new(int max, struct linger_list *);
void callers_free(struct callers *);
void callers_on_notify(void *, struct MHD_Connection *, void **,
    enum MHD_ConnectionNotificationCode);
void callers_on_notify_limit(void *, struct MHD_Connection *, void **,
    enum MHD_ConnectionNotificationCode);
enum caller_end callers_set_busy(
    struct callers *, struct MHD_Connection *, int busy);
void callers_end_idle(struct callers *);
int callers_count(struct callers *);
int callers_limit(struct callers *, usec now);
void callers_tick(struct callers *, usec max, usec now);

#endif
