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

enum kind {
	K_NAME,
	K_ADDR,
	K_ADDRS,
	K_IP,
	K_INT,
	K_COUNT,
	K_WORD,
	K_TIME,
	K_REAL
};

struct key {
	const char *section;
	const char *name;
	enum kind kind;
	size_t offset;
	int min;
	int max;
};

#define OFFSET(f) offsetof(struct conf, f)
static const struct key keys[] = {
    {"host", "name", K_NAME, OFFSET(host), 0, 0},
    {"host", "dc", K_NAME, OFFSET(dc), 0, 0},
    {"host", "cores", K_REAL, OFFSET(cores), 0, 4096},
    {"host", "link_mbps", K_REAL, OFFSET(link_mbps), 0, 1000000},
    {"host", "memory_mb", K_COUNT, OFFSET(memory_mb), 16, 1048576},
    {"host", "descriptors", K_COUNT, OFFSET(descriptors), 64, 1048576},
    {"host", "source", K_IP, OFFSET(source), 0, 0},
    {"listen", "callers", K_ADDR, OFFSET(callers), 0, 0},
    {"listen", "peers", K_ADDR, OFFSET(peers), 0, 0},
    {"listen", "reached", K_ADDR, OFFSET(advertised), 0, 0},
    {"listen", "admin", K_ADDR, OFFSET(admin), 0, 0},
    {"listen", "ready", K_ADDR, OFFSET(ready), 0, 0},
    {"listen", "tunnel", K_ADDR, OFFSET(tunnel), 0, 0},
    {"platform", "address", K_ADDRS, OFFSET(platform), 0, 0},
    {"platform", "form", K_WORD, OFFSET(form), 0, 0},
    {"routing", "admission", K_WORD, OFFSET(admission), 0, 0},
    {"bounds", "leave", K_TIME, OFFSET(bounds.leave_ms), 100, 60000},
    {"bounds", "stop", K_TIME, OFFSET(bounds.stop_ms), 500, 600000},
    {"bounds", "apply", K_TIME, OFFSET(bounds.apply_ms), 100, 60000},
    {"bounds", "retry_window", K_TIME, OFFSET(bounds.retry_window_ms), 100,
	600000},
    {"bounds", "hold_max", K_TIME, OFFSET(bounds.hold_max_ms), 500, 600000},
    {"bounds", "retry_share", K_REAL, OFFSET(bounds.retry_share), 0, 10},
    {"bounds", "retry_slack", K_REAL, OFFSET(bounds.retry_slack), 0, 100000},
    {"bounds", "heartbeat", K_TIME, OFFSET(bounds.heartbeat_ms), 50, 60000},
    {"bounds", "evacuate", K_TIME, OFFSET(bounds.evacuate_ms), 500, 60000},
    {"leases", "control_ms", K_INT, OFFSET(control_lease_ms), 200, 10000},
    {"leases", "host_ms", K_INT, OFFSET(host_lease_ms), 300, 10000},
    {"leases", "renew_ms", K_INT, OFFSET(renew_ms), 20, 2000},
    {"leases", "grant_ms", K_INT, OFFSET(grant_ms), 200, 10000},
};
#define NKEYS (sizeof(keys) / sizeof(keys[0]))

struct reader {
	struct conf *conf;
	const char *file;
	conf_error_fn on_error;
	int line;
	int nerrors;
	unsigned char seen[NKEYS];
	FILE *in;
};

static const struct conf_alias *aliases;
static int naliases;

/* Sets the platform's names for the keys of section [bounds]. */
void
conf_set_aliases(const struct conf_alias *list, int n)
{
	aliases = list;
	naliases = n;
}

/* Returns the key that a name in section [bounds] stands for, or NULL for a
 * name that is not used here. */
static const char *
bound_key(const char *name)
{
	int i;

	for (i = 0; i < naliases; i++) {
		if (strcmp(aliases[i].alias, name) == 0)
			return (aliases[i].key);
	}
	return (naliases > 0 ? NULL : name);
}

/*
 * Splits "IP:PORT" ("[IP]:PORT" for IPv6).  Returns 0, or -1 if either part is
 * invalid.  Host names are not resolved: a lookup may hang in a network
 * partition, when this host has to keep working.
 */
