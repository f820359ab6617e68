/* Tasks that crash the executors that start them, and executors whose capacity
 * shrinks and grows again. */
#include <gtest/gtest.h>

#include "pool_world.h"

extern "C" {
#include "poolmsg.h"
}

namespace
{

using namespace world;

constexpr uint64_t kTarget = 400 * kMs;
/** Callers that wait long enough for many leases to expire. */
constexpr uint64_t kLongTimeout = 20000 * kMs;
/** Time until a crashed executor is back. */
constexpr uint64_t kDown = 3200 * kMs;
/** Executors that one task may crash: the rule forbids a third start after the
 * third crash. */
constexpr size_t kCrashesMax = 5;

/** Executors on which some tasks crash everything. */
struct CrashWorld : World {
	/** "job.index" of the tasks that crash their executors. */
	std::set<std::string> deadly;
	/** Executors that crashed while a task was on them, by task. */
	std::map<std::string, std::vector<std::string>> crashed_under;
	/** Crashed executors leave calls unanswered. */
	bool silent = false;

	CrashWorld(size_t count, uint32_t cpu) : World(count, cpu)
	{
		watch();
	}

	void crash_now(Executor *x)
	{
		for (const Run &r : x->running)
			crashed_under[r.key].push_back(x->id);
		crash(x, kDown, silent);
	}

	/** The most executors that crashed under a task whose job's name begins
	 * with prefix. */
	size_t most_crashes(const std::string &prefix) const
	{
		size_t most = 0;

		for (const auto &c : crashed_under)
			if (!c.first.compare(0, prefix.size(), prefix))
				most = std::max(most, c.second.size());
		return most;
	}

      private:
	void watch()
	{
		for (Executor &x : executors) {
			bool crashes = false;

			for (const Run &r : x.running)
				crashes |= deadly.count(r.key) &&
					   now_us >= r.begin_us + 5 * kMs;
			if (crashes)
				crash_now(&x);
		}
		at(now_us + kMs, [this] { watch(); });
	}
};

ph_batch_request request_of(const std::string &job, uint32_t count,
			    uint64_t estimate, uint64_t caller_timeout)
{
	ph_batch_request w = {};

	snprintf(w.job, sizeof(w.job), "%s", job.c_str());
	w.service = "desk";
	w.count = count;
	w.need = { 6800, 64, 0 };
	w.estimate_us = estimate;
	w.target_us = 0;
	w.caller_timeout_us = caller_timeout;
	w.max_attempts = 3;
	w.first_run = 100;
	return w;
}

/** Submits jobs that can be done, at intervals, until a time. */
void submit_sound_jobs(CrashWorld *w, Owner *o, uint64_t interval,
		       uint64_t until_us, std::vector<uint64_t> *seqs)
{
	if (w->now_us >= until_us)
		return;
	seqs->push_back(w->submit_request(
		o,
		request_of("sound-" + std::to_string(seqs->size()), 2,
			   200 * kMs, kLongTimeout),
		200 * kMs));
	w->at(w->now_us + interval,
	      [=] { submit_sound_jobs(w, o, interval, until_us, seqs); });
}

/* ## How many executors a task may crash */

struct DeadlyCase {
	const char *what;
	size_t executors;
	uint32_t jobs;
	/** The first so many of the eight tasks of each job are deadly. */
	uint32_t deadly;
	/** Interval of sound jobs; 0: there are none. */
	uint64_t sound_interval;
	bool silent;
};

const DeadlyCase deadly_cases[] = {
	{ "one job with one such task, executors enough", 12, 1, 1, 0, false },
	{ "all tasks of the job are such", 12, 1, 8, 0, false },
	{ "two jobs", 12, 2, 1, 0, false },
	{ "six jobs, few executors", 6, 6, 1, 0, false },
	{ "one job in a pool with other jobs", 12, 1, 1, 40 * kMs, false },
	{ "one job in a full pool", 6, 1, 1, 40 * kMs, false },
	{ "one job, and crashed executors look as if they were cut off", 12, 1,
	  1, 0, true },
	{ "all tasks of such a job", 12, 1, 8, 0, true },
};

// A task crashes one executor after another for as long as its caller waits.
TEST(CrashingTasks, ATaskThatCrashesExecutorsIsGivenUp)
{
	for (const DeadlyCase &c : deadly_cases) {
		SCOPED_TRACE(c.what);
		CrashWorld w(c.executors, 16000);
		Owner *o = ready_owner(&w);
		std::vector<uint64_t> bad;
		std::vector<uint64_t> sound;

		w.silent = c.silent;
		for (uint32_t i = 0; i < c.jobs; i++) {
			std::string job = "bad-" + std::to_string(i);

			for (uint32_t k = 0; k < c.deadly; k++)
				w.deadly.insert(job + "." + std::to_string(k));
			bad.push_back(w.submit_request(
				o, request_of(job, 8, 60 * kMs, kLongTimeout),
				60 * kMs));
		}
		if (c.sound_interval)
			submit_sound_jobs(&w, o, c.sound_interval,
					  w.now_us + 5000 * kMs, &sound);
		uint64_t answered_by_us = w.now_us + kLongTimeout / 2;

		w.run_until(w.now_us + kLongTimeout + 2000 * kMs);
		for (const std::string &key : w.deadly)
			EXPECT_LE(w.crashed_under[key].size(), kCrashesMax)
				<< key;
		for (uint64_t seq : bad)
			EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_FAILED) ||
				    (c.silent &&
				     w.ended(o, seq, PH_VERDICT_BROKEN)));
		/* The answer does not wait for the caller's deadline. */
		for (uint64_t seq : bad)
			EXPECT_LE(o->result_us[seq], answered_by_us);
		for (uint64_t seq : sound)
			EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
		EXPECT_EQ(w.concurrent_runs, 0);
	}
}

