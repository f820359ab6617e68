#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "pool_impl.h"

#define PART "placement"

/* Part of the response time that is spent outside the pool: the network
 * between caller and pool, both ways, and the processing on it. */
#define TARGET_MARGIN_US 12000U
#define PERCENT 100U
/* Share of a job's slack, the wait that its latency target leaves, after which
 * it no longer counts as in time. The rest covers run times that are longer
 * than declared. With all of it, an overloaded pool starts each job at the last
 * moment, and many end late. */
#define SLACK_PERCENT 75U
/* An executor gets no new tasks if its last successful poll is longer ago than
 * this part of the lease; a long poll waits for at most a quarter of it. */
#define SILENT_DIVISOR 2U
/* An owner that is cut off from a submitter, or whose token is refused, renews
 * the leases of the submitter's runs for at most this long after the submitter
 * has abandoned that owner: until it counts the silent submitter as dead, and
 * then until a stop that gets lost is overdue. */
#define SUBMITTER_LOSS_US 500000U
/* If more than this share of the executors that answer polls have left run
 * commands unanswered, the network is taken to lose calls, and no executor is
 * avoided for unanswered commands. */
#define WIDESPREAD_LOSS_PERCENT 30U
/* Lower bound of the relative run time by which executors are ranked. */
#define RUN_TIME_MIN_PERCENT 30U
/* Part of the usable executors that may be set aside at a time for tasks that
 * are to run alone, but one at least. */
#define ALONE_DIVISOR 4U
/* Share of the usable executors that are reserved at a time for tasks that find
 * no room. With half of them, jobs of small tasks lose more than those of large
 * ones gain. */
#define RESERVED_PERCENT 25U
/* Least number of usable executors for reservations: on 8 executors of 32 cores
 * small tasks lost more by them than large ones gained, on 16 no more than what
 * seeds differ by (docs/design/look-ahead.md). */
#define RESERVED_POOL_MIN 16U
/* Most reservations in a round, and most batches that it tries to make one for:
 * both bound the time of a round in pools that are not split into shards. A
 * quarter of 64 executors. */
#define RESERVATIONS_MAX 16U
#define RESERVED_BATCHES_MAX 16U
/* Nothing is reserved while the jobs that have not started would keep all
 * usable executors busy for longer than this: not all of them can be served in
 * time then, and small tasks serve more of them with the same capacity. */
#define BACKLOG_MAX_US 400000U

/* ## Order of starts */

/** Precedence of batches by slack; lower values start first. */
enum lateness {
	/** Partly run: what it has computed is lost if the rest can't run. */
	STARTED,
	/** Can still meet its latency target. */
	IN_TIME,
	/** Can't meet its target any more, but its result is still of use; else
	 * it would have been ended. */
	LATE,
};

/* Start until which a batch is likely to meet its latency target, if a wait may
 * take this share of the slack. */
static uint64_t latest_start_us(const struct ph_batch *b,
				uint32_t slack_percent)
{
	uint64_t need_us = b->request->estimate_us + TARGET_MARGIN_US;
	uint64_t slack_us = b->request->target_us > need_us
				    ? b->request->target_us - need_us
				    : 0;

	return b->arrived_us + slack_us * slack_percent / PERCENT;
}

uint64_t ph_batch_target_start_us(const struct ph_batch *b)
{
	return latest_start_us(b, SLACK_PERCENT);
}

static enum lateness lateness(const struct ph_batch *b, uint64_t latest_us,
			      uint64_t now_us)
{
	if (b->started)
		return STARTED;
	return now_us <= latest_us ? IN_TIME : LATE;
}

static bool starts_before(const struct ph_batch *a, const struct ph_batch *b,
			  uint32_t slack_percent, uint64_t now_us)
{
	uint64_t a_latest_us = latest_start_us(a, slack_percent);
	uint64_t b_latest_us = latest_start_us(b, slack_percent);
	enum lateness a_lateness = lateness(a, a_latest_us, now_us);
	enum lateness b_lateness = lateness(b, b_latest_us, now_us);

	if (a_lateness != b_lateness)
		return a_lateness < b_lateness;
	if (a_lateness != LATE)
		return a_latest_us < b_latest_us;
	if (a->request->priority != b->request->priority)
		return a->request->priority < b->request->priority;
	return a->arrived_us < b->arrived_us;
}

static bool slack_before(const struct ph_batch *a, const struct ph_batch *b,
			 uint64_t now_us)
{
	return starts_before(a, b, SLACK_PERCENT, now_us);
}

static bool last_moment_before(const struct ph_batch *a,
			       const struct ph_batch *b, uint64_t now_us)
{
	return starts_before(a, b, PERCENT, now_us);
}

