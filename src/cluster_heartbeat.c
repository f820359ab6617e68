/* Heartbeats: their intervals, failed peers, and connections to be reset. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"

#define PART "cluster"
/* Peers above which the cluster is large and fewer heartbeats are sent, by the
 * factors below. At the usual intervals these heartbeats would then take a
 * tenth of the CPU of a small instance. */
#define LARGE_CLUSTER_PEERS 100U
/* Factor in a large cluster between instances of different failure domains if
 * one of them owns a pool. A failed owner is still detected within 0.7 s,
 * before its callers retry after 1.3 s. */
#define LARGE_OWNER_FACTOR 2U
/* Factor in a large cluster between instances of different failure domains that
 * own no pool. Owners, and instances of the own domain, send their state more
 * often. */
#define LARGE_IDLE_FACTOR 20U
/* Interval of heartbeats to contacts without a known member and to members that
 * are suspected to have failed. */
#define CONTACT_INTERVAL_US 300000U
/* Heartbeat intervals without a heartbeat of a peer after which the connection
 * to it is doubted, in halves. Less than until it is suspected: if only the
 * connections are dead, heartbeats on new ones arrive before that. */
#define SILENT_INTERVALS_X2 5U
/* The same for the heartbeats that a peer tells to have received: it tells no
 * sooner than by its next heartbeat. */
#define DEAF_INTERVALS 2U
/* Shortest and longest time between two new connections to a peer; it doubles
 * with each. A peer that is really gone costs one dial in the longest time. */
#define RENEW_MIN_US 250000U
#define RENEW_MAX_US 2000000U
/* Part of that time by which it is lengthened at most, so that instances don't
 * dial at the same moment. */
#define RENEW_JITTER_DIVISOR 4U
/* Time without doubt after which one renewal counts no longer. */
#define RENEW_FORGIVE_US 400000U
/* Time between two new connections to a contact's address at which no member is
 * known. */
#define CONTACT_RENEW_US 5000000U

/* Heartbeat intervals without a heartbeat after which a peer is suspected, in
 * halves: 7 stand for 3.5 intervals. */
#define SUSPECT_INTERVALS_X2 7U
/* Two ticks: the age of an echo is looked at no later than one after the other.
 */
#define ECHO_TICKS_US 20000U
/* Age of the latest echo of a peer from which on no lease is renewed for its
 * batches. With the lease that was renewed last, on a slow clock, and two ticks
 * it ends before a caller retries, 1.3 s after its submitter failed. */
#define ECHO_LATE_US 550000U
/* An echo is younger than this and the intervals of the heartbeats both ways,
 * if at most one of them is late or lost. */
#define ECHO_EXTRA_US 150000U
/* Time from then on until the peer is taken to count this instance as failed,
 * and its batches end. Meanwhile no lease is renewed on the executors that run
 * their tasks: with a stop that gets lost once, it ends before the leases of
 * other runs there expire. */
#define ECHO_LOST_AFTER_US 300000U

static bool member_known_at(const struct ph_cluster *cluster, const char *addr,
			    uint64_t now_us)
{
	const struct ph_member *m;

	for (m = cluster->first; m; m = m->next)
		if (!strcmp(m->addr, addr) &&
		    now_us < m->heard_us + PH_MEMBER_KNOWN_US)
			return true;
	return false;
}

uint64_t ph_cluster_interval_us(const struct ph_cluster *cluster,
				const struct ph_member *m)
{
	bool same_domain = !strcmp(m->domain, cluster->opt.domain);
	bool large = cluster->member_count > LARGE_CLUSTER_PEERS;
	uint64_t factor = PH_IDLE_INTERVAL_FACTOR;

	if (m->claim_count || ph_claims_owned_count(cluster))
		factor = large && !same_domain ? LARGE_OWNER_FACTOR : 1;
	else if (same_domain && !large)
		factor = 1;
	else if (!same_domain && large)
		factor = LARGE_IDLE_FACTOR;
	return factor * cluster->opt.heartbeat_us;
}

