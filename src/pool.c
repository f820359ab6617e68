#include <string.h>

#include "ident.h"
#include "log.h"
#include "pool_impl.h"
#include "pool_shard.h"

#define PART "pool"
/* Bounds of the retry time that is sent to refused callers. */
#define RETRY_MIN_US 1000000U
#define RETRY_MAX_US 8000000U
/* Retry time of batches that no executor of a domain in service could run: the
 * time within which the end of an evacuation takes effect. */
#define NO_EXECUTOR_RETRY_US 5000000U
#define US_PER_S 1000000U
/* Part of the caller's timeout for which a batch may wait for its first start:
 * less than half, so that another pool still has time to serve the job. */
#define MAX_WAIT_PERCENT 45U
/* Lower bound of actual run times in percent of the declared ones: some
 * executors are faster than others. */
#define MIN_RUN_TIME_PERCENT 75U
/* Interval of placement rounds without a change of state: a start may become
 * possible by time alone, as when a back-off ends. */
#define PLACE_EVERY_US 10000U
/* Time for which a closed batch is remembered. A submission that arrives later
 * is refused for its time in transit; until then the submitter repeats a
 * cancellation. */
#define CLOSED_US 2000000U
/* Longest time in transit of a batch: less than the time after which its
 * submitter abandons it and the caller may submit the job elsewhere. */
#define TRANSIT_MAX_US 350000U
/* An instance claims a pool no sooner than this after the loss of the owner
 * before (CLAIM_AFTER_US in cluster_ownership.c), and its batches are resumed
 * later still. */
#define LIST_AHEAD_US 100000U

struct ph_pool *ph_pool_new(const struct ph_pool_options *options)
{
	struct ph_pool *pool = options->mem->calloc(1, sizeof(*pool));

	pool->opt = *options;
	pool->mem = options->mem;
	pool->name = ph_intern(options->name);
	pool->opt.name = pool->name;
	pool->domain = ph_pool_shard_domain(pool->name);
	pool->last_call = options->first_call;
	pool->list_read_us = UINT64_MAX;
	pool->own_crashes = !options->crashes;
	pool->crashes = options->crashes ? options->crashes
					 : ph_crashes_new(options->mem);
	return pool;
}

static void batch_free(struct ph_pool *pool, struct ph_batch *b)
{
	ph_batch_request_free(pool->mem, b->request);
	pool->mem->free(b->tasks);
	pool->mem->free(b);
}

/* Forgets batches that were closed long ago. */
static void forget_closed(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_closed_batch **at = &pool->closed;

	while (*at && now_us < (*at)->closed_us + CLOSED_US)
		at = &(*at)->next;
	while (*at) {
		struct ph_closed_batch *c = *at;

		*at = c->next;
		pool->mem->free(c);
	}
}

static void forget_lengths(struct ph_pool *pool)
{
	while (pool->lengths) {
		struct ph_lengths *l = pool->lengths;

		pool->lengths = l->next;
		pool->mem->free(l->service);
		pool->mem->free(l);
	}
}

struct ph_lengths *ph_lengths_of(const struct ph_pool *pool,
				 const char *service)
{
	struct ph_lengths *l = pool->lengths;

	while (l && strcmp(l->service, service) != 0)
		l = l->next;
	return l;
}

static void count_offer(struct ph_pool *pool, const struct ph_batch *b,
			uint64_t now_us)
{
	const char *service = b->request->service;
	struct ph_lengths *l = ph_lengths_of(pool, service);

	if (!l) {
		l = pool->mem->calloc(1, sizeof(*l));
		l->service = ph_memdup(pool->mem, service, strlen(service));
		l->since_us = now_us;
		l->next = pool->lengths;
		pool->lengths = l;
	}
	ph_lengths_offer(l, now_us, ph_batch_longest_wait_us(pool, b),
			 ph_batch_core_time(b));
}

void ph_pool_free(struct ph_pool *pool)
{
	if (!pool)
		return;
	forget_lengths(pool);
	while (pool->executors) {
		struct ph_executor *x = pool->executors;

		pool->executors = x->next;
		ph_executor_free(pool, x);
	}
	while (pool->batches) {
		struct ph_batch *b = pool->batches;

		pool->batches = b->next;
		batch_free(pool, b);
	}
	forget_closed(pool, UINT64_MAX);
	ph_late_starts_forget_unlisted(pool, UINT64_MAX);
	if (pool->own_crashes)
		ph_crashes_free(pool->crashes);
	pool->mem->free(pool->waiting);
	pool->mem->free(pool->ends);
	pool->mem->free(pool->probed_last);
	while (pool->calls) {
		struct ph_pending_command *c = pool->calls;

		pool->calls = c->next;
		pool->mem->free(c);
	}
	pool->mem->free(pool);
}

