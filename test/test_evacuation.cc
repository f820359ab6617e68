/*
 * Evacuation of failure domains: the view of the requests, and what becomes of
 * the batches of a pool whose domain is evacuated.
 */
#include <gtest/gtest.h>

#include "pool_world.h"

extern "C" {
#include "evacuation.h"
#include "evacuation_list.h"
}

namespace
{

using namespace world;

class View
{
      public:
	ph_evacuation e;

	explicit View(uint64_t now_us = 0)
	{
		ph_log_quiet(1);
		ph_evacuation_init(&e, ph_mem_default(), now_us);
	}
	~View()
	{
		ph_evacuation_clear(&e);
	}
	bool set(uint64_t now_us, uint64_t revision, const std::string &names,
		 uint64_t age_us = 0)
	{
		std::vector<std::string> list;
		std::vector<const char *> texts;
		size_t from = 0;

		while (from < names.size()) {
			size_t to = names.find(' ', from);

			to = to == std::string::npos ? names.size() : to;
			list.push_back(names.substr(from, to - from));
			from = to + 1;
		}
		for (const std::string &s : list)
			texts.push_back(s.c_str());
		return ph_evacuation_update(&e, now_us, revision, age_us,
					    texts.data(), texts.size());
	}
};

/* Guards against a view that is replaced by an older one, and against messages
 * for revisions that change without the set. */
TEST(Evacuation, TheLatestViewCounts)
{
	const struct {
		const char *description;
		struct {
			uint64_t revision;
			const char *names;
		} views[4];
		bool changed;
		const char *north;
		uint64_t changed_revision;
	} cases[] = {
		{ "first, empty", { { 5, "" } }, true, "", 1 },
		{ "first, with a request", { { 5, "north" } }, true, "in", 5 },
		{ "same set, later",
		  { { 5, "north" }, { 9, "north" } },
		  false,
		  "in",
		  5 },
		{ "older view", { { 9, "" }, { 5, "north" } }, false, "", 1 },
		{ "no revision",
		  { { 9, "north" }, { 0, "" } },
		  false,
		  "in",
		  9 },
		{ "ended", { { 5, "north" }, { 9, "" } }, true, "", 9 },
		{ "set again within a second",
		  { { 5, "north" }, { 6, "" }, { 7, "north" } },
		  true,
		  "in",
		  7 },
		{ "another domain too",
		  { { 5, "north" }, { 6, "south north" } },
		  true,
		  "in",
		  6 },
		{ "names that are no domains",
		  { { 5, "norths" }, { 6, "north#1 nort" } },
		  true,
		  "",
		  6 },
		{ "the same name twice",
		  { { 5, "north north" }, { 6, "" } },
		  true,
		  "",
		  6 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.description);
		View v;
		bool changed = false;
		uint64_t now_us = 1000000;

		for (const auto &step : c.views)
			if (step.names)
				changed = v.set(now_us += 1000, step.revision,
						step.names);
		EXPECT_EQ(changed, c.changed);
		EXPECT_EQ(ph_evacuation_active(&v.e, "north"), c.north[0] != 0);
		EXPECT_EQ(v.e.changed_revision, c.changed_revision);
	}
}

/* Guards against a start by an instance that has just started and does not know
 * yet that the domain is evacuated, and against one that never starts anything
 * as the store is down. */
TEST(Evacuation, WithoutAViewNothingStartsForASecond)
{
	View v(1000000);

	EXPECT_FALSE(ph_evacuation_allows_start(&v.e, 1999999, "north"));
	EXPECT_TRUE(ph_evacuation_allows_start(&v.e, 2000000, "north"));
	v.set(1010000, 3, "south");
	EXPECT_TRUE(ph_evacuation_allows_start(&v.e, 1010000, "north"));
	EXPECT_FALSE(ph_evacuation_allows_start(&v.e, 1010000, "south"));
}

/* Guards against a domain that gets all of its load at once. */
TEST(Evacuation, TheLoadIsRestoredStepByStep)
{
	View v;
	uint32_t last = 0;

	v.set(1000000, 1, "north");
	EXPECT_EQ(ph_evacuation_share_permille(&v.e, 1000000, "north"), 0U);
	EXPECT_EQ(ph_evacuation_share_permille(&v.e, 1000000, "south"), 1000U);
	v.set(2000000, 2, "");
	for (uint64_t ms = 0; ms < 10000; ms += 100) {
		uint32_t share = ph_evacuation_share_permille(
			&v.e, 2000000 + ms * kMs, "north");

		EXPECT_GT(share, 0U);
		EXPECT_LE(share, 50 + ms / 10);
		EXPECT_GE(share, last);
		last = share;
	}
	EXPECT_EQ(ph_evacuation_share_permille(&v.e, 12000000, "north"), 1000U);
}

/* Guards against a change that an instance without the store never learns of,
 * and against requests that repeat although nothing has changed. */
TEST(Evacuation, AViewIsRequestedIfThePeerKnowsMore)
{
	const struct {
		const char *description;
		uint64_t own_revision;
		uint64_t own_age_us;
		uint64_t revision;
		uint64_t age_us;
		bool wanted;
	} cases[] = {
		{ "the peer has none", 0, 0, 0, 0, false },
		{ "this instance has none", 0, 0, 4, 0, true },
		{ "a later change", 4, 0, 5, 0, true },
		{ "a change that the view includes", 9, 0, 5, 0, false },
		{ "recent, the peer's is more recent", 9, 4000 * kMs, 5, 0,
		  false },
		{ "old, the peer's is recent", 9, 6000 * kMs, 5, 10 * kMs,
		  true },
		{ "both are old", 9, 6000 * kMs, 9, 5900 * kMs, false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.description);
		View v;
		uint64_t now_us = 20000000;

		if (c.own_revision)
			v.set(now_us, c.own_revision, "", c.own_age_us);
		EXPECT_EQ(ph_evacuation_wants_view(&v.e, now_us, c.revision,
						   c.age_us),
			  c.wanted);
		EXPECT_FALSE(ph_evacuation_wants_view(&v.e, now_us + 1,
						      c.revision, c.age_us))
			<< "asked again at once";
	}
}

/* ## Batches of an evacuated pool */

struct BatchCase {
	const char *description;
	uint32_t tasks;
	/** Prepares the first executor before the batch is submitted. */
	void (*prepare)(Executor *x);
	/** Run time of a task of another job, submitted before; 0: none. */
	uint64_t other_us;
	/** From the submission to the request. */
	uint64_t evacuated_after_us;
	ph_verdict verdict;
	bool evacuated;
	/** Bits of the tasks that are reported as done. */
	uint8_t done;
	/** Bounds of the time from the request to the result. */
	uint64_t after_min_us;
	uint64_t after_max_us;
};

void nothing(Executor *)
{
}

/* Guards against tasks that start in an evacuated domain, and against batches
 * that are returned while a run of theirs is left or may still begin: their
 * rest then starts in another pool beside it. */
TEST(Evacuation, BatchesAreReturnedOnceNoRunIsLeft)
{
	/* One executor with room for two tasks of 200 ms. */
	const BatchCase cases[] = {
		{ "all tasks run", 2, nothing, 0, 100 * kMs, PH_VERDICT_DONE,
		  false, 3, 90 * kMs, 120 * kMs },
		{ "two of four run", 4, nothing, 0, 100 * kMs, PH_VERDICT_MOVED,
		  true, 3, 90 * kMs, 120 * kMs },
		{ "two of three are done, the last one runs", 3, nothing, 0,
		  300 * kMs, PH_VERDICT_DONE, false, 7, 90 * kMs, 130 * kMs },
		{ "room appears while a task runs", 2, nothing, 150 * kMs,
		  100 * kMs, PH_VERDICT_MOVED, true, 1, 90 * kMs, 120 * kMs },
		{ "not started", 2, [](Executor *x) { x->cpu = 0; }, 0,
		  100 * kMs, PH_VERDICT_NOT_RUN, true, 0, 0, 20 * kMs },
		{ "evacuated when it arrives", 2, nothing, 0, 0,
		  PH_VERDICT_NOT_RUN, true, 0, 0, 20 * kMs },
		{ "a run failed", 2, [](Executor *x) { x->fails_all = true; },
		  0, 2 * kMs, PH_VERDICT_MOVED, true, 0, 0, 40 * kMs },
		{ "a start is not answered and its stop is lost", 1,
		  [](Executor *x) {
			  x->loses_start_answers = true;
			  x->loses_stops = true;
		  },
		  0, 150 * kMs, PH_VERDICT_DONE, false, 1, 0, 150 * kMs },
		{ "a start may be late: the next incarnation carries it out", 1,
		  [](Executor *x) { x->start_delay_us = 3000 * kMs; }, 0,
		  100 * kMs, PH_VERDICT_BROKEN, true, 0, 100 * kMs, 600 * kMs },
	};

	for (const BatchCase &c : cases) {
		SCOPED_TRACE(c.description);
		View v;
		World w(1, 16000);
		uint64_t seq = 0;
		uint64_t submitted_us;

		v.set(w.now_us, 1, "");
		w.evacuation = &v.e;
		Owner *o = ready_owner(&w);
		Executor *x = &w.executors[0];

		c.prepare(x);
		w.list(o);
		submitted_us = w.now_us;
		if (!c.evacuated_after_us)
			v.set(w.now_us, 2, "north");
		if (c.other_us)
			w.submit(o, "b", 1, c.other_us, c.other_us, 2000 * kMs,
				 3000 * kMs);
		seq = w.submit(o, "a", c.tasks, 200 * kMs, 200 * kMs,
			       2000 * kMs, 3000 * kMs);
		w.run_until(submitted_us + c.evacuated_after_us);
		v.set(w.now_us, 2, "north");
		int starts = w.starts;

		w.run_until(submitted_us + c.evacuated_after_us + 2000 * kMs);
		ASSERT_TRUE(o->results.count(seq));
		const ph_result &r = o->results[seq];

		EXPECT_EQ(r.verdict, c.verdict);
		EXPECT_EQ(r.evacuated, c.evacuated);
		EXPECT_EQ(r.done[0], c.done);
		uint64_t after_us =
			o->result_us[seq] - submitted_us - c.evacuated_after_us;

		EXPECT_GE(after_us, c.after_min_us);
		EXPECT_LE(after_us, c.after_max_us);
		EXPECT_EQ(w.starts, starts) << "started after the request";
		for (uint32_t i = 0; i < r.count && r.evacuated; i++)
			EXPECT_EQ(r.possible_executor[i], PH_EXECUTOR_NONE);
	}
}

/* Guards against a new owner that returns a resumed batch before it has seen
 * the runs that the owner before started. */
TEST(Evacuation, ARunOfTheOwnerBeforeEndsBeforeItsBatchIsReturned)
{
	View v;
	World w(2, 16000);

	v.set(w.now_us, 1, "");
	w.evacuation = &v.e;
	Owner *a = ready_owner(&w);
	Owner *b = w.add_owner();
	uint64_t seq = w.submit(a, "a", 6, 400 * kMs, 400 * kMs, 3000 * kMs,
				5000 * kMs);

	w.run_until(w.now_us + 50 * kMs);
	ASSERT_EQ(w.starts, 4);
	a->frozen = true;
	v.set(w.now_us, 2, "north");
	ph_pool_acquire(b->pool, w.now_us, 2000);
	w.resubmit(a, b, seq);
	w.run_until(w.now_us + 100 * kMs);
	EXPECT_FALSE(b->results.count(seq));
	w.run_until(w.now_us + 2000 * kMs);
	ASSERT_TRUE(w.ended(b, seq, PH_VERDICT_MOVED));
	EXPECT_TRUE(b->results[seq].evacuated);
	EXPECT_EQ(b->results[seq].done[0], 15);
	EXPECT_EQ(w.starts, 4);
}

/* Guards against a job that waits in a pool without executors of its kind as
 * those are in the evacuated domain, and against jobs that are refused so while
 * no domain is. */
TEST(Evacuation, AJobThatNoOtherDomainCanRunIsRefusedAtOnce)
{
	for (const char *evacuated : { "", "south" }) {
		SCOPED_TRACE(evacuated);
		View v;
		World w(1, 4000);

		v.set(w.now_us, 1, evacuated);
		w.evacuation = &v.e;
		Owner *o = ready_owner(&w);
		uint64_t seq = w.submit(o, "a", 1, 200 * kMs, 200 * kMs,
					2000 * kMs, 3000 * kMs);

		w.run_until(w.now_us + 30 * kMs);
		EXPECT_EQ(w.ended(o, seq, PH_VERDICT_NOT_RUN),
			  evacuated[0] != 0);
		if (evacuated[0]) {
			EXPECT_EQ(o->results[seq].retry_after_us, 5000 * kMs);
		}
	}
}

/* Guards against a handed-over batch that its submitter takes for one that may
 * go to any pool. */
TEST(Evacuation, AHandOverOfAnEvacuatedPoolIsNoReturn)
{
	View v;
	World w(1, 16000);

	v.set(w.now_us, 1, "");
	w.evacuation = &v.e;
	Owner *o = ready_owner(&w);
	uint64_t seq = w.submit(o, "a", 2, 400 * kMs, 400 * kMs, 3000 * kMs,
				5000 * kMs);

	w.run_until(w.now_us + 50 * kMs);
	v.set(w.now_us, 2, "north");
	ph_pool_release(o->pool, w.now_us);
	ASSERT_TRUE(w.ended(o, seq, PH_VERDICT_MOVED));
	EXPECT_FALSE(o->results[seq].evacuated);
	EXPECT_NE(o->results[seq].possible_executor[0], PH_EXECUTOR_NONE);
}

/* ## The store's answers */

/* Guards against answers that end an evacuation although they don't list the
 * requests, and against keys of any bytes. */
TEST(Evacuation, TheRequestsAreReadFromPages)
{
	const struct {
		const char *description;
		std::vector<const char *> pages;
		ph_list_step step;
		const char *names;
		size_t skipped;
		uint64_t revision;
	} cases[] = {
		{ "none",
		  { R"({"items":[],"storeRevision":7})" },
		  PH_LIST_COMPLETE,
		  "",
		  0,
		  7 },
		{ "values don't matter",
		  { R"({"items":[{"key":"op/evacuate/north","value":"bm8="},)"
		    R"({"key":"op/evacuate/south","value":17},)"
		    R"({"key":"op/evacuate/west"}],"storeRevision":7})" },
		  PH_LIST_COMPLETE,
		  "north south west",
		  0,
		  7 },
		{ "keys that name no domain",
		  { R"({"items":[{"key":"op/evacuate/"},{"key":"op/evacuat"},)"
		    R"({"key":"op/evacuate/a b"},{"key":"op/evacuate/n\u0000x"},)"
		    R"({"key":"op/evacuate/\u00e9"},{"key":"op/evacuate/e"}],)"
		    R"("storeRevision":8})" },
		  PH_LIST_COMPLETE,
		  "e",
		  5,
		  8 },
		{ "removed",
		  { R"({"items":[{"key":"op/evacuate/north","tombstone":true}],)"
		    R"("storeRevision":7})" },
		  PH_LIST_COMPLETE,
		  "",
		  0,
		  7 },
		{ "two pages, valid as of the first",
		  { R"({"items":[{"key":"op/evacuate/a"}],"truncated":true,)"
		    R"("storeRevision":7})",
		    R"({"items":[{"key":"op/evacuate/b"}],"storeRevision":9})" },
		  PH_LIST_COMPLETE,
		  "a b",
		  0,
		  7 },
		{ "pages that don't end",
		  { R"({"items":[{"key":"op/evacuate/a"}],"truncated":true})",
		    R"({"items":[{"key":"op/evacuate/a"}],"truncated":true})" },
		  PH_LIST_FAILED,
		  "",
		  0,
		  0 },
		{ "no list",
		  { R"({"storeRevision":9})" },
		  PH_LIST_FAILED,
		  "",
		  0,
		  0 },
		{ "not JSON", { "x" }, PH_LIST_FAILED, "", 0, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.description);
		ph_evacuation_list l;
		ph_list_step step = PH_LIST_FAILED;
		std::string names;

		ph_evacuation_list_init(&l, ph_mem_default());
		for (const char *page : c.pages)
			step = ph_evacuation_list_page(&l, 1, page,
						       strlen(page));
		for (size_t i = 0; i < l.count; i++)
			names += std::string(i ? " " : "") + l.names[i];
		EXPECT_EQ(step, c.step);
		EXPECT_EQ(names, c.names);
		EXPECT_EQ(l.skipped, c.skipped);
		EXPECT_EQ(l.revision, c.revision);
		ph_evacuation_list_free(&l);
	}
}

} // namespace
