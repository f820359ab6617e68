#include <string.h>

#include "entry_core_impl.h"

/* Shortest time between two rosters sent to one peer. */
#define ROSTER_SEND_INTERVAL_US 100000U
/* The slot of a silent non-member may be reused after this time. */
#define PEER_RETENTION_US 60000000U
/* A non-member promises to start no task solo for this long. */
#define NON_MEMBER_NO_SOLO_US 1000000U
/* Heartbeat intervals without an answer after which the connection to a peer is
 * doubted, in halves. Less than until the peer counts as silent. */
#define DOUBT_INTERVALS_X2 5U
/* Longest time between two new connections to a peer. */
#define RENEW_MAX_US 2000000U

uint32_t ph_peer_slot(const struct ph_core *core, const struct ph_peer *peer)
{
	return (uint32_t)(peer - core->peers);
}

struct ph_peer *ph_peer_by_incarnation(struct ph_core *core, uint64_t id)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++)
		if (core->peers[i].used &&
		    core->peers[i].member.incarnation == id)
			return &core->peers[i];
	return NULL;
}

struct ph_peer *ph_peer_by_addr(struct ph_core *core, const char *addr)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];

		if (p->used && p->liveness == PH_ALIVE &&
		    !strcmp(p->member.addr, addr))
			return p;
	}
	return NULL;
}

bool ph_peer_silent(const struct ph_core *core, const struct ph_peer *peer,
		    uint64_t now_us)
{
	uint64_t since = peer->heard_us;

	if (since < peer->added_us)
		since = peer->added_us;
	if (since < core->resumed_us)
		since = core->resumed_us;
	return now_us >= since + core->opt.suspect_after_us;
}

/* Time of the last contact with the peer or the platform; not before the peer
 * was added or the process resumed after a pause. */
static uint64_t last_contact_us(const struct ph_core *core,
				const struct ph_peer *peer)
{
	uint64_t base = peer->heard_us;

	if (base < peer->added_us)
		base = peer->added_us;
	if (base < core->platform_ok_us)
		base = core->platform_ok_us;
	if (base < core->resumed_us)
		base = core->resumed_us;
	return base;
}

bool ph_peer_solo_allowed(const struct ph_core *core,
			  const struct ph_peer *peer, uint64_t now_us)
{
	return now_us >= last_contact_us(core, peer) + core->opt.solo_after_us;
}

/* A slot may be reused once its peer is not a member, and is dead or was silent
 * for the retention time. */
static bool slot_reusable(const struct ph_core *core, const struct ph_peer *p,
			  uint64_t now_us)
{
	if (ph_roster_find(&core->roster, p->member.incarnation) >= 0)
		return false;
	if (p->liveness != PH_ALIVE)
		return true;
	return now_us > p->heard_us + PEER_RETENTION_US &&
	       now_us > p->added_us + PEER_RETENTION_US;
}

/* Clears a slot's bit in all jobs before another peer gets the slot. */
static void clear_peer_bits(struct ph_core *core, uint32_t slot)
{
	uint16_t keep = (uint16_t) ~(1U << slot);
	size_t i;

	for (i = 0; i < core->ledger.bucket_count; i++) {
		struct ph_job *job = core->ledger.buckets[i];

		for (; job; job = job->chain) {
			job->holders &= keep;
			job->has_body &= keep;
			job->dirty &= keep;
			job->in_flight &= keep;
		}
	}
}

struct ph_peer *ph_peer_add(struct ph_core *core, uint64_t now_us,
			    const struct ph_roster_member *member)
{
	struct ph_peer *slot = NULL;
	size_t i;

	for (i = 0; i < PH_MAX_PEERS && !slot; i++)
		if (!core->peers[i].used)
			slot = &core->peers[i];
	for (i = 0; i < PH_MAX_PEERS && !slot; i++)
		if (slot_reusable(core, &core->peers[i], now_us))
			slot = &core->peers[i];
	if (!slot)
		return NULL;
	ph_replicate_drop(core, slot);
	clear_peer_bits(core, ph_peer_slot(core, slot));
	core->mem->free(slot->out.dirty);
	core->mem->free(slot->out.batch);
	memset(slot, 0, sizeof(*slot));
	slot->used = true;
	slot->member = *member;
	slot->added_us = now_us;
	return slot;
}

static size_t count_dead_members(const struct ph_core *core)
{
	size_t dead = 0;
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];

		if (p->used && p->liveness != PH_ALIVE &&
		    ph_roster_find(&core->roster, p->member.incarnation) >= 0)
			dead++;
	}
	return dead;
}

