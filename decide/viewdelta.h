/* Views encoded as the difference to an earlier view. */
#ifndef VIEWDELTA_H
#define VIEWDELTA_H

#include <stdint.h>

#include "gspar.pb-c.h"

struct viewdelta {
	Gspar__View view; /* to be sent; points to the arrays below */
	Gspar__ServiceView *services;
	Gspar__ServiceView **service_list;
	Gspar__ShardChange *changes;
	Gspar__ShardChange **change_list;
};

int viewdelta_make(
    struct viewdelta *, const Gspar__View *base, const Gspar__View *);
void viewdelta_free(struct viewdelta *);
Gspar__View *viewdelta_apply(const Gspar__View *base, const Gspar__View *);

#endif
