/*
 * Tests the controller of a cell in virtual time: a service of 8 shards on two
 * targets, hosts that report, and a platform whose answers may be lost.
 */
#include <stdlib.h>
#include <string.h>

#include "cell.h"
#include "unit.h"

#define ENTRY                                                                  \
	"{\"name\":\"s\",\"owner\":\"o\",\"class\":\"lookup\",\"shards\":8,"   \
	"\"cells\":[{\"dcs\":[\"a\"],\"first\":0,\"last\":7,\"targets\":["     \
	"{\"name\":\"t1\",\"dc\":\"a\",\"address\":\"127.0.0.1:1\","           \
	"\"slots\":4%s},"                                                      \
	"{\"name\":\"t2\",\"dc\":\"a\",\"address\":\"127.0.0.1:2\","           \
	"\"slots\":4}]}]}"

/* The object in the platform, and the pending requests for it. */
static struct {
	uint64_t version;
	char *json;
	int gets;
	char *put;
	uint64_t base;
	int changes;
} platform;

static struct cell c;
static uint64_t seq;

static void
on_get(void *arg, const char *service)
{
	platform.gets++;
}

static void
on_put(void *arg, const char *service, uint64_t base, char *json)
{
	free(platform.put);
	platform.put = json;
	platform.base = base;
}

static char balance_event[400]; /* last event about balancing */

static void
on_changed(void *arg)
{
	platform.changes++;
}

static void
on_event(void *arg, const char *what)
{
	if (strstr(what, "balance") != NULL)
		name_copy(balance_event, sizeof(balance_event), what);
}

static const struct cell_callbacks out = {on_get, on_put, on_changed, on_event};

/* Applies the pending write; false if its base version is outdated. */
static int
apply_write(void)
{
	if (platform.put == NULL || platform.base != platform.version)
		return (0);
	free(platform.json);
	platform.json = platform.put;
	platform.put = NULL;
	platform.version++;
	return (1);
}

/* Lets the platform handle and answer all pending requests. */
static void
platform_answer(usec now)
{
	if (platform.gets > 0) {
		platform.gets = 0;
		cell_get_done(&c, now, "s", platform.json != NULL,
		    platform.version, platform.json,
		    platform.json == NULL ? 0 : strlen(platform.json));
	}
	if (platform.put != NULL) {
		if (apply_write())
			cell_put_done(&c, now, "s", PUT_DONE, platform.version);
		else
			cell_put_done(
			    &c, now, "s", PUT_CONFLICT, platform.version);
	}
}

/* A host's report on both targets, and its duties. */
struct host_report {
	const char *host;
	uint64_t boot;
	int down[2];	 /* reported down and inactive */
	int inactive[2]; /* answering again, nothing granted */
	int unreported[2];
	uint32_t busy[2]; /* thousandths of a slot; 0: not reported */
	uint64_t epoch[2];
	uint64_t ack;
	int stopping;
	const Gspar__Freed *freed;
	int nduties;
};

/* Sends a host's report, runs the controller and stores the duties. */
static void
report(struct host_report *h, usec now)
{
	static char *names[] = {(char *)"t1", (char *)"t2"};
	Gspar__LeaseAsk req = GSPAR__LEASE_ASK__INIT;
	Gspar__LeaseGive reply = GSPAR__LEASE_GIVE__INIT;
	Gspar__TargetState ts[2], *list[2];
	Gspar__Freed *freed = (Gspar__Freed *)h->freed;
	Gspar__Duty duties[4];
	int i, n;

	req.boot = h->boot;
	req.dc = (char *)"a";
	req.seq = ++seq;
	req.ack = h->ack;
	req.stopping = h->stopping;
	req.targets = list;
	for (i = 0; i < 2; i++) {
		if (h->unreported[i] || h->epoch[i] == 0)
			continue;
		gspar__target_state__init(&ts[i]);
		ts[i].target = names[i];
		ts[i].epoch = h->epoch[i];
		ts[i].granted = !h->down[i] && !h->inactive[i];
		ts[i].up = !h->down[i];
		ts[i].has_loads = h->busy[i] > 0;
		ts[i].rest_busy = h->busy[i];
		if (i == 0 && freed != NULL) {
			ts[i].freed = &freed;
			ts[i].n_freed = 1;
		}
		list[req.n_targets++] = &ts[i];
	}
	cell_lease_request(&c, now, h->host, &req);
	cell_tick(&c, now, 1, 1);
	platform_answer(now);
	n = cell_lease_reply(&c, now, h->host, &req, &reply, duties, 4);
	h->nduties = n;
	for (i = 0; i < n; i++)
		h->epoch[strcmp(duties[i].target, "t2") == 0] = duties[i].epoch;
	h->ack = seq;
}

