#include "pace.h"

/*
 * Telling all hosts may fill the teller's link for so long: signs of life wait
 * behind it, and hosts that hear none for 900 ms look for another controller.
 */
#define TELL_SPAN_S 0.25
/* Nor may what one host is told fill its own link, which is not known here: so
 * much takes 0.1 s of 10 Mbit/s. */
#define TELL_MOST 131072
/* Of the link, for copies that single hosts ask for: the rest is callers'. */
#define COPIES_PART 0.25
/* A link that the settings do not tell, in Mbit/s. */
#define LINK_UNKNOWN 100.0

/* Bytes that a link takes in a second. */
static double
link_bytes(double link_mbps)
{
	return ((link_mbps > 0 ? link_mbps : LINK_UNKNOWN) * 1e6 / 8);
}

/* True where so many bytes may be told to each of so many hosts at once. */
int
pace_fits(size_t bytes, int hosts, double link_mbps)
{
	return (bytes <= TELL_MOST &&
	    (double)bytes * hosts <= link_bytes(link_mbps) * TELL_SPAN_S);
}

/* True where one copy may be sent now. */
int
pace_free(const struct pace *p, usec now)
{
	return (now >= p->free_at);
}

/* One was sent. */
void
pace_sent(struct pace *p, size_t bytes, double link_mbps, usec now)
{
	double s = (double)bytes / (link_bytes(link_mbps) * COPIES_PART);

	p->free_at = now + (usec)(s * 1e6);
}
