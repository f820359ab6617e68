#ifndef PH_POOL_H
#define PH_POOL_H

/*
 * State and decisions of the instance that owns a pool of executors: it tracks
 * their free capacity, chooses which task starts next and on which executor,
 * renews leases and stops runs. Callers pass in the time and carry out the
 * calls: this code reads no clock and opens no socket.
 */

#include "evacuation.h"
#include "mechanisms.h"
#include "pool_crashes.h"
#include "pool_types.h"

struct ph_pool;

/** Callbacks that carry out the pool's calls and receive batch results. */
struct ph_pool_sink {
	void (*poll)(void *ctx, const struct ph_poll *poll);
	void (*start)(void *ctx, const struct ph_run_command *command);
	void (*stop)(void *ctx, const struct ph_run_command *command);
	/** Outcome of the batch that was submitted as (submitter, seq); result
	 * is valid during the call only. */
	void (*result)(void *ctx, const char *submitter, uint64_t seq,
		       const struct ph_result *result);
	/** The batch that was submitted as (submitter, seq) is accepted, and
	 * tasks of it may have been started; starts are those that may still be
	 * carried out. Called again after each round of starts. May be NULL. */
	void (*accepted)(void *ctx, const char *submitter, uint64_t seq,
			 const struct ph_unconfirmed *starts);
};

struct ph_batch;

/** Decides in which order waiting batches get free capacity. */
struct ph_scheduling_policy {
	const char *name;
	/** True if a's next task is to start before b's. */
	bool (*before)(const struct ph_batch *a, const struct ph_batch *b,
		       uint64_t now_us);
};

/** Least slack first: earliest latest start that is likely to meet the latency
 * target. Started batches precede others; batches that are not likely to meet
 * their target any more come last. */
extern const struct ph_scheduling_policy ph_scheduling_slack;
/** The same, but a batch counts as in time until the last moment at which it
 * would meet its target if its run took exactly the declared time. */
extern const struct ph_scheduling_policy ph_scheduling_last_moment;
/** By arrival at the pool; the baseline for comparisons. */
extern const struct ph_scheduling_policy ph_scheduling_fifo;
/** All policies; NULL-terminated. */
extern const struct ph_scheduling_policy *const ph_scheduling_policies[];

struct ph_pool_options {
	const struct ph_mem *mem;
	const char *name;
	const struct ph_scheduling_policy *policy;
	/** Duration of run leases; at most what executors grant. */
	uint64_t lease_us;
	/** Longest time from a stop's acknowledgement to the end of the run. */
	uint64_t stop_us;
	/** What an experiment has switched off. */
	struct ph_mechanisms_off off;
	/** Call ids are assigned in increasing order, starting above this. */
	uint64_t first_call;
	/** The evacuated domains; NULL: none ever is. */
	const struct ph_evacuation *evacuation;
	/** Tasks that were on lost executors, as all pools of this instance
	 * know them; NULL: the pool has a table of its own. */
	struct ph_crashes *crashes;
	const struct ph_pool_sink *sink;
	void *ctx;
};

/** Copies the options; mem, policy, evacuation, crashes, sink and ctx must
 * outlive the pool. */
struct ph_pool *ph_pool_new(const struct ph_pool_options *options);
void ph_pool_free(struct ph_pool *pool);

/** Becomes the owner, or renews ownership; token must be higher than all
 * tokens of earlier owners. */
void ph_pool_acquire(struct ph_pool *pool, uint64_t now_us, uint64_t token);

/** Another instance took over: ends every batch as PH_VERDICT_MOVED and drops
 * all runs from the state without stopping them. */
void ph_pool_release(struct ph_pool *pool, uint64_t now_us);

bool ph_pool_owned(const struct ph_pool *pool);
uint64_t ph_pool_token(const struct ph_pool *pool);

/** True if executors have refused the token as too low, so that the pool may
 * have another owner. No task starts until this one acquires the pool again
 * with a higher token. */
bool ph_pool_fenced(const struct ph_pool *pool);
/** Whether the pool is fenced although less than half of its executors refuse
 * the token: another owner regards these as its own, by another list or number
 * of shards, or they have a higher token from an owner before. */
bool ph_pool_fenced_in_part(const struct ph_pool *pool);
/** Whether an executor has accepted the token since the pool was acquired. */
bool ph_pool_token_accepted(const struct ph_pool *pool);

/** Has the pool, which has just been acquired, poll no executor until the owner
 * before has handed it over, or until this time: from the first poll on the
 * executors refuse the starts of that owner. */
void ph_pool_await_hand_over(struct ph_pool *pool, uint64_t until_us);
bool ph_pool_awaits_hand_over(const struct ph_pool *pool);
/** The owner before has released the pool, or is not heard any more. */
void ph_pool_handed_over(struct ph_pool *pool);

/**
 * Replaces the list of the pool's executors. Returns true while executors that
 * have left the list are still tracked; the caller then repeats the update.
 */
bool ph_pool_update(struct ph_pool *pool, uint64_t now_us,
		    const struct ph_executor_info *list, size_t count);

/**
 * Submits a batch and takes ownership of request. (submitter, seq) identifies
 * it; a duplicate, also of a batch that has ended, and a cancelled batch are
 * ignored. A batch that was in transit
 * for too long is refused, as its submitter no longer waits for it.
 */
void ph_pool_submit(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq,
		    struct ph_batch_request *request);

