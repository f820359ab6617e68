/* The runs of a pool's executors, and the commands that start and stop them. */

#include <string.h>

#include "log.h"
#include "pool_impl.h"

#define PART "lease"

/* Back-off after the second failure in a row; doubles with each further one
 * (AVOID_SHIFT_MAX times at most) up to AVOID_MAX_US. */
#define AVOID_US 250000U
#define AVOID_MAX_US 4000000U
#define AVOID_SHIFT_MAX 4U
/* Added to a task's run number after an executor refused it, as it had seen
 * this number or a higher one. */
#define OLD_RUN_STEP 16U
/* Timeout of a call: a multiple of the usual time to the answer, as a busy or
 * slow instance processes answers late, plus several iterations of the control
 * thread's loop. */
#define TIMEOUT_FACTOR 4U
#define TIMEOUT_EXTRA_US 50000U
/* An unanswered call counts as one that took this part of the timeout: the
 * timeout grows to its maximum if all answers are missing, and hardly grows if
 * few are. */
#define UNANSWERED_DIVISOR 2U
/* Time for which a few executors may refuse the token before the pool counts as
 * fenced: longer than a new list of executors takes to arrive. */
#define REJECTION_PERSISTS_US 1500000U
/* Share of lost polls from which on too few calls are answered to tell the
 * usual time to an answer. */
#define UNRELIABLE_LOST_PERMILLE 600U
/* The time of one call has a weight of 1/16 in the smoothed one. */
#define CALL_TIME_WEIGHT 16U

struct ph_executor *ph_executor_find(struct ph_pool *pool, const char *id)
{
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (!strcmp(x->info.id, id))
			return x;
	return NULL;
}

void ph_executor_failed(struct ph_executor *x, struct ph_backoff *backoff,
			uint64_t now_us)
{
	uint32_t shift;

	backoff->count++;
	if (backoff->count < 2)
		return;
	shift = backoff->count - 2;
	if (shift > AVOID_SHIFT_MAX)
		shift = AVOID_SHIFT_MAX;
	backoff->until_us = now_us + ((uint64_t)AVOID_US << shift);
	if (backoff->until_us > now_us + AVOID_MAX_US)
		backoff->until_us = now_us + AVOID_MAX_US;
	if (backoff->count == 2)
		ph_event(PART, "event=executor_avoided executor=%s cause=%s",
			 x->info.id,
			 backoff == &x->unanswered ? "unanswered" : "failures");
}

void ph_executor_succeeded(struct ph_executor *x)
{
	if (x->faults.count >= 2 || x->unanswered.count >= 2)
		ph_event(PART, "event=executor_recovered executor=%s",
			 x->info.id);
	memset(&x->faults, 0, sizeof(x->faults));
	memset(&x->unanswered, 0, sizeof(x->unanswered));
}

/* ## Runs */

const char *ph_run_state_name(enum ph_run_state state)
{
	static const char *const names[] = { "starting", "running", "stopping",
					     "orphaned" };

	return names[state];
}

struct ph_run *ph_run_find(struct ph_executor *x, const char *job,
			   uint32_t index, uint64_t run)
{
	struct ph_run *r;

	for (r = x->runs; r; r = r->next)
		if (r->run == run && r->index == index && !strcmp(r->job, job))
			return r;
	return NULL;
}

