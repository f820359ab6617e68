#ifndef PH_POOL_IMPL_H
#define PH_POOL_IMPL_H

/* Shared by the parts of the pool: pool.c (batches), pool_lease.c (leases and
 * orders), pool_poll.c (looks), pool_placement.c (where and in which order
 * tasks start). */

#include "pool.h"

#define PH_US_PER_MS 1000U
/* Longest wait for an answer: leaves time to repeat a look before the lease
 * that it renews has ended. */
#define PH_ANSWER_MAX_US 200000U

enum ph_slot_state {
	PH_SLOT_WAITING,
	/** Ordered or running; its run tells where. */
	PH_SLOT_PLACED,
	PH_SLOT_DONE,
};

struct ph_run;

/** One task of a batch. */
struct ph_slot {
	enum ph_slot_state state;
	uint32_t failures;
	/** Times that it was taken from an executor that stood still. */
	uint32_t moves;
	struct ph_run *run;
	/** Number of its next run. */
	uint64_t next_run;
};

struct ph_batch {
	struct ph_batch *next;
	char submitter[PH_NAME_BYTES];
	uint64_t seq;
	struct ph_batch_request *work;
	/** When the caller's request arrived, on this clock. */
	uint64_t arrived_us;
	uint64_t taken_us;
	/** Something of it was started, here or by an earlier owner. */
	bool started;
	/** Looked at in the present round of placement. */
	bool passed;
	/** Core time of what waits for the same executors and goes before it,
	 * as of the last round, and the capacity of its service's usable ones;
	 * 0: nothing does, or none is usable. */
	uint64_t ahead_milli_us;
	uint64_t usable_milli;
	uint32_t waiting;
	uint32_t left;
	struct ph_slot *tasks;
};

enum ph_run_state {
	/** Ordered; no answer yet. */
	PH_RUN_ORDERED,
	PH_RUN_RUNNING,
	/** To be stopped; holds its room until its end is seen. */
	PH_RUN_STOPPING,
	/** Found at a take-over; may be claimed by a resumed batch. */
	PH_RUN_ORPHANED,
};

/** A run that occupies, or may occupy, an executor. */
struct ph_run {
	struct ph_run *next;
	struct ph_executor *executor;
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t run;
	struct ph_capacity need;
	enum ph_run_state state;
	/** NULL once nobody waits for it. */
	struct ph_batch *batch;
	uint64_t ordered_us;
	/** An order was answered then; 0: not yet. */
	uint64_t acked_us;
	uint64_t stop_sent_us;
	bool stop_pending;
	/** Progress as last seen. */
	uint32_t percent;
};

/** Failures of a kind in a row, and until when they keep work away. */
struct ph_blame {
	uint32_t count;
	uint64_t avoid_us;
};

struct ph_executor {
	struct ph_executor *next;
	struct ph_executor_info info;
	bool listed;
	/** When it left the list. */
	uint64_t unlisted_us;
	struct ph_capacity used;
	struct ph_run *runs;
	uint64_t started_ms;
	/** A look of this ownership has been answered. */
	bool known;
	uint64_t ends_seen;
	/** The executor's clock at a time of ours; 0: unknown. */
	uint64_t clock_ms;
	uint64_t clock_us;
	/** Latest lease end ever sent, on the executor's clock. */
	uint64_t lease_ms;
	uint64_t look_call;
	uint64_t look_sent_us;
	uint64_t look_ok_us;
	uint64_t look_again_us;
	uint32_t look_failures;
	/** Runs that failed or crawled there, and orders that it refused. */
	struct ph_blame own;
	/** Orders without an answer; they may have got lost by the way. */
	struct ph_blame lost;
	/** Looks had failed before the one that was answered last: ends may
	 * have been seen late. */
	bool blind;
	/** Run time against the declared one, in percent; smoothed. */
	uint32_t pace_percent;
};

/** An order under way. */
struct ph_pending_command {
	struct ph_pending_command *next;
	uint64_t id;
	bool stop;
	char executor[PH_NAME_BYTES];
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t run;
	uint64_t sent_us;
};

/** An end that came before the resumed batch that it belongs to. */
struct ph_orphaned_end {
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t seen_us;
};

#define PH_ORPHANED_ENDS 512U

/** A batch that was cancelled, and may come after its cancellation. */
struct ph_cancelled {
	struct ph_cancelled *next;
	uint64_t made_us;
	char submitter[PH_NAME_BYTES];
	uint64_t seq;
};

