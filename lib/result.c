#include <stdio.h>

#include "result.h"

struct row {
	int code;
	const char *name;
	int http;
	enum gs_outcome outcome;
	int again;
	const char *why;
};

#define RESULT_ROW(n, num, http, out, again, why)                              \
	{num, #n, http, out, again, why},
static const struct row rows[] = {RESULT_TABLE(RESULT_ROW)};

/* Finds the row of a code; an unknown code reads as GS_IO. */
static const struct row *
find(int code)
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

/* The code's name, as docs/ERRORS.md lists it. */
const char *
result_name(int code)
{
	return (find(code)->name);
}

/* A short reason for people. */
const char *
result_why(int code)
{
	return (find(code)->why);
}

/* The HTTP status that callers get with the code. */
int
result_http(int code)
{
	return (find(code)->http);
}

/* True where asking again later makes sense. */
int
result_again(int code)
{
	return (find(code)->again);
}

/* What the code says of whether the request ran. */
enum gs_outcome
result_outcome(int code)
{
	return (find(code)->outcome);
}

/* The outcome as callers read it in JSON. */
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

/* The body of an answer of our own, as callers read it; gives its length. */
int
result_json(char *buf, size_t size, int code, int outcome, uint32_t ms)
{
	return (snprintf(buf, size,
	    "{\"code\": %d, \"name\": \"%s\", \"outcome\": \"%s\", "
	    "\"reason\": \"%s\", \"retry_after_ms\": %u}\n",
	    code, result_name(code), outcome_name(outcome), result_why(code),
	    ms));
}
