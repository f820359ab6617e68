#include "sim.h"

#include <cstdio>
#include <cstring>
#include <memory>

#include <jansson.h>

namespace sim
{

namespace
{

/* Times are in microseconds. */
constexpr uint64_t kMs = 1000;
constexpr uint64_t kNetworkLatencyUs = 1 * kMs;
/* One way between an entry instance and the platform. */
constexpr uint64_t kPlatformLatencyUs = 3 * kMs;
constexpr uint64_t kTickUs = 20 * kMs;
constexpr uint64_t kTaskRunUs = 60 * kMs;
/* Timeout of a call to the platform; a call to an endpoint has twice this. */
constexpr uint64_t kCallTimeoutUs = 300 * kMs;
/* Time at which the first job is submitted: the cluster has formed by then. */
constexpr uint64_t kFirstSubmitUs = 800 * kMs;
/* Duration of a cut or an outage, and time until a killed process restarts. */
constexpr uint64_t kOutageUs = 2500 * kMs;
constexpr uint64_t kFreezeUs = 1300 * kMs;
constexpr uint64_t kFreezeLongUs = 2600 * kMs;
constexpr uint64_t kDelayShortUs = 350 * kMs;
constexpr uint64_t kDelayLongUs = 1500 * kMs;
/* Interval at which a caller without a final answer submits its job again. */
constexpr uint64_t kResubmitUs = 250 * kMs;
/* Time after which a caller submits its job no more. */
constexpr uint64_t kResubmitForUs = 5000 * kMs;
/* Retention period of ended jobs. */
constexpr uint64_t kRetentionUs = 9000 * kMs;
constexpr uint64_t kSimulationEndUs = 26000 * kMs;
constexpr int kTasks = 3;
/* Ids of the network's participants; entry instances count from 0. */
constexpr int kPlatformId = 100;
constexpr int kEndpointBase = 200;
constexpr int kCallerBase = 300;

const char kConfig[] =
	"{\"version\":1,\"domains\":[\"a\",\"b\"],\"services\":[{\"name\":"
	"\"s\",\"kinds\":[{\"name\":\"k\",\"expected_ms\":60}]}],\"teams\":["
	"{\"name\":\"t1\",\"key_sha256\":"
	"\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"},"
	"{\"name\":\"t2\",\"key_sha256\":"
	"\"baaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"}]"
	"}";

const char kBody[] = "{\"deadline_ms\":2000,\"tasks\":[{\"kind\":\"k\"},"
		     "{\"kind\":\"k\"},{\"kind\":\"k\"}]}";

struct World;

/* An entry instance: its core and the state of its process. */
struct Entry {
	World *world = nullptr;
	int id = 0;
	std::string name;
	std::string domain;
	std::string addr;
	ph_core *core = nullptr;
	bool alive = false;
	bool frozen = false;
	/* Number of starts; outdates what was scheduled for earlier ones. */
	uint64_t incarnation = 0;
	/* Inputs that have arrived while the process is frozen. */
	std::vector<std::function<void()>> backlog;
	/* Callers with a request open here, by the request's token. */
	std::map<uint64_t, int> callers;
	uint64_t next_token = 1;
};

struct Endpoint {
	std::string name;
	std::string addr;
	std::string domain;
	bool alive = true;
	bool leaving = false;
	int running = 0;
	int slots = 2;
	/* Incremented by a kill. */
	uint64_t incarnation = 1;
};

struct Caller {
	std::string team;
	std::string id;
	/* Entry instances to which its attempts go, in turn. */
	std::vector<int> via;
	/* Time of the first attempt. */
	uint64_t begin_us = 0;
	/* Time from the first attempt to the cancellation; 0: none. */
	uint64_t cancel_us = 0;
	uint32_t attempt = 0;
	bool ended = false;
	/* Tasks that some answer reported as not-run, or as done. */
	std::set<int> not_run;
	std::set<int> done;
};

struct Event {
	uint64_t at;
	/* Order of scheduling; decides between events at the same time. */
	uint64_t sequence;
	std::function<void()> action;
	bool operator<(const Event &other) const
	{
		if (at != other.at)
			return at > other.at;
		return sequence > other.sequence;
	}
};

