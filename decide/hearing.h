/*
 * How often hosts report to their controller, and what it concludes from their
 * silence.  Times depend on the number of hosts.
 */
#ifndef HEARING_H
#define HEARING_H

#include "clock.h"

usec report_interval(int hosts);
usec report_lag(int hosts);
usec report_retry_delay(int hosts);
usec report_silence(int hosts);
usec report_lost_after(int hosts);
int hears_most_hosts(const usec *heard, int n, usec now);

#endif
