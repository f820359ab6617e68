/*
 * Simulates the load of a site on one pool and compares the policies for the
 * order of starts during a burst: jobs of three kinds run on executors in
 * memory, in simulated time. With --fronts it compares the policies for the
 * choice of a pool instead, with --long it shows how jobs of usual length are
 * served beside much longer ones, before and after a restart of all executors.
 */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

#include <argtable2.h>

#include "job_mix.h"
#include "submitter_world.h"

extern "C" {
#include "pool_impl.h"
}

namespace
{

using namespace world;
using namespace job_mix;

constexpr double kLateCreditShare = 0.2;

struct Load {
	int executors = 16;
	double seconds = 20;
	/** Rate of jobs, relative to the usual one. */
	double factor = 1.0;
	/** Rate during the burst, relative to the rate before and after. */
	double burst = 1.0;
	unsigned seed = 1;
	const ph_scheduling_policy *policy = &ph_scheduling_slack;
};

/* A submitted job. */
struct Sent {
	int kind;
	uint64_t at_us;
	/** Run time of a task. */
	double run_ms;
	double credit;
};

struct Tally {
	int submitted = 0;
	int in_time = 0;
	int late = 0;
	int not_run = 0;
	int too_late = 0;
	/** Sum of the response times of jobs that were not completed. */
	double not_run_ms = 0;
	double max_credit = 0;
	double earned_credit = 0;
};

/* Credit of a job that ends in time: that of its kind, scaled by the job's size
 * relative to the mean size, up to four times. */
double credit_of(const Kind &k, const ph_batch_request &w, double run_ms)
{
	double size = w.count * run_ms * w.need.cpu_milli /
		      (k.width * k.run_ms * kCpuMilli);

	return k.mean_credit * std::min(4.0, 0.3 + 0.7 * size);
}

void tally_job(const Sent &s, const Owner *o, uint64_t seq, Tally *t)
{
	auto it = o->results.find(seq);
	double limit_ms = target_ms(s.run_ms);
	double response_ms;

	t->submitted++;
	t->max_credit += s.credit;
	if (it == o->results.end() || it->second.verdict != PH_VERDICT_DONE) {
		t->not_run++;
		if (it != o->results.end())
			t->not_run_ms +=
				(double)(o->result_us.at(seq) - s.at_us) / kMs;
		return;
	}
	response_ms = (double)(o->result_us.at(seq) - s.at_us) / kMs;
	if (response_ms <= limit_ms) {
		t->in_time++;
		t->earned_credit += s.credit;
	} else if (response_ms <= kLateTargets * limit_ms) {
		t->late++;
		t->earned_credit += kLateCreditShare * s.credit;
	} else {
		t->too_late++;
	}
}

void simulate(const Load &load, Tally *tallies)
{
	World w((size_t)load.executors, 16000);
	Owner *o = w.add_owner(load.policy);
	std::mt19937 rng(load.seed);
	std::map<uint64_t, Sent> sent;
	double rate[kKindCount];
	double sum = 0;
	int number = 0;

	for (int i = 0; i < load.executors; i++) {
		w.executors[(size_t)i].cpu = i % 3 == 2 ? 24000 : 16000;
		w.executors[(size_t)i].slow = i % 3 == 1 ? 1 / 1.3 : 1.0;
	}
	w.list(o);
	ph_pool_acquire(o->pool, w.now_us, 1000);
	w.run_until(w.now_us + 50 * kMs);
	for (int k = 0; k < kKindCount; k++) {
		rate[k] = kKinds[k].jobs_per_s * load.factor * load.executors /
			  kSiteExecutors;
		sum += rate[k];
	}
	uint64_t t0 = w.now_us;
	uint64_t end = t0 + (uint64_t)(load.seconds * 1000 * kMs);
	std::discrete_distribution<int> which(rate, rate + kKindCount);

	while (w.now_us < end) {
		/* The middle third of the time is a burst. */
		double at = (double)(w.now_us - t0) / (double)(end - t0);
		double x = at > 1 / 3.0 && at < 2 / 3.0 ? load.burst : 1.0;
		std::exponential_distribution<double> gap(sum * x);
		uint64_t next = w.now_us + (uint64_t)(gap(rng) * 1000 * kMs);
		int k = which(rng);
		double run_ms;
		ph_batch_request job =
			job_of(kKinds[k], ++number, 1, &rng, &run_ms);

		w.at(next, [&, k, job, run_ms] {
			sent[w.submit_request(o, job,
					      (uint64_t)(run_ms * kMs))] = {
				k, w.now_us, run_ms,
				credit_of(kKinds[k], job, run_ms)
			};
		});
		w.run_until(next);
	}
	w.run_until(end + 6000 * kMs);
	for (const auto &it : sent)
		tally_job(it.second, o, it.first, &tallies[it.second.kind]);
}

void print(const char *name, const Tally &t)
{
	printf("%-16s %6d %7.3f %6.3f %8.3f %7.3f %9.0f   %6.3f\n", name,
	       t.submitted, (double)t.in_time / t.submitted,
	       (double)t.late / t.submitted, (double)t.too_late / t.submitted,
	       (double)t.not_run / t.submitted,
	       t.not_run ? t.not_run_ms / t.not_run : 0,
	       t.earned_credit / t.max_credit);
}

void add_tally(Tally *sum, const Tally &t)
{
	sum->submitted += t.submitted;
	sum->in_time += t.in_time;
	sum->late += t.late;
	sum->not_run += t.not_run;
	sum->not_run_ms += t.not_run_ms;
	sum->too_late += t.too_late;
	sum->max_credit += t.max_credit;
	sum->earned_credit += t.earned_credit;
}

void compare_start_order(Load load, int seeds)
{
	for (const ph_scheduling_policy *const *p = ph_scheduling_policies; *p;
	     p++) {
		Tally kind[kKindCount];
		Tally all;

		load.policy = *p;
		for (int s = 1; s <= seeds; s++) {
			load.seed = (unsigned)s;
			simulate(load, kind);
		}
		printf("%s: load %.2f, burst %.2f, %d seeds\n", (*p)->name,
		       load.factor, load.burst, seeds);
		printf("%-16s %6s %7s %6s %8s %7s %9s   %6s\n", "kind", "jobs",
		       "in time", "late", "too late", "not run", "answer ms",
		       "credit");
		for (int k = 0; k < kKindCount; k++) {
			print(kKinds[k].name, kind[k]);
			add_tally(&all, kind[k]);
		}
		print("all", all);
	}
}

/* Runs each policy for the choice of a pool with many submitters, at the same
 * loads. */
void compare_pool_choice(int submitters, int pools, int seeds)
{
	printf("%-8s %6s %6s %8s %8s %8s %10s\n", "policy", "load", "jobs",
	       "mean ms", "p99 ms", "late", "max/mean");
	for (double factor : { 0.7, 0.85, 0.95, 1.1 }) {
		for (const ph_pool_choice_policy *const *p =
			     ph_pool_choice_policies;
		     *p; p++) {
			submitter_world::Result sum;

			for (int seed = 1; seed <= seeds; seed++) {
				submitter_world::Load load;

				load.submitters = submitters;
				load.pools = pools;
				load.factor = factor;
				load.seed = (unsigned)seed;
				load.policy = *p;
				submitter_world::Result s = simulate(load);

				sum.jobs += s.jobs;
				sum.mean_wait_ms += s.mean_wait_ms / seeds;
				sum.p99_wait_ms += s.p99_wait_ms / seeds;
				sum.late_share += s.late_share / seeds;
				sum.max_over_mean += s.max_over_mean / seeds;
			}
			printf("%-8s %6.2f %6d %8.1f %8.1f %8.3f %10.2f\n",
			       (*p)->name, factor, sum.jobs, sum.mean_wait_ms,
			       sum.p99_wait_ms, sum.late_share,
			       sum.max_over_mean);
		}
	}
}

void show_long_jobs(double share, double factor, double run_factor, int seeds)
{
	Outage load;

	load.long_share = share;
	load.long_factor = factor;
	load.long_run_factor = run_factor;
	printf("%.2f of a kind %.0f times as long, restart of all executors at "
	       "%.0f s\n",
	       share, factor, load.crash_s);
	for (int s = 1; s <= seeds; s++) {
		load.seed = (unsigned)s;
		OutageResult r = simulate(load);

		printf("seed %d, %.3f from 14 s on, in time in each %.0f s:", s,
		       r.in_time_share(14, load.seconds), kWindowS);
		for (const Window &w : r.windows)
			printf(" %.2f", (double)w.in_time / w.asked);
		printf("\n  longer jobs: %d, done %d, not run %d, %.3f of the "
		       "core time\n",
		       r.long_asked, r.long_done, r.long_not_run, r.long_part);
	}
}

} // namespace

