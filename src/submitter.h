#ifndef PH_SUBMITTER_H
#define PH_SUBMITTER_H

/*
 * Jobs of callers at the entry instance that holds their connections: each
 * is sent to the owner of a pool, follows the pool to its next owner, and is
 * answered whole. Nothing of it is stored.
 */

#include "cluster.h"

struct ph_front;

/** How a job ended for its caller. */
enum ph_front_outcome {
	PH_FRONT_COMPLETED,
	PH_FRONT_FAILED,
	/** Not run; the caller may come again after a time. */
	PH_FRONT_NOT_RUN,
	/** Something may have run; all of it is stopped or ends in time. */
	PH_FRONT_UNKNOWN,
};

struct ph_front_sink {
	/** Sends a batch, a cancellation or an acknowledgement to an owner. */
	void (*send)(void *ctx, const struct ph_owner *owner,
		     const struct ph_poolmsg *msg);
	/** Load of a pool that this instance owns itself. */
	void (*own_load)(void *ctx, const char *domain,
			 struct ph_pool_load *load);
	void (*answer)(void *ctx, uint64_t token, enum ph_front_outcome outcome,
		       uint64_t retry_after_us, uint64_t took_us);
};

/** A pool that a job may go to. */
struct ph_spill_choice {
	/** Index among the members' domains. */
	uint32_t pool;
	uint64_t wait_us;
	uint32_t free_milli;
	uint32_t capacity_milli;
	bool own_domain;
};

/** Choice of a pool; a variant of the policy. */
struct ph_spill_policy {
	const char *name;
	/** Expected wait at a pool for a batch, its way included. */
	uint64_t (*wait_us)(const struct ph_pool_load *load, bool own_domain,
			    const struct ph_work *work);
	/** Index of the pool to take among count of at least 1; key is a
	 * number that differs from job to job. */
	size_t (*pick)(const struct ph_spill_choice *list, size_t count,
		       uint64_t key);
};

/** Own domain first, another's if the saved wait exceeds the way; at random by
 * room among those that are about as good. */
extern const struct ph_spill_policy ph_spill_spread;
/** Likewise, but always the best as it seems: of many instances that know the
 * same old loads all take the same one. */
extern const struct ph_spill_policy ph_spill_wait;
/** The baseline: the own domain's pool as long as it has an owner. */
extern const struct ph_spill_policy ph_spill_none;
/** All of them, NULL at the end. */
extern const struct ph_spill_policy *const ph_spill_policies[];

struct ph_front_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	const struct ph_spill_policy *policy;
	struct ph_members *members;
	/** First handle of a batch; above those of earlier lives. */
	uint64_t first_seq;
	/** Until then pools may have no owner yet, since all have started. */
	uint64_t settled_us;
	const struct ph_front_sink *sink;
	void *ctx;
};

struct ph_front *ph_front_new(const struct ph_front_options *options);
void ph_front_free(struct ph_front *front);

/** Takes a job over; token names the caller's request in the answer. */
void ph_front_submit(struct ph_front *front, uint64_t now_us, uint64_t token,
		     struct ph_work *work);

/** The caller has gone: nothing is answered any more. */
void ph_front_hangup(struct ph_front *front, uint64_t now_us, uint64_t token);

void ph_front_accepted(struct ph_front *front, uint64_t seq);
/** An owner has dropped a batch that was cancelled. */
void ph_front_cancelled(struct ph_front *front, uint64_t seq);
void ph_front_result(struct ph_front *front, uint64_t now_us, uint64_t seq,
		     const struct ph_result *result);

/** This process stops; it ends at end_us at the latest. */
void ph_front_stopping(struct ph_front *front, uint64_t end_us);

/** This process stood still: what it had under way is stopped. */
void ph_front_paused(struct ph_front *front, uint64_t now_us);

void ph_front_tick(struct ph_front *front, uint64_t now_us);

/** Jobs under way. */
size_t ph_front_count(const struct ph_front *front);

#endif
