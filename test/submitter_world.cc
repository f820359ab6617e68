#include "submitter_world.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "log.h"
#include "pool_shard.h"
}

namespace submitter_world
{
namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kHeartbeatUs = 100 * kMs;
constexpr uint64_t kOneWayUs = 300;
constexpr uint32_t kTaskMilli = 8000;
constexpr uint32_t kTasksPerExecutor = 2;
constexpr double kLateMs = 50;

/* Kinds of jobs of a large site: number of tasks, run time of a task, jobs per
 * second. */
constexpr struct {
	uint32_t count;
	double run_ms;
	double rate;
} kJobKinds[] = { { 8, 60, 309 }, { 4, 900, 56 }, { 2, 200, 900 } };

struct Task {
	int job;
	uint64_t run_us;
};

struct Pool {
	std::string name;
	uint32_t busy = 0;
	std::deque<Task> queue;
};

struct Event {
	uint64_t at_us;
	int pool;
	bool operator>(const Event &other) const
	{
		return at_us > other.at_us;
	}
};

struct World;

struct Submitter {
	World *world;
	std::string name;
	ph_cluster *cluster;
	ph_submitter *submitter;
};

struct World {
	Load load;
	uint64_t now_us = 1000000;
	std::vector<Pool> pools;
	std::vector<std::unique_ptr<Submitter>> submitters;
	std::priority_queue<Event, std::vector<Event>, std::greater<Event>>
		ends;
	std::vector<uint64_t> sent_us;
	std::vector<double> wait_ms;
	double run_ms = 0;
	uint64_t last_seq = 0;
	Submitter *last_submitter = nullptr;

	explicit World(const Load &l);
	~World();
	void start_queued(Pool *p);
	void advance_to(uint64_t us);
	void broadcast_loads();
	void submit(Submitter *s, uint32_t count, double ms);
};

void on_send(void *ctx, const ph_owner *, const ph_poolmsg *msg)
{
	Submitter *s = static_cast<Submitter *>(ctx);
	World *w = s->world;

	if (msg->type != PH_POOLMSG_SUBMIT)
		return;
	for (Pool &p : w->pools) {
		if (p.name != msg->pool)
			continue;
		for (uint32_t i = 0; i < msg->batch_request->count; i++)
			p.queue.push_back({ (int)w->sent_us.size() - 1,
					    (uint64_t)(w->run_ms * kMs) });
		w->start_queued(&p);
	}
	w->last_submitter = s;
	w->last_seq = msg->seq;
}

void on_own_load(void *, const char *, ph_pool_load *load)
{
	*load = {};
}

void on_answer(void *, uint64_t, ph_job_outcome, uint64_t, uint64_t)
{
}

bool on_caller_connected(void *, uint64_t)
{
	return true;
}

World::World(const Load &l) : load(l)
{
	static const ph_submitter_sink sink = { on_send, on_own_load, on_answer,
						on_caller_connected };

	for (int i = 0; i < l.pools; i++) {
		pools.emplace_back();
		pools.back().name = ph_pool_shard_name("north", (uint32_t)i);
	}
	for (int i = 0; i < l.submitters; i++) {
		auto s = std::make_unique<Submitter>();
		ph_cluster_options m = {};
		ph_submitter_options o = {};

		s->world = this;
		s->name = "submitter-" + std::to_string(i);
		m.mem = ph_mem_default();
		m.name = s->name.c_str();
		m.domain = "north";
		m.addr = s->name.c_str();
		m.incarnation = 1;
		m.heartbeat_us = kHeartbeatUs;
		m.suspect_us = 350 * kMs;
		s->cluster = ph_cluster_new(&m);
		for (const Pool &p : pools) {
			const char *name = p.name.c_str();

			ph_cluster_add_pools(s->cluster, &name, 1);
		}
		o.mem = ph_mem_default();
		o.name = m.name;
		o.domain = "north";
		o.policy = l.policy;
		o.cluster = s->cluster;
		o.sink = &sink;
		o.ctx = s.get();
		s->submitter = ph_submitter_new(&o);
		submitters.push_back(std::move(s));
	}
}

World::~World()
{
	for (auto &s : submitters) {
		ph_submitter_free(s->submitter);
		ph_cluster_free(s->cluster);
	}
}

/* Starts queued tasks while the pool has free slots. */
void World::start_queued(Pool *p)
{
	while (!p->queue.empty() &&
	       p->busy < (uint32_t)load.executors * kTasksPerExecutor) {
		Task t = p->queue.front();

		p->queue.pop_front();
		p->busy++;
		ends.push({ now_us + t.run_us, (int)(p - pools.data()) });
		wait_ms[(size_t)t.job] = std::max(
			wait_ms[(size_t)t.job],
			(double)(now_us - sent_us[(size_t)t.job]) / kMs);
	}
}

void World::advance_to(uint64_t us)
{
	while (!ends.empty() && ends.top().at_us <= us) {
		Event e = ends.top();

		ends.pop();
		now_us = e.at_us;
		pools[(size_t)e.pool].busy--;
		start_queued(&pools[(size_t)e.pool]);
	}
	now_us = us;
}

/* Sends one heartbeat of every pool's owner to all submitters. */
void World::broadcast_loads()
{
	for (const Pool &p : pools) {
		ph_poolmsg m = {};
		ph_claim *c = &m.claims[0];
		uint64_t backlog = 0;

		m.type = PH_POOLMSG_HEARTBEAT;
		m.name = ph_intern(("owner-" + p.name).c_str());
		m.domain = "north";
		snprintf(m.addr, sizeof(m.addr), "%s", m.name);
		m.incarnation = 1;
		m.interval_us = kHeartbeatUs;
		m.clock_us = now_us;
		m.claim_count = 1;
		c->pool_name = ph_intern(p.name.c_str());
		c->token = 1;
		c->load.usable = (uint32_t)load.executors;
		c->load.capacity_milli = (uint32_t)load.executors *
					 kTasksPerExecutor * kTaskMilli;
		c->load.free_milli =
			c->load.capacity_milli - p.busy * kTaskMilli;
		for (const Task &t : p.queue)
			backlog += t.run_us * kTaskMilli;
		c->load.backlog_milli_us = backlog;
		for (auto &s : submitters)
			ph_cluster_heartbeat_received(s->cluster, now_us, &m);
	}
}

void World::submit(Submitter *s, uint32_t count, double ms)
{
	ph_batch_request *work = static_cast<ph_batch_request *>(
		ph_mem_default()->calloc(1, sizeof(ph_batch_request)));
	ph_result done = {};

	snprintf(work->job, sizeof(work->job), "job%zu", sent_us.size());
	work->count = count;
	work->need.cpu_milli = kTaskMilli;
	work->estimate_us = (uint64_t)(ms * kMs);
	work->target_us = work->estimate_us * 2;
	work->caller_timeout_us = 10000 * kMs;
	sent_us.push_back(now_us);
	wait_ms.push_back(0);
	run_ms = ms;
	ph_submitter_submit(s->submitter, now_us, 1, work);
	done.verdict = PH_VERDICT_DONE;
	done.reason = "";
	ph_submitter_result(last_submitter->submitter, now_us, last_seq, &done);
}

double imbalance(const World &w)
{
	double most = 0;
	double sum = 0;

	for (const Pool &p : w.pools) {
		double n = p.busy + (double)p.queue.size();

		most = std::max(most, n);
		sum += n;
	}
	return sum > 0 ? most * (double)w.pools.size() / sum : 1;
}

} // namespace

