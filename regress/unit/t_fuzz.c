/*
 * Decoders against bytes from anywhere: whatever another writer puts into the
 * store, or a peer sends, is read or refused, and never read beyond its end.
 * Run with sanitizers by `make check`; FUZZ_ROUNDS and FUZZ_SEED make it long.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf.h"
#include "decode.h"
#include "frame.h"
#include "keys.h"
#include "objects.h"
#include "unit.h"

#define ROUNDS 3000
#define INPUT_MAX 8192
#define MUTATIONS_MOST 6

static uint64_t seed;

/* A number below a bound. */
static size_t
draw(size_t below)
{
	seed = seed * 6364136223846793005u + 1442695040888963407u;
	return (below == 0 ? 0 : (size_t)(seed >> 33) % below);
}

/* Bytes that decoders have gone wrong on elsewhere. */
static const char *const odd[] = {"null", "-1", "1e999", "[]", "{}", "\"\"",
    "99999999999999999999", "-9223372036854775808", "4294967296", "0.5",
    "\"\\u0000\"", "\"\\ud800\"", "\xff\xfe", "\xc3", "]", "}", "\"", "\\",
    "[[[[[[[[", "{\"a\":{\"a\":{\"a\":", "true", "\"draining\"", ",", ":"};

struct input {
	char p[INPUT_MAX];
	size_t n;
};

/* Puts bytes in the place of others. */
static void
splice(struct input *in, size_t at, size_t cut, const char *p, size_t n)
{
	if (at + cut > in->n || in->n - cut + n > sizeof(in->p))
		return;
	memmove(in->p + at + n, in->p + at + cut, in->n - at - cut);
	memcpy(in->p + at, p, n);
	in->n = in->n - cut + n;
}

/* Changes an input in one way or another. */
static void
mutate(struct input *in)
{
	size_t at = draw(in->n + 1), len = draw(in->n - at + 1);
	const char *s = odd[draw(sizeof(odd) / sizeof(odd[0]))];
	char copy[256];

	switch (draw(6)) {
	case 0:
		if (in->n > 0)
			in->p[draw(in->n)] = (char)draw(256);
		break;
	case 1:
		splice(in, at, 0, s, strlen(s));
		break;
	case 2:
		splice(in, at, len < 16 ? len : 16, "", 0);
		break;
	case 3:
		len = len < sizeof(copy) ? len : sizeof(copy);
		memcpy(copy, in->p + at, len);
		splice(in, draw(in->n + 1), 0, copy, len);
		break;
	case 4:
		in->n = at;
		break;
	default:
		splice(in, at, len < 12 ? len : 12, s, strlen(s));
		break;
	}
}

/* Feeds mutations of an input to a reader, each in memory of its own size. */
static void
fuzz(const char *p, size_t n, void (*reader)(const char *, size_t))
{
	const char *more = getenv("FUZZ_ROUNDS"), *s = getenv("FUZZ_SEED");
	long i, rounds = more == NULL ? ROUNDS : atol(more);
	static struct input in;
	char *exact;
	size_t k;

	seed = s == NULL ? 7 : strtoull(s, NULL, 10);
	for (i = 0; i < rounds; i++) {
		memcpy(in.p, p, n);
		in.n = n;
		for (k = draw(MUTATIONS_MOST) + 1; k > 0; k--)
			mutate(&in);
		exact = malloc(in.n + 1);
		memcpy(exact, in.p, in.n);
		reader(exact, in.n);
		free(exact);
	}
}

#define ENTRY                                                                  \
	"{\"metadata\":{\"name\":\"i-1\",\"revision\":7},\"spec\":{"           \
	"\"address\":\"10.1.2.3:80\",\"born\":1796262953676,\"info\":{"        \
	"\"service\":\"s\",\"zone\":\"z\",\"slots\":4},\"status\":{"           \
	"\"state\":\"ready\",\"sequence\":3,\"cold_left\":\"10ms\"}}}"
#define CONFIG                                                                  \
	"{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"0000001f\"," \
	"\"routes\":{\"r1\":{\"host\":\"a.example\",\"path_prefix\":\"/x/\","   \
	"\"kind\":\"safe\",\"timeout\":\"1200ms\",\"target_latency\":\"0.3s\"," \
	"\"priority\":2,\"traffic_split\":[{\"service\":\"s1\",\"weight\":90}," \
	"{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":2}},"             \
	"\"services\":{\"s1\":{\"max_conns\":130,\"sharded\":true,"             \
	"\"warmup\":\"3s\"},\"s2\":{}},\"limits\":{\"max_header_bytes\":100}}}"
#define PAGE                                                                   \
	"{\"items\":[" ENTRY "," ENTRY "],\"has_more\":true,\"current_rev\":9}"
#define EVENTS                                                                 \
	"{\"events\":[{\"object\":" ENTRY                                      \
	",\"deleted\":false},{\"object\":" ENTRY                               \
	",\"deleted\":true}],\"current_rev\":9}"
#define OWNERS                                                                 \
	"{\"term\":3,\"write\":4,\"fence\":9,\"hold_ms\":3000,\"ranges\":["    \
	"[0,\"i-1#17\",3,\"\",0],[300,\"i-2\",4,\"i-1#17\",8],"                \
	"[65000,\"\",0,\"i-2\",9]]}"

