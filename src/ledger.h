#ifndef PH_LEDGER_H
#define PH_LEDGER_H

/*
 * The start ledger: every job that this instance knows, from its acceptance
 * until its answer is forgotten, and how the knowledge of two holders merges.
 */

#include "msg.h"
#include "spec.h"

/** States of a task; BOUND is local and travels as STARTED. */
enum ph_task_state {
	PH_TASK_QUEUED = 0,
	/** Holds a slot; its start is not yet recorded elsewhere. */
	PH_TASK_BOUND,
	PH_TASK_STARTED,
	PH_TASK_NOT_RUN,
	PH_TASK_MAY_HAVE_RUN,
	PH_TASK_DONE,
};

struct ph_task {
	uint8_t state;
	int32_t status;
	/** Incarnation that starts or started the task. */
	uint64_t starter;
	/** Sequence of the record that first carried the start; 0: none. */
	uint64_t sent_seq;
	/** Endpoint slot while BOUND or started here. */
	void *slot;
	char *result;
	size_t result_len;
};

/** Who waits for an answer: a local caller or a relaying instance. */
struct ph_waiter {
	/** Empty for a local caller. */
	char addr[PH_ADDR_BYTES];
	uint64_t token;
};

/** What is kept only while a job has no answer that may be told. */
struct ph_live_job {
	char service[PH_NAME_BYTES];
	char *body;
	size_t body_len;
	/** Parsed body; NULL at an instance that only holds the job. */
	struct ph_spec *spec;
	struct ph_task *tasks;
	uint32_t task_count;
	uint32_t queued;
	uint64_t accepted_us;
	uint64_t deadline_us;
	/** Roster version up to which this instance's knowledge is whole. */
	uint64_t fresh;
	/** First record that carried the job to anybody; 0: none. */
	uint64_t first_seq;
	struct ph_waiter *waiters;
	size_t waiter_count;
	/** Links of the team's queue. */
	bool enqueued;
	struct ph_job *queue_next;
	struct ph_job *live_prev;
	struct ph_job *live_next;
};

struct ph_job {
	struct ph_job *chain;
	struct ph_job *ended_next;
	uint64_t key_hash;
	uint64_t digest;
	uint64_t ended_us;
	/** NULL once it was dropped to save memory. */
	char *answer;
	struct ph_live_job *live;
	uint32_t answer_len;
	/** Bit per peer slot: holds the newest state; must be told; is told. */
	uint16_t holders;
	uint16_t dirty;
	uint16_t in_flight;
	/** Bit per peer slot: has the job's document. */
	uint16_t seen;
	/** Tasks running here that point at this job. */
	uint16_t refs;
	bool first_attempt : 1;
	/** Accepted here from a caller or relay, not learned from a holder. */
	bool accepted_here : 1;
	bool known : 1;
	bool cancelled : 1;
	bool ended : 1;
	/** The answer has a not-run that must be recorded before it is told. */
	bool gated : 1;
	/** team '/' id */
	char key[];
};

struct ph_ledger {
	const struct ph_mem *mem;
	struct ph_job **buckets;
	size_t bucket_count;
	size_t job_count;
	size_t live_count;
	size_t answer_bytes;
	struct ph_job *live_head;
	struct ph_job *ended_head;
	struct ph_job *ended_tail;
	/** Oldest ended job that may still have its answer. */
	struct ph_job *answered;
	/** Sorted hashes of the keys that earlier lives knew, until then. */
	uint64_t *retired_keys;
	size_t retired_key_count;
	uint64_t retired_until_us;
};

void ph_ledger_init(struct ph_ledger *ledger, const struct ph_mem *mem);

/** Forgets every job. */
void ph_ledger_clear(struct ph_ledger *ledger);

/** Forgets every job, but remembers for a time which keys there were. */
void ph_ledger_retire(struct ph_ledger *ledger, uint64_t now_us,
		      uint64_t until_us);

/** True if a retired ledger held the key. */
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

/** Sets a task's state; other holders no longer have the newest one. */
void ph_task_set_state(struct ph_job *job, uint32_t at, enum ph_task_state state);

/** Tells whether every task has a final state. */
bool ph_job_all_final(const struct ph_job *job);

/** Builds the answer from the tasks' states and marks the job ended. */
void ph_job_end(struct ph_ledger *ledger, struct ph_job *job, uint64_t now_us);

/** Takes back an answer that was not told: another holder knows more. */
void ph_job_reopen(struct ph_ledger *ledger, struct ph_job *job);

/** Frees what only a live job needs. */
void ph_job_free_live(struct ph_ledger *ledger, struct ph_job *job);

/**
 * Fills a record of the job. An answer travels only once it may be told;
 * before, the states of the tasks do. tasks has room for PH_MAX_TASKS entries
 * and is borrowed by the record.
 */
void ph_job_fill_record(const struct ph_job *job, uint64_t now_us, bool with_body,
		   struct ph_record *record, struct ph_task_record *tasks);

/** Takes over the answer of a job that another holder has ended. */
void ph_job_set_answer(struct ph_ledger *ledger, struct ph_job *job,
			 uint64_t now_us, const char *answer, size_t len);

/** Nobody but this instance can ever have heard of the job. */
bool ph_job_unshared(const struct ph_job *job);

/** What became of a record that was merged. */
enum ph_merge {
	PH_MERGE_UNCHANGED,
	PH_MERGE_CHANGED,
	/** The receiver knows of starts that the sender does not. */
	PH_MERGE_CONFLICT,
};

/**
 * Merges a record of a live job: for each task the more advanced state wins,
 * and a start by this instance (self) is never given up. With trusted unset,
 * the sender's not-run counts as may-have-run only. Slots of bindings that
 * were overruled are passed to release.
 */
enum ph_merge ph_job_merge(struct ph_ledger *ledger, struct ph_job *job,
			   const struct ph_record *record, uint64_t self,
			   bool trusted, void (*release)(void *ctx, void *slot),
			   void *ctx);

/** Forgets ended jobs whose time has passed; returns how many. */
size_t ph_ledger_expire(struct ph_ledger *ledger, uint64_t now_us,
			uint64_t remember_us);

/**
 * Drops the oldest answers, but no ids, until the rest takes at most
 * max_bytes. Returns how many.
 */
size_t ph_ledger_trim(struct ph_ledger *ledger, size_t max_bytes);

/** Bytes that the ledger takes for one ended job beside its answer. */
size_t ph_job_ended_bytes(const struct ph_job *job);

#define ph_list_for(job, ledger)                                               \
	for ((job) = (ledger)->live_head; (job) != NULL;                       \
	     (job) = (job)->live->live_next)

#endif