const struct ph_scheduling_policy ph_scheduling_slack = { "slack",
							  slack_before };
const struct ph_scheduling_policy ph_scheduling_last_moment = {
	"last-moment", last_moment_before
};

static bool fifo_before(const struct ph_batch *a, const struct ph_batch *b,
			uint64_t now_us)
{
	(void)now_us;
	return a->received_us < b->received_us;
}

const struct ph_scheduling_policy ph_scheduling_fifo = { "fifo", fifo_before };

const struct ph_scheduling_policy *const ph_scheduling_policies[] = {
	&ph_scheduling_slack,
	&ph_scheduling_last_moment,
	&ph_scheduling_fifo,
	NULL,
};

/* ## Placement */

/* Whether its entry in the list is that of its present incarnation, which may
 * be of another kind or size than the one before. If the entry doesn't tell, it
 * has to be read after the restart was noticed. */
static bool entry_current(const struct ph_pool *pool,
			  const struct ph_executor *x)
{
	if (x->info.started_ms && x->started_ms)
		return x->info.started_ms == x->started_ms;
	return !x->restarted_us || pool->list_read_us > x->restarted_us;
}

/* True if the executor answers polls and isn't about to leave. */
static bool reachable(const struct ph_pool *pool, const struct ph_executor *x,
		      uint64_t now_us)
{
	return x->listed && x->polled && !x->info.draining &&
	       !x->poll_failures && entry_current(pool, x) &&
	       now_us < x->poll_ok_us + pool->opt.lease_us / SILENT_DIVISOR;
}

bool ph_executor_usable(const struct ph_pool *pool, const struct ph_executor *x,
			uint64_t now_us)
{
	return reachable(pool, x, now_us) &&
	       ph_lease_allows_start(pool, x, now_us) &&
	       (now_us >= x->faults.until_us ||
		!ph_mechanism_on(pool->opt.off, PH_MECHANISM_AVOID_FAILING)) &&
	       (now_us >= x->unanswered.until_us || pool->widespread_loss ||
		!ph_mechanism_on(pool->opt.off,
				 PH_MECHANISM_AVOID_UNANSWERING));
}

/* Decides whether unanswered commands count against the executors or are
 * attributed to the network. */
