/* Tests decoding and encoding of the platform's names, formats and calls. */
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "count.h"
#include "decode.h"
#include "objects.h"
#include "target.h"
#include "transfer.h"
#include "unit.h"
#include "version.h"

static const char config[] =
    "{\"metadata\":{\"name\":\"main\",\"revision\":5},\"spec\":{"
    "\"version\":\"0000001f\",\"routes\":{"
    "\"r1\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"kind\":\"safe\","
    "\"timeout\":\"1200ms\",\"target_latency\":\"0.3s\",\"priority\":2,"
    "\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":2},"
    "\"r2\":{\"host\":\"b.example\",\"path_prefix\":\"/\",\"kind\":\"unsafe\","
    "\"timeout\":\"2s\",\"target_latency\":\"400ms\",\"priority\":1,"
    "\"service\":\"s2\",\"max_attempts\":1}},"
    "\"services\":{\"s1\":{\"max_conns\":130,\"sharded\":true,"
    "\"warmup\":\"3s\",\"cold_start\":\"2500ms\",\"cold_per_s\":5.8},"
    "\"s2\":{\"max_conns\":90}},"
    "\"limits\":{\"max_header_bytes\":100,\"max_body_bytes\":200,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}";

static struct site *
decode_config(const char *text)
{
	json_t *o = json_loads(text, 0, NULL);
	const char *why;
	struct site *site = decode_site_object(o, &why);

	json_decref(o);
	return (site);
}

static void
site(void)
{
	struct site *site = decode_config(config);
	const struct rule *r;
	struct str host = {(char *)"a.example", 9}, path = {(char *)"/x/1", 4};

	CU_ASSERT_PTR_NOT_NULL_FATAL(site);
	CU_ASSERT_EQUAL(site->version, 31);
	CU_ASSERT_EQUAL(site->idle_time, MS(15000));
	CU_ASSERT_EQUAL(site->body_max, 200);
	r = site_find_rule(site, &host, &path);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT(r->idempotent);
	CU_ASSERT_EQUAL(r->timeout, MS(1200));
	CU_ASSERT_EQUAL(r->aim, MS(300));
	CU_ASSERT_EQUAL(r->nbackends, 2);
	CU_ASSERT_EQUAL(r->total_weight, 100);
	CU_ASSERT(site->services[r->backends[0].service].keyed);
	CU_ASSERT(!site->services[r->backends[1].service].keyed);
	CU_ASSERT_EQUAL(
	    site->services[r->backends[0].service].cold_start, MS(2500));
	CU_ASSERT_DOUBLE_EQUAL(
	    site->services[r->backends[0].service].cold_rate, 5.8, 1e-9);
	CU_ASSERT(site->services[r->backends[1].service].cold_rate == 0);
	site_free(site);
}

/* Returns whether requests of a kind may be repeated. */
static int
repeatable(const char *kind)
{
	static const char *const format =
	    "{\"spec\":{\"version\":\"01\",\"routes\":{\"r\":{\"host\":\"h\","
	    "\"path_prefix\":\"/\",\"kind\":\"%s\",\"service\":\"s\"}},"
	    "\"services\":{\"s\":{}},\"limits\":{}}}";
	char text[512];
	struct site *site;
	int result;

	snprintf(text, sizeof(text), format, kind);
	site = decode_config(text);
	CU_ASSERT_PTR_NOT_NULL_FATAL(site);
	result = site->rules[0].idempotent;
	site_free(site);
	return (result);
}

/* Guards against a kind whose requests are not repeated though they may be, or
 * are though they must not. */
static void
kinds(void)
{
	CU_ASSERT(repeatable("safe"));
	CU_ASSERT(repeatable("download"));
	CU_ASSERT(!repeatable("unsafe"));
	CU_ASSERT(!repeatable("upload"));
	CU_ASSERT(!repeatable("other"));
}

/* Decodes a configuration with a number in each place that takes one; text is
 * the number, and weight that of one part of a split. */
static struct site *
decode_numbers(const char *text, const char *weight)
{
	static const char *const format =
	    "{\"spec\":{\"version\":\"01\",\"routes\":{\"r\":{\"host\":\"h\","
	    "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout\":\"%ss\","
	    "\"target_latency\":\"%sms\",\"max_attempts\":%s,"
	    "\"priority\":%s,\"traffic_split\":[{\"service\":\"s\","
	    "\"weight\":%s},{\"service\":\"s\",\"weight\":1}]}},"
	    "\"services\":{\"s\":{\"max_conns\":%s,\"warmup\":\"%ss\","
	    "\"cold_start\":\"%ss\",\"cold_per_s\":%s}},"
	    "\"limits\":{\"max_header_bytes\":%s,\"max_body_bytes\":%s,"
	    "\"header_timeout\":\"%ss\",\"idle_timeout\":\"%ss\"}}}";
	char config_text[2048];

	snprintf(config_text, sizeof(config_text), format, text, text, text,
	    text, weight, text, text, text, text, text, text, text, text);
	return (decode_config(config_text));
}