/* Applies the entry; leaving is inserted into the object of t1. */
static void
configure(const char *leaving)
{
	char text[2000], why[200];
	struct entry *e;

	snprintf(text, sizeof(text), ENTRY, leaving);
	e = entry_parse(text, strlen(text), why, sizeof(why));
	CU_ASSERT_PTR_NOT_NULL_FATAL(e);
	CU_ASSERT_EQUAL(cell_configure(&c, e), 0);
	entry_free(e);
}

/* Starts a cell whose shards are placed, with h dispatching for both targets.
 */
static void
start(struct host_report *h)
{
	struct cell_times times = {MS(1300), MS(200)};
	usec now;

	free(platform.json);
	free(platform.put);
	memset(&platform, 0, sizeof(platform));
	cell_free(&c);
	cell_init(&c, "a", &times, &out, NULL, 99);
	configure("");
	cell_begin(&c, 1, 0);
	for (now = MS(10); now < MS(3000); now += MS(50)) {
		cell_tick(&c, now, now > MS(1400), now > MS(1400));
		platform_answer(now);
		if (now > MS(1400))
			report(h, now);
	}
}

static int
count_owned(const char *target)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < 8; i++) {
		if (c.services[0].owner[i] != CELL_NONE &&
		    strcmp(c.targets[c.services[0].owner[i]].conf.name,
			target) == 0)
			n++;
	}
	return (n);
}

/* The first placement spreads the shards evenly and gives them fences. */
static void
places_evenly(void)
{
	struct host_report h = {.host = "h1", .boot = 1};

	start(&h);
	CU_ASSERT_EQUAL(h.nduties, 2);
	CU_ASSERT_EQUAL(count_owned("t1"), 4);
	CU_ASSERT_EQUAL(count_owned("t2"), 4);
	CU_ASSERT(c.services[0].fence[0] > 0);
}

/*
 * The shards of a target that is down and holds no grant are assigned to the
 * other one under higher fences, and stay there when the first comes back.
 */
static void
lost_target_reassigned(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	uint64_t fence, epoch;
	usec now;

	start(&h);
	fence = c.services[0].top_fence;
	epoch = h.epoch[0];
	h.down[0] = 1;
	report(&h, MS(3100));
	report(&h, MS(3150));
	CU_ASSERT_EQUAL(count_owned("t2"), 8);
	CU_ASSERT(c.services[0].top_fence > fence);
	h.down[0] = 0;
	h.inactive[0] = 1;
	for (now = MS(3200); now < MS(3400); now += MS(50))
		report(&h, now);
	CU_ASSERT_EQUAL(count_owned("t1"), 0);
	CU_ASSERT(h.epoch[0] > epoch);
}

/*
 * The dispatcher of both targets dies.  They are given to another host only
 * after its lease has lapsed.
 */
static void
dead_host_lease_awaited(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct host_report h2 = {.host = "h2", .boot = 2};
	usec now, last = 0;

	start(&h);
	report(&h, MS(3100));
	for (now = MS(3150); now < MS(6000); now += MS(50)) {
		report(&h2, now);
		if (h2.nduties > 0)
			break;
		last = now;
	}
	CU_ASSERT(now > MS(3100 + 1300));
	CU_ASSERT(now < MS(3100 + 1500));
	CU_ASSERT(last > 0);
}

/* A host whose lease lapsed in an outage gets duties again afterwards. */
static void
lapsed_host_gets_duties(void)
{
	struct host_report h = {.host = "h1", .boot = 1};

	start(&h);
	cell_tick(&c, MS(9000), 1, 1);
	CU_ASSERT_EQUAL(c.targets[0].dispatcher, CELL_NONE);
	h.unreported[0] = h.unreported[1] = 1;
	report(&h, MS(9100));
	CU_ASSERT_EQUAL(h.nduties, 2);
}

/*
 * A report without a target releases it only if the host has received the
 * reply that assigned it; a request sent before that does not release it.
 */
