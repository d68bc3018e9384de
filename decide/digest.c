#include <xxhash.h>

#include "digest.h"

/*
 * The digest of a list of texts.  It covers their lengths, so that the same
 * bytes split differently have another digest.
 */
uint64_t
digest_parts(const struct str *parts, int n)
{
	uint64_t h = (uint64_t)n, length;
	int i;

	for (i = 0; i < n; i++) {
		length = parts[i].n;
		h = XXH3_64bits_withSeed(&length, sizeof(length), h);
		if (length > 0)
			h = XXH3_64bits_withSeed(parts[i].p, length, h);
	}
	return (h);
}