bool ph_pool_owned(const struct ph_pool *pool)
{
	return pool->owned;
}

uint64_t ph_pool_token(const struct ph_pool *pool)
{
	return pool->token;
}

bool ph_pool_fenced(const struct ph_pool *pool)
{
	return pool->fenced;
}

bool ph_pool_fenced_in_part(const struct ph_pool *pool)
{
	return pool->fenced && !ph_pool_most_refuse(pool);
}

bool ph_pool_token_accepted(const struct ph_pool *pool)
{
	return pool->accepted;
}

const struct ph_pool_counters *ph_pool_counters(const struct ph_pool *pool)
{
	return &pool->counters;
}

struct ph_crashes *ph_pool_crashes(struct ph_pool *pool)
{
	return pool->crashes;
}

/* ## Batches */

/* Hash of the executor that may be running a task; what an earlier owner
 * reported if there is no run here. */
static uint32_t task_possible_executor(const struct ph_batch *b, uint32_t index)
{
	if (b->tasks[index].state == PH_BATCH_TASK_PLACED)
		return ph_executor_hash(b->tasks[index].run->executor->info.id);
	return b->request->resumed ? b->request->possible_executor[index]
				   : PH_EXECUTOR_NONE;
}

static void log_batch_end(const struct ph_batch *b, enum ph_verdict verdict,
			  const char *reason, uint64_t now_us)
{
	uint64_t started_us = b->last_started_us ? b->last_started_us : now_us;
	uint32_t failed = 0;
	uint32_t moved = 0;
	uint32_t i;

	for (i = 0; i < b->request->count; i++) {
		failed += b->tasks[i].failures;
		moved += b->tasks[i].moves;
	}
	ph_event(PART,
		 "event=batch_end job=%s verdict=%s reason=\"%s\" tasks=%u "
		 "tasks_left=%u since_received_us=%llu waited_us=%llu "
		 "failed_runs=%u moved_runs=%u target_us=%llu estimate_us=%llu",
		 b->request->job, ph_verdict_name(verdict), reason,
		 b->request->count, b->left,
		 (unsigned long long)(now_us - b->received_us),
		 (unsigned long long)(started_us - b->received_us), failed,
		 moved, (unsigned long long)b->request->target_us,
		 (unsigned long long)b->request->estimate_us);
}

/* Reports a result to which the state of the tasks is added. */
static void batch_report_result(struct ph_pool *pool, struct ph_batch *b,
				struct ph_result *result, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < b->request->count; i++)
		if (b->tasks[i].state == PH_BATCH_TASK_DONE)
			ph_bit_set(result->done, i);
	if (result->verdict == PH_VERDICT_MOVED)
		ph_unconfirmed_collect(pool, b, now_us, &result->unconfirmed);
	for (i = 0;
	     result->verdict == PH_VERDICT_MOVED && i < b->request->count; i++)
		result->possible_executor[result->count++] =
			result->evacuated ? PH_EXECUTOR_NONE
					  : task_possible_executor(b, i);
	log_batch_end(b, result->verdict, result->reason, now_us);
	if (result->unconfirmed.count)
		ph_event(PART,
			 "event=late_starts_handed_over job=%s pool=%s "
			 "starts=%u complete=%d",
			 b->request->job, pool->name, result->unconfirmed.count,
			 !result->unconfirmed.incomplete);
	pool->opt.sink->result(pool->opt.ctx, b->submitter, b->seq, result);
}

static void batch_report(struct ph_pool *pool, struct ph_batch *b,
			 enum ph_verdict verdict, uint64_t retry_after_us,
			 const char *reason, uint64_t now_us)
{
	struct ph_result result = {
		.verdict = verdict,
		.retry_after_us = retry_after_us,
		.reason = reason,
		.not_started = verdict == PH_VERDICT_MOVED && !b->started
	};

	batch_report_result(pool, b, &result, now_us);
}

static bool was_closed(const struct ph_pool *pool, const char *submitter,
		       uint64_t seq)
{
	const struct ph_closed_batch *c;

	for (c = pool->closed; c; c = c->next)
		if (c->seq == seq && !strcmp(c->submitter, submitter))
			return true;
	return false;
}

static void remember_closed(struct ph_pool *pool, uint64_t now_us,
			    const char *submitter, uint64_t seq)
{
	struct ph_closed_batch *c;

	if (was_closed(pool, submitter, seq))
		return;
	c = pool->mem->calloc(1, sizeof(*c));
	c->closed_us = now_us;
	c->next = pool->closed;
	pool->closed = c;
	c->submitter = ph_intern(submitter);
	c->seq = seq;
}

