/* Leases of the executors: when they are renewed, and when runs are over
 * because they have expired. */

#include <stdlib.h>

#include "ident.h"
#include "log.h"
#include "pool_impl.h"

#define PART "lease"

/* Margin added to the longest duration of a stop. */
#define STOP_MARGIN_US 10000U
/* Time for which orphaned runs wait for the batches of a dead owner to be
 * submitted again: their submitters know of its death, so the claim of the pool
 * and the batches are on their way for a few ticks each. Then they are stopped,
 * in time to renew the lease of the others on the executor. The first poll
 * shows all runs of earlier owners, as their tokens are refused from then on; a
 * run that appears later waits for nothing. */
#define CLAIM_US 150000U
/* Time without an acknowledgement after which a stop is overdue. With the time
 * until a lost submitter is noticed, and the lease that was renewed last on a
 * slow clock, it has to end before the caller retries; a stop that got lost is
 * sent once more within it. */
#define STOP_OVERDUE_US 100000U
/* A task starts under a lease that is not renewed for now only if this part of
 * it is left: most stops that got lost are acknowledged by then. */
#define START_LEASE_DIVISOR 2U
/* The platform's bound on how much slower an executor's clock may run. */
#define CLOCK_SLOW_PERCENT 2U
/* Two readings of one clock may differ by this much from rounding. */
#define CLOCK_ROUNDING_MS 2
/* Time added to a computed lease expiry. */
#define EXPIRY_MARGIN_US 20000U
/* Executors that become unreachable within this time are lost at once: the
 * answers to the polls that wait there fail within it. */
#define LOST_AT_ONCE_US 100000U
/* If so many executors, and more than this share of the pool's, are lost at
 * once, the tasks on them are hardly the cause. */
#define WIDESPREAD_EXECUTORS 3U
#define WIDESPREAD_PERCENT 15U
/* A task that crashes its executor does so within this time of its start, with
 * the round trip of the start and the failure of the poll. */
#define PROMPT_CRASH_US 100000U

uint64_t ph_run_claim_us(const struct ph_executor *x)
{
	return x->polled ? 0 : CLAIM_US;
}

bool ph_executor_followed(const struct ph_executor *x, uint64_t now_us)
{
	return x->listed || now_us < x->unlisted_us + PH_UNLISTED_US;
}

/* Whether a run there belongs to a batch that its submitter may have resumed
 * elsewhere, and its stop is not acknowledged. */
static bool has_maybe_resumed(const struct ph_executor *x)
{
	const struct ph_run *run;

	for (run = x->runs; run; run = run->next)
		if (run->batch ? run->batch->maybe_resumed
			       : run->maybe_resumed && !run->acked_us)
			return true;
	return false;
}

bool ph_lease_renewed(const struct ph_pool *pool, const struct ph_executor *x,
		      uint64_t now_us)
{
	return !x->stops_overdue && !pool->fenced &&
	       !ph_executor_has_unclaimed(x) && !has_maybe_resumed(x) &&
	       (x->listed || now_us < x->unlisted_us + PH_UNLISTED_RENEWED_US);
}

bool ph_lease_allows_start(const struct ph_pool *pool,
			   const struct ph_executor *x, uint64_t now_us)
{
	uint64_t needed_us = pool->opt.lease_us / START_LEASE_DIVISOR;

	return ph_lease_renewed(pool, x, now_us) ||
	       x->lease_sent_ms >=
		       x->clock_ms + (now_us - x->clock_us + needed_us) /
					     PH_US_PER_MS;
}

uint64_t ph_lease_end(struct ph_pool *pool, struct ph_executor *x,
		      uint64_t now_us)
{
	uint64_t end;

	if (!x->clock_ms)
		return 0;
	if (!ph_lease_renewed(pool, x, now_us))
		return x->lease_sent_ms;
	end = x->clock_ms +
	      (now_us - x->clock_us + pool->opt.lease_us) / PH_US_PER_MS;
	if (end > x->lease_sent_ms)
		x->lease_sent_ms = end;
	if (end > x->lease_ms)
		x->lease_ms = end;
	return end;
}

/* Time that a lease may last on an executor's clock, in local time. */
static uint64_t lease_time_us(uint64_t us)
{
	return us + us * CLOCK_SLOW_PERCENT / 100 + EXPIRY_MARGIN_US;
}

/* Local time at which every lease sent to the executor has expired; 0 if its
 * clock is unknown. */
static uint64_t lease_expiry_us(const struct ph_executor *x)
{
	uint64_t expiry_us = x->clock_us;

	if (!x->clock_ms)
		return x->unseen_expiry_us;
	if (x->lease_ms > x->clock_ms)
		expiry_us += lease_time_us((x->lease_ms - x->clock_ms) *
					   PH_US_PER_MS);
	return expiry_us > x->unseen_expiry_us ? expiry_us
					       : x->unseen_expiry_us;
}

