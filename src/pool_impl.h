#ifndef PH_POOL_IMPL_H
#define PH_POOL_IMPL_H

/* Shared by the parts of the pool: pool.c (batches), pool_run.c (runs and run
 * commands), pool_lease.c (leases), pool_late.c (starts that a restarted
 * executor may carry out), pool_unconfirmed.c (what the submitters are told of
 * them), pool_poll.c (polls of executors), pool_probe.c
 * (reachability of executors of other owners), pool_placement.c (in which order
 * tasks start, and on which executors), pool_evacuation.c (batches of an
 * evacuated failure domain). */

#include "intern.h"
#include "pool.h"
#include "pool_lengths.h"
#include "pool_reserve.h"

#define PH_US_PER_MS 1000U
/* Longest wait for a call's answer: leaves time to repeat a poll before the
 * lease that it renews expires. */
#define PH_CALL_TIMEOUT_MAX_US 200000U
/* An executor grants a lease of at most this many lease durations to a command
 * whose lease end makes no sense on its clock. */
#define PH_RESTARTED_LEASES 2U
/* Time for which the lease of an unlisted executor is still renewed: its entry
 * may be back soon. */
#define PH_UNLISTED_RENEWED_US 1000000U
/* Time for which an unlisted executor is still polled: while another owner may
 * have renewed a lease there, plus the longest lease, plus the time by which
 * two instances may differ in their lists. */
#define PH_UNLISTED_US (PH_UNLISTED_RENEWED_US + 1000000U + 1500000U)

/* Run time of tasks on an executor of which nothing is known yet, in percent of
 * the declared one. */
#define PH_RUN_TIME_PERCENT 100U

enum ph_batch_task_state {
	PH_BATCH_TASK_WAITING,
	/** Has a run, which may be starting, running or stopping. */
	PH_BATCH_TASK_PLACED,
	PH_BATCH_TASK_DONE,
};

struct ph_run;

/** One task of a batch. */
struct ph_batch_task {
	enum ph_batch_task_state state;
	uint32_t failures;
	/** Its last run was taken for expired, not reported to have ended. */
	bool expired;
	/** Times that it was moved because its run made too little progress. */
	uint32_t moves;
	/** The current run if placed, else NULL. */
	struct ph_run *run;
	/** Number of its next run. */
	uint64_t next_run;
};

struct ph_batch {
	struct ph_batch *next;
	const char *submitter;
	uint64_t seq;
	/** Hash of the job's id. */
	uint64_t job_hash;
	struct ph_batch_request *request;
	/** When the caller's request arrived at its submitter, on the local
	 * clock. */
	uint64_t arrived_us;
	/** When the pool received the batch. */
	uint64_t received_us;
	/** A task of it was started, here or by an earlier owner. */
	bool started;
	/** Its submitter may have resumed it at another owner. */
	bool maybe_resumed;
	/** Its submitter may take this owner for failed, and resume it. */
	bool owner_suspected;
	/** Its submitter has to be told that it was accepted, or of starts. */
	bool report_due;
	/** When this owner last started a task of it; 0: it has not. */
	uint64_t last_started_us;
	/** Core time, in millicore-microseconds, of waiting tasks that need the
	 * same executors and precede this batch, but for those that are to keep
	 * capacity free for it; as of the last round. */
	uint64_t ahead_milli_us;
	/** Least time until the last of its tasks is started in the part of the
	 * pool that tasks of its length and longer ones may hold, by declared
	 * run times; 0: they are not bounded. As of the last round. */
	uint64_t part_wait_us;
	/** In the last round its tasks were held back by their length: they
	 * don't delay others. */
	bool held_back;
	/** Capacity of the service's executors that may start these tasks, in
	 * thousandths of a core; set only if ahead_milli_us isn't 0. */
	uint64_t possible_milli;
	/** Most executors that were reserved for its tasks at a time. */
	uint32_t reserved;
	/** Tasks in state PH_BATCH_TASK_WAITING. */
	uint32_t waiting;
	/** Tasks that are not done. */
	uint32_t left;
	struct ph_batch_task *tasks;
};

