/*
 * The choice of what to give up when what is held takes too much: the item that
 * weighs most.
 */
#ifndef EXCESS_H
#define EXCESS_H

#include <stddef.h>
#include <stdint.h>

struct excess {
	size_t total;	   /* size of all items */
	uint64_t heaviest; /* weight of the heaviest */
	void *item;	   /* with that weight */
};

void excess_add(struct excess *, size_t size, uint64_t weight, void *item);
void *excess_choose(const struct excess *, size_t max);

#endif
