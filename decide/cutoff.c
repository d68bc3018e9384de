#include "cutoff.h"

/* A controller is heard each 300 ms; another takes its place within 2.3 s of
 * its loss.  One cut off with a data centre is none to those outside. */
#define UNHEARD MS(1200)
/* Targets elsewhere that are lost before all are taken to be: with fewer, one
 * host that fell silent could be it. */
#define LOST_LEAST 3
/* They must be lost for so long: two misses of a balancer that asks each second
 * take longer, and a lost packet is sent again within it. */
#define LOST_FOR MS(300)

/* The controller was heard. */
void
cutoff_heard(struct cutoff *c, usec now)
{
	c->heard_at = now;
}

/*
 * Looks whether this data centre is cut off; true where it is.
 *
 * Callers reach a data centre that is cut off from the others, and two of three
 * of their keyed requests are for owners elsewhere: refused for as long as the
 * cut lasts.  Hosts elsewhere serve all but the keys of this data centre, and
 * those too once they are granted anew.  So hosts here ask the balancer to send
 * callers elsewhere.
 *
 * Both signs are needed.  A controller that is lost, or a store that is away,
 * leaves the targets elsewhere in reach; targets elsewhere that are lost leave
 * the controller, or another in its place, to be heard.  Where every data
 * centre is alone, none hears a controller that most hosts hear, and all ask;
 * a balancer with nobody left sends callers to them all the same.
 */
int
cutoff_look(struct cutoff *c, const struct cutoff_far *far, usec now)
{
	if (far->reached > 0 || now - c->heard_at <= UNHEARD) {
		c->lost_at = 0;
		c->off = 0;
		return (0);
	}
	if (far->lost < LOST_LEAST)
		return (c->off);
	if (c->lost_at == 0)
		c->lost_at = now;
	if (now - c->lost_at >= LOST_FOR)
		c->off = 1;
	return (c->off);
}
