#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>

extern "C" {
#include "histogram.h"
#include "routing.h"
#include "pool_shard.h"
}

namespace
{

struct RouteCase {
	const char *host;
	const char *path;
	const char *route;
};

TEST(Routing, HostAndLongestPrefixSelectTheRoute)
{
	ph_route routes[3] = {};
	ph_routing routing = { nullptr, 1, 3, routes, 0 };
	const RouteCase cases[] = {
		{ "a.example", "/q/1", "short" },
		{ "a.example", "/q/r/1", "long" },
		{ "A.EXAMPLE:8080", "/q/1", "short" },
		{ "b.example", "/q/1", "other" },
		{ "c.example", "/q/1", nullptr },
		{ "a.example", "/x", nullptr },
		{ "", "", nullptr },
	};
	char fields[3][3][12] = { { "short", "a.example", "/q/" },
				  { "long", "a.example", "/q/r/" },
				  { "other", "b.example", "/q/" } };

	for (int i = 0; i < 3; i++) {
		routes[i].name = fields[i][0];
		routes[i].host = fields[i][1];
		routes[i].prefix = fields[i][2];
	}
	for (const RouteCase &c : cases) {
		const ph_route *r = ph_routing_find(&routing, c.host, c.path);

		SCOPED_TRACE(std::string(c.host) + c.path);
		ASSERT_EQ(r != nullptr, c.route != nullptr);
		if (r) {
			EXPECT_STREQ(r->name, c.route);
		}
	}
}

struct BucketCase {
	uint64_t us;
	uint32_t bucket;
};

TEST(Histogram, ATimeFallsIntoTheFirstBucketWithABoundNotBelowIt)
{
	const BucketCase cases[] = {
		{ 0, 0 },      { 1000, 0 },	{ 1001, 1 },
		{ 1414, 1 },   { 2000, 2 },	{ 64000, 12 },
		{ 64001, 13 }, { 5000000, 25 }, { 4000000, 24 },
	};

	for (const BucketCase &c : cases) {
		ph_histogram h = {};
		uint32_t expected = c.bucket < PH_HISTOGRAM_BUCKETS
					    ? c.bucket
					    : PH_HISTOGRAM_BUCKETS;

		ph_histogram_add(&h, c.us);
		EXPECT_EQ(h.counts[expected], 1U) << c.us;
	}
}

struct ShardCase {
	uint32_t before;
	uint32_t executors;
	uint32_t shards;
};

TEST(PoolShard, CountsGrowInStepsAndNeverFall)
{
	const ShardCase cases[] = {
		{ 0, 16, 1 },  { 1, 20, 1 },	   { 1, 48, 1 },
		{ 1, 49, 2 },  { 1, 117, 4 },	   { 2, 70, 2 },
		{ 4, 99, 4 },  { 4, 10, 4 },	   { 4, 152, 4 },
		{ 4, 200, 7 }, { 1, 40000, 1000 }, { 1000, 400000, 1000 },
	};

	for (const ShardCase &c : cases)
		EXPECT_EQ(ph_pool_shard_count(c.before, c.executors), c.shards)
			<< c.before << " " << c.executors;
}

TEST(PoolShard, AddingAShardMovesOnlyTheExecutorsItGets)
{
	std::map<uint32_t, int> sizes;

	for (int i = 0; i < 1000; i++) {
		std::string id = "i-" + std::to_string(i);
		uint32_t three = ph_pool_shard_of(id.c_str(), 3);
		uint32_t four = ph_pool_shard_of(id.c_str(), 4);

		sizes[four]++;
		if (four != three) {
			EXPECT_EQ(four, 3U);
		}
	}
	for (const auto &s : sizes) {
		EXPECT_GT(s.second, 200);
		EXPECT_LT(s.second, 300);
	}
}

struct NameCase {
	const char *domain;
	uint32_t shard;
	const char *name;
};

TEST(PoolShard, NamesHoldDomainAndNumber)
{
	const NameCase cases[] = {
		{ "north", 0, "north" },
		{ "north", 3, "north#3" },
		{ "a-very-long-domain-name-of-31-c", 2,
		  "a-very-long-domain-name-of-31-c#2" },
	};

	for (const NameCase &c : cases) {
		const char *name = ph_pool_shard_name(c.domain, c.shard);

		EXPECT_STREQ(name, c.name);
		EXPECT_TRUE(ph_pool_shard_in(name, c.domain));
		EXPECT_FALSE(ph_pool_shard_in(name, "nort"));
		EXPECT_EQ(ph_pool_shard_number(name), c.shard);
	}
}

} // namespace
