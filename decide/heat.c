#include "heat.h"

/*
 * Counts a request for a key.  Beyond HEAT_SAMPLE_MAX requests it keeps a
 * uniform random sample of them (reservoir sampling), so that a report is of
 * bounded size and hot keys still stand out in it.
 */
void
heat_add(struct heat *h, uint16_t key)
{
	uint64_t at;

	h->requests++;
	if (h->n < HEAT_SAMPLE_MAX) {
		h->keys[h->n++] = key;
		return;
	}
	h->seed = h->seed * 6364136223846793005u + 1442695040888963407u;
	at = (h->seed >> 33) % h->requests;
	if (at < HEAT_SAMPLE_MAX)
		h->keys[at] = key;
}

/* Empties the sample after it was reported. */
void
heat_clear(struct heat *h)
{
	h->n = 0;
	h->requests = 0;
}
