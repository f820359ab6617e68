#include <string.h>

#include "entry_core_impl.h"

/* After a job's deadline, an outcome from another instance is awaited for this
 * long; then the task counts as may-have-run. */
#define UNREPORTED_GRACE_US 1000000U
#define INITIAL_RUNNING_SLOTS 64U
/* A start id has the index in core->running in its low bits, and above them
 * the entry's generation, which tells a reused entry from its earlier use. */
#define SLOT_BITS 24U
#define SLOT_MASK ((1U << SLOT_BITS) - 1U)

/* ## Start permission */

/* Whether it is certain that no instance outside the current roster has started
 * a task of the job. */
static bool accounted_for(const struct ph_core *core, const struct ph_job *job)
{
	if (job->live &&
	    job->live->complete_version < core->roster.continuity_version &&
	    ph_rule(core, PH_RULE_CONTINUITY))
		return false;
	if (job->first_attempt || job->starts_accounted_for)
		return true;
	if (!ph_rule(core, PH_RULE_COMPLETE_AT_START))
		return true;
	return ph_membership_all_accounted_for(core);
}

/* In a roster of two members, a partner that died before it could start tasks
 * solo has neither started a task that is unknown here nor removed this
 * instance from the roster. */
static bool sole_survivor_of_two(const struct ph_core *core,
				 const struct ph_peer *partner)
{
	return partner->liveness == PH_DEAD_CLEAN && core->roster.count == 2;
}

/* Whether the job's tasks may start while the partner is silent and the
 * platform can't be reached. */
static bool may_start_solo(const struct ph_core *core, const struct ph_job *job,
			   const struct ph_peer *partner, uint64_t now_us)
{
	if (!job->first_attempt && ph_rule(core, PH_RULE_SOLO_FIRST_ATTEMPT))
		return false;
	if (!accounted_for(core, job) &&
	    ph_rule(core, PH_RULE_SOLO_FIRST_ATTEMPT))
		return false;
	return job->accepted_here &&
	       ph_peer_solo_allowed(core, partner, now_us);
}

enum ph_start_permission ph_dispatch_permission(const struct ph_core *core,
						const struct ph_job *job,
						uint64_t now_us,
						struct ph_peer **backup)
{
	struct ph_pair pair = ph_roster_pair(&core->roster, job->key_hash);
	int self = ph_membership_self(core);
	struct ph_peer *partner;
	int other;

	if (backup)
		*backup = NULL;
	if (self < 0 || (self != pair.primary && self != pair.backup))
		return PH_START_NONE;
	other = self == pair.primary ? pair.backup : pair.primary;
	if (!core->active)
		return self == pair.primary ? PH_START_WAIT : PH_START_NONE;
	if (other < 0)
		return accounted_for(core, job) ? PH_START_SOLO : PH_START_WAIT;
	partner =
		ph_peer_by_incarnation((struct ph_core *)core,
				       core->roster.members[other].incarnation);
	if (!partner)
		return PH_START_WAIT;
	if (sole_survivor_of_two(core, partner))
		return accounted_for(core, job) ? PH_START_SOLO : PH_START_WAIT;
	if (backup)
		*backup = partner;
	if (partner->liveness == PH_ALIVE &&
	    !ph_peer_silent(core, partner, now_us)) {
		if (self == pair.backup)
			return PH_START_NONE;
		return accounted_for(core, job) ? PH_START_WITH_BACKUP
						: PH_START_WAIT;
	}
	if (may_start_solo(core, job, partner, now_us))
		return PH_START_SOLO;
	return self == pair.primary ? PH_START_WAIT : PH_START_NONE;
}

bool ph_dispatch_may_start_solo(const struct ph_core *core,
				const struct ph_job *job,
				const struct ph_task *task, uint64_t now_us)
{
	struct ph_peer *partner;

	if (ph_dispatch_permission(core, job, now_us, &partner) !=
	    PH_START_SOLO)
		return false;
	if (!partner || !job->live->first_seq)
		return true;
	if (!ph_rule(core, PH_RULE_SOLO_UNSENT))
		return true;
	return task->sent_seq == job->live->first_seq;
}

/* ## Starting */

void ph_dispatch_release_slot(void *ctx, void *slot)
{
	struct ph_endpoint *endpoint = slot;

	(void)ctx;
	endpoint->busy--;
}

