/* The platform's names, formats and calls, decoded and encoded. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "count.h"
#include "decode.h"
#include "objects.h"
#include "target.h"
#include "unit.h"

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
decode(const char *text)
{
	json_t *o = json_loads(text, 0, NULL);
	const char *why;
	struct site *t = decode_site_object(o, &why);

	json_decref(o);
	return (t);
}

static void
site(void)
{
	struct site *t = decode(config);
	const struct rule *r;
	struct str host = {(char *)"a.example", 9}, path = {(char *)"/x/1", 4};

	CU_ASSERT_PTR_NOT_NULL_FATAL(t);
	CU_ASSERT_EQUAL(t->version, 31);
	CU_ASSERT_EQUAL(t->idle_time, MS(15000));
	CU_ASSERT_EQUAL(t->body_max, 200);
	r = site_find_rule(t, &host, &path);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT(r->idempotent);
	CU_ASSERT_EQUAL(r->timeout, MS(1200));
	CU_ASSERT_EQUAL(r->aim, MS(300));
	CU_ASSERT_EQUAL(r->nbackends, 2);
	CU_ASSERT_EQUAL(r->total_weight, 100);
	CU_ASSERT(t->services[r->backends[0].service].keyed);
	CU_ASSERT(!t->services[r->backends[1].service].keyed);
	CU_ASSERT_EQUAL(
	    t->services[r->backends[0].service].cold_start, MS(2500));
	CU_ASSERT_DOUBLE_EQUAL(
	    t->services[r->backends[0].service].cold_rate, 5.8, 1e-9);
	CU_ASSERT(t->services[r->backends[1].service].cold_rate == 0);
	site_free(t);
}

/* A configuration that makes no sense is refused whole. */
static void
bad_site(void)
{
	CU_ASSERT_PTR_NULL(decode("{\"spec\":{}}"));
	CU_ASSERT_PTR_NULL(decode("{\"spec\":{\"routes\":{}}}"));
	CU_ASSERT_PTR_NULL(
	    decode("{\"spec\":{\"version\":\"01\",\"services\":{},"
		   "\"routes\":{\"r\":{\"host\":\"a\",\"path_prefix\":\"/\","
		   "\"service\":\"none\"}}}}"));
	CU_ASSERT_PTR_NULL(decode("[]"));
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

/* A whole entry, with one part of it replaced. */
static int
entry(const char *part, const char *by, struct fleet_target *t)
{
	static const char whole[] =
	    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{"
	    "\"address\":\"10.1.2.3:80\",\"born\":1796262953676,"
	    "\"info\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":4},"
	    "\"status\":{\"state\":\"ready\",\"sequence\":3,"
	    "\"cold_left\":\"0ms\"}}}";
	const char *at = strstr(whole, part);
	char text[1024];
	json_t *o;
	int res;

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - whole), whole, by,
	    at + strlen(part));
	o = json_loads(text, JSON_ALLOW_NUL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	res = decode_target(o, "i-1", t);
	json_decref(o);
	return (res);
}

/*
 * A target starts again under its id.  Its entry tells another start, and that
 * is another target to all who knew the earlier.
 */
static void
started_again(void)
{
	struct fleet_target a, b;

	CU_ASSERT_EQUAL(entry("1796262953676", "1796262953676", &a), 0);
	CU_ASSERT_STRING_EQUAL(a.id, "i-1#1796262953676");
	CU_ASSERT_EQUAL(entry("1796262953676", "1796262959000", &b), 0);
	CU_ASSERT_STRING_NOT_EQUAL(a.id, b.id);
}

/*
 * Another writer has touched an entry: fields are missing, or of another type,
 * or say what no target says.  Taken at its word, an entry with a state that is
 * not known would be sent work, and one without slots counted as having one.
 */
static void
foreign_entries(void)
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
	    {"\"0ms\"", "0"},
	    {"{\"service\":\"s\",\"zone\":\"z\",\"slots\":4}", "[1]"}};
	struct fleet_target t;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		if (entry(bad[i][0], bad[i][1], &t) != -1)
			CU_FAIL(bad[i][1]);
	}
}

static struct store *
call(enum store_op op, const char *path)
{
	struct store *st = calloc(1, sizeof(*st));

	st->op = op;
	name_copy(st->path, sizeof(st->path), path);
	return (st);
}

static void
drop(struct store *st)
{
	json_decref(st->parsed);
	free(st->found);
	str_free(&st->body);
	free(st);
}

static void
put(uint64_t base, struct store_http *h)
{
	struct store *st = call(STORE_PUT, "kind/name");

	st->base = base;
	str_set(&st->body, "{\"a\":1}", 7);
	objects_form.request(st, "h:1", h);
	drop(st);
}

