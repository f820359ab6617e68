#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "log.h"
#include "cluster.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kTickUs = 10 * kMs;
constexpr uint64_t kUnixMs = 1800000000000;

struct Net;

struct Node {
	Net *net;
	std::string name;
	std::string domain;
	uint32_t cpu;
	uint64_t born_us;
	ph_cluster *members = nullptr;
	std::map<std::string, uint64_t> owned;
	bool up = true;
	bool frozen = false;
	bool leaving = false;
	int acquisitions = 0;
	int greetings = 0;
};

/* Instances that hear each other's heartbeats a millisecond later, unless
 * they are in different groups. */
struct Net {
	uint64_t now_us = 1000000;
	std::vector<std::unique_ptr<Node>> nodes;
	std::map<std::string, int> group;
	std::multimap<uint64_t, std::function<void()>> events;
	std::vector<std::string> pools;
	/** Executors accept the highest token that they have seen. */
	std::map<std::string, uint64_t> fence;
	std::map<std::string, std::string> reached_by;

	~Net()
	{
		for (auto &n : nodes)
			ph_cluster_free(n->members);
	}

	static void on_acquire(void *ctx, const char *pool, uint64_t token)
	{
		Node *n = static_cast<Node *>(ctx);

		n->owned[pool] = token;
		n->acquisitions++;
	}

	static void on_release(void *ctx, const char *pool)
	{
		static_cast<Node *>(ctx)->owned.erase(pool);
	}

	static void on_send_heartbeat(void *ctx, const char *addr,
				      const ph_member *m)
	{
		Node *from = static_cast<Node *>(ctx);
		Net *net = from->net;
		std::string to = addr;
		auto msg = std::make_shared<ph_poolmsg>();

		from->greetings++;
		msg->type = PH_POOLMSG_HEARTBEAT;
		snprintf(msg->name, sizeof(msg->name), "%s",
			 from->name.c_str());
		snprintf(msg->domain, sizeof(msg->domain), "%s",
			 from->domain.c_str());
		snprintf(msg->addr, sizeof(msg->addr), "%s",
			 from->name.c_str());
		msg->incarnation = kUnixMs + from->born_us / 1000;
		msg->leaving = from->leaving;
		msg->cpu_milli = from->cpu;
		msg->interval_us =
			m ? ph_cluster_interval_us(from->members, m) : 0;
		for (const auto &o : from->owned) {
			ph_claim *c = &msg->claims[msg->claim_count++];

			snprintf(c->domain, sizeof(c->domain), "%s",
				 o.first.c_str());
			c->token = o.second;
			c->offered = ph_cluster_pool_offered(
				from->members, net->now_us, o.first.c_str());
		}
		if (net->group[from->name] != net->group[to])
			return;
		if (!net->find(to)->up) {
			net->events.emplace(net->now_us + kMs, [net, from, to] {
				ph_cluster_connection_refused(from->members, net->now_us,
						   to.c_str());
			});
			return;
		}
		net->events.emplace(net->now_us + kMs, [net, to, msg] {
			Node *n = net->find(to);

			if (n && n->up && !n->frozen)
				ph_cluster_heartbeat_received(n->members, net->now_us,
						 msg.get());
		});
	}

	static void on_nothing(void *, const char *)
	{
	}

	Node *find(const std::string &name)
	{
		for (auto &n : nodes)
			if (n->name == name)
				return n.get();
		return nullptr;
	}

	void boot(Node *n)
	{
		ph_cluster_options o = {};

		ph_cluster_free(n->members);
		n->born_us = now_us;
		n->owned.clear();
		n->up = true;
		n->leaving = false;
		o.mem = ph_mem_default();
		o.name = n->name.c_str();
		o.domain = n->domain.c_str();
		o.addr = n->name.c_str();
		o.incarnation = kUnixMs + now_us / 1000;
		o.heartbeat_us = 100 * kMs;
		o.suspect_us = 350 * kMs;
		o.start_us = now_us;
		o.cpu_milli = n->cpu;
		n->members = ph_cluster_new(&o);
		for (const std::string &p : pools) {
			char name[1][PH_NAME_BYTES];

			snprintf(name[0], sizeof(name[0]), "%s", p.c_str());
			ph_cluster_add_pools(n->members, name, 1);
		}
		for (auto &other : nodes)
			ph_cluster_add_contact(n->members, other->name.c_str());
	}

