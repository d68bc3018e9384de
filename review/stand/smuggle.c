/*
 * Case: a request is hidden in the body of another one, whose head has two
 * lengths, or a carriage return in the value of a header that is passed on.  No
 * upstream may run the hidden one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define REQUESTS 40

static const struct stage_conf conf = {
    "\"r-reserver\":{\"host\":\"a.example\",\"path_prefix\":\"/reserver/\","
    "\"kind\":\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"400ms\","
    "\"priority\":1,\"service\":\"booking\",\"max_attempts\":2}",
    "\"booking\":{\"health_path\":\"/healthz\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false}",
    3, FAULT_NONE, 0, 0, 60};

/* Sends one request with another one as its body. */
static int
send_hidden(int n)
{
	char hidden[512], headers[128], id[ID_SIZE], inner[ID_SIZE], what[128];
	struct reply r;
	int fd = -1, k, status = 0;

	snprintf(id, sizeof(id), "outer-%d", n);
	snprintf(inner, sizeof(inner), "hidden-%d", n);
	k = snprintf(hidden, sizeof(hidden),
	    "POST /reserver/%s HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n"
	    "Content-Length: 0\r\n\r\n",
	    inner, inner);
	snprintf(headers, sizeof(headers), "%sContent-Length: %d\r\n%s",
	    stage_trouble() && n % 2 == 0 ? "Content-Length: 0\r\n" : "", k,
	    !stage_trouble() || n % 2 == 0
		? ""
		: "X-Note: a\rContent-Length: 0\r\n");
	snprintf(what, sizeof(what), "POST /reserver/%s", id);
	k = ask(&fd, what, id, headers, hidden, 1500, &r);
	free(r.body);
	/* The hidden request may run once the first one is answered. */
	usleep(500000);
	if (fd >= 0)
		close(fd);
	if (made_length(inner, &status) >= 0)
		broken("UNASKED an upstream ran %s, which no client sent: it "
		       "is the body of %s, with %s",
		    inner, id,
		    n % 2 == 0 ? "two lengths"
			       : "a carriage return in a header's value");
	return (k == 200);
}

int
main(int argc, char **argv)
{
	int i, served = 0;

	stage_open(argc, argv, &conf);
	stage_add_upstreams("booking", 0, 8);
	stage_start();
	for (i = 0; i < REQUESTS; i++)
		served += send_hidden(i);
	printf("%d of %d answered with 200\n", served, REQUESTS);
	if (!stage_trouble() && served < REQUESTS / 2)
		stage_fail("too few requests were served");
	stage_close();
}