static void
writes(void)
{
	struct store_http h;

	memset(&h, 0, sizeof(h));
	put(0, &h);
	CU_ASSERT_STRING_EQUAL(h.method, "POST");
	CU_ASSERT_STRING_EQUAL(h.url, "http://h:1/objects/kind");
	CU_ASSERT_STRING_EQUAL(
	    h.body.p, "{\"metadata\":{\"name\":\"name\"},\"spec\":{\"a\":1}}");
	str_free(&h.body);
	put(7, &h);
	CU_ASSERT_STRING_EQUAL(h.method, "PUT");
	CU_ASSERT_STRING_EQUAL(h.url, "http://h:1/objects/kind/name");
	CU_ASSERT_PTR_NOT_NULL(strstr(h.body.p, "\"revision\":7"));
	str_free(&h.body);
}

static struct store *
answered(enum store_op op, int status, const char *body)
{
	struct store *st = call(op, "kind");

	st->status = status;
	str_set(&st->body, body, strlen(body));
	objects_form.answer(st);
	return (st);
}

static void
reads(void)
{
	static const struct {
		int status;
		enum store_result result;
	} by[] = {{409, STORE_CONFLICT}, {404, STORE_ABSENT},
	    {410, STORE_FORGOTTEN}, {429, STORE_BUSY}, {503, STORE_DOWN}};
	struct store *st;
	size_t i;

	for (i = 0; i < sizeof(by) / sizeof(by[0]); i++) {
		st = answered(STORE_GET, by[i].status, "{}");
		CU_ASSERT_EQUAL(st->result, by[i].result);
		drop(st);
	}
	st = answered(STORE_GET, 200,
	    "{\"metadata\":{\"name\":\"n\",\"revision\":9},\"spec\":{\"a\":1}}");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL(st->version, 9);
	CU_ASSERT_STRING_EQUAL(st->body.p, "{\"a\":1}");
	drop(st);
	/* Cut short: what it says is not known. */
	st = answered(STORE_PUT, 200, "{\"metadata\":{\"na");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	drop(st);
}

static void
lists(void)
{
	struct store *st;

	st = answered(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1}},"
	    "{\"metadata\":{\"name\":\"b\",\"revision\":2}}],"
	    "\"has_more\":true,\"current_rev\":44}");
	CU_ASSERT_EQUAL(st->nfound, 2);
	CU_ASSERT_STRING_EQUAL(st->found[1].name, "b");
	CU_ASSERT(st->more);
	CU_ASSERT_EQUAL(st->version, 44);
	drop(st);
	st = answered(STORE_WATCH, 200,
	    "{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{"
	    "\"name\":\"a\",\"revision\":50}}}],\"current_rev\":51}");
	CU_ASSERT_EQUAL(st->nfound, 1);
	CU_ASSERT(st->found[0].deleted);
	CU_ASSERT_EQUAL(st->version, 51);
	drop(st);
}

/*
 * One object of a page is not even JSON.  Refused whole, the page would leave a
 * host without any target, and a watch would ask in vain for ever.  The others
 * hold; of the odd one its name is kept, for it may have been a target's.
 */
static void
unreadable_objects(void)
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
	struct store *st = answered(STORE_LIST, 200, items);

	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL_FATAL(st->nfound, 4);
	CU_ASSERT_STRING_EQUAL(st->found[1].name, "b");
	CU_ASSERT_STRING_EQUAL(st->found[3].name, "d");
	CU_ASSERT(st->more);
	CU_ASSERT_EQUAL(st->version, 44);
	drop(st);
	st = answered(STORE_WATCH, 200,
	    "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"a\"},"
	    "\"spec\":\"\xc3\"},\"deleted\":false},{\"deleted\":true,"
	    "\"object\":{\"metadata\":{\"name\":\"b\"}}}],"
	    "\"current_rev\":51}");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL_FATAL(st->nfound, 2);
	CU_ASSERT_STRING_EQUAL(st->found[0].name, "a");
	CU_ASSERT(!st->found[0].deleted && st->found[1].deleted);
	CU_ASSERT_EQUAL(st->version, 51);
	drop(st);
	/* A name with a zero byte in it is not that of what comes before. */
	st = answered(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\\u0000b\"}}],"
	    "\"has_more\":false,\"current_rev\":44}");
	CU_ASSERT_EQUAL(st->nfound, 0);
	drop(st);
	/* Cut short, it is no list: what it lacks is not gone. */
	st = answered(STORE_LIST, 200,
	    "{\"items\":[{\"metadata\":{\"name\":\"a\"}},{\"metad");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	CU_ASSERT_EQUAL(st->nfound, 0);
	drop(st);
}

/*
 * An object of ours that another has written, in bytes that cannot be read: it
 * is there, with its revision and nothing in it, so that it can be written
 * anew.  Taken for an answer that did not come, it was asked for again for
 * ever: nobody took control, or no key of its service was granted.  Cut short,
 * an answer says nothing.
 */
