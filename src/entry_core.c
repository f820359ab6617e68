#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry_core_impl.h"

/* A gap between two inputs of more than this many tick intervals counts as a
 * pause of the process. */
#define PAUSE_TICKS 5U
/* Most jobs in a state dump. */
#define DUMP_MAX_JOBS 50U

struct ph_core *ph_core_new(const struct ph_core_options *options,
			    uint64_t now_us)
{
	struct ph_core *core = options->mem->calloc(1, sizeof(*core));

	core->mem = options->mem;
	core->opt = *options;
	ph_strcopy(core->self.name, PH_NAME_BYTES, options->name);
	ph_strcopy(core->self.addr, PH_ADDR_BYTES, options->addr);
	ph_strcopy(core->domain, PH_NAME_BYTES, options->domain);
	core->self.incarnation = options->incarnation;
	core->non_member_since_us = now_us ? now_us : 1;
	/* Relay tokens start at a value of the incarnation's own, so that
	 * replies meant for an earlier incarnation match no relay. */
	core->token =
		ph_hash(&options->incarnation, sizeof(options->incarnation));
	core->last_input_us = now_us;
	core->resumed_us = now_us;
	ph_ledger_init(&core->ledger, core->mem);
	return core;
}

void ph_core_free(struct ph_core *core)
{
	size_t i;

	if (!core)
		return;
	ph_requests_free(core);
	for (i = 0; i < PH_MAX_PEERS; i++) {
		core->mem->free(core->peers[i].out.dirty);
		core->mem->free(core->peers[i].out.batch);
	}
	ph_ledger_free(&core->ledger);
	for (i = 0; i < core->service_queue_count; i++) {
		ph_queue_free(core->service_queues[i].queue);
		ph_endpoints_free(core->service_queues[i].endpoints);
	}
	core->mem->free(core->service_queues);
	core->mem->free(core->running);
	core->mem->free(core);
}

void ph_core_enter(struct ph_core *core, uint64_t now_us)
{
	uint64_t longest_us = (uint64_t)PAUSE_TICKS * PH_CORE_TICK_US;

	if (now_us > core->last_input_us + longest_us &&
	    ph_rule(core, PH_RULE_PAUSE))
		core->resumed_us = now_us;
	if (now_us > core->last_input_us)
		core->last_input_us = now_us;
}

void ph_core_send(struct ph_core *core, const char *addr, struct ph_msg *msg)
{
	msg->name = core->self.name;
	msg->domain = core->domain;
	msg->addr = core->self.addr;
	msg->incarnation = core->self.incarnation;
	msg->roster_version = core->roster.version;
	msg->config_version = core->config ? core->config->version : 0;
	core->counters.messages_sent++;
	core->opt.sink->send(core->opt.ctx, addr, msg);
}

struct ph_service_queue *ph_core_service_queue(struct ph_core *core,
					       const char *service)
{
	struct ph_service_queue *sq;
	size_t i;

	for (i = 0; i < core->service_queue_count; i++)
		if (!strcmp(core->service_queues[i].endpoints->service,
			    service))
			return &core->service_queues[i];
	core->service_queues = core->mem->realloc(
		core->service_queues, (core->service_queue_count + 1) *
					      sizeof(*core->service_queues));
	sq = &core->service_queues[core->service_queue_count++];
	sq->endpoints = ph_endpoints_new(core->mem, service);
	sq->queue = ph_queue_new(core->mem, core->opt.queue_policy);
	return sq;
}

void ph_core_set_config(struct ph_core *core, uint64_t now_us,
			const struct ph_config *config)
{
	ph_core_enter(core, now_us);
	core->config = config;
	ph_requests_retry(core, now_us);
}

void ph_core_set_endpoints(struct ph_core *core, uint64_t now_us,
			   const char *service,
			   const struct ph_endpoint_info *listed, size_t count)
{
	struct ph_service_queue *sq = ph_core_service_queue(core, service);

	ph_core_enter(core, now_us);
	ph_endpoints_update(sq->endpoints, listed, count);
	ph_endpoints_share_slots(sq->endpoints, &core->roster,
				 ph_membership_self(core));
	ph_dispatch_start_queued(core, now_us);
	ph_replicate_flush(core, now_us);
}

void ph_core_set_evacuated(struct ph_core *core, uint64_t now_us,
			   bool evacuated)
{
	if (evacuated == core->evacuated)
		return;
	ph_core_enter(core, now_us);
	core->evacuated = evacuated;
	ph_dispatch_start_queued(core, now_us);
	ph_replicate_flush(core, now_us);
}