/* The simulation: participants, network and queue of events. */
struct World {
	Options opt;
	Result result;
	uint64_t now = 1000000;
	uint64_t next_sequence = 0;
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Entry>> entries;
	std::vector<Endpoint> endpoints;
	std::vector<Caller> callers;
	/* Modification index and document at the platform, by domain. */
	std::map<std::string, std::pair<uint64_t, std::string>> rosters;
	/* Last modification index that the platform gave out. */
	uint64_t index = 0;
	bool platform_down = false;
	bool platform_slow = false;
	/* Directed pairs of participants without a connection. */
	std::set<std::pair<int, int>> cuts;
	/* Number of starts of each task, by TEAM/ID/INDEX. */
	std::map<std::string, int> starts;
	ph_config *config = nullptr;
	/* Set at the first submission; messages before it are no steps. */
	bool counting_steps = false;
	/* Number of the last message sent. */
	uint64_t step = 0;
	uint64_t last_fault_end_us = 0;

	/* Schedules an action; the delay is in microseconds. */
	void at(uint64_t delay, std::function<void()> action)
	{
		events.push(Event{ now + delay, next_sequence++,
				   std::move(action) });
	}

	bool is_cut(int x, int y) const
	{
		return cuts.count({ x, y }) != 0;
	}

	void add_violation(const std::string &text)
	{
		result.violations.push_back(text);
	}

	/* Prints a line of the trace. */
	void log(const std::string &text) const
	{
		if (opt.trace)
			printf("%8.3f  #%-4lu %s\n", (double)now / 1e6,
			       (unsigned long)step, text.c_str());
	}

	/* ## Entry instances */

	/* Delivers an input to an incarnation of an entry instance: at once,
	 * or when the process is thawed. */
	void deliver_input(int id, uint64_t incarnation,
			   std::function<void()> action)
	{
		Entry &n = *entries[id];

		if (!n.alive || n.incarnation != incarnation)
			return;
		if (n.frozen)
			n.backlog.push_back(std::move(action));
		else
			action();
	}

	void start_entry(int id);
	void tick(int id, uint64_t incarnation);
	void kill_entry(int id);
	void freeze_entry(int id, uint64_t for_us);
	void stop_entry(int id);
	Entry *find_entry(const std::string &addr);

	/* ## Network */

	/* Injects the faults of the present step into a message. */
	void strike(int from, int to, bool repeatable, bool *drop,
		    uint64_t *delay, bool *duplicate);
	/*
	 * Sends a message: one numbered step, unless the faults have not begun.
	 * Only a repeatable one can be duplicated. The delay is in
	 * microseconds.
	 */
	void transmit(int from, int to, const std::string &what, uint64_t delay,
		      bool repeatable, std::function<void()> deliver);
	/* Applies a fault to participants; from and to are the ends of the
	 * message that is the step. */
	void apply(Fault fault, int from, int to);
	void cut_both_ways(int x, int y, uint64_t for_us);
	void publish_rosters(int id);
	void publish_rosters_to_all();

	/* ## Platform, endpoints and callers */

	void platform_read(int id);
	void platform_write(int id, uint64_t index, std::string doc);
	void endpoint_call(int id, const ph_start *start);
	void submit(int caller);
	void cancel(int caller);
	void answer(int caller, int status, const std::string &doc);
	void check_end();
	void run();
};

std::string participant_name(int id)
{
	if (id == kPlatformId)
		return "platform";
	if (id >= kCallerBase)
		return "caller" + std::to_string(id - kCallerBase);
	if (id >= kEndpointBase)
		return "endpoint" + std::to_string(id - kEndpointBase);
	return "entry" + std::to_string(id);
}

/* ## Outputs of an entry instance's core */

