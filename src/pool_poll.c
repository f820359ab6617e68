/* Polls of executors: which runs have ended, which are running, and how fast.
 */

#include <string.h>

#include "log.h"
#include "pool_impl.h"

#define PART "poll"

/* A long poll waits for this part of the lease that it renewed, so that a lost
 * one can be repeated before the lease expires. */
#define POLL_WAIT_DIVISOR 4U
/* Part of the lease while polls get lost: a lost long poll delays the report of
 * ended runs by its whole wait. */
#define SHORT_POLL_WAIT_DIVISOR 8U
/* Polls are kept short above this share of lost ones, in thousandths; a sound
 * network loses none. */
#define SHORT_POLL_LOST_PERMILLE 30U
/* One poll has a weight of 1/32 in the smoothed share. */
#define POLL_WEIGHT 32U
/* Delay of the second retry of a poll (the first has none); doubles up to
 * POLL_RETRY_MAX_US. */
#define POLL_RETRY_US 50000U
#define POLL_RETRY_MAX_US 400000U
/* Delay of each further retry while a task runs elsewhere that may still start
 * here: it is stopped there once the executor has been silent for long. */
#define AWAITED_POLL_RETRY_US 10000U
/* Capacity reserved for an orphaned run whose usage wasn't reported. */
#define ORPHANED_CPU_MILLI 1000U
/* A run is too slow if it takes this many times its declared time, and a poll's
 * round trip more: declared times are off by up to a half, and the speed of
 * executors differs by a third. */
#define SLOW_FACTOR 3U
#define SLOW_EXTRA_US 50000U
/* A task is moved off a slow executor at most once, as the next executor may be
 * no faster. */
#define MAX_MOVES 1U
#define PERMILLE 1000U

bool ph_poll_since_batch(const struct ph_executor *x, const struct ph_batch *b)
{
	return x->polled && x->answered_sent_us >= b->received_us;
}

/* Whether a resumed task waits for what the next poll shows. */
static bool awaited(const struct ph_pool *pool, const struct ph_executor *x,
		    uint64_t now_us)
{
	const struct ph_batch *b;

	for (b = pool->batches; b; b = b->next)
		if (ph_batch_awaits_poll(pool, b, x, now_us))
			return true;
	return false;
}

/* Whether a task waits for the end of a run there that may not have begun. */
static bool late_stops_awaited(const struct ph_pool *pool,
			       const struct ph_executor *x)
{
	const struct ph_run *run;

	for (run = x->runs; run; run = run->next)
		if (ph_late_stop_awaited(pool, run))
			return true;
	return false;
}

/* Longest wait of a poll: until the progress of one of the executor's runs has
 * to be looked at. None if a task waits for what the poll shows. */
static uint64_t wait_us(const struct ph_pool *pool, const struct ph_executor *x,
			uint64_t now_us)
{
	uint64_t wait_us = pool->opt.lease_us /
			   (pool->short_polls ? SHORT_POLL_WAIT_DIVISOR
					      : POLL_WAIT_DIVISOR);
	const struct ph_run *run;

	if (awaited(pool, x, now_us))
		return 0;
	for (run = x->runs; run; run = run->next) {
		uint64_t check_us;

		if (run->refused_as_old ||
		    (run->acked_us && ph_late_stop_awaited(pool, run)))
			return 0;
		if (!ph_mechanism_on(pool->opt.off,
				     PH_MECHANISM_PROGRESS_CHECKS) ||
		    !run->batch || run->state == PH_RUN_STOPPING)
			continue;
		check_us = ph_progress_check_us(run, now_us);
		if (check_us < now_us + wait_us)
			wait_us = check_us - now_us;
	}
	return wait_us;
}

/* A poll after a failed one doesn't renew the lease: it might arrive and its
 * answer be lost, but the time at which the runs' leases expire has to be
 * certain. */
void ph_poll_send(struct ph_pool *pool, struct ph_executor *x, uint64_t now_us)
{
	struct ph_poll poll = { 0 };

	x->poll_call = ++pool->last_call;
	x->poll_sent_us = now_us;
	poll.call_id = x->poll_call;
	poll.executor = x->info.id;
	poll.addr = x->info.addr;
	poll.token = pool->token;
	poll.ends_seen = x->ends_seen;
	poll.timeout_us = x->poll_failures && !pool->short_polls
				  ? PH_CALL_TIMEOUT_MAX_US
				  : ph_pool_timeout_us(pool);
	if (x->polled && !x->poll_failures) {
		if (ph_lease_renewed(pool, x, now_us))
			poll.lease_until_ms = ph_lease_end(pool, x, now_us);
		poll.wait_us = wait_us(pool, x, now_us);
	}
	x->poll_waits = poll.wait_us;
	pool->counters.polls++;
	pool->opt.sink->poll(pool->opt.ctx, &poll);
}

