#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "count.h"
#include "log.h"

/* Limits on the log lines about single requests in a second; others are
 * counted as dropped.  What became of a request that must not run again is
 * limited apart, so that lines about others never displace it. */
static const struct {
	int max;
	const char *about;
} limits[LOG_LIMITS] = {
    [LOG_LIMIT_COMMON] = {60, "requests"},
    [LOG_LIMIT_ONCE] = {300, "requests that may run once"},
};

static const char *const levels[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"};

static const char *log_host = "-";
static int log_max = LOG_INFO;
/* Lines that the reader has not taken since that was last logged. */
static _Atomic int untaken;

/* Sets the host name in each line, and whether debug lines are written. */
void
log_open(const char *host, int verbose)
{
	log_host = host;
	log_max = verbose ? LOG_DEBUG : LOG_INFO;
}

/* Replaces control characters, as of a name from the store: a line end would
 * begin a line that no host has written. */
static void
make_printable(char *text, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
			text[i] = '?';
	}
}

/*
 * Writes a line in a single call, so that lines of several threads do not mix.
 * If the reader does not keep up, the line is dropped and counted: blocking
 * would delay requests.
 */
static void
write_line(int level, const char *part, const char *id, const char *text)
{
	struct pollfd fd = {STDOUT_FILENO, POLLOUT, 0};
	char line[900];
	usec t = clock_wall();
	int n;

	n = snprintf(line, sizeof(line),
	    "t=%lld.%03lld level=%s host=%s part=%s%s%s msg=\"%s\"\n",
	    (long long)(t / US_PER_SEC), (long long)(t % US_PER_SEC / 1000),
	    levels[level], log_host, part,
	    id == NULL ? "" : " request=", id == NULL ? "" : id, text);
	if (n >= (int)sizeof(line))
		n = sizeof(line) - 1;
	make_printable(line, (size_t)n - 1);
	if (poll(&fd, 1, 0) != 1 || !(fd.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, (size_t)n) != n) {
		count_add(C_LOG_DROPPED, 1);
		atomic_fetch_add(&untaken, 1);
	}
}

/* Writes a log line. */
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
	write_line(level, part, NULL, text);
}

/* Logs how many lines are missing: those over the limit, and those that the
 * reader did not take. */
static void
log_missing(enum log_limit limit, int n)
{
	int lost = atomic_exchange(&untaken, 0);

	if (n > limits[limit].max)
		log_line(LOG_INFO, "log", "%d lines about %s were not written.",
		    n - limits[limit].max, limits[limit].about);
	if (lost > 0)
		log_line(LOG_INFO, "log",
		    "%d lines were not taken by their reader in time.", lost);
}

/*
 * True if another line about a request may be written in this second.  How many
 * were not is logged with the next one that is: a request without a line may
 * have had one.
 */
static int
request_line_allowed(enum log_limit limit)
{
	static _Atomic long long second[LOG_LIMITS];
	static _Atomic int lines[LOG_LIMITS];
	long long now = clock_mono() / US_PER_SEC;

	if (atomic_exchange(&second[limit], now) != now)
		log_missing(limit, atomic_exchange(&lines[limit], 0));
	return (atomic_fetch_add(&lines[limit], 1) < limits[limit].max);
}

/* Writes a log line about the request with this id; rate-limited. */
void
log_request(enum log_limit limit, const char *part, const char *id,
    const char *fmt, ...)
{
	char text[512];
	va_list ap;

	if (!request_line_allowed(limit)) {
		count_add(C_LOG_DROPPED, 1);
		return;
	}
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	write_line(LOG_INFO, part, id[0] == '\0' ? "-" : id, text);
}