struct ph_run *ph_run_add(struct ph_pool *pool, struct ph_executor *x,
			  const char *job, uint32_t index, uint64_t number,
			  const struct ph_capacity *need, uint64_t now_us)
{
	struct ph_run *run = pool->mem->calloc(1, sizeof(*run));

	ph_strcopy(run->job, sizeof(run->job), job);
	run->index = index;
	run->run = number;
	run->need = *need;
	run->executor = x;
	run->created_us = now_us;
	run->next = x->runs;
	x->runs = run;
	ph_capacity_add(&x->used, need);
	return run;
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

void ph_run_drop_requeue(struct ph_pool *pool, struct ph_executor *x,
			 struct ph_run *run)
{
	struct ph_batch *batch = run->batch;
	uint32_t index = run->index;

	ph_run_drop(pool, x, run);
	if (batch)
		ph_batch_task_requeue(pool, batch, index);
}

bool ph_executor_has_unclaimed(const struct ph_executor *x)
{
	const struct ph_run *run;

	for (run = x->runs; run; run = run->next)
		if (run->unclaimed)
			return true;
	return false;
}

void ph_executor_free(struct ph_pool *pool, struct ph_executor *x)
{
	while (x->runs)
		ph_run_drop(pool, x, x->runs);
	ph_late_starts_forget(pool, x, UINT64_MAX);
	ph_executor_info_clear(pool->mem, &x->info);
	pool->mem->free(x);
}

/* ## Run commands */

static struct ph_pending_command *call_new(struct ph_pool *pool,
					   const struct ph_executor *x,
					   const struct ph_run *run, bool stop,
					   uint64_t now_us)
{
	size_t id_bytes = strlen(x->info.id) + 1;
	struct ph_pending_command *c =
		pool->mem->calloc(1, sizeof(*c) + id_bytes);

	c->id = ++pool->last_call;
	c->stop = stop;
	memcpy(c->executor, x->info.id, id_bytes);
	ph_strcopy(c->job, sizeof(c->job), run->job);
	c->index = run->index;
	c->run = run->run;
	c->sent_us = now_us;
	c->next = pool->calls;
	pool->calls = c;
	return c;
}

static uint64_t timeout_us(uint64_t usual_us)
{
	uint64_t us = TIMEOUT_FACTOR * usual_us + TIMEOUT_EXTRA_US;

	return us < PH_CALL_TIMEOUT_MAX_US ? us : PH_CALL_TIMEOUT_MAX_US;
}

/* If some calls get lost, an answer that takes much longer than the received
 * ones is most likely lost too. If most get lost, the time of the received ones
 * says too little. */
uint64_t ph_pool_timeout_us(const struct ph_pool *pool)
{
	bool some_lost =
		ph_mechanism_on(pool->opt.off, PH_MECHANISM_SHORT_TIMEOUT) &&
		pool->short_polls &&
		pool->lost_polls_permille < UNRELIABLE_LOST_PERMILLE;

	return timeout_us(some_lost ? pool->answered_call_us : pool->call_us);
}

static uint64_t smoothed(uint64_t usual_us, uint64_t took_us)
{
	return ((CALL_TIME_WEIGHT - 1) * usual_us + took_us) / CALL_TIME_WEIGHT;
}

static void record_call(struct ph_pool *pool, enum ph_call_status status,
			uint64_t took_us)
{
	uint64_t missing_us = ph_pool_timeout_us(pool) / UNANSWERED_DIVISOR;

	if (ph_call_unsent(status))
		return;
	if (status == PH_CALL_UNKNOWN) {
		pool->call_us = smoothed(pool->call_us, missing_us);
		return;
	}
	pool->call_us = smoothed(pool->call_us, took_us);
	pool->answered_call_us = smoothed(pool->answered_call_us, took_us);
}

/* Removes a call from the list and returns it, or NULL; the caller frees it. */
static struct ph_pending_command *call_take(struct ph_pool *pool, uint64_t id)
{
	struct ph_pending_command **at = &pool->calls;
	struct ph_pending_command *c;

	while (*at && (*at)->id != id)
		at = &(*at)->next;
	c = *at;
	if (c)
		*at = c->next;
	return c;
}

static void command_init(struct ph_pool *pool, const struct ph_executor *x,
			 const struct ph_run *run,
			 struct ph_run_command *command)
{
	command->executor = x->info.id;
	command->addr = x->info.addr;
	command->job = run->job;
	command->index = run->index;
	command->run = run->run;
	command->token = pool->token;
	command->timeout_us = ph_pool_timeout_us(pool);
}

struct ph_run *ph_run_start(struct ph_pool *pool, struct ph_executor *x,
			    struct ph_batch *batch, uint32_t index,
			    uint64_t now_us)
{
	struct ph_batch_task *task = &batch->tasks[index];
	struct ph_run *run =
		ph_run_add(pool, x, batch->request->job, index,
			   task->next_run++, &batch->request->need, now_us);
	struct ph_run_command command = { 0 };

	run->state = PH_RUN_STARTING;
	run->batch = batch;
	task->run = run;
	task->expired = false;
	task->state = PH_BATCH_TASK_PLACED;
	batch->waiting--;
	batch->request->possible_executor[index] = PH_EXECUTOR_NONE;
	batch->started = true;
	batch->report_due = true;
	batch->last_started_us = now_us;
	pool->counters.starts++;
	command_init(pool, x, run, &command);
	command.call_id = call_new(pool, x, run, false, now_us)->id;
	command.lease_until_ms = ph_lease_end(pool, x, now_us);
	command.spec = batch->request->spec;
	command.spec_len = batch->request->spec_len;
	pool->opt.sink->start(pool->opt.ctx, &command);
	return run;
}

void ph_run_stop(struct ph_pool *pool, struct ph_executor *x,
		 struct ph_run *run, uint64_t now_us)
{
	struct ph_run_command command = { 0 };

	run->state = PH_RUN_STOPPING;
	run->acked_us = 0;
	if (!run->first_stop_us)
		run->first_stop_us = now_us;
	run->stops++;
	command_init(pool, x, run, &command);
	command.call_id = call_new(pool, x, run, true, now_us)->id;
	run->stop_call = command.call_id;
	pool->opt.sink->stop(pool->opt.ctx, &command);
}

void ph_run_abandon(struct ph_pool *pool, struct ph_run *run, uint64_t now_us)
{
	run->maybe_resumed = run->batch && (run->batch->maybe_resumed ||
					    run->batch->owner_suspected);
	run->batch = NULL;
	if (run->state != PH_RUN_STOPPING)
		ph_run_stop(pool, run->executor, run, now_us);
}

bool ph_pool_most_refuse(const struct ph_pool *pool)
{
	const struct ph_executor *x;
	uint32_t listed = 0;
	uint32_t rejecting = 0;

	for (x = pool->executors; x; x = x->next) {
		listed += x->listed;
		rejecting += x->listed && x->rejected_us;
	}
	return rejecting * 2 >= listed;
}

/* The refusal by an executor that has left the pool doesn't show that the pool
 * has another owner. Nor does that by a few of the listed ones: they may have
 * left it by a newer list than this instance has. If one does not, its token
 * has to be exceeded after a while. */
void ph_pool_fenced_by(struct ph_pool *pool, struct ph_executor *x,
		       uint64_t now_us)
{
	x->other_owner = true;
	if (!x->listed)
		return;
	if (!x->rejected_us)
		x->rejected_us = now_us;
	x->polled = false;
	if (ph_pool_most_refuse(pool) ||
	    now_us > x->rejected_us + REJECTION_PERSISTS_US)
		pool->fenced = true;
}

/* Another run of the task may be alive there, started by another owner or for
 * another submission: the task waits for a poll that is sent from now on. */
static void refused_as_old(struct ph_executor *x, struct ph_run *run,
			   uint64_t now_us)
{
	if (run->batch)
		run->batch->tasks[run->index].next_run += OLD_RUN_STEP;
	run->refused_as_old = true;
	run->acked_us = now_us;
	x->poll_call = 0;
	x->next_poll_us = now_us;
}

static void start_refused(struct ph_pool *pool, struct ph_executor *x,
			  struct ph_run *run, enum ph_call_status status,
			  uint64_t now_us)
{
	switch (status) {
	case PH_CALL_NO_ROOM:
		pool->counters.no_room++;
		x->next_poll_us = now_us;
		break;
	case PH_CALL_OLD_RUN:
		refused_as_old(x, run, now_us);
		break;
	case PH_CALL_FENCED:
		ph_pool_fenced_by(pool, x, now_us);
		break;
	case PH_CALL_OTHER_INCARNATION:
		x->next_poll_us = now_us;
		x->polled = false;
		break;
	default:
		break;
	}
	if (status != PH_CALL_OLD_RUN && status != PH_CALL_LATE)
		ph_executor_failed(
			x, ph_call_unsent(status) ? &x->unanswered : &x->faults,
			now_us);
	ph_event(PART,
		 "event=start_refused job=%s task=%u run=%llu executor=%s "
		 "call_status=%d",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 (int)status);
	if (status != PH_CALL_OLD_RUN)
		ph_run_drop_requeue(pool, x, run);
}

/* Lets nothing start before the answer to a new poll. One that is under way may
 * wait where nobody answers any more. */
static void require_poll(struct ph_executor *x, uint64_t now_us)
{
	x->polled = false;
	x->poll_call = 0;
	x->next_poll_us = now_us;
}

/* An incarnation that no poll has shown yet may be of another kind or size than
 * the entry in the list says. */
static void unseen_answered(const struct ph_pool *pool, struct ph_executor *x,
			    const struct ph_pending_command *c,
			    enum ph_call_status status, uint64_t now_us)
{
	if (status == PH_CALL_OK && !c->stop)
		ph_lease_granted_by_unseen(pool, x, now_us);
	require_poll(x, now_us);
}

/* Removes an ended call from the list and finds its executor and run. Returns
 * false if the run no longer exists. */
static bool call_ended(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_run_command_reply *reply,
		       struct ph_executor **x, struct ph_run **run)
{
	struct ph_pending_command *c = call_take(pool, call_id);

	if (!c)
		return false;
	record_call(pool, reply->status, now_us - c->sent_us);
	*x = ph_executor_find(pool, c->executor);
	*run = *x ? ph_run_find(*x, c->job, c->index, c->run) : NULL;
	if (*x && ph_answered_by_unseen(*x, c->sent_us, reply->clock_ms))
		unseen_answered(pool, *x, c, reply->status, now_us);
	pool->mem->free(c);
	return *run;
}

void ph_pool_start_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
			const struct ph_run_command_reply *reply)
{
	struct ph_executor *x;
	struct ph_run *run;

	if (!call_ended(pool, now_us, call_id, reply, &x, &run) ||
	    run->state == PH_RUN_ORPHANED)
		return;
	switch (reply->status) {
	case PH_CALL_OK:
		run->begun = true;
		if (run->state == PH_RUN_STARTING) {
			run->state = PH_RUN_RUNNING;
			run->acked_us = now_us;
		}
		return;
	case PH_CALL_UNKNOWN:
		/* The run may have started or may still start; the stop ends
		 * or prevents it. */
		ph_executor_failed(x, &x->unanswered, now_us);
		ph_event(PART,
			 "event=start_unanswered job=%s task=%u run=%llu "
			 "executor=%s",
			 run->job, run->index, (unsigned long long)run->run,
			 x->info.id);
		if (run->state == PH_RUN_STARTING)
			ph_run_stop(pool, x, run, now_us);
		return;
	default:
		start_refused(pool, x, run, reply->status, now_us);
		return;
	}
}

