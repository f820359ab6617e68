/*
 * Simulates many submitters of one failure domain that choose among its pools
 * by loads which are up to a heartbeat old. It runs the real submitter and
 * cluster code; a pool is a number of task slots with a queue. Time is
 * simulated, and the same seed gives the same result.
 */
#ifndef PH_TEST_SUBMITTER_WORLD_H
#define PH_TEST_SUBMITTER_WORLD_H

#include <cstdint>

extern "C" {
#include "intern.h"
#include "submitter.h"
}

namespace submitter_world
{

struct Load {
	int submitters = 30;
	int pools = 7;
	/** Executors of a pool; each runs up to two tasks at a time. */
	int executors = 31;
	/** Offered work, relative to the capacity of all pools. */
	double factor = 0.8;
	/** Simulated time in which jobs arrive. */
	double seconds = 10;
	unsigned seed = 1;
	const ph_pool_choice_policy *policy = &ph_pool_choice_spread;
};

struct Result {
	int jobs = 0;
	/** A job's wait: from its submission until its last task starts. */
	double mean_wait_ms = 0;
	double p99_wait_ms = 0;
	/** Share of jobs that waited for longer than 50 ms. */
	double late_share = 0;
	/** Tasks running and queued at the fullest pool, relative to the mean
	 * of all pools; averaged over time. */
	double max_over_mean = 0;
};

Result simulate(const Load &load);

} // namespace submitter_world

#endif
