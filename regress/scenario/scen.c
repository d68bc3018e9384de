/*
 * Runs one scenario: a Lua script that starts the programs as processes, causes
 * faults, and checks the answers to callers and the journals of targets.  On
 * exit every process that the script started is killed.
 */
#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>

#include "clock.h"
#include "str.h"

#define MAX_PIDS 512

static pid_t pids[MAX_PIDS];
static int npids;

/* spawn(log, program, args...): starts a program, returns its pid. */
static int
l_spawn(lua_State *l)
{
	const char *argv[64], *log = luaL_checkstring(l, 1);
	int i, n = lua_gettop(l);
	pid_t pid;

	for (i = 2; i <= n && i < 64; i++)
		argv[i - 2] = luaL_checkstring(l, i);
	argv[i - 2] = NULL;
	pid = fork();
	if (pid == 0) {
		if (freopen(log, "a", stdout) == NULL ||
		    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
			_exit(126);
		execv(argv[0], (char *const *)argv);
		_exit(127);
	}
	if (pid < 0 || npids == MAX_PIDS)
		return (luaL_error(l, "cannot start %s", argv[0]));
	pids[npids++] = pid;
	lua_pushinteger(l, pid);
	return (1);
}

/* kill(pid, signal): sends a signal. */
static int
l_kill(lua_State *l)
{
	kill((pid_t)luaL_checkinteger(l, 1), (int)luaL_checkinteger(l, 2));
	return (0);
}

/* wait(pid, nohang): exit status or -signal; nil while it runs with nohang. */
static int
l_wait(lua_State *l)
{
	pid_t pid = (pid_t)luaL_checkinteger(l, 1);
	int i, st;

	if (waitpid(pid, &st, lua_toboolean(l, 2) ? WNOHANG : 0) != pid)
		return (0);
	for (i = 0; i < npids; i++) {
		if (pids[i] == pid)
			pids[i] = pids[--npids];
	}
	lua_pushinteger(l, WIFEXITED(st) ? WEXITSTATUS(st) : -WTERMSIG(st));
	return (1);
}

/* curl callback: appends received bytes to a body or to the headers. */
static size_t
on_data(char *p, size_t n, size_t m, void *arg)
{
	return (str_add(arg, p, n * m) == 0 ? n * m : 0);
}

/* http(method, url, body, {headers}, timeout_ms): status or 0, body, header. */
static int
l_http(lua_State *l)
{
	struct str body = {NULL, 0}, headers = {NULL, 0};
	struct curl_slist *list = NULL;
	CURL *c = curl_easy_init();
	size_t n = 0;
	const char *data = luaL_optlstring(l, 3, NULL, &n);
	long status = 0;

	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, luaL_checkstring(l, 1));
	curl_easy_setopt(c, CURLOPT_URL, luaL_checkstring(l, 2));
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    c, CURLOPT_TIMEOUT_MS, (long)luaL_optinteger(l, 5, 5000));
	if (data != NULL) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)n);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, data);
	}
	if (lua_istable(l, 4)) {
		lua_pushnil(l);
		while (lua_next(l, 4) != 0) {
			list = curl_slist_append(list, lua_tostring(l, -1));
			lua_pop(l, 1);
		}
	}
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &body);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_data);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, &headers);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	lua_pushinteger(l, status);
	lua_pushlstring(l, body.p == NULL ? "" : body.p, body.n);
	lua_pushlstring(l, headers.p == NULL ? "" : headers.p, headers.n);
	curl_slist_free_all(list);
	curl_easy_cleanup(c);
	str_free(&body);
	str_free(&headers);
	return (3);
}

