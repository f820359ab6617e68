#include "pool_shard.h"
#include "shard_plan.h"

/* Takes over a value that has precedence. */
static bool adopt(struct ph_shard_plan *plan, uint32_t shards,
		  uint64_t revision)
{
	bool changed = shards != plan->shards;

	if (!shards || revision < plan->revision ||
	    (revision == plan->revision && shards <= plan->shards))
		return false;
	plan->shards = shards;
	plan->revision = revision;
	plan->unknown_since_us = 0;
	return changed;
}

bool ph_shard_plan_heard(struct ph_shard_plan *plan, uint32_t shards,
			 uint64_t revision)
{
	/* The key was written since it was read here: a proposal under the
	 * revision of that read would only be refused. */
	if (shards && revision > plan->stored_revision &&
	    revision > plan->revision)
		plan->stored = PH_SHARDS_NOT_READ;
	return adopt(plan, shards, revision);
}

bool ph_shard_plan_read(struct ph_shard_plan *plan,
			enum ph_shards_stored stored, uint32_t shards,
			uint64_t revision)
{
	bool present = stored == PH_SHARDS_PRESENT;

	if (present && (!shards || shards > PH_POOL_SHARDS_MAX || !revision)) {
		stored = PH_SHARDS_UNREADABLE;
		present = false;
	}
	plan->stored = stored;
	plan->stored_shards = present ? shards : 0;
	plan->stored_revision = present ? revision : 0;
	return present && adopt(plan, shards, revision);
}

bool ph_shard_plan_waits(const struct ph_shard_plan *plan)
{
	return plan->executors && !plan->shards;
}

bool ph_shard_plan_list(struct ph_shard_plan *plan, uint64_t now_us,
			uint32_t executors)
{
	plan->executors = executors;
	if (!ph_shard_plan_waits(plan)) {
		plan->unknown_since_us = 0;
		return false;
	}
	if (!plan->unknown_since_us)
		plan->unknown_since_us = now_us;
	if (now_us < plan->unknown_since_us + PH_SHARDS_WAIT_US)
		return false;
	return adopt(plan, ph_pool_shard_count(0, executors), 0);
}

/* The value that the store should hold. */
static uint32_t target(const struct ph_shard_plan *plan)
{
	uint32_t before = plan->shards > plan->stored_shards
				  ? plan->shards
				  : plan->stored_shards;

	return ph_pool_shard_count(before, plan->executors);
}

static bool wanted(const struct ph_shard_plan *plan)
{
	return plan->executors && (plan->stored == PH_SHARDS_ABSENT ||
				   (plan->stored == PH_SHARDS_PRESENT &&
				    target(plan) > plan->stored_shards));
}

bool ph_shard_plan_due(struct ph_shard_plan *plan, uint64_t now_us, bool own,
		       struct ph_shards_proposal *proposal)
{
	if (!wanted(plan)) {
		plan->wanted_since_us = 0;
		return false;
	}
	if (!plan->wanted_since_us)
		plan->wanted_since_us = now_us;
	if (plan->proposing || now_us < plan->next_proposal_us ||
	    (!own &&
	     now_us < plan->wanted_since_us + PH_SHARDS_FOREIGN_DELAY_US))
		return false;
	proposal->shards = target(plan);
	proposal->expected_revision = plan->stored_revision;
	return true;
}

void ph_shard_plan_proposed(struct ph_shard_plan *plan)
{
	plan->proposing = true;
}

static uint64_t retry_us(const struct ph_shard_plan *plan)
{
	uint64_t interval_us = PH_SHARDS_RETRY_MIN_US;
	uint32_t i;

	for (i = 1;
	     i < plan->proposals_failed && interval_us < PH_SHARDS_RETRY_MAX_US;
	     i++)
		interval_us *= 2;
	return interval_us;
}

bool ph_shard_plan_outcome(struct ph_shard_plan *plan, uint64_t now_us,
			   enum ph_shards_outcome outcome,
			   enum ph_shards_stored stored, uint32_t shards,
			   uint64_t revision)
{
	plan->proposing = false;
	/* After a conflict whose reply does not tell what the key holds, the
	 * next read has to; the proposal after it may fare the same. */
	if (outcome == PH_SHARDS_WRITTEN ||
	    (outcome == PH_SHARDS_CONFLICT && stored != PH_SHARDS_NOT_READ))
		plan->proposals_failed = 0;
	else if (plan->proposals_failed < UINT32_MAX)
		plan->proposals_failed++;
	plan->next_proposal_us =
		outcome == PH_SHARDS_WRITTEN ? now_us : now_us + retry_us(plan);
	if (outcome == PH_SHARDS_FAILED)
		return false;
	return ph_shard_plan_read(plan, stored, shards, revision);
}
