#ifndef PH_SUBMITTER_H
#define PH_SUBMITTER_H

/*
 * Jobs of callers at the entry instance that holds their connections: each
 * is sent to the owner of a pool, follows the pool to its next owner, and is
 * answered whole. Nothing of it is stored.
 */

#include "cluster.h"

struct ph_submitter;

/** How a job ended for its caller. */
enum ph_job_outcome {
	PH_JOB_COMPLETED,
	PH_JOB_FAILED,
	/** Not run; the caller may come again after a time. */
	PH_JOB_NOT_RUN,
	/** Something may have run; all of it is stopped or ends in time. */
	PH_JOB_UNKNOWN,
};

struct ph_submitter_sink {
	/** Sends a batch, a cancellation or an acknowledgement to an owner. */
	void (*send)(void *ctx, const struct ph_owner *owner,
		     const struct ph_poolmsg *msg);
	/** Load of a pool that this instance owns itself. */
	void (*own_load)(void *ctx, const char *domain,
			 struct ph_pool_load *load);
	void (*answer)(void *ctx, uint64_t token, enum ph_job_outcome outcome,
		       uint64_t retry_after_us, uint64_t took_us);
};

/** A pool that a job may go to. */
struct ph_pool_candidate {
	/** Index among the members' domains. */
	uint32_t pool;
	uint64_t wait_us;
	uint32_t free_milli;
	uint32_t capacity_milli;
	bool own_domain;
};

/** Choice of a pool; a variant of the policy. */
struct ph_pool_choice_policy {
	const char *name;
	/** Expected wait at a pool for a batch, its way included. */
	uint64_t (*wait_us)(const struct ph_pool_load *load, bool own_domain,
			    const struct ph_batch_request *work);
	/** Index of the pool to take among count of at least 1; key is a
	 * number that differs from job to job. */
	size_t (*pick)(const struct ph_pool_candidate *list, size_t count,
		       uint64_t key);
};

/** Own domain first, another's if the saved wait exceeds the way; at random by
 * room among those that are about as good. */
extern const struct ph_pool_choice_policy ph_pool_choice_spread;
/** Likewise, but always the best as it seems: of many instances that know the
 * same old loads all take the same one. */
extern const struct ph_pool_choice_policy ph_pool_choice_wait;
/** The baseline: the own domain's pool as long as it has an owner. */
extern const struct ph_pool_choice_policy ph_pool_choice_none;
/** All of them, NULL at the end. */
extern const struct ph_pool_choice_policy *const ph_pool_choice_policies[];

struct ph_submitter_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	const struct ph_pool_choice_policy *policy;
	struct ph_cluster *members;
	/** First handle of a batch; above those of earlier lives. */
	uint64_t first_seq;
	/** Until then pools may have no owner yet, since all have started. */
	uint64_t settled_us;
	const struct ph_submitter_sink *sink;
	void *ctx;
};

struct ph_submitter *
ph_submitter_new(const struct ph_submitter_options *options);
void ph_submitter_free(struct ph_submitter *submitter);

/** Takes a job over; token names the caller's request in the answer. */
void ph_submitter_submit(struct ph_submitter *submitter, uint64_t now_us,
			 uint64_t token, struct ph_batch_request *work);

/** The caller has gone: nothing is answered any more. */
void ph_submitter_caller_disconnected(struct ph_submitter *submitter,
				      uint64_t now_us, uint64_t token);

void ph_submitter_accepted(struct ph_submitter *submitter, uint64_t seq);
/** An owner has dropped a batch that was cancelled. */
void ph_submitter_cancelled(struct ph_submitter *submitter, uint64_t seq);
void ph_submitter_result(struct ph_submitter *submitter, uint64_t now_us,
			 uint64_t seq, const struct ph_result *result);

/** This process stops; it ends at end_us at the latest. */
void ph_submitter_stopping(struct ph_submitter *submitter, uint64_t end_us);

/** This process stood still: what it had under way is stopped. */
void ph_submitter_paused(struct ph_submitter *submitter, uint64_t now_us);

void ph_submitter_tick(struct ph_submitter *submitter, uint64_t now_us);

/** Jobs under way. */
size_t ph_submitter_count(const struct ph_submitter *submitter);

#endif