/* A number too large for where it is kept becomes any other. */
static void
large_numbers(void)
{
	struct site *site = decode_numbers("1e300", "1");
	const struct rule *r;

	CU_ASSERT_PTR_NOT_NULL_FATAL(site);
	r = &site->rules[0];
	CU_ASSERT_EQUAL(r->timeout, MS(86400000));
	CU_ASSERT_EQUAL(r->aim, MS(86400000));
	CU_ASSERT_EQUAL(r->attempts, INT_MAX);
	CU_ASSERT_EQUAL(r->priority, INT_MAX);
	CU_ASSERT_EQUAL(site->services[0].max_conns, INT_MAX);
	CU_ASSERT_EQUAL(site->services[0].warmup, MS(86400000));
	CU_ASSERT_EQUAL(site->head_max, INT_MAX);
	CU_ASSERT_EQUAL(site->body_max, INT_MAX);
	CU_ASSERT_EQUAL(site->idle_time, MS(86400000));
	site_free(site);
	/* Negative times are none: what holds without one holds. */
	site = decode_numbers("-1e300", "1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(site);
	CU_ASSERT_EQUAL(site->rules[0].priority, INT_MIN);
	CU_ASSERT_EQUAL(site->rules[0].timeout, 0);
	CU_ASSERT_EQUAL(site->services[0].max_conns, 0);
	CU_ASSERT_EQUAL(site->body_max, 0);
	CU_ASSERT_EQUAL(site->idle_time, MS(15000));
	site_free(site);
	/* The weights of a split must add up. */
	site = decode_numbers("1", "200000000");
	CU_ASSERT_PTR_NOT_NULL_FATAL(site);
	CU_ASSERT_EQUAL(site->rules[0].total_weight, 200000001);
	site_free(site);
	CU_ASSERT_PTR_NULL(decode_numbers("1", "4294967295"));
	CU_ASSERT_PTR_NULL(decode_numbers("1", "1e300"));
	CU_ASSERT_PTR_NULL(decode_numbers("1", "-1"));
}

/* An invalid configuration is refused as a whole. */
static void
bad_site(void)
{
	CU_ASSERT_PTR_NULL(decode_config("{\"spec\":{}}"));
	CU_ASSERT_PTR_NULL(decode_config("{\"spec\":{\"routes\":{}}}"));
	CU_ASSERT_PTR_NULL(decode_config(
	    "{\"spec\":{\"version\":\"01\",\"services\":{},"
	    "\"routes\":{\"r\":{\"host\":\"a\",\"path_prefix\":\"/\","
	    "\"service\":\"none\"}}}}"));
	CU_ASSERT_PTR_NULL(decode_config("[]"));
}

static void
target(void)
{
	json_t *o = json_loads(
	    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{"
	    "\"address\":\"10.1.2.3:80\",\"info\":{\"service\":\"s\","
	    "\"zone\":\"z\",\"slots\":4}},\"status\":{\"state\":\"draining\","
	    "\"sequence\":3,\"cold_left\":\"1500ms\"}}",
	    0, NULL);
	struct fleet_target t;

	CU_ASSERT_EQUAL(decode_target(o, "i-1", &t), 0);
	CU_ASSERT_STRING_EQUAL(t.id, "i-1");
	CU_ASSERT_STRING_EQUAL(t.addr, "10.1.2.3:80");
	CU_ASSERT_STRING_EQUAL(t.service, "s");
	CU_ASSERT_STRING_EQUAL(t.dc, "z");
	CU_ASSERT_EQUAL(t.slots, 4);
	CU_ASSERT(t.leaving);
	CU_ASSERT_EQUAL(t.cold_until, MS(1500));
	json_decref(o);
	o = json_loads("{\"spec\":{}}", 0, NULL);
	CU_ASSERT_EQUAL(decode_target(o, "i-1", &t), -1);
	json_decref(o);
}

static const char whole[] =
    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{"
    "\"address\":\"10.1.2.3:80\",\"born\":1796262953676,"
    "\"info\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":4},"
    "\"status\":{\"state\":\"ready\",\"sequence\":3,"
    "\"cold_left\":\"0ms\"}}}";

/* Decodes a valid entry that is stored under a name. */
static int
decode_named_entry(const char *name, struct fleet_target *t)
{
	json_t *o = json_loads(whole, 0, NULL);
	int res = decode_target(o, name, t);

	json_decref(o);
	return (res);
}

/* Decodes a valid entry in which one fragment is replaced. */
static int
decode_edited_entry(
    const char *old_text, const char *new_text, struct fleet_target *t)
{
	const char *match = strstr(whole, old_text);
	char text[1024];
	json_t *o;
	int res;

	CU_ASSERT_PTR_NOT_NULL_FATAL(match);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(match - whole), whole,
	    new_text, match + strlen(old_text));
	o = json_loads(text, JSON_ALLOW_NUL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	res = decode_target(o, "i-1", t);
	json_decref(o);
	return (res);
}

/*
 * A target restarts under its id.  Its entry has another start time, so it gets
 * the name of a new incarnation, distinct from the earlier one.
 */
static void
restarted_target(void)
{
	struct fleet_target a, b;

	CU_ASSERT_EQUAL(
	    decode_edited_entry("1796262953676", "1796262953676", &a), 0);
	CU_ASSERT_STRING_EQUAL(a.id, "i-1#1796262953676");
	CU_ASSERT_EQUAL(
	    decode_edited_entry("1796262953676", "1796262959000", &b), 0);
	CU_ASSERT_STRING_NOT_EQUAL(a.id, b.id);
}

/*
 * Another writer has changed an entry: fields are missing, of another type or
 * out of range.  If such entries were accepted, a target in an unknown state
 * would be sent requests, and one without slots would count as having one.
 */
static void
invalid_entries(void)
{
	static const char *const bad[][2] = {{"\"10.1.2.3:80\"", "7"},
	    {"\"10.1.2.3:80\"", "\"there\""},
	    {"\"address\":\"10.1.2.3:80\",", ""},
	    {"1796262953676", "\"1796262953676\""}, {"1796262953676", "1.5"},
	    {"1796262953676", "-4"}, {"\"service\":\"s\"", "\"service\":[]"},
	    {"\"service\":\"s\",", ""},
	    {"\"service\":\"s\"", "\"service\":\"s\\u0000x\""},
	    {"\"zone\":\"z\",", ""}, {"\"slots\":4", "\"slots\":\"4\""},
	    {"\"slots\":4", "\"slots\":0"},
	    {"\"slots\":4", "\"slots\":9000000000"},
	    {"\"slots\":4", "\"slots\":2.5"}, {"\"ready\"", "\"resting\""},
	    {"\"ready\"", "true"}, {"\"state\":\"ready\",", ""},
	    {"\"sequence\":3", "\"sequence\":\"3\""}, {"\"0ms\"", "\"soon\""},
	    {"\"0ms\"", "0"}, {"\"0ms\"", "\"-1ms\""},
	    {"\"0ms\"", "\"1e300ms\""}, {"\"0ms\"", "\"1e300s\""},
	    {"\"0ms\"", "\"infs\""}, {"\"0ms\"", "\"nans\""},
	    {"\"0ms\"", "\"86401s\""}, {"10.1.2.3:80", "10.1.2.3:65536"},
	    {"10.1.2.3:80", "10.1.2.3:0"}, {"10.1.2.3:80", "10.1.2.3:-80"},
	    {"10.1.2.3:80", "10.1.2.3:99999999999999999999"},
	    {"1796262953676", "1e300"}, {"\"slots\":4", "\"slots\":1e300"},
	    {"\"slots\":4", "\"slots\":-9223372036854775808"},
	    {"\"sequence\":3", "\"sequence\":1e300"},
	    {"{\"service\":\"s\",\"zone\":\"z\",\"slots\":4}", "[1]"}};
	struct fleet_target t;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		if (decode_edited_entry(bad[i][0], bad[i][1], &t) != -1)
			CU_FAIL(bad[i][1]);
	}
}

static struct store *
new_call(enum store_op op, const char *path)
{
	struct store *st = calloc(1, sizeof(*st));

	st->op = op;
	name_copy(st->path, sizeof(st->path), path);
	return (st);
}

static void
free_call(struct store *st)
{
	json_decref(st->parsed);
	free(st->items);
	str_free(&st->body);
	str_free(&st->after);
	str_free(&st->last);
	free(st);
}

static void
make_put(uint64_t base, struct store_http *h)
{
	struct store *st = new_call(STORE_PUT, "kind/name");

	st->base = base;
	str_set(&st->body, "{\"a\":1}", 7);
	objects_form.request(st, "h:1", h);
	free_call(st);
}

static void
free_request(struct store_http *h)
{
	str_free(&h->url);
	str_free(&h->body);
}

static void
store_writes(void)
{
	struct store_http h;

	memset(&h, 0, sizeof(h));
	make_put(0, &h);
	CU_ASSERT_STRING_EQUAL(h.method, "POST");
	CU_ASSERT_STRING_EQUAL(h.url.p, "http://h:1/objects/kind");
	CU_ASSERT_STRING_EQUAL(
	    h.body.p, "{\"metadata\":{\"name\":\"name\"},\"spec\":{\"a\":1}}");
	free_request(&h);
	make_put(7, &h);
	CU_ASSERT_STRING_EQUAL(h.method, "PUT");
	CU_ASSERT_STRING_EQUAL(h.url.p, "http://h:1/objects/kind/name");
	CU_ASSERT_PTR_NOT_NULL(strstr(h.body.p, "\"revision\":7"));
	free_request(&h);
	/* The store knows revisions, not eras. */
	make_put(version_make(3, 8), &h);
	CU_ASSERT_PTR_NOT_NULL(strstr(h.body.p, "\"revision\":8}"));
	free_request(&h);
}

/* Returns the URL of a call for an object; the caller frees it. */
static char *
url_of(enum store_op op, const char *path, uint64_t base)
{
	struct store *st = new_call(op, path);
	struct store_http h;

	memset(&h, 0, sizeof(h));
	st->base = base;
	str_set(&st->body, "1", 1);
	objects_form.request(st, "h:1", &h);
	free_call(st);
	str_free(&h.body);
	return (h.url.p);
}

/* A name with a character that a URL or JSON gives a meaning leads to another
 * object, or to none. */
static void
odd_names(void)
{
	static const char path[] = "kind/a&b+#%/ ?\"\\\xc3\xa9";
	static const char want[] = "http://h:1/objects/kind/"
				   "a%26b%2B%23%25%2F%20%3F%22%5C%C3%A9";
	static const enum store_op ops[] = {STORE_GET, STORE_PUT, STORE_DELETE};
	struct store *st = new_call(STORE_LIST, "kind");
	struct store_http h;
	json_t *o;
	char *url;
	size_t i;

	for (i = 0; i < sizeof(ops) / sizeof(ops[0]); i++) {
		url = url_of(ops[i], path, 7);
		CU_ASSERT_STRING_EQUAL(url, want);
		free(url);
	}
	memset(&h, 0, sizeof(h));
	str_set(&st->after, "a&b #1+%41", 10);
	objects_form.request(st, "h:1", &h);
	CU_ASSERT_STRING_EQUAL(
	    h.url.p, "http://h:1/objects/kind?after=a%26b%20%231%2B%2541");
	free_request(&h);
	free_call(st);
	st = new_call(STORE_PUT, path);
	str_set(&st->body, "1", 1);
	objects_form.request(st, "h:1", &h);
	o = json_loadb(h.body.p, h.body.n, 0, NULL);
	CU_ASSERT_STRING_EQUAL(h.url.p, "http://h:1/objects/kind");
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(
				   json_object_get(o, "metadata"), "name")),
	    strchr(path, '/') + 1);
	json_decref(o);
	free_request(&h);
	free_call(st);
}

