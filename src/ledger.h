#ifndef PH_LEDGER_H
#define PH_LEDGER_H

/*
 * The start ledger: the jobs that this instance holds as primary or backup,
 * from acceptance until the retention period after their end is over, and the
 * merging of records that two holders have of one job.
 */

#include "msg.h"
#include "spec.h"

/** States of a task; BOUND is local, in records it is STARTED. */
enum ph_task_state {
	PH_TASK_QUEUED = 0,
	/** Holds an endpoint's slot, but has not been sent to the endpoint. */
	PH_TASK_BOUND,
	PH_TASK_STARTED,
	/** Not started; final once the answer has been sent to a caller. */
	PH_TASK_NOT_RUN,
	/** Started, or possibly started, without a known outcome. */
	PH_TASK_MAY_HAVE_RUN,
	/** The endpoint answered with a status and a result. */
	PH_TASK_DONE,
};

struct ph_task {
	uint8_t state;
	int32_t status;
	/** Incarnation of the instance that starts or started the task. */
	uint64_t starter;
	/** Number of the first message with the task's start; 0: none sent. */
	uint64_t sent_seq;
	/** Endpoint whose slot the task holds while BOUND, or NULL. */
	void *slot;
	char *result;
	size_t result_len;
};

/** Receiver of an answer: a local caller or a relaying instance. */
struct ph_waiter {
	/** Address of the relaying instance; empty for a local caller. */
	char addr[PH_ADDR_BYTES];
	/** Identifies the request at the caller's or relaying side. */
	uint64_t token;
};

/** The part of a job that is freed once its answer may be sent. */
struct ph_live_job {
	char service[PH_NAME_BYTES];
	char *body;
	size_t body_len;
	/** Parsed body; NULL until this instance may start the job's tasks. */
	struct ph_spec *spec;
	struct ph_task *tasks;
	uint32_t task_count;
	/** Number of tasks in state QUEUED. */
	uint32_t queued;
	uint64_t accepted_us;
	uint64_t deadline_us;
	/** The state of the job here is complete as of this roster version. */
	uint64_t complete_version;
	/** Number of the first message with the job's record; 0: none sent. */
	uint64_t first_seq;
	struct ph_waiter *waiters;
	size_t waiter_count;
	/** Links in the team's queue. */
	bool enqueued;
	struct ph_job *queue_next;
	/** Links in the list of live jobs. */
	struct ph_job *live_prev;
	struct ph_job *live_next;
};

struct ph_job {
	/** Next job of the hash bucket. */
	struct ph_job *chain;
	struct ph_job *ended_next;
	uint64_t key_hash;
	/** Hash of body and service, to detect reuse of an id; 0: unknown. */
	uint64_t digest;
	uint64_t ended_us;
	/** JSON document; NULL before the end, or dropped to save memory. */
	char *answer;
	/** NULL once the answer may be sent. */
	struct ph_live_job *live;
	uint32_t answer_len;
	/** Peers that have the newest state; a bit for each peer slot. */
	uint16_t holders;
	/** Likewise, peers that are still to be sent the newest state. */
	uint16_t dirty;
	/** Likewise, peers that have not acknowledged a sent record yet. */
	uint16_t in_flight;
	/** Likewise, peers that have the job's body. */
	uint16_t has_body;
	/** Number of tasks running here that point at this job. */
	uint16_t running_refs;
	/** The request said that its id was never sent before. */
	bool first_attempt : 1;
	/** Accepted here from a caller or relay, not received as a record. */
	bool accepted_here : 1;
	/** No removed member can have started the job. */
	bool starts_accounted_for : 1;
	bool cancelled : 1;
	bool ended : 1;
	/** The answer has a not-run that the backup must record before the
	 * answer is sent. */
	bool answer_awaits_backup : 1;
	/** TEAM/ID */
	char key[];
};

struct ph_ledger {
	const struct ph_mem *mem;
	struct ph_job **buckets;
	size_t bucket_count;
	size_t job_count;
	size_t live_count;
	/** Sum of answer_len over all jobs. */
	size_t answer_bytes;
	struct ph_job *live_head;
	struct ph_job *ended_head;
	struct ph_job *ended_tail;
	/** Oldest ended job that may still have its answer. */
	struct ph_job *oldest_answered;
	/** Sorted key hashes of earlier incarnations' ledgers. */
	uint64_t *retired_keys;
	size_t retired_key_count;
	/** The retired keys are valid up to this time. */
	uint64_t retired_until_us;
};

