#include "sim.h"

#include <cstdio>
#include <cstring>
#include <memory>

#include <jansson.h>

namespace sim
{

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kNetUs = 1 * kMs;
constexpr uint64_t kPlatformUs = 3 * kMs;
constexpr uint64_t kTickUs = 20 * kMs;
constexpr uint64_t kRunUs = 60 * kMs;
constexpr uint64_t kTimeoutUs = 300 * kMs;
constexpr uint64_t kSettleUs = 800 * kMs;
constexpr uint64_t kOutageUs = 2500 * kMs;
constexpr uint64_t kFreezeUs = 1300 * kMs;
constexpr uint64_t kFreezeLongUs = 2600 * kMs;
constexpr uint64_t kDelayShortUs = 350 * kMs;
constexpr uint64_t kDelayLongUs = 1500 * kMs;
constexpr uint64_t kResubmitUs = 250 * kMs;
constexpr uint64_t kHorizonUs = 5000 * kMs;
constexpr uint64_t kRememberUs = 9000 * kMs;
constexpr uint64_t kEndUs = 26000 * kMs;
constexpr int kTasks = 3;
constexpr int kPlatform = 100;
constexpr int kEndpointBase = 200;
constexpr int kClientBase = 300;

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

struct Node {
	World *world = nullptr;
	int id = 0;
	std::string name;
	std::string domain;
	std::string addr;
	ph_core *core = nullptr;
	bool alive = false;
	bool frozen = false;
	uint64_t life = 0;
	std::vector<std::function<void()>> backlog;
	/* Local tokens of callers' requests. */
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
	uint64_t life = 1;
};

struct Caller {
	std::string team;
	std::string id;
	std::vector<int> via;
	uint64_t begin_us = 0;
	uint64_t cancel_us = 0;
	uint32_t attempt = 0;
	bool ended = false;
	/* Tasks that some answer called not-run, or done. */
	std::set<int> not_run;
	std::set<int> done;
};

struct Event {
	uint64_t at;
	uint64_t order;
	std::function<void()> what;
	bool operator<(const Event &other) const
	{
		if (at != other.at)
			return at > other.at;
		return order > other.order;
	}
};

struct World {
	Options opt;
	Result result;
	uint64_t now = 1000000;
	uint64_t order = 0;
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Endpoint> endpoints;
	std::vector<Caller> callers;
	std::map<std::string, std::pair<uint64_t, std::string>> rosters;
	uint64_t index = 0;
	bool platform_down = false;
	bool platform_slow = false;
	std::set<std::pair<int, int>> cuts;
	std::map<std::string, int> starts;
	ph_config *config = nullptr;
	bool counting = false;
	uint64_t step = 0;
	uint64_t last_heal_us = 0;

	void at(uint64_t delay, std::function<void()> what)
	{
		events.push(Event{ now + delay, order++, std::move(what) });
	}

	bool is_cut(int x, int y) const
	{
		return cuts.count({ x, y }) != 0;
	}

	void violate(const std::string &what)
	{
		result.violations.push_back(what);
	}

	void log(const std::string &what) const
	{
		if (opt.trace)
			printf("%8.3f  #%-4lu %s\n", (double)now / 1e6,
			       (unsigned long)step, what.c_str());
	}

	/* ## Nodes */

	/* Runs an input at a node: at once, or when it is thawed. */
	void input(int id, uint64_t life, std::function<void()> what)
	{
		Node &n = *nodes[id];

		if (!n.alive || n.life != life)
			return;
		if (n.frozen)
			n.backlog.push_back(std::move(what));
		else
			what();
	}

	void start_node(int id);
	void tick(int id, uint64_t life);
	void kill_node(int id);
	void freeze_node(int id, uint64_t for_us);
	void stop_node(int id);
	Node *by_addr(const std::string &addr);

	/* ## Network */

	void strike(int from, int to, bool repeatable, bool *drop,
		    uint64_t *delay, bool *twice);
	void transmit(int from, int to, const std::string &what, uint64_t delay,
		      bool repeatable, std::function<void()> deliver);
	void apply(Fault fault, int from, int to);
	void cut_for(int x, int y, uint64_t for_us);
	void publish(int id);
	void publish_all();

	/* ## Outside */