void sink_send(void *ctx, const char *addr, const ph_msg *msg)
{
	static const char *const names[] = {
		"?",	   "ping", "pong",   "request",	    "reply",
		"records", "ack",  "roster", "handed-over", "config",
	};
	Entry *n = static_cast<Entry *>(ctx);
	World *w = n->world;
	Entry *to = w->find_entry(addr);
	struct ph_buf frame;

	if (!to)
		return;
	ph_buf_init(&frame, ph_mem_default());
	ph_msg_encode(msg, &frame);
	std::string bytes(frame.data + PH_MSG_FRAME_BYTES,
			  frame.len - PH_MSG_FRAME_BYTES);
	ph_buf_free(&frame);
	std::string what = names[msg->type];
	for (size_t i = 0; w->opt.trace && i < msg->count; i++) {
		const ph_record &r = msg->records[i];

		what += std::string(" [") + r.key;
		if (r.ended)
			what += " ended";
		for (size_t t = 0; t < r.count; t++)
			what += " " + std::to_string(r.tasks[t].index) + "=" +
				"qbsnmd"[r.tasks[t].state];
		what += "]";
	}
	int to_id = to->id;
	int from_id = n->id;
	uint64_t from_incarnation = n->incarnation;
	std::string dest = addr;
	w->transmit(
		n->id, to_id, what, kNetworkLatencyUs, true,
		[w, to_id, from_id, from_incarnation, bytes, dest]() {
			Entry &to_entry = *w->entries[to_id];

			if (!to_entry.alive) {
				w->deliver_input(
					from_id, from_incarnation, [=]() {
						ph_core_connection_refused(
							w->entries[from_id]
								->core,
							w->now, dest.c_str());
					});
				return;
			}
			w->deliver_input(to_id, to_entry.incarnation, [=]() {
				ph_decoded_msg *box = nullptr;

				if (ph_msg_decode(ph_mem_default(),
						  bytes.data(), bytes.size(),
						  &box)) {
					w->add_violation(
						"a message can't be decoded");
					return;
				}
				ph_core_message(w->entries[to_id]->core, w->now,
						ph_decoded_msg_get(box));
				ph_decoded_msg_free(box);
			});
		});
}

void sink_start(void *ctx, const ph_start *start)
{
	Entry *n = static_cast<Entry *>(ctx);

	n->world->endpoint_call(n->id, start);
}

void sink_reply(void *ctx, uint64_t token, int status, const char *doc,
		size_t len)
{
	Entry *n = static_cast<Entry *>(ctx);
	World *w = n->world;
	std::string text(doc, len);
	auto it = n->callers.find(token);

	if (it == n->callers.end()) {
		w->add_violation("a request was answered twice");
		return;
	}
	int caller = it->second;
	n->callers.erase(it);
	w->transmit(n->id, kCallerBase + caller, "answer", kNetworkLatencyUs,
		    false, [=]() { w->answer(caller, status, text); });
}

void sink_roster_read(void *ctx)
{
	Entry *n = static_cast<Entry *>(ctx);

	n->world->platform_read(n->id);
}

void sink_roster_write(void *ctx, uint64_t index, const char *doc, size_t len)
{
	Entry *n = static_cast<Entry *>(ctx);

	n->world->platform_write(n->id, index, std::string(doc, len));
}

const ph_core_sink kSink = {
	sink_send,  nullptr,	      sink_start,
	sink_reply, sink_roster_read, sink_roster_write,
};

/* ## Entry instances */

Entry *World::find_entry(const std::string &addr)
{
	for (auto &n : entries)
		if (n->addr == addr)
			return n.get();
	return nullptr;
}