	void add(const std::string &name, const std::string &domain,
		 uint32_t cpu = 250)
	{
		nodes.emplace_back(new Node);
		nodes.back()->net = this;
		nodes.back()->name = name;
		nodes.back()->domain = domain;
		nodes.back()->cpu = cpu;
	}

	void boot_all()
	{
		ph_log_quiet(1);
		for (auto &n : nodes)
			boot(n.get());
	}

	/* Executors of a pool tell an owner that its token is outdated. */
	void show_tokens(Node *n, const ph_cluster_sink *sink)
	{
		std::map<std::string, uint64_t> owned = n->owned;

		for (const auto &o : owned) {
			std::string domain =
				o.first.substr(0, o.first.find('#'));

			/* Executors are cut off with their domain. */
			if (group[n->name] != group[domain])
				continue;
			if (o.second >= fence[o.first])
				fence[o.first] = o.second;
			else
				ph_cluster_fenced(n->members, now_us,
						  kUnixMs + now_us / 1000,
						  o.first.c_str(), sink, n);
		}
	}

	void run_until(uint64_t us)
	{
		static const ph_cluster_sink sink = { on_acquire, on_release,
						      on_send_heartbeat,
						      on_nothing, on_nothing };

		while (now_us < us) {
			now_us += kTickUs;
			while (!events.empty() &&
			       events.begin()->first <= now_us) {
				auto what = events.begin()->second;

				events.erase(events.begin());
				what();
			}
			for (auto &n : nodes) {
				if (!n->up || n->frozen)
					continue;
				ph_cluster_tick(n->members, now_us,
						kUnixMs + now_us / 1000, &sink,
						n.get());
				show_tokens(n.get(), &sink);
			}
		}
	}

	std::vector<Node *> owners(const std::string &pool)
	{
		std::vector<Node *> list;

		for (auto &n : nodes)
			if (n->up && n->owned.count(pool))
				list.push_back(n.get());
		return list;
	}
};

void two_domains(Net *net)
{
	net->pools = { "north", "south" };
	for (const char *name : { "n1", "n2", "n3" })
		net->add(name, "north");
	for (const char *name : { "s1", "s2" })
		net->add(name, "south");
	net->boot_all();
	net->run_until(net->now_us + 2000 * kMs);
}

TEST(Members, EveryPoolHasOneOwnerOfItsOwnDomain)
{
	Net net;

	two_domains(&net);
	for (const std::string &pool : net.pools) {
		ASSERT_EQ(net.owners(pool).size(), 1U) << pool;
		EXPECT_EQ(net.owners(pool)[0]->domain, pool);
		EXPECT_EQ(net.owners(pool)[0]->acquisitions, 1);
	}
}

/* All instances lose power and return one after the other: each pool has an
 * owner of its domain soon after the first is back, and one in the end. */
TEST(Members, AfterARestartOfAllEachPoolIsOwnedSoon)
{
	constexpr uint64_t kOwnedWithinUs = 400 * kMs;

	for (uint64_t gap_ms : { 0, 40, 100 }) {
		SCOPED_TRACE(gap_ms);
		Net net;
		uint64_t t0;

		two_domains(&net);
		for (auto &n : net.nodes)
			n->up = false;
		net.run_until(net.now_us + 1200 * kMs);
		t0 = net.now_us;
		/* The first of north, the first of south, and the others. */
		for (const char *name : { "n1", "s1", "n2", "s2", "n3" }) {
			net.boot(net.find(name));
			net.run_until(net.now_us + gap_ms * kMs);
		}
		net.run_until(t0 + gap_ms * kMs * 4 + kOwnedWithinUs);
		for (const std::string &pool : net.pools)
			EXPECT_FALSE(net.owners(pool).empty()) << pool;
		net.run_until(net.now_us + 1000 * kMs);
		for (const std::string &pool : net.pools) {
			ASSERT_EQ(net.owners(pool).size(), 1U) << pool;
			EXPECT_EQ(net.owners(pool)[0]->domain, pool);
		}
	}
}

struct LossCase {
	const char *what;
	void (*strike)(Net *, Node *);
	/** Time in which another owner is there. */
	uint64_t within_us;
};

