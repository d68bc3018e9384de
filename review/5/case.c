/*
 * LOST: a host that stops closes a connection while bytes of the next request
 * are unread there, and with that resets the answer that is still on its way.
 */
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kit.h"

#define CLIENTS 6
#define BODY_BYTES 500000
#define WORK_MS 600
#define READ_BYTES 16384
#define RECEIVE_BUFFER 32768
#define READ_PAUSE_MS 20

/* A client with two requests on its connection, one behind the other. */
struct client {
	int fd;
	char id[2][16];
	char *text; /* all that has come */
	size_t n;
	int ended, error;
};

static struct client clients[CLIENTS];

/* Sends one of the client's requests. */
static void
send_request(struct client *c, int which)
{
	char text[300];

	snprintf(text, sizeof(text),
	    "GET /lepu270/%s HTTP/1.1\r\nHost: jepu9.example\r\n"
	    "X-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\n\r\n",
	    c->id[which], c->id[which]);
	if (send_all(c->fd, text, strlen(text)) != 0)
		kit_end(NOT_RUN, "a request cannot be sent");
	record("client sends %s", c->id[which]);
}

/* Returns the bytes of the first answer that have come beyond its head, and the
 * length that it states; -1 if the head has not come. */
static long
first_answer(const struct client *c, long *length, int *status, int *closes)
{
	char *end = c->n == 0 ? NULL : strstr(c->text, "\r\n\r\n"), *p;

	*status = 0;
	if (end == NULL)
		return (-1);
	sscanf(c->text, "HTTP/1.1 %d", status);
	p = strstr(c->text, "Content-Length:");
	*length = p == NULL || p > end ? -1 : atol(p + 15);
	p = strstr(c->text, "Connection: close");
	*closes = p != NULL && p < end;
	return ((long)(c->n - (size_t)(end + 4 - c->text)));
}

/* Reads a piece of what has come. */
static void
read_piece(struct client *c)
{
	struct pollfd p = {c->fd, POLLIN, 0};
	ssize_t n;

	if (c->ended || poll(&p, 1, 0) <= 0)
		return;
	n = recv(c->fd, c->text + c->n, READ_BYTES, 0);
	if (n > 0) {
		c->n += (size_t)n;
		c->text[c->n] = '\0';
		return;
	}
	c->ended = 1;
	c->error = n < 0;
	record("the connection of %s ends: %s", c->id[0],
	    n < 0 ? "reset" : "closed");
}

int
main(void)
{
	long have, length = 0;
	int i, k, status, closes = 0, lost = 0, whole = 0, refused = 0;
	struct kit_host *h;
	struct client *c;
	double until;
	char query[40];

	kit_begin("5");
	start_store();
	configure(1,
	    "\"r1\":{\"host\":\"jepu9.example\",\"path_prefix\":\"/lepu270/\","
	    "\"kind\":\"download\",\"timeout\":\"6000ms\","
	    "\"target_latency\":\"1500ms\",\"priority\":2,"
	    "\"service\":\"plain\",\"max_attempts\":2}",
	    "\"plain\":{\"health_path\":\"/healthz\",\"max_conns\":540}");
	for (i = 0; i < 3; i++) {
		start_server("plain", "hal-a", 4, WORK_MS, 0);
		snprintf(query, sizeof(query), "size=%d", BODY_BYTES);
		server_fault(&kit.servers[i], query);
	}
	for (i = 0; i < 3; i++)
		start_host(add_host("hal-a", ""));
	for (i = 0; i < 3; i++)
		await_ready(&kit.hosts[i], 8000);
	h = &kit.hosts[0];
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		snprintf(c->id[0], sizeof(c->id[0]), "c%d-first", i);
		snprintf(c->id[1], sizeof(c->id[1]), "c%d-second", i);
		c->text = malloc(3 * BODY_BYTES + READ_BYTES);
		c->fd = dial(h->front, RECEIVE_BUFFER);
		if (c->fd < 0 || c->text == NULL)
			kit_end(NOT_RUN, "a host does not take a connection");
		send_request(c, 0);
	}
	sleep_ms(150);
	for (i = 0; i < CLIENTS; i++)
		send_request(&clients[i], 1);
	sleep_ms(100);
	if (kit.trouble) {
		kill(h->pid, SIGTERM);
		record("host %s gets SIGTERM", h->name);
	}
	until = now_ms() + 5500;
	while (now_ms() < until) {
		for (i = 0; i < CLIENTS; i++)
			read_piece(&clients[i]);
		sleep_ms(READ_PAUSE_MS);
	}
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		have = first_answer(c, &length, &status, &closes);
		for (k = 0;
		     k < 3 && !file_has(kit.servers[k].journal, c->id[0]); k++)
			;
		record("%s: status %d, %ld of %ld bytes, close announced %s, "
		       "connection %s, ran at %s",
		    c->id[0], status, have, length, closes ? "yes" : "no",
		    !c->ended	   ? "open"
			: c->error ? "reset"
				   : "closed",
		    k < 3 ? kit.servers[k].id : "none");
		if (status == 200 && have >= length)
			whole++;
		else if (status == 503 || status == 429)
			refused++;
		else if (k < 3 && c->ended)
			lost++;
	}
	record("%d whole, %d refused, %d lost", whole, refused, lost);
	kit_end(lost > 0 ? RULE_BROKEN : RULE_HELD,
	    lost > 0 ? "a request that was passed on ended without a complete "
		       "answer"
		     : "all requests that were passed on were answered");
}