bool ph_answered_by_unseen(const struct ph_executor *x, uint64_t sent_us,
			   uint64_t clock_ms)
{
	int64_t since_ms = ((int64_t)sent_us - (int64_t)x->clock_us) /
			   (int64_t)PH_US_PER_MS;
	int64_t drift_ms = llabs(since_ms) * CLOCK_SLOW_PERCENT / 100;

	return x->clock_ms && clock_ms &&
	       (int64_t)clock_ms < (int64_t)x->clock_ms + since_ms - drift_ms -
					   CLOCK_ROUNDING_MS;
}

void ph_lease_granted_by_unseen(const struct ph_pool *pool,
				struct ph_executor *x, uint64_t now_us)
{
	ph_event(PART, "event=lease_of_unseen_incarnation executor=%s",
		 x->info.id);
	x->unseen_expiry_us = now_us + lease_time_us(PH_RESTARTED_LEASES *
						     pool->opt.lease_us);
}

/* ## Timeouts */

static void log_expired(const struct ph_executor *x, const struct ph_run *run,
			uint32_t runs_there, uint64_t now_us)
{
	ph_event(PART,
		 "event=lease_expired job=%s task=%u run=%llu executor=%s "
		 "state=%s acknowledged=%d age_us=%llu runs_there=%u "
		 "unreachable_for_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 ph_run_state_name(run->state), run->acked_us != 0,
		 (unsigned long long)(now_us - run->created_us), runs_there,
		 (unsigned long long)(now_us - x->unreachable_us));
}

/* Whether many other executors became unreachable when this one did. */
static bool lost_with_many(const struct ph_pool *pool,
			   const struct ph_executor *x)
{
	const struct ph_executor *other;
	uint32_t all = 0;
	uint32_t lost = 0;

	for (other = pool->executors; other; other = other->next) {
		all += other->listed;
		lost += other->unreachable_us + LOST_AT_ONCE_US >
				x->unreachable_us &&
			other->unreachable_us <
				x->unreachable_us + LOST_AT_ONCE_US;
	}
	return lost >= WIDESPREAD_EXECUTORS &&
	       lost * 100 > all * WIDESPREAD_PERCENT;
}

/* Whether a run is lost with its executor: all that may run there are, or,
 * after a restart, those that the answer to a poll shows to be gone. */
static bool lost_with(const struct ph_executor *x, const struct ph_run *run,
		      const struct ph_poll_reply *reply)
{
	return !run->forgotten && (!reply || ph_run_gone(x, run, reply));
}

/* Whether a run was under way for certain when its executor went away: it had
 * begun, and no stop may have ended it. */
static bool was_running(const struct ph_executor *x, const struct ph_run *run)
{
	return run->begun &&
	       (!run->first_stop_us || run->first_stop_us >= x->unreachable_us);
}

void ph_executor_lost(struct ph_pool *pool, struct ph_executor *x,
		      enum ph_loss_cause cause,
		      const struct ph_poll_reply *reply, uint64_t now_us)
{
	static const char *const causes[] = { "restarted", "lease_expired",
					      "pool_released" };
	struct ph_loss loss = {
		.executor = ph_executor_hash(x->info.id),
		.doubtful = cause == PH_LOSS_POOL_RELEASED ||
			    lost_with_many(pool, x),
		.crashed = cause == PH_LOSS_RESTARTED || x->refuses,
	};
	const struct ph_run *run;

	for (run = x->runs; run; run = run->next)
		loss.runs += lost_with(x, run, reply);
	if (!loss.runs)
		return;
	pool->counters.lost_executors++;
	ph_event(PART,
		 "event=executor_lost executor=%s cause=%s runs=%u "
		 "doubtful=%d crashed=%d",
		 x->info.id, causes[cause], loss.runs, loss.doubtful,
		 loss.crashed);
	for (run = x->runs; run; run = run->next) {
		if (!lost_with(x, run, reply))
			continue;
		loss.running = was_running(x, run);
		loss.prompt =
			x->unreachable_us < run->created_us + PROMPT_CRASH_US;
		ph_crashes_add(pool->crashes, now_us, ph_hash_str(run->job),
			       run->index, &loss);
	}
}

/* True if no lease that this owner or another one has sent to the executor can
 * still last. The lease of another owner ends at no known time: a poll has to
 * show what runs, or the executor has to be gone. */
static bool leases_expired(const struct ph_pool *pool,
			   const struct ph_executor *x, uint64_t now_us)
{
	if ((x->other_owner || pool->fenced) && ph_executor_followed(x, now_us))
		return false;
	return now_us >= lease_expiry_us(x);
}

/* An executor that is reached again may carry out a start that was never
 * confirmed. Until it acknowledges the stop, which makes it refuse the start,
 * the stop is overdue, so no lease is renewed there. The task waits too: if the
 * executor has restarted, it carries the start out under a new lease. */
static void run_forget(struct ph_run *run, uint64_t now_us)
{
	run->forgotten = true;
	run->state = PH_RUN_STOPPING;
	if (!run->first_stop_us)
		run->first_stop_us = now_us;
}

