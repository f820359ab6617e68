#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"

#define PART "members"
/* Instances of a domain from which on one reads the list of executors for all:
 * below, reading it costs less than a reader's loss. */
#define READER_FROM 4U
/* Twice the number of missed heartbeats that make a peer suspect. */
#define SUSPECT_BEATS_X2 7U
#define FORGET_US 60000000U

struct ph_cluster *ph_cluster_new(const struct ph_cluster_options *options)
{
	struct ph_cluster *ms = options->mem->calloc(1, sizeof(*ms));

	ms->mem = options->mem;
	ms->opt = *options;
	return ms;
}

void ph_cluster_free(struct ph_cluster *ms)
{
	if (!ms)
		return;
	while (ms->first) {
		struct ph_member *m = ms->first;

		ms->first = m->next;
		ms->mem->free(m);
	}
	ms->mem->free(ms->contacts);
	ms->mem->free(ms->pools);
	ms->mem->free(ms->by_name);
	ms->mem->free(ms);
}

const struct ph_member *ph_cluster_first(const struct ph_cluster *ms)
{
	return ms->first;
}

const char *ph_cluster_domain(const struct ph_cluster *ms, size_t i)
{
	return i < ms->pool_count ? ms->pools[i].name : NULL;
}

void ph_cluster_contact(struct ph_cluster *ms, const char *addr)
{
	size_t i;

	if (!strcmp(addr, ms->opt.addr))
		return;
	for (i = 0; i < ms->contact_count; i++)
		if (!strcmp(ms->contacts[i].addr, addr))
			return;
	ms->contacts = ph_array_grow(ms->mem, ms->contacts, ms->contact_count,
				     sizeof(*ms->contacts));
	ph_strcopy(ms->contacts[ms->contact_count++].addr, PH_ADDR_BYTES, addr);
}

/* ## Who lives */

struct ph_member *ph_member_find(const struct ph_cluster *ms, const char *name)
{
	uint64_t hash = ph_hash_str(name);
	struct ph_member *m;

	for (m = ms->first; m; m = m->next)
		if (m->name_hash == hash && !strcmp(m->name, name))
			return m;
	return NULL;
}

/* Silence after which a peer counts as dead. */
static uint64_t patience_us(const struct ph_cluster *ms,
			    const struct ph_member *m)
{
	uint64_t beats_us = SUSPECT_BEATS_X2 * m->interval_us / 2;

	return beats_us > ms->opt.suspect_us ? beats_us : ms->opt.suspect_us;
}

bool ph_member_live(const struct ph_cluster *ms, const struct ph_member *m,
		    uint64_t now_us)
{
	return m->heard_us && now_us < m->heard_us + patience_us(ms, m);
}

bool ph_cluster_owner_lives(const struct ph_cluster *ms, uint64_t now_us,
			    const struct ph_owner *owner)
{
	const struct ph_member *m = ph_member_find(ms, owner->name);

	if (!strcmp(owner->name, ms->opt.name))
		return true;
	return m && m->incarnation == owner->incarnation &&
	       ph_member_live(ms, m, now_us);
}

bool ph_cluster_minority(const struct ph_cluster *ms, uint64_t now_us)
{
	const struct ph_member *m;
	size_t known = 1;
	size_t heard = 1;

	for (m = ms->first; m; m = m->next) {
		/* One that is heard rarely says nothing of a cut in time. */
		if (m->leaving || now_us > m->heard_us + PH_KNOWN_US ||
		    m->interval_us > PH_FAR_FACTOR * ms->opt.heartbeat_us)
			continue;
		known++;
		heard += ph_member_live(ms, m, now_us);
	}
	return heard * 2 < known;
}

static void list_owners(struct ph_cluster *ms)
{
	struct ph_member *m;

	ms->first_owner = NULL;
	for (m = ms->first; m; m = m->next) {
		if (!m->claim_count)
			continue;
		m->next_owner = ms->first_owner;
		ms->first_owner = m;
	}
}