void World::start_entry(int id)
{
	Entry &n = *entries[id];
	ph_core_options o = {};
	std::vector<ph_endpoint_info> listed;

	o.mem = ph_mem_default();
	o.name = n.name.c_str();
	o.domain = n.domain.c_str();
	o.addr = n.addr.c_str();
	n.incarnation++;
	o.incarnation = (uint64_t)(id + 1) * 1000000 + n.incarnation * 1000;
	o.ping_every_us = 100 * kMs;
	o.suspect_after_us = 400 * kMs;
	o.solo_after_us = 800 * kMs;
	o.retention_us = kRetentionUs;
	o.hold_us = 900 * kMs;
	o.answer_bytes_max = opt.answer_bytes_max;
	o.queue_policy = &ph_queue_fair;
	o.omitted_rules = opt.omitted_rules;
	o.sink = &kSink;
	o.ctx = &n;
	n.alive = true;
	n.frozen = false;
	n.backlog.clear();
	n.callers.clear();
	n.core = ph_core_new(&o, now);
	for (auto &other : entries)
		if (other->id != id && other->domain == n.domain)
			ph_core_add_seed(n.core, other->addr.c_str());
	ph_core_set_config(n.core, now, config);
	for (const Endpoint &e : endpoints) {
		ph_endpoint_info l = {};

		if (e.domain != n.domain)
			continue;
		snprintf(l.name, sizeof(l.name), "%s", e.name.c_str());
		snprintf(l.addr, sizeof(l.addr), "%s", e.addr.c_str());
		l.slots = (uint32_t)e.slots;
		listed.push_back(l);
	}
	ph_core_set_endpoints(n.core, now, "s", listed.data(), listed.size());
	publish_rosters(id);
	tick(id, n.incarnation);
}

void World::tick(int id, uint64_t incarnation)
{
	Entry &n = *entries[id];

	if (!n.alive || n.incarnation != incarnation)
		return;
	if (!n.frozen) {
		ph_core_tick(n.core, now);
		if (ph_core_stopped(n.core) && n.callers.empty()) {
			kill_entry(id);
			return;
		}
	}
	at(kTickUs, [=]() { tick(id, incarnation); });
}

void World::kill_entry(int id)
{
	Entry &n = *entries[id];

	if (!n.alive)
		return;
	log("kill " + n.name);
	n.alive = false;
	n.backlog.clear();
	for (auto &c : n.callers)
		log("caller " + std::to_string(c.second) + " was disconnected");
	n.callers.clear();
	ph_core_free(n.core);
	n.core = nullptr;
	last_fault_end_us = now + kOutageUs;
	at(kOutageUs, [=]() { start_entry(id); });
}

void World::freeze_entry(int id, uint64_t for_us)
{
	Entry &n = *entries[id];
	uint64_t incarnation = n.incarnation;

	if (!n.alive || n.frozen)
		return;
	log("freeze " + n.name);
	n.frozen = true;
	last_fault_end_us = now + for_us;
	at(for_us, [=]() {
		Entry &m = *entries[id];

		if (!m.alive || m.incarnation != incarnation)
			return;
		log("thaw " + m.name);
		m.frozen = false;
		auto backlog = std::move(m.backlog);
		m.backlog.clear();
		/* In a real process too, timers may run before the messages
		 * that have piled up are read. */
		ph_core_tick(m.core, now);
		for (auto &f : backlog)
			if (m.alive)
				f();
	});
}

void World::stop_entry(int id)
{
	Entry &n = *entries[id];

	if (!n.alive)
		return;
	log("stop " + n.name);
	uint64_t incarnation = n.incarnation;
	deliver_input(id, incarnation,
		      [=]() { ph_core_stop(entries[id]->core, now); });
}

/* ## Network */

void World::cut_both_ways(int x, int y, uint64_t for_us)
{
	cuts.insert({ x, y });
	cuts.insert({ y, x });
	last_fault_end_us = now + for_us;
	at(for_us, [=]() {
		cuts.erase({ x, y });
		cuts.erase({ y, x });
		publish_rosters_to_all();
	});
}