/* True if the start may be carried out after the run's lease has expired. */
static bool may_begin(const struct ph_run *run)
{
	return !run->begun && !run->refused_as_old && !run->acked_us &&
	       (run->state == PH_RUN_STARTING || run->state == PH_RUN_STOPPING);
}

/* Drops all runs of an executor whose leases are no longer renewed once these
 * have expired, or forgets those that may still begin. */
static void expire_runs(struct ph_pool *pool, struct ph_executor *x,
			uint64_t now_us)
{
	struct ph_run *run = x->runs;
	uint32_t runs_there = 0;

	if (!run || (!x->poll_failures && ph_lease_renewed(pool, x, now_us)) ||
	    !leases_expired(pool, x, now_us))
		return;
	for (; run; run = run->next)
		runs_there += !run->forgotten;
	/* One that answers, or refuses the token, has not crashed. */
	if (x->poll_failures && !x->rejected_us)
		ph_executor_lost(pool, x, PH_LOSS_LEASE_EXPIRED, NULL, now_us);
	for (run = x->runs; run;) {
		struct ph_run *next = run->next;

		if (!run->forgotten) {
			log_expired(x, run, runs_there, now_us);
			pool->counters.expired_runs++;
			if (run->batch)
				run->batch->tasks[run->index].expired = true;
			if (may_begin(run))
				run_forget(run, now_us);
			else
				ph_run_drop_requeue(pool, x, run);
		}
		run = next;
	}
}

/* True if the run's stop was acknowledged so long ago that the run has ended,
 * or can no longer start, also without a poll that reports it. */
static bool stop_completed(const struct ph_pool *pool, const struct ph_run *run,
			   uint64_t now_us)
{
	return run->state == PH_RUN_STOPPING && run->acked_us &&
	       now_us > run->acked_us + pool->opt.stop_us + STOP_MARGIN_US;
}

/* True if a stop has to be sent again. Those of forgotten runs wait until the
 * executor is reached. */
static bool stop_due(const struct ph_executor *x, const struct ph_run *run)
{
	return run->state == PH_RUN_STOPPING && !run->acked_us &&
	       !run->stop_call && !(run->forgotten && x->poll_failures);
}

/* True if a run that has not been reported can't be alive, even if its start
 * was carried out as late as possible, under the longest lease. */
static bool late_run_over(const struct ph_pool *pool, const struct ph_run *run,
			  uint64_t now_us)
{
	return now_us >= run->created_us + PH_LATE_START_US +
				 PH_RESTARTED_LEASES * pool->opt.lease_us;
}

static void update_stops_overdue(struct ph_executor *x, uint64_t now_us)
{
	const struct ph_run *run;
	bool overdue = false;

	for (run = x->runs; run && !overdue; run = run->next)
		overdue = run->state == PH_RUN_STOPPING && !run->acked_us &&
			  (run->forgotten ||
			   now_us > run->first_stop_us + STOP_OVERDUE_US);
	if (overdue != x->stops_overdue)
		ph_event(PART, "event=lease_renewal_%s executor=%s",
			 overdue ? "paused" : "resumed", x->info.id);
	x->stops_overdue = overdue;
}

static void runs_tick(struct ph_pool *pool, struct ph_executor *x,
		      uint64_t now_us)
{
	struct ph_run *run = x->runs;

	while (run) {
		struct ph_run *next = run->next;

		if (run->state == PH_RUN_ORPHANED &&
		    now_us > run->claim_until_us) {
			pool->counters.orphans_stopped++;
			ph_event(PART,
				 "event=run_unclaimed job=%s task=%u run=%llu "
				 "executor=%s action=stop",
				 run->job, run->index,
				 (unsigned long long)run->run, x->info.id);
			ph_run_stop(pool, x, run, now_us);
		} else if (run->forgotten && late_run_over(pool, run, now_us)) {
			ph_run_drop_requeue(pool, x, run);
		} else if (stop_due(x, run)) {
			ph_run_stop(pool, x, run, now_us);
		} else if (stop_completed(pool, run, now_us)) {
			ph_late_start_remember(pool, x, run, now_us);
			ph_run_drop_requeue(pool, x, run);
		}
		run = next;
	}
}

void ph_lease_tick(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_executor *x;

	ph_late_starts_forget_unlisted(pool, now_us);
	for (x = pool->executors; x; x = x->next) {
		ph_late_starts_forget(pool, x, now_us);
		ph_late_starts_stop_elsewhere(pool, x, now_us);
		expire_runs(pool, x, now_us);
		update_stops_overdue(x, now_us);
		if (!x->poll_call && now_us >= x->next_poll_us &&
		    now_us >= pool->hand_over_until_us &&
		    ph_executor_followed(x, now_us))
			ph_poll_send(pool, x, now_us);
		runs_tick(pool, x, now_us);
	}
}
