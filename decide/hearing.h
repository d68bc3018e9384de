/* Whether a controller still receives reports from most of its hosts. */
#ifndef HEARING_H
#define HEARING_H

#include "clock.h"

int hears_most_hosts(const usec *heard, int n, usec now);

#endif