// The caller of a job that is given up is told that it was not run, or an end
// that its other tasks have reached is forgotten.
TEST(CrashingTasks, AGivenUpJobIsFailedAndKeepsTheEndsOfItsOtherTasks)
{
	CrashWorld w(12, 16000);
	Owner *o = ready_owner(&w);
	uint64_t seq;

	w.deadly.insert("bad.3");
	seq = w.submit_request(o, request_of("bad", 8, 60 * kMs, kLongTimeout),
			       60 * kMs);
	w.run_until(w.now_us + kLongTimeout + 2000 * kMs);
	ASSERT_TRUE(w.ended(o, seq, PH_VERDICT_FAILED));
	for (uint32_t i = 0; i < 8; i++) {
		EXPECT_EQ(ph_bit_get(o->results[seq].done, i), i != 3) << i;
		EXPECT_EQ(w.done["bad." + std::to_string(i)], i != 3) << i;
	}
}

// The caller waits for too short a time to give the job up, and hands it in
// again: the count starts from nothing.
TEST(CrashingTasks, ASecondHandInDoesNotStartTheCountAgain)
{
	CrashWorld w(16, 16000);
	Owner *o = ready_owner(&w);
	ph_batch_request request = request_of("bad", 8, 60 * kMs, 1300 * kMs);

	w.deadly.insert("bad.0");
	for (int i = 0; i < 3; i++) {
		request.first_run = 100U * (uint32_t)(i + 1);
		w.submit_request(o, request, 60 * kMs);
		w.run_until(w.now_us + 2600 * kMs);
	}
	EXPECT_LE(w.crashed_under["bad.0"].size(), kCrashesMax);
}

/* ## Change of the owner */

/** Passes a message through its encoding. */
ph_poolmsg over_the_wire(const ph_poolmsg &m)
{
	ph_buf buf = { ph_mem_default(), nullptr, 0, 0 };
	ph_poolmsg out;

	ph_poolmsg_encode(&m, &buf);
	EXPECT_EQ(ph_poolmsg_decode(ph_mem_default(), buf.data + 4, buf.len - 4,
				    &out),
		  0);
	ph_buf_free(&buf);
	return out;
}

/** Tells an owner of the lost executors that another one has seen, by a
 * heartbeat. */
