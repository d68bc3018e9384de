/* The settings file: every error is reported with its line. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf.h"
#include "settings.h"
#include "unit.h"

static char errors[4096];

static void
on_error(const char *file, int line, const char *msg)
{
	char text[500];

	snprintf(text, sizeof(text), "%d: %s\n", line, msg);
	strncat(errors, text, sizeof(errors) - strlen(errors) - 1);
}

static struct conf c;

static int
read_text(const char *text)
{
	char name[] = "/tmp/gsconfXXXXXX";
	int fd = mkstemp(name), res;

	errors[0] = '\0';
	if (fd < 0 || write(fd, text, strlen(text)) < 0)
		return (-2);
	close(fd);
	res = conf_read(&c, name, on_error);
	unlink(name);
	return (res);
}

#define GOOD_BUT_PLATFORM                                                      \
	"[host]\nname = h1\ndc = aarhus\n[listen]\n"                           \
	"callers = 127.0.0.1:80\npeers = [::1]:81\nadmin = 127.0.0.1:82\n"     \
	"[platform]\n"
#define GOOD GOOD_BUT_PLATFORM "address = 127.0.0.1:83\n"

/* The size of a host may be left out, but if set it must be valid. */
static void
host_size(void)
{
	CU_ASSERT_EQUAL(read_text(GOOD), 0);
	CU_ASSERT_EQUAL(c.cores, 0);
	CU_ASSERT_EQUAL(
	    read_text(GOOD "[host]\ncores = 0.2\nlink_mbps = 10.0\n"), 0);
	CU_ASSERT_DOUBLE_EQUAL(c.cores, 0.2, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(c.link_mbps, 10, 1e-9);
	CU_ASSERT_NOT_EQUAL(read_text(GOOD "[host]\ncores = many\n"), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(errors, "cores: 'many'"));
	CU_ASSERT_EQUAL(read_text(GOOD), 0);
	CU_ASSERT_EQUAL(c.memory_mb, MEMORY_MB_DEFAULT);
	CU_ASSERT_EQUAL(c.descriptors, 0);
	CU_ASSERT_EQUAL(
	    read_text(GOOD "[host]\nmemory_mb = 260\ndescriptors = 4100\n"), 0);
	CU_ASSERT_EQUAL(c.memory_mb, 260);
	CU_ASSERT_EQUAL(c.descriptors, 4100);
	CU_ASSERT_NOT_EQUAL(read_text(GOOD "[host]\nmemory_mb = 0\n"), 0);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(errors, "memory_mb: '0' is out of range; allowed: 16 to"));
}

/* Only ablation builds can disable features.  Any other refuses settings that
 * ask for it, so that nobody runs without a safeguard or believes that one is
 * off. */
static void
ablation_refused(void)
{
	CU_ASSERT_NOT_EQUAL(read_text(GOOD "[ablation]\noff = shun\n"), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(errors, "unknown section [ablation]"));
}

static void
good(void)
{
	CU_ASSERT_EQUAL(read_text(GOOD), 0);
	CU_ASSERT_STRING_EQUAL(c.host, "h1");
	CU_ASSERT_STRING_EQUAL(c.peers, "[::1]:81");
	CU_ASSERT_EQUAL(c.control_lease_ms, 600);
	CU_ASSERT_EQUAL(read_text(GOOD "[leases]\nhost_ms = 2000\n"), 0);
	CU_ASSERT_EQUAL(c.host_lease_ms, 2000);
	CU_ASSERT_EQUAL(c.nplatforms, 1);
	CU_ASSERT_EQUAL(
	    read_text(GOOD_BUT_PLATFORM "address = 127.0.0.1:83  [::1]:84\n"),
	    0);
	CU_ASSERT_EQUAL(c.nplatforms, 2);
	CU_ASSERT_STRING_EQUAL(c.platform[1], "[::1]:84");
	CU_ASSERT_STRING_EQUAL(c.source, "");
	CU_ASSERT_EQUAL(read_text(GOOD "[host]\nsource = 127.0.0.2\n"), 0);
	CU_ASSERT_STRING_EQUAL(c.source, "127.0.0.2");
}

