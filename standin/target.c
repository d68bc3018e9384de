/*
 * Stand-in for a target: a server that owns shards by fenced grants, runs
 * requests in slots, and writes a journal of grants and runs.
 */
#include <argp.h>
#include <err.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "web.h"

#define MAX_SHARDS 65536
#define MAX_SERVICES 8
#define MAX_RUNNING 256

struct service {
	char name[64];
	json_int_t fence[MAX_SHARDS];
};

struct run {
	char id[128];
	int cancelled;
};

static struct service services[MAX_SERVICES];
static int nservices;
static usec grant_until; /* expiry of the grant, by own_clock */
static json_int_t highest_epoch;
static json_int_t highest_seq;
static usec clock_offset; /* own_clock minus the machine's clock */
static long boot;
static struct run running[MAX_RUNNING];
static int nrunning;
static unsigned long ran;
static unsigned long shed;

static int slots = 4;
static int work_ms = 2;
static int unchecked;
static int fail_all;
static int false_load = -1;  /* load to report instead of the real one */
static int truncate_answers; /* truncates bodies */
static int break_heads;	     /* breaks answers off in their heads */
static int draining;	     /* 1 reports that it is leaving, 2 also refuses */
static const char *listen_addr;
static const char *name = "target";
static FILE *journal;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t run_cancelled = PTHREAD_COND_INITIALIZER;

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to serve", 0},
    {"name", 'n', "NAME", 0, "Name in answers and the journal", 0},
    {"journal", 'j', "FILE", 0, "Append the journal to FILE", 0},
    {"slots", 's', "N", 0, "Requests that run at once", 0},
    {"work", 'w', "MS", 0, "Time a request takes", 0},
    {"unchecked", 'u', NULL, 0, "Accept any grant and request unchecked", 0},
    {0},
};

