/* The control record in the JSON form that the store keeps. */
#ifndef RECORD_H
#define RECORD_H

#include "str.h"
#include "term.h"

void record_encode(const struct control_record *, struct str *out);
int record_decode(const struct str *body, struct control_record *);

#endif
