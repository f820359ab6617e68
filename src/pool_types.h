#ifndef PH_POOL_TYPES_H
#define PH_POOL_TYPES_H

/*
 * Data exchanged between the submitting instance, the owner of a pool of
 * executors, and the executors. A batch is the tasks of a job that one pool
 * runs. Executors run tasks under leases; each run of a task has a higher
 * number than the runs before it.
 */

#include <stdbool.h>

#include "buf.h"

#define PH_JOB_BYTES 24U
#define PH_TASK_BYTES 64U

/** Resources that a task needs or that an executor has. */
struct ph_capacity {
	/** Thousandths of a core. */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
};

/** Most of each resource that an executor has or a task needs; far above any
 * machine, and sums over a pool fit into 32 bits. */
#define PH_CPU_MILLI_MAX (1U << 24)
#define PH_MEM_MB_MAX (1U << 28)
#define PH_GPU_MAX (1U << 16)

/** True if need fits into total minus used. */
bool ph_capacity_fits(const struct ph_capacity *total,
		      const struct ph_capacity *used,
		      const struct ph_capacity *need);
void ph_capacity_add(struct ph_capacity *to, const struct ph_capacity *what);
void ph_capacity_sub(struct ph_capacity *from, const struct ph_capacity *what);

/** Special values in place of an executor's hash: the task runs on no executor,
 * or may run on any. */
#define PH_EXECUTOR_NONE 0U
#define PH_EXECUTOR_UNKNOWN UINT32_MAX

/** Hash of an executor's id; never one of the two values above. */
uint32_t ph_executor_hash(const char *executor);

/** Longest time after which a start that was not answered may still be carried
 * out: the platform's bound is "seconds". */
#define PH_LATE_START_US 20000000U

/** A start of a task that has not been answered, so that its executor, or a
 * later incarnation of it, may still carry it out. */
struct ph_unconfirmed_start {
	uint32_t index;
	/** Hash of the executor's id. */
	uint32_t executor;
	uint64_t run;
	/** It has got no answer in time; else the answer may have been on its
	 * way. */
	bool unanswered;
	/** Time since it was sent, when the message that carries it was sent;
	 * shorter by the time in transit when that arrives. */
	uint64_t age_us;
};

/** Most unconfirmed starts in a message: one of each task of a job. */
#define PH_UNCONFIRMED_MAX PH_MAX_TASKS

/** The unconfirmed starts of a batch. */
struct ph_unconfirmed {
	uint32_t count;
	/** There were more than fit. */
	bool incomplete;
	struct ph_unconfirmed_start starts[PH_UNCONFIRMED_MAX];
};

/** Adds a start, or updates one that is known. */
void ph_unconfirmed_add(struct ph_unconfirmed *to,
			const struct ph_unconfirmed_start *start);

/** A job's tasks for one pool. */
struct ph_batch_request {
	char job[PH_JOB_BYTES];
	/** Names may have any length. */
	const char *service;
	/** Label that the executor must have; empty: any executor will do. */
	const char *label;
	/** Passed to the executor unchanged. */
	const char *spec;
	size_t spec_len;
	/** Memory of the three texts above, which the request owns; NULL: they
	 * are borrowed. */
	char *texts;
	uint32_t count;
	struct ph_capacity need;
	/** Declared run time of a task; only a rough estimate. */
	uint64_t estimate_us;
	/** Time since the caller's request arrived at the submitter. */
	uint64_t age_us;
	/** Latency target: expected response time, counted from the request's
	 * arrival; 0: none. */
	uint64_t target_us;
	/** The caller's timeout, counted from the request's arrival. */
	uint64_t caller_timeout_us;
	/** 0 is the highest. */
	uint32_t priority;
	/** Failed runs of one task after which the batch fails. */
	uint32_t max_attempts;
	/** When it was first sent, converted to the receiving owner's clock; 0:
	 * unknown. */
	uint64_t sent_us;
	/** Number of each task's first run; higher than the run numbers of
	 * earlier submissions. */
	uint64_t first_run;
	/** An earlier owner of the pool may have started runs of the job. */
	bool resumed;
	/** Bit set of the tasks that have succeeded. */
	uint8_t done[(PH_MAX_TASKS + 7) / 8];
	/** If resumed: hash of the executor that may be running each task, or
	 * one of the special values. */
	uint32_t possible_executor[PH_MAX_TASKS];
	/** If resumed: starts by earlier owners. */
	struct ph_unconfirmed unconfirmed;
};

