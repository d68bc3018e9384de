/* Site configurations: which rule matches a request, and which service it is
 * routed to. */
#include <string.h>

#include "site.h"
#include "unit.h"

/* Adds a rule. */
static struct rule *
add(struct site *site, const char *host, const char *prefix)
{
	struct rule *r = site_add_rule(site);

	str_set(&r->host, host, strlen(host));
	str_set(&r->prefix, prefix, strlen(prefix));
	return (r);
}

/* Finds the rule for a request. */
static const struct rule *
find(const struct site *site, const char *host, const char *path)
{
	struct str h = {(char *)host, strlen(host)};
	struct str p = {(char *)path, strlen(path)};

	return (site_find_rule(site, &h, &p));
}

/* Makes a configuration with rules for two hosts. */
static struct site *
make_site(void)
{
	struct site *site = site_new(4);

	add(site, "a.example", "/")->priority = 1;
	add(site, "b.example", "/x/")->priority = 2;
	add(site, "a.example", "/x/y/")->priority = 3;
	add(site, "a.example", "/x/")->priority = 4;
	site_finish(site);
	return (site);
}

static void
longest_prefix(void)
{
	struct site *site = make_site();

	CU_ASSERT_EQUAL(find(site, "a.example", "/x/y/z")->priority, 3);
	CU_ASSERT_EQUAL(find(site, "a.example", "/x/yy")->priority, 4);
	CU_ASSERT_EQUAL(find(site, "a.example", "/x")->priority, 1);
	CU_ASSERT_EQUAL(find(site, "A.Example", "/x/")->priority, 4);
	site_free(site);
}

static void
no_rule(void)
{
	struct site *site = make_site();

	CU_ASSERT_PTR_NULL(find(site, "b.example", "/y/"));
	CU_ASSERT_PTR_NULL(find(site, "c.example", "/"));
	CU_ASSERT_PTR_NULL(find(site, "a.example.org", "/"));
	site_free(site);
}

/*
 * A rule sends a tenth of its requests to a second service.  In any 200
 * consecutive requests its share is 9 to 11 %.
 */
static void
split(void)
{
	struct rule r = {.nbackends = 2, .total_weight = 100};
	uint64_t from, n;
	int second;

	r.backends[0].service = 5;
	r.backends[0].weight = 90;
	r.backends[1].service = 7;
	r.backends[1].weight = 10;
	for (from = 0; from < 5000; from += 37) {
		second = 0;
		for (n = from; n < from + 200; n++)
			second += rule_backend(&r, n) == 7;
		CU_ASSERT(second >= 18 && second <= 22);
	}
}

/* A service of weight 0 gets no requests. */
static void
weight_zero(void)
{
	struct rule r = {.nbackends = 2, .total_weight = 10};
	uint64_t n;

	r.backends[0].service = 1;
	r.backends[0].weight = 0;
	r.backends[1].service = 2;
	r.backends[1].weight = 10;
	for (n = 0; n < 500; n++)
		CU_ASSERT_EQUAL(rule_backend(&r, n), 2);
	r.total_weight = 0;
	CU_ASSERT_EQUAL(rule_backend(&r, 1), -1);
}

static const struct unit_test tests[] = {
    {"longest prefix", longest_prefix},
    {"no rule", no_rule},
    {"split", split},
    {"split with weight 0", weight_zero},
};
UNIT_MAIN("site", tests)
