/*
 * Encoding of site configurations, and of differences between them, as messages
 * between hosts.
 */
#ifndef SITE_FRAME_H
#define SITE_FRAME_H

#include "gspar.pb-c.h"
#include "site.h"

/* A message and the arrays that it points to. */
struct site_frame {
	Gspar__SiteTold msg;
	char **hosts;
	Gspar__SiteService *services, **service_list;
	Gspar__SiteRule *rules, **rule_list;
	uint32_t *backends;
};

int site_frame_fill(struct site_frame *, const struct site *);
size_t site_frame_size(const struct site_frame *);
void site_frame_free(struct site_frame *);
struct site *site_frame_read(const Gspar__SiteTold *);

#endif
