#ifndef PH_POOL_SHARD_H
#define PH_POOL_SHARD_H

/*
 * Pools of a large failure domain: its executors are split over shards, each
 * of which is a pool with an owner of its own. Shard 0 is named like the
 * domain, shard k "domain#k".
 */

#include <stdbool.h>

#include "peridothall.h"

/**
 * Number of shards for a domain of so many executors that had some before.
 * It never falls, for instances that disagree on it would work on the same
 * executors.
 */
uint32_t ph_pool_shard_count(uint32_t before, uint32_t executors);

/** Shard of an executor; one more shard moves only what goes to it. */
uint32_t ph_pool_shard_of(const char *executor, uint32_t shards);

/** Name of a shard's pool. */
void ph_pool_shard_name(const char *domain, uint32_t shard,
			char name[PH_NAME_BYTES]);

/** Tells whether a pool lies in a failure domain. */
bool ph_pool_shard_in(const char *pool, const char *domain);

/** Number of the shard in a pool's name. */
uint32_t ph_pool_shard_number(const char *pool);

#endif
