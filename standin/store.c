/*
 * Stand-in for the platform's object store: revisions, conditional writes,
 * paged lists, watches, and fault injection.
 */
#include <err.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "web.h"

#define PREFIX "/objects/"
#define MAX_OBJECTS 1000
#define MAX_EVENTS 20000
#define NAME_AREA 160

struct object {
	char kind[NAME_AREA];
	char name[NAME_AREA];
	json_t *value; /* the whole object; NULL if deleted */
};

struct event {
	char kind[NAME_AREA];
	json_int_t revision;
	int deleted;
	json_t *object;
};

static struct object objects[MAX_OBJECTS];
static int nobjects;
static struct event events[MAX_EVENTS];
static int nevents;
static json_int_t revision = 1;
static json_int_t forgotten; /* events up to this revision are compacted */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* Faults, set through the control address. */
static int down;       /* answers 503 */
static int silent;     /* closes connections after 3 s without an answer */
static int slow_ms;    /* delay of each answer */
static int lose;       /* number of writes that take effect without an answer */
static int page = 500; /* objects per page of a list */
static unsigned long reads, writes, watches;

/* Finds an existing object, or returns NULL; the lock is held. */
static struct object *
find(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < nobjects; i++) {
		if (objects[i].value != NULL &&
		    strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return (&objects[i]);
	}
	return (NULL);
}

/* Answers with JSON. */
static void
give(struct web_ans *a, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	str_set(&a->body, text, strlen(text));
	free(text);
}

/* The revision of an object's last change. */
static json_int_t
revision_of(const json_t *o)
{
	return (json_integer_value(
	    json_object_get(json_object_get(o, "metadata"), "revision")));
}

/* Records a change for watches; the lock is held. */
static void
note(const char *kind, json_t *o, int deleted)
{
	struct event *e;

	if (nevents == MAX_EVENTS)
		errx(1, "too many events");
	e = &events[nevents++];
	snprintf(e->kind, sizeof(e->kind), "%s", kind);
	e->revision = revision;
	e->deleted = deleted;
	e->object = json_deep_copy(o);
	pthread_cond_broadcast(&changed);
}

/* Sets an object's metadata with a new revision; the lock is held. */
static void
stamp(json_t *o, const char *name)
{
	json_object_set_new(o, "metadata",
	    json_pack("{s:s,s:I,s:[],s:b}", "name", name, "revision",
		++revision, "finalizers", "deleting", 0));
}

/* Creates an object; the lock is held. */
static void
create(struct web_ans *a, const char *kind, json_t *o)
{
	const char *name = json_string_value(
	    json_object_get(json_object_get(o, "metadata"), "name"));
	struct object *have;

	if (name == NULL) {
		a->status = 400;
		return;
	}
	have = find(kind, name);
	if (have != NULL) {
		a->status = 409;
		give(a, have->value);
		return;
	}
	if (nobjects == MAX_OBJECTS)
		errx(1, "too many objects");
	have = &objects[nobjects++];
	snprintf(have->kind, sizeof(have->kind), "%s", kind);
	snprintf(have->name, sizeof(have->name), "%s", name);
	have->value = json_deep_copy(o);
	stamp(have->value, have->name);
	note(kind, have->value, 0);
	give(a, have->value);
}

/* Replaces an object if the writer gives its current revision, or none. */
static void
replace(struct web_ans *a, const char *kind, const char *name, json_t *o)
{
	struct object *have = find(kind, name);
	json_int_t want = revision_of(o);

	if (have == NULL) {
		a->status = 404;
		return;
	}
	if (want != 0 && want != revision_of(have->value)) {
		a->status = 409;
		give(a, have->value);
		return;
	}
	if (!json_equal(json_object_get(o, "spec"),
		json_object_get(have->value, "spec")) ||
	    json_object_get(o, "status") != NULL) {
		json_object_update(have->value, o);
		stamp(have->value, name);
		note(kind, have->value, 0);
	}
	give(a, have->value);
}

/* Deletes an object; the lock is held. */
static void
take_away(struct web_ans *a, const char *kind, const char *name)
{
	struct object *have = find(kind, name);

	if (have == NULL) {
		a->status = 404;
		return;
	}
	stamp(have->value, name);
	note(kind, have->value, 1);
	give(a, have->value);
	json_decref(have->value);
	have->value = NULL;
}

/* Lists one page of the objects of a kind, by name, starting after a name;
 * the lock is held. */
static void
list(struct web_ans *a, const char *kind, const char *after)
{
	json_t *items = json_array(), *o;
	const char *best, *last = after == NULL ? "" : after;
	int i, n, more = 0;

	for (n = 0;; n++) {
		best = NULL;
		for (i = 0; i < nobjects; i++) {
			if (objects[i].value != NULL &&
			    strcmp(objects[i].kind, kind) == 0 &&
			    strcmp(objects[i].name, last) > 0 &&
			    (best == NULL || strcmp(objects[i].name, best) < 0))
				best = objects[i].name;
		}
		more = best != NULL && n == page;
		if (best == NULL || more)
			break;
		json_array_append(items, find(kind, best)->value);
		last = best;
	}
	o = json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
	    "current_rev", revision);
	give(a, o);
	json_decref(o);
}

