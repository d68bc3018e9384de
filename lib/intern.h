/* Names that many entries share, held once for the life of the process. */
#ifndef INTERN_H
#define INTERN_H

/* Names that are held at most: those of services and data centres. */
#define INTERN_MAX 16384

const char *intern(const char *name);

#endif
