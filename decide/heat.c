#include "heat.h"

/*
 * Counts a request for a key.  Once full, a random sample of all is kept, so
 * that a report stays small at any rate and hot keys still stand out in it.
 */
void
heat_add(struct heat *h, uint16_t key)
{
	uint64_t at;

	h->seen++;
	if (h->n < HEAT_KEPT) {
		h->keys[h->n++] = key;
		return;
	}
	h->seed = h->seed * 6364136223846793005u + 1442695040888963407u;
	at = (h->seed >> 33) % h->seen;
	if (at < HEAT_KEPT)
		h->keys[at] = key;
}

/* Forgets all, after it was reported. */
void
heat_clear(struct heat *h)
{
	h->n = 0;
	h->seen = 0;
}