/* Logs the acknowledgement of a stop that had to be sent several times. */
static void log_late_stop(const struct ph_executor *x, const struct ph_run *run,
			  uint64_t now_us)
{
	if (run->stops < 2)
		return;
	ph_event(PART,
		 "event=stop_acknowledged job=%s task=%u run=%llu executor=%s "
		 "stops_sent=%u since_first_us=%llu",
		 run->job, run->index, (unsigned long long)run->run, x->info.id,
		 run->stops, (unsigned long long)(now_us - run->first_stop_us));
}

void ph_pool_stop_done(struct ph_pool *pool, uint64_t now_us, uint64_t call_id,
		       const struct ph_run_command_reply *reply)
{
	struct ph_executor *x;
	struct ph_run *run;

	/* An answer to an earlier stop may come from an earlier incarnation. */
	if (!call_ended(pool, now_us, call_id, reply, &x, &run) ||
	    run->stop_call != call_id)
		return;
	run->stop_call = 0;
	if (reply->status == PH_CALL_OK) {
		run->acked_us = now_us;
		x->next_poll_us = now_us;
		/* The poll that shows that it has ended can't wait for the one
		 * under way. */
		if (ph_late_stop_awaited(pool, run)) {
			x->poll_call = 0;
			pool->dirty = true;
		}
		log_late_stop(x, run, now_us);
	} else if (reply->status == PH_CALL_FENCED) {
		ph_pool_fenced_by(pool, x, now_us);
	}
}
