#include <gtest/gtest.h>

#include <cctype>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>

extern "C" {
#include "pool_shard.h"
#include "shard_plan.h"
}

namespace
{

constexpr uint64_t kMs = 1000;

/* One domain's key in the store, and instances that are named by a letter. */
struct World {
	std::map<char, ph_shard_plan> plans;
	std::map<char, uint32_t> lists;
	uint64_t now_us = 1000 * kMs;
	bool present = false;
	bool readable = true;
	uint32_t value = 0;
	uint64_t key_revision = 0;
	uint64_t revision = 100;
	bool up = true;
	bool refuses_writes = false;
	bool loses_responses = false;
	uint32_t calls = 0;
	uint32_t writes = 0;

	ph_shards_stored stored() const
	{
		if (!present)
			return PH_SHARDS_ABSENT;
		return readable ? PH_SHARDS_PRESENT : PH_SHARDS_UNREADABLE;
	}
	void list(char a, uint32_t executors)
	{
		lists[a] = executors;
		ph_shard_plan_list(&plans[a], now_us, executors);
	}
	void read(char a)
	{
		if (up)
			ph_shard_plan_read(&plans[a], stored(), value,
					   key_revision);
	}
	/* The write that a plan proposes, if any is due, and its outcome. */
	void propose(char a, bool own)
	{
		ph_shards_proposal p = {};
		ph_shards_outcome outcome = PH_SHARDS_FAILED;

		if (!ph_shard_plan_due(&plans[a], now_us, own, &p))
			return;
		calls++;
		ph_shard_plan_proposed(&plans[a]);
		EXPECT_FALSE(ph_shard_plan_due(&plans[a], now_us, own, &p));
		if (up && !refuses_writes) {
			outcome = write(p);
			if (loses_responses)
				outcome = PH_SHARDS_FAILED;
		}
		ph_shard_plan_outcome(&plans[a], now_us, outcome, stored(),
				      value, key_revision);
	}
	ph_shards_outcome write(const ph_shards_proposal &p)
	{
		if (p.expected_revision != (present ? key_revision : 0))
			return PH_SHARDS_CONFLICT;
		set(p.shards);
		writes++;
		return PH_SHARDS_WRITTEN;
	}
	void set(uint32_t shards)
	{
		present = true;
		readable = shards != 0;
		value = shards;
		key_revision = ++revision;
	}
	void store_event(const std::string &event)
	{
		refuses_writes = event == "refuses";
		loses_responses = event == "loses";
		up = event != "down";
		if (event == "reset" || event == "removed")
			present = false;
		if (event == "reset")
			revision = 0;
		if (isdigit(event[0]))
			set((uint32_t)atoi(event.c_str()));
	}
	void pass(uint64_t ms)
	{
		now_us += ms * kMs;
		for (auto &[name, plan] : plans)
			if (ph_shard_plan_waits(&plan))
				ph_shard_plan_list(&plan, now_us, lists[name]);
	}
	/* Steps: "a:117" a gets a list of 117 executors; "a<s" a reads the
	 * store; "a<b" a gets a heartbeat of b; "a!" a proposes if it is due,
	 * "a~" as an instance of another domain; "a*" a restarts; "+500" 500 ms
	 * pass; "s:EVENT" see store_event(), a number sets the key and 0 makes
	 * it unreadable; "a=4" a has 4 shards in force, "a@0" by a value that
	 * isn't from the store; "s=4" the key is 4, 0: absent; "w=1" there
	 * were so many writes, "c=1" so many calls. */
	void step(const std::string &text)
	{
		SCOPED_TRACE(text);
		char who = text[0];
		std::string rest = text.substr(2 * (text.size() > 2));
		uint32_t n = (uint32_t)atoi(rest.c_str());
		char what = text.size() > 1 ? text[1] : ' ';

		if (who == '+')
			pass((uint64_t)atoi(text.c_str() + 1));
		else if (what == '!' || what == '~')
			propose(who, what == '!');
		else if (what == '*')
			plans[who] = {};
		else if (what == ':' && who == 's')
			store_event(rest);
		else if (what == ':')
			list(who, n);
		else if (what == '<' && rest == "s")
			read(who);
		else if (what == '<')
			ph_shard_plan_heard(&plans[who], plans[rest[0]].shards,
					    plans[rest[0]].revision);
		else if (what == '@')
			EXPECT_EQ(plans[who].revision, n);
		else if (who == 's')
			EXPECT_EQ(present ? value : 0, n);
		else if (who == 'w')
			EXPECT_EQ(writes, n);
		else if (who == 'c')
			EXPECT_EQ(calls, n);
		else
			EXPECT_EQ(plans[who].shards, n);
	}
};

struct Case {
	const char *what;
	const char *steps;
};

template <size_t N> void run(const Case (&cases)[N])
{
	for (const Case &c : cases) {
		SCOPED_TRACE(c.what);
		std::istringstream steps(c.steps);
		std::string text;
		World w;

		while (steps >> text)
			w.step(text);
	}
}

/* Guards against owners that hold different numbers of shards: their pools
 * share executors, and callers wait until one gives way. */
TEST(ShardPlan, InstancesAgreeOnOneValue)
{
	const Case cases[] = {
		{ "one saw the list grow, the other reads it whole",
		  "a<s a:20 a! a=1 a:60 a! a=2 a:90 a! a=2 a:97 a! a=4 a:117 "
		  "a! "
		  "a=4 b:117 b<s b=4 w=3" },
		{ "a stored value that is less than the list gives",
		  "s:3 a:117 a<s a! a=3 b<s b:117 b! b=3 d:144 d<s d! d=3" },
		{ "more than 48 on average: one for each 32",
		  "s:3 a:144 a<s a! a=3 a:145 a! a=5 s=5 w=1" },
		{ "the list shrinks",
		  "s:5 a:160 a<s a:20 a! a=5 b:20 b<s b! b=5 w=0" },
		{ "all start at once, with different parts of the list",
		  "a:60 b:117 d:20 a<s b<s d<s a! b! d! a=2 b=2 d=2 s=2 a! b! "
		  "+500 b! b=4 a<b d<b a=4 d=4 s=4" },
		{ "the key is read before the list",
		  "a<s a! a=0 a:117 a! a=4 w=1" },
		{ "restart of one, then of the other",
		  "s:3 a:117 b:117 a<s b<s a* a:117 a<b a=3 b* b:117 b<a b=3 "
		  "a<s b<s a! b! a=3 b=3 w=0" },
		{ "restart of all while the store is down",
		  "s:3 a:117 a<s a=3 s:down a* b* a:117 b:40 +1200 a=4 b=1 b<a "
		  "a<b a=4 b=4 a@0 s:up a<s a=3 b<a b=3" },
		{ "a heartbeat comes before the store",
		  "s:3 b:117 b<s a:117 a<b a=3 a<s a! a=3 w=0" },
		{ "a heartbeat of an instance that knows no value",
		  "b:117 a:117 a<b a=0" },
		{ "two values at revision 0 meet in any order",
		  "a:117 b:60 +1200 a=4 b=2 a<b a=4 b<a b=4 a<b a=4" },
		{ "growth is heard of by heartbeat",
		  "s:3 a:117 b:145 a<s b<s b! b=5 a<b a=5 a:145 a! a=5 w=1 "
		  "c=1" },
		{ "all grow together: one write",
		  "s:3 a:145 b:145 d:145 a<s b<s d<s a! b! d! a=5 b=5 d=5 w=1 "
		  "c=3" },
		{ "a proposal by an older read",
		  "s:3 a:145 b:145 a<s b<s s:7 b! b=7 a! a=7 w=0" },
		{ "an operator lowers the value",
		  "s:5 a:60 a<s a=5 s:2 a<s a=2 a! a=2 b:60 b<a b=2" },
		{ "an operator removes the key",
		  "s:3 a:117 a<s s:removed a<s a=3 a! a=3 s=3 w=1" },
		{ "a domain without executors",
		  "a<s a:0 a! +5000 a=0 s=0 c=0" },
	};

	run(cases);
}

TEST(ShardPlan, FailuresOfTheStoreLeaveOneValue)
{
	const Case cases[] = {
		{ "writes are refused at the start",
		  "s:refuses a:117 b:60 a<s b<s a! b! a=0 b=0 +1200 a=4 b=2 "
		  "b<a "
		  "b=4 s:up a<s b<s a! a=4 b! b=4 s=4 w=1" },
		{ "writes are refused as the list grows: nobody grows alone",
		  "s:3 s:refuses a:145 a<s a! a=3 +500 a! a=3 s:up +1000 a! "
		  "a=5" },
		{ "the response to an executed write is lost",
		  "s:loses a:117 a<s a! a=0 s=4 s:up a! a=0 +500 a! a=4 w=1 "
		  "c=2" },
		{ "a lost response, and another instance reads",
		  "s:3 s:loses a:145 b:117 a<s b<s a! a=3 b<s b=5 a<b a=5" },
		{ "the value of a lost write is read",
		  "s:loses a:117 a<s a! a=0 a<s a=4 a! w=1" },
		{ "the value can't be read: it stays as it is",
		  "s:0 a:117 a<s a! a=0 +1200 a=4 a! s=0 c=0 s:3 a<s a=3" },
		{ "a value in force when the key becomes unreadable",
		  "s:3 a:145 a<s s:0 a<s a=3 a! a=3 c=0" },
		{ "the store comes back without its data",
		  "s:3 a:117 b:117 a<s b<s s:reset a<s b<s a! b! a=3 b=3 s=3 "
		  "b* b:117 b<s b=3 b<a b=3" },
		{ "it does, and an instance that starts proposes another value",
		  "s:3 a:117 a<s s:reset b:117 b<s b! b=4 s=4 a<b a=3 b<a b=3 "
		  "a<s a! a=3" },
		{ "it comes back with an older value",
		  "s:3 a:145 a<s a! a=5 s:reset s:3 a<s a=5 a! a=5 s=5" },
		{ "down at the start, a peer knows the value",
		  "s:3 b:117 b<s s:down a:117 +500 a=0 a<b a=3 +1200 a=3" },
		{ "down at the start, no peer",
		  "s:down a:117 +1000 a=0 +200 a=4 a@0 s:up a<s a! s=4 a=4" },
		{ "a list that grows before the value is computed",
		  "s:down a:20 +600 a:117 +600 a=4" },
	};

	run(cases);
}

/* Guards against sides of a partition that keep their values when it ends. */
TEST(ShardPlan, AfterAPartitionTheHigherRevisionCounts)
{
	const Case cases[] = {
		{ "computed inside, stored outside",
		  "a:117 +1200 a=4 s:3 b:117 b<s b=3 a<b a=3 b<a b=3" },
		{ "the same, heard in the other order",
		  "a:117 +1200 a=4 s:3 b:117 b<s b<a b=3 a<b a=3" },
		{ "stored inside, grown outside",
		  "s:3 a:117 b:117 a<s b<s b:145 b! b=5 a=3 b<a b=5 a<b a=5" },
		{ "grown list inside, without the store",
		  "s:3 a:117 b:117 a<s b<s a:145 s:down a! +500 a! a=3 a<b b<a "
		  "a=3 b=3 s:up +8000 a! a=5 b<a b=5" },
		{ "a third that hears both",
		  "a:117 +1200 s:2 b:60 b<s d<a d=4 d<b d=2 d<a d=2 a<d a=2" },
	};

	run(cases);
}

TEST(ShardPlan, InstancesOfOtherDomainsLeaveProposalsToThoseOfTheDomain)
{
	const Case cases[] = {
		{ "absent", "a:117 a<s a~ c=0 +1900 a~ c=0 +200 a~ s=4 w=1" },
		{ "proposed meanwhile",
		  "a:117 a<s a~ b:117 b<s b! a<b +3000 a~ c=1 a<s a~ c=1" },
		{ "growth", "s:3 a:145 a<s a~ a=3 +2100 a~ a=5 w=1" },
		{ "the need ends and comes back",
		  "s:3 a:145 a<s a~ +1500 a:117 a~ +1000 a:145 a~ c=0" },
	};

	run(cases);
}

/* Guards against a store that refuses writes and gets more of them for it. */
TEST(ShardPlan, ProposalsThatFailAreRepeatedAtGrowingIntervals)
{
	World w;

	w.store_event("refuses");
	w.list('a', 117);
	w.read('a');
	for (int i = 0; i < 60 * 50; i++) {
		w.propose('a', true);
		w.pass(20);
	}
	EXPECT_GE(w.calls, 10U);
	EXPECT_LE(w.calls, 12U);
}

} // namespace
