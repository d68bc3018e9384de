/* The connections of callers, of which an orderly stop ends the idle ones. */
#ifndef CALLERS_H
#define CALLERS_H

#include <apr_thread_mutex.h>
#include <microhttpd.h>

struct callers;

struct callers *callers_new(apr_thread_mutex_t *);
void callers_free(struct callers *);
void callers_on_notify(void *, struct MHD_Connection *, void **,
    enum MHD_ConnectionNotificationCode);
int callers_set_busy(struct callers *, struct MHD_Connection *, int busy);
void callers_end_idle(struct callers *);

#endif