/** Whether the pool has a batch. */
bool ph_pool_has_batch(const struct ph_pool *pool, const char *submitter,
		       uint64_t seq);

/** The caller disconnected: stops the batch's runs and drops the batch without
 * a result. */
void ph_pool_cancel(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq);

/** The submitting instance sends no heartbeats any more: ends all its batches
 * and stops their runs. */
void ph_pool_submitter_lost(struct ph_pool *pool, uint64_t now_us,
			    const char *submitter);

/** The read that gave or confirmed the present list of executors was sent at
 * read_us; 0: there is no list. Without a call every list counts as recent. */
void ph_pool_list_read(struct ph_pool *pool, uint64_t read_us);
/** True if tasks of a resumed batch wait for a list that is read anew: the
 * present one may lack an executor on which the owner before has started them.
 */
bool ph_pool_needs_list(const struct ph_pool *pool);

/** Asks for each batch whether its submitter still relies on this instance. One
 * whose submitter may not starts no task, and keeps leases from being renewed,
 * until the answer changes or its submitter is lost. One whose submitter does
 * not surely rely on it starts no task again whose run was taken for expired.
 */
void ph_pool_check_submitters(struct ph_pool *pool,
			      bool (*relies)(void *ctx, const char *submitter),
			      bool (*surely)(void *ctx, const char *submitter),
			      void *ctx);

/** Whether an executor of the pool, which this instance does not own, has
 * answered it lately. Probes some executors at intervals for as long as it is
 * called. */
bool ph_pool_reached(struct ph_pool *pool, uint64_t now_us);

/** The three functions below take the outcome of a call that the sink was given
 * with this call_id; reply and what it refers to are not kept. */
void ph_pool_poll_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_poll_reply *reply);
void ph_pool_start_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
			const struct ph_run_command_reply *reply);
void ph_pool_stop_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_run_command_reply *reply);

/** Most starts in a report: what an owner has sent to executors that leave a
 * share of the calls of one submitter unanswered. */
#define PH_REPORTED_STARTS_MAX 64U

/** The starts that may still be carried out, of all batches of a submitter. */
struct ph_start_report {
	uint32_t count;
	/** There were more than fit. */
	bool incomplete;
	struct {
		/** Number of the batch. */
		uint64_t seq;
		struct ph_unconfirmed_start start;
	} starts[PH_REPORTED_STARTS_MAX];
};

/** Adds those of a pool to a report; none if it is not owned. */
void ph_pool_report_starts(const struct ph_pool *pool, uint64_t now_us,
			   const char *submitter,
			   struct ph_start_report *report);

/** Handles timeouts, lease renewals and starts; call at least every 20 ms. */
void ph_pool_tick(struct ph_pool *pool, uint64_t now_us);

/** Starts tasks for which there is room by what has changed since the last
 * round, and refuses batches that cannot start in time. To be called after the
 * functions above: once for many calls, since a round is expensive while many
 * tasks wait. */
void ph_pool_handle_changes(struct ph_pool *pool, uint64_t now_us);

/** Load figures by which other instances choose a pool for a job. */
struct ph_pool_load {
	uint32_t executors;
	/** Includes executors of which a new owner awaits the first answer; so
	 * does capacity_milli, but not free_milli. */
	uint32_t usable;
	uint32_t capacity_milli;
	uint32_t free_milli;
	/** Estimated core time of waiting tasks, in millicore-microseconds, but
	 * for those that are held back by their length: they delay no others.
	 */
	uint64_t backlog_milli_us;
	uint32_t batches;
};

/** Computes the pool's current load. A pool whose domain is evacuated has no
 * usable executors, so that instances that don't know it choose another one. */
void ph_pool_measure(const struct ph_pool *pool, uint64_t now_us,
		     struct ph_pool_load *load);

/** Logs the reservations of the last placement round. */
void ph_pool_dump_reservations(const struct ph_pool *pool, uint64_t now_us);

struct ph_pool_counters {
	/** Start commands sent. */
	uint64_t starts;
	/** Start commands refused for lack of capacity. */
	uint64_t no_room;
	uint64_t failed_runs;
	/** Runs that ended because their lease expired. */
	uint64_t expired_runs;
	/** Runs stopped because they were too slow, to restart elsewhere. */
	uint64_t moved_runs;
	/** Runs that were stopped as an earlier start of their task may still
	 * be carried out. */
	uint64_t stopped_for_late_starts;
	/** Starts by earlier owners that may still be carried out. */
	uint64_t late_starts_taken_over;
	/** Orphaned runs that no batch claimed in time. */
	uint64_t orphans_stopped;
	/** Orphaned runs that resumed batches claimed. */
	uint64_t claimed_runs;
	/** Polls sent. */
	uint64_t polls;
	/** Probes sent to executors of the pool while it was not owned. */
	uint64_t probes;
	/** Executors with runs that were lost. */
	uint64_t lost_executors;
	/** Batches that ended because a task of theirs crashes executors. */
	uint64_t given_up;
	/** Batches returned because the pool's domain is evacuated. */
	uint64_t evacuated;
	/** Waiting tasks for which an executor was reserved, each counted once.
	 */
	uint64_t reservations;
	/** Tasks that were started on an executor that was reserved for
	 * another one. */
	uint64_t backfilled;
};

const struct ph_pool_counters *ph_pool_counters(const struct ph_pool *pool);
/** The table of tasks that were on lost executors. */
struct ph_crashes *ph_pool_crashes(struct ph_pool *pool);

#endif
