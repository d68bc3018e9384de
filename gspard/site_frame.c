#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "site_frame.h"

/* Rates beyond this, in requests per second, have no effect. */
#define RATE_MAX 1e6

/* Encodes a rate in thousandths of a request per second. */
static uint32_t
rate_to_wire(double rate)
{
	return ((uint32_t)(fmin(rate, RATE_MAX) * 1000));
}

/* Encodes the services. */
static void
fill_services(struct site_frame *f, const struct site *site)
{
	const struct site_service *s;
	int i;

	for (i = 0; i < site->nservices; i++) {
		s = &site->services[i];
		gspar__site_service__init(&f->services[i]);
		f->services[i].name = (char *)s->name;
		f->services[i].keyed = s->keyed;
		f->services[i].max_conns = (uint32_t)s->max_conns;
		f->services[i].warmup = (uint64_t)s->warmup;
		f->services[i].cold_start = (uint64_t)s->cold_start;
		f->services[i].cold_rate = rate_to_wire(s->cold_rate);
		f->service_list[i] = &f->services[i];
	}
	f->msg.services = f->service_list;
	f->msg.n_services = (size_t)site->nservices;
}

/*
 * Returns the index of a rule's host name in the message, adding it if needed;
 * rules are sorted by host name.
 */
static uint32_t
host_index(struct site_frame *f, const struct rule *r)
{
	size_t n = f->msg.n_hosts;

	if (n == 0 || strcmp(f->hosts[n - 1], r->host.p) != 0) {
		f->hosts[n] = r->host.p;
		f->msg.n_hosts = ++n;
	}
	return ((uint32_t)(n - 1));
}

/* Encodes one rule, with its backends in the given array. */
static void
fill_rule(struct site_frame *f, Gspar__SiteRule *msg, const struct rule *r,
    uint32_t *backends)
{
	int i;

	gspar__site_rule__init(msg);
	msg->host = host_index(f, r);
	msg->prefix = r->prefix.p;
	msg->idempotent = r->idempotent;
	msg->timeout = (uint64_t)r->timeout;
	msg->aim = (uint64_t)r->aim;
	msg->attempts = (uint32_t)r->attempts;
	msg->priority = r->priority;
	msg->gone = r->gone;
	msg->n_service = msg->n_weight = (size_t)r->nbackends;
	msg->service = backends;
	msg->weight = backends + r->nbackends;
	for (i = 0; i < r->nbackends; i++) {
		msg->service[i] = (uint32_t)r->backends[i].service;
		msg->weight[i] = r->backends[i].weight;
	}
}

/* Returns the number of backends of all rules. */
static size_t
count_backends(const struct site *site)
{
	size_t n = 0;
	int i;

	for (i = 0; i < site->nrules; i++)
		n += (size_t)site->rules[i].nbackends;
	return (n);
}

/*
 * Encodes a configuration or difference, which must outlive the frame.  Returns
 * 0, or -1 if memory runs out; site_frame_free() is needed either way.
 */
int
site_frame_fill(struct site_frame *f, const struct site *site)
{
	size_t ns = (size_t)site->nservices + 1, nr = (size_t)site->nrules + 1;
	uint32_t *backends;
	int i;

	memset(f, 0, sizeof(*f));
	gspar__site_told__init(&f->msg);
	f->hosts = calloc(nr, sizeof(*f->hosts));
	f->services = calloc(ns, sizeof(*f->services));
	f->service_list = calloc(ns, sizeof(*f->service_list));
	f->rules = calloc(nr, sizeof(*f->rules));
	f->rule_list = calloc(nr, sizeof(*f->rule_list));
	f->backends = backends =
	    calloc(2 * count_backends(site) + 1, sizeof(*f->backends));
	if (f->hosts == NULL || f->services == NULL ||
	    f->service_list == NULL || f->rules == NULL ||
	    f->rule_list == NULL || f->backends == NULL)
		return (-1);
	fill_services(f, site);
	f->msg.hosts = f->hosts;
	for (i = 0; i < site->nrules; i++) {
		fill_rule(f, &f->rules[i], &site->rules[i], backends);
		backends += 2 * site->rules[i].nbackends;
		f->rule_list[i] = &f->rules[i];
	}
	f->msg.rules = f->rule_list;
	f->msg.n_rules = (size_t)site->nrules;
	f->msg.version = site->version;
	f->msg.since = site->since;
	f->msg.head_max = site->head_max;
	f->msg.body_max = site->body_max;
	f->msg.head_time = (uint64_t)site->head_time;
	f->msg.idle_time = (uint64_t)site->idle_time;
	return (0);
}

