#ifndef PH_POOL_SHARD_H
#define PH_POOL_SHARD_H

/*
 * Shards of a large failure domain: each shard is a pool of part of the
 * domain's executors, with an owner of its own. Shard 0 has the name of the
 * domain, shard k is named "domain#k".
 */

#include <stdbool.h>

#include "peridothall.h"

/** Most shards of a domain. */
#define PH_POOL_SHARDS_MAX 1000U

/**
 * Number of shards for a domain with this many executors that had "before"
 * shards so far (0: none yet); never less than before. It depends on what an
 * instance has seen: shard_plan.h tells which number is in force.
 */
uint32_t ph_pool_shard_count(uint32_t before, uint32_t executors);

/** Shard of an executor, by rendezvous hashing: adding a shard moves only the
 * executors that the new shard gets. */
uint32_t ph_pool_shard_of(const char *executor, uint32_t shards);

/** Name of a shard's pool, which the process keeps. */
const char *ph_pool_shard_name(const char *domain, uint32_t shard);

/** Failure domain of a pool, which the process keeps. */
const char *ph_pool_shard_domain(const char *pool);

/** True if the pool is a shard of the failure domain. */
bool ph_pool_shard_in(const char *pool, const char *domain);

/** Shard number in a pool's name; 0 if it has none. */
uint32_t ph_pool_shard_number(const char *pool);

#endif
