/* Log lines on standard output: time, level, host, module, message. */
#ifndef LOG_H
#define LOG_H

#include <syslog.h>

/* Which limit a line about a request counts against. */
enum log_limit {
	LOG_LIMIT_COMMON,
	LOG_LIMIT_ONCE, /* the request may run once, and was sent */
	LOG_LIMITS
};

void log_open(const char *host, int verbose);
void log_line(int level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void log_request(enum log_limit, const char *part, const char *id,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
