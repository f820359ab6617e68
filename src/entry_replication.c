#include <string.h>

#include "entry_core_impl.h"

/* Longest time for which records that aren't urgent are collected. */
#define BATCH_DELAY_US 30000U
/* A batch is sent again if it isn't acknowledged in this time. */
#define ACK_TIMEOUT_US 250000U
/* A batch is closed at either limit. */
#define BATCH_MAX_JOBS 256U
#define BATCH_MAX_BYTES (4U << 20)

/* The peer that gets a job's record: for the primary its backup, for others the
 * primary. A non-member whose job has a dead primary sends to the backup. */
static struct ph_peer *other_holder(struct ph_core *core,
				    const struct ph_job *job)
{
	struct ph_pair pair = ph_roster_pair(&core->roster, job->key_hash);
	int self = ph_membership_self(core);
	int other = pair.primary;
	struct ph_peer *peer;

	if (other < 0)
		return NULL;
	if (self >= 0 && pair.primary == self)
		other = pair.backup;
	if (other < 0 || other == self)
		return NULL;
	peer = ph_peer_by_incarnation(core,
				      core->roster.members[other].incarnation);
	if (peer && peer->liveness == PH_ALIVE)
		return peer;
	if (self >= 0 || pair.backup < 0)
		return NULL;
	return ph_peer_by_incarnation(
		core, core->roster.members[pair.backup].incarnation);
}

void ph_replicate_to(struct ph_core *core, uint64_t now_us,
		     struct ph_peer *peer, struct ph_job *job, bool urgent)
{
	struct ph_outbox *out = &peer->out;
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));

	if (peer->liveness != PH_ALIVE)
		return;
	job->holders &= (uint16_t)~bit;
	if (urgent)
		out->urgent = true;
	if (job->dirty & bit)
		return;
	job->dirty |= bit;
	if (out->count == out->cap) {
		out->cap = out->cap ? out->cap * 2 : BATCH_MAX_JOBS;
		out->dirty = core->mem->realloc(
			out->dirty, out->cap * sizeof(struct ph_job *));
	}
	if (!out->count)
		out->oldest_us = now_us;
	out->dirty[out->count++] = job;
}

void ph_replicate(struct ph_core *core, uint64_t now_us, struct ph_job *job,
		  bool urgent)
{
	struct ph_peer *peer = other_holder(core, job);

	if (peer)
		ph_replicate_to(core, now_us, peer, job, urgent);
}

void ph_replicate_note_unreplicated(struct ph_peer *peer)
{
	if (peer)
		peer->unreplicated = true;
}

void ph_replicate_all(struct ph_core *core, uint64_t now_us)
{
	size_t b;
	size_t i;

	for (b = 0; b < core->ledger.bucket_count; b++) {
		struct ph_job *job = core->ledger.buckets[b];

		for (; job; job = job->chain) {
			struct ph_pair pair =
				ph_roster_pair(&core->roster, job->key_hash);
			int to[2] = { pair.primary, pair.backup };

			for (i = 0; i < 2; i++) {
				struct ph_peer *p;
				uint16_t bit;

				if (to[i] < 0)
					continue;
				p = ph_peer_by_incarnation(
					core, core->roster.members[to[i]]
						      .incarnation);
				if (!p)
					continue;
				bit = (uint16_t)(1U << ph_peer_slot(core, p));
				if (job->holders & bit)
					continue;
				ph_replicate_to(core, now_us, p, job, true);
			}
		}
	}
}

void ph_replicate_reset(struct ph_core *core, struct ph_peer *peer)
{
	struct ph_outbox *out = &peer->out;
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));
	size_t i;

	out->seq = 0;
	for (i = 0; i < out->batch_count; i++) {
		struct ph_job *job = out->batch[i];

		job->in_flight &= (uint16_t)~bit;
		ph_replicate_to(core, out->sent_us, peer, job, true);
	}
	out->batch_count = 0;
}

void ph_replicate_drop(struct ph_core *core, struct ph_peer *peer)
{
	struct ph_outbox *out = &peer->out;
	uint16_t keep = (uint16_t) ~(1U << ph_peer_slot(core, peer));
	size_t i;

	for (i = 0; i < out->batch_count; i++)
		out->batch[i]->in_flight &= keep;
	for (i = 0; i < out->count; i++)
		out->dirty[i]->dirty &= keep;
	out->batch_count = 0;
	out->count = 0;
	out->seq = 0;
	out->urgent = false;
}

