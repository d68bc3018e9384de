/*
 * Stand-in for callers behind the platform's load balancer: sends requests at a
 * given rate for a bounded time and checks each answer against its request.
 */
#include <argp.h>
#include <err.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>

#include "clock.h"
#include "str.h"

#define MAX_HOSTS 64
#define MAX_SECONDS 300
#define MAX_RATE 50000
#define MAX_INFLIGHT 20000
#define HOST_BACKOFF MS(200)
#define MAX_SAMPLES 4000000
#define TRIES_MAX 20

enum outcome {
	OUTCOME_OK,	 /* the expected answer */
	OUTCOME_NOT_RUN, /* an error that says the request was not run */
	OUTCOME_UNKNOWN, /* an error that doesn't say so */
	OUTCOME_BAD,	 /* an error code below 200 */
	OUTCOME_WRONG,	 /* no error, but not the expected answer */
	OUTCOME_LOST,	 /* no complete answer */
	OUTCOME_N
};
static const char *const outcome_names[OUTCOME_N] = {
    "ok", "not_run", "unknown", "bad", "wrong", "lost"};

struct host {
	char addr[64];
	usec backoff_until; /* refused a connection: not used before then */
};

struct request {
	CURL *easy;
	struct curl_slist *headers;
	struct str body;
	char key[32];
	char id[64];
	int host;
	int want_ticket; /* gets a ticket first, then confirms with it */
	int tries;
	int error_code;
	int not_run;
	usec started_at;
	usec retry_at; /* time of the retry */
	struct request *next;
};

static struct host hosts[MAX_HOSTS];
static int nhosts;
static const char *service = "lookup";
static double rate = 100;
static double seconds = 5;
static long keys = 1000;
static double skew;
static int hot_interval_s;
static int confirm;
static long work = -1;
static long size;
static long deadline_ms;
static long timeout_ms = 5000;
static const char *caller_name = "caller";
static int quiet;

static CURLM *multi;
static struct request *retry_list;
static unsigned long counts[OUTCOME_N];
static unsigned long error_counts[1000];
static unsigned long refused;
static unsigned long retries;
static float *samples;
static size_t nsamples;
static int inflight;
static unsigned long serial;
static double *zipf;
static usec first_fail, last_fail;

static const struct argp_option options[] = {
    {"to", 't', "IP:PORT,...", 0, "Hosts to send to, as a load balancer does",
	0},
    {"service", 's', "NAME", 0, "Service to request", 0},
    {"rate", 'r', "N", 0, "Requests per second", 0},
    {"seconds", 'd', "S", 0, "Duration of the load", 0},
    {"keys", 'k', "N", 0, "Number of keys", 0},
    {"skew", 'z', "A", 0, "Zipf exponent of the keys; 0 is uniform", 0},
    {"hot", 'h', "S", 0, "Change the most used keys every S seconds", 0},
    {"confirm", 'c', NULL, 0, "POST with tickets, retry unknown outcomes", 0},
    {"work", 'w', "MS", 0, "Time a request takes at the target", 0},
    {"size", 'b', "BYTES", 0, "Size of an answer", 0},
    {"deadline", 'D', "MS", 0, "Deadline of a request", 0},
    {"who", 'n', "NAME", 0, "Caller's name", 0},
    {"quiet", 'q', NULL, 0, "Print no line for each failed request", 0},
    {0},
};

/* Parses the list of hosts. */
static void
parse_hosts(char *list)
{
	char *p, *rest;

	for (p = strtok_r(list, ",", &rest); p != NULL && nhosts < MAX_HOSTS;
	     p = strtok_r(NULL, ",", &rest))
		name_copy(hosts[nhosts++].addr, sizeof(hosts[0].addr), p);
}

