#ifndef PH_ROUTING_H
#define PH_ROUTING_H

/* The operators' routes in force on a platform: which queue a request belongs
 * to and what holds for its jobs. Immutable once built. */

#include "pool_types.h"

#define PH_HOST_BYTES 128U
#define PH_PREFIX_BYTES 128U

/** A queue of jobs. */
struct ph_route {
	char name[PH_HOST_BYTES];
	char host[PH_HOST_BYTES];
	/** Begins with '/'. */
	char prefix[PH_PREFIX_BYTES];
	char service[PH_NAME_BYTES];
	/** 0 goes first. */
	uint32_t priority;
	uint32_t max_attempts;
	/** Longest time for one request. */
	uint64_t timeout_us;
	/** A job's aim: so many percent of its longest chain of work ... */
	uint32_t stretch_percent;
	/** ... and this much more. */
	uint64_t target_extra_us;
};

struct ph_routing {
	const struct ph_mem *mem;
	uint64_t version;
	size_t route_count;
	struct ph_route *routes;
};

void ph_routing_free(struct ph_routing *routing);

/**
 * Finds the route of a request: the host, without regard to a port, and the
 * longest prefix that the path begins with. NULL: there is none.
 */
const struct ph_route *ph_routing_find(const struct ph_routing *routing,
				       const char *host, const char *path);

#endif