	void platform_read(int id);
	void platform_write(int id, uint64_t index, std::string doc);
	void endpoint_call(int id, const ph_start *start);
	void submit(int caller);
	void cancel(int caller);
	void answer(int caller, int status, const std::string &doc);
	void check_end();
	void run();
};

std::string name_of(int id)
{
	if (id == kPlatform)
		return "platform";
	if (id >= kClientBase)
		return "caller" + std::to_string(id - kClientBase);
	if (id >= kEndpointBase)
		return "endpoint" + std::to_string(id - kEndpointBase);
	return "node" + std::to_string(id);
}

/* ## The core's sink */

void sink_send(void *ctx, const char *addr, const ph_msg *msg)
{
	static const char *const names[] = {
		"?",	   "ping", "pong",   "request",	    "reply",
		"records", "ack",  "roster", "handed-over", "config",
	};
	Node *n = static_cast<Node *>(ctx);
	World *w = n->world;
	Node *to = w->by_addr(addr);
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
	uint64_t from_life = n->life;
	std::string dest = addr;
	w->transmit(n->id, to_id, what, kNetUs, true,
		    [w, to_id, from_id, from_life, bytes, dest]() {
			    Node &to_node = *w->nodes[to_id];

			    if (!to_node.alive) {
				    w->input(from_id, from_life, [=]() {
					    ph_core_connection_refused(
						    w->nodes[from_id]->core,
						    w->now, dest.c_str());
				    });
				    return;
			    }
			    w->input(to_id, to_node.life, [=]() {
				    ph_decoded_msg *box = nullptr;

				    if (ph_msg_decode(ph_mem_default(),
						      bytes.data(),
						      bytes.size(), &box)) {
					    w->violate("undecodable message");
					    return;
				    }
				    ph_core_message(w->nodes[to_id]->core,
						    w->now,
						    ph_decoded_msg_get(box));
				    ph_decoded_msg_free(box);
			    });
		    });
}

void sink_start(void *ctx, const ph_start *start)
{
	Node *n = static_cast<Node *>(ctx);

	n->world->endpoint_call(n->id, start);
}

void sink_reply(void *ctx, uint64_t token, int status, const char *doc,
		size_t len)
{
	Node *n = static_cast<Node *>(ctx);
	World *w = n->world;
	std::string text(doc, len);
	auto it = n->callers.find(token);

	if (it == n->callers.end()) {
		w->violate("a request was answered twice");
		return;
	}
	int caller = it->second;
	n->callers.erase(it);
	w->transmit(n->id, kClientBase + caller, "answer", kNetUs, false,
		    [=]() { w->answer(caller, status, text); });
}

void sink_roster_read(void *ctx)
{
	Node *n = static_cast<Node *>(ctx);

	n->world->platform_read(n->id);
}

void sink_roster_write(void *ctx, uint64_t index, const char *doc, size_t len)
{
	Node *n = static_cast<Node *>(ctx);

	n->world->platform_write(n->id, index, std::string(doc, len));
}

const ph_core_sink kSink = {
	sink_send, sink_start, sink_reply, sink_roster_read, sink_roster_write,
};

/* ## Nodes */

Node *World::by_addr(const std::string &addr)
{
	for (auto &n : nodes)
		if (n->addr == addr)
			return n.get();
	return nullptr;
}

void World::start_node(int id)
{
	Node &n = *nodes[id];
	ph_core_options o = {};
	std::vector<ph_endpoint_info> listed;

	o.mem = ph_mem_default();
	o.name = n.name.c_str();
	o.domain = n.domain.c_str();
	o.addr = n.addr.c_str();
	n.life++;
	o.incarnation = (uint64_t)(id + 1) * 1000000 + n.life * 1000;
	o.ping_every_us = 100 * kMs;
	o.suspect_after_us = 400 * kMs;
	o.solo_after_us = 800 * kMs;
	o.retention_us = kRememberUs;
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
	for (auto &other : nodes)
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
	publish(id);
	tick(id, n.life);
}

void World::tick(int id, uint64_t life)
{
	Node &n = *nodes[id];

	if (!n.alive || n.life != life)
		return;
	if (!n.frozen) {
		ph_core_tick(n.core, now);
		if (ph_core_stopped(n.core) && n.callers.empty()) {
			kill_node(id);
			return;
		}
	}
	at(kTickUs, [=]() { tick(id, life); });
}

void World::kill_node(int id)
{
	Node &n = *nodes[id];

	if (!n.alive)
		return;
	log("kill " + n.name);
	n.alive = false;
	n.backlog.clear();
	for (auto &c : n.callers)
		log("caller " + std::to_string(c.second) + " is cut off");
	n.callers.clear();
	ph_core_free(n.core);
	n.core = nullptr;
	last_heal_us = now + kOutageUs;
	at(kOutageUs, [=]() { start_node(id); });
}

void World::freeze_node(int id, uint64_t for_us)
{
	Node &n = *nodes[id];
	uint64_t life = n.life;

	if (!n.alive || n.frozen)
		return;
	log("freeze " + n.name);
	n.frozen = true;
	last_heal_us = now + for_us;
	at(for_us, [=]() {
		Node &m = *nodes[id];

		if (!m.alive || m.life != life)
			return;
		log("thaw " + m.name);
		m.frozen = false;
		auto backlog = std::move(m.backlog);
		m.backlog.clear();
		/* Timers may run before what has piled up is read. */
		ph_core_tick(m.core, now);
		for (auto &f : backlog)
			if (m.alive)
				f();
	});
}

void World::stop_node(int id)
{
	Node &n = *nodes[id];

	if (!n.alive)
		return;
	log("stop " + n.name);
	uint64_t life = n.life;
	input(id, life, [=]() { ph_core_stop(nodes[id]->core, now); });
}

/* ## Network */

void World::cut_for(int x, int y, uint64_t for_us)
{
	cuts.insert({ x, y });
	cuts.insert({ y, x });
	last_heal_us = now + for_us;
	at(for_us, [=]() {
		cuts.erase({ x, y });
		cuts.erase({ y, x });
		publish_all();
	});
}

void World::apply(Fault fault, int from, int to)
{
	int count = (int)nodes.size();
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
			at(0, [=]() { kill_node(id); });
		else
			freeze_node(id, fault == Fault::kFreezeLong
						? kFreezeLongUs
						: kFreezeUs);
		break;
	}
	case Fault::kCutPair:
		cut_for(0, 1, kOutageUs);
		break;
	case Fault::kCutDomain:
		for (int i = 0; i < home; i++) {
			for (int j = home; j < count; j++)
				cut_for(i, j, kOutageUs);
			cut_for(i, kPlatform, kOutageUs);
		}
		break;
	case Fault::kIsolateFirst:
	case Fault::kIsolateSecond: {
		int id = fault == Fault::kIsolateFirst ? 0 : 1;

		for (int j = 0; j < count; j++)
			if (j != id)
				cut_for(id, j, kOutageUs);
		cut_for(id, kPlatform, kOutageUs);
		break;
	}
	case Fault::kPlatformDown:
		platform_down = true;
		last_heal_us = now + kOutageUs;
		at(kOutageUs, [=]() {
			platform_down = false;
			publish_all();
		});
		break;
	case Fault::kPlatformSlow:
		platform_slow = true;
		last_heal_us = now + kOutageUs;
		at(kOutageUs, [=]() { platform_slow = false; });
		break;
	case Fault::kEndpointKill:
		endpoints[0].alive = false;
		endpoints[0].life++;
		endpoints[0].running = 0;
		at(kOutageUs, [=]() { endpoints[0].alive = true; });
		break;
	case Fault::kEndpointLeave:
		endpoints[0].leaving = true;
		break;
	case Fault::kStopFirst:
		at(0, [=]() { stop_node(0); });
		break;
	case Fault::kStopSecond:
		at(0, [=]() { stop_node(1); });
		break;
	default:
		break;
	}
}