void tell(World *w, Owner *from, Owner *to)
{
	ph_poolmsg m = {};

	m.type = PH_POOLMSG_HEARTBEAT;
	m.suspect_count = ph_crashes_recent(ph_pool_crashes(from->pool),
					    w->now_us, m.suspects);
	m = over_the_wire(m);
	for (uint32_t i = 0; i < m.suspect_count; i++)
		ph_crashes_heard(ph_pool_crashes(to->pool), w->now_us,
				 &m.suspects[i]);
	ph_poolmsg_clear(ph_mem_default(), &m);
}

/** Resumes a batch at another owner as its submitter does, with what the result
 * of the owner before says. Returns its number. */
uint64_t resume(World *w, Owner *from, Owner *to, uint64_t seq,
		ph_batch_request request)
{
	ph_poolmsg result = {};
	ph_poolmsg submit = {};
	uint64_t next;

	result.type = PH_POOLMSG_RESULT;
	result.result = from->results[seq];
	result.result.reason = "";
	result = over_the_wire(result);
	request.resumed = true;
	memcpy(request.done, result.result.done, sizeof(request.done));
	memcpy(request.possible_executor, result.result.possible_executor,
	       sizeof(request.possible_executor));
	ph_poolmsg_clear(ph_mem_default(), &result);
	submit.type = PH_POOLMSG_SUBMIT;
	submit.batch_request = &request;
	submit = over_the_wire(submit);
	next = w->submit_request(to, *submit.batch_request, 60 * kMs);
	ph_poolmsg_clear(ph_mem_default(), &submit);
	return next;
}

struct HandOverCase {
	const char *what;
	/** Time between two changes of the owner. */
	uint64_t interval;
};

const HandOverCase hand_over_cases[] = {
	{ "each owner sees several crashes", 3000 * kMs },
	{ "each owner sees a crash or two", 2200 * kMs },
	{ "each owner sees one crash", 1500 * kMs },
	{ "owners change while the lease of a crashed executor lasts",
	  1200 * kMs },
	{ "owners change faster than one may start the task", 900 * kMs },
};

// Each new owner of the pool starts the count from nothing.
TEST(CrashingTasks, TheCountSurvivesChangesOfTheOwner)
{
	for (const HandOverCase &c : hand_over_cases) {
		SCOPED_TRACE(c.what);
		CrashWorld w(32, 16000);
		Owner *owners[] = { ready_owner(&w), w.add_owner(),
				    w.add_owner() };
		ph_batch_request request =
			request_of("bad", 8, 60 * kMs, 10 * kLongTimeout);
		Owner *o = owners[0];
		uint64_t token = 1000;
		uint64_t seq;

		w.deadly.insert("bad.0");
		seq = w.submit_request(o, request, 60 * kMs);
		for (int i = 1; i < 20; i++) {
			Owner *next = owners[i % 3];

			w.run_until(w.now_us + c.interval);
			if (w.ended(o, seq, PH_VERDICT_FAILED))
				break;
			ph_pool_release(o->pool, w.now_us);
			ASSERT_TRUE(w.ended(o, seq, PH_VERDICT_MOVED));
			for (Owner *other : owners)
				if (other != o)
					tell(&w, o, other);
			ph_pool_acquire(next->pool, w.now_us, ++token);
			w.run_until(w.now_us + 50 * kMs);
			seq = resume(&w, o, next, seq, request);
			o = next;
		}
		EXPECT_LE(w.crashed_under["bad.0"].size(), kCrashesMax);
		EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_FAILED));
	}
}

// The job is handed in again, to another pool: the count starts from nothing.
TEST(CrashingTasks, TheCountHoldsAtOtherPools)
{
	CrashWorld w(16, 16000);
	Owner *owners[] = { ready_owner(&w), w.add_owner(), w.add_owner(),
			    w.add_owner() };
	ph_batch_request request = request_of("bad", 8, 60 * kMs, 1300 * kMs);
	uint64_t token = 1000;

	w.deadly.insert("bad.0");
	for (Owner *o : owners) {
		ph_pool_acquire(o->pool, w.now_us, ++token);
		w.run_until(w.now_us + 50 * kMs);
		request.first_run += 100;
		w.submit_request(o, request, 60 * kMs);
		w.run_until(w.now_us + 2600 * kMs);
		for (Owner *other : owners)
			if (other != o)
				tell(&w, o, other);
		ph_pool_release(o->pool, w.now_us);
	}
	EXPECT_LE(w.crashed_under["bad.0"].size(), kCrashesMax);
}

