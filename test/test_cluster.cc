#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster_network.h"

namespace
{

using namespace cluster_test;

void two_domains(Network *net)
{
	net->pools = { "north", "south" };
	for (const char *name : { "n1", "n2", "n3" })
		net->add(name, "north");
	for (const char *name : { "s1", "s2" })
		net->add(name, "south");
	net->start_all();
	net->run_until(net->now_us + 2000 * kMs);
}

TEST(Cluster, EveryPoolHasOneOwnerFromItsDomain)
{
	Network net;

	two_domains(&net);
	for (const std::string &pool : net.pools) {
		ASSERT_EQ(net.owners(pool).size(), 1U) << pool;
		EXPECT_EQ(net.owners(pool)[0]->domain, pool);
		EXPECT_EQ(net.owners(pool)[0]->acquisitions, 1);
	}
}

/* All instances fail and restart one after the other. Each pool has an owner
 * soon after the first instance of its domain is back, and in the end exactly
 * one, from its domain. */
TEST(Cluster, EachPoolIsOwnedSoonAfterAllInstancesRestart)
{
	constexpr uint64_t kOwnedWithinUs = 400 * kMs;

	for (uint64_t start_gap_ms : { 0, 40, 100 }) {
		SCOPED_TRACE(start_gap_ms);
		Network net;
		uint64_t t0;

		two_domains(&net);
		for (auto &n : net.instances)
			n->running = false;
		net.run_until(net.now_us + 1200 * kMs);
		t0 = net.now_us;
		/* One instance of each domain first, then the others. */
		for (const char *name : { "n1", "s1", "n2", "s2", "n3" }) {
			net.start(net.find(name));
			net.run_until(net.now_us + start_gap_ms * kMs);
		}
		net.run_until(t0 + start_gap_ms * kMs * 4 + kOwnedWithinUs);
		for (const std::string &pool : net.pools)
			EXPECT_FALSE(net.owners(pool).empty()) << pool;
		net.run_until(net.now_us + 1000 * kMs);
		for (const std::string &pool : net.pools) {
			ASSERT_EQ(net.owners(pool).size(), 1U) << pool;
			EXPECT_EQ(net.owners(pool)[0]->domain, pool);
		}
	}
}

/* All instances fail and restart one after the other. Those that start later
 * don't delay the claim of the first one of a small domain. */
TEST(Cluster, LaterInstancesDoNotDelayTheFirstClaimOfADomain)
{
	/* The first claim is due 1.2 heartbeat intervals after the start of an
	 * instance. Each of the other two may claim in its place if it started
	 * within 60 ms. */
	constexpr uint64_t kOwnedWithinUs = (120 + 2 * 60) * kMs + 2 * kTickUs;

	for (uint64_t start_gap_ms : { 0, 40, 80, 150 }) {
		SCOPED_TRACE(start_gap_ms);
		Network net;
		uint64_t t0;

		two_domains(&net);
		for (auto &n : net.instances)
			n->running = false;
		net.run_until(net.now_us + 1200 * kMs);
		t0 = net.now_us;
		for (const char *name : { "n1", "n2", "n3" }) {
			if (net.now_us >= t0 + kOwnedWithinUs)
				break;
			net.start(net.find(name));
			net.run_until(net.now_us + start_gap_ms * kMs);
		}
		net.run_until(t0 + kOwnedWithinUs);
		EXPECT_EQ(net.owners("north").size(), 1U);
		net.run_until(net.now_us + 1000 * kMs);
		EXPECT_EQ(net.owners("north").size(), 1U);
	}
}

struct FailureCase {
	const char *what;
	void (*fail)(Network *, Instance *);
	/** Time within which another instance owns the pool. */
	uint64_t replaced_within_us;
};

const FailureCase failure_cases[] = {
	{ "killed", [](Network *, Instance *n) { n->running = false; },
	  700 * kMs },
	{ "frozen", [](Network *, Instance *n) { n->frozen = true; },
	  700 * kMs },
	{ "partitioned from all others",
	  [](Network *net, Instance *n) { net->group[n->name] = 1; },
	  700 * kMs },
	{ "leaving",
	  [](Network *, Instance *n) {
		  n->leaving = true;
		  ph_cluster_leave(n->cluster);
	  },
	  400 * kMs },
};

TEST(Cluster, AnOwnerThatFailsOrLeavesIsReplaced)
{
	for (const FailureCase &c : failure_cases) {
		SCOPED_TRACE(c.what);
		Network net;
		Instance *old;
		std::vector<Instance *> now;

		two_domains(&net);
		old = net.owners("north")[0];
		c.fail(&net, old);
		net.run_until(net.now_us + c.replaced_within_us);
		now = net.owners("north");
		now.erase(std::remove(now.begin(), now.end(), old), now.end());
		ASSERT_EQ(now.size(), 1U);
		EXPECT_EQ(now[0]->domain, "north");
		/* The earlier owner recovers and does not claim the pool. */
		old->frozen = false;
		net.group[old->name] = 0;
		net.run_until(net.now_us + 2000 * kMs);
		EXPECT_EQ(net.owners("north").size(), 1U);
	}
}

TEST(Cluster, AnOwnerKeepsItsPoolWhenAPeerStarts)
{
	Network net;
	Instance *owner;
	Instance *other;

	two_domains(&net);
	owner = net.owners("north")[0];
	other = net.find(owner->name == "n1" ? "n2" : "n1");
	net.start(other);
	net.run_until(net.now_us + 3000 * kMs);
	ASSERT_EQ(net.owners("north").size(), 1U);
	EXPECT_EQ(net.owners("north")[0], owner);
}

TEST(Cluster, APartitionedDomainKeepsItsOwnerAfterThePartitionHeals)
{
	for (uint64_t partition_ms : { 500, 1500, 2500, 3500, 5500 }) {
		SCOPED_TRACE(partition_ms);
		Network net;
		Instance *owner;

		two_domains(&net);
		owner = net.owners("south")[0];
		for (const char *name : { "s1", "s2", "south" })
			net.group[name] = 1;
		net.run_until(net.now_us + partition_ms * kMs);
		EXPECT_TRUE(owner->owned.count("south"));
		for (const char *name : { "s1", "s2", "south" })
			net.group[name] = 0;
		net.run_until(net.now_us + 1500 * kMs);
		ASSERT_EQ(net.owners("south").size(), 1U);
		EXPECT_EQ(net.owners("south")[0], owner);
		ASSERT_EQ(net.owners("north").size(), 1U);
		EXPECT_EQ(net.owners("north")[0]->domain, "north");
	}
}

/* A domain is cut off together with its executors. Neither side claims pools
 * whose executors it cannot reach, so that no pool changes its owner when the
 * partition heals. */
TEST(Cluster, PoolsBehindAPartitionAreNotClaimed)
{
	for (uint64_t partition_ms : { 2500, 3500, 6500 }) {
		SCOPED_TRACE(partition_ms);
		Network net;
		std::map<std::string, Instance *> owner;

		two_domains(&net);
		for (const std::string &pool : net.pools)
			owner[pool] = net.owners(pool)[0];
		for (const char *name : { "s1", "s2", "south" })
			net.group[name] = 1;
		net.run_until(net.now_us + partition_ms * kMs);
		for (const char *name : { "s1", "s2", "south" })
			net.group[name] = 0;
		net.run_until(net.now_us + 1500 * kMs);
		for (const std::string &pool : net.pools) {
			ASSERT_EQ(net.owners(pool).size(), 1U);
			EXPECT_EQ(net.owners(pool)[0], owner[pool]);
		}
		for (auto &n : net.instances)
			EXPECT_LE(n->acquisitions, 1);
	}
}

TEST(Cluster, APoolWithoutInstancesInItsDomainIsTakenOver)
{
	Network net;

	two_domains(&net);
	net.find("s1")->running = false;
	net.find("s2")->running = false;
	net.run_until(net.now_us + 1200 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "north");
	net.start(net.find("s1"));
	net.run_until(net.now_us + 2500 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->name, "s1");
}

TEST(Cluster, APoolOfAPartitionedDomainIsNotTakenOverAtOnce)
{
	Network net;

	two_domains(&net);
	for (const char *name : { "s1", "s2", "south" })
		net.group[name] = 1;
	net.run_until(net.now_us + 1500 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "south");
}

TEST(Cluster, APoolIsTakenOverWhenTheLastInstanceOfItsDomainLeaves)
{
	Network net;
	Instance *last;

	two_domains(&net);
	net.find("s1")->running = false;
	net.run_until(net.now_us + 1500 * kMs);
	last = net.find("s2");
	ASSERT_TRUE(last->owned.count("south"));
	last->leaving = true;
	ph_cluster_leave(last->cluster);
	net.run_until(net.now_us + 600 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "north");
}

TEST(Cluster, EachPoolHasOneOwnerAfterAllInstancesRestart)
{
	Network net;

	two_domains(&net);
	for (auto &n : net.instances)
		n->running = false;
	net.run_until(net.now_us + 1000 * kMs);
	for (auto &n : net.instances)
		net.start(n.get());
	net.run_until(net.now_us + 2000 * kMs);
	for (const std::string &pool : net.pools)
		EXPECT_EQ(net.owners(pool).size(), 1U) << pool;
}

TEST(Cluster, ShardsAreOwnedByInstancesWithTheMostCpu)
{
	Network net;
	std::map<std::string, size_t> owned;

	net.pools = { "north", "north#1", "north#2", "north#3" };
	net.add("big1", "north", 500);
	net.add("big2", "north", 500);
	for (const char *name : { "s1", "s2", "s3", "s4" })
		net.add(name, "north", 120);
	net.start_all();
	net.run_until(net.now_us + 3000 * kMs);
	for (auto &n : net.instances)
		owned[n->name] = n->owned.size();
	EXPECT_EQ(owned["big1"], 2U);
	EXPECT_EQ(owned["big2"], 2U);
	/* After a restart a large instance is offered shards again. */
	net.find("big1")->running = false;
	net.run_until(net.now_us + 1500 * kMs);
	net.start(net.find("big1"));
	net.run_until(net.now_us + 8000 * kMs);
	EXPECT_GE(net.find("big1")->owned.size(), 1U);
	for (const std::string &pool : net.pools)
		EXPECT_EQ(net.owners(pool).size(), 1U) << pool;
}

/* More pools than a heartbeat carries claims, and than earlier tables of fixed
 * size held. The instances own as many pools as their heartbeats can carry,
 * each pool once, and no pool changes its owner. */
TEST(Cluster, AnInstanceOwnsAtMostAsManyPoolsAsAHeartbeatCarries)
{
	const struct {
		int pools;
		int instances;
		size_t owned;
	} cases[] = {
		{ (int)PH_CLAIMS_MAX, 1, PH_CLAIMS_MAX },
		{ (int)PH_CLAIMS_MAX + 1, 1, PH_CLAIMS_MAX },
		{ (int)PH_CLAIMS_MAX + 1, 2, PH_CLAIMS_MAX + 1 },
		{ 70, 4, 70 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.pools);
		Network net;
		size_t owned = 0;
		int acquired = 0;

		for (int i = 0; i < c.pools; i++)
			net.pools.push_back(i ? "north#" + std::to_string(i)
					      : "north");
		for (int i = 0; i < c.instances; i++)
			net.add("n" + std::to_string(i), "north");
		net.start_all();
		net.run_until(net.now_us + 6000 * kMs);
		for (auto &n : net.instances)
			acquired += n->acquisitions;
		net.run_until(net.now_us + 1000 * kMs);
		for (const std::string &pool : net.pools) {
			EXPECT_LE(net.owners(pool).size(), 1U) << pool;
			owned += net.owners(pool).size();
		}
		for (auto &n : net.instances) {
			EXPECT_LE(n->owned.size(), PH_CLAIMS_MAX);
			acquired -= n->acquisitions;
		}
		EXPECT_EQ(owned, c.owned);
		EXPECT_EQ(acquired, 0);
	}
}

/* Guards against a limit on the number of contacts: each address gets a
 * heartbeat. */
TEST(Cluster, EveryContactGetsAHeartbeat)
{
	constexpr int kContacts = 600;
	std::set<std::string> reached;
	static const ph_cluster_sink sink = {
		[](void *, const char *, uint64_t) {},
		[](void *, const char *) {},
		[](void *, const char *) { return true; },
		[](void *ctx, const char *addr, const ph_member *) {
			static_cast<std::set<std::string> *>(ctx)->insert(addr);
		},
		[](void *, const char *, ph_link_doubt) {},
		[](void *, const char *) {},
	};
	ph_cluster_options o = {};

	o.mem = ph_mem_default();
	o.name = "n1";
	o.domain = "north";
	o.addr = "n1";
	o.heartbeat_us = 100 * kMs;
	o.suspect_us = 350 * kMs;
	ph_cluster *cluster = ph_cluster_new(&o);

	for (int i = 0; i < kContacts; i++)
		ph_cluster_add_contact(cluster,
				       ("c" + std::to_string(i)).c_str());
	ph_cluster_tick(cluster, 1000 * kMs, kUnixMs, &sink, &reached);
	EXPECT_EQ(reached.size(), (size_t)kContacts);
	ph_cluster_free(cluster);
}

/* All instances of a large domain fail and restart. Each shard has an owner as
 * soon as a single pool would have, among the instances with the most CPU. */
TEST(Cluster, EachShardIsOwnedSoonAfterAllInstancesRestart)
{
	constexpr uint64_t kOwnedWithinUs = 400 * kMs;
	constexpr int kShards = 7;

	for (uint64_t stagger_us : { 0 * kMs, 10 * kMs }) {
		SCOPED_TRACE(stagger_us);
		Network net;

		for (int i = 0; i < kShards; i++)
			net.pools.push_back(i ? "north#" + std::to_string(i)
					      : "north");
		for (int i = 0; i < 30; i++)
			net.add("n" + std::to_string(i), "north",
				i < 3 ? 500 : 120);
		net.start_all();
		net.run_until(net.now_us + 3000 * kMs);
		for (auto &n : net.instances)
			n->running = false;
		net.run_until(net.now_us + 1300 * kMs);
		for (auto &n : net.instances) {
			net.start(n.get());
			net.run_until(net.now_us + stagger_us);
		}
		net.run_until(net.now_us + kOwnedWithinUs);
		for (const std::string &pool : net.pools) {
			ASSERT_EQ(net.owners(pool).size(), 1U) << pool;
			EXPECT_EQ(net.owners(pool)[0]->cpu, 500U);
			EXPECT_LE(net.owners(pool)[0]->owned.size(), 3U);
		}
	}
}

/* All instances restart after the time of day was set back, so that new tokens
 * are lower than those the executors know, and no instance knows the latter. */
/* The tokens of a pool are ahead of the time of day, as after the time was set
 * back. Its owner fails, and two instances that are cut off from each other
 * claim the pool. With equal tokens the executors would serve both. */
TEST(Cluster, InstancesThatDoNotHearOfEachOtherClaimWithDifferentTokens)
{
	constexpr uint64_t kHourMs = 3600 * 1000;
	Network net;
	Instance *owner;
	std::set<uint64_t> tokens;

	net.pools = { "north" };
	for (const char *name : { "n1", "n2", "n3", "n4", "n5" })
		net.add(name, "north");
	net.start_all();
	net.highest_token_seen["north"] = (kUnixMs + kHourMs) << 12;
	net.run_until(net.now_us + 2000 * kMs);
	ASSERT_EQ(net.owners("north").size(), 1U);
	owner = net.owners("north")[0];
	owner->running = false;
	for (auto &n : net.instances)
		net.group[n->name] = (int)(&n - &net.instances[0]) % 2;
	/* An instance in a minority waits for three seconds. */
	net.run_until(net.now_us + 4500 * kMs);
	for (Instance *n : net.owners("north"))
		tokens.insert(n->owned["north"]);
	EXPECT_EQ(tokens.size(), 2U);
	EXPECT_EQ(net.owners("north").size(), 2U);
}

/* Among hundreds of instances some have equal lower bits of their tokens. */
TEST(Cluster, InstancesWithEqualTokenBitsClaimWithDifferentTokens)
{
	constexpr uint64_t kHourMs = 3600 * 1000;
	constexpr uint64_t kTokenBits = (1U << 12) - 1;
	std::map<uint64_t, std::string> names;
	int pairs = 0;

	for (int i = 0; pairs < 20; i++) {
		std::string name = "n" + std::to_string(i);
		uint64_t bits = ph_hash_str(name.c_str()) & kTokenBits;
		Network net;

		if (names.emplace(bits, name).second)
			continue;
		SCOPED_TRACE(name + " and " + names[bits]);
		pairs++;
		net.pools = { "north" };
		net.add(name, "north");
		net.add(names[bits], "north");
		net.add("owner", "north", 500);
		net.start_all();
		net.highest_token_seen["north"] = (kUnixMs + kHourMs) << 12;
		net.run_until(net.now_us + 2000 * kMs);
		ASSERT_EQ(net.owners("north").size(), 1U);
		ASSERT_EQ(net.owners("north")[0]->name, "owner");
		net.find("owner")->running = false;
		net.group[name] = 1;
		/* An instance in a minority waits for three seconds. */
		net.run_until(net.now_us + 4500 * kMs);
		ASSERT_EQ(net.owners("north").size(), 2U);
		EXPECT_NE(net.owners("north")[0]->owned["north"],
			  net.owners("north")[1]->owned["north"]);
	}
}

TEST(Cluster, ATokenBelowTheOneKnownToExecutorsIsRaisedFast)
{
	constexpr uint64_t kHourMs = 3600 * 1000;

	for (uint64_t behind_ms : { 2400UL, 60000UL, 3 * kHourMs }) {
		SCOPED_TRACE(behind_ms);
		Network net;
		uint64_t remembered = (kUnixMs + behind_ms) << 12;

		net.pools = { "north" };
		for (const char *name : { "n1", "n2", "n3" })
			net.add(name, "north");
		net.start_all();
		net.highest_token_seen["north"] = remembered;
		/* It takes 0.3 s until the claim and 0.1 s per rejection. */
		net.run_until(net.now_us + 1500 * kMs);
		ASSERT_EQ(net.owners("north").size(), 1U);
		EXPECT_GE(net.owners("north")[0]->owned["north"], remembered);
	}
}

/* Guards against a pool that loses its owner as a few executors have another
 * one, by another number of shards: the rest would have none. If most refuse
 * the token again after it was raised, the pool is left to the other owner; a
 * minority leaves it at once. */
TEST(Cluster, AnOwnerThatAFewExecutorsRefuseKeepsItsPool)
{
	const struct {
		const char *what;
		bool in_part;
		bool minority;
		bool kept;
	} cases[] = {
		{ "a few refuse", true, false, true },
		{ "a few refuse, in a minority", true, true, true },
		{ "most refuse", false, false, false },
		{ "most refuse, in a minority", false, true, false },
	};
	const ph_cluster_sink sink = { Network::on_acquire,
				       Network::on_release,
				       nullptr,
				       nullptr,
				       nullptr,
				       nullptr };

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Network net;
		Instance *owner;
		uint64_t token;

		net.pools = { "north" };
		for (const char *name : { "n1", "n2", "n3" })
			net.add(name, "north");
		net.start_all();
		net.run_until(net.now_us + 1500 * kMs);
		ASSERT_EQ(net.owners("north").size(), 1U);
		owner = net.owners("north")[0];
		if (c.minority) {
			net.group[owner->name] = net.group["north"] = 1;
			net.run_until(net.now_us + 1000 * kMs);
		}
		ASSERT_EQ(ph_cluster_minority(owner->cluster, net.now_us),
			  c.minority);
		token = owner->owned["north"];
		for (int i = 0; i < 60 && owner->owned.count("north"); i++) {
			net.now_us += 100 * kMs;
			if (c.in_part)
				ph_cluster_fenced_in_part(
					owner->cluster, net.now_us,
					kUnixMs + net.now_us / 1000, "north",
					&sink, owner);
			else
				ph_cluster_fenced(owner->cluster, net.now_us,
						  kUnixMs + net.now_us / 1000,
						  "north", true, &sink, owner);
			if (c.kept) {
				EXPECT_GT(owner->owned["north"], token);
			}
			token = owner->owned.count("north")
					? owner->owned["north"]
					: 0;
		}
		EXPECT_EQ(token != 0, c.kept);
	}
}

