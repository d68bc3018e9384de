/* gsparctl: shows the state of hosts and edits the catalogue. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "conf.h"
#include "gsparctl.h"

const char *argp_program_version = "gsparctl 0.1";

static struct options opts = {.base = -1};
static struct conf conf;
static int conf_invalid;

static const struct argp_option options[] = {
    {"admin", 'a', "IP:PORT", 0, "Admin address of the host to ask", 0},
    {"platform", 'p', "IP:PORT", 0, "Address of the platform to write to", 0},
    {"file", 'f', "FILE", 0, "Take both from a host's settings file", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {"base", 'b', "VERSION", 0, "Version the edit began from; 0: new entry", 0},
    {"wait", 'w', NULL, 0, "Wait until every host has confirmed", 0},
    {"match", 'm', "TEXT", 0, "Only events that contain TEXT", 0},
    {0},
};

/* Prints an error in the settings. */
static void
conf_error(const char *name, int line, const char *msg)
{
	fprintf(stderr, "%s:%d: %s\n", name, line, msg);
}

/* Takes the admin and platform addresses from a host's settings. */
static void
read_conf(const char *file)
{
	if (conf_read(&conf, file, conf_error) != 0) {
		conf_invalid = 1;
		return;
	}
	opts.admin = conf.admin;
	opts.platform = conf.platform[0];
}

/* Handles one option or argument. */
static error_t
parse_option(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case 'a':
		opts.admin = arg;
		break;
	case 'p':
		opts.platform = arg;
		break;
	case 'f':
		read_conf(arg);
		break;
	case 'j':
		opts.json = 1;
		break;
	case 'b':
		opts.base = atol(arg);
		break;
	case 'w':
		opts.wait = 1;
		break;
	case 'm':
		opts.match = arg;
		break;
	case ARGP_KEY_ARG:
		if (opts.nargs == 4)
			argp_error(st, "too many arguments");
		opts.args[opts.nargs++] = arg;
		break;
	case ARGP_KEY_END:
		if (opts.nargs == 0)
			argp_usage(st);
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

static const struct argp argp = {options, parse_option,
    "status\nowner SERVICE KEY\ntimeline\ncatalogue show [SERVICE]\n"
    "catalogue check FILE\ncatalogue diff FILE\ncatalogue set FILE",
    "Shows the state of hosts and edits the catalogue.", 0, 0, 0};

/* The commands. */
static const struct command {
	const char *name;
	int (*fn)(const struct options *);
} commands[] = {
    {"status", cmd_status},
    {"owner", cmd_owner},
    {"timeline", cmd_timeline},
    {"catalogue", cmd_catalogue},
};

int
main(int argc, char **argv)
{
	size_t i;
	int res = EXIT_USAGE;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (conf_invalid)
		return (EXIT_INVALID);
	if (opts.admin == NULL &&
	    !(opts.nargs > 1 && strcmp(opts.args[1], "check") == 0)) {
		fprintf(stderr, "gsparctl: no host given, use -a or -f\n");
		return (EXIT_USAGE);
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(opts.args[0], commands[i].name) == 0)
			break;
	}
	if (i < sizeof(commands) / sizeof(commands[0]))
		res = commands[i].fn(&opts);
	else
		fprintf(
		    stderr, "gsparctl: unknown command '%s'\n", opts.args[0]);
	curl_global_cleanup();
	return (res);
}