/* Returns a free entry of core->running, its index in *at. */
static struct ph_running_task *running_new(struct ph_core *core, uint32_t *at)
{
	size_t i;

	if (core->running_count == core->running_cap) {
		size_t cap = core->running_cap ? core->running_cap * 2
					       : INITIAL_RUNNING_SLOTS;

		core->running = core->mem->realloc(
			core->running, cap * sizeof(*core->running));
		memset(core->running + core->running_cap, 0,
		       (cap - core->running_cap) * sizeof(*core->running));
		core->running_free_hint = core->running_cap;
		core->running_cap = cap;
	}
	for (i = core->running_free_hint; core->running[i].used;)
		i = (i + 1) % core->running_cap;
	core->running_free_hint = (i + 1) % core->running_cap;
	core->running_count++;
	*at = (uint32_t)i;
	return &core->running[i];
}

static void start_task(struct ph_core *core, uint64_t now_us,
		       struct ph_job *job, uint32_t index)
{
	struct ph_task *task = &job->live->tasks[index];
	struct ph_spec_task *spec = &job->live->spec->tasks[index];
	struct ph_endpoint *endpoint = task->slot;
	uint32_t at;
	struct ph_running_task *r = running_new(core, &at);
	struct ph_start start = {
		.addr = endpoint->addr,
		.service = job->live->service,
		.kind = spec->kind,
		.key = job->key,
		.index = index,
		.payload = spec->payload,
		.payload_len = spec->payload_len,
	};

	r->used = true;
	r->generation++;
	r->job = job;
	r->endpoint = endpoint;
	r->index = index;
	r->started_us = now_us;
	job->running_refs++;
	task->slot = NULL;
	ph_task_set_state(job, index, PH_TASK_STARTED);
	task->starter = core->self.incarnation;
	core->counters.tasks_started++;
	start.start_id = ((uint64_t)r->generation << SLOT_BITS) | at;
	core->opt.sink->start(core->opt.ctx, &start);
}

/* Starts a task without the backup's acknowledgement and notes that the partner
 * has yet to receive its record. */
static void start_solo(struct ph_core *core, uint64_t now_us,
		       struct ph_job *job, uint32_t index)
{
	struct ph_peer *partner;

	ph_dispatch_permission(core, job, now_us, &partner);
	ph_replicate_note_unreplicated(partner);
	core->counters.tasks_started_alone++;
	start_task(core, now_us, job, index);
}

static uint32_t first_queued_task(const struct ph_job *job)
{
	uint32_t i = 0;

	while (job->live->tasks[i].state != PH_TASK_QUEUED)
		i++;
	return i;
}

static uint64_t expected_cost_us(const struct ph_core *core,
				 const struct ph_job *job, uint32_t index)
{
	const struct ph_service *service =
		core->config
			? ph_config_service(core->config, job->live->service)
			: NULL;
	const struct ph_kind *kind = NULL;

	if (service)
		kind = ph_service_kind(service,
				       job->live->spec->tasks[index].kind);
	return kind ? kind->expected_us : 1;
}

/* Reserves an endpoint's slot for the job's next queued task. With solo
 * permission the task starts at once, otherwise after the backup has
 * acknowledged its record. */
static void bind_task(struct ph_core *core, uint64_t now_us,
		      struct ph_service_queue *service_queue,
		      struct ph_job *job, struct ph_endpoint *endpoint,
		      enum ph_start_permission permission)
{
	uint32_t index = first_queued_task(job);
	struct ph_task *task = &job->live->tasks[index];

	endpoint->busy++;
	ph_task_set_state(job, index, PH_TASK_BOUND);
	task->slot = endpoint;
	task->starter = core->self.incarnation;
	task->sent_seq = 0;
	ph_queue_charge(service_queue->queue, job,
			expected_cost_us(core, job, index));
	if (permission == PH_START_SOLO) {
		start_solo(core, now_us, job, index);
		ph_replicate(core, now_us, job, false);
		return;
	}
	ph_replicate(core, now_us, job, true);
	if (!ph_rule(core, PH_RULE_BACKUP_ACK))
		start_task(core, now_us, job, index);
}