void World::strike(int from, int to, bool repeatable, bool *drop,
		   uint64_t *delay, bool *twice)
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
			*twice = repeatable;
		else
			apply(s.fault, from, to);
		log(std::string("strike ") + fault_name(s.fault) + " on " +
		    name_of(from) + " to " + name_of(to));
	}
}

void World::transmit(int from, int to, const std::string &what, uint64_t delay,
		     bool repeatable, std::function<void()> deliver)
{
	bool drop = false;
	bool twice = false;

	if (counting) {
		step++;
		strike(from, to, repeatable, &drop, &delay, &twice);
	}
	if (opt.trace && what != "ping" && what != "pong")
		log(name_of(from) + " -> " + name_of(to) + " " + what +
		    (drop ? " DROPPED" : "") +
		    (is_cut(from, to) ? " CUT" : ""));
	if (drop || is_cut(from, to))
		return;
	at(delay, [=]() {
		if (!is_cut(from, to))
			deliver();
	});
	if (twice)
		at(delay + kDelayShortUs, deliver);
}

/* ## Platform */

/* What a watch would bring: all rosters as they are now. */
void World::publish(int id)
{
	Node &n = *nodes[id];

	if (!n.alive || platform_down || is_cut(id, kPlatform))
		return;
	for (auto &r : rosters) {
		uint64_t idx = r.second.first;
		std::string doc = r.second.second;

		transmit(kPlatform, id, "news", kPlatformUs, true, [=]() {
			Node &m = *nodes[id];

			input(id, m.life, [=]() {
				ph_core_roster_seen(nodes[id]->core, now, idx,
						    doc.data(), doc.size());
			});
		});
	}
}

