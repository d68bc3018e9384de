/* What tells requests of the same content: they may come again under another
 * id, at another host. */
#ifndef DIGEST_H
#define DIGEST_H

#include <stdint.h>

#include "str.h"

uint64_t digest_parts(const struct str *parts, int n);

#endif