static void batch_remove(struct ph_pool *pool, struct ph_batch *batch,
			 uint64_t now_us)
{
	struct ph_batch **at = &pool->batches;

	remember_closed(pool, now_us, batch->submitter, batch->seq);
	while (*at && *at != batch)
		at = &(*at)->next;
	if (*at)
		*at = batch->next;
	batch_free(pool, batch);
	pool->dirty = true;
}

/* Stops the batch's runs and frees the batch. */
static void batch_end(struct ph_pool *pool, struct ph_batch *b, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < b->request->count; i++)
		if (b->tasks[i].state == PH_BATCH_TASK_PLACED)
			ph_run_abandon(pool, b->tasks[i].run, now_us);
	batch_remove(pool, b, now_us);
}

void ph_batch_task_requeue(struct ph_pool *pool, struct ph_batch *b,
			   uint32_t index)
{
	b->tasks[index].state = PH_BATCH_TASK_WAITING;
	b->tasks[index].run = NULL;
	b->waiting++;
	pool->dirty = true;
}

void ph_batch_task_done(struct ph_pool *pool, struct ph_batch *b,
			uint32_t index, uint64_t now_us)
{
	if (b->tasks[index].state == PH_BATCH_TASK_WAITING)
		b->waiting--;
	b->tasks[index].state = PH_BATCH_TASK_DONE;
	b->tasks[index].run = NULL;
	pool->dirty = true;
	if (--b->left)
		return;
	batch_report(pool, b, PH_VERDICT_DONE, 0, "", now_us);
	batch_remove(pool, b, now_us);
}

void ph_batch_task_failed(struct ph_pool *pool, struct ph_batch *b,
			  uint32_t index, uint64_t now_us)
{
	ph_batch_task_requeue(pool, b, index);
	if (++b->tasks[index].failures < b->request->max_attempts)
		return;
	batch_report(pool, b, PH_VERDICT_FAILED, 0, "attempts used up", now_us);
	batch_end(pool, b, now_us);
}

static struct ph_batch *batch_find(const struct ph_pool *pool,
				   const char *submitter, uint64_t seq)
{
	struct ph_batch *b;

	for (b = pool->batches; b; b = b->next)
		if (b->seq == seq && !strcmp(b->submitter, submitter))
			return b;
	return NULL;
}

bool ph_pool_has_batch(const struct ph_pool *pool, const char *submitter,
		       uint64_t seq)
{
	return batch_find(pool, submitter, seq);
}

/* ## Resumed batches */

static void claim_run(struct ph_pool *pool, struct ph_batch *b,
		      struct ph_executor *x, struct ph_run *run)
{
	struct ph_batch_task *task = &b->tasks[run->index];

	ph_capacity_sub(&x->used, &run->need);
	run->need = b->request->need;
	ph_capacity_add(&x->used, &run->need);
	ph_event(PART, "event=run_claimed job=%s task=%u run=%llu executor=%s",
		 run->job, run->index, (unsigned long long)run->run,
		 x->info.id);
	run->batch = b;
	run->state = PH_RUN_RUNNING;
	run->unclaimed = false;
	run->acked_us = run->created_us;
	task->run = run;
	task->state = PH_BATCH_TASK_PLACED;
	if (task->next_run <= run->run)
		task->next_run = run->run + 1;
	b->waiting--;
	b->request->possible_executor[run->index] = PH_EXECUTOR_NONE;
	b->started = true;
	/* The long poll under way may have renewed no lease. */
	x->poll_call = 0;
	x->next_poll_us = 0;
	pool->counters.claimed_runs++;
}

/* Lets a resumed batch claim the runs that an earlier owner started, and the
 * ends of such runs. May free the batch. */
static void claim_orphans(struct ph_pool *pool, struct ph_batch *b,
			  uint64_t now_us)
{
	const char *job = b->request->job;
	struct ph_executor *x;
	struct ph_run *run;
	uint32_t i;

	for (x = pool->executors; x; x = x->next)
		for (run = x->runs; run; run = run->next)
			if (run->state == PH_RUN_ORPHANED &&
			    run->index < b->request->count &&
			    b->tasks[run->index].state ==
				    PH_BATCH_TASK_WAITING &&
			    !strcmp(run->job, job))
				claim_run(pool, b, x, run);
	for (i = 0; i < PH_ORPHANED_ENDS; i++) {
		struct ph_orphaned_end *s = &pool->orphaned_ends[i];

		if (s->index >= b->request->count || strcmp(s->job, job) != 0 ||
		    b->tasks[s->index].state != PH_BATCH_TASK_WAITING)
			continue;
		b->started = true;
		s->job[0] = '\0';
		if (b->left == 1) {
			ph_batch_task_done(pool, b, s->index, now_us);
			return;
		}
		ph_batch_task_done(pool, b, s->index, now_us);
	}
}