static struct store *
decode_answer(enum store_op op, int status, const char *body)
{
	struct store *st = new_call(op, "kind");

	st->status = status;
	str_set(&st->body, body, strlen(body));
	objects_form.response(st);
	return (st);
}

static void
store_results(void)
{
	static const struct {
		int status;
		enum store_result result;
	} cases[] = {{409, STORE_CONFLICT}, {404, STORE_NOT_FOUND},
	    {410, STORE_COMPACTED}, {429, STORE_RATE_LIMITED},
	    {503, STORE_REFUSED}};
	struct store *st;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		st = decode_answer(STORE_GET, cases[i].status, "{}");
		CU_ASSERT_EQUAL(st->result, cases[i].result);
		free_call(st);
	}
	st = decode_answer(STORE_GET, 200,
	    "{\"metadata\":{\"name\":\"n\",\"revision\":9},\"spec\":{\"a\":1}}");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL(st->version, 9);
	CU_ASSERT_STRING_EQUAL(st->body.p, "{\"a\":1}");
	free_call(st);
	/* Truncated: the outcome is unknown. */
	st = decode_answer(STORE_PUT, 200, "{\"metadata\":{\"na");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	free_call(st);
}

static void
lists_and_watches(void)
{
	struct store *st;

	st = decode_answer(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1}},"
	    "{\"metadata\":{\"name\":\"b\",\"revision\":2}}],"
	    "\"has_more\":true,\"current_rev\":44}");
	CU_ASSERT_EQUAL(st->nitems, 2);
	CU_ASSERT_STRING_EQUAL(st->items[1].name, "b");
	CU_ASSERT(st->more);
	CU_ASSERT_EQUAL(st->version, 44);
	free_call(st);
	st = decode_answer(STORE_WATCH, 200,
	    "{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{"
	    "\"name\":\"a\",\"revision\":50}}}],\"current_rev\":51}");
	CU_ASSERT_EQUAL(st->nitems, 1);
	CU_ASSERT(st->items[0].deleted);
	CU_ASSERT_EQUAL(st->version, 51);
	free_call(st);
}

