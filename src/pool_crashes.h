#ifndef PH_POOL_CRASHES_H
#define PH_POOL_CRASHES_H

/*
 * Which tasks were on executors that were lost: a task may crash every executor
 * that starts it. A task that was there by chance must not be blamed, so a task
 * that is suspected runs alone on an executor: a loss there shows that it is
 * the cause, and a success that it is not. One table serves all pools of an
 * instance; heartbeats pass the counts on to the others, so that they outlast
 * the owner of a pool and hold for later submissions of the job.
 */

#include "buf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Weight of the crashes under a task at which it is given up. */
#define PH_CRASH_WEIGHT_MAX 4U
/** Executors lost under a task after which it is not started again. They may
 * have been cut off, so its job is not said to have failed. */
#define PH_LOSSES_MAX 5U
/** Entries that a heartbeat carries at most. */
#define PH_SUSPECTS_SENT_MAX 32U

/** A task that was on executors when these were lost. */
struct ph_suspect {
	/** Hash of the job's id. */
	uint64_t job;
	uint32_t index;
	/** Executors lost under it. */
	uint32_t losses;
	/** Weight of those of them that have crashed for certain. */
	uint32_t crash_weight;
	/** It is to run alone. */
	bool suspected;
	/** Hash of the executor that was lost last; PH_EXECUTOR_NONE: another
	 * instance has seen the losses. */
	uint32_t executor;
	/** Whether that one has crashed for certain, and what its crash weighs.
	 */
	bool crashed;
	uint32_t last_weight;
	/** When the last loss was seen. */
	uint64_t lost_us;
};

struct ph_crashes;

struct ph_crashes *ph_crashes_new(const struct ph_mem *mem);
void ph_crashes_free(struct ph_crashes *crashes);

/** What is known of a task; NULL if none of its executors was lost. */
const struct ph_suspect *ph_crashes_find(const struct ph_crashes *crashes,
					 uint64_t job, uint32_t index);
/** Whether a job has tasks in the table. */
bool ph_crashes_has_job(const struct ph_crashes *crashes, uint64_t job);
/** Whether a task is given up: it crashes executors. */
bool ph_crashes_given_up(const struct ph_crashes *crashes, uint64_t job,
			 uint32_t index);
/** Whether a task is not started again, though it is not known to be the cause
 * of its losses. */
bool ph_crashes_exhausted(const struct ph_crashes *crashes, uint64_t job,
			  uint32_t index);
/** Whether a task is to run alone on an executor. */
bool ph_crashes_suspected(const struct ph_crashes *crashes, uint64_t job,
			  uint32_t index);

/** The loss of an executor. */
struct ph_loss {
	/** Hash of the executor. */
	uint32_t executor;
	/** Runs that it had. */
	uint32_t runs;
	/** The tasks there are hardly the cause, as many executors were lost at
	 * once, or it may have been cut off and not lost. */
	bool doubtful;
	/** It has crashed for certain: it refuses connections, or it is back in
	 * another incarnation. */
	bool crashed;
	/** The task was running there for certain; else its start may have
	 * been lost, or a stop have ended it, and no crash counts against it.
	 */
	bool running;
	/** It was lost so soon after the start that the task is the likely
	 * cause. */
	bool prompt;
};

/** Counts a loss of an executor for a task that was there. */
void ph_crashes_add(struct ph_crashes *crashes, uint64_t now_us, uint64_t job,
		    uint32_t index, const struct ph_loss *loss);
/** An executor that was taken for lost after since_us is back: in the same
 * incarnation, so that it has not crashed, or in another one. */
void ph_crashes_executor_back(struct ph_crashes *crashes, uint32_t executor,
			      uint64_t since_us, bool restarted);

/** Copies the entries whose losses this instance has seen lately, the latest
 * first, and returns their number. */
uint32_t ph_crashes_recent(const struct ph_crashes *crashes, uint64_t now_us,
			   struct ph_suspect out[PH_SUSPECTS_SENT_MAX]);
/** Takes an entry of another instance. */
void ph_crashes_heard(struct ph_crashes *crashes, uint64_t now_us,
		      const struct ph_suspect *suspect);

#endif
