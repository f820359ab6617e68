#include <stdlib.h>

#include "pool_reserve.h"

#define PERCENT 100U
/* A task counts as ending before a reservation if it does so when it takes this
 * much of its expected time: declared times are off by up to two fifths, so a
 * run may take 167% of it. */
#define OVERRUN_PERCENT 167U
/* Progress below this says too little of the time that a run takes in all. */
#define PROGRESS_MIN_PERCENT 10U
/* Part of its time so far that a run is taken to go on for once it has
 * outlasted its declared time without a report of its progress. */
#define OUTLASTED_DIVISOR 5U

uint64_t ph_reserve_left_us(uint64_t estimate_us, uint32_t run_time_percent,
			    uint64_t elapsed_us, uint32_t percent,
			    uint64_t percent_us)
{
	uint64_t total_us = estimate_us * run_time_percent / PERCENT;

	if (percent >= PROGRESS_MIN_PERCENT && percent_us)
		total_us = percent_us * PERCENT / percent;
	return total_us > elapsed_us ? total_us - elapsed_us
				     : elapsed_us / OUTLASTED_DIVISOR;
}

static int compare_ends(const void *a, const void *b)
{
	const struct ph_reserve_run *x = a;
	const struct ph_reserve_run *y = b;

	return x->end_us < y->end_us ? -1 : x->end_us > y->end_us;
}

bool ph_reserve_find(const struct ph_capacity *total,
		     struct ph_reserve_run *runs, size_t count,
		     const struct ph_capacity *need, uint64_t now_us,
		     struct ph_reservation *r)
{
	struct ph_capacity used = { 0 };
	uint64_t from_us = now_us;
	size_t i;

	for (i = 0; i < count; i++)
		ph_capacity_add(&used, &runs[i].need);
	/* Without runs the array may be NULL, which qsort() does not take. */
	if (count)
		qsort(runs, count, sizeof(*runs), compare_ends);
	for (i = 0; i < count && !ph_capacity_fits(total, &used, need); i++) {
		ph_capacity_sub(&used, &runs[i].need);
		if (runs[i].end_us > from_us)
			from_us = runs[i].end_us;
	}
	if (!ph_capacity_fits(total, &used, need))
		return false;
	r->from_us = from_us;
	r->need = *need;
	r->spare = *total;
	ph_capacity_sub(&r->spare, &used);
	ph_capacity_sub(&r->spare, need);
	return true;
}

static bool ends_before(const struct ph_reservation *r, uint64_t expected_us,
			uint64_t now_us)
{
	return now_us + expected_us * OVERRUN_PERCENT / PERCENT <= r->from_us;
}

bool ph_reserve_admits(const struct ph_reservation *r,
		       const struct ph_capacity *need, uint64_t expected_us,
		       uint64_t now_us)
{
	const struct ph_capacity nothing = { 0 };

	return !r->from_us || ends_before(r, expected_us, now_us) ||
	       ph_capacity_fits(&r->spare, &nothing, need);
}

void ph_reserve_start(struct ph_reservation *r, const struct ph_capacity *need,
		      uint64_t expected_us, uint64_t now_us)
{
	const struct ph_capacity nothing = { 0 };

	if (r->from_us && !ends_before(r, expected_us, now_us) &&
	    ph_capacity_fits(&r->spare, &nothing, need))
		ph_capacity_sub(&r->spare, need);
}