/* Guards against tokens that run ahead of the time of day, up to the largest
 * that executors can read, while two owners raise theirs in turn; and against a
 * token that is raised too slowly to exceed one from before the clock was set
 * back. */
TEST(Cluster, ATokenThatAFewExecutorsRefuseIsRaisedAsFarAsNeeded)
{
	const struct {
		const char *what;
		uint64_t interval_ms;
		int raises;
		uint64_t least_ahead_ms;
		uint64_t most_ahead_ms;
	} cases[] = {
		{ "another owner exceeds each", 3000, 1200, 0, 5000 },
		{ "too low each time", 1700, 7, 3600 * 1000, UINT64_MAX },
	};
	const ph_cluster_sink sink = { Network::on_acquire,
				       Network::on_release,
				       nullptr,
				       nullptr,
				       nullptr,
				       nullptr };

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Network net;
		Instance *owner;
		uint64_t unix_ms = 0;
		uint64_t token_ms;

		net.pools = { "north" };
		net.add("n1", "north");
		net.start_all();
		net.run_until(net.now_us + 1500 * kMs);
		ASSERT_EQ(net.owners("north").size(), 1U);
		owner = net.owners("north")[0];
		for (int i = 0; i < c.raises; i++) {
			net.now_us += c.interval_ms * kMs;
			unix_ms = kUnixMs + net.now_us / 1000;
			ph_cluster_fenced_in_part(owner->cluster, net.now_us,
						  unix_ms, "north", &sink,
						  owner);
		}
		token_ms = owner->owned["north"] >> 12;
		EXPECT_GE(token_ms, unix_ms + c.least_ahead_ms);
		EXPECT_LE(token_ms, c.most_ahead_ms == UINT64_MAX
					    ? UINT64_MAX
					    : unix_ms + c.most_ahead_ms);
	}
}