enum ph_run_state {
	/** The start command was sent; not confirmed yet. */
	PH_RUN_STARTING,
	PH_RUN_RUNNING,
	/** Being stopped; keeps its capacity reserved until its end is
	 * reported or certain, and the executor refuses its start. */
	PH_RUN_STOPPING,
	/** Reported by a poll, but not started by this owner; a resumed batch
	 * may claim it. */
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
	/** The batch that waits for its end, or NULL. */
	struct ph_batch *batch;
	/** When its start was sent, or when a poll first reported it. */
	uint64_t created_us;
	/** A poll reported it, this owner has not started it, and no batch has
	 * claimed it. need says only what it uses, which may be less than what
	 * its task needs. */
	bool unclaimed;
	/** Orphaned runs only: until when a batch may claim it. */
	uint64_t claim_until_us;
	/** When the latest command was acknowledged, or a poll first reported
	 * the start; 0: neither yet, or an orphaned run. */
	uint64_t acked_us;
	/** When the first stop command was sent; 0: none was. */
	uint64_t first_stop_us;
	/** Stop commands sent. */
	uint32_t stops;
	/** The stop under way to the executor's present incarnation; 0: none.
	 */
	uint64_t stop_call;
	/** The executor is known to have carried out the start. */
	bool begun;
	/** Stopping, and its lease has expired or its executor has restarted,
	 * but its start may still be carried out. */
	bool forgotten;
	/** An earlier owner has sent its start. */
	bool taken_over;
	/** Its start was refused since this run or a later one has been there:
	 * a poll has to show whether one still runs. */
	bool refused_as_old;
	/** Its task may crash the executor: nothing is started beside it. */
	bool alone;
	/** Its batch has ended, and may have been resumed or submitted again
	 * elsewhere, or may soon be: no lease is renewed until its stop is
	 * acknowledged. */
	bool maybe_resumed;
	/** Progress as last reported. */
	uint32_t percent;
};

/** Consecutive failures of one kind; no tasks are placed until until_us. */
struct ph_backoff {
	uint32_t count;
	uint64_t until_us;
};

/** A start without an answer. The executor's present incarnation has
 * acknowledged a stop of its run, but the next one would carry it out. */
struct ph_late_start {
	struct ph_late_start *next;
	char job[PH_JOB_BYTES];
	/** Hash of the job's id. */
	uint64_t job_hash;
	uint32_t index;
	/** Hash of the executor's id. */
	uint32_t executor;
	uint64_t run;
	uint64_t sent_us;
	/** An earlier owner has sent it. */
	bool taken_over;
	/** Taken over, and no poll that was sent since has shown whether it was
	 * carried out: nothing has been stopped. */
	bool unverified;
	/** The earlier owner had got no answer in time. */
	bool unanswered;
	/** When it was taken over, or its executor was listed if that was
	 * later. */
	uint64_t since_us;
};

/** In a placement round, what has been found out about batches that need
 * executors of one kind. */
struct ph_line {
	struct ph_line *next;
	const char *service;
	const char *label;
	/** What the last task needed that found no executor; NULL: all found
	 * one. */
	const struct ph_capacity *blocked;
	/** What the last task needed, and its declared run time, that found
	 * only reserved executors; NULL: none. */
	const struct ph_batch_request *deferred;
	/** Core time of tasks that still wait, in millicore-microseconds, by
	 * the octave of their length. */
	uint64_t waiting_milli_us[PH_LENGTH_OCTAVES];
};

