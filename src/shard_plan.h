#ifndef PH_SHARD_PLAN_H
#define PH_SHARD_PLAN_H

/*
 * The number of shards of a failure domain, a value on which all instances
 * agree. It is kept in the platform's store, changes only by conditional writes
 * and only grows. Instances learn it from the store and from each other's
 * heartbeats: the value with the higher revision takes precedence, at equal
 * revisions the larger one. docs/design/shards.md describes the protocol.
 */

#include <stdbool.h>

#include "peridothall.h"

/** Time for which an instance with a list of executors waits for the value
 * before it computes one: a read of the store that times out (0.7 s), the delay
 * before it is repeated (0.3 s) and the repetition. */
#define PH_SHARDS_WAIT_US 1100000U
/** Time for which an instance of another domain leaves a proposal to those of
 * the domain: they read the store every 0.25 s at first. */
#define PH_SHARDS_FOREIGN_DELAY_US 2000000U
/** Shortest and longest interval of proposals that fail; it doubles with each.
 * At the longest, 150 instances make 19 of the 400 write calls a second that
 * the store serves on small deployments. */
#define PH_SHARDS_RETRY_MIN_US 500000U
#define PH_SHARDS_RETRY_MAX_US 8000000U

/** What is known of the key in the store. */
enum ph_shards_stored {
	/** Not read since a change of it became known. */
	PH_SHARDS_NOT_READ,
	PH_SHARDS_ABSENT,
	PH_SHARDS_PRESENT,
	/** Present, with a value that is no number of shards. */
	PH_SHARDS_UNREADABLE,
};

/** Outcome of the write that proposes a value. */
enum ph_shards_outcome {
	PH_SHARDS_WRITTEN,
	/** The key had another revision; the reply tells what it holds. */
	PH_SHARDS_CONFLICT,
	/** Refused, or without an answer: it may have been executed. */
	PH_SHARDS_FAILED,
	PH_SHARDS_OUTCOMES,
};

/** The number of shards as known to this instance; zero-initialized. */
struct ph_shard_plan {
	/** Value in force, 0: not known; and the revision of the store at which
	 * it was written, 0: it is not from the store. */
	uint32_t shards;
	uint64_t revision;
	/** The key as of the last read or reply. */
	enum ph_shards_stored stored;
	uint32_t stored_shards;
	uint64_t stored_revision;
	/** Executors of the domain in the current list. */
	uint32_t executors;
	/** Since when there has been a list, but no value; 0: not so. */
	uint64_t unknown_since_us;
	/** Since when the store has lacked the value; 0: it does not. */
	uint64_t wanted_since_us;
	/** A proposal has been sent. */
	bool proposing;
	uint32_t proposals_failed;
	uint64_t next_proposal_us;
};

/** A proposal: the value, and the revision that the key has to have. */
struct ph_shards_proposal {
	uint32_t shards;
	uint64_t expected_revision;
};

/* The functions that return bool, but for ph_shard_plan_due(), tell whether the
 * number of shards in force has changed. */

/** Takes over a value from a heartbeat of an instance of the domain if it has
 * precedence; shards 0: the sender does not know it. */
bool ph_shard_plan_heard(struct ph_shard_plan *plan, uint32_t shards,
			 uint64_t revision);

/** Takes over what a complete read of the store shows. shards and revision
 * count only for PH_SHARDS_PRESENT and PH_SHARDS_UNREADABLE. */
bool ph_shard_plan_read(struct ph_shard_plan *plan,
			enum ph_shards_stored stored, uint32_t shards,
			uint64_t revision);

/** Notes the number of executors of the domain in the complete list; computes
 * the value if it has not become known in time. Called at each new list, and
 * while ph_shard_plan_waits(). */
bool ph_shard_plan_list(struct ph_shard_plan *plan, uint64_t now_us,
			uint32_t executors);

/** True while the domain has executors and no value. */
bool ph_shard_plan_waits(const struct ph_shard_plan *plan);

/** Whether this instance has to propose a value now; own: the domain is that of
 * this instance. Called at each tick. */
bool ph_shard_plan_due(struct ph_shard_plan *plan, uint64_t now_us, bool own,
		       struct ph_shards_proposal *proposal);
/** The proposal that is due has been sent. */
void ph_shard_plan_proposed(struct ph_shard_plan *plan);
/** The outcome of the proposal. stored, shards and revision tell what the key
 * now holds, if outcome is not PH_SHARDS_FAILED. */
bool ph_shard_plan_outcome(struct ph_shard_plan *plan, uint64_t now_us,
			   enum ph_shards_outcome outcome,
			   enum ph_shards_stored stored, uint32_t shards,
			   uint64_t revision);

#endif