/* Parses one option. */
static error_t
parse_option(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case 'l':
		listen_addr = arg;
		break;
	case 'n':
		name = arg;
		break;
	case 'j':
		journal = fopen(arg, "a");
		if (journal == NULL)
			err(1, "%s", arg);
		setvbuf(journal, NULL, _IOLBF, 0);
		break;
	case 's':
		slots = atoi(arg);
		break;
	case 'w':
		work_ms = atoi(arg);
		break;
	case 'u':
		unchecked = 1;
		break;
	case ARGP_KEY_END:
		if (listen_addr == NULL)
			argp_error(st, "--listen is required");
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

static const struct argp argp = {
    options, parse_option, NULL, "Stand-in for a target", 0, 0, 0};

/* This server's own clock, which has another origin in each process. */
static usec
own_clock(void)
{
	return (clock_mono() + clock_offset);
}

/* Finds or adds a service; the lock is held. */
static struct service *
find_service(const char *s)
{
	int i;

	for (i = 0; i < nservices; i++) {
		if (strcmp(services[i].name, s) == 0)
			return (&services[i]);
	}
	if (nservices == MAX_SERVICES)
		errx(1, "too many services");
	snprintf(services[nservices].name, sizeof(services[0].name), "%s", s);
	return (&services[nservices++]);
}

/*
 * Writes a line to the journal: hold, drop, until or boot, then service, shard,
 * fence and time.  Times are of the machine's monotonic clock, so that the
 * journals of all targets can be compared.
 */
static void
write_journal(
    const char *fmt, const char *s, long shard, json_int_t fence, usec at)
{
	if (journal != NULL)
		fprintf(
		    journal, fmt, s, shard, (long long)fence, (long long)at);
}

/* Drops all shards, as of the grant's expiry, if it has expired; the lock is
 * held. */
static void
expire_grant(void)
{
	int k;
	long n;

	if (grant_until > own_clock())
		return;
	for (k = 0; k < nservices; k++) {
		for (n = 0; n < MAX_SHARDS; n++) {
			if (services[k].fence[n] == 0)
				continue;
			write_journal("drop %s %ld %lld %lld\n",
			    services[k].name, n, services[k].fence[n],
			    grant_until - clock_offset);
			services[k].fence[n] = 0;
		}
	}
}

/* Replaces the owned shards by those of a grant; the lock is held. */
static void
replace_shards(json_t *all, usec now)
{
	json_t *one, *set;
	const char *s;
	struct service *v;
	json_int_t *new_fence;
	size_t i, n;
	int k;

	new_fence = calloc(MAX_SHARDS, sizeof(*new_fence));
	for (k = 0; k < nservices; k++) {
		if (json_object_get(all, services[k].name) == NULL)
			json_object_set_new(
			    all, services[k].name, json_array());
	}
	json_object_foreach(all, s, set)
	{
		v = find_service(s);
		memset(new_fence, 0, MAX_SHARDS * sizeof(*new_fence));
		json_array_foreach(set, i, one)
		{
			n = (size_t)json_integer_value(json_array_get(one, 0));
			if (n < MAX_SHARDS)
				new_fence[n] =
				    json_integer_value(json_array_get(one, 1));
		}
		for (n = 0; n < MAX_SHARDS; n++) {
			if (new_fence[n] == v->fence[n])
				continue;
			if (v->fence[n] != 0)
				write_journal("drop %s %ld %lld %lld\n", s,
				    (long)n, v->fence[n], now);
			if (new_fence[n] != 0)
				write_journal("hold %s %ld %lld %lld\n", s,
				    (long)n, new_fence[n], now);
			v->fence[n] = new_fence[n];
		}
	}
	free(new_fence);
}

/* Handles a grant or renewal; refuses one of an older epoch or sequence number,
 * or that has expired. */
static void
handle_grant(const struct web_request *q, struct web_answer *a)
{
	json_t *j, *all;
	json_int_t epoch, seq;
	usec now, new_until;
	char text[160];
	int n;

	j = json_loadb(q->body.p, q->body.n, 0, NULL);
	if (j == NULL) {
		a->status = 400;
		return;
	}
	epoch = json_integer_value(json_object_get(j, "epoch"));
	seq = json_integer_value(json_object_get(j, "seq"));
	new_until = json_integer_value(json_object_get(j, "until"));
	all = json_object_get(j, "shards");
	now = clock_mono();
	if (new_until <= own_clock() && new_until != 0)
		a->status = 410;
	else if (!unchecked &&
	    (epoch < highest_epoch ||
		(epoch == highest_epoch && seq <= highest_seq)))
		a->status = 409;
	else if (all == NULL && grant_until <= own_clock())
		a->status = 410;
	else {
		expire_grant();
		if (all != NULL)
			replace_shards(all, now);
		highest_epoch = epoch;
		highest_seq = seq;
		grant_until = new_until;
		write_journal("until %s %ld %lld %lld\n", "-", 0L, 0,
		    grant_until - clock_offset);
	}
	json_decref(j);
	n = snprintf(text, sizeof(text),
	    "{\"clock\":%lld,\"boot\":%ld,\"leaving\":%s}",
	    (long long)own_clock(), boot, draining ? "true" : "false");
	str_set(&a->body, text, (size_t)n);
}

/* True if this server owns the shard with that fence; the lock is held. */
static int
owns(const char *s, long shard, long long fence)
{
	struct service *v = find_service(s);

	return (shard >= 0 && shard < MAX_SHARDS && grant_until > own_clock() &&
	    v->fence[shard] != 0 && v->fence[shard] == fence);
}

/* Answers that a request was not run. */
static void
reply_not_run(struct web_answer *a, int status, const char *why)
{
	a->status = status;
	a->header_name = "Gspar-Outcome";
	a->header_value = "not_run";
	str_set(&a->body, why, strlen(why));
}

/* Waits for the time of a run, or until it is cancelled; returns true if it
 * was.  The lock is held. */
static int
wait_run(struct run *r, int ms)
{
	struct timespec ts;
	usec end;

	end = clock_wall() + MS(ms);
	ts.tv_sec = end / US_PER_SEC;
	ts.tv_nsec = end % US_PER_SEC * 1000;
	while (!r->cancelled) {
		if (pthread_cond_timedwait(&run_cancelled, &lock, &ts) ==
		    ETIMEDOUT)
			break;
	}
	return (r->cancelled);
}

/* Finds a free entry for a run, or NULL; the lock is held. */
static struct run *
find_free_run(void)
{
	int i;

	for (i = 0; i < MAX_RUNNING; i++) {
		if (running[i].id[0] == '\0')
			return (&running[i]);
	}
	return (NULL);
}

/* Handles a request: /run/SERVICE/KEY[/REST]; the lock is held. */
static void
handle_run(const struct web_request *q, struct web_answer *a)
{
	char s[64], key[300], text[1024];
	const char *id, *idkey;
	long shard, ms, size;
	long long fence, deadline;
	struct run *r;
	usec from;
	int n, cancelled_early;

	if (sscanf(q->path, "/%*[^/]/%63[^/]/%299[^/]", s, key) != 2) {
		a->status = 404;
		return;
	}
	id = web_header(q, "Gspar-Id");
	shard = web_parse_number(web_header(q, "Gspar-Shard"), -1);
	fence = web_parse_number(web_header(q, "Gspar-Fence"), 0);
	deadline = web_parse_number(web_header(q, "Gspar-Deadline"), 0);
	ms = web_parse_number(web_arg(q, "work"), work_ms);
	size = web_parse_number(web_arg(q, "size"), 0);
	idkey = web_header(q, "Idempotency-Key");
	if (!unchecked && !owns(s, shard, fence)) {
		reply_not_run(a, 409, "not mine\n");
		return;
	}
	if (deadline != 0 && deadline <= own_clock()) {
		reply_not_run(a, 504, "too late\n");
		return;
	}
	r = find_free_run();
	if (nrunning >= slots || r == NULL || draining == 2) {
		shed++;
		reply_not_run(a, 503, "busy\n");
		return;
	}
	from = clock_mono();
	snprintf(r->id, sizeof(r->id), "%s", id == NULL ? "?" : id);
	r->cancelled = 0;
	nrunning++;
	if (journal != NULL)
		fprintf(journal, "start %s %ld %lld %lld %s %s\n", s, shard,
		    fence, (long long)from, key, idkey == NULL ? "-" : idkey);
	cancelled_early = wait_run(r, (int)ms);
	nrunning--;
	r->id[0] = '\0';
	ran++;
	if (journal != NULL)
		fprintf(journal, "end %s %ld %lld %lld %s %s %s\n", s, shard,
		    fence, (long long)clock_mono(), key,
		    idkey == NULL ? "-" : idkey,
		    cancelled_early ? "cancelled" : "done");
	if (fail_all) {
		a->status = 500;
		return;
	}
	n = snprintf(text, sizeof(text), "%s %s %s %s %ld\n", name, s, key,
	    idkey == NULL ? "-" : idkey, size);
	str_set(&a->body, text, (size_t)n);
	while (size > 0) {
		n = size > 1000 ? 1000 : (int)size;
		memset(text, '.', (size_t)n);
		str_add(&a->body, text, (size_t)n);
		size -= n;
	}
	if (truncate_answers)
		a->truncate_at = a->body.n / 2;
	if (break_heads)
		web_break_head(a);
}

/* Cancels a run by its id; answers 404 if there is none. */
static void
handle_cancel(const struct web_request *q, struct web_answer *a)
{
	const char *id = web_arg(q, "id");
	int i;

	a->status = 404;
	for (i = 0; id != NULL && i < MAX_RUNNING; i++) {
		if (strcmp(running[i].id, id) != 0)
			continue;
		running[i].cancelled = 1;
		pthread_cond_broadcast(&run_cancelled);
		a->status = 200;
	}
}

/* Answers with the load, or with the false one that was set. */
static void
reply_load(struct web_answer *a)
{
	char text[128];
	int n;

	n = snprintf(text, sizeof(text),
	    "{\"running\":%d,\"slots\":%d,\"ran\":%lu,\"shed\":%lu}\n",
	    false_load >= 0 ? false_load : nrunning, slots, ran, shed);
	str_set(&a->body, text, (size_t)n);
}

/* Sets faults. */
static void
set_faults(const struct web_request *q)
{
	fail_all = (int)web_parse_number(web_arg(q, "fail"), fail_all);
	false_load = (int)web_parse_number(web_arg(q, "lie"), false_load);
	work_ms = (int)web_parse_number(web_arg(q, "work"), work_ms);
	truncate_answers =
	    (int)web_parse_number(web_arg(q, "cut"), truncate_answers);
	break_heads =
	    (int)web_parse_number(web_arg(q, "cut_head"), break_heads);
	draining = (int)web_parse_number(web_arg(q, "drain"), draining);
}

/* Handles any call. */
static void
handle_call(const struct web_request *q, struct web_answer *a)
{
	char text[160];
	int n;

	pthread_mutex_lock(&lock);
	if (strcmp(q->path, "/grant") == 0)
		handle_grant(q, a);
	else if (strcmp(q->path, "/clock") == 0) {
		n = snprintf(text, sizeof(text),
		    "{\"clock\":%lld,\"boot\":%ld,\"leaving\":%s}",
		    (long long)own_clock(), boot, draining ? "true" : "false");
		str_set(&a->body, text, (size_t)n);
	} else if (strncmp(q->path, "/run/", 5) == 0 ||
	    strncmp(q->path, "/v1/", 4) == 0)
		handle_run(q, a);
	else if (strcmp(q->path, "/cancel") == 0)
		handle_cancel(q, a);
	else if (strcmp(q->path, "/load") == 0)
		reply_load(a);
	else if (strcmp(q->path, "/fault") == 0)
		set_faults(q);
	else
		a->status = 404;
	pthread_mutex_unlock(&lock);
}

int
main(int argc, char **argv)
{
	sigset_t set;
	int sig;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	srandom((unsigned)(clock_wall() ^ getpid()));
	boot = random() % 1000000 + 1;
	clock_offset = (random() % 1000) * US_PER_SEC;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	write_journal("boot %s %ld %lld %lld\n", "-", 0L, 0, clock_mono());
	if (web_start(listen_addr, handle_call) == NULL)
		errx(1, "cannot listen on %s", listen_addr);
	sigwait(&set, &sig);
	_exit(0);
}