static void update_widespread_loss(struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;
	uint32_t all = 0;
	uint32_t losing = 0;
	bool widespread;

	for (x = pool->executors; x; x = x->next) {
		if (!reachable(pool, x, now_us))
			continue;
		all++;
		losing += x->unanswered.count > 0;
	}
	widespread =
		losing * PERCENT > all * WIDESPREAD_LOSS_PERCENT &&
		ph_mechanism_on(pool->opt.off, PH_MECHANISM_WIDESPREAD_LOSS);
	if (widespread != pool->widespread_loss)
		ph_event(PART,
			 "event=call_loss_%s pool=%s executors_with_loss=%u "
			 "executors_reachable=%u",
			 widespread ? "widespread" : "local", pool->opt.name,
			 losing, all);
	pool->widespread_loss = widespread;
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

/* Failures that count against an executor. */
static uint32_t failures(const struct ph_pool *pool,
			 const struct ph_executor *x)
{
	uint32_t n = 0;

	if (ph_mechanism_on(pool->opt.off, PH_MECHANISM_AVOID_FAILING))
		n += x->faults.count;
	if (ph_mechanism_on(pool->opt.off, PH_MECHANISM_AVOID_UNANSWERING) &&
	    !pool->widespread_loss)
		n += x->unanswered.count;
	return n;
}

/* The executor with the lowest rank is chosen: first by the number of failures,
 * then by the cores left on it times its relative run time, which prefers a
 * tight fit and a fast executor. */
static uint64_t rank(const struct ph_pool *pool, const struct ph_executor *x,
		     const struct ph_capacity *need)
{
	if (!ph_mechanism_on(pool->opt.off, PH_MECHANISM_BEST_FIT))
		return (uint64_t)failures(pool, x) << 48;
	uint64_t left = x->info.capacity.cpu_milli - x->used.cpu_milli -
			need->cpu_milli;
	uint64_t run_time = x->run_time_percent < RUN_TIME_MIN_PERCENT
				    ? RUN_TIME_MIN_PERCENT
				    : x->run_time_percent;

	return ((uint64_t)failures(pool, x) << 48) + left * run_time / PERCENT;
}

/* Whether an executor is set aside for a task that is to run alone. */
static bool set_aside(const struct ph_executor *x)
{
	const struct ph_run *run;

	if (x->held)
		return true;
	for (run = x->runs; run; run = run->next)
		if (run->alone)
			return true;
	return false;
}

/* Whether one more executor may be set aside. */
static bool may_set_aside(const struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;
	uint32_t usable = 0;
	uint32_t aside = 0;

	for (x = pool->executors; x; x = x->next) {
		if (!ph_executor_usable(pool, x, now_us))
			continue;
		usable++;
		aside += set_aside(x);
	}
	return !aside || (aside + 1) * ALONE_DIVISOR <= usable;
}

/* Chooses an executor without runs for a task that is to run alone. If there is
 * none, returns NULL, and holds the one with the least work on request, so that
 * it gets empty. */
static struct ph_executor *choose_empty(struct ph_pool *pool,
					const struct ph_batch *batch, bool hold,
					uint64_t now_us)
{
	const struct ph_capacity nothing = { 0 };
	const struct ph_batch_request *w = batch->request;
	struct ph_executor *best = NULL;
	struct ph_executor *x;

	if (!may_set_aside(pool, now_us))
		return NULL;
	for (x = pool->executors; x; x = x->next) {
		if (strcmp(x->info.service, w->service) != 0 ||
		    !ph_executor_usable(pool, x, now_us) || set_aside(x) ||
		    !ph_capacity_fits(&x->info.capacity, &nothing, &w->need) ||
		    !label_ok(x, w->label))
			continue;
		if (!best || (!x->runs && best->runs) ||
		    (!x->runs == !best->runs &&
		     x->used.cpu_milli < best->used.cpu_milli))
			best = x;
	}
	if (!best || !best->runs)
		return best;
	best->held = hold;
	return NULL;
}

/* Whether a task of the batch may be started on the executor if it had room.
 * It is not known what an unclaimed run needs, and not all executors guard
 * their capacity. */
static bool suitable(const struct ph_pool *pool, const struct ph_executor *x,
		     const struct ph_batch_request *w, uint64_t now_us)
{
	return !strcmp(x->info.service, w->service) &&
	       ph_executor_usable(pool, x, now_us) && label_ok(x, w->label) &&
	       !set_aside(x) && !ph_executor_has_unclaimed(x);
}

/* After a failure an executor gets one run at a time until one succeeds, or is
 * on schedule: a long one would else keep it half empty. */
static bool on_trial(const struct ph_pool *pool, const struct ph_executor *x)
{
	const struct ph_run *run;

	if (!failures(pool, x))
		return false;
	for (run = x->runs; run; run = run->next)
		if (!ph_progress_on_schedule(run))
			return true;
	return false;
}

/* Run time of a batch's tasks on an executor, as far as it is known. */
static uint64_t expected_us(const struct ph_executor *x,
			    const struct ph_batch *b)
{
	return b->request->estimate_us * x->run_time_percent / PERCENT;
}

/* Chooses an executor for a task. Tells whether there is one that has room, but
 * is reserved for another task. */
static struct ph_executor *choose_executor(struct ph_pool *pool,
					   const struct ph_batch *batch,
					   bool *deferred, uint64_t now_us)
{
	const struct ph_batch_request *w = batch->request;
	struct ph_executor *best = NULL;
	struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		if (!ph_capacity_fits(&x->info.capacity, &x->used, &w->need) ||
		    !suitable(pool, x, w, now_us) || on_trial(pool, x))
			continue;
		if (!ph_reserve_admits(&x->reserved, &w->need,
				       expected_us(x, batch), now_us)) {
			*deferred = true;
			continue;
		}
		if (!best ||
		    rank(pool, x, &w->need) < rank(pool, best, &w->need))
			best = x;
	}
	return best;
}

void ph_pool_room(const struct ph_pool *pool, const struct ph_batch *batch,
		  uint64_t now_us, struct ph_room *room)
{
	const struct ph_batch_request *w = batch->request;
	const struct ph_executor *x;

	memset(room, 0, sizeof(*room));
	for (x = pool->executors; x; x = x->next) {
		if (!suitable(pool, x, w, now_us) ||
		    x->info.capacity.cpu_milli <= x->used.cpu_milli)
			continue;
		room->free_milli +=
			x->info.capacity.cpu_milli - x->used.cpu_milli;
		if (!ph_capacity_fits(&x->info.capacity, &x->used, &w->need))
			continue;
		room->fitting += !on_trial(pool, x);
		room->on_trial += on_trial(pool, x);
	}
}

/* Time by which the leases of all runs that an earlier owner started for a
 * batch have expired. An owner that is cut off renews them until executors
 * refuse its token, or until it has ended the batch and a stop is overdue,
 * counted from about the time at which the batch is submitted here. A tenth of
 * the lease is the margin. */
static uint64_t orphans_expired_us(const struct ph_pool *pool,
				   const struct ph_batch *b)
{
	return b->received_us + SUBMITTER_LOSS_US + pool->opt.lease_us +
	       pool->opt.lease_us / 10;
}