struct ph_executor {
	struct ph_executor *next;
	struct ph_executor_info info;
	bool listed;
	/** When it left the platform's list. */
	uint64_t unlisted_us;
	struct ph_capacity used;
	struct ph_run *runs;
	struct ph_late_start *late_starts;
	/** Start time of its current incarnation, as it reported. */
	uint64_t started_ms;
	/** When its present incarnation was noticed; 0: it is the first one. */
	uint64_t restarted_us;
	/** A poll has been answered since this instance acquired the pool. */
	bool polled;
	/** Since when it refuses the owner's token; 0: it does not. */
	uint64_t rejected_us;
	/** Another instance may be renewing the lease of its runs: it has not
	 * been polled under the present token, or has refused it since. */
	bool other_owner;
	/** Number of the last end that was processed. */
	uint64_t ends_seen;
	/** The executor's clock, read at clock_us; 0: unknown. */
	uint64_t clock_ms;
	/** The local time at which clock_ms was received. */
	uint64_t clock_us;
	/** Latest lease end that may have been sent, by an earlier owner too,
	 * on the executor's clock. */
	uint64_t lease_ms;
	/** Latest lease end that this owner has sent to this incarnation. */
	uint64_t lease_sent_ms;
	/** Local time at which a lease has expired that was granted by an
	 * incarnation that no poll has shown yet; 0: none was. */
	uint64_t unseen_expiry_us;
	/** Id of the poll under way; 0: none. */
	uint64_t poll_call;
	uint64_t poll_sent_us;
	/** The poll under way may wait before it is answered. */
	bool poll_waits;
	/** When the poll that was answered last was sent. */
	uint64_t answered_sent_us;
	/** Time of the last successful poll. */
	uint64_t poll_ok_us;
	/** Time from which the next poll may be sent. */
	uint64_t next_poll_us;
	/** Consecutive polls without success. */
	uint32_t poll_failures;
	/** A stop has gone unacknowledged for so long that no lease is renewed
	 * here. */
	bool stops_overdue;
	/** When the first of these polls failed. */
	uint64_t unreachable_us;
	/** One of these polls found nobody that listens at its address. */
	bool refuses;
	/** Runs that failed or were too slow, and start commands that it
	 * refused. */
	struct ph_backoff faults;
	/** Commands that were not sent or not answered; the network may have
	 * lost them. */
	struct ph_backoff unanswered;
	/** The poll answered last followed failed ones, so the ends that it
	 * reported may be older than they seem. */
	bool ends_delayed;
	/** Smoothed actual run time in percent of the declared one, in its
	 * present incarnation. */
	uint32_t run_time_percent;
	/** Nothing is started in this placement round, so that it gets empty
	 * for a task that is to run alone. */
	bool held;
	/** What this placement round keeps for a task that waits; as of the
	 * last round. */
	struct ph_reservation reserved;
	/** Working value of a placement round: what could be reserved. */
	struct ph_reservation candidate;
};

/** A run command that has been sent and not yet answered. */
struct ph_pending_command {
	struct ph_pending_command *next;
	uint64_t id;
	bool stop;
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t run;
	uint64_t sent_us;
	/** Id of the executor. */
	char executor[];
};

/** A successful end, reported before the resumed batch that it belongs to was
 * submitted. */
struct ph_orphaned_end {
	char job[PH_JOB_BYTES];
	uint32_t index;
	uint64_t seen_us;
};

#define PH_ORPHANED_ENDS 512U

/** A batch that was cancelled or has ended; kept because its submission may
 * arrive, or arrive once more, afterwards. */
struct ph_closed_batch {
	struct ph_closed_batch *next;
	uint64_t closed_us;
	const char *submitter;
	uint64_t seq;
};

