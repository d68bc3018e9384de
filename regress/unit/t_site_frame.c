/*
 * Tests of encoding and decoding site configurations: a round trip changes
 * nothing, and invalid messages are refused.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site_change.h"
#include "site_frame.h"
#include "unit.h"

/* Returns a configuration with two services and three rules. */
static struct site *
make_site(void)
{
	struct site *site = site_new(3);
	struct rule *r;
	int i;

	site->version = 31;
	site->nservices = 2;
	strcpy(site->services[0].name, "keyed");
	site->services[0].keyed = 1;
	site->services[0].max_conns = 130;
	site->services[0].warmup = MS(3000);
	site->services[0].cold_start = MS(2500);
	site->services[0].cold_rate = 5.8;
	strcpy(site->services[1].name, "plain");
	site->head_max = 100;
	site->body_max = 67108864;
	site->head_time = MS(3000);
	site->idle_time = MS(15000);
	for (i = 0; i < 3; i++) {
		r = site_add_rule(site);
		str_set(&r->host, i < 2 ? "a.example" : "b.example", 9);
		str_set(&r->prefix, &"/xy/"[i], 4 - (size_t)i);
		r->idempotent = i == 1;
		r->timeout = MS(1200);
		r->aim = MS(300);
		r->attempts = 2;
		r->priority = i - 1;
		r->nbackends = i == 2 ? 2 : 1;
		r->backends[0].service = 1;
		r->backends[0].weight = 90;
		r->backends[1].weight = 10;
	}
	site_finish(site);
	return (site);
}

/* Encodes and decodes a configuration as on the wire. */
static struct site *
encode_decode(const struct site *site)
{
	struct site_frame f;
	Gspar__SiteTold *w;
	struct site *got;
	uint8_t *buf;
	size_t n;

	CU_ASSERT_EQUAL_FATAL(site_frame_fill(&f, site), 0);
	n = site_frame_size(&f);
	buf = malloc(n);
	CU_ASSERT_EQUAL(gspar__site_told__pack(&f.msg, buf), n);
	w = gspar__site_told__unpack(NULL, n, buf);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	got = site_frame_read(w);
	gspar__site_told__free_unpacked(w, NULL);
	site_frame_free(&f);
	free(buf);
	return (got);
}

/* A decoded configuration has all fields of the original. */
static void
round_trip(void)
{
	struct site *site = make_site(), *got = encode_decode(site);
	const struct rule *a, *b;
	int i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(got);
	CU_ASSERT_EQUAL(got->version, 31);
	CU_ASSERT_EQUAL(got->since, 0);
	CU_ASSERT_EQUAL(got->nservices, 2);
	CU_ASSERT_EQUAL(
	    memcmp(got->services, site->services, sizeof(site->services)), 0);
	CU_ASSERT_EQUAL(got->head_max, 100);
	CU_ASSERT_EQUAL(got->body_max, 67108864);
	CU_ASSERT_EQUAL(got->head_time, MS(3000));
	CU_ASSERT_EQUAL(got->idle_time, MS(15000));
	CU_ASSERT_EQUAL_FATAL(got->nrules, site->nrules);
	for (i = 0; i < site->nrules; i++) {
		a = &site->rules[i];
		b = &got->rules[i];
		CU_ASSERT_EQUAL(rule_cmp(a, b), 0);
		CU_ASSERT_STRING_EQUAL(a->host.p, b->host.p);
		CU_ASSERT_EQUAL(a->idempotent, b->idempotent);
		CU_ASSERT_EQUAL(a->timeout, b->timeout);
		CU_ASSERT_EQUAL(a->aim, b->aim);
		CU_ASSERT_EQUAL(a->attempts, b->attempts);
		CU_ASSERT_EQUAL(a->priority, b->priority);
		CU_ASSERT_EQUAL(a->total_weight, b->total_weight);
		CU_ASSERT_EQUAL(a->nbackends, b->nbackends);
		CU_ASSERT_EQUAL(a->backends[0].service, b->backends[0].service);
	}
	site_free(site);
	site_free(got);
}

/* A difference tells that a rule was removed. */
static void
difference(void)
{
	struct site *was = make_site(), *now = make_site(), *c, *got, *made;

	str_free(&now->rules[2].host);
	str_free(&now->rules[2].prefix);
	now->nrules = 2;
	now->version = 34;
	c = site_diff(was, now);
	got = encode_decode(c);
	CU_ASSERT_PTR_NOT_NULL_FATAL(got);
	CU_ASSERT_EQUAL(got->nrules, 1);
	made = site_apply(was, got);
	CU_ASSERT_PTR_NOT_NULL_FATAL(made);
	CU_ASSERT_EQUAL(made->nrules, 2);
	site_free(was);
	site_free(now);
	site_free(c);
	site_free(got);
	site_free(made);
}

/*
 * Indices out of range, names that are too long, mismatched counts and version
 * 0 are refused.
 */
static void
invalid_messages(void)
{
	struct site *site = make_site();
	struct site_frame f;
	char name[2 * NAME_MAX_GS];

	CU_ASSERT_EQUAL_FATAL(site_frame_fill(&f, site), 0);
	f.rules[0].host = 9;
	CU_ASSERT_PTR_NULL(site_frame_read(&f.msg));
	f.rules[0].host = 0;
	f.rules[0].service[0] = 2;
	CU_ASSERT_PTR_NULL(site_frame_read(&f.msg));
	f.rules[0].service[0] = 0;
	f.rules[0].n_weight = 0;
	CU_ASSERT_PTR_NULL(site_frame_read(&f.msg));
	f.rules[0].n_weight = 1;
	memset(name, 'a', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	f.services[1].name = name;
	CU_ASSERT_PTR_NULL(site_frame_read(&f.msg));
	f.services[1].name = site->services[1].name;
	f.msg.version = 0;
	CU_ASSERT_PTR_NULL(site_frame_read(&f.msg));
	site_frame_free(&f);
	site_free(site);
}

static const struct unit_test tests[] = {
    {"round trip", round_trip},
    {"difference", difference},
    {"invalid messages", invalid_messages},
};
UNIT_MAIN("site_frame", tests)
