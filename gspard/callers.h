/* The connections of callers: which are idle, so that a stop can end them. */
#ifndef CALLERS_H
#define CALLERS_H

#include <microhttpd.h>

struct callers;

struct callers *callers_new(void);
void callers_free(struct callers *);
void callers_changed(void *, struct MHD_Connection *, void **,
    enum MHD_ConnectionNotificationCode);
void callers_busy(struct callers *, struct MHD_Connection *, int busy);
void callers_end_idle(struct callers *);

#endif