bool ph_replicate_idle(const struct ph_core *core)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];

		if (p->used && p->liveness == PH_ALIVE &&
		    (p->out.count || p->out.batch_count))
			return false;
	}
	return true;
}

static size_t job_bytes(const struct ph_job *job)
{
	return job->answer_len + (job->live ? job->live->body_len : 0);
}

/* Moves the oldest dirty jobs into the batch, up to its limits. */
static void fill_batch(struct ph_core *core, struct ph_peer *peer)
{
	struct ph_outbox *out = &peer->out;
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));
	size_t bytes = 0;
	size_t n = 0;

	if (!out->batch)
		out->batch = core->mem->calloc(BATCH_MAX_JOBS,
					       sizeof(struct ph_job *));
	while (n < out->count && n < BATCH_MAX_JOBS &&
	       bytes < BATCH_MAX_BYTES) {
		struct ph_job *job = out->dirty[n];

		job->dirty &= (uint16_t)~bit;
		job->in_flight |= bit;
		bytes += job_bytes(job);
		out->batch[n++] = job;
	}
	out->batch_count = n;
	out->count -= n;
	memmove(out->dirty, out->dirty + n,
		out->count * sizeof(struct ph_job *));
}

/* Stores the sequence number of the first batch that carries the job, and of
 * the first that carries the start of each bound task. */
static void note_first_seq(struct ph_job *job, uint64_t seq)
{
	struct ph_live_job *live = job->live;
	uint32_t i;

	if (!live)
		return;
	if (!live->first_seq)
		live->first_seq = seq;
	for (i = 0; i < live->task_count; i++) {
		struct ph_task *task = &live->tasks[i];

		if (task->state == PH_TASK_BOUND && !task->sent_seq)
			task->sent_seq = seq;
	}
}

/* Fills msg->records; jobs whose body the peer at this bit has go without it.
 * The caller frees msg->records and *tasks. */
static void build_records(struct ph_core *core, uint64_t now_us,
			  struct ph_job *const *jobs, size_t count,
			  uint16_t bit, struct ph_msg *msg,
			  struct ph_task_record **tasks)
{
	size_t total = 1;
	size_t used = 0;
	size_t i;

	for (i = 0; i < count; i++)
		total += jobs[i]->live ? jobs[i]->live->task_count : 0;
	*tasks = core->mem->calloc(total, sizeof(**tasks));
	msg->records = core->mem->calloc(count, sizeof(*msg->records));
	msg->count = count;
	for (i = 0; i < count; i++) {
		ph_job_fill_record(jobs[i], now_us, !(jobs[i]->has_body & bit),
				   &msg->records[i], *tasks + used);
		used += msg->records[i].count;
	}
}

static void send_batch(struct ph_core *core, uint64_t now_us,
		       struct ph_peer *peer)
{
	struct ph_outbox *out = &peer->out;
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));
	struct ph_msg msg = { .type = PH_MSG_RECORDS };
	struct ph_task_record *tasks;
	size_t i;

	fill_batch(core, peer);
	out->seq = ++core->seq;
	out->sent_us = now_us;
	out->oldest_us = now_us;
	if (!out->count)
		out->urgent = false;
	for (i = 0; i < out->batch_count; i++)
		note_first_seq(out->batch[i], out->seq);
	build_records(core, now_us, out->batch, out->batch_count, bit, &msg,
		      &tasks);
	msg.seq = out->seq;
	core->counters.record_batches++;
	core->counters.records_sent += msg.count;
	ph_core_send(core, peer->member.addr, &msg);
	core->mem->free(msg.records);
	core->mem->free(tasks);
}

/* If the peer's outbox is empty, it has all records: reports to a member that
 * state transfer to it is complete as of the present version. */
static void check_synced(struct ph_core *core, uint64_t now_us,
			 struct ph_peer *peer)
{
	if (peer->out.count || peer->out.batch_count)
		return;
	peer->unreplicated = false;
	if (peer->synced_by_me >= core->roster.version)
		return;
	if (ph_roster_find(&core->roster, peer->member.incarnation) < 0)
		return;
	peer->synced_by_me = core->roster.version;
	ph_peer_send_ping(core, now_us, peer);
}

