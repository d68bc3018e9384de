#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "str.h"

/* Allocations from this size in bytes on grow by doubling: the operating system
 * provides their memory only when it is written. */
#define DOUBLING_MIN (256 * 1024)

/* Replaces the contents of s by n bytes.  Returns 0, or -1 without memory. */
int
str_set(struct str *s, const void *p, size_t n)
{
	s->n = 0;
	return (str_add(s, p, n));
}

/* Appends n bytes, for which there is room, and a NUL, so that the contents can
 * be passed on as a C string. */
static void
put(struct str *s, const void *p, size_t n)
{
	if (n > 0)
		memcpy(s->p + s->n, p, n);
	s->n += n;
	s->p[s->n] = '\0';
}

/* Changes the allocation to size bytes.  Returns 0, or -1 without memory. */
static int
resize(struct str *s, size_t size)
{
	char *q;

	q = realloc(s->p, size);
	if (q == NULL)
		return (-1);
	s->p = q;
	return (0);
}

/*
 * Appends n bytes to a string whose allocation has *size bytes, so that many
 * small pieces make up a long one at little cost.  Returns 0, or -1 without
 * memory.
 */
int
str_append(struct str *s, size_t *size, const void *p, size_t n)
{
	size_t need;

	if (n > SIZE_MAX / 2 - s->n - 1)
		return (-1);
	need = s->n + n + 1;
	if (need > *size) {
		if (need >= DOUBLING_MIN)
			need *= 2;
		if (resize(s, need) != 0)
			return (-1);
		*size = need;
	}
	put(s, p, n);
	return (0);
}

/* Appends n bytes.  Returns 0, or -1 without memory.  A NUL always follows the
 * last byte. */
int
str_add(struct str *s, const void *p, size_t n)
{
	if (n > SIZE_MAX - s->n - 1 || resize(s, s->n + n + 1) != 0)
		return (-1);
	put(s, p, n);
	return (0);
}

/* True for a character that stands for itself in each part of a URL. */
static int
is_unreserved(char c)
{
	return (isalnum((unsigned char)c) ||
	    (c != '\0' && strchr("-._~", c) != NULL));
}

/* Appends n bytes as one segment of a URL's path or one value in its query (RFC
 * 3986, 2.1).  Returns 0, or -1 without memory. */
int
str_add_escaped(struct str *s, const char *p, size_t n)
{
	char escape[4];
	size_t i, plain = 0; /* length of what needs no escape */

	for (i = 0; i < n; i++) {
		if (is_unreserved(p[i])) {
			plain++;
			continue;
		}
		snprintf(escape, sizeof(escape), "%%%02X", (unsigned char)p[i]);
		if (str_add(s, p + i - plain, plain) != 0 ||
		    str_add(s, escape, 3) != 0)
			return (-1);
		plain = 0;
	}
	return (str_add(s, p + n - plain, plain));
}

/* Frees the contents; s is empty and may be reused. */
void
str_free(struct str *s)
{
	free(s->p);
	s->p = NULL;
	s->n = 0;
}

/* True if p is a valid name: letters, digits, '.', '-', '_', '+'. */
int
name_ok(const char *p, size_t n)
{
	size_t i;

	if (n == 0 || n >= NAME_MAX_GS)
		return (0);
	for (i = 0; i < n; i++) {
		if (!isalnum((unsigned char)p[i]) &&
		    strchr(".-_+", p[i]) == NULL)
			return (0);
	}
	return (1);
}

/* Copies a NUL-terminated name.  Returns 0, or -1 if it does not fit; dst is
 * the empty string then. */
int
name_copy(char *dst, size_t size, const char *src)
{
	size_t n;

	n = strlen(src);
	if (n >= size) {
		dst[0] = '\0';
		return (-1);
	}
	memcpy(dst, src, n + 1);
	return (0);
}

/*
 * Returns the value in a header line of n bytes if it is the named header, else
 * NULL; sets its length.  Blanks before it and the line end are left out.
 */
const char *
header_line_value(const char *line, size_t n, const char *name, size_t *size)
{
	size_t k = strlen(name);

	if (n <= k || line[k] != ':' || strncasecmp(line, name, k) != 0)
		return (NULL);
	k++;
	while (k < n && (line[k] == ' ' || line[k] == '\t'))
		k++;
	while (n > k && (line[n - 1] == '\r' || line[n - 1] == '\n'))
		n--;
	*size = n - k;
	return (line + k);
}
