/* Frames between hosts: a 4-byte big-endian length, then an encoded Frame. */
#ifndef FRAME_H
#define FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "gspar.pb-c.h"

/* Size of the header in bytes. */
#define FRAME_HEADER_SIZE 4
/* Maximum payload in bytes; must hold the largest body of an answer. */
#define FRAME_MAX (17u * 1024 * 1024)
/* Version of the peer protocol; since 2 views may carry differences only. */
#define FRAME_VERSION 2

struct bytes {
	uint8_t *p;
	size_t n;
};

int frame_pack(struct bytes *, const Gspar__Frame *);
int frame_size(const uint8_t *header, size_t *n);
Gspar__Frame *frame_unpack(const uint8_t *, size_t);
void frame_free(Gspar__Frame *);
int frame_is_control(const Gspar__Frame *);
int frame_is_state(const Gspar__Frame *);

#endif