void ph_heartbeat_send_due(struct ph_cluster *cluster, uint64_t now_us,
			   const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;
	size_t i;

	for (m = cluster->first; m; m = m->next) {
		uint64_t interval_us =
			ph_member_alive(cluster, m, now_us)
				? ph_cluster_interval_us(cluster, m)
				: CONTACT_INTERVAL_US;

		if (interval_us != m->send_interval_us) {
			m->send_interval_us = interval_us;
			m->send_interval_since_us = now_us;
		}
		if (now_us > m->heard_us + PH_MEMBER_KNOWN_US ||
		    now_us < m->sent_us + interval_us)
			continue;
		m->sent_us = now_us;
		sink->send_heartbeat(ctx, m->addr, m);
	}
	for (i = 0; i < cluster->contact_count; i++) {
		struct ph_contact *c = &cluster->contacts[i];

		if (now_us < c->sent_us + CONTACT_INTERVAL_US)
			continue;
		c->sent_us = now_us;
		if (member_known_at(cluster, c->addr, now_us)) {
			c->renewed_us = now_us;
			continue;
		}
		if (now_us >= c->renewed_us + CONTACT_RENEW_US) {
			c->renewed_us = now_us;
			sink->renew_link(ctx, c->addr, PH_LINK_NO_MEMBER);
		}
		sink->send_heartbeat(ctx, c->addr, NULL);
	}
}

/* ## Connections that may be dead */

const char *ph_link_doubt_name(enum ph_link_doubt doubt)
{
	static const char *const names[PH_LINK_DOUBTS] = {
		"none", "peer_silent", "peer_gets_no_heartbeats", "peer_back",
		"no_member"
	};

	return names[doubt];
}

enum ph_link_doubt ph_heartbeat_link_doubt(const struct ph_cluster *cluster,
					   const struct ph_member *m,
					   uint64_t now_us)
{
	uint64_t interval_us =
		m->interval_us ? m->interval_us : cluster->opt.heartbeat_us;
	uint64_t deaf_us = DEAF_INTERVALS * m->send_interval_us;

	/* A process that is gone is known by its closed port. */
	if (m->connection_refused || now_us > m->heard_us + PH_MEMBER_KNOWN_US)
		return PH_LINK_SOUND;
	if (now_us > m->heard_us + SILENT_INTERVALS_X2 * interval_us / 2)
		return PH_LINK_PEER_SILENT;
	/* What it tells is of the time of its last heartbeat; before that they
	 * may have been sent at longer intervals. */
	if (m->heard_self_ago_us > deaf_us &&
	    m->heard_us > m->send_interval_since_us + deaf_us)
		return PH_LINK_PEER_DEAF;
	return PH_LINK_SOUND;
}

/* Least time from the last new connection to the next. */
static uint64_t renew_wait_us(const struct ph_cluster *cluster,
			      const struct ph_member *m)
{
	uint64_t wait_us = RENEW_MIN_US;
	uint64_t hash = ph_rendezvous_weight(m->name_hash + m->link_renewals,
					     ph_hash_str(cluster->opt.name));
	uint32_t i;

	for (i = 0; i < m->link_renewals && wait_us < RENEW_MAX_US; i++)
		wait_us *= 2;
	return wait_us + hash % (wait_us / RENEW_JITTER_DIVISOR);
}

/* Replaces a connection that is in doubt: at the first doubt, then ever more
 * rarely as long as that doesn't help. */
