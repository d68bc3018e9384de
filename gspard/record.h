/* The control record as JSON, as the store keeps it. */
#ifndef RECORD_H
#define RECORD_H

#include "str.h"
#include "term.h"

void record_write(const struct control_record *, struct str *out);
int record_read(const struct str *body, struct control_record *);

#endif
