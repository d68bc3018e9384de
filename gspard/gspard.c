/* gspard: the daemon that runs on every host and routes callers' requests. */
#include <argp.h>
#include <malloc.h>
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
#include "held.h"
#include "linger.h"
#include "room.h"
#include "stop_plan.h"
#include "settings.h"
#include "tunnel.h"

/* How long a stop waits for handovers, and then for calls to end. */
#define HANDOVER_MAX_MS 8000
#define DRAIN_MAX_MS 10000
/* How long keep-alive connections are served before the listener closes; each
 * answer tells the caller to close. */
#define LISTENER_CLOSE_DELAY_MS 300
/* Time for libmicrohttpd to write the last answers. */
#define FLUSH_MS 50
/* Interval between checks for open connections. */
#define POLL_MS 10
/* The router answers all remaining calls at the end of the stop plan; after
 * this time the answers have reached the callers. */
#define ANSWER_TRANSIT_MS 150
/* How long a newly accepted connection may take to send its request. */
#define FIRST_REQUEST_MS 250
/* Allocations from this size in bytes on go back to the system when they are
 * freed: the body of a large answer would leave a hole as it grows. */
#define LARGE_ALLOCATION (256 * 1024)

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
parse_option(int key, char *arg, struct argp_state *st)
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

static const struct argp argp = {options, parse_option, NULL,
    "Routes callers' requests to the servers that own their keys.", 0, 0, 0};

/* Prints one error in the settings. */
static void
print_setting_error(const char *name, int line, const char *what)
{
	if (line > 0)
		fprintf(stderr, "%s:%d: %s\n", name, line, what);
	else
		fprintf(stderr, "%s: %s\n", name, what);
}

/* Services in start order with FORM_NATIVE. */
static const struct service_ops *const native_services[] = {&linger_service,
    &platform_service, &peer_service, &dispatch_service, &control_service,
    &router_service, &door_service, &admin_service, NULL};
/* Services in start order with FORM_OBJECTS, where hosts send to targets
 * directly. */
static const struct service_ops *const objects_services[] = {&linger_service,
    &platform_service, &peer_service, &sitectl_service, &direct_service,
    &door_service, &watch_service, &probe_service, &reach_service,
    &tunnel_service, NULL};

/* Sends MSG_STOP to a service. */
static void
send_stop(struct kernel *k, const char *name)
{
	while (kernel_send(k, name, msg_new(MSG_STOP)) != 0)
		apr_sleep(MS(1));
}

/* Sends MSG_STOP with the stop plan to a service. */
static void
send_stop_plan(struct kernel *k, const char *name, const struct stop_plan *plan)
{
	struct stop_plan *copy = malloc(sizeof(*copy));

	if (copy == NULL) {
		send_stop(k, name);
		return;
	}
	*copy = *plan;
	while (msg_post(k, name, MSG_STOP, copy, NULL) != 0)
		apr_sleep(MS(1));
}

/*
 * Serves the open connections until all calls are answered and their callers
 * have the answers, at most until `until`, and closes idle ones.  Relayed
 * requests of other hosts are waited for, too.  After that no calls are
 * accepted.
 */
static void
drain_connections(struct kernel *k, usec until)
{
	struct linger_list *l = linger_find(k);

	while ((door_connections(k) > 0 || tunnel_count(k) > 0 ||
		   linger_count(l) > 0) &&
	    clock_mono() < until) {
		door_close_idle(k);
		apr_sleep(MS(POLL_MS));
	}
	door_refuse_calls(k);
	/* libmicrohttpd needs some time to write the last answers. */
	apr_sleep(MS(FLUSH_MS));
}

/*
 * Orderly stop.  The host first reports the stop to the load balancer and hands
 * over its targets and control, while it still accepts and relays requests.
 * Then it waits for the calls in flight, which are not cut off.
 */
static void
stop_native(struct kernel *k)
{
	log_line(LOG_NOTICE, "kernel", "Stopping.");
	event_add("kernel", 0, "stopping");
	send_stop(k, "door");
	send_stop(k, "control");
	send_stop(k, "dispatch");
	if (kernel_wait_step(k, "control", HANDOVER_MAX_MS) != 0)
		log_line(LOG_WARNING, "kernel",
		    "Targets or control not handed over in time, stopping.");
	apr_sleep(MS(LISTENER_CLOSE_DELAY_MS));
	door_close_listener(k);
	apr_sleep(MS(FIRST_REQUEST_MS));
	drain_connections(k, clock_mono() + MS(DRAIN_MAX_MS));
	log_line(LOG_NOTICE, "kernel", "Stopped.");
}

/*
 * Orderly stop where the load balancer learns of it by its probe.  It sends
 * callers here until a second probe has failed.  They are served meanwhile, as
 * many hosts may stop at once and then no other host could serve them.  After
 * that, the open connections are served until the last call is answered.
 */
