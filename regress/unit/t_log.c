/* The limits on log lines about requests. */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "unit.h"

/* Lines that are tried in one second, more than are written. */
#define LINES 200
#define LINES_ONCE 500

static char text[262144];
static int pipe_fds[2], out;

/* Has the log write into a pipe. */
static void
open_pipe(void)
{
	CU_ASSERT_EQUAL_FATAL(pipe2(pipe_fds, O_NONBLOCK), 0);
	fcntl(pipe_fds[1], F_SETPIPE_SZ, (int)sizeof(text));
	fflush(stdout);
	out = dup(STDOUT_FILENO);
	dup2(pipe_fds[1], STDOUT_FILENO);
	log_open("h", 0);
}

/* Ends that. */
static void
close_pipe(void)
{
	dup2(out, STDOUT_FILENO);
	close(out);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Reads what the log has written into text. */
static void
read_lines(void)
{
	ssize_t n = read(pipe_fds[0], text, sizeof(text) - 1);

	text[n < 0 ? 0 : n] = '\0';
}

/* Returns how often the text contains a word. */
static int
count_of(const char *word)
{
	const char *p = text;
	int n;

	for (n = 0; (p = strstr(p, word)) != NULL; n++)
		p++;
	return (n);
}

/* Waits for the second after next. */
static void
await_second(void)
{
	usec until = clock_mono() / US_PER_SEC * US_PER_SEC + 2 * US_PER_SEC;

	while (clock_mono() < until)
		usleep(10000);
}

/* A name from outside begins a line that no host has written. */
static void
one_line(void)
{
	open_pipe();
	log_line(LOG_INFO, "part", "a\r\nt=1 level=err\x7f\tb");
	read_lines();
	close_pipe();
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "msg=\"a??t=1 level=err??b\"\n"));
	CU_ASSERT_EQUAL(count_of("\n"), 1);
}

/* Lines are left out and nothing says so. */
static void
left_out(void)
{
	int i;

	open_pipe();
	for (i = 0; i < LINES; i++)
		log_request(LOG_LIMIT_COMMON, "part", "id", "line");
	read_lines();
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=id"));
	await_second();
	log_request(LOG_LIMIT_COMMON, "part", "last", "line");
	read_lines();
	close_pipe();
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, " lines about requests were not written."));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=last"));
}

/* Lines about other requests displace that about one that may run once. */
static void
displaced(void)
{
	int i, n;

	open_pipe();
	await_second();
	for (i = 0; i < LINES; i++)
		log_request(LOG_LIMIT_COMMON, "part", "other", "line");
	for (i = 0; i < LINES_ONCE; i++)
		log_request(LOG_LIMIT_ONCE, "part", "once", "line");
	read_lines();
	n = count_of("request=once");
	await_second();
	log_request(LOG_LIMIT_ONCE, "part", "last", "line");
	read_lines();
	close_pipe();
	CU_ASSERT_TRUE(n >= LINES && n < LINES_ONCE);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text, " lines about requests that may run once were not written."));
}

/* The reader of the log is late, and nothing says that lines are missing. */
static void
not_taken(void)
{
	static char filler[4096];

	open_pipe();
	while (write(pipe_fds[1], filler, sizeof(filler)) > 0)
		;
	log_line(LOG_INFO, "part", "line");
	while (read(pipe_fds[0], text, sizeof(text)) > 0)
		;
	await_second();
	log_request(LOG_LIMIT_COMMON, "part", "last", "line");
	read_lines();
	close_pipe();
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, "1 lines were not taken by their reader in time."));
}

static const struct unit_test tests[] = {{"left out", left_out},
    {"displaced", displaced}, {"not taken", not_taken}, {"one line", one_line}};

UNIT_MAIN("log", tests)
