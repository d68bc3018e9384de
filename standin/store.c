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
#define NAME_SIZE 160

struct object {
	char kind[NAME_SIZE];
	char name[NAME_SIZE];
	json_t *value; /* the whole object; NULL if deleted */
};

struct event {
	char kind[NAME_SIZE];
	json_int_t revision;
	int deleted;
	json_t *object;
};

static struct object objects[MAX_OBJECTS];
static int nobjects;
static struct event events[MAX_EVENTS];
static int nevents;
static json_int_t revision = 1;
static json_int_t compacted; /* events up to this revision are compacted */
static long era = 1;	     /* rises each time that a copy is restored */
/* The copy that save_copy() made. */
static struct object saved[MAX_OBJECTS];
static int nsaved;
static json_int_t saved_revision;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* Faults, set through the control address. */
static int down;	    /* answers 503 */
static int silent;	    /* closes connections after 3 s without an answer */
static int slow_ms;	    /* delay of each answer */
static int lose_answers;    /* number of writes to apply without an answer */
static int cut_status;	    /* in heads that break off; 0 if none */
static int page_size = 500; /* objects per page of a list */
static int first_only;	    /* each page is the first one */
static char endless[8];	    /* answers without end, see web_repeat(); or "" */
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

/* Appends arrays nested to a depth. */
static void
add_arrays(struct str *out, size_t depth)
{
	char *text = malloc(2 * depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	str_add(out, text, 2 * depth);
	free(text);
}

/* Answers with JSON, in which the string "@nested N" stands for arrays nested N
 * deep: the JSON library cannot hold these. */
static void
reply_json(struct web_answer *a, json_t *o)
{
	static const char nested[] = "\"@nested ";
	char *text = json_dumps(o, JSON_COMPACT), *from = text, *at;

	str_set(&a->body, "", 0);
	while ((at = strstr(from, nested)) != NULL) {
		str_add(&a->body, from, (size_t)(at - from));
		add_arrays(
		    &a->body, strtoul(at + sizeof(nested) - 1, &from, 10));
		from++;
	}
	str_add(&a->body, from, strlen(from));
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
add_event(const char *kind, json_t *o, int deleted)
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
set_metadata(json_t *o, const char *name)
{
	json_object_set_new(o, "metadata",
	    json_pack("{s:s,s:I,s:[],s:b}", "name", name, "revision",
		++revision, "finalizers", "deleting", 0));
}

/* Creates an object; the lock is held. */
static void
create_object(struct web_answer *a, const char *kind, json_t *o)
{
	const char *name = json_string_value(
	    json_object_get(json_object_get(o, "metadata"), "name"));
	struct object *existing;

	if (name == NULL) {
		a->status = 400;
		return;
	}
	existing = find(kind, name);
	if (existing != NULL) {
		a->status = 409;
		reply_json(a, existing->value);
		return;
	}
	if (nobjects == MAX_OBJECTS)
		errx(1, "too many objects");
	existing = &objects[nobjects++];
	snprintf(existing->kind, sizeof(existing->kind), "%s", kind);
	snprintf(existing->name, sizeof(existing->name), "%s", name);
	existing->value = json_deep_copy(o);
	set_metadata(existing->value, existing->name);
	add_event(kind, existing->value, 0);
	reply_json(a, existing->value);
}

/* Replaces an object if the writer gives its current revision, or none. */
static void
replace_object(
    struct web_answer *a, const char *kind, const char *name, json_t *o)
{
	struct object *existing = find(kind, name);
	json_int_t expected = revision_of(o);

	if (existing == NULL) {
		a->status = 404;
		return;
	}
	if (expected != 0 && expected != revision_of(existing->value)) {
		a->status = 409;
		reply_json(a, existing->value);
		return;
	}
	if (!json_equal(json_object_get(o, "spec"),
		json_object_get(existing->value, "spec")) ||
	    json_object_get(o, "status") != NULL) {
		json_object_update(existing->value, o);
		set_metadata(existing->value, name);
		add_event(kind, existing->value, 0);
	}
	reply_json(a, existing->value);
}

/* Deletes an object; the lock is held. */
static void
delete_object(struct web_answer *a, const char *kind, const char *name)
{
	struct object *existing = find(kind, name);

	if (existing == NULL) {
		a->status = 404;
		return;
	}
	set_metadata(existing->value, name);
	add_event(kind, existing->value, 1);
	reply_json(a, existing->value);
	json_decref(existing->value);
	existing->value = NULL;
}

/* Lists one page of the objects of a kind, by name, starting after a name;
 * the lock is held. */
static void
list_objects(struct web_answer *a, const char *kind, const char *after)
{
	json_t *items = json_array(), *o;
	const char *next, *last = after == NULL || first_only ? "" : after;
	int i, n, more = 0;

	for (n = 0;; n++) {
		next = NULL;
		for (i = 0; i < nobjects; i++) {
			if (objects[i].value != NULL &&
			    strcmp(objects[i].kind, kind) == 0 &&
			    strcmp(objects[i].name, last) > 0 &&
			    (next == NULL || strcmp(objects[i].name, next) < 0))
				next = objects[i].name;
		}
		more = next != NULL && n == page_size;
		if (next == NULL || more)
			break;
		json_array_append(items, find(kind, next)->value);
		last = next;
	}
	o = json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
	    "current_rev", revision);
	reply_json(a, o);
	json_decref(o);
}

/* Returns the changes of a kind after a revision; the lock is held. */
static json_t *
events_after(const char *kind, json_int_t after)
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
watch_kind(
    struct web_answer *a, const char *kind, json_int_t after, long wait_ms)
{
	struct timespec until;
	json_t *all, *o;

	watches++;
	web_deadline(&until, wait_ms);
	for (;;) {
		if (after < compacted || after > revision) {
			a->status = 410;
			return;
		}
		all = events_after(kind, after);
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
	reply_json(a, o);
	json_decref(o);
}

/* Splits a path into kind and name, which is "" if missing. */
static void
parse_path(const char *path, char *kind, char *name)
{
	const char *slash;

	path += strlen(PREFIX);
	slash = strchr(path, '/');
	snprintf(kind, NAME_SIZE, "%.*s",
	    slash == NULL ? (int)strlen(path) : (int)(slash - path), path);
	snprintf(name, NAME_SIZE, "%s", slash == NULL ? "" : slash + 1);
}

/* Handles a read; the lock is held. */
static void
handle_read(const struct web_request *q, struct web_answer *a, const char *kind,
    const char *name)
{
	struct object *o;

	if (web_arg(q, "watch") != NULL) {
		watch_kind(a, kind, web_parse_number(web_arg(q, "watch"), 0),
		    web_parse_number(web_arg(q, "wait_ms"), 0));
		return;
	}
	reads++;
	if (name[0] == '\0')
		list_objects(a, kind, web_arg(q, "after"));
	else if ((o = find(kind, name)) == NULL)
		a->status = 404;
	else
		reply_json(a, o->value);
}

/* Handles a write; the lock is held. */
static void
handle_write(const struct web_request *q, struct web_answer *a,
    const char *kind, const char *name)
{
	json_t *o =
	    json_loadb(q->body.p == NULL ? "" : q->body.p, q->body.n, 0, NULL);

	writes++;
	if (strcmp(q->method, "DELETE") == 0)
		delete_object(a, kind, name);
	else if (o == NULL)
		a->status = 400;
	else if (strcmp(q->method, "POST") == 0)
		create_object(a, kind, o);
	else
		replace_object(a, kind, name, o);
	json_decref(o);
	if (lose_answers > 0) {
		lose_answers--;
		a->drop = 1;
	}
}

/* Handles a call of the object API. */
static void
handle_call(const struct web_request *q, struct web_answer *a)
{
	char kind[NAME_SIZE], name[NAME_SIZE], text[24];
	int delay_ms;

	if (strncmp(q->path, PREFIX, strlen(PREFIX)) != 0) {
		a->status = 404;
		return;
	}
	parse_path(q->path, kind, name);
	pthread_mutex_lock(&lock);
	delay_ms = silent ? 3000 : slow_ms;
	a->drop = silent;
	if (down)
		a->status = 503;
	else if (!silent && strcmp(q->method, "GET") == 0)
		handle_read(q, a, kind, name);
	else if (!silent)
		handle_write(q, a, kind, name);
	snprintf(text, sizeof(text), "%ld", era);
	pthread_mutex_unlock(&lock);
	web_add_header(a, "Store-Era", text);
	if (endless[0] != '\0') {
		a->status = 200;
		web_repeat(a, endless);
	}
	if (cut_status != 0) {
		a->status = cut_status;
		web_break_head(a);
	}
	if (delay_ms > 0)
		usleep((unsigned)delay_ms * 1000);
}

/* Compacts the history: a watch from an older revision fails with 410. */
static void
compact(void)
{
	compacted = revision;
	pthread_cond_broadcast(&changed);
}

/* Copies all objects. */
static void
save_copy(void)
{
	int i;

	for (i = 0; i < nsaved; i++)
		json_decref(saved[i].value);
	nsaved = nobjects;
	saved_revision = revision;
	for (i = 0; i < nobjects; i++) {
		saved[i] = objects[i];
		saved[i].value = json_deep_copy(objects[i].value);
	}
}

/* True for a kind of object that the system under test writes. */
static int
is_own_kind(const char *kind)
{
	return (strncmp(kind, "gspar-", 6) == 0);
}

/*
 * Goes back to the copy, as if the store had lost all later writes.  The
 * objects of others are written again: these keep their present values, with
 * new revisions.
 */
static void
restore_copy(void)
{
	int i;

	while (nevents > 0 && events[nevents - 1].revision > saved_revision)
		json_decref(events[--nevents].object);
	revision = saved_revision;
	era++;
	for (i = 0; i < nobjects; i++) {
		if (!is_own_kind(objects[i].kind)) {
			if (objects[i].value == NULL)
				continue;
			set_metadata(objects[i].value, objects[i].name);
			add_event(objects[i].kind, objects[i].value, 0);
			continue;
		}
		json_decref(objects[i].value);
		objects[i].value =
		    i < nsaved ? json_deep_copy(saved[i].value) : NULL;
	}
	pthread_cond_broadcast(&changed);
}

/* Sets faults, and answers with the call counts. */
static void
handle_control(const struct web_request *q, struct web_answer *a)
{
	char text[200];
	int n;

	pthread_mutex_lock(&lock);
	if (strcmp(q->path, "/fault") == 0) {
		down = (int)web_parse_number(web_arg(q, "down"), down);
		silent = (int)web_parse_number(web_arg(q, "silent"), silent);
		slow_ms = (int)web_parse_number(web_arg(q, "slow"), slow_ms);
		lose_answers =
		    (int)web_parse_number(web_arg(q, "lose"), lose_answers);
		cut_status =
		    (int)web_parse_number(web_arg(q, "cut_head"), cut_status);
		page_size =
		    (int)web_parse_number(web_arg(q, "page"), page_size);
		if (web_arg(q, "endless") != NULL)
			snprintf(endless, sizeof(endless), "%s",
			    web_arg(q, "endless"));
		first_only =
		    (int)web_parse_number(web_arg(q, "first_only"), first_only);
		if (web_parse_number(web_arg(q, "compact"), 0))
			compact();
		if (web_parse_number(web_arg(q, "save"), 0))
			save_copy();
		if (web_parse_number(web_arg(q, "restore"), 0))
			restore_copy();
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
	return (
	    web_run_pair(argc, argv, "Stand-in for the platform's object store",
		handle_call, handle_control));
}
