/* gspard: the daemon that every entry host runs. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <apr_general.h>
#include <apr_time.h>
#include <curl/curl.h>

#include "call.h"
#include "gspard.h"
#include "stop_plan.h"
#include "settings.h"

/* How long a stop waits for handing over, and then for calls to end. */
#define HAND_OVER_MS 8000
#define CALLS_END_MS 10000
/* How long kept connections are served on, each told to close. */
#define LINGER_MS 300
#define SETTLE_MS 50
/* Between looks whether they have. */
#define LOOK_MS 10
/* The router answers what is left at the end of its time; so much later it has
 * been heard by its callers. */
#define ANSWERED_MS 150
/* A request is awaited so long on a connection that was let in. */
#define LATE_MS 250

static const char *file;
static int check_only;
static int verbose;

const char *argp_program_version = "gspard 0.1";

static const struct argp_option options[] = {
    {"file", 'f', "FILE", 0, "Read the settings from FILE", 0},
    {"check", 'n', NULL, 0, "Check the settings and exit", 0},
    {"debug", 'd', NULL, 0, "Log more", 0},
    {0},
};

/* Reads one option. */
static error_t
parse(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case 'f':
		file = arg;
		break;
	case 'n':
		check_only = 1;
		break;
	case 'd':
		verbose = 1;
		break;
	case ARGP_KEY_ARG:
		argp_error(st, "unexpected argument: %s", arg);
		break;
	case ARGP_KEY_END:
		if (file == NULL)
			argp_error(st, "-f FILE is needed");
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

static const struct argp argp = {options, parse, NULL,
    "Routes callers' requests to the servers that own their keys.", 0, 0, 0};

/* Prints one fault of the settings. */
static void
bad_setting(const char *name, int line, const char *what)
{
	if (line > 0)
		fprintf(stderr, "%s:%d: %s\n", name, line, what);
	else
		fprintf(stderr, "%s: %s\n", name, what);
}

/* The services in the order in which they start: with our own interface ... */
static const struct service_ops *const native_services[] = {&platform_service,
    &peer_service, &dispatch_service, &control_service, &router_service,
    &door_service, &admin_service, NULL};
/* ... and on a platform of objects, where hosts send to targets themselves. */
static const struct service_ops *const objects_services[] = {&platform_service,
    &peer_service, &keeper_service, &direct_service, &door_service,
    &watch_service, &probe_service, NULL};

/* Sends the order to stop to a service. */
static void
order_stop(struct kernel *k, const char *name)
{
	while (kernel_send(k, name, msg_new(MSG_STOP)) != 0)
		apr_sleep(MS(1));
}

/* Sends the order to stop, and until when, to a service. */
static void
order_leave(struct kernel *k, const char *name, const struct stop_plan *plan)
{
	struct stop_plan *copy = malloc(sizeof(*copy));

	if (copy == NULL) {
		order_stop(k, name);
		return;
	}
	*copy = *plan;
	while (msg_post(k, name, MSG_STOP, copy, NULL) != 0)
		apr_sleep(MS(1));
}

/*
 * Serves who is connected until all have had their answers, at most until a
 * moment; who is idle is let go.  Then no more is taken.
 */
static void
end_connections(struct kernel *k, usec until)
{
	while (door_connections(k) > 0 && clock_mono() < until) {
		door_end_idle(k);
		apr_sleep(MS(LOOK_MS));
	}
	door_bar(k);
	/* The library needs a moment to write the last answers. */
	apr_sleep(MS(SETTLE_MS));
}

/*
 * Stops in order.  The host first says so to the balancer and hands its
 * targets and control over, while it still takes and relays requests; then it
 * waits for the calls under way.  Nothing in flight is cut off.
 */
static void
stop(struct kernel *k)
{
	log_line(LOG_NOTICE, "kernel", "Stopping.");
	event_add("kernel", 0, "stopping");
	order_stop(k, "door");
	order_stop(k, "control");
	order_stop(k, "dispatch");
	if (kernel_wait(k, "control", HAND_OVER_MS) != 0)
		log_line(LOG_WARNING, "kernel",
		    "Nobody took this host's targets over.");
	apr_sleep(MS(LINGER_MS));
	door_shut(k);
	apr_sleep(MS(LATE_MS));
	end_connections(k, clock_mono() + MS(CALLS_END_MS));
	log_line(LOG_NOTICE, "kernel", "Stopped.");
}

/*
 * Stops in order where the balancer is told by a probe.  Callers come until it
 * has asked twice; they are served meanwhile, for many hosts may stop at the
 * same time, and then there is nobody else.  Then those who are connected are
 * served until the last has its answer.
 */
static void
stop_objects(struct kernel *k)
{
	struct stop_plan plan =
	    stop_plan_make(clock_mono(), MS(kernel_conf(k)->bounds.stop_ms));
	usec left;

	log_line(LOG_NOTICE, "kernel", "Stopping, %d calls under way.",
	    door_inflight());
	order_stop(k, "probe");
	order_stop(k, "door");
	order_leave(k, "router", &plan);
	order_leave(k, "control", &plan);
	while (clock_mono() < plan.accept_all_until)
		apr_sleep(MS(LOOK_MS));
	door_shut(k);
	apr_sleep(MS(LATE_MS));
	end_connections(k, plan.end + MS(ANSWERED_MS));
	/* A controller that cannot give control back, for the store is away,
	 * goes on with it as long as it may. */
	left = plan.end - clock_mono();
	if (left > 0)
		kernel_wait(k, "control", (int)(left / 1000));
	log_line(LOG_NOTICE, "kernel", "Stopped, %d calls under way.",
	    door_inflight());
}

/* What of the settings can change while the daemon runs. */
static int
same_but_bounds(const struct conf *a, const struct conf *b)
{
	struct conf c = *b;

	c.bounds = a->bounds;
	return (memcmp(a, &c, sizeof(c)) == 0);
}

/* Reports one fault of settings that are read again. */
static void
bad_again(const char *name, int line, const char *what)
{
	log_line(LOG_ERR, "kernel", "%s:%d: %s", name, line, what);
}

/*
 * Reads the settings again.  What is faulty, or cannot change without a start,
 * is refused as a whole and the earlier stay.  They are not freed: threads
 * read them without a lock, and changes are rare.
 */
static void
read_again(struct kernel *k)
{
	const struct conf *was = kernel_conf(k);
	struct conf *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL || conf_read(c, file, bad_again) != 0) {
		log_line(LOG_ERR, "kernel",
		    "Settings refused, the earlier stay in force.");
		free(c);
		return;
	}
	if (!same_but_bounds(was, c)) {
		log_line(LOG_WARNING, "kernel",
		    "Settings changed beyond [bounds]: that needs a start; the "
		    "earlier stay in force.");
		free(c);
		return;
	}
	if (memcmp(was, c, sizeof(*c)) == 0) {
		log_line(LOG_INFO, "kernel", "Settings read, nothing changed.");
		free(c);
		return;
	}
	kernel_set_conf(k, c);
	log_line(LOG_NOTICE, "kernel", "Settings changed, in force.");
}