void World::apply(Fault fault, int from, int to)
{
	int count = (int)entries.size();
	int home = opt.home_entries;

	log(std::string("FAULT ") + fault_name(fault));
	switch (fault) {
	case Fault::kKillSender:
	case Fault::kKillReceiver:
	case Fault::kFreezeSender:
	case Fault::kFreezeReceiver:
	case Fault::kFreezeLong: {
		bool sender = fault == Fault::kKillSender ||
			      fault == Fault::kFreezeSender ||
			      fault == Fault::kFreezeLong;
		int id = sender ? from : to;
		bool kill = fault == Fault::kKillSender ||
			    fault == Fault::kKillReceiver;

		if (id >= count)
			return;
		if (kill)
			at(0, [=]() { kill_entry(id); });
		else
			freeze_entry(id, fault == Fault::kFreezeLong
						 ? kFreezeLongUs
						 : kFreezeUs);
		break;
	}
	case Fault::kCutPair:
		cut_both_ways(0, 1, kOutageUs);
		break;
	case Fault::kCutDomain:
		for (int i = 0; i < home; i++) {
			for (int j = home; j < count; j++)
				cut_both_ways(i, j, kOutageUs);
			cut_both_ways(i, kPlatformId, kOutageUs);
		}
		break;
	case Fault::kIsolateFirst:
	case Fault::kIsolateSecond: {
		int id = fault == Fault::kIsolateFirst ? 0 : 1;

		for (int j = 0; j < count; j++)
			if (j != id)
				cut_both_ways(id, j, kOutageUs);
		cut_both_ways(id, kPlatformId, kOutageUs);
		break;
	}
	case Fault::kPlatformDown:
		platform_down = true;
		last_fault_end_us = now + kOutageUs;
		at(kOutageUs, [=]() {
			platform_down = false;
			publish_rosters_to_all();
		});
		break;
	case Fault::kPlatformSlow:
		platform_slow = true;
		last_fault_end_us = now + kOutageUs;
		at(kOutageUs, [=]() { platform_slow = false; });
		break;
	case Fault::kEndpointKill:
		endpoints[0].alive = false;
		endpoints[0].incarnation++;
		endpoints[0].running = 0;
		at(kOutageUs, [=]() { endpoints[0].alive = true; });
		break;
	case Fault::kEndpointLeave:
		endpoints[0].leaving = true;
		break;
	case Fault::kStopFirst:
		at(0, [=]() { stop_entry(0); });
		break;
	case Fault::kStopSecond:
		at(0, [=]() { stop_entry(1); });
		break;
	default:
		break;
	}
}

void World::strike(int from, int to, bool repeatable, bool *drop,
		   uint64_t *delay, bool *duplicate)
{
	for (const Strike &s : opt.strikes) {
		if (s.step != step)
			continue;
		if (s.fault == Fault::kDrop)
			*drop = true;
		else if (s.fault == Fault::kDelayShort)
			*delay += kDelayShortUs;
		else if (s.fault == Fault::kDelayLong)
			*delay += kDelayLongUs;
		else if (s.fault == Fault::kDuplicate)
			*duplicate = repeatable;
		else
			apply(s.fault, from, to);
		log(std::string("strike ") + fault_name(s.fault) + " on " +
		    participant_name(from) + " to " + participant_name(to));
	}
}

void World::transmit(int from, int to, const std::string &what, uint64_t delay,
		     bool repeatable, std::function<void()> deliver)
{
	bool drop = false;
	bool duplicate = false;

	if (counting_steps) {
		step++;
		strike(from, to, repeatable, &drop, &delay, &duplicate);
	}
	if (opt.trace && what != "ping" && what != "pong")
		log(participant_name(from) + " -> " + participant_name(to) +
		    " " + what + (drop ? " DROPPED" : "") +
		    (is_cut(from, to) ? " CUT" : ""));
	if (drop || is_cut(from, to))
		return;
	at(delay, [=]() {
		if (!is_cut(from, to))
			deliver();
	});
	if (duplicate)
		at(delay + kDelayShortUs, deliver);
}

/* ## Platform */

/* Sends all present rosters to an entry instance, as a watch on the platform
 * does. */
void World::publish_rosters(int id)
{
	Entry &n = *entries[id];

	if (!n.alive || platform_down || is_cut(id, kPlatformId))
		return;
	for (auto &r : rosters) {
		uint64_t idx = r.second.first;
		std::string doc = r.second.second;

		transmit(kPlatformId, id, "roster", kPlatformLatencyUs, true,
			 [=]() {
				 Entry &m = *entries[id];

				 deliver_input(id, m.incarnation, [=]() {
					 ph_core_roster_seen(
						 entries[id]->core, now, idx,
						 doc.data(), doc.size());
				 });
			 });
	}
}

void World::publish_rosters_to_all()
{
	for (size_t i = 0; i < entries.size(); i++)
		publish_rosters((int)i);
}

