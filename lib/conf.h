/* The settings file of gspard. */
#ifndef CONF_H
#define CONF_H

#include "str.h"

#define ADDR_MAX_GS 64

/* Memory of the smallest hosts that take a body of 64 MB, in MB; assumed unless
 * it is set. */
#define MEMORY_MB_DEFAULT 120

/* Maximum number of platform addresses. */
#define PLATFORMS_MAX 4

/* The platform's interface: gspard's own, or the API of single objects. */
enum conf_form { FORM_NATIVE, FORM_OBJECTS };

/* Whether requests wait for a permit of their target's admission host: if many
 * hosts send to a target, always, or never. */
enum conf_admission { ADMIT_AUTO, ADMIT_ALWAYS, ADMIT_NEVER };

/*
 * Limits that the platform sets for the hosts, in milliseconds if the name ends
 * in _ms.  Used only with the platform's interface FORM_OBJECTS; may change
 * while running.
 */
struct bounds {
	int leave_ms;	     /* until a leaving target gets no new work */
	int stop_ms;	     /* from SIGTERM until the process is killed */
	int apply_ms;	     /* until a new configuration is in force */
	int retry_window_ms; /* over which retries are counted */
	int hold_max_ms;     /* maximum duration of a grant of keys */
	double retry_share;  /* retries allowed per request */
	double retry_slack;  /* retries allowed beyond these, over all hosts */
	int heartbeat_ms;    /* interval of a target's heartbeats */
	int evacuate_ms;     /* until an evacuated data centre gets no new
				work; 0: evacuations are not followed */
};

/* The platform's name for a key of section [bounds]. */
struct conf_alias {
	const char *alias;
	const char *key;
};

/* The settings; see gspard.conf(5). */
struct conf {
	char host[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	double cores;	  /* processor cores; 0 if not set */
	double link_mbps; /* network bandwidth in Mbit/s; 0 if not set */
	int memory_mb;	  /* memory that the process may use, in MB */
	int descriptors;  /* open descriptors that it may have; 0 if not set,
			     then the operating system's limit holds */
	char source[ADDR_MAX_GS]; /* IP address from which targets are
				     connected to; "" if any */
	char callers[ADDR_MAX_GS];
	char peers[ADDR_MAX_GS];
	char
	    advertised[ADDR_MAX_GS]; /* peers' address as seen by other hosts */
	char admin[ADDR_MAX_GS];
	char platform[PLATFORMS_MAX][ADDR_MAX_GS];
	int nplatforms;
	int form;		  /* enum conf_form */
	int admission;		  /* enum conf_admission; FORM_OBJECTS only */
	char ready[ADDR_MAX_GS];  /* readiness probes; FORM_OBJECTS only */
	char tunnel[ADDR_MAX_GS]; /* other hosts' connections to targets; ""
				     if not relayed */
	struct bounds bounds;
	int control_lease_ms;
	int host_lease_ms;
	int renew_ms;
	int grant_ms;
};

/* Reports an error with the values that are allowed; line is 0 if none. */
typedef void (*conf_error_fn)(const char *file, int line, const char *msg);

void conf_set_aliases(const struct conf_alias *, int n);
int conf_read(struct conf *, const char *file, conf_error_fn);
int addr_parse(const char *addr, char *ip, size_t ipsize, int *port);

#endif