static void
early_request_is_no_release(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct host_report h2 = {.host = "h2", .boot = 2};

	start(&h);
	h.unreported[0] = h.unreported[1] = 1;
	h.ack = 0;
	report(&h, MS(3100));
	report(&h2, MS(3110));
	CU_ASSERT_EQUAL(h2.nduties, 0);
	report(&h, MS(3150));
	CU_ASSERT(c.targets[0].dispatcher == CELL_NONE || h2.nduties >= 0);
}

/* The targets of a stopping host are handed over before its lease lapses. */
static void
stopping_host_hands_over(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct host_report h2 = {.host = "h2", .boot = 2};

	start(&h);
	CU_ASSERT(cell_handover_done(&c));
	report(&h2, MS(3050));
	h.stopping = 1;
	report(&h, MS(3100));
	report(&h, MS(3150));
	CU_ASSERT_EQUAL(h.nduties, 0);
	h.unreported[0] = h.unreported[1] = 1;
	report(&h, MS(3200));
	CU_ASSERT(!cell_handover_done(&c));
	report(&h2, MS(3210));
	/* Assigned, but h2 has not reported them yet. */
	CU_ASSERT(!cell_handover_done(&c));
	report(&h2, MS(3211));
	CU_ASSERT_EQUAL(h2.nduties, 2);
	CU_ASSERT(cell_handover_done(&c));
}

/* The shards of a leaving target move only after they are released. */
static void
leaving_target_drains(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	Gspar__Freed f = GSPAR__FREED__INIT;
	uint32_t shards[8], i;

	start(&h);
	configure(",\"leaving\":true");
	report(&h, MS(3100));
	CU_ASSERT_EQUAL(count_owned("t1"), 4);
	for (i = 0; i < 8; i++)
		shards[i] = i;
	f.service = (char *)"s";
	f.shards = shards;
	f.n_shards = 8;
	/* A release under an older view is ignored. */
	f.view = c.term << 32 | (c.view_seq - 1);
	h.freed = &f;
	report(&h, MS(3150));
	CU_ASSERT_EQUAL(count_owned("t1"), 4);
	f.view = c.term << 32 | c.view_seq;
	report(&h, MS(3200));
	report(&h, MS(3250));
	CU_ASSERT_EQUAL(count_owned("t2"), 8);
}

/* A write whose answer was lost is recognized by its id and not repeated. */
static void
lost_write_answer(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	uint64_t version;

	start(&h);
	version = platform.version;
	h.down[0] = 1;
	c.targets[0].granted = 0;
	c.targets[0].up = 0;
	c.targets[0].reported = 1;
	cell_tick(&c, MS(3100), 1, 1);
	CU_ASSERT_PTR_NOT_NULL(platform.put);
	CU_ASSERT(apply_write());
	cell_put_done(&c, MS(3110), "s", PUT_UNKNOWN, 0);
	CU_ASSERT_EQUAL(count_owned("t2"), 4);
	cell_tick(&c, MS(3400), 1, 1);
	platform_answer(MS(3410));
	CU_ASSERT_EQUAL(count_owned("t2"), 8);
	CU_ASSERT_EQUAL(platform.version, version + 1);
}

/*
 * A new controller's claim changes the version of the assignment, so that the
 * platform refuses a delayed write of an earlier controller.
 */
static void
claim_blocks_earlier_writes(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	uint64_t base;

	start(&h);
	base = platform.version;
	cell_end(&c);
	cell_begin(&c, 2, MS(4000));
	CU_ASSERT(!cell_ready(&c));
	cell_tick(&c, MS(4010), 0, 0);
	platform_answer(MS(4020));
	cell_tick(&c, MS(4300), 0, 0);
	platform_answer(MS(4310));
	CU_ASSERT(cell_ready(&c));
	CU_ASSERT(platform.version > base);
	/* The reported dispatchers are kept; no shard has moved. */
	platform.changes = 0;
	report(&h, MS(4320));
	/* Routers are notified: without a view they have no routes. */
	CU_ASSERT(platform.changes > 0);
	CU_ASSERT_EQUAL(h.nduties, 2);
	CU_ASSERT_EQUAL(count_owned("t1"), 4);
}

/* Reports name only the target, so no two services may share its name. */
static void
target_names_are_unique(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct entry e;
	struct target_conf t = {.name = "t1"};

	start(&h);
	memset(&e, 0, sizeof(e));
	name_copy(e.name, sizeof(e.name), "other");
	name_copy(e.cells[0].name, CELL_NAME_MAX, "a");
	e.shards = 8;
	e.cells[0].last = 7;
	e.cells[0].targets = &t;
	e.cells[0].ntargets = 1;
	e.ncells = 1;
	CU_ASSERT_EQUAL(cell_configure(&c, &e), -1);
	name_copy(t.name, sizeof(t.name), "u1");
	CU_ASSERT_EQUAL(cell_configure(&c, &e), 0);
}

