#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "entry.h"
#include "gsparctl.h"

#define POLL_INTERVAL_US 100000
#define POLLS_MAX 100
#define PUT_TRIES 5

/* Prints the entries in force on the host, or one of them. */
static int
show(const struct options *o)
{
	json_t *all, *e;
	const char *name;

	all = web_json(o->admin, "/v1/catalogue");
	if (all == NULL)
		return (EXIT_NO_ANSWER);
	if (o->nargs > 2) {
		e = json_object_get(all, o->args[2]);
		if (e == NULL) {
			fprintf(stderr, "gsparctl: %s has no entry %s\n",
			    o->admin, o->args[2]);
			json_decref(all);
			return (EXIT_NOT_FOUND);
		}
		fprintf(stderr, "version %lld\n",
		    (long long)json_integer_value(
			json_object_get(e, "version")));
		json_dumpf(json_object_get(e, "entry"), stdout, JSON_INDENT(1));
		putchar('\n');
	} else if (o->json) {
		json_dumpf(all, stdout, JSON_INDENT(1));
		putchar('\n');
	} else {
		json_object_foreach(all, name, e)
		{
			printf("%-16s version %lld, owner %s\n", name,
			    (long long)json_integer_value(
				json_object_get(e, "version")),
			    json_string_value(json_object_get(
				json_object_get(e, "entry"), "owner")));
		}
	}
	json_decref(all);
	return (EXIT_OK);
}

/* Reads a whole file.  Returns 0, or -1 if it is empty or cannot be read. */
static int
read_file(const char *name, struct str *out)
{
	char buf[4096];
	size_t n;
	FILE *f;

	f = fopen(name, "r");
	if (f == NULL) {
		perror(name);
		return (-1);
	}
	while ((n = fread(buf, 1, sizeof(buf), f)) > 0)
		str_add(out, buf, n);
	fclose(f);
	return (out->n > 0 ? 0 : -1);
}

/* Reads and checks an entry from a file; sets name to its service.  Returns 0,
 * or -1 after printing why. */
static int
read_entry(const char *file, struct str *out, char *name)
{
	struct entry *e;
	char why[300];

	if (read_file(file, out) != 0)
		return (-1);
	e = entry_parse(out->p, out->n, why, sizeof(why));
	if (e == NULL) {
		fprintf(stderr, "gsparctl: %s: %s\n", file, why);
		return (-1);
	}
	name_copy(name, NAME_MAX_GS, e->name);
	entry_free(e);
	return (0);
}

/* Prints the differences of two JSON values, by path. */
static void
print_differences(const char *path, json_t *a, json_t *b)
{
	char at[400], *x, *y;
	const char *key;
	json_t *v;
	size_t i;

	if (json_equal(a, b))
		return;
	if (json_is_object(a) && json_is_object(b)) {
		json_object_foreach(a, key, v)
		{
			snprintf(at, sizeof(at), "%s.%s", path, key);
			print_differences(at, v, json_object_get(b, key));
		}
		json_object_foreach(b, key, v)
		{
			snprintf(at, sizeof(at), "%s.%s", path, key);
			if (json_object_get(a, key) == NULL)
				print_differences(at, NULL, v);
		}
		return;
	}
	if (json_is_array(a) && json_is_array(b) &&
	    json_array_size(a) == json_array_size(b)) {
		json_array_foreach(a, i, v)
		{
			snprintf(at, sizeof(at), "%s[%zu]", path, i);
			print_differences(at, v, json_array_get(b, i));
		}
		return;
	}
	x = a == NULL ? strdup("nothing") : json_dumps(a, JSON_ENCODE_ANY);
	y = b == NULL ? strdup("nothing") : json_dumps(b, JSON_ENCODE_ANY);
	printf("%s: %s, now %s\n", path, x, y);
	free(x);
	free(y);
}

/* Prints how the stored entry differs from ours after a concurrent write. */
static int
print_conflict(const struct options *o, const struct str *mine, const char *url)
{
	struct reply r;
	json_t *a, *b;

	web_call(&r, "GET", url, NULL, 0, -1);
	fprintf(stderr,
	    "gsparctl: not written: the entry is at version %lu, the edit "
	    "began from %ld; differences, yours first:\n",
	    r.version, o->base);
	a = json_loadb(mine->p, mine->n, 0, NULL);
	b = r.status == 200 ? json_loadb(r.body.p, r.body.n, 0, NULL) : NULL;
	print_differences("entry", a, b);
	json_decref(a);
	json_decref(b);
	str_free(&r.body);
	return (EXIT_CONFLICT);
}

/* Returns the entry with a unique id of this edit, by which it can be
 * seen after a lost answer whether it was written.  The caller frees it. */
static char *
add_edit_id(const struct str *in, char *edit, size_t size)
{
	json_t *o = json_loadb(in->p, in->n, 0, NULL);
	char *text;

	snprintf(edit, size, "%lx-%lx-%lx", (long)time(NULL), (long)getpid(),
	    (long)clock());
	json_object_set_new(o, "edit", json_string(edit));
	text = json_dumps(o, JSON_INDENT(1));
	json_decref(o);
	return (text);
}

/* True if the stored entry has the edit's id; sets its version then. */
static int
is_stored(
    const char *url, const char *edit, unsigned long *version, int *answered)
{
	struct reply r;
	json_t *o;
	const char *id;
	int yes = 0;

	web_call(&r, "GET", url, NULL, 0, -1);
	*answered = r.status != 0;
	if (r.status == 200) {
		o = json_loadb(r.body.p, r.body.n, 0, NULL);
		id = json_string_value(json_object_get(o, "edit"));
		yes = id != NULL && strcmp(id, edit) == 0;
		*version = r.version;
		json_decref(o);
	}
	str_free(&r.body);
	return (yes);
}

