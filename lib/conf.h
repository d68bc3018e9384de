/* The settings file of gspard, checked whole. */
#ifndef CONF_H
#define CONF_H

#include "str.h"

#define ADDR_MAX_GS 64

/* Addresses of the platform at most. */
#define PLATFORMS_MAX 4

/* Starting point of the settings; see gspard.conf(5). */
struct conf {
	char host[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char callers[ADDR_MAX_GS];
	char peers[ADDR_MAX_GS];
	char reached[ADDR_MAX_GS]; /* peers, as other hosts reach it */
	char admin[ADDR_MAX_GS];
	char platform[PLATFORMS_MAX][ADDR_MAX_GS];
	int nplatforms;
	int control_lease_ms;
	int host_lease_ms;
	int renew_ms;
	int grant_ms;
};

/* Reports one fault: file, line (0 where none), what and what is allowed. */
typedef void (*conf_bad_fn)(const char *file, int line, const char *what);

int conf_read(struct conf *, const char *file, conf_bad_fn);
int addr_split(const char *addr, char *ip, size_t ipsize, int *port);

#endif
