#ifndef PH_POOL_H
#define PH_POOL_H

/*
 * The pool of a failure domain's executors at its owner: who has room, which
 * batch's task starts next and where, what is renewed, stopped and taken note
 * of. It reads no clock and opens no socket.
 */

#include "pool_types.h"

struct ph_pool;

/** Where the pool's calls and outcomes go. */
struct ph_pool_sink {
	void (*poll)(void *ctx, const struct ph_poll *poll);
	void (*start)(void *ctx, const struct ph_run_command *order);
	void (*stop)(void *ctx, const struct ph_run_command *order);
	/** Outcome of the batch that was submitted as (submitter, seq). */
	void (*result)(void *ctx, const char *submitter, uint64_t seq,
		       const struct ph_result *result);
};

struct ph_batch;

/** Order of starts; a variant of the policy. */
struct ph_order_policy {
	const char *name;
	/** True if a's next task goes before b's. */
	bool (*before)(const struct ph_batch *a, const struct ph_batch *b,
		       uint64_t now_us);
};

/** Latest safe start first; what can't meet its aim any more yields. */
extern const struct ph_order_policy ph_order_slack;
/** The baseline: by arrival. */
extern const struct ph_order_policy ph_order_fifo;
/** All of them, NULL at the end. */
extern const struct ph_order_policy *const ph_order_policies[];

struct ph_pool_options {
	const struct ph_mem *mem;
	const char *domain;
	const struct ph_order_policy *policy;
	/** Lease of what runs, at most what executors allow. */
	uint64_t lease_us;
	/** Longest time that an acknowledged stop takes. */
	uint64_t stop_us;
	/** Handles of calls lie above this. */
	uint64_t first_call;
	const struct ph_pool_sink *sink;
	void *ctx;
};

struct ph_pool *ph_pool_new(const struct ph_pool_options *options);
void ph_pool_free(struct ph_pool *pool);

/** Becomes the owner, with a token above all earlier owners'. */
void ph_pool_acquire(struct ph_pool *pool, uint64_t now_us, uint64_t token);

/** Another owner took over: every batch is moved, all runs are forgotten. */
void ph_pool_release(struct ph_pool *pool, uint64_t now_us);

bool ph_pool_owned(const struct ph_pool *pool);
uint64_t ph_pool_token(const struct ph_pool *pool);

/** True if an executor has refused the token; the owner has to raise it. */
bool ph_pool_fenced(const struct ph_pool *pool);

/**
 * Replaces the list of the pool's executors. True if it still has some that
 * have left the list, for a while: the update is to be repeated.
 */
bool ph_pool_update(struct ph_pool *pool, uint64_t now_us,
		    const struct ph_executor_info *list, size_t count);

/**
 * Takes a batch over; (submitter, seq) names it, a repeated or cancelled one is
 * ignored. One that was long on its way is refused: its front has given it up.
 */
void ph_pool_submit(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq,
		    struct ph_batch_request *work);

/** The caller has gone: stops what runs of a batch. */
void ph_pool_cancel(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq);

/** An entry instance is silent: stops all its batches. */
void ph_pool_submitter_lost(struct ph_pool *pool, uint64_t now_us,
			    const char *submitter);

void ph_pool_poll_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_poll_reply *reply);
void ph_pool_start_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
			const struct ph_run_command_reply *reply);
void ph_pool_stop_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_run_command_reply *reply);

/** Time-outs, renewals and starts; at least every 20 ms. */
void ph_pool_tick(struct ph_pool *pool, uint64_t now_us);

/** What other instances need to know to send work here. */
struct ph_pool_load {
	uint32_t executors;
	uint32_t usable;
	uint32_t capacity_milli;
	uint32_t free_milli;
	/** Core time of waiting tasks, in thousandths of a core x 1 us. */
	uint64_t backlog_milli_us;
	uint32_t batches;
};

void ph_pool_measure(const struct ph_pool *pool, uint64_t now_us,
		     struct ph_pool_load *load);

struct ph_pool_counters {
	uint64_t starts;
	uint64_t no_room;
	uint64_t failed_runs;
	uint64_t expired_runs;
	uint64_t moved_runs;
	uint64_t orphans_stopped;
	uint64_t adopted;
	uint64_t looks;
};

const struct ph_pool_counters *ph_pool_counters(const struct ph_pool *pool);

#endif
