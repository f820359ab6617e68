#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster_network.h"

namespace
{

using namespace cluster_test;

/* One domain with a pool for each of the first owners. */
void one_domain(Network *net, int instances, int pools)
{
	for (int i = 0; i < pools; i++)
		net->pools.push_back(i ? "north#" + std::to_string(i)
				       : "north");
	for (int i = 0; i < instances; i++)
		net->add("n" + std::to_string(i), "north");
	net->start_all();
	net->run_until(net->now_us + 3000 * kMs);
}

std::map<std::string, Instance *> owners_of_all(Network *net)
{
	std::map<std::string, Instance *> owner;

	for (const std::string &pool : net->pools)
		if (net->owners(pool).size() == 1)
			owner[pool] = net->owners(pool)[0];
	return owner;
}

std::vector<Instance *> without_pools(Network *net)
{
	std::vector<Instance *> list;

	for (auto &n : net->instances)
		if (n->owned.empty())
			list.push_back(n.get());
	return list;
}

/* Time within which the heartbeats that an instance gets from peers which knew
 * it before its restart begin: they are sent every 0.3 s. */
constexpr uint64_t kContactUs = 300 * kMs;

/* Guards against a claim of a pool whose owner is alive: an instance that
 * starts without a list of the others, as behind a partition from the store,
 * hears one peer first. */
TEST(ClusterStart, AnInstanceThatKnowsOnePeerClaimsNoPoolOfALiveOwner)
{
	for (size_t restarted : { 1, 2 }) {
		for (uint64_t down_us = 400 * kMs;
		     down_us < 400 * kMs + kContactUs; down_us += 2 * kTickUs) {
			SCOPED_TRACE(down_us);
			Network net;
			std::map<std::string, Instance *> before;
			std::vector<Instance *> idle;

			one_domain(&net, 6, 3);
			before = owners_of_all(&net);
			ASSERT_EQ(before.size(), 3U);
			idle = without_pools(&net);
			ASSERT_EQ(idle.size(), 3U);
			for (size_t i = 0; i < restarted; i++)
				idle[i]->running = false;
			net.run_until(net.now_us + down_us);
			for (size_t i = 0; i < restarted; i++) {
				idle[i]->contact = idle[2]->name;
				net.start(idle[i]);
			}
			net.run_until(net.now_us + 2000 * kMs);
			EXPECT_EQ(owners_of_all(&net), before);
			EXPECT_EQ(net.acquisitions(), 3);
		}
	}
}

} // namespace
