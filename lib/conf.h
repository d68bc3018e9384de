/* The settings file of gspard, checked whole. */
#ifndef CONF_H
#define CONF_H

#include "str.h"

#define ADDR_MAX_GS 64

/* Addresses of the platform at most. */
#define PLATFORMS_MAX 4

/* How the platform is spoken to: our own interface, or object by object. */
enum conf_form { FORM_NATIVE, FORM_OBJECTS };

/*
 * What the platform asks of the hosts, in milliseconds where the name ends in
 * _ms.  Read where form is FORM_OBJECTS, and may change while running.
 */
struct bounds {
	int leave_ms;	     /* no new work to a leaving target after this */
	int stop_ms;	     /* from the order to stop to the kill */
	int apply_ms;	     /* a configuration is in force after this */
	int retry_window_ms; /* in which retries are counted */
	int hold_max_ms;     /* longest time that keys may be granted for */
	double retry_share;  /* retries allowed for each request */
	double retry_slack;  /* and beyond that, over all hosts */
	int heartbeat_ms;    /* between signs of life of a target */
	int evacuate_ms;     /* no new work in an evacuated data centre after
				this; 0 is not asked for */
};

/* Another name of a key in section [bounds], as the platform writes it. */
struct conf_alias {
	const char *theirs;
	const char *ours;
};

/* Starting point of the settings; see gspard.conf(5). */
struct conf {
	char host[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	double cores;	  /* of a processor; 0 is not told */
	double link_mbps; /* of its link, Mbit/s; 0 is not told */
	char callers[ADDR_MAX_GS];
	char peers[ADDR_MAX_GS];
	char reached[ADDR_MAX_GS]; /* peers, as other hosts reach it */
	char admin[ADDR_MAX_GS];
	char platform[PLATFORMS_MAX][ADDR_MAX_GS];
	int nplatforms;
	int form;		 /* enum conf_form */
	char ready[ADDR_MAX_GS]; /* balancer's probes; FORM_OBJECTS */
	struct bounds bounds;
	int control_lease_ms;
	int host_lease_ms;
	int renew_ms;
	int grant_ms;
};

/* Reports one fault: file, line (0 where none), what and what is allowed. */
typedef void (*conf_bad_fn)(const char *file, int line, const char *what);

void conf_aliases(const struct conf_alias *, int n);
int conf_read(struct conf *, const char *file, conf_bad_fn);
int addr_split(const char *addr, char *ip, size_t ipsize, int *port);

#endif