/* Parses one option. */
static error_t
parse_option(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case 't':
		parse_hosts(arg);
		break;
	case 's':
		service = arg;
		break;
	case 'r':
		rate = atof(arg);
		break;
	case 'd':
		seconds = atof(arg);
		break;
	case 'k':
		keys = atol(arg);
		break;
	case 'z':
		skew = atof(arg);
		break;
	case 'h':
		hot_interval_s = atoi(arg);
		break;
	case 'c':
		confirm = 1;
		break;
	case 'w':
		work = atol(arg);
		break;
	case 'b':
		size = atol(arg);
		break;
	case 'D':
		deadline_ms = atol(arg);
		break;
	case 'n':
		caller_name = arg;
		break;
	case 'q':
		quiet = 1;
		break;
	case ARGP_KEY_END:
		if (nhosts == 0 || rate <= 0 || rate > MAX_RATE ||
		    seconds <= 0 || seconds > MAX_SECONDS || keys < 1)
			argp_error(
			    st, "--to is required, or a value is out of range");
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

static const struct argp argp = {options, parse_option, NULL,
    "Sends requests and checks each answer.  Exits 1 if any is wrong.", 0, 0,
    0};

/* Sums the Zipf weights of the keys, for draw_key(). */
static void
zipf_init(void)
{
	double sum = 0;
	long i;

	zipf = malloc((size_t)keys * sizeof(*zipf));
	for (i = 0; i < keys; i++) {
		sum += 1 / pow((double)i + 1, skew);
		zipf[i] = sum;
	}
}

/* Draws a key; --hot moves the most used keys as time passes. */
static long
draw_key(usec since)
{
	double x = (double)random() / RAND_MAX * zipf[keys - 1];
	long low = 0, high = keys - 1, mid, hot_round = 0;

	while (low < high) {
		mid = (low + high) / 2;
		if (zipf[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	if (hot_interval_s > 0)
		hot_round = since / US_PER_SEC / hot_interval_s;
	return ((low + hot_round * 7919) % keys);
}

/* Collects the body of an answer. */
static size_t
on_body(char *p, size_t n, size_t m, void *arg)
{
	struct request *a = arg;

	str_add(&a->body, p, n * m);
	return (n * m);
}

/* Reads the router's error code from the headers. */
static size_t
on_header(char *p, size_t n, size_t m, void *arg)
{
	struct request *a = arg;

	if (n * m > 12 && strncasecmp(p, "Gspar-Error:", 12) == 0)
		a->error_code = atoi(p + 12);
	return (n * m);
}

/* Picks a random host that has not just refused a connection, as a load
 * balancer does. */
static int
pick_host(usec now)
{
	int i, h = (int)(random() % nhosts);

	for (i = 0; i < nhosts; i++) {
		if (hosts[(h + i) % nhosts].backoff_until <= now)
			return ((h + i) % nhosts);
	}
	return (h);
}

/* Sends a request, or retries it. */
static void
send_request(struct request *a, usec now)
{
	char url[400], line[128], query[96] = "";

	a->host = pick_host(now);
	a->error_code = 0;
	a->body.n = 0;
	if (a->easy == NULL)
		a->easy = curl_easy_init();
	else
		curl_easy_reset(a->easy);
	curl_slist_free_all(a->headers);
	a->headers = NULL;
	if (work >= 0 && !a->want_ticket)
		snprintf(
		    query, sizeof(query), "?work=%ld&size=%ld", work, size);
	else if (size > 0 && !a->want_ticket)
		snprintf(query, sizeof(query), "?size=%ld", size);
	snprintf(url, sizeof(url), "http://%s/v1/%s/%s%s%s",
	    hosts[a->host].addr, service, a->key,
	    a->want_ticket ? "/ticket" : "", query);
	snprintf(line, sizeof(line), "Idempotency-Key: %s", a->id);
	if (!a->want_ticket)
		a->headers = curl_slist_append(a->headers, line);
	snprintf(line, sizeof(line), "Gspar-Caller: %s", caller_name);
	a->headers = curl_slist_append(a->headers, line);
	if (deadline_ms > 0) {
		snprintf(
		    line, sizeof(line), "Gspar-Deadline-Ms: %ld", deadline_ms);
		a->headers = curl_slist_append(a->headers, line);
	}
	curl_easy_setopt(a->easy, CURLOPT_URL, url);
	curl_easy_setopt(a->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(a->easy, CURLOPT_PRIVATE, a);
	curl_easy_setopt(a->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
	if (confirm && !a->want_ticket)
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, "");
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
	curl_multi_add_handle(multi, a->easy);
	inflight++;
}

/* True if the body is the complete answer to this request. */
static int
answer_matches(const struct request *a)
{
	char t[64], s[64], k[64], id[128];
	long n;
	int end = 0;

	if (a->body.p == NULL ||
	    sscanf(a->body.p, "%63s %63s %63s %127s %ld\n%n", t, s, k, id, &n,
		&end) != 5)
		return (0);
	return (strcmp(s, service) == 0 && strcmp(k, a->key) == 0 &&
	    strcmp(id, a->id) == 0 && n == size && a->body.n >= (size_t)n);
}

/* Returns the outcome of a request. */
static enum outcome
outcome_of(const struct request *a, CURLcode res, long status)
{
	if (res != CURLE_OK)
		return (OUTCOME_LOST);
	if (a->error_code == 0)
		return (status == 200 && answer_matches(a) ? OUTCOME_OK
							   : OUTCOME_WRONG);
	if (a->error_code < 200)
		return (OUTCOME_BAD);
	return (a->body.p != NULL && strstr(a->body.p, "\"not_run\"") != NULL
		? OUTCOME_NOT_RUN
		: OUTCOME_UNKNOWN);
}

/* Frees a request. */
static void
request_free(struct request *a)
{
	curl_easy_cleanup(a->easy);
	curl_slist_free_all(a->headers);
	str_free(&a->body);
	free(a);
}

/* Schedules a retry of a request. */
static void
schedule_retry(struct request *a, usec now, usec wait)
{
	a->retry_at = now + wait;
	a->next = retry_list;
	retry_list = a;
}

/* Counts the outcome of a request and frees it. */
static void
count_outcome(struct request *a, enum outcome k, usec now)
{
	counts[k]++;
	if (a->error_code > 0 && a->error_code < 1000)
		error_counts[a->error_code]++;
	if (k == OUTCOME_OK && nsamples < MAX_SAMPLES)
		samples[nsamples++] = (float)(now - a->started_at) / 1000;
	if (k != OUTCOME_OK) {
		if (first_fail == 0)
			first_fail = now;
		last_fail = now;
		if (!quiet)
			printf("failed %s %s code %d at %lld\n",
			    outcome_names[k], a->key, a->error_code,
			    (long long)now);
	}
	request_free(a);
}

/* Handles a finished transfer: retries, confirms with the ticket, or counts. */
static void
transfer_done(struct request *a, CURLcode res, usec now)
{
	enum outcome k;
	long status = 0;
	char *p;

	curl_multi_remove_handle(multi, a->easy);
	inflight--;
	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	if (res == CURLE_COULDNT_CONNECT && a->tries++ < TRIES_MAX) {
		refused++;
		hosts[a->host].backoff_until = now + HOST_BACKOFF;
		schedule_retry(a, now, MS(1));
		return;
	}
	if (a->want_ticket && res == CURLE_OK && a->error_code == 0 &&
	    (p = strstr(a->body.p, "gs1-")) != NULL) {
		snprintf(
		    a->id, sizeof(a->id), "%.*s", (int)strcspn(p, "\""), p);
		a->want_ticket = 0;
		send_request(a, now);
		return;
	}
	k = a->want_ticket ? OUTCOME_NOT_RUN : outcome_of(a, res, status);
	/* A retry of a confirmation uses the same ticket. */
	if (confirm && !a->want_ticket && a->tries < 3 &&
	    (k == OUTCOME_UNKNOWN || k == OUTCOME_LOST) &&
	    a->error_code != 304) {
		a->tries++;
		retries++;
		schedule_retry(a, now, MS(50));
		return;
	}
	count_outcome(a, k, now);
}

/* Creates and sends a new request. */
static void
new_request(usec now, usec since)
{
	struct request *a;

	if (inflight >= MAX_INFLIGHT)
		return;
	a = calloc(1, sizeof(*a));
	a->started_at = now;
	a->want_ticket = confirm;
	snprintf(a->key, sizeof(a->key), "key-%ld", draw_key(since));
	snprintf(a->id, sizeof(a->id), "%s-%lu", caller_name, ++serial);
	send_request(a, now);
}

/* Sends the retries that are due. */
static void
send_retries(usec now)
{
	struct request *list = retry_list, *a;

	retry_list = NULL;
	while ((a = list) != NULL) {
		list = a->next;
		if (a->retry_at <= now)
			send_request(a, now);
		else {
			a->next = retry_list;
			retry_list = a;
		}
	}
}

/* Compares samples for qsort. */
static int
compare_samples(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x < y ? -1 : x > y);
}

/* The response time below which a share of the samples lies, in
 * milliseconds. */
static double
percentile(double share)
{
	return (nsamples == 0
		? 0
		: samples[(size_t)((double)(nsamples - 1) * share)]);
}

/* Prints the results as one line of JSON. */
static void
print_report(double duration_s)
{
	int i, sep = 0;

	qsort(samples, nsamples, sizeof(*samples), compare_samples);
	printf("{");
	for (i = 0; i < OUTCOME_N; i++)
		printf("\"%s\": %lu, ", outcome_names[i], counts[i]);
	printf("\"refused\": %lu, \"repeats\": %lu, \"seconds\": %.2f, "
	       "\"fail_span_ms\": %.0f, \"p50\": %.2f, \"p99\": %.2f, "
	       "\"max\": %.2f, \"codes\": {",
	    refused, retries, duration_s,
	    (double)(last_fail - first_fail) / 1000, percentile(0.5),
	    percentile(0.99), percentile(1));
	for (i = 0; i < 1000; i++) {
		if (error_counts[i] == 0)
			continue;
		printf("%s\"%d\": %lu", sep ? ", " : "", i, error_counts[i]);
		sep = 1;
	}
	printf("}}\n");
}

int
main(int argc, char **argv)
{
	usec from, now, next;
	CURLMsg *cm;
	struct request *a;
	int running, left;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	srandom((unsigned)clock_wall());
	samples = malloc(MAX_SAMPLES * sizeof(*samples));
	zipf_init();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 512L);
	from = clock_mono();
	next = from;
	for (;;) {
		now = clock_mono();
		if (now - from < (usec)(seconds * US_PER_SEC)) {
			for (; next <= now; next += (usec)(US_PER_SEC / rate))
				new_request(now, now - from);
		} else if ((inflight == 0 && retry_list == NULL) ||
		    now - from > (usec)((seconds + 15) * US_PER_SEC))
			break;
		send_retries(now);
		curl_multi_perform(multi, &running);
		while ((cm = curl_multi_info_read(multi, &left)) != NULL) {
			if (cm->msg != CURLMSG_DONE)
				continue;
			curl_easy_getinfo(
			    cm->easy_handle, CURLINFO_PRIVATE, &a);
			transfer_done(a, cm->data.result, clock_mono());
		}
		curl_multi_poll(multi, NULL, 0, 1, NULL);
	}
	print_report((double)(clock_mono() - from) / US_PER_SEC);
	return (counts[OUTCOME_WRONG] > 0);
}
