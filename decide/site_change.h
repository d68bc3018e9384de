/*
 * Differences between two site configurations.  A difference is a configuration
 * itself, with the version of its base: it has all services and bounds, but
 * only the rules that were added, changed or removed.
 */
#ifndef SITE_CHANGE_H
#define SITE_CHANGE_H

#include "site.h"

struct site *site_diff(const struct site *old, const struct site *new);
struct site *site_apply(const struct site *old, const struct site *diff);

#endif
