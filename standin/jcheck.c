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

#define NAME_SIZE 64

/* A period in which one target owned one shard. */
struct period {
	char service[NAME_SIZE];
	long shard;
	long long fence;
	usec from;
	usec to;
	const char *file;
	int open;
};

/* One run of a request. */
struct run {
	char service[NAME_SIZE];
	long shard;
	long long fence;
	usec at;
	char id[160];
	const char *file;
};

static struct period *periods;
static size_t nperiods;
static struct run *runs;
static size_t nruns;
static int faults;

/* The open period of a shard in this journal, or NULL. */
static struct period *
find_open_period(const char *file, const char *service, long shard)
{
	size_t i;

	for (i = nperiods; i > 0; i--) {
		if (periods[i - 1].open && periods[i - 1].file == file &&
		    periods[i - 1].shard == shard &&
		    strcmp(periods[i - 1].service, service) == 0)
			return (&periods[i - 1]);
	}
	return (NULL);
}

/* Reallocates an array of n elements for one more; exits if out of memory. */
static void *
grow_array(void *p, size_t n, size_t size)
{
	void *q = realloc(p, (n + 1) * size);

	if (q == NULL)
		err(2, "out of memory");
	return (q);
}

/* Begins a period. */
static void
begin_period(
    const char *file, const char *service, long shard, long long fence, usec at)
{
	struct period *s;

	periods = grow_array(periods, nperiods, sizeof(*periods));
	s = &periods[nperiods++];
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
end_period(struct period *s, usec until, usec at)
{
	if (s == NULL)
		return;
	s->to = at < until ? at : until;
	s->open = 0;
}

/* Adds a run. */
static void
add_run(const char *file, const char *service, long shard, long long fence,
    usec at, const char *id)
{
	struct run *r;

	runs = grow_array(runs, nruns, sizeof(*runs));
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
end_all_periods(const char *file, usec until)
{
	size_t i;

	for (i = 0; i < nperiods; i++) {
		if (periods[i].open && periods[i].file == file)
			end_period(&periods[i], until, until);
	}
}

/* Reads one journal. */
static void
read_journal(const char *file)
{
	char line[1024], word[16], service[NAME_SIZE], key[320], id[160];
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
			begin_period(file, service, shard, fence, at);
		else if (strcmp(word, "drop") == 0)
			end_period(
			    find_open_period(file, service, shard), until, at);
		else if (strcmp(word, "until") == 0)
			until = at;
		else if (strcmp(word, "boot") == 0)
			end_all_periods(file, until);
		else if (strcmp(word, "start") == 0 && n == 7)
			add_run(file, service, shard, fence, at, id);
	}
	fclose(f);
	end_all_periods(file, until);
}

/* Compares periods by shard and start, for qsort. */
static int
compare_periods(const void *a, const void *b)
{
	const struct period *x = a, *y = b;
	int c = strcmp(x->service, y->service);

	if (c != 0)
		return (c);
	if (x->shard != y->shard)
		return (x->shard < y->shard ? -1 : 1);
	return (x->from < y->from ? -1 : x->from > y->from);
}

/* Counts a fault, and prints the first ones. */
static void
report_fault(const char *what, const char *service, long shard, const char *a,
    const char *b, usec by)
{
	if (faults++ < 20)
		printf("%s: %s shard %ld: %s and %s, by %lld us\n", what,
		    service, shard, a, b, (long long)by);
}

/* Checks for two owners at once, and fences that do not increase. */
static void
check_periods(void)
{
	const struct period *a, *b;
	size_t i;

	qsort(periods, nperiods, sizeof(*periods), compare_periods);
	for (i = 1; i < nperiods; i++) {
		a = &periods[i - 1];
		b = &periods[i];
		if (a->shard != b->shard ||
		    strcmp(a->service, b->service) != 0 || a->file == b->file)
			continue;
		if (b->from < a->to)
			report_fault("two owners", a->service, a->shard,
			    a->file, b->file, a->to - b->from);
		if (b->fence <= a->fence)
			report_fault("fence fell", a->service, a->shard,
			    a->file, b->file, 0);
	}
}

/* Compares runs by idempotency key, for qsort. */
static int
compare_runs(const void *a, const void *b)
{
	return (
	    strcmp(((const struct run *)a)->id, ((const struct run *)b)->id));
}

/* True if the run lies within a period of its target with its fence. */
static int
in_owned_period(const struct run *r)
{
	size_t i;

	for (i = 0; i < nperiods; i++) {
		if (periods[i].file == r->file &&
		    periods[i].shard == r->shard &&
		    periods[i].fence == r->fence &&
		    strcmp(periods[i].service, r->service) == 0 &&
		    r->at >= periods[i].from && r->at <= periods[i].to)
			return (1);
	}
	return (0);
}

/* Checks for tickets that ran twice, and runs outside of ownership. */
static void
check_runs(void)
{
	size_t i;

	qsort(runs, nruns, sizeof(*runs), compare_runs);
	for (i = 0; i < nruns; i++) {
		if (i > 0 && strncmp(runs[i].id, "gs1-", 4) == 0 &&
		    strcmp(runs[i].id, runs[i - 1].id) == 0)
			report_fault("run twice", runs[i].service,
			    runs[i].shard, runs[i - 1].file, runs[i].file,
			    runs[i].at - runs[i - 1].at);
		if (!in_owned_period(&runs[i]))
			report_fault("run by no owner", runs[i].service,
			    runs[i].shard, runs[i].file, runs[i].id, 0);
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
	check_periods();
	check_runs();
	printf("%zu ownership periods, %zu runs, %d faults\n", nperiods, nruns,
	    faults);
	return (faults > 0);
}
