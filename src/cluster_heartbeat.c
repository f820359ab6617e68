/* Heartbeats: how often which peer is greeted, and links that are at fault. */

#include <string.h>

#include "log.h"
#include "cluster_impl.h"

#define PART "members"
/* Instances from which on heartbeats are thinned out: with more, those of the
 * cases below take a tenth of a small instance's processor. */
#define MANY_MEMBERS 100U
/* Then peers of other domains greet an owner this much less often; a silent
 * one is noticed within 0.7 s, before its callers come again after 1.3 s. */
#define MANY_OWNER_FACTOR 2U
/* Then those of different domains that own nothing have little to tell each
 * other: who owns a pool, and who is near, is known at the usual distance. */
#define MANY_IDLE_FACTOR 20U
/* Contacts that have not answered are greeted at this interval. */
#define CONTACT_EVERY_US 300000U
/* A link over which the peer has heard nothing for this many suspicion times
 * is opened anew. */
#define LINK_RESET_EVERY_US 500000U

static bool known_addr(const struct ph_cluster *ms, const char *addr,
		       uint64_t now_us)
{
	const struct ph_member *m;

	for (m = ms->first; m; m = m->next)
		if (!strcmp(m->addr, addr) &&
		    now_us < m->heard_us + PH_KNOWN_US)
			return true;
	return false;
}

uint64_t ph_cluster_interval_us(const struct ph_cluster *ms,
				const struct ph_member *m)
{
	bool same = !strcmp(m->domain, ms->opt.domain);
	bool many = ms->member_count > MANY_MEMBERS;
	uint64_t factor = PH_FAR_FACTOR;

	if (m->claim_count || ph_claims_owned(ms))
		factor = many && !same ? MANY_OWNER_FACTOR : 1;
	else if (same && !many)
		factor = 1;
	else if (!same && many)
		factor = MANY_IDLE_FACTOR;
	return factor * ms->opt.heartbeat_us;
}

void ph_beats_send(struct ph_cluster *ms, uint64_t now_us,
		   const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;
	size_t i;

	for (m = ms->first; m; m = m->next) {
		uint64_t every = ph_member_live(ms, m, now_us)
					 ? ph_cluster_interval_us(ms, m)
					 : CONTACT_EVERY_US;

		if (every != m->every_us) {
			m->every_us = every;
			m->every_since_us = now_us;
		}
		if (now_us > m->heard_us + PH_KNOWN_US ||
		    now_us < m->sent_us + every)
			continue;
		m->sent_us = now_us;
		sink->send_heartbeat(ctx, m->addr, m);
	}
	for (i = 0; i < ms->contact_count; i++) {
		struct ph_contact *c = &ms->contacts[i];

		if (now_us < c->sent_us + CONTACT_EVERY_US)
			continue;
		c->sent_us = now_us;
		if (!known_addr(ms, c->addr, now_us))
			sink->send_heartbeat(ctx, c->addr, NULL);
	}
}

/* True if the peer has missed heartbeats of this instance's for so long that
 * the link must be at fault. */
static bool unheard(const struct ph_cluster *ms, const struct ph_member *m,
		    uint64_t now_us)
{
	uint64_t limit_us = PH_FAR_FACTOR * ms->opt.heartbeat_us;

	if (limit_us < 2 * m->every_us)
		limit_us = 2 * m->every_us;
	limit_us += ms->opt.suspect_us;
	return m->heard_me_ago_us > limit_us &&
	       now_us > m->every_since_us + limit_us;
}

void ph_beats_watch(struct ph_cluster *ms, uint64_t now_us,
		    const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;

	for (m = ms->first; m; m = m->next) {
		if (m->relink) {
			m->relink = false;
			sink->reset_link(ctx, m->addr);
		}
		if (m->restarted) {
			m->restarted = false;
			sink->lost(ctx, m->name);
		}
		if (!m->lost && !ph_member_live(ms, m, now_us)) {
			m->lost = true;
			ph_event(PART,
				 "event=member_lost member=%s silent_us=%llu",
				 m->name,
				 (unsigned long long)(now_us - m->heard_us));
			sink->lost(ctx, m->name);
		}
		if (ph_member_live(ms, m, now_us) && unheard(ms, m, now_us) &&
		    now_us > m->link_reset_us + LINK_RESET_EVERY_US) {
			m->link_reset_us = now_us;
			sink->reset_link(ctx, m->addr);
		}
	}
}

void ph_cluster_heartbeat_soon(struct ph_cluster *ms,
			       enum ph_heartbeat_scope whom)
{
	bool near =
		whom == PH_HEARTBEAT_DOMAIN && ms->member_count > MANY_MEMBERS;
	struct ph_member *m;

	for (m = ms->first; m; m = m->next)
		if (!near || !strcmp(m->domain, ms->opt.domain))
			m->sent_us = 0;
}