static void flush_peer(struct ph_core *core, uint64_t now_us,
		       struct ph_peer *peer)
{
	struct ph_outbox *out = &peer->out;

	if (out->batch_count && now_us >= out->sent_us + ACK_TIMEOUT_US)
		ph_replicate_reset(core, peer);
	if (out->batch_count || !out->count) {
		check_synced(core, now_us, peer);
		return;
	}
	if (!out->urgent && now_us < out->oldest_us + BATCH_DELAY_US)
		return;
	send_batch(core, now_us, peer);
}

void ph_replicate_flush(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++)
		if (core->peers[i].used && core->peers[i].liveness == PH_ALIVE)
			flush_peer(core, now_us, &core->peers[i]);
}

/* ## Receiving */

/* True if this instance has started a task whose outcome is open. */
static bool has_local_starts(const struct ph_core *core,
			     const struct ph_job *job)
{
	uint32_t i;

	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state == PH_TASK_STARTED &&
		    job->live->tasks[i].starter == core->self.incarnation)
			return true;
	return false;
}

/* Adds an unknown job; NULL if the record lacks the body that a live job needs.
 */
static struct ph_job *add_from_record(struct ph_core *core, uint64_t now_us,
				      const struct ph_record *r)
{
	struct ph_job *job;

	if (!r->ended && !r->body && r->task_count)
		return NULL;
	job = ph_ledger_add(&core->ledger, now_us, r->key, r->service,
			    r->ended ? 0 : r->task_count);
	job->digest = r->digest;
	job->first_attempt = r->first_attempt;
	job->cancelled = r->cancelled;
	job->live->deadline_us = now_us + r->remaining_us;
	job->live->body = ph_memdup(core->mem, r->body, r->body_len);
	job->live->body_len = r->body_len;
	return job;
}

/* Takes the answer of a job that another holder has ended, unless this instance
 * runs tasks of it. */
static enum ph_merge merge_ended(struct ph_core *core, uint64_t now_us,
				 struct ph_job *job, const struct ph_record *r)
{
	if (job->ended && !job->live)
		return PH_MERGE_UNCHANGED;
	if (job->ended)
		ph_job_reopen(&core->ledger, job);
	if (has_local_starts(core, job))
		return PH_MERGE_CONFLICT;
	ph_dispatch_unbind(core, now_us, job);
	if (job->live->enqueued)
		ph_queue_remove(
			ph_core_service_queue(core, job->live->service)->queue,
			job);
	job->cancelled = r->cancelled;
	ph_job_set_answer(&core->ledger, job, now_us, r->answer, r->answer_len);
	ph_dispatch_send_answer(core, now_us, job);
	return PH_MERGE_CHANGED;
}

/* Merges the states of the tasks. A sender whose record is not complete as of
 * the last break of the roster can't be relied on for not-run. */
static enum ph_merge merge_tasks(struct ph_core *core, struct ph_job *job,
				 const struct ph_record *r)
{
	bool sender_complete =
		r->complete_version >= core->roster.continuity_version ||
		!ph_rule(core, PH_RULE_CONTINUITY);

	if (job->live->complete_version < r->complete_version)
		job->live->complete_version = r->complete_version;
	return ph_job_merge(&core->ledger, job, r, core->self.incarnation,
			    sender_complete, ph_dispatch_release_slot, core);
}

static enum ph_merge merge_record(struct ph_core *core, uint64_t now_us,
				  struct ph_job *job, const struct ph_record *r)
{
	if (r->ended && r->answer)
		return merge_ended(core, now_us, job, r);
	if (job->ended && !job->live)
		return PH_MERGE_CONFLICT;
	if (job->ended)
		ph_job_reopen(&core->ledger, job);
	if (!ph_rule(core, PH_RULE_MERGE))
		return PH_MERGE_UNCHANGED;
	if (r->cancelled)
		job->cancelled = true;
	return merge_tasks(core, job, r);
}

/* Merges one record; returns the job if the sender lacks a start that this
 * instance knows. */
