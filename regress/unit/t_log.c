/* The bound on log lines about requests. */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "unit.h"

/* Lines that are tried in one second, more than are written. */
#define LINES 200

/* Reads what the log has written into text, of `size` bytes. */
static void
read_lines(int fd, char *text, size_t size)
{
	ssize_t n = read(fd, text, size - 1);

	text[n < 0 ? 0 : n] = '\0';
}

/* Lines are left out and nothing says so. */
static void
left_out(void)
{
	static char text[65536];
	int pipe_fds[2], out = dup(STDOUT_FILENO), i;
	usec until;

	CU_ASSERT_EQUAL_FATAL(pipe2(pipe_fds, O_NONBLOCK), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	log_open("h", 0);
	until = clock_mono() / US_PER_SEC * US_PER_SEC + 2 * US_PER_SEC;
	for (i = 0; i < LINES; i++)
		log_request("part", "id", "line");
	read_lines(pipe_fds[0], text, sizeof(text));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=id"));
	while (clock_mono() < until)
		usleep(10000);
	log_request("part", "last", "line");
	read_lines(pipe_fds[0], text, sizeof(text));
	dup2(out, STDOUT_FILENO);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, " lines about requests were not written."));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=last"));
	close(out);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

static const struct unit_test tests[] = {{"left out", left_out}};

UNIT_MAIN("log", tests)
