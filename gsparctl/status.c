#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gsparctl.h"

/* Returns a string member, or "" if there is none. */
static const char *
get_string(json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return (s == NULL ? "" : s);
}

/* Prints a JSON value. */
static void
print_json(json_t *o)
{
	json_dumpf(o, stdout, JSON_INDENT(1));
	putchar('\n');
}

/* Returns the hosts that the asked host knows, or NULL. */
json_t *
get_hosts(const struct options *o)
{
	json_t *st = web_json(o->admin, "/v1/status"), *hosts;

	if (st == NULL)
		return (NULL);
	hosts = json_incref(json_object_get(st, "hosts"));
	json_decref(st);
	return (hosts);
}

/* Prints the status of one host. */
static void
print_host(json_t *st)
{
	json_t *cells = json_object_get(st, "cells"), *c, *v;
	const char *name;
	size_t i;

	printf("%-12s dc %-10s %s", get_string(st, "host"),
	    get_string(st, "dc"),
	    json_is_true(json_object_get(st, "stopping")) ? "stopping"
							  : "running");
	json_object_foreach(json_object_get(st, "catalogue"), name, v)
	{
		printf("  %s@%lld", name, (long long)json_integer_value(v));
	}
	putchar('\n');
	json_array_foreach(cells, i, c)
	{
		if (strcmp(get_string(c, "role"), "none") == 0)
			continue;
		printf("%-12s   cell %-16s %-10s term %lld view %lld, "
		       "controller %s, lease %lld ms\n",
		    "", get_string(c, "cell"), get_string(c, "role"),
		    (long long)json_integer_value(json_object_get(c, "term")),
		    (long long)json_integer_value(json_object_get(c, "view")),
		    get_string(c, "controller"),
		    (long long)json_integer_value(
			json_object_get(c, "lease_ms")));
	}
}

/*
 * Prints the status of all hosts.  That of a host that does not answer is "not
 * known": nothing is assumed about what it has in force.
 */
int
cmd_status(const struct options *o)
{
	json_t *hosts, *h, *st, *all;
	size_t i, unanswered = 0;

	hosts = get_hosts(o);
	if (hosts == NULL)
		return (EXIT_NO_ANSWER);
	all = json_array();
	json_array_foreach(hosts, i, h)
	{
		st = web_json(get_string(h, "admin"), "/v1/status");
		if (st == NULL) {
			unanswered++;
			st = json_pack("{s:s, s:b}", "host",
			    get_string(h, "host"), "not_known", 1);
			if (!o->json)
				printf("%-12s not known: no answer from %s\n",
				    get_string(h, "host"),
				    get_string(h, "admin"));
		} else if (!o->json)
			print_host(st);
		json_array_append_new(all, st);
	}
	if (o->json)
		print_json(all);
	else
		printf("%zu of %zu hosts answered\n",
		    json_array_size(hosts) - unanswered,
		    json_array_size(hosts));
	json_decref(all);
	json_decref(hosts);
	return (unanswered > 0 ? EXIT_NOT_CONFIRMED : EXIT_OK);
}

/* Prints the owner of a key, and the controller that confirmed it. */
int
cmd_owner(const struct options *o)
{
	char path[2048], *service, *key;
	json_t *a;

	if (o->nargs != 3) {
		fprintf(stderr, "usage: gsparctl owner SERVICE KEY\n");
		return (EXIT_USAGE);
	}
	service = web_escape(o->args[1]);
	key = web_escape(o->args[2]);
	snprintf(
	    path, sizeof(path), "/v1/owner?service=%s&key=%s", service, key);
	free(service);
	free(key);
	a = web_json(o->admin, path);
	if (a == NULL)
		return (EXIT_NO_ANSWER);
	if (o->json)
		print_json(a);
	else if (json_object_get(a, "error") != NULL)
		printf("%s\n", get_string(a, "error"));
	else
		printf("shard %lld of cell %s: target %s, dispatcher %s, fence "
		       "%lld, confirmed by %s (term %lld, view %lld)\n",
		    (long long)json_integer_value(json_object_get(a, "shard")),
		    get_string(a, "cell"), get_string(a, "target"),
		    get_string(a, "dispatcher"),
		    (long long)json_integer_value(json_object_get(a, "fence")),
		    get_string(a, "confirmed_by"),
		    (long long)json_integer_value(json_object_get(a, "term")),
		    (long long)json_integer_value(json_object_get(a, "view")));
	service = json_object_get(a, "error") != NULL ? "" : NULL;
	json_decref(a);
	return (service != NULL ? EXIT_NOT_FOUND : EXIT_OK);
}
