#include <string.h>

#include "entry_core_impl.h"

#define READ_EVERY_US 300000U
#define JOIN_FORCE_FACTOR 3U
#define HANDED_OVER_EVERY_US 100000U

/* ## Roster */

int ph_membership_self(const struct ph_core *core)
{
	return ph_roster_find(&core->roster, core->self.incarnation);
}

bool ph_membership_complete(const struct ph_core *core)
{
	return core->roster.lost_count == 0 || !ph_rule(core, PH_RULE_COMPLETE);
}

static void share_endpoints(struct ph_core *core)
{
	size_t i;

	for (i = 0; i < core->lane_count; i++)
		ph_endpoints_share_slots(core->lanes[i].endpoints, &core->roster,
				   ph_membership_self(core));
}

static bool holds(const struct ph_roster *roster, uint64_t incarnation,
		  uint64_t key_hash)
{
	struct ph_pair pair = ph_roster_pair(roster, key_hash);
	int self = ph_roster_find(roster, incarnation);

	return self >= 0 && (self == pair.primary || self == pair.backup);
}

/* The seals brought all that the former holders knew. */
static void refresh_sealed(struct ph_core *core)
{
	const struct ph_roster *r = &core->roster;
	struct ph_job *job;

	ph_list_for (job, &core->ledger)
		if (job->live->fresh >= r->broken &&
		    holds(r, core->self.incarnation, job->key_hash))
			job->live->fresh = r->version;
}

/* Knowledge that was whole under the old roster stays so under the new one,
 * unless this instance is not in it: others go on without it. */
static void refresh_carried(struct ph_core *core, const struct ph_roster *old)
{
	bool member = ph_membership_self(core) >= 0;
	struct ph_job *job;

	ph_list_for (job, &core->ledger) {
		bool whole = member && job->live->fresh >= old->version &&
			     holds(old, core->self.incarnation, job->key_hash);

		if (whole || ph_job_unshared(job))
			job->live->fresh = core->roster.version;
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
	refresh_sealed(core);
	ph_dispatch_review(core, now_us);
	ph_requests_retry(core, now_us);
}

static void track_lost(struct ph_core *core, uint64_t now_us,
		       const struct ph_roster *old)
{
	uint64_t seen[PH_MAX_LOST];
	size_t i;
	size_t j;

	for (i = 0; i < core->roster.lost_count; i++) {
		seen[i] = now_us;
		for (j = 0; j < old->lost_count; j++)
			if (core->lost_ids[j] == core->roster.lost[i])
				seen[i] = core->lost_seen_us[j];
	}
	for (i = 0; i < core->roster.lost_count; i++) {
		core->lost_ids[i] = core->roster.lost[i];
		core->lost_seen_us[i] = seen[i];
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
		p->m = *m;
		/* The time to be heard starts anew with membership. */
		if (m->joined == core->roster.version)
			p->added_us = now_us;
	}
}

/* Restarts all replication under the new roster. */
static void reseal(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];

		if (!p->used)
			continue;
		ph_replicate_reset(core, p);
		if (ph_roster_find(&core->roster, p->m.incarnation) < 0)
			ph_replicate_drop(core, p);
	}
	ph_replicate_all(core, now_us);
}

static void adopt(struct ph_core *core, uint64_t now_us,
		  const struct ph_roster *roster)
{
	struct ph_roster old = core->roster;
	bool was_member = ph_membership_self(core) >= 0;
	bool member;

	core->roster = *roster;
	core->counters.roster_changes++;
	core->active = false;
	member = ph_membership_self(core) >= 0;
	refresh_carried(core, &old);
	track_lost(core, now_us, &old);
	add_member_peers(core, now_us);
	share_endpoints(core);
	if (member)
		core->outside_us = 0;
	else if (!core->outside_us)
		core->outside_us = now_us;
	if (was_member && !member)
		core->retiring = true;
	reseal(core, now_us);
	ph_dispatch_review(core, now_us);
	ph_replicate_flush(core, now_us);
	ph_membership_check_active(core, now_us);
	ph_requests_retry(core, now_us);
}

static void adopt_foreign(struct ph_core *core, const struct ph_roster *roster)
{
	size_t i;

	for (i = 0; i < core->foreign_count; i++)
		if (!strcmp(core->foreign[i].domain, roster->domain))
			break;
	if (i == PH_FOREIGN_DOMAINS)
		return;
	if (i == core->foreign_count)
		core->foreign_count++;
	if (core->foreign[i].version < roster->version)
		core->foreign[i] = *roster;
}

void ph_membership_adopt(struct ph_core *core, uint64_t now_us, uint64_t index,
			 const char *doc, size_t len)
{
	struct ph_roster roster;

	if (ph_roster_decode(&roster, doc, len))
		return;
	if (strcmp(roster.domain, core->domain) != 0) {
		adopt_foreign(core, &roster);
		ph_requests_retry(core, now_us);
		return;
	}
	if (index) {
		core->index = index;
		core->index_known = roster.version >= core->roster.version;
	}
	if (roster.version > core->roster.version)
		adopt(core, now_us, &roster);
}