/* Returns the size of the encoded message in bytes. */
size_t
site_frame_size(const struct site_frame *f)
{
	return (gspar__site_told__get_packed_size(&f->msg));
}

/* Frees the frame's arrays; the configuration is not freed. */
void
site_frame_free(struct site_frame *f)
{
	free(f->hosts);
	free(f->services);
	free(f->service_list);
	free(f->rules);
	free(f->rule_list);
	free(f->backends);
}

/* Decodes the services; returns 0, or -1 if they are not valid. */
static int
read_services(struct site *site, const Gspar__SiteTold *msg)
{
	struct site_service *s;
	size_t i;

	if (msg->n_services > SITE_SERVICES_MAX)
		return (-1);
	for (i = 0; i < msg->n_services; i++) {
		s = &site->services[site->nservices++];
		if (name_copy(
			s->name, sizeof(s->name), msg->services[i]->name) != 0)
			return (-1);
		s->keyed = msg->services[i]->keyed;
		s->max_conns = (int)msg->services[i]->max_conns;
		s->warmup = (usec)msg->services[i]->warmup;
		s->cold_start = (usec)msg->services[i]->cold_start;
		s->cold_rate = msg->services[i]->cold_rate / 1000.0;
	}
	return (0);
}

/* Decodes the backends of a rule; returns 0, or -1 if they are not valid. */
static int
read_backends(struct rule *r, const Gspar__SiteRule *msg, int nservices)
{
	size_t i;

	if (msg->n_service > RULE_BACKENDS_MAX ||
	    msg->n_weight != msg->n_service)
		return (-1);
	for (i = 0; i < msg->n_service; i++) {
		if (msg->service[i] >= (uint32_t)nservices)
			return (-1);
		r->backends[i].service = (int)msg->service[i];
		r->backends[i].weight = msg->weight[i];
	}
	r->nbackends = (int)msg->n_service;
	return (0);
}

/* Decodes one rule; returns 0, or -1 if it is not valid. */
static int
read_rule(
    struct site *site, const Gspar__SiteTold *msg, const Gspar__SiteRule *in)
{
	struct rule *r = site_add_rule(site);

	if (in->host >= msg->n_hosts ||
	    str_set(&r->host, msg->hosts[in->host],
		strlen(msg->hosts[in->host])) != 0 ||
	    str_set(&r->prefix, in->prefix, strlen(in->prefix)) != 0)
		return (-1);
	r->idempotent = in->idempotent;
	r->timeout = (usec)in->timeout;
	r->aim = (usec)in->aim;
	r->attempts = (int)in->attempts;
	r->priority = in->priority;
	r->gone = in->gone;
	return (read_backends(r, in, site->nservices));
}

/*
 * Decodes a configuration or a difference; returns NULL if it is not valid or
 * memory runs out.  The caller frees it.
 */
struct site *
site_frame_read(const Gspar__SiteTold *msg)
{
	struct site *site = site_new((int)msg->n_rules);
	size_t i;
	int bad;

	if (site == NULL)
		return (NULL);
	site->version = msg->version;
	site->since = msg->since;
	site->head_max = msg->head_max;
	site->body_max = msg->body_max;
	site->head_time = (usec)msg->head_time;
	site->idle_time = (usec)msg->idle_time;
	bad = msg->version == 0 || read_services(site, msg) != 0;
	for (i = 0; i < msg->n_rules && !bad; i++)
		bad = read_rule(site, msg, msg->rules[i]) != 0;
	if (bad) {
		site_free(site);
		return (NULL);
	}
	site_finish(site);
	return (site);
}