/* A name that is no target's hides where a list goes on. */
static void
last_names(void)
{
	static const struct {
		const char *last; /* the last item */
		size_t n;	  /* of the name to continue after */
	} cases[] = {
	    {"{\"metadata\":{\"name\":\"0123456789012345678901234567890123456789"
	     "0123456789012345678901234567890123456789\"}}",
		80},
	    {"{\"metadata\":{\"name\":\"b\\u0000c\"}}", 3},
	    {"{\"metadata\":{\"name\":\"b c\"},\"spec\":\"\xff\"}", 3},
	    {"{\"metadata\":{\"name\":7}}", 1},
	    {"{\"metadata\":{\"name\":\"\xff\"}}", 1}, {"7", 1}};
	char text[300];
	struct store *st;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(text, sizeof(text),
		    "{\"items\":[{\"metadata\":{\"name\":\"a\"}},%s],"
		    "\"has_more\":true,\"current_rev\":44}",
		    cases[i].last);
		st = decode_answer(STORE_LIST, 200, text);
		CU_ASSERT(st->more);
		CU_ASSERT_EQUAL(st->last.n, cases[i].n);
		free_call(st);
	}
}

/*
 * One object of a page is not valid JSON.  If the whole page were refused, a
 * host would be without any target, and a watch would be repeated for ever.
 * The other objects are used; the invalid one keeps its name, as it may be a
 * target's.
 */
