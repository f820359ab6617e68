/*
 * Rules against a task that runs twice at once, each with a sequence that
 * breaks without it.
 */
#include <gtest/gtest.h>

#include "pool_world.h"

namespace
{

using namespace world;

constexpr uint64_t kLong = 60000 * kMs;
/** Time after which no lease of an earlier owner lasts. */
constexpr uint64_t kNoOldLeaseUs = kLeaseMaxUs + 100 * kMs;

uint64_t submit_long(World *w, Owner *o, const std::string &job)
{
	return w->submit(o, job, 1, 9000 * kMs, 9000 * kMs, kLong, kLong);
}

/* A run on another executor than the first one's, where the next task fits more
 * tightly than on an empty executor. */
void submit_elsewhere(World *w, Owner *o, const std::string &job,
		      uint32_t cpu = 9200)
{
	ph_batch_request request = {};

	snprintf(request.job, sizeof(request.job), "%s", job.c_str());
	request.service = "desk";
	request.count = 1;
	request.need = { cpu, 64, 0 };
	request.estimate_us = 9000 * kMs;
	request.target_us = kLong;
	request.caller_timeout_us = kLong;
	request.max_attempts = 3;
	request.first_run = 100;
	w->submit_request(o, request, 9000 * kMs);
}

/* Guards against a lease that an owner takes for expired, on an executor whose
 * clock is as slow as the platform allows: without the slow clock in
 * lease_expiry_us(). */
TEST(PoolGuards, TheLongestLeaseOnASlowClockIsAwaited)
{
	for (uint64_t acquired_ms = 600; acquired_ms < 610; acquired_ms++) {
		SCOPED_TRACE(acquired_ms);
		World w(4, 16000);
		Owner *a = ready_owner(&w, kNoOldLeaseUs);
		Owner *b = w.add_owner();
		/* Placement fills this executor first. */
		Executor *x = &w.executors.back();
		uint64_t t0 = w.now_us;
		uint64_t seq;

		for (Executor &each : w.executors)
			each.clock_slow_percent = 2;
		x->start_delay_us = (acquired_ms - 1) * kMs;
		seq = submit_long(&w, a, "a");
		w.at(t0 + 100 * kMs, [&] {
			x->start_delay_us = 0;
			a->frozen = true;
		});
		w.at(t0 + 300 * kMs, [&] { w.restart(x); });
		w.at(t0 + acquired_ms * kMs, [&] {
			ph_pool_acquire(b->pool, w.now_us, 2000);
			ph_pool_handle_changes(b->pool, w.now_us);
		});
		w.at(t0 + (acquired_ms + 2) * kMs, [&] {
			w.resubmit(a, b, seq);
			x->unreachable_from = { a->number, b->number };
		});
		w.run_until(t0 + 6000 * kMs);
		EXPECT_EQ(ph_pool_counters(b->pool)->claimed_runs, 1U);
		EXPECT_EQ(w.concurrent_runs, 0);
		EXPECT_EQ(w.starts, 2);
	}
}

/* Guards against a lease that an owner takes for expired as it lasts for less
 * than the rounding of the executor's clock longer: without the margin in
 * lease_expiry_us(). */
TEST(PoolGuards, ALeaseIsAwaitedWithAMargin)
{
	/* A poll's wait and round trip: each one ends the lease at another time
	 * within a tick. */
	constexpr uint64_t poll_us = kLeaseUs / 4 + 2 * kLatencyUs;

	for (uint64_t polls = 1; polls <= 25; polls++) {
		SCOPED_TRACE(polls);
		World w(4, 16000);
		Owner *o;
		Executor *x = &w.executors.back();
		uint64_t t0;

		for (Executor &each : w.executors)
			each.clock_slow_percent = 2;
		o = ready_owner(&w, kNoOldLeaseUs);
		t0 = w.now_us;
		submit_long(&w, o, "a");
		/* The poll that renewed the lease last is not answered. */
		w.at(t0 + polls * poll_us, [x] {
			x->unreachable_from = { 0 };
			x->crashes++;
		});
		w.run_until(t0 + polls * poll_us + 2000 * kMs);
		EXPECT_EQ(w.concurrent_runs, 0);
		EXPECT_EQ(w.starts, 2);
	}
}

/* Guards against a later submission of a job beside a run of the first one that
 * is being stopped: without has_run(). */
TEST(PoolGuards, ALaterSubmissionWaitsForTheStopOfTheEarlierRun)
{
	struct {
		const char *name;
		bool loses_stops;
		uint64_t stop_delay_us;
	} const cases[] = {
		{ "stops lost", true, 0 },
		{ "stops delayed", false, 300 * kMs },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		World w(4, 16000);
		Owner *o = ready_owner(&w, kNoOldLeaseUs);
		Executor *x = &w.executors.back();
		uint64_t first = submit_long(&w, o, "a");

		w.run_until(w.now_us + 100 * kMs);
		ASSERT_EQ(x->running.size(), 1U);
		x->loses_stops = c.loses_stops;
		x->stop_delay_us = c.stop_delay_us;
		ph_pool_cancel(o->pool, w.now_us, "submitter", first);
		submit_long(&w, o, "filler");
		submit_long(&w, o, "a");
		w.run_until(w.now_us + 3000 * kMs);
		EXPECT_EQ(w.concurrent_runs, 0);
		EXPECT_GE(w.starts, 3);
	}
}

/* Guards against a second run while the first one, whose stop is acknowledged,
 * goes on for as long as a stop may take: without this duration in
 * stop_completed(). */
TEST(PoolGuards, AnAcknowledgedStopIsNoEndYet)
{
	for (uint64_t takes_us : { kStopUs / 2, kStopUs }) {
		SCOPED_TRACE(takes_us);
		World w(4, 16000);
		Owner *o = ready_owner(&w, kNoOldLeaseUs);
		Executor *x = &w.executors.back();
		uint64_t first = submit_long(&w, o, "a");

		w.run_until(w.now_us + 100 * kMs);
		ASSERT_EQ(x->running.size(), 1U);
		x->stop_takes_us = takes_us;
		ph_pool_cancel(o->pool, w.now_us, "submitter", first);
		/* The task is placed on another executor. */
		x->unlisted = true;
		w.list(o);
		submit_long(&w, o, "a");
		w.run_until(w.now_us + 2000 * kMs);
		EXPECT_EQ(w.concurrent_runs, 0);
		EXPECT_EQ(w.starts, 2);
	}
}

/* Guards against a run that counts as gone since a poll that was answered
 * before it began doesn't report it: without "acknowledged before the poll was
 * sent" in ph_run_gone(). */
TEST(PoolGuards, APollSentBeforeTheStartDoesNotShowItsRunGone)
{
	for (uint64_t ms = 0; ms < 200; ms += 5) {
		SCOPED_TRACE(ms);
		World w(4, 16000);
		Owner *o = ready_owner(&w, kNoOldLeaseUs);

		for (Executor &x : w.executors)
			x.poll_answer_delay_us = 20 * kMs;
		w.run_until(w.now_us + 300 * kMs);
		w.at(w.now_us + ms * kMs, [&] { submit_long(&w, o, "a"); });
		w.run_until(w.now_us + 600 * kMs);
		EXPECT_EQ(w.concurrent_runs, 0);
		EXPECT_EQ(w.starts, 1);
	}
}

/* An owner with a filler beside which its next task fits most tightly,
 * suspended while another owner starts a run of "a" on another executor, which
 * it reports to its submitter. */
struct Suspended {
	World w{ 4, 16000 };
	Owner *a = ready_owner(&w, kNoOldLeaseUs);
	Owner *b = w.add_owner();
	Executor *there = nullptr;
	uint64_t seq = 0;

