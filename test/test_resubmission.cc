/* Whole instances in memory: the real cluster, submitter and pools of each, on
 * the simulated executors of pool_world. Shows what becomes of the runs of a
 * job when its caller, its submitter or the owner of its pool is lost. */
#include <gtest/gtest.h>

#include <cstring>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool_world.h"

extern "C" {
#include "cluster.h"
#include "submitter.h"
}

namespace
{

using namespace world;

constexpr uint64_t kUnixMs = 1800000000000;
constexpr uint64_t kHeartbeatUs = 100 * kMs;
constexpr uint64_t kSuspectUs = 350 * kMs;
/* One-way latency between instances. */
constexpr uint64_t kPeerLatencyUs = 500;
/* How often and how long the result of a batch is sent again. */
constexpr uint64_t kResultIntervalUs = 120 * kMs;
constexpr uint64_t kResultForUs = 3000 * kMs;
/* Time after which a caller that got no answer submits its job again. */
constexpr uint64_t kResendUs = 1300 * kMs;
const char *const kPool = "north";

struct Group;

/* A result that its submitter has not acknowledged. */
struct Unacked {
	uint64_t seq;
	ph_result result;
	uint64_t created_us;
	uint64_t sent_us;
};

struct Answer {
	ph_job_outcome outcome;
	uint64_t at_us;
};

/* One instance. */
struct Instance {
	Group *group;
	std::string name;
	std::string domain;
	uint64_t incarnation = 0;
	ph_cluster *cluster = nullptr;
	ph_submitter *submitter = nullptr;
	Owner *owner = nullptr;
	bool killed = false;
	bool leaving = false;
	std::list<Unacked> unacked;
	std::vector<Answer> answers;

	~Instance()
	{
		ph_submitter_free(submitter);
		ph_cluster_free(cluster);
	}
};

/* The instances of a group and the network between them. */
struct Group {
	World w;
	std::vector<std::unique_ptr<Instance>> instances;
	/** (from, to): messages in this direction are lost. */
	std::set<std::pair<std::string, std::string>> cut;

	explicit Group(size_t executors) : w(executors, 16000)
	{
	}

	Instance *find(const std::string &name)
	{
		for (auto &i : instances)
			if (i->name == name && !i->killed)
				return i.get();
		return nullptr;
	}

	/* Cuts both directions between two instances. */
	void separate(const std::string &a, const std::string &b)
	{
		cut.insert({ a, b });
		cut.insert({ b, a });
	}

	/* Delivers a message after the latency, if its way is not cut then. */
	void deliver(Instance *from, const std::string &to,
		     std::function<void(Instance *)> what)
	{
		std::string sender = from->name;

		w.at(w.now_us + kPeerLatencyUs, [=] {
			Instance *i = find(to);

			if (i && !cut.count({ sender, to }))
				what(i);
		});
	}

	/* ## Callbacks of the cluster */

	static void on_acquire(void *ctx, const char *, uint64_t token)
	{
		Instance *i = static_cast<Instance *>(ctx);

		ph_pool_acquire(i->owner->pool, i->group->w.now_us, token);
		ph_cluster_heartbeat_soon(i->cluster, PH_HEARTBEAT_ALL);
	}

	static void on_release(void *ctx, const char *)
	{
		Instance *i = static_cast<Instance *>(ctx);

		ph_pool_release(i->owner->pool, i->group->w.now_us);
		ph_cluster_heartbeat_soon(i->cluster, PH_HEARTBEAT_ALL);
	}

	static bool on_reaches(void *, const char *)
	{
		return true;
	}