static void
unreadable_list_items(void)
{
	static const char items[] =
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1},"
	    "\"spec\":{\"x\":1}},"
	    "{\"metadata\":{\"name\":\"b\",\"revision\":2},"
	    "\"spec\":\"\xff\xfe ]}, {\"},"
	    "{\"metadata\":{\"name\":\"c\",\"revision\":3},\"spec\":"
	    "{\"n\":99999999999999999999999}},"
	    "{\"metadata\":{\"name\":\"d\",\"revision\":4},\"spec\":{}}],"
	    "\"has_more\":true,\"current_rev\":44}";
	struct store *st = decode_answer(STORE_LIST, 200, items);

	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL_FATAL(st->nitems, 4);
	CU_ASSERT_STRING_EQUAL(st->items[1].name, "b");
	CU_ASSERT_STRING_EQUAL(st->items[3].name, "d");
	CU_ASSERT(st->more);
	CU_ASSERT_EQUAL(st->version, 44);
	free_call(st);
	st = decode_answer(STORE_WATCH, 200,
	    "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"a\"},"
	    "\"spec\":\"\xc3\"},\"deleted\":false},{\"deleted\":true,"
	    "\"object\":{\"metadata\":{\"name\":\"b\"}}}],"
	    "\"current_rev\":51}");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL_FATAL(st->nitems, 2);
	CU_ASSERT_STRING_EQUAL(st->items[0].name, "a");
	CU_ASSERT(!st->items[0].deleted && st->items[1].deleted);
	CU_ASSERT_EQUAL(st->version, 51);
	free_call(st);
	/* A name with a NUL byte is not truncated to another object's name. */
	st = decode_answer(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\\u0000b\"}}],"
	    "\"has_more\":false,\"current_rev\":44}");
	CU_ASSERT_EQUAL(st->nitems, 0);
	CU_ASSERT_EQUAL(st->nunnamed, 1);
	free_call(st);
	/* A truncated list is refused: what is missing from it is not
	 * deleted. */
	st = decode_answer(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\"}},{\"metad");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	CU_ASSERT_EQUAL(st->nitems, 0);
	free_call(st);
}

/*
 * Another writer has overwritten one of gspard's objects with bytes that cannot
 * be parsed.  The object is returned with its revision and an empty value, so
 * that it can be written anew.  When this was treated as a missing response,
 * the read was repeated for ever: no host took control, or no key of the
 * service was granted.  A truncated response is treated as missing.
 */
static void
unreadable_object(void)
{
	struct store *st;

	st = decode_answer(STORE_GET, 200,
	    "{\"metadata\":{\"name\":\"main\",\"revision\":7},"
	    "\"spec\":\"\xff\xfe }{\",\"status\":null} ");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL(st->version, 7);
	CU_ASSERT_EQUAL(st->body.n, 0);
	free_call(st);
	st = decode_answer(STORE_GET, 200,
	    "{\"spec\":\"\xff\",\"metadata\":{\"name\":\"main\",\"rev");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	free_call(st);
	st = decode_answer(
	    STORE_GET, 200, "{\"metadata\":{\"name\":\"main\",\"revision\":7}");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	free_call(st);
	st = decode_answer(STORE_GET, 200, "[7]");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	free_call(st);
	st =
	    decode_answer(STORE_GET, 200, "{\"metadata\":{\"name\":\"\xff\"}}");
	CU_ASSERT_EQUAL(st->result, STORE_NO_REPLY);
	free_call(st);
}

/* Returns arrays nested to a depth; the caller frees the text. */
static char *
nested_arrays(size_t depth)
{
	char *text = malloc(2 * depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	text[2 * depth] = '\0';
	return (text);
}

/* Decodes an answer into which a value nested to a depth is formatted. */
static struct store *
decode_nested(enum store_op op, const char *fmt, size_t depth)
{
	char *value = nested_arrays(depth), *text;
	struct store *st;

	if (asprintf(&text, fmt, value) < 0)
		abort();
	st = decode_answer(op, 200, text);
	free(text);
	free(value);
	return (st);
}

/* Depths up to some that the JSON library does not read. */
static const size_t depths[] = {100, 257, 5000, 200000};
#define NDEPTHS (sizeof(depths) / sizeof(depths[0]))

/* One deeply nested value hides all objects of a list, or all changes. */
static void
nested_list_items(void)
{
	struct store *st;
	size_t i;

	for (i = 0; i < NDEPTHS; i++) {
		st = decode_nested(STORE_LIST,
		    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1}},"
		    "{\"metadata\":{\"name\":\"b\",\"revision\":2},"
		    "\"spec\":%s},{\"metadata\":{\"name\":\"c\"}}],"
		    "\"has_more\":true,\"current_rev\":44}",
		    depths[i]);
		CU_ASSERT_EQUAL(st->result, STORE_DONE);
		CU_ASSERT_EQUAL(st->nitems, 3);
		CU_ASSERT(st->nitems == 3 && st->items[1].version == 2);
		CU_ASSERT(st->more);
		CU_ASSERT_EQUAL(st->version, 44);
		free_call(st);
		st = decode_nested(STORE_WATCH,
		    "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"a\","
		    "\"finalizers\":%s}},\"deleted\":true},{\"object\":{"
		    "\"metadata\":{\"name\":\"b\"}}}],\"current_rev\":51}",
		    depths[i]);
		CU_ASSERT_EQUAL(st->result, STORE_DONE);
		CU_ASSERT_EQUAL(st->nitems, 2);
		CU_ASSERT(st->nitems == 2 && st->items[0].deleted);
		CU_ASSERT_EQUAL(st->version, 51);
		free_call(st);
	}
}