void World::platform_read(int id)
{
	uint64_t incarnation = entries[id]->incarnation;
	std::string domain = entries[id]->domain;
	auto replied = std::make_shared<bool>(false);
	auto reply = [=](int err, uint64_t idx, const std::string &doc) {
		deliver_input(id, incarnation, [=]() {
			if (*replied)
				return;
			*replied = true;
			ph_core_roster_read(entries[id]->core, now, err, idx,
					    doc.empty() ? nullptr : doc.data(),
					    doc.size());
		});
	};

	at(kCallTimeoutUs, [=]() { reply(PH_ERR_TIMEOUT, 0, ""); });
	transmit(id, kPlatformId, "read", kPlatformLatencyUs, false, [=]() {
		if (platform_down)
			return;
		auto it = rosters.find(domain);
		uint64_t idx = it == rosters.end() ? 0 : it->second.first;
		std::string doc = it == rosters.end() ? "" : it->second.second;
		uint64_t slow = platform_slow ? 1000 * kMs : 0;

		transmit(kPlatformId, id, "value", kPlatformLatencyUs + slow,
			 false, [=]() { reply(0, idx, doc); });
	});
}

void World::platform_write(int id, uint64_t expected, std::string doc)
{
	uint64_t incarnation = entries[id]->incarnation;
	std::string domain = entries[id]->domain;
	auto replied = std::make_shared<bool>(false);
	auto reply = [=](int err) {
		deliver_input(id, incarnation, [=]() {
			if (*replied)
				return;
			*replied = true;
			ph_core_roster_written(entries[id]->core, now, err);
		});
	};

	log(participant_name(id) + " writes " + doc);
	at(kCallTimeoutUs, [=]() { reply(PH_ERR_TIMEOUT); });
	transmit(id, kPlatformId, "write", kPlatformLatencyUs, false, [=]() {
		if (platform_down)
			return;
		auto it = rosters.find(domain);
		uint64_t have = it == rosters.end() ? 0 : it->second.first;
		int err = have == expected ? 0 : PH_ERR_CONFLICT;
		uint64_t slow = platform_slow ? 1000 * kMs : 0;

		if (!err) {
			rosters[domain] = { ++index, doc };
			publish_rosters_to_all();
		}
		transmit(kPlatformId, id, "written", kPlatformLatencyUs + slow,
			 false, [=]() { reply(err); });
	});
}

/* ## Endpoints */

void World::endpoint_call(int id, const ph_start *start)
{
	uint64_t incarnation = entries[id]->incarnation;
	uint64_t start_id = start->start_id;
	std::string addr = start->addr;
	std::string task =
		std::string(start->key) + "/" + std::to_string(start->index);
	auto replied = std::make_shared<bool>(false);
	auto reply = [=](ph_outcome outcome) {
		deliver_input(id, incarnation, [=]() {
			if (*replied)
				return;
			*replied = true;
			ph_core_task_done(entries[id]->core, now, start_id,
					  outcome, 200, "1", 1);
		});
	};
	size_t endpoint_index = 0;

	while (endpoints[endpoint_index].addr != addr)
		endpoint_index++;
	int ep = kEndpointBase + (int)endpoint_index;
	at(2 * kCallTimeoutUs, [=]() { reply(PH_OUTCOME_AMBIGUOUS); });
	transmit(id, ep, "run " + task, kNetworkLatencyUs, false, [=]() {
		Endpoint &e = endpoints[endpoint_index];
		uint64_t call_incarnation = e.incarnation;

		if (!e.alive || e.running >= e.slots || e.leaving) {
			ph_outcome refused = e.leaving ? PH_OUTCOME_LEAVING
						       : PH_OUTCOME_NOT_STARTED;

			transmit(ep, id, "refused", kNetworkLatencyUs, false,
				 [=]() { reply(refused); });
			return;
		}
		e.running++;
		log("START " + task);
		if (++starts[task] > 1)
			add_violation("task " + task + " started twice");
		at(kTaskRunUs, [=]() {
			Endpoint &f = endpoints[endpoint_index];

			if (f.incarnation != call_incarnation) {
				reply(PH_OUTCOME_AMBIGUOUS);
				return;
			}
			f.running--;
			transmit(ep, id, "result", kNetworkLatencyUs, false,
				 [=]() { reply(PH_OUTCOME_DONE); });
		});
	});
}

