/* Length-counted strings for data from outside. */
#ifndef STR_H
#define STR_H

#include <stddef.h>

struct str {
	char *p;
	size_t n;
};

/* Longest name of a host, data centre, target, service or cell, with NUL. */
#define NAME_MAX_GS 64

int str_set(struct str *, const void *, size_t);
int str_add(struct str *, const void *, size_t);
void str_free(struct str *);
int name_ok(const char *, size_t);
int name_copy(char *, size_t, const char *);

#endif