	static void on_heartbeat(void *ctx, const char *addr,
				 const ph_member *m)
	{
		Instance *i = static_cast<Instance *>(ctx);
		Group *g = i->group;
		auto msg = std::make_shared<ph_poolmsg>();

		msg->type = PH_POOLMSG_HEARTBEAT;
		snprintf(msg->name, sizeof(msg->name), "%s", i->name.c_str());
		snprintf(msg->addr, sizeof(msg->addr), "%s", i->name.c_str());
		snprintf(msg->domain, sizeof(msg->domain), "%s",
			 i->domain.c_str());
		msg->incarnation = i->incarnation;
		msg->leaving = i->leaving;
		msg->interval_us = m ? ph_cluster_interval_us(i->cluster, m)
				     : kHeartbeatUs;
		msg->clock_us = g->w.now_us;
		msg->cpu_milli = 250;
		msg->heard_ago_us = m && m->heard_us ? g->w.now_us - m->heard_us
						     : UINT64_MAX;
		if (ph_pool_owned(i->owner->pool)) {
			ph_claim *c = &msg->claims[msg->claim_count++];

			snprintf(c->pool_name, sizeof(c->pool_name), "%s",
				 kPool);
			c->token = ph_pool_token(i->owner->pool);
			ph_pool_measure(i->owner->pool, g->w.now_us, &c->load);
		}
		g->deliver(i, addr, [=](Instance *to) {
			ph_cluster_heartbeat_received(to->cluster, g->w.now_us,
						      msg.get());
		});
	}

	static void on_reset(void *, const char *)
	{
	}

	static void on_member_lost(void *ctx, const char *name)
	{
		Instance *i = static_cast<Instance *>(ctx);

		ph_pool_submitter_lost(i->owner->pool, i->group->w.now_us,
				       name);
	}

	/* ## Callbacks of the submitter */

	static void on_send(void *ctx, const ph_owner *owner,
			    const ph_poolmsg *msg)
	{
		Instance *i = static_cast<Instance *>(ctx);
		Group *g = i->group;
		std::string from = i->name;
		uint64_t seq = msg->seq;
		uint64_t incarnation = msg->owner_incarnation;
		std::shared_ptr<ph_batch_request> batch;

		if (msg->type == PH_POOLMSG_CANCEL) {
			g->deliver(i, owner->name, [=](Instance *to) {
				g->handle_cancel(to, from, seq);
			});
			return;
		}
		batch.reset(ph_batch_request_copy(ph_mem_default(),
						  msg->batch_request),
			    [](ph_batch_request *b) {
				    ph_batch_request_free(ph_mem_default(), b);
			    });
		g->deliver(i, owner->name, [=](Instance *to) {
			g->handle_submit(to, from, seq, incarnation, *batch);
		});
	}

	static void on_own_load(void *ctx, const char *, ph_pool_load *load)
	{
		Instance *i = static_cast<Instance *>(ctx);

		ph_pool_measure(i->owner->pool, i->group->w.now_us, load);
	}

	static void on_answer(void *ctx, uint64_t, ph_job_outcome outcome,
			      uint64_t, uint64_t)
	{
		Instance *i = static_cast<Instance *>(ctx);

		i->answers.push_back({ outcome, i->group->w.now_us });
	}

	/* ## Received messages, handled as the dispatcher does */

	void handle_cancel(Instance *to, const std::string &from, uint64_t seq)
	{
		ph_pool_cancel(to->owner->pool, w.now_us, from.c_str(), seq);
		deliver(to, from, [=](Instance *i) {
			ph_submitter_cancelled(i->submitter, seq);
		});
	}

	void handle_submit(Instance *to, const std::string &from, uint64_t seq,
			   uint64_t incarnation, const ph_batch_request &batch)
	{
		deliver(to, from, [=](Instance *i) {
			ph_submitter_accepted(i->submitter, seq);
		});
		for (const Unacked &u : to->unacked)
			if (u.seq == seq)
				return;
		ASSERT_EQ(incarnation, to->incarnation);
		ph_pool_submit(to->owner->pool, w.now_us, from.c_str(), seq,
			       ph_batch_request_copy(ph_mem_default(), &batch));
		ph_pool_handle_changes(to->owner->pool, w.now_us);
	}