static struct ph_job *apply_record(struct ph_core *core, uint64_t now_us,
				   struct ph_peer *peer,
				   const struct ph_record *r)
{
	struct ph_job *job = ph_ledger_find(&core->ledger, r->key);
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));
	bool added = !job;
	enum ph_merge merge;

	if (!job)
		job = add_from_record(core, now_us, r);
	if (!job)
		return NULL;
	if (core->roster.lost_count == 0 || r->starts_accounted_for)
		job->starts_accounted_for = true;
	job->has_body |= bit;
	if (added && !ph_rule(core, PH_RULE_MERGE) && !r->ended)
		merge = merge_tasks(core, job, r);
	else
		merge = merge_record(core, now_us, job, r);
	ph_dispatch_review_job(core, now_us, job);
	return merge == PH_MERGE_CONFLICT ? job : NULL;
}

/* Records of another roster version may come from a removed member. */
static bool roster_version_accepted(const struct ph_core *core,
				    const struct ph_msg *msg)
{
	if (!ph_rule(core, PH_RULE_FENCE))
		return true;
	return msg->roster_version == core->roster.version;
}

/* Sends an acknowledgement with the records of jobs in conflict. */
static void send_ack(struct ph_core *core, uint64_t now_us,
		     struct ph_peer *peer, struct ph_msg *ack,
		     struct ph_job *const *conflicts, size_t count)
{
	struct ph_task_record *tasks = NULL;

	if (count)
		build_records(core, now_us, conflicts, count, 0, ack, &tasks);
	ph_core_send(core, peer->member.addr, ack);
	core->mem->free(ack->records);
	core->mem->free(tasks);
}

void ph_replicate_records(struct ph_core *core, uint64_t now_us,
			  const struct ph_msg *msg)
{
	struct ph_peer *peer = ph_peer_by_incarnation(core, msg->incarnation);
	struct ph_msg ack = { .type = PH_MSG_RECORDS_ACK, .seq = msg->seq };
	struct ph_job **conflicts;
	size_t count = 0;
	size_t i;

	if (!peer || peer->liveness != PH_ALIVE)
		return;
	if (!roster_version_accepted(core, msg) ||
	    ph_membership_self(core) < 0) {
		core->counters.records_refused++;
		ph_core_send(core, peer->member.addr, &ack);
		return;
	}
	conflicts = core->mem->calloc(msg->count, sizeof(struct ph_job *));
	for (i = 0; i < msg->count; i++) {
		struct ph_job *job =
			apply_record(core, now_us, peer, &msg->records[i]);

		if (job)
			conflicts[count++] = job;
	}
	core->counters.conflicts += count;
	if (!ph_rule(core, PH_RULE_CONFLICT))
		count = 0;
	ack.accepted = true;
	send_ack(core, now_us, peer, &ack, conflicts, count);
	core->mem->free(conflicts);
	ph_dispatch_start_queued(core, now_us);
}

/* Marks the jobs of an acknowledged batch as held by the peer and starts the
 * tasks that were waiting for that. */
static void batch_acked(struct ph_core *core, uint64_t now_us,
			struct ph_peer *peer, uint64_t seq)
{
	struct ph_outbox *out = &peer->out;
	uint16_t bit = (uint16_t)(1U << ph_peer_slot(core, peer));
	size_t count = out->batch_count;
	size_t i;

	out->batch_count = 0;
	for (i = 0; i < count; i++) {
		struct ph_job *job = out->batch[i];

		job->in_flight &= (uint16_t)~bit;
		job->has_body |= bit;
		if (!(job->dirty & bit))
			job->holders |= bit;
		ph_dispatch_record_acked(core, now_us, job, seq);
		if (core->roster.lost_count == 0)
			job->starts_accounted_for = true;
	}
}

void ph_replicate_ack(struct ph_core *core, uint64_t now_us,
		      const struct ph_msg *msg)
{
	struct ph_peer *peer = ph_peer_by_incarnation(core, msg->incarnation);
	size_t i;

	if (!peer || peer->liveness != PH_ALIVE)
		return;
	if (!peer->out.batch_count || peer->out.seq != msg->seq)
		return;
	if (!msg->accepted) {
		ph_replicate_reset(core, peer);
		peer->out.urgent = false;
		return;
	}
	for (i = 0; i < msg->count; i++)
		apply_record(core, now_us, peer, &msg->records[i]);
	batch_acked(core, now_us, peer, msg->seq);
	ph_dispatch_start_queued(core, now_us);
	check_synced(core, now_us, peer);
}
