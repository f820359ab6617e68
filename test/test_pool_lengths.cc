/* How much tasks of different lengths may hold. */

#include <cstring>

#include <gtest/gtest.h>

extern "C" {
#include "pool_lengths.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kSecond = 1000 * kMs;
constexpr uint64_t kCapacity = 100000;

/* Offers work of this many millicores, evenly, for 10 s until now_us. */
void offer(ph_lengths *l, uint64_t now_us, uint64_t wait_us, uint64_t milli)
{
	constexpr uint64_t kEveryUs = 10 * kMs;

	for (uint64_t us = now_us - 10 * kSecond; us < now_us; us += kEveryUs)
		ph_lengths_offer(l, us, wait_us, milli * kEveryUs);
}

struct LimitCase {
	const char *what;
	/** Longest wait of the jobs that are offered, and what they take of the
	 * capacity. */
	uint64_t wait_us;
	uint64_t offered_percent;
	/** Length of the tasks whose limit is asked for. */
	uint64_t length_us;
	uint64_t limit_percent;
};

/* What is offered by jobs that can't outwait a task is kept free, and as much
 * again, but an eighth is never kept free. */
TEST(Lengths, TheOffersOfJobsThatCannotWaitAreKeptFreeOfFarLongerTasks)
{
	const LimitCase cases[] = {
		{ "nothing is offered", 400 * kMs, 0, 18 * kSecond, 100 },
		{ "some is offered", 400 * kMs, 20, 18 * kSecond, 60 },
		{ "much is offered", 400 * kMs, 70, 18 * kSecond, 12 },
		{ "more than there is", 400 * kMs, 300, 18 * kSecond, 12 },
		{ "it also binds shorter ones", 400 * kMs, 20, 1100 * kMs, 60 },
		{ "the length of the others", 400 * kMs, 70, 200 * kMs, 100 },
		{ "not much longer than they wait", 400 * kMs, 70, 900 * kMs,
		  100 },
		{ "they can wait", 20 * kSecond, 70, 18 * kSecond, 100 },
	};

	for (const LimitCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_lengths l = {};
		uint64_t now_us = 20 * kSecond;

		l.since_us = 10 * kSecond;
		offer(&l, now_us, c.wait_us,
		      kCapacity * c.offered_percent / 100);
		ph_lengths_begin(&l, now_us, kCapacity);
		EXPECT_NEAR((double)ph_lengths_limit_milli(&l, c.length_us),
			    kCapacity * (double)c.limit_percent / 100,
			    kCapacity * 0.02);
	}
}

/* Shortly after a pool was acquired little has been offered yet, but that in
 * little time. */
TEST(Lengths, WorkCountsFromTheFirstOffersOn)
{
	ph_lengths l = {};
	uint64_t now_us = 20 * kSecond;

	offer(&l, now_us, 400 * kMs, kCapacity / 2);
	memset(l.offers, 0, sizeof(l.offers));
	l.since_us = now_us;
	for (uint64_t us = now_us; us < now_us + 200 * kMs; us += 10 * kMs)
		ph_lengths_offer(&l, us, 400 * kMs, kCapacity / 2 * 10 * kMs);
	ph_lengths_begin(&l, now_us + 200 * kMs, kCapacity);
	EXPECT_NEAR((double)ph_lengths_limit_milli(&l, 18 * kSecond),
		    kCapacity * 0.12, kCapacity * 0.02);
}

/* A round may be given a time just before that of the first offer. */
TEST(Lengths, AnOfferThatIsLaterThanTheRoundCounts)
{
	ph_lengths l = {};
	uint64_t now_us = 20 * kSecond;

	l.since_us = now_us;
	ph_lengths_offer(&l, now_us, 400 * kMs, kCapacity * 200 * kMs);
	ph_lengths_begin(&l, now_us - 1, kCapacity);
	EXPECT_NEAR((double)ph_lengths_limit_milli(&l, 18 * kSecond),
		    kCapacity * 0.12, kCapacity * 0.02);
}

/* When the others have stopped coming, nothing is kept free for them. */
TEST(Lengths, OldOffersAreForgotten)
{
	ph_lengths l = {};
	uint64_t now_us = 20 * kSecond;

	offer(&l, now_us, 400 * kMs, kCapacity);
	ph_lengths_begin(&l, now_us + 16 * kSecond, kCapacity);
	EXPECT_EQ(ph_lengths_limit_milli(&l, 18 * kSecond), kCapacity);
}

struct AllowCase {
	const char *what;
	/** Length of the tasks that run, and what they hold. */
	uint64_t held_length_us;
	uint64_t held_percent;
	bool allowed;
};

/* A task of 18 s that needs a tenth, beside others that leave an eighth. */
TEST(Lengths, TasksThatOthersCannotOutwaitShareOnePart)
{
	const AllowCase cases[] = {
		{ "nothing runs", 18 * kSecond, 0, true },
		{ "tasks as long hold little", 18 * kSecond, 2, true },
		{ "tasks as long hold much", 18 * kSecond, 3, false },
		{ "so do longer ones", 300 * kSecond, 3, false },
		{ "so do shorter ones that are far longer, too", 6 * kSecond, 3,
		  false },
		{ "tasks that others can outwait hold all", 900 * kMs, 90,
		  true },
	};

	for (const AllowCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_lengths l = {};
		uint64_t now_us = 20 * kSecond;

		offer(&l, now_us, 400 * kMs, kCapacity);
		ph_lengths_begin(&l, now_us, kCapacity);
		ph_lengths_hold(&l, c.held_length_us, 0,
				kCapacity * c.held_percent / 100);
		EXPECT_EQ(ph_lengths_allows(&l, 18 * kSecond, kCapacity / 10),
			  c.allowed);
	}
}

/* A task that needs more than its part may run by itself. */
TEST(Lengths, OneTaskMayAlwaysRun)
{
	ph_lengths l = {};
	uint64_t now_us = 20 * kSecond;

	offer(&l, now_us, 400 * kMs, kCapacity);
	ph_lengths_begin(&l, now_us, kCapacity);
	EXPECT_TRUE(ph_lengths_allows(&l, 18 * kSecond, kCapacity));
	ph_lengths_hold(&l, 18 * kSecond, 0, kCapacity);
	EXPECT_FALSE(ph_lengths_allows(&l, 18 * kSecond, 1));
}

struct WaitCase {
	const char *what;
	/** Length of the tasks that run, what they hold, and what is left of
	 * them. */
	uint64_t held_length_us;
	uint64_t held_percent;
	uint64_t left_us;
	/** Tasks of 18 s that need a hundredth and precede a batch of four. */
	uint64_t ahead;
	uint64_t wait_us;
};

/* In a part of twelve hundredths, twelve such tasks run at a time. */
TEST(Lengths, TheWaitForAPartCountsWhatRunsAndWaitsInIt)
{
	const WaitCase cases[] = {
		{ "nothing runs or waits", 0, 0, 0, 0, 4500 * kMs },
		{ "tasks wait", 0, 0, 0, 24, 40500 * kMs },
		{ "tasks run", 18 * kSecond, 12, 6 * kSecond, 0, 10500 * kMs },
		{ "longer tasks run", 300 * kSecond, 12, 100 * kSecond, 0,
		  104500 * kMs },
		{ "short tasks run", 400 * kMs, 80, 300 * kMs, 0, 4500 * kMs },
	};

	for (const WaitCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_lengths l = {};
		uint64_t now_us = 20 * kSecond;
		uint64_t waiting[PH_LENGTH_OCTAVES] = {};

		offer(&l, now_us, 400 * kMs, kCapacity);
		ph_lengths_begin(&l, now_us, kCapacity);
		ph_lengths_hold(&l, c.held_length_us, c.left_us,
				kCapacity * c.held_percent / 100);
		waiting[ph_lengths_octave(18 * kSecond)] =
			(c.ahead + 4) * 18 * kSecond * kCapacity / 100;
		EXPECT_NEAR((double)ph_lengths_wait_us(
				    &l, waiting, 18 * kSecond, kCapacity / 100),
			    (double)c.wait_us, 100 * kMs);
	}
}

/* Where nothing is kept free, the wait is that of all tasks. */
TEST(Lengths, ThereIsNoWaitForAPartWithoutABound)
{
	ph_lengths l = {};
	uint64_t waiting[PH_LENGTH_OCTAVES] = {};

	ph_lengths_begin(&l, 20 * kSecond, kCapacity);
	waiting[ph_lengths_octave(18 * kSecond)] = 18 * kSecond * kCapacity;
	EXPECT_EQ(ph_lengths_wait_us(&l, waiting, 18 * kSecond, 1000), 0U);
}

} // namespace
