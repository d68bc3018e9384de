/*
 * Which hosts admit to which targets.  All hosts work this out alike from the
 * lists of hosts and targets that the controller sends; where their lists
 * differ for a moment, a target has two admission hosts.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "direct.h"
#include "sock.h"

/* Targets of one admission host: enough that one of them mostly has room, and
 * few enough that its messages take a small part of a small host. */
#define TARGETS_PER_HOST 8
/* A wait that an admission host told says less about the next request with
 * time: half of it counts after this. */
#define WAIT_HALF_LIFE MS(150)
/* Time that a request must save by going to another data centre: traffic
 * between data centres is paid for. */
#define FAR_WAIT MS(45)
/* What a host's first choice among the admission hosts of its data centre may
 * take longer than the second, and so on: its connections to their targets are
 * open, those to others are not. */
#define HOME_WAIT MS(15)
/* Shortest time between two updates of the pools. */
#define UPDATE_INTERVAL MS(100)
/* Waits that differ by less than this are the same. */
#define WAIT_SPREAD MS(10)

/* Opens the socket for datagrams between hosts.  Without it requests do without
 * permits.  Returns 0, or -1 if it could not be opened. */
int
pools_open(struct direct *d)
{
	const struct conf *conf = kernel_conf(d->s->kernel);

	d->self = -1;
	d->permit_id = kernel_boot(d->s->kernel) << 20;
	d->permit_fd = sock_bind_datagram(conf->peers);
	if (d->permit_fd >= 0)
		return (0);
	log_line(LOG_ERR, "router",
	    "Cannot receive datagrams at %s: no permits are asked for.",
	    conf->peers);
	return (-1);
}

/* Frees what pools_open() and the updates have allocated. */
void
pools_close(struct direct *d)
{
	int i;

	if (d->permit_fd >= 0)
		close(d->permit_fd);
	for (i = 0; i < d->nsvcs; i++)
		free(d->svcs[i].admission);
	free(d->pools);
	free(d->hosts);
	hash_index_free(&d->host_index);
}

/* Returns the index of the host with this digest, or -1. */
int
pool_host_index(const struct direct *d, uint64_t digest)
{
	return (hash_index_first(&d->host_index, digest));
}

/* Adds a host to a new list, for which there is room, with what was known of
 * it before. */
static void
add_host(const struct direct *d, struct rendezvous_host *list, int *n,
    const char *name, const char *dc, const char *addr)
{
	struct rendezvous_host *h = &list[*n];
	int known;

	if (dc[0] == '\0' || addr[0] == '\0')
		return;
	memset(h, 0, sizeof(*h));
	h->digest = hash_name(name);
	if ((known = pool_host_index(d, h->digest)) >= 0)
		*h = d->hosts[known];
	name_copy(h->name, sizeof(h->name), name);
	name_copy(h->dc, sizeof(h->dc), dc);
	name_copy(h->addr, sizeof(h->addr), addr);
	(*n)++;
}

/* Replaces the list of hosts. */
void
pools_set_hosts(struct direct *d, const struct peers *l)
{
	const struct conf *conf = kernel_conf(d->s->kernel);
	struct rendezvous_host *list;
	int i, n = 0;

	list = calloc((size_t)l->n + 1, sizeof(*list));
	if (list == NULL || hash_index_reserve(&d->host_index, l->n + 1) != 0) {
		free(list);
		log_line(LOG_ERR, "router",
		    "Out of memory, the list of hosts is not renewed.");
		return;
	}
	add_host(d, list, &n, conf->host, conf->dc, conf->advertised);
	for (i = 0; i < l->n; i++) {
		if (strcmp(l->list[i].host, conf->host) != 0)
			add_host(d, list, &n, l->list[i].host, l->list[i].dc,
			    l->list[i].addr);
	}
	free(d->hosts);
	d->hosts = list;
	d->nhosts = n;
	d->self = 0;
	hash_index_clear(&d->host_index);
	for (i = 0; i < n; i++)
		hash_index_add(&d->host_index, i, list[i].digest);
	d->pools_changed = 1;
}

