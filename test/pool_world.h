/*
 * Simulated executors for the tests of the pool. Like a platform's executors
 * they enforce leases, tokens and run numbers, keep ends until these are
 * acknowledged, and answer after a delay. Tests can inject faults. Time is
 * simulated, and nothing is random.
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
#include "intern.h"
#include "log.h"
#include "pool.h"
}

namespace world
{

constexpr uint64_t kMs = 1000;
/** Interval of ph_pool_tick(). */
constexpr uint64_t kTickUs = 10 * kMs;
constexpr uint64_t kLeaseUs = 700 * kMs;
constexpr uint64_t kStopUs = 50 * kMs;
/** Longest lease that an executor grants. */
constexpr uint64_t kLeaseMaxUs = 2 * kLeaseUs;
/** One-way network latency. */
constexpr uint64_t kLatencyUs = 200;

struct Run {
	std::string key;
	std::string job;
	uint32_t index;
	uint64_t run;
	uint32_t cpu;
	uint64_t begin_us;
	uint64_t end_us;
	bool fails;
	bool stopped = false;
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
	/** When the clock of its incarnation began; it then reads 1. */
	uint64_t clock_began_us = 0;
	/** Its clock runs this much slower than the owners'. */
	uint32_t clock_slow_percent = 0;
	uint64_t token = 0;
	uint64_t lease_until_us = 0;
	uint64_t next_end = 1;
	std::vector<Run> running;
	std::vector<End> ends;
	std::map<std::string, uint64_t> highest_run;

	/* Injected faults. */
	/** Numbers of the owners whose calls don't reach this executor. */
	std::set<int> unreachable_from;
	/** Numbers of the owners whose polls it carries out, but which don't
	 * get the answers. */
	std::set<int> unheard_by;
	bool fails_all = false;
	/** Polls are answered this much later. */
	uint64_t poll_delay_us = 0;
	/** Start commands are carried out, but their answers are lost. */
	bool loses_start_answers = false;
	/** One call of this many is lost before it arrives; 0: none. */
	uint32_t loses_one_call_in = 0;
	/** Calls sent here while calls get lost; decides which are lost. */
	uint32_t calls = 0;
	/** Start commands are carried out this much later, and not answered; 0:
	 * none. */
	uint64_t start_delay_us = 0;
	/** A delayed start outlives the incarnation that it was sent to: the
	 * next one carries it out. */
	bool starts_outlive_restarts = true;
	/** A delayed start is accepted when it arrives: it is carried out even
	 * if the end of its lease has passed by then. */
	bool accepts_on_arrival = false;
	/** The delayed starts that were not carried out yet. */
	std::vector<std::function<void()>> held;
	/** It is missing from the platform's list. */
	bool unlisted = false;
	/** Its answers don't tell its clock. */
	bool hides_clock = false;
	/** Stop commands don't arrive, all other calls do. */
	bool loses_stops = false;
	/** Stop commands are carried out this much later, and not answered; 0:
	 * none. */
	uint64_t stop_delay_us = 0;
	/** Stop commands are carried out, but answered this much later. */
	uint64_t stop_answer_delay_us = 0;
	/** A run goes on for this long after its stop. */
	uint64_t stop_takes_us = 0;
	/** The answers to polls arrive this much later. */
	uint64_t poll_answer_delay_us = 0;
	/** Called once, when it answers the next poll. */
	std::function<void()> on_poll_answer;
	/** Factor on the run times. */
	double slow = 1.0;
	/** Crashes so far; the calls that waited there are not answered. */
	uint32_t crashes = 0;
	/** A restart resets no connection: the calls that waited there time
	 * out. */
	bool restarts_silently = false;
	/** Has crashed and not started again: nothing is carried out. */
	bool down = false;
	/** Refuses connections. */
	bool refuses = false;
	/** Where it can't be reached, connections are not established, so that
	 * calls are known not to have been sent. */
	bool drops_connections = false;
};