void ph_pool_claim_orphans(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_batch *b = pool->batches;

	while (b) {
		struct ph_batch *next = b->next;

		if (b->request->resumed && b->waiting &&
		    ph_mechanism_on(pool->opt.off, PH_MECHANISM_CLAIM_ORPHANS))
			claim_orphans(pool, b, now_us);
		b = next;
	}
}

/* ## Admission */

uint64_t ph_batch_core_time(const struct ph_batch *b)
{
	return (uint64_t)b->waiting * b->request->need.cpu_milli *
	       b->request->estimate_us;
}

/* Core time of the waiting tasks that may delay others. */
static uint64_t backlog_milli_us(const struct ph_pool *pool)
{
	const struct ph_batch *b;
	uint64_t sum = 0;

	for (b = pool->batches; b; b = b->next)
		sum += b->held_back ? 0 : ph_batch_core_time(b);
	return sum;
}

static uint64_t clamp_retry(uint64_t us)
{
	if (us < RETRY_MIN_US)
		return RETRY_MIN_US;
	return us > RETRY_MAX_US ? RETRY_MAX_US : us;
}

/* Time after which a batch that is refused now is likely to find capacity. */
static uint64_t retry_after_us(const struct ph_pool *pool,
			       const struct ph_batch *b, uint64_t now_us)
{
	struct ph_pool_load load;
	uint64_t wait_us;

	ph_pool_measure(pool, now_us, &load);
	if (!load.capacity_milli)
		return clamp_retry(US_PER_S);
	wait_us = load.backlog_milli_us / load.capacity_milli;
	if (b->part_wait_us > wait_us)
		wait_us = b->part_wait_us;
	return clamp_retry(wait_us);
}

uint64_t ph_batch_longest_wait_us(const struct ph_pool *pool,
				  const struct ph_batch *b)
{
	const struct ph_batch_request *w = b->request;
	uint64_t wait_us = w->caller_timeout_us * MAX_WAIT_PERCENT / 100;
	uint64_t useful_us = ph_batch_request_max_useful_wait_us(w);

	if (ph_mechanism_on(pool->opt.off, PH_MECHANISM_USEFUL_WAIT) &&
	    useful_us < wait_us)
		wait_us = useful_us;
	if (w->caller_timeout_us < w->estimate_us + wait_us)
		wait_us = w->caller_timeout_us > w->estimate_us
				  ? w->caller_timeout_us - w->estimate_us
				  : 0;
	return wait_us;
}

/* Lower bound of a batch's wait. For the tasks ahead of it, it assumes that all
 * executors that may be usable run only these, faster than declared. */
static uint64_t min_wait_us(const struct ph_pool *pool,
			    const struct ph_batch *b)
{
	uint64_t wait_us = b->part_wait_us;

	if (!ph_mechanism_on(pool->opt.off, PH_MECHANISM_EARLY_REFUSAL))
		return 0;
	if (b->possible_milli &&
	    b->ahead_milli_us / b->possible_milli > wait_us)
		wait_us = b->ahead_milli_us / b->possible_milli;
	return wait_us * MIN_RUN_TIME_PERCENT / 100;
}

/* Whether a batch would start too late to be of use, as far as the last round
 * and the recent past tell. */
static bool batch_hopeless(const struct ph_pool *pool, const struct ph_batch *b,
			   uint64_t now_us)
{
	const struct ph_lengths *l = ph_lengths_of(pool, b->request->service);
	struct ph_admission_need need = {
		.ahead_milli_us = b->ahead_milli_us,
		.capacity_milli = b->possible_milli,
		.target_start_us = ph_batch_target_start_us(b),
		.useful_start_us =
			b->arrived_us + ph_batch_longest_wait_us(pool, b),
	};

	/* Without a target, any start before the caller leaves is of use. */
	return ph_mechanism_on(pool->opt.off, PH_MECHANISM_ADMISSION) &&
	       b->request->target_us && b->possible_milli && !b->held_back &&
	       ph_admission_hopeless(&l->admission, now_us, &need);
}

