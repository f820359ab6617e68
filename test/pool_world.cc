#include "pool_world.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <utility>

namespace world
{

static std::string key_of(const char *job, uint32_t index)
{
	return std::string(job) + "." + std::to_string(index);
}

/* Hashes the number of a call, to spread the lost calls evenly. */
static uint32_t scatter(uint32_t n)
{
	return n * 2654435761U >> 12;
}

static uint64_t clock_ms(const World *w, const Executor *x)
{
	return (w->now_us - x->clock_began_us) * (100 - x->clock_slow_percent) /
		       100 / kMs +
	       1;
}

/* The time that passes while an executor's clock advances by us. */
static uint64_t on_clock(const Executor *x, uint64_t us)
{
	return us * 100 / (100 - x->clock_slow_percent);
}

/* The clock that an executor's answers tell. */
static uint64_t shown_clock(const World *w, const Executor *x)
{
	return x->hides_clock ? 0 : clock_ms(w, x);
}

/* Extends the lease to a time on the executor's clock, but by no more than the
 * executor grants. */
static void extend_lease(const World *w, Executor *x, uint64_t until_ms)
{
	uint64_t end_us = x->clock_began_us + on_clock(x, until_ms * kMs);

	end_us = std::min(end_us, w->now_us + on_clock(x, kLeaseMaxUs));
	if (until_ms)
		x->lease_until_us = std::max(x->lease_until_us, end_us);
}

static void end_run(Executor *x, size_t i, ph_end how)
{
	x->ends.push_back({ x->next_end++, x->running[i], how });
	x->running.erase(x->running.begin() + (long)i);
}

static uint32_t used(const Executor *x)
{
	uint32_t sum = 0;

	for (const Run &r : x->running)
		sum += r.cpu;
	return sum;
}

/* ## Executors' handling of run commands */

static ph_call_status start(World *w, Executor *x, const Run &run,
			    uint64_t token, uint64_t until_ms)
{
	w->refused_tokens += token < x->token;
	if (token < x->token)
		return PH_CALL_FENCED;
	x->token = token;
	if (until_ms && until_ms < clock_ms(w, x))
		return PH_CALL_LATE;
	extend_lease(w, x, until_ms);
	if (x->lease_until_us < w->now_us)
		return PH_CALL_LATE;
	if (x->highest_run[run.key] >= run.run)
		return PH_CALL_OLD_RUN;
	if (used(x) + run.cpu > x->cpu)
		return PH_CALL_NO_ROOM;
	for (const Executor &other : w->executors)
		for (const Run &r : other.running)
			w->concurrent_runs += r.key == run.key;
	x->highest_run[run.key] = run.run;
	x->running.push_back(run);
	w->starts++;
	return PH_CALL_OK;
}

static ph_call_status stop(const World *w, Executor *x, const std::string &key,
			   uint64_t run, uint64_t token)
{
	if (token < x->token)
		return PH_CALL_FENCED;
	x->token = token;
	x->highest_run[key] = std::max(x->highest_run[key], run);
	for (size_t i = 0; i < x->running.size(); i++)
		if (x->running[i].key == key && x->running[i].run <= run) {
			Run &r = x->running[i];

			r.end_us = std::min(r.end_us,
					    w->now_us + x->stop_takes_us);
			r.stopped = true;
			if (!x->stop_takes_us)
				end_run(x, i, PH_END_STOPPED);
			break;
		}
	return PH_CALL_OK;
}

static void aged(ph_unconfirmed *starts, uint64_t by_us)
{
	for (uint32_t i = 0; i < starts->count; i++)
		starts->starts[i].age_us += by_us;
}

static ph_run_report seen(const World *w, const Run &r)
{
	ph_run_report s = {};

	snprintf(s.job, sizeof(s.job), "%s", r.job.c_str());
	s.index = r.index;
	s.run = r.run;
	s.cpu_milli = r.cpu * w->reported_cpu_percent / 100;
	return s;
}

/* ## The pool's calls */

/* Time after which an owner takes the answer to a poll for lost, counted from
 * the end of the poll's wait. */
constexpr uint64_t kLostAnswerUs = 100 * kMs;

struct Calls {
	static void reply(Owner *o, std::function<void()> what,
			  uint64_t delay_us = 0)
	{
		uint64_t us = o->world->now_us + kLatencyUs + delay_us;

		o->world->at(us, [o, what] {
			if (!o->frozen)
				what();
		});
	}

