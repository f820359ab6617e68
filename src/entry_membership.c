#include <string.h>

#include "entry_core_impl.h"

/* Shortest time between two roster reads; a read after a write has no delay. */
#define ROSTER_READ_INTERVAL_US 300000U
/* A non-member replaces a roster without a live member after this multiple of
 * solo_after_us, even if the members aren't known to be dead. */
#define FORCED_JOIN_SOLO_FACTOR 3U
/* Interval at which a removed member reports its complete hand-over. */
#define HANDED_OVER_INTERVAL_US 100000U

/* ## Roster */

int ph_membership_self(const struct ph_core *core)
{
	return ph_roster_find(&core->roster, core->self.incarnation);
}

bool ph_membership_all_accounted_for(const struct ph_core *core)
{
	return core->roster.lost_count == 0 || !ph_rule(core, PH_RULE_COMPLETE);
}

static void share_endpoints(struct ph_core *core)
{
	size_t i;

	for (i = 0; i < core->service_queue_count; i++)
		ph_endpoints_share_slots(core->service_queues[i].endpoints,
					 &core->roster,
					 ph_membership_self(core));
}

static bool is_holder(const struct ph_roster *roster, uint64_t incarnation,
		      uint64_t key_hash)
{
	struct ph_pair pair = ph_roster_pair(roster, key_hash);
	int self = ph_roster_find(roster, incarnation);

	return self >= 0 && (self == pair.primary || self == pair.backup);
}

/* The former holders have sent all their records: jobs that this instance holds
 * are complete as of the present version, unless records were lost with a break
 * of the roster. */
static void mark_complete_after_sync(struct ph_core *core)
{
	const struct ph_roster *r = &core->roster;
	struct ph_job *job;

	ph_ledger_for_each_live (job, &core->ledger)
		if (job->live->complete_version >= r->continuity_version &&
		    is_holder(r, core->self.incarnation, job->key_hash))
			job->live->complete_version = r->version;
}

/* Jobs that were complete under the old roster stay so under the new one,
 * unless this instance was removed: the other members may start tasks without
 * it. Jobs that only this instance knows are always complete. */
static void carry_over_completeness(struct ph_core *core,
				    const struct ph_roster *old)
{
	bool member = ph_membership_self(core) >= 0;
	struct ph_job *job;

	ph_ledger_for_each_live (job, &core->ledger) {
		bool complete =
			member && job->live->complete_version >= old->version &&
			is_holder(old, core->self.incarnation, job->key_hash);

		if (complete || ph_job_unshared(job))
			job->live->complete_version = core->roster.version;
	}
}

void ph_membership_check_active(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	if (core->active || ph_membership_self(core) < 0)
		return;
	for (i = 0; i < core->roster.count; i++) {
		const struct ph_roster_member *m = &core->roster.members[i];
		struct ph_peer *p;

		if (m->incarnation == core->self.incarnation)
			continue;
		if (m->joined >= core->roster.version)
			continue;
		p = ph_peer_by_incarnation(core, m->incarnation);
		if (ph_rule(core, PH_RULE_SYNC) &&
		    (!p || p->synced_to_me < core->roster.version))
			return;
	}
	core->active = true;
	mark_complete_after_sync(core);
	ph_dispatch_review(core, now_us);
	ph_requests_retry(core, now_us);
}

/* Sets the times at which the lost incarnations were first seen as lost; they
 * stay on the list for the retention period of jobs from there. */
static void track_lost(struct ph_core *core, uint64_t now_us,
		       const struct ph_roster *old)
{
	uint64_t since[PH_MAX_LOST];
	size_t i;
	size_t j;

	for (i = 0; i < core->roster.lost_count; i++) {
		since[i] = now_us;
		for (j = 0; j < old->lost_count; j++)
			if (core->lost_ids[j] == core->roster.lost[i])
				since[i] = core->lost_since_us[j];
	}
	for (i = 0; i < core->roster.lost_count; i++) {
		core->lost_ids[i] = core->roster.lost[i];
		core->lost_since_us[i] = since[i];
	}
}

