/*
 * Stand-in for the platform: an object API with versions, conditional writes
 * and watches, a list of hosts that the test sets, so that it may lag, and
 * fault injection.
 */
#include <err.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "web.h"

#define MAX_OBJECTS 2000
#define OBJECT_PREFIX "/v1/objects/"

struct object {
	char *path;
	struct str value;
	unsigned long version; /* 0 if it does not exist */
};

static struct object objects[MAX_OBJECTS];
static int nobjects;
static unsigned long last_version;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct str hosts;

/* Faults, set through the control address. */
static int down;	    /* closes connections without an answer */
static int slow_ms;	    /* delay of each call */
static int lose_answers;    /* number of writes to apply without an answer */
static int cut_status;	    /* in heads that break off; 0 if none */
static char lose_path[256]; /* only of paths that contain this */
static char cut_hosts[256]; /* ",HOST,...,": hosts that get no answer */
static unsigned long n_get, n_put, n_watch, n_list, n_conflict;

/* Finds an existing object, or returns NULL; the lock is held. */
static struct object *
find(const char *path)
{
	int i;

	for (i = 0; i < nobjects; i++) {
		if (objects[i].version != 0 &&
		    strcmp(objects[i].path, path) == 0)
			return (&objects[i]);
	}
	return (NULL);
}

/* Finds or adds the object of a path; NULL if full.  The lock is held. */
static struct object *
find_or_add(const char *path)
{
	struct object *o;
	int i;

	o = find(path);
	if (o != NULL)
		return (o);
	for (i = 0; i < nobjects; i++) {
		if (strcmp(objects[i].path, path) == 0)
			return (&objects[i]);
	}
	if (nobjects == MAX_OBJECTS)
		return (NULL);
	o = &objects[nobjects++];
	o->path = strdup(path);
	return (o);
}

/* Answers with an object and its version. */
static void
reply_object(struct web_answer *a, const struct object *o)
{
	str_set(&a->body, o->value.p, o->value.n);
	snprintf(a->version, sizeof(a->version), "%lu", o->version);
}

/* Handles a read; with `after`, waits until the version is greater. */
static void
handle_get(const struct web_request *q, struct web_answer *a, const char *path)
{
	struct object *o;
	struct timespec until;
	const char *after;
	long wait_ms;

	after = web_arg(q, "after");
	wait_ms = web_parse_number(web_arg(q, "wait_ms"), 0);
	if (after != NULL)
		n_watch++;
	else
		n_get++;
	web_deadline(&until, wait_ms);
	while ((o = find(path)),
	    after != NULL && !down &&
		(o == NULL || o->version <= strtoul(after, NULL, 10))) {
		if (pthread_cond_timedwait(&changed, &lock, &until) != 0)
			break;
	}
	if (o == NULL)
		a->status = 404;
	else if (after != NULL && o->version <= strtoul(after, NULL, 10))
		a->status = 304;
	else
		reply_object(a, o);
}

/* Handles a write, which takes effect only if If-Version is the current
 * version. */
static void
handle_put(const struct web_request *q, struct web_answer *a, const char *path)
{
	struct object *o;
	unsigned long expected, current;

	n_put++;
	expected =
	    (unsigned long)web_parse_number(web_header(q, "If-Version"), 0);
	o = find(path);
	current = o == NULL ? 0 : o->version;
	if (expected != current) {
		n_conflict++;
		a->status = 412;
		snprintf(a->version, sizeof(a->version), "%lu", current);
		return;
	}
	if (q->body.n > 1024 * 1024 || (o = find_or_add(path)) == NULL) {
		a->status = 413;
		return;
	}
	str_set(&o->value, q->body.p == NULL ? "" : q->body.p, q->body.n);
	o->version = ++last_version;
	snprintf(a->version, sizeof(a->version), "%lu", o->version);
	pthread_cond_broadcast(&changed);
	if (lose_answers > 0 && strstr(path, lose_path) != NULL) {
		lose_answers--;
		a->drop = 1;
	}
}

