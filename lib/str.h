/* Growable byte strings, and names. */
#ifndef STR_H
#define STR_H

#include <stddef.h>

struct str {
	char *p;
	size_t n;
};

/* Maximum size of the name of a host, data centre, target, service or cell,
 * with its NUL. */
#define NAME_MAX_GS 64

int str_set(struct str *, const void *, size_t);
int str_append(struct str *, size_t *size, const void *, size_t n);
int str_add(struct str *, const void *, size_t);
int str_add_escaped(struct str *, const char *, size_t);
void str_free(struct str *);
int name_ok(const char *, size_t);
int name_copy(char *, size_t, const char *);
const char *header_line_value(
    const char *line, size_t n, const char *name, size_t *size);

#endif
