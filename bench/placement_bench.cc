/*
 * Compares variants of placement on one pool of executors in memory, in
 * simulated time: jobs of 2, 4 and 8 tasks, whose tasks need about 4, 8 or 16
 * of the 32 cores of an executor. With --round it measures the time that one
 * placement round takes instead.
 */
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>

#include <argtable2.h>

#include "pool_world.h"

extern "C" {
#include "pool_impl.h"
}

namespace
{

using namespace world;

constexpr uint32_t kExecutorCpu = 32000;
constexpr double kSecondUs = 1000.0 * kMs;
/* Declared run times are off by up to this much, relative to the real ones. */
constexpr double kEstimateError = 0.4;
/* Real run times and sizes of tasks are this far from those of their kind. */
constexpr double kRunSpread = 0.3;
constexpr double kSizeSpread = 0.15;
/* Latency target: this many run times, and some more; callers wait for 1.5 s
 * and five run times. An answer is of use until kLateTargets targets. */
constexpr double kTargetFactor = 1.6;
constexpr double kTargetExtraMs = 60;
constexpr double kLateTargets = 3;
constexpr double kCallerTimeoutMs = 1500;
constexpr double kCallerTimeoutRunTimes = 5;

struct Kind {
	const char *name;
	/** Share of the jobs. */
	double share;
	uint32_t count;
	double run_ms;
	uint32_t priority;
};

constexpr int kKinds = 3;
const Kind kinds[kKinds] = {
	{ "8 x 0.06 s", 0.245, 8, 60, 0 },
	{ "4 x 0.9 s", 0.045, 4, 900, 2 },
	{ "2 x 0.2 s", 0.71, 2, 200, 1 },
};

constexpr int kSizes = 3;
const uint32_t sizes[kSizes] = { 4000, 8000, 16000 };

/** Which sizes the tasks of a kind have: share of each size. */
struct Mix {
	const char *name;
	double share[kKinds][kSizes];
};

const Mix mixes[] = {
	{ "by kind: 8, 16, 4 cores",
	  { { 0, 1, 0 }, { 0, 0, 1 }, { 1, 0, 0 } } },
	{ "any size for each kind",
	  { { 0.6, 0.3, 0.1 }, { 0.6, 0.3, 0.1 }, { 0.6, 0.3, 0.1 } } },
};

struct Variant {
	const char *name;
	/** Mechanisms that are switched off. */
	const char *without;
	/** The whole capacity is on one executor: nothing is fragmented. */
	bool one_executor;
};

const Variant variants[] = {
	{ "first fit", "best-fit,look-ahead", false },
	{ "best fit", "look-ahead", false },
	{ "look-ahead", "", false },
	{ "unfragmented", "look-ahead", true },
};

struct Tally {
	int jobs = 0;
	int in_time = 0;
	int late = 0;
	int not_run = 0;
	/** Time by which the jobs that were done took longer than their run. */
	double waited_ms = 0;
	int done = 0;
};

struct Sent {
	int kind;
	int size;
	uint64_t at_us;
	double run_ms;
};

struct Result {
	Tally kind[kKinds];
	Tally size[kSizes];
	Tally all;
	/** Sums over the ticks at which tasks waited. */
	double used_share = 0;
	int ticks_waiting = 0;
	uint64_t starts = 0;
};

struct Load {
	int executors;
	double factor;
	double seconds;
	const Mix *mix;
	const Variant *variant;
	unsigned seed;
};

double spread(std::mt19937 *rng, double mean, double by)
{
	return mean *
	       std::uniform_real_distribution<double>(1 - by, 1 + by)(*rng);
}

int draw_size(std::mt19937 *rng, const Mix &mix, int kind)
{
	std::discrete_distribution<int> d(mix.share[kind],
					  mix.share[kind] + kSizes);

	return d(*rng);
}

double target_ms(double run_ms)
{
	return run_ms * kTargetFactor + kTargetExtraMs;
}

ph_batch_request job_of(const Kind &k, int size, int number, std::mt19937 *rng,
			double *run_ms)
{
	ph_batch_request w = {};
	double estimate;

	*run_ms = spread(rng, k.run_ms, kRunSpread);
	estimate = spread(rng, *run_ms, kEstimateError);
	snprintf(w.job, sizeof(w.job), "j%d", number);
	w.service = "desk";
	w.count = k.count;
	w.need = { (uint32_t)spread(rng, sizes[size], kSizeSpread), 64, 0 };
	w.estimate_us = (uint64_t)(estimate * kMs);
	w.target_us = (uint64_t)(target_ms(estimate) * kMs);
	w.caller_timeout_us = (uint64_t)((kCallerTimeoutMs +
					  kCallerTimeoutRunTimes * *run_ms) *
					 kMs);
	w.priority = k.priority;
	w.max_attempts = 3;
	w.first_run = 100;
	return w;
}

/* Mean core time of a job, in millicore-milliseconds. */
double mean_work(const Mix &mix)
{
	double sum = 0;

	for (int k = 0; k < kKinds; k++)
		for (int s = 0; s < kSizes; s++)
			sum += kinds[k].share * kinds[k].count *
			       kinds[k].run_ms * mix.share[k][s] * sizes[s];
	return sum;
}

void add_job(Tally *t, const Sent &s, const Owner *o, uint64_t seq)
{
	auto it = o->results.find(seq);
	double limit_ms = target_ms(s.run_ms);
	double response_ms;

	t->jobs++;
	if (it == o->results.end() || it->second.verdict != PH_VERDICT_DONE) {
		t->not_run++;
		return;
	}
	response_ms = (double)(o->result_us.at(seq) - s.at_us) / kMs;
	t->done++;
	t->waited_ms += response_ms - s.run_ms;
	t->in_time += response_ms <= limit_ms;
	t->late += response_ms > limit_ms &&
		   response_ms <= kLateTargets * limit_ms;
}

/* Notes how much of the capacity is used while tasks wait. */
void sample(const World &w, const Owner *o, Result *r)
{
	double used = 0;
	double all = 0;
	bool waiting = false;

	for (const ph_batch *b = o->pool->batches; b; b = b->next)
		waiting = waiting || b->waiting;
	if (!waiting)
		return;
	for (const Executor &x : w.executors) {
		all += x.cpu;
		for (const Run &run : x.running)
			used += run.cpu;
	}
	r->used_share += used / all;
	r->ticks_waiting++;
}

void simulate(const Load &load, Result *r)
{
	bool one = load.variant->one_executor;
	World w(one ? 1 : (size_t)load.executors,
		one ? kExecutorCpu * (uint32_t)load.executors : kExecutorCpu);
	Owner *o = ready_owner(&w);
	std::mt19937 rng(load.seed);
	std::map<uint64_t, Sent> sent;
	uint64_t end = w.now_us + (uint64_t)(load.seconds * kSecondUs);
	double jobs_per_us = load.factor * load.executors * kExecutorCpu /
			     mean_work(*load.mix) / kMs;
	std::exponential_distribution<double> gap(jobs_per_us);
	std::discrete_distribution<int> which(
		{ kinds[0].share, kinds[1].share, kinds[2].share });
	char unknown[PH_NAME_BYTES];
	double next = (double)w.now_us;
	int number = 0;

	if (ph_mechanisms_parse(load.variant->without, &o->pool->opt.off,
				unknown))
		abort();
	while (next < (double)end) {
		int k = which(rng);
		int s = draw_size(&rng, *load.mix, k);
		double run_ms;
		ph_batch_request job =
			job_of(kinds[k], s, ++number, &rng, &run_ms);

		next += gap(rng);
		w.at((uint64_t)next, [&, k, s, job, run_ms] {
			uint64_t seq = w.submit_request(
				o, job, (uint64_t)(run_ms * kMs));

			sent[seq] = { k, s, w.now_us, run_ms };
		});
	}
	while (w.now_us < end + 6 * (uint64_t)kSecondUs) {
		w.run_until(w.now_us + kTickUs);
		if (w.now_us < end)
			sample(w, o, r);
	}
	for (const auto &it : sent) {
		add_job(&r->kind[it.second.kind], it.second, o, it.first);
		add_job(&r->size[it.second.size], it.second, o, it.first);
		add_job(&r->all, it.second, o, it.first);
	}
}

void print_tally(const char *name, const Tally &t)
{
	if (t.jobs)
		printf("  %-12s %7d %8.3f %6.3f %8.3f %9.0f\n", name, t.jobs,
		       (double)t.in_time / t.jobs, (double)t.late / t.jobs,
		       (double)t.not_run / t.jobs,
		       t.done ? t.waited_ms / t.done : 0);
}

void print_result(const Load &load, const Result &r)
{
	printf("%s, %d executors, load %.2f, %s: used while tasks wait %.3f\n",
	       load.mix->name, load.executors, load.factor, load.variant->name,
	       r.ticks_waiting ? r.used_share / r.ticks_waiting : 0);
	printf("  %-12s %7s %8s %6s %8s %9s\n", "", "jobs", "in time", "late",
	       "not run", "waited ms");
	for (int k = 0; k < kKinds; k++)
		print_tally(kinds[k].name, r.kind[k]);
	for (int s = 0; s < kSizes; s++)
		print_tally(
			(std::to_string(sizes[s] / 1000) + " cores").c_str(),
			r.size[s]);
	print_tally("all", r.all);
}

/* One line for each load and variant: shares in time of all jobs, of each kind
 * and of each size. */
void print_line(const Load &load, const Result &r)
{
	printf("%3d %5.2f %-13s %6.3f", load.executors, load.factor,
	       load.variant->name, (double)r.all.in_time / r.all.jobs);
	for (const Tally &t : r.kind)
		printf(" %6.3f", t.jobs ? (double)t.in_time / t.jobs : 0);
	for (const Tally &t : r.size)
		printf(" %6.3f", t.jobs ? (double)t.in_time / t.jobs : 0);
	printf(" %7.3f %7.3f\n", (double)r.all.not_run / r.all.jobs,
	       r.ticks_waiting ? r.used_share / r.ticks_waiting : 0);
	fflush(stdout);
}

void compare(int seeds, double seconds, bool full, const char *only)
{
	for (const Mix &mix : mixes) {
		printf("%s; in time: all, 8 x 0.06 s, 4 x 0.9 s, 2 x 0.2 s, "
		       "then by cores of a task; not run; used while tasks "
		       "wait\n",
		       mix.name);
		for (int executors : { 8, 16, 36 })
			for (double factor : { 0.7, 0.85, 1.0, 1.2, 1.6 })
				for (const Variant &v : variants) {
					if (only && strcmp(only, v.name) != 0)
						continue;
					Load load = { executors, factor,
						      seconds,	 &mix,
						      &v,	 0 };
					Result r;

					for (int s = 1; s <= seeds; s++) {
						load.seed = (unsigned)s;
						simulate(load, &r);
					}
					if (full)
						print_result(load, r);
					else
						print_line(load, r);
				}
	}
}

/* Queues jobs of short declared times until this many tasks wait. No round
 * takes place meanwhile. */
void queue_jobs(World *w, Owner *o, uint32_t tasks)
{
	std::mt19937 rng(1);
	uint32_t waiting = 0;
	double run_ms;

	o->pool->fenced = true;
	for (int n = 0; waiting < tasks; n++) {
		int k = n % kKinds;
		ph_batch_request job =
			job_of(kinds[k], draw_size(&rng, mixes[1], k), n, &rng,
			       &run_ms);

		job.estimate_us = 60 * kMs;
		job.target_us = 60 * (uint64_t)kSecondUs;
		job.caller_timeout_us = 600 * (uint64_t)kSecondUs;
		w->submit_request(o, job, 60 * (uint64_t)kSecondUs);
		waiting += job.count;
	}
	o->pool->fenced = false;
}

/* Measures rounds while about this many tasks wait, none of which can start. */
void measure_rounds(size_t executors, uint32_t tasks)
{
	constexpr int kRounds = 50;
	/* Cores of a task: about 6.4. */
	uint32_t running = (uint32_t)executors * 5;

	for (const Variant &v : variants) {
		World w(executors, kExecutorCpu);
		Owner *o = ready_owner(&w);
		char unknown[PH_NAME_BYTES];
		double max_us = 0;

		if (v.one_executor)
			continue;
		if (ph_mechanisms_parse(v.without, &o->pool->opt.off, unknown))
			abort();
		queue_jobs(&w, o, tasks + running);
		ph_pool_place(o->pool, w.now_us);
		auto t0 = std::chrono::steady_clock::now();
		for (int i = 0; i < kRounds; i++) {
			auto t1 = std::chrono::steady_clock::now();

			ph_pool_place(o->pool, w.now_us);
			max_us = std::max(
				max_us,
				std::chrono::duration<double, std::micro>(
					std::chrono::steady_clock::now() - t1)
					.count());
		}
		std::chrono::duration<double, std::micro> all =
			std::chrono::steady_clock::now() - t0;
		uint32_t waiting = 0;

		for (ph_batch *b = o->pool->batches; b; b = b->next)
			waiting += b->waiting;
		printf("%zu executors, %u waiting tasks, %s: mean %.0f us, max "
		       "%.0f us, %llu reservations\n",
		       executors, waiting, v.name, all.count() / kRounds,
		       max_us,
		       (unsigned long long)ph_pool_counters(o->pool)
			       ->reservations);
		fflush(stdout);
	}
}

} // namespace

int main(int argc, char **argv)
{
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "number of seeds (2)");
	struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "X",
					   "time in which jobs arrive (12)");
	struct arg_lit *full = arg_lit0(NULL, "full", "print waits as well");
	struct arg_str *only =
		arg_str0(NULL, "only", "VARIANT", "compare only this variant");
	struct arg_lit *round =
		arg_lit0(NULL, "round", "measure the time of a round");
	struct arg_end *end = arg_end(4);
	void *table[] = { seeds, seconds, full, only, round, end };
	int bad = arg_parse(argc, argv, table);

	if (bad) {
		arg_print_errors(stderr, end, "placement-bench");
	} else if (round->count) {
		measure_rounds(32, 500);
		measure_rounds(1100, 5000);
	} else {
		compare(seeds->count ? seeds->ival[0] : 2,
			seconds->count ? seconds->dval[0] : 12, full->count > 0,
			only->count ? only->sval[0] : NULL);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return bad ? 2 : 0;
}