static void check_link(const struct ph_cluster *cluster, struct ph_member *m,
		       uint64_t now_us, const struct ph_cluster_sink *sink,
		       void *ctx)
{
	enum ph_link_doubt doubt = ph_heartbeat_link_doubt(cluster, m, now_us);

	if (doubt != PH_LINK_SOUND) {
		m->link_doubted_us = now_us;
	} else if (m->link_renewals &&
		   now_us >= m->link_doubted_us + RENEW_FORGIVE_US) {
		m->link_renewals--;
		m->link_doubted_us = now_us;
	}
	if (m->reconnect_due)
		doubt = PH_LINK_PEER_BACK;
	else if (doubt == PH_LINK_SOUND ||
		 now_us < m->link_renewed_us + renew_wait_us(cluster, m))
		return;
	m->reconnect_due = false;
	m->link_renewed_us = now_us;
	m->link_renewals++;
	/* A heartbeat on the new connection is due at once. */
	m->sent_us = 0;
	ph_event(PART,
		 "event=connection_renewed peer=%s reason=%s silent_us=%llu "
		 "count=%u",
		 m->name, ph_link_doubt_name(doubt),
		 (unsigned long long)(now_us - m->heard_us), m->link_renewals);
	sink->renew_link(ctx, m->addr, doubt);
}

uint64_t ph_heartbeat_suspect_us(const struct ph_cluster *cluster,
				 uint64_t interval_us)
{
	uint64_t us = SUSPECT_INTERVALS_X2 * interval_us / 2;

	return us > cluster->opt.suspect_us ? us : cluster->opt.suspect_us;
}

enum ph_echo ph_heartbeat_echo(const struct ph_cluster *cluster,
			       const struct ph_member *m, uint64_t now_us)
{
	uint64_t suspect_us =
		ph_heartbeat_suspect_us(cluster, m->send_interval_us);
	uint64_t since_us = m->echoed_us;
	uint64_t late_us = 2 * m->send_interval_us + ECHO_EXTRA_US;

	if (!m->echoed_us)
		return PH_ECHO_RECENT;
	if (late_us < ECHO_LATE_US)
		late_us = ECHO_LATE_US;
	/* The heartbeats sent before may have been further apart. */
	if (since_us < m->send_interval_since_us)
		since_us = m->send_interval_since_us;
	if (now_us + ECHO_TICKS_US < since_us + suspect_us &&
	    now_us < since_us + late_us)
		return PH_ECHO_RECENT;
	late_us += since_us;
	if (now_us < late_us)
		return PH_ECHO_DOUBTFUL;
	return now_us < late_us + ECHO_LOST_AFTER_US ? PH_ECHO_LATE
						     : PH_ECHO_LOST;
}

/* Reports a peer that is alive but may count this instance as failed. */
static void check_deafness(const struct ph_cluster *cluster,
			   struct ph_member *m, uint64_t now_us,
			   const struct ph_cluster_sink *sink, void *ctx)
{
	bool before = m->deafness_reported;

	m->deafness_reported =
		ph_member_alive(cluster, m, now_us) &&
		ph_heartbeat_echo(cluster, m, now_us) == PH_ECHO_LOST;
	if (!m->deafness_reported || before)
		return;
	ph_event(PART, "event=member_deaf member=%s echo_age_us=%llu", m->name,
		 (unsigned long long)(now_us - m->echoed_us));
	sink->member_lost(ctx, m->name);
}

void ph_heartbeat_check_peers(struct ph_cluster *cluster, uint64_t now_us,
			      const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;

	for (m = cluster->first; m; m = m->next) {
		check_link(cluster, m, now_us, sink, ctx);
		if (m->restarted) {
			m->restarted = false;
			sink->member_lost(ctx, m->name);
		}
		if (!m->loss_reported && !ph_member_alive(cluster, m, now_us)) {
			m->loss_reported = true;
			ph_event(PART,
				 "event=member_lost member=%s silent_us=%llu",
				 m->name,
				 (unsigned long long)(now_us - m->heard_us));
			sink->member_lost(ctx, m->name);
		}
		check_deafness(cluster, m, now_us, sink, ctx);
	}
}

void ph_cluster_heartbeat_soon(struct ph_cluster *cluster,
			       enum ph_heartbeat_scope scope)
{
	bool domain_only = scope == PH_HEARTBEAT_DOMAIN &&
			   cluster->member_count > LARGE_CLUSTER_PEERS;
	struct ph_member *m;

	for (m = cluster->first; m; m = m->next)
		if (!domain_only || !strcmp(m->domain, cluster->opt.domain))
			m->sent_us = 0;
}
