/*
 * The account of the memory that requests and answers of clients take in this
 * process, in bytes, whoever holds them.  Thread-safe.
 */
#ifndef HELD_H
#define HELD_H

#include <stddef.h>

void held_init(size_t max);
void held_add(size_t);
void held_sub(size_t);
size_t held_now(void);
int held_is_over(size_t size);
int held_admits(size_t size, size_t yielding);

#endif
