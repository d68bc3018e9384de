#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INI_STOP_ON_FIRST_ERROR 0
#include <ini.h>

#include "conf.h"
#include "feature.h"

enum kind { K_NAME, K_ADDR, K_PLATFORMS, K_INT, K_FORM, K_SPAN, K_REAL };

struct key {
	const char *section;
	const char *name;
	enum kind kind;
	size_t at;
	int low;
	int high;
};

#define AT(f) offsetof(struct conf, f)
static const struct key keys[] = {
    {"host", "name", K_NAME, AT(host), 0, 0},
    {"host", "dc", K_NAME, AT(dc), 0, 0},
    {"host", "cores", K_REAL, AT(cores), 0, 4096},
    {"host", "link_mbps", K_REAL, AT(link_mbps), 0, 1000000},
    {"listen", "callers", K_ADDR, AT(callers), 0, 0},
    {"listen", "peers", K_ADDR, AT(peers), 0, 0},
    {"listen", "reached", K_ADDR, AT(reached), 0, 0},
    {"listen", "admin", K_ADDR, AT(admin), 0, 0},
    {"listen", "ready", K_ADDR, AT(ready), 0, 0},
    {"platform", "address", K_PLATFORMS, AT(platform), 0, 0},
    {"platform", "form", K_FORM, AT(form), 0, 0},
    {"bounds", "leave", K_SPAN, AT(bounds.leave_ms), 100, 60000},
    {"bounds", "stop", K_SPAN, AT(bounds.stop_ms), 500, 600000},
    {"bounds", "apply", K_SPAN, AT(bounds.apply_ms), 100, 60000},
    {"bounds", "retry_window", K_SPAN, AT(bounds.retry_window_ms), 100, 600000},
    {"bounds", "hold_max", K_SPAN, AT(bounds.hold_max_ms), 500, 600000},
    {"bounds", "retry_share", K_REAL, AT(bounds.retry_share), 0, 10},
    {"bounds", "retry_slack", K_REAL, AT(bounds.retry_slack), 0, 100000},
    {"bounds", "heartbeat", K_SPAN, AT(bounds.heartbeat_ms), 50, 60000},
    {"bounds", "evacuate", K_SPAN, AT(bounds.evacuate_ms), 500, 60000},
    {"leases", "control_ms", K_INT, AT(control_lease_ms), 200, 10000},
    {"leases", "host_ms", K_INT, AT(host_lease_ms), 300, 10000},
    {"leases", "renew_ms", K_INT, AT(renew_ms), 20, 2000},
    {"leases", "grant_ms", K_INT, AT(grant_ms), 200, 10000},
};
#define NKEYS (sizeof(keys) / sizeof(keys[0]))

struct reading {
	struct conf *conf;
	const char *file;
	conf_bad_fn bad;
	int line;
	int faults;
	unsigned char seen[NKEYS];
	FILE *in;
};

static const struct conf_alias *aliases;
static int naliases;

/* Sets the platform's names for the keys of section [bounds]. */
void
conf_aliases(const struct conf_alias *list, int n)
{
	aliases = list;
	naliases = n;
}

/* Returns the key that a name in section [bounds] stands for, or NULL for a
 * name that is not used here. */
static const char *
bound_name(const char *name)
{
	int i;

	for (i = 0; i < naliases; i++) {
		if (strcmp(aliases[i].theirs, name) == 0)
			return (aliases[i].ours);
	}
	return (naliases > 0 ? NULL : name);
}

/*
 * Splits "IP:PORT" ("[IP]:PORT" for IPv6).  Returns 0, or -1 if either part is
 * invalid.  Host names are not resolved: a lookup may hang in a network
 * partition, when this host has to keep working.
 */
int
addr_split(const char *addr, char *ip, size_t ipsize, int *port)
{
	struct in6_addr a6;
	struct in_addr a4;
	const char *colon, *first;
	char *end;
	long n;
	size_t len;

	colon = strrchr(addr, ':');
	if (colon == NULL || colon == addr)
		return (-1);
	first = addr;
	len = (size_t)(colon - addr);
	if (addr[0] == '[' && colon[-1] == ']') {
		first++;
		len -= 2;
	}
	if (len >= ipsize)
		return (-1);
	memcpy(ip, first, len);
	ip[len] = '\0';
	if (inet_pton(AF_INET, ip, &a4) != 1 &&
	    inet_pton(AF_INET6, ip, &a6) != 1)
		return (-1);
	errno = 0;
	n = strtol(colon + 1, &end, 10);
	if (errno != 0 || end == colon + 1 || *end != '\0' || n < 1 ||
	    n > 65535)
		return (-1);
	*port = (int)n;
	return (0);
}

