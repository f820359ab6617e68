/*
 * Executors in memory for the tests of the pool: they keep leases, tokens and
 * ends as a platform's executors do, answer after a delay, and can fail in the
 * ways that the tests name. Time is simulated; nothing is random.
 */
#ifndef PH_TEST_POOL_WORLD_H
#define PH_TEST_POOL_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "log.h"
#include "pool.h"
}

namespace world
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kTickUs = 10 * kMs;
constexpr uint64_t kLeaseUs = 700 * kMs;
constexpr uint64_t kStopUs = 50 * kMs;
constexpr uint64_t kWayUs = 200;

struct Run {
	std::string key;
	std::string job;
	uint32_t index;
	uint64_t run;
	uint32_t cpu;
	uint64_t begin_us;
	uint64_t end_us;
	bool fails;
};

struct End {
	uint64_t number;
	Run run;
	ph_end how;
};

struct Executor {
	std::string id;
	uint32_t cpu = 16000;
	uint64_t started_ms = 1;
	uint64_t token = 0;
	uint64_t lease_until_us = 0;
	uint64_t next_end = 1;
	std::vector<Run> running;
	std::vector<End> ends;
	std::map<std::string, uint64_t> top_run;

	/* Faults. */
	std::set<int> cut_from;
	bool fails_all = false;
	bool loses_start_answers = false;
	/** Of so many calls one gets no answer and does nothing; 0: none. */
	uint32_t loses_one_in = 0;
	uint32_t calls = 0;
	/** Starts are carried out this much later, without an answer. */
	uint64_t starts_late_us = 0;
	double slow = 1.0;
};

/** One pool decider and what it has said. */
struct Owner {
	int number;
	ph_pool *pool = nullptr;
	struct World *world = nullptr;
	bool frozen = false;
	std::map<uint64_t, ph_result> results;
	std::map<uint64_t, uint64_t> result_us;
};

struct World {
	uint64_t now_us = 1000000;
	std::vector<Executor> executors;
	std::vector<Owner *> owners;
	std::multimap<uint64_t, std::function<void()>> events;
	/** Times that a second run of a task began beside the first. */
	int twice = 0;
	std::map<std::string, int> done;
	int starts = 0;
	std::map<std::string, uint64_t> duration_us;
	std::map<std::string, uint32_t> cpu_of;

	World(size_t count, uint32_t cpu);
	~World();

	Owner *add_owner(const ph_scheduling_policy *policy = &ph_scheduling_slack);
	/** Lists all executors at an owner. */
	void list(Owner *owner);
	void at(uint64_t us, std::function<void()> what);
	void run_until(uint64_t us);
	/** A batch of equal tasks; returns its handle. */
	uint64_t submit(Owner *owner, const std::string &job, uint32_t count,
			uint64_t duration, uint64_t estimate, uint64_t aim,
			uint64_t give_up, uint64_t sent_us = 0);
	/** Any batch, whose tasks run for duration; the work is copied. */
	uint64_t submit_work(Owner *owner, const ph_batch_request &work,
			     uint64_t duration);
	/** Submits a moved batch to another owner. */
	void follow(Owner *from, Owner *to, uint64_t seq);
	bool ended(const Owner *owner, uint64_t seq, ph_verdict verdict) const;

	Executor *find(const std::string &id);

      private:
	uint64_t last_seq = 0;
	std::map<uint64_t, ph_batch_request> works;

	void step_executors();
	friend struct Calls;
};

} // namespace world

#endif