// A new owner is told of losses in a way that an instance of the version before
// cannot read, or that loses them.
TEST(CrashingTasks, HeartbeatsCarryLossesAndAreReadableWithoutThem)
{
	ph_poolmsg without = {};
	ph_poolmsg with = {};
	ph_poolmsg got;

	without.type = PH_POOLMSG_HEARTBEAT;
	without.list_age_us = 7;
	without.claim_count = 1;
	without.claims[0].token = 5;
	got = over_the_wire(without);
	EXPECT_EQ(got.suspect_count, 0U);
	EXPECT_EQ(got.claims[0].token, 5U);
	ph_poolmsg_clear(ph_mem_default(), &got);
	with = without;
	with.suspect_count = PH_SUSPECTS_SENT_MAX;
	for (uint32_t i = 0; i < with.suspect_count; i++)
		with.suspects[i] = { UINT64_MAX - i, i,		 1 + i % 4,
				     i % 3,	     i % 2 == 0, 3,
				     false,	     0,		 9 };
	got = over_the_wire(with);
	ASSERT_EQ(got.suspect_count, with.suspect_count);
	EXPECT_EQ(got.claims[0].token, 5U);
	for (uint32_t i = 0; i < with.suspect_count; i++) {
		EXPECT_EQ(got.suspects[i].job, UINT64_MAX - i);
		EXPECT_EQ(got.suspects[i].index, i);
		EXPECT_EQ(got.suspects[i].losses, 1 + i % 4);
		EXPECT_EQ(got.suspects[i].crash_weight, i % 3);
		EXPECT_EQ(got.suspects[i].suspected, i % 2 == 0);
	}
	ph_poolmsg_clear(ph_mem_default(), &got);
}

// The table gets full and forgets the latest losses, or tells of the oldest.
TEST(CrashingTasks, TheLatestLossesAreKeptAndTold)
{
	ph_crashes *c = ph_crashes_new(ph_mem_default());
	ph_suspect told[PH_SUSPECTS_SENT_MAX];
	ph_loss loss = { 77, 2, false, false, true, false };

	for (uint32_t i = 1; i <= 1000; i++)
		ph_crashes_add(c, i * kMs, i, 0, &loss);
	EXPECT_FALSE(ph_crashes_find(c, 1, 0));
	EXPECT_TRUE(ph_crashes_suspected(c, 1000, 0));
	ASSERT_EQ(ph_crashes_recent(c, 1000 * kMs, told), PH_SUSPECTS_SENT_MAX);
	for (uint32_t i = 0; i < PH_SUSPECTS_SENT_MAX; i++)
		EXPECT_EQ(told[i].job, 1000U - i);
	EXPECT_EQ(ph_crashes_recent(c, 60000 * kMs, told), 0U);
	ph_crashes_executor_back(c, 77, 1000 * kMs, false);
	EXPECT_FALSE(ph_crashes_suspected(c, 1000, 0));
	EXPECT_TRUE(ph_crashes_suspected(c, 999, 0));
	ph_crashes_free(c);
}

/* ## Tasks that are not to blame */

struct InnocentCase {
	const char *what;
	size_t executors;
	/** Interval of jobs with a deadly task. */
	uint64_t bad_interval;
	uint64_t sound_interval;
	/** Executors that may crash under a sound task, by its neighbours: two
	 * if there is no room to run it alone. */
	size_t crashes_max;
	/** There is room for all sound jobs in time. */
	bool room;
};

