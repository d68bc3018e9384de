/* Internal to the files of cell.h: assignment of shards to targets. */
#ifndef CELL_PLAN_H
#define CELL_PLAN_H

#include "cell.h"

void plan_load(struct cell *, struct cell_service *, const char *json, size_t,
    uint64_t *write_id);
uint64_t plan_write_id(const char *json, size_t);
char *plan_json(struct cell *, struct cell_service *);
void plan_claim(struct cell *, struct cell_service *);
void plan_commit(struct cell *, struct cell_service *, uint64_t version);
void plan_tick(struct cell *, struct cell_service *, usec now);
void plan_view_changed(struct cell *);
int cell_host_available(const struct cell *, int h, usec now);

#endif
