/*
 * Lives of one target.  A target that starts again keeps its id and nothing
 * else: it holds no keys, knows no fence, and is not leaving though it was.  So
 * wherever a target is named in this system, the name is that of one life: the
 * target's id, and the moment of its start.
 */
#ifndef INCARNATION_H
#define INCARNATION_H

#include <stddef.h>
#include <stdint.h>

int incarnation_name(
    char *name, size_t size, const char *target, uint64_t born);
size_t incarnation_target(const char *name);
int incarnation_is_of(const char *name, const char *target);
int incarnation_same_target(const char *a, const char *b);
int incarnation_follows(const char *later, const char *earlier);
uint64_t incarnation_digest(const char *name);

#endif
