/* The requests that are being read, and the memory that calls take. */
#ifndef INTAKE_H
#define INTAKE_H

#include <apr_thread_mutex.h>

#include "door_ops.h"

struct intake;

struct intake *intake_new(apr_thread_mutex_t *, const struct door_ops *);
void intake_free(struct intake *);
void intake_add(struct intake *, struct call *, usec head_time, usec now);
void intake_remove(struct intake *, struct call *);
int intake_claim(struct call *);
int intake_is_reading(const struct call *);
int intake_head(struct intake *, struct call *, usec now);
int intake_body(struct intake *, struct call *, const char *, size_t, usec now);
int intake_accept(struct intake *, struct call *, usec now);
void intake_answered(struct intake *, struct call *, usec now);
int intake_make_room(struct intake *, usec now);
int intake_yield(struct intake *, usec now);
void intake_tick(struct intake *, usec now);

#endif
