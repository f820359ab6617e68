/* Refusal of batches that would start too late to be of use. */

#include <algorithm>

#include <gtest/gtest.h>

#include "pool_world.h"

extern "C" {
#include "pool_admission.h"
}

namespace
{

using namespace world;

constexpr uint64_t kNow = 10000 * kMs;
constexpr uint64_t kSecondUs = 1000 * kMs;

/** A batch behind others. */
struct PredictionCase {
	const char *what;
	/** Rate of started work that met its target, in thousandths of a core,
	 * and how long ago it was started. */
	uint64_t in_time_milli;
	uint64_t ago_us;
	/** Share of the capacity that was in use while tasks waited; 0: none
	 * has. */
	uint64_t used_percent;
	/** Time that 10 cores need for the work ahead. */
	uint64_t ahead_us;
	uint64_t target_wait_us;
	uint64_t useful_wait_us;
	bool hopeless;
};

/* Guards against refusing batches that still have a prospect, and against
 * keeping those that have none until their caller's time is up. */
TEST(PoolAdmission, ABatchIsHopelessOnlyIfItsPredictedStartIsOfNoUse)
{
	const PredictionCase cases[] = {
		{ "nothing ahead", 0, 0, 0, 0, 50 * kMs, 100 * kMs, false },
		{ "meets its target", 10000, 0, 0, 40 * kMs, 50 * kMs,
		  100 * kMs, false },
		{ "late, and nothing else comes", 0, 0, 0, 60 * kMs, 50 * kMs,
		  100 * kMs, false },
		{ "late, others take half", 5000, 0, 0, 60 * kMs, 50 * kMs,
		  90 * kMs, true },
		{ "late, others take a tenth", 1000, 0, 0, 60 * kMs, 50 * kMs,
		  100 * kMs, false },
		{ "late, others take all", 10000, 0, 0, 60 * kMs, 50 * kMs,
		  250 * kMs, true },
		{ "late, others took all a while ago", 10000, kSecondUs, 0,
		  60 * kMs, 50 * kMs, 100 * kMs, false },
		{ "gaps leave half of the capacity", 0, 0, 50, 60 * kMs,
		  50 * kMs, 100 * kMs, true },
		{ "gaps leave nine tenths", 0, 0, 90, 60 * kMs, 50 * kMs,
		  100 * kMs, false },
	};

	for (const PredictionCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_admission a = {};
		ph_admission_need need = {};

		ph_admission_started(&a, kNow - c.ago_us,
				     c.in_time_milli * 500 * kMs);
		if (c.used_percent)
			ph_admission_blocked(&a, 100 * c.used_percent, 10000);
		need.ahead_milli_us = c.ahead_us * 10000;
		need.capacity_milli = 10000;
		need.target_start_us = kNow + c.target_wait_us;
		need.useful_start_us = kNow + c.useful_wait_us;
		EXPECT_EQ(ph_admission_hopeless(&a, kNow, &need), c.hopeless);
	}
}

constexpr uint64_t kRunUs = 100 * kMs;
constexpr uint64_t kTargetUs = 220 * kMs;
constexpr uint64_t kTimeoutUs = 1500 * kMs;
/** Four executors with two places each. */
constexpr uint64_t kPlaces = 8;
constexpr uint64_t kBurstUs = 4 * kSecondUs;
/** Offered work during a burst, in percent of the capacity. */
constexpr uint64_t kOffered[] = { 150, 300 };

/** What became of the jobs of a burst. */
struct BurstResult {
	uint64_t in_time = 0;
	/** Times to the refusals, ascending. */
	std::vector<uint64_t> refused_us;
	int concurrent_runs = 0;
};

BurstResult play_burst(uint64_t offered_percent)
{
	World w(4, 16000);
	Owner *o = w.add_owner();
	std::map<uint64_t, uint64_t> sent;
	uint64_t gap_us = kRunUs * 100 / (kPlaces * offered_percent);
	BurstResult r;

	w.list(o);
	ph_pool_acquire(o->pool, w.now_us, 1000);
	w.run_until(w.now_us + 50 * kMs);
	uint64_t end_us = w.now_us + kBurstUs;
	for (int n = 0; w.now_us < end_us; n++) {
		uint64_t seq = w.submit(o, "j" + std::to_string(n), 1, kRunUs,
					kRunUs, kTargetUs, kTimeoutUs);

		sent[seq] = w.now_us;
		w.run_until(w.now_us + gap_us);
	}
	w.run_until(w.now_us + 2 * kTimeoutUs);
	for (const auto &s : sent) {
		uint64_t took_us = o->result_us.at(s.first) - s.second;

		if (o->results.at(s.first).verdict == PH_VERDICT_NOT_RUN)
			r.refused_us.push_back(took_us);
		else
			r.in_time += took_us <= kTargetUs;
	}
	std::sort(r.refused_us.begin(), r.refused_us.end());
	r.concurrent_runs = w.concurrent_runs;
	return r;
}

/* Refusals must not leave executors idle that could serve jobs in time. */
TEST(PoolAdmission, InABurstThePoolStaysInUseForJobsInTime)
{
	for (uint64_t offered : kOffered) {
		SCOPED_TRACE(offered);
		BurstResult r = play_burst(offered);

		EXPECT_GE(r.in_time * kRunUs * 100, kPlaces * kBurstUs * 80);
		EXPECT_EQ(r.concurrent_runs, 0);
	}
}

/* In a burst that outlasts the wait of jobs, those that had missed their target
 * waited in vain for about twice the target. A refusal within a quarter of the
 * target, for 95 of 100, leaves callers time to go elsewhere. */
TEST(PoolAdmission, JobsWithoutAProspectAreRefusedWithinAQuarterOfTheirTarget)
{
	for (uint64_t offered : kOffered) {
		SCOPED_TRACE(offered);
		BurstResult r = play_burst(offered);

		ASSERT_FALSE(r.refused_us.empty());
		EXPECT_LE(r.refused_us[r.refused_us.size() * 95 / 100],
			  kTargetUs / 4);
	}
}

} // namespace
