#ifndef PH_ROUTING_H
#define PH_ROUTING_H

/* The routes that operators have configured on a platform: they map requests
 * to queues and hold the settings of each queue's jobs. Immutable once built.
 */

#include "pool_types.h"

/** A queue of jobs and the requests that belong to it. */
struct ph_route {
	/** Owned by the routing, of any length. */
	char *name;
	char *host;
	/** Prefix of the requests' path; begins with '/'. */
	char *prefix;
	char *service;
	/** 0 is the highest. */
	uint32_t priority;
	/** Failed runs of one task after which its job fails. */
	uint32_t max_attempts;
	/** Longest time for answering one request. */
	uint64_t timeout_us;
	/** Part of a job's latency target that is proportional to the declared
	 * run time of its longest chain of tasks, in percent of it. */
	uint32_t stretch_percent;
	/** Constant part of a job's latency target. */
	uint64_t target_extra_us;
};

struct ph_routing {
	const struct ph_mem *mem;
	uint64_t version;
	size_t route_count;
	struct ph_route *routes;
	/** Number of routes that were left out, as they are not valid. */
	size_t skipped;
};

void ph_routing_free(struct ph_routing *routing);

/** Frees the strings of a route. */
void ph_route_clear(const struct ph_mem *mem, struct ph_route *route);

/**
 * Finds the route of a request: the host must match (ignoring case and port),
 * and of the matching prefixes of the path the longest wins. Returns NULL if
 * there is none.
 */
const struct ph_route *ph_routing_find(const struct ph_routing *routing,
				       const char *host, const char *path);

#endif