	/* Sends results to the submitters, which are told apart by the upper
	 * bits of the sequence numbers. */
	void send_results(Instance *o)
	{
		for (const auto &r : o->owner->results)
			o->unacked.push_back(
				{ r.first, r.second, w.now_us, 0 });
		o->owner->results.clear();
		o->unacked.remove_if([this](const Unacked &u) {
			return w.now_us > u.created_us + kResultForUs;
		});
		for (Unacked &u : o->unacked) {
			std::string to = instances[(u.seq >> 40) - 1]->name;
			std::string from = o->name;
			ph_result result = u.result;
			uint64_t seq = u.seq;

			if (w.now_us < u.sent_us + kResultIntervalUs)
				continue;
			u.sent_us = w.now_us;
			deliver(o, to, [=](Instance *s) {
				ph_submitter_result(s->submitter, w.now_us, seq,
						    &result);
				deliver(s, from, [seq](Instance *i) {
					i->unacked.remove_if(
						[seq](const Unacked &x) {
							return x.seq == seq;
						});
				});
			});
		}
	}

	/* ## Course of a test */

	Instance *add(const std::string &name, const std::string &domain)
	{
		static const ph_submitter_sink sink = { on_send, on_own_load,
							on_answer };
		ph_cluster_options c = {};
		ph_submitter_options s = {};
		char pool[1][PH_NAME_BYTES] = {};
		Instance *i;

		instances.emplace_back(new Instance);
		i = instances.back().get();
		i->group = this;
		i->name = name;
		i->domain = domain;
		i->incarnation = kUnixMs + w.now_us / kMs;
		i->owner = w.add_owner();
		c.mem = ph_mem_default();
		c.name = i->name.c_str();
		c.domain = i->domain.c_str();
		c.addr = i->name.c_str();
		c.incarnation = i->incarnation;
		c.heartbeat_us = kHeartbeatUs;
		c.suspect_us = kSuspectUs;
		c.start_us = w.now_us;
		c.cpu_milli = 250;
		i->cluster = ph_cluster_new(&c);
		snprintf(pool[0], sizeof(pool[0]), "%s", kPool);
		ph_cluster_add_pools(i->cluster, pool, 1);
		for (auto &other : instances) {
			ph_cluster_add_contact(i->cluster, other->name.c_str());
			ph_cluster_add_contact(other->cluster, i->name.c_str());
		}
		s.mem = ph_mem_default();
		s.name = c.name;
		s.domain = c.domain;
		s.policy = &ph_pool_choice_wait;
		s.cluster = i->cluster;
		s.first_seq = (uint64_t)instances.size() << 40;
		s.sink = &sink;
		s.ctx = i;
		i->submitter = ph_submitter_new(&s);
		return i;
	}

	void kill(Instance *i)
	{
		i->killed = true;
		i->owner->frozen = true;
	}

	void leave(Instance *i)
	{
		i->leaving = true;
		ph_cluster_leave(i->cluster);
		ph_cluster_heartbeat_soon(i->cluster, PH_HEARTBEAT_ALL);
	}

	void tick(Instance *i)
	{
		static const ph_cluster_sink sink = {
			on_acquire,   on_release, on_reaches,
			on_heartbeat, on_reset,	  on_member_lost
		};
		uint64_t unix_ms = kUnixMs + w.now_us / kMs;

		ph_cluster_tick(i->cluster, w.now_us, unix_ms, &sink, i);
		if (ph_pool_owned(i->owner->pool) &&
		    ph_pool_fenced(i->owner->pool))
			ph_cluster_fenced(i->cluster, w.now_us, unix_ms, kPool,
					  &sink, i);
		ph_submitter_tick(i->submitter, w.now_us);
		send_results(i);
	}

	void run_for(uint64_t us)
	{
		uint64_t until = w.now_us + us;

		while (w.now_us < until) {
			w.run_until(w.now_us + kTickUs);
			for (auto &i : instances)
				if (!i->killed)
					tick(i.get());
		}
	}

