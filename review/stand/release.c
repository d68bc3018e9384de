/*
 * Case: upstreams send some of their answers a second time, where the next
 * answer on the connection is expected.  No upstream may be given a key on
 * which another is still at work.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define CLIENTS 80
#define TRAFFIC_S 95
#define SPELL_S 5
#define PAUSE_S 1
#define BUSY_S 1
#define BUSY_KEYS 16
#define BUSY_SHARE 0.43
#define BUSY_PLACES 6

static const struct stage_conf conf = {
    "\"r-soeg\":{\"host\":\"a.example\",\"path_prefix\":\"/soeg/\","
    "\"kind\":\"safe\",\"timeout\":\"1200ms\",\"target_latency\":\"300ms\","
    "\"priority\":2,\"service\":\"opslag\",\"max_attempts\":2}",
    "\"opslag\":{\"health_path\":\"/healthz\",\"max_conns\":130,"
    "\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warmup\":\"3s\","
    "\"grants\":\"call\"}",
    6, FAULT_EXTRA, 0.6, 0.03, 90};

static volatile int stop;
static volatile int busy_from[BUSY_PLACES];
static int served;

/* Returns a key: some are near to each other and busy, others are not. */
static int
choose_key(void)
{
	if (random_part() < BUSY_SHARE)
		return (busy_from[(int)(random_part() * BUSY_PLACES)] +
		    (int)(random_part() * BUSY_KEYS));
	return ((int)(random_part() * KEY_COUNT));
}

/* Sends requests one after the other. */
static void *
client(void *arg)
{
	long number = (long)(intptr_t)arg, n = 0;
	char id[ID_SIZE], what[128], headers[64];
	struct reply r;
	int fd = -1, status;

	while (!stop) {
		snprintf(id, sizeof(id), "%02lx%06lx", number, ++n);
		snprintf(what, sizeof(what), "GET /soeg/%s", id);
		snprintf(headers, sizeof(headers), "X-Shard-Key: %d\r\n",
		    choose_key());
		status = ask(&fd, what, id, headers, "", 1200, &r);
		if (status == 200)
			__atomic_fetch_add(&served, 1, __ATOMIC_SEQ_CST);
		free(r.body);
		usleep((useconds_t)(random_part() * 150000));
	}
	return (NULL);
}

int
main(int argc, char **argv)
{
	intptr_t i;

	stage_open(argc, argv, &conf);
	stage_add_upstreams("opslag", 1, 14);
	stage_start();
	for (i = 0; i < CLIENTS; i++)
		start_thread(client, (void *)i);
	for (i = 0; i < TRAFFIC_S; i++) {
		if (i % BUSY_S == 0)
			busy_from[i / BUSY_S % BUSY_PLACES] =
			    (int)(random_part() * (KEY_COUNT - BUSY_KEYS));
		if (i % (SPELL_S + PAUSE_S) == PAUSE_S)
			stage_set_spell(1);
		else if (i % (SPELL_S + PAUSE_S) == 0)
			stage_set_spell(0);
		sleep(1);
	}
	stop = 1;
	sleep(2);
	printf("%d successes\n", served);
	if (served < 1000)
		stage_fail("too few requests were served");
	stage_close();
}