void ph_core_message(struct ph_core *core, uint64_t now_us,
		     const struct ph_msg *msg)
{
	ph_core_enter(core, now_us);
	core->counters.messages_received++;
	ph_peers_heard(core, now_us, msg);
	switch (msg->type) {
	case PH_MSG_PING:
		ph_peers_ping(core, now_us, msg);
		break;
	case PH_MSG_PONG:
		ph_peers_pong(core, now_us, msg);
		break;
	case PH_MSG_REQUEST:
		ph_requests_message(core, now_us, msg);
		break;
	case PH_MSG_REPLY:
		ph_requests_reply(core, now_us, msg);
		break;
	case PH_MSG_RECORDS:
		ph_replicate_records(core, now_us, msg);
		break;
	case PH_MSG_RECORDS_ACK:
		ph_replicate_ack(core, now_us, msg);
		break;
	case PH_MSG_ROSTER:
		ph_membership_apply_roster(core, now_us, 0, msg->doc,
					   msg->doc_len);
		break;
	case PH_MSG_HANDED_OVER:
		ph_membership_handed_over(core, now_us, msg);
		break;
	case PH_MSG_CONFIG:
	case PH_MSG_TYPES:
		break;
	}
	ph_replicate_flush(core, now_us);
}

void ph_core_disconnected(struct ph_core *core, uint64_t now_us,
			  const char *addr)
{
	ph_core_enter(core, now_us);
	ph_requests_target_lost(core, now_us, addr);
}

static bool has_other_members(const struct ph_core *core)
{
	return ph_membership_self(core) >= 0 && core->roster.count > 1;
}

/* A stop is complete when no task runs, no request waits and every record that
 * another instance needs is replicated. */
static void check_stopped(struct ph_core *core)
{
	core->stopped = false;
	if (core->running_count || core->held_count || core->relay_count)
		return;
	if (has_other_members(core)) {
		/* A member leaves the roster first. If the platform is out of
		 * reach, the process may end as a member once its records are
		 * replicated: the other holders take over after its death. */
		if (!core->platform_failing || !ph_replicate_idle(core))
			return;
	} else if (ph_membership_self(core) >= 0) {
		if (core->ledger.live_count)
			return;
	} else if (!ph_replicate_idle(core)) {
		return;
	}
	core->stopped = true;
}

void ph_core_stop(struct ph_core *core, uint64_t now_us)
{
	struct ph_job *job;

	ph_core_enter(core, now_us);
	if (core->stopping)
		return;
	core->stopping = true;
	core->stop_us = now_us;
	ph_ledger_for_each_live (job, &core->ledger)
		ph_replicate(core, now_us, job, true);
	ph_replicate_flush(core, now_us);
}

bool ph_core_stopped(const struct ph_core *core)
{
	return core->stopped;
}

void ph_core_add_seed(struct ph_core *core, const char *addr)
{
	if (core->seed_count < PH_MAX_SEEDS)
		ph_strcopy(core->seeds[core->seed_count++], PH_ADDR_BYTES,
			   addr);
}

bool ph_core_ready(const struct ph_core *core)
{
	return core->config && !core->stopping && core->roster.count > 0;
}

const struct ph_counters *ph_core_counters(const struct ph_core *core)
{
	return &core->counters;
}

void ph_core_tick(struct ph_core *core, uint64_t now_us)
{
	ph_core_enter(core, now_us);
	ph_membership_tick(core, now_us);
	ph_requests_tick(core, now_us);
	ph_dispatch_tick(core, now_us);
	ph_replicate_flush(core, now_us);
	if (core->stopping)
		check_stopped(core);
}

/* ## State dump */

static const char *const liveness_names[] = {
	[PH_ALIVE] = "alive",
	[PH_DEAD_CLEAN] = "dead",
	[PH_DEAD_UNACCOUNTED] = "dead-unaccounted",
};

static json_t *dump_peers(const struct ph_core *core, uint64_t now_us)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];

		if (!p->used)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:I,s:I}", "name",
				  p->member.name, "addr", p->member.addr,
				  "life", liveness_names[p->liveness], "silent",
				  (int)ph_peer_silent(core, p, now_us),
				  "records_waiting", (json_int_t)p->out.count,
				  "sealed_version",
				  (json_int_t)p->synced_to_me));
	}
	return list;
}

static json_t *dump_services(const struct ph_core *core)
{
	json_t *list = json_array();
	size_t i;
	size_t j;

	for (i = 0; i < core->service_queue_count; i++) {
		const struct ph_service_queue *sq = &core->service_queues[i];
		json_t *endpoints = json_array();

		for (j = 0; j < sq->endpoints->count; j++) {
			const struct ph_endpoint *e = sq->endpoints->list[j];

			json_array_append_new(
				endpoints,
				json_pack("{s:s,s:s,s:i,s:i,s:i,s:b,s:i}",
					  "name", e->name, "addr", e->addr,
					  "slots", (int)e->slots, "busy",
					  (int)e->busy, "granted",
					  (int)e->granted, "leaving",
					  (int)e->leaving, "refusals",
					  (int)e->refusals));
		}
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:o}", "service",
					sq->endpoints->service, "queued_jobs",
					(json_int_t)ph_queue_jobs(sq->queue),
					"endpoints", endpoints));
	}
	return list;
}

static const char *const permission_names[] = {
	[PH_START_NONE] = "elsewhere",
	[PH_START_WAIT] = "wait",
	[PH_START_WITH_BACKUP] = "with-copy",
	[PH_START_SOLO] = "alone",
};

