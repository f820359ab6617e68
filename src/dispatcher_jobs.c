/* Jobs of callers: connects the submitter with the adapter and the peers. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"

/* End of the grace time that is kept for the answers to jobs that have to be
 * ended, and for closing the sockets. */
#define GRACE_MARGIN_US 700000U

/* ## Submitter callbacks */

static void sink_send(void *ctx, const struct ph_owner *owner,
		      const struct ph_poolmsg *msg)
{
	struct ph_poolmsg copy = *msg;

	ph_dispatcher_send(ctx, owner->addr, &copy);
}

static void sink_own_load(void *ctx, const char *pool_name,
			  struct ph_pool_load *load)
{
	struct ph_dispatcher *d = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(d, pool_name);

	memset(load, 0, sizeof(*load));
	if (p)
		ph_pool_measure(p->pool, ph_clock_us(), load);
}

static void sink_answer(void *ctx, uint64_t token, enum ph_job_outcome outcome,
			uint64_t retry_after_us, uint64_t took_us)
{
	struct ph_dispatcher *d = ctx;

	d->counters.answers[outcome]++;
	ph_histogram_add(&d->counters.response[outcome], took_us);
	d->platform->answer(d->platform_ctx, token, outcome, retry_after_us);
}

static bool sink_caller_connected(void *ctx, uint64_t token)
{
	struct ph_dispatcher *d = ctx;

	return d->platform->caller_connected(d->platform_ctx, token);
}

const struct ph_submitter_sink ph_dispatcher_submitter_sink = {
	.send = sink_send,
	.own_load = sink_own_load,
	.answer = sink_answer,
	.caller_connected = sink_caller_connected,
};

uint64_t ph_dispatcher_stop_deadline_us(const struct ph_dispatcher *d)
{
	return d->stop_us + d->settings.grace_us - GRACE_MARGIN_US;
}

void ph_dispatcher_submit(struct ph_dispatcher *d, uint64_t now_us,
			  uint64_t token, struct ph_batch_request *batch)
{
	d->counters.jobs++;
	ph_submitter_submit(d->submitter, now_us, token, batch);
}

enum ph_job_outcome ph_dispatcher_caller_disconnected(struct ph_dispatcher *d,
						      uint64_t now_us,
						      uint64_t token)
{
	d->counters.disconnects++;
	return ph_submitter_caller_disconnected(d->submitter, now_us, token);
}

size_t ph_dispatcher_cancel_job(struct ph_dispatcher *d, uint64_t now_us,
				const char *job)
{
	return ph_submitter_cancel_job(d->submitter, now_us, job);
}

void ph_dispatcher_callers_checked(struct ph_dispatcher *d)
{
	ph_cluster_callers_checked(d->cluster);
}
