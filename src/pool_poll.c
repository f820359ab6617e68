/* Looks at executors: what has ended, what runs and how fast. */

#include <string.h>

#include "log.h"
#include "pool_impl.h"

#define PART "look"

/* A long poll ends well before the lease that it renewed, so that a lost one
 * can be repeated in time. */
#define LOOK_WAIT_DIVISOR 4U
/* Where looks get lost a long one hides for long what has ended. */
#define LOOK_WAIT_LOST_DIVISOR 8U
/* From this share on; a calm link loses none. */
#define LOST_PERMILLE 30U
/* Weight of one look in the smoothed share. */
#define LOST_WEIGHT 32U
/* First retry of a look that failed; doubles up to the longest. */
#define LOOK_RETRY_US 50000U
#define LOOK_RETRY_MAX_US 400000U
/* Room that an unclaimed run of unknown size is taken to use. */
#define STRAY_CPU_MILLI 1000U
/* A run that takes this many times its declared time, and longer than a look's
 * way, is slow: declared times are off by half, executors by a third. */
#define SLOW_FACTOR 3U
#define SLOW_EXTRA_US 50000U
/* A task is taken from a slow executor once; the next may be no better. */
#define MOVES_MAX 1U
/* Leases, at most, that an executor grants to an order which names none that it
 * can make sense of. */
#define REBORN_LEASES 2U
#define PERCENT 100U
#define PERMILLE 1000U

/* A look that repeats a failed one renews nothing: it may arrive without an
 * answer, and what runs there has to lapse at a time that is known. */
void ph_poll_send(struct ph_pool *pool, struct ph_executor *x, uint64_t now_us)
{
	struct ph_poll poll = { 0 };

	x->look_call = ++pool->last_call;
	x->look_sent_us = now_us;
	poll.call_id = x->look_call;
	poll.executor = x->info.id;
	poll.addr = x->info.addr;
	poll.token = pool->token;
	poll.ends_seen = x->ends_seen;
	poll.timeout_us = x->look_failures && !pool->short_looks
				  ? PH_ANSWER_MAX_US
				  : ph_pool_timeout_us(pool);
	if (x->known && !x->look_failures) {
		poll.lease_until_ms = ph_lease_end(pool, x, now_us);
		poll.wait_us = pool->opt.lease_us /
			       (pool->short_looks ? LOOK_WAIT_LOST_DIVISOR
						  : LOOK_WAIT_DIVISOR);
	}
	pool->counters.looks++;
	pool->opt.sink->poll(pool->opt.ctx, &poll);
}

static void learn_lost(struct ph_pool *pool, bool lost)
{
	bool before = pool->short_looks;

	pool->lost_permille = ((LOST_WEIGHT - 1) * pool->lost_permille +
			       (lost ? PERMILLE : 0)) /
			      LOST_WEIGHT;
	pool->short_looks = pool->lost_permille > LOST_PERMILLE;
	if (pool->short_looks != before)
		ph_event(PART, "event=looks_%s pool=%s lost_permille=%u",
			 before ? "long" : "short", pool->opt.domain,
			 pool->lost_permille);
}

static void look_failed(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_poll_reply *reply, uint64_t now_us)
{
	uint64_t wait_us = 0;

	/* The first one may just be lost: it is repeated at once. */
	if (x->look_failures)
		wait_us = (uint64_t)LOOK_RETRY_US
			  << (x->look_failures < 4 ? x->look_failures - 1 : 3);
	if (reply->status == PH_CALL_FENCED)
		ph_pool_fenced_by(pool, x);
	if (!x->look_failures)
		ph_event(PART,
			 "event=executor_unreachable executor=%s status=%d",
			 x->info.id, (int)reply->status);
	x->look_failures++;
	x->look_again_us =
		now_us +
		(wait_us > LOOK_RETRY_MAX_US ? LOOK_RETRY_MAX_US : wait_us);
}

/* What ran in the life before is gone, as the rest of the look shows. An order
 * that was under way may have reached the new life, which shortens a lease that
 * was reckoned by the clock of the old one. */
static void reborn(struct ph_pool *pool, struct ph_executor *x,
		   const struct ph_poll_reply *reply)
{
	ph_event(PART, "event=executor_reborn executor=%s born_ms=%llu",
		 x->info.id, (unsigned long long)reply->started_ms);
	x->ends_seen = 0;
	x->lease_ms = reply->clock_ms +
		      REBORN_LEASES * pool->opt.lease_us / PH_US_PER_MS;
	memset(&x->own, 0, sizeof(x->own));
	memset(&x->lost, 0, sizeof(x->lost));
}

static void remember_stray_end(struct ph_pool *pool,
			       const struct ph_run_report *seen,
			       uint64_t now_us)
{
	struct ph_orphaned_end *s =
		&pool->strays[pool->stray_next++ % PH_ORPHANED_ENDS];

	ph_strcopy(s->job, sizeof(s->job), seen->job);
	s->index = seen->index;
	s->seen_us = now_us;
}

static void learn_pace(struct ph_executor *x, const struct ph_run *run,
		       uint64_t now_us)
{
	uint64_t estimate = run->batch->work->estimate_us;
	uint64_t percent;

	if (!estimate)
		return;
	percent = (now_us - run->ordered_us) * 100 / estimate;
	if (percent > 1000)
		percent = 1000;
	x->pace_percent = (uint32_t)((7 * x->pace_percent + percent) / 8);
}

static bool slow(const struct ph_run *run, uint64_t run_us)
{
	return run_us >
	       SLOW_FACTOR * run->batch->work->estimate_us + SLOW_EXTRA_US;
}

