/*
 * Runs one of the readers, named by FUZZ_READER, under a coverage-guided
 * fuzzer. Built and run by regress/fuzz.sh, which needs clang with its fuzzer
 * library.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "readers.h"

static const struct reader *reader = &readers[0];

int LLVMFuzzerInitialize(int *, char ***);
int LLVMFuzzerTestOneInput(const uint8_t *, size_t);

/* Selects the reader that FUZZ_READER names. */
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

/* Passes one input to the reader. */
int
LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	reader->read((const char *)p, n);
	return (0);
}