const InnocentCase innocent_cases[] = {
	{ "a deadly job now and then", 16, 900 * kMs, 100 * kMs, 1, true },
	{ "many deadly jobs", 16, 300 * kMs, 100 * kMs, 1, true },
	{ "more deadly jobs than executors", 8, 200 * kMs, 200 * kMs, 2,
	  false },
};

// A sound task starts again and again beside tasks that crash its executor, or
// is given up for what these did.
TEST(CrashingTasks, ASoundTaskBesideDeadlyOnesIsDone)
{
	for (const InnocentCase &c : innocent_cases) {
		SCOPED_TRACE(c.what);
		CrashWorld w(c.executors, 16000);
		Owner *o = ready_owner(&w);
		std::vector<uint64_t> sound;

		for (int i = 0; i < 20; i++) {
			std::string job = "bad-" + std::to_string(i);

			w.deadly.insert(job + ".0");
			w.at(w.now_us + (uint64_t)i * c.bad_interval, [=, &w] {
				w.submit_request(o,
						 request_of(job, 1, 60 * kMs,
							    kLongTimeout),
						 60 * kMs);
			});
		}
		submit_sound_jobs(&w, o, c.sound_interval,
				  w.now_us + 6000 * kMs, &sound);
		w.run_until(w.now_us + 40000 * kMs);
		for (uint64_t seq : sound) {
			bool not_run = w.ended(o, seq, PH_VERDICT_NOT_RUN);

			EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE) ||
				    (!c.room && not_run))
				<< seq;
		}
		EXPECT_LE(w.most_crashes("sound-"), c.crashes_max);
		EXPECT_LE(w.most_crashes("bad-"), kCrashesMax);
		EXPECT_EQ(w.concurrent_runs, 0);
	}
}

/** What calls meet at an executor that is cut off. */
struct CutCase {
	const char *what;
	bool drops_connections;
	bool refuses;
};

const CutCase cut_cases[] = {
	{ "no answer", false, false },
	{ "no connection", true, false },
	{ "a refused connection", false, true },
};

void run_on_executors_that_are_cut_off(const CutCase &c)
{
	CrashWorld w(12, 16000);
	Owner *o = ready_owner(&w);
	uint64_t seq;

	for (Executor &x : w.executors)
		x.drops_connections = c.drops_connections;
	seq = w.submit_request(
		o, request_of("long", 1, 2500 * kMs, kLongTimeout), 2500 * kMs);
	for (int i = 0; i < 4; i++) {
		w.run_until(w.now_us + 200 * kMs);
		for (Executor &x : w.executors) {
			std::string id = x.id;

			if (x.running.empty())
				continue;
			x.unreachable_from.insert(0);
			x.refuses = c.refuses;
			w.at(w.now_us + 3000 * kMs, [=, &w] {
				w.find(id)->unreachable_from.clear();
				w.find(id)->refuses = false;
			});
		}
		w.run_until(w.now_us + 900 * kMs);
	}
	w.run_until(w.now_us + kLongTimeout);
	EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
	EXPECT_EQ(w.concurrent_runs, 0);
}

// Polls of an executor get lost for longer than its lease lasts, or find no
// connection or a refused one, again and again while a task runs there alone,
// and its job is said to have failed.
TEST(CrashingTasks, NoTaskIsGivenUpWhileItsExecutorsMayBeCutOff)
{
	for (const CutCase &c : cut_cases) {
		SCOPED_TRACE(c.what);
		run_on_executors_that_are_cut_off(c);
	}
}

struct WeightCase {
	const char *what;
	/** The losses of executors under one task, in their order. */
	std::vector<ph_loss> losses;
	bool given_up;
};