	static void command_reply(Owner *o, uint64_t id, bool is_stop,
				  ph_call_status status, uint64_t clock = 0)
	{
		reply(o, [=] {
			ph_run_command_reply r = { status, clock };

			if (is_stop)
				ph_pool_stop_done(o->pool, o->world->now_us, id,
						  &r);
			else
				ph_pool_start_done(o->pool, o->world->now_us,
						   id, &r);
		});
	}

	/* Delivers a call to an executor; if it gets lost, calls on_lost
	 * after timeout_us instead. */
	static void deliver(Owner *o, const std::string &id,
			    uint64_t timeout_us,
			    std::function<void(Executor *)> what,
			    std::function<void(ph_call_status)> on_lost)
	{
		World *w = o->world;

		w->at(w->now_us + kLatencyUs, [=] {
			Executor *x = w->find(id);
			bool lost =
				x && x->loses_one_call_in &&
				scatter(++x->calls) % x->loses_one_call_in == 0;

			if (x && !x->unreachable_from.count(o->number) && !lost)
				what(x);
			else if (x && x->refuses)
				w->at(w->now_us + kLatencyUs,
				      [=] { on_lost(PH_CALL_REFUSED); });
			else if (x && x->drops_connections)
				w->at(w->now_us + timeout_us,
				      [=] { on_lost(PH_CALL_UNSENT); });
			else
				w->at(w->now_us + timeout_us,
				      [=] { on_lost(PH_CALL_UNKNOWN); });
		});
	}

	/* Whether a delayed start, sent to the incarnation that started at
	 * born, meets an executor that carries it out. */
	static bool meets(const Executor *x, uint64_t born)
	{
		return x && !x->down &&
		       (x->starts_outlive_restarts || x->started_ms == born);
	}

	static void on_start(void *ctx, const ph_run_command *command)
	{
		Owner *o = static_cast<Owner *>(ctx);
		World *w = o->world;
		std::string job = command->job;
		Run run = { key_of(command->job, command->index),
			    job,
			    command->index,
			    command->run,
			    w->cpu_of[job],
			    0,
			    0,
			    false };
		uint64_t token = command->token;
		uint64_t until = command->lease_until_ms;
		uint64_t id = command->call_id;

		auto carry_out = [=](Executor *x, uint64_t limit) {
			Run r = run;

			r.begin_us = w->now_us;
			r.end_us = w->now_us +
				   (uint64_t)((double)w->duration_us[job] *
					      x->slow);
			r.fails = x->fails_all;
			if (r.fails)
				r.end_us = w->now_us + 5 * kMs;
			return start(w, x, r, token, limit);
		};
		auto lost = [=](ph_call_status status) {
			if (!o->frozen)
				command_reply(o, id, false, status);
		};
		auto unknown = [=] { lost(PH_CALL_UNKNOWN); };

		deliver(
			o, command->executor, command->timeout_us,
			[=](Executor *x) {
				std::string xid = x->id;

				if (x->start_delay_us) {
					uint64_t limit = x->accepts_on_arrival
								 ? 0
								 : until;

					uint64_t born = x->started_ms;

					auto late = [=] {
						Executor *y = w->find(xid);

						if (meets(y, born))
							carry_out(y, limit);
					};

					x->held.push_back(late);
					w->at(w->now_us + x->start_delay_us,
					      late);
					w->at(w->now_us + 200 * kMs, unknown);
					return;
				}
				ph_call_status s = carry_out(x, until);

				if (x->loses_start_answers)
					w->at(w->now_us + 200 * kMs, unknown);
				else
					command_reply(o, id, false, s,
						      shown_clock(w, x));
			},
			lost);
	}

	static void on_stop(void *ctx, const ph_run_command *command)
	{
		Owner *o = static_cast<Owner *>(ctx);
		World *w = o->world;
		std::string key = key_of(command->job, command->index);
		uint64_t run = command->run;
		uint64_t token = command->token;
		uint64_t id = command->call_id;
		uint64_t timeout = command->timeout_us;
		auto answer = [=](ph_call_status status) {
			command_reply(o, id, true, status);
		};

		deliver(
			o, command->executor, command->timeout_us,
			[=](Executor *x) {
				std::string xid = x->id;
				uint64_t delay = x->stop_delay_us;

				if (x->loses_stops || delay)
					w->at(w->now_us + timeout,
					      [=] { answer(PH_CALL_UNKNOWN); });
				if (x->loses_stops)
					return;
				if (delay)
					w->at(w->now_us + delay, [=] {
						Executor *y = w->find(xid);

						if (y && !y->down)
							stop(w, y, key, run,
							     token);
					});
				if (delay)
					return;
				ph_call_status s = stop(w, x, key, run, token);

				w->at(w->now_us + x->stop_answer_delay_us,
				      [=] { answer(s); });
			},
			answer);
	}

