/* When an executor will have room for a task, and what may start meanwhile. */

#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "pool_world.h"

extern "C" {
#include "pool_impl.h"
}

namespace
{

using namespace world;

constexpr uint64_t kNow = 5000 * kMs;

struct LeftCase {
	const char *what;
	uint64_t estimate_ms;
	uint32_t run_time_percent;
	uint64_t elapsed_ms;
	uint32_t percent;
	uint64_t percent_ms;
	uint64_t left_ms;
};

/* Guards against reservations for times at which a run surely goes on: its
 * declared time is corrected by what is known of the run and its executor. */
TEST(Reserve, WhatIsLeftFollowsTheProgressThenTheExecutorsRunTime)
{
	const LeftCase cases[] = {
		{ "declared", 900, 100, 300, 0, 0, 600 },
		{ "a slow executor", 900, 150, 300, 0, 0, 1050 },
		{ "ahead of the declared time", 900, 100, 300, 50, 250, 200 },
		{ "behind the declared time", 900, 100, 400, 20, 400, 1600 },
		{ "too little progress to tell", 900, 100, 300, 5, 300, 600 },
		{ "just started", 900, 100, 0, 0, 0, 900 },
		{ "outlasts its declared time", 900, 100, 1000, 0, 0, 200 },
		{ "outlasts its progress", 900, 100, 500, 50, 200, 100 },
	};

	for (const LeftCase &c : cases) {
		SCOPED_TRACE(c.what);
		EXPECT_EQ(ph_reserve_left_us(c.estimate_ms * kMs,
					     c.run_time_percent,
					     c.elapsed_ms * kMs, c.percent,
					     c.percent_ms * kMs),
			  c.left_ms * kMs);
	}
}

struct FindCase {
	const char *what;
	/** Ends of the runs from now, and their cores; unsorted. */
	std::vector<std::pair<uint64_t, uint32_t>> runs;
	uint32_t need;
	bool found;
	uint64_t from_ms;
	uint32_t spare;
};

/* Guards against a reservation that comes too early for all of the task, or
 * later than it could. The executor has 32 cores. */
TEST(Reserve, AnExecutorIsReservedForWhenEnoughRunsHaveEnded)
{
	const FindCase cases[] = {
		{ "nothing runs", {}, 16, true, 0, 16 },
		{ "one end is enough",
		  { { 300, 16 }, { 200, 16 } },
		  16,
		  true,
		  200,
		  0 },
		{ "several have to end",
		  { { 500, 8 }, { 100, 8 }, { 300, 8 }, { 200, 8 } },
		  16,
		  true,
		  200,
		  0 },
		{ "what is free counts",
		  { { 500, 8 }, { 100, 8 }, { 300, 8 } },
		  16,
		  true,
		  100,
		  0 },
		{ "some is left beside it",
		  { { 100, 24 }, { 500, 4 } },
		  16,
		  true,
		  100,
		  12 },
		{ "all have to end",
		  { { 100, 4 }, { 700, 4 } },
		  32,
		  true,
		  700,
		  0 },
		{ "larger than the executor", { { 100, 4 } }, 33, false, 0, 0 },
	};

	for (const FindCase &c : cases) {
		SCOPED_TRACE(c.what);
		const ph_capacity total = { 32000, 1024, 0 };
		const ph_capacity need = { c.need * 1000, 64, 0 };
		std::vector<ph_reserve_run> runs;
		ph_reservation r = {};

		for (const auto &run : c.runs)
			runs.push_back({ kNow + run.first * kMs,
					 { run.second * 1000, 64, 0 } });
		ASSERT_EQ(ph_reserve_find(&total, runs.data(), runs.size(),
					  &need, kNow, &r),
			  c.found);
		if (!c.found)
			continue;
		EXPECT_EQ(r.from_us, kNow + c.from_ms * kMs);
		EXPECT_EQ(r.spare.cpu_milli, c.spare * 1000);
	}
}

/* Other resources than cores are reserved as well. */
TEST(Reserve, MemoryThatIsShortDelaysAReservation)
{
	const ph_capacity total = { 32000, 1024, 0 };
	const ph_capacity need = { 4000, 512, 0 };
	ph_reserve_run runs[] = { { kNow + 400 * kMs, { 4000, 900, 0 } },
				  { kNow + 100 * kMs, { 16000, 64, 0 } } };
	ph_reservation r = {};

	ASSERT_TRUE(ph_reserve_find(&total, runs, 2, &need, kNow, &r));
	EXPECT_EQ(r.from_us, kNow + 400 * kMs);
	EXPECT_EQ(r.spare.mem_mb, 512U);
}

struct AdmitCase {
	const char *what;
	/** From when on the executor is reserved; 0: it is not. */
	uint64_t from_ms;
	uint32_t spare;
	uint32_t need;
	uint64_t expected_ms;
	bool admitted;
	/** What is left beside the reserved task after the start. */
	uint32_t left;
};

/* Guards against tasks that take the capacity away for which another one waits:
 * declared times are off by up to two fifths. */
TEST(Reserve, OthersStartOnlyIfTheyEndBeforeOrFitBeside)
{
	const AdmitCase cases[] = {
		{ "not reserved", 0, 0, 16, 900, true, 0 },
		{ "ends well before", 200, 0, 4, 60, true, 0 },
		{ "ends before if it takes as long as declared", 200, 0, 4, 190,
		  false, 0 },
		{ "just ends before if it takes 1.67 of that", 167, 0, 4, 100,
		  true, 0 },
		{ "does not quite", 166, 0, 4, 100, false, 0 },
		{ "fits beside", 200, 8, 8, 900, true, 0 },
		{ "is larger than what is left beside", 200, 8, 9, 900, false,
		  8 },
		{ "leaves some", 200, 8, 4, 900, true, 4 },
		{ "ends before, and needs nothing beside", 200, 8, 8, 60, true,
		  8 },
	};

	for (const AdmitCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_reservation r = {};
		const ph_capacity need = { c.need * 1000, 64, 0 };

		r.from_us = c.from_ms ? kNow + c.from_ms * kMs : 0;
		r.spare = { c.spare * 1000, 1024, 0 };
		EXPECT_EQ(
			ph_reserve_admits(&r, &need, c.expected_ms * kMs, kNow),
			c.admitted);
		if (c.admitted)
			ph_reserve_start(&r, &need, c.expected_ms * kMs, kNow);
		EXPECT_EQ(r.spare.cpu_milli, c.left * 1000);
	}
}

/* Response time of a task of 16 cores that runs for 0.9 s, on executors that
 * tasks of 5 cores and 0.2 s would fill. */
uint64_t large_task_ms(size_t executors, const char *without,
		       struct ph_pool_counters *counters)
{
	World w(executors, 32000);
	Owner *o = ready_owner(&w);
	uint64_t t0 = w.now_us;
	char unknown[PH_NAME_BYTES];
	ph_batch_request small = {};
	ph_batch_request large = {};
	uint64_t large_at_us = t0 + 405 * kMs;
	uint64_t seq = 0;