/* Queued, bound, started, not run, may have run, done; see ph_task_state. */
static const char task_state_letters[] = "qbsnmd";

/* One object per live job; "tasks" has one letter per task for its state. */
static json_t *dump_jobs(const struct ph_core *core, uint64_t now_us)
{
	json_t *list = json_array();
	struct ph_job *job;

	ph_ledger_for_each_live (job, &core->ledger) {
		char states[PH_MAX_TASKS + 1] = "";
		uint32_t i;

		if (json_array_size(list) == DUMP_MAX_JOBS)
			break;
		for (i = 0; i < job->live->task_count; i++)
			states[i] =
				task_state_letters[job->live->tasks[i].state];
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:b,s:i,s:I}", "key",
				  job->key, "right",
				  permission_names[ph_dispatch_permission(
					  core, job, now_us, NULL)],
				  "tasks", states, "ended", (int)job->ended,
				  "enqueued", (int)job->live->enqueued,
				  "waiters", (int)job->live->waiter_count,
				  "fresh",
				  (json_int_t)job->live->complete_version));
	}
	return list;
}

static json_t *dump_roster(const struct ph_core *core)
{
	struct ph_buf text;
	json_t *doc;

	ph_buf_init(&text, core->mem);
	ph_roster_encode(&core->roster, &text);
	doc = json_loadb(text.data, text.len, 0, NULL);
	ph_buf_free(&text);
	return doc;
}

struct counter_name {
	const char *name;
	size_t offset;
};

#define COUNTER(field)                                                         \
	{                                                                      \
#field, offsetof(struct ph_counters, field)                    \
	}

static const struct counter_name counter_names[] = {
	COUNTER(requests),	  COUNTER(relayed),
	COUNTER(replies),	  COUNTER(pending_replies),
	COUNTER(jobs_accepted),	  COUNTER(jobs_ended),
	COUNTER(tasks_started),	  COUNTER(tasks_started_alone),
	COUNTER(tasks_refused),	  COUNTER(tasks_may_have_run),
	COUNTER(records_sent),	  COUNTER(record_batches),
	COUNTER(records_refused), COUNTER(conflicts),
	COUNTER(takeovers),	  COUNTER(roster_changes),
	COUNTER(messages_sent),	  COUNTER(messages_received),
	COUNTER(links_renewed),	  COUNTER(platform_calls),
	COUNTER(expired),	  COUNTER(answers_dropped),
};

static uint64_t counter_value(const struct ph_core *core, size_t at)
{
	const char *base = (const char *)&core->counters;
	uint64_t value;

	memcpy(&value, base + counter_names[at].offset, sizeof(value));
	return value;
}

#define COUNTER_COUNT (sizeof(counter_names) / sizeof(counter_names[0]))

void ph_core_metrics(const struct ph_core *core, struct ph_buf *out)
{
	size_t i;

	for (i = 0; i < COUNTER_COUNT; i++)
		ph_buf_printf(out,
			      "# TYPE peridothall_%s_total counter\n"
			      "peridothall_%s_total %llu\n",
			      counter_names[i].name, counter_names[i].name,
			      (unsigned long long)counter_value(core, i));
}

static json_t *dump_counters(const struct ph_core *core)
{
	json_t *doc = json_object();
	size_t i;

	for (i = 0; i < COUNTER_COUNT; i++)
		json_object_set_new(
			doc, counter_names[i].name,
			json_integer((json_int_t)counter_value(core, i)));
	return doc;
}

void ph_core_dump(const struct ph_core *core, uint64_t now_us,
		  struct ph_buf *out)
{
	json_t *doc = json_pack(
		"{s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:b,s:b,s:o}", "name",
		core->self.name, "domain", core->domain, "incarnation",
		(json_int_t)core->self.incarnation, "config_version",
		(json_int_t)(core->config ? core->config->version : 0),
		"active", (int)core->active, "outside",
		(int)(core->non_member_since_us != 0), "stopping",
		(int)core->stopping, "platform_failing",
		(int)core->platform_failing, "evacuated", (int)core->evacuated,
		"roster", dump_roster(core));
	char *text;

	json_object_set_new(
		doc, "ledger",
		json_pack("{s:I,s:I,s:I}", "jobs",
			  (json_int_t)core->ledger.job_count, "live",
			  (json_int_t)core->ledger.live_count, "answer_bytes",
			  (json_int_t)core->ledger.answer_bytes));
	json_object_set_new(doc, "running",
			    json_integer((json_int_t)core->running_count));
	json_object_set_new(doc, "held",
			    json_integer((json_int_t)core->held_count));
	json_object_set_new(doc, "relayed",
			    json_integer((json_int_t)core->relay_count));
	json_object_set_new(doc, "live_jobs", dump_jobs(core, now_us));
	json_object_set_new(doc, "peers", dump_peers(core, now_us));
	json_object_set_new(doc, "services", dump_services(core));
	json_object_set_new(doc, "counters", dump_counters(core));
	text = json_dumps(doc, JSON_INDENT(1));
	json_decref(doc);
	ph_buf_puts(out, text);
	free(text);
}
