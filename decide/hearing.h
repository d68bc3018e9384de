/* Whether a controller still hears enough of the hosts that it controls. */
#ifndef HEARING_H
#define HEARING_H

#include "clock.h"

int hears_enough(const usec *heard, int n, usec now);

#endif