void World::publish_all()
{
	for (size_t i = 0; i < nodes.size(); i++)
		publish((int)i);
}

void World::platform_read(int id)
{
	uint64_t life = nodes[id]->life;
	std::string domain = nodes[id]->domain;
	auto answered = std::make_shared<bool>(false);
	auto reply = [=](int err, uint64_t idx, const std::string &doc) {
		input(id, life, [=]() {
			if (*answered)
				return;
			*answered = true;
			ph_core_roster_read(nodes[id]->core, now, err, idx,
					    doc.empty() ? nullptr : doc.data(),
					    doc.size());
		});
	};

	at(kTimeoutUs, [=]() { reply(PH_ERR_TIMEOUT, 0, ""); });
	transmit(id, kPlatform, "read", kPlatformUs, false, [=]() {
		if (platform_down)
			return;
		auto it = rosters.find(domain);
		uint64_t idx = it == rosters.end() ? 0 : it->second.first;
		std::string doc = it == rosters.end() ? "" : it->second.second;
		uint64_t slow = platform_slow ? 1000 * kMs : 0;

		transmit(kPlatform, id, "value", kPlatformUs + slow, false,
			 [=]() { reply(0, idx, doc); });
	});
}

void World::platform_write(int id, uint64_t expected, std::string doc)
{
	uint64_t life = nodes[id]->life;
	std::string domain = nodes[id]->domain;
	auto answered = std::make_shared<bool>(false);
	auto reply = [=](int err) {
		input(id, life, [=]() {
			if (*answered)
				return;
			*answered = true;
			ph_core_roster_written(nodes[id]->core, now, err);
		});
	};

	log(name_of(id) + " writes " + doc);
	at(kTimeoutUs, [=]() { reply(PH_ERR_TIMEOUT); });
	transmit(id, kPlatform, "write", kPlatformUs, false, [=]() {
		if (platform_down)
			return;
		auto it = rosters.find(domain);
		uint64_t have = it == rosters.end() ? 0 : it->second.first;
		int err = have == expected ? 0 : PH_ERR_CONFLICT;
		uint64_t slow = platform_slow ? 1000 * kMs : 0;

		if (!err) {
			rosters[domain] = { ++index, doc };
			publish_all();
		}
		transmit(kPlatform, id, "written", kPlatformUs + slow, false,
			 [=]() { reply(err); });
	});
}

/* ## Endpoints */

void World::endpoint_call(int id, const ph_start *start)
{
	uint64_t life = nodes[id]->life;
	uint64_t start_id = start->start_id;
	std::string addr = start->addr;
	std::string task =
		std::string(start->key) + "/" + std::to_string(start->index);
	auto answered = std::make_shared<bool>(false);
	auto reply = [=](ph_outcome outcome) {
		input(id, life, [=]() {
			if (*answered)
				return;
			*answered = true;
			ph_core_task_done(nodes[id]->core, now, start_id,
					  outcome, 200, "1", 1);
		});
	};
	size_t at_endpoint = 0;

	while (endpoints[at_endpoint].addr != addr)
		at_endpoint++;
	int ep = kEndpointBase + (int)at_endpoint;
	at(2 * kTimeoutUs, [=]() { reply(PH_OUTCOME_AMBIGUOUS); });
	transmit(id, ep, "run " + task, kNetUs, false, [=]() {
		Endpoint &e = endpoints[at_endpoint];
		uint64_t e_life = e.life;

		if (!e.alive || e.running >= e.slots || e.leaving) {
			ph_outcome refused = e.leaving ? PH_OUTCOME_LEAVING
						       : PH_OUTCOME_NOT_STARTED;

			transmit(ep, id, "refused", kNetUs, false,
				 [=]() { reply(refused); });
			return;
		}
		e.running++;
		log("START " + task);
		if (++starts[task] > 1)
			violate("task " + task + " started twice");
		at(kRunUs, [=]() {
			Endpoint &f = endpoints[at_endpoint];

			if (f.life != e_life) {
				reply(PH_OUTCOME_AMBIGUOUS);
				return;
			}
			f.running--;
			transmit(ep, id, "result", kNetUs, false,
				 [=]() { reply(PH_OUTCOME_DONE); });
		});
	});
}