static bool batch_overdue(const struct ph_pool *pool, const struct ph_batch *b,
			  uint64_t now_us)
{
	if (b->started)
		return now_us >= b->arrived_us + b->request->caller_timeout_us;
	return now_us + min_wait_us(pool, b) >=
		       b->arrived_us + ph_batch_longest_wait_us(pool, b) ||
	       batch_hopeless(pool, b, now_us);
}

/* Capacity that is held by runs which are declared to last for longer than a
 * batch can wait, in thousandths of a core. */
static uint64_t held_by_longer_milli(const struct ph_pool *pool,
				     const struct ph_batch *b)
{
	uint64_t wait_us = ph_batch_longest_wait_us(pool, b);
	const struct ph_executor *x;
	const struct ph_run *run;
	uint64_t sum = 0;

	for (x = pool->executors; x; x = x->next)
		for (run = x->runs; run; run = run->next)
			if (run->batch &&
			    run->batch->request->estimate_us > wait_us)
				sum += run->need.cpu_milli;
	return sum;
}

/* Logs what tells the causes of a refusal apart: work ahead of the batch,
 * capacity held by runs that it can't outwait, or free capacity that is too
 * small on each executor, or on those that no run has to succeed on first. */
static void log_refusal(const struct ph_pool *pool, const struct ph_batch *b,
			uint64_t now_us)
{
	struct ph_room room;

	ph_pool_room(pool, b, now_us, &room);
	ph_event(PART,
		 "event=batch_refused job=%s need_milli=%u min_wait_us=%llu "
		 "part_wait_us=%llu ahead_milli_us=%llu possible_milli=%llu "
		 "free_milli=%llu executors_fitting=%u executors_on_trial=%u "
		 "held_by_longer_milli=%llu",
		 b->request->job, b->request->need.cpu_milli,
		 (unsigned long long)min_wait_us(pool, b),
		 (unsigned long long)b->part_wait_us,
		 (unsigned long long)b->ahead_milli_us,
		 (unsigned long long)b->possible_milli,
		 (unsigned long long)room.free_milli, room.fitting,
		 room.on_trial,
		 (unsigned long long)held_by_longer_milli(pool, b));
}

static void batch_refuse(struct ph_pool *pool, struct ph_batch *b,
			 uint64_t now_us)
{
	log_refusal(pool, b, now_us);
	batch_report(pool, b, PH_VERDICT_NOT_RUN,
		     retry_after_us(pool, b, now_us), "no room in time",
		     now_us);
}

static void batch_expire(struct ph_pool *pool, struct ph_batch *b,
			 uint64_t now_us)
{
	if (b->started)
		batch_report(pool, b, PH_VERDICT_BROKEN, 0,
			     "caller's deadline passed", now_us);
	else
		batch_refuse(pool, b, now_us);
	batch_end(pool, b, now_us);
}

/* Ends a batch of which a waiting task is not started any more, since executors
 * were lost under it. Returns false if there is no such task. */
static bool batch_give_up(struct ph_pool *pool, struct ph_batch *b,
			  uint64_t now_us)
{
	bool crashes = false;
	uint32_t i;

	if (!b->waiting || !ph_crashes_has_job(pool->crashes, b->job_hash))
		return false;
	for (i = 0; i < b->request->count; i++) {
		if (b->tasks[i].state != PH_BATCH_TASK_WAITING)
			continue;
		crashes = ph_crashes_given_up(pool->crashes, b->job_hash, i);
		if (crashes ||
		    ph_crashes_exhausted(pool->crashes, b->job_hash, i))
			break;
	}
	if (i == b->request->count)
		return false;
	ph_event(PART, "event=task_given_up job=%s task=%u crashes=%d",
		 b->request->job, i, crashes);
	pool->counters.given_up++;
	batch_report(pool, b, crashes ? PH_VERDICT_FAILED : PH_VERDICT_BROKEN,
		     0,
		     crashes ? "a task crashes executors"
			     : "a task's executors were lost",
		     now_us);
	batch_end(pool, b, now_us);
	return true;
}

/* Returns a batch of an evacuated domain to its submitter and frees it; false
 * if it has to wait for its runs. */
static bool batch_evacuate(struct ph_pool *pool, struct ph_batch *b,
			   uint64_t now_us)
{
	struct ph_result result = { .retry_after_us = RETRY_MIN_US,
				    .reason = "domain is evacuated",
				    .evacuated = true };

	switch (ph_batch_evacuation(pool, b, now_us)) {
	case PH_EVACUATION_WAIT:
		return false;
	case PH_EVACUATION_NOT_RUN:
		result.verdict = PH_VERDICT_NOT_RUN;
		break;
	case PH_EVACUATION_ELSEWHERE:
		result.verdict = PH_VERDICT_MOVED;
		break;
	case PH_EVACUATION_UNKNOWN:
		result.verdict = PH_VERDICT_BROKEN;
		result.reason = "domain is evacuated, a start may be late";
		break;
	}
	pool->counters.evacuated++;
	batch_report_result(pool, b, &result, now_us);
	batch_remove(pool, b, now_us);
	return true;
}