/* Returns the changes of a kind after a revision; the lock is held. */
static json_t *
changes(const char *kind, json_int_t after)
{
	json_t *all = json_array();
	int i;

	for (i = 0; i < nevents; i++) {
		if (events[i].revision > after &&
		    strcmp(events[i].kind, kind) == 0)
			json_array_append_new(all,
			    json_pack("{s:b,s:O}", "deleted", events[i].deleted,
				"object", events[i].object));
	}
	return (all);
}

/* Waits for changes of a kind; the lock is held. */
static void
watch(struct web_ans *a, const char *kind, json_int_t after, long wait_ms)
{
	struct timespec until;
	json_t *all, *o;

	watches++;
	web_until(&until, wait_ms);
	for (;;) {
		if (after < forgotten) {
			a->status = 410;
			return;
		}
		all = changes(kind, after);
		if (json_array_size(all) > 0 || down || silent ||
		    pthread_cond_timedwait(&changed, &lock, &until) != 0)
			break;
		json_decref(all);
	}
	if (down) {
		json_decref(all);
		a->status = 503;
		return;
	}
	o = json_pack("{s:o,s:I}", "events", all, "current_rev", revision);
	give(a, o);
	json_decref(o);
}

/* Splits a path into kind and name, which is "" if missing. */
static void
split(const char *path, char *kind, char *name)
{
	const char *slash;

	path += strlen(PREFIX);
	slash = strchr(path, '/');
	snprintf(kind, NAME_AREA, "%.*s",
	    slash == NULL ? (int)strlen(path) : (int)(slash - path), path);
	snprintf(name, NAME_AREA, "%s", slash == NULL ? "" : slash + 1);
}

/* Handles a read; the lock is held. */
static void
read_one(const struct web_req *q, struct web_ans *a, const char *kind,
    const char *name)
{
	struct object *o;

	if (web_arg(q, "watch") != NULL) {
		watch(a, kind, web_num(web_arg(q, "watch"), 0),
		    web_num(web_arg(q, "wait_ms"), 0));
		return;
	}
	reads++;
	if (name[0] == '\0')
		list(a, kind, web_arg(q, "after"));
	else if ((o = find(kind, name)) == NULL)
		a->status = 404;
	else
		give(a, o->value);
}

/* Handles a write; the lock is held. */
static void
write_one(const struct web_req *q, struct web_ans *a, const char *kind,
    const char *name)
{
	json_t *o =
	    json_loadb(q->body.p == NULL ? "" : q->body.p, q->body.n, 0, NULL);

	writes++;
	if (strcmp(q->method, "DELETE") == 0)
		take_away(a, kind, name);
	else if (o == NULL)
		a->status = 400;
	else if (strcmp(q->method, "POST") == 0)
		create(a, kind, o);
	else
		replace(a, kind, name, o);
	json_decref(o);
	if (lose > 0) {
		lose--;
		a->drop = 1;
	}
}

/* Handles a call of the object API. */
static void
on_call(const struct web_req *q, struct web_ans *a)
{
	char kind[NAME_AREA], name[NAME_AREA];
	int wait;

	if (strncmp(q->path, PREFIX, strlen(PREFIX)) != 0) {
		a->status = 404;
		return;
	}
	split(q->path, kind, name);
	pthread_mutex_lock(&lock);
	wait = silent ? 3000 : slow_ms;
	a->drop = silent;
	if (down)
		a->status = 503;
	else if (!silent && strcmp(q->method, "GET") == 0)
		read_one(q, a, kind, name);
	else if (!silent)
		write_one(q, a, kind, name);
	pthread_mutex_unlock(&lock);
	if (wait > 0)
		usleep((unsigned)wait * 1000);
}

/* Compacts the history: a watch from an older revision fails with 410. */
static void
compact(void)
{
	forgotten = revision;
	pthread_cond_broadcast(&changed);
}

/* Sets faults, and answers with the call counts. */
static void
on_control(const struct web_req *q, struct web_ans *a)
{
	char text[200];
	int n;

	pthread_mutex_lock(&lock);
	if (strcmp(q->path, "/fault") == 0) {
		down = (int)web_num(web_arg(q, "down"), down);
		silent = (int)web_num(web_arg(q, "silent"), silent);
		slow_ms = (int)web_num(web_arg(q, "slow"), slow_ms);
		lose = (int)web_num(web_arg(q, "lose"), lose);
		page = (int)web_num(web_arg(q, "page"), page);
		if (web_num(web_arg(q, "compact"), 0))
			compact();
		pthread_cond_broadcast(&changed);
	}
	n = snprintf(text, sizeof(text), "reads %lu\nwrites %lu\nwatches %lu\n",
	    reads, writes, watches);
	pthread_mutex_unlock(&lock);
	str_set(&a->body, text, (size_t)n);
}

int
main(int argc, char **argv)
{
	return (web_pair(argc, argv, "Stand-in for the platform's object store",
	    on_call, on_control));
}