struct ph_pool {
	struct ph_pool_options opt;
	const struct ph_mem *mem;
	char domain[PH_NAME_BYTES];
	bool owned;
	bool fenced;
	uint64_t token;
	uint64_t last_call;
	struct ph_executor *executors;
	struct ph_batch *batches;
	struct ph_pending_command *calls;
	struct ph_orphaned_end strays[PH_ORPHANED_ENDS];
	uint32_t stray_next;
	struct ph_cancelled *cancelled;
	struct ph_pool_counters counters;
	/** Time from an order to its answer, smoothed. */
	uint64_t answer_us;
	/** Likewise, of those that were answered. */
	uint64_t answered_us;
	/** Looks without an answer in a thousand, smoothed. */
	uint32_t lost_permille;
	/** More executors have left orders unanswered than can be to blame:
	 * none is avoided for that. */
	bool blameless;
	/** Looks get lost: they are kept short. */
	bool short_looks;
	/** Something changed: starts are to be looked at again. */
	bool dirty;
	uint64_t placed_us;
};

/* ## pool.c */

/** A task's run is over without success; it waits again. */
void ph_batch_task_back(struct ph_pool *pool, struct ph_batch *batch,
			uint32_t index);
void ph_batch_task_done(struct ph_pool *pool, struct ph_batch *batch,
			uint32_t index, uint64_t now_us);
void ph_batch_task_failed(struct ph_pool *pool, struct ph_batch *batch,
			  uint32_t index, uint64_t now_us);

/** Lets resumed batches claim the runs and ends that are known by now. */
void ph_pool_claim_orphans(struct ph_pool *pool, uint64_t now_us);

/* ## pool_lease.c */

struct ph_executor *ph_executor_find(struct ph_pool *pool, const char *id);
void ph_executor_free(struct ph_pool *pool, struct ph_executor *executor);
/** Adds a run, which takes its room. */
struct ph_run *ph_run_add(struct ph_pool *pool, struct ph_executor *executor,
			  const char *job, uint32_t index, uint64_t number,
			  const struct ph_capacity *need, uint64_t now_us);
/** Drops a run and its room; tells the batch nothing. */
void ph_run_drop(struct ph_pool *pool, struct ph_executor *executor,
		 struct ph_run *run);
/** Orders a task's next run on an executor. */
void ph_run_start(struct ph_pool *pool, struct ph_executor *executor,
		  struct ph_batch *batch, uint32_t index, uint64_t now_us);
/** Stops a run; nobody waits for its end any more. */
void ph_run_abandon(struct ph_pool *pool, struct ph_run *run, uint64_t now_us);
/** How long a call waits for its answer before its end is unknown. */
uint64_t ph_pool_timeout_us(const struct ph_pool *pool);
/** Lease end to send now, on the executor's clock; 0 if that is unknown. */
uint64_t ph_lease_end(struct ph_pool *pool, struct ph_executor *executor,
		      uint64_t now_us);
struct ph_run *ph_run_find(struct ph_executor *executor, const char *job,
			   uint32_t index, uint64_t run);
/** The run has ended or never was: its task waits again. */
void ph_run_lost(struct ph_pool *pool, struct ph_executor *executor,
		 struct ph_run *run);
/** Orders the stop of a run; its batch waits for the end. */
void ph_run_stop(struct ph_pool *pool, struct ph_executor *executor,
		 struct ph_run *run, uint64_t now_us);
/** An executor has refused the token. */
void ph_pool_fenced_by(struct ph_pool *pool,
		       const struct ph_executor *executor);
/** Looks, lapses and stops that are due. */
void ph_lease_tick(struct ph_pool *pool, uint64_t now_us);
/** A call to the executor failed or worked. */
void ph_executor_failed(struct ph_executor *executor, struct ph_blame *blame,
			uint64_t now_us);
void ph_executor_worked(struct ph_executor *executor);

/* ## pool_poll.c */

/** Sends the next look at an executor; it renews what runs there. */
void ph_poll_send(struct ph_pool *pool, struct ph_executor *executor,
		  uint64_t now_us);

/* ## pool_placement.c */

/** Starts what fits, in the policy's order. */
void ph_pool_place(struct ph_pool *pool, uint64_t now_us);
bool ph_executor_usable(const struct ph_pool *pool,
			const struct ph_executor *executor, uint64_t now_us);
/** Latest start of a task that still meets the batch's aim. */
uint64_t ph_batch_latest_start(const struct ph_batch *batch);

#endif