static void
stop_objects(struct kernel *k)
{
	struct stop_plan plan =
	    stop_plan_make(clock_mono(), MS(kernel_conf(k)->bounds.stop_ms));
	usec left;

	log_line(LOG_NOTICE, "kernel", "Stopping, %d calls in flight.",
	    door_inflight());
	send_stop(k, "probe");
	send_stop(k, "door");
	send_stop(k, "tunnel");
	send_stop_plan(k, "router", &plan);
	send_stop_plan(k, "control", &plan);
	while (clock_mono() < plan.accept_all_until)
		apr_sleep(MS(POLL_MS));
	door_close_listener(k);
	apr_sleep(MS(FIRST_REQUEST_MS));
	drain_connections(k, plan.end + MS(ANSWER_TRANSIT_MS));
	/* A controller that cannot release control, as the store is
	 * unavailable, keeps it until the end of the plan. */
	left = plan.end - clock_mono();
	if (left > 0)
		kernel_wait_step(k, "control", (int)(left / 1000));
	log_line(LOG_NOTICE, "kernel", "Stopped, %d calls in flight.",
	    door_inflight());
}

/* True if nothing outside [bounds] differs; only that may change at runtime. */
static int
differs_only_in_bounds(const struct conf *a, const struct conf *b)
{
	struct conf c = *b;

	c.bounds = a->bounds;
	return (memcmp(a, &c, sizeof(c)) == 0);
}

/* Logs one error in settings that are reloaded. */
static void
log_setting_error(const char *name, int line, const char *what)
{
	log_line(LOG_ERR, "kernel", "%s:%d: %s", name, line, what);
}

/*
 * Reloads the settings.  A file with an error, or with a change that needs a
 * restart, is rejected as a whole.  Replaced settings are not freed: threads
 * read them without a lock, and changes are rare.
 */
static void
reload_settings(struct kernel *k)
{
	const struct conf *old = kernel_conf(k);
	struct conf *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL || conf_read(c, file, log_setting_error) != 0) {
		log_line(LOG_ERR, "kernel",
		    "Settings rejected, the previous ones stay in use.");
		free(c);
		return;
	}
	if (!differs_only_in_bounds(old, c)) {
		log_line(LOG_WARNING, "kernel",
		    "Settings outside [bounds] changed, which needs a restart; "
		    "the previous ones stay in use.");
		free(c);
		return;
	}
	if (memcmp(old, c, sizeof(*c)) == 0) {
		log_line(
		    LOG_INFO, "kernel", "Settings reloaded, nothing changed.");
		free(c);
		return;
	}
	kernel_set_conf(k, c);
	log_line(LOG_NOTICE, "kernel", "Settings reloaded.");
}

/* Modification time of the settings file in nanoseconds, 0 on error. */
static long long
settings_mtime(void)
{
	struct stat st;

	if (stat(file, &st) != 0)
		return (0);
	return (st.st_mtim.tv_sec * 1000000000ll + st.st_mtim.tv_nsec);
}

/* Waits for a signal to stop; reloads the settings on SIGHUP or a change. */
static void
wait_for_stop(struct kernel *k, const sigset_t *set)
{
	static const struct timespec poll_interval = {1, 0};
	long long mtime = settings_mtime(), now;
	int sig;

	for (;;) {
		sig = sigtimedwait(set, NULL, &poll_interval);
		if (sig == SIGTERM || sig == SIGINT)
			return;
		now = settings_mtime();
		if (sig != SIGHUP && (now == 0 || now == mtime))
			continue;
		mtime = now;
		reload_settings(k);
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

	mallopt(M_MMAP_THRESHOLD, LARGE_ALLOCATION);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	settings_add_aliases();
	if (conf_read(&conf, file, print_setting_error) != 0)
		return (1);
	if (check_only)
		return (0);
	held_init(room_content_max(conf.memory_mb));
	log_open(conf.host, verbose);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (apr_initialize() != APR_SUCCESS)
		return (1);
	/* No TLS: the daemon makes plain HTTP calls only. */
	curl_global_init(CURL_GLOBAL_NOTHING);
	if (event_init() != 0 || (k = kernel_new(&conf)) == NULL)
		goto out;
	list = conf.form == FORM_OBJECTS ? objects_services : native_services;
	for (; *list != NULL; list++) {
		if (kernel_add(k, *list) != 0)
			goto quit;
	}
	if (kernel_start(k) != 0)
		goto quit;
	event_add("kernel", 0, "started");
	log_line(LOG_NOTICE, "kernel", "Started in data centre %s.", conf.dc);
	wait_for_stop(k, &set);
	if (conf.form == FORM_OBJECTS)
		stop_objects(k);
	else
		stop_native(k);
	res = 0;
quit:
	kernel_quit(k);
	kernel_free(k);
out:
	curl_global_cleanup();
	apr_terminate();
	return (res);
}
