/*
 * Case: upstreams break off some of their answers.  A client must not get a
 * success with a body that is not the upstream's whole body.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define CLIENTS 48
#define TRAFFIC_S 60
#define SPELL_S 5
#define PAUSE_S 2

static const struct stage_conf conf = {
    "\"r-eksport\":{\"host\":\"a.example\",\"path_prefix\":\"/eksport/\","
    "\"kind\":\"safe\",\"timeout\":\"1200ms\",\"target_latency\":\"600ms\","
    "\"priority\":2,\"service\":\"udtraek\",\"max_attempts\":2},"
    "\"r-reserver\":{\"host\":\"a.example\",\"path_prefix\":\"/reserver/\","
    "\"kind\":\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"400ms\","
    "\"priority\":1,\"service\":\"booking\",\"max_attempts\":2}",
    "\"udtraek\":{\"health_path\":\"/healthz\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false},"
    "\"booking\":{\"health_path\":\"/healthz\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false}",
    6, FAULT_CUT, 0.35, 0.02, 60};

static volatile int stop;
static int served;

/* Checks an answer against the body that the upstream made. */
static void
check(const char *id, const struct reply *r)
{
	int status = 0;
	long n = made_length(id, &status);
	char *body = made_body(id, n < 0 ? 0 : n);

	if (r->status < 200 || r->status >= 300) {
		free(body);
		return;
	}
	__atomic_fetch_add(&served, 1, __ATOMIC_SEQ_CST);
	if (!r->is_signed || strcmp(r->id, id) != 0 || status != 200)
		broken("MIXED request %s: the success is not an upstream's "
		       "answer to it",
		    id);
	else if (r->length != n || memcmp(r->body, body, (size_t)n) != 0)
		broken("MIXED request %s: a success, signed, with a body of "
		       "%ld bytes; the upstream's whole body has %ld",
		    id, r->length, n);
	free(body);
}

/* Sends requests one after the other. */
static void *
client(void *arg)
{
	long number = (long)(intptr_t)arg, n = 0;
	char id[ID_SIZE], what[128];
	struct reply r;
	int fd = -1;

	while (!stop) {
		snprintf(id, sizeof(id), "%02lx%06lx", number, ++n);
		if (n % 2 == 0) {
			snprintf(what, sizeof(what), "GET /eksport/%s", id);
			ask(&fd, what, id, "", "", 2500, &r);
		} else {
			snprintf(what, sizeof(what), "POST /reserver/%s", id);
			ask(&fd, what, id, "Content-Length: 4\r\n", "body",
			    1500, &r);
		}
		check(id, &r);
		free(r.body);
		usleep((useconds_t)(random_part() * 100000));
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	intptr_t i;

	stage_open(argc, argv, &conf);
	stage_add_upstreams("udtraek", 0, 13);
	stage_add_upstreams("booking", 0, 8);
	stage_start();
	for (i = 0; i < CLIENTS; i++)
		start_thread(client, (void *)i);
	for (i = 0; i < TRAFFIC_S / (SPELL_S + PAUSE_S); i++) {
		sleep(PAUSE_S);
		stage_set_spell(1);
		sleep(SPELL_S);
		stage_set_spell(0);
	}
	stop = 1;
	sleep(3);
	printf("%d successes\n", served);
	if (served < 1000)
		stage_fail("too few requests were served");
	stage_close();
}