/* Lists versions and paths with a prefix, one per line. */
static void
handle_list(struct web_answer *a, const char *prefix)
{
	char line[512];
	int i, n;

	n_list++;
	for (i = 0; i < nobjects; i++) {
		if (objects[i].version == 0 ||
		    strncmp(objects[i].path, prefix, strlen(prefix)) != 0)
			continue;
		n = snprintf(line, sizeof(line), "%lu %s\n", objects[i].version,
		    objects[i].path);
		str_add(&a->body, line, (size_t)n);
	}
}

/* True if the fault `cut` names the calling host. */
static int
is_cut(const struct web_request *q)
{
	const char *host;
	char word[128];

	host = web_header(q, "User-Agent");
	if (host == NULL || cut_hosts[0] == '\0')
		return (0);
	snprintf(word, sizeof(word), ",%s,", host);
	return (strstr(cut_hosts, word) != NULL);
}

/* Handles a call of the object API. */
static void
handle_call(const struct web_request *q, struct web_answer *a)
{
	const char *path;
	struct object *o;
	int ms;

	pthread_mutex_lock(&lock);
	ms = slow_ms;
	pthread_mutex_unlock(&lock);
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
	pthread_mutex_lock(&lock);
	if (down || is_cut(q)) {
		a->drop = 1;
		goto out;
	}
	if (strncmp(q->path, OBJECT_PREFIX, strlen(OBJECT_PREFIX)) == 0) {
		path = q->path + strlen(OBJECT_PREFIX);
		if (strcmp(q->method, "GET") == 0)
			handle_get(q, a, path);
		else if (strcmp(q->method, "PUT") == 0)
			handle_put(q, a, path);
		else if (strcmp(q->method, "DELETE") == 0) {
			o = find(path);
			if (o != NULL)
				o->version = 0;
		}
	} else if (strncmp(q->path, "/v1/list/", 9) == 0)
		handle_list(a, q->path + 9);
	else if (strcmp(q->path, "/v1/hosts") == 0) {
		n_list++;
		str_set(&a->body, hosts.p == NULL ? "" : hosts.p, hosts.n);
	} else
		a->status = 404;
	/* If cut off while it waited, the call takes effect without an
	 * answer. */
	if (down || is_cut(q))
		a->drop = 1;
	if (cut_status != 0) {
		a->status = cut_status;
		web_break_head(a);
	}
out:
	pthread_mutex_unlock(&lock);
}

/* Sets faults or the list of hosts, and answers with the call counts. */
static void
handle_control(const struct web_request *q, struct web_answer *a)
{
	const char *s;
	char text[256];
	int n;

	pthread_mutex_lock(&lock);
	if (strcmp(q->path, "/hosts") == 0)
		str_set(&hosts, q->body.p == NULL ? "" : q->body.p, q->body.n);
	else if (strcmp(q->path, "/fault") == 0) {
		down = (int)web_parse_number(web_arg(q, "down"), down);
		slow_ms = (int)web_parse_number(web_arg(q, "slow_ms"), slow_ms);
		lose_answers =
		    (int)web_parse_number(web_arg(q, "lose"), lose_answers);
		cut_status =
		    (int)web_parse_number(web_arg(q, "cut_head"), cut_status);
		if ((s = web_arg(q, "path")) != NULL)
			snprintf(lose_path, sizeof(lose_path), "%s", s);
		if ((s = web_arg(q, "cut")) != NULL)
			snprintf(cut_hosts, sizeof(cut_hosts), ",%s,", s);
		pthread_cond_broadcast(&changed);
	}
	n = snprintf(text, sizeof(text),
	    "get %lu\nput %lu\nwatch %lu\nlist %lu\nconflict %lu\n", n_get,
	    n_put, n_watch, n_list, n_conflict);
	str_set(&a->body, text, (size_t)n);
	pthread_mutex_unlock(&lock);
}

int
main(int argc, char **argv)
{
	return (
	    web_run_pair(argc, argv, "Stand-in for the platform's object API",
		handle_call, handle_control));
}
