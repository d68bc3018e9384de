/* The load of a target, as it reports it with its answers. */
#ifndef LOAD_H
#define LOAD_H

struct load {
	int reported; /* if 0, the other fields are not valid */
	int running;  /* requests in its slots */
	int waiting;
	int slots; /* 0 if not reported */
	int pace;  /* time that work takes there now, in percent of the usual;
		      0 if not reported */
};

#endif