static struct ph_batch *batch_new(struct ph_pool *pool, uint64_t now_us,
				  const char *submitter, uint64_t seq,
				  struct ph_batch_request *request)
{
	struct ph_batch *b = pool->mem->calloc(1, sizeof(*b));
	uint32_t i;

	b->submitter = ph_intern(submitter);
	b->seq = seq;
	b->job_hash = ph_hash_str(request->job);
	b->request = request;
	b->received_us = now_us;
	b->arrived_us = now_us > request->age_us ? now_us - request->age_us : 0;
	b->started = request->resumed;
	b->report_due = true;
	b->tasks = pool->mem->calloc(request->count, sizeof(*b->tasks));
	b->left = request->count;
	b->waiting = request->count;
	for (i = 0; i < request->count; i++) {
		b->tasks[i].next_run = request->first_run;
		if (!ph_bit_get(request->done, i))
			continue;
		b->tasks[i].state = PH_BATCH_TASK_DONE;
		b->left--;
		b->waiting--;
	}
	return b;
}

/* True if the submitter has abandoned the batch by now, or is about to. */
static bool delayed_in_transit(const struct ph_batch_request *request,
			       uint64_t now_us)
{
	return request->sent_us && now_us > request->sent_us + TRANSIT_MAX_US;
}

void ph_pool_submit(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq,
		    struct ph_batch_request *request)
{
	struct ph_batch *b;

	b = batch_find(pool, submitter, seq);
	if (b)
		b->report_due = true;
	if (b || was_closed(pool, submitter, seq)) {
		ph_batch_request_free(pool->mem, request);
		return;
	}
	b = batch_new(pool, now_us, submitter, seq, request);
	b->next = pool->batches;
	pool->batches = b;
	pool->dirty = true;
	if (!b->left) {
		batch_report(pool, b, PH_VERDICT_DONE, 0, "", now_us);
		batch_remove(pool, b, now_us);
		return;
	}
	if (!pool->owned) {
		batch_report(pool, b, PH_VERDICT_MOVED, 0, "not the owner",
			     now_us);
		batch_remove(pool, b, now_us);
		return;
	}
	if (delayed_in_transit(request, now_us)) {
		batch_report(pool, b,
			     request->resumed ? PH_VERDICT_BROKEN
					      : PH_VERDICT_NOT_RUN,
			     retry_after_us(pool, b, now_us), "long on its way",
			     now_us);
		batch_remove(pool, b, now_us);
		return;
	}
	count_offer(pool, b, now_us);
	if (!request->resumed)
		return;
	ph_event(PART,
		 "event=batch_resumed job=%s submitter=%s seq=%llu "
		 "tasks_left=%u",
		 request->job, submitter, (unsigned long long)seq, b->left);
	ph_late_starts_take_over(pool, b, now_us);
	ph_poll_for_resumed(pool, b, now_us);
	ph_pool_claim_orphans(pool, now_us);
}

void ph_pool_cancel(struct ph_pool *pool, uint64_t now_us,
		    const char *submitter, uint64_t seq)
{
	struct ph_batch *b = batch_find(pool, submitter, seq);

	remember_closed(pool, now_us, submitter, seq);
	if (!b)
		return;
	ph_event(PART, "event=batch_cancelled job=%s tasks_left=%u",
		 b->request->job, b->left);
	batch_end(pool, b, now_us);
}

void ph_pool_submitter_lost(struct ph_pool *pool, uint64_t now_us,
			    const char *submitter)
{
	struct ph_batch *b = pool->batches;

	while (b) {
		struct ph_batch *next = b->next;

		if (!strcmp(b->submitter, submitter)) {
			batch_report(pool, b,
				     b->started ? PH_VERDICT_BROKEN
						: PH_VERDICT_NOT_RUN,
				     retry_after_us(pool, b, now_us),
				     "its instance is silent", now_us);
			batch_end(pool, b, now_us);
		}
		b = next;
	}
}

