#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include <apr_general.h>

extern "C" {
#include "dispatcher_impl.h"
#include "log.h"
#include "own_keys.h"
}

namespace
{

constexpr uint64_t kMs = 1000;

/* An instance of "north" whose control thread does not run. */
class Instance
{
      public:
	explicit Instance(const char *name)
	{
		ph_dispatcher_settings settings = {};

		apr_initialize();
		ph_log_quiet(1);

		settings.name = name;
		settings.domain = "north";
		settings.address = "127.0.0.1";
		settings.heartbeat_us = 100 * kMs;
		settings.suspect_us = 350 * kMs;
		settings.lease_us = 700 * kMs;
		EXPECT_EQ(ph_dispatcher_start(ph_mem_default(), &settings,
					      &platform, nullptr, &d),
			  0);
	}
	~Instance()
	{
		ph_dispatcher_handle_local_messages(d);
		ph_dispatcher_free(d);
	}
	Instance(const Instance &) = delete;
	void list(uint64_t now_us, size_t count, const char *domain = "north")
	{
		std::vector<std::string> ids;
		std::vector<ph_executor_info> all(count);

		for (size_t i = 0; i < count; i++)
			ids.push_back("x-" + std::to_string(i));
		for (size_t i = 0; i < count; i++) {
			all[i].id = ids[i].c_str();
			all[i].domain = domain;
			all[i].service = "s";
			all[i].labels = "";
			ph_strcopy(all[i].addr, sizeof(all[i].addr),
				   "127.0.0.1:9");
			all[i].capacity.cpu_milli = 16000;
		}
		ph_dispatcher_list_read(d, now_us, now_us, all.data(), count);
	}
	/* Takes over the heartbeat that the other one sends now. */
	void hear(Instance *from, uint64_t now_us)
	{
		ph_dispatcher_cluster_sink.send_heartbeat(
			from->d, from->d->addr, nullptr);
		ph_dispatcher_message(d, &from->d->heartbeat, now_us);
	}
	/* The number of listed executors of each pool. */
	std::map<std::string, uint32_t> pools()
	{
		std::map<std::string, uint32_t> all;

		for (size_t i = 0; i < d->pool_count; i++) {
			ph_pool_load load;

			ph_pool_measure(d->pools[i].pool, 0, &load);
			all[d->pools[i].name] = load.executors;
		}
		return all;
	}

	void read(uint64_t now_us, std::vector<ph_shards_row> rows)
	{
		ph_dispatcher_shards_read(d, now_us, rows.data(), rows.size());
	}
	bool proposes(uint64_t now_us, ph_shards_proposal *p)
	{
		return ph_dispatcher_take_shards_proposal(d, now_us, p) !=
		       nullptr;
	}

	ph_dispatcher *d = nullptr;