/* Whether a queued task of the job may take a slot now; sets *permission. */
static bool may_bind(const struct ph_core *core, const struct ph_job *job,
		     uint64_t now_us, enum ph_start_permission *permission)
{
	struct ph_peer *partner;

	*permission = ph_dispatch_permission(core, job, now_us, &partner);
	if (*permission == PH_START_WITH_BACKUP)
		return !core->stopping;
	if (*permission != PH_START_SOLO)
		return false;
	if (partner && job->live->first_seq &&
	    ph_rule(core, PH_RULE_SOLO_UNSENT))
		return false;
	return true;
}

/* Binds queued tasks of one service to slots until no slot is free or no job is
 * left. */
static void start_queued_tasks(struct ph_core *core, uint64_t now_us,
			       struct ph_service_queue *service_queue)
{
	for (;;) {
		struct ph_job *job = ph_queue_pick(service_queue->queue);
		struct ph_endpoint *endpoint;
		enum ph_start_permission permission;

		if (!job)
			return;
		if (!job->live->queued ||
		    !may_bind(core, job, now_us, &permission)) {
			ph_queue_remove(service_queue->queue, job);
			continue;
		}
		endpoint = ph_endpoints_pick(service_queue->endpoints, now_us);
		if (!endpoint)
			return;
		bind_task(core, now_us, service_queue, job, endpoint,
			  permission);
	}
}

void ph_dispatch_start_queued(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	if (core->evacuated)
		return;
	for (i = 0; i < core->service_queue_count; i++)
		start_queued_tasks(core, now_us, &core->service_queues[i]);
}

/* Releases the slot of a task that has not started and sets its state. */
static void unbind_task(struct ph_core *core, struct ph_job *job,
			uint32_t index, enum ph_task_state state)
{
	struct ph_task *task = &job->live->tasks[index];

	if (task->slot)
		ph_dispatch_release_slot(core, task->slot);
	task->slot = NULL;
	ph_task_set_state(job, index, state);
}

void ph_dispatch_unbind(struct ph_core *core, uint64_t now_us,
			struct ph_job *job)
{
	uint32_t i;

	(void)now_us;
	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state == PH_TASK_BOUND)
			unbind_task(core, job, i, PH_TASK_QUEUED);
}

void ph_dispatch_record_acked(struct ph_core *core, uint64_t now_us,
			      struct ph_job *job, uint64_t seq)
{
	struct ph_live_job *live = job->live;
	uint32_t i;

	if (!live)
		return;
	if (job->ended) {
		ph_dispatch_send_answer(core, now_us, job);
		return;
	}
	if (ph_dispatch_permission(core, job, now_us, NULL) <
	    PH_START_WITH_BACKUP)
		return;
	for (i = 0; i < live->task_count; i++) {
		struct ph_task *task = &live->tasks[i];

		if (task->state == PH_TASK_BOUND && task->sent_seq &&
		    task->sent_seq <= seq)
			start_task(core, now_us, job, i);
	}
}

/* ## Outcomes */

/* A not-run may be sent to the caller once no other instance can start the task
 * later: the partner has the newest record, or there is no partner that has
 * any record of the job. */
static bool may_answer_not_run(const struct ph_core *core, uint64_t now_us,
			       const struct ph_job *job)
{
	struct ph_peer *partner;

	switch (ph_dispatch_permission(core, job, now_us, &partner)) {
	case PH_START_SOLO:
		return !partner || !job->live->first_seq;
	case PH_START_WITH_BACKUP:
		return job->holders & (1U << ph_peer_slot(core, partner));
	default:
		return false;
	}
}

void ph_dispatch_send_answer(struct ph_core *core, uint64_t now_us,
			     struct ph_job *job)
{
	struct ph_live_job *live = job->live;
	bool answer_awaited_backup = job->answer_awaits_backup;
	struct ph_peer *partner;
	size_t i;

	if (!live)
		return;
	if (job->answer_awaits_backup && ph_rule(core, PH_RULE_GATE_NOT_RUN) &&
	    !may_answer_not_run(core, now_us, job))
		return;
	job->answer_awaits_backup = false;
	for (i = 0; i < live->waiter_count; i++)
		ph_requests_answer_job(core, &live->waiters[i], job);
	ph_job_free_live(&core->ledger, job);
	if (!answer_awaited_backup)
		return;
	ph_dispatch_permission(core, job, now_us, &partner);
	if (partner && !(job->holders & (1U << ph_peer_slot(core, partner))))
		ph_replicate_note_unreplicated(partner);
	ph_replicate(core, now_us, job, false);
}