void ph_ledger_init(struct ph_ledger *ledger, const struct ph_mem *mem);

/** Removes and frees every job. */
void ph_ledger_clear(struct ph_ledger *ledger);

/**
 * Removes every job, but keeps the hashes of their keys until until_us, so that
 * a late first attempt doesn't run a job of an earlier incarnation again.
 */
void ph_ledger_retire(struct ph_ledger *ledger, uint64_t now_us,
		      uint64_t until_us);

/** Whether a ledger that was retired held the key. */
bool ph_ledger_key_retired(const struct ph_ledger *ledger, uint64_t key_hash,
			   uint64_t now_us);

void ph_ledger_free(struct ph_ledger *ledger);

struct ph_job *ph_ledger_find(const struct ph_ledger *ledger, const char *key);

/** Adds a job with task_count queued tasks; the key must be new. */
struct ph_job *ph_ledger_add(struct ph_ledger *ledger, uint64_t now_us,
			     const char *key, const char *service,
			     uint32_t task_count);

/** Attaches a waiter to a live job. */
void ph_job_add_waiter(struct ph_ledger *ledger, struct ph_job *job,
		       const struct ph_waiter *waiter);

/** Sets a task's state and clears the job's set of up-to-date holders. */
void ph_task_set_state(struct ph_job *job, uint32_t at,
		       enum ph_task_state state);

/** Whether every task has a final state. */
bool ph_job_all_final(const struct ph_job *job);

/** Builds the answer from the tasks' states and marks the job ended. */
void ph_job_end(struct ph_ledger *ledger, struct ph_job *job, uint64_t now_us);

/**
 * Discards the answer of an ended job that was not sent yet, because another
 * holder has a newer state; tasks that were not-run are queued again.
 */
void ph_job_reopen(struct ph_ledger *ledger, struct ph_job *job);

/** Frees the job's live part; its answer stays. */
void ph_job_free_live(struct ph_ledger *ledger, struct ph_job *job);

/**
 * Fills a record of the job. It has the answer if this may be sent to callers,
 * else the states of the tasks. tasks needs room for the job's tasks; the
 * record borrows it and the job's strings.
 */
void ph_job_fill_record(const struct ph_job *job, uint64_t now_us,
			bool with_body, struct ph_record *record,
			struct ph_task_record *tasks);

/** Marks the job ended and stores a copy of its answer. */
void ph_job_set_answer(struct ph_ledger *ledger, struct ph_job *job,
		       uint64_t now_us, const char *answer, size_t len);

/** Whether no other instance can have received the job. */
bool ph_job_unshared(const struct ph_job *job);

/** Outcome of merging a record. */
enum ph_merge {
	PH_MERGE_UNCHANGED,
	PH_MERGE_CHANGED,
	/** The sender lacks starts or outcomes and must receive them. */
	PH_MERGE_CONFLICT,
};

/**
 * Merges a record into a live job: for each task the more advanced state wins,
 * and a start by this instance (self) is never overwritten. Without trusted, a
 * not-run of the sender becomes may-have-run. release is called with the
 * endpoint of each BOUND task that is overwritten.
 */
enum ph_merge ph_job_merge(struct ph_ledger *ledger, struct ph_job *job,
			   const struct ph_record *record, uint64_t self,
			   bool trusted, void (*release)(void *ctx, void *slot),
			   void *ctx);

/** Removes jobs that ended retention_us ago or earlier; returns their number.
 */
size_t ph_ledger_expire(struct ph_ledger *ledger, uint64_t now_us,
			uint64_t retention_us);

/**
 * Drops the oldest answers, but not their jobs, until the rest takes at most
 * max_bytes. Returns the number of dropped answers.
 */
size_t ph_ledger_trim(struct ph_ledger *ledger, size_t max_bytes);

/** Memory in bytes that an ended job takes besides its answer. */
size_t ph_job_ended_bytes(const struct ph_job *job);

/** Iterates over the live jobs; the body must not free their live parts. */
#define ph_ledger_for_each_live(job, ledger)                                   \
	for ((job) = (ledger)->live_head; (job) != NULL;                       \
	     (job) = (job)->live->live_next)

#endif
