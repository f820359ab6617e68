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

/* Adds a late start to a list. */
static struct ph_late_start *late_start_add(struct ph_pool *pool,
					    struct ph_late_start **list,
					    const char *job, uint32_t index,
					    uint32_t executor, uint64_t run)
{
	struct ph_late_start *s = pool->mem->calloc(1, sizeof(*s));

	ph_strcopy(s->job, sizeof(s->job), job);
	s->job_hash = ph_hash_str(job);
	s->index = index;
	s->executor = executor;
	s->run = run;
	s->next = *list;
	*list = s;
	return s;
}

void ph_late_start_remember(struct ph_pool *pool, struct ph_executor *x,
			    const struct ph_run *run, uint64_t now_us)
{
	struct ph_late_start *s;

	if (ph_start_settled(run, now_us))
		return;
	s = late_start_add(pool, &x->late_starts, run->job, run->index,
			   ph_executor_hash(x->info.id), run->run);
	s->sent_us = run->created_us;
	s->taken_over = run->taken_over;
}

static void forget(struct ph_pool *pool, struct ph_late_start **at,
		   uint64_t now_us)
{
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

void ph_late_starts_forget(struct ph_pool *pool, struct ph_executor *x,
			   uint64_t now_us)
{
	forget(pool, &x->late_starts, now_us);
}

void ph_late_starts_forget_unlisted(struct ph_pool *pool, uint64_t now_us)
{
	forget(pool, &pool->unlisted_late_starts, now_us);
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
	run->taken_over = s->taken_over;
	ph_event(PART,
		 "event=start_may_outlive_restart job=%s task=%u run=%llu "
		 "executor=%s sent_before_us=%llu sender=%s",
		 s->job, s->index, (unsigned long long)s->run, x->info.id,
		 (unsigned long long)(now_us - s->sent_us),
		 s->taken_over ? "earlier_owner" : "this_owner");
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

static bool is_of_task(const struct ph_late_start *s, const struct ph_batch *b,
		       uint32_t index)
{
	return s->job_hash == b->job_hash && s->index == index;
}

bool ph_late_start_of_task(const struct ph_pool *pool, const struct ph_batch *b,
			   uint32_t index)
{
	const struct ph_executor *x;
	const struct ph_late_start *s;

	for (x = pool->executors; x; x = x->next)
		for (s = x->late_starts; s; s = s->next)
			if (is_of_task(s, b, index))
				return true;
	for (s = pool->unlisted_late_starts; s; s = s->next)
		if (is_of_task(s, b, index))
			return true;
	return false;
}

enum ph_verification ph_late_start_verification(const struct ph_executor *x,
						const struct ph_batch *b,
						uint32_t index)
{
	enum ph_verification found = PH_START_VERIFIED;
	const struct ph_late_start *s;

	for (s = x->late_starts; s; s = s->next) {
		if (!s->unverified || !is_of_task(s, b, index))
			continue;
		if (s->unanswered)
			return PH_START_UNANSWERED;
		found = PH_START_IN_DOUBT;
	}
	return found;
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

bool ph_late_stop_awaited(const struct ph_pool *pool, const struct ph_run *run)
{
	const struct ph_batch *b;

	if (!run->forgotten)
		return false;
	for (b = pool->batches; b; b = b->next)
		if (run->index < b->request->count &&
		    b->tasks[run->index].state == PH_BATCH_TASK_WAITING &&
		    !strcmp(b->request->job, run->job))
			return true;
	return false;
}

/* ## Starts by earlier owners */

static bool is_known(const struct ph_late_start *list, const char *job,
		     const struct ph_unconfirmed_start *start)
{
	const struct ph_late_start *s;

	for (s = list; s; s = s->next)
		if (s->index == start->index && s->run == start->run &&
		    s->executor == start->executor && !strcmp(s->job, job))
			return true;
	return false;
}

static struct ph_executor *find_by_hash(const struct ph_pool *pool,
					uint32_t executor)
{
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (ph_executor_hash(x->info.id) == executor)
			return x;
	return NULL;
}

/* A later run has to have a higher number than one that is stopped: the
 * executor would refuse it, too. */
static void skip_run_number(struct ph_batch *b,
			    const struct ph_unconfirmed_start *start)
{
	struct ph_batch_task *task = &b->tasks[start->index];

	if (task->next_run <= start->run)
		task->next_run = start->run + 1;
}

/* Takes over one start; returns whether it was not known here. */
static bool take_over(struct ph_pool *pool, struct ph_batch *b,
		      const struct ph_unconfirmed_start *start, uint64_t now_us)
{
	struct ph_executor *x = find_by_hash(pool, start->executor);
	struct ph_late_start **list =
		x ? &x->late_starts : &pool->unlisted_late_starts;
	const char *job = b->request->job;
	struct ph_late_start *s;

	if (is_known(*list, job, start) ||
	    (x && ph_run_find(x, job, start->index, start->run)))
		return false;
	s = late_start_add(pool, list, job, start->index, start->executor,
			   start->run);
	s->sent_us = now_us > start->age_us ? now_us - start->age_us : 0;
	s->taken_over = true;
	s->unverified = true;
	s->unanswered = start->unanswered;
	s->since_us = x ? now_us : 0;
	return true;
}

void ph_late_starts_take_over(struct ph_pool *pool, struct ph_batch *b,
			      uint64_t now_us)
{
	const struct ph_unconfirmed *u = &b->request->unconfirmed;
	uint32_t taken = 0;
	uint32_t i;

	for (i = 0; i < u->count; i++) {
		const struct ph_unconfirmed_start *start = &u->starts[i];

		if (start->index >= b->request->count ||
		    start->age_us >= PH_LATE_START_US ||
		    b->tasks[start->index].state == PH_BATCH_TASK_DONE)
			continue;
		skip_run_number(b, start);
		taken += take_over(pool, b, start, now_us);
	}
	if (!taken && !u->incomplete)
		return;
	pool->counters.late_starts_taken_over += taken;
	ph_event(PART,
		 "event=late_starts_taken_over job=%s pool=%s starts=%u "
		 "complete=%d",
		 b->request->job, pool->name, taken, !u->incomplete);
}

void ph_late_starts_executor_listed(struct ph_pool *pool, struct ph_executor *x)
{
	struct ph_late_start **at = &pool->unlisted_late_starts;
	uint32_t hash = ph_executor_hash(x->info.id);

	while (*at) {
		struct ph_late_start *s = *at;

		if (s->executor != hash) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		s->next = x->late_starts;
		x->late_starts = s;
	}
}

static bool reported(const struct ph_late_start *s,
		     const struct ph_run_report *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (list[i].run == s->run && list[i].index == s->index &&
		    !strcmp(list[i].job, s->job))
			return true;
	return false;
}

void ph_late_starts_verify(struct ph_pool *pool, struct ph_executor *x,
			   const struct ph_poll_reply *reply, uint64_t now_us)
{
	struct ph_late_start **at = &x->late_starts;

	while (*at) {
		struct ph_late_start *s = *at;

		if (!s->unverified || x->answered_sent_us < s->since_us) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		if (!reported(s, reply->running, reply->running_count) &&
		    !reported(s, reply->ended, reply->ended_count))
			add_to_stop(pool, x, s, now_us);
		pool->mem->free(s);
	}
}

/* ## An executor that is away */

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

/* Whether a start was most likely answered: as long as no poll has shown that
 * it was not, nothing is stopped for it. */
static bool in_doubt(const struct ph_late_start *s)
{
	return s->unverified && !s->unanswered;
}

void ph_late_starts_stop_elsewhere(struct ph_pool *pool, struct ph_executor *x,
				   uint64_t now_us)
{
	bool refuses = x->poll_failures && x->refuses;
	struct ph_late_start **at = &x->late_starts;

	while (*at) {
		struct ph_late_start *s = *at;
		uint64_t heard_us = x->poll_ok_us > s->since_us ? x->poll_ok_us
								: s->since_us;

		if ((!refuses && now_us < heard_us + pool->opt.lease_us) ||
		    in_doubt(s) || !task_left(pool, s)) {
			at = &s->next;
			continue;
		}
		*at = s->next;
		stop_elsewhere(pool, s, x, now_us);
		add_to_stop(pool, x, s, now_us);
		pool->mem->free(s);
	}
}