/* In a domain of enough instances the one with the most CPU reads the list of
 * executors for all of them. */
TEST(Cluster, OneInstanceOfALargeDomainReadsTheExecutorList)
{
	const struct {
		const char *what;
		int instances;
		/** Index of the instance that leaves, and of the one that is
		 * killed; -1: none.  */
		int leaving_instance;
		int stopped_instance;
		/** The instance that reads the list; "" if each does. */
		const char *reader;
	} cases[] = {
		{ "a small domain", 3, -1, -1, "" },
		{ "the instance with the most CPU", 5, -1, -1, "n2" },
		{ "the first by name after the reader leaves", 5, 2, -1, "n0" },
		{ "the first by name after the reader is killed", 5, -1, 2,
		  "n0" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Network net;

		net.pools = { "north" };
		for (int i = 0; i < c.instances; i++)
			net.add("n" + std::to_string(i), "north",
				i == 2 ? 500 : 120);
		net.start_all();
		net.run_until(net.now_us + 1000 * kMs);
		if (c.leaving_instance >= 0) {
			net.instances[c.leaving_instance]->leaving = true;
			ph_cluster_leave(
				net.instances[c.leaving_instance]->cluster);
		}
		if (c.stopped_instance >= 0)
			net.instances[c.stopped_instance]->running = false;
		net.run_until(net.now_us + 1000 * kMs);
		for (auto &n : net.instances) {
			const ph_member *reader;

			if (!n->running)
				continue;
			bool other = ph_cluster_list_reader(
				n->cluster, net.now_us, &reader);

			EXPECT_EQ(other, *c.reader && n->name != c.reader);
			if (other) {
				EXPECT_STREQ(reader->name, c.reader);
			}
		}
	}
}

size_t heartbeat_bytes()
{
	ph_poolmsg heartbeat = {};
	ph_buf out;
	size_t len;

	heartbeat.type = PH_POOLMSG_HEARTBEAT;
	heartbeat.name = "edge-zona-cordoba-29";
	heartbeat.domain = "zona-cordoba";
	snprintf(heartbeat.addr, sizeof(heartbeat.addr), "10.222.222.222:8166");
	heartbeat.incarnation = kUnixMs;
	heartbeat.list_digest = UINT64_MAX;
	heartbeat.clock_us = kUnixMs;
	ph_buf_init(&out, ph_mem_default());
	ph_poolmsg_encode(&heartbeat, &out);
	len = out.len;
	ph_buf_free(&out);
	return len;
}

/* ## Connections that go silent for good */

struct SeverCase {
	const char *what;
	/** At which times, in ms, the connections from and to these instances
	 * go silent; empty: of all. */
	std::vector<uint64_t> at_ms;
	const char *from;
	const char *to;
};

/* Guards against a connection that is never opened again: where both directions
 * between two instances are silent, each would take the other for failed and
 * take its pools from it, for good. New connections have to work before a peer
 * is suspected. */
TEST(Cluster, NoPoolChangesItsOwnerWhenOpenConnectionsGoSilent)
{
	const SeverCase cases[] = {
		{ "all", { 0 }, "", "" },
		{ "all, again and again",
		  { 0, 700, 1500, 2600, 9000 },
		  "",
		  "" },
		{ "all that lead to one", { 0 }, "", "n1" },
		{ "all that come from one", { 0 }, "n1", "" },
		{ "one", { 0 }, "n1", "s1" },
		{ "one, again and again", { 0, 900, 1800 }, "n1", "n2" },
	};

	for (const SeverCase &c : cases) {
		for (uint64_t phase_ms = 0; phase_ms < 100; phase_ms += 10) {
			SCOPED_TRACE(std::string(c.what) + " at " +
				     std::to_string(phase_ms));
			Network net;

			two_domains(&net);
			int acquired = net.acquisitions();
			uint64_t start_us = net.now_us + phase_ms * kMs;

			for (uint64_t at_ms : c.at_ms) {
				net.run_until(start_us + at_ms * kMs);
				net.sever(c.from, c.to);
			}
			net.run_until(net.now_us + 3000 * kMs);
			EXPECT_TRUE(net.severed.empty());
			EXPECT_EQ(net.acquisitions(), acquired);
			for (auto &n : net.instances)
				EXPECT_EQ(n->losses, 0) << n->name;
		}
	}
}

/* Guards against an instance that is taken over, or stays unheard, as others
 * restart while connections go silent. */
TEST(Cluster, AnInstanceThatRestartsWhileConnectionsGoSilentIsHeardAgain)
{
	for (uint64_t down_ms : { 50, 400, 2000 }) {
		SCOPED_TRACE(down_ms);
		Network net;

		two_domains(&net);
		std::string owner = net.owners("north")[0]->name;
		Instance *other = net.find(owner == "n1" ? "n2" : "n1");
		int acquired = net.acquisitions();

		other->running = false;
		net.sever("", "");
		net.run_until(net.now_us + down_ms * kMs);
		net.start(other);
		net.run_until(net.now_us + 3000 * kMs);
		EXPECT_EQ(net.acquisitions(), acquired);
		ASSERT_EQ(net.owners("north").size(), 1U);
		EXPECT_EQ(net.owners("north")[0]->name, owner);
		for (auto &n : net.instances)
			for (auto &m : net.instances)
				EXPECT_TRUE(
					n == m ||
					ph_cluster_hears(
						n->cluster, net.now_us,
						m->name.c_str(),
						kUnixMs + m->started_us / 1000))
					<< n->name << m->name;
	}
}

/* Guards against an old state of a peer that takes the place of a newer one:
 * its heartbeats may come on two connections. */
TEST(Cluster, AHeartbeatThatALaterOneHasOvertakenIsIgnored)
{
	const struct {
		uint64_t incarnation;
		uint64_t clock_us;
		bool taken;
	} cases[] = {
		{ kUnixMs, 2000, true },  { kUnixMs, 1999, false },
		{ kUnixMs, 1, false },	  { kUnixMs, 2000, true },
		{ kUnixMs, 2001, true },  { kUnixMs + 1, 5, true },
		{ kUnixMs, 9000, false }, { kUnixMs + 1, 4, false },
	};
	Network net;

	net.add("n1", "north");
	net.start_all();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.clock_us);
		ph_poolmsg m = {};

		m.type = PH_POOLMSG_HEARTBEAT;
		m.name = "n2";
		m.domain = "north";
		snprintf(m.addr, sizeof(m.addr), "n2");
		m.incarnation = c.incarnation;
		m.clock_us = c.clock_us;
		EXPECT_EQ(ph_cluster_heartbeat_received(
				  net.instances[0]->cluster, net.now_us, &m) !=
				  nullptr,
			  c.taken);
	}
}

