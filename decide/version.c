#include "version.h"

#define REVISION_BITS 40

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