      private:
	const ph_dispatcher_platform platform = {};
};

ph_shards_row stored(uint32_t shards, uint64_t revision,
		     const char *domain = "north")
{
	return { domain, shards ? PH_SHARDS_PRESENT : PH_SHARDS_UNREADABLE,
		 shards, revision };
}

/* Guards against a number that is taken over without the list being split by
 * it: pools of both numbers would share executors. */
TEST(DispatcherShards, InstancesOfADomainSplitTheListAlike)
{
	uint64_t now_us = ph_clock_us();
	Instance grown("grown");
	Instance whole("whole");
	std::map<std::string, uint32_t> expected;

	grown.list(now_us, 90);
	whole.list(now_us, 117);
	now_us += PH_SHARDS_WAIT_US;
	ph_dispatcher_shards_tick(grown.d, now_us);
	ph_dispatcher_shards_tick(whole.d, now_us);
	grown.list(now_us, 117);
	EXPECT_EQ(grown.pools().size(), 3U);
	EXPECT_EQ(whole.pools().size(), 4U);
	grown.hear(&whole, now_us);
	EXPECT_TRUE(grown.d->heartbeat_domain_due);
	whole.hear(&grown, now_us);
	expected = whole.pools();
	EXPECT_EQ(grown.pools(), expected);
	EXPECT_GT(expected["north#3"], 0U);

	/* The store holds less than both have computed. */
	grown.read(now_us, { stored(3, 20) });
	whole.hear(&grown, now_us);
	expected = whole.pools();
	EXPECT_EQ(grown.pools(), expected);
	EXPECT_EQ(expected["north#3"], 0U);
	EXPECT_EQ(expected["north"] + expected["north#1"] + expected["north#2"],
		  117U);
}

TEST(DispatcherShards, ADomainHasNoPoolsBeforeItsNumberIsKnown)
{
	const struct {
		const char *what;
		std::vector<ph_shards_row> rows;
		bool read;
		bool heard;
		uint64_t wait_us;
		size_t pools;
		bool proposes;
	} cases[] = {
		{ "a list only", {}, false, false, 0, 0, false },
		{ "stored", { stored(3, 20) }, true, false, 0, 3, false },
		{ "of another domain",
		  { stored(3, 20, "south") },
		  true,
		  false,
		  0,
		  0,
		  true },
		{ "heard", {}, false, true, 0, 2, false },
		{ "absent in the store", {}, true, false, 0, 0, true },
		{ "unreadable", { stored(0, 20) }, true, false, 0, 0, false },
		{ "almost too late",
		  {},
		  false,
		  false,
		  PH_SHARDS_WAIT_US - 1,
		  0,
		  false },
		{ "neither in time",
		  {},
		  false,
		  false,
		  PH_SHARDS_WAIT_US,
		  4,
		  false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		uint64_t now_us = ph_clock_us();
		ph_shards_proposal p = {};
		Instance peer("peer");
		Instance a("a");

		peer.read(now_us, { stored(2, 10) });
		peer.list(now_us, 20);
		a.list(now_us, 117);
		if (c.read)
			a.read(now_us, c.rows);
		if (c.heard)
			a.hear(&peer, now_us);
		ph_dispatcher_shards_tick(a.d, now_us + c.wait_us);
		EXPECT_EQ(a.pools().size(), c.pools);
		EXPECT_EQ(a.proposes(now_us + c.wait_us, &p), c.proposes);
	}
}

/* Guards against numbers on a later page of the range that count as absent, and
 * against a domain with a long name whose key is not recognized. */
TEST(DispatcherShards, AllPagesOfTheStoreCount)
{
	const std::string member =
		R"({"key":"peridothall/members/a","value":"MTAuMC4wLjE6Nw==","revision":2})";
	const std::string odd =
		R"({"key":"peridothall/members/b","value":"","revision":2})";
	const std::string shards =
		R"({"key":"peridothall/shards/north","value":"Mw==","revision":9})";
	const std::string other =
		R"({"key":"peridothall/x","value":"Mw==","revision":9})";
	const std::string far(300, 'f');
	ph_buf key;

	ph_buf_init(&key, ph_mem_default());
	ph_wire_put_shards_key(&key, far.c_str());
	const std::string far_shards = R"({"key":")" +
				       std::string(key.data, key.len) +
				       R"(","value":"Mg==","revision":9})";
	const struct {
		const char *what;
		std::vector<std::string> pages;
		ph_list_step step;
		size_t skipped;
		uint32_t north;
		uint32_t far;
	} cases[] = {
		{ "one page",
		  { member + "," + odd + "," + shards + "," + other },
		  PH_LIST_COMPLETE,
		  1,
		  3,
		  0 },
		{ "two", { member, shards }, PH_LIST_COMPLETE, 0, 3, 0 },
		{ "a page that is sent again",
		  { shards, shards, shards },
		  PH_LIST_FAILED,
		  0,
		  0,
		  0 },
		{ "a long name", { far_shards }, PH_LIST_COMPLETE, 0, 0, 2 },
		{ "none", { member }, PH_LIST_COMPLETE, 0, 0, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Instance a("a");
		ph_own_keys keys;
		ph_list_step step = PH_LIST_FAILED;

		ph_dispatcher_domain(a.d, far.c_str());
		ph_own_keys_init(&keys, ph_mem_default(), a.d);
		for (size_t i = 0; i < c.pages.size(); i++) {
			const std::string text =
				R"({"items":[)" + c.pages[i] +
				R"(],"truncated":)" +
				(i + 1 < c.pages.size() ? "true}" : "false}");
			ph_wire_items items;

			ASSERT_EQ(ph_wire_read_items(ph_mem_default(),
						     text.data(), text.size(),
						     &items),
				  0);
			step = ph_own_keys_page(&keys, 1, &items);
			ph_wire_items_clear(ph_mem_default(), &items);
			if (step != PH_LIST_NEXT)
				break;
		}
		EXPECT_EQ(step, c.step);
		EXPECT_EQ(keys.skipped, c.skipped);
		ph_own_keys_free(&keys);
		EXPECT_EQ(ph_dispatcher_domain(a.d, "north")->plan.shards,
			  c.north);
		EXPECT_EQ(ph_dispatcher_domain(a.d, far.c_str())->plan.shards,
			  c.far);
	}
	ph_buf_free(&key);
}

/* Guards against an instance that reads the store before the list, and then
 * waits for the next read; and against pools without executors. */
TEST(DispatcherShards, TheNumberIsKeptUntilTheListIsRead)
{
	uint64_t now_us = ph_clock_us();
	Instance a("a");

	a.read(now_us, { stored(3, 20), stored(2, 21, "gone") });
	EXPECT_EQ(a.pools().size(), 0U);
	a.list(now_us, 117);
	EXPECT_EQ(a.pools().size(), 3U);
}

TEST(DispatcherShards, TheOutcomeOfAProposalIsTheNumber)
{
	const struct {
		const char *what;
		ph_shards_outcome outcome;
		ph_shards_row row;
		size_t pools;
	} cases[] = {
		{ "written", PH_SHARDS_WRITTEN, stored(4, 30), 4 },
		{ "another was written before", PH_SHARDS_CONFLICT,
		  stored(2, 29), 2 },
		{ "no answer",
		  PH_SHARDS_FAILED,
		  { "north", PH_SHARDS_NOT_READ, 0, 0 },
		  0 },
		{ "refused, and the reply can't be read",
		  PH_SHARDS_CONFLICT,
		  { "north", PH_SHARDS_NOT_READ, 0, 0 },
		  0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		uint64_t now_us = ph_clock_us();
		ph_shards_proposal p = {};
		Instance a("a");

		a.list(now_us, 117);
		a.read(now_us, {});
		ASSERT_TRUE(a.proposes(now_us, &p));
		EXPECT_EQ(p.shards, 4U);
		EXPECT_EQ(p.expected_revision, 0U);
		EXPECT_FALSE(a.proposes(now_us, &p));
		ph_dispatcher_shards_proposed(a.d, now_us, c.outcome, &c.row);
		EXPECT_EQ(a.pools().size(), c.pools);
		EXPECT_EQ(a.d->heartbeat_domain_due, c.pools != 0);
	}
}

} // namespace