void ph_dispatch_finish(struct ph_core *core, uint64_t now_us,
			struct ph_job *job)
{
	if (job->live->enqueued)
		ph_queue_remove(
			ph_core_service_queue(core, job->live->service)->queue,
			job);
	if (ph_dispatch_permission(core, job, now_us, NULL) == PH_START_NONE) {
		ph_replicate(core, now_us, job, true);
		return;
	}
	core->counters.jobs_ended++;
	ph_job_end(&core->ledger, job, now_us);
	ph_replicate(core, now_us, job, job->answer_awaits_backup);
	ph_dispatch_send_answer(core, now_us, job);
}

/* The endpoint refused the task, so it has not run. It is queued again, or is
 * not-run if another instance now starts the job's tasks. */
static void endpoint_refused_task(struct ph_core *core, uint64_t now_us,
				  struct ph_job *job, uint32_t index)
{
	struct ph_service_queue *service_queue =
		ph_core_service_queue(core, job->live->service);

	core->counters.tasks_refused++;
	if (ph_dispatch_permission(core, job, now_us, NULL) == PH_START_NONE) {
		ph_task_set_state(job, index, PH_TASK_NOT_RUN);
		return;
	}
	ph_task_set_state(job, index, PH_TASK_QUEUED);
	if (!job->live->enqueued)
		ph_queue_add(service_queue->queue, job, 1);
}

/* Sets the state of a task started here, by the endpoint's outcome. */
static void apply_outcome(struct ph_core *core, uint64_t now_us,
			  struct ph_job *job, uint32_t index,
			  enum ph_outcome outcome, int32_t status,
			  const char *result, size_t len)
{
	struct ph_task *task = &job->live->tasks[index];

	if (task->state != PH_TASK_STARTED ||
	    task->starter != core->self.incarnation)
		return;
	switch (outcome) {
	case PH_OUTCOME_DONE:
		task->status = status;
		task->result = ph_memdup(core->mem, result, len);
		task->result_len = len;
		ph_task_set_state(job, index, PH_TASK_DONE);
		break;
	case PH_OUTCOME_NOT_STARTED:
	case PH_OUTCOME_LEAVING:
		endpoint_refused_task(core, now_us, job, index);
		break;
	case PH_OUTCOME_AMBIGUOUS:
		core->counters.tasks_may_have_run++;
		ph_task_set_state(job, index, PH_TASK_MAY_HAVE_RUN);
		break;
	}
	if (ph_job_all_final(job))
		ph_dispatch_finish(core, now_us, job);
	else if (ph_dispatch_permission(core, job, now_us, NULL) ==
		 PH_START_NONE)
		ph_replicate(core, now_us, job, true);
}

void ph_core_task_done(struct ph_core *core, uint64_t now_us, uint64_t start_id,
		       enum ph_outcome outcome, int32_t status,
		       const char *result, size_t len)
{
	uint32_t at = (uint32_t)(start_id & SLOT_MASK);
	struct ph_running_task *r;
	struct ph_job *job;

	ph_core_enter(core, now_us);
	if (at >= core->running_cap)
		return;
	r = &core->running[at];
	if (!r->used || start_id >> SLOT_BITS != r->generation)
		return;
	r->used = false;
	core->running_count--;
	job = r->job;
	job->running_refs--;
	r->endpoint->busy--;
	if (outcome == PH_OUTCOME_NOT_STARTED || outcome == PH_OUTCOME_LEAVING)
		ph_endpoint_refused(r->endpoint, now_us,
				    outcome == PH_OUTCOME_LEAVING);
	else if (outcome == PH_OUTCOME_DONE)
		ph_endpoint_answered(r->endpoint);
	if (job->live && !job->ended)
		apply_outcome(core, now_us, job, r->index, outcome, status,
			      result, len);
	ph_dispatch_start_queued(core, now_us);
	ph_replicate_flush(core, now_us);
}

/* ## Review */

int ph_dispatch_parse(struct ph_core *core, struct ph_job *job)
{
	struct ph_fault fault;

	if (job->live->spec)
		return 0;
	return ph_spec_parse(core->mem, job->live->body, job->live->body_len,
			     &job->live->spec, &fault);
}

