#include <string.h>

#include "log.h"
#include "pool_impl.h"

#define PART "placement"

/* Response time that is lost outside the pool: the way from and to the
 * caller and the processing on it. */
#define TARGET_MARGIN_US 12000U
/* An executor whose looks fail longer than this gets no new work; a look
 * takes at most a quarter of the lease. */
#define SILENT_DIVISOR 2U
/* An owner that hears nothing of a batch's instance, or is fenced, lets go of
 * the batch within this time of the instance's doing so. */
#define SUBMITTER_LOSS_US 300000U
#define PERCENT 100U
/* If more than this share of the executors that answer looks have left an order
 * unanswered, calls get lost by the way: none is avoided for that. */
#define WIDESPREAD_LOSS_PERCENT 30U
#define RUN_TIME_MIN_PERCENT 30U

uint64_t ph_batch_latest_start(const struct ph_batch *batch)
{
	uint64_t aim = batch->arrived_us + batch->request->target_us;
	uint64_t need = batch->request->estimate_us + TARGET_MARGIN_US;

	return aim > need ? aim - need : 0;
}

/* ## Order of starts */

enum lateness {
	/** Begun: what ran of it is lost if the rest can't follow. */
	STARTED,
	/** Can meet its aim. */
	IN_TIME,
	/** Can't; what can't be of use any more is given up before. */
	LATE,
};

static enum lateness lateness(const struct ph_batch *b, uint64_t now_us)
{
	if (b->started)
		return STARTED;
	return now_us <= ph_batch_latest_start(b) ? IN_TIME : LATE;
}

static bool slack_before(const struct ph_batch *a, const struct ph_batch *b,
			 uint64_t now_us)
{
	enum lateness late_a = lateness(a, now_us);
	enum lateness late_b = lateness(b, now_us);

	if (late_a != late_b)
		return late_a < late_b;
	if (late_a != LATE)
		return ph_batch_latest_start(a) < ph_batch_latest_start(b);
	if (a->request->priority != b->request->priority)
		return a->request->priority < b->request->priority;
	return a->arrived_us < b->arrived_us;
}

const struct ph_scheduling_policy ph_scheduling_slack = { "slack", slack_before };

static bool fifo_before(const struct ph_batch *a, const struct ph_batch *b,
			uint64_t now_us)
{
	(void)now_us;
	return a->received_us < b->received_us;
}

const struct ph_scheduling_policy ph_scheduling_fifo = { "fifo", fifo_before };

const struct ph_scheduling_policy *const ph_scheduling_policies[] = {
	&ph_scheduling_slack,
	&ph_scheduling_fifo,
	NULL,
};

/* ## Placement */

/* It answers, and stays. */
static bool reachable(const struct ph_pool *pool, const struct ph_executor *x,
		      uint64_t now_us)
{
	return x->listed && x->polled && !x->info.draining &&
	       !x->poll_failures &&
	       now_us < x->poll_ok_us + pool->opt.lease_us / SILENT_DIVISOR;
}

bool ph_executor_usable(const struct ph_pool *pool, const struct ph_executor *x,
			uint64_t now_us)
{
	return reachable(pool, x, now_us) && now_us >= x->faults.until_us &&
	       (now_us >= x->unanswered.until_us || pool->widespread_loss);
}

/* Decides whether executors are to blame for orders without an answer. */
static void update_widespread_loss(struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;
	uint32_t all = 0;
	uint32_t losing = 0;
	bool widespread_loss;

	for (x = pool->executors; x; x = x->next) {
		if (!reachable(pool, x, now_us))
			continue;
		all++;
		losing += x->unanswered.count > 0;
	}
	widespread_loss = losing * PERCENT > all * WIDESPREAD_LOSS_PERCENT;
	if (widespread_loss != pool->widespread_loss)
		ph_event(PART,
			 "event=call_loss_%s pool=%s executors_with_loss=%u "
			 "executors_reachable=%u",
			 widespread_loss ? "widespread" : "local", pool->opt.domain,
			 losing, all);
	pool->widespread_loss = widespread_loss;
}

static bool label_ok(const struct ph_executor *x, const char *label)
{
	const char *at = label[0] ? strstr(x->info.labels, label) : NULL;
	size_t len = strlen(label);

	if (!len)
		return true;
	for (; at; at = strstr(at + 1, label))
		if (at > x->info.labels && at[-1] == ' ' && at[len] == ' ')
			return true;
	return false;
}

/* What an executor is blamed for. */
static uint32_t failures(const struct ph_pool *pool,
			 const struct ph_executor *x)
{
	return x->faults.count + (pool->widespread_loss ? 0 : x->unanswered.count);
}

/* Smaller is better: sound ones first, then the tightest fit, then speed. */
static uint64_t rank(const struct ph_pool *pool, const struct ph_executor *x,
		     const struct ph_capacity *need)
{
	uint64_t left = x->info.capacity.cpu_milli - x->used.cpu_milli -
			need->cpu_milli;
	uint64_t pace = x->run_time_percent < RUN_TIME_MIN_PERCENT ? RUN_TIME_MIN_PERCENT
							   : x->run_time_percent;

	return ((uint64_t)failures(pool, x) << 48) + left * pace / PERCENT;
}

