/* Probes: whether this instance reaches the executors of a pool that it does
 * not own, as after a network partition it may be unable to. */

#include <string.h>

#include "pool_impl.h"

/* Executors probed at a time: some may have failed. */
#define PROBES 3U
/* Shortest time between two rounds of probes. */
#define PROBE_INTERVAL_US 300000U
/* Time for which the answer of an executor counts: until the answers to the
 * second round of probes after it, as one round may get lost. */
#define REACHED_FOR_US 800000U

/* Finds the listed executor that follows x in the list, which is circular. */
static struct ph_executor *next_listed(struct ph_pool *pool,
				       const struct ph_executor *x)
{
	struct ph_executor *next = x ? x->next : NULL;

	while (next && !next->listed)
		next = next->next;
	if (next)
		return next;
	for (next = pool->executors; next && !next->listed; next = next->next)
		;
	return next;
}

/* A poll with token 0 changes nothing at an executor: one that knows a token
 * refuses it, one that knows none does not learn it. */
static void send_probe(struct ph_pool *pool, struct ph_executor *x)
{
	struct ph_poll poll = {
		.call_id = ++pool->last_call,
		.executor = x->info.id,
		.addr = x->info.addr,
		.timeout_us = PH_CALL_TIMEOUT_MAX_US,
	};

	x->poll_call = poll.call_id;
	pool->counters.probes++;
	pool->opt.sink->poll(pool->opt.ctx, &poll);
}

static void send_probes(struct ph_pool *pool)
{
	struct ph_executor *x =
		pool->probed_last ? ph_executor_find(pool, pool->probed_last)
				  : NULL;
	struct ph_executor *first = NULL;
	uint32_t i;

	for (i = 0; i < PROBES; i++) {
		x = next_listed(pool, x);
		if (!x || x == first)
			return;
		if (!first)
			first = x;
		send_probe(pool, x);
		pool->mem->free(pool->probed_last);
		pool->probed_last =
			ph_memdup(pool->mem, x->info.id, strlen(x->info.id));
	}
}

bool ph_pool_reached(struct ph_pool *pool, uint64_t now_us)
{
	if (!pool->probed_us || now_us >= pool->probed_us + PROBE_INTERVAL_US) {
		pool->probed_us = now_us;
		send_probes(pool);
	}
	return pool->reached_us && now_us < pool->reached_us + REACHED_FOR_US;
}

void ph_probe_done(struct ph_pool *pool, struct ph_executor *x,
		   enum ph_call_status status, uint64_t now_us)
{
	x->poll_call = 0;
	if (status != PH_CALL_UNKNOWN && !ph_call_unsent(status))
		pool->reached_us = now_us;
}
