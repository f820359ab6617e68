/* The callers' side of a node. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"

#define PART "node"
/* Last part of the grace time, kept for closing. */
#define GRACE_MARGIN_US 400000U

/* ## Front */

static void sink_send(void *ctx, const struct ph_owner *owner,
		      const struct ph_poolmsg *msg)
{
	struct ph_poolmsg copy = *msg;

	ph_dispatcher_send(ctx, owner->addr, &copy);
}

static void sink_own_load(void *ctx, const char *domain,
			  struct ph_pool_load *load)
{
	struct ph_dispatcher *n = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(n, domain);

	memset(load, 0, sizeof(*load));
	if (p)
		ph_pool_measure(p->pool, ph_clock_us(), load);
}

static void sink_answer(void *ctx, uint64_t token, enum ph_job_outcome outcome,
			uint64_t retry_after_us, uint64_t took_us)
{
	struct ph_dispatcher *n = ctx;

	n->counters.answers[outcome]++;
	ph_histogram_add(&n->counters.response[outcome], took_us);
	n->port->answer(n->port_ctx, token, outcome, retry_after_us);
}

const struct ph_submitter_sink ph_dispatcher_submitter_sink = {
	.send = sink_send,
	.own_load = sink_own_load,
	.answer = sink_answer,
};

/* When a stopping process ends at the latest. */
uint64_t ph_dispatcher_end_us(const struct ph_dispatcher *n)
{
	return n->stop_us + n->set.grace_us - GRACE_MARGIN_US;
}

void ph_dispatcher_submit(struct ph_dispatcher *n, uint64_t now_us,
			  uint64_t token, struct ph_batch_request *work)
{
	n->counters.jobs++;
	ph_submitter_submit(n->submitter, now_us, token, work);
}

void ph_dispatcher_caller_disconnected(struct ph_dispatcher *n, uint64_t now_us,
				       uint64_t token)
{
	n->counters.disconnects++;
	ph_submitter_caller_disconnected(n->submitter, now_us, token);
}