/* Guards against a storm of ownership, whatever its reason: instances that
 * reach the executors but don't hear each other take a pool from each other,
 * again and again, and no job is served. */
TEST(Cluster, InstancesThatNeverHearEachOtherBackOffFromAPool)
{
	for (const char *domain : { "north", "south" }) {
		SCOPED_TRACE(domain);
		Network net;

		net.pools = { "north" };
		net.add("n1", "north");
		net.add("n2", domain);
		net.start_all();
		net.run_until(net.now_us + 2000 * kMs);
		net.new_connections_work = false;
		net.sever("", "");
		net.run_until(net.now_us + 20000 * kMs);
		int before = net.acquisitions();
		net.run_until(net.now_us + 40000 * kMs);
		/* Two instances in turn, each once in 4 s or more. */
		EXPECT_LE(net.acquisitions(), before + 20);
		/* Once they hear each other, one of them keeps it. */
		net.severed.clear();
		net.run_until(net.now_us + 3000 * kMs);
		before = net.acquisitions();
		net.run_until(net.now_us + 20000 * kMs);
		EXPECT_EQ(net.acquisitions(), before);
		EXPECT_EQ(net.owners("north").size(), 1U);
	}
}

/* Guards against a flood of dials to peers that are gone: one that refuses
 * connections needs none, one that doesn't answer a few. */
