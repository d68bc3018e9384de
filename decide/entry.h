/* A catalogue entry: one service, checked whole before any use. */
#ifndef ENTRY_H
#define ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

#define ENTRY_CELLS 16
#define ENTRY_TARGETS 128
#define CELL_DCS 8
#define SHARDS_MAX 65536
/* Room for a cell's name: its data centres joined by '+'. */
#define CELL_NAME 256

/* What requests of the class are and how they are treated. */
struct class {
	const char *name;
	int idempotent;
	int is_long;
};

struct target_conf {
	char name[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char addr[64];
	int slots;
	int leaving;
	int checks; /* refuses orders of an earlier epoch */
};

/* A run of the service's shards, and the targets they may be on. */
struct cell_conf {
	char name[CELL_NAME];
	char dcs[CELL_DCS][NAME_MAX_GS];
	int ndcs;
	uint32_t first;
	uint32_t last;
	struct target_conf *targets;
	int ntargets;
};

enum weigh { WEIGH_IMBALANCE, WEIGH_UNAVAILABLE };

struct entry {
	char name[NAME_MAX_GS];
	char owner[128];
	char edit[64];
	const struct class *class;
	uint32_t shards;
	uint64_t version;
	int queue;
	int deadline_ms;
	int body;
	int answer;
	int rate;
	enum weigh weigh;
	struct cell_conf cells[ENTRY_CELLS];
	int ncells;
};

struct entry *entry_parse(const char *, size_t, char *why, size_t size);
void entry_free(struct entry *);
const struct cell_conf *entry_cell(const struct entry *, uint32_t shard);
const struct target_conf *cell_conf_target(
    const struct cell_conf *, const char *name);

#endif
