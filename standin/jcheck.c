/*
 * Checks the journals of all targets: a shard has at most one owner at any
 * time, fences increase, each run lies within its target's period of ownership,
 * and no ticket runs twice.  Exits 1 if there is any fault.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define NAME 64

/* A period in which one target owned one shard. */
struct spell {
	char service[NAME];
	long shard;
	long long fence;
	usec from;
	usec to;
	const char *file;
	int open;
};

/* One run of a request. */
struct run {
	char service[NAME];
	long shard;
	long long fence;
	usec at;
	char id[160];
	const char *file;
};

static struct spell *spells;
static size_t nspells;
static struct run *runs;
static size_t nruns;
static int faults;

/* The open period of a shard in this journal, or NULL. */
static struct spell *
find_open(const char *file, const char *service, long shard)
{
	size_t i;

	for (i = nspells; i > 0; i--) {
		if (spells[i - 1].open && spells[i - 1].file == file &&
		    spells[i - 1].shard == shard &&
		    strcmp(spells[i - 1].service, service) == 0)
			return (&spells[i - 1]);
	}
	return (NULL);
}

/* Reallocates an array of n elements for one more; exits if out of memory. */
static void *
grow(void *p, size_t n, size_t size)
{
	void *q = realloc(p, (n + 1) * size);

	if (q == NULL)
		err(2, "out of memory");
	return (q);
}

/* Begins a period. */
static void
hold(
    const char *file, const char *service, long shard, long long fence, usec at)
{
	struct spell *s;

	spells = grow(spells, nspells, sizeof(*spells));
	s = &spells[nspells++];
	snprintf(s->service, sizeof(s->service), "%s", service);
	s->shard = shard;
	s->fence = fence;
	s->from = at;
	s->to = at;
	s->file = file;
	s->open = 1;
}

/* Ends a period at the earlier of its grant's expiry and `at`. */
static void
end_spell(struct spell *s, usec until, usec at)
{
	if (s == NULL)
		return;
	s->to = at < until ? at : until;
	s->open = 0;
}

/* Adds a run. */
static void
note_run(const char *file, const char *service, long shard, long long fence,
    usec at, const char *id)
{
	struct run *r;

	runs = grow(runs, nruns, sizeof(*runs));
	r = &runs[nruns++];
	snprintf(r->service, sizeof(r->service), "%s", service);
	r->shard = shard;
	r->fence = fence;
	r->at = at;
	snprintf(r->id, sizeof(r->id), "%s", id);
	r->file = file;
}

/* Ends all open periods of a journal at the expiry of its grant. */
static void
end_all(const char *file, usec until)
{
	size_t i;

	for (i = 0; i < nspells; i++) {
		if (spells[i].open && spells[i].file == file)
			end_spell(&spells[i], until, until);
	}
}

/* Reads one journal. */
static void
read_journal(const char *file)
{
	char line[1024], word[16], service[NAME], key[320], id[160];
	long shard;
	long long fence, at;
	usec until = 0;
	FILE *f;
	int n;

	f = fopen(file, "r");
	if (f == NULL)
		err(2, "%s", file);
	while (fgets(line, sizeof(line), f) != NULL) {
		n = sscanf(line, "%15s %63s %ld %lld %lld %319s %159s", word,
		    service, &shard, &fence, &at, key, id);
		if (n < 5)
			errx(2, "%s: invalid line: %s", file, line);
		if (strcmp(word, "hold") == 0)
			hold(file, service, shard, fence, at);
		else if (strcmp(word, "drop") == 0)
			end_spell(find_open(file, service, shard), until, at);
		else if (strcmp(word, "until") == 0)
			until = at;
		else if (strcmp(word, "boot") == 0)
			end_all(file, until);
		else if (strcmp(word, "start") == 0 && n == 7)
			note_run(file, service, shard, fence, at, id);
	}
	fclose(f);
	end_all(file, until);
}

/* Compares periods by shard and start, for qsort. */
static int
by_shard(const void *a, const void *b)
{
	const struct spell *x = a, *y = b;
	int c = strcmp(x->service, y->service);

	if (c != 0)
		return (c);
	if (x->shard != y->shard)
		return (x->shard < y->shard ? -1 : 1);
	return (x->from < y->from ? -1 : x->from > y->from);
}

/* Counts a fault, and prints the first ones. */
static void
fault(const char *what, const char *service, long shard, const char *a,
    const char *b, usec by)
{
	if (faults++ < 20)
		printf("%s: %s shard %ld: %s and %s, by %lld us\n", what,
		    service, shard, a, b, (long long)by);
}

/* Checks for two owners at once, and fences that do not increase. */
static void
check_spells(void)
{
	const struct spell *a, *b;
	size_t i;

	qsort(spells, nspells, sizeof(*spells), by_shard);
	for (i = 1; i < nspells; i++) {
		a = &spells[i - 1];
		b = &spells[i];
		if (a->shard != b->shard ||
		    strcmp(a->service, b->service) != 0 || a->file == b->file)
			continue;
		if (b->from < a->to)
			fault("two owners", a->service, a->shard, a->file,
			    b->file, a->to - b->from);
		if (b->fence <= a->fence)
			fault("fence fell", a->service, a->shard, a->file,
			    b->file, 0);
	}
}

/* Compares runs by idempotency key, for qsort. */
static int
by_id(const void *a, const void *b)
{
	return (
	    strcmp(((const struct run *)a)->id, ((const struct run *)b)->id));
}

/* True if the run lies within a period of its target with its fence. */
static int
inside(const struct run *r)
{
	size_t i;

	for (i = 0; i < nspells; i++) {
		if (spells[i].file == r->file && spells[i].shard == r->shard &&
		    spells[i].fence == r->fence &&
		    strcmp(spells[i].service, r->service) == 0 &&
		    r->at >= spells[i].from && r->at <= spells[i].to)
			return (1);
	}
	return (0);
}

/* Checks for tickets that ran twice, and runs outside of ownership. */
static void
check_runs(void)
{
	size_t i;

	qsort(runs, nruns, sizeof(*runs), by_id);
	for (i = 0; i < nruns; i++) {
		if (i > 0 && strncmp(runs[i].id, "gs1-", 4) == 0 &&
		    strcmp(runs[i].id, runs[i - 1].id) == 0)
			fault("run twice", runs[i].service, runs[i].shard,
			    runs[i - 1].file, runs[i].file,
			    runs[i].at - runs[i - 1].at);
		if (!inside(&runs[i]))
			fault("run by no owner", runs[i].service, runs[i].shard,
			    runs[i].file, runs[i].id, 0);
	}
}

int
main(int argc, char **argv)
{
	int i;

	if (argc < 2)
		errx(2, "usage: jcheck JOURNAL ...");
	for (i = 1; i < argc; i++)
		read_journal(argv[i]);
	check_spells();
	check_runs();
	printf("%zu ownership periods, %zu runs, %d faults\n", nspells, nruns,
	    faults);
	return (faults > 0);
}
