/*
 * Decoders against bytes from anywhere: whatever another writer puts into the
 * store, or a peer sends, is read or refused, and never read beyond its end.
 * Run with sanitizers by `make check`; FUZZ_ROUNDS and FUZZ_SEED make it long.
 */
#include <glob.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "readers.h"
#include "unit.h"

#define ROUNDS 3000
#define INPUT_MAX 8192
#define MUTATIONS_MOST 6

static uint64_t seed;

/* A number below a bound. */
static size_t
draw(size_t below)
{
	seed = seed * 6364136223846793005u + 1442695040888963407u;
	return (below == 0 ? 0 : (size_t)(seed >> 33) % below);
}

/* Bytes that decoders have gone wrong on elsewhere. */
static const char *const odd[] = {"null", "-1", "1e999", "[]", "{}", "\"\"",
    "99999999999999999999", "-9223372036854775808", "4294967296", "0.5",
    "\"\\u0000\"", "\"\\ud800\"", "\xff\xfe", "\xc3", "]", "}", "\"", "\\",
    "[[[[[[[[", "{\"a\":{\"a\":{\"a\":", "true", "\"draining\"", ",", ":"};

struct input {
	char p[INPUT_MAX];
	size_t n;
};

/* Puts bytes in the place of others. */
static void
splice(struct input *in, size_t at, size_t cut, const char *p, size_t n)
{
	if (at + cut > in->n || in->n - cut + n > sizeof(in->p))
		return;
	memmove(in->p + at + n, in->p + at + cut, in->n - at - cut);
	memcpy(in->p + at, p, n);
	in->n = in->n - cut + n;
}

/* Changes an input in one way or another. */
static void
mutate(struct input *in)
{
	size_t at = draw(in->n + 1), len = draw(in->n - at + 1);
	const char *s = odd[draw(sizeof(odd) / sizeof(odd[0]))];
	char copy[256];

	switch (draw(6)) {
	case 0:
		if (in->n > 0)
			in->p[draw(in->n)] = (char)draw(256);
		break;
	case 1:
		splice(in, at, 0, s, strlen(s));
		break;
	case 2:
		splice(in, at, len < 16 ? len : 16, "", 0);
		break;
	case 3:
		len = len < sizeof(copy) ? len : sizeof(copy);
		memcpy(copy, in->p + at, len);
		splice(in, draw(in->n + 1), 0, copy, len);
		break;
	case 4:
		in->n = at;
		break;
	default:
		splice(in, at, len < 12 ? len : 12, s, strlen(s));
		break;
	}
}

/* Gives bytes to a reader in memory of just their size. */
static void
feed(const struct reader *r, const char *p, size_t n)
{
	char *exact = malloc(n > 0 ? n : 1);

	memcpy(exact, p, n);
	r->read(exact, n);
	free(exact);
}

/* Gives a reader mutations of its sample. */
static void
fuzz(const struct reader *r)
{
	const char *more = getenv("FUZZ_ROUNDS"), *s = getenv("FUZZ_SEED");
	long i, rounds = more == NULL ? ROUNDS : atol(more);
	static struct input sample, in;
	size_t k;

	seed = s == NULL ? 7 : strtoull(s, NULL, 10);
	sample.n = r->sample(sample.p, sizeof(sample.p));
	for (i = 0; i < rounds; i++) {
		in = sample;
		for (k = draw(MUTATIONS_MOST) + 1; k > 0; k--)
			mutate(&in);
		feed(r, in.p, in.n);
	}
}

/* Whatever is made of a sample is read or refused. */
static void
mutations(void)
{
	int i;

	for (i = 0; i < nreaders; i++)
		fuzz(&readers[i]);
}

/*
 * Inputs that are kept: those that ever failed, and what a coverage-guided
 * fuzzer found to reach more of the code.  Their names begin with the reader's.
 */
static void
corpus(void)
{
	static const char dir[] = "regress/unit/corpus/";
	static char bytes[INPUT_MAX];
	glob_t found;
	FILE *f;
	size_t i, n;
	int k;

	CU_ASSERT_EQUAL_FATAL(
	    glob("regress/unit/corpus/*", 0, NULL, &found), 0);
	for (i = 0; i < found.gl_pathc; i++) {
		f = fopen(found.gl_pathv[i], "r");
		CU_ASSERT_PTR_NOT_NULL_FATAL(f);
		n = fread(bytes, 1, sizeof(bytes), f);
		fclose(f);
		for (k = 0; k < nreaders; k++) {
			if (strncmp(found.gl_pathv[i] + strlen(dir),
				readers[k].name, strlen(readers[k].name)) == 0)
				feed(&readers[k], bytes, n);
		}
	}
	globfree(&found);
}

static const struct unit_test tests[] = {
    {"mutations", mutations},
    {"corpus", corpus},
};
UNIT_MAIN("fuzz", tests)