/* Lets a host of a data centre send a report without targets. */
static void
report_from(const char *host, uint64_t boot, const char *dc, usec now)
{
	Gspar__LeaseAsk req = GSPAR__LEASE_ASK__INIT;

	req.boot = boot;
	req.dc = (char *)dc;
	cell_lease_request(&c, now, host, &req);
}

/*
 * One standby is in another data centre even if the controller's has enough
 * hosts: a controller cut off with all its standbys would never be replaced.
 */
static void
standby_in_other_dc(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct member got[STANDBYS_MAX];
	struct control_record r = {.term = 1};

	start(&h);
	report(&h, MS(3000));
	report_from("h2", 2, "a", MS(3000));
	report_from("h3", 3, "a", MS(3000));
	report_from("h4", 4, "b", MS(3000));
	report_from("h5", 5, "b", MS(3000));
	r.nstandby = 2;
	r.standby[0] = (struct member){"h2", 2, ""};
	r.standby[1] = (struct member){"h3", 3, ""};
	CU_ASSERT_EQUAL(
	    cell_choose_standbys(&c, MS(3010), "h1", "a", &r, got), 2);
	CU_ASSERT_STRING_EQUAL(got[0].host, "h4");
	CU_ASSERT_STRING_EQUAL(got[1].host, "h2");
	/* Present standbys are kept. */
	r.standby[0] = (struct member){"h5", 5, ""};
	CU_ASSERT_EQUAL(
	    cell_choose_standbys(&c, MS(3010), "h1", "a", &r, got), 2);
	CU_ASSERT_STRING_EQUAL(got[0].host, "h5");
	CU_ASSERT_STRING_EQUAL(got[1].host, "h3");
}

/* The shards of a service in use cannot be changed. */
static void
shards_are_fixed(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	struct entry e;
	struct target_conf t = {.name = "t1"};

	start(&h);
	memset(&e, 0, sizeof(e));
	name_copy(e.name, sizeof(e.name), "s");
	name_copy(e.cells[0].name, CELL_NAME_MAX, "a");
	e.cells[0].last = 15;
	e.cells[0].targets = &t;
	e.cells[0].ntargets = 1;
	e.ncells = 1;
	CU_ASSERT_EQUAL(cell_configure(&c, &e), -1);
}

/* The log tells why a shard was moved for balance. */
static void
balance_is_logged(void)
{
	struct host_report h = {.host = "h1", .boot = 1};
	usec now;

	start(&h);
	balance_event[0] = '\0';
	h.busy[0] = 1;
	h.busy[1] = 1;
	for (now = MS(3000); now < MS(4000); now += MS(50))
		report(&h, now);
	CU_ASSERT_STRING_EQUAL(balance_event, "");
	h.busy[0] = 900;
	for (; now < MS(6000) && balance_event[0] == '\0'; now += MS(50))
		report(&h, now);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(balance_event, "s: balance moves 1, first shard "));
	CU_ASSERT_PTR_NOT_NULL(strstr(balance_event, " from t1 ("));
	CU_ASSERT_PTR_NOT_NULL(strstr(balance_event, " to t2 (0.00 of "));
	CU_ASSERT_PTR_NOT_NULL(strstr(balance_event, " times the mean"));
}

static const struct unit_test tests[] = {
    {"places evenly", places_evenly},
    {"lost target reassigned", lost_target_reassigned},
    {"dead host lease awaited", dead_host_lease_awaited},
    {"lapsed host gets duties", lapsed_host_gets_duties},
    {"early request is no release", early_request_is_no_release},
    {"stopping host hands over", stopping_host_hands_over},
    {"leaving target drains", leaving_target_drains},
    {"lost write answer", lost_write_answer},
    {"claim blocks earlier writes", claim_blocks_earlier_writes},
    {"target names are unique", target_names_are_unique},
    {"standby in other dc", standby_in_other_dc},
    {"shards are fixed", shards_are_fixed},
    {"balance is logged", balance_is_logged},
};

int
main(void)
{
	int res = unit_run("cell", tests, sizeof(tests) / sizeof(tests[0]));

	cell_free(&c);
	free(platform.json);
	free(platform.put);
	return (res);
}
