/*
 * Many fronts of one failure domain that choose among its pools by loads which
 * are a heartbeat old. Fronts and members are the programs'; a pool is a number
 * of places and a queue. Time is simulated; deterministic by seed.
 */
#ifndef PH_TEST_SUBMITTER_WORLD_H
#define PH_TEST_SUBMITTER_WORLD_H

#include <cstdint>

extern "C" {
#include "submitter.h"
}

namespace submitter_world
{

struct Load {
	int fronts = 30;
	int pools = 7;
	/** Executors of a pool; each has room for two tasks. */
	int executors = 31;
	/** Offered work over what the pools can do. */
	double factor = 0.8;
	double seconds = 10;
	unsigned seed = 1;
	const ph_pool_choice_policy *policy = &ph_pool_choice_spread;
};

struct Spread {
	int jobs = 0;
	/** Wait for the last task's start. */
	double mean_wait_ms = 0;
	double p99_wait_ms = 0;
	/** Jobs that waited for longer than 50 ms. */
	double late_share = 0;
	/** Most tasks under way and waiting at a pool over the mean of all, in
	 * the mean over time. */
	double most_over_mean = 0;
};

Spread play(const Load &load);

} // namespace submitter_world

#endif