static struct ph_executor *pick(struct ph_pool *pool,
				const struct ph_batch *batch, uint64_t now_us)
{
	const struct ph_batch_request *w = batch->request;
	struct ph_executor *best = NULL;
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		if (strcmp(x->info.service, w->service) != 0 ||
		    !ph_executor_usable(pool, x, now_us) ||
		    !ph_capacity_fits(&x->info.capacity, &x->used, &w->need) ||
		    !label_ok(x, w->label))
			continue;
		/* One that has failed proves itself with a single run. */
		if (failures(pool, x) && x->runs)
			continue;
		if (!best ||
		    rank(pool, x, &w->need) < rank(pool, best, &w->need))
			best = x;
	}
	return best;
}

/* When everything that an earlier owner left of a batch has surely lapsed. An
 * owner that is cut off renews until it is fenced by another executor or gives
 * the batch up, about when the batch comes here. */
static uint64_t orphans_expired_us(const struct ph_pool *pool, const struct ph_batch *b)
{
	return b->received_us + SUBMITTER_LOSS_US + pool->opt.lease_us +
	       pool->opt.lease_us / 10;
}

static bool all_polled(const struct ph_pool *pool)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (!x->polled)
			return false;
	return true;
}

static bool executor_polled(const struct ph_pool *pool, uint32_t where)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (x->polled && ph_executor_hash(x->info.id) == where)
			return true;
	return false;
}

/* A resumed task starts again only if its run would have been seen here. */
static bool earlier_run_gone(const struct ph_pool *pool, const struct ph_batch *b,
			uint32_t index, uint64_t now_us)
{
	uint32_t where = b->request->where[index];

	if (!b->request->resumed || where == PH_EXECUTOR_NONE ||
	    now_us >= orphans_expired_us(pool, b))
		return true;
	return where == PH_EXECUTOR_UNKNOWN ? all_polled(pool)
					 : executor_polled(pool, where);
}

/* A run of the task that is left from an earlier submission. */
static bool still_running(const struct ph_pool *pool, const char *job,
			  uint32_t index)
{
	const struct ph_executor *x;
	const struct ph_run *r;

	for (x = pool->executors; x; x = x->next)
		for (r = x->runs; r; r = r->next)
			if (r->index == index && !strcmp(r->job, job))
				return true;
	return false;
}

/* Starts the waiting tasks of a batch that find room. */
static void place_batch(struct ph_pool *pool, struct ph_batch *b,
			uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < b->request->count && b->waiting; i++) {
		struct ph_executor *x;

		if (b->tasks[i].state != PH_BATCH_TASK_WAITING ||
		    !earlier_run_gone(pool, b, i, now_us) ||
		    still_running(pool, b->request->job, i))
			continue;
		x = pick(pool, b, now_us);
		if (!x)
			return;
		ph_run_start(pool, x, b, i, now_us);
	}
}

static struct ph_batch *next_batch(struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_scheduling_policy *policy = pool->opt.policy;
	struct ph_batch *best = NULL;
	struct ph_batch *b;

	for (b = pool->batches; b; b = b->next) {
		if (b->visited || !b->waiting)
			continue;
		if (!best || policy->before(b, best, now_us))
			best = b;
	}
	return best;
}

static uint64_t usable_milli(const struct ph_pool *pool, const char *service,
			     uint64_t now_us)
{
	const struct ph_executor *x;
	uint64_t sum = 0;

	for (x = pool->executors; x; x = x->next)
		if (!strcmp(x->info.service, service) &&
		    ph_executor_usable(pool, x, now_us))
			sum += x->info.capacity.cpu_milli;
	return sum;
}

/* Core time of what waits, was looked at before, and needs the executors that
 * a batch needs: other work need not hold it up. */
static uint64_t core_time_ahead(const struct ph_pool *pool,
			   const struct ph_batch *batch)
{
	const struct ph_batch_request *w = batch->request;
	const struct ph_batch *b;
	uint64_t sum = 0;

	for (b = pool->batches; b; b = b->next)
		if (b != batch && b->visited &&
		    !strcmp(b->request->service, w->service) &&
		    !strcmp(b->request->label, w->label))
			sum += (uint64_t)b->waiting * b->request->need.cpu_milli *
			       b->request->estimate_us;
	return sum;
}

void ph_pool_place(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_batch *b;

	/* A token that was refused somewhere may be another owner's by now. */
	if (pool->fenced)
		return;
	update_widespread_loss(pool, now_us);
	for (b = pool->batches; b; b = b->next)
		b->visited = false;
	while ((b = next_batch(pool, now_us))) {
		b->visited = true;
		place_batch(pool, b, now_us);
		b->ahead_milli_us = b->waiting ? core_time_ahead(pool, b) : 0;
		b->usable_milli =
			b->ahead_milli_us
				? usable_milli(pool, b->request->service, now_us)
				: 0;
	}
	pool->dirty = false;
	pool->placed_us = now_us;
}