	EXPECT_EQ(ph_mechanisms_parse(without, &o->pool->opt.off, unknown), 0);
	small.service = large.service = "desk";
	small.max_attempts = large.max_attempts = 3;
	small.first_run = large.first_run = 100;
	small.count = 1;
	small.need = { 5000, 64, 0 };
	small.estimate_us = 200 * kMs;
	small.target_us = 380 * kMs;
	small.caller_timeout_us = 2500 * kMs;
	large.count = 1;
	large.need = { 16000, 64, 0 };
	large.estimate_us = 900 * kMs;
	large.target_us = 1500 * kMs;
	large.caller_timeout_us = 6000 * kMs;
	snprintf(large.job, sizeof(large.job), "large");
	w.at(large_at_us, [&] { seq = w.submit_request(o, large, 900 * kMs); });
	/* A tenth more than the executors can run. */
	uint64_t every_us = 200 * kMs * 10 / (executors * 6 * 11);
	for (uint64_t i = 0; i * every_us < 3000 * kMs; i++)
		w.at(t0 + i * every_us, [&, i] {
			snprintf(small.job, sizeof(small.job), "s%u",
				 (unsigned)i);
			w.submit_request(o, small, (150 + i * 37 % 100) * kMs);
		});
	w.run_until(t0 + 8000 * kMs);
	*counters = *ph_pool_counters(o->pool);
	EXPECT_EQ(w.concurrent_runs, 0);
	return w.ended(o, seq, PH_VERDICT_DONE)
		       ? (o->result_us[seq] - large_at_us) / kMs
		       : UINT64_MAX;
}

/* Guards against small tasks that take each executor's capacity as it is
 * released, so that a large one that precedes them finds none. */
TEST(Reserve, ALargeTaskIsInTimeBesideSmallOnesThatTakeAll)
{
	struct ph_pool_counters c;

	EXPECT_GT(large_task_ms(16, "look-ahead", &c), 1500U);
	EXPECT_EQ(c.reservations, 0U);
	EXPECT_LE(large_task_ms(16, "", &c), 1500U);
	EXPECT_GE(c.reservations, 1U);
}

/* Reservations cost a small pool more than they bring. */
TEST(Reserve, ASmallPoolReservesNothing)
{
	struct ph_pool_counters c;

	large_task_ms(8, "", &c);
	EXPECT_EQ(c.reservations, 0U);
}

} // namespace
