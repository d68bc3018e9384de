/* Stored form of the quarantine list: the request contents that are
 * quarantined or on probation. */
#ifndef QUARANTINE_TEXT_H
#define QUARANTINE_TEXT_H

#include "quarantine.h"
#include "str.h"

void quarantine_write(const struct quarantine_list *, struct str *, usec now);
int quarantine_read(const struct str *, struct quarantine_list *, usec now);

#endif
