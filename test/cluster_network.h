#ifndef PH_TEST_CLUSTER_NETWORK_H
#define PH_TEST_CLUSTER_NETWORK_H

/* A simulated network of instances for tests of the cluster. */

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "cluster.h"
#include "ident.h"
#include "intern.h"
#include "log.h"
}

namespace cluster_test
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kTickUs = 10 * kMs;
constexpr uint64_t kUnixMs = 1800000000000;

struct Network;

struct Instance {
	Network *net;
	std::string name;
	std::string domain;
	uint32_t cpu;
	uint64_t started_us;
	ph_cluster *cluster = nullptr;
	std::map<std::string, uint64_t> owned;
	/** Tokens that executors have accepted. */
	std::set<uint64_t> accepted;
	bool running = true;
	bool frozen = false;
	bool leaving = false;
	/** False: an instance of an earlier version. */
	bool reports_owners = true;
	/** The only contact that it knows at its start; empty: all. */
	std::string contact;
	int acquisitions = 0;
	int heartbeats_sent = 0;
	/** Peers whose loss was reported. */
	int losses = 0;
	/** New connections that were asked for. */
	int renewals = 0;
};

/* A simulated network. Heartbeats between instances arrive after a millisecond,
 * or never if the instances are in different groups (a network partition). */
struct Network {
	uint64_t now_us = 1000000;
	/** Time until a heartbeat is handled, or a refused dial is known. */
	uint64_t latency_us = kMs;
	std::vector<std::unique_ptr<Instance>> instances;
	std::map<std::string, int> group;
	std::multimap<uint64_t, std::function<void()>> events;
	std::vector<std::string> pools;
	/** Highest token that the executors of each pool have seen; they reject
	 * lower ones. */
	std::map<std::string, uint64_t> highest_token_seen;
	std::map<std::string, std::string> reached_by;
	/** Connections, from one instance to another, that have gone silent for
	 * good. A new one that is dialed takes their place. */
	std::set<std::pair<std::string, std::string>> severed;
	bool new_connections_work = true;
	/** An instance sends heartbeats at once when it claims or releases a
	 * pool, as the dispatcher does. */
	bool announces_changes = false;
	/** Pools that were claimed although an instance of their domain owned
	 * them and would have kept them. */
	int taken = 0;

	~Network()
	{
		for (auto &n : instances)
			ph_cluster_free(n->cluster);
	}

	/* Whether an instance of the pool's domain other than n owns it and
	 * keeps it. */
	bool kept_by_other(const Instance *n, const char *pool)
	{
		std::string name = pool;
		std::string domain = name.substr(0, name.find('#'));

		for (auto &o : instances)
			if (o.get() != n && o->running && !o->leaving &&
			    o->domain == domain && o->owned.count(name) &&
			    !ph_cluster_pool_offered(o->cluster, now_us, pool))
				return true;
		return false;
	}

	static void on_acquire(void *ctx, const char *pool, uint64_t token)
	{
		Instance *n = static_cast<Instance *>(ctx);

		n->net->taken += n->net->kept_by_other(n, pool);
		n->owned[pool] = token;
		n->acquisitions++;
		if (n->net->announces_changes)
			ph_cluster_heartbeat_soon(n->cluster, PH_HEARTBEAT_ALL);
	}

	static void on_release(void *ctx, const char *pool)
	{
		Instance *n = static_cast<Instance *>(ctx);

		n->owned.erase(pool);
		if (n->net->announces_changes)
			ph_cluster_heartbeat_soon(n->cluster, PH_HEARTBEAT_ALL);
	}

	static void on_send_heartbeat(void *ctx, const char *addr,
				      const ph_member *m)
	{
		Instance *from = static_cast<Instance *>(ctx);
		Network *net = from->net;
		std::string to = addr;
		auto msg = std::make_shared<ph_poolmsg>();

		from->heartbeats_sent++;
		msg->type = PH_POOLMSG_HEARTBEAT;
		msg->name = ph_intern(from->name.c_str());
		msg->domain = ph_intern(from->domain.c_str());
		snprintf(msg->addr, sizeof(msg->addr), "%s",
			 from->name.c_str());
		msg->incarnation = kUnixMs + from->started_us / 1000;
		msg->leaving = from->leaving;
		msg->cpu_milli = from->cpu;
		msg->clock_us = net->now_us;
		msg->heard_ago_us = m && m->heard_us ? net->now_us - m->heard_us
						     : UINT64_MAX;
		msg->interval_us =
			m ? ph_cluster_interval_us(from->cluster, m) : 0;
		for (const auto &o : from->owned) {
			ph_claim *c = &msg->claims[msg->claim_count++];

			c->pool_name = ph_intern(o.first.c_str());
			c->token = o.second;
			c->offered = ph_cluster_pool_offered(
				from->cluster, net->now_us, o.first.c_str());
		}
		if (from->reports_owners)
			msg->reported_owner_count = ph_cluster_report_owners(
				from->cluster, net->now_us, m,
				msg->reported_owners);
		if (net->group[from->name] != net->group[to] ||
		    net->severed.count({ from->name, to }))
			return;
		if (!net->find(to)->running) {
			net->events.emplace(
				net->now_us + net->latency_us, [net, from, to] {
					ph_cluster_connection_refused(
						from->cluster, net->now_us,
						to.c_str());
				});
			return;
		}
		net->events.emplace(net->now_us + net->latency_us, [net, to,
								    msg] {
			Instance *n = net->find(to);

			if (n && n->running && !n->frozen)
				ph_cluster_heartbeat_received(
					n->cluster, net->now_us, msg.get());
		});
	}