/* Whether the instance that started a task can no longer report its outcome. */
static bool starter_unreachable(struct ph_core *core, uint64_t starter)
{
	struct ph_peer *peer;

	if (starter == core->self.incarnation)
		return false;
	if (ph_roster_is_lost(&core->roster, starter))
		return true;
	peer = ph_peer_by_incarnation(core, starter);
	if (peer)
		return peer->liveness != PH_ALIVE;
	return ph_roster_find(&core->roster, starter) < 0;
}

/* Tasks whose starter is dead or removed become may-have-run. */
static void resolve_lost_starts(struct ph_core *core, struct ph_job *job)
{
	enum ph_task_state state = PH_TASK_MAY_HAVE_RUN;
	uint32_t i;

	if (!ph_rule(core, PH_RULE_NO_RESTART))
		state = PH_TASK_QUEUED;
	for (i = 0; i < job->live->task_count; i++) {
		struct ph_task *task = &job->live->tasks[i];

		if (task->state != PH_TASK_STARTED ||
		    !starter_unreachable(core, task->starter))
			continue;
		core->counters.tasks_may_have_run++;
		ph_task_set_state(job, i, state);
	}
}

static uint32_t team_weight(const struct ph_core *core,
			    const struct ph_job *job)
{
	char name[PH_NAME_BYTES];
	const struct ph_team *team;

	if (!core->config)
		return 1;
	ph_key_team(job->key, name);
	team = ph_config_team(core->config, name);
	return team ? team->weight : 1;
}

static void enqueue(struct ph_core *core, struct ph_job *job)
{
	struct ph_service_queue *service_queue =
		ph_core_service_queue(core, job->live->service);

	if (!job->live->queued || job->live->enqueued)
		return;
	if (ph_dispatch_parse(core, job))
		return;
	ph_queue_add(service_queue->queue, job, team_weight(core, job));
}

/* Starts tasks that were bound while the backup had to acknowledge them, now
 * that they may start solo. */
static void start_bound_solo(struct ph_core *core, uint64_t now_us,
			     struct ph_job *job)
{
	uint32_t i;

	for (i = 0; i < job->live->task_count; i++) {
		struct ph_task *task = &job->live->tasks[i];

		if (task->state != PH_TASK_BOUND)
			continue;
		if (!ph_dispatch_may_start_solo(core, job, task, now_us))
			continue;
		start_solo(core, now_us, job, i);
	}
}

/* Sends the record of a job with bound tasks again if none is queued or in
 * flight: an acknowledgement that arrived while the job had no permission to
 * start has started nothing. */
static void replicate_again(struct ph_core *core, uint64_t now_us,
			    struct ph_job *job, const struct ph_peer *backup)
{
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, backup));
	uint32_t i;

	if ((job->dirty | job->in_flight) & bit)
		return;
	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state == PH_TASK_BOUND)
			break;
	if (i < job->live->task_count)
		ph_replicate(core, now_us, job, true);
}

void ph_dispatch_mark_not_run(struct ph_core *core, struct ph_job *job)
{
	uint32_t i;

	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state <= PH_TASK_BOUND)
			unbind_task(core, job, i, PH_TASK_NOT_RUN);
}

/* Another instance now starts the job's tasks: releases slots and forwards the
 * waiting callers. */
static void hand_off_job(struct ph_core *core, uint64_t now_us,
			 struct ph_job *job)
{
	if (job->live->enqueued)
		ph_queue_remove(
			ph_core_service_queue(core, job->live->service)->queue,
			job);
	ph_dispatch_unbind(core, now_us, job);
	ph_requests_forward_waiters(core, now_us, job);
}

void ph_dispatch_review_job(struct ph_core *core, uint64_t now_us,
			    struct ph_job *job)
{
	struct ph_peer *backup = NULL;
	enum ph_start_permission permission;

