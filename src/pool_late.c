/* Starts without an answer whose run the executor has been told to stop. The
 * incarnation that acknowledged the stop refuses them, but the next one, under
 * the same id, has forgotten the stop and would carry them out. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "pool_impl.h"

#define PART "lease"

bool ph_start_settled(const struct ph_run *run, uint64_t now_us)
{
	return run->begun || run->refused_as_old ||
	       now_us >= run->created_us + PH_LATE_START_US;
}

void ph_late_start_remember(struct ph_pool *pool, struct ph_executor *x,
			    const struct ph_run *run, uint64_t now_us)
{
	struct ph_late_start *s;

	if (ph_start_settled(run, now_us))
		return;
	s = pool->mem->calloc(1, sizeof(*s));
	ph_strcopy(s->job, sizeof(s->job), run->job);
	s->job_hash = ph_hash_str(run->job);
	s->index = run->index;
	s->run = run->run;
	s->sent_us = run->created_us;
	s->next = x->late_starts;
	x->late_starts = s;
}

void ph_late_starts_forget(struct ph_pool *pool, struct ph_executor *x,
			   uint64_t now_us)
{
	struct ph_late_start **at = &x->late_starts;

	while (*at) {
		struct ph_late_start *s = *at;

		if (now_us < s->sent_us + PH_LATE_START_US) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		pool->mem->free(s);
	}
}

/* Adds a run without capacity and task that is to be stopped. */
static void add_to_stop(struct ph_pool *pool, struct ph_executor *x,
			const struct ph_late_start *s, uint64_t now_us)
{
	const struct ph_capacity nothing = { 0 };
	struct ph_run *run;

	if (ph_run_find(x, s->job, s->index, s->run))
		return;
	run = ph_run_add(pool, x, s->job, s->index, s->run, &nothing,
			 s->sent_us);
	run->state = PH_RUN_STOPPING;
	run->first_stop_us = now_us;
	/* Nothing of it is lost if the executor gets lost. */
	run->forgotten = true;
	ph_event(PART,
		 "event=start_may_outlive_restart job=%s task=%u run=%llu "
		 "executor=%s sent_before_us=%llu",
		 s->job, s->index, (unsigned long long)s->run, x->info.id,
		 (unsigned long long)(now_us - s->sent_us));
}

void ph_late_starts_stop_again(struct ph_pool *pool, struct ph_executor *x,
			       uint64_t now_us)
{
	struct ph_run *run;

	while (x->late_starts) {
		struct ph_late_start *s = x->late_starts;

		x->late_starts = s->next;
		add_to_stop(pool, x, s, now_us);
		pool->mem->free(s);
	}
	for (run = x->runs; run; run = run->next) {
		if (run->state != PH_RUN_STOPPING || run->begun)
			continue;
		run->acked_us = 0;
		run->stop_call = 0;
		run->forgotten = true;
	}
}

/* Whether a batch waits for the task of a start. */
static bool task_left(const struct ph_pool *pool, const struct ph_late_start *s)
{
	const struct ph_batch *b;

	for (b = pool->batches; b; b = b->next)
		if (b->job_hash == s->job_hash &&
		    s->index < b->request->count &&
		    b->tasks[s->index].state != PH_BATCH_TASK_DONE)
			return true;
	return false;
}

bool ph_late_start_of_task(const struct ph_pool *pool, const struct ph_batch *b,
			   uint32_t index)
{
	const struct ph_executor *x;
	const struct ph_late_start *s;

	for (x = pool->executors; x; x = x->next)
		for (s = x->late_starts; s; s = s->next)
			if (s->job_hash == b->job_hash && s->index == index)
				return true;
	return false;
}

bool ph_late_starts_awaited(const struct ph_pool *pool,
			    const struct ph_executor *x)
{
	const struct ph_late_start *s;

	for (s = x->late_starts; s; s = s->next)
		if (task_left(pool, s))
			return true;
	return false;
}

/* Stops the runs of a task for which a batch waits, as it may start on an
 * executor that is away. */
static void stop_elsewhere(struct ph_pool *pool, const struct ph_late_start *s,
			   const struct ph_executor *away, uint64_t now_us)
{
	struct ph_executor *x;
	struct ph_run *run;

	for (x = pool->executors; x; x = x->next)
		for (run = x->runs; run; run = run->next) {
			if (!run->batch || run->index != s->index ||
			    run->state == PH_RUN_STOPPING ||
			    strcmp(run->job, s->job) != 0)
				continue;
			ph_event(PART,
				 "event=run_stopped_for_late_start job=%s "
				 "task=%u run=%llu executor=%s away=%s "
				 "refuses=%d silent_for_us=%llu",
				 run->job, run->index,
				 (unsigned long long)run->run, x->info.id,
				 away->info.id, away->refuses,
				 (unsigned long long)(now_us -
						      away->poll_ok_us));
			pool->counters.stopped_for_late_starts++;
			ph_run_stop(pool, x, run, now_us);
		}
}

void ph_late_starts_stop_elsewhere(struct ph_pool *pool, struct ph_executor *x,
				   uint64_t now_us)
{
	bool refuses = x->poll_failures && x->refuses;
	bool silent = now_us >= x->poll_ok_us + pool->opt.lease_us;
	struct ph_late_start **at = &x->late_starts;

	if (!refuses && !silent)
		return;
	while (*at) {
		struct ph_late_start *s = *at;

		if (!task_left(pool, s)) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		stop_elsewhere(pool, s, x, now_us);
		add_to_stop(pool, x, s, now_us);
		pool->mem->free(s);
	}
}
