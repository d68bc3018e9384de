/*
 * The choice of the answer to give up when the bodies of all that are being
 * received take too much memory.
 */
#ifndef EXCESS_H
#define EXCESS_H

#include <stddef.h>

struct excess {
	size_t total;	/* bytes of all bodies */
	size_t largest; /* bytes of the largest */
	void *answer;	/* with that body */
};

void excess_add(struct excess *, size_t size, void *answer);
void *excess_choose(const struct excess *, size_t max);

#endif