/* Returns the index of the pool of a target's service and data centre, or -1.
 */
static int
find_pool(const struct direct *d, const struct target_state *s)
{
	int i;

	for (i = 0; i < d->npools; i++) {
		if (d->pools[i].service == s->service &&
		    d->pools[i].dc == s->dc)
			return (i);
	}
	return (-1);
}

/* True if a service has targets that are admitted to. */
int
pool_service_known(const struct direct *d, const char *service)
{
	int i;

	for (i = 0; i < d->npools; i++) {
		if (strcmp(d->pools[i].service, service) == 0)
			return (1);
	}
	return (0);
}

/* True if targets of so many slots are admitted to by one host. */
static int
is_called_for(const struct direct *d, int slots)
{
	switch (kernel_conf(d->s->kernel)->admission) {
	case ADMIT_ALWAYS:
		return (1);
	case ADMIT_NEVER:
		return (0);
	default:
		return (d->hosts_known &&
		    admission_called_for(d->conf.hosts, slots));
	}
}

/* Adds a target to its pool, which is added if it is new. */
static void
add_to_pool(struct direct *d, struct target_state *s)
{
	struct admission_pool *l;

	s->pool = -1;
	if (!s->listed || s->dest.leaving || !is_called_for(d, s->dest.slots))
		return;
	s->pool = find_pool(d, s);
	if (s->pool < 0) {
		l = realloc(d->pools, sizeof(*l) * (size_t)(d->npools + 1));
		if (l == NULL)
			return;
		d->pools = l;
		s->pool = d->npools++;
		l += s->pool;
		memset(l, 0, sizeof(*l));
		l->service = s->service;
		l->dc = s->dc;
	}
	d->pools[s->pool].ntargets++;
}

/* Returns how many admission hosts of a pool this host prefers to one: as each
 * host has an order of its own, they are used alike. */
static int
order_of(const struct direct *d, int host, const int *set, int n)
{
	uint64_t self = d->self < 0 ? 0 : d->hosts[d->self].digest;
	int i, first[2], before = 0;

	for (i = 0; i < n; i++) {
		first[0] = host;
		first[1] = set[i];
		before += set[i] != host &&
		    rendezvous_pick(d->hosts, first, 2, self, INT64_MAX) !=
			host;
	}
	return (before);
}

/* Chooses the admission hosts of a pool. */
static void
choose_hosts(struct direct *d, struct admission_pool *l)
{
	int top[POOL_HOSTS_MAX], i;
	int max = (l->ntargets + TARGETS_PER_HOST - 1) / TARGETS_PER_HOST;

	l->nhosts = rendezvous_top(d->hosts, d->nhosts, l->dc,
	    XXH3_64bits(l->service, strlen(l->service)), top,
	    max < POOL_HOSTS_MAX ? max : POOL_HOSTS_MAX);
	for (i = 0; i < l->nhosts; i++) {
		l->hosts[i].host = top[i];
		l->hosts[i].order = order_of(d, top[i], top, l->nhosts);
		l->hosts[i].told = 0;
	}
}

/* Writes the indices of a pool's hosts, and returns their number. */
static int
hosts_of(const struct admission_pool *l, int *set)
{
	int i;

	for (i = 0; i < l->nhosts; i++)
		set[i] = l->hosts[i].host;
	return (l->nhosts);
}

/* Returns the index of the host that admits to a target, or -1; a silent one is
 * replaced by the next. */
int
pool_host_of_target(
    const struct direct *d, const struct target_state *s, usec now)
{
	int set[POOL_HOSTS_MAX], n;

	if (s->pool < 0 || s->pool >= d->npools)
		return (-1);
	n = hosts_of(&d->pools[s->pool], set);
	return (rendezvous_pick(d->hosts, set, n, s->digest, now));
}

/* True if this host is one of a pool's admission hosts. */
static int
is_member(const struct direct *d, const struct admission_pool *l)
{
	int i;

	for (i = 0; i < l->nhosts; i++) {
		if (l->hosts[i].host == d->self)
			return (1);
	}
	return (0);
}