/** An answer that takes more than this many latency targets is of no use to
 * its caller, as the platform defines it. */
#define PH_LATE_TARGETS 3U

/** Longest wait, from the request's arrival to the start, after which a job
 * still ends in time to be of use; UINT64_MAX without a latency target. */
uint64_t
ph_batch_request_max_useful_wait_us(const struct ph_batch_request *request);

/** True if a job that starts after waited_us ends too late to be of use; never
 * without a latency target. */
bool ph_batch_request_too_late(const struct ph_batch_request *request,
			       uint64_t waited_us);

/** Gives a request its own copies of its texts; NULL stands for "". */
void ph_batch_request_set_texts(const struct ph_mem *mem,
				struct ph_batch_request *request,
				const char *service, const char *label,
				const char *spec, size_t spec_len);
/** Deep copy; the caller frees it with ph_batch_request_free(). */
struct ph_batch_request *
ph_batch_request_copy(const struct ph_mem *mem,
		      const struct ph_batch_request *request);
void ph_batch_request_free(const struct ph_mem *mem,
			   struct ph_batch_request *request);

static inline bool ph_bit_get(const uint8_t *bits, uint32_t i)
{
	return bits[i / 8] >> (i % 8) & 1;
}

static inline void ph_bit_set(uint8_t *bits, uint32_t i)
{
	bits[i / 8] |= (uint8_t)(1U << (i % 8));
}

enum ph_verdict {
	/** Every task has succeeded. */
	PH_VERDICT_DONE,
	/** A task has failed max_attempts times. */
	PH_VERDICT_FAILED,
	/** No task was ever started. */
	PH_VERDICT_NOT_RUN,
	/** Aborted after a task may have started; its runs are stopped. */
	PH_VERDICT_BROKEN,
	/** The pool has another owner: submit the unfinished tasks there in a
	 * resumed batch. */
	PH_VERDICT_MOVED,
};

const char *ph_verdict_name(enum ph_verdict verdict);

/** Outcome of a batch. */
struct ph_result {
	enum ph_verdict verdict;
	/** With PH_VERDICT_NOT_RUN: time until capacity is likely to be free.
	 */
	uint64_t retry_after_us;
	/** Short explanation for the log. */
	const char *reason;
	/** The pool's failure domain is evacuated. With PH_VERDICT_MOVED no run
	 * of the batch is left there and none can begin any more: the
	 * unfinished tasks may be submitted to any pool. */
	bool evacuated;
	/** Bit set of the tasks that have succeeded. */
	uint8_t done[(PH_MAX_TASKS + 7) / 8];
	/** With PH_VERDICT_MOVED: number of entries in
	 * possible_executor. */
	uint32_t count;
	/** For each task, hash of the executor that may be running it, or one
	 * of the special values. */
	uint32_t possible_executor[PH_MAX_TASKS];
	/** With PH_VERDICT_MOVED: no task was ever started, here or by an
	 * earlier owner. Versions before this one don't tell. */
	bool not_started;
	/** With PH_VERDICT_MOVED. Versions before this one don't tell. */
	struct ph_unconfirmed unconfirmed;
};