/* Pushes a JSON value onto the Lua stack. */
static void
push_json(lua_State *l, json_t *j)
{
	const char *key;
	json_t *v;
	size_t i;

	switch (json_typeof(j)) {
	case JSON_OBJECT:
		lua_newtable(l);
		json_object_foreach(j, key, v)
		{
			push_json(l, v);
			lua_setfield(l, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_newtable(l);
		json_array_foreach(j, i, v)
		{
			push_json(l, v);
			lua_rawseti(l, -2, (lua_Integer)i + 1);
		}
		break;
	case JSON_STRING:
		lua_pushstring(l, json_string_value(j));
		break;
	case JSON_INTEGER:
		lua_pushinteger(l, json_integer_value(j));
		break;
	case JSON_REAL:
		lua_pushnumber(l, json_real_value(j));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		lua_pushboolean(l, json_is_true(j));
		break;
	default:
		lua_pushnil(l);
	}
}

/* json(text): the parsed value, or nil if it is not valid JSON. */
static int
l_json(lua_State *l)
{
	size_t n;
	const char *p = luaL_checklstring(l, 1, &n);
	json_t *j = json_loadb(p, n, JSON_DECODE_ANY, NULL);

	if (j == NULL)
		return (0);
	push_json(l, j);
	json_decref(j);
	return (1);
}

/* sleep_ms(n): for polling loops; scenarios wait for a condition by await(). */
static int
l_sleep(lua_State *l)
{
	usleep((useconds_t)luaL_checkinteger(l, 1) * 1000);
	return (0);
}

/* now_ms(): monotonic milliseconds. */
static int
l_now(lua_State *l)
{
	lua_pushnumber(l, (double)clock_mono() / 1000);
	return (1);
}

/* dial(ip_port, receive_buffer): a connected socket, or nil if the connection
 * fails.  The size of its buffer, in bytes, is left to the system if it is not
 * given. */
static int
l_dial(lua_State *l)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct timeval tv = {2, 0};
	int size = (int)luaL_optinteger(l, 2, 0);
	char ip[64];
	int fd, port;

	if (sscanf(luaL_checkstring(l, 1), "%63[^:]:%d", ip, &port) != 2)
		return (luaL_error(l, "address is not IP:PORT"));
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (size > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		lua_pushinteger(l, fd);
	else {
		close(fd);
		lua_pushnil(l);
	}
	return (1);
}

/* hang_up(connection): closes it. */
static int
l_hang_up(lua_State *l)
{
	close((int)luaL_checkinteger(l, 1));
	return (0);
}

/* send(connection, bytes): true if all bytes were sent; gives up after 2 s
 * without progress. */
static int
l_send(lua_State *l)
{
	int fd = (int)luaL_checkinteger(l, 1);
	size_t n, sent = 0;
	const char *p = luaL_checklstring(l, 2, &n);
	ssize_t k;

	do {
		k = send(fd, p + sent, n - sent, MSG_NOSIGNAL);
		sent += k > 0 ? (size_t)k : 0;
	} while (k > 0 && sent < n);
	lua_pushboolean(l, sent == n);
	return (1);
}

/* has_bytes(connection): true if it can be read without waiting, also if the
 * peer has closed it. */
static int
l_has_bytes(lua_State *l)
{
	struct pollfd pfd = {(int)luaL_checkinteger(l, 1), POLLIN, 0};

	lua_pushboolean(l, poll(&pfd, 1, 0) > 0);
	return (1);
}

/* read_some(connection, n): at most n bytes that have arrived, "" if there are
 * none; or nil and "closed" or "reset" at the end. */
static int
l_read_some(lua_State *l)
{
	size_t n = (size_t)luaL_checkinteger(l, 2);
	luaL_Buffer b;
	ssize_t got;

	got = recv((int)luaL_checkinteger(l, 1), luaL_buffinitsize(l, &b, n), n,
	    MSG_DONTWAIT);
	if (got < 0 && errno == EAGAIN)
		got = 0;
	else if (got <= 0) {
		lua_pushnil(l);
		lua_pushstring(l, got == 0 ? "closed" : "reset");
		return (2);
	}
	luaL_pushresultsize(&b, (size_t)got);
	return (1);
}

/* read_all(connection): reads until the peer closes, or 2 s without data. */
static int
l_read_all(lua_State *l)
{
	char buf[4096];
	luaL_Buffer b;
	ssize_t got;

	luaL_buffinit(l, &b);
	while ((got = read((int)luaL_checkinteger(l, 1), buf, sizeof(buf))) > 0)
		luaL_addlstring(&b, buf, (size_t)got);
	luaL_pushresult(&b);
	return (1);
}

/* Finds the value of a header by its name with the colon; NULL if absent. */
static const char *
header_value(const char *headers, const char *name)
{
	const char *p = strcasestr(headers, name);

	return (p == NULL ? NULL : p + strlen(name));
}

/*
 * answer(connection, ms): status, body and headers of one whole answer with a
 * Content-Length; or 0 and "closed" (before the first byte), "cut" (after it)
 * or "late" (not whole within ms).
 */
static int
l_answer(lua_State *l)
{
	static char buf[262144];
	int fd = (int)luaL_checkinteger(l, 1);
	usec till = clock_mono() + MS(luaL_checkinteger(l, 2)), left;
	struct pollfd pfd = {fd, POLLIN, 0};
	const char *end = NULL, *why = "late", *len;
	size_t have = 0, want = sizeof(buf);
	ssize_t n;

	while (have < want) {
		left = (till - clock_mono()) / 1000;
		if (left <= 0 || poll(&pfd, 1, (int)left) <= 0)
			break;
		n = recv(fd, buf + have, sizeof(buf) - 1 - have, 0);
		if (n <= 0) {
			why = have == 0 ? "closed" : "cut";
			break;
		}
		have += (size_t)n;
		buf[have] = '\0';
		if (end == NULL && (end = strstr(buf, "\r\n\r\n")) != NULL) {
			len = header_value(buf, "Content-Length:");
			want = (size_t)(end + 4 - buf) +
			    (len == NULL ? 0 : strtoul(len, NULL, 10));
		}
	}
	if (have < want) {
		lua_pushinteger(l, 0);
		lua_pushstring(l, why);
		return (2);
	}
	lua_pushinteger(l, atoi(buf + strlen("HTTP/1.1 ")));
	lua_pushlstring(l, end + 4, want - (size_t)(end + 4 - buf));
	lua_pushlstring(l, buf, (size_t)(end - buf));
	return (3);
}

/* ports_free(base, n): true if all n ports from base on can be bound. */
static int
l_ports_free(lua_State *l)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int i, fd, ok = 1, base = (int)luaL_checkinteger(l, 1);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < luaL_checkinteger(l, 2) && ok; i++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_port = htons((uint16_t)(base + i));
		ok = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
		close(fd);
	}
	lua_pushboolean(l, ok);
	return (1);
}

