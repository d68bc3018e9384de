/* Frames between processes: a 4-byte length, then a packed Frame. */
#ifndef FRAME_H
#define FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "gspar.pb-c.h"

#define FRAME_HEAD 4
/* Largest payload in bytes; an answer's body must fit. */
#define FRAME_MAX (17u * 1024 * 1024)
/* Of the peer protocol; 2 since views may carry only what changed. */
#define FRAME_VERSION 2

struct bytes {
	uint8_t *p;
	size_t n;
};

int frame_pack(struct bytes *, const Gspar__Frame *);
int frame_size(const uint8_t *head, size_t *n);
Gspar__Frame *frame_unpack(const uint8_t *, size_t);
void frame_free(Gspar__Frame *);
int frame_is_control(const Gspar__Frame *);
int frame_is_state(const Gspar__Frame *);

#endif