struct ph_pool {
	struct ph_pool_options opt;
	const struct ph_mem *mem;
	const char *name;
	/** Its failure domain; interned. */
	const char *domain;
	bool owned;
	bool fenced;
	/** An executor has answered a poll under the present token. */
	bool accepted;
	/** The token whose refusal was logged last. */
	uint64_t refused_token;
	uint64_t token;
	uint64_t last_call;
	struct ph_executor *executors;
	/** Late starts that were taken over, on executors that are not in the
	 * list. */
	struct ph_late_start *unlisted_late_starts;
	struct ph_batch *batches;
	/** Working array of a placement round: the batches that have waiting
	 * tasks, and its size in entries. */
	struct ph_batch **waiting;
	size_t waiting_size;
	/** Valid during a placement round. */
	struct ph_line *lines;
	/** Reservations that this round may still make, and batches that it may
	 * still try to make some for. */
	uint32_t reservations_left;
	uint32_t reserve_tries_left;
	/** Working array of a placement round: the runs of one executor, and
	 * its size in entries. */
	struct ph_reserve_run *ends;
	size_t ends_size;
	struct ph_pending_command *calls;
	/** What jobs of different lengths may hold, for each service of which
	 * a batch has come since the pool was acquired. */
	struct ph_lengths *lengths;
	/** Ring buffer. */
	struct ph_orphaned_end orphaned_ends[PH_ORPHANED_ENDS];
	/** Number of ends stored so far; the next one's index, modulo the size.
	 */
	uint32_t orphaned_end_next;
	/** Latest first. */
	struct ph_closed_batch *closed;
	struct ph_crashes *crashes;
	/** The pool frees crashes. */
	bool own_crashes;
	struct ph_pool_counters counters;
	/** Smoothed time from a run command to its answer; a missing answer
	 * counts with part of the timeout. */
	uint64_t call_us;
	/** Smoothed time to the answer of the commands that were answered. */
	uint64_t answered_call_us;
	/** Smoothed share of polls without an answer, in thousandths. */
	uint32_t lost_polls_permille;
	/** So many executors have left commands unanswered that the network is
	 * the likely cause: unanswered commands cause no back-off. */
	bool widespread_loss;
	/** Polls get lost, so long polls wait for a shorter time. */
	bool short_polls;
	/** When the read that gave or confirmed the list was sent, and the one
	 * that gave the first list. */
	uint64_t list_read_us;
	uint64_t first_list_us;
	/** Until when the owner before may go on starting tasks: no executor is
	 * polled before; 0: it does not. */
	uint64_t hand_over_until_us;
	/** The state changed since the last placement round. */
	bool dirty;
	/** Time of the last placement round. */
	uint64_t placed_us;
	/** While the pool is not owned: when an executor last answered a probe,
	 * when the last probes were sent, and the executor probed last. */
	uint64_t reached_us;
	uint64_t probed_us;
	char *probed_last;
};

/* ## pool.c */

/** A task's run is over without success: sets the task to wait again. */
void ph_batch_task_requeue(struct ph_pool *pool, struct ph_batch *batch,
			   uint32_t index);
/** Marks a task as done; the batch is freed after its last task. */
void ph_batch_task_done(struct ph_pool *pool, struct ph_batch *batch,
			uint32_t index, uint64_t now_us);
/** The longest wait of a batch, counted from its caller's request, for its
 * first start. It is bounded by the time that is left before its result is of
 * no use, by the caller's timeout less the declared run time, and by the part
 * of the timeout after which another pool should be tried. */
/** Latest start with which a batch is likely to meet its latency target. */
uint64_t ph_batch_target_start_us(const struct ph_batch *batch);
uint64_t ph_batch_longest_wait_us(const struct ph_pool *pool,
				  const struct ph_batch *batch);
/** Declared core time of a batch's waiting tasks, in millicore-microseconds. */
uint64_t ph_batch_core_time(const struct ph_batch *batch);
/** What jobs of different lengths may hold of a service's executors; a batch
 * for it has to have come since the pool was acquired. */
struct ph_lengths *ph_lengths_of(const struct ph_pool *pool,
				 const char *service);
/** Counts a failed attempt; the batch fails and is freed if the task has none
 * left, else the task waits again. */
void ph_batch_task_failed(struct ph_pool *pool, struct ph_batch *batch,
			  uint32_t index, uint64_t now_us);

/** Whether this instance polls each executor on which an earlier owner may have
 * started tasks of a resumed batch: the list was read late enough to hold new
 * ones, and lists have been read for long enough to have held those that have
 * left it and still have a lease. */
bool ph_batch_executors_known(const struct ph_pool *pool,
			      const struct ph_batch *batch);
/** Lets resumed batches claim the orphaned runs and ends reported so far. */
void ph_pool_claim_orphans(struct ph_pool *pool, uint64_t now_us);

/** Whether a task can't be running or be started any more on any executor of
 * the pool, so that it may start here or, unless a start of it may still be
 * carried out, in another pool. */
bool ph_batch_task_clear(const struct ph_pool *pool,
			 const struct ph_batch *batch, uint32_t index,
			 uint64_t now_us);

/* ## pool_evacuation.c */

/** Whether the pool's domain is evacuated. */
bool ph_pool_evacuated(const struct ph_pool *pool);
/** Whether tasks may start in the pool's domain. */
bool ph_pool_allows_start(const struct ph_pool *pool, uint64_t now_us);
/** While a domain is evacuated: whether no executor of the pool could run a
 * batch that was not started, even with all of its capacity. It then has no
 * pool, as its executors may all be in the evacuated domain. */