Result simulate(const Load &load)
{
	ph_log_quiet(1);
	World w(load);
	std::mt19937 rng(load.seed);
	std::uniform_int_distribution<size_t> which(0, w.submitters.size() - 1);
	std::discrete_distribution<size_t> kind(
		{ kJobKinds[0].rate, kJobKinds[1].rate, kJobKinds[2].rate });
	double work_ms = 0;
	double rates = 0;
	double task_slots =
		(double)load.pools * load.executors * kTasksPerExecutor;
	double imbalance_sum = 0;
	int heartbeats = 0;
	Result s;

	for (const auto &k : kJobKinds) {
		work_ms += k.rate * k.count * k.run_ms;
		rates += k.rate;
	}
	std::exponential_distribution<double> gap(load.factor * task_slots *
						  1000 / (work_ms / rates));
	uint64_t end = w.now_us + (uint64_t)(load.seconds * 1000 * kMs);
	uint64_t next_heartbeat_us = w.now_us;
	uint64_t next = w.now_us;

	while (w.now_us < end) {
		if (next_heartbeat_us <= next) {
			w.advance_to(next_heartbeat_us);
			w.broadcast_loads();
			imbalance_sum += imbalance(w);
			heartbeats++;
			next_heartbeat_us += kHeartbeatUs;
			continue;
		}
		w.advance_to(next);
		const auto &k = kJobKinds[kind(rng)];

		w.submit(w.submitters[which(rng)].get(), k.count, k.run_ms);
		next += 1 + (uint64_t)(gap(rng) * 1000 * kMs);
	}
	w.advance_to(end + 10000 * kMs);
	std::sort(w.wait_ms.begin(), w.wait_ms.end());
	s.jobs = (int)w.wait_ms.size();
	for (double ms : w.wait_ms) {
		s.mean_wait_ms += ms / s.jobs;
		s.late_share += (ms > kLateMs) / (double)s.jobs;
	}
	s.p99_wait_ms = w.wait_ms[(size_t)(s.jobs * 0.99)];
	s.max_over_mean = imbalance_sum / heartbeats;
	return s;
}

} // namespace submitter_world