/* Kills all processes that still run. */
static void
kill_all(void)
{
	int i;

	for (i = 0; i < npids; i++) {
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
	}
}

static const luaL_Reg functions[] = {
    {"spawn", l_spawn},
    {"kill", l_kill},
    {"wait", l_wait},
    {"http", l_http},
    {"json", l_json},
    {"sleep_ms", l_sleep},
    {"now_ms", l_now},
    {"dial", l_dial},
    {"hang_up", l_hang_up},
    {"send", l_send},
    {"has_bytes", l_has_bytes},
    {"read_some", l_read_some},
    {"read_all", l_read_all},
    {"answer", l_answer},
    {"ports_free", l_ports_free},
    {NULL, NULL},
};

int
main(int argc, char **argv)
{
	lua_State *l;
	int i, res = 0;

	if (argc < 5)
		errx(2, "usage: scen BUILD WORK LIB SCRIPT");
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	l = luaL_newstate();
	luaL_openlibs(l);
	for (i = 0; functions[i].name != NULL; i++)
		lua_register(l, functions[i].name, functions[i].func);
	lua_pushstring(l, argv[1]);
	lua_setglobal(l, "BUILD");
	lua_pushstring(l, argv[2]);
	lua_setglobal(l, "WORK");
	lua_pushinteger(l, getpid());
	lua_setglobal(l, "PID");
	lua_pushstring(l, argc > 5 ? argv[5] : "");
	lua_setglobal(l, "ARG");
	if (luaL_dofile(l, argv[3]) != 0 || luaL_dofile(l, argv[4]) != 0) {
		fprintf(stderr, "%s\n", lua_tostring(l, -1));
		res = 1;
	}
	kill_all();
	lua_close(l);
	return (res);
}