/* Whether an earlier run of a task may be on an executor, by what is known of
 * its location. */
static bool may_be_on(const struct ph_batch *b, uint32_t location,
		      const struct ph_executor *x, uint64_t now_us)
{
	if (location == PH_EXECUTOR_UNKNOWN)
		return ph_executor_followed(x, now_us) &&
		       !strcmp(x->info.service, b->request->service);
	return location == ph_executor_hash(x->info.id);
}

/* Whether an earlier run of a task may be alive, as far as time tells. */
static bool earlier_run_possible(const struct ph_pool *pool,
				 const struct ph_batch *b, uint32_t index,
				 uint64_t now_us)
{
	return b->request->resumed &&
	       b->request->possible_executor[index] != PH_EXECUTOR_NONE &&
	       now_us < orphans_expired_us(pool, b);
}

bool ph_batch_awaits_poll(const struct ph_pool *pool, const struct ph_batch *b,
			  const struct ph_executor *x, uint64_t now_us)
{
	uint32_t i;

	if (!b->request->resumed || !b->waiting || ph_poll_since_batch(x, b))
		return false;
	for (i = 0; i < b->request->count; i++) {
		if (b->tasks[i].state != PH_BATCH_TASK_WAITING)
			continue;
		if (ph_late_start_verification(x, b, i) != PH_START_VERIFIED ||
		    (earlier_run_possible(pool, b, i, now_us) &&
		     may_be_on(b, b->request->possible_executor[i], x, now_us)))
			return true;
	}
	return false;
}

static bool all_polled(const struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (!x->polled && ph_executor_followed(x, now_us))
			return false;
	return true;
}

/* Whether all executors where an earlier run of a task may be are known, and
 * have answered a poll since the batch arrived. */
static bool location_polled(const struct ph_pool *pool,
			    const struct ph_batch *b, uint32_t location,
			    uint64_t now_us)
{
	bool known = location == PH_EXECUTOR_UNKNOWN &&
		     ph_batch_executors_known(pool, b) &&
		     all_polled(pool, now_us);
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		if (!may_be_on(b, location, x, now_us))
			continue;
		if (!ph_poll_since_batch(x, b))
			return false;
		known = known || location != PH_EXECUTOR_UNKNOWN;
	}
	return known;
}

/* True if a task has no run left from an earlier owner: such a run would have
 * been reported by a poll, or its lease has expired. */
static bool earlier_run_gone(const struct ph_pool *pool,
			     const struct ph_batch *b, uint32_t index,
			     uint64_t now_us)
{
	return !earlier_run_possible(pool, b, index, now_us) ||
	       location_polled(pool, b, b->request->possible_executor[index],
			       now_us);
}

/* True if a run of the task is left, from an earlier submission of the job or
 * being stopped, or may still be started. */
static bool has_run(const struct ph_pool *pool, const char *job, uint32_t index)
{
	const struct ph_executor *x;
	const struct ph_run *r;

	for (x = pool->executors; x; x = x->next)
		for (r = x->runs; r; r = r->next)
			if (r->index == index && !strcmp(r->job, job))
				return true;
	return false;
}

/* Whether an earlier owner may have started the task where no poll has shown
 * since what became of that. One that was most likely answered is over with its
 * lease. */
static bool awaits_verification(const struct ph_pool *pool,
				const struct ph_batch *b, uint32_t index,
				uint64_t now_us)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		enum ph_verification v =
			ph_late_start_verification(x, b, index);

		if (v == PH_START_UNANSWERED ||
		    (v == PH_START_IN_DOUBT &&
		     now_us < orphans_expired_us(pool, b)))
			return true;
	}
	return false;
}

static bool may_start(const struct ph_pool *pool, const struct ph_batch *b,
		      uint32_t index, uint64_t now_us)
{
	/* Another owner may have claimed a run that this one takes for expired.
	 */
	if (b->maybe_resumed || (b->owner_suspected && b->tasks[index].expired))
		return false;
	return earlier_run_gone(pool, b, index, now_us) &&
	       !awaits_verification(pool, b, index, now_us) &&
	       !has_run(pool, b->request->job, index);
}

bool ph_batch_task_clear(const struct ph_pool *pool, const struct ph_batch *b,
			 uint32_t index, uint64_t now_us)
{
	return may_start(pool, b, index, now_us);
}

bool ph_executor_first_poll_pending(const struct ph_pool *pool,
				    const struct ph_executor *x)
{
	return ph_mechanism_on(pool->opt.off, PH_MECHANISM_PENDING_POLLS) &&
	       x->listed && !x->polled && !x->poll_failures &&
	       !x->info.draining;
}