TEST(Cluster, PeersThatAreGoneCostFewNewConnections)
{
	for (bool refuses : { true, false }) {
		SCOPED_TRACE(refuses);
		Network net;

		two_domains(&net);
		Instance *n1 = net.find("n1");
		int renewals = n1->renewals;

		if (refuses)
			net.find("n2")->running = false;
		else
			net.group["n2"] = 1;
		net.run_until(net.now_us + 1000 * kMs);
		EXPECT_LE(n1->renewals, renewals + (refuses ? 1 : 3));
		net.run_until(net.now_us + 20000 * kMs);
		/* One in 2 s while it may be back, one in 5 s later. */
		EXPECT_LE(n1->renewals, renewals + 13);
	}
}

/* An owner accepts batches only of instances whose loss would be reported: not
 * before the first heartbeat of a process, nor after its loss. */
TEST(Cluster, AnInstanceIsHeardOnlyWhileItsLossWouldBeReported)
{
	Network net;
	Instance *n1;
	uint64_t incarnation;

	net.pools = { "north" };
	for (const char *name : { "n1", "n2" })
		net.add(name, "north");
	net.start_all();
	n1 = net.find("n1");
	incarnation = kUnixMs + net.now_us / 1000;
	EXPECT_TRUE(
		ph_cluster_hears(n1->cluster, net.now_us, "n1", incarnation));
	EXPECT_FALSE(
		ph_cluster_hears(n1->cluster, net.now_us, "n2", incarnation));
	net.run_until(net.now_us + 1000 * kMs);
	EXPECT_TRUE(
		ph_cluster_hears(n1->cluster, net.now_us, "n2", incarnation));
	EXPECT_FALSE(ph_cluster_hears(n1->cluster, net.now_us, "n2",
				      incarnation + 1));
	net.find("n2")->running = false;
	net.run_until(net.now_us + 500 * kMs);
	EXPECT_FALSE(
		ph_cluster_hears(n1->cluster, net.now_us, "n2", incarnation));
	net.start(net.find("n2"));
	incarnation = kUnixMs + net.now_us / 1000;
	net.run_until(net.now_us + 500 * kMs);
	EXPECT_TRUE(
		ph_cluster_hears(n1->cluster, net.now_us, "n2", incarnation));
}

