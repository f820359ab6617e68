#include <string.h>

#include "ident.h"
#include "log.h"
#include "pool_impl.h"

#define PART "lease"

/* A long poll ends well before the lease that it renewed, so that a lost one
 * can be repeated in time. */
#define LOOK_WAIT_DIVISOR 4U
/* First retry of a look that failed; doubles up to the longest. */
#define LOOK_RETRY_US 50000U
#define LOOK_RETRY_MAX_US 400000U
/* Repetition of a stop that was not answered. */
#define STOP_RETRY_US 200000U
/* Time that the batches of a dead owner have to be submitted again before
 * their runs are stopped: two heartbeats and a round trip. */
#define ADOPT_US 350000U
/* The platform's bound: an executor's clock may be this much slow. */
#define CLOCK_SLOW_PERCENT 2U
#define LAPSE_MARGIN_US 20000U
/* Avoidance after consecutive failures; doubles up to the longest. */
#define AVOID_US 250000U
#define AVOID_MAX_US 4000000U
#define AVOID_SHIFT_MAX 4U
/* Room that an unclaimed run of unknown size is taken to use. */
#define STRAY_CPU_MILLI 1000U
#define OLD_RUN_STEP 16U
/* A run that takes this many times its declared time, and longer than a look's
 * way, is slow: declared times are off by half, executors by a third. */
#define SLOW_FACTOR 3U
#define SLOW_EXTRA_US 50000U
/* A task is taken from a slow executor once; the next may be no better. */
#define MOVES_MAX 1U
#define PERCENT 100U

struct ph_executor *ph_executor_find(struct ph_pool *pool, const char *id)
{
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (!strcmp(x->info.id, id))
			return x;
	return NULL;
}

void ph_executor_failed(struct ph_executor *x, uint64_t now_us)
{
	uint32_t shift;

	x->failures++;
	if (x->failures < 2)
		return;
	shift = x->failures - 2;
	if (shift > AVOID_SHIFT_MAX)
		shift = AVOID_SHIFT_MAX;
	x->avoid_us = now_us + ((uint64_t)AVOID_US << shift);
	if (x->avoid_us > now_us + AVOID_MAX_US)
		x->avoid_us = now_us + AVOID_MAX_US;
	if (x->failures == 2)
		ph_event(PART, "event=executor_avoided executor=%s failures=%u",
			 x->info.id, x->failures);
}

void ph_executor_worked(struct ph_executor *x)
{
	if (x->failures >= 2)
		ph_event(PART, "event=executor_back executor=%s", x->info.id);
	x->failures = 0;
	x->avoid_us = 0;
}

/* ## Runs */

static struct ph_run *run_find(struct ph_executor *x, const char *job,
			       uint32_t index, uint64_t run)
{
	struct ph_run *r;

	for (r = x->runs; r; r = r->next)
		if (r->run == run && r->index == index && !strcmp(r->job, job))
			return r;
	return NULL;
}

void ph_run_drop(struct ph_pool *pool, struct ph_executor *x,
		 struct ph_run *run)
{
	struct ph_run **at = &x->runs;

	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	ph_capacity_sub(&x->used, &run->need);
	pool->mem->free(run);
	pool->dirty = true;
}

/* The run has ended or never was: its task waits again. */
static void run_lost(struct ph_pool *pool, struct ph_executor *x,
		     struct ph_run *run)
{
	struct ph_batch *batch = run->batch;
	uint32_t index = run->index;

	ph_run_drop(pool, x, run);
	if (batch)
		ph_batch_task_back(pool, batch, index);
}

void ph_executor_free(struct ph_pool *pool, struct ph_executor *x)
{
	while (x->runs)
		ph_run_drop(pool, x, x->runs);
	pool->mem->free(x);
}

/* ## Orders */

static struct ph_order_call *call_new(struct ph_pool *pool,
				      const struct ph_executor *x,
				      const struct ph_run *run, bool stop,
				      uint64_t now_us)
{
	struct ph_order_call *c = pool->mem->calloc(1, sizeof(*c));

	c->id = ++pool->last_call;
	c->stop = stop;
	ph_strcopy(c->executor, sizeof(c->executor), x->info.id);
	ph_strcopy(c->job, sizeof(c->job), run->job);
	c->index = run->index;
	c->run = run->run;
	c->sent_us = now_us;
	c->next = pool->calls;
	pool->calls = c;
	return c;
}

/* Takes a call out of the list; the caller frees it. */
static struct ph_order_call *call_take(struct ph_pool *pool, uint64_t id)
{
	struct ph_order_call **at = &pool->calls;
	struct ph_order_call *c;

	while (*at && (*at)->id != id)
		at = &(*at)->next;
	c = *at;
	if (c)
		*at = c->next;
	return c;
}

