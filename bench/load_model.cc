/*
 * A day's load on one pool, in simulated time: jobs of three kinds, as the
 * users' first site sends them, meet executors in memory. It shows which order
 * of starts serves a burst best, without a network and in seconds.
 */
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

#include <argtable2.h>

#include "submitter_world.h"
#include "pool_world.h"

extern "C" {
#include "pool_impl.h"
}

namespace
{

using namespace world;

/* One kind of job: rate a second for a whole site of 48 executors, width and
 * run time with their spread, worth of a job in time. */
struct Kind {
	const char *name;
	double per_s;
	double width;
	double width_max;
	double run_ms;
	double run_max_ms;
	uint32_t priority;
	double worth;
};

const Kind kinds[] = {
	{ "short and wide", 34.4, 8, 32, 60, 240, 0, 0.0291 },
	{ "long", 6.25, 4, 16, 900, 3600, 2, 0.16 },
	{ "small", 100, 2, 8, 200, 800, 1, 0.01 },
};

constexpr int kKinds = 3;
constexpr double kSiteExecutors = 48;
constexpr double kSpread = 0.4;
constexpr double kEstimateOff = 0.4;
/* Aim: 1.6 times the work and 60 ms; three aims are late, then worthless. */
constexpr double kStretch = 1.6;
constexpr double kAimMs = 60;
constexpr double kLateAims = 3;
constexpr double kLateShare = 0.2;
/* Callers wait this long and five times the work. */
constexpr double kPatienceMs = 1500;
constexpr double kPatienceWorks = 5;
constexpr double kCpuMilli = 6800;
constexpr double kCpuSpread = 0.2;
constexpr double kCpuMax = 10000;

struct Load {
	int executors = 16;
	double seconds = 20;
	double factor = 1.0;
	double burst = 1.0;
	unsigned seed = 1;
	const ph_scheduling_policy *policy = &ph_scheduling_slack;
};

struct Sent {
	int kind;
	uint64_t at_us;
	double work_ms;
	double credit;
};

struct Tally {
	int asked = 0;
	int in_aim = 0;
	int late = 0;
	int refused = 0;
	int worthless = 0;
	/** Time until those were told that aren't run. */
	double refused_ms = 0;
	double owed = 0;
	double earned = 0;
};

double draw(std::mt19937 *rng, double mean, double spread, double max)
{
	double sigma = std::sqrt(std::log(1 + spread * spread));
	std::lognormal_distribution<double> d(
		std::log(mean) - sigma * sigma / 2, sigma);

	return std::min(d(*rng), max);
}

ph_batch_request job_of(const Kind &k, int number, std::mt19937 *rng,
			double *run_ms)
{
	std::uniform_real_distribution<double> off(1 - kEstimateOff,
						   1 + kEstimateOff);
	double width = std::max(
		1.0, std::round(draw(rng, k.width, kSpread, k.width_max)));
	double estimate;
	ph_batch_request w = {};

	*run_ms = draw(rng, k.run_ms, kSpread, k.run_max_ms);
	estimate = *run_ms * off(*rng);
	snprintf(w.job, sizeof(w.job), "j%d", number);
	snprintf(w.service, sizeof(w.service), "desk");
	w.count = (uint32_t)width;
	w.need = { (uint32_t)draw(rng, kCpuMilli, kCpuSpread, kCpuMax), 64, 0 };
	w.estimate_us = (uint64_t)(estimate * kMs);
	w.target_us = (uint64_t)((estimate * kStretch + kAimMs) * kMs);
	w.caller_timeout_us =
		(uint64_t)((kPatienceMs + kPatienceWorks * *run_ms) * kMs);
	w.priority = k.priority;
	w.max_attempts = 3;
	w.first_run = 100;
	return w;
}

/* Credit of a job against its kind's mean, as the users count it. */
double credit_of(const Kind &k, const ph_batch_request &w, double run_ms)
{
	double size = w.count * run_ms * w.need.cpu_milli /
		      (k.width * k.run_ms * kCpuMilli);

	return k.worth * std::min(4.0, 0.3 + 0.7 * size);
}

void settle(const Sent &s, const Owner *o, uint64_t seq, Tally *t)
{
	auto it = o->results.find(seq);
	double aim_ms = s.work_ms * kStretch + kAimMs;
	double took_ms;

	t->asked++;
	t->owed += s.credit;
	if (it == o->results.end() || it->second.verdict != PH_VERDICT_DONE) {
		t->refused++;
		if (it != o->results.end())
			t->refused_ms +=
				(double)(o->result_us.at(seq) - s.at_us) / kMs;
		return;
	}
	took_ms = (double)(o->result_us.at(seq) - s.at_us) / kMs;
	if (took_ms <= aim_ms) {
		t->in_aim++;
		t->earned += s.credit;
	} else if (took_ms <= kLateAims * aim_ms) {
		t->late++;
		t->earned += kLateShare * s.credit;
	} else {
		t->worthless++;
	}
}

void play(const Load &load, Tally *tallies)
{
	World w((size_t)load.executors, 16000);
	Owner *o = w.add_owner(load.policy);
	std::mt19937 rng(load.seed);
	std::map<uint64_t, Sent> sent;
	double rate[kKinds];
	double sum = 0;
	int number = 0;

	for (int i = 0; i < load.executors; i++) {
		w.executors[(size_t)i].cpu = i % 3 == 2 ? 24000 : 16000;
		w.executors[(size_t)i].slow = i % 3 == 1 ? 1 / 1.3 : 1.0;
	}
	w.list(o);
	ph_pool_acquire(o->pool, w.now_us, 1000);
	w.run_until(w.now_us + 50 * kMs);
	for (int k = 0; k < kKinds; k++) {
		rate[k] = kinds[k].per_s * load.factor * load.executors /
			  kSiteExecutors;
		sum += rate[k];
	}
	uint64_t t0 = w.now_us;
	uint64_t end = t0 + (uint64_t)(load.seconds * 1000 * kMs);
	std::discrete_distribution<int> which(rate, rate + kKinds);

	while (w.now_us < end) {
		/* The middle third of the time is a burst. */
		double at = (double)(w.now_us - t0) / (double)(end - t0);
		double x = at > 1 / 3.0 && at < 2 / 3.0 ? load.burst : 1.0;
		std::exponential_distribution<double> gap(sum * x);
		uint64_t next = w.now_us + (uint64_t)(gap(rng) * 1000 * kMs);
		int k = which(rng);
		double run_ms;
		ph_batch_request job =
			job_of(kinds[k], ++number, &rng, &run_ms);

		w.at(next, [&, k, job, run_ms] {
			sent[w.submit_request(o, job,
					   (uint64_t)(run_ms * kMs))] = {
				k, w.now_us, run_ms,
				credit_of(kinds[k], job, run_ms)
			};
		});
		w.run_until(next);
	}
	w.run_until(end + 6000 * kMs);
	for (const auto &it : sent)
		settle(it.second, o, it.first, &tallies[it.second.kind]);
}

void print(const char *name, const Tally &t)
{
	printf("%-16s %6d %6.3f %6.3f %6.3f %6.3f %8.0f   %6.3f\n", name,
	       t.asked, (double)t.in_aim / t.asked, (double)t.late / t.asked,
	       (double)t.worthless / t.asked, (double)t.refused / t.asked,
	       t.refused ? t.refused_ms / t.refused : 0, t.earned / t.owed);
}

void add(Tally *sum, const Tally &t)
{
	sum->asked += t.asked;
	sum->in_aim += t.in_aim;
	sum->late += t.late;
	sum->refused += t.refused;
	sum->refused_ms += t.refused_ms;
	sum->worthless += t.worthless;
	sum->owed += t.owed;
	sum->earned += t.earned;
}

void compare(Load load, int seeds)
{
	for (const ph_scheduling_policy *const *p = ph_scheduling_policies; *p; p++) {
		Tally kind[kKinds];
		Tally all;

		load.policy = *p;
		for (int s = 1; s <= seeds; s++) {
			load.seed = (unsigned)s;
			play(load, kind);
		}
		printf("%s: load %.2f, burst %.2f, %d seeds\n", (*p)->name,
		       load.factor, load.burst, seeds);
		printf("%-16s %6s %6s %6s %6s %7s %8s   %6s\n", "kind", "asked",
		       "in aim", "late", "later", "not run", "told ms",
		       "worth");
		for (int k = 0; k < kKinds; k++) {
			print(kinds[k].name, kind[k]);
			add(&all, kind[k]);
		}
		print("all", all);
	}
}

/* Choice of a pool by many fronts: each policy at the same loads. */
void compare_spread(int fronts, int pools, int seeds)
{
	printf("%-8s %6s %6s %8s %8s %8s %10s\n", "policy", "load", "jobs",
	       "mean ms", "p99 ms", "late", "most/mean");
	for (double factor : { 0.7, 0.85, 0.95, 1.1 }) {
		for (const ph_pool_choice_policy *const *p =
			     ph_pool_choice_policies;
		     *p; p++) {
			submitter_world::Spread sum;

			for (int seed = 1; seed <= seeds; seed++) {
				submitter_world::Load load;

				load.fronts = fronts;
				load.pools = pools;
				load.factor = factor;
				load.seed = (unsigned)seed;
				load.policy = *p;
				submitter_world::Spread s = play(load);

				sum.jobs += s.jobs;
				sum.mean_wait_ms += s.mean_wait_ms / seeds;
				sum.p99_wait_ms += s.p99_wait_ms / seeds;
				sum.late_share += s.late_share / seeds;
				sum.most_over_mean += s.most_over_mean / seeds;
			}
			printf("%-8s %6.2f %6d %8.1f %8.1f %8.3f %10.2f\n",
			       (*p)->name, factor, sum.jobs, sum.mean_wait_ms,
			       sum.p99_wait_ms, sum.late_share,
			       sum.most_over_mean);
		}
	}
}

} // namespace

int main(int argc, char **argv)
{
	struct arg_dbl *factor =
		arg_dbl0(NULL, "load", "X", "times the usual load (1)");
	struct arg_dbl *burst = arg_dbl0(NULL, "burst", "X",
					 "times that, a third of the time (2)");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "seeds (3)");
	struct arg_int *fronts =
		arg_int0(NULL, "fronts", "N",
			 "choice of a pool by so many fronts instead");
	struct arg_int *pools = arg_int0(NULL, "pools", "N",
					 "pools among which they choose (7)");
	struct arg_end *end = arg_end(4);
	void *table[] = { factor, burst, seeds, fronts, pools, end };
	int bad = arg_parse(argc, argv, table);
	Load load;

	if (bad) {
		arg_print_errors(stderr, end, "load-model");
		return 2;
	}
	load.factor = factor->count ? factor->dval[0] : 1.0;
	load.burst = burst->count ? burst->dval[0] : 2.0;
	if (fronts->count)
		compare_spread(fronts->ival[0],
			       pools->count ? pools->ival[0] : 7,
			       seeds->count ? seeds->ival[0] : 3);
	else
		compare(load, seeds->count ? seeds->ival[0] : 3);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