/* Reports an error; reading continues, so that one run shows all errors. */
static void __attribute__((format(printf, 3, 4)))
fault(struct reading *r, int line, const char *fmt, ...)
{
	char what[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(what, sizeof(what), fmt, ap);
	va_end(ap);
	r->bad(r->file, line, what);
	r->faults++;
}

/* Stores an address.  Returns 0, or -1 after reporting an invalid one. */
static int
store_addr(struct reading *r, const struct key *k, char *at, const char *value)
{
	char ip[ADDR_MAX_GS];
	int port;

	if (strlen(value) >= ADDR_MAX_GS ||
	    addr_split(value, ip, sizeof(ip), &port) != 0) {
		fault(r, r->line,
		    "%s: '%s' is not an address; allowed: an IP number, "
		    "':' and a port from 1 to 65535",
		    k->name, value);
		return (-1);
	}
	name_copy(at, ADDR_MAX_GS, value);
	return (0);
}

/* Stores the platform's addresses, which are separated by blanks. */
static void
store_platforms(struct reading *r, const struct key *k, const char *value)
{
	struct conf *c = r->conf;
	char text[PLATFORMS_MAX * ADDR_MAX_GS * 2], *word, *rest;

	if (name_copy(text, sizeof(text), value) != 0) {
		fault(r, r->line, "%s: too long", k->name);
		return;
	}
	c->nplatforms = 0;
	for (word = strtok_r(text, " \t", &rest); word != NULL;
	     word = strtok_r(NULL, " \t", &rest)) {
		if (c->nplatforms == PLATFORMS_MAX) {
			fault(r, r->line,
			    "%s: too many addresses; allowed: 1 to %d", k->name,
			    PLATFORMS_MAX);
			return;
		}
		if (store_addr(r, k, c->platform[c->nplatforms], word) != 0)
			return;
		c->nplatforms++;
	}
	if (c->nplatforms == 0)
		store_addr(r, k, c->platform[0], value);
}

/* Stores a time in milliseconds if it is within the key's range. */
static void
store_ms(struct reading *r, const struct key *k, const char *value, double n)
{
	char *at = (char *)r->conf + k->at;

	if (!(n >= k->low && n <= k->high))
		fault(r, r->line,
		    "%s: '%s' is out of range; allowed: %d to %d milliseconds",
		    k->name, value, k->low, k->high);
	else
		memcpy(at, &(int){(int)n}, sizeof(int));
}

/* Parses and stores a time: a number and its unit, ms or s. */
static void
store_span(struct reading *r, const struct key *k, const char *value)
{
	char *end;
	double n;

	errno = 0;
	n = strtod(value, &end);
	if (errno == 0 && end != value && strcmp(end, "ms") == 0)
		store_ms(r, k, value, n);
	else if (errno == 0 && end != value && strcmp(end, "s") == 0)
		store_ms(r, k, value, n * 1000);
	else
		fault(r, r->line,
		    "%s: '%s' is not a time; allowed: a number and ms or s",
		    k->name, value);
}

/* Parses and stores a real number. */
static void
store_real(struct reading *r, const struct key *k, const char *value)
{
	char *end;
	double n;

	errno = 0;
	n = strtod(value, &end);
	if (errno != 0 || end == value || *end != '\0' ||
	    !(n >= k->low && n <= k->high))
		fault(r, r->line, "%s: '%s' is out of range; allowed: %d to %d",
		    k->name, value, k->low, k->high);
	else
		memcpy((char *)r->conf + k->at, &n, sizeof(n));
}

/* Stores which of the platform's interfaces to use. */
static void
store_form(struct reading *r, const struct key *k, const char *value)
{
	int form;

	if (strcmp(value, "native") == 0)
		form = FORM_NATIVE;
	else if (strcmp(value, "objects") == 0)
		form = FORM_OBJECTS;
	else {
		fault(r, r->line,
		    "%s: '%s' is unknown; allowed: native, objects", k->name,
		    value);
		return;
	}
	r->conf->form = form;
}

/* Checks a value against its key's type and range and stores it. */
static void
store(struct reading *r, const struct key *k, const char *value)
{
	char *at, *end;
	long n;

	at = (char *)r->conf + k->at;
	switch (k->kind) {
	case K_NAME:
		if (!name_ok(value, strlen(value)))
			fault(r, r->line,
			    "%s: '%s' is not a name; allowed: 1 to 63 letters, "
			    "digits, '.', '-', '_', '+'",
			    k->name, value);
		else
			name_copy(at, NAME_MAX_GS, value);
		break;
	case K_ADDR:
		store_addr(r, k, at, value);
		break;
	case K_PLATFORMS:
		store_platforms(r, k, value);
		break;
	case K_INT:
		errno = 0;
		n = strtol(value, &end, 10);
		if (errno != 0 || end == value || *end != '\0' || n < k->low ||
		    n > k->high)
			fault(r, r->line,
			    "%s: '%s' is out of range; allowed: %d to %d "
			    "milliseconds",
			    k->name, value, k->low, k->high);
		else
			memcpy(at, &(int){(int)n}, sizeof(int));
		break;
	case K_FORM:
		store_form(r, k, value);
		break;
	case K_SPAN:
		store_span(r, k, value);
		break;
	case K_REAL:
		store_real(r, k, value);
		break;
	}
}

#ifdef ABLATION
/* Disables the features that section [ablation] names. */
static void
store_features(struct reading *r, const char *name, const char *value)
{
	if (strcmp(name, "off") != 0 || features_off(value) != 0)
		fault(r, r->line,
		    "%s = %s: allowed in section [ablation]: off, and names "
		    "from lib/feature.c",
		    name, value);
}
#endif

/* Handles a key and its value; called by the INI reader. */
static int
pair(void *arg, const char *section, const char *name, const char *value)
{
	struct reading *r = arg;
	size_t i;
	int known = 0;

#ifdef ABLATION
	if (strcmp(section, "ablation") == 0) {
		store_features(r, name, value);
		return (1);
	}
#endif
	if (strcmp(section, "bounds") == 0) {
		name = bound_name(name);
		/* The platform may set bounds that are not used here. */
		if (name == NULL)
			return (1);
	}
	for (i = 0; i < NKEYS; i++) {
		if (strcmp(keys[i].section, section) != 0)
			continue;
		known = 1;
		if (strcmp(keys[i].name, name) != 0)
			continue;
		if (r->seen[i])
			fault(r, r->line, "%s: set twice", name);
		r->seen[i] = 1;
		store(r, &keys[i], value);
		return (1);
	}
	if (known)
		fault(r, r->line, "unknown key '%s' in section [%s]", name,
		    section);
	else
		fault(r, r->line,
		    "unknown section [%s] (key '%s'); allowed: host, listen, "
		    "platform, leases, bounds",
		    section, name);
	return (1);
}

/* Reads a line for the INI reader and counts it, for error messages. */
static char *
next_line(char *buf, int size, void *arg)
{
	struct reading *r = arg;

	r->line++;
	return (fgets(buf, size, r->in));
}

/* True if the file must set the key. */
static int
needed(const struct conf *c, const struct key *k)
{
	if (k->at == AT(bounds.evacuate_ms))
		return (0);
	if (strcmp(k->section, "bounds") == 0 || k->at == AT(ready))
		return (c->form == FORM_OBJECTS);
	return (k->kind != K_INT && k->kind != K_FORM && k->kind != K_REAL &&
	    k->at != AT(reached));
}

/*
 * Checks that all required keys are set, and that each lease is renewed several
 * times before it lapses and grants do not outlast the lease of their host:
 * otherwise keys would take longer than specified to recover from a failure.
 */
static void
check_whole(struct reading *r)
{
	struct conf *c = r->conf;
	size_t i;

	for (i = 0; i < NKEYS; i++) {
		if (!r->seen[i] && needed(c, &keys[i]))
			fault(r, 0, "missing: %s in section [%s]", keys[i].name,
			    keys[i].section);
	}
	if (c->reached[0] == '\0')
		name_copy(c->reached, sizeof(c->reached), c->peers);
	if (c->renew_ms * 3 > c->control_lease_ms ||
	    c->renew_ms * 3 > c->grant_ms)
		fault(r, 0,
		    "renew_ms: allowed: at most a third of control_ms and of "
		    "grant_ms");
	if (c->grant_ms > c->host_lease_ms)
		fault(r, 0, "grant_ms: allowed: at most host_ms");
}

/*
 * Reads and checks a settings file, reporting each error through on_error.
 * Returns 0, or -1 on any error; the settings must not be used then.
 */
int
conf_read(struct conf *c, const char *file, conf_bad_fn bad)
{
	struct reading r = {.conf = c, .file = file, .bad = bad};
	int bad_line;

	memset(c, 0, sizeof(*c));
	c->control_lease_ms = 600;
	c->host_lease_ms = 1400;
	c->renew_ms = 200;
	c->grant_ms = 900;
	r.in = fopen(file, "r");
	if (r.in == NULL) {
		fault(&r, 0, "cannot be read: %s", strerror(errno));
		return (-1);
	}
	bad_line = ini_parse_stream(next_line, &r, pair, &r);
	fclose(r.in);
	if (bad_line > 0)
		fault(&r, bad_line, "neither section, key nor comment");
	check_whole(&r);
	return (r.faults == 0 ? 0 : -1);
}