/* Capacity of the service's executors that are usable, or may be as far as this
 * owner knows. */
static uint64_t possible_milli(const struct ph_pool *pool, const char *service,
			       uint64_t now_us)
{
	const struct ph_executor *x;
	uint64_t sum = 0;

	for (x = pool->executors; x; x = x->next)
		if (!strcmp(x->info.service, service) &&
		    (ph_executor_usable(pool, x, now_us) ||
		     ph_executor_first_poll_pending(pool, x)))
			sum += x->info.capacity.cpu_milli;
	return sum;
}

/* ## Look-ahead */

/* Prepares the reservations of a round. */
static void begin_reservations(struct ph_pool *pool, uint64_t now_us)
{
	uint64_t capacity_milli = 0;
	uint64_t waiting_milli_us = 0;
	const struct ph_batch *b;
	struct ph_executor *x;
	uint32_t usable = 0;

	pool->reservations_left = 0;
	if (!ph_mechanism_on(pool->opt.off, PH_MECHANISM_LOOK_AHEAD))
		return;
	for (x = pool->executors; x; x = x->next) {
		if (!ph_executor_usable(pool, x, now_us))
			continue;
		usable++;
		capacity_milli += x->info.capacity.cpu_milli;
	}
	for (b = pool->batches; b; b = b->next)
		waiting_milli_us += b->started ? 0 : ph_batch_core_time(b);
	if (usable >= RESERVED_POOL_MIN &&
	    waiting_milli_us <= capacity_milli * BACKLOG_MAX_US)
		pool->reservations_left = usable * RESERVED_PERCENT / PERCENT;
	if (pool->reservations_left > RESERVATIONS_MAX)
		pool->reservations_left = RESERVATIONS_MAX;
	pool->reserve_tries_left = RESERVED_BATCHES_MAX;
}

/* When a run is likely to end. A run of unknown length keeps its capacity for
 * as long as it may be claimed. */
static uint64_t expected_end_us(const struct ph_executor *x,
				const struct ph_run *run, uint64_t now_us)
{
	uint64_t elapsed_us =
		now_us > run->created_us ? now_us - run->created_us : 0;
	uint64_t percent_us = x->poll_ok_us > run->created_us
				      ? x->poll_ok_us - run->created_us
				      : 0;

	if (!run->batch)
		return now_us + elapsed_us;
	return now_us + ph_reserve_left_us(run->batch->request->estimate_us,
					   x->run_time_percent, elapsed_us,
					   run->percent, percent_us);
}

/* Finds out what an executor could reserve for a task. */
static void find_candidate(struct ph_pool *pool, struct ph_executor *x,
			   const struct ph_batch *b, uint64_t now_us)
{
	const struct ph_run *run;
	size_t n = 0;

	x->candidate.from_us = 0;
	if (x->reserved.from_us || !suitable(pool, x, b->request, now_us) ||
	    on_trial(pool, x))
		return;
	for (run = x->runs; run; run = run->next)
		n++;
	if (n > pool->ends_size) {
		pool->ends_size = 2 * n;
		pool->ends = pool->mem->realloc(
			pool->ends, pool->ends_size * sizeof(*pool->ends));
	}
	n = 0;
	for (run = x->runs; run; run = run->next) {
		pool->ends[n].end_us = expected_end_us(x, run, now_us);
		pool->ends[n++].need = run->need;
	}
	if (!ph_reserve_find(&x->info.capacity, pool->ends, n,
			     &b->request->need, now_us, &x->candidate))
		x->candidate.from_us = 0;
}

/* Start up to which capacity is kept free for a batch: a job that is not
 * likely to end in time leaves it to others, unless it would lose what it has
 * computed. */
static uint64_t latest_reserved_us(const struct ph_pool *pool,
				   const struct ph_batch *b)
{
	return b->started ? b->arrived_us + ph_batch_longest_wait_us(pool, b)
			  : latest_start_us(b, SLACK_PERCENT);
}

/* Logs the first reservation for a batch. */
static void log_reservation(const struct ph_pool *pool,
			    const struct ph_executor *x,
			    const struct ph_batch *b, uint64_t latest_us,
			    uint64_t now_us)
{
	ph_event(PART,
		 "event=executor_reserved job=%s pool=%s executor=%s "
		 "need_milli=%u tasks_waiting=%u expected_in_us=%llu "
		 "latest_in_us=%llu",
		 b->request->job, pool->opt.name, x->info.id,
		 b->request->need.cpu_milli, b->waiting,
		 (unsigned long long)(x->candidate.from_us - now_us),
		 (unsigned long long)(latest_us - now_us));
}

