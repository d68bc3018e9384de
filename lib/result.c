#include <stdio.h>

#include "result.h"

struct row {
	int code;
	const char *name;
	int http;
	enum gs_outcome outcome;
	int retry;
	const char *reason;
};

#define RESULT_ROW(n, num, http, out, retry, reason)                           \
	{num, #n, http, out, retry, reason},
static const struct row rows[] = {RESULT_TABLE(RESULT_ROW)};

/* Returns the row of a code; unknown codes are treated as GS_IO. */
static const struct row *
find_row(int code)
{
	const struct row *io = NULL;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (rows[i].code == code)
			return (&rows[i]);
		if (rows[i].code == GS_IO)
			io = &rows[i];
	}
	return (io);
}

/* Returns the code's name, as listed in docs/ERRORS.md. */
const char *
result_name(int code)
{
	return (find_row(code)->name);
}

/* Returns a short reason for humans. */
const char *
result_reason(int code)
{
	return (find_row(code)->reason);
}

/* Returns the HTTP status that callers get with the code. */
int
result_http_status(int code)
{
	return (find_row(code)->http);
}

/* True if the request may be retried later. */
int
result_retryable(int code)
{
	return (find_row(code)->retry);
}

/* Returns whether the request was run, by default, when it ends so. */
enum gs_outcome
result_outcome(int code)
{
	return (find_row(code)->outcome);
}

/* Returns the name of an outcome, as sent to callers. */
const char *
outcome_name(int outcome)
{
	switch (outcome) {
	case OUT_NOT_RUN:
		return ("not_run");
	case OUT_RAN:
		return ("ran");
	default:
		return ("unknown");
	}
}

/* Formats the body of an error that this host answers with; ms is the retry
 * delay.  Returns its length, as snprintf does. */
int
result_json(char *buf, size_t size, int code, int outcome, uint32_t ms)
{
	return (snprintf(buf, size,
	    "{\"code\": %d, \"name\": \"%s\", \"outcome\": \"%s\", "
	    "\"reason\": \"%s\", \"retry_after_ms\": %u}\n",
	    code, result_name(code), outcome_name(outcome), result_reason(code),
	    ms));
}
