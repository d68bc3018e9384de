/* Digests that identify requests of the same content, which may be repeated
 * under another id or at another host. */
#ifndef DIGEST_H
#define DIGEST_H

#include <stdint.h>

#include "str.h"

uint64_t digest_parts(const struct str *parts, int n);

#endif
