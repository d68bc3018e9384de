/* Whether a host reaches the targets itself, or through which other host. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "reach.h"
#include "unit.h"

/* Time of a step of the simulation, and of a connection. */
#define STEP MS(5)
#define CONNECT_TIME MS(35)
#define HOSTS_MAX 2000
#define PENDING_MAX 16

/* The network around one host. */
struct world {
	usec now;
	int targets_ok;	    /* of ten probed targets, how many are reached */
	int fails_at_once;  /* else what fails hangs */
	const char *helper; /* the only host that reaches targets; NULL: all */
	int cut_dc;	    /* hosts of "north" do not reach targets */
	int probes;
	int tries;
	uint64_t round;
	struct {
		usec at; /* of the result; 0 if unused */
		int reached;
		const char *host;
	} pending[PENDING_MAX];
};

static struct reach r;
static struct reach_host hosts[HOSTS_MAX];

/* Adds what ends later to the pending results. */
static void
add_pending(struct world *w, const char *host, int reached)
{
	int i;

	if (!reached && !w->fails_at_once)
		return;
	for (i = 0; w->pending[i].at != 0; i++)
		;
	w->pending[i].at = w->now + CONNECT_TIME;
	w->pending[i].reached = reached;
	w->pending[i].host = host;
}

/* True if a host reaches targets. */
static int
helps(const struct world *w, const struct reach_host *h)
{
	if (w->cut_dc && strcmp(h->dc, "north") == 0)
		return (0);
	return (w->helper == NULL || strcmp(h->name, w->helper) == 0);
}

/* Delivers results that are due. */
static void
deliver(struct world *w)
{
	int i;

	for (i = 0; i < PENDING_MAX; i++) {
		if (w->pending[i].at == 0)
			continue;
		if (w->round != r.round_number) {
			w->pending[i].at = 0;
			continue;
		}
		if (w->pending[i].at > w->now)
			continue;
		w->pending[i].at = 0;
		if (w->pending[i].host == NULL)
			reach_target_done(&r, w->pending[i].reached);
		else
			reach_host_done(&r, w->pending[i].host,
			    w->pending[i].reached, w->now);
	}
}

/* Plays the time until `until`, or until a round ends. */
static void
play(struct world *w, usec until)
{
	const struct reach_host *h = NULL;
	uint64_t verdicts = r.verdicts;
	enum reach_action a;

	while (w->now < until && r.verdicts == verdicts) {
		deliver(w);
		while ((a = reach_next(&r, w->now, &h)) != REACH_WAIT) {
			w->round = r.round_number;
			if (a == REACH_PROBE_TARGET)
				add_pending(
				    w, NULL, w->probes++ % 10 < w->targets_ok);
			else {
				w->tries++;
				add_pending(w, h->name, helps(w, h));
			}
		}
		w->now += STEP;
	}
}

/* Makes a fleet of n hosts in `centres` data centres, of which the first is
 * this host. */
static void
make_fleet(int n, int centres, uint64_t seed)
{
	int i;

	for (i = 0; i < n; i++) {
		memset(&hosts[i], 0, sizeof(hosts[i]));
		snprintf(hosts[i].name, NAME_MAX_GS, "h%d", i);
		snprintf(hosts[i].addr, FLEET_ADDR, "10.0.0.%d:7201", i);
		if (i % centres == 0)
			name_copy(hosts[i].dc, NAME_MAX_GS, "north");
		else
			snprintf(hosts[i].dc, NAME_MAX_GS, "dc%d", i % centres);
	}
	reach_init(&r, "north", seed);
	reach_set_hosts(&r, hosts + 1, n - 1);
}

/* A host that has no doubt would probe for nothing. */
static void
no_doubt(void)
{
	struct world w = {.now = MS(1000), .targets_ok = 10};

	make_fleet(8, 3, 1);
	play(&w, MS(20000));
	CU_ASSERT_EQUAL(w.probes + w.tries, 0);
	CU_ASSERT_EQUAL(reach_timeout(&r, w.now), -1);
}

/* One lost target would be taken for a cut. */
static void
one_target_lost(void)
{
	struct world w = {.now = MS(1000), .targets_ok = 10};

	make_fleet(8, 3, 1);
	reach_doubt(&r);
	play(&w, MS(2000));
	CU_ASSERT_STRING_EQUAL(r.path.via, "");
	CU_ASSERT_EQUAL(r.verdicts, 1);
	CU_ASSERT_EQUAL(w.probes, 1);
	CU_ASSERT_EQUAL(w.tries, 0);
}