/* Reads what a call to the store answered, and each object in it. */
static void
read_answer(enum store_op op, const char *p, size_t n)
{
	struct store *st = calloc(1, sizeof(*st));
	struct fleet_target t;
	const char *why;
	int i;

	st->op = op;
	st->status = 200;
	str_set(&st->body, p, n);
	objects_form.answer(st);
	for (i = 0; i < st->nfound; i++) {
		if (decode_target(st->found[i].raw, st->found[i].name, &t) == 0)
			CU_ASSERT(t.slots >= 1 && t.service[0] != '\0');
		site_free(decode_site_object(st->found[i].raw, &why));
	}
	json_decref(st->parsed);
	free(st->found);
	str_free(&st->body);
	free(st);
}

static void
read_page(const char *p, size_t n)
{
	read_answer(STORE_LIST, p, n);
}

static void
read_events(const char *p, size_t n)
{
	read_answer(STORE_WATCH, p, n);
}

static void
read_object(const char *p, size_t n)
{
	read_answer(STORE_GET, p, n);
}

static void
read_config(const char *p, size_t n)
{
	json_t *o = json_loadb(p, n, JSON_ALLOW_NUL, NULL);
	const char *why;

	site_free(decode_site_object(o, &why));
	json_decref(o);
}

static void
no_get(void *arg, const char *service)
{
}

static void
no_put(void *arg, const char *service, uint64_t base, const char *json)
{
}

static void
no_order(void *arg, const char *service, const struct key_order *o)
{
}

static void
no_event(void *arg, const char *service, const char *what)
{
}

static const struct keys_out nothing = {no_get, no_put, no_order, no_event};
static struct keys keys;

/* A controller takes over with what the store holds: whatever that is, its
 * ranges cover all keys in order. */
static void
read_owners(const char *p, size_t n)
{
	static const struct keys_conf conf = {
	    MS(3000), MS(1000), MS(1500), MS(500)};
	uint32_t at = 0;
	int i;

	keys_free(&keys);
	keys_init(&keys, "s", &conf, &nothing, NULL);
	keys_begin(&keys, 2, MS(1));
	keys_tick(&keys, MS(2));
	keys_got(&keys, MS(3), 1, 5, p, n);
	CU_ASSERT(keys.nranges > 0);
	for (i = 0; i < keys.nranges; i++) {
		CU_ASSERT(keys.ranges[i].from == at && keys.ranges[i].to >= at);
		at = keys.ranges[i].to + 1;
	}
	CU_ASSERT_EQUAL(at, KEYS);
}

static void
read_frame(const char *p, size_t n)
{
	size_t size;

	if (n >= FRAME_HEAD && frame_size((const uint8_t *)p, &size) == 0 &&
	    size <= n - FRAME_HEAD)
		frame_free(frame_unpack((const uint8_t *)p + FRAME_HEAD, size));
}

static void
no_report(const char *file, int line, const char *what)
{
}

/* Settings come from a file. */
static void
read_settings(const char *p, size_t n)
{
	char path[] = "/tmp/t_fuzz.XXXXXX";
	static struct conf c;
	int fd = mkstemp(path);
	FILE *f = fd < 0 ? NULL : fdopen(fd, "w");

	if (f == NULL)
		return;
	fwrite(p, 1, n, f);
	fclose(f);
	memset(&c, 0, sizeof(c));
	conf_read(&c, path, no_report);
	unlink(path);
}

static void
pages(void)
{
	fuzz(PAGE, strlen(PAGE), read_page);
	fuzz(EVENTS, strlen(EVENTS), read_events);
	fuzz(ENTRY, strlen(ENTRY), read_object);
}

static void
configurations(void)
{
	fuzz(CONFIG, strlen(CONFIG), read_config);
}

static void
owners(void)
{
	fuzz(OWNERS, strlen(OWNERS), read_owners);
	keys_free(&keys);
}

static void
settings(void)
{
	static const char text[] =
	    "[host]\nname = a\ndc = b\ncores = 0.5\n[listen]\ncallers = "
	    "127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\nadmin = "
	    "127.0.0.1:4\n[platform]\nform = objects\naddress = "
	    "127.0.0.1:5\n[bounds]\nheartbeat = 900ms\nmax_hold = 10s\n";

	fuzz(text, strlen(text), read_settings);
}

/* Fuzzes one frame. */
static void
fuzz_frame(const Gspar__Frame *f)
{
	struct bytes b;

	CU_ASSERT_EQUAL_FATAL(frame_pack(&b, f), 0);
	fuzz((const char *)b.p, b.n, read_frame);
	free(b.p);
}

static void
frames(void)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Owners o = GSPAR__OWNERS__INIT;
	Gspar__KeyOwners k = GSPAR__KEY_OWNERS__INIT, *list[] = {&k};
	Gspar__HostReport r = GSPAR__HOST_REPORT__INIT;
	uint32_t nums[] = {0, 70000, 5};
	char *names[] = {(char *)"i-1#5", (char *)"i-2"};

	k.service = (char *)"s";
	k.from = k.to = k.owner = k.state = nums;
	k.n_from = k.n_to = k.n_owner = k.n_state = 3;
	o.controller = (char *)"h1";
	o.targets = names;
	o.n_targets = 2;
	o.services = list;
	o.n_services = 1;
	f.body_case = GSPAR__FRAME__BODY_OWNERS;
	f.owners = &o;
	fuzz_frame(&f);
	r.addr = (char *)"10.0.0.1:1";
	r.dc = (char *)"z";
	f.body_case = GSPAR__FRAME__BODY_HOST_REPORT;
	f.host_report = &r;
	fuzz_frame(&f);
}

static const struct unit_test tests[] = {
    {"pages", pages},
    {"configurations", configurations},
    {"owners", owners},
    {"settings", settings},
    {"frames", frames},
};
UNIT_MAIN("fuzz", tests)