/** An executor as listed by the platform. */
struct ph_executor_info {
	/** Names may have any length. */
	const char *id;
	const char *domain;
	const char *service;
	/** Separated by spaces, with a space at both ends. */
	const char *labels;
	/** Memory of the four texts above, which the entry owns; NULL: they are
	 * borrowed. */
	char *texts;
	char addr[PH_ADDR_BYTES];
	struct ph_capacity capacity;
	/** It is being drained: no new tasks. */
	bool draining;
	/** Start time of the incarnation that the rest is true of, as it
	 * reports it in polls; 0: unknown. */
	uint64_t started_ms;
};

/** Gives an entry its own copies of its texts; NULL stands for "". */
void ph_executor_info_set_texts(const struct ph_mem *mem,
				struct ph_executor_info *info, const char *id,
				const char *domain, const char *service,
				const char *labels);
/** Deep copy; the caller frees it with ph_executor_info_clear(). */
void ph_executor_info_copy(const struct ph_mem *mem,
			   struct ph_executor_info *to,
			   const struct ph_executor_info *from);
/** Frees the texts that an entry owns. */
void ph_executor_info_clear(const struct ph_mem *mem,
			    struct ph_executor_info *info);

/* ## Calls to executors */

/** Start or stop of one run; a stop has no lease and no spec. */
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
	/** Without an answer within this time the call's outcome is unknown. */
	uint64_t timeout_us;
	const char *spec;
	size_t spec_len;
};

/** Renews the lease, acknowledges ends, and waits for the next end. */
struct ph_poll {
	uint64_t call_id;
	const char *executor;
	const char *addr;
	uint64_t token;
	/** Acknowledges all ends up to this number. */
	uint64_t ends_seen;
	/** On the executor's clock; 0: doesn't renew the lease. */
	uint64_t lease_until_ms;
	/** Longest time for which the executor waits for a new end. */
	uint64_t wait_us;
	/** Counted from the end of wait_us. */
	uint64_t timeout_us;
};

enum ph_call_status {
	PH_CALL_OK,
	/** The call did not reach the executor. */
	PH_CALL_UNSENT,
	PH_CALL_NO_ROOM,
	/** The executor had a run of the task with this or a higher number. */
	PH_CALL_OLD_RUN,
	/** The lease had expired when the call arrived. */
	PH_CALL_LATE,
	/** The token was lower than one that the executor has seen. */
	PH_CALL_FENCED,
	PH_CALL_UNHEALTHY,
	/** Another incarnation of the executor answered. */
	PH_CALL_OTHER_INCARNATION,
	PH_CALL_INVALID,
	/** No answer: the call may have been carried out, or may be later. */
	PH_CALL_UNKNOWN,
	/** Not sent: the connection was refused, as nothing listens at the
	 * executor's address. */
	PH_CALL_REFUSED,
};

/** Whether a call did not reach the executor. */
static inline bool ph_call_unsent(enum ph_call_status status)
{
	return status == PH_CALL_UNSENT || status == PH_CALL_REFUSED;
}

struct ph_run_command_reply {
	enum ph_call_status status;
	/** The executor's clock, or 0. */
	uint64_t clock_ms;
};

enum ph_end {
	PH_END_DONE,
	PH_END_FAILED,
	PH_END_STOPPED,
	/** Its lease expired. */
	PH_END_LEASE_EXPIRED,
	PH_END_OTHER,
};

/** A running or ended run, as reported in the answer to a poll. */
struct ph_run_report {
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t run;
	/** Ended runs only: the end's number, which rises with each end. */
	uint64_t end_number;
	/** Ended runs only. */
	enum ph_end end;
	/** Running ones only: progress. */
	uint32_t percent;
	/** Running ones only: core usage in thousandths of a core. */
	uint32_t cpu_milli;
};

struct ph_poll_reply {
	enum ph_call_status status;
	/** The executor's clock. */
	uint64_t clock_ms;
	/** Start time of this incarnation of the executor. */
	uint64_t started_ms;
	size_t running_count;
	const struct ph_run_report *running;
	size_t ended_count;
	const struct ph_run_report *ended;
};

#endif
