/* Counters and histograms in the Prometheus text format. */
#ifndef METRICS_H
#define METRICS_H

#include "gspard.h"

char *metrics_text(struct kernel *);

#endif