	if (!job->live)
		return;
	permission = ph_dispatch_permission(core, job, now_us, &backup);
	if (permission == PH_START_NONE) {
		hand_off_job(core, now_us, job);
		return;
	}
	if (job->ended) {
		ph_dispatch_send_answer(core, now_us, job);
		return;
	}
	resolve_lost_starts(core, job);
	if (job->cancelled && accounted_for(core, job))
		ph_dispatch_mark_not_run(core, job);
	if (ph_job_all_final(job)) {
		ph_dispatch_finish(core, now_us, job);
		return;
	}
	if (permission == PH_START_SOLO)
		start_bound_solo(core, now_us, job);
	if (permission == PH_START_WITH_BACKUP)
		replicate_again(core, now_us, job, backup);
	if (permission != PH_START_WAIT)
		enqueue(core, job);
}

void ph_dispatch_review(struct ph_core *core, uint64_t now_us)
{
	struct ph_job *job = core->ledger.live_head;

	core->reviewed_us = now_us;
	while (job) {
		struct ph_job *next = job->live->live_next;

		ph_dispatch_review_job(core, now_us, job);
		job = next;
	}
	ph_dispatch_start_queued(core, now_us);
}

/* ## Deadlines */

/* Ends a task whose job has passed its deadline, if it can be ended yet. */
static void expire_task(struct ph_core *core, uint64_t now_us,
			struct ph_job *job, uint32_t index)
{
	struct ph_task *task = &job->live->tasks[index];
	bool overdue = now_us >= job->live->deadline_us + UNREPORTED_GRACE_US;

	switch (task->state) {
	case PH_TASK_QUEUED:
	case PH_TASK_BOUND:
		unbind_task(core, job, index,
			    accounted_for(core, job) ? PH_TASK_NOT_RUN
						     : PH_TASK_MAY_HAVE_RUN);
		break;
	case PH_TASK_STARTED:
		if (overdue && task->starter != core->self.incarnation)
			ph_task_set_state(job, index, PH_TASK_MAY_HAVE_RUN);
		break;
	default:
		break;
	}
}

/* A job that another instance starts normally ends by that instance's record.
 * If none has come retention_us after the deadline, it is ended here, its
 * unfinished tasks as may-have-run. */
static void expire_foreign_job(struct ph_core *core, uint64_t now_us,
			       struct ph_job *job)
{
	uint32_t i;

	if (now_us < job->live->deadline_us + core->opt.retention_us)
		return;
	if (job->running_refs)
		return;
	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state < PH_TASK_NOT_RUN)
			unbind_task(core, job, i, PH_TASK_MAY_HAVE_RUN);
	if (!job->ended)
		ph_job_end(&core->ledger, job, now_us);
	ph_job_free_live(&core->ledger, job);
}

/* Answers waiting callers with "pending" when the answer is withheld for longer
 * than hold_us. */
static void answer_waiters_pending(struct ph_core *core, struct ph_job *job)
{
	size_t i;

	for (i = 0; i < job->live->waiter_count; i++)
		ph_requests_answer_pending(core, &job->live->waiters[i]);
	job->live->waiter_count = 0;
}

static void expire_job(struct ph_core *core, uint64_t now_us,
		       struct ph_job *job)
{
	uint32_t i;

	if (now_us < job->live->deadline_us)
		return;
	if (job->ended) {
		if (now_us >= job->ended_us + core->opt.hold_us)
			answer_waiters_pending(core, job);
		return;
	}
	if (ph_dispatch_permission(core, job, now_us, NULL) == PH_START_NONE) {
		expire_foreign_job(core, now_us, job);
		return;
	}
	for (i = 0; i < job->live->task_count; i++)
		expire_task(core, now_us, job, i);
	if (ph_job_all_final(job))
		ph_dispatch_finish(core, now_us, job);
}

/* Time between two passes over all live jobs. */
#define REVIEW_INTERVAL_US 100000U

void ph_dispatch_tick(struct ph_core *core, uint64_t now_us)
{
	struct ph_job *job = core->ledger.live_head;

	if (now_us < core->reviewed_us + REVIEW_INTERVAL_US) {
		ph_dispatch_start_queued(core, now_us);
		return;
	}
	while (job) {
		struct ph_job *next = job->live->live_next;

		expire_job(core, now_us, job);
		job = next;
	}
	ph_dispatch_review(core, now_us);
	core->counters.expired +=
		ph_ledger_expire(&core->ledger, now_us, core->opt.retention_us);
	if (core->opt.answer_bytes_max)
		core->counters.answers_dropped += ph_ledger_trim(
			&core->ledger, core->opt.answer_bytes_max);
}