/* An instance n1, and heartbeats of a peer n2 to it by hand. */
struct Echoes {
	static constexpr uint64_t kStartUs = 5000 * kMs;
	ph_cluster *cluster;
	uint64_t now_us = kStartUs;
	uint64_t incarnation = 1;
	bool tells_echoes = true;
	bool silent = false;
	int lost = 0;

	Echoes()
	{
		ph_cluster_options o = {};

		ph_log_quiet(1);
		o.mem = ph_mem_default();
		o.name = "n1";
		o.domain = "north";
		o.addr = "n1";
		o.incarnation = 1;
		o.heartbeat_us = 100 * kMs;
		o.suspect_us = 350 * kMs;
		o.start_us = kStartUs;
		cluster = ph_cluster_new(&o);
	}

	~Echoes()
	{
		ph_cluster_free(cluster);
	}

	void heartbeat(uint64_t echo_us)
	{
		ph_poolmsg m = {};

		m.type = PH_POOLMSG_HEARTBEAT;
		m.name = "n2";
		snprintf(m.addr, sizeof(m.addr), "n2");
		m.domain = "north";
		m.incarnation = incarnation;
		m.interval_us = 100 * kMs;
		m.echo_us = tells_echoes ? echo_us : 0;
		ph_cluster_heartbeat_received(cluster, now_us, &m);
	}

