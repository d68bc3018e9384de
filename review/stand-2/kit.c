#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "kit.h"

#define PROCESSES_MAX 64
/* A script ends by itself after this time. */
#define SCRIPT_SECONDS 110

struct kit kit;

static FILE *record_file;
static double began;
static pid_t processes[PROCESSES_MAX];
static int nprocesses;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns the monotonic time in milliseconds. */
double
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return ((double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6);
}

/* Sleeps for ms milliseconds. */
void
sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

/* Writes a line to the record, with the time since the start. */
void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&lock);
	fprintf(record_file, "%9.1f ms  ", now_ms() - began);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&lock);
}

/* Ends a script that takes too long. */
static void
on_alarm(int sig)
{
	int i;

	for (i = 0; i < nprocesses; i++)
		kill(processes[i], SIGKILL);
	_exit(NOT_RUN);
}

/* Opens the record beside the script and a temporary folder. */
void
kit_begin(const char *case_name)
{
	const char *trouble = getenv("TROUBLE"), *tmp = getenv("TMPDIR");
	char path[200];

	snprintf(path, sizeof(path), "review/%s/record.txt", case_name);
	record_file = fopen(path, "w");
	if (record_file == NULL) {
		perror(path);
		exit(NOT_RUN);
	}
	began = now_ms();
	kit.memory_mb = 260;
	kit.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	snprintf(kit.dir, sizeof(kit.dir), "%s/gspar-review.XXXXXX",
	    tmp == NULL ? "/tmp" : tmp);
	if (mkdtemp(kit.dir) == NULL)
		kit_end(NOT_RUN, "no temporary folder");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(SCRIPT_SECONDS);
	record("%s",
	    kit.trouble ? "with the disruption" : "without the disruption");
}

/* Ends all processes that were started, and the script. */
void
kit_end(int status, const char *why)
{
	static const char *const words[] = {
	    "the rule held", "the rule was broken", "not run"};
	char command[300];
	int i;

	record("%s: %s", words[status], why);
	printf("%s: %s\n", words[status], why);
	for (i = 0; i < nprocesses; i++)
		kill(processes[i], SIGKILL);
	for (i = 0; i < nprocesses; i++)
		waitpid(processes[i], NULL, 0);
	if (getenv("KEEP") == NULL) {
		snprintf(command, sizeof(command), "rm -rf '%s'", kit.dir);
		if (system(command) != 0)
			fprintf(stderr, "%s is not removed\n", kit.dir);
	}
	exit(status);
}

/* Starts a process that ends with this one; its output goes to a file in the
 * temporary folder. */
pid_t
spawn(const char *log, char *const argv[])
{
	char path[300];
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", kit.dir, log);
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(argv[0], argv);
		_exit(127);
	}
	close(fd);
	if (pid < 0 || nprocesses == PROCESSES_MAX)
		kit_end(NOT_RUN, "a process cannot be started");
	processes[nprocesses++] = pid;
	return (pid);
}

/* Finds a free port of an address. */
void
free_addr(const char *ip, char *addr)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	static int last = 0;
	int fd, i, on = 1;

	if (last == 0)
		last = 20000 + (int)(getpid() % 100) * 100;
	for (i = 0; i < 2000; i++) {
		last = last >= 31000 ? 20000 : last + 1;
		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		inet_pton(AF_INET, ip, &a.sin_addr);
		a.sin_port = htons((uint16_t)last);
		if (bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
		    listen(fd, 1) == 0) {
			close(fd);
			snprintf(addr, ADDR_SIZE, "%s:%d", ip, last);
			return;
		}
		close(fd);
	}
	kit_end(NOT_RUN, "no free port");
}

/* Connects to IP:PORT, with a receive buffer unless that is 0; -1 on failure.
 */
int
dial(const char *addr, int receive_buffer)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	struct timeval wait = {10, 0};
	char ip[ADDR_SIZE];
	int fd, on = 1;
	char *colon;

	snprintf(ip, sizeof(ip), "%s", addr);
	colon = strchr(ip, ':');
	*colon = '\0';
	inet_pton(AF_INET, ip, &a.sin_addr);
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (receive_buffer > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
		    sizeof(receive_buffer));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return (fd);
	close(fd);
	return (-1);
}

