#include "version.h"

#define REVISION_BITS 40

/* Takes the era of a response; returns 1 if it has risen: the store has come
 * back from an old copy. */
int
era_rose(struct store_era *e, uint64_t number)
{
	int rose = e->known && number > e->number;

	if (!e->known || rose)
		e->number = number;
	e->known = 1;
	return (rose);
}

/* Returns the version of a revision; 0, that of no object, for revision 0. */
uint64_t
version_make(uint64_t era, uint64_t revision)
{
	if (revision == 0)
		return (0);
	return ((era & VERSION_ERA_MAX) << REVISION_BITS |
	    (revision & VERSION_REVISION_MAX));
}

/* Returns the era of a version. */
uint64_t
version_era(uint64_t version)
{
	return (version >> REVISION_BITS);
}

/* Returns the revision of a version. */
uint64_t
version_revision(uint64_t version)
{
	return (version & VERSION_REVISION_MAX);
}
