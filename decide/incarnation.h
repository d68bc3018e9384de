/*
 * Incarnations of a target: its runs, each from one start to the next.  A
 * target that restarts keeps its id and nothing else: it holds no keys, knows
 * no fence, and is no longer leaving.  So targets are named by incarnation
 * throughout: by the target's id and its start time.
 */
#ifndef INCARNATION_H
#define INCARNATION_H

#include <stddef.h>
#include <stdint.h>

int incarnation_format(
    char *name, size_t size, const char *target, uint64_t started_at);
size_t incarnation_id_length(const char *name);
int incarnation_is_of(const char *name, const char *target);
int incarnation_same_target(const char *a, const char *b);
int incarnation_follows(const char *later, const char *earlier);
uint64_t incarnation_digest(const char *name);

#endif