	Suspended()
	{
		submit_elsewhere(&w, a, "filler");
		w.run_until(w.now_us + 10 * kMs);
		a->frozen = true;
		ph_pool_acquire(b->pool, w.now_us, 2000);
		w.run_until(w.now_us + 30 * kMs);
		seq = submit_long(&w, b, "a");
		w.run_until(w.now_us + 10 * kMs);
		for (Executor &x : w.executors)
			for (const world::Run &r : x.running)
				if (r.job == "a")
					there = &x;
	}

	/* The first owner goes on, under a new token. */
	void resume()
	{
		a->frozen = false;
		ph_pool_acquire(a->pool, w.now_us, 3000);
	}
};

/* Guards against a task that an owner starts by what it knew before another one
 * had the pool: without the reset of "polled" in ph_pool_acquire(). */
TEST(PoolGuards, AnOwnerThatAcquiresItsPoolAgainPollsFirst)
{
	Suspended s;

	ASSERT_TRUE(s.there);
	s.resume();
	s.w.resubmit(s.b, s.a, s.seq);
	s.w.run_until(s.w.now_us + 1000 * kMs);
	EXPECT_EQ(s.w.concurrent_runs, 0);
	EXPECT_EQ(ph_pool_counters(s.a->pool)->claimed_runs, 1U);
}

/* Guards against a task that is placed beside a run whose need is unknown, on
 * an executor that was polled and whose lease still lasts: without the
 * unclaimed runs in choose_executor(). */
TEST(PoolGuards, NothingIsPlacedBesideAnUnclaimedRun)
{
	Suspended s;

	ASSERT_TRUE(s.there);
	s.w.reported_cpu_percent = 10;
	s.resume();
	s.w.run_until(s.w.now_us + kMs);
	submit_elsewhere(&s.w, s.a, "b", 10000);
	submit_elsewhere(&s.w, s.a, "c", 10000);
	submit_elsewhere(&s.w, s.a, "d", 10000);
	s.w.run_until(s.w.now_us + 100 * kMs);
	EXPECT_EQ(ph_pool_counters(s.a->pool)->no_room, 0U);
}

/* Guards against a lease that an owner takes for expired while another one
 * renewed it: without the reset of "other_owner" in ph_pool_acquire(). */
TEST(PoolGuards, ALeaseThatAnotherOwnerMayRenewDoesNotExpire)
{
	for (uint64_t suspended_ms = 100; suspended_ms <= 600;
	     suspended_ms += 100) {
		SCOPED_TRACE(suspended_ms);
		World w(4, 16000);
		Owner *a = ready_owner(&w, kNoOldLeaseUs);
		Owner *b = w.add_owner();
		Executor *x = &w.executors.back();
		uint64_t seq = submit_long(&w, a, "a");

		w.run_until(w.now_us + 100 * kMs);
		ASSERT_EQ(x->running.size(), 1U);
		a->frozen = true;
		ph_pool_acquire(b->pool, w.now_us, 2000);
		w.run_until(w.now_us + 30 * kMs);
		w.resubmit(a, b, seq);
		ASSERT_EQ(ph_pool_counters(b->pool)->claimed_runs, 1U);
		w.run_until(w.now_us + suspended_ms * kMs);
		x->unreachable_from = { a->number };
		a->frozen = false;
		ph_pool_acquire(a->pool, w.now_us, 3000);
		w.run_until(w.now_us + 2000 * kMs);
		EXPECT_EQ(w.concurrent_runs, 0);
	}
}

/* Guards against a number that is given twice to the runs of a task: without
 * the number after a claimed run's in claim_run(). */
TEST(PoolGuards, ARunAfterAClaimedOneHasAHigherNumber)
{
	World w(4, 16000);
	Owner *a = ready_owner(&w, kNoOldLeaseUs);
	Owner *b = w.add_owner();
	Executor *x = &w.executors.back();
	uint64_t seq = submit_long(&w, a, "a");
	uint64_t claimed;
	uint64_t after = 0;

	w.run_until(w.now_us + 100 * kMs);
	ASSERT_EQ(x->running.size(), 1U);
	claimed = x->running[0].run;
	a->frozen = true;
	ph_pool_acquire(b->pool, w.now_us, 2000);
	w.run_until(w.now_us + 30 * kMs);
	w.resubmit(a, b, seq);
	ASSERT_EQ(ph_pool_counters(b->pool)->claimed_runs, 1U);
	w.crash(x, 1000 * kMs);
	w.run_until(w.now_us + 2000 * kMs);
	for (const Executor &each : w.executors)
		for (const world::Run &r : each.running)
			after = r.run;
	EXPECT_GT(after, claimed);
	EXPECT_EQ(w.concurrent_runs, 0);
}

/* Guards against a lease that an owner takes for expired, of a start that was
 * sent before the poll that shows the restart was answered, and arrived after:
 * without twice the lease in executor_restarted(). */
TEST(PoolGuards, AStartBesideThePollThatShowsARestartBringsTheLongestLease)
{
	World w(4, 16000);
	Owner *o = ready_owner(&w, kNoOldLeaseUs);
	Executor *x = &w.executors.back();

	/* The clock is to be well ahead of the one that begins anew. */
	w.run_until(w.now_us + 3000 * kMs);
	x->on_poll_answer = [&] {
		w.at(w.now_us + kLatencyUs + kLatencyUs / 2, [&] {
			w.restart(x);
			x->on_poll_answer = [&] {
				submit_long(&w, o, "a");
				w.at(w.now_us + kLatencyUs + kLatencyUs / 4,
				     [&] { x->unreachable_from = { 0 }; });
			};
		});
	};
	w.run_until(w.now_us + 360 * kMs);
	ASSERT_EQ(x->running.size(), 1U);
	w.run_until(w.now_us + 3000 * kMs);
	EXPECT_EQ(w.concurrent_runs, 0);
	EXPECT_EQ(w.starts, 2);
}

/* Guards against a start under a lease end that was computed for the clock of
 * an earlier incarnation, while leases are not renewed: without the reset of
 * lease_sent_ms in executor_restarted(). */
TEST(PoolGuards, ALeaseEndOfAnEarlierIncarnationIsNotSentAgain)
{
	World w(4, 16000);
	Owner *o = ready_owner(&w, kNoOldLeaseUs);
	Executor *x = &w.executors.back();
	uint64_t first;

	w.run_until(w.now_us + 5000 * kMs);
	x->on_poll_answer = [&] {
		w.at(w.now_us + kLatencyUs + kLatencyUs / 2,
		     [&] { w.restart(x); });
	};
	w.run_until(w.now_us + 400 * kMs);
	first = submit_long(&w, o, "b");
	w.run_until(w.now_us + 50 * kMs);
	ASSERT_EQ(x->running.size(), 1U);
	x->loses_stops = true;
	ph_pool_cancel(o->pool, w.now_us, "submitter", first);
	w.run_until(w.now_us + 500 * kMs);
	/* The lease is no longer renewed. */
	submit_long(&w, o, "a");
	w.run_until(w.now_us + kMs);
	x->unreachable_from = { 0 };
	w.run_until(w.now_us + 3000 * kMs);
	EXPECT_EQ(w.concurrent_runs, 0);
}

/* Guards against an owner that goes on renewing leases where its successor
 * can't be heard, while the successor takes them for expired: without the
 * fenced owner in ph_lease_renewed(). */
TEST(PoolGuards, AFencedOwnerRenewsNoLease)
{
	World w(4, 16000);
	Owner *a = ready_owner(&w, kNoOldLeaseUs);
	Owner *b = w.add_owner();
	Executor *x = &w.executors.back();
	uint64_t seq = submit_long(&w, a, "a");

	w.run_until(w.now_us + 100 * kMs);
	ASSERT_EQ(x->running.size(), 1U);
	x->unreachable_from = { b->number };
	ph_pool_acquire(b->pool, w.now_us, 2000);
	w.run_until(w.now_us + 30 * kMs);
	w.resubmit(a, b, seq);
	w.run_until(w.now_us + 4000 * kMs);
	EXPECT_EQ(w.concurrent_runs, 0);
	EXPECT_EQ(w.starts, 2);
}

} // namespace
