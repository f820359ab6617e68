/* Pools whose jobs differ widely in length. */

#include <gtest/gtest.h>

#include "job_mix.h"

namespace
{

using namespace job_mix;
using namespace world;

/** Longer jobs beside those of usual length. */
struct LengthCase {
	const char *what;
	double long_share;
	double long_factor;
	/** Their actual run time, relative to the declared one. */
	double long_run_factor;
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
		{ "all of usual length", 0, 1, 1, 0.9 },
		{ "most of one kind 20 times as long", 0.8, 20, 1, 0.6 },
		{ "some of one kind 20 times as long", 0.4, 20, 1, 0.75 },
		{ "they run for three times the declared time", 0.8, 20, 3,
		  0.6 },
	};

	for (const LengthCase &c : cases) {
		SCOPED_TRACE(c.what);
		Outage load;

		load.long_share = c.long_share;
		load.long_factor = c.long_factor;
		load.long_run_factor = c.long_run_factor;
		for (load.seed = 1; load.seed <= 3; load.seed++) {
			OutageResult r = simulate(load);

			EXPECT_GE(r.in_time_share(kFromS, kUntilS),
				  c.in_time_min)
				<< "seed " << load.seed;
			EXPECT_EQ(r.concurrent_runs, 0);
		}
	}
}

/* ## One pool of eight places */

constexpr uint64_t kShort = 200 * kMs;
constexpr uint64_t kShortTarget = 380 * kMs;
constexpr uint64_t kLong = 18000 * kMs;

/* Submits four jobs of one short task each 150 ms for this long: two thirds of
 * eight places. Returns the batches. */
std::vector<uint64_t> offer_short_jobs(World *w, Owner *o, uint64_t for_us)
{
	std::vector<uint64_t> seqs;

	for (uint64_t end = w->now_us + for_us; w->now_us < end;
	     w->run_until(w->now_us + 150 * kMs))
		for (int i = 0; i < 4; i++)
			seqs.push_back(w->submit(
				o, "s" + std::to_string(w->now_us + i), 1,
				kShort, kShort, kShortTarget, 2500 * kMs));
	return seqs;
}

/* Submits jobs of one long task, and returns the batches. */
std::vector<uint64_t> submit_long_jobs(World *w, Owner *o, int count)
{
	std::vector<uint64_t> seqs;

	for (int i = 0; i < count; i++)
		seqs.push_back(w->submit(o, "l" + std::to_string(i), 1, kLong,
					 kLong, 30000 * kMs, 75000 * kMs));
	return seqs;
}

/* A long job has begun, and most of its tasks wait for their part of the pool.
 * Short jobs that find no room at once must not be refused for their work. */
TEST(JobLengths, ShortJobsAreNotRefusedForTheWorkOfLongOnesThatAreHeldBack)
{
	World w(4, 16000);
	Owner *o = ready_owner(&w);
	std::vector<uint64_t> seqs;

	offer_short_jobs(&w, o, 3000 * kMs);
	w.submit(o, "wide", 12, 2500 * kMs, 2500 * kMs, 30000 * kMs,
		 75000 * kMs);
	seqs = offer_short_jobs(&w, o, 3000 * kMs);
	w.run_until(w.now_us + 2000 * kMs);
	for (uint64_t seq : seqs)
		EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
}

/* Other instances choose a pool by its backlog. Long jobs that wait for their
 * part must not drive short ones to other pools. */
TEST(JobLengths, WhatIsHeldBackDoesNotCountAsBacklog)
{
	World w(4, 16000);
	Owner *o = ready_owner(&w);
	ph_pool_load load;

	offer_short_jobs(&w, o, 3000 * kMs);
	submit_long_jobs(&w, o, 3);
	w.run_until(w.now_us + 500 * kMs);
	ph_pool_measure(o->pool, w.now_us, &load);
	EXPECT_EQ(load.backlog_milli_us, 0U);
	EXPECT_EQ(load.batches, 3U);
}

/* A task failed on an executor beside a long run. The executor must not stand
 * half empty until that run ends. */
TEST(JobLengths, ALongRunOnScheduleEndsTheTrialOfAnExecutor)
{
	World w(1, 16000);
	Owner *o = ready_owner(&w);
	uint64_t seq;

	w.submit(o, "long", 1, kLong, kLong, 30000 * kMs, 75000 * kMs);
	w.run_until(w.now_us + 500 * kMs);
	w.executors[0].fails_all = true;
	seq = w.submit(o, "fails", 1, kShort, kShort, kShortTarget, 2500 * kMs);
	w.run_until(w.now_us + 30 * kMs);
	w.executors[0].fails_all = false;
	w.run_until(w.now_us + 5000 * kMs);
	EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
	EXPECT_EQ(w.executors[0].running.size(), 1U);
}

/* Long jobs get their part of the pool one after the other. Those that can't be
 * started in it in time are refused at once, with the time after which there is
 * room for more, and not held until they are overdue. */
TEST(JobLengths, LongJobsThatTheirPartCannotServeInTimeAreRefusedAtOnce)
{
	World w(4, 16000);
	Owner *o = ready_owner(&w);
	uint64_t sent;
	int done = 0;
	int refused = 0;
	int refused_at_once = 0;
	std::vector<uint64_t> seqs;

	offer_short_jobs(&w, o, 3000 * kMs);
	sent = w.now_us;
	seqs = submit_long_jobs(&w, o, 8);
	offer_short_jobs(&w, o, 60000 * kMs);
	for (uint64_t seq : seqs) {
		done += w.ended(o, seq, PH_VERDICT_DONE);
		if (!w.ended(o, seq, PH_VERDICT_NOT_RUN))
			continue;
		refused++;
		refused_at_once += o->result_us[seq] <= sent + 50 * kMs;
		EXPECT_GT(o->results[seq].retry_after_us, 1000 * kMs);
	}
	/* One runs at a time, and the others can wait for 33 s. */
	EXPECT_GE(done, 2);
	EXPECT_GE(refused_at_once, 5);
	EXPECT_EQ(done + refused, 8);
}

} // namespace