	static void poll_reply(Owner *o, Executor *x, uint64_t id,
			       uint64_t ends_seen)
	{
		std::vector<ph_run_report> running;
		std::vector<ph_run_report> ended;
		uint64_t clock = shown_clock(o->world, x);
		uint64_t started = x->started_ms;

		for (const Run &r : x->running) {
			running.push_back(seen(o->world, r));
			running.back().percent =
				(uint32_t)((o->world->now_us - r.begin_us) *
					   100 / (r.end_us - r.begin_us + 1));
		}
		for (const End &e : x->ends) {
			if (e.number <= ends_seen)
				continue;
			ended.push_back(seen(o->world, e.run));
			ended.back().end_number = e.number;
			ended.back().end = e.how;
		}
		auto done = [=] {
			ph_poll_reply r = {};

			r.status = PH_CALL_OK;
			r.clock_ms = clock;
			r.started_ms = started;
			r.running = running.data();
			r.running_count = running.size();
			r.ended = ended.data();
			r.ended_count = ended.size();
			ph_pool_poll_done(o->pool, o->world->now_us, id, &r);
		};
		reply(o, done, x->poll_answer_delay_us);
		if (x->on_poll_answer)
			std::exchange(x->on_poll_answer, nullptr)();
	}

	/* Answers a poll once there is an end that isn't acknowledged, or at
	 * until_us; checks every millisecond. */
	static void poll_wait(Owner *o, const std::string &xid, uint64_t id,
			      uint64_t ends_seen, uint64_t until_us,
			      uint32_t crashes)
	{
		World *w = o->world;
		Executor *x = w->find(xid);

		if (x->crashes != crashes && !x->restarts_silently) {
			poll_failed(o, id, PH_CALL_UNKNOWN);
			return;
		}
		if (x->crashes != crashes ||
		    x->unreachable_from.count(o->number) ||
		    x->unheard_by.count(o->number)) {
			w->at(until_us + kLostAnswerUs,
			      [=] { poll_failed(o, id, PH_CALL_UNKNOWN); });
			return;
		}
		if (x->next_end > ends_seen + 1 || w->now_us >= until_us) {
			poll_reply(o, x, id, ends_seen);
			return;
		}
		w->at(w->now_us + kMs, [=] {
			poll_wait(o, xid, id, ends_seen, until_us, crashes);
		});
	}

	static void poll_failed(Owner *o, uint64_t id, ph_call_status status)
	{
		reply(o, [=] {
			ph_poll_reply r = {};

			r.status = status;
			ph_pool_poll_done(o->pool, o->world->now_us, id, &r);
		});
	}

	static void on_poll(void *ctx, const ph_poll *poll)
	{
		Owner *o = static_cast<Owner *>(ctx);
		World *w = o->world;
		uint64_t token = poll->token;
		uint64_t until = poll->lease_until_ms;
		uint64_t seen_up_to = poll->ends_seen;
		uint64_t wait = poll->wait_us;
		uint64_t id = poll->call_id;

		deliver(
			o, poll->executor, wait + poll->timeout_us,
			[=](Executor *x) {
				if (token < x->token) {
					poll_failed(o, id, PH_CALL_FENCED);
					return;
				}
				x->token = token;
				extend_lease(w, x, until);
				while (!x->ends.empty() &&
				       x->ends[0].number <= seen_up_to)
					x->ends.erase(x->ends.begin());
				std::string xid = x->id;
				uint64_t until_us =
					w->now_us + wait + x->poll_delay_us;

				uint32_t crashes = x->crashes;

				w->at(w->now_us + x->poll_delay_us, [=] {
					poll_wait(o, xid, id, seen_up_to,
						  until_us, crashes);
				});
			},
			[=](ph_call_status status) {
				poll_failed(o, id, status);
			});
	}

	static void on_result(void *ctx, const char *, uint64_t seq,
			      const ph_result *result)
	{
		Owner *o = static_cast<Owner *>(ctx);

		o->results[seq] = *result;
		o->result_us[seq] = o->world->now_us;
	}

