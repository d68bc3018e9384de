/* How busy a target is, as it tells with its answers. */
#ifndef LOAD_H
#define LOAD_H

struct load {
	int told;    /* else nothing is known */
	int running; /* requests in its slots */
	int waiting;
	int slots; /* 0 is not told */
	int pace;  /* time that work takes there now, in percent of the usual;
		      0 is not told */
};

#endif