int main(int argc, char **argv)
{
	struct arg_dbl *factor = arg_dbl0(
		NULL, "load", "X", "load, relative to the usual one (1)");
	struct arg_dbl *burst = arg_dbl0(NULL, "burst", "X",
					 "rate in the middle third of the "
					 "time, relative to the load (2)");
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "number of seeds (3)");
	struct arg_int *submitters =
		arg_int0(NULL, "fronts", "N",
			 "compare the choice of a pool by N submitters");
	struct arg_int *pools = arg_int0(NULL, "pools", "N",
					 "number of pools with --fronts (7)");
	struct arg_dbl *longer =
		arg_dbl0(NULL, "long", "X",
			 "show jobs of usual length beside longer ones: share "
			 "of the longest kind that is longer");
	struct arg_dbl *length = arg_dbl0(
		NULL, "length", "X", "how many times longer, with --long (20)");
	struct arg_dbl *off =
		arg_dbl0(NULL, "outrun", "X",
			 "actual run time of the longer jobs, relative to the "
			 "declared one, with --long (1)");
	struct arg_end *end = arg_end(4);
	void *table[] = { factor, burst,  seeds, submitters, pools,
			  longer, length, off,	 end };
	int bad = arg_parse(argc, argv, table);
	Load load;

	if (bad) {
		arg_print_errors(stderr, end, "load-model");
		return 2;
	}
	load.factor = factor->count ? factor->dval[0] : 1.0;
	load.burst = burst->count ? burst->dval[0] : 2.0;
	if (longer->count)
		show_long_jobs(longer->dval[0],
			       length->count ? length->dval[0] : 20,
			       off->count ? off->dval[0] : 1,
			       seeds->count ? seeds->ival[0] : 3);
	else if (submitters->count)
		compare_pool_choice(submitters->ival[0],
				    pools->count ? pools->ival[0] : 7,
				    seeds->count ? seeds->ival[0] : 3);
	else
		compare_start_order(load, seeds->count ? seeds->ival[0] : 3);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