static void
unreadable_object(void)
{
	struct store *st;

	st = answered(STORE_GET, 200,
	    "{\"metadata\":{\"name\":\"main\",\"revision\":7},"
	    "\"spec\":\"\xff\xfe }{\",\"status\":null} ");
	CU_ASSERT_EQUAL(st->result, STORE_DONE);
	CU_ASSERT_EQUAL(st->version, 7);
	CU_ASSERT_EQUAL(st->body.n, 0);
	drop(st);
	st = answered(STORE_GET, 200,
	    "{\"spec\":\"\xff\",\"metadata\":{\"name\":\"main\",\"rev");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	drop(st);
	st = answered(
	    STORE_GET, 200, "{\"metadata\":{\"name\":\"main\",\"revision\":7}");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	drop(st);
	st = answered(STORE_GET, 200, "[7]");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	drop(st);
	st = answered(STORE_GET, 200, "{\"metadata\":{\"name\":\"\xff\"}}");
	CU_ASSERT_EQUAL(st->result, STORE_SILENT);
	drop(st);
}

/* Reads the head of an answer, line by line. */
static void
read_head(struct reply *r, const char *const *lines)
{
	memset(r, 0, sizeof(*r));
	r->limit = -1;
	for (; *lines != NULL; lines++)
		objects_target.head(r, *lines, strlen(*lines));
}

static enum reply_kind
kind_of(int status, const char *const *lines)
{
	struct call c = {.id = "me"};
	struct reply r;
	enum reply_kind k;

	read_head(&r, lines);
	r.status = status;
	k = objects_target.kind(&r, &c);
	str_free(&r.heads);
	return (k);
}

/*
 * What an answer is decides whether a caller may be told that its request has
 * not run.  Only two things say so: the target's own mark, and that it is not
 * the one that was named.
 */
static void
kinds(void)
{
	static const char *const whole[] = {
	    "X-Request-Id: me\r\n", "X-Response-Signature: s\r\n", NULL};
	static const char *const other[] = {
	    "X-Request-Id: you\r\n", "X-Response-Signature: s\r\n", NULL};
	static const char *const unnamed[] = {
	    "X-Response-Signature: s\r\n", NULL};
	static const char *const shed[] = {"X-Not-Executed: 1\r\n", NULL};
	static const char *const bare[] = {"X-Request-Id: me\r\n", NULL};

	CU_ASSERT_EQUAL(kind_of(200, whole), REPLY_ANSWER);
	/* Signed, but to whom?  It may answer another request. */
	CU_ASSERT_EQUAL(kind_of(200, unnamed), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(kind_of(500, unnamed), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(kind_of(404, whole), REPLY_ANSWER);
	CU_ASSERT_EQUAL(kind_of(500, whole), REPLY_FAILURE);
	CU_ASSERT_EQUAL(kind_of(200, other), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(kind_of(200, bare), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(kind_of(503, shed), REPLY_REFUSED);
	CU_ASSERT_EQUAL(kind_of(421, bare), REPLY_MISSENT);
	/* A promise that the target did not make is not passed on. */
	CU_ASSERT_EQUAL(kind_of(503, whole), REPLY_FOREIGN);
	CU_ASSERT_EQUAL(kind_of(429, whole), REPLY_FOREIGN);
}

static void
heads(void)
{
	static const char *const lines[] = {"HTTP/1.1 200 OK\r\n",
	    "Content-Type: text/plain\r\n", "Connection: close\r\n",
	    "Content-Length: 5\r\n", "X-Server-Load: 3,2,4\r\n", NULL};
	struct reply r;

	read_head(&r, lines);
	CU_ASSERT_STRING_EQUAL(r.heads.p, "Content-Type: text/plain\r\n");
	CU_ASSERT(r.load.reported);
	CU_ASSERT_EQUAL(r.load.running, 3);
	CU_ASSERT_EQUAL(r.load.waiting, 2);
	CU_ASSERT(r.closes);
	str_free(&r.heads);
}

/* The load that a target tells: two figures to four. */
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
		read_head(&r, lines);
		CU_ASSERT_EQUAL(
		    memcmp(&r.load, &cases[i].load, sizeof(r.load)), 0);
		str_free(&r.heads);
	}
	CU_ASSERT_EQUAL(count_get(C_LOAD_BAD), bad + 4);
	/* One that tells none. */
	lines[1] = NULL;
	read_head(&r, lines);
	CU_ASSERT(!r.load.reported);
	str_free(&r.heads);
}

/* The limit that a target names; what is no number of requests is none. */
static void
limits(void)
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
		read_head(&r, lines);
		CU_ASSERT_DOUBLE_EQUAL(r.limit, cases[i].limit, 0);
		CU_ASSERT(r.heads.n == 0);
		str_free(&r.heads);
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

static const struct unit_test tests[] = {
    {"site", site},
    {"bad site", bad_site},
    {"target", target},
    {"started again", started_again},
    {"foreign entries", foreign_entries},
    {"unreadable objects", unreadable_objects},
    {"unreadable object", unreadable_object},
    {"writes", writes},
    {"reads", reads},
    {"lists", lists},
    {"kinds", kinds},
    {"heads", heads},
    {"limits", limits},
    {"loads", loads},
    {"orders", orders},
};
UNIT_MAIN("platform", tests)