/* Marks a peer as dead, cleanly or not, and reviews the jobs it holds. */
static void mark_peer_dead(struct ph_core *core, uint64_t now_us,
			   struct ph_peer *peer)
{
	bool clean = now_us < peer->no_solo_until_us;

	if (!ph_rule(core, PH_RULE_CLEAN_DEATH))
		clean = true;
	peer->liveness = clean ? PH_DEAD_CLEAN : PH_DEAD_UNACCOUNTED;
	/* If two members die at once, or one before state transfer is complete,
	 * a job's last record may be lost. */
	if (!core->active || count_dead_members(core) > 1)
		peer->liveness = PH_DEAD_UNACCOUNTED;
	ph_replicate_drop(core, peer);
	ph_requests_target_lost(core, now_us, peer->member.addr);
	ph_dispatch_review(core, now_us);
	ph_requests_retry(core, now_us);
}

void ph_core_connection_refused(struct ph_core *core, uint64_t now_us,
				const char *addr)
{
	struct ph_peer *peer;

	ph_core_enter(core, now_us);
	peer = ph_peer_by_addr(core, addr);
	if (peer)
		mark_peer_dead(core, now_us, peer);
	else
		ph_requests_target_lost(core, now_us, addr);
	ph_replicate_flush(core, now_us);
}

/* A message of an unknown incarnation from a peer's address proves that the
 * peer's process has ended. */
static void end_earlier_incarnation(struct ph_core *core, uint64_t now_us,
				    const struct ph_msg *msg)
{
	struct ph_peer *old = ph_peer_by_addr(core, msg->addr);

	if (old && old->member.incarnation != msg->incarnation)
		mark_peer_dead(core, now_us, old);
}

/* Sends the own domain's roster to a peer that has an older one. */
static void send_roster(struct ph_core *core, uint64_t now_us,
			struct ph_peer *peer)
{
	struct ph_msg msg = { .type = PH_MSG_ROSTER };
	struct ph_buf doc;

	if (peer->roster_sent_us &&
	    now_us < peer->roster_sent_us + ROSTER_SEND_INTERVAL_US)
		return;
	peer->roster_sent_us = now_us;
	ph_buf_init(&doc, core->mem);
	ph_roster_encode(&core->roster, &doc);
	msg.doc = doc.data;
	msg.doc_len = doc.len;
	ph_core_send(core, peer->member.addr, &msg);
	ph_buf_free(&doc);
}

void ph_peers_heard(struct ph_core *core, uint64_t now_us,
		    const struct ph_msg *msg)
{
	struct ph_peer *peer;

	if (strcmp(msg->domain, core->domain) != 0)
		return;
	peer = ph_peer_by_incarnation(core, msg->incarnation);
	if (!peer) {
		struct ph_roster_member m = { .incarnation = msg->incarnation };

		end_earlier_incarnation(core, now_us, msg);
		ph_strcopy(m.name, sizeof(m.name), msg->name);
		ph_strcopy(m.addr, sizeof(m.addr), msg->addr);
		peer = ph_peer_add(core, now_us, &m);
	}
	if (!peer || peer->liveness != PH_ALIVE)
		return;
	peer->heard_us = now_us;
	if (msg->roster_version < core->roster.version)
		send_roster(core, now_us, peer);
}

/* ## Heartbeats */

/* Time from now on for which this instance will neither start tasks solo nor
 * remove the peer whose heartbeat has just arrived. */
static uint64_t no_solo_duration_us(const struct ph_core *core, uint64_t now_us)
{
	uint64_t least = core->opt.suspect_after_us;
	size_t i;

	if (core->non_member_since_us)
		return NON_MEMBER_NO_SOLO_US;
	for (i = 0; i < PH_MAX_PEERS; i++) {
		const struct ph_peer *p = &core->peers[i];
		uint64_t at;

		if (!p->used || p->liveness != PH_ALIVE)
			continue;
		if (ph_roster_find(&core->roster, p->member.incarnation) < 0)
			continue;
		at = last_contact_us(core, p) + core->opt.solo_after_us;
		if (at <= now_us)
			return 0;
		if (at - now_us < least)
			least = at - now_us;
	}
	return least;
}

void ph_peer_send_ping(struct ph_core *core, uint64_t now_us,
		       struct ph_peer *peer)
{
	struct ph_msg msg = { .type = PH_MSG_PING };

	peer->pinged_us = now_us;
	msg.sent_us = now_us;
	msg.synced_version = peer->synced_by_me;
	ph_core_send(core, peer->member.addr, &msg);
}

