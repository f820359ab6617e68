/* What becomes of the batches of a pool whose failure domain is evacuated. */

#include <string.h>

#include "pool_impl.h"

bool ph_pool_evacuated(const struct ph_pool *pool)
{
	return pool->opt.evacuation &&
	       ph_evacuation_active(pool->opt.evacuation, pool->domain);
}

bool ph_pool_allows_start(const struct ph_pool *pool, uint64_t now_us)
{
	return !pool->opt.evacuation ||
	       ph_evacuation_allows_start(pool->opt.evacuation, now_us,
					  pool->domain);
}

bool ph_batch_has_no_executor(const struct ph_pool *pool,
			      const struct ph_batch *b)
{
	const struct ph_capacity nothing = { 0 };
	const struct ph_executor *x;
	bool any = false;

	if (b->started || !pool->opt.evacuation ||
	    !ph_evacuation_any(pool->opt.evacuation))
		return false;
	for (x = pool->executors; x; x = x->next) {
		if (!x->listed)
			continue;
		any = true;
		if (!strcmp(x->info.service, b->request->service) &&
		    ph_capacity_fits(&x->info.capacity, &nothing,
				     &b->request->need))
			return false;
	}
	/* Without a list it is not known. */
	return any;
}

static bool any_placed(const struct ph_batch *b)
{
	uint32_t i;

	for (i = 0; i < b->request->count; i++)
		if (b->tasks[i].state == PH_BATCH_TASK_PLACED)
			return true;
	return false;
}

/* Whether an executor refuses the owner's token: another owner may renew the
 * lease of a run that this one takes for expired. */
static bool token_refused(const struct ph_pool *pool)
{
	const struct ph_executor *x;

	for (x = pool->executors; x; x = x->next)
		if (x->rejected_us)
			return true;
	return pool->fenced;
}

static bool task_clear(const struct ph_pool *pool, const struct ph_batch *b,
		       uint32_t index, uint64_t now_us)
{
	return ph_batch_task_clear(pool, b, index, now_us) &&
	       !(b->tasks[index].expired && token_refused(pool));
}

enum ph_evacuation_step ph_batch_evacuation(const struct ph_pool *pool,
					    const struct ph_batch *b,
					    uint64_t now_us)
{
	bool late = false;
	uint32_t i;

	if (any_placed(b))
		return PH_EVACUATION_WAIT;
	for (i = 0; i < b->request->count; i++) {
		if (b->tasks[i].state != PH_BATCH_TASK_WAITING)
			continue;
		if (!task_clear(pool, b, i, now_us))
			return PH_EVACUATION_WAIT;
		late = late || ph_late_start_of_task(pool, b, i);
	}
	if (!b->started)
		return PH_EVACUATION_NOT_RUN;
	return late ? PH_EVACUATION_UNKNOWN : PH_EVACUATION_ELSEWHERE;
}