const struct ph_member *ph_cluster_heard(struct ph_cluster *ms, uint64_t now_us,
					 const struct ph_poolmsg *hello)
{
	struct ph_member *m = ph_member_find(ms, hello->name);
	bool owner_before;
	bool same;

	if (!strcmp(hello->name, ms->opt.name))
		return NULL;
	/* A frame of an earlier life that was under way. */
	if (m && hello->incarnation < m->incarnation &&
	    ph_member_live(ms, m, now_us))
		return NULL;
	if (!m) {
		m = ms->mem->calloc(1, sizeof(*m));
		ph_strcopy(m->name, sizeof(m->name), hello->name);
		m->name_hash = ph_hash_str(m->name);
		m->link_reset_us = now_us;
		m->next = ms->first;
		ms->first = m;
		ms->member_count++;
	}
	if (m->incarnation != hello->incarnation ||
	    !ph_member_live(ms, m, now_us)) {
		m->relink = true;
		m->sent_us = 0;
		ms->indexed = false;
		ph_event(PART,
			 "event=member_heard member=%s incarnation=%llu "
			 "silent_us=%llu",
			 m->name, (unsigned long long)hello->incarnation,
			 m->heard_us
				 ? (unsigned long long)(now_us - m->heard_us)
				 : 0);
	}
	if (m->incarnation && m->incarnation != hello->incarnation && !m->lost)
		m->restarted = true;
	m->lost = false;
	m->incarnation = hello->incarnation;
	ph_strcopy(m->domain, sizeof(m->domain), hello->domain);
	ph_strcopy(m->addr, sizeof(m->addr), hello->addr);
	m->heard_us = now_us;
	m->dead = false;
	m->heard_me_ago_us = hello->heard_ago_us;
	m->interval_us = hello->interval_us;
	m->clock_us = hello->clock_us;
	m->cpu_milli = hello->cpu_milli ? hello->cpu_milli : 1;
	m->config_version = hello->config_version;
	m->list_digest = hello->list_digest;
	m->list_read_us =
		hello->list_age_us < now_us ? now_us - hello->list_age_us : 0;
	owner_before = m->claim_count;
	same = ph_claims_same(m, hello);
	m->leaving = hello->leaving;
	m->claim_count = hello->claim_count;
	memcpy(m->claims, hello->claims,
	       hello->claim_count * sizeof(m->claims[0]));
	if (!same) {
		ph_claims_resolve(ms, m);
		ms->indexed = false;
	}
	if (owner_before != (m->claim_count > 0))
		list_owners(ms);
	return m;
}

/* Makes a peer count as silent from now on. */
static void silence(const struct ph_cluster *ms, struct ph_member *m,
		    uint64_t now_us)
{
	uint64_t ago_us = patience_us(ms, m);

	m->heard_us = now_us > ago_us ? now_us - ago_us : 1;
}

void ph_cluster_refused(struct ph_cluster *ms, uint64_t now_us,
			const char *addr)
{
	struct ph_member *m;

	for (m = ms->first; m; m = m->next) {
		if (strcmp(m->addr, addr) != 0)
			continue;
		m->dead = true;
		if (ph_member_live(ms, m, now_us))
			silence(ms, m, now_us);
		ms->indexed = false;
	}
}

static void forget(struct ph_cluster *ms, uint64_t now_us)
{
	struct ph_member **at = &ms->first;

	while (*at) {
		struct ph_member *m = *at;

		if (now_us < m->heard_us + FORGET_US) {
			at = &m->next;
			continue;
		}
		*at = m->next;
		ms->mem->free(m);
		ms->member_count--;
		list_owners(ms);
	}
}

/* ## The own domain */

const struct ph_member *ph_cluster_near(const struct ph_cluster *ms,
					const struct ph_member *after,
					uint64_t now_us)
{
	const struct ph_member *m = after ? after->next : ms->first;

	for (; m; m = m->next)
		if (ph_member_live(ms, m, now_us) &&
		    !strcmp(m->domain, ms->opt.domain))
			return m;
	return NULL;
}

/* The one with the most processor, then the first by name. */
static bool reads_before(uint32_t cpu_a, const char *name_a, uint32_t cpu_b,
			 const char *name_b)
{
	return cpu_a != cpu_b ? cpu_a > cpu_b : strcmp(name_a, name_b) < 0;
}

bool ph_cluster_reader(const struct ph_cluster *ms, uint64_t now_us,
		       const struct ph_member **reader)
{
	const struct ph_member *best = NULL;
	const struct ph_member *m = NULL;
	uint32_t near = 1;

	*reader = NULL;
	while ((m = ph_cluster_near(ms, m, now_us))) {
		near++;
		if (!m->leaving &&
		    (!best || reads_before(m->cpu_milli, m->name,
					   best->cpu_milli, best->name)))
			best = m;
	}
	if (near < READER_FROM || !best ||
	    (!ms->leaving && reads_before(ms->opt.cpu_milli, ms->opt.name,
					  best->cpu_milli, best->name)))
		return false;
	*reader = best;
	return true;
}

/* ## Life */

void ph_cluster_leave(struct ph_cluster *ms)
{
	ms->leaving = true;
}

void ph_cluster_paused(struct ph_cluster *ms, uint64_t now_us,
		       const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;
	size_t i;

	for (m = ms->first; m; m = m->next)
		if (m->heard_us && now_us < m->heard_us + PH_KNOWN_US)
			silence(ms, m, now_us);
	for (i = 0; i < ms->pool_count; i++)
		if (ms->pools[i].owned)
			ph_claim_release(&ms->pools[i], sink, ctx);
	ms->opt.start_us = now_us;
	ms->indexed = false;
}

void ph_cluster_tick(struct ph_cluster *ms, uint64_t now_us, uint64_t unix_ms,
		     const struct ph_cluster_sink *sink, void *ctx)
{
	ph_beats_watch(ms, now_us, sink, ctx);
	ph_claims_tick(ms, now_us, unix_ms, sink, ctx);
	ph_beats_send(ms, now_us, sink, ctx);
	forget(ms, now_us);
}
