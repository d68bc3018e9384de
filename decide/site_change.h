/*
 * What changed between two configurations.  A change is a configuration itself,
 * with the version that it is of: all services and bounds, and of the rules
 * those that are new, differ, or are gone.
 */
#ifndef SITE_CHANGE_H
#define SITE_CHANGE_H

#include "site.h"

struct site *site_change(const struct site *was, const struct site *now);
struct site *site_apply(const struct site *was, const struct site *change);

#endif
