#include <stdatomic.h>

#include "count.h"

static _Atomic uint64_t counts[COUNT_N];

#define COUNT_NAME(e, name, help) name,
#define COUNT_HELP(e, name, help) help,
static const char *const names[] = {COUNT_TABLE(COUNT_NAME)};
static const char *const helps[] = {COUNT_TABLE(COUNT_HELP)};

/* Adds n to a counter, from any thread. */
void
count_add(enum counter c, uint64_t n)
{
	atomic_fetch_add_explicit(&counts[c], n, memory_order_relaxed);
}

/* Returns the counter's value. */
uint64_t
count_get(enum counter c)
{
	return (atomic_load_explicit(&counts[c], memory_order_relaxed));
}

/* Returns the name that the metrics page prints. */
const char *
count_name(enum counter c)
{
	return (names[c]);
}

/* Returns the help text. */
const char *
count_help(enum counter c)
{
	return (helps[c]);
}
