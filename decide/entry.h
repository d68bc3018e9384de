/* A catalogue entry: the description of one service, validated as a whole
 * before use. */
#ifndef ENTRY_H
#define ENTRY_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

#define ENTRY_CELLS_MAX 16
#define ENTRY_TARGETS_MAX 128
#define CELL_DCS_MAX 8
#define SHARDS_MAX 65536
/* Size of a cell's name: its data centres joined by '+'. */
#define CELL_NAME_MAX 256

/* Properties that all requests of a class share. */
struct class {
	const char *name;
	int idempotent;
	int is_long; /* long-running */
};

struct target_conf {
	char name[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char addr[64];
	int slots;
	int leaving; /* to be drained */
	int checks;  /* refuses orders of an earlier epoch */
};

/* A contiguous range of the service's shards, and the targets that may serve
 * them. */
struct cell_conf {
	char name[CELL_NAME_MAX];
	char dcs[CELL_DCS_MAX][NAME_MAX_GS];
	int ndcs;
	uint32_t first;
	uint32_t last;
	struct target_conf *targets;
	int ntargets;
};

/* Balance policy: whether uneven load or shards that are unavailable while they
 * move weigh more. */
enum weigh { WEIGH_IMBALANCE, WEIGH_UNAVAILABLE };

struct entry {
	char name[NAME_MAX_GS];
	char owner[128]; /* free text */
	char edit[64];	 /* id of the edit that wrote it; may be empty */
	const struct class *class;
	uint32_t shards;
	uint64_t version;
	int queue; /* requests */
	int deadline_ms;
	int body;   /* longest request body, bytes */
	int answer; /* longest answer, bytes */
	int rate;   /* requests a second; 0 is unlimited */
	enum weigh weigh;
	struct cell_conf cells[ENTRY_CELLS_MAX];
	int ncells;
};

struct entry *entry_parse(const char *, size_t, char *why, size_t size);
void entry_free(struct entry *);
const struct cell_conf *entry_cell(const struct entry *, uint32_t shard);
const struct target_conf *cell_conf_target(
    const struct cell_conf *, const char *name);

#endif