/* ## Changes of the roster */

static void start_read(struct ph_core *core, uint64_t now_us)
{
	if (core->reading || core->writing)
		return;
	if (core->read_us && now_us < core->read_us + READ_EVERY_US)
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
		ph_membership_adopt(core, now_us, index, doc, len);
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
	ph_membership_adopt(core, now_us, index, doc, len);
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
		adopt(core, now_us, &core->proposed);
	start_read(core, now_us);
	ph_replicate_flush(core, now_us);
}

static struct ph_roster next_roster(const struct ph_core *core)
{
	struct ph_roster next = core->roster;

	next.version++;
	return next;
}

/* Removes one member that is dead or silent. */
static bool remove_failed(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	size_t i;

	for (i = 0; i < PH_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];
		bool clean;

		if (!p->used ||
		    ph_roster_find(&core->roster, p->m.incarnation) < 0)
			continue;
		if (p->life == PH_ALIVE && !ph_peer_silent(core, p, now_us))
			continue;
		clean = p->life == PH_DEAD_CLEAN && core->active;
		if (!ph_roster_remove(&next, p->m.incarnation, !clean))
			continue;
		if (!core->active)
			next.broken = next.version;
		core->counters.takeovers++;
		start_write(core, &next);
		return true;
	}
	return false;
}

/* Takes a removed member off the lost list once it is accounted for. */
static bool clear_lost(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	size_t i;

	for (i = 0; i < core->roster.lost_count; i++) {
		uint64_t id = core->roster.lost[i];
		bool expired =
			now_us >= core->lost_seen_us[i] + core->opt.remember_us;

		if (id != core->found_id && !expired)
			continue;
		ph_roster_found(&next, id);
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
		core->found_id = msg->subject_incarnation;
}

static bool is_own_past(const struct ph_core *core,
			const struct ph_roster_member *m)
{
	return !strcmp(m->addr, core->self.addr) ||
	       !strcmp(m->name, core->self.name);
}

/* Counts members that answer, and those that surely or maybe never will. */
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

		if (is_own_past(core, m) || (p && p->life != PH_ALIVE))
			(*dead)++;
		else if (p && p->heard_us && !ph_peer_silent(core, p, now_us))
			(*live)++;
	}
}

/* Replaces a roster of which nobody is left. */
static void join_alone(struct ph_core *core)
{
	struct ph_roster next = next_roster(core);

	while (next.count)
		if (!ph_roster_remove(&next, next.members[0].incarnation, true))
			return;
	if (core->roster.version)
		next.broken = next.version;
	if (ph_roster_add(&next, &core->self))
		start_write(core, &next);
}

static void try_join(struct ph_core *core, uint64_t now_us)
{
	struct ph_roster next = next_roster(core);
	uint64_t force_us =
		core->outside_us + JOIN_FORCE_FACTOR * core->opt.solo_after_us;
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
		join_alone(core);
}

/* Everything is handed over: becomes a new instance that knows nothing but
 * which ids there were; whoever holds them now may die. */
static void rejoin(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_PEERS; i++)
		ph_replicate_drop(core, &core->peers[i]);
	for (i = 0; i < core->lane_count; i++) {
		ph_queue_free(core->lanes[i].queue);
		core->lanes[i].queue =
			ph_queue_new(core->mem, core->opt.queue_policy);
	}
	ph_ledger_retire(&core->ledger, now_us, now_us + core->opt.remember_us);
	core->self.incarnation++;
	core->retiring = false;
	core->outside_us = now_us;
}

static void report_handed_over(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];
		struct ph_msg msg = { .type = PH_MSG_HANDED_OVER };

		if (!p->used || p->life != PH_ALIVE)
			continue;
		if (now_us < p->roster_sent_us + HANDED_OVER_EVERY_US)
			continue;
		p->roster_sent_us = now_us;
		msg.subject_incarnation = core->self.incarnation;
		ph_core_send(core, p->m.addr, &msg);
	}
}

static void retire(struct ph_core *core, uint64_t now_us)
{
	if (core->running_count || !ph_replicate_idle(core))
		return;
	if (ph_roster_is_lost(&core->roster, core->self.incarnation))
		report_handed_over(core, now_us);
	else if (!core->stopping)
		rejoin(core, now_us);
}

/* Leaves once all queued jobs are with their copies. */
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

static bool some_peer_silent(const struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];

		if (!p->used ||
		    ph_roster_find(&core->roster, p->m.incarnation) < 0)
			continue;
		if (p->life != PH_ALIVE || ph_peer_silent(core, p, now_us))
			return true;
	}
	return false;
}

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
	if (!core->index_known || core->outside_us || core->platform_failing ||
	    some_peer_silent(core, now_us))
		start_read(core, now_us);
	if (core->retiring)
		retire(core, now_us);
	change_roster(core, now_us);
	ph_membership_check_active(core, now_us);
}