/* A deeply nested member hides the others of an object. */
static void
nested_members(void)
{
	static const char item[] =
	    "{\"items\":[{\"metadata\":{\"name\":\"main\"},"
	    "\"status\":%s,\"spec\":{\"version\":\"1f\","
	    "\"routes\":{}}}],\"current_rev\":44}";
	struct store *st;
	struct site *site;
	const char *why;
	size_t i;

	for (i = 0; i < NDEPTHS; i++) {
		st = decode_nested(STORE_GET,
		    "{\"status\":%s,\"metadata\":{\"name\":\"main\","
		    "\"revision\":7},\"spec\":{\"a\":1}}",
		    depths[i]);
		CU_ASSERT_EQUAL(st->result, STORE_DONE);
		CU_ASSERT_EQUAL(st->version, 7);
		CU_ASSERT(
		    st->body.n == 7 && memcmp(st->body.p, "{\"a\":1}", 7) == 0);
		free_call(st);
		/* The value itself may be one. */
		st = decode_nested(STORE_GET,
		    "{\"metadata\":{\"finalizers\":[],\"revision\":7},"
		    "\"spec\":{\"a\":%s}}",
		    depths[i]);
		CU_ASSERT_EQUAL(st->result, STORE_DONE);
		CU_ASSERT_EQUAL(st->version, 7);
		free_call(st);
		st = decode_nested(STORE_LIST, item, depths[i]);
		CU_ASSERT_EQUAL_FATAL(st->nitems, 1);
		site = decode_site_object(st->items[0].raw, &why);
		CU_ASSERT_PTR_NOT_NULL(site);
		site_free(site);
		free_call(st);
	}
}

/* Parses the headers of an answer, line by line. */
static void
parse_lines(struct reply *r, const char *const *lines)
{
	memset(r, 0, sizeof(*r));
	r->limit = -1;
	for (; *lines != NULL; lines++)
		objects_target.head(r, *lines, strlen(*lines));
}

/* Classifies an answer to a request; kept is true if another one was sent on
 * its connection before. */
static enum reply_kind
classify(int status, const char *const *lines, int kept)
{
	const struct call c = {.id = "me"};
	struct transfer t = {
	    .ops = &objects_target, .call = &c, .new_conn = !kept};
	enum reply_kind k;

	parse_lines(&t.reply, lines);
	t.reply.status = status;
	k = transfer_kind(&t);
	str_free(&t.reply.headers);
	return (k);
}

/* The same, where the kind does not depend on the connection. */
static enum reply_kind
classify_lines(int status, const char *const *lines)
{
	enum reply_kind k = classify(status, lines, 0);

	CU_ASSERT_EQUAL(classify(status, lines, 1), k);
	return (k);
}

/*
 * The kind of an answer decides whether a caller may be told that its request
 * has not run.  Only one with the target's X-Not-Executed header and the
 * request's id, and without a signature, says so.
 */