void ph_pool_dump_reservations(const struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (x->reserved.from_us)
			ph_event(
				PART,
				"event=dump_reservation pool=%s executor=%s "
				"need_milli=%u spare_milli=%u "
				"expected_in_us=%llu",
				pool->opt.name, x->info.id,
				x->reserved.need.cpu_milli,
				x->reserved.spare.cpu_milli,
				(unsigned long long)(x->reserved.from_us >
								     now_us
							     ? x->reserved.from_us -
								       now_us
							     : 0));
}

/* Reserves executors for the waiting tasks of a batch that find no capacity, if
 * they will have it in time. */
static void reserve(struct ph_pool *pool, struct ph_batch *b, uint64_t now_us)
{
	uint64_t latest_us = latest_reserved_us(pool, b);
	struct ph_executor *x;
	uint32_t n = 0;

	/* Tasks that may not start at present, or only alone, keep nothing
	 * free. */
	if (!pool->reservations_left || latest_us < now_us ||
	    b->maybe_resumed || ph_crashes_has_job(pool->crashes, b->job_hash))
		return;
	if (!pool->reserve_tries_left)
		return;
	pool->reserve_tries_left--;
	for (x = pool->executors; x; x = x->next)
		find_candidate(pool, x, b, now_us);
	for (; n < b->waiting && pool->reservations_left; n++) {
		struct ph_executor *best = NULL;

		for (x = pool->executors; x; x = x->next)
			if (x->candidate.from_us &&
			    x->candidate.from_us <= latest_us &&
			    (!best ||
			     x->candidate.from_us < best->candidate.from_us))
				best = x;
		if (!best)
			break;
		if (!b->reserved && !n)
			log_reservation(pool, best, b, latest_us, now_us);
		best->reserved = best->candidate;
		best->candidate.from_us = 0;
		pool->reservations_left--;
	}
	if (n > b->reserved) {
		pool->counters.reservations += n - b->reserved;
		b->reserved = n;
	}
}

/* ## Jobs of different lengths */

/* Whether the length of a batch's tasks lets one more of them start. */
static bool length_allows(const struct ph_pool *pool, const struct ph_batch *b)
{
	const struct ph_lengths *l = ph_lengths_of(pool, b->request->service);

	return !ph_mechanism_on(pool->opt.off, PH_MECHANISM_LENGTH_LIMIT) ||
	       ph_lengths_allows(l, b->request->estimate_us,
				 b->request->need.cpu_milli);
}

/* Whether tasks of a batch's length may hold less than all capacity. Else they
 * are held back only while the pool is full. */
static bool length_bounded(const struct ph_pool *pool, const struct ph_batch *b)
{
	const struct ph_lengths *l = ph_lengths_of(pool, b->request->service);

	return ph_lengths_limit_milli(l, b->request->estimate_us) <
	       l->capacity_milli;
}

/* Starts a task, and counts it among what tasks of its length hold. */
static struct ph_run *start_task(struct ph_pool *pool, struct ph_executor *x,
				 struct ph_batch *b, uint32_t index,
				 uint64_t now_us)
{
	struct ph_lengths *l = ph_lengths_of(pool, b->request->service);

	ph_lengths_hold(l, b->request->estimate_us, b->request->estimate_us,
			b->request->need.cpu_milli);
	if (b->started || now_us <= ph_batch_target_start_us(b))
		ph_admission_started(&l->admission, now_us,
				     (uint64_t)b->request->need.cpu_milli *
					     b->request->estimate_us);
	pool->counters.backfilled += x->reserved.from_us != 0;
	ph_reserve_start(&x->reserved, &b->request->need, expected_us(x, b),
			 now_us);
	return ph_run_start(pool, x, b, index, now_us);
}

/* How long a run has been going on. It may have been started a little later
 * than now_us, by an event of the same iteration of the control thread. */
static uint64_t run_elapsed_us(const struct ph_run *run, uint64_t now_us)
{
	return now_us > run->created_us ? now_us - run->created_us : 0;
}

/* A run that outlasts its declared time counts as what it has become. */
static uint64_t run_length_us(const struct ph_run *run, uint64_t now_us)
{
	uint64_t elapsed_us = run_elapsed_us(run, now_us);
	uint64_t estimate_us = run->batch->request->estimate_us;

	return elapsed_us > estimate_us ? elapsed_us : estimate_us;
}

/* What is left of the declared time of a run. */
static uint64_t run_left_us(const struct ph_run *run, uint64_t now_us)
{
	return run_length_us(run, now_us) - run_elapsed_us(run, now_us);
}

