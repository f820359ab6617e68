/* When an executor will have room for a task, and what may start meanwhile. */

#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "pool_reserve.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
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

} // namespace