/* When the settings file was changed last, in nanoseconds. */
static long long
changed_at(void)
{
	struct stat st;

	if (stat(file, &st) != 0)
		return (0);
	return (st.st_mtim.tv_sec * 1000000000ll + st.st_mtim.tv_nsec);
}

/* Waits for the signal to stop; reads changed settings meanwhile. */
static void
wait_for_stop(struct kernel *k, const sigset_t *set)
{
	static const struct timespec look = {1, 0};
	long long at = changed_at(), now;
	int sig;

	for (;;) {
		sig = sigtimedwait(set, NULL, &look);
		if (sig == SIGTERM || sig == SIGINT)
			return;
		now = changed_at();
		if (sig != SIGHUP && (now == 0 || now == at))
			continue;
		at = now;
		read_again(k);
	}
}

int
main(int argc, char **argv)
{
	struct conf conf;
	struct kernel *k;
	sigset_t set;
	const struct service_ops *const *list;
	int res = 1;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	platform_settings();
	if (conf_read(&conf, file, bad_setting) != 0)
		return (1);
	if (check_only)
		return (0);
	log_open(conf.host, verbose);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (apr_initialize() != APR_SUCCESS)
		return (1);
	/* No TLS: all that is called here is plain HTTP. */
	curl_global_init(CURL_GLOBAL_NOTHING);
	if (event_open() != 0 || (k = kernel_new(&conf)) == NULL)
		goto out;
	list = conf.form == FORM_OBJECTS ? objects_services : native_services;
	for (; *list != NULL; list++) {
		if (kernel_add(k, *list) != 0)
			goto quit;
	}
	if (kernel_start(k) != 0)
		goto quit;
	event_add("kernel", 0, "started");
	log_line(LOG_NOTICE, "kernel", "Started in %s.", conf.dc);
	wait_for_stop(k, &set);
	if (conf.form == FORM_OBJECTS)
		stop_objects(k);
	else
		stop(k);
	res = 0;
quit:
	kernel_quit(k);
	kernel_free(k);
out:
	curl_global_cleanup();
	apr_terminate();
	return (res);
}
