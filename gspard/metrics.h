/* Counters and histograms in the text form that collectors read. */
#ifndef METRICS_H
#define METRICS_H

#include "gspard.h"

char *metrics_text(struct kernel *);

#endif