static void
reply_kinds(void)
{
	static const char *const complete[] = {
	    "X-Request-Id: me\r\n", "X-Response-Signature: s\r\n", NULL};
	static const char *const other_id[] = {
	    "X-Request-Id: you\r\n", "X-Response-Signature: s\r\n", NULL};
	static const char *const no_id[] = {
	    "X-Response-Signature: s\r\n", NULL};
	static const char *const refused[] = {
	    "X-Request-Id: me\r\n", "X-Not-Executed: 1\r\n", NULL};
	static const char *const denied[] = {"X-Request-Id: me\r\n",
	    "X-Response-Signature: s\r\n", "X-Not-Executed: 1\r\n", NULL};
	static const char *const bare[] = {"X-Not-Executed: 1\r\n", NULL};
	static const char *const nothing[] = {NULL};
	static const char *const not_signed[] = {"X-Request-Id: me\r\n", NULL};

	CU_ASSERT_EQUAL(classify_lines(200, complete), REPLY_ANSWER);
	/* Signed but without a request id: it may answer another request. */
	CU_ASSERT_EQUAL(classify_lines(200, no_id), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(500, no_id), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(404, complete), REPLY_ANSWER);
	CU_ASSERT_EQUAL(classify_lines(500, complete), REPLY_FAILURE);
	CU_ASSERT_EQUAL(classify_lines(200, other_id), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(200, not_signed), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(503, refused), REPLY_REFUSED);
	CU_ASSERT_EQUAL(classify_lines(421, refused), REPLY_NOT_OWNER);
	CU_ASSERT_EQUAL(classify_lines(421, not_signed), REPLY_FOREIGN);
	/* Signed, and said not to be of a run. */
	CU_ASSERT_EQUAL(classify_lines(503, denied), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(200, denied), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(421, complete), REPLY_FOREIGN);
	/* An answer that names no request may be a second one to another. */
	CU_ASSERT_EQUAL(classify(503, bare, 0), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify(503, bare, 1), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify(421, bare, 1), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify(500, nothing, 0), REPLY_FAILURE);
	CU_ASSERT_EQUAL(classify(500, nothing, 1), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify(404, nothing, 1), REPLY_FOREIGN);
	/* A status that means "not run" is not forwarded without the
	 * target's header. */
	CU_ASSERT_EQUAL(classify_lines(503, complete), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(classify_lines(429, complete), REPLY_FOREIGN);
}

static void
forwarded_headers(void)
{
	static const char *const lines[] = {"HTTP/1.1 200 OK\r\n",
	    "Content-Type: text/plain\r\n", "Connection: close\r\n",
	    "Content-Length: 5\r\n", "X-Server-Load: 3,2,4\r\n", NULL};
	struct reply r;

	parse_lines(&r, lines);
	CU_ASSERT_STRING_EQUAL(r.headers.p, "Content-Type: text/plain\r\n");
	CU_ASSERT(r.load.reported);
	CU_ASSERT_EQUAL(r.load.running, 3);
	CU_ASSERT_EQUAL(r.load.waiting, 2);
	CU_ASSERT(r.closes);
	str_free(&r.headers);
}

/* The load that a target reports: two to four numbers. */
static void
loads(void)
{
	static const struct {
		const char *line;
		struct load load;
	} cases[] = {{"X-Server-Load: 3,2\r\n", {1, 3, 2, 0, 0}},
	    {"X-Server-Load: 6,24,6\r\n", {1, 6, 24, 6, 0}},
	    {"x-server-load: 0,0,6,310\r\n", {1, 0, 0, 6, 310}},
	    {"X-Server-Load: 1,2,6,90,7\r\n", {1, 1, 2, 6, 90}},
	    {"X-Server-Load: 3\r\n", {0, 0, 0, 0, 0}},
	    {"X-Server-Load: -1,2,4\r\n", {0, 0, 0, 0, 0}},
	    {"X-Server-Load: 1,2,4,-5\r\n", {0, 0, 0, 0, 0}},
	    {"X-Server-Load: busy\r\n", {0, 0, 0, 0, 0}}};
	const char *lines[] = {"HTTP/1.1 200 OK\r\n", NULL, NULL};
	uint64_t bad = count_get(C_LOAD_BAD);
	struct reply r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		lines[1] = cases[i].line;
		parse_lines(&r, lines);
		CU_ASSERT_EQUAL(
		    memcmp(&r.load, &cases[i].load, sizeof(r.load)), 0);
		str_free(&r.headers);
	}
	CU_ASSERT_EQUAL(count_get(C_LOAD_BAD), bad + 4);
	/* An answer that reports no load. */
	lines[1] = NULL;
	parse_lines(&r, lines);
	CU_ASSERT(!r.load.reported);
	str_free(&r.headers);
}

/* The rate limit that a target reports; an invalid number counts as none. */
static void
rate_limits(void)
{
	static const struct {
		const char *line;
		double limit;
	} cases[] = {{"Server-Limit: 3.3\r\n", 3.3},
	    {"server-limit: 12\r\n", 12}, {"Server-Limit: 0\r\n", 0},
	    {"Server-Limit: -1\r\n", -1}, {"Server-Limit: nan\r\n", -1},
	    {"Server-Limit: inf\r\n", -1}, {"Server-Limit: 3 a\r\n", -1},
	    {"Server-Limit:\r\n", -1}, {"X-Server-Load: 1,0,2\r\n", -1}};
	const char *lines[] = {"HTTP/1.1 200 OK\r\n", NULL, NULL};
	struct reply r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		lines[1] = cases[i].line;
		parse_lines(&r, lines);
		CU_ASSERT_DOUBLE_EQUAL(r.limit, cases[i].limit, 0);
		CU_ASSERT(r.headers.n == 0);
		str_free(&r.headers);
	}
}

/* Guards against missing that the store has come back from an old copy. */
static void
eras(void)
{
	static const struct {
		const char *line;
		uint64_t era;
	} cases[] = {{"Store-Era: 3\r\n", 3}, {"store-era:12\r\n", 12},
	    {"Store-Era: \r\n", 0}, {"Store-Era: 3x\r\n", 0},
	    {"Store-Era: -1\r\n", 0}, {"Store-Erasure: 3\r\n", 0}};
	struct store st;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&st, 0, sizeof(st));
		objects_form.header(&st, cases[i].line, strlen(cases[i].line));
		CU_ASSERT_EQUAL(st.era, cases[i].era);
	}
}

/* Guards against a header that states something new and goes unnoticed. */
static void
unknown_headers(void)
{
	static const char *const lines[] = {"HTTP/1.1 200 OK\r\n",
	    "X-Server-Load: 1,0,2\r\n", "Content-Type: a/b\r\n",
	    "Retry-After: 3\r\n", "Server-Leaving: 1\r\n",
	    "Server-Mood: good\r\n", "ETag: x\r\n", NULL};
	static const char *const plain[] = {
	    "HTTP/1.1 200 OK\r\n", "content-type: a/b\r\n", NULL};
	struct reply r;

	parse_lines(&r, lines);
	CU_ASSERT_STRING_EQUAL(r.unknown_header, "Server-Mood");
	str_free(&r.headers);
	parse_lines(&r, plain);
	CU_ASSERT_STRING_EQUAL(r.unknown_header, "");
	str_free(&r.headers);
}

