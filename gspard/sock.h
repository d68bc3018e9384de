/* Sockets bound to a configured address. */
#ifndef BIND_H
#define BIND_H

int bind_to(const char *at);

#endif