/** An instance that owns, or may own, the pool, and the results it sent. */
struct Owner {
	int number;
	ph_pool *pool = nullptr;
	struct World *world = nullptr;
	/** The process is suspended: no ticks, and answers are lost. */
	bool frozen = false;
	/** By batch number. */
	std::map<uint64_t, ph_result> results;
	/** Time of the result, by batch number. */
	std::map<uint64_t, uint64_t> result_us;
	/** What it told of starts that may still be carried out, and when, by
	 * batch number. */
	std::map<uint64_t, std::pair<uint64_t, ph_unconfirmed>> told;
	/** Called when it tells that a batch is accepted. */
	std::function<void(uint64_t seq, const ph_unconfirmed &starts)>
		on_accepted;
};

struct World {
	uint64_t now_us = 1000000;
	std::vector<Executor> executors;
	std::vector<Owner *> owners;
	std::multimap<uint64_t, std::function<void()>> events;
	/** Number of times that a run began while another run of its task was
	 * running; must stay 0. */
	int concurrent_runs = 0;
	/** Number of successful runs by task ("job.index"). */
	std::map<std::string, int> done;
	/** Number of runs started on all executors. */
	int starts = 0;
	/** Number of starts refused for their token. */
	int refused_tokens = 0;
	/** Run time of each task, by job. */
	std::map<std::string, uint64_t> duration_us;
	/** Cores of each task in thousandths, by job. */
	std::map<std::string, uint32_t> cpu_of;
	/** The evacuated domains, for owners that are added later. */
	const ph_evacuation *evacuation = nullptr;
	/** Owners tell nothing of their starts, as an earlier version. */
	bool starts_untold = false;
	/** Share of its declared cores that a run is reported to use. */
	uint32_t reported_cpu_percent = 100;

	World(size_t count, uint32_t cpu);
	~World();

	Owner *
	add_owner(const ph_scheduling_policy *policy = &ph_scheduling_slack);
	/** Sends the list of all executors to an owner. Returns whether it
	 * still tracks others. */
	bool list(Owner *owner);
	/** Schedules what for the simulated time us. */
	void at(uint64_t us, std::function<void()> what);
	/** Advances the simulated time. */
	void run_until(uint64_t us);
	/** Submits a batch of identical tasks and returns its number; all times
	 * are in microseconds. */
	uint64_t submit(Owner *owner, const std::string &job, uint32_t count,
			uint64_t duration, uint64_t estimate, uint64_t target,
			uint64_t caller_timeout, uint64_t sent_us = 0);
	/** Submits a copy of request; its tasks run for duration. */
	uint64_t submit_request(Owner *owner, const ph_batch_request &request,
				uint64_t duration);
	/** Submits a batch again, as resumed, to another owner; with the state
	 * that "from" reported, if it did, and what it told of starts. */
	void resubmit(Owner *from, Owner *to, uint64_t seq);
	/** True if the owner has reported this verdict. */
	bool ended(const Owner *owner, uint64_t seq, ph_verdict verdict) const;

	Executor *find(const std::string &id);
	/** The executor restarts with the same id and has forgotten all; its
	 * clock begins anew. */
	void restart(Executor *x) const;
	/** Carries out the starts now that an executor has delayed so far. */
	void carry_out_held(const std::string &id);
	/** Ends everything on an executor, which no call reaches for down_us
	 * and which then is a new incarnation. Until then it refuses
	 * connections, or, if silent, leaves calls unanswered. */
	void crash(Executor *x, uint64_t down_us, bool silent = false);

      private:
	/* The unconfirmed starts of a job's tasks, as its submitter knows
	 * them. */
	struct Told {
		ph_unconfirmed starts = {};
		uint64_t at_us = 0;
	};

	uint64_t last_seq = 0;
	std::map<uint64_t, ph_batch_request> requests;
	std::map<std::string, Told> told_before;

	ph_unconfirmed told_starts(const Owner *from, uint64_t seq);

	void report_starts();
	void step_executors();
	friend struct Calls;
};

/** An owner that has acquired the pool, under the token 1000, for_us ago. */
Owner *ready_owner(World *w, uint64_t for_us = 50 * kMs,
		   const ph_scheduling_policy *policy = &ph_scheduling_slack);

} // namespace world

#endif
