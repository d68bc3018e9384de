/* The connections that this host has closed, until their peers have received
 * the last answer. */
#ifndef LINGER_H
#define LINGER_H

#include "clock.h"

struct kernel;
struct linger_list;

struct linger_list *linger_new(int max);
void linger_free(struct linger_list *);
void linger_add(struct linger_list *, int fd, int unsent, usec now);
int linger_evict(struct linger_list *);
int linger_count(struct linger_list *);
void linger_tick(struct linger_list *, usec now);
void linger_poll(struct linger_list *);
void linger_wake(void *);
struct linger_list *linger_find(struct kernel *);

#endif
