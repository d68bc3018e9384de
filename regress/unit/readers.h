/* What reads bytes from outside, for fuzzing: each takes any bytes at all. */
#ifndef READERS_H
#define READERS_H

#include <stddef.h>

struct reader {
	const char *name;
	void (*read)(const char *, size_t);
	/* Something that it reads well, to begin with. */
	size_t (*sample)(char *, size_t room);
};

extern const struct reader readers[];
extern const int nreaders;

#endif