const LossCase loss_cases[] = {
	{ "killed", [](Net *, Node *n) { n->up = false; }, 700 * kMs },
	{ "frozen", [](Net *, Node *n) { n->frozen = true; }, 700 * kMs },
	{ "cut off alone", [](Net *net, Node *n) { net->group[n->name] = 1; },
	  700 * kMs },
	{ "leaving",
	  [](Net *, Node *n) {
		  n->leaving = true;
		  ph_cluster_leave(n->members);
	  },
	  400 * kMs },
};

TEST(Members, AnotherOwnerFollowsALostOne)
{
	for (const LossCase &c : loss_cases) {
		SCOPED_TRACE(c.what);
		Net net;
		Node *old;
		std::vector<Node *> now;

		two_domains(&net);
		old = net.owners("north")[0];
		c.strike(&net, old);
		net.run_until(net.now_us + c.within_us);
		now = net.owners("north");
		now.erase(std::remove(now.begin(), now.end(), old), now.end());
		ASSERT_EQ(now.size(), 1U);
		EXPECT_EQ(now[0]->domain, "north");
		/* What was lost comes back and does not claim it again. */
		old->frozen = false;
		net.group[old->name] = 0;
		net.run_until(net.now_us + 2000 * kMs);
		EXPECT_EQ(net.owners("north").size(), 1U);
	}
}

TEST(Members, AnOwnerKeepsItsPoolWhenOthersStart)
{
	Net net;
	Node *owner;
	Node *other;

	two_domains(&net);
	owner = net.owners("north")[0];
	other = net.find(owner->name == "n1" ? "n2" : "n1");
	net.boot(other);
	net.run_until(net.now_us + 3000 * kMs);
	ASSERT_EQ(net.owners("north").size(), 1U);
	EXPECT_EQ(net.owners("north")[0], owner);
}

TEST(Members, ACutDomainKeepsItsOwnerThroughTheHeal)
{
	for (uint64_t cut_ms : { 500, 1500, 2500, 3500, 5500 }) {
		SCOPED_TRACE(cut_ms);
		Net net;
		Node *owner;

		two_domains(&net);
		owner = net.owners("south")[0];
		for (const char *name : { "s1", "s2", "south" })
			net.group[name] = 1;
		net.run_until(net.now_us + cut_ms * kMs);
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

TEST(Members, ADomainWithoutInstancesIsAdopted)
{
	Net net;

	two_domains(&net);
	net.find("s1")->up = false;
	net.find("s2")->up = false;
	net.run_until(net.now_us + 1200 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "north");
	net.boot(net.find("s1"));
	net.run_until(net.now_us + 2500 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->name, "s1");
}

TEST(Members, ADomainThatMayBeCutOffIsNotAdoptedAtOnce)
{
	Net net;

	two_domains(&net);
	for (const char *name : { "s1", "s2", "south" })
		net.group[name] = 1;
	net.run_until(net.now_us + 1500 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "south");
}

TEST(Members, ALeavingLastInstanceIsFollowedByAnAdopter)
{
	Net net;
	Node *last;

	two_domains(&net);
	net.find("s1")->up = false;
	net.run_until(net.now_us + 1500 * kMs);
	last = net.find("s2");
	ASSERT_TRUE(last->owned.count("south"));
	last->leaving = true;
	ph_cluster_leave(last->members);
	net.run_until(net.now_us + 600 * kMs);
	ASSERT_EQ(net.owners("south").size(), 1U);
	EXPECT_EQ(net.owners("south")[0]->domain, "north");
}

TEST(Members, AllStartedAnewFindOneOwnerEach)
{
	Net net;

	two_domains(&net);
	for (auto &n : net.nodes)
		n->up = false;
	net.run_until(net.now_us + 1000 * kMs);
	for (auto &n : net.nodes)
		net.boot(n.get());
	net.run_until(net.now_us + 2000 * kMs);
	for (const std::string &pool : net.pools)
		EXPECT_EQ(net.owners(pool).size(), 1U) << pool;
}

TEST(Members, ShardsGoWhereTheProcessorsAre)
{
	Net net;
	std::map<std::string, size_t> owned;

	net.pools = { "north", "north#1", "north#2", "north#3" };
	net.add("big1", "north", 500);
	net.add("big2", "north", 500);
	for (const char *name : { "s1", "s2", "s3", "s4" })
		net.add(name, "north", 120);
	net.boot_all();
	net.run_until(net.now_us + 3000 * kMs);
	for (auto &n : net.nodes)
		owned[n->name] = n->owned.size();
	EXPECT_EQ(owned["big1"], 2U);
	EXPECT_EQ(owned["big2"], 2U);
	/* After a restart of one they are spread again. */
	net.find("big1")->up = false;
	net.run_until(net.now_us + 1500 * kMs);
	net.boot(net.find("big1"));
	net.run_until(net.now_us + 8000 * kMs);
	EXPECT_GE(net.find("big1")->owned.size(), 1U);
	for (const std::string &pool : net.pools)
		EXPECT_EQ(net.owners(pool).size(), 1U) << pool;
}

/* More pools than fixed tables held, and more than one heartbeat tells of: all
 * that the instances can tell of are owned, once, and none changes hands. */
TEST(Members, AnInstanceOwnsAsManyPoolsAsItCanTellOf)
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
		Net net;
		size_t owned = 0;
		int acquired = 0;

		for (int i = 0; i < c.pools; i++)
			net.pools.push_back(i ? "north#" + std::to_string(i)
					      : "north");
		for (int i = 0; i < c.instances; i++)
			net.add("n" + std::to_string(i), "north");
		net.boot_all();
		net.run_until(net.now_us + 6000 * kMs);
		for (auto &n : net.nodes)
			acquired += n->acquisitions;
		net.run_until(net.now_us + 1000 * kMs);
		for (const std::string &pool : net.pools) {
			EXPECT_LE(net.owners(pool).size(), 1U) << pool;
			owned += net.owners(pool).size();
		}
		for (auto &n : net.nodes) {
			EXPECT_LE(n->owned.size(), PH_CLAIMS_MAX);
			acquired -= n->acquisitions;
		}
		EXPECT_EQ(owned, c.owned);
		EXPECT_EQ(acquired, 0);
	}
}

