/*
 * Distribution of the site configuration: the controller pushes each change
 * once; a host that is behind then reads the store or requests it from a host
 * that has it.
 */
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"
#include "site_change.h"
#include "site_frame.h"

/*
 * What is sent of a configuration: all of it, or the difference to a version.
 */
struct update {
	const struct site *site; /* NULL if there is nothing to send */
	struct site_frame frame;
	size_t size;
	int fits; /* small enough to be sent to all hosts at once */
};

/* Encodes a configuration; site is NULL if t is, or if memory runs out. */
static void
update_init(
    const struct sitectl *k, struct update *update, const struct site *site)
{
	double link = kernel_conf(k->s->kernel)->link_mbps;

	memset(update, 0, sizeof(*update));
	if (site == NULL || site_frame_fill(&update->frame, site) != 0)
		return;
	update->site = site;
	update->size = site_frame_size(&update->frame);
	update->fits = pace_fits(update->size, k->hosts.n, link);
}

/* Sends an update to a host. */
static void
send_update(struct sitectl *k, const char *host, struct update *update)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;

	if (update->site == NULL)
		return;
	f.body_case = GSPAR__FRAME__BODY_SITE_TOLD;
	f.site_told = &update->frame.msg;
	count_add(C_SITE_TOLD, 1);
	count_add(C_SITE_TOLD_BYTES, update->size);
	log_line(LOG_INFO, "control",
	    "Sending host %s configuration %llu, as a difference from "
	    "%llu (0: complete), "
	    "%zu bytes.",
	    host, (unsigned long long)update->site->version,
	    (unsigned long long)update->site->since, update->size);
	send_frame(k->s->kernel, host, 0, &f);
}

/*
 * Sends the whole configuration in force to a host; returns its size in bytes.
 */
static size_t
send_whole(struct sitectl *k, const char *host)
{
	struct update whole;

	update_init(k, &whole, sitectl_site(k));
	send_update(k, host, &whole);
	site_frame_free(&whole.frame);
	return (whole.size);
}

/*
 * True if a host has the base version of a difference, or will when it arrives.
 */
static int
has_base(const struct host_entry *h, const struct site *diff)
{
	return (h->site_version == diff->since || h->site_sent == diff->since);
}

/*
 * Sends each host that lacks the version the smallest update that it can use
 * and that fits.
 */
static void
send_to_all(
    struct sitectl *k, struct update *diff, struct update *whole, usec now)
{
	uint64_t version = sitectl_site(k)->version;
	struct host_entry *h;
	int i;

	for (i = 0; i < k->hosts.n; i++) {
		h = &k->hosts.list[i];
		if (!sitectl_host_up(k, h, now) || h->site_version >= version ||
		    strcmp(h->process.host, sitectl_self(k)) == 0)
			continue;
		if (diff->fits && has_base(h, diff->site))
			send_update(k, h->process.host, diff);
		else if (whole->fits)
			send_update(k, h->process.host, whole);
		else
			continue;
		h->site_sent = version;
	}
}

/*
 * Pushes the configuration in force to all hosts once, as controller: the
 * difference to hosts that have the previous version, else all of it.  An
 * update that is too large for this host's link or theirs is not pushed:
 * heartbeats announce its version, and hosts read it from the store.
 */
void
site_broadcast(struct sitectl *k, const struct site *was, usec now)
{
	struct site *difference =
	    was == NULL ? NULL : site_diff(was, sitectl_site(k));
	struct update diff, whole;

	update_init(k, &diff, difference);
	update_init(k, &whole, sitectl_site(k));
	send_to_all(k, &diff, &whole, now);
	k->site_pushed = diff.fits || whole.fits;
	k->next_heartbeat = now; /* The next heartbeat announces the version. */
	site_frame_free(&diff.frame);
	site_frame_free(&whole.frame);
	site_free(difference);
}

/*
 * Resets what was pushed when this host becomes the controller: hosts know the
 * current version already or learn it from heartbeats.
 */
void
site_control_began(struct sitectl *k)
{
	int i;

	k->site_pushed = 0;
	for (i = 0; i < k->hosts.n; i++)
		k->hosts.list[i].site_sent = 0;
}

/* Handles the configuration's version in a host's report. */
void
site_receive_report(struct sitectl *k, struct host_entry *h,
    const Gspar__HostReport *msg, usec now)
{
	const struct site *site = sitectl_site(k);
	uint64_t own = site == NULL ? 0 : site->version;

	h->site_version = msg->site;
	if (msg->site > own) {
		behind_announced(&k->behind, own, msg->site, 0, now);
		name_copy(
		    k->site_source, sizeof(k->site_source), h->process.host);
	}
	if (msg->site < own && msg->site_asked)
		h->site_requested = 1;
}

/*
 * Sends the configuration to hosts that requested it, one at a time, as the
 * capacity of this host's link allows.
 */
static void
serve_requests(struct sitectl *k, usec now)
{
	double link = kernel_conf(k->s->kernel)->link_mbps;
	const struct site *site = sitectl_site(k);
	struct host_entry *h;
	int i;

	for (i = 0; i < k->hosts.n && !k->hosts.list[i].site_requested; i++)
		;
	if (i == k->hosts.n || site == NULL || !pace_ready(&k->site_pace, now))
		return;
	h = &k->hosts.list[i];
	h->site_requested = 0;
	if (h->site_version >= site->version)
		return;
	pace_sent(&k->site_pace, send_whole(k, h->process.host), link, now);
	h->site_sent = site->version;
}

/* Handles the configuration's version in the controller's heartbeat. */
void
site_receive_heartbeat(struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	const struct site *site = sitectl_site(k);
	uint64_t own = site == NULL ? 0 : site->version;

	behind_announced(&k->behind, own, msg->site, msg->site_told, now);
	if (msg->site < own && msg->controller[0] != '\0' &&
	    strcmp(msg->site_from, sitectl_self(k)) == 0)
		send_whole(k, msg->controller);
}

/*
 * Obtains a newer configuration that was announced, and sends it to hosts that
 * requested it.
 */
void
site_tick(struct sitectl *k, usec now)
{
	const struct site *site = sitectl_site(k);

	serve_requests(k, now);
	switch (
	    behind_step(&k->behind, site == NULL ? 0 : site->version, now)) {
	case BEHIND_READ:
		msg_post(k->s->kernel, "watch", MSG_READ_SITE, NULL, NULL);
		break;
	case BEHIND_ASK:
		k->site_request = 1;
		break;
	case BEHIND_WAIT:
		break;
	}
}

/* Passes a configuration received from a host to the watch service. */
void
site_receive(struct sitectl *k, const Gspar__SiteTold *told)
{
	const struct site *t = sitectl_site(k);
	struct site *read;

	if (t != NULL && told->version <= t->version)
		return;
	if ((read = site_frame_read(told)) == NULL) {
		log_line(LOG_ERR, "control",
		    "Received configuration %llu is not valid.",
		    (unsigned long long)told->version);
		return;
	}
	msg_post(k->s->kernel, "watch", MSG_SITE_RECEIVED, read, site_free);
}