// A task that crashes its executors is started more often than needed, or one
// that was there by chance is given up.
TEST(CrashingTasks, CrashesAreWeighedByHowLikelyTheTaskIsTheCause)
{
	const ph_loss beside = { 1, 3, false, true, true, true };
	const ph_loss alone_late = { 2, 1, false, true, true, false };
	const ph_loss beside_late = { 5, 3, false, true, true, false };
	const ph_loss alone_prompt = { 3, 1, false, true, true, true };
	const ph_loss not_begun = { 4, 1, false, true, false, true };
	const WeightCase cases[] = {
		{ "alone at once, after one beside others",
		  { beside, alone_prompt },
		  true },
		{ "alone at once, twice",
		  { alone_prompt, alone_prompt },
		  true },
		{ "alone at once, once", { alone_prompt }, false },
		{ "alone later, after one beside others",
		  { beside, alone_late },
		  false },
		{ "alone later, four times",
		  { alone_late, alone_late, alone_late, alone_late },
		  false },
		{ "alone at once, after one beside others later",
		  { beside_late, alone_prompt },
		  false },
		{ "beside others, three times",
		  { beside, beside, beside },
		  false },
		{ "beside others, four times",
		  { beside, beside, beside, beside },
		  true },
		{ "not begun", { alone_prompt, not_begun, not_begun }, false },
	};

	for (const WeightCase &c : cases) {
		SCOPED_TRACE(c.what);
		ph_crashes *crashes = ph_crashes_new(ph_mem_default());

		for (const ph_loss &loss : c.losses)
			ph_crashes_add(crashes, 1000 * kMs, 7, 0, &loss);
		EXPECT_EQ(ph_crashes_given_up(crashes, 7, 0), c.given_up);
		ph_crashes_free(crashes);
	}
}

struct LoneCrashCase {
	const char *what;
	/** The start at the first executor is lost, so the task never begins
	 * there. */
	bool first_start_lost;
	/** Tasks of the job; the others run beside the first one. */
	uint32_t tasks;
	/** Time from the start to the crash while the task runs alone. */
	uint64_t crash_after;
};

const LoneCrashCase lone_crash_cases[] = {
	{ "the first start never began", true, 1, 20 * kMs },
	{ "no start of the job ever began there", true, 2, 20 * kMs },
	{ "the first crash hit two tasks", false, 2, 150 * kMs },
};

/** Lists all executors with a capacity that is enough for the job, or only the
 * first one so. */
void list_capacities(World *w, Owner *o, bool first_only)
{
	for (Executor &x : w->executors)
		x.cpu = first_only && &x != &w->executors[0] ? 1000 : 16000;
	w->list(o);
}

// An executor crashes, and later another one by itself while a task runs there
// alone; the task's job is said to have failed though it could be done.
TEST(CrashingTasks, NoTaskIsGivenUpForOneCrashWhileItRanAlone)
{
	for (const LoneCrashCase &c : lone_crash_cases) {
		SCOPED_TRACE(c.what);
		CrashWorld w(12, 16000);
		Owner *o = ready_owner(&w);
		int crashes = 0;
		uint64_t seq;

		list_capacities(&w, o, true);
		if (c.first_start_lost)
			w.executors[0].start_delay_us = 60000 * kMs;
		seq = w.submit_request(
			o,
			request_of("long", c.tasks, 2500 * kMs, kLongTimeout),
			2500 * kMs);
		w.run_until(w.now_us + 100 * kMs);
		w.crash_now(&w.executors[0]);
		list_capacities(&w, o, false);
		for (int i = 0; i < 600 && !crashes; i++) {
			w.run_until(w.now_us + 10 * kMs);
			for (Executor &x : w.executors)
				if (!crashes && x.running.size() == 1) {
					w.run_until(x.running[0].begin_us +
						    c.crash_after);
					w.crash_now(&x);
					crashes++;
				}
		}
		ASSERT_EQ(crashes, 1);
		w.run_until(w.now_us + kLongTimeout);
		EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
		EXPECT_EQ(w.concurrent_runs, 0);
	}
}

struct FleetCase {
	const char *what;
	/** Executors that crash at the same time, and how often. */
	size_t at_once;
	int waves;
	/** They are cut off instead and go on running. */
	bool cut_off;
};

const FleetCase fleet_cases[] = {
	{ "a third of the fleet crashes once", 5, 1, false },
	{ "a third of the fleet crashes four times", 5, 4, false },
	{ "half of the fleet crashes four times", 8, 4, false },
	{ "a third of the fleet is cut off four times", 5, 4, true },
	{ "one executor after another is cut off", 1, 10, true },
};

