/* Pools whose jobs differ widely in length. */

#include <gtest/gtest.h>

#include "job_mix.h"

namespace
{

using namespace job_mix;

/** Longer jobs beside those of usual length. */
struct LengthCase {
	const char *what;
	double long_share;
	double long_factor;
	/** Least share of the jobs of usual length that end in time. */
	double in_time_min;
};

/* The part of the time in which a restart of all executors has no effect of its
 * own any more, and jobs still arrive. */
constexpr double kFromS = 14;
constexpr double kUntilS = 30;

/* All executors restart while jobs wait that run for much longer than others
 * can wait. These must not take all executors once they are back. */
TEST(JobLengths, ShortJobsAreServedBesideLongOnesAfterARestartOfAllExecutors)
{
	const LengthCase cases[] = {
		{ "all of usual length", 0, 1, 0.9 },
		{ "most of one kind 20 times as long", 0.8, 20, 0.6 },
		{ "some of one kind 20 times as long", 0.4, 20, 0.75 },
	};

	for (const LengthCase &c : cases) {
		SCOPED_TRACE(c.what);
		Outage load;

		load.long_share = c.long_share;
		load.long_factor = c.long_factor;
		for (load.seed = 1; load.seed <= 3; load.seed++) {
			OutageResult r = simulate(load);

			EXPECT_GE(r.in_time_share(kFromS, kUntilS),
				  c.in_time_min)
				<< "seed " << load.seed;
			EXPECT_EQ(r.concurrent_runs, 0);
		}
	}
}

} // namespace