/* Each address is greeted, however many there are. */
TEST(Members, EveryContactIsGreeted)
{
	constexpr int kContacts = 600;
	std::set<std::string> greeted;
	static const ph_cluster_sink sink = {
		[](void *, const char *, uint64_t) {},
		[](void *, const char *) {},
		[](void *ctx, const char *addr, const ph_member *) {
			static_cast<std::set<std::string> *>(ctx)->insert(addr);
		},
		[](void *, const char *) {},
		[](void *, const char *) {},
	};
	ph_cluster_options o = {};

	o.mem = ph_mem_default();
	o.name = "n1";
	o.domain = "north";
	o.addr = "n1";
	o.heartbeat_us = 100 * kMs;
	o.suspect_us = 350 * kMs;
	ph_cluster *members = ph_cluster_new(&o);

	for (int i = 0; i < kContacts; i++)
		ph_cluster_add_contact(members, ("c" + std::to_string(i)).c_str());
	ph_cluster_tick(members, 1000 * kMs, kUnixMs, &sink, &greeted);
	EXPECT_EQ(greeted.size(), (size_t)kContacts);
	ph_cluster_free(members);
}

/* A large domain loses power: each shard is owned as soon as a single pool
 * would be, by the instances with the most processor. */
TEST(Members, AfterARestartOfAllEachShardIsOwnedSoon)
{
	constexpr uint64_t kOwnedWithinUs = 400 * kMs;
	constexpr int kShards = 7;

	for (uint64_t stagger_us : { 0 * kMs, 10 * kMs }) {
		SCOPED_TRACE(stagger_us);
		Net net;

		for (int i = 0; i < kShards; i++)
			net.pools.push_back(i ? "north#" + std::to_string(i)
					      : "north");
		for (int i = 0; i < 30; i++)
			net.add("n" + std::to_string(i), "north",
				i < 3 ? 500 : 120);
		net.boot_all();
		net.run_until(net.now_us + 3000 * kMs);
		for (auto &n : net.nodes)
			n->up = false;
		net.run_until(net.now_us + 1300 * kMs);
		for (auto &n : net.nodes) {
			net.boot(n.get());
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

/* All instances restart behind a time of day that has jumped back: executors
 * remember tokens from ahead of it, and nobody else does. */
TEST(Members, ATokenBehindTheExecutorsRisesFast)
{
	constexpr uint64_t kHourMs = 3600 * 1000;

	for (uint64_t behind_ms : { 2400UL, 60000UL, 3 * kHourMs }) {
		SCOPED_TRACE(behind_ms);
		Net net;
		uint64_t remembered = (kUnixMs + behind_ms) << 8;

		net.pools = { "north" };
		for (const char *name : { "n1", "n2", "n3" })
			net.add(name, "north");
		net.boot_all();
		net.fence["north"] = remembered;
		/* 0.3 s until the claim, 0.1 s for each refusal. */
		net.run_until(net.now_us + 1500 * kMs);
		ASSERT_EQ(net.owners("north").size(), 1U);
		EXPECT_GE(net.owners("north")[0]->owned["north"], remembered);
	}
}

/* The most capable instance of a domain reads the list of executors for it. */
TEST(Members, OneInstanceOfALargeDomainReadsTheList)
{
	const struct {
		const char *what;
		int instances;
		/** Which one leaves or dies; -1: none. */
		int leaves;
		int dies;
		/** The reader, "" if each reads by itself. */
		const char *reader;
	} cases[] = {
		{ "a small domain", 3, -1, -1, "" },
		{ "the one with the most processor", 5, -1, -1, "n2" },
		{ "the next when it leaves", 5, 2, -1, "n0" },
		{ "or dies", 5, -1, 2, "n0" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Net net;

		net.pools = { "north" };
		for (int i = 0; i < c.instances; i++)
			net.add("n" + std::to_string(i), "north",
				i == 2 ? 500 : 120);
		net.boot_all();
		net.run_until(net.now_us + 1000 * kMs);
		if (c.leaves >= 0) {
			net.nodes[c.leaves]->leaving = true;
			ph_cluster_leave(net.nodes[c.leaves]->members);
		}
		if (c.dies >= 0)
			net.nodes[c.dies]->up = false;
		net.run_until(net.now_us + 1000 * kMs);
		for (auto &n : net.nodes) {
			const ph_member *reader;

			if (!n->up)
				continue;
			bool other = ph_cluster_list_reader(n->members, net.now_us,
						       &reader);

			EXPECT_EQ(other, *c.reader && n->name != c.reader);
			if (other) {
				EXPECT_STREQ(reader->name, c.reader);
			}
		}
	}
}

size_t hello_bytes()
{
	ph_poolmsg hello = {};
	ph_buf out;
	size_t len;

	hello.type = PH_POOLMSG_HEARTBEAT;
	snprintf(hello.name, sizeof(hello.name), "edge-zona-cordoba-29");
	snprintf(hello.domain, sizeof(hello.domain), "zona-cordoba");
	snprintf(hello.addr, sizeof(hello.addr), "10.222.222.222:8166");
	hello.incarnation = kUnixMs;
	hello.list_digest = UINT64_MAX;
	hello.clock_us = kUnixMs;
	ph_buf_init(&out, ph_mem_default());
	ph_poolmsg_encode(&hello, &out);
	len = out.len;
	ph_buf_free(&out);
	return len;
}

/* Hundreds of instances: what one that owns nothing sends stays within the
 * bytes that a node may spend on control. */
TEST(Members, AmongManyAnIdleInstanceSendsFewHeartbeats)
{
	constexpr int kDomains = 5;
	constexpr int kInstances = 30;
	constexpr uint64_t kSeconds = 4;
	constexpr size_t kBytesASecond = 24000;
	Net net;

	for (int d = 0; d < kDomains; d++) {
		std::string domain = "d" + std::to_string(d);

		net.pools.push_back(domain);
		for (int i = 0; i < kInstances; i++)
			net.add(domain + "-" + std::to_string(i), domain,
				i ? 120 : 500);
	}
	net.boot_all();
	net.run_until(net.now_us + 4000 * kMs);
	for (auto &n : net.nodes)
		n->greetings = 0;
	net.run_until(net.now_us + kSeconds * 1000 * kMs);
	for (auto &n : net.nodes) {
		EXPECT_EQ(net.owners(n->domain).size(), 1U);
		EXPECT_FALSE(ph_cluster_minority(n->members, net.now_us));
		if (!n->owned.empty())
			continue;
		EXPECT_LE(n->greetings * hello_bytes(),
			  kBytesASecond * kSeconds)
			<< n->name;
	}
}

} // namespace
