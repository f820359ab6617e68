/* What an owner tells of starts that may still be carried out when it is no
 * longer there: to the submitters of their batches, which pass it on to the
 * next owner. */

#include <string.h>

#include "ident.h"
#include "pool_impl.h"

/* A start that may still be carried out, and the hash of its job's id. */
typedef void visit_fn(void *ctx, uint64_t job_hash,
		      const struct ph_unconfirmed_start *start);

static void visit_late(const struct ph_late_start *s, uint64_t now_us,
		       visit_fn *visit, void *ctx)
{
	for (; s; s = s->next) {
		struct ph_unconfirmed_start start = {
			.index = s->index,
			.executor = s->executor,
			.run = s->run,
			.unanswered = !s->unverified || s->unanswered,
			.age_us = now_us - s->sent_us,
		};

		if (start.age_us < PH_LATE_START_US)
			visit(ctx, s->job_hash, &start);
	}
}

static void visit_runs(const struct ph_executor *x, uint64_t now_us,
		       visit_fn *visit, void *ctx)
{
	const struct ph_run *run;

	for (run = x->runs; run; run = run->next) {
		struct ph_unconfirmed_start start = {
			.index = run->index,
			.run = run->run,
			.unanswered = run->state == PH_RUN_STOPPING,
			.age_us = now_us - run->created_us,
		};

		if (run->state == PH_RUN_ORPHANED ||
		    ph_start_settled(run, now_us))
			continue;
		start.executor = ph_executor_hash(x->info.id);
		visit(ctx, ph_hash_str(run->job), &start);
	}
}

static void visit_all(const struct ph_pool *pool, uint64_t now_us,
		      visit_fn *visit, void *ctx)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next) {
		visit_runs(x, now_us, visit, ctx);
		visit_late(x->late_starts, now_us, visit, ctx);
	}
	visit_late(pool->unlisted_late_starts, now_us, visit, ctx);
}

static bool concerns(const struct ph_batch *b, uint64_t job_hash,
		     const struct ph_unconfirmed_start *start)
{
	return b->job_hash == job_hash && start->index < b->request->count &&
	       b->tasks[start->index].state != PH_BATCH_TASK_DONE;
}

struct collected {
	const struct ph_batch *batch;
	struct ph_unconfirmed *out;
};

static void collect(void *ctx, uint64_t job_hash,
		    const struct ph_unconfirmed_start *start)
{
	struct collected *c = ctx;

	if (concerns(c->batch, job_hash, start))
		ph_unconfirmed_add(c->out, start);
}

void ph_unconfirmed_collect(const struct ph_pool *pool,
			    const struct ph_batch *b, uint64_t now_us,
			    struct ph_unconfirmed *out)
{
	struct collected c = { b, out };

	out->count = 0;
	out->incomplete = false;
	visit_all(pool, now_us, collect, &c);
}

void ph_unconfirmed_tell(struct ph_pool *pool, uint64_t now_us)
{
	struct ph_unconfirmed starts;
	struct ph_batch *b;

	for (b = pool->batches; b; b = b->next) {
		if (!b->report_due)
			continue;
		b->report_due = false;
		if (!pool->opt.sink->accepted)
			continue;
		ph_unconfirmed_collect(pool, b, now_us, &starts);
		pool->opt.sink->accepted(pool->opt.ctx, b->submitter, b->seq,
					 &starts);
	}
}

struct reporting {
	const struct ph_pool *pool;
	const char *submitter;
	struct ph_start_report *report;
};

static void add_to_report(void *ctx, uint64_t job_hash,
			  const struct ph_unconfirmed_start *start)
{
	struct reporting *r = ctx;
	struct ph_start_report *report = r->report;
	const struct ph_batch *b;

	for (b = r->pool->batches; b; b = b->next) {
		if (!concerns(b, job_hash, start) ||
		    strcmp(b->submitter, r->submitter) != 0)
			continue;
		if (report->count == PH_REPORTED_STARTS_MAX) {
			report->incomplete = true;
			return;
		}
		report->starts[report->count].seq = b->seq;
		report->starts[report->count++].start = *start;
	}
}

void ph_pool_report_starts(const struct ph_pool *pool, uint64_t now_us,
			   const char *submitter,
			   struct ph_start_report *report)
{
	struct reporting r = { pool, submitter, report };

	if (pool->owned)
		visit_all(pool, now_us, add_to_report, &r);
}
