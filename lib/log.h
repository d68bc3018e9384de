/* Log lines on standard output: time, level, host, module, message. */
#ifndef LOG_H
#define LOG_H

#include <syslog.h>

void log_open(const char *host, int verbose);
void log_line(int level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void log_request(const char *part, const char *id, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