// Tasks are given up, and their jobs said to have failed, for executors that
// crash or are cut off for other reasons.
TEST(CrashingTasks, NoTaskIsGivenUpForCrashesThatHaveOtherCauses)
{
	for (const FleetCase &c : fleet_cases) {
		SCOPED_TRACE(c.what);
		CrashWorld w(16, 16000);
		Owner *o = ready_owner(&w);
		std::vector<uint64_t> seqs;

		for (int i = 0; i < 4; i++)
			seqs.push_back(w.submit_request(
				o,
				request_of("long-" + std::to_string(i), 6,
					   2500 * kMs, kLongTimeout),
				2500 * kMs));
		for (int wave = 0; wave < c.waves; wave++) {
			uint64_t us = w.now_us + 300 * kMs +
				      (uint64_t)wave * 1200 * kMs;

			w.at(us, [=, &w] {
				for (size_t i = 0; i < c.at_once; i++) {
					size_t k = (size_t)wave * c.at_once + i;
					Executor &x =
						w.executors[k %
							    w.executors.size()];

					if (!x.unreachable_from.empty())
						continue;
					if (!c.cut_off) {
						w.crash_now(&x);
						continue;
					}
					std::string id = x.id;

					x.unreachable_from.insert(0);
					w.at(w.now_us + 1100 * kMs, [=, &w] {
						w.find(id)
							->unreachable_from
							.clear();
					});
				}
			});
		}
		w.run_until(w.now_us + kLongTimeout + 2000 * kMs);
		for (uint64_t seq : seqs)
			EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE)) << seq;
		EXPECT_EQ(w.concurrent_runs, 0);
	}
}

/* ## Capacity that shrinks and grows */

/** Executors that start whatever they are told to, and the capacity that they
 * report. */
struct UnguardedWorld : World {
	std::map<std::string, uint32_t> capacity;
	std::map<std::string, size_t> runs_before;
	/** Starts that brought an executor over its capacity. */
	int over_capacity = 0;

	explicit UnguardedWorld(size_t count) : World(count, 1000000)
	{
		for (const Executor &x : executors)
			capacity[x.id] = 16000;
		watch();
	}

	/** Sends an owner the list, with the capacity as reported now. */
	void list_all(Owner *o)
	{
		std::vector<ph_executor_info> infos;

		for (const Executor &x : executors) {
			ph_executor_info info = {};

			info.id = ph_intern(x.id.c_str());
			snprintf(info.addr, sizeof(info.addr), "%s",
				 x.id.c_str());
			info.domain = "north";
			info.service = "desk";
			info.capacity = { capacity[x.id], 65536, 0 };
			infos.push_back(info);
		}
		ph_pool_update(o->pool, now_us, infos.data(), infos.size());
	}

	uint32_t used(const Executor &x) const
	{
		uint32_t sum = 0;

		for (const Run &r : x.running)
			sum += r.cpu;
		return sum;
	}

      private:
	void watch()
	{
		for (const Executor &x : executors) {
			if (x.running.size() > runs_before[x.id] &&
			    used(x) > capacity[x.id])
				over_capacity++;
			runs_before[x.id] = x.running.size();
		}
		at(now_us + 100, [this] { watch(); });
	}
};

struct ShrinkCase {
	const char *what;
	uint32_t to;
};

const ShrinkCase shrink_cases[] = {
	{ "to nothing", 0 },
	{ "below one task", 3000 },
	{ "below what is used, above one task", 9000 },
	{ "to exactly what is used", 13600 },
};

// The executor on which a task runs; null: none.
Executor *runs_on(CrashWorld *w)
{
	for (Executor &x : w->executors)
		if (!x.running.empty())
			return &x;
	return nullptr;
}

