/*
 * Jobs as a site's callers submit them: three kinds, with log-normally
 * distributed sizes and run times, some of them many times as long, played
 * against one pool of simulated executors.
 */
#ifndef PH_TEST_JOB_MIX_H
#define PH_TEST_JOB_MIX_H

#include <random>
#include <vector>

#include "pool_world.h"

namespace job_mix
{

/** One kind of job. */
struct Kind {
	const char *name;
	/** Rate of a whole site of kSiteExecutors. */
	double jobs_per_s;
	/** Number of tasks, mean and maximum. */
	double width;
	double width_max;
	/** Run time of a task, mean and maximum. */
	double run_ms;
	double run_max_ms;
	uint32_t priority;
	/** Credit for a job of mean size that ends in time. */
	double mean_credit;
};

constexpr int kKindCount = 3;
extern const Kind kKinds[kKindCount];
/** The kind of which some jobs are made longer. */
constexpr int kLongKind = 1;
constexpr double kSiteExecutors = 48;
/** CPU that a task needs, mean. */
constexpr double kCpuMilli = 6800;
/** Latency target: this many run times, and some more. A job that misses it but
 * ends within kLateTargets targets is late; one that takes longer is of no use.
 */
constexpr double kTargetFactor = 1.6;
constexpr double kTargetExtraMs = 60;
constexpr double kLateTargets = 3;

double target_ms(double run_ms);

/** A job of a kind; its tasks run for run_ms, and its declared run time is a
 * rough estimate of that. */
ph_batch_request job_of(const Kind &kind, int number, double length_factor,
			std::mt19937 *rng, double *run_ms);

/** The load during which all executors restart. */
struct Outage {
	int executors = 16;
	/** Rate of jobs, relative to the usual one. */
	double load = 1.0;
	/** Share of the jobs of kLongKind that are longer than usual, and by
	 * how much. */
	double long_share = 0.8;
	double long_factor = 20;
	/** Actual run time of these, relative to that by which the declared one
	 * is drawn. */
	double long_run_factor = 1;
	/** Longer jobs come from the beginning, or only after the outage. */
	double long_from_s = 0;
	/** When all executors crash, and for how long they are away; none: no
	 * outage. */
	double crash_s = 10;
	double down_s = 1.5;
	/** Time in which jobs arrive. */
	double seconds = 30;
	unsigned seed = 1;
};

/** What became of the jobs that arrived in a part of the time. */
struct Window {
	double from_s = 0;
	/** Jobs of usual length. */
	int asked = 0;
	int in_time = 0;
	int late = 0;
};

struct OutageResult {
	/** Two seconds each. */
	std::vector<Window> windows;
	/** Longer jobs: how many came, and ended in time or late enough to be
	 * of use, and how many of the rest have not run. */
	int long_asked = 0;
	int long_done = 0;
	int long_not_run = 0;
	/** Core time of the longer jobs that were done, relative to what all
	 * executors have while jobs arrive. */
	double long_part = 0;
	int concurrent_runs = 0;

	/** Share of the jobs of usual length that arrived within a time and
	 * ended in time. */
	double in_time_share(double from_s, double until_s) const;
};

constexpr double kWindowS = 2;

OutageResult simulate(const Outage &load);

} // namespace job_mix

#endif