/* A poll that does not wait is answered soon, and the next one follows: batches
 * that arrive one after the other don't delay each other's polls. One that
 * fails is repeated by its schedule. */
void ph_poll_for_resumed(struct ph_pool *pool, const struct ph_batch *b,
			 uint64_t now_us)
{
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (x->poll_call && x->poll_waits &&
		    ph_batch_awaits_poll(pool, b, x, now_us))
			ph_poll_send(pool, x, now_us);
}

static void record_poll(struct ph_pool *pool, bool lost)
{
	bool before = pool->short_polls;

	pool->lost_polls_permille =
		((POLL_WEIGHT - 1) * pool->lost_polls_permille +
		 (lost ? PERMILLE : 0)) /
		POLL_WEIGHT;
	pool->short_polls =
		pool->lost_polls_permille > SHORT_POLL_LOST_PERMILLE &&
		ph_mechanism_on(pool->opt.off, PH_MECHANISM_SHORT_POLLS);
	if (pool->short_polls != before)
		ph_event(PART, "event=polls_%s pool=%s lost_polls_permille=%u",
			 before ? "long" : "short", pool->opt.name,
			 pool->lost_polls_permille);
}

/* Logs why an executor's polls begin to fail. One that refuses the token is
 * reached, and most of the pool's executors refuse it: logged once a token. */
static void log_poll_failure(struct ph_pool *pool, const struct ph_executor *x,
			     enum ph_call_status status)
{
	if (status != PH_CALL_FENCED) {
		ph_event(
			PART,
			"event=executor_unreachable executor=%s call_status=%d",
			x->info.id, (int)status);
		return;
	}
	if (pool->refused_token == pool->token)
		return;
	pool->refused_token = pool->token;
	ph_event(PART, "event=token_refused pool=%s token=%llu executor=%s",
		 pool->name, (unsigned long long)pool->token, x->info.id);
}

static void poll_failed(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_poll_reply *reply, uint64_t now_us)
{
	uint64_t wait_us = 0;

	/* A single failure may be a lost message: retry at once. */
	if (x->poll_failures && ph_late_starts_awaited(pool, x))
		wait_us = AWAITED_POLL_RETRY_US;
	else if (x->poll_failures && late_stops_awaited(pool, x))
		wait_us = POLL_RETRY_US;
	else if (x->poll_failures)
		wait_us = (uint64_t)POLL_RETRY_US
			  << (x->poll_failures < 4 ? x->poll_failures - 1 : 3);
	if (reply->status == PH_CALL_FENCED)
		ph_pool_fenced_by(pool, x, now_us);
	if (!x->poll_failures) {
		x->unreachable_us = now_us;
		x->refuses = false;
		log_poll_failure(pool, x, reply->status);
	}
	x->refuses = x->refuses || reply->status == PH_CALL_REFUSED;
	x->poll_failures++;
	x->next_poll_us =
		now_us +
		(wait_us > POLL_RETRY_MAX_US ? POLL_RETRY_MAX_US : wait_us);
}

/* Resets what is known of an executor that has restarted. Its earlier runs have
 * ended and are absent from the same answer. A start command that was under way
 * may have reached the new incarnation, which shortens a lease end that was
 * computed for the earlier incarnation's clock. */
static void executor_restarted(struct ph_pool *pool, struct ph_executor *x,
			       const struct ph_poll_reply *reply,
			       uint64_t now_us)
{
	ph_event(PART, "event=executor_restarted executor=%s started_ms=%llu",
		 x->info.id, (unsigned long long)reply->started_ms);
	x->ends_seen = 0;
	x->lease_sent_ms = 0;
	x->lease_ms = reply->clock_ms +
		      PH_RESTARTED_LEASES * pool->opt.lease_us / PH_US_PER_MS;
	memset(&x->faults, 0, sizeof(x->faults));
	memset(&x->unanswered, 0, sizeof(x->unanswered));
	x->run_time_percent = PH_RUN_TIME_PERCENT;
	x->restarted_us = now_us;
	ph_late_starts_stop_again(pool, x, now_us);
}

/* The latest end of a lease that was asked for by an earlier owner, until its
 * token was refused, or in terms of an earlier incarnation's clock: that of a
 * start that was carried out late is as late as the executor grants. */
static void expect_longest_lease(const struct ph_pool *pool,
				 struct ph_executor *x)
{
	uint64_t end = x->clock_ms +
		       PH_RESTARTED_LEASES * pool->opt.lease_us / PH_US_PER_MS;

	if (end > x->lease_ms)
		x->lease_ms = end;
}