/* Sends n bytes; 0, or -1. */
int
send_all(int fd, const char *p, size_t n)
{
	ssize_t k;

	while (n > 0) {
		k = send(fd, p, n, MSG_NOSIGNAL);
		if (k <= 0)
			return (-1);
		p += k;
		n -= (size_t)k;
	}
	return (0);
}

/* Makes a call on a new connection; returns the status, or -1.  The answer's
 * body goes into a buffer of a size unless that is NULL. */
int
http_call(const char *method, const char *addr, const char *path,
    const char *body, char *answer, size_t size)
{
	char head[600], text[65536];
	size_t have = 0;
	ssize_t n;
	char *end;
	int fd = dial(addr, 0), status = -1;

	if (fd < 0)
		return (-1);
	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    method, path, body == NULL ? 0 : strlen(body));
	if (send_all(fd, head, strlen(head)) != 0 ||
	    (body != NULL && send_all(fd, body, strlen(body)) != 0)) {
		close(fd);
		return (-1);
	}
	while (have < sizeof(text) - 1 &&
	    (n = recv(fd, text + have, sizeof(text) - 1 - have, 0)) > 0)
		have += (size_t)n;
	close(fd);
	text[have] = '\0';
	sscanf(text, "HTTP/1.1 %d", &status);
	end = strstr(text, "\r\n\r\n");
	if (answer != NULL)
		snprintf(answer, size, "%s", end == NULL ? "" : end + 4);
	return (status);
}

/* Starts the platform's store. */
void
start_store(void)
{
	char *argv[] = {"build/plain/standin/store", "-l", kit.store, "-c",
	    kit.store_control, NULL};
	int i;

	free_addr("127.0.0.1", kit.store);
	free_addr("127.0.0.1", kit.store_control);
	spawn("store.log", argv);
	for (i = 0; i < 300; i++) {
		if (http_call("GET", kit.store_control, "/", NULL, NULL, 0) > 0)
			return;
		sleep_ms(10);
	}
	kit_end(NOT_RUN, "the store does not answer");
}

/* Writes a configuration, as the operator does. */
void
configure(int version, const char *routes, const char *services)
{
	char body[8192];
	int status;

	snprintf(body, sizeof(body),
	    "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"%08x\","
	    "\"routes\":{%s},\"services\":{%s},\"limits\":{"
	    "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}",
	    (unsigned)version, routes, services);
	status =
	    http_call("PUT", kit.store, "/objects/config/main", body, NULL, 0);
	if (status == 404)
		status = http_call(
		    "POST", kit.store, "/objects/config", body, NULL, 0);
	if (status != 200)
		kit_end(NOT_RUN, "the configuration is not written");
	record("configuration %08x acknowledged", (unsigned)version);
}

/* Starts a server of a service and registers it. */
struct kit_server *
start_server(
    const char *service, const char *zone, int slots, int work_ms, int keyed)
{
	struct kit_server *s = &kit.servers[kit.nservers++];
	char nslots[16], work[16], log[40], body[600];
	char *argv[] = {"build/plain/standin/server", "-l", s->addr, "-n",
	    s->id, "-j", s->journal, "-s", nslots, "-w", work,
	    keyed ? "-k" : NULL, NULL};
	int i;

	snprintf(s->id, sizeof(s->id), "i-%d", kit.nservers);
	snprintf(
	    s->journal, sizeof(s->journal), "%s/%s.journal", kit.dir, s->id);
	snprintf(nslots, sizeof(nslots), "%d", slots);
	snprintf(work, sizeof(work), "%d", work_ms);
	snprintf(log, sizeof(log), "%s.log", s->id);
	free_addr("127.0.0.1", s->addr);
	s->pid = spawn(log, argv);
	for (i = 0; i < 300 &&
	     http_call("GET", s->addr, "/_fault", NULL, NULL, 0) != 200;
	     i++)
		sleep_ms(10);
	snprintf(body, sizeof(body),
	    "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"address\":\"%s\","
	    "\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
	    "\"slots\":%d}},\"status\":{\"state\":\"ready\",\"sequence\":1,"
	    "\"cold_left\":\"0ms\"}}",
	    s->id, s->addr, service, zone, slots);
	if (http_call("POST", kit.store, "/objects/servers", body, NULL, 0) !=
	    200)
		kit_end(NOT_RUN, "a server is not registered");
	record("server %s of %s at %s", s->id, service, s->addr);
	return (s);
}

