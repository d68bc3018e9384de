#include <stdlib.h>
#include <string.h>

#include "owners.h"

/* Frees a snapshot; void * so that shared ones can be. */
void
owners_free(void *arg)
{
	struct owners *o = arg;
	int i;

	if (o == NULL)
		return;
	for (i = 0; i < o->nservices; i++)
		free(o->services[i].ranges);
	free(o->services);
	free(o->targets);
	free(o);
}

/* The range that a key lies in, or NULL where nothing is known of it. */
const struct owner_range *
owners_find(const struct owners *o, const char *service, uint32_t key)
{
	const struct owner_service *s = NULL;
	int i, low = 0, high, mid;

	for (i = 0; o != NULL && i < o->nservices; i++) {
		if (strcmp(o->services[i].name, service) == 0)
			s = &o->services[i];
	}
	if (s == NULL || s->nranges == 0)
		return (NULL);
	high = s->nranges - 1;
	while (low < high) {
		mid = (low + high + 1) / 2;
		if (s->ranges[mid].from <= key)
			low = mid;
		else
			high = mid - 1;
	}
	if (key < s->ranges[low].from || key > s->ranges[low].to)
		return (NULL);
	return (&s->ranges[low]);
}
