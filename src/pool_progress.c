/* Progress of runs: when to look at a run, and whether its task would end
 * sooner on another executor. */

#include "pool_impl.h"

/* A run is looked at when it has taken this much of its declared time, and then
 * whenever its time has grown by as much again. */
#define CHECK_PERCENT 125U
/* Added to the time of a check: the start command and the poll take time. */
#define CHECK_EXTRA_US 10000U
/* Time that a move takes besides the run on the other executor: the stop, which
 * may last for ph_pool_options.stop_us, and the calls. */
#define MOVE_EXTRA_US 20000U
/* A run is moved if what is left of it would take this many times as long as a
 * new one: declared times are rough, and a move throws work away. */
#define MOVE_FACTOR 2U
/* Shortest time of a run, in percent of the declared one, after which its
 * progress says something. */
#define MIN_ELAPSED_PERCENT 50U
/* A run is on schedule if, as it goes on, it takes at most this many times as
 * long as declared: declared times are rough. */
#define SCHEDULE_FACTOR 2U
#define PERCENT 100U

uint64_t ph_progress_check_us(const struct ph_run *run, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - run->created_us;
	uint64_t time_us = run->batch->request->estimate_us;

	if (elapsed_us > time_us)
		time_us = elapsed_us;
	return run->created_us + time_us * CHECK_PERCENT / PERCENT +
	       CHECK_EXTRA_US;
}

bool ph_progress_on_schedule(const struct ph_run *run)
{
	const struct ph_executor *x = run->executor;
	uint64_t elapsed_us = x->poll_ok_us > run->created_us
				      ? x->poll_ok_us - run->created_us
				      : 0;

	return run->batch && run->state == PH_RUN_RUNNING && run->percent &&
	       elapsed_us * PERCENT <= run->batch->request->estimate_us *
					       run->percent * SCHEDULE_FACTOR;
}

bool ph_progress_worth_move(const struct ph_pool *pool,
			    const struct ph_run *run, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - run->created_us;
	uint64_t estimate_us = run->batch->request->estimate_us;
	uint64_t elsewhere_us = estimate_us + pool->opt.stop_us + MOVE_EXTRA_US;
	uint64_t left_us;

	if (elapsed_us <
	    estimate_us * MIN_ELAPSED_PERCENT / PERCENT + CHECK_EXTRA_US)
		return false;
	/* Without any progress: as if the first percent was about to come. */
	left_us = elapsed_us * (PERCENT - run->percent) /
		  (run->percent ? run->percent : 1);
	return left_us > MOVE_FACTOR * elsewhere_us;
}
