/* How copies of the list of targets reach a fleet that starts. */
#include <stdio.h>
#include <string.h>

#include "copies.h"
#include "unit.h"

#define STEP MS(25)
#define REPORT_STEPS 8
#define BYTES 700000
#define DIGEST 7

/* A fleet of which one in twenty hosts has 1,000 Mbit/s and the others 20. */
struct world {
	struct hosts t;
	struct copies c;
	usec arrives[2000]; /* when the copy of a host is there; 0 if none */
	int own;	    /* copies from the controller */
	int n;
};

/* Makes a fleet in five data centres. */
static void
set_up(struct world *w, int n, size_t bytes)
{
	struct host_entry *h;
	char name[32];
	int i;

	memset(w, 0, sizeof(*w));
	w->n = n;
	w->c.digest = DIGEST;
	w->c.bytes = bytes;
	w->c.link_mbps = 1000;
	for (i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "h%d", i);
		h = hosts_add(&w->t, name);
		snprintf(h->dc, sizeof(h->dc), "dc%d", i % 5);
		h->link_mbps = i / 5 % 20 == 7 ? 1000 : 20;
	}
}

/* A report of a host that lacks the list. */
static void
ask(struct world *w, int i, usec now)
{
	struct host_entry *from, *to = &w->t.list[i];
	int slow = to->link_mbps;
	enum copy_source s = copies_choose(&w->c, &w->t, to, now, &from);

	if (s == COPY_NONE)
		return;
	w->own += s == COPY_OWN;
	if (s == COPY_HOST) {
		CU_ASSERT_EQUAL(from->fleet_reported, DIGEST);
		CU_ASSERT_STRING_EQUAL(from->dc, to->dc);
		slow = from->link_mbps < slow ? from->link_mbps : slow;
	}
	w->arrives[i] = now + copy_time(w->c.bytes, slow);
}

/* Plays until all hosts have the list, or `end`; returns when. */
static usec
play(struct world *w, usec end)
{
	struct host_entry *h;
	int i, step, have = 0;
	usec now;

	for (step = 0; have < w->n && step * STEP < end; step++) {
		now = MS(1000) + step * STEP;
		for (i = 0, have = 0; i < w->n; i++) {
			h = &w->t.list[i];
			if ((step + i) % REPORT_STEPS == 0) {
				h->last_heard = now;
				if (w->arrives[i] != 0 && now >= w->arrives[i])
					h->fleet_reported = DIGEST;
				else if (h->fleet_reported != DIGEST)
					ask(w, i, now);
			}
			have += h->fleet_reported == DIGEST;
		}
	}
	return (have < w->n ? end : step * STEP);
}

/* Guards against a list that takes the controller's link as long as there are
 * hosts. */
static void
fleet_starts(void)
{
	static const int sizes[] = {100, 300, 985, 2000};
	static struct world w;
	usec took;
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		set_up(&w, sizes[i], BYTES);
		took = play(&w, MS(30000));
		printf("%d hosts: %lld ms, %d copies from the controller\n",
		    sizes[i], (long long)(took / 1000), w.own);
		CU_ASSERT(took <= MS(4000));
		CU_ASSERT(w.own <= 150);
		hosts_free(&w.t);
	}
}

/* A small list comes from the controller, at once. */
static void
small_list(void)
{
	static struct world w;

	set_up(&w, 90, 20000);
	CU_ASSERT(play(&w, MS(30000)) <= MS(700));
	CU_ASSERT_EQUAL(w.own, 90);
	hosts_free(&w.t);
}

/* Copies that are lost are sent again, from elsewhere or by the controller. */
static void
copies_lost(void)
{
	static struct world w;
	struct host_entry *from, *to;
	int i;

	set_up(&w, 10, BYTES);
	for (i = 0; i < 10; i++)
		w.t.list[i].last_heard = MS(1000);
	to = &w.t.list[0];
	w.t.list[5].fleet_reported = DIGEST;
	CU_ASSERT_EQUAL(
	    copies_choose(&w.c, &w.t, to, MS(1000), &from), COPY_HOST);
	CU_ASSERT_PTR_EQUAL(from, &w.t.list[5]);
	CU_ASSERT_EQUAL(
	    copies_choose(&w.c, &w.t, to, MS(1200), &from), COPY_NONE);
	/* The host that was to send it has ended. */
	CU_ASSERT_EQUAL(
	    copies_choose(&w.c, &w.t, to, MS(3000), &from), COPY_OWN);
	hosts_free(&w.t);
}

static const struct unit_test tests[] = {
    {"fleet starts", fleet_starts},
    {"small list", small_list},
    {"copies lost", copies_lost},
};
UNIT_MAIN("copies", tests)
