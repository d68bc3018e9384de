/* gspard: the daemon that every entry host runs. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_time.h>
#include <curl/curl.h>

#include "call.h"
#include "gspard.h"

/* How long a stop waits for handing over, and then for calls to end. */
#define HAND_OVER_MS 8000
#define CALLS_END_MS 10000
/* How long kept connections are served on, each told to close. */
#define LINGER_MS 300
#define SETTLE_MS 50
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

/* The services in the order in which they start. */
static const struct service_ops *const services[] = {
    &platform_service,
    &peer_service,
    &dispatch_service,
    &control_service,
    &router_service,
    &door_service,
    &admin_service,
};
#define NSERVICES (sizeof(services) / sizeof(services[0]))

/* Sends the order to stop to a service. */
static void
order_stop(struct kernel *k, const char *name)
{
	while (kernel_send(k, name, msg_new(MSG_STOP)) != 0)
		apr_sleep(MS(1));
}

/*
 * Stops in order.  The host first says so to the balancer and hands its
 * targets and control over, while it still takes and relays requests; then it
 * waits for the calls under way.  Nothing in flight is cut off.
 */
static void
stop(struct kernel *k)
{
	int waited;

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
	door_bar(k);
	for (waited = 0; door_inflight() > 0 && waited < CALLS_END_MS;
	     waited += 10)
		apr_sleep(MS(10));
	/* The library needs a moment to write the last answers. */
	apr_sleep(MS(SETTLE_MS));
	log_line(LOG_NOTICE, "kernel", "Stopped.");
}

/* Waits for the signal to stop; others are explained in the log. */
static void
wait_for_stop(const sigset_t *set)
{
	int sig;

	while (sigwait(set, &sig) == 0 && sig != SIGTERM && sig != SIGINT)
		log_line(LOG_NOTICE, "kernel",
		    "SIGHUP changes nothing: settings are read at start, the "
		    "catalogue by itself.");
}

int
main(int argc, char **argv)
{
	struct conf conf;
	struct kernel *k;
	sigset_t set;
	size_t i;
	int res = 1;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
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
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (event_open() != 0 || (k = kernel_new(&conf)) == NULL)
		goto out;
	for (i = 0; i < NSERVICES; i++) {
		if (kernel_add(k, services[i]) != 0)
			goto quit;
	}
	if (kernel_start(k) != 0)
		goto quit;
	event_add("kernel", 0, "started");
	log_line(LOG_NOTICE, "kernel", "Started in %s.", conf.dc);
	wait_for_stop(&set);
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