	/* Submits a job whose tasks run for duration at an instance. */
	void submit(Instance *at, const std::string &job, uint32_t count,
		    uint64_t duration)
	{
		ph_batch_request *b = static_cast<ph_batch_request *>(
			ph_mem_default()->calloc(1, sizeof(*b)));

		snprintf(b->job, sizeof(b->job), "%s", job.c_str());
		snprintf(b->service, sizeof(b->service), "desk");
		b->count = count;
		b->need = { 6800, 64, 0 };
		b->estimate_us = duration;
		b->target_us = 2 * duration;
		b->caller_timeout_us = 4 * duration;
		b->max_attempts = 3;
		b->first_run = w.now_us / 1000000;
		b->spec = ph_memdup(ph_mem_default(), "x", 1);
		b->spec_len = 1;
		w.duration_us[job] = duration;
		w.cpu_of[job] = b->need.cpu_milli;
		ph_submitter_submit(at->submitter, w.now_us, 1, b);
	}

	size_t running() const
	{
		size_t n = 0;

		for (const Executor &x : w.executors)
			n += x.running.size();
		return n;
	}

	Instance *owner_of_pool()
	{
		for (auto &i : instances)
			if (!i->killed && ph_pool_owned(i->owner->pool))
				return i.get();
		return nullptr;
	}
};

/* Two instances of the pool's domain and a submitter of another one. */
struct Trio : Group {
	Instance *first;
	Instance *next;
	Instance *submitter;

	Trio() : Group(4)
	{
		add("n1", "north");
		add("n2", "north");
		submitter = add("s1", "south");
		run_for(1500 * kMs);
		first = owner_of_pool();
		next = first == instances[0].get() ? instances[1].get()
						   : instances[0].get();
	}
};

/* An owner that its submitter no longer hears, but that hears the submitter,
 * goes on renewing the leases of the runs of a batch which the submitter has
 * resumed at another owner. */
TEST(Resubmission, AResumedBatchDoesNotRunOnAtAnOwnerThatIsNotHeard)
{
	const struct {
		const char *what;
		/** Executors that the new owner cannot reach. */
		std::vector<int> unreachable;
	} cases[] = {
		{ "all executors reachable", {} },
		{ "one executor unreachable from the new owner", { 0 } },
		{ "most executors unreachable from the new owner",
		  { 0, 1, 2 } },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Trio t;

		ASSERT_NE(t.first, nullptr);
		t.submit(t.submitter, "a", 4, 3000 * kMs);
		t.run_for(200 * kMs);
		ASSERT_EQ(t.running(), 4U);
		t.separate(t.first->name, t.next->name);
		t.cut.insert({ t.first->name, t.submitter->name });
		for (int x : c.unreachable)
			t.w.executors[x].unreachable_from.insert(
				t.next->owner->number);
		t.run_for(6000 * kMs);
		EXPECT_EQ(t.w.concurrent_runs, 0);
	}
}

/* The owner hands the pool over as planned, but its submitter no longer hears
 * it and cancels the batch there: that must not stop the runs, which the new
 * owner keeps. */
TEST(Resubmission, ACancellationAfterAHandOverInterruptsNoRuns)
{
	Trio t;

	ASSERT_NE(t.first, nullptr);
	t.submit(t.submitter, "a", 4, 2000 * kMs);
	t.run_for(200 * kMs);
	ASSERT_EQ(t.running(), 4U);
	t.cut.insert({ t.first->name, t.submitter->name });
	t.run_for(330 * kMs);
	t.leave(t.first);
	t.run_for(2000 * kMs);
	EXPECT_EQ(t.owner_of_pool(), t.next);
	ASSERT_EQ(t.submitter->answers.size(), 1U);
	EXPECT_EQ(t.submitter->answers[0].outcome, PH_JOB_COMPLETED);
	EXPECT_EQ(t.w.starts, 4);
}

} // namespace