static void add_member_peers(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < core->roster.count; i++) {
		const struct ph_roster_member *m = &core->roster.members[i];
		struct ph_peer *p;

		if (m->incarnation == core->self.incarnation)
			continue;
		p = ph_peer_by_incarnation(core, m->incarnation);
		if (!p)
			p = ph_peer_add(core, now_us, m);
		if (!p)
			continue;
		p->member = *m;
		/* A new member counts as silent only suspect_after_us after
		 * it has joined. */
		if (m->joined == core->roster.version)
			p->added_us = now_us;
	}
}

/* Starts state transfer for a new roster: discards the outboxes of non-members
 * and queues unacknowledged batches and every job whose holders lack its newest
 * state. */
static void restart_sync(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];

		if (!p->used)
			continue;
		ph_replicate_reset(core, p);
		if (ph_roster_find(&core->roster, p->member.incarnation) < 0)
			ph_replicate_drop(core, p);
	}
	ph_replicate_all(core, now_us);
}

/* Puts a newer roster of the own domain into effect. */
static void apply_roster(struct ph_core *core, uint64_t now_us,
			 const struct ph_roster *roster)
{
	struct ph_roster old = core->roster;
	bool was_member = ph_membership_self(core) >= 0;
	bool member;

	core->roster = *roster;
	core->counters.roster_changes++;
	core->active = false;
	member = ph_membership_self(core) >= 0;
	carry_over_completeness(core, &old);
	track_lost(core, now_us, &old);
	add_member_peers(core, now_us);
	share_endpoints(core);
	if (member)
		core->non_member_since_us = 0;
	else if (!core->non_member_since_us)
		core->non_member_since_us = now_us;
	if (was_member && !member)
		core->retiring = true;
	restart_sync(core, now_us);
	ph_dispatch_review(core, now_us);
	ph_replicate_flush(core, now_us);
	ph_membership_check_active(core, now_us);
	ph_requests_retry(core, now_us);
}

static void apply_foreign_roster(struct ph_core *core,
				 const struct ph_roster *roster)
{
	size_t i;

	for (i = 0; i < core->foreign_count; i++)
		if (!strcmp(core->foreign[i].domain, roster->domain))
			break;
	if (i == PH_MAX_FOREIGN_DOMAINS)
		return;
	if (i == core->foreign_count)
		core->foreign_count++;
	if (core->foreign[i].version < roster->version)
		core->foreign[i] = *roster;
}

void ph_membership_apply_roster(struct ph_core *core, uint64_t now_us,
				uint64_t index, const char *doc, size_t len)
{
	struct ph_roster roster;

	if (ph_roster_decode(&roster, doc, len))
		return;
	if (strcmp(roster.domain, core->domain) != 0) {
		apply_foreign_roster(core, &roster);
		ph_requests_retry(core, now_us);
		return;
	}
	if (index) {
		core->index = index;
		core->index_known = roster.version >= core->roster.version;
	}
	if (roster.version > core->roster.version)
		apply_roster(core, now_us, &roster);
}

/* ## Changes of the roster */

static void start_read(struct ph_core *core, uint64_t now_us)
{
	if (core->reading || core->writing)
		return;
	if (core->read_us && now_us < core->read_us + ROSTER_READ_INTERVAL_US)
		return;
	core->reading = true;
	core->read_us = now_us;
	core->counters.platform_calls++;
	core->opt.sink->roster_read(core->opt.ctx);
}

void ph_core_roster_read(struct ph_core *core, uint64_t now_us, int err,
			 uint64_t index, const char *doc, size_t len)
{
	ph_core_enter(core, now_us);
	core->reading = false;
	core->platform_failing = err != 0;
	if (err)
		return;
	core->platform_ok_us = now_us;
	if (doc) {
		ph_membership_apply_roster(core, now_us, index, doc, len);
	} else {
		core->index = 0;
		core->index_known = true;
	}
	ph_replicate_flush(core, now_us);
}

void ph_core_roster_seen(struct ph_core *core, uint64_t now_us, uint64_t index,
			 const char *doc, size_t len)
{
	ph_core_enter(core, now_us);
	ph_membership_apply_roster(core, now_us, index, doc, len);
	ph_replicate_flush(core, now_us);
}