int
addr_parse(const char *addr, char *ip, size_t ipsize, int *port)
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
report_error(struct reader *r, int line, const char *fmt, ...)
{
	char msg[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	r->on_error(r->file, line, msg);
	r->nerrors++;
}

/* Stores an address.  Returns 0, or -1 after reporting an invalid one. */
static int
store_addr(struct reader *r, const struct key *k, char *dst, const char *value)
{
	char ip[ADDR_MAX_GS];
	int port;

	if (strlen(value) >= ADDR_MAX_GS ||
	    addr_parse(value, ip, sizeof(ip), &port) != 0) {
		report_error(r, r->line,
		    "%s: '%s' is not an address; allowed: an IP number, "
		    "':' and a port from 1 to 65535",
		    k->name, value);
		return (-1);
	}
	name_copy(dst, ADDR_MAX_GS, value);
	return (0);
}

/* Stores an IP address without a port. */
static void
store_ip(struct reader *r, const struct key *k, char *dst, const char *value)
{
	struct in6_addr a6;
	struct in_addr a4;

	if (inet_pton(AF_INET, value, &a4) != 1 &&
	    inet_pton(AF_INET6, value, &a6) != 1)
		report_error(r, r->line,
		    "%s: '%s' is not an address; allowed: an IP number",
		    k->name, value);
	else
		name_copy(dst, ADDR_MAX_GS, value);
}

/* Stores the platform's addresses, which are separated by blanks. */
static void
store_addrs(struct reader *r, const struct key *k, const char *value)
{
	struct conf *c = r->conf;
	char text[PLATFORMS_MAX * ADDR_MAX_GS * 2], *word, *rest;

	if (name_copy(text, sizeof(text), value) != 0) {
		report_error(r, r->line, "%s: too long", k->name);
		return;
	}
	c->nplatforms = 0;
	for (word = strtok_r(text, " \t", &rest); word != NULL;
	     word = strtok_r(NULL, " \t", &rest)) {
		if (c->nplatforms == PLATFORMS_MAX) {
			report_error(r, r->line,
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
store_ms(struct reader *r, const struct key *k, const char *value, double n)
{
	char *dst = (char *)r->conf + k->offset;

	if (!(n >= k->min && n <= k->max))
		report_error(r, r->line,
		    "%s: '%s' is out of range; allowed: %d to %d milliseconds",
		    k->name, value, k->min, k->max);
	else
		memcpy(dst, &(int){(int)n}, sizeof(int));
}

/* Parses and stores a time: a number and its unit, ms or s. */
static void
store_time(struct reader *r, const struct key *k, const char *value)
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
		report_error(r, r->line,
		    "%s: '%s' is not a time; allowed: a number and ms or s",
		    k->name, value);
}

/* Parses and stores a real number. */
static void
store_real(struct reader *r, const struct key *k, const char *value)
{
	char *end;
	double n;

	errno = 0;
	n = strtod(value, &end);
	if (errno != 0 || end == value || *end != '\0' ||
	    !(n >= k->min && n <= k->max))
		report_error(r, r->line,
		    "%s: '%s' is out of range; allowed: %d to %d", k->name,
		    value, k->min, k->max);
	else
		memcpy((char *)r->conf + k->offset, &n, sizeof(n));
}

/* The words that a key of kind K_WORD allows; their order is that of the enum
 * in conf.h. */
static const char *const *
words_of(const struct key *k)
{
	static const char *const forms[] = {"native", "objects", NULL};
	static const char *const admissions[] = {
	    "auto", "always", "never", NULL};

	return (k->offset == OFFSET(form) ? forms : admissions);
}

/* Stores the number of a word. */
static void
store_word(struct reader *r, const struct key *k, const char *value)
{
	const char *const *words = words_of(k);
	char allowed[64] = "";
	int i;

	for (i = 0; words[i] != NULL; i++) {
		if (strcmp(value, words[i]) == 0) {
			memcpy((char *)r->conf + k->offset, &i, sizeof(i));
			return;
		}
		if (i > 0)
			strncat(allowed, ", ",
			    sizeof(allowed) - strlen(allowed) - 1);
		strncat(
		    allowed, words[i], sizeof(allowed) - strlen(allowed) - 1);
	}
	report_error(r, r->line, "%s: '%s' is unknown; allowed: %s", k->name,
	    value, allowed);
}

/* Checks a value against its key's type and range and stores it. */
static void
store(struct reader *r, const struct key *k, const char *value)
{
	char *dst, *end;
	long n;

	dst = (char *)r->conf + k->offset;
	switch (k->kind) {
	case K_NAME:
		if (!name_ok(value, strlen(value)))
			report_error(r, r->line,
			    "%s: '%s' is not a name; allowed: 1 to 63 letters, "
			    "digits, '.', '-', '_', '+'",
			    k->name, value);
		else
			name_copy(dst, NAME_MAX_GS, value);
		break;
	case K_ADDR:
		store_addr(r, k, dst, value);
		break;
	case K_ADDRS:
		store_addrs(r, k, value);
		break;
	case K_IP:
		store_ip(r, k, dst, value);
		break;
	case K_INT:
	case K_COUNT:
		errno = 0;
		n = strtol(value, &end, 10);
		if (errno != 0 || end == value || *end != '\0' || n < k->min ||
		    n > k->max)
			report_error(r, r->line,
			    "%s: '%s' is out of range; allowed: %d to %d%s",
			    k->name, value, k->min, k->max,
			    k->kind == K_INT ? " milliseconds" : "");
		else
			memcpy(dst, &(int){(int)n}, sizeof(int));
		break;
	case K_WORD:
		store_word(r, k, value);
		break;
	case K_TIME:
		store_time(r, k, value);
		break;
	case K_REAL:
		store_real(r, k, value);
		break;
	}
}

#ifdef ABLATION
/* Disables the features that section [ablation] names. */
static void
store_features(struct reader *r, const char *name, const char *value)
{
	if (strcmp(name, "off") != 0 || features_off(value) != 0)
		report_error(r, r->line,
		    "%s = %s: allowed in section [ablation]: off, and names "
		    "from lib/feature.c",
		    name, value);
}
#endif

/* Handles a key and its value; called by the INI reader. */
static int
handle_pair(void *arg, const char *section, const char *name, const char *value)
{
	struct reader *r = arg;
	size_t i;
	int section_known = 0;

#ifdef ABLATION
	if (strcmp(section, "ablation") == 0) {
		store_features(r, name, value);
		return (1);
	}
#endif
	if (strcmp(section, "bounds") == 0) {
		name = bound_key(name);
		/* The platform may set bounds that are not used here. */
		if (name == NULL)
			return (1);
	}
	for (i = 0; i < NKEYS; i++) {
		if (strcmp(keys[i].section, section) != 0)
			continue;
		section_known = 1;
		if (strcmp(keys[i].name, name) != 0)
			continue;
		if (r->seen[i])
			report_error(r, r->line, "%s: set twice", name);
		r->seen[i] = 1;
		store(r, &keys[i], value);
		return (1);
	}
	if (section_known)
		report_error(r, r->line, "unknown key '%s' in section [%s]",
		    name, section);
	else
		report_error(r, r->line,
		    "unknown section [%s] (key '%s'); allowed: host, listen, "
		    "platform, routing, leases, bounds",
		    section, name);
	return (1);
}

/* Reads a line for the INI reader and counts it, for error messages. */
static char *
next_line(char *buf, int size, void *arg)
{
	struct reader *r = arg;

	r->line++;
	return (fgets(buf, size, r->in));
}

/* True if the file must set the key. */
static int
is_required(const struct conf *c, const struct key *k)
{
	if (k->offset == OFFSET(bounds.evacuate_ms))
		return (0);
	if (strcmp(k->section, "bounds") == 0 || k->offset == OFFSET(ready))
		return (c->form == FORM_OBJECTS);
	return (k->kind != K_INT && k->kind != K_COUNT && k->kind != K_WORD &&
	    k->kind != K_REAL && k->kind != K_IP &&
	    k->offset != OFFSET(advertised) && k->offset != OFFSET(tunnel));
}

/*
 * Checks that all required keys are set, and that each lease is renewed several
 * times before it lapses and grants do not outlast the lease of their host:
 * otherwise keys would take longer than specified to recover from a failure.
 */
static void
check_settings(struct reader *r)
{
	struct conf *c = r->conf;
	size_t i;

	for (i = 0; i < NKEYS; i++) {
		if (!r->seen[i] && is_required(c, &keys[i]))
			report_error(r, 0, "missing: %s in section [%s]",
			    keys[i].name, keys[i].section);
	}
	if (c->advertised[0] == '\0')
		name_copy(c->advertised, sizeof(c->advertised), c->peers);
	if (c->renew_ms * 3 > c->control_lease_ms ||
	    c->renew_ms * 3 > c->grant_ms)
		report_error(r, 0,
		    "renew_ms: allowed: at most a third of control_ms and of "
		    "grant_ms");
	if (c->grant_ms > c->host_lease_ms)
		report_error(r, 0, "grant_ms: allowed: at most host_ms");
}

/*
 * Reads and checks a settings file, reporting each error through on_error.
 * Returns 0, or -1 on any error; the settings must not be used then.
 */
int
conf_read(struct conf *c, const char *file, conf_error_fn on_error)
{
	struct reader r = {.conf = c, .file = file, .on_error = on_error};
	int error_line;

	memset(c, 0, sizeof(*c));
	c->control_lease_ms = 600;
	c->host_lease_ms = 1400;
	c->renew_ms = 200;
	c->grant_ms = 900;
	c->memory_mb = MEMORY_MB_DEFAULT;
	r.in = fopen(file, "r");
	if (r.in == NULL) {
		report_error(&r, 0, "cannot be read: %s", strerror(errno));
		return (-1);
	}
	error_line = ini_parse_stream(next_line, &r, handle_pair, &r);
	fclose(r.in);
	if (error_line > 0)
		report_error(
		    &r, error_line, "neither section, key nor comment");
	check_settings(&r);
	return (r.nerrors == 0 ? 0 : -1);
}