static void remember_orphaned_end(struct ph_pool *pool,
				  const struct ph_run_report *seen,
				  uint64_t now_us)
{
	struct ph_orphaned_end *s =
		&pool->orphaned_ends[pool->orphaned_end_next++ %
				     PH_ORPHANED_ENDS];

	ph_strcopy(s->job, sizeof(s->job), seen->job);
	s->index = seen->index;
	s->seen_us = now_us;
}

static void record_run_time(struct ph_executor *x, const struct ph_run *run,
			    uint64_t now_us)
{
	uint64_t estimate = run->batch->request->estimate_us;
	uint64_t percent;

	if (!estimate)
		return;
	percent = (now_us - run->created_us) * 100 / estimate;
	if (percent > 1000)
		percent = 1000;
	x->run_time_percent =
		(uint32_t)((7 * x->run_time_percent + percent) / 8);
}

static bool too_slow(const struct ph_run *run, uint64_t run_us)
{
	return run_us >
	       SLOW_FACTOR * run->batch->request->estimate_us + SLOW_EXTRA_US;
}

/* Stops a run that makes no or little progress, so that its task restarts on
 * another executor, if it can still end within the caller's timeout there. */
static void move_if_slow(struct ph_pool *pool, struct ph_executor *x,
			 struct ph_run *run, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - run->created_us;
	struct ph_batch_task *task;

	/* In an evacuated domain, runs are left to their end. */
	if (!run->batch || run->state != PH_RUN_RUNNING ||
	    ph_pool_evacuated(pool) ||
	    !ph_mechanism_on(pool->opt.off, PH_MECHANISM_MOVE_SLOW) ||
	    !ph_progress_worth_move(pool, run, now_us))
		return;
	task = &run->batch->tasks[run->index];
	if (task->moves >= MAX_MOVES ||
	    now_us + run->batch->request->estimate_us >
		    run->batch->arrived_us +
			    run->batch->request->caller_timeout_us)
		return;
	task->moves++;
	pool->counters.moved_runs++;
	ph_executor_failed(x, &x->faults, now_us);
	ph_event(PART,
		 "event=run_slow job=%s task=%u run=%llu executor=%s "
		 "progress_percent=%u elapsed_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 run->percent, (unsigned long long)elapsed_us);
	ph_run_stop(pool, x, run, now_us);
}

static void run_ended(struct ph_pool *pool, struct ph_executor *x,
		      const struct ph_run_report *seen, uint64_t now_us)
{
	struct ph_run *run = ph_run_find(x, seen->job, seen->index, seen->run);
	struct ph_batch *batch = run ? run->batch : NULL;

	if (!run || run->state == PH_RUN_ORPHANED) {
		if (seen->end == PH_END_DONE)
			remember_orphaned_end(pool, seen, now_us);
		if (run)
			ph_run_drop(pool, x, run);
		return;
	}
	switch (seen->end) {
	case PH_END_DONE:
		if (batch && !x->ends_delayed)
			record_run_time(x, run, now_us);
		if (batch && !x->ends_delayed &&
		    too_slow(run, now_us - run->created_us))
			ph_executor_failed(x, &x->faults, now_us);
		else
			ph_executor_succeeded(x);
		ph_run_drop(pool, x, run);
		if (batch)
			ph_batch_task_done(pool, batch, seen->index, now_us);
		break;
	case PH_END_FAILED:
		pool->counters.failed_runs++;
		ph_event(PART,
			 "event=run_failed job=%s task=%u run=%llu executor=%s",
			 seen->job, seen->index, (unsigned long long)seen->run,
			 x->info.id);
		ph_run_drop(pool, x, run);
		ph_executor_failed(x, &x->faults, now_us);
		if (batch)
			ph_batch_task_failed(pool, batch, seen->index, now_us);
		break;
	default:
		if (seen->end == PH_END_LEASE_EXPIRED)
			pool->counters.expired_runs++;
		ph_run_drop_requeue(pool, x, run);
		break;
	}
}

static void run_reported(struct ph_pool *pool, struct ph_executor *x,
			 const struct ph_run_report *seen, uint64_t now_us)
{
	struct ph_run *run = ph_run_find(x, seen->job, seen->index, seen->run);
	struct ph_capacity need = { 0 };

	if (!run) {
		need.cpu_milli =
			seen->cpu_milli ? seen->cpu_milli : ORPHANED_CPU_MILLI;
		run = ph_run_add(pool, x, seen->job, seen->index, seen->run,
				 &need, now_us);
		run->state = PH_RUN_ORPHANED;
		run->unclaimed = true;
		run->claim_until_us = now_us + ph_run_claim_us(x);
		ph_event(PART,
			 "event=run_found job=%s task=%u run=%llu executor=%s "
			 "token=%llu",
			 seen->job, seen->index, (unsigned long long)seen->run,
			 x->info.id, (unsigned long long)pool->token);
	}
	if (run->state == PH_RUN_STARTING) {
		run->state = PH_RUN_RUNNING;
		run->acked_us = now_us;
	}
	if (!run->begun && run->created_us < x->restarted_us)
		expect_longest_lease(pool, x);
	run->begun = true;
	run->forgotten = false;
	run->percent = seen->percent;
	move_if_slow(pool, x, run, now_us);
}

static bool reported_in(const struct ph_run *run,
			const struct ph_run_report *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (list[i].run == run->run && list[i].index == run->index &&
		    !strcmp(list[i].job, run->job))
			return true;
	return false;
}

bool ph_run_gone(const struct ph_executor *x, const struct ph_run *run,
		 const struct ph_poll_reply *reply)
{
	return (run->state == PH_RUN_ORPHANED ||
		(run->acked_us && run->acked_us < x->poll_sent_us)) &&
	       !reported_in(run, reply->running, reply->running_count);
}

static void log_lost(const struct ph_executor *x, const struct ph_run *run,
		     bool restarted, uint64_t now_us)
{
	ph_event(PART,
		 "event=run_lost job=%s task=%u run=%llu executor=%s cause=%s "
		 "state=%s age_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 restarted ? "restarted" : "not_reported",
		 ph_run_state_name(run->state),
		 (unsigned long long)(now_us - run->created_us));
}

/* Drops runs that are gone without an end: the executor restarted, their lease
 * expired, or they were stopped before they began. */
static void drop_absent(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_poll_reply *reply, bool restarted,
			uint64_t now_us)
{
	struct ph_run *run = x->runs;

	while (run) {
		struct ph_run *next = run->next;

		if (ph_run_gone(x, run, reply)) {
			log_lost(x, run, restarted, now_us);
			ph_late_start_remember(pool, x, run, now_us);
			ph_run_drop_requeue(pool, x, run);
		}
		run = next;
	}
}

void ph_pool_poll_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_poll_reply *reply)
{
	struct ph_executor *x;
	bool restarted;
	size_t i;

	for (x = pool->executors; x; x = x->next)
		if (x->poll_call == call_id)
			break;
	if (!x)
		return;
	if (!pool->owned) {
		ph_probe_done(pool, x, reply->status, now_us);
		return;
	}
	x->poll_call = 0;
	/* An unlisted executor has most likely left: it says nothing of the
	 * network. */
	if (x->listed)
		record_poll(pool, reply->status == PH_CALL_UNKNOWN);
	/* Without the executor's clock the end of its lease is unknown. */
	if (reply->status != PH_CALL_OK || !reply->clock_ms) {
		poll_failed(pool, x, reply, now_us);
		return;
	}
	if (x->poll_failures)
		ph_event(PART,
			 "event=executor_reachable executor=%s failures=%u",
			 x->info.id, x->poll_failures);
	x->ends_delayed = x->poll_failures;
	restarted = x->started_ms && reply->started_ms &&
		    reply->started_ms != x->started_ms;
	if (restarted && !x->poll_failures)
		x->unreachable_us = now_us;
	if (restarted)
		executor_restarted(pool, x, reply, now_us);
	if (x->poll_failures)
		ph_crashes_executor_back(pool->crashes,
					 ph_executor_hash(x->info.id),
					 x->unreachable_us, restarted);
	x->poll_failures = 0;
	if (reply->started_ms)
		x->started_ms = reply->started_ms;
	x->clock_ms = reply->clock_ms;
	x->clock_us = now_us;
	x->poll_ok_us = now_us;
	x->answered_sent_us = x->poll_sent_us;
	x->rejected_us = 0;
	x->other_owner = false;
	for (i = 0; i < reply->ended_count; i++) {
		if (reply->ended[i].end_number <= x->ends_seen)
			continue;
		x->ends_seen = reply->ended[i].end_number;
		run_ended(pool, x, &reply->ended[i], now_us);
	}
	for (i = 0; i < reply->running_count; i++)
		run_reported(pool, x, &reply->running[i], now_us);
	if (!x->polled)
		expect_longest_lease(pool, x);
	x->polled = true;
	pool->accepted = true;
	ph_late_starts_verify(pool, x, reply, now_us);
	if (restarted)
		ph_executor_lost(pool, x, PH_LOSS_RESTARTED, reply, now_us);
	drop_absent(pool, x, reply, restarted, now_us);
	ph_pool_claim_orphans(pool, now_us);
	pool->dirty = true;
	ph_poll_send(pool, x, now_us);
}
