/* Parsing of catalogue entries, and the faults that it reports. */
#include <stdio.h>
#include <string.h>

#include "entry.h"
#include "unit.h"

#define TARGET                                                                 \
	"{\"name\":\"t1\",\"dc\":\"a\",\"address\":\"127.0.0.1:9\",\"slots\":4}"
#define GOOD                                                                      \
	"{\"name\":\"s\",\"owner\":\"o\",\"class\":\"lookup\",\"shards\":8,"      \
	"\"cells\":[{\"dcs\":[\"a\"],\"first\":0,\"last\":7,\"targets\":[" TARGET \
	"]}]}"

static char why[300];

static struct entry *
parse(const char *s)
{
	why[0] = '\0';
	return (entry_parse(s, strlen(s), why, sizeof(why)));
}

/* Parses GOOD with one piece of its text replaced. */
static struct entry *
changed(const char *from, const char *to)
{
	static const char good[] = GOOD;
	char buf[2000];
	const char *at = strstr(good, from);

	snprintf(buf, sizeof(buf), "%.*s%s%s", (int)(at - good), good, to,
	    at + strlen(from));
	return (parse(buf));
}

static void
good(void)
{
	struct entry *e = parse(GOOD);

	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_STRING_EQUAL(e->cells[0].name, "a");
	CU_ASSERT(e->class->idempotent);
	CU_ASSERT_PTR_EQUAL(entry_cell(e, 7), &e->cells[0]);
	CU_ASSERT_PTR_NULL(entry_cell(e, 8));
	entry_free(e);
}

/* Each fault names the field, and no entry is returned. */
static void
faults(void)
{
	static const struct {
		const char *from, *to, *says;
	} f[] = {
	    {"\"slots\":4", "\"slots\":0", "cells[0].targets[0].slots"},
	    {"\"slots\":4", "\"slot\":4", "slot: unknown field"},
	    {"127.0.0.1:9", "db.example:9", "targets[0].address"},
	    {"127.0.0.1:9", "127.0.0.1:0", "targets[0].address"},
	    {"\"last\":7", "\"last\":6", "cells: cover 7 shards"},
	    {"\"first\":0", "\"first\":1", "cells[0].first"},
	    {"\"lookup\"", "\"quick\"", "class: allowed"},
	    {"\"dc\":\"a\"", "\"dc\":\"b\"", "targets[0].dc"},
	    {"\"dcs\":[\"a\"]", "\"dcs\":[\"b\",\"a\"]", "dcs[1]"},
	    {"\"dcs\":[\"a\"]", "\"dcs\":[]", "cells[0].dcs"},
	    {TARGET, TARGET "," TARGET, "duplicate target 't1'"},
	    {"\"owner\":\"o\"", "\"owner\":\"\"", "entry.owner"},
	    {"\"shards\":8", "\"shards\":99999999", "entry.shards"},
	    {"\"name\":\"s\"", "\"name\":\"a b\"", "entry.name"},
	    {"\"name\":\"s\"", "\"name\":\"s\",\"name\":\"s\"", "duplicate"},
	    {"]}]}", "]}", "line 1"},
	};
	size_t i;

	for (i = 0; i < sizeof(f) / sizeof(f[0]); i++) {
		CU_ASSERT_PTR_NULL(changed(f[i].from, f[i].to));
		CU_ASSERT_PTR_NOT_NULL(strstr(why, f[i].says));
	}
}

/* The name of a cell that spans two data centres has both of theirs. */
static void
cell_names(void)
{
	struct entry *e = changed("\"dcs\":[\"a\"]", "\"dcs\":[\"a\",\"b\"]");

	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_STRING_EQUAL(e->cells[0].name, "a+b");
	entry_free(e);
}

static const struct unit_test tests[] = {
    {"good", good},
    {"faults", faults},
    {"cell names", cell_names},
};
UNIT_MAIN("entry", tests)
