#include "pool_admission.h"

#define PERMILLE 1000U
#define PERCENT 100U
/* Share of the smoothed rate that is counted on to continue: it is drawn from
 * few starts, and a batch must not be refused for a short peak. */
#define RATE_SURE_PERCENT 80U
/* Time constant of the smoothed rate. Shorter than a burst, so that the rate
 * follows it, and longer than most tasks, whose starts come in groups. */
#define RATE_TIME_US 500000U
/* Share of a new observation in the smoothed use of the capacity. */
#define USE_DIVISOR 16U
/* Where less than this is in use, tasks don't wait for capacity but, say, for
 * the first polls of the executors. */
#define USE_MIN_PERMILLE 500U

/* The smoothed rate at a later time without starts. It falls linearly; a start
 * counts from then on with its share of the time constant. */
static uint64_t rate_milli(const struct ph_admission *a, uint64_t now_us)
{
	uint64_t past_us = now_us > a->in_time_us ? now_us - a->in_time_us : 0;

	if (past_us >= RATE_TIME_US)
		return 0;
	return a->in_time_milli - a->in_time_milli * past_us / RATE_TIME_US;
}

void ph_admission_started(struct ph_admission *a, uint64_t now_us,
			  uint64_t milli_us)
{
	a->in_time_milli = rate_milli(a, now_us) + milli_us / RATE_TIME_US;
	a->in_time_us = now_us;
}

void ph_admission_blocked(struct ph_admission *a, uint64_t used_milli,
			  uint64_t capacity_milli)
{
	uint32_t now_permille;

	if (!capacity_milli)
		return;
	now_permille = (uint32_t)(used_milli * PERMILLE / capacity_milli);
	if (now_permille < USE_MIN_PERMILLE)
		return;
	if (now_permille > PERMILLE)
		now_permille = PERMILLE;
	if (!a->used_permille)
		a->used_permille = now_permille;
	a->used_permille = (a->used_permille * (USE_DIVISOR - 1) +
			    now_permille + USE_DIVISOR / 2) /
			   USE_DIVISOR;
}

uint64_t ph_admission_start_us(const struct ph_admission *a, uint64_t now_us,
			       const struct ph_admission_need *need)
{
	uint64_t milli = need->capacity_milli;
	uint64_t in_time_milli =
		rate_milli(a, now_us) * RATE_SURE_PERCENT / PERCENT;
	uint64_t start_us;

	if (a->used_permille)
		milli = milli * a->used_permille / PERMILLE;
	if (!milli)
		return UINT64_MAX;
	start_us = now_us + need->ahead_milli_us / milli;
	if (start_us <= need->target_start_us || !need->ahead_milli_us)
		return start_us;
	if (in_time_milli >= milli)
		return UINT64_MAX;
	return now_us + need->ahead_milli_us / (milli - in_time_milli);
}

bool ph_admission_hopeless(const struct ph_admission *a, uint64_t now_us,
			   const struct ph_admission_need *need)
{
	return ph_admission_start_us(a, now_us, need) > need->useful_start_us;
}
