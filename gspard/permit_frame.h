/* Datagrams between hosts that ask for permits to send to targets. */
#ifndef PERMIT_FRAME_H
#define PERMIT_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "admission.h"

/* Largest datagram. */
#define PERMIT_FRAME_MAX 1024

enum permit_kind { PERMIT_ASK, PERMIT_REPLY, PERMIT_END };

/* One message; the fields of the other kinds are not valid. */
struct permit_msg {
	enum permit_kind kind;
	char host[NAME_MAX_GS]; /* that sent it */
	uint64_t id;
	char service[NAME_MAX_GS]; /* not of a reply */
	char target[NAME_MAX_GS];  /* "" is any, or none */
	/* Of an ask; times are relative to its arrival. */
	char avoid[NAME_MAX_GS];
	int rank;
	int no_wait;
	usec left;
	usec aim_left;
	usec work;
	/* Of a reply. */
	enum admission_verdict verdict;
	usec wait;
	/* Of an end. */
	struct dest_answer answer;
};

size_t permit_pack(const struct permit_msg *, uint8_t *buf, size_t size);
int permit_unpack(struct permit_msg *, const uint8_t *, size_t);

#endif