#define OBJECTS                                                                \
	"[host]\nname = h1\ndc = aarhus\n[listen]\n"                           \
	"callers = 127.0.0.1:80\nready = 127.0.0.1:85\npeers = 127.0.0.1:81\n" \
	"admin = 127.0.0.1:82\n[platform]\nform = objects\n"                   \
	"address = 127.0.0.1:83\n[bounds]\n"
#define BOUNDS                                                                 \
	"drain = 2000ms\ngrace = 6s\nstop_of_another = x\n"                    \
	"budget_window=10s\nretry_budget_ratio=0.2\n"                          \
	"retry_budget_slack=64\nmax_hold=1.5s\nheartbeat=870ms\n"

/* Bounds by the platform's names; names that are not used here are ignored. */
static void
bounds(void)
{
	settings_add_aliases();
	CU_ASSERT_EQUAL(read_text(OBJECTS BOUNDS "config_apply=2s\n"), 0);
	CU_ASSERT_EQUAL(c.form, FORM_OBJECTS);
	CU_ASSERT_EQUAL(c.bounds.leave_ms, 2000);
	CU_ASSERT_EQUAL(c.bounds.stop_ms, 6000);
	CU_ASSERT_EQUAL(c.bounds.hold_max_ms, 1500);
	CU_ASSERT_EQUAL(c.bounds.retry_share, 0.2);
	CU_ASSERT_EQUAL(read_text(OBJECTS BOUNDS), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(errors, "missing: apply in section"));
	CU_ASSERT_EQUAL(read_text(OBJECTS BOUNDS "config_apply=soon\n"), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    errors, "21: apply: 'soon' is not a time; allowed: a number"));
	CU_ASSERT_EQUAL(
	    read_text(OBJECTS BOUNDS "config_apply=2s\nmax_hold=3h\n"), -1);
	CU_ASSERT_EQUAL(
	    read_text(OBJECTS BOUNDS "config_apply=2s\n[platform]\nform=x\n"),
	    -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(errors, "allowed: native, objects"));
	conf_set_aliases(NULL, 0);
}

static void
faults(void)
{
	static const struct {
		const char *text, *expected;
	} f[] = {
	    {GOOD "[leases]\nhost_ms = 99999999\n", "11: host_ms: '99999999'"},
	    {GOOD "[leases]\nhost_ms = x\n", "allowed: 300 to 10000"},
	    {GOOD "[leases]\nrenew_ms = 500\n", "a third of control_ms"},
	    {GOOD "[leases]\ngrant_ms = 1500\n", "at most host_ms"},
	    {GOOD "[leases]\nfoo = 1\n", "11: unknown key 'foo'"},
	    {GOOD "[lease]\nfoo = 1\n", "unknown section [lease]"},
	    {GOOD "[host]\nname = h2\n", "name: set twice"},
	    {"[host]\nname = h 1\n", "2: name: 'h 1' is not a name"},
	    {"[listen]\npeers = db.example:80\n", "2: peers: 'db.example:80'"},
	    {"[listen]\npeers = 127.0.0.1:0\n", "is not an address"},
	    {"[listen]\npeers = 127.0.0.1\n", "is not an address"},
	    {GOOD "[host]\nsource = 127.0.0.1:80\n", "11: source: '127.0.0.1:"},
	    {GOOD_BUT_PLATFORM "address = 127.0.0.1:83 db:84\n", "'db:84'"},
	    {GOOD_BUT_PLATFORM "address =\n", "'' is not an address"},
	    {GOOD_BUT_PLATFORM "address = 1.1.1.1:1 1.1.1.1:1 1.1.1.1:1 "
			       "1.1.1.1:1 1.1.1.1:1\n",
		"allowed: 1 to 4"},
	    {"[host]\nname\n", "neither section"},
	    {"[host]\nname = h1\n", "missing: address in section [platform]"},
	};
	size_t i;

	for (i = 0; i < sizeof(f) / sizeof(f[0]); i++) {
		CU_ASSERT_EQUAL(read_text(f[i].text), -1);
		CU_ASSERT_PTR_NOT_NULL(strstr(errors, f[i].expected));
	}
	errors[0] = '\0';
	CU_ASSERT_EQUAL(conf_read(&c, "/nowhere/at.all", on_error), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(errors, "cannot be read"));
}

static const struct unit_test tests[] = {{"good", good}, {"size", host_size},
    {"bounds", bounds}, {"faults", faults},
    {"ablation refused", ablation_refused}};
UNIT_MAIN("conf", tests)
