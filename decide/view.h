/*
 * Lookups in views, the controller's assignment of a cell: which target owns a
 * shard, and which host dispatches for a target.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include "gspar.pb-c.h"

uint64_t view_number(const Gspar__View *);
const Gspar__ServiceView *view_service(const Gspar__View *, const char *);
const char *view_owner(const Gspar__ServiceView *, uint32_t n);
const char *view_dispatcher(const Gspar__View *, const char *target);
Gspar__View *view_copy(const Gspar__View *);

#endif