	/* Ticks for us, with heartbeats that carry an echo of this age, or of
	 * this time. */
	void run_for(uint64_t us, uint64_t age_us, uint64_t echo_us = 0)
	{
		static const ph_cluster_sink sink = {
			[](void *, const char *, uint64_t) {},
			[](void *, const char *) {},
			[](void *, const char *) { return false; },
			[](void *, const char *, const ph_member *) {},
			[](void *, const char *, ph_link_doubt) {},
			[](void *ctx, const char *) {
				static_cast<Echoes *>(ctx)->lost++;
			},
		};
		uint64_t until_us = now_us + us;

		for (; now_us < until_us; now_us += kTickUs) {
			if (now_us % (100 * kMs) == 0 && !silent)
				heartbeat(echo_us ? echo_us : now_us - age_us);
			ph_cluster_tick(cluster, now_us,
					kUnixMs + now_us / 1000, &sink, this);
		}
	}

	bool surely_relied_on() const
	{
		return ph_cluster_surely_relied_on(cluster, now_us, "n2");
	}

	bool relied_on() const
	{
		return ph_cluster_relied_on(cluster, now_us, "n2");
	}

	bool hears() const
	{
		return ph_cluster_hears(cluster, now_us, "n2", incarnation);
	}
};

/* A peer whose heartbeats arrive, but which tells of none of this instance,
 * counts this one as failed and resumes its batches elsewhere. */
TEST(Cluster, APeerThatReceivesNoHeartbeatsIsLostAlthoughItIsHeard)
{
	const struct {
		const char *what;
		/** Age of the last echo from then on; or its time. */
		uint64_t age_us;
		uint64_t echo_us;
		bool lost;
	} cases[] = {
		{ "calm", 260 * kMs, 0, false },
		{ "two heartbeats late", 460 * kMs, 0, false },
		{ "heartbeats long in transit", 900 * kMs, 0, true },
		{ "no heartbeat received", 0, 7000 * kMs, true },
		{ "a clock ahead", 0, 90000 * kMs, true },
		{ "a clock from before the start", 0, 1, true },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Echoes e;
		int before;

		e.run_for(2000 * kMs, 200 * kMs);
		EXPECT_TRUE(e.relied_on());
		EXPECT_TRUE(e.surely_relied_on());
		EXPECT_TRUE(e.hears());
		before = e.lost;
		/* The peer suspects this instance after 350 ms. */
		e.run_for(340 * kMs, c.age_us, c.echo_us);
		EXPECT_EQ(e.surely_relied_on(), c.age_us == 260 * kMs);
		/* The caller of a failed submitter retries after 1.3 s, and a
		 * lease lasts for 714 ms. */
		e.run_for(220 * kMs, c.age_us, c.echo_us);
		EXPECT_EQ(e.relied_on(), !c.lost);
		e.run_for(1000 * kMs, c.age_us, c.echo_us);
		EXPECT_EQ(e.hears(), !c.lost);
		EXPECT_EQ(e.lost - before, c.lost);
		/* It is heard again. */
		e.run_for(1000 * kMs, 200 * kMs);
		EXPECT_TRUE(e.relied_on());
		EXPECT_TRUE(e.hears());
		EXPECT_EQ(e.lost - before, c.lost);
	}
}

/* The clock of a peer stands still while it is suspended; its echoes count all
 * the same, as they are times of the receiver's clock. A peer that has
 * restarted, perhaps as the version before, tells no echoes at first. */
TEST(Cluster, APeerIsReliedOnAfterItsSuspensionOrRestart)
{
	Echoes e;
	int lost;

	e.run_for(2000 * kMs, 200 * kMs);
	/* Its first heartbeats still tell of one from before. */
	e.run_for(10000 * kMs, 0, 6900 * kMs);
	e.run_for(50 * kMs, 100 * kMs);
	EXPECT_TRUE(e.relied_on());
	EXPECT_TRUE(e.hears());
	/* The first heartbeat after an outage tells of one from before it. */
	e.silent = true;
	e.run_for(3000 * kMs, 0);
	EXPECT_FALSE(e.hears());
	lost = e.lost;
	e.silent = false;
	e.run_for(100 * kMs, 3100 * kMs);
	EXPECT_TRUE(e.hears());
	e.run_for(1000 * kMs, 200 * kMs);
	EXPECT_EQ(e.lost, lost);
	e.incarnation++;
	e.tells_echoes = false;
	for (int i = 0; i < 20; i++) {
		e.run_for(100 * kMs, 0);
		EXPECT_TRUE(e.relied_on());
		EXPECT_TRUE(e.hears());
	}
}

/* The next tick reports the loss of the process before by its name, which would
 * also end the batches of the new one. */
TEST(Cluster, ANewProcessIsNotHeardBeforeTheLossOfTheOneBeforeIsReported)
{
	Echoes e;
	int lost;

	e.run_for(1000 * kMs, 200 * kMs);
	lost = e.lost;
	e.incarnation++;
	e.heartbeat(0);
	EXPECT_FALSE(e.hears());
	EXPECT_EQ(e.lost, lost);
	e.run_for(kTickUs, 200 * kMs);
	EXPECT_TRUE(e.hears());
	EXPECT_EQ(e.lost, lost + 1);
}

