#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "quarantine_text.h"

/* Longer times are not valid: the list is never written with one. */
#define LEFT_MAX_MS 86400000

/*
 * Writes the list as JSON.  Times are relative (ms left), as the clocks of
 * hosts differ.
 */
void
quarantine_write(const struct quarantine_list *l, struct str *out, usec now)
{
	char item[96];
	int i, n;

	str_set(out, "{\"list\":[", 9);
	for (i = 0; i < l->n; i++) {
		n = snprintf(item, sizeof(item),
		    "%s{\"content\":\"%016" PRIx64 "\",\"left_ms\":%lld}",
		    i == 0 ? "" : ",", l->items[i].digest,
		    (long long)(quarantine_item_left(&l->items[i], now) /
			1000));
		str_add(out, item, (size_t)n);
	}
	str_add(out, "]}", 2);
}

/* Reads the list.  Returns 0, or -1 with an empty list if it is not valid. */
int
quarantine_read(const struct str *body, struct quarantine_list *l, usec now)
{
	json_t *o, *list, *v, *left;
	const char *content;
	size_t i;
	int bad;

	l->n = 0;
	o = json_loadb(body->p == NULL ? "" : body->p, body->n, 0, NULL);
	list = json_object_get(o, "list");
	bad = !json_is_array(list) ||
	    json_array_size(list) > QUARANTINE_ENTRIES_MAX;
	json_array_foreach(list, i, v)
	{
		content = json_string_value(json_object_get(v, "content"));
		left = json_object_get(v, "left_ms");
		bad |= content == NULL || !json_is_integer(left) ||
		    json_integer_value(left) < 0 ||
		    json_integer_value(left) > LEFT_MAX_MS;
		if (bad)
			break;
		l->items[l->n].digest = strtoull(content, NULL, 16);
		l->items[l->n].probation = 0;
		l->items[l->n++].until = now + MS(json_integer_value(left));
	}
	json_decref(o);
	if (bad)
		l->n = 0;
	return (bad ? -1 : 0);
}