/* Lease end to send now, on the executor's clock. */
static uint64_t lease_end(struct ph_pool *pool, struct ph_executor *x,
			  uint64_t now_us)
{
	uint64_t end;

	if (!x->clock_ms)
		return 0;
	end = x->clock_ms +
	      (now_us - x->clock_us + pool->opt.lease_us) / PH_US_PER_MS;
	if (end > x->lease_ms)
		x->lease_ms = end;
	return end;
}

/* When every lease that was ever sent has run out, on this clock. */
static uint64_t lapse_us(const struct ph_executor *x)
{
	uint64_t left_us;

	if (!x->clock_ms)
		return 0;
	if (x->lease_ms <= x->clock_ms)
		return x->clock_us;
	left_us = (x->lease_ms - x->clock_ms) * PH_US_PER_MS;
	return x->clock_us + left_us + left_us * CLOCK_SLOW_PERCENT / 100 +
	       LAPSE_MARGIN_US;
}

static void order_fill(struct ph_pool *pool, const struct ph_executor *x,
		       const struct ph_run *run, struct ph_order *order)
{
	order->executor = x->info.id;
	order->addr = x->info.addr;
	order->job = run->job;
	order->index = run->index;
	order->run = run->run;
	order->token = pool->token;
}

void ph_run_start(struct ph_pool *pool, struct ph_executor *x,
		  struct ph_batch *batch, uint32_t index, uint64_t now_us)
{
	struct ph_slot *task = &batch->tasks[index];
	struct ph_run *run = pool->mem->calloc(1, sizeof(*run));
	struct ph_order order = { 0 };

	ph_strcopy(run->job, sizeof(run->job), batch->work->job);
	run->index = index;
	run->run = task->next_run++;
	run->need = batch->work->need;
	run->state = PH_RUN_ORDERED;
	run->batch = batch;
	run->ordered_us = now_us;
	run->next = x->runs;
	x->runs = run;
	ph_capacity_add(&x->used, &run->need);
	task->run = run;
	task->state = PH_SLOT_PLACED;
	batch->waiting--;
	batch->work->where[index] = PH_WHERE_NOWHERE;
	batch->started = true;
	pool->counters.starts++;
	order_fill(pool, x, run, &order);
	order.call_id = call_new(pool, x, run, false, now_us)->id;
	order.lease_until_ms = lease_end(pool, x, now_us);
	order.spec = batch->work->spec;
	order.spec_len = batch->work->spec_len;
	pool->opt.sink->start(pool->opt.ctx, &order);
}

static void run_stop(struct ph_pool *pool, struct ph_executor *x,
		     struct ph_run *run, uint64_t now_us)
{
	struct ph_order order = { 0 };

	run->state = PH_RUN_STOPPING;
	run->acked_us = 0;
	run->stop_sent_us = now_us;
	run->stop_pending = true;
	order_fill(pool, x, run, &order);
	order.call_id = call_new(pool, x, run, true, now_us)->id;
	pool->opt.sink->stop(pool->opt.ctx, &order);
}

void ph_run_abandon(struct ph_pool *pool, struct ph_run *run, uint64_t now_us)
{
	struct ph_executor *x;
	struct ph_run *r;

	run->batch = NULL;
	for (x = pool->executors; x; x = x->next)
		for (r = x->runs; r; r = r->next)
			if (r == run && r->state != PH_RUN_STOPPING)
				run_stop(pool, x, r, now_us);
}

/* An executor that is no longer this pool's may have a new owner by right. */
static void fenced_by(struct ph_pool *pool, const struct ph_executor *x)
{
	if (x->listed)
		pool->fenced = true;
}

static void start_refused(struct ph_pool *pool, struct ph_executor *x,
			  struct ph_run *run, enum ph_order_status status,
			  uint64_t now_us)
{
	switch (status) {
	case PH_ORDER_NO_ROOM:
		pool->counters.no_room++;
		x->look_again_us = now_us;
		break;
	case PH_ORDER_OLD_RUN:
		if (run->batch)
			run->batch->tasks[run->index].next_run += OLD_RUN_STEP;
		break;
	case PH_ORDER_FENCED:
		fenced_by(pool, x);
		break;
	case PH_ORDER_OTHER_LIFE:
		x->look_again_us = now_us;
		x->known = false;
		break;
	default:
		break;
	}
	if (status != PH_ORDER_OLD_RUN && status != PH_ORDER_LATE)
		ph_executor_failed(x, now_us);
	ph_event(PART,
		 "event=start_refused job=%s task=%u run=%llu executor=%s "
		 "status=%d",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 (int)status);
	run_lost(pool, x, run);
}