/* ## Callers */

void World::submit(int caller)
{
	Caller &c = callers[caller];

	if (c.ended || now > c.begin_us + kHorizonUs)
		return;
	c.attempt++;
	uint32_t attempt = c.attempt;
	int id = c.via[(attempt - 1) % c.via.size()];
	transmit(kClientBase + caller, id,
		 "submit attempt " + std::to_string(attempt), kNetUs, false,
		 [=]() {
			 Node &n = *nodes[id];

			 if (!n.alive)
				 return;
			 input(id, n.life, [=]() {
				 Node &m = *nodes[id];
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

	transmit(kClientBase + caller, id, "cancel", kNetUs, false, [=]() {
		Node &n = *nodes[id];

		if (!n.alive)
			return;
		input(id, n.life, [=]() {
			Node &m = *nodes[id];
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
	/* The job has ended, and its answer was dropped for want of memory. */
	if (status == 410 && opt.answer_bytes_max) {
		c.ended = true;
		return;
	}
	if (status != 200) {
		violate("status " + std::to_string(status));
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
		violate("answer of another request");
	if (count != kTasks && !(cancelled && count == 0))
		violate("answer is not whole");
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
			violate("answer with a task that is " + cls);
		}
	}
	if (complete != (done == kTasks && count == kTasks))
		violate("answer is partial");
	json_decref(json);
	c.ended = true;
}

void World::check_end()
{
	for (Caller &c : callers) {
		std::string key = c.team + "/" + c.id + "/";

		for (int t : c.not_run)
			if (starts[key + std::to_string(t)])
				violate("task " + key + std::to_string(t) +
					" was called not-run but started");
		for (int t : c.done)
			if (!starts[key + std::to_string(t)])
				violate("task " + key + std::to_string(t) +
					" was called done but never started");
		if (c.ended)
			result.answered++;
		else
			result.pending++;
	}
	for (auto &n : nodes) {
		if (!n->alive)
			continue;
		struct ph_buf dump;
		ph_buf_init(&dump, ph_mem_default());
		ph_core_dump(n->core, now, &dump);
		json_t *doc = json_loadb(dump.data, dump.len, 0, nullptr);
		json_t *ledger = json_object_get(doc, "ledger");

		if (json_integer_value(json_object_get(ledger, "live")))
			violate("a job never ended at " + n->name);
		if (opt.trace)
			printf("%s\n", dump.data);
		if (json_integer_value(json_object_get(doc, "running")))
			violate("a task still runs at " + n->name);
		json_decref(doc);
		ph_buf_free(&dump);
	}
}

void World::run()
{
	int home = opt.home_entries;

	if (ph_config_parse(ph_mem_default(), kConfig, sizeof(kConfig) - 1,
			    &config, nullptr, nullptr)) {
		violate("configuration is invalid");
		return;
	}
	for (int i = 0; i < home + 1; i++) {
		auto n = std::make_unique<Node>();

		n->world = this;
		n->id = i;
		n->domain = i < home ? "a" : "b";
		n->name = "n" + std::to_string(i);
		n->addr = "10.0.0." + std::to_string(i) + ":1";
		nodes.push_back(std::move(n));
	}
	for (int i = 0; i < 3; i++) {
		Endpoint e;

		e.domain = i < 2 ? "a" : "b";
		e.name = "e" + std::to_string(i);
		e.addr = "10.0.1." + std::to_string(i) + ":1";
		endpoints.push_back(e);
	}
	/* Jobs at home in domain a: relayed from b, and from each of a. */
	callers.push_back(
		{ "t1", "a~j1", { home, 0, 1 }, 0, 0, 0, false, {}, {} });
	callers.push_back(
		{ "t2", "a~j2", { 0, 1, home }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t1", "a~j3", { 1, 0 }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t2", "a~j4", { 1, 0 }, 0, 0, 0, false, {}, {} });
	callers.push_back({ "t2", "a~j5", { 0, 1 }, 0, 0, 0, false, {}, {} });
	callers[2].cancel_us = 45 * kMs;
	for (size_t i = 0; i < nodes.size(); i++) {
		at(i * 60 * kMs, [=]() { start_node((int)i); });
	}
	for (size_t i = 0; i < callers.size(); i++) {
		at(kSettleUs + i * 7 * kMs, [=]() {
			counting = true;
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
		if (now > kEndUs)
			break;
		e.what();
	}
	result.steps = step;
	check_end();
	for (auto &n : nodes)
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
