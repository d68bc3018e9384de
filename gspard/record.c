#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "record.h"

/* Terms rise by one at a time, so a higher one in a record is an error. */
#define TERM_MAX INT32_MAX

/* Returns a member as JSON. */
static json_t *
member_json(const struct member *m)
{
	char boot[24];
	json_t *o;

	snprintf(boot, sizeof(boot), "%016" PRIx64, m->boot);
	o = json_pack("{s:s, s:s}", "host", m->host, "boot", boot);
	if (m->addr[0] != '\0')
		json_object_set_new(o, "addr", json_string(m->addr));
	return (o);
}

/* Reads a member; 0, or -1 if it names no host. */
static int
member_read(json_t *o, struct member *m)
{
	const char *s = json_string_value(json_object_get(o, "host"));

	memset(m, 0, sizeof(*m));
	if (s == NULL || name_copy(m->host, sizeof(m->host), s) != 0)
		return (-1);
	s = json_string_value(json_object_get(o, "boot"));
	if (s != NULL)
		m->boot = strtoull(s, NULL, 16);
	s = json_string_value(json_object_get(o, "addr"));
	if (s != NULL)
		name_copy(m->addr, sizeof(m->addr), s);
	return (0);
}

/* Encodes a control record as JSON text into out. */
void
record_encode(const struct control_record *r, struct str *out)
{
	char id[24], *text;
	json_t *o, *standbys;
	int i;

	snprintf(id, sizeof(id), "%016" PRIx64, r->write_id);
	standbys = json_array();
	for (i = 0; i < r->nstandby; i++)
		json_array_append_new(standbys, member_json(&r->standby[i]));
	o = json_pack("{s:I, s:I, s:s, s:o, s:o}", "term", (json_int_t)r->term,
	    "era", (json_int_t)r->era, "write", id, "holder",
	    member_json(&r->holder), "standbys", standbys);
	text = json_dumps(o, JSON_COMPACT);
	str_set(out, text, strlen(text));
	free(text);
	json_decref(o);
}

/* Decodes a control record; 0, or -1 if it is not valid. */
int
record_decode(const struct str *body, struct control_record *r)
{
	json_t *o, *standbys, *v;
	const char *id;
	json_int_t term;
	size_t i;
	int invalid;

	memset(r, 0, sizeof(*r));
	o = json_loadb(body->p == NULL ? "" : body->p, body->n, 0, NULL);
	term = json_integer_value(json_object_get(o, "term"));
	invalid = !json_is_integer(json_object_get(o, "term")) || term < 0 ||
	    term > TERM_MAX;
	r->term = invalid ? 0 : (uint64_t)term;
	r->era = (uint64_t)json_integer_value(json_object_get(o, "era"));
	id = json_string_value(json_object_get(o, "write"));
	if (id != NULL)
		r->write_id = strtoull(id, NULL, 16);
	invalid |= member_read(json_object_get(o, "holder"), &r->holder) != 0;
	standbys = json_object_get(o, "standbys");
	json_array_foreach(standbys, i, v)
	{
		if (r->nstandby < STANDBYS_MAX)
			invalid |=
			    member_read(v, &r->standby[r->nstandby++]) != 0;
	}
	json_decref(o);
	return (invalid ? -1 : 0);
}
