/* What an instance that starts is told of the others of its failure domain: it
 * may hear a single peer at first, and must not claim the pools of owners that
 * it has yet to hear. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"
#include "pool_shard.h"

#define PART "cluster"
/* Time since a peer has become known, or since its start, for which it counts
 * as new. Its contacts get a heartbeat every 0.3 s; with one of them lost and a
 * CPU that is throttled for 0.1 s it has heard all others within less than half
 * of this time. */
#define NEW_US 2000000U
/* Time after the first report of an owner within which it would have been
 * heard: a lost heartbeat is repeated after 0.3 s, and each side of the
 * exchange may be throttled for 0.1 s, by which the dial is delayed too. */
#define REPORT_MAX_US 700000U
/* Longest wait for a heartbeat of an instance that owns nothing, and for the
 * first report: an exchange of heartbeats, with one side throttled for 0.1 s.
 */
#define EXCHANGE_US 200000U
/* Time for which a report is kept so that a repetition of it has no effect;
 * none is sent for longer than NEW_US after the first. */
#define REPORT_KEEP_US 5000000U
#define US_PER_MS 1000U

/* ## Reports to others */

static uint32_t add_report(struct ph_reported_owner *owners, uint32_t n,
			   const struct ph_member *m, const char *pool,
			   uint64_t token, uint64_t now_us)
{
	struct ph_reported_owner *o = &owners[n];

	if (n == PH_REPORTED_OWNERS_MAX)
		return n;
	o->pool_name = pool;
	o->name = m->name;
	ph_strcopy(o->addr, sizeof(o->addr), m->addr);
	o->token = token;
	o->heard_ago_us = now_us - m->heard_us;
	return n + 1;
}

static uint64_t claim_token(const struct ph_member *m, const char *pool)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++)
		if (!strcmp(m->claims[i].pool_name, pool))
			return m->claims[i].token;
	return 0;
}

static bool reported_to(const struct ph_cluster *cluster,
			const struct ph_member *to, uint64_t now_us)
{
	return to && !strcmp(to->domain, cluster->opt.domain) &&
	       (!ph_member_alive(cluster, to, now_us) ||
		now_us < to->first_heard_us + NEW_US);
}

uint32_t ph_cluster_report_owners(const struct ph_cluster *cluster,
				  uint64_t now_us, const struct ph_member *to,
				  struct ph_reported_owner *owners)
{
	const struct ph_member *m = NULL;
	uint32_t n = 0;
	size_t i;

	if (!reported_to(cluster, to, now_us))
		return 0;
	for (i = 0; i < cluster->pool_count; i++) {
		const struct ph_pool_claim *p = &cluster->pools[i];

		m = p->committed_claimant;
		if (p->owned || !m || m == to ||
		    !ph_pool_shard_in(p->name, cluster->opt.domain) ||
		    strcmp(m->domain, cluster->opt.domain) != 0)
			continue;
		n = add_report(owners, n, m, p->name, claim_token(m, p->name),
			       now_us);
	}
	/* Instances that all start at once introduce nobody: each of their
	 * claims would wait for the others. */
	if (now_us < cluster->opt.start_us + NEW_US)
		return n;
	m = NULL;
	while ((m = ph_cluster_next_in_domain(cluster, m, now_us)))
		if (m != to && !m->leaving && !m->claim_count)
			n = add_report(owners, n, m, "", 0, now_us);
	return n;
}

/* ## Reports of others */

static struct ph_owner_report *
find_report(const struct ph_cluster *cluster,
	    const struct ph_reported_owner *reported)
{
	size_t i;

	for (i = 0; i < cluster->report_count; i++) {
		struct ph_owner_report *r = &cluster->reports[i];

		if (r->token == reported->token &&
		    !strcmp(r->name, reported->name) &&
		    !strcmp(r->pool_name, reported->pool_name))
			return r;
	}
	return NULL;
}

static struct ph_owner_report *
new_report(struct ph_cluster *cluster, const struct ph_reported_owner *reported,
	   uint64_t now_us)
{
	struct ph_owner_report *r;

	cluster->reports =
		ph_array_grow(cluster->mem, cluster->reports,
			      cluster->report_count, sizeof(*cluster->reports));
	r = &cluster->reports[cluster->report_count++];
	memset(r, 0, sizeof(*r));
	r->pool_name = ph_intern(reported->pool_name);
	r->name = ph_intern(reported->name);
	ph_strcopy(r->addr, sizeof(r->addr), reported->addr);
	r->token = reported->token;
	r->first_us = now_us;
	return r;
}

/* An owner that was heard some time ago counts as alive for as long as if that
 * heartbeat had been received here. */
static uint64_t report_until_us(const struct ph_cluster *cluster,
				const struct ph_owner_report *r,
				const struct ph_reported_owner *reported,
				uint64_t now_us)
{
	uint64_t suspect_us =
		ph_heartbeat_suspect_us(cluster, cluster->opt.heartbeat_us);
	uint64_t bound_us =
		r->first_us + (r->pool_name[0] ? REPORT_MAX_US : EXCHANGE_US);
	uint64_t until_us =
		reported->heard_ago_us < suspect_us
			? now_us + suspect_us - reported->heard_ago_us
			: 0;

	return until_us < bound_us ? until_us : bound_us;
}