/* ## Callers */

void World::submit(int caller)
{
	Caller &c = callers[caller];

	if (c.ended || now > c.begin_us + kResubmitForUs)
		return;
	c.attempt++;
	uint32_t attempt = c.attempt;
	int id = c.via[(attempt - 1) % c.via.size()];
	transmit(kCallerBase + caller, id,
		 "submit attempt " + std::to_string(attempt), kNetworkLatencyUs,
		 false, [=]() {
			 Entry &n = *entries[id];

			 if (!n.alive)
				 return;
			 deliver_input(id, n.incarnation, [=]() {
				 Entry &m = *entries[id];
				 Caller &d = callers[caller];
				 uint64_t token = m.next_token++;
				 ph_request q = {};

				 m.callers[token] = caller;
				 q.type = PH_REQUEST_SUBMIT;
				 q.attempt = attempt;
				 q.team = d.team.c_str();
				 q.service = "s";
				 q.id = d.id.c_str();
				 q.body = kBody;
				 q.body_len = sizeof(kBody) - 1;
				 ph_core_request(m.core, now, token, &q);
			 });
		 });
	at(kResubmitUs, [=]() { submit(caller); });
}

void World::cancel(int caller)
{
	Caller &c = callers[caller];
	int id = c.via[c.via.size() - 1];

	transmit(kCallerBase + caller, id, "cancel", kNetworkLatencyUs, false,
		 [=]() {
			 Entry &n = *entries[id];

			 if (!n.alive)
				 return;
			 deliver_input(id, n.incarnation, [=]() {
				 Entry &m = *entries[id];
				 uint64_t token = m.next_token++;
				 ph_request q = {};

				 m.callers[token] = caller;
				 q.type = PH_REQUEST_CANCEL;
				 q.team = callers[caller].team.c_str();
				 q.service = "s";
				 q.id = callers[caller].id.c_str();
				 ph_core_request(m.core, now, token, &q);
			 });
		 });
}

void World::answer(int caller, int status, const std::string &doc)
{
	Caller &c = callers[caller];
	json_t *json;
	json_t *tasks;
	json_t *item;
	size_t i;

	log("caller" + std::to_string(caller) + " gets " +
	    std::to_string(status) + " " + doc);
	if (status == 503)
		return;
	/* The job has ended; the limit on retained answers evicted its own. */
	if (status == 410 && opt.answer_bytes_max) {
		c.ended = true;
		return;
	}
	if (status != 200) {
		add_violation("caller got status " + std::to_string(status));
		return;
	}
	json = json_loadb(doc.data(), doc.size(), 0, nullptr);
	tasks = json_object_get(json, "tasks");
	const char *id = json_string_value(json_object_get(json, "id"));
	const char *state = json_string_value(json_object_get(json, "state"));
	bool cancelled = json_is_true(json_object_get(json, "cancelled"));
	bool complete = state && !strcmp(state, "complete");
	size_t count = json_array_size(tasks);
	size_t done = 0;

	if (!id || c.id != id)
		add_violation("answer carries the id of another job");
	if (count != kTasks && !(cancelled && count == 0))
		add_violation("answer has " + std::to_string(count) +
			      " tasks instead of " + std::to_string(kTasks));
	if (count == 0)
		for (int t = 0; t < kTasks; t++)
			c.not_run.insert(t);
	json_array_foreach (tasks, i, item) {
		std::string cls =
			json_string_value(json_object_get(item, "class"));

		if (cls == "done") {
			done++;
			c.done.insert((int)i);
		} else if (cls == "not-run") {
			c.not_run.insert((int)i);
		} else if (cls != "may-have-run") {
			add_violation("answer has a task of class " + cls);
		}
	}
	if (complete != (done == kTasks && count == kTasks))
		add_violation("answer's state is not complete exactly if all "
			      "of its tasks "
			      "are done");
	json_decref(json);
	c.ended = true;
}