static void start_write(struct ph_core *core, struct ph_roster *next)
{
	struct ph_buf doc;

	if (core->writing || !core->index_known)
		return;
	next->version = core->roster.version + 1;
	ph_strcopy(next->domain, sizeof(next->domain), core->domain);
	core->proposed = *next;
	core->writing = true;
	core->counters.platform_calls++;
	ph_buf_init(&doc, core->mem);
	ph_roster_encode(next, &doc);
	core->opt.sink->roster_write(core->opt.ctx, core->index, doc.data,
				     doc.len);
	ph_buf_free(&doc);
}

void ph_core_roster_written(struct ph_core *core, uint64_t now_us, int err)
{
	ph_core_enter(core, now_us);
	core->writing = false;
	core->index_known = false;
	core->read_us = 0;
	if (err && err != PH_ERR_CONFLICT)
		core->platform_failing = true;
	if (!err && core->proposed.version > core->roster.version)
		apply_roster(core, now_us, &core->proposed);
	start_read(core, now_us);
	ph_replicate_flush(core, now_us);
}

static struct ph_roster next_roster(const struct ph_core *core)
{
	struct ph_roster next = core->roster;

	next.version++;
	return next;
}

/* Proposes a roster without one member that is dead or silent; returns false if
 * there is none. The member goes on the lost list unless its death was clean
 * and state transfer complete. */
static bool remove_failed(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];
		bool clean_death;

		if (!p->used ||
		    ph_roster_find(&core->roster, p->member.incarnation) < 0)
			continue;
		if (p->liveness == PH_ALIVE && !ph_peer_silent(core, p, now_us))
			continue;
		clean_death = p->liveness == PH_DEAD_CLEAN && core->active;
		if (!ph_roster_remove(&next, p->member.incarnation,
				      !clean_death))
			continue;
		if (!core->active)
			next.continuity_version = next.version;
		core->counters.takeovers++;
		start_write(core, &next);
		return true;
	}
	return false;
}

/* Proposes a roster with one entry less on the lost list: that of a member that
 * has handed over its records, or whose jobs are past their retention
 * period.
 */
static bool clear_lost(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	size_t i;

	for (i = 0; i < core->roster.lost_count; i++) {
		uint64_t id = core->roster.lost[i];
		bool expired = now_us >=
			       core->lost_since_us[i] + core->opt.retention_us;

		if (id != core->handed_over_id && !expired)
			continue;
		ph_roster_clear_lost(&next, id);
		start_write(core, &next);
		return true;
	}
	return false;
}

void ph_membership_handed_over(struct ph_core *core, uint64_t now_us,
			       const struct ph_msg *msg)
{
	(void)now_us;
	if (msg->incarnation == msg->subject_incarnation &&
	    msg->roster_version == core->roster.version)
		core->handed_over_id = msg->subject_incarnation;
}

static bool is_own_earlier_incarnation(const struct ph_core *core,
				       const struct ph_roster_member *m)
{
	return !strcmp(m->addr, core->self.addr) ||
	       !strcmp(m->name, core->self.name);
}

/* Counts the members that answer, and those known to be dead: their address or
 * name is this instance's own, or their process has ended. */
static void count_members(struct ph_core *core, uint64_t now_us, size_t *live,
			  size_t *dead)
{
	size_t i;

	*live = 0;
	*dead = 0;
	for (i = 0; i < core->roster.count; i++) {
		const struct ph_roster_member *m = &core->roster.members[i];
		struct ph_peer *p =
			ph_peer_by_incarnation(core, m->incarnation);

		if (is_own_earlier_incarnation(core, m) ||
		    (p && p->liveness != PH_ALIVE))
			(*dead)++;
		else if (p && p->heard_us && !ph_peer_silent(core, p, now_us))
			(*live)++;
	}
}

/* Proposes a roster with this instance as its only member, when no other one is
 * left; the former members go on the lost list. */