	static void on_accepted(void *ctx, const char *, uint64_t seq,
				const ph_unconfirmed *starts)
	{
		Owner *o = static_cast<Owner *>(ctx);

		o->told[seq] = { o->world->now_us, *starts };
		if (o->on_accepted)
			o->on_accepted(seq, *starts);
	}
};

static const ph_pool_sink sink = { Calls::on_poll, Calls::on_start,
				   Calls::on_stop, Calls::on_result,
				   Calls::on_accepted };

/* ## World */

/* Interval at which owners tell in heartbeats which starts may still be carried
 * out. */
constexpr uint64_t kReportUs = 100 * kMs;

void World::report_starts()
{
	for (Owner *o : owners) {
		ph_start_report report = {};

		if (o->frozen)
			continue;
		ph_pool_report_starts(o->pool, now_us, "submitter", &report);
		for (auto &t : o->told) {
			t.second.first = now_us;
			t.second.second.count = 0;
		}
		for (uint32_t i = 0; i < report.count; i++)
			ph_unconfirmed_add(
				&o->told[report.starts[i].seq].second,
				&report.starts[i].start);
	}
}

World::World(size_t count, uint32_t cpu)
{
	ph_log_quiet(1);
	for (size_t i = 0; i < count; i++) {
		Executor x;

		x.id = "i-" + std::to_string(i);
		x.cpu = cpu;
		executors.push_back(x);
	}
}

World::~World()
{
	for (Owner *o : owners) {
		ph_pool_free(o->pool);
		delete o;
	}
}

Executor *World::find(const std::string &id)
{
	for (Executor &x : executors)
		if (x.id == id)
			return &x;
	return nullptr;
}

void World::carry_out_held(const std::string &id)
{
	for (const auto &late : std::exchange(find(id)->held, {}))
		late();
}

void World::crash(Executor *x, uint64_t down_us, bool silent)
{
	std::string id = x->id;

	x->down = true;
	restart(x);
	x->refuses = !silent;
	for (const Owner *o : owners)
		x->unreachable_from.insert(o->number);
	at(now_us + down_us, [this, id] {
		Executor *back = find(id);

		back->unreachable_from.clear();
		back->refuses = false;
		back->down = false;
		restart(back);
	});
}

Owner *World::add_owner(const ph_scheduling_policy *policy)
{
	Owner *o = new Owner;
	ph_pool_options options = {};

	o->number = (int)owners.size();
	o->world = this;
	options.mem = ph_mem_default();
	options.name = "north";
	options.policy = policy;
	options.lease_us = kLeaseUs;
	options.stop_us = kStopUs;
	options.evacuation = evacuation;
	options.first_call = (uint64_t)owners.size() << 48;
	options.sink = &sink;
	options.ctx = o;
	o->pool = ph_pool_new(&options);
	owners.push_back(o);
	list(o);
	return o;
}

bool World::list(Owner *owner)
{
	std::vector<ph_executor_info> infos;

	for (const Executor &x : executors) {
		ph_executor_info info = {};

		if (x.unlisted)
			continue;
		info.id = ph_intern(x.id.c_str());
		snprintf(info.addr, sizeof(info.addr), "%s", x.id.c_str());
		info.domain = "north";
		info.service = "desk";
		info.capacity = { x.cpu, 65536, 0 };
		infos.push_back(info);
	}
	return ph_pool_update(owner->pool, now_us, infos.data(), infos.size());
}

void World::restart(Executor *x) const
{
	x->started_ms++;
	x->crashes++;
	x->clock_began_us = now_us;
	x->lease_until_us = 0;
	x->running.clear();
	x->ends.clear();
	x->next_end = 1;
	x->highest_run.clear();
	x->token = 0;
}

void World::at(uint64_t us, std::function<void()> what)
{
	events.emplace(us, what);
}

void World::step_executors()
{
	for (Executor &x : executors) {
		bool lease_expired =
			x.lease_until_us && now_us > x.lease_until_us;

		for (size_t i = x.running.size(); i-- > 0;) {
			Run &r = x.running[i];

			if (lease_expired) {
				end_run(&x, i, PH_END_LEASE_EXPIRED);
			} else if (now_us >= r.end_us && r.stopped) {
				end_run(&x, i, PH_END_STOPPED);
			} else if (now_us >= r.end_us) {
				if (!r.fails)
					done[r.key]++;
				end_run(&x, i,
					r.fails ? PH_END_FAILED : PH_END_DONE);
			}
		}
	}
}

void World::run_until(uint64_t us)
{
	while (now_us < us) {
		uint64_t tick = now_us / kTickUs * kTickUs + kTickUs;

		while (!events.empty() && events.begin()->first <= tick) {
			auto what = events.begin()->second;

			now_us = std::max(now_us, events.begin()->first);
			events.erase(events.begin());
			step_executors();
			what();
		}
		now_us = tick;
		step_executors();
		if (now_us % kReportUs == 0)
			report_starts();
		for (Owner *o : owners)
			if (!o->frozen)
				ph_pool_tick(o->pool, now_us);
	}
}

uint64_t World::submit_request(Owner *owner, const ph_batch_request &request,
			       uint64_t duration)
{
	ph_batch_request *w = static_cast<ph_batch_request *>(
		ph_mem_default()->calloc(1, sizeof(ph_batch_request)));
	uint64_t seq = ++last_seq;

	*w = request;
	ph_batch_request_set_texts(ph_mem_default(), w, request.service,
				   request.label, "x", 1);
	duration_us[w->job] = duration;
	cpu_of[w->job] = w->need.cpu_milli;
	requests[seq] = request;
	requests[seq].service = ph_intern(request.service);
	requests[seq].label = ph_intern(request.label);
	requests[seq].texts = nullptr;
	ph_pool_submit(owner->pool, now_us, "submitter", seq, w);
	ph_pool_handle_changes(owner->pool, now_us);
	return seq;
}

uint64_t World::submit(Owner *owner, const std::string &job, uint32_t count,
		       uint64_t duration, uint64_t estimate, uint64_t target,
		       uint64_t caller_timeout, uint64_t sent_us)
{
	ph_batch_request w = {};

	snprintf(w.job, sizeof(w.job), "%s", job.c_str());
	w.service = "desk";
	w.count = count;
	w.need = { 6800, 64, 0 };
	w.estimate_us = estimate;
	w.target_us = target;
	w.caller_timeout_us = caller_timeout;
	w.max_attempts = 3;
	w.sent_us = sent_us;
	w.first_run = 100;
	return submit_request(owner, w, duration);
}

ph_unconfirmed World::told_starts(const Owner *from, uint64_t seq)
{
	ph_unconfirmed told = {};
	Told &before = told_before[requests[seq].job];

	if (starts_untold)
		return told;
	if (from->results.count(seq)) {
		told = from->results.at(seq).unconfirmed;
		aged(&told, now_us - from->result_us.at(seq));
	} else if (from->told.count(seq)) {
		told = from->told.at(seq).second;
		aged(&told, now_us - from->told.at(seq).first);
	}
	aged(&before.starts, now_us - before.at_us);
	for (uint32_t i = 0; i < before.starts.count; i++)
		ph_unconfirmed_add(&told, &before.starts.starts[i]);
	before = { told, now_us };
	return told;
}

void World::resubmit(Owner *from, Owner *to, uint64_t seq)
{
	ph_batch_request *w = static_cast<ph_batch_request *>(
		ph_mem_default()->calloc(1, sizeof(ph_batch_request)));

	*w = requests[seq];
	ph_batch_request_set_texts(ph_mem_default(), w, w->service, w->label,
				   "x", 1);
	w->resumed = true;
	for (uint32_t i = 0; i < w->count; i++)
		w->possible_executor[i] = PH_EXECUTOR_UNKNOWN;
	if (from->results.count(seq)) {
		memcpy(w->done, from->results[seq].done, sizeof(w->done));
		memcpy(w->possible_executor,
		       from->results[seq].possible_executor,
		       sizeof(w->possible_executor));
	}
	w->unconfirmed = told_starts(from, seq);
	ph_pool_submit(to->pool, now_us, "submitter", seq, w);
	ph_pool_handle_changes(to->pool, now_us);
}

bool World::ended(const Owner *owner, uint64_t seq, ph_verdict verdict) const
{
	auto it = owner->results.find(seq);

	return it != owner->results.end() && it->second.verdict == verdict;
}

Owner *ready_owner(World *w, uint64_t for_us,
		   const ph_scheduling_policy *policy)
{
	Owner *o = w->add_owner(policy);

	ph_pool_acquire(o->pool, w->now_us, 1000);
	w->run_until(w->now_us + for_us);
	return o;
}

} // namespace world