bool ph_batch_has_no_executor(const struct ph_pool *pool,
			      const struct ph_batch *batch);
/** What to do with a batch of a pool whose domain is evacuated. */
enum ph_evacuation_step {
	/** Tasks of it run, or may run as far as is known here. */
	PH_EVACUATION_WAIT,
	/** It was not started. */
	PH_EVACUATION_NOT_RUN,
	/** What has not succeeded may run in any other pool. */
	PH_EVACUATION_ELSEWHERE,
	/** A task of it may still be started here, as late as seconds from now,
	 * and so must not be started elsewhere. */
	PH_EVACUATION_UNKNOWN,
};
enum ph_evacuation_step ph_batch_evacuation(const struct ph_pool *pool,
					    const struct ph_batch *batch,
					    uint64_t now_us);

/* ## pool_run.c */

struct ph_executor *ph_executor_find(struct ph_pool *pool, const char *id);
void ph_executor_free(struct ph_pool *pool, struct ph_executor *executor);
/** Whether it has a run that this owner has found and no batch has claimed. */
bool ph_executor_has_unclaimed(const struct ph_executor *executor);
/** Adds a run and reserves its capacity. */
struct ph_run *ph_run_add(struct ph_pool *pool, struct ph_executor *executor,
			  const char *job, uint32_t index, uint64_t number,
			  const struct ph_capacity *need, uint64_t now_us);
/** Frees a run and its capacity without notifying its batch. */
void ph_run_drop(struct ph_pool *pool, struct ph_executor *executor,
		 struct ph_run *run);
/** Starts a task's next run on an executor. */
struct ph_run *ph_run_start(struct ph_pool *pool, struct ph_executor *executor,
			    struct ph_batch *batch, uint32_t index,
			    uint64_t now_us);
/** Detaches a run from its batch and stops it. */
void ph_run_abandon(struct ph_pool *pool, struct ph_run *run, uint64_t now_us);
/** Timeout of a call; without an answer until then its outcome is unknown. */
uint64_t ph_pool_timeout_us(const struct ph_pool *pool);
struct ph_run *ph_run_find(struct ph_executor *executor, const char *job,
			   uint32_t index, uint64_t run);
const char *ph_run_state_name(enum ph_run_state state);
/** Frees a run that ended without success or never began; its task waits
 * again. */
void ph_run_drop_requeue(struct ph_pool *pool, struct ph_executor *executor,
			 struct ph_run *run);
/** Sends a stop command; the run's batch, if any, waits for the end. */
void ph_run_stop(struct ph_pool *pool, struct ph_executor *executor,
		 struct ph_run *run, uint64_t now_us);
/** Whether at least half of the listed executors refuse the token. */
bool ph_pool_most_refuse(const struct ph_pool *pool);
/** Handles the refusal of the token by an executor. The pool is fenced once at
 * least half of the listed executors refuse it, or one does for long. */
void ph_pool_fenced_by(struct ph_pool *pool, struct ph_executor *executor,
		       uint64_t now_us);
/** Counts a failure; from the second in a row on the executor is avoided for a
 * while. */
void ph_executor_failed(struct ph_executor *executor,
			struct ph_backoff *backoff, uint64_t now_us);
/** Resets the failure counts after a successful run. */
void ph_executor_succeeded(struct ph_executor *executor);

/* ## pool_lease.c */

/** Lease end to send now, on the executor's clock; 0 if that clock is unknown.
 * The one sent last while the lease must not be renewed. */
uint64_t ph_lease_end(struct ph_pool *pool, struct ph_executor *executor,
		      uint64_t now_us);
/** True if it is listed, or was so lately that there may be runs of another
 * owner: it is polled. */
bool ph_executor_followed(const struct ph_executor *executor, uint64_t now_us);
/** False while leases there must run out: a run that can't be stopped has to
 * end with its lease, and so have runs that another owner may not find, on an
 * executor that it may not reach or have forgotten. Runs that this owner has
 * found, and that no batch has claimed, may belong to an owner that is alive
 * but can't reach the executor, and that computes their end from the lease it
 * sent. A batch that its submitter may have resumed elsewhere must not outlast
 * the time after which its tasks start there.
 */