// An executor that crashes when it has stopped a task's run counted against the
// task: its job, submitted again, was answered as failed after one more crash.
TEST(CrashingTasks, NoTaskIsGivenUpForACrashAfterItsRunWasStopped)
{
	CrashWorld w(6, 16000);
	Owner *o = ready_owner(&w);
	ph_batch_request request = request_of("a", 1, 2000 * kMs, kLongTimeout);
	uint64_t first = w.submit_request(o, request, 2000 * kMs);
	uint64_t second;
	Executor *x;

	w.run_until(w.now_us + 10 * kMs);
	x = runs_on(&w);
	ASSERT_NE(x, nullptr);
	/* The crash takes the answer to the stop along. */
	x->stop_answer_delay_us = 30000 * kMs;
	ph_pool_cancel(o->pool, w.now_us, "submitter", first);
	w.at(w.now_us + kLatencyUs + 100, [&w, x] {
		EXPECT_TRUE(x->running.empty());
		w.crash_now(x);
	});
	w.run_until(w.now_us + 1300 * kMs);
	request.sent_us = w.now_us;
	second = w.submit_request(o, request, 2000 * kMs);
	while (!runs_on(&w) && !o->results.count(second))
		w.run_until(w.now_us + 10 * kMs);
	w.run_until(w.now_us + 50 * kMs);
	ASSERT_NE(runs_on(&w), nullptr);
	w.crash_now(runs_on(&w));
	w.run_until(w.now_us + 15000 * kMs);
	EXPECT_EQ(w.crashed_under["a.0"].size(), 1U);
	EXPECT_TRUE(w.ended(o, second, PH_VERDICT_DONE));
}

// An executor whose capacity has shrunk below what is used counts as empty, or
// is not used again when its capacity has grown.
TEST(CrashingTasks, CapacityThatShrinksAndGrowsIsNeverExceeded)
{
	for (const ShrinkCase &c : shrink_cases) {
		SCOPED_TRACE(c.what);
		UnguardedWorld w(4);
		Owner *o = w.add_owner();
		uint64_t t0;

		w.list_all(o);
		ph_pool_acquire(o->pool, w.now_us, 1000);
		w.run_until(w.now_us + 50 * kMs);
		t0 = w.now_us;
		for (int i = 0; i < 100; i++)
			w.at(t0 + (uint64_t)i * 30 * kMs, [=, &w] {
				w.submit_request(
					o,
					request_of("j" + std::to_string(i), 2,
						   150 * kMs, kLongTimeout),
					150 * kMs);
			});
		w.run_until(t0 + 1000 * kMs);
		for (int i = 0; i < 3; i++)
			w.capacity["i-" + std::to_string(i)] = c.to;
		w.list_all(o);
		w.run_until(t0 + 2000 * kMs);
		for (int i = 0; i < 3; i++)
			EXPECT_LE(w.used(w.executors[(size_t)i]), c.to);
		for (auto &x : w.capacity)
			x.second = 16000;
		w.list_all(o);
		w.run_until(t0 + 2060 * kMs);
		for (const Executor &x : w.executors)
			EXPECT_EQ(w.used(x), 13600U) << x.id;
		EXPECT_EQ(w.over_capacity, 0);
		w.run_until(t0 + kLongTimeout);
		EXPECT_EQ(w.over_capacity, 0);
	}
}

// A new owner counts a run that it finds with the little that it has used so
// far, and starts more on an executor than fits.
TEST(CrashingTasks, AFoundRunCountsWithMoreThanItUses)
{
	UnguardedWorld w(2);
	Owner *first = w.add_owner();
	Owner *second = w.add_owner();

	w.reported_cpu_percent = 5;
	w.list_all(first);
	w.list_all(second);
	ph_pool_acquire(first->pool, w.now_us, 1000);
	w.run_until(w.now_us + 50 * kMs);
	w.submit_request(first, request_of("a", 4, 900 * kMs, kLongTimeout),
			 900 * kMs);
	w.run_until(w.now_us + 50 * kMs);
	first->frozen = true;
	ph_pool_acquire(second->pool, w.now_us, 1001);
	w.run_until(w.now_us + 50 * kMs);
	w.submit_request(second, request_of("b", 2, 100 * kMs, kLongTimeout),
			 100 * kMs);
	w.run_until(w.now_us + 3000 * kMs);
	EXPECT_EQ(w.over_capacity, 0);
}

} // namespace
