/*
 * Feeds mutated input to the parsers: whatever another writer puts into the
 * store, or a peer sends, is parsed or refused, and never read beyond its end.
 * `make check` runs this with sanitizers; FUZZ_ROUNDS and FUZZ_SEED set the
 * number of mutations and the seed.
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
#define MUTATIONS_MAX 6

static uint64_t seed;

/* Returns a pseudo-random number below the bound. */
static size_t
random_below(size_t bound)
{
	seed = seed * 6364136223846793005u + 1442695040888963407u;
	return (bound == 0 ? 0 : (size_t)(seed >> 33) % bound);
}

/* Fragments that often make parsers fail. */
static const char *const tokens[] = {"null", "-1", "1e999", "[]", "{}", "\"\"",
    "99999999999999999999", "-9223372036854775808", "4294967296", "0.5",
    "\"\\u0000\"", "\"\\ud800\"", "\xff\xfe", "\xc3", "]", "}", "\"", "\\",
    "[[[[[[[[", "{\"a\":{\"a\":{\"a\":", "true", "\"draining\"", ",", ":"};

struct input {
	char p[INPUT_MAX];
	size_t n;
};

/* Replaces old_len bytes by others; does nothing if the result does not fit. */
static void
splice(struct input *in, size_t at, size_t old_len, const char *p, size_t n)
{
	if (at + old_len > in->n || in->n - old_len + n > sizeof(in->p))
		return;
	memmove(in->p + at + n, in->p + at + old_len, in->n - at - old_len);
	memcpy(in->p + at, p, n);
	in->n = in->n - old_len + n;
}

/* Applies one random mutation to an input. */
static void
mutate(struct input *in)
{
	size_t at = random_below(in->n + 1), len = random_below(in->n - at + 1);
	const char *s =
	    tokens[random_below(sizeof(tokens) / sizeof(tokens[0]))];
	char copy[256];

	switch (random_below(6)) {
	case 0:
		if (in->n > 0)
			in->p[random_below(in->n)] = (char)random_below(256);
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
		splice(in, random_below(in->n + 1), 0, copy, len);
		break;
	case 4:
		in->n = at;
		break;
	default:
		splice(in, at, len < 12 ? len : 12, s, strlen(s));
		break;
	}
}

/* Runs a reader on a copy of exactly the input's size, so that the sanitizer
 * sees any overrun. */
static void
run_reader(const struct reader *r, const char *p, size_t n)
{
	char *exact = malloc(n > 0 ? n : 1);

	memcpy(exact, p, n);
	r->read(exact, n);
	free(exact);
}

/* Runs a reader on mutations of its sample. */
static void
fuzz_reader(const struct reader *r)
{
	const char *rounds_env = getenv("FUZZ_ROUNDS"),
		   *seed_env = getenv("FUZZ_SEED");
	long i, rounds = rounds_env == NULL ? ROUNDS : atol(rounds_env);
	static struct input sample, in;
	size_t k;

	seed = seed_env == NULL ? 7 : strtoull(seed_env, NULL, 10);
	sample.n = r->sample(sample.p, sizeof(sample.p));
	for (i = 0; i < rounds; i++) {
		in = sample;
		for (k = random_below(MUTATIONS_MAX) + 1; k > 0; k--)
			mutate(&in);
		run_reader(r, in.p, in.n);
	}
}

/* Every mutation of a sample is parsed or refused. */
static void
mutations(void)
{
	int i;

	for (i = 0; i < nreaders; i++)
		fuzz_reader(&readers[i]);
}

/*
 * Runs the stored inputs: those that once failed, and those that a coverage-
 * guided fuzzer found to reach more of the code.  A file's name begins with the
 * reader's name.
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
				run_reader(&readers[k], bytes, n);
		}
	}
	globfree(&found);
}

static const struct unit_test tests[] = {
    {"mutations", mutations},
    {"corpus", corpus},
};
UNIT_MAIN("fuzz", tests)