bool ph_lease_renewed(const struct ph_pool *pool,
		      const struct ph_executor *executor, uint64_t now_us);
/** Whether a lease lasts for long enough to start a task. */
bool ph_lease_allows_start(const struct ph_pool *pool,
			   const struct ph_executor *executor, uint64_t now_us);
/** Time, from the first report, for which a batch may claim a run that this
 * owner has not started. */
uint64_t ph_run_claim_us(const struct ph_executor *executor);
/** How an owner learns of the loss of an executor. */
enum ph_loss_cause {
	/** It answers a poll in a new incarnation. */
	PH_LOSS_RESTARTED,
	/** It has not answered until the lease of its runs expired. */
	PH_LOSS_LEASE_EXPIRED,
	/** It does not answer when the owner loses the pool. */
	PH_LOSS_POOL_RELEASED,
};

/** Counts the loss of an executor for the tasks of its runs, before these are
 * dropped: of all runs, or, after a restart, of those that the answer to a poll
 * shows to be gone. */
void ph_executor_lost(struct ph_pool *pool, struct ph_executor *executor,
		      enum ph_loss_cause cause,
		      const struct ph_poll_reply *reply, uint64_t now_us);
/** Whether the clock in the answer to a command that was sent at sent_us is
 * behind the known one: an incarnation that no poll has shown yet has answered.
 */
bool ph_answered_by_unseen(const struct ph_executor *executor, uint64_t sent_us,
			   uint64_t clock_ms);
/** Notes the lease that a start has got of such an incarnation, which measures
 * it on another clock. */
void ph_lease_granted_by_unseen(const struct ph_pool *pool,
				struct ph_executor *executor, uint64_t now_us);
/** Sends polls and stops that are due and drops runs whose lease expired. */
void ph_lease_tick(struct ph_pool *pool, uint64_t now_us);

/* ## pool_late.c */

/** Whether a run's start has been carried out, or can't be any more. */
bool ph_start_settled(const struct ph_run *run, uint64_t now_us);
/** Remembers the start of a stopped run, if it may still be carried out by
 * another incarnation. */
void ph_late_start_remember(struct ph_pool *pool, struct ph_executor *executor,
			    const struct ph_run *run, uint64_t now_us);
/** Forgets the starts that can't be carried out any more. */
void ph_late_starts_forget(struct ph_pool *pool, struct ph_executor *executor,
			   uint64_t now_us);
/** The same for those on executors that are not in the list. */
void ph_late_starts_forget_unlisted(struct ph_pool *pool, uint64_t now_us);
/** Takes over the unconfirmed starts that a resumed batch has brought. */
void ph_late_starts_take_over(struct ph_pool *pool, struct ph_batch *batch,
			      uint64_t now_us);
/** An executor has become known: it may have late starts that were taken
 * over. */
void ph_late_starts_executor_listed(struct ph_pool *pool,
				    struct ph_executor *executor);
/** After an answered poll: forgets late starts that were taken over and that it
 * shows to have been carried out, and stops the others. */
void ph_late_starts_verify(struct ph_pool *pool, struct ph_executor *executor,
			   const struct ph_poll_reply *reply, uint64_t now_us);
/** What is known of an earlier owner's start of a task on an executor. */
enum ph_verification {
	/** No such start, or a poll has shown what became of it. */
	PH_START_VERIFIED,
	/** The executor has not answered a poll since; the start was most
	 * likely answered. */
	PH_START_IN_DOUBT,
	/** The same, but the start had got no answer in time. */
	PH_START_UNANSWERED,
};

/** Tells it of the starts that were taken over; the worst if there are several.
 */
enum ph_verification
ph_late_start_verification(const struct ph_executor *executor,
			   const struct ph_batch *batch, uint32_t index);
/** Whether a start of the task may still be carried out on some executor. */
bool ph_late_start_of_task(const struct ph_pool *pool,
			   const struct ph_batch *batch, uint32_t index);
/** Whether a batch waits for the task of a remembered start. */
bool ph_late_starts_awaited(const struct ph_pool *pool,
			    const struct ph_executor *executor);
/** Whether a task waits until the executor's present or next incarnation has
 * stopped a run of it that may not have begun. */