	/* Executors are in the group of their domain. */
	static bool on_reaches(void *ctx, const char *pool)
	{
		Instance *n = static_cast<Instance *>(ctx);
		std::string name = pool;

		return n->net->group[n->name] ==
		       n->net->group[name.substr(0, name.find('#'))];
	}

	static void on_renew(void *ctx, const char *addr, ph_link_doubt)
	{
		Instance *from = static_cast<Instance *>(ctx);
		Network *net = from->net;

		from->renewals++;
		if (net->new_connections_work &&
		    net->group[from->name] == net->group[addr])
			net->severed.erase({ from->name, addr });
	}

	static void on_lost(void *ctx, const char *)
	{
		static_cast<Instance *>(ctx)->losses++;
	}

	/* Connections from one group of instances to another go silent; an
	 * empty name stands for all. */
	void sever(const std::string &from, const std::string &to)
	{
		for (auto &a : instances)
			for (auto &b : instances)
				if (a != b &&
				    (from.empty() || a->name == from) &&
				    (to.empty() || b->name == to))
					severed.insert({ a->name, b->name });
	}

	int acquisitions()
	{
		int n = 0;

		for (auto &i : instances)
			n += i->acquisitions;
		return n;
	}

	Instance *find(const std::string &name)
	{
		for (auto &n : instances)
			if (n->name == name)
				return n.get();
		return nullptr;
	}

	void start(Instance *n)
	{
		ph_cluster_options o = {};

		ph_cluster_free(n->cluster);
		/* A new process has no old connections. */
		for (auto &other : instances)
			severed.erase({ n->name, other->name });
		n->started_us = now_us;
		n->owned.clear();
		n->running = true;
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
		n->cluster = ph_cluster_new(&o);
		for (const std::string &p : pools) {
			const char *name = p.c_str();

			ph_cluster_add_pools(n->cluster, &name, 1);
		}
		for (auto &other : instances)
			if (n->contact.empty() || n->contact == other->name)
				ph_cluster_add_contact(n->cluster,
						       other->name.c_str());
	}

	void add(const std::string &name, const std::string &domain,
		 uint32_t cpu = 250)
	{
		instances.emplace_back(new Instance);
		instances.back()->net = this;
		instances.back()->name = name;
		instances.back()->domain = domain;
		instances.back()->cpu = cpu;
	}

	void start_all()
	{
		ph_log_quiet(1);
		for (auto &n : instances)
			start(n.get());
	}

	/* Executors reject the token of an owner if they know a higher one. */
	void check_tokens(Instance *n, const ph_cluster_sink *sink)
	{
		std::map<std::string, uint64_t> owned = n->owned;

		for (const auto &o : owned) {
			std::string domain =
				o.first.substr(0, o.first.find('#'));

			/* Executors are in the group of their domain. */
			if (group[n->name] != group[domain])
				continue;
			if (o.second >= highest_token_seen[o.first]) {
				highest_token_seen[o.first] = o.second;
				n->accepted.insert(o.second);
			} else
				ph_cluster_fenced(n->cluster, now_us,
						  kUnixMs + now_us / 1000,
						  o.first.c_str(),
						  n->accepted.count(o.second),
						  sink, n);
		}
	}

	void run_until(uint64_t us)
	{
		static const ph_cluster_sink sink = {
			on_acquire,	   on_release, on_reaches,
			on_send_heartbeat, on_renew,   on_lost
		};

		while (now_us < us) {
			now_us += kTickUs;
			while (!events.empty() &&
			       events.begin()->first <= now_us) {
				auto deliver = events.begin()->second;

				events.erase(events.begin());
				deliver();
			}
			for (auto &n : instances) {
				if (!n->running || n->frozen)
					continue;
				ph_cluster_tick(n->cluster, now_us,
						kUnixMs + now_us / 1000, &sink,
						n.get());
				check_tokens(n.get(), &sink);
			}
		}
	}

	std::vector<Instance *> owners(const std::string &pool)
	{
		std::vector<Instance *> list;

		for (auto &n : instances)
			if (n->running && n->owned.count(pool))
				list.push_back(n.get());
		return list;
	}
};

} // namespace cluster_test

#endif
