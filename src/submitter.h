#ifndef PH_SUBMITTER_H
#define PH_SUBMITTER_H

/*
 * The jobs of the callers that are connected to this instance. Each job is sent
 * as one batch to the owner of a pool, is resumed at the pool's new owner if
 * the ownership changes, and gets one answer. Its state is kept in memory only.
 */

#include "cluster.h"

struct ph_submitter;

/** How a job ended for its caller. */
enum ph_job_outcome {
	PH_JOB_COMPLETED,
	PH_JOB_FAILED,
	/** No task was started; the caller may retry after the given time. */
	PH_JOB_NOT_RUN,
	/** Some tasks may have run; what runs is stopped or ends when its
	 * lease expires. */
	PH_JOB_UNKNOWN,
};

/** Callbacks; ctx is that of the options. */
struct ph_submitter_sink {
	/** Sends a batch or a cancellation to the owner of a pool. */
	void (*send)(void *ctx, const struct ph_owner *owner,
		     const struct ph_poolmsg *msg);
	/** Measures the load of a pool that this instance owns itself. */
	void (*own_load)(void *ctx, const char *pool_name,
			 struct ph_pool_load *load);
	/** Answers the request that token names. retry_after_us is 0 unless the
	 * outcome is PH_JOB_NOT_RUN; took_us is the time since its arrival. */
	void (*answer)(void *ctx, uint64_t token, enum ph_job_outcome outcome,
		       uint64_t retry_after_us, uint64_t took_us);
	/** Whether the caller whose request token names is still connected, as
	 * far as this system can tell now. */
	bool (*caller_connected)(void *ctx, uint64_t token);
};

/** A pool that a job may be sent to. */
struct ph_pool_candidate {
	/** Index for ph_cluster_pool_name(). */
	uint32_t pool;
	/** Expected wait, by the policy. */
	uint64_t wait_us;
	uint32_t free_milli;
	uint32_t capacity_milli;
	bool own_domain;
};

/** A policy for the choice of a pool. */
struct ph_pool_choice_policy {
	const char *name;
	/** Expected wait of a batch at a pool, network time included. */
	uint64_t (*wait_us)(const struct ph_pool_load *load, bool own_domain,
			    const struct ph_batch_request *batch);
	/** Index of the chosen candidate; count is at least 1. key is a hash of
	 * the job's id, in place of a random number. */
	size_t (*pick)(const struct ph_pool_candidate *list, size_t count,
		       uint64_t key);
};

/** Shortest expected wait, with the network round trip added for other domains.
 * Among comparable pools it chooses at random, weighted by free capacity, so
 * that instances that know the same loads do not all choose the same pool. */
extern const struct ph_pool_choice_policy ph_pool_choice_spread;
/** Always the pool with the shortest expected wait. Between two heartbeats all
 * instances know the same loads and so choose the same pool. */
extern const struct ph_pool_choice_policy ph_pool_choice_wait;
/** The baseline for comparison: a pool of the instance's own domain, whatever
 * its load, as long as one has an owner. */
extern const struct ph_pool_choice_policy ph_pool_choice_none;
/** All policies, ending with NULL. */
extern const struct ph_pool_choice_policy *const ph_pool_choice_policies[];

struct ph_submitter_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	const struct ph_pool_choice_policy *policy;
	struct ph_cluster *cluster;
	/** The evacuated domains; NULL: none ever is. */
	const struct ph_evacuation *evacuation;
	/** Sequence numbers of batches start above this, which is above those
	 * of earlier incarnations of this instance. */
	uint64_t first_seq;
	/** End of the start-up phase, in which pools may have no owner yet; see
	 * startup.h. */
	uint64_t startup_end_us;
	/** What an experiment has switched off. */
	struct ph_mechanisms_off off;
	const struct ph_submitter_sink *sink;
	void *ctx;
};

struct ph_submitter *
ph_submitter_new(const struct ph_submitter_options *options);
void ph_submitter_free(struct ph_submitter *submitter);

/** Submits a job and takes ownership of batch; token names the caller's request
 * in the answer, which may come before the function returns. */
void ph_submitter_submit(struct ph_submitter *submitter, uint64_t now_us,
			 uint64_t token, struct ph_batch_request *batch);

/** The caller has disconnected: cancels the job, which gets no answer from
 * here. Returns PH_JOB_NOT_RUN if no owner has got it, else PH_JOB_UNKNOWN: a
 * caller that has closed only its own side still reads what it is told. */
enum ph_job_outcome
ph_submitter_caller_disconnected(struct ph_submitter *submitter,
				 uint64_t now_us, uint64_t token);

/** Cancels the open jobs with an id, and answers their callers with
 * PH_JOB_FAILED. Returns how many there were. */
size_t ph_submitter_cancel_job(struct ph_submitter *submitter, uint64_t now_us,
			       const char *job);

/** The owner of a pool has accepted a batch, which is not sent again, and told
 * of starts that may still be carried out. clock_us is the owner's clock when
 * it sent that; 0: unknown. */
void ph_submitter_accepted(struct ph_submitter *submitter, uint64_t now_us,
			   uint64_t seq, uint64_t clock_us,
			   const struct ph_unconfirmed *starts);
/** A heartbeat of an owner has told which starts of this instance's batches may
 * still be carried out; others that it told of before can't be any more. */
void ph_submitter_starts_reported(struct ph_submitter *submitter,
				  uint64_t now_us,
				  const struct ph_poolmsg *heartbeat);
/** The owner of a pool has acknowledged a cancellation. */
void ph_submitter_cancelled(struct ph_submitter *submitter, uint64_t seq);
/**
 * The time, on a peer's clock, up to which it is told that this instance has
 * received its heartbeats. It goes on with batches of this instance only while
 * that is recent, so it is held while a cancellation is on its way to it: those
 * of callers that have left since then may not have arrived.
 */
uint64_t ph_submitter_echo_us(const struct ph_submitter *submitter,
			      const struct ph_member *peer);
/** The outcome of a batch has arrived from its owner. */
void ph_submitter_result(struct ph_submitter *submitter, uint64_t now_us,
			 uint64_t seq, const struct ph_result *result);

/** The process is stopping: refuses jobs that may not end before end_us, and at
 * that time cancels those that are open and answers them with PH_JOB_UNKNOWN.
 */
void ph_submitter_stopping(struct ph_submitter *submitter, uint64_t end_us);

/** The process was paused (frozen or suspended): cancels all jobs and answers
 * them with PH_JOB_UNKNOWN. */
void ph_submitter_paused(struct ph_submitter *submitter, uint64_t now_us);

/** Sends again what was not acknowledged, and resumes or ends jobs whose owner
 * was lost. */
void ph_submitter_tick(struct ph_submitter *submitter, uint64_t now_us);

/** Number of jobs that are not answered yet. */
size_t ph_submitter_count(const struct ph_submitter *submitter);

#endif