void ph_pool_start_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
			const struct ph_order_reply *reply)
{
	struct ph_order_call *c = call_take(pool, call_id);
	struct ph_executor *x;
	struct ph_run *run;

	if (!c)
		return;
	x = ph_executor_find(pool, c->executor);
	run = x ? run_find(x, c->job, c->index, c->run) : NULL;
	pool->mem->free(c);
	if (!run || run->state == PH_RUN_STRAY)
		return;
	switch (reply->status) {
	case PH_ORDER_OK:
		if (run->state == PH_RUN_ORDERED) {
			run->state = PH_RUN_RUNNING;
			run->acked_us = now_us;
		}
		return;
	case PH_ORDER_UNKNOWN:
		/* It may still start: the stop makes sure that it doesn't. */
		ph_executor_failed(x, now_us);
		ph_event(PART,
			 "event=start_unanswered job=%s task=%u run=%llu "
			 "executor=%s",
			 run->job, run->index, (unsigned long long)run->run,
			 x->info.id);
		if (run->state == PH_RUN_ORDERED)
			run_stop(pool, x, run, now_us);
		return;
	default:
		start_refused(pool, x, run, reply->status, now_us);
		return;
	}
}

void ph_pool_stop_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_order_reply *reply)
{
	struct ph_order_call *c = call_take(pool, call_id);
	struct ph_executor *x;
	struct ph_run *run;

	if (!c)
		return;
	x = ph_executor_find(pool, c->executor);
	run = x ? run_find(x, c->job, c->index, c->run) : NULL;
	pool->mem->free(c);
	if (!run)
		return;
	run->stop_pending = false;
	if (reply->status == PH_ORDER_OK) {
		run->acked_us = now_us;
		x->look_again_us = now_us;
	} else if (reply->status == PH_ORDER_FENCED) {
		fenced_by(pool, x);
	}
}

/* ## Looks */

/* A look that repeats a failed one renews nothing: it may arrive without an
 * answer, and what runs there has to lapse at a time that is known. */
static void look_send(struct ph_pool *pool, struct ph_executor *x,
		      uint64_t now_us)
{
	struct ph_look look = { 0 };

	x->look_call = ++pool->last_call;
	x->look_sent_us = now_us;
	look.call_id = x->look_call;
	look.executor = x->info.id;
	look.addr = x->info.addr;
	look.token = pool->token;
	look.ends_seen = x->ends_seen;
	if (x->known && !x->look_failures) {
		look.lease_until_ms = lease_end(pool, x, now_us);
		look.wait_us = pool->opt.lease_us / LOOK_WAIT_DIVISOR;
	}
	pool->counters.looks++;
	pool->opt.sink->look(pool->opt.ctx, &look);
}

static void look_failed(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_look_reply *reply, uint64_t now_us)
{
	uint64_t wait_us = (uint64_t)LOOK_RETRY_US
			   << (x->look_failures < 3 ? x->look_failures : 3);

	if (reply->status == PH_ORDER_FENCED)
		fenced_by(pool, x);
	if (!x->look_failures)
		ph_event(PART,
			 "event=executor_unreachable executor=%s status=%d",
			 x->info.id, (int)reply->status);
	x->look_failures++;
	x->look_again_us =
		now_us +
		(wait_us > LOOK_RETRY_MAX_US ? LOOK_RETRY_MAX_US : wait_us);
}

static void reborn(struct ph_pool *pool, struct ph_executor *x,
		   uint64_t born_ms)
{
	ph_event(PART, "event=executor_reborn executor=%s born_ms=%llu",
		 x->info.id, (unsigned long long)born_ms);
	while (x->runs)
		run_lost(pool, x, x->runs);
	x->born_ms = born_ms;
	x->ends_seen = 0;
	x->clock_ms = 0;
	x->lease_ms = 0;
	x->failures = 0;
	x->avoid_us = 0;
}

static void remember_stray_end(struct ph_pool *pool,
			       const struct ph_seen_run *seen, uint64_t now_us)
{
	struct ph_stray_end *s =
		&pool->strays[pool->stray_next++ % PH_STRAY_ENDS];

	ph_strcopy(s->job, sizeof(s->job), seen->job);
	s->index = seen->index;
	s->seen_us = now_us;
}

static void learn_pace(struct ph_executor *x, const struct ph_run *run,
		       uint64_t now_us)
{
	uint64_t estimate = ph_batch_estimate(run->batch);
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
	       SLOW_FACTOR * ph_batch_estimate(run->batch) + SLOW_EXTRA_US;
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
	    now_us + ph_batch_estimate(run->batch) >
		    run->batch->arrived_us + run->batch->work->give_up_us)
		return;
	slot->moves++;
	pool->counters.moved_runs++;
	ph_executor_failed(x, now_us);
	ph_event(PART,
		 "event=run_slow job=%s task=%u run=%llu executor=%s "
		 "percent=%u so_far_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 run->percent, (unsigned long long)so_far_us);
	run_stop(pool, x, run, now_us);
}

