/*
 * The readers under a coverage-guided fuzzer: FUZZ_READER names the one.  Built
 * and run by regress/fuzz.sh, which needs clang with its fuzzer library.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "readers.h"

static const struct reader *reader = &readers[0];

int LLVMFuzzerInitialize(int *, char ***);
int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

/* Finds the reader. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv("FUZZ_READER");
	int i;

	for (i = 0; name != NULL && i < nreaders; i++) {
		if (strcmp(readers[i].name, name) == 0)
			reader = &readers[i];
	}
	return (0);
}

/* Gives it bytes. */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	reader->read((const char *)p, n);
	return (0);
}
