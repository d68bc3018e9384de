#include <stdarg.h>
#include <stdio.h>

#include "log.h"

static const char *const levels[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"};

static const char *log_host = "-";
static int log_max = LOG_INFO;

/* Sets the host named in each line, and whether debug lines are written. */
void
log_open(const char *host, int verbose)
{
	log_host = host;
	log_max = verbose ? LOG_DEBUG : LOG_INFO;
}

/* Writes one line in one call, so that lines of threads do not mix. */
void
log_line(int level, const char *part, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	if (level > log_max)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	fprintf(stderr, "%s %s %s: %s\n", levels[level], log_host, part, text);
}
