/* What other services tell the service that finds out whether this host reaches
 * the targets. */
#ifndef REACH_PROBE_H
#define REACH_PROBE_H

#include "gspard.h"

void reach_post_doubt(struct kernel *);
void reach_post_via_failed(struct kernel *, const char *host);

#endif