static void run_ended(struct ph_pool *pool, struct ph_executor *x,
		      const struct ph_seen_run *seen, uint64_t now_us)
{
	struct ph_run *run = run_find(x, seen->job, seen->index, seen->run);
	struct ph_batch *batch = run ? run->batch : NULL;

	if (!run || run->state == PH_RUN_STRAY) {
		if (seen->end == PH_END_DONE)
			remember_stray_end(pool, seen, now_us);
		if (run)
			ph_run_drop(pool, x, run);
		return;
	}
	switch (seen->end) {
	case PH_END_DONE:
		if (batch)
			learn_pace(x, run, now_us);
		if (batch && slow(run, now_us - run->ordered_us))
			ph_executor_failed(x, now_us);
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
		ph_executor_failed(x, now_us);
		if (batch)
			ph_batch_task_failed(pool, batch, seen->index, now_us);
		break;
	default:
		if (seen->end == PH_END_LAPSED)
			pool->counters.lapsed_runs++;
		run_lost(pool, x, run);
		break;
	}
}

static void run_seen(struct ph_pool *pool, struct ph_executor *x,
		     const struct ph_seen_run *seen, uint64_t now_us)
{
	struct ph_run *run = run_find(x, seen->job, seen->index, seen->run);

	if (!run) {
		run = pool->mem->calloc(1, sizeof(*run));
		ph_strcopy(run->job, sizeof(run->job), seen->job);
		run->index = seen->index;
		run->run = seen->run;
		run->state = PH_RUN_STRAY;
		run->need.cpu_milli =
			seen->cpu_milli ? seen->cpu_milli : STRAY_CPU_MILLI;
		run->ordered_us = now_us;
		run->next = x->runs;
		x->runs = run;
		ph_capacity_add(&x->used, &run->need);
	}
	if (run->state == PH_RUN_ORDERED) {
		run->state = PH_RUN_RUNNING;
		run->acked_us = now_us;
	}
	if (seen->percent != run->percent) {
		run->percent = seen->percent;
	}
	check_progress(pool, x, run, now_us);
}

static bool listed_in(const struct ph_run *run, const struct ph_seen_run *list,
		      size_t count)
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
			const struct ph_look_reply *reply)
{
	struct ph_run *run = x->runs;

	while (run) {
		struct ph_run *next = run->next;
		bool stray = run->state == PH_RUN_STRAY;

		if ((stray ||
		     (run->acked_us && run->acked_us < x->look_sent_us)) &&
		    !listed_in(run, reply->running, reply->running_count))
			run_lost(pool, x, run);
		run = next;
	}
}

void ph_pool_look_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_look_reply *reply)
{
	struct ph_executor *x;
	size_t i;

	for (x = pool->executors; x; x = x->next)
		if (x->look_call == call_id)
			break;
	if (!x || !pool->owned)
		return;
	x->look_call = 0;
	if (reply->status != PH_ORDER_OK) {
		look_failed(pool, x, reply, now_us);
		return;
	}
	if (x->look_failures)
		ph_event(PART, "event=executor_reached executor=%s failures=%u",
			 x->info.id, x->look_failures);
	x->look_failures = 0;
	if (reply->born_ms && reply->born_ms != x->born_ms) {
		if (x->born_ms)
			reborn(pool, x, reply->born_ms);
		x->born_ms = reply->born_ms;
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
	ph_pool_adopt(pool, now_us);
	pool->dirty = true;
	look_send(pool, x, now_us);
}

/* ## Time */

/* Everything on an executor that can't be renewed ends with its lease. */
static void lapse_runs(struct ph_pool *pool, struct ph_executor *x,
		       uint64_t now_us)
{
	if (!x->runs || !x->look_failures || now_us < lapse_us(x))
		return;
	ph_event(PART, "event=lease_lapsed executor=%s", x->info.id);
	while (x->runs) {
		pool->counters.lapsed_runs++;
		run_lost(pool, x, x->runs);
	}
}

static void runs_tick(struct ph_pool *pool, struct ph_executor *x,
		      uint64_t now_us)
{
	struct ph_run *run;

	for (run = x->runs; run; run = run->next) {
		if (run->state == PH_RUN_STRAY &&
		    now_us > run->ordered_us + ADOPT_US) {
			pool->counters.strays_stopped++;
			run_stop(pool, x, run, now_us);
		} else if (run->state == PH_RUN_STOPPING && !run->acked_us &&
			   !run->stop_pending &&
			   now_us > run->stop_sent_us + STOP_RETRY_US) {
			run_stop(pool, x, run, now_us);
		}
	}
}

void ph_lease_tick(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		lapse_runs(pool, x, now_us);
		if (!x->look_call && now_us >= x->look_again_us)
			look_send(pool, x, now_us);
		runs_tick(pool, x, now_us);
	}
}