/*
 * Writes the entry if it is still at the base version.  When the answer is lost
 * the write may have taken effect all the same: the edit's id in the stored
 * entry shows that.  A retry is safe, since the base version matches only once.
 */
static int
put_entry(const struct options *o, const char *url, const char *text,
    const char *edit, unsigned long *version)
{
	struct reply r;
	int i, answered = 0, status;

	for (i = 0; i < PUT_TRIES; i++) {
		web_call(&r, "PUT", url, text, strlen(text), o->base);
		status = r.status;
		*version = r.version;
		str_free(&r.body);
		if (status == 200)
			return (EXIT_OK);
		if (is_stored(url, edit, version, &answered))
			return (EXIT_OK);
		if (status == 412 && answered)
			return (EXIT_CONFLICT);
	}
	return (EXIT_NO_ANSWER);
}

/* Waits until the version is in force on every host of the list. */
static int
wait_in_force(const struct options *o, const char *name, unsigned long version)
{
	json_t *hosts, *h, *st;
	const char *missing = "";
	size_t i;
	int n, behind = 1;

	hosts = get_hosts(o);
	if (hosts == NULL)
		return (EXIT_NO_ANSWER);
	for (n = 0; n < POLLS_MAX && behind > 0; n++) {
		behind = 0;
		json_array_foreach(hosts, i, h)
		{
			st = web_json(
			    json_string_value(json_object_get(h, "admin")),
			    "/v1/status");
			if ((unsigned long)json_integer_value(json_object_get(
				json_object_get(st, "catalogue"), name)) <
			    version) {
				behind++;
				missing = json_string_value(
				    json_object_get(h, "host"));
				if (n == POLLS_MAX - 1)
					printf(
					    "not confirmed by %s\n", missing);
			}
			json_decref(st);
		}
		if (behind > 0)
			usleep(POLL_INTERVAL_US);
	}
	if (behind == 0)
		printf("in force on all %zu hosts of the list\n",
		    json_array_size(hosts));
	json_decref(hosts);
	return (behind > 0 ? EXIT_NOT_CONFIRMED : EXIT_OK);
}

/* Writes an entry to the platform. */
static int
set(const struct options *o)
{
	struct str in = {NULL, 0};
	char name[NAME_MAX_GS], url[300], edit[64], *text;
	unsigned long version = 0;
	int res;

	if (o->nargs != 3 || o->platform == NULL || o->base < 0) {
		fprintf(stderr,
		    "usage: gsparctl -p PLATFORM [-w] -b VERSION "
		    "catalogue set FILE\n");
		return (EXIT_USAGE);
	}
	if (read_entry(o->args[2], &in, name) != 0) {
		str_free(&in);
		return (EXIT_INVALID);
	}
	snprintf(url, sizeof(url), "http://%s/v1/objects/catalogue/%s",
	    o->platform, name);
	text = add_edit_id(&in, edit, sizeof(edit));
	res = put_entry(o, url, text, edit, &version);
	if (res == EXIT_CONFLICT)
		res = print_conflict(o, &in, url);
	else if (res == EXIT_NO_ANSWER)
		fprintf(stderr,
		    "gsparctl: %s does not answer; whether %s was written is "
		    "not known, check with 'catalogue show'\n",
		    o->platform, name);
	else
		printf("%s written, version %lu\n", name, version);
	if (res == EXIT_OK && o->wait)
		res = wait_in_force(o, name, version);
	free(text);
	str_free(&in);
	return (res);
}

/* Checks an entry in a file without writing it. */
static int
check(const struct options *o)
{
	struct str in = {NULL, 0};
	char name[NAME_MAX_GS];
	int res;

	if (o->nargs != 3) {
		fprintf(stderr, "usage: gsparctl catalogue check FILE\n");
		return (EXIT_USAGE);
	}
	res = read_entry(o->args[2], &in, name);
	if (res == 0)
		printf("%s: valid entry for %s\n", o->args[2], name);
	str_free(&in);
	return (res == 0 ? EXIT_OK : EXIT_INVALID);
}

/* Prints the differences of an entry in a file and the one in force. */
static int
diff(const struct options *o)
{
	struct str in = {NULL, 0};
	char name[NAME_MAX_GS];
	json_t *all, *mine;

	if (o->nargs != 3) {
		fprintf(stderr, "usage: gsparctl catalogue diff FILE\n");
		return (EXIT_USAGE);
	}
	if (read_entry(o->args[2], &in, name) != 0) {
		str_free(&in);
		return (EXIT_INVALID);
	}
	all = web_json(o->admin, "/v1/catalogue");
	if (all == NULL) {
		str_free(&in);
		return (EXIT_NO_ANSWER);
	}
	mine = json_loadb(in.p, in.n, 0, NULL);
	print_differences("entry", mine,
	    json_object_get(json_object_get(all, name), "entry"));
	json_decref(mine);
	json_decref(all);
	str_free(&in);
	return (EXIT_OK);
}

/* Runs a command on the catalogue. */
int
cmd_catalogue(const struct options *o)
{
	static const struct {
		const char *name;
		int (*fn)(const struct options *);
	} cmds[] = {
	    {"show", show}, {"set", set}, {"check", check}, {"diff", diff}};
	size_t i;

	for (i = 0; o->nargs > 1 && i < sizeof(cmds) / sizeof(cmds[0]); i++) {
		if (strcmp(o->args[1], cmds[i].name) == 0)
			return (cmds[i].fn(o));
	}
	fprintf(stderr, "usage: gsparctl catalogue show|set|check|diff ...\n");
	return (EXIT_USAGE);
}