void ph_pool_check_submitters(struct ph_pool *pool,
			      bool (*relies)(void *ctx, const char *submitter),
			      bool (*surely)(void *ctx, const char *submitter),
			      void *ctx)
{
	struct ph_batch *b;

	for (b = pool->batches; b; b = b->next) {
		bool maybe_resumed = !relies(ctx, b->submitter);
		bool suspected = !surely(ctx, b->submitter);

		if (maybe_resumed != b->maybe_resumed ||
		    suspected != b->owner_suspected)
			pool->dirty = true;
		b->owner_suspected = suspected;
		b->maybe_resumed = maybe_resumed;
	}
}

/* ## Ownership */

void ph_pool_acquire(struct ph_pool *pool, uint64_t now_us, uint64_t token)
{
	struct ph_executor *x;

	ph_event(PART, "event=pool_acquired domain=%s token=%llu was_owner=%d",
		 pool->opt.name, (unsigned long long)token, pool->owned);
	if (!pool->owned)
		forget_lengths(pool);
	pool->token = token;
	pool->hand_over_until_us = 0;
	pool->fenced = false;
	pool->accepted = false;
	pool->dirty = true;
	pool->owned = true;
	/* Also after a fenced token: another owner may have changed the state
	 * of the executors since the last polls. */
	for (x = pool->executors; x; x = x->next) {
		x->polled = false;
		x->rejected_us = 0;
		x->other_owner = true;
		x->poll_call = 0;
		x->next_poll_us = now_us;
	}
}

void ph_pool_await_hand_over(struct ph_pool *pool, uint64_t until_us)
{
	pool->hand_over_until_us = until_us;
}

bool ph_pool_awaits_hand_over(const struct ph_pool *pool)
{
	return pool->hand_over_until_us;
}

void ph_pool_handed_over(struct ph_pool *pool)
{
	ph_event(PART, "event=pool_handed_over pool=%s token=%llu", pool->name,
		 (unsigned long long)pool->token);
	pool->hand_over_until_us = 0;
	pool->dirty = true;
}

void ph_pool_release(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_executor *x;

	if (!pool->owned)
		return;
	ph_event(PART, "event=pool_released domain=%s token=%llu",
		 pool->opt.name, (unsigned long long)pool->token);
	pool->owned = false;
	pool->hand_over_until_us = 0;
	while (pool->batches) {
		struct ph_batch *b = pool->batches;

		batch_report(pool, b, PH_VERDICT_MOVED, 0, "another owner",
			     now_us);
		batch_remove(pool, b, now_us);
	}
	ph_late_starts_forget_unlisted(pool, UINT64_MAX);
	for (x = pool->executors; x; x = x->next) {
		if (x->poll_failures && !x->rejected_us)
			ph_executor_lost(pool, x, PH_LOSS_POOL_RELEASED, NULL,
					 now_us);
		while (x->runs)
			ph_run_drop(pool, x, x->runs);
		ph_late_starts_forget(pool, x, UINT64_MAX);
		x->polled = false;
		x->rejected_us = 0;
		x->other_owner = false;
		x->poll_call = 0;
		x->poll_failures = 0;
		x->clock_ms = 0;
		x->lease_ms = 0;
		x->lease_sent_ms = 0;
		x->unseen_expiry_us = 0;
	}
}

static struct ph_executor *executor_add(struct ph_pool *pool, uint64_t now_us,
					const struct ph_executor_info *info)
{
	struct ph_executor *x = pool->mem->calloc(1, sizeof(*x));

	ph_executor_info_copy(pool->mem, &x->info, info);
	x->next_poll_us = now_us;
	x->run_time_percent = PH_RUN_TIME_PERCENT;
	x->next = pool->executors;
	pool->executors = x;
	ph_late_starts_executor_listed(pool, x);
	return x;
}

/* Whether an executor may have runs, or still carry out the start of one. */
static bool may_run(const struct ph_executor *x, uint64_t now_us)
{
	return ph_executor_followed(x, now_us) || x->runs || x->late_starts;
}

/* Frees unlisted executors once no lease can last there, and no late start be
 * carried out. Until then they are polled, at first, as they may have runs that
 * another owner started. Returns whether there were unlisted ones. */
static bool drop_unlisted(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_executor **at = &pool->executors;
	bool any_unlisted = false;

	while (*at) {
		struct ph_executor *x = *at;

		any_unlisted = any_unlisted || !x->listed;
		ph_late_starts_forget(pool, x, now_us);
		if (may_run(x, now_us)) {
			at = &x->next;
			continue;
		}
		*at = x->next;
		ph_executor_free(pool, x);
	}
	return any_unlisted;
}

