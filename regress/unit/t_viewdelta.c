/* Views as differences: applied to its base, a difference gives the full view.
 */
#include <stdlib.h>
#include <string.h>

#include "unit.h"
#include "view.h"
#include "viewdelta.h"

#define SHARDS 8

static uint32_t owner[2][SHARDS];
static uint64_t fence[2][SHARDS];
static Gspar__ServiceView part[2];
static Gspar__ServiceView *list[2] = {&part[0], &part[1]};
static Gspar__View view[2];
static Gspar__DispatchView dispatch;
static Gspar__DispatchView *dispatches[1] = {&dispatch};
static char *names[] = {(char *)"t1", (char *)"t2", (char *)"t3"};

/* Sets up a view and its successor, equal but for their sequence numbers. */
static void
set_up(void)
{
	int i, n;

	gspar__dispatch_view__init(&dispatch);
	dispatch.target = names[0];
	dispatch.host = (char *)"h1";
	dispatch.addr = (char *)"127.0.0.1:81";
	for (i = 0; i < 2; i++) {
		for (n = 0; n < SHARDS; n++) {
			owner[i][n] = (uint32_t)(1 + n % 2);
			fence[i][n] = (uint64_t)(10 + n);
		}
		gspar__service_view__init(&part[i]);
		part[i].service = (char *)"s";
		part[i].targets = names;
		part[i].n_targets = 2;
		part[i].owner = owner[i];
		part[i].n_owner = SHARDS;
		part[i].fence = fence[i];
		part[i].n_fence = SHARDS;
		gspar__view__init(&view[i]);
		view[i].cell = (char *)"a";
		view[i].term = 3;
		view[i].seq = (uint64_t)(7 + i);
		view[i].dispatch = dispatches;
		view[i].n_dispatch = 1;
		view[i].services = &list[i];
		view[i].n_services = 1;
	}
}

/* A difference is small, and applied to its base it gives the full view. */
static void
restores_full_view(void)
{
	struct viewdelta d;
	Gspar__View *v;
	uint8_t buf[500];
	size_t n;

	set_up();
	owner[1][3] = 1;
	fence[1][3] = 99;
	fence[1][0] = 0;
	CU_ASSERT_EQUAL_FATAL(viewdelta_make(&d, &view[0], &view[1]), 0);
	CU_ASSERT_EQUAL(d.view.services[0]->n_changes, 2);
	n = gspar__view__pack(&d.view, buf);
	CU_ASSERT(n < gspar__view__get_packed_size(&view[1]) + 20);
	v = viewdelta_apply(&view[0], &d.view);
	viewdelta_free(&d);
	CU_ASSERT_PTR_NOT_NULL_FATAL(v);
	CU_ASSERT_EQUAL(v->since, 0);
	CU_ASSERT_EQUAL(view_number(v), view_number(&view[1]));
	CU_ASSERT_EQUAL(v->services[0]->n_changes, 0);
	CU_ASSERT_EQUAL(
	    memcmp(v->services[0]->owner, owner[1], sizeof(owner[1])), 0);
	CU_ASSERT_EQUAL(
	    memcmp(v->services[0]->fence, fence[1], sizeof(fence[1])), 0);
	gspar__view__free_unpacked(v, NULL);
}

/* Names of targets and dispatchers are left out of the difference if they are
 * the same, and restored from the base. */
static void
restores_names(void)
{
	struct viewdelta d;
	Gspar__View *v;
	size_t more;

	for (more = 0; more < 2; more++) {
		set_up();
		part[1].n_targets += more;
		view[1].n_dispatch -= more;
		CU_ASSERT_EQUAL_FATAL(
		    viewdelta_make(&d, &view[0], &view[1]), 0);
		CU_ASSERT_EQUAL(d.view.same_dispatch, more == 0);
		CU_ASSERT_EQUAL(d.view.services[0]->n_targets, 3 * more);
		v = viewdelta_apply(&view[0], &d.view);
		viewdelta_free(&d);
		CU_ASSERT_PTR_NOT_NULL_FATAL(v);
		CU_ASSERT_EQUAL(v->n_dispatch, 1 - more);
		CU_ASSERT_EQUAL(v->services[0]->n_targets, 2 + more);
		CU_ASSERT_STRING_EQUAL(v->services[0]->targets[1], "t2");
		if (more == 0)
			CU_ASSERT_STRING_EQUAL(v->dispatch[0]->host, "h1");
		CU_ASSERT(!v->same_dispatch && !v->services[0]->same_targets);
		gspar__view__free_unpacked(v, NULL);
	}
}

/* Applying a difference to another view than its base, or one with a shard out
 * of range, is refused: the result would have owners that never existed. */
static void
refuses_other_base(void)
{
	struct viewdelta d;

	set_up();
	owner[1][3] = 1;
	CU_ASSERT_EQUAL_FATAL(viewdelta_make(&d, &view[0], &view[1]), 0);
	view[0].seq--;
	CU_ASSERT_PTR_NULL(viewdelta_apply(&view[0], &d.view));
	CU_ASSERT_PTR_NULL(viewdelta_apply(NULL, &d.view));
	view[0].seq++;
	view[0].cell = (char *)"b";
	CU_ASSERT_PTR_NULL(viewdelta_apply(&view[0], &d.view));
	view[0].cell = (char *)"a";
	d.view.services[0]->changes[0]->shard = SHARDS;
	CU_ASSERT_PTR_NULL(viewdelta_apply(&view[0], &d.view));
	viewdelta_free(&d);
}

/* The full view is sent if there is no base of the same term and size, or if
 * too much changed. */
static void
full_view_if_needed(void)
{
	struct viewdelta d;
	int n;

	set_up();
	CU_ASSERT_EQUAL(viewdelta_make(&d, NULL, &view[1]), -1);
	for (n = 0; n < SHARDS; n++)
		fence[1][n]++;
	CU_ASSERT_EQUAL(viewdelta_make(&d, &view[0], &view[1]), -1);
	set_up();
	view[0].term = 2;
	CU_ASSERT_EQUAL(viewdelta_make(&d, &view[0], &view[1]), -1);
	set_up();
	part[0].n_owner = part[0].n_fence = SHARDS - 1;
	CU_ASSERT_EQUAL(viewdelta_make(&d, &view[0], &view[1]), -1);
}

static const struct unit_test tests[] = {
    {"restores full view", restores_full_view},
    {"restores names", restores_names},
    {"refuses other base", refuses_other_base},
    {"full view if needed", full_view_if_needed},
};
UNIT_MAIN("viewdelta", tests)