static void replace_roster(struct ph_core *core)
{
	struct ph_roster next = next_roster(core);

	while (next.count)
		if (!ph_roster_remove(&next, next.members[0].incarnation, true))
			return;
	if (core->roster.version)
		next.continuity_version = next.version;
	if (ph_roster_add(&next, &core->self))
		start_write(core, &next);
}

/* Joins if all members answer. If none does, replaces the roster once all are
 * known to be dead or the time for a forced join has come. */
static void try_join(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	uint64_t force_us = core->non_member_since_us +
			    FORCED_JOIN_SOLO_FACTOR * core->opt.solo_after_us;
	size_t live;
	size_t dead;

	count_members(core, now_us, &live, &dead);
	if (live == core->roster.count && live > 0) {
		if (ph_roster_add(&next, &core->self))
			start_write(core, &next);
		return;
	}
	if (live)
		return;
	if (dead == core->roster.count || now_us >= force_us)
		replace_roster(core);
}

/* All records are handed over: continues as a new incarnation with an empty
 * ledger. The ids it held are kept for the retention period, so that they
 * aren't accepted as new if their present holders die. */
static void rejoin(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++)
		ph_replicate_drop(core, &core->peers[i]);
	for (i = 0; i < core->service_queue_count; i++) {
		ph_queue_free(core->service_queues[i].queue);
		core->service_queues[i].queue =
			ph_queue_new(core->mem, core->opt.queue_policy);
	}
	ph_ledger_retire(&core->ledger, now_us,
			 now_us + core->opt.retention_us);
	core->self.incarnation++;
	core->retiring = false;
	core->non_member_since_us = now_us;
}

/* Reports to the live peers that all records of this incarnation are
 * replicated. */
static void report_handed_over(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];
		struct ph_msg msg = { .type = PH_MSG_HANDED_OVER };

		if (!p->used || p->liveness != PH_ALIVE)
			continue;
		if (now_us < p->roster_sent_us + HANDED_OVER_INTERVAL_US)
			continue;
		p->roster_sent_us = now_us;
		msg.subject_incarnation = core->self.incarnation;
		ph_core_send(core, p->member.addr, &msg);
	}
}

/* Continues the retirement of a removed member: when its tasks have ended and
 * all records are acknowledged, it reports that until the members have taken it
 * off the lost list, and then joins again. */
static void retire(struct ph_core *core, uint64_t now_us)
{
	if (core->running_count || !ph_replicate_idle(core))
		return;
	if (ph_roster_is_lost(&core->roster, core->self.incarnation))
		report_handed_over(core, now_us);
	else if (!core->stopping)
		rejoin(core, now_us);
}

/* Proposes a roster without this instance once all its records are replicated
 * to the other holders. */
static void leave(struct ph_core *core)
{
	struct ph_roster next = next_roster(core);

	if (core->roster.count < 2 || !ph_replicate_idle(core))
		return;
	if (!core->active)
		return;
	if (ph_roster_remove(&next, core->self.incarnation, false))
		start_write(core, &next);
}

static bool some_peer_failed(const struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];

		if (!p->used ||
		    ph_roster_find(&core->roster, p->member.incarnation) < 0)
			continue;
		if (p->liveness != PH_ALIVE || ph_peer_silent(core, p, now_us))
			return true;
	}
	return false;
}

/* Proposes at most one change of the roster. */
static void change_roster(struct ph_core *core, uint64_t now_us)
{
	if (core->writing || !core->index_known || core->platform_failing)
		return;
	if (ph_membership_self(core) < 0) {
		if (!core->stopping && !core->retiring)
			try_join(core, now_us);
		return;
	}
	if (remove_failed(core, now_us) || clear_lost(core, now_us))
		return;
	if (core->stopping)
		leave(core);
}

void ph_membership_tick(struct ph_core *core, uint64_t now_us)
{
	ph_peers_tick(core, now_us);
	if (!core->index_known || core->non_member_since_us ||
	    core->platform_failing || some_peer_failed(core, now_us))
		start_read(core, now_us);
	if (core->retiring)
		retire(core, now_us);
	change_roster(core, now_us);
	ph_membership_check_active(core, now_us);
}
