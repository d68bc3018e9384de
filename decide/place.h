/* Shard placement: picks targets for unowned shards and balances load. */
#ifndef PLACE_H
#define PLACE_H

#include <stdint.h>

struct place_target {
	int usable;  /* may be given shards */
	int slots;   /* requests that it serves at the same time */
	double load; /* busy time, in slots */
	int shards;
};

struct place_move {
	uint32_t shard;
	int from; /* index of a target */
	int to;
};

double place_utilisation(const struct place_target *);
int place_pick(const struct place_target *, int n);
double place_imbalance(const struct place_target *, int n);
int place_balance(struct place_target *, int n, const int *owner,
    const double *load, const uint8_t *fixed, uint32_t shards, double tolerance,
    struct place_move *out, int max);

#endif