/* Two instances that run only for a part of each period of the CPU scheduler,
 * as the owner of a pool and a submitter. */
struct Throttled {
	static constexpr uint64_t kPeriodUs = 100 * kMs;
	static constexpr uint64_t kRunsUs = 12 * kMs;
	static constexpr uint64_t kStepUs = 2 * kMs;

	struct Process {
		Throttled *world;
		ph_cluster *cluster;
		char name[3];
		/** When its part of each period begins. */
		uint64_t phase_us;
		uint64_t ticked_us;
		std::vector<ph_poolmsg> inbox;
		int lost;
	} processes[2] = {};
	uint64_t now_us = 5000 * kMs;

	Throttled(uint64_t heartbeat_us, uint64_t phase_us)
	{
		ph_log_quiet(1);
		for (int i = 0; i < 2; i++) {
			ph_cluster_options o = {};
			Process *p = &processes[i];

			snprintf(p->name, sizeof(p->name), "n%d", i);
			p->world = this;
			p->phase_us = i ? phase_us : 0;
			o.mem = ph_mem_default();
			o.name = p->name;
			o.domain = "north";
			o.addr = p->name;
			o.incarnation = 1;
			o.heartbeat_us = heartbeat_us;
			o.suspect_us = 350 * kMs;
			o.start_us = now_us;
			p->cluster = ph_cluster_new(&o);
			ph_cluster_add_contact(p->cluster, i ? "n0" : "n1");
		}
	}

	~Throttled()
	{
		for (Process &p : processes)
			ph_cluster_free(p.cluster);
	}

	static void on_heartbeat(void *ctx, const char *, const ph_member *m)
	{
		Process *p = static_cast<Process *>(ctx);
		Process *all = p->world->processes;
		ph_poolmsg msg = {};

		msg.name = ph_intern(p->name);
		snprintf(msg.addr, sizeof(msg.addr), "%s", p->name);
		msg.domain = "north";
		msg.incarnation = 1;
		msg.interval_us = m ? ph_cluster_interval_us(p->cluster, m) : 0;
		msg.clock_us = p->world->now_us;
		msg.echo_us = m ? m->clock_us : 0;
		all[p == all].inbox.push_back(msg);
	}

	void run(Process *p)
	{
		static const ph_cluster_sink sink = {
			[](void *, const char *, uint64_t) {},
			[](void *, const char *) {},
			[](void *, const char *) { return false; },
			on_heartbeat,
			[](void *, const char *, ph_link_doubt) {},
			[](void *ctx, const char *) {
				static_cast<Process *>(ctx)->lost++;
			},
		};

		for (const ph_poolmsg &m : p->inbox)
			ph_cluster_heartbeat_received(p->cluster, now_us, &m);
		p->inbox.clear();
		if (now_us < p->ticked_us + kTickUs)
			return;
		p->ticked_us = now_us;
		ph_cluster_tick(p->cluster, now_us, kUnixMs + now_us / 1000,
				&sink, p);
	}

	/* Returns for how many steps the owner n0 was not relied on. */
	int run_for(uint64_t us)
	{
		uint64_t until_us = now_us + us;
		int doubts = 0;

		for (; now_us < until_us; now_us += kStepUs)
			for (Process &p : processes) {
				if ((now_us + kPeriodUs - p.phase_us) %
					    kPeriodUs >=
				    kRunsUs)
					continue;
				run(&p);
				doubts += p.phase_us == 0 &&
					  !ph_cluster_relied_on(p.cluster,
								now_us, "n1");
			}
		return doubts;
	}
};

/* Instances that are short of CPU handle and send heartbeats late, and in a
 * large cluster send one in 200 ms only. */
TEST(Cluster, BusyInstancesAreReliedOn)
{
	for (uint64_t heartbeat_ms : { 100, 200 })
		for (uint64_t phase_ms = 0; phase_ms < 100; phase_ms += 2) {
			SCOPED_TRACE(std::to_string(heartbeat_ms) + " " +
				     std::to_string(phase_ms));
			Throttled t(heartbeat_ms * kMs, phase_ms * kMs);

			EXPECT_EQ(t.run_for(5000 * kMs), 0);
			EXPECT_EQ(t.processes[0].lost, 0);
			EXPECT_EQ(t.processes[1].lost, 0);
		}
}

/* Heartbeats of an instance that owns no pool, in a cluster of 150 instances,
 * stay within the limit for control traffic per dispatcher. */
TEST(Cluster, AnInstanceWithoutPoolsSendsFewHeartbeatsInALargeCluster)
{
	constexpr int kDomains = 5;
	constexpr int kInstances = 30;
	constexpr uint64_t kSeconds = 4;
	constexpr size_t kMaxBytesPerSecond = 24000;
	Network net;

	for (int d = 0; d < kDomains; d++) {
		std::string domain = "d" + std::to_string(d);

		net.pools.push_back(domain);
		for (int i = 0; i < kInstances; i++)
			net.add(domain + "-" + std::to_string(i), domain,
				i ? 120 : 500);
	}
	net.start_all();
	net.run_until(net.now_us + 4000 * kMs);
	for (auto &n : net.instances)
		n->heartbeats_sent = 0;
	net.run_until(net.now_us + kSeconds * 1000 * kMs);
	for (auto &n : net.instances) {
		EXPECT_EQ(net.owners(n->domain).size(), 1U);
		EXPECT_FALSE(ph_cluster_minority(n->cluster, net.now_us));
		if (!n->owned.empty())
			continue;
		EXPECT_LE(n->heartbeats_sent * heartbeat_bytes(),
			  kMaxBytesPerSecond * kSeconds)
			<< n->name;
	}
}

} // namespace