void World::check_end()
{
	for (Caller &c : callers) {
		std::string key = c.team + "/" + c.id + "/";

		for (int t : c.not_run)
			if (starts[key + std::to_string(t)])
				add_violation(
					"task " + key + std::to_string(t) +
					" was reported as not-run but started");
		for (int t : c.done)
			if (!starts[key + std::to_string(t)])
				add_violation("task " + key +
					      std::to_string(t) +
					      " was reported as done but never "
					      "started");
		if (c.ended)
			result.answered++;
		else
			result.unanswered++;
	}
	for (auto &n : entries) {
		if (!n->alive)
			continue;
		struct ph_buf dump;
		ph_buf_init(&dump, ph_mem_default());
		ph_core_dump(n->core, now, &dump);
		json_t *doc = json_loadb(dump.data, dump.len, 0, nullptr);
		json_t *ledger = json_object_get(doc, "ledger");

		if (json_integer_value(json_object_get(ledger, "live")))
			add_violation("a job has not ended at " + n->name);
		if (opt.trace)
			printf("%s\n", dump.data);
		if (json_integer_value(json_object_get(doc, "running")))
			add_violation("a task is still running at " + n->name);
		json_decref(doc);
		ph_buf_free(&dump);
	}
}

void World::run()
{
	int home = opt.home_entries;

	if (ph_config_parse(ph_mem_default(), kConfig, sizeof(kConfig) - 1,
			    &config, nullptr, nullptr)) {
		add_violation("configuration is invalid");
		return;
	}
	for (int i = 0; i < home + 1; i++) {
		auto n = std::make_unique<Entry>();

		n->world = this;
		n->id = i;
		n->domain = i < home ? "a" : "b";
		n->name = "n" + std::to_string(i);
		n->addr = "10.0.0." + std::to_string(i) + ":1";
		entries.push_back(std::move(n));
	}
	for (int i = 0; i < 3; i++) {
		Endpoint e;

		e.domain = i < 2 ? "a" : "b";
		e.name = "e" + std::to_string(i);
		e.addr = "10.0.1." + std::to_string(i) + ":1";
		endpoints.push_back(e);
	}
	/* All jobs have the home domain a; the first attempts arrive at the
	 * entry instance of b, which relays them, and at each one of a. */
	callers.push_back(
		{ "t1", "a~j1", { home, 0, 1 }, 0, 0, 0, false, {}, {} });
	callers.push_back(
		{ "t2", "a~j2", { 0, 1, home }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t1", "a~j3", { 1, 0 }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t2", "a~j4", { 1, 0 }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t2", "a~j5", { 0, 1 }, 0, 0, 0, false, {}, {} });
	callers[2].cancel_us = 45 * kMs;
	for (size_t i = 0; i < entries.size(); i++) {
		at(i * 60 * kMs, [=]() { start_entry((int)i); });
	}
	for (size_t i = 0; i < callers.size(); i++) {
		at(kFirstSubmitUs + i * 7 * kMs, [=]() {
			counting_steps = true;
			callers[i].begin_us = now;
			submit((int)i);
			if (callers[i].cancel_us)
				at(callers[i].cancel_us,
				   [=]() { cancel((int)i); });
		});
	}
	while (!events.empty()) {
		Event e = events.top();

		events.pop();
		now = e.at;
		if (now > kSimulationEndUs)
			break;
		e.action();
	}
	result.steps = step;
	check_end();
	for (auto &n : entries)
		ph_core_free(n->core);
	ph_config_free(config);
}

} // namespace

const char *fault_name(Fault fault)
{
	static const char *const names[] = {
		"none",		 "drop",	   "delay-short",
		"delay-long",	 "duplicate",	   "kill-sender",
		"kill-receiver", "freeze-sender",  "freeze-receiver",
		"freeze-long",	 "cut-pair",	   "cut-domain",
		"isolate-first", "isolate-second", "platform-down",
		"platform-slow", "endpoint-kill",  "endpoint-leave",
		"stop-first",	 "stop-second",
	};

	return names[(int)fault];
}

Result run(const Options &options)
{
	World world;

	world.opt = options;
	world.run();
	return world.result;
}

} // namespace sim