/* Guards against missing for how long a target wants no requests. */
static void
retry_after(void)
{
	static const struct {
		const char *line;
		usec retry_after;
	} cases[] = {{"Retry-After: 3\r\n", MS(3000)},
	    {"retry-after: 0.25\r\n", MS(250)}, {"Retry-After: 0\r\n", 0},
	    {"Retry-After: -1\r\n", 0}, {"Retry-After: nan\r\n", 0},
	    {"Retry-After: Thu, 01 Dec 1994 16:00:00 GMT\r\n", 0},
	    {"Retry-After: 86400\r\n", MS(3600000)}};
	const char *lines[] = {"HTTP/1.1 503 Busy\r\n", NULL, NULL};
	struct reply r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		lines[1] = cases[i].line;
		parse_lines(&r, lines);
		CU_ASSERT_EQUAL(r.retry_after, cases[i].retry_after);
		str_free(&r.headers);
	}
}

/* Guards against missing that a target announces that it is leaving. */
static void
leave_announcements(void)
{
	static const struct {
		const char *line;
		int leaving;
	} cases[] = {{"Server-Leaving: 1\r\n", 1}, {"server-leaving:1\r\n", 1},
	    {"Server-Leaving: 0\r\n", 0}, {"Server-Leaving: \r\n", 0},
	    {"Server-Leaving: 10\r\n", 0}};
	const char *lines[] = {"HTTP/1.1 200 OK\r\n", NULL, NULL};
	struct reply r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		lines[1] = cases[i].line;
		parse_lines(&r, lines);
		CU_ASSERT_EQUAL(r.leaving, cases[i].leaving);
		CU_ASSERT(r.headers.n == 0);
		str_free(&r.headers);
	}
}

static void
orders(void)
{
	struct key_order o = {.from = 5,
	    .to = 9,
	    .fence = 12,
	    .hold_ms = 4000,
	    .handover = "abc"};
	char body[256];

	CU_ASSERT_STRING_EQUAL(
	    objects_target.order(&o, body, sizeof(body)), "/grant");
	CU_ASSERT_STRING_EQUAL(body,
	    "{\"from\":5,\"target\":9,\"fence\":12,\"hold_time\":\"4000ms\","
	    "\"handover\":\"abc\"}");
	o.release = 1;
	CU_ASSERT_STRING_EQUAL(
	    objects_target.order(&o, body, sizeof(body)), "/release");
	CU_ASSERT_STRING_EQUAL(body, "{\"from\":5,\"target\":9,\"fence\":12}");
}

/* A handover of any bytes makes the order that passes it on invalid JSON. */
static void
odd_handovers(void)
{
	struct key_order o = {.from = 5, .to = 9, .fence = 12, .hold_ms = 4000};
	char body[256];
	json_t *v;

	memset(o.handover, '"', sizeof(o.handover) - 1);
	objects_target.order(&o, body, sizeof(body));
	v = json_loads(body, 0, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(v);
	CU_ASSERT_STRING_EQUAL(
	    json_string_value(json_object_get(v, "handover")), o.handover);
	json_decref(v);
	name_copy(o.handover, sizeof(o.handover), "a\xff");
	objects_target.order(&o, body, sizeof(body));
	CU_ASSERT_STRING_EQUAL(body,
	    "{\"from\":5,\"target\":9,\"fence\":12,\"hold_time\":\"4000ms\"}");
}

/* A name with a line end adds a header to each request to its target. */
static void
names_in_headers(void)
{
	static const char *const bad[] = {
	    "a\r\nX: y", "a\nb", "a\x01", "a\x7f"};
	static const char *const good[] = {"i-1", "a b", "a&+%?/", "\xc3\xa9"};
	struct fleet_target t;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(decode_named_entry(bad[i], &t), -1);
	for (i = 0; i < sizeof(good) / sizeof(good[0]); i++)
		CU_ASSERT_EQUAL(decode_named_entry(good[i], &t), 0);
}

static const struct unit_test tests[] = {
    {"site", site},
    {"kinds", kinds},
    {"large numbers", large_numbers},
    {"bad site", bad_site},
    {"target", target},
    {"restarted target", restarted_target},
    {"invalid entries", invalid_entries},
    {"last names", last_names},
    {"unreadable list items", unreadable_list_items},
    {"nested list items", nested_list_items},
    {"nested members", nested_members},
    {"unreadable object", unreadable_object},
    {"store writes", store_writes},
    {"odd names", odd_names},
    {"store results", store_results},
    {"lists and watches", lists_and_watches},
    {"reply kinds", reply_kinds},
    {"forwarded headers", forwarded_headers},
    {"rate limits", rate_limits},
    {"leave announcements", leave_announcements},
    {"eras", eras},
    {"unknown headers", unknown_headers},
    {"retry after", retry_after},
    {"loads", loads},
    {"orders", orders},
    {"odd handovers", odd_handovers},
    {"names in headers", names_in_headers},
};
UNIT_MAIN("platform", tests)
