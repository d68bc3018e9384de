#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>

#include "hist.h"

/* Upper bounds of the buckets in milliseconds. */
static const int bounds[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};
#define NBOUNDS (int)(sizeof(bounds) / sizeof(bounds[0]))

struct counts {
	_Atomic uint64_t bucket[NBOUNDS + 1];
	_Atomic uint64_t sum; /* microseconds */
};

static struct counts counts[HIST_N];

#define HIST_NAME(e, name, help) name,
#define HIST_HELP(e, name, help) help,
static const char *const names[] = {HIST_TABLE(HIST_NAME)};
static const char *const helps[] = {HIST_TABLE(HIST_HELP)};

/* Adds one duration; thread-safe. */
void
hist_add(enum hist h, usec duration)
{
	struct counts *c = &counts[h];
	int i = 0;

	while (i < NBOUNDS && duration > MS(bounds[i]))
		i++;
	atomic_fetch_add_explicit(&c->bucket[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&c->sum,
	    (uint64_t)(duration > 0 ? duration : 0), memory_order_relaxed);
}

/* Appends one histogram in the Prometheus text format, in seconds. */
static void
print_one(struct str *out, enum hist h)
{
	struct counts *c = &counts[h];
	uint64_t total = 0;
	char line[300];
	int i, n;

	n = snprintf(line, sizeof(line),
	    "# HELP gspar_%s_seconds %s.\n# TYPE gspar_%s_seconds histogram\n",
	    names[h], helps[h], names[h]);
	str_add(out, line, (size_t)n);
	for (i = 0; i <= NBOUNDS; i++) {
		total +=
		    atomic_load_explicit(&c->bucket[i], memory_order_relaxed);
		if (i < NBOUNDS)
			n = snprintf(line, sizeof(line),
			    "gspar_%s_seconds_bucket{le=\"%g\"} %llu\n",
			    names[h], bounds[i] / 1000.0,
			    (unsigned long long)total);
		else
			n = snprintf(line, sizeof(line),
			    "gspar_%s_seconds_bucket{le=\"+Inf\"} %llu\n",
			    names[h], (unsigned long long)total);
		str_add(out, line, (size_t)n);
	}
	n = snprintf(line, sizeof(line),
	    "gspar_%s_seconds_sum %g\ngspar_%s_seconds_count %llu\n", names[h],
	    (double)atomic_load_explicit(&c->sum, memory_order_relaxed) / 1e6,
	    names[h], (unsigned long long)total);
	str_add(out, line, (size_t)n);
}

/* Appends all histograms. */
void
hist_print(struct str *out)
{
	int i;

	for (i = 0; i < HIST_N; i++)
		print_one(out, i);
}