/* The same where most of the targets are lost. */
static void
most_targets_lost(void)
{
	struct world w = {.now = MS(1000), .targets_ok = 3, .probes = 9};

	make_fleet(8, 3, 1);
	reach_doubt(&r);
	play(&w, MS(2000));
	CU_ASSERT_STRING_EQUAL(r.path.via, "");
	CU_ASSERT_EQUAL(r.verdicts, 1);
}

/* Requests would fail for as long as a cut lasts, whatever way connections
 * fail. */
static void
cut_off(void)
{
	int at_once;

	for (at_once = 0; at_once <= 1; at_once++) {
		struct world w = {.now = MS(1000), .fails_at_once = at_once};

		make_fleet(8, 3, 1);
		reach_doubt(&r);
		play(&w, MS(3000));
		CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
		/* A request of 800 ms that has met the cut can still be
		 * served. */
		CU_ASSERT(w.now - MS(1000) <= MS(300));
		CU_ASSERT_STRING_EQUAL(
		    r.path.addr, hosts[atoi(r.path.via + 1)].addr);
		/* Near ones first: bytes between data centres cost. */
		CU_ASSERT_STRING_EQUAL(hosts[atoi(r.path.via + 1)].dc, "north");
	}
}

/* All hosts of a data centre are cut off, and do not know it yet. */
static void
centre_cut_off(void)
{
	static const struct {
		int n, centres;
	} sizes[] = {{8, 3}, {12, 3}, {65, 3}, {76, 4}, {90, 3}, {295, 5},
	    {490, 7}, {985, 5}, {2000, 5}};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct world w = {.now = MS(1000), .cut_dc = 1};

		make_fleet(sizes[i].n, sizes[i].centres, i + 1);
		reach_doubt(&r);
		play(&w, MS(3000));
		CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
		CU_ASSERT(w.now - MS(1000) <= MS(350));
		CU_ASSERT(w.tries <= REACH_TRIES_MAX);
	}
}

/* Where all hosts are cut off, or targets reset all new connections as they are
 * overloaded, no other host is a better way. */
static void
nobody_reaches(void)
{
	struct world w = {.now = MS(1000), .helper = "none"};

	make_fleet(8, 3, 1);
	reach_doubt(&r);
	play(&w, MS(3000));
	CU_ASSERT_STRING_EQUAL(r.path.via, "");
	CU_ASSERT(r.path.unreachable);
	CU_ASSERT_EQUAL(r.verdicts, 1);
	CU_ASSERT(w.tries <= REACH_TRIES_MAX);
	/* Rounds follow at intervals, without requests too. */
	w.probes = 0;
	play(&w, w.now + MS(250));
	CU_ASSERT_EQUAL(w.probes, 0);
	play(&w, w.now + MS(1000));
	CU_ASSERT(w.probes > 0);
	CU_ASSERT(r.path.unreachable);
	w.targets_ok = 10;
	play(&w, w.now + MS(1000));
	CU_ASSERT(!r.path.unreachable);
	CU_ASSERT_EQUAL(reach_timeout(&r, w.now), -1);
}

/* One host is left, and is found among many that are cut off. */
static void
one_host_left(void)
{
	static const int sizes[] = {8, 65, 295};
	char name[NAME_MAX_GS];
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct world w = {
		    .now = MS(1000), .fails_at_once = 1, .helper = name};

		make_fleet(sizes[i], 3, i + 7);
		snprintf(name, sizeof(name), "h%d", sizes[i] / 2);
		while (r.path.via[0] == '\0' && w.now < MS(300000)) {
			reach_doubt(&r);
			play(&w, w.now + MS(2000));
		}
		CU_ASSERT_STRING_EQUAL(r.path.via, name);
		/* Eight hosts: in the first two rounds. */
		CU_ASSERT(sizes[i] > 8 || w.now - MS(1000) < MS(1500));
	}
}