/* Works out the pools after a change of the hosts or targets, which come many
 * at a time while a fleet starts. */
void
pools_update(struct direct *d, usec now)
{
	struct target_state *s;
	int i;

	if (!d->pools_changed || now < d->next_pools)
		return;
	d->pools_changed = 0;
	d->next_pools = now + UPDATE_INTERVAL;
	d->npools = 0;
	for (s = d->targets; s != NULL; s = s->next)
		add_to_pool(d, s);
	for (i = 0; i < d->npools; i++) {
		choose_hosts(d, &d->pools[i]);
		d->pools[i].is_member = is_member(d, &d->pools[i]);
	}
	for (s = d->targets; s != NULL; s = s->next) {
		s->mine = s->pool >= 0 && d->pools[s->pool].is_member &&
		    pool_host_of_target(d, s, INT64_MAX) == d->self;
		if (s->mine)
			target_note(d, s);
	}
	d->next_admission_update = now;
}

/* True if a request may ask for a permit: for its key's owner, or for any
 * target if that is NULL.  Targets with a rate limit are sent requests in
 * turns. */
int
pool_is_open(const struct direct *d, const struct pending *p,
    const struct target_state *owner, usec now)
{
	if (d->permit_fd < 0 || d->self < 0)
		return (0);
	if (owner != NULL)
		return (owner->pool >= 0 && dest_limit(&owner->dest, now) < 0);
	return (pool_service_known(d, p->svc->name));
}

/* Returns the wait to expect at a host of a pool. */
static double
wait_at(struct direct *d, const struct admission_pool *l,
    const struct pool_host *h, usec now)
{
	usec age = now - h->told;
	double wait = h->told == 0 || age > 8 * WAIT_HALF_LIFE
	    ? 0
	    : (double)(h->wait >> (age / WAIT_HALF_LIFE));

	if (strcmp(l->dc, kernel_conf(d->s->kernel)->dc) != 0)
		wait += (double)FAR_WAIT;
	wait += (double)(h->order * HOME_WAIT);
	d->seed = d->seed * 6364136223846793005u + 1442695040888963407u;
	return (wait + (double)(d->seed >> 40) / (1 << 24) * WAIT_SPREAD);
}

/* True if a request has asked a host already. */
static int
was_asked(const struct pending *p, uint64_t digest)
{
	int i;

	for (i = 0; i < p->permit.asks && i < PERMIT_ASKS_MAX; i++) {
		if (p->permit.asked[i] == digest)
			return (1);
	}
	return (0);
}

/*
 * Returns the index of the admission host at which a request that any target
 * can serve is expected to wait least, of those that it has not asked; -1 if
 * there is none.  Fills in its pool, and how many more there are.
 */
int
pool_pick(
    struct direct *d, const struct pending *p, usec now, int *pool, int *others)
{
	const struct admission_pool *l;
	const struct rendezvous_host *h;
	double wait, least = 0;
	int i, k, best = -1;

	*others = 0;
	for (i = 0; i < d->npools; i++) {
		l = &d->pools[i];
		if (strcmp(l->service, p->svc->name) != 0)
			continue;
		for (k = 0; k < l->nhosts; k++) {
			h = &d->hosts[l->hosts[k].host];
			if (now < h->silent_until || was_asked(p, h->digest))
				continue;
			wait = wait_at(d, l, &l->hosts[k], now);
			*others += best >= 0;
			if (best >= 0 && wait >= least)
				continue;
			best = l->hosts[k].host;
			least = wait;
			*pool = i;
		}
	}
	return (best);
}

/* Records the wait that an admission host has told. */
void
pool_told(struct direct *d, const struct permit *m, usec wait, usec now)
{
	struct admission_pool *l;
	int i;

	if (m->pool < 0 || m->pool >= d->npools)
		return;
	l = &d->pools[m->pool];
	for (i = 0; i < l->nhosts; i++) {
		if (d->hosts[l->hosts[i].host].digest != m->host)
			continue;
		l->hosts[i].wait = wait;
		l->hosts[i].told = now;
	}
}
