#include "job_mix.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace job_mix
{

using namespace world;

const Kind kKinds[kKindCount] = {
	{ "short and wide", 34.4, 8, 32, 60, 240, 0, 0.0291 },
	{ "long", 6.25, 4, 16, 900, 3600, 2, 0.16 },
	{ "small", 100, 2, 8, 200, 800, 1, 0.01 },
};

namespace
{

/* Standard deviation of width and run time, relative to the mean. */
constexpr double kRelativeSpread = 0.4;
/* Declared run times are off by up to this much, relative to the real ones. */
constexpr double kEstimateError = 0.4;
/* Callers time out after this long plus five times the run time. */
constexpr double kCallerTimeoutMs = 1500;
constexpr double kCallerTimeoutRunTimes = 5;
/* CPU that a task needs: relative standard deviation, maximum. */
constexpr double kCpuSpread = 0.2;
constexpr double kCpuMax = 10000;
constexpr uint64_t kSecond = 1000 * kMs;

double draw_lognormal(std::mt19937 *rng, double mean, double spread, double max)
{
	double sigma = std::sqrt(std::log(1 + spread * spread));
	std::lognormal_distribution<double> d(
		std::log(mean) - sigma * sigma / 2, sigma);

	return std::min(d(*rng), max);
}

/* A job that was submitted. */
struct Sent {
	uint64_t at_us;
	double run_ms;
	double milli;
	bool longer;
};

void count(const Sent &s, const Owner *o, uint64_t seq, uint64_t t0,
	   OutageResult *r)
{
	auto it = o->results.find(seq);
	bool done =
		it != o->results.end() && it->second.verdict == PH_VERDICT_DONE;
	double response_ms =
		done ? (double)(o->result_us.at(seq) - s.at_us) / kMs : 0;
	bool in_time = done && response_ms <= target_ms(s.run_ms);
	bool of_use = done && response_ms <= kLateTargets * target_ms(s.run_ms);
	size_t i = (size_t)((double)(s.at_us - t0) / kSecond / kWindowS);

	if (s.longer) {
		r->long_asked++;
		r->long_done += of_use;
		r->long_not_run += it != o->results.end() &&
				   it->second.verdict == PH_VERDICT_NOT_RUN;
		r->long_part += done ? s.milli * s.run_ms : 0;
		return;
	}
	for (; r->windows.size() <= i;
	     r->windows.back().from_s =
		     (double)(r->windows.size() - 1) * kWindowS)
		r->windows.emplace_back();
	r->windows[i].asked++;
	r->windows[i].in_time += in_time;
	r->windows[i].late += of_use && !in_time;
}

} // namespace

double target_ms(double run_ms)
{
	return run_ms * kTargetFactor + kTargetExtraMs;
}

ph_batch_request job_of(const Kind &k, int number, double length_factor,
			std::mt19937 *rng, double *run_ms)
{
	std::uniform_real_distribution<double> error_factor(1 - kEstimateError,
							    1 + kEstimateError);
	double width = std::max(
		1.0, std::round(draw_lognormal(rng, k.width, kRelativeSpread,
					       k.width_max)));
	double estimate;
	ph_batch_request w = {};

	*run_ms = length_factor *
		  draw_lognormal(rng, k.run_ms, kRelativeSpread, k.run_max_ms);
	estimate = *run_ms * error_factor(*rng);
	snprintf(w.job, sizeof(w.job), "j%d", number);
	w.service = "desk";
	w.count = (uint32_t)width;
	w.need = { (uint32_t)draw_lognormal(rng, kCpuMilli, kCpuSpread,
					    kCpuMax),
		   64, 0 };
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

double OutageResult::in_time_share(double from_s, double until_s) const
{
	int asked = 0;
	int in_time = 0;

	for (const Window &w : windows) {
		if (w.from_s < from_s || w.from_s >= until_s)
			continue;
		asked += w.asked;
		in_time += w.in_time;
	}
	return asked ? (double)in_time / asked : 0;
}

OutageResult simulate(const Outage &load)
{
	World w((size_t)load.executors, 16000);
	Owner *o = ready_owner(&w);
	std::mt19937 rng(load.seed);
	std::map<uint64_t, Sent> sent;
	double rate[kKindCount];
	double sum = 0;
	uint64_t t0 = w.now_us;
	uint64_t end = t0 + (uint64_t)(load.seconds * kSecond);
	int number = 0;
	OutageResult r;

	for (int k = 0; k < kKindCount; k++) {
		rate[k] = kKinds[k].jobs_per_s * load.load * load.executors /
			  kSiteExecutors;
		sum += rate[k];
	}
	std::discrete_distribution<int> which(rate, rate + kKindCount);
	std::exponential_distribution<double> gap(sum);
	std::bernoulli_distribution longer(load.long_share);

	if (load.down_s > 0)
		w.at(t0 + (uint64_t)(load.crash_s * kSecond), [&] {
			for (Executor &x : w.executors)
				w.crash(&x, (uint64_t)(load.down_s * kSecond));
		});
	while (w.now_us < end) {
		uint64_t next = w.now_us + (uint64_t)(gap(rng) * kSecond);
		int k = which(rng);
		bool is_long =
			k == kLongKind && longer(rng) &&
			(double)(next - t0) / kSecond >= load.long_from_s;
		double run_ms;
		ph_batch_request job =
			job_of(kKinds[k], ++number,
			       is_long ? load.long_factor : 1, &rng, &run_ms);

		if (is_long)
			run_ms *= load.long_run_factor;
		w.at(next, [&, job, run_ms, is_long] {
			uint64_t at_us = w.now_us;
			double milli = (double)job.need.cpu_milli * job.count;

			sent[w.submit_request(o, job,
					      (uint64_t)(run_ms * kMs))] = {
				at_us, run_ms, milli, is_long
			};
		});
		w.run_until(next);
	}
	w.run_until(end + 100 * kSecond);
	for (const auto &it : sent)
		count(it.second, o, it.first, t0, &r);
	r.long_part /= load.executors * 16000.0 * load.seconds * 1000;
	r.concurrent_runs = w.concurrent_runs;
	return r;
}

} // namespace job_mix