bool ph_pool_update(struct ph_pool *pool, uint64_t now_us,
		    const struct ph_executor_info *list, size_t count)
{
	struct ph_executor *x;
	size_t i;

	for (x = pool->executors; x; x = x->next) {
		if (x->listed)
			x->unlisted_us = now_us;
		x->listed = false;
	}
	for (i = 0; i < count; i++) {
		x = ph_executor_find(pool, list[i].id);
		if (x) {
			ph_executor_info_clear(pool->mem, &x->info);
			ph_executor_info_copy(pool->mem, &x->info, &list[i]);
		} else {
			x = executor_add(pool, now_us, &list[i]);
		}
		x->listed = true;
	}
	pool->dirty = true;
	return drop_unlisted(pool, now_us);
}

void ph_pool_list_read(struct ph_pool *pool, uint64_t read_us)
{
	pool->dirty = pool->dirty || read_us != pool->list_read_us;
	if (!pool->first_list_us)
		pool->first_list_us = read_us;
	pool->list_read_us = read_us;
}

static bool list_recent(const struct ph_pool *pool, const struct ph_batch *b)
{
	return pool->list_read_us >= b->received_us ||
	       pool->list_read_us + LIST_AHEAD_US >= b->received_us;
}

bool ph_batch_executors_known(const struct ph_pool *pool,
			      const struct ph_batch *b)
{
	return list_recent(pool, b) &&
	       (!pool->first_list_us ||
		b->received_us >= pool->first_list_us + PH_UNLISTED_US);
}

/* Whether a task that waits may be running on any executor. */
static bool location_unknown(const struct ph_batch *b)
{
	uint32_t i;

	for (i = 0; i < b->request->count; i++)
		if (b->tasks[i].state == PH_BATCH_TASK_WAITING &&
		    b->request->possible_executor[i] == PH_EXECUTOR_UNKNOWN)
			return true;
	return false;
}

bool ph_pool_needs_list(const struct ph_pool *pool)
{
	const struct ph_batch *b;

	for (b = pool->batches; b; b = b->next)
		if (b->request->resumed && b->waiting && location_unknown(b) &&
		    !list_recent(pool, b))
			return true;
	return false;
}

/* Ends a batch if it has to; may free it. */
static void batch_tick(struct ph_pool *pool, struct ph_batch *b, bool evacuated,
		       uint64_t now_us)
{
	if (batch_give_up(pool, b, now_us))
		return;
	if (evacuated && batch_evacuate(pool, b, now_us))
		return;
	if (!evacuated && ph_batch_has_no_executor(pool, b)) {
		batch_report(pool, b, PH_VERDICT_NOT_RUN, NO_EXECUTOR_RETRY_US,
			     "no executor of its kind", now_us);
		batch_end(pool, b, now_us);
		return;
	}
	if (batch_overdue(pool, b, now_us))
		batch_expire(pool, b, now_us);
}

void ph_pool_tick(struct ph_pool *pool, uint64_t now_us)
{
	bool evacuated = ph_pool_evacuated(pool);
	struct ph_batch *b = pool->batches;

	forget_closed(pool, now_us);
	if (!pool->owned)
		return;
	ph_lease_tick(pool, now_us);
	while (b) {
		struct ph_batch *next = b->next;

		batch_tick(pool, b, evacuated, now_us);
		b = next;
	}
	if (pool->dirty || now_us >= pool->placed_us + PLACE_EVERY_US)
		ph_pool_place(pool, now_us);
	ph_unconfirmed_tell(pool, now_us);
}

void ph_pool_handle_changes(struct ph_pool *pool, uint64_t now_us)
{
	if (pool->dirty)
		ph_pool_tick(pool, now_us);
}

void ph_pool_measure(const struct ph_pool *pool, uint64_t now_us,
		     struct ph_pool_load *load)
{
	bool evacuated = ph_pool_evacuated(pool);
	const struct ph_executor *x;
	const struct ph_batch *b;

	memset(load, 0, sizeof(*load));
	for (x = pool->executors; x; x = x->next) {
		uint32_t total = x->info.capacity.cpu_milli;
		bool usable = ph_executor_usable(pool, x, now_us);

		load->executors += x->listed;
		/* A new owner's first heartbeat is sent before it has polled:
		 * without these, jobs would be refused until the second. */
		if (evacuated ||
		    (!usable &&
		     !(pool->owned && ph_executor_first_poll_pending(pool, x))))
			continue;
		load->usable++;
		load->capacity_milli += total;
		if (usable && total > x->used.cpu_milli)
			load->free_milli += total - x->used.cpu_milli;
	}
	load->backlog_milli_us = backlog_milli_us(pool);
	for (b = pool->batches; b; b = b->next)
		load->batches++;
}