/* Adds the address to the contacts, or makes the next heartbeat to it due: its
 * process answers, or a refused connection shows that it is gone. */
static void contact_at_once(struct ph_cluster *cluster, const char *addr)
{
	size_t i;

	ph_cluster_add_contact(cluster, addr);
	for (i = 0; i < cluster->contact_count; i++)
		if (!strcmp(cluster->contacts[i].addr, addr))
			cluster->contacts[i].sent_us = 0;
}

static void report_received(struct ph_cluster *cluster,
			    const struct ph_reported_owner *reported,
			    const char *reporter, uint64_t now_us)
{
	struct ph_owner_report *r = find_report(cluster, reported);
	uint64_t until_us;

	if (!strcmp(reported->name, cluster->opt.name) ||
	    ph_member_find(cluster, reported->name))
		return;
	if (!r) {
		if (cluster->report_count >= 2 * PH_REPORTED_OWNERS_MAX)
			return;
		r = new_report(cluster, reported, now_us);
		contact_at_once(cluster, r->addr);
		ph_event(PART,
			 "event=owner_reported pool=%s owner=%s token=%llu "
			 "age_us=%llu reporter=%s",
			 r->pool_name[0] ? r->pool_name : "none", r->name,
			 (unsigned long long)r->token,
			 (unsigned long long)reported->heard_ago_us, reporter);
	}
	until_us = report_until_us(cluster, r, reported, now_us);
	if (until_us > r->until_us)
		r->until_us = until_us;
}

/* Whether the peer was running long before this instance started, by their
 * clocks of the time of day. */
static bool established(const struct ph_cluster *cluster,
			const struct ph_member *m)
{
	return m->incarnation + NEW_US / US_PER_MS <= cluster->opt.incarnation;
}

/* A peer of the domain that has been running for long, and that does not know
 * of this instance yet, reports the owners as soon as it does. */
static void await_introduction(struct ph_cluster *cluster,
			       const struct ph_member *m, uint64_t now_us)
{
	if (cluster->introduced || !established(cluster, m))
		return;
	if (m->heard_self_ago_us <= now_us - cluster->opt.start_us) {
		cluster->introduced = true;
	} else if (!cluster->introduction_until_us) {
		cluster->introduction_until_us = now_us + EXCHANGE_US;
	}
}

void ph_reports_received(struct ph_cluster *cluster, const struct ph_member *m,
			 const struct ph_poolmsg *heartbeat, bool new_claims,
			 uint64_t now_us)
{
	uint32_t i;
	size_t k;

	for (k = 0; k < cluster->report_count; k++)
		if (!strcmp(cluster->reports[k].name, m->name))
			cluster->reports[k].settled = true;
	if (strcmp(m->domain, cluster->opt.domain) != 0)
		return;
	await_introduction(cluster, m, now_us);
	/* Others that have just started may know this instance only. Where all
	 * have, each hears the owners directly. */
	if (new_claims && cluster->introduced &&
	    now_us < cluster->opt.start_us + NEW_US)
		ph_cluster_heartbeat_soon(cluster, PH_HEARTBEAT_DOMAIN);
	for (i = 0; i < heartbeat->reported_owner_count; i++)
		report_received(cluster, &heartbeat->reported_owners[i],
				m->name, now_us);
}

void ph_reports_refused(struct ph_cluster *cluster, const char *addr)
{
	size_t i;

	for (i = 0; i < cluster->report_count; i++)
		if (!strcmp(cluster->reports[i].addr, addr))
			cluster->reports[i].settled = true;
}

void ph_reports_expire(struct ph_cluster *cluster, uint64_t now_us)
{
	size_t i = 0;

	while (i < cluster->report_count)
		if (now_us < cluster->reports[i].first_us + REPORT_KEEP_US)
			i++;
		else
			cluster->reports[i] =
				cluster->reports[--cluster->report_count];
}

bool ph_reports_owned(const struct ph_cluster *cluster, const char *pool,
		      uint64_t now_us)
{
	size_t i;

	for (i = 0; i < cluster->report_count; i++) {
		const struct ph_owner_report *r = &cluster->reports[i];

		if (!r->settled && now_us < r->until_us &&
		    !strcmp(r->pool_name, pool))
			return true;
	}
	return false;
}

uint64_t ph_reports_token(const struct ph_cluster *cluster, const char *pool)
{
	uint64_t token = 0;
	size_t i;

	for (i = 0; i < cluster->report_count; i++)
		if (cluster->reports[i].token > token &&
		    !strcmp(cluster->reports[i].pool_name, pool))
			token = cluster->reports[i].token;
	return token;
}

bool ph_reports_incomplete(const struct ph_cluster *cluster, uint64_t now_us)
{
	/* An instance that owns no pool. */
	return ph_reports_owned(cluster, "", now_us) ||
	       (!cluster->introduced &&
		now_us < cluster->introduction_until_us);
}