/* Sets faults of a server. */
void
server_fault(const struct kit_server *s, const char *query)
{
	char path[300];

	snprintf(path, sizeof(path), "/_fault?%s", query);
	if (http_call("POST", s->addr, path, "", NULL, 0) != 200)
		kit_end(NOT_RUN, "a server does not take a fault");
}

/* Adds a host with an address of its own, and writes its settings as the
 * template of the deploy file does.  It connects from that address, as a
 * machine does. */
struct kit_host *
add_host(const char *zone, const char *bounds)
{
	struct kit_host *h = &kit.hosts[kit.nhosts++];
	char peers[ADDR_SIZE], tunnel[ADDR_SIZE], admin[ADDR_SIZE];
	FILE *f;

	snprintf(h->name, sizeof(h->name), "h%d", kit.nhosts);
	snprintf(h->ip, sizeof(h->ip), "127.0.0.%d", 20 + kit.nhosts);
	free_addr(h->ip, h->front);
	free_addr(h->ip, h->ready);
	free_addr(h->ip, peers);
	free_addr(h->ip, tunnel);
	free_addr(h->ip, admin);
	snprintf(h->conf, sizeof(h->conf), "%s/%s.conf", kit.dir, h->name);
	f = fopen(h->conf, "w");
	if (f == NULL)
		kit_end(NOT_RUN, "settings are not written");
	fprintf(f,
	    "[host]\nname = %s\ndc = %s\nsource = %s\ncores = 0.2\n"
	    "link_mbps = 1000.0\nmemory_mb = %d\ndescriptors = 4100\n"
	    "[listen]\ncallers = %s\nready = %s\npeers = %s\ntunnel = %s\n"
	    "admin = %s\n[platform]\nform = objects\naddress = %s\n"
	    "[leases]\ncontrol_ms = 1500\nrenew_ms = 500\nhost_ms = 1500\n"
	    "grant_ms = 1500\n[bounds]\nheartbeat = 870ms\nseed_lag = 3s\n"
	    "addr_reuse = 2s\nstable_window = 3000ms\nack = 4000ms\n"
	    "catch_up = 4s\ndrain = 2000ms\ngrace = 6s\nloss_slack = 200ms\n"
	    "config_apply = 2000ms\nrollback_slack = 250ms\n"
	    "max_stretch = 5000ms\nretry_budget_ratio = 0.2\n"
	    "budget_window = 10s\nretry_budget_slack = 64\nrecovery = 15s\n"
	    "max_hold = 10000ms\nthaw_slack = 300ms\n%s",
	    h->name, zone, h->ip, kit.memory_mb, h->front, h->ready, peers,
	    tunnel, admin, kit.store, bounds);
	fclose(f);
	return (h);
}

/* Starts a host with the command of the deploy file. */
void
start_host(struct kit_host *h)
{
	char *argv[] = {"target/gspard", "-f", h->conf, NULL};
	char log[32];

	snprintf(log, sizeof(log), "%s.log", h->name);
	h->pid = spawn(log, argv);
	record("host %s started, callers at %s", h->name, h->front);
}

/* Waits until a host is ready. */
void
await_ready(struct kit_host *h, int ms)
{
	double until = now_ms() + ms;

	while (http_call("GET", h->ready, "/readyz", NULL, NULL, 0) != 200) {
		if (now_ms() > until)
			kit_end(NOT_RUN, "a host is not ready in time");
		sleep_ms(50);
	}
}

/* Returns the text of a file, to be freed; "" if there is none. */
char *
read_file(const char *path)
{
	FILE *f = fopen(path, "r");
	char *text;
	long n;

	if (f == NULL)
		return (strdup(""));
	fseek(f, 0, SEEK_END);
	n = ftell(f);
	rewind(f);
	text = calloc((size_t)n + 1, 1);
	if (text != NULL && n > 0 && fread(text, 1, (size_t)n, f) == 0)
		text[0] = '\0';
	fclose(f);
	return (text);
}

/* True if a file contains a text. */
int
file_has(const char *path, const char *text)
{
	char *all = read_file(path);
	int found = all != NULL && strstr(all, text) != NULL;

	free(all);
	return (found);
}
