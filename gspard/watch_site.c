/* The site configuration, from the store or from another host. */
#include <string.h>

#include "decode.h"
#include "site_change.h"
#include "watch.h"

/* Puts a configuration in force if it is newer; owns t. */
static void
put_site(struct service *s, struct site *site, const char *from)
{
	struct watch *w = s->state;
	struct shared *sh;

	/* Versions only rise: an old one that arrives late is ignored. */
	if (site->version <= w->version ||
	    (sh = shared_new(site, site_free)) == NULL) {
		site_free(site);
		return;
	}
	log_line(LOG_NOTICE, "watch",
	    "Configuration %llu in force, from %s, replaces %llu, %d rules.",
	    (unsigned long long)site->version, from,
	    (unsigned long long)w->version, site->nrules);
	w->version = site->version;
	shared_unref(w->site);
	w->site = sh;
	watch_publish(s, "door", MSG_SITE, sh);
	watch_publish(s, "router", MSG_SITE, sh);
	watch_publish(s, "control", MSG_SITE, sh);
}

/* Handles an object of the configuration's kind. */
void
watch_site_found(struct service *s, const struct store_item *f)
{
	const char *why;
	struct site *site;

	if (f->deleted || strcmp(f->name, NAME_SITE) != 0)
		return;
	site = decode_site_object(f->raw, &why);
	if (site != NULL)
		put_site(s, site, "store");
	else
		log_line(LOG_ERR, "watch",
		    "Configuration refused, the current one stays: %s.", why);
}

/* Puts in force a configuration from another host, or a difference to the
 * current one; owns it. */
void
watch_site_received(struct service *s, struct site *received)
{
	struct watch *w = s->state;
	struct site *site = received;

	if (received->since != 0) {
		site =
		    w->site == NULL ? NULL : site_apply(w->site->p, received);
		if (site == NULL)
			log_line(LOG_NOTICE, "watch",
			    "Received configuration %llu as a difference to "
			    "%llu, which is not in force here.",
			    (unsigned long long)received->version,
			    (unsigned long long)received->since);
		site_free(received);
	}
	if (site == NULL)
		return;
	put_site(s, site, "host");
	/* A list of the configuration in progress is no longer needed. */
	if (w->from_controller)
		watch_cancel_list(&w->feeds[FEED_SITE]);
}