/* A way that comes and goes would cost callers more than staying away. */
static void
returns_when_sure(void)
{
	struct world w = {.now = MS(1000)};
	usec healed;

	make_fleet(8, 3, 1);
	reach_doubt(&r);
	play(&w, MS(3000));
	CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
	/* Rounds go on, and find nothing. */
	play(&w, w.now + MS(1000));
	play(&w, w.now + MS(1000));
	CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
	/* One good round between bad ones. */
	w.targets_ok = 10;
	play(&w, w.now + MS(1000));
	w.targets_ok = 0;
	play(&w, w.now + MS(1000));
	w.targets_ok = 10;
	healed = w.now;
	play(&w, w.now + MS(1000));
	CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
	play(&w, w.now + MS(1000));
	CU_ASSERT_STRING_EQUAL(r.path.via, "");
	CU_ASSERT(w.now - healed <= MS(1500));
	CU_ASSERT_EQUAL(reach_timeout(&r, w.now), -1);
}

/* The relaying host is lost, is cut off itself or refuses. */
static void
relaying_host_lost(void)
{
	struct world w = {.now = MS(1000)};
	char was[NAME_MAX_GS];
	usec lost;

	make_fleet(8, 3, 1);
	reach_doubt(&r);
	play(&w, MS(3000));
	name_copy(was, sizeof(was), r.path.via);
	w.now += MS(100);
	lost = w.now;
	/* What is said of another changes nothing. */
	reach_via_failed(&r, "other", w.now);
	CU_ASSERT(!r.via_failed);
	reach_via_failed(&r, was, w.now);
	play(&w, w.now + MS(1000));
	CU_ASSERT_STRING_NOT_EQUAL(r.path.via, "");
	CU_ASSERT_STRING_NOT_EQUAL(r.path.via, was);
	CU_ASSERT(w.now - lost <= MS(200));
}

/* Hosts that are cut off would all use the same other one. */
static void
spread(void)
{
	static const struct {
		int n, centres;
	} sizes[] = {
	    {12, 3}, {65, 3}, {90, 3}, {295, 5}, {490, 7}, {985, 5}, {2000, 5}};
	int load[HOSTS_MAX], i, cut, most;
	size_t s;

	for (s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		memset(load, 0, sizeof(load));
		cut = sizes[s].n / sizes[s].centres;
		for (i = 0; i < cut; i++) {
			struct world w = {
			    .now = MS(1000), .cut_dc = 1, .fails_at_once = 1};

			make_fleet(sizes[s].n, sizes[s].centres,
			    (uint64_t)i * 0x9e3779b97f4a7c15u);
			reach_doubt(&r);
			play(&w, MS(3000));
			CU_ASSERT_FATAL(r.path.via[0] != '\0');
			load[atoi(r.path.via + 1)]++;
		}
		for (most = 0, i = 0; i < sizes[s].n; i++)
			most = load[i] > most ? load[i] : most;
		CU_ASSERT(most <= 5);
	}
}

/* The loss of a data centre would be taken for the loss of all targets. */
static void
targets_apart(void)
{
	struct fleet_target list[30];
	struct fleet f = {.targets = list, .ntargets = 30};
	int chosen[REACH_TARGETS_MAX], n, i, south;
	uint64_t seed;

	memset(list, 0, sizeof(list));
	for (i = 0; i < 30; i++)
		list[i].dc = i < 28 ? "north" : "south";
	for (seed = 0; seed < 60; seed++) {
		n = reach_choose_targets(&f, seed, chosen, REACH_TARGETS_MAX);
		CU_ASSERT_EQUAL(n, REACH_TARGETS_MAX);
		for (south = 0, i = 0; i < n; i++)
			south += chosen[i] >= 28;
		CU_ASSERT(south >= 1 && south < n);
	}
	f.ntargets = 2;
	CU_ASSERT_EQUAL(
	    reach_choose_targets(&f, 5, chosen, REACH_TARGETS_MAX), 2);
	f.ntargets = 0;
	CU_ASSERT_EQUAL(
	    reach_choose_targets(&f, 5, chosen, REACH_TARGETS_MAX), 0);
	CU_ASSERT_EQUAL(
	    reach_choose_targets(NULL, 5, chosen, REACH_TARGETS_MAX), 0);
}

static const struct unit_test tests[] = {{"no doubt", no_doubt},
    {"one target lost", one_target_lost},
    {"most targets lost", most_targets_lost}, {"cut off", cut_off},
    {"centre cut off", centre_cut_off}, {"nobody reaches", nobody_reaches},
    {"one host left", one_host_left}, {"returns when sure", returns_when_sure},
    {"relaying host lost", relaying_host_lost}, {"spread", spread},
    {"targets apart", targets_apart}};
UNIT_MAIN("reach", tests)