/* Finds out what tasks of each length hold at the beginning of a round. */
static void measure_lengths(struct ph_pool *pool, uint64_t now_us)
{
	const struct ph_executor *x;
	const struct ph_run *run;
	struct ph_lengths *l;

	for (l = pool->lengths; l; l = l->next)
		ph_lengths_begin(l, now_us,
				 possible_milli(pool, l->service, now_us));
	for (x = pool->executors; x; x = x->next) {
		if (!ph_executor_usable(pool, x, now_us))
			continue;
		for (run = x->runs; run; run = run->next) {
			if (!run->batch)
				continue;
			l = ph_lengths_of(pool, run->batch->request->service);
			ph_lengths_hold(l, run_length_us(run, now_us),
					run_left_us(run, now_us),
					run->need.cpu_milli);
		}
	}
}

/* Starts the waiting tasks of a batch that were on lost executors, alone, as
 * far as there are empty executors. Those that are not suspected start like
 * others if there is none. */
static void place_alone(struct ph_pool *pool, struct ph_batch *b,
			uint64_t now_us)
{
	uint32_t i;

	if (!ph_crashes_has_job(pool->crashes, b->job_hash))
		return;
	for (i = 0; i < b->request->count; i++) {
		const struct ph_suspect *suspect;
		struct ph_executor *x;

		if (b->tasks[i].state != PH_BATCH_TASK_WAITING)
			continue;
		suspect = ph_crashes_find(pool->crashes, b->job_hash, i);
		if (!suspect || !suspect->losses ||
		    suspect->losses >= PH_LOSSES_MAX ||
		    !length_allows(pool, b) || !may_start(pool, b, i, now_us))
			continue;
		x = choose_empty(pool, b, suspect->suspected, now_us);
		if (x)
			start_task(pool, x, b, i, now_us)->alone = true;
	}
}

/* Why the placement of a batch has stopped. */
enum placed {
	/** Its tasks were started, or may not start at present. */
	PLACED,
	/** No executor has room. */
	NO_ROOM,
	/** Only reserved executors have room. */
	ROOM_RESERVED,
	/** The pool is full, or a batch that needs no more has found no room in
	 * this round. */
	SKIPPED,
};

/* Starts the other waiting tasks of a batch until one finds no executor, or
 * tasks of their length hold as much as they may. */
static enum placed place_batch(struct ph_pool *pool, struct ph_batch *b,
			       uint64_t now_us)
{
	bool deferred = false;
	bool suspects = ph_crashes_has_job(pool->crashes, b->job_hash);
	uint32_t i;

	for (i = 0; i < b->request->count && b->waiting; i++) {
		struct ph_executor *x;

		if (b->tasks[i].state != PH_BATCH_TASK_WAITING ||
		    (suspects &&
		     ph_crashes_suspected(pool->crashes, b->job_hash, i)))
			continue;
		b->held_back = !length_allows(pool, b);
		if (b->held_back)
			return length_bounded(pool, b) ? PLACED : SKIPPED;
		x = choose_executor(pool, b, &deferred, now_us);
		if (!x)
			return deferred ? ROOM_RESERVED : NO_ROOM;
		if (may_start(pool, b, i, now_us))
			start_task(pool, x, b, i, now_us);
	}
	return PLACED;
}

/* The context of a comparison of two batches. */
struct order {
	const struct ph_scheduling_policy *policy;
	uint64_t now_us;
};

static int compare_batches(const void *a, const void *b, void *ctx)
{
	const struct ph_batch *x = *(const struct ph_batch *const *)a;
	const struct ph_batch *y = *(const struct ph_batch *const *)b;
	const struct order *order = ctx;

	if (order->policy->before(x, y, order->now_us))
		return -1;
	return order->policy->before(y, x, order->now_us);
}

/* Fills pool->waiting with the batches that have waiting tasks, in the order of
 * the policy, and returns their number. */
static size_t sort_waiting(struct ph_pool *pool, uint64_t now_us)
{
	struct order order = { pool->opt.policy, now_us };
	struct ph_batch *b;
	size_t n = 0;

	for (b = pool->batches; b; b = b->next)
		n += b->waiting > 0;
	if (n > pool->waiting_size) {
		pool->waiting_size = 2 * n;
		pool->waiting = pool->mem->realloc(
			pool->waiting,
			pool->waiting_size * sizeof(struct ph_batch *));
	}
	n = 0;
	for (b = pool->batches; b; b = b->next)
		if (b->waiting)
			pool->waiting[n++] = b;
	if (n)
		qsort_r(pool->waiting, n, sizeof(struct ph_batch *),
			compare_batches, &order);
	return n;
}

/* The line of a batch. */
static struct ph_line *line_of(struct ph_pool *pool, const struct ph_batch *b)
{
	struct ph_line *line;