bool ph_late_stop_awaited(const struct ph_pool *pool, const struct ph_run *run);
/** Stops the tasks of remembered starts where they run now, and lets them wait,
 * if the executor may have crashed: its next incarnation would carry these
 * starts out before the owner reaches it. */
void ph_late_starts_stop_elsewhere(struct ph_pool *pool,
				   struct ph_executor *executor,
				   uint64_t now_us);
/** After a restart: adds the remembered starts to the runs that are to be
 * stopped, and discards what the earlier incarnation acknowledged. */
void ph_late_starts_stop_again(struct ph_pool *pool,
			       struct ph_executor *executor, uint64_t now_us);

/* ## pool_unconfirmed.c */

/** Lists all starts of a batch's unfinished tasks that may still be carried
 * out. */
void ph_unconfirmed_collect(const struct ph_pool *pool,
			    const struct ph_batch *batch, uint64_t now_us,
			    struct ph_unconfirmed *out);
/** Tells submitters of batches that were accepted, and of the starts of a
 * placement round. */
void ph_unconfirmed_tell(struct ph_pool *pool, uint64_t now_us);

/* ## pool_poll.c */

/** Whether a run that a poll doesn't report is gone: it is orphaned, or its
 * latest command was acknowledged before the poll was sent. */
bool ph_run_gone(const struct ph_executor *executor, const struct ph_run *run,
		 const struct ph_poll_reply *reply);
/** Polls an executor, which renews the lease of its runs unless the poll
 * before failed or ph_lease_renewed() is false. */
void ph_poll_send(struct ph_pool *pool, struct ph_executor *executor,
		  uint64_t now_us);

/** Whether an executor has answered a poll, under the present token, that was
 * sent when the batch had arrived. An earlier one shows no run that the
 * executor has started since for the earlier owner, after a restart by which it
 * forgot the token. */
bool ph_poll_since_batch(const struct ph_executor *executor,
			 const struct ph_batch *batch);
/** Polls the executors on which earlier runs of a batch that has just arrived
 * may be, in place of polls that wait there. */
void ph_poll_for_resumed(struct ph_pool *pool, const struct ph_batch *batch,
			 uint64_t now_us);

/* ## pool_progress.c */

/** When the progress of a batch's run should be looked at next. */
uint64_t ph_progress_check_us(const struct ph_run *run, uint64_t now_us);
/** Whether a run is likely to end about when its declared time says, by the
 * progress that the last poll has reported. */
bool ph_progress_on_schedule(const struct ph_run *run);
/** Whether the task of a batch's run would end much sooner on another executor,
 * by the progress that was last reported. */
bool ph_progress_worth_move(const struct ph_pool *pool,
			    const struct ph_run *run, uint64_t now_us);

/* ## pool_probe.c */

/** Handles the answer to a probe. */
void ph_probe_done(struct ph_pool *pool, struct ph_executor *executor,
		   enum ph_call_status status, uint64_t now_us);

/* ## pool_placement.c */

/** Whether a task of a batch waits until a poll shows whether an earlier run of
 * it is on this executor. */
bool ph_batch_awaits_poll(const struct ph_pool *pool,
			  const struct ph_batch *batch,
			  const struct ph_executor *executor, uint64_t now_us);
/** Starts all waiting tasks that fit, in the order of the policy. */
void ph_pool_place(struct ph_pool *pool, uint64_t now_us);
/** Room for the tasks of one batch. */
struct ph_room {
	/** Free capacity of the executors that may run them, in thousandths of
	 * a core, also where it is too little for one task. */
	uint64_t free_milli;
	/** Executors that have room for a task, and others that have it too,
	 * but get one run at a time as one has failed there. */
	uint32_t fitting;
	uint32_t on_trial;
};

/** Measures the room for a batch, for the log. */
void ph_pool_room(const struct ph_pool *pool, const struct ph_batch *batch,
		  uint64_t now_us, struct ph_room *room);
/** True if the executor may turn out to be usable: this owner has not had its
 * first answer from it yet. */
bool ph_executor_first_poll_pending(const struct ph_pool *pool,
				    const struct ph_executor *executor);
/** True if tasks may be placed on the executor. */
bool ph_executor_usable(const struct ph_pool *pool,
			const struct ph_executor *executor, uint64_t now_us);

#endif
