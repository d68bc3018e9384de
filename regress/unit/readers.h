/* Parsers of external input, for fuzzing; each accepts any bytes. */
#ifndef READERS_H
#define READERS_H

#include <stddef.h>

struct reader {
	const char *name;
	void (*read)(const char *, size_t);
	/* Writes valid input to start from; returns its length. */
	size_t (*sample)(char *, size_t size);
};

extern const struct reader readers[];
extern const int nreaders;

#endif