void ph_peers_ping(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg)
{
	struct ph_peer *peer = ph_peer_by_incarnation(core, msg->incarnation);
	struct ph_msg pong = { .type = PH_MSG_PONG };

	if (!peer || peer->liveness != PH_ALIVE)
		return;
	if (peer->synced_to_me < msg->synced_version)
		peer->synced_to_me = msg->synced_version;
	pong.sent_us = msg->sent_us;
	/* No promise before the peer has the records of earlier solo starts:
	 * otherwise it would take this instance's death for a clean one and
	 * start those tasks again. */
	if (!peer->unreplicated || !ph_rule(core, PH_RULE_UNREPLICATED))
		pong.no_solo_us = no_solo_duration_us(core, now_us);
	pong.synced_version = peer->synced_by_me;
	ph_core_send(core, peer->member.addr, &pong);
	ph_membership_check_active(core, now_us);
}

void ph_peers_pong(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg)
{
	struct ph_peer *peer = ph_peer_by_incarnation(core, msg->incarnation);
	uint64_t until = msg->sent_us + msg->no_solo_us;

	if (!peer || peer->liveness != PH_ALIVE || msg->sent_us > now_us)
		return;
	if (msg->sent_us > peer->ponged_us) {
		peer->ponged_us = msg->sent_us;
		peer->renewals = 0;
	}
	if (until > peer->no_solo_until_us)
		peer->no_solo_until_us = until;
	if (peer->synced_to_me < msg->synced_version)
		peer->synced_to_me = msg->synced_version;
	ph_membership_check_active(core, now_us);
}

static void send_pings(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];

		if (!p->used || p->liveness != PH_ALIVE)
			continue;
		if (now_us < p->pinged_us + core->opt.ping_every_us)
			continue;
		if (slot_reusable(core, p, now_us))
			continue;
		ph_peer_send_ping(core, now_us, p);
	}
}

/* While no roster is known, sends heartbeats to the seeds, which answer with
 * the roster. */
static void ping_seeds(struct ph_core *core, uint64_t now_us)
{
	struct ph_msg msg = { .type = PH_MSG_PING, .sent_us = now_us };
	size_t i;

	if (core->roster.count ||
	    now_us < core->seeds_pinged_us + core->opt.ping_every_us)
		return;
	core->seeds_pinged_us = now_us;
	for (i = 0; i < core->seed_count; i++)
		if (strcmp(core->seeds[i], core->self.addr) != 0)
			ph_core_send(core, core->seeds[i], &msg);
}

/* Opens a new connection to a peer that answers no heartbeats, before it counts
 * as silent: either direction's connection may be dead while new ones work. The
 * time to the next attempt doubles each time. */
static void check_link(struct ph_core *core, uint64_t now_us, struct ph_peer *p)
{
	uint64_t since_us = p->ponged_us;
	uint64_t wait_us = core->opt.ping_every_us;
	uint32_t i;

	if (since_us < p->added_us)
		since_us = p->added_us;
	if (since_us < core->resumed_us)
		since_us = core->resumed_us;
	for (i = 0; i < p->renewals && wait_us < RENEW_MAX_US; i++)
		wait_us *= 2;
	if (now_us < since_us +
			     DOUBT_INTERVALS_X2 * core->opt.ping_every_us / 2 ||
	    now_us < p->renewed_us + wait_us)
		return;
	p->renewed_us = now_us;
	p->renewals++;
	core->counters.links_renewed++;
	core->opt.sink->renew_link(core->opt.ctx, p->member.addr);
	ph_peer_send_ping(core, now_us, p);
}

static void check_links(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	if (!core->opt.sink->renew_link)
		return;
	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];

		if (p->used && p->liveness == PH_ALIVE &&
		    !slot_reusable(core, p, now_us))
			check_link(core, now_us, p);
	}
}

/* Ends the relays to peers that fell silent since the last tick. */
static void check_silent_peers(struct ph_core *core, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < PH_MAX_PEERS; i++) {
		struct ph_peer *p = &core->peers[i];
		bool silent;

		if (!p->used || p->liveness != PH_ALIVE)
			continue;
		silent = ph_peer_silent(core, p, now_us);
		if (silent && !p->was_silent)
			ph_requests_target_lost(core, now_us, p->member.addr);
		p->was_silent = silent;
	}
}

void ph_peers_tick(struct ph_core *core, uint64_t now_us)
{
	send_pings(core, now_us);
	check_links(core, now_us);
	ping_seeds(core, now_us);
	check_silent_peers(core, now_us);
}
