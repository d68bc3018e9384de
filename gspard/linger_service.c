/* The service "linger": the thread of the connections that were closed. */
#include "gspard.h"
#include "linger.h"
#include "room.h"

/* Returns the list of the process. */
struct linger_list *
linger_find(struct kernel *k)
{
	return (kernel_find(k, "linger")->state);
}

/* Runs the service's thread until MSG_QUIT. */
static void
linger_run(struct service *s)
{
	struct msg *m;
	int stop = 0;

	while (!stop) {
		linger_poll(s->state);
		while ((m = ring_get(s->in)) != NULL) {
			stop |= m->kind == MSG_QUIT;
			msg_free(m);
		}
	}
}

/* Opens the service; 0, or -1 on failure. */
static int
linger_open(struct service *s)
{
	s->state = linger_new(room_connections_max(
	    kernel_conf(s->kernel)->memory_mb, kernel_descriptors(s->kernel)));
	if (s->state == NULL)
		return (-1);
	ring_set_wake(s->in, linger_wake, s->state);
	return (0);
}

/* Closes the connections that are left.  The other services have been closed
 * before. */
static void
linger_close(struct service *s)
{
	ring_set_wake(s->in, NULL, NULL);
	linger_free(s->state);
}

const struct service_ops linger_service = {
    "linger", 16, linger_open, linger_run, linger_close};