/* Takes a run that stands still, or crawls, from its executor while it can
 * still meet its aim elsewhere. */
static void check_progress(struct ph_pool *pool, struct ph_executor *x,
			   struct ph_run *run, uint64_t now_us)
{
	uint64_t so_far_us = now_us - run->ordered_us;
	struct ph_slot *slot;

	if (!run->batch || run->state != PH_RUN_RUNNING ||
	    !slow(run, so_far_us))
		return;
	/* Most of it is done: it ends sooner than another would. */
	if (run->percent > PERCENT / 2)
		return;
	slot = &run->batch->tasks[run->index];
	if (slot->moves >= MOVES_MAX ||
	    now_us + run->batch->work->estimate_us >
		    run->batch->arrived_us +
			    run->batch->work->caller_timeout_us)
		return;
	slot->moves++;
	pool->counters.moved_runs++;
	ph_executor_failed(x, &x->own, now_us);
	ph_event(PART,
		 "event=run_slow job=%s task=%u run=%llu executor=%s "
		 "percent=%u so_far_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 run->percent, (unsigned long long)so_far_us);
	ph_run_stop(pool, x, run, now_us);
}

static void run_ended(struct ph_pool *pool, struct ph_executor *x,
		      const struct ph_run_report *seen, uint64_t now_us)
{
	struct ph_run *run = ph_run_find(x, seen->job, seen->index, seen->run);
	struct ph_batch *batch = run ? run->batch : NULL;

	if (!run || run->state == PH_RUN_ORPHANED) {
		if (seen->end == PH_END_DONE)
			remember_stray_end(pool, seen, now_us);
		if (run)
			ph_run_drop(pool, x, run);
		return;
	}
	switch (seen->end) {
	case PH_END_DONE:
		if (batch && !x->blind)
			learn_pace(x, run, now_us);
		if (batch && !x->blind && slow(run, now_us - run->ordered_us))
			ph_executor_failed(x, &x->own, now_us);
		else
			ph_executor_worked(x);
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
		ph_executor_failed(x, &x->own, now_us);
		if (batch)
			ph_batch_task_failed(pool, batch, seen->index, now_us);
		break;
	default:
		if (seen->end == PH_END_LEASE_EXPIRED)
			pool->counters.expired_runs++;
		ph_run_lost(pool, x, run);
		break;
	}
}

static void run_seen(struct ph_pool *pool, struct ph_executor *x,
		     const struct ph_run_report *seen, uint64_t now_us)
{
	struct ph_run *run = ph_run_find(x, seen->job, seen->index, seen->run);
	struct ph_capacity need = { 0 };

	if (!run) {
		need.cpu_milli =
			seen->cpu_milli ? seen->cpu_milli : STRAY_CPU_MILLI;
		run = ph_run_add(pool, x, seen->job, seen->index, seen->run,
				 &need, now_us);
		run->state = PH_RUN_ORPHANED;
	}
	if (run->state == PH_RUN_ORDERED) {
		run->state = PH_RUN_RUNNING;
		run->acked_us = now_us;
	}
	run->percent = seen->percent;
	check_progress(pool, x, run, now_us);
}

static bool listed_in(const struct ph_run *run,
		      const struct ph_run_report *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (list[i].run == run->run && list[i].index == run->index &&
		    !strcmp(list[i].job, run->job))
			return true;
	return false;
}

/* Runs that were answered before the look was sent and that it doesn't show
 * are gone: lapsed, or stopped before they came. */
static void drop_absent(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_poll_reply *reply)
{
	struct ph_run *run = x->runs;

	while (run) {
		struct ph_run *next = run->next;
		bool stray = run->state == PH_RUN_ORPHANED;

		if ((stray ||
		     (run->acked_us && run->acked_us < x->look_sent_us)) &&
		    !listed_in(run, reply->running, reply->running_count))
			ph_run_lost(pool, x, run);
		run = next;
	}
}

void ph_pool_poll_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_poll_reply *reply)
{
	struct ph_executor *x;
	size_t i;

	for (x = pool->executors; x; x = x->next)
		if (x->look_call == call_id)
			break;
	if (!x || !pool->owned)
		return;
	x->look_call = 0;
	learn_lost(pool, reply->status == PH_CALL_UNKNOWN);
	if (reply->status != PH_CALL_OK) {
		look_failed(pool, x, reply, now_us);
		return;
	}
	if (x->look_failures)
		ph_event(PART, "event=executor_reached executor=%s failures=%u",
			 x->info.id, x->look_failures);
	x->blind = x->look_failures;
	x->look_failures = 0;
	if (reply->started_ms && reply->started_ms != x->started_ms) {
		if (x->started_ms)
			reborn(pool, x, reply);
		x->started_ms = reply->started_ms;
	}
	x->clock_ms = reply->clock_ms;
	x->clock_us = now_us;
	x->look_ok_us = now_us;
	x->known = true;
	for (i = 0; i < reply->ended_count; i++) {
		if (reply->ended[i].end_number <= x->ends_seen)
			continue;
		x->ends_seen = reply->ended[i].end_number;
		run_ended(pool, x, &reply->ended[i], now_us);
	}
	for (i = 0; i < reply->running_count; i++)
		run_seen(pool, x, &reply->running[i], now_us);
	drop_absent(pool, x, reply);
	ph_pool_claim_orphans(pool, now_us);
	pool->dirty = true;
	ph_poll_send(pool, x, now_us);
}
