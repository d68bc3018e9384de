/*
 * What the scripts of the second review share: processes, ports, HTTP calls and
 * a small deployment on loopback addresses, made of the daemon as the deploy
 * file builds it and of the project's stand-ins.
 */
#ifndef KIT_H
#define KIT_H

#include <stddef.h>
#include <sys/types.h>

#define HOSTS_MAX 8
#define SERVERS_MAX 8
#define ADDR_SIZE 32
/* Exit statuses of a script. */
#define RULE_HELD 0
#define RULE_BROKEN 1
#define NOT_RUN 2

/* A host, i.e. a process of the daemon. */
struct kit_host {
	char name[16];
	char ip[20];
	char front[ADDR_SIZE];
	char ready[ADDR_SIZE];
	char conf[300];
	pid_t pid;
};

/* A server (upstream), played by standin/server. */
struct kit_server {
	char id[16];
	char addr[ADDR_SIZE];
	char journal[300];
	pid_t pid;
};

struct kit {
	int trouble;   /* 0: the same without the disruption */
	int memory_mb; /* of a host */
	char dir[200];
	char store[ADDR_SIZE];
	char store_control[ADDR_SIZE];
	struct kit_host hosts[HOSTS_MAX];
	int nhosts;
	struct kit_server servers[SERVERS_MAX];
	int nservers;
};

extern struct kit kit;

void kit_begin(const char *case_name);
void kit_end(int status, const char *why) __attribute__((noreturn));
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
double now_ms(void);
void sleep_ms(int ms);
pid_t spawn(const char *log, char *const argv[]);
void free_addr(const char *ip, char *addr);
int dial(const char *addr, int receive_buffer);
int send_all(int fd, const char *p, size_t n);
int http_call(const char *method, const char *addr, const char *path,
    const char *body, char *answer, size_t size);
void start_store(void);
void configure(int version, const char *routes, const char *services);
struct kit_server *start_server(
    const char *service, const char *zone, int slots, int work_ms, int keyed);
void server_fault(const struct kit_server *s, const char *query);
struct kit_host *add_host(const char *zone, const char *bounds);
void start_host(struct kit_host *h);
void await_ready(struct kit_host *h, int ms);
int file_has(const char *path, const char *text);
char *read_file(const char *path);

#endif
