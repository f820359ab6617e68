#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>
#include <vector>

#include "submitter_world.h"

extern "C" {
#include "submitter.h"
#include "log.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
/* How far the steady clocks of peers are ahead of the submitter's. */
constexpr uint64_t kClockAheadUs = 5000000;

struct Sent {
	std::string to;
	ph_poolmsg_type type;
	uint64_t seq;
	std::string pool;
	bool resumed;
	uint32_t where0;
	uint64_t sent_us;
	/** Bits of the first tasks that are done. */
	uint8_t done;
};

struct Answer {
	uint64_t token;
	ph_job_outcome outcome;
	uint64_t retry_after_us;
};

/* A submitter with a cluster that gets its heartbeats from the test. */
struct Fixture {
	ph_cluster *cluster;
	ph_submitter *submitter;
	ph_evacuation evacuation;
	std::vector<Sent> sent;
	std::vector<Answer> answers;
	/** Tokens of requests whose callers have left, which is not noticed
	 * unless the submitter asks. */
	std::set<uint64_t> callers_left;
	uint64_t now_us = 1000000;

	explicit Fixture(
		const ph_pool_choice_policy *policy = &ph_pool_choice_wait,
		uint64_t startup_end_us = 0)
	{
		static const ph_submitter_sink sink = { on_send, on_own_load,
							on_answer,
							on_caller_connected };
		ph_cluster_options m = {};
		ph_submitter_options f = {};
		const char *const pools[] = { "north", "south" };

		ph_log_quiet(1);
		m.mem = ph_mem_default();
		m.name = "n1";
		m.domain = "north";
		m.addr = "n1";
		m.incarnation = 1;
		m.heartbeat_us = 100 * kMs;
		m.suspect_us = 350 * kMs;
		m.cpu_milli = 250;
		cluster = ph_cluster_new(&m);
		ph_cluster_add_pools(cluster, pools, 2);
		ph_evacuation_init(&evacuation, ph_mem_default(), now_us);
		evacuate({});
		f.evacuation = &evacuation;
		f.mem = ph_mem_default();
		f.name = "n1";
		f.domain = "north";
		f.policy = policy;
		f.cluster = cluster;
		f.startup_end_us = startup_end_us;
		f.sink = &sink;
		f.ctx = this;
		submitter = ph_submitter_new(&f);
	}

	~Fixture()
	{
		ph_submitter_free(submitter);
		ph_cluster_free(cluster);
		ph_evacuation_clear(&evacuation);
	}

	/* Sets which domains are evacuated. */
	void evacuate(const std::vector<const char *> &domains)
	{
		ph_evacuation_update(&evacuation, now_us,
				     evacuation.revision + 1, 0, domains.data(),
				     domains.size());
	}

	static void on_send(void *ctx, const ph_owner *owner,
			    const ph_poolmsg *msg)
	{
		Fixture *f = static_cast<Fixture *>(ctx);

		f->sent.push_back(
			{ owner->name, msg->type, msg->seq,
			  msg->pool ? msg->pool : "",
			  msg->batch_request && msg->batch_request->resumed,
			  msg->batch_request
				  ? msg->batch_request->possible_executor[0]
				  : 0,
			  msg->batch_request ? msg->batch_request->sent_us : 0,
			  msg->batch_request ? msg->batch_request->done[0]
					     : (uint8_t)0 });
	}

	static void on_own_load(void *, const char *, ph_pool_load *load)
	{
		*load = {};
	}

	static void on_answer(void *ctx, uint64_t token, ph_job_outcome outcome,
			      uint64_t retry_after_us, uint64_t)
	{
		static_cast<Fixture *>(ctx)->answers.push_back(
			{ token, outcome, retry_after_us });
	}

	static bool on_caller_connected(void *ctx, uint64_t token)
	{
		return !static_cast<Fixture *>(ctx)->callers_left.count(token);
	}

	void receive_heartbeat(const char *name, const char *domain,
			       uint64_t token, uint32_t free_milli,
			       uint64_t backlog = 0, uint64_t incarnation = 1)
	{
		ph_poolmsg m = {};

		m.type = PH_POOLMSG_HEARTBEAT;
		m.name = ph_intern(name);
		m.domain = ph_intern(domain);
		snprintf(m.addr, sizeof(m.addr), "%s", name);
		m.incarnation = incarnation;
		m.clock_us = now_us + kClockAheadUs;
		m.claim_count = token ? 1 : 0;
		m.claims[0].pool_name = ph_intern(domain);
		m.claims[0].token = token;
		m.claims[0].load.usable = 4;
		m.claims[0].load.capacity_milli = 64000;
		m.claims[0].load.free_milli = free_milli;
		m.claims[0].load.backlog_milli_us = backlog;
		ph_cluster_heartbeat_received(cluster, now_us, &m);
	}

	void submit(uint64_t token)
	{
		ph_batch_request *w = static_cast<ph_batch_request *>(
			ph_mem_default()->calloc(1, sizeof(ph_batch_request)));

		snprintf(w->job, sizeof(w->job), "job%d", (int)token);
		w->count = 4;
		w->need.cpu_milli = 6800;
		w->estimate_us = 60 * kMs;
		w->target_us = 150 * kMs;
		w->caller_timeout_us = 1500 * kMs;
		ph_submitter_submit(submitter, now_us, token, w);
	}

	/* The owner of a pool accepts a batch, and tells of starts. */
	void accept(uint64_t seq, const ph_unconfirmed &starts = {})
	{
		ph_submitter_accepted(submitter, now_us, seq,
				      now_us + kClockAheadUs, &starts);
	}

	/** The owner returns the batch sent last as it has lost the pool. */
	void returned(bool not_started)
	{
		ph_result r = {};

		r.verdict = PH_VERDICT_MOVED;
		r.reason = "";
		r.count = 4;
		r.not_started = not_started;
		for (uint32_t i = 0; i < r.count; i++)
			r.possible_executor[i] = PH_EXECUTOR_NONE;
		ph_submitter_result(submitter, now_us, sent.back().seq, &r);
	}

	void result(ph_verdict verdict, uint64_t retry_after_us = 0,
		    bool evacuated = false)
	{
		ph_result r = {};

		r.verdict = verdict;
		r.reason = "";
		r.retry_after_us = retry_after_us;
		if (verdict == PH_VERDICT_MOVED) {
			r.count = 4;
			r.possible_executor[0] =
				evacuated ? PH_EXECUTOR_NONE : 77;
		}
		if (verdict == PH_VERDICT_MOVED && evacuated)
			ph_bit_set(r.done, 2);
		r.evacuated = evacuated;
		ph_submitter_result(submitter, now_us, sent.back().seq, &r);
	}

	void advance(uint64_t us)
	{
		uint64_t until = now_us + us;

		while (now_us < until) {
			now_us += 10 * kMs;
			ph_submitter_tick(submitter, now_us);
		}
	}
};

struct ChoiceCase {
	const char *description;
	const ph_pool_choice_policy *policy;
	uint32_t north_free;
	uint64_t north_backlog;
	uint32_t south_free;
	const char *to;
};

TEST(Submitter, ChoosesThePoolWithTheShortestWaitIncludingNetworkTime)
{
	const ChoiceCase cases[] = {
		{ "both pools free: own domain", &ph_pool_choice_wait, 64000, 0,
		  64000, "n2" },
		{ "own pool has a long queue: other domain",
		  &ph_pool_choice_wait, 0, 64000ULL * 500 * kMs, 64000, "s1" },
		{ "own pool has a short queue: own domain",
		  &ph_pool_choice_wait, 64000, 64000ULL * 2 * kMs, 64000,
		  "n2" },
		{ "baseline policy: always own domain", &ph_pool_choice_none, 0,
		  64000ULL * 500 * kMs, 64000, "n2" },
	};

	for (const ChoiceCase &c : cases) {
		SCOPED_TRACE(c.description);
		Fixture f(c.policy);

		f.receive_heartbeat("n2", "north", 5, c.north_free,
				    c.north_backlog);
		f.receive_heartbeat("s1", "south", 5, c.south_free);
		f.submit(1);
		ASSERT_EQ(f.sent.size(), 1U);
		EXPECT_EQ(f.sent[0].to, c.to);
	}
}

/* Between two heartbeats dozens of submitters know the same loads. If each
 * chose the pool with the shortest wait, all would send their jobs to the same
 * one. */
TEST(SubmitterLoad, ManySubmittersWithTheSameLoadsSpreadJobsOverThePools)
{
	/* The part of a latency target beyond the job's own run time. */
	constexpr double kSlackMs = 60;
	const struct {
		int submitters;
		int pools;
		double factor;
		/** Upper bound of the 99th percentile of the wait; 0: not
		 * checked, since with few pools random arrivals alone make
		 * longer queues. */
		double p99_max_ms;
	} cases[] = {
		{ 8, 3, 0.7, 0 },  { 12, 4, 0.7, 0 },  { 30, 7, 0.7, kSlackMs },
		{ 8, 3, 0.85, 0 }, { 30, 7, 0.85, 0 }, { 30, 7, 0.95, 0 },
	};

	for (const auto &c : cases) {
		submitter_world::Load load;

		load.submitters = c.submitters;
		load.pools = c.pools;
		load.factor = c.factor;
		load.policy = &ph_pool_choice_spread;
		submitter_world::Result spread =
			submitter_world::simulate(load);
		load.policy = &ph_pool_choice_wait;
		submitter_world::Result best = submitter_world::simulate(load);

		SCOPED_TRACE(c.submitters * 100 + c.pools);
		EXPECT_LT(spread.mean_wait_ms, best.mean_wait_ms);
		EXPECT_LT(spread.late_share, best.late_share);
		if (c.p99_max_ms > 0) {
			EXPECT_LE(spread.p99_wait_ms, c.p99_max_ms);
		}
	}
}

TEST(Submitter, JobsBetweenTwoHeartbeatsDoNotAllGoToTheSamePool)
{
	Fixture f;
	int south = 0;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.receive_heartbeat("s1", "south", 5, 64000);
	for (uint64_t i = 0; i < 6; i++)
		f.submit(i);
	for (const Sent &s : f.sent)
		south += s.pool == "south";
	EXPECT_GT(south, 0);
	EXPECT_LT(south, 6);
}

struct OutcomeCase {
	ph_verdict verdict;
	ph_job_outcome outcome;
};

TEST(Submitter, AnswersTheOutcomeOnce)
{
	const OutcomeCase cases[] = {
		{ PH_VERDICT_DONE, PH_JOB_COMPLETED },
		{ PH_VERDICT_FAILED, PH_JOB_FAILED },
		{ PH_VERDICT_BROKEN, PH_JOB_UNKNOWN },
		{ PH_VERDICT_NOT_RUN, PH_JOB_NOT_RUN },
	};

	for (const OutcomeCase &c : cases) {
		SCOPED_TRACE(c.verdict);
		Fixture f;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(9);
		f.result(c.verdict, 2000 * kMs);
		f.result(c.verdict, 2000 * kMs);
		ASSERT_EQ(f.answers.size(), 1U);
		EXPECT_EQ(f.answers[0].outcome, c.outcome);
		EXPECT_EQ(f.answers[0].token, 9U);
		EXPECT_EQ(f.answers[0].retry_after_us,
			  c.outcome == PH_JOB_NOT_RUN ? 2000 * kMs : 0);
	}
}

TEST(Submitter, ARefusedJobIsSentToAnotherPoolBeforeItIsAnswered)
{
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.receive_heartbeat("s1", "south", 5, 64000);
	f.submit(1);
	f.result(PH_VERDICT_NOT_RUN, 3000 * kMs);
	ASSERT_EQ(f.sent.size(), 2U);
	EXPECT_EQ(f.sent[1].to, "s1");
	EXPECT_TRUE(f.answers.empty());
	f.result(PH_VERDICT_NOT_RUN, 2000 * kMs);
	ASSERT_EQ(f.answers.size(), 1U);
	EXPECT_EQ(f.answers[0].retry_after_us, 2000 * kMs);
}

struct EvacuationCase {
	const char *description;
	std::vector<const char *> evacuated;
	/** Whether the other domain's pool has an owner. */
	bool south;
	/** The owner's result; PH_VERDICT_DONE: it sends none. */
	ph_verdict returned;
	/** Where the job goes in the end; NULL: it is answered. */
	const char *to;
	bool resumed;
	ph_job_outcome outcome;
	uint64_t retry_after_us;
};

/* Guards against jobs that are sent to an evacuated domain, against returned
 * ones that wait, and against started ones that are reported as not run. */
TEST(Submitter, JobsDoNotGoToEvacuatedDomains)
{
	const EvacuationCase cases[] = {
		{ "own domain is evacuated",
		  { "north" },
		  true,
		  PH_VERDICT_DONE,
		  "s1",
		  false,
		  PH_JOB_COMPLETED,
		  0 },
		{ "all domains are evacuated",
		  { "south", "north" },
		  true,
		  PH_VERDICT_DONE,
		  nullptr,
		  false,
		  PH_JOB_NOT_RUN,
		  5000 * kMs },
		{ "the owner has learned first",
		  {},
		  true,
		  PH_VERDICT_NOT_RUN,
		  "s1",
		  false,
		  PH_JOB_COMPLETED,
		  0 },
		{ "no other pool",
		  {},
		  false,
		  PH_VERDICT_NOT_RUN,
		  nullptr,
		  false,
		  PH_JOB_NOT_RUN,
		  1000 * kMs },
		{ "partly run",
		  {},
		  true,
		  PH_VERDICT_MOVED,
		  "s1",
		  true,
		  PH_JOB_COMPLETED,
		  0 },
		{ "partly run, no other pool",
		  {},
		  false,
		  PH_VERDICT_MOVED,
		  nullptr,
		  false,
		  PH_JOB_UNKNOWN,
		  0 },
	};

	for (const EvacuationCase &c : cases) {
		SCOPED_TRACE(c.description);
		/* During start-up, jobs wait for a pool without an owner. */
		Fixture f(&ph_pool_choice_wait, 2000 * kMs);
		const char *const shard = "north#1";

		ph_cluster_add_pools(f.cluster, &shard, 1);
		f.receive_heartbeat("n2", "north", 5, 64000);
		f.receive_heartbeat("n3", "north#1", 5, 64000);
		if (c.south)
			f.receive_heartbeat("s1", "south", 5, 32000);
		f.evacuate(c.evacuated);
		f.submit(1);
		if (c.returned != PH_VERDICT_DONE)
			f.result(c.returned, 1000 * kMs, true);
		if (!c.to) {
			ASSERT_EQ(f.answers.size(), 1U);
			EXPECT_EQ(f.answers[0].outcome, c.outcome);
			EXPECT_EQ(f.answers[0].retry_after_us,
				  c.retry_after_us);
			continue;
		}
		EXPECT_TRUE(f.answers.empty());
		ASSERT_FALSE(f.sent.empty());
		EXPECT_EQ(f.sent.back().to, c.to);
		EXPECT_EQ(f.sent.back().resumed, c.resumed);
		EXPECT_EQ(f.sent.back().where0, PH_EXECUTOR_NONE);
		EXPECT_EQ(f.sent.back().done, c.resumed ? 4 : 0);
	}
}

/* Guards against a domain whose executors all get their full load at the moment
 * at which its evacuation ends, and against jobs that are refused for it. */
TEST(Submitter, TheLoadOfADomainReturnsStepByStep)
{
	const struct {
		uint64_t after_us;
		bool south;
		int north_min;
		int north_max;
	} cases[] = {
		{ 0, true, 1, 60 },
		{ 5000 * kMs, true, 150, 350 },
		{ 10000 * kMs, true, 500, 500 },
		{ 0, false, 500, 500 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.after_us);
		Fixture f(&ph_pool_choice_none);
		int north = 0;

		f.evacuate({ "north" });
		f.evacuate({});
		f.now_us += c.after_us;
		f.receive_heartbeat("n2", "north", 5, 64000);
		if (c.south)
			f.receive_heartbeat("s1", "south", 5, 64000);
		for (uint64_t i = 0; i < 500; i++)
			f.submit(i);
		for (const Sent &s : f.sent)
			north += s.pool == "north";
		EXPECT_TRUE(f.answers.empty());
		EXPECT_GE(north, c.north_min);
		EXPECT_LE(north, c.north_max);
	}
}

TEST(Submitter, ARefusedJobTooLateForAnotherPoolIsAnsweredAtOnce)
{
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.receive_heartbeat("s1", "south", 5, 64000);
	f.submit(1);
	f.accept(f.sent.back().seq);
	for (int i = 0; i < 5; i++) {
		f.advance(100 * kMs);
		f.receive_heartbeat("n2", "north", 5, 64000);
		f.receive_heartbeat("s1", "south", 5, 64000);
	}
	f.result(PH_VERDICT_NOT_RUN, 2000 * kMs);
	EXPECT_EQ(f.sent.size(), 1U);
	ASSERT_EQ(f.answers.size(), 1U);
	EXPECT_EQ(f.answers[0].outcome, PH_JOB_NOT_RUN);
	EXPECT_EQ(f.answers[0].retry_after_us, 2000 * kMs);
}

TEST(Submitter, AStoppingInstanceAcceptsOnlyJobsThatEndInTime)
{
	struct StopCase {
		uint64_t time_left_us;
		bool taken;
	};
	const StopCase cases[] = {
		{ 5000 * kMs, true },
		{ 600 * kMs, true },
		{ 400 * kMs, false },
		{ 0, false },
	};

	for (const StopCase &c : cases) {
		SCOPED_TRACE(c.time_left_us);
		Fixture f;

		f.receive_heartbeat("n2", "north", 5, 64000);
		ph_submitter_stopping(f.submitter, f.now_us + c.time_left_us);
		f.submit(1);
		EXPECT_EQ(f.sent.size(), c.taken ? 1U : 0U);
		ASSERT_EQ(f.answers.size(), c.taken ? 0U : 1U);
		if (!c.taken) {
			EXPECT_EQ(f.answers[0].outcome, PH_JOB_NOT_RUN);
			EXPECT_GT(f.answers[0].retry_after_us, 0U);
		}
	}
}

TEST(Submitter, AJobIsRefusedAtOnceIfNoPoolHasAnOwner)
{
	Fixture f;

	f.submit(1);
	ASSERT_EQ(f.answers.size(), 1U);
	EXPECT_EQ(f.answers[0].outcome, PH_JOB_NOT_RUN);
	EXPECT_GT(f.answers[0].retry_after_us, 0U);
}

/* A job takes longer than expected while its instance stops. The caller gets an
 * answer before the process exits, not a closed connection. */
TEST(Submitter, AStoppingInstanceAnswersOpenJobsBeforeItExits)
{
	constexpr uint64_t kTimeLeftUs = 600 * kMs;
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(1);
	f.accept(f.sent.back().seq);
	ph_submitter_stopping(f.submitter, f.now_us + kTimeLeftUs);
	for (uint64_t t = 0; t + 20 * kMs < kTimeLeftUs; t += 20 * kMs) {
		f.receive_heartbeat("n2", "north", 5, 64000);
		f.advance(20 * kMs);
	}
	EXPECT_TRUE(f.answers.empty());
	f.advance(20 * kMs);
	ASSERT_EQ(f.answers.size(), 1U);
	EXPECT_EQ(f.answers[0].outcome, PH_JOB_UNKNOWN);
	EXPECT_EQ(f.sent.back().type, PH_POOLMSG_CANCEL);
}

TEST(Submitter, DuringStartUpAJobWaitsForTheFirstOwnerOfAPool)
{
	for (bool owner_comes : { true, false }) {
		SCOPED_TRACE(owner_comes);
		Fixture f(&ph_pool_choice_wait, 4000 * kMs);

		f.submit(1);
		EXPECT_TRUE(f.answers.empty());
		f.advance(300 * kMs);
		if (owner_comes)
			f.receive_heartbeat("n2", "north", 5, 64000);
		f.advance(20 * kMs);
		EXPECT_EQ(f.sent.size(), owner_comes ? 1U : 0U);
		f.advance(300 * kMs);
		EXPECT_EQ(f.answers.size(), owner_comes ? 0U : 1U);
	}
}

TEST(Submitter, ResumesABatchAtThePoolsNewOwner)
{
	for (bool moved_result : { true, false }) {
		SCOPED_TRACE(moved_result);
		Fixture f;
		size_t before;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(1);
		f.accept(f.sent.back().seq);
		if (moved_result)
			f.result(PH_VERDICT_MOVED);
		f.advance(400 * kMs);
		before = f.sent.size();
		f.receive_heartbeat("n3", "north", 6, 64000);
		f.advance(20 * kMs);
		ASSERT_GT(f.sent.size(), before);
		EXPECT_EQ(f.sent.back().to, "n3");
		EXPECT_TRUE(f.sent.back().resumed);
		EXPECT_EQ(f.sent.back().where0,
			  moved_result ? 77U : PH_EXECUTOR_UNKNOWN);
		f.result(PH_VERDICT_DONE);
		ASSERT_EQ(f.answers.size(), 1U);
		EXPECT_EQ(f.answers[0].outcome, PH_JOB_COMPLETED);
	}
}

/* Guards against a job that waits for a new owner of its pool, for up to 0.6 s,
 * although it has certainly not run, and against one that may have run and is
 * started in another pool or reported as not run. */
TEST(Submitter, AReturnedJobThatHasNotRunIsOfferedElsewhereAtOnce)
{
	const struct {
		const char *what;
		bool not_started;
		/** The pool's new owner, or another pool's, is known. */
		bool new_owner;
		bool other_pool;
		/** What gets the batch at once; empty: nobody. */
		const char *to;
		bool resumed;
		/** The answer if no new owner is heard of within 0.7 s. */
		ph_job_outcome outcome;
	} cases[] = {
		{ "not run, the new owner is known", true, true, true, "n3",
		  false, PH_JOB_COMPLETED },
		{ "not run, another pool is known", true, false, true, "s1",
		  false, PH_JOB_COMPLETED },
		{ "not run, no pool has an owner", true, false, false, "",
		  false, PH_JOB_NOT_RUN },
		{ "may have run, the new owner is known", false, true, true,
		  "n3", true, PH_JOB_COMPLETED },
		{ "may have run, another pool is known", false, false, true, "",
		  true, PH_JOB_UNKNOWN },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Fixture f;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(1);
		f.accept(f.sent.back().seq);
		if (c.other_pool)
			f.receive_heartbeat("s1", "south", 5, 64000);
		if (c.new_owner)
			f.receive_heartbeat("n3", "north", 6, 64000);
		f.returned(c.not_started);
		ASSERT_EQ(f.sent.size(), c.to[0] ? 2U : 1U);
		if (c.to[0]) {
			EXPECT_EQ(f.sent.back().to, c.to);
			EXPECT_EQ(f.sent.back().resumed, c.resumed);
			f.result(PH_VERDICT_DONE);
		} else {
			f.advance(700 * kMs);
		}
		ASSERT_EQ(f.answers.size(), 1U);
		EXPECT_EQ(f.answers[0].outcome, c.outcome);
	}
}

/* Guards against a job that is answered while its pool's next owner, of which
 * the submitter hears later, could run it. */
TEST(Submitter, AReturnedJobThatHasNotRunWaitsForANewOwnerIfThereIsNoOtherPool)
{
	for (bool other_pool : { false, true }) {
		SCOPED_TRACE(other_pool);
		Fixture f;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(1);
		f.accept(f.sent.back().seq);
		f.returned(true);
		f.advance(50 * kMs);
		EXPECT_EQ(f.sent.size(), 1U);
		f.receive_heartbeat(other_pool ? "s1" : "n3",
				    other_pool ? "south" : "north", 6, 64000);
		f.advance(10 * kMs);
		ASSERT_EQ(f.sent.size(), 2U);
		EXPECT_EQ(f.sent.back().to, other_pool ? "s1" : "n3");
		EXPECT_FALSE(f.sent.back().resumed);
	}
}

/* An owner that is not heard goes on with the batch while the next one starts
 * its tasks; one that has returned it, or has restarted, does not have it. */
TEST(Submitter, AResumedBatchIsCancelledAtAnOwnerThatMayStillHaveIt)
{
	const struct {
		const char *what;
		bool moved_result;
		const char *next;
		uint64_t incarnation;
		bool cancelled;
	} cases[] = {
		{ "not heard", false, "n3", 1, true },
		{ "returned the batch", true, "n3", 1, false },
		{ "restarted", false, "n2", 2, false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Fixture f;
		size_t cancels = 0;
		uint64_t seq;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(1);
		seq = f.sent.back().seq;
		f.accept(seq);
		if (c.moved_result)
			f.result(PH_VERDICT_MOVED);
		f.advance(400 * kMs);
		f.receive_heartbeat(c.next, "north", 6, 64000, 0,
				    c.incarnation);
		f.advance(20 * kMs);
		ASSERT_EQ(f.sent.back().type, PH_POOLMSG_SUBMIT);
		EXPECT_EQ(f.sent.back().to, c.next);
		for (const Sent &s : f.sent) {
			if (s.type != PH_POOLMSG_CANCEL)
				continue;
			cancels++;
			EXPECT_EQ(s.to, "n2");
			EXPECT_EQ(s.seq, seq);
		}
		EXPECT_EQ(cancels, c.cancelled ? 1U : 0U);
	}
}

/* An owner that was killed and has restarted does not know the batch, but its
 * earlier incarnation may have started tasks of it: the batch is resumed. */
TEST(Submitter, ARestartedOwnerCountsAsANewOwner)
{
	for (bool accepted : { true, false }) {
		SCOPED_TRACE(accepted);
		Fixture f;

		f.receive_heartbeat("n2", "north", 5, 64000);
		f.submit(1);
		if (accepted)
			f.accept(f.sent.back().seq);
		f.now_us += 50 * kMs;
		f.receive_heartbeat("n2", "north", 0, 0, 0, 2);
		f.advance(100 * kMs);
		EXPECT_EQ(f.sent.size(), 1U);
		f.receive_heartbeat("n2", "north", 6, 64000, 0, 2);
		f.advance(20 * kMs);
		ASSERT_EQ(f.sent.size(), 2U);
		EXPECT_TRUE(f.sent[1].resumed);
		EXPECT_EQ(f.sent[1].where0, PH_EXECUTOR_UNKNOWN);
		EXPECT_NE(f.sent[1].seq, f.sent[0].seq);
	}
}

TEST(Submitter, AnAcceptedJobWithoutANewOwnerIsAnsweredAsUnknown)
{
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(1);
	f.accept(f.sent.back().seq);
	f.advance(1500 * kMs);
	ASSERT_EQ(f.answers.size(), 1U);
	EXPECT_EQ(f.answers[0].outcome, PH_JOB_UNKNOWN);
}

TEST(Submitter, ABatchIsSentAgainWithTheSameSequenceNumberUntilAccepted)
{
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(1);
	f.advance(200 * kMs);
	f.receive_heartbeat("n2", "north", 5, 64000);
	ASSERT_GE(f.sent.size(), 2U);
	EXPECT_EQ(f.sent[0].seq, f.sent[1].seq);
	f.accept(f.sent[0].seq);
	size_t before = f.sent.size();

	f.advance(200 * kMs);
	EXPECT_EQ(f.sent.size(), before);
}

TEST(Submitter, ADisconnectedCallersBatchIsCancelled)
{
	Fixture f;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(4);
	ph_submitter_caller_disconnected(f.submitter, f.now_us, 4);
	EXPECT_EQ(f.sent.back().type, PH_POOLMSG_CANCEL);
	EXPECT_EQ(ph_submitter_count(f.submitter), 0U);
	EXPECT_TRUE(f.answers.empty());
}

/* A DELETE was answered as if there was no such job, which went on being
 * started. */
TEST(Submitter, ACancelledJobIsCancelledAtItsOwnerAndItsCallerAnswered)
{
	const struct {
		const char *what;
		const char *job;
		bool owner_known;
		/** How often the job has been submitted. */
		size_t open;
		size_t cancelled;
	} cases[] = {
		{ "open", "job4", true, 1, 1 },
		{ "submitted twice", "job4", true, 2, 2 },
		{ "another one", "job5", true, 1, 0 },
		{ "no pool has an owner yet", "job4", false, 1, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Fixture f(&ph_pool_choice_wait, 5000 * kMs);
		size_t cancellations = 0;

		if (c.owner_known)
			f.receive_heartbeat("n2", "north", 5, 64000);
		for (size_t i = 0; i < c.open; i++)
			f.submit(4);
		EXPECT_EQ(ph_submitter_cancel_job(f.submitter, f.now_us, c.job),
			  c.cancelled);
		EXPECT_EQ(ph_submitter_count(f.submitter),
			  c.open - c.cancelled);
		ASSERT_EQ(f.answers.size(), c.cancelled);
		for (const Answer &a : f.answers)
			EXPECT_EQ(a.outcome, PH_JOB_FAILED);
		for (const Sent &s : f.sent)
			cancellations += s.type == PH_POOLMSG_CANCEL;
		EXPECT_EQ(cancellations, c.owner_known ? c.cancelled : 0);
	}
}

/* A caller that closes its side of the connection, and reads on, was told that
 * its job has not run although tasks of it had started. */
TEST(Submitter, ADisconnectedCallersJobHasNotRunOnlyIfNoOwnerHasGotIt)
{
	const struct {
		const char *what;
		bool owner_known;
		bool refused_once;
		uint64_t token;
		ph_job_outcome outcome;
	} cases[] = {
		{ "sent", true, false, 4, PH_JOB_UNKNOWN },
		{ "refused, sent again", true, true, 4, PH_JOB_UNKNOWN },
		{ "no pool has an owner yet", false, false, 4, PH_JOB_NOT_RUN },
		{ "not submitted yet", true, false, 5, PH_JOB_NOT_RUN },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Fixture f(&ph_pool_choice_wait, 5000 * kMs);

		if (c.owner_known) {
			f.receive_heartbeat("n2", "north", 5, 64000);
			f.receive_heartbeat("s1", "south", 5, 64000);
		}
		f.submit(4);
		if (c.refused_once)
			f.result(PH_VERDICT_NOT_RUN, 1000 * kMs);
		EXPECT_EQ(ph_submitter_caller_disconnected(f.submitter,
							   f.now_us, c.token),
			  c.outcome);
	}
}

/* A process that stood still reads requests whose callers have submitted their
 * jobs elsewhere by then; others leave while their jobs wait here. */
TEST(Submitter, NoBatchIsSentForACallerThatHasLeft)
{
	const struct {
		const char *when;
		bool owner_known;
		/** What the caller outlasts. */
		bool sent;
		ph_verdict verdict;
		ph_job_outcome outcome;
	} cases[] = {
		{ "its request is unread", true, false, PH_VERDICT_NOT_RUN,
		  PH_JOB_NOT_RUN },
		{ "no pool has an owner yet", false, false, PH_VERDICT_NOT_RUN,
		  PH_JOB_NOT_RUN },
		{ "the first pool has no room", true, true, PH_VERDICT_NOT_RUN,
		  PH_JOB_NOT_RUN },
		{ "the pool changes hands", true, true, PH_VERDICT_MOVED,
		  PH_JOB_UNKNOWN },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.when);
		Fixture f(&ph_pool_choice_wait, 5000 * kMs);

		if (c.owner_known) {
			f.receive_heartbeat("n2", "north", 5, 64000);
			f.receive_heartbeat("s1", "south", 5, 64000);
		}
		if (!c.sent && c.owner_known)
			f.callers_left.insert(4);
		f.submit(4);
		f.callers_left.insert(4);
		if (c.sent) {
			f.result(c.verdict, 1000 * kMs);
		}
		f.receive_heartbeat("n3", "north", 6, 64000);
		f.advance(20 * kMs);
		EXPECT_EQ(f.sent.size(), c.sent ? 1U : 0U);
		ASSERT_EQ(f.answers.size(), 1U);
		EXPECT_EQ(f.answers[0].outcome, c.outcome);
	}
}

/* Messages in transit are lost when a connection is reset. */
TEST(Submitter, ACancellationIsSentAgainUntilAcknowledged)
{
	Fixture f;
	uint64_t seq;
	size_t before;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(4);
	ph_submitter_caller_disconnected(f.submitter, f.now_us, 4);
	seq = f.sent.back().seq;
	before = f.sent.size();
	f.advance(200 * kMs);
	ASSERT_GT(f.sent.size(), before);
	EXPECT_EQ(f.sent.back().type, PH_POOLMSG_CANCEL);
	EXPECT_EQ(f.sent.back().seq, seq);
	ph_submitter_cancelled(f.submitter, seq);
	before = f.sent.size();
	f.advance(400 * kMs);
	EXPECT_EQ(f.sent.size(), before);
}

/* An owner that stood still meanwhile was told of a later heartbeat before it
 * had ended the batch for the age of the echo, and went on with it. */
TEST(Submitter,
     AnUnacknowledgedCancellationHoldsTheEchoUntilTheOwnerHasEndedTheBatch)
{
	/* The age of an echo at which the batches end, and the longest time for
	 * which an owner stands still without giving up its pools. */
	constexpr uint64_t kEndedUs = 850 * kMs + 700 * kMs;

	for (bool acknowledged : { false, true }) {
		SCOPED_TRACE(acknowledged);
		Fixture f;
		const ph_member *owner;
		uint64_t echo_us;

		f.receive_heartbeat("n2", "north", 5, 64000);
		ph_cluster_callers_checked(f.cluster);
		owner = ph_cluster_first_member(f.cluster);
		f.submit(4);
		ph_submitter_caller_disconnected(f.submitter, f.now_us, 4);
		echo_us = ph_submitter_echo_us(f.submitter, owner);
		if (acknowledged)
			ph_submitter_cancelled(f.submitter, f.sent.back().seq);
		f.advance(kEndedUs);
		f.receive_heartbeat("n2", "north", 5, 64000);
		ph_cluster_callers_checked(f.cluster);
		EXPECT_EQ(ph_submitter_echo_us(f.submitter, owner) == echo_us,
			  !acknowledged);
	}
}

TEST(Submitter, AnUnacknowledgedCancellationIsSentForALimitedTime)
{
	Fixture f;
	size_t before;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.submit(4);
	ph_submitter_caller_disconnected(f.submitter, f.now_us, 4);
	f.advance(2000 * kMs);
	before = f.sent.size();
	f.advance(1000 * kMs);
	EXPECT_EQ(f.sent.size(), before);
}

/* An owner refuses a batch that was in transit for too long, since its
 * submitter has given it up. That time counts from the first send, also for a
 * repeat. */
TEST(Submitter, ABatchCarriesTheTimeOfItsFirstSendOnTheOwnersClock)
{
	Fixture f;
	uint64_t first_us;

	f.receive_heartbeat("n2", "north", 5, 64000);
	f.now_us += 40 * kMs;
	first_us = f.now_us;
	f.submit(1);
	EXPECT_EQ(f.sent.back().sent_us, first_us + kClockAheadUs);
	f.advance(200 * kMs);
	f.receive_heartbeat("n2", "north", 5, 64000);
	ASSERT_GE(f.sent.size(), 2U);
	EXPECT_EQ(f.sent.back().sent_us, first_us + kClockAheadUs);
}

} // namespace