	for (line = pool->lines; line; line = line->next)
		if (!strcmp(line->service, b->request->service) &&
		    !strcmp(line->label, b->request->label))
			return line;
	line = pool->mem->calloc(1, sizeof(*line));
	line->service = b->request->service;
	line->label = b->request->label;
	line->next = pool->lines;
	pool->lines = line;
	return line;
}

static void free_lines(struct ph_pool *pool)
{
	while (pool->lines) {
		struct ph_line *line = pool->lines;

		pool->lines = line->next;
		pool->mem->free(line);
	}
}

static bool needs_no_less(const struct ph_capacity *need,
			  const struct ph_capacity *than)
{
	return need->cpu_milli >= than->cpu_milli &&
	       need->mem_mb >= than->mem_mb && need->gpu >= than->gpu;
}

/* Whether a batch finds no executor, since one that precedes it and needs no
 * more has found none. */
static bool blocked(const struct ph_batch *b, const struct ph_line *line)
{
	return line->blocked && needs_no_less(&b->request->need, line->blocked);
}

/* Whether a batch finds only reserved executors, since one that precedes it,
 * needs no more and takes no longer has found no others. */
static bool deferred(const struct ph_batch *b, const struct ph_line *line)
{
	return line->deferred &&
	       b->request->estimate_us >= line->deferred->estimate_us &&
	       needs_no_less(&b->request->need, &line->deferred->need);
}

/* Notes what is ahead of a batch. Tasks for other executors are not: they need
 * not delay it. Nor are tasks of which what it needs is kept free. */
static void measure_wait(const struct ph_pool *pool, struct ph_batch *b,
			 struct ph_line *line)
{
	const struct ph_lengths *l = ph_lengths_of(pool, b->request->service);
	uint64_t length_us = b->request->estimate_us;
	bool limited =
		ph_mechanism_on(pool->opt.off, PH_MECHANISM_LENGTH_LIMIT);
	uint32_t octaves = limited ? ph_lengths_far_octave(
					     ph_batch_longest_wait_us(pool, b))
				   : PH_LENGTH_OCTAVES;
	uint32_t k;

	b->ahead_milli_us = 0;
	for (k = 0; k < octaves; k++)
		b->ahead_milli_us += line->waiting_milli_us[k];
	b->possible_milli = b->ahead_milli_us ? l->capacity_milli : 0;
	line->waiting_milli_us[ph_lengths_octave(length_us)] +=
		ph_batch_core_time(b);
	b->part_wait_us =
		limited ? ph_lengths_wait_us(l, line->waiting_milli_us,
					     length_us,
					     b->request->need.cpu_milli)
			: 0;
}

/* Starts what may start of a batch, and notes what is ahead of it. */
static void place_in_turn(struct ph_pool *pool, struct ph_batch *b,
			  uint64_t now_us)
{
	struct ph_line *line = line_of(pool, b);
	enum placed placed = SKIPPED;

	b->held_back = false;
	if (!blocked(b, line) && !deferred(b, line))
		placed = place_batch(pool, b, now_us);
	if (placed == NO_ROOM)
		line->blocked = &b->request->need;
	else if (placed == ROOM_RESERVED)
		line->deferred = b->request;
	if (placed != PLACED)
		reserve(pool, b, now_us);
	measure_wait(pool, b, line);
}

/* Notes how much is in use where tasks were left without an executor. What a
 * label leaves of the capacity is not known, so lines with one don't count. */
static void note_blocked(struct ph_pool *pool)
{
	const struct ph_line *line;
	struct ph_lengths *l;

	for (line = pool->lines; line; line = line->next) {
		if (!line->blocked || line->label[0])
			continue;
		l = ph_lengths_of(pool, line->service);
		ph_admission_blocked(&l->admission, ph_lengths_held_milli(l),
				     l->capacity_milli);
	}
}

void ph_pool_place(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_executor *x;
	size_t count;
	size_t i;

	/* A refused token means that another instance may own the pool. */
	if (pool->fenced || !ph_pool_allows_start(pool, now_us))
		return;
	update_widespread_loss(pool, now_us);
	for (x = pool->executors; x; x = x->next) {
		x->held = false;
		x->reserved.from_us = 0;
	}
	count = sort_waiting(pool, now_us);
	if (count) {
		measure_lengths(pool, now_us);
		begin_reservations(pool, now_us);
	}
	for (i = 0; i < count; i++)
		place_alone(pool, pool->waiting[i], now_us);
	for (i = 0; i < count; i++)
		place_in_turn(pool, pool->waiting[i], now_us);
	note_blocked(pool);
	free_lines(pool);
	pool->dirty = false;
	pool->placed_us = now_us;
}
