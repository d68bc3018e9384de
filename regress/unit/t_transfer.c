/* Transfers from targets, through the HTTP library and a real connection. */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "target.h"
#include "transfer.h"
#include "unit.h"

#define BODY_MAX 100000
#define OPEN_MAX 50000
#define TIMEOUT_MS 5000L
/* Size of a body that is not sent at once. */
#define LONG_BODY 8000000
#define HEADERS "X-Request-Id: me\r\nX-Response-Signature: s\r\n"
#define STATUS "HTTP/1.1 200 OK\r\n"

/* How a server ends the connection on which it answers. */
enum ending { CLOSE, RESET };

/* A server that answers one request with the first n bytes of a text, and with
 * another text again and again if there is one. */
struct server {
	int listener;
	char url[64];
	const char *text;
	size_t n;
	const char *repeated;
	enum ending ending;
	const struct call *call; /* that is answered, or NULL */
	size_t *held;		 /* counts bytes of bodies, or NULL */
};

/* Accepts a connection, reads the request and answers it. */
static void *
serve(void *arg)
{
	struct server *s = arg;
	struct linger hard = {1, 0};
	char buf[4096];
	size_t got = 0;
	ssize_t n;
	int fd = accept(s->listener, NULL, NULL);

	while ((n = recv(fd, buf + got, sizeof(buf) - got, 0)) > 0) {
		got += (size_t)n;
		if (memmem(buf, got, "\r\n\r\n", 4) != NULL)
			break;
	}
	n = send(fd, s->text, s->n, MSG_NOSIGNAL);
	while (n > 0 && s->repeated != NULL)
		n = send(fd, s->repeated, strlen(s->repeated), MSG_NOSIGNAL);
	if (s->ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
	return (NULL);
}

/* Listens on a free port. */
static void
server_open(struct server *s)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t size = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(s->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	listen(s->listener, 1);
	getsockname(s->listener, (struct sockaddr *)&sin, &size);
	snprintf(s->url, sizeof(s->url), "http://127.0.0.1:%d/",
	    ntohs(sin.sin_port));
}

/* Makes one request to the server; returns how its transfer ended. */
static CURLcode
request(struct server *s, struct transfer *t, int to_head)
{
	pthread_t thread;
	CURLcode res;

	memset(t, 0, sizeof(*t));
	t->easy = curl_easy_init();
	transfer_init(t, &objects_target, BODY_MAX, OPEN_MAX, to_head);
	t->call = s->call;
	t->held = s->held;
	transfer_set_options(t, s->url, 1000, "");
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	if (to_head)
		curl_easy_setopt(t->easy, CURLOPT_NOBODY, 1L);
	pthread_create(&thread, NULL, serve, s);
	res = transfer_end(t, curl_easy_perform(t->easy));
	pthread_join(thread, NULL);
	curl_easy_cleanup(t->easy);
	t->easy = NULL;
	return (res);
}

/* An answer, and how many of its last bytes may be missing from a whole one. */
struct form {
	const char *text;
	size_t optional;
	const char *body;
	int to_head;
};

#define HINTS                                                                  \
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TRAILER "Retry-After: 9\r\n\r\n"

/* A body in chunks is complete with the last chunk's size (RFC 9112, section
 * 8); one without a length, with the end of the connection. */
static const struct form forms[] = {
    {STATUS HEADERS "Content-Length: 4\r\n\r\nbody", 0, "body", 0},
    {STATUS "Content-Length: 4\r\n" HEADERS "\r\nbody", 0, "body", 0},
    {STATUS HEADERS "Content-Length: 0\r\n" HEADERS "\r\n", 0, "", 0},
    {STATUS HEADERS CHUNKED "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", 2, "body", 0},
    {STATUS HEADERS CHUNKED "4;x=y\r\nbody\r\n0\r\n" TRAILER,
	sizeof(TRAILER) - 1, "body", 0},
    {HINTS STATUS HEADERS "Content-Length: 4\r\n\r\nbody", 0, "body", 0},
    {"HTTP/1.1 204 No Content\r\n" HEADERS "\r\n", 0, "", 0},
    {STATUS HEADERS "Content-Length: 4\r\n\r\n", 0, "", 1},
    {STATUS HEADERS "Connection: close\r\n\r\nbody", 4, "body", 0}};
#define NFORMS (sizeof(forms) / sizeof(forms[0]))

/* An answer that its target breaks off at any byte is taken for whole. */
static void
ends_at_each_byte(void)
{
	struct server s = {0};
	const struct form *f;
	struct transfer t;
	size_t n, length;
	CURLcode res;

	server_open(&s);
	for (f = forms; f < forms + NFORMS; f++) {
		s.text = f->text;
		length = strlen(f->text);
		for (n = 0; n <= length; n++) {
			s.n = n;
			res = request(&s, &t, f->to_head);
			if (n + f->optional < length && res == CURLE_OK)
				fprintf(stderr,
				    "Answer %d: whole after byte %zu.\n",
				    (int)(f - forms), n);
			CU_ASSERT_FALSE(
			    n + f->optional < length && res == CURLE_OK);
			if (n == length) {
				CU_ASSERT_EQUAL(res, CURLE_OK);
				CU_ASSERT_EQUAL(
				    t.reply.body.n, strlen(f->body));
				CU_ASSERT_TRUE(t.reply.is_signed);
			}
			transfer_free(&t);
		}
	}
	close(s.listener);
}

/* An answer whose connection is reset is taken for whole. */
static void
resets(void)
{
	struct server s = {.ending = RESET};
	const struct form *f;
	struct transfer t;

	server_open(&s);
	for (f = forms; f < forms + NFORMS; f++) {
		s.text = f->text;
		s.n = strlen(f->text) - 1;
		CU_ASSERT_NOT_EQUAL(request(&s, &t, f->to_head), CURLE_OK);
		transfer_free(&t);
	}
	close(s.listener);
}

/* Requests a whole text; returns how its transfer ended. */
static CURLcode
request_text(const char *text, struct transfer *t)
{
	struct server s = {.text = text, .n = strlen(text)};
	CURLcode res;

	server_open(&s);
	res = request(&s, t, 0);
	close(s.listener);
	return (res);
}

#define OTHERS                                                                  \
	"X-Request-Id: you\r\nX-Response-Signature: s\r\nX-Not-Executed: 1\r\n" \
	"X-Handover: t\r\nX-Instance-Id: i-2\r\nX-Server-Load: 1,2,3\r\n"       \
	"Server-Limit: 5\r\nServer-Leaving: 1\r\nRetry-After: 9\r\n"            \
	"Keep-Alive: timeout=9\r\nConnection: close\r\nX-Other: y\r\n"

/* Checks that nothing was taken from the headers of OTHERS, and frees the
 * transfer. */
static void
check_others_unread(struct transfer *t)
{
	const struct reply *r = &t->reply;

	CU_ASSERT_EQUAL(r->status, 200);
	CU_ASSERT_STRING_EQUAL(r->id, "me");
	CU_ASSERT_FALSE(r->not_run);
	CU_ASSERT_STRING_EQUAL(r->handover, "");
	CU_ASSERT_STRING_EQUAL(r->instance, "");
	CU_ASSERT_FALSE(r->load.reported);
	CU_ASSERT_TRUE(r->limit < 0);
	CU_ASSERT_FALSE(r->leaving);
	CU_ASSERT_EQUAL(r->retry_after, 0);
	CU_ASSERT_EQUAL(r->keep_alive, 0);
	CU_ASSERT_FALSE(r->closes);
	CU_ASSERT_STRING_EQUAL(r->unknown_header, "");
	CU_ASSERT_PTR_NULL(strstr(r->headers.p, "X-Other"));
	transfer_free(t);
}

/* Headers of an interim answer are taken for those of the answer. */
static void
interim_headers(void)
{
	struct transfer t;

	CU_ASSERT_EQUAL(request_text("HTTP/1.1 103 Early Hints\r\n" OTHERS
				     "\r\n" STATUS "X-Request-Id: me\r\n"
				     "Content-Length: 0\r\n\r\n",
			    &t),
	    CURLE_OK);
	CU_ASSERT_FALSE(t.reply.is_signed);
	check_others_unread(&t);
}

/* Headers that follow a body in chunks are taken for those of the head. */
static void
trailers(void)
{
	struct transfer t;

	CU_ASSERT_EQUAL(
	    request_text(
		STATUS HEADERS CHUNKED "4\r\nbody\r\n0\r\n" OTHERS "\r\n", &t),
	    CURLE_OK);
	CU_ASSERT_TRUE(t.reply.is_signed);
	check_others_unread(&t);
}

/* Answers of which a part is repeated without end. */
static const struct {
	const char *text;
	const char *repeated;
} endless[] = {{STATUS, "X-Header: x\r\n"}, {STATUS "X-Header: ", "xxxxxxxx"},
    {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
    {STATUS HEADERS "\r\n", "xxxxxxxx"},
    {STATUS HEADERS CHUNKED, "8\r\nxxxxxxxx\r\n"},
    {STATUS HEADERS CHUNKED, "0000000000000000"},
    {STATUS HEADERS CHUNKED "1\r\nx\r\n0\r\n", "X-Header: x\r\n"},
    {STATUS HEADERS CHUNKED "1\r\nx\r\n0\r\n", "xxxxxxxx"},
    {STATUS HEADERS "Content-Length: 100001\r\n\r\n", "xxxxxxxx"},
    {"no answer", "xxxxxxxx"}, {"no answer\r\n", "xxxxxxxx\r\n"}};
#define NENDLESS (sizeof(endless) / sizeof(endless[0]))

/* An answer without end is read until its deadline, and held in memory. */
static void
without_end(void)
{
	struct server s = {0};
	struct transfer t;
	size_t i;
	CURLcode res;

	server_open(&s);
	for (i = 0; i < NENDLESS; i++) {
		s.text = endless[i].text;
		s.n = strlen(s.text);
		s.repeated = endless[i].repeated;
		res = request(&s, &t, 0);
		CU_ASSERT_NOT_EQUAL(res, CURLE_OK);
		CU_ASSERT_NOT_EQUAL(res, CURLE_OPERATION_TIMEDOUT);
		CU_ASSERT_TRUE(t.reply.body.n <= OPEN_MAX);
		CU_ASSERT_TRUE(t.reply.headers.n <= FRAMING_HEAD_MAX);
		transfer_free(&t);
	}
	close(s.listener);
}

/* An answer to another request is read to its end. */
static void
foreign(void)
{
	const struct call c = {.id = "another"};
	struct server s = {
	    .text = STATUS HEADERS "\r\n", .repeated = "xxxxxxxx", .call = &c};
	struct transfer t;

	s.n = strlen(s.text);
	server_open(&s);
	CU_ASSERT_EQUAL(request(&s, &t, 0), CURLE_OK);
	CU_ASSERT_TRUE(t.is_foreign);
	CU_ASSERT_EQUAL(t.reply.body.n, 0);
	transfer_free(&t);
	close(s.listener);
}

/* The bytes held for bodies do not become fewer as these are freed. */
static void
held_bytes(void)
{
	size_t held = 7;
	struct server s = {.text = forms[0].text, .held = &held};
	struct transfer t;

	s.n = strlen(s.text);
	server_open(&s);
	request(&s, &t, 0);
	CU_ASSERT_EQUAL(held, 11);
	transfer_free(&t);
	CU_ASSERT_EQUAL(held, 7);
	close(s.listener);
}

/* A server that answers the first request of a connection, and does something
 * else with the second. */
struct talk {
	struct server server;
	const char *answers[2]; /* none: the connection is closed instead */
	int conns;
	int heads; /* of requests, on all connections */
};

/* Reads on a connection until the head of a request has come; returns 0 if the
 * connection has ended before. */
static int
read_head(int fd)
{
	char last[4] = "";
	char c;

	while (recv(fd, &c, 1, 0) == 1) {
		memmove(last, last + 1, 3);
		last[3] = c;
		if (memcmp(last, "\r\n\r\n", 4) == 0)
			return (1);
	}
	return (0);
}

/* Serves connections, one after the other, until the listener is shut down. */
static void *
serve_talk(void *arg)
{
	struct talk *t = arg;
	const char *text;
	int fd, n;

	while ((fd = accept(t->server.listener, NULL, NULL)) >= 0) {
		t->conns++;
		for (n = 0; read_head(fd); n++) {
			t->heads++;
			text = t->answers[n > 0];
			if (text == NULL)
				break;
			send(fd, text, strlen(text), MSG_NOSIGNAL);
		}
		close(fd);
	}
	return (NULL);
}

/* Makes two requests, one after the other, the first with a body of n bytes;
 * returns how the second ended. */
static CURLcode
request_twice(struct talk *talk, size_t n)
{
	CURL *easy = curl_easy_init();
	struct transfer t;
	char *body = calloc(1, n + 1);
	pthread_t thread;
	CURLcode res;
	int i;

	server_open(&talk->server);
	pthread_create(&thread, NULL, serve_talk, talk);
	for (i = 0; i < 2; i++) {
		memset(&t, 0, sizeof(t));
		curl_easy_reset(easy);
		t.easy = easy;
		transfer_init(&t, &objects_target, BODY_MAX, OPEN_MAX, 0);
		t.headers = curl_slist_append(NULL, "Expect:");
		transfer_set_options(&t, talk->server.url, 1000, "");
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
		if (i == 0 && n > 0) {
			curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)n);
			curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
		}
		res = transfer_end(&t, curl_easy_perform(easy));
		transfer_free(&t);
	}
	curl_easy_cleanup(easy);
	shutdown(talk->server.listener, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(talk->server.listener);
	free(body);
	return (res);
}

/* A request is sent again as its kept connection ended without an answer,
 * though it may have run. */
static void
sent_once(void)
{
	struct talk t = {.answers = {forms[0].text, NULL}};

	CU_ASSERT_NOT_EQUAL(request_twice(&t, 0), CURLE_OK);
	CU_ASSERT_EQUAL(t.heads, 2);
}

/* A request is sent where the rest of a body is due that was refused before it
 * had been read. */
static void
refused_early(void)
{
	static const char refusal[] = "HTTP/1.1 503 X\r\nX-Request-Id: me\r\n"
				      "X-Not-Executed: 1\r\n"
				      "Content-Length: 0\r\n\r\n";
	struct talk t = {.answers = {refusal, forms[0].text}};

	CU_ASSERT_EQUAL(request_twice(&t, LONG_BODY), CURLE_OK);
	CU_ASSERT_EQUAL(t.conns, 2);
	CU_ASSERT_EQUAL(t.heads, 2);
}

static const struct unit_test tests[] = {
    {"ends at each byte", ends_at_each_byte}, {"resets", resets},
    {"interim headers", interim_headers}, {"trailers", trailers},
    {"without end", without_end}, {"foreign", foreign},
    {"held bytes", held_bytes}, {"sent once", sent_once},
    {"refused early", refused_early}};

UNIT_MAIN("transfer", tests)
