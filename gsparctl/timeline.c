#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "gsparctl.h"

#define HOSTS_MAX 1024

/* An event of a host; event is NULL for a gap in its numbers. */
struct item {
	json_t *event;
	const char *host;
	long long wall;
	long long seq;
};

/* The items of all hosts, those of each host in one piece. */
static struct item *items;
static size_t nitems;

/* The items of one host that are not printed yet. */
struct host_range {
	size_t next;
	size_t end;
};
static struct host_range ranges[HOSTS_MAX];
static size_t nranges;

/* Adds the events of a host, and an item for each gap in their numbers. */
static void
add_host(json_t *page)
{
	json_t *list = json_object_get(page, "events"), *e;
	const char *host = json_string_value(json_object_get(page, "host"));
	struct item *it;
	long long last = 0;
	size_t i, from = nitems;

	if (nranges == HOSTS_MAX)
		return;
	json_array_foreach(list, i, e)
	{
		it = realloc(items, (nitems + 2) * sizeof(*items));
		if (it == NULL)
			return;
		items = it;
		it = &items[nitems];
		it->event = e;
		it->host = host;
		it->wall = json_integer_value(json_object_get(e, "wall"));
		it->seq = json_integer_value(json_object_get(e, "seq"));
		if (it->seq != last + 1) {
			it[1] = it[0];
			it->event = NULL;
			it->seq--;
			nitems++;
		}
		last = it[it->event == NULL].seq;
		nitems++;
	}
	ranges[nranges].next = from;
	ranges[nranges++].end = nitems;
}

/* Prints an event or a gap as one line. */
static void
print_item(const struct item *it, const char *match)
{
	const char *text, *part;
	time_t at = (time_t)(it->wall / 1000000);
	char when[32];
	struct tm tm;
	long long cause;

	if (it->event == NULL) {
		printf("%26s %-12s events before %lld are gone\n", "", it->host,
		    it->seq + 1);
		return;
	}
	text = json_string_value(json_object_get(it->event, "text"));
	part = json_string_value(json_object_get(it->event, "part"));
	if (match != NULL && strstr(text, match) == NULL)
		return;
	gmtime_r(&at, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	cause = json_integer_value(json_object_get(it->event, "cause"));
	printf("%s.%06lld %-12s %5lld %s: %s", when, it->wall % 1000000,
	    it->host, it->seq, part, text);
	if (cause != 0)
		printf(" (after %lld)", cause);
	putchar('\n');
}

/*
 * Prints the events of all hosts, merged.  Those of one host stay in the order
 * of their numbers, so that an event follows its cause even if the wall clock
 * stepped.  Hosts are merged by wall clock, the only clock that they share.
 */
static void
print_merged(const char *match)
{
	struct host_range *earliest;
	size_t i;

	for (;;) {
		earliest = NULL;
		for (i = 0; i < nranges; i++) {
			if (ranges[i].next < ranges[i].end &&
			    (earliest == NULL ||
				items[ranges[i].next].wall <
				    items[earliest->next].wall))
				earliest = &ranges[i];
		}
		if (earliest == NULL)
			return;
		print_item(&items[earliest->next++], match);
	}
}

/* Prints the events of all hosts as one timeline. */
int
cmd_timeline(const struct options *o)
{
	json_t *hosts, *h, *page, *pages;
	const char *admin;
	size_t i;
	int res = EXIT_OK;

	hosts = get_hosts(o);
	if (hosts == NULL)
		return (EXIT_NO_ANSWER);
	pages = json_array();
	json_array_foreach(hosts, i, h)
	{
		admin = json_string_value(json_object_get(h, "admin"));
		page = web_json(admin == NULL ? "" : admin, "/v1/events");
		if (page == NULL) {
			res = EXIT_NOT_CONFIRMED;
			continue;
		}
		json_array_append_new(pages, page);
		add_host(page);
	}
	if (o->json) {
		json_dumpf(pages, stdout, JSON_INDENT(1));
		putchar('\n');
	} else {
		print_merged(o->match);
	}
	free(items);
	json_decref(pages);
	json_decref(hosts);
	return (res);
}
