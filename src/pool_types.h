#ifndef PH_POOL_TYPES_H
#define PH_POOL_TYPES_H

/*
 * Work as it travels from the caller's entry instance to the owner of a pool
 * of executors: a batch is a job's tasks that one pool runs. Executors run
 * tasks under leases; every run of a task has a number that rises.
 */

#include <stdbool.h>

#include "buf.h"

#define PH_JOB_BYTES 24U
#define PH_RACK_BYTES 32U
#define PH_TASK_BYTES 64U

/** What a task asks for, or what an executor offers. */
struct ph_capacity {
	/** Thousandths of a core. */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
};

/** Tells whether need fits into what is left of total beside used. */
bool ph_capacity_fits(const struct ph_capacity *total,
		      const struct ph_capacity *used,
		      const struct ph_capacity *need);
void ph_capacity_add(struct ph_capacity *to, const struct ph_capacity *what);
void ph_capacity_sub(struct ph_capacity *from, const struct ph_capacity *what);

/** Where an earlier owner of the pool has left a task. */
#define PH_WHERE_NOWHERE 0U
#define PH_WHERE_UNKNOWN UINT32_MAX

/** Short form of an executor's id; neither of the two above. */
uint32_t ph_where(const char *executor);

/** A job's tasks for one pool. */
struct ph_batch_request {
	char job[PH_JOB_BYTES];
	char service[PH_NAME_BYTES];
	/** Label that an executor must have, or empty. */
	char label[PH_RACK_BYTES];
	/** Passed to the executor as it came. */
	char *spec;
	size_t spec_len;
	uint32_t count;
	struct ph_capacity need;
	/** Declared run time of a task; rough. */
	uint64_t estimate_us;
	/** Time since the caller's request arrived at its entry instance. */
	uint64_t age_us;
	/** Response time from the arrival that the caller expects. */
	uint64_t target_us;
	/** Response time from the arrival after which nobody listens. */
	uint64_t caller_timeout_us;
	/** 0 goes first. */
	uint32_t priority;
	uint32_t max_attempts;
	/** When it was first sent, on the receiving owner's clock; 0: unknown.
	 */
	uint64_t sent_us;
	/** Number of a task's first run, above those of earlier submissions. */
	uint64_t first_run;
	/** Runs of the job may exist in this pool from an earlier owner. */
	bool resumed;
	/** Tasks that have ended well, a bit each. */
	uint8_t done[(PH_MAX_TASKS + 7) / 8];
	/** If resumed: where each task may be running. */
	uint32_t where[PH_MAX_TASKS];
};

/** Aims after which an answer is of no use to its caller; the platform's. */
#define PH_LATE_TARGETS 3U

/** Longest wait from the arrival after which a job's end is still of use;
 * UINT64_MAX without an aim. */
uint64_t
ph_batch_request_max_useful_wait_us(const struct ph_batch_request *work);

/** True if a job that starts after waiting so long ends too late to be of
 * use; never without an aim. */
bool ph_batch_request_too_late(const struct ph_batch_request *work,
			       uint64_t waited_us);

struct ph_batch_request *
ph_batch_request_copy(const struct ph_mem *mem,
		      const struct ph_batch_request *work);
void ph_batch_request_free(const struct ph_mem *mem,
			   struct ph_batch_request *work);

static inline bool ph_bit_get(const uint8_t *bits, uint32_t i)
{
	return bits[i / 8] >> (i % 8) & 1;
}

static inline void ph_bit_set(uint8_t *bits, uint32_t i)
{
	bits[i / 8] |= (uint8_t)(1U << (i % 8));
}

enum ph_verdict {
	/** Every task has ended well. */
	PH_VERDICT_DONE,
	/** A task has failed as often as it may. */
	PH_VERDICT_FAILED,
	/** No task was ever started. */
	PH_VERDICT_NOT_RUN,
	/** Given up after something was started; all of it is stopped. */
	PH_VERDICT_BROKEN,
	/** The pool has another owner: submit the rest there as resumed. */
	PH_VERDICT_MOVED,
};

const char *ph_verdict_name(enum ph_verdict verdict);

/** Outcome of a batch. */
struct ph_result {
	enum ph_verdict verdict;
	/** With PH_VERDICT_NOT_RUN: when there is likely to be room. */
	uint64_t retry_after_us;
	/** Phrase for the log. */
	const char *reason;
	uint8_t done[(PH_MAX_TASKS + 7) / 8];
	/** With PH_VERDICT_MOVED: where each of count tasks may run. */
	uint32_t count;
	uint32_t where[PH_MAX_TASKS];
};

/** One executor as the platform lists it. */
struct ph_executor_info {
	char id[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	char domain[PH_NAME_BYTES];
	char service[PH_NAME_BYTES];
	/** Space-separated, with a space at both ends. */
	char labels[PH_ADDR_BYTES];
	struct ph_capacity capacity;
	/** It leaves; no new work. */
	bool draining;
};

/* ## Calls to executors */

/** Start or stop of one run. */
struct ph_run_command {
	uint64_t call_id;
	const char *executor;
	const char *addr;
	const char *job;
	uint32_t index;
	uint64_t run;
	uint64_t token;
	/** On the executor's clock. */
	uint64_t lease_until_ms;
	/** Without an answer for this long the end of the call is unknown. */
	uint64_t timeout_us;
	const char *spec;
	size_t spec_len;
};

/** Renewal of the lease, note of ends, and a wait for the next. */
struct ph_poll {
	uint64_t call_id;
	const char *executor;
	const char *addr;
	uint64_t token;
	uint64_t ends_seen;
	/** On the executor's clock; 0 renews nothing. */
	uint64_t lease_until_ms;
	uint64_t wait_us;
	/** Counted from the end of the wait. */
	uint64_t timeout_us;
};

enum ph_call_status {
	PH_CALL_OK,
	/** Surely not carried out. */
	PH_CALL_UNSENT,
	PH_CALL_NO_ROOM,
	/** A run of that number or a higher one was there before. */
	PH_CALL_OLD_RUN,
	PH_CALL_LATE,
	PH_CALL_FENCED,
	PH_CALL_UNHEALTHY,
	/** Another life of the executor answered. */
	PH_CALL_OTHER_INCARNATION,
	PH_CALL_INVALID,
	/** No answer: it may be carried out, even later. */
	PH_CALL_UNKNOWN,
};

struct ph_run_command_reply {
	enum ph_call_status status;
	/** The executor's clock, or 0. */
	uint64_t clock_ms;
};

enum ph_end {
	PH_END_DONE,
	PH_END_FAILED,
	PH_END_STOPPED,
	/** Its lease ran out. */
	PH_END_LEASE_EXPIRED,
	PH_END_OTHER,
};

/** A run as a look reports it. */
struct ph_run_report {
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t run;
	/** Of an end: its number and kind. */
	uint64_t end_number;
	enum ph_end end;
	/** Of a running one: progress, and what it uses of its cores. */
	uint32_t percent;
	uint32_t cpu_milli;
};

struct ph_poll_reply {
	enum ph_call_status status;
	uint64_t clock_ms;
	/** Start of this life of the executor. */
	uint64_t started_ms;
	size_t running_count;
	const struct ph_run_report *running;
	size_t ended_count;
	const struct ph_run_report *ended;
};

#endif
