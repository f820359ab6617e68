#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"

#define PART "cluster"
/* Number of instances in a failure domain from which on one of them reads the
 * list of executors for the rest. With fewer, the reads saved are worth less
 * than the delay when the reader fails. */
#define LIST_READER_MIN_INSTANCES 4U
/* A member is removed this long after its last heartbeat. */
#define MEMBER_REMOVE_AFTER_US 60000000U

struct ph_cluster *ph_cluster_new(const struct ph_cluster_options *options)
{
	struct ph_cluster *cluster = options->mem->calloc(1, sizeof(*cluster));

	cluster->mem = options->mem;
	cluster->opt = *options;
	return cluster;
}

void ph_cluster_free(struct ph_cluster *cluster)
{
	if (!cluster)
		return;
	while (cluster->first) {
		struct ph_member *m = cluster->first;

		cluster->first = m->next;
		cluster->mem->free(m);
	}
	cluster->mem->free(cluster->contacts);
	cluster->mem->free(cluster->reports);
	cluster->mem->free(cluster->pools);
	cluster->mem->free(cluster->by_name);
	cluster->mem->free(cluster);
}

const struct ph_member *
ph_cluster_first_member(const struct ph_cluster *cluster)
{
	return cluster->first;
}

const char *ph_cluster_pool_name(const struct ph_cluster *cluster, size_t i)
{
	return i < cluster->pool_count ? cluster->pools[i].name : NULL;
}

void ph_cluster_add_contact(struct ph_cluster *cluster, const char *addr)
{
	size_t i;

	if (!strcmp(addr, cluster->opt.addr))
		return;
	for (i = 0; i < cluster->contact_count; i++)
		if (!strcmp(cluster->contacts[i].addr, addr))
			return;
	cluster->contacts = ph_array_grow(cluster->mem, cluster->contacts,
					  cluster->contact_count,
					  sizeof(*cluster->contacts));
	ph_strcopy(cluster->contacts[cluster->contact_count++].addr,
		   PH_ADDR_BYTES, addr);
}

/* ## Members and failure detection */

struct ph_member *ph_member_find(const struct ph_cluster *cluster,
				 const char *name)
{
	uint64_t hash = ph_hash_str(name);
	struct ph_member *m;

	for (m = cluster->first; m; m = m->next)
		if (m->name_hash == hash && !strcmp(m->name, name))
			return m;
	return NULL;
}

/* Time without heartbeats after which a peer is suspected to have failed. */
static uint64_t suspect_after_us(const struct ph_cluster *cluster,
				 const struct ph_member *m)
{
	return ph_heartbeat_suspect_us(cluster, m->interval_us);
}

bool ph_member_alive(const struct ph_cluster *cluster,
		     const struct ph_member *m, uint64_t now_us)
{
	return m->heard_us &&
	       now_us < m->heard_us + suspect_after_us(cluster, m);
}

bool ph_cluster_owner_alive(const struct ph_cluster *cluster, uint64_t now_us,
			    const struct ph_owner *owner)
{
	const struct ph_member *m = ph_member_find(cluster, owner->name);

	if (!strcmp(owner->name, cluster->opt.name))
		return true;
	return m && m->incarnation == owner->incarnation &&
	       ph_member_alive(cluster, m, now_us);
}

bool ph_cluster_hears(const struct ph_cluster *cluster, uint64_t now_us,
		      const char *name, uint64_t incarnation)
{
	const struct ph_member *m = ph_member_find(cluster, name);

	if (!strcmp(name, cluster->opt.name))
		return incarnation == cluster->opt.incarnation;
	return m && m->incarnation == incarnation && !m->restarted &&
	       ph_member_alive(cluster, m, now_us) &&
	       ph_heartbeat_echo(cluster, m, now_us) != PH_ECHO_LOST;
}

bool ph_cluster_relied_on(const struct ph_cluster *cluster, uint64_t now_us,
			  const char *name)
{
	const struct ph_member *m = ph_member_find(cluster, name);

	return !m || ph_heartbeat_echo(cluster, m, now_us) < PH_ECHO_LATE;
}

bool ph_cluster_surely_relied_on(const struct ph_cluster *cluster,
				 uint64_t now_us, const char *name)
{
	const struct ph_member *m = ph_member_find(cluster, name);

	return !m || ph_heartbeat_echo(cluster, m, now_us) == PH_ECHO_RECENT;
}

void ph_cluster_callers_checked(struct ph_cluster *cluster)
{
	struct ph_member *m;

	for (m = cluster->first; m; m = m->next)
		m->echo_us = m->clock_us;
}

uint64_t ph_cluster_echo_us(const struct ph_cluster *cluster, const char *name)
{
	const struct ph_member *m = ph_member_find(cluster, name);

	return m ? m->echo_us : 0;
}

bool ph_cluster_minority(const struct ph_cluster *cluster, uint64_t now_us)
{
	const struct ph_member *m;
	size_t known = 1;
	size_t alive = 1;

	for (m = cluster->first; m; m = m->next) {
		/* A peer with a long heartbeat interval would show a network
		 * partition too late, so it is not counted. */
		if (m->leaving || now_us > m->heard_us + PH_MEMBER_KNOWN_US ||
		    m->interval_us >
			    PH_IDLE_INTERVAL_FACTOR * cluster->opt.heartbeat_us)
			continue;
		known++;
		alive += ph_member_alive(cluster, m, now_us);
	}
	return alive * 2 < known;
}

static void list_owners(struct ph_cluster *cluster)
{
	struct ph_member *m;

	cluster->first_owner = NULL;
	for (m = cluster->first; m; m = m->next) {
		if (!m->claim_count)
			continue;
		m->next_owner = cluster->first_owner;
		cluster->first_owner = m;
	}
}

/* Notes which heartbeat of this instance the peer has received. An echo from
 * before a restart or a pause of this process counts for nothing; in a system
 * that has booted anew it may even lie ahead. */
static void echo_received(const struct ph_cluster *cluster, struct ph_member *m,
			  uint64_t echo_us, uint64_t now_us)
{
	if (echo_us > m->echoed_us && echo_us >= cluster->opt.start_us &&
	    echo_us <= now_us)
		m->echoed_us = echo_us;
}

/* The names in a message last no longer than the message. */
static void copy_claims(struct ph_member *m, const struct ph_poolmsg *heartbeat,
			bool same_pools)
{
	uint32_t i;

	m->claim_count = heartbeat->claim_count;
	for (i = 0; i < m->claim_count; i++) {
		const char *pool =
			same_pools ? m->claims[i].pool_name
				   : ph_intern(heartbeat->claims[i].pool_name);

		m->claims[i] = heartbeat->claims[i];
		m->claims[i].pool_name = pool;
	}
}

const struct ph_member *
ph_cluster_heartbeat_received(struct ph_cluster *cluster, uint64_t now_us,
			      const struct ph_poolmsg *heartbeat)
{
	struct ph_member *m = ph_member_find(cluster, heartbeat->name);
	bool had_claims;
	bool unchanged;

	if (!strcmp(heartbeat->name, cluster->opt.name))
		return NULL;
	/* A delayed heartbeat of an earlier incarnation, or one that a later
	 * one has overtaken on another connection. */
	if (m && ((heartbeat->incarnation < m->incarnation &&
		   ph_member_alive(cluster, m, now_us)) ||
		  (heartbeat->incarnation == m->incarnation &&
		   heartbeat->clock_us < m->clock_us)))
		return NULL;
	if (!m) {
		m = cluster->mem->calloc(1, sizeof(*m));
		m->name = ph_intern(heartbeat->name);
		m->name_hash = ph_hash_str(m->name);
		m->link_renewed_us = now_us;
		m->next = cluster->first;
		cluster->first = m;
		cluster->member_count++;
	}
	if (m->incarnation != heartbeat->incarnation ||
	    !ph_member_alive(cluster, m, now_us)) {
		m->reconnect_due = true;
		m->sent_us = 0;
		m->send_interval_since_us = now_us;
		cluster->claims_indexed = false;
		ph_event(PART,
			 "event=member_alive member=%s incarnation=%llu "
			 "silent_us=%llu",
			 m->name, (unsigned long long)heartbeat->incarnation,
			 m->heard_us
				 ? (unsigned long long)(now_us - m->heard_us)
				 : 0);
	}
	if (m->incarnation && m->incarnation != heartbeat->incarnation &&
	    !m->loss_reported)
		m->restarted = true;
	m->loss_reported = false;
	if (m->incarnation != heartbeat->incarnation) {
		m->first_heard_us = now_us;
		m->echoed_us = 0;
		m->echo_us = 0;
	}
	m->incarnation = heartbeat->incarnation;
	if (!m->domain || strcmp(m->domain, heartbeat->domain) != 0)
		m->domain = ph_intern(heartbeat->domain);
	ph_strcopy(m->addr, sizeof(m->addr), heartbeat->addr);
	m->heard_us = now_us;
	m->connection_refused = false;
	m->heard_self_ago_us = heartbeat->heard_ago_us;
	m->interval_us = heartbeat->interval_us;
	m->clock_us = heartbeat->clock_us;
	echo_received(cluster, m, heartbeat->echo_us, now_us);
	m->cpu_milli = heartbeat->cpu_milli ? heartbeat->cpu_milli : 1;
	m->config_version = heartbeat->config_version;
	m->list_digest = heartbeat->list_digest;
	m->list_read_us = heartbeat->list_age_us < now_us
				  ? now_us - heartbeat->list_age_us
				  : 0;
	had_claims = m->claim_count;
	unchanged = ph_claims_unchanged(m, heartbeat);
	m->leaving = heartbeat->leaving;
	copy_claims(m, heartbeat, unchanged);
	if (!unchanged) {
		ph_claims_resolve(cluster, m);
		cluster->claims_indexed = false;
	}
	if (had_claims != (m->claim_count > 0))
		list_owners(cluster);
	ph_reports_received(cluster, m, heartbeat, !unchanged && m->claim_count,
			    now_us);
	return m;
}

/* Makes ph_member_alive() false for a peer until its next heartbeat. */
static void mark_silent(const struct ph_cluster *cluster, struct ph_member *m,
			uint64_t now_us)
{
	uint64_t ago_us = suspect_after_us(cluster, m);

	m->heard_us = now_us > ago_us ? now_us - ago_us : 1;
}

void ph_cluster_connection_refused(struct ph_cluster *cluster, uint64_t now_us,
				   const char *addr)
{
	struct ph_member *m;

	ph_reports_refused(cluster, addr);
	for (m = cluster->first; m; m = m->next) {
		if (strcmp(m->addr, addr) != 0)
			continue;
		m->connection_refused = true;
		if (ph_member_alive(cluster, m, now_us))
			mark_silent(cluster, m, now_us);
		cluster->claims_indexed = false;
	}
}

static void remove_expired(struct ph_cluster *cluster, uint64_t now_us)
{
	struct ph_member **at = &cluster->first;

	while (*at) {
		struct ph_member *m = *at;

		if (now_us < m->heard_us + MEMBER_REMOVE_AFTER_US) {
			at = &m->next;
			continue;
		}
		*at = m->next;
		cluster->mem->free(m);
		cluster->member_count--;
		list_owners(cluster);
	}
}

/* ## Peers of the own failure domain */

const struct ph_member *
ph_cluster_next_in_domain(const struct ph_cluster *cluster,
			  const struct ph_member *after, uint64_t now_us)
{
	const struct ph_member *m = after ? after->next : cluster->first;

	for (; m; m = m->next)
		if (ph_member_alive(cluster, m, now_us) &&
		    !strcmp(m->domain, cluster->opt.domain))
			return m;
	return NULL;
}

/* Whether instance a takes precedence over b as reader of the list: the one
 * with more CPU, then the one whose name sorts first. */
static bool preferred_reader(uint32_t cpu_a, const char *name_a, uint32_t cpu_b,
			     const char *name_b)
{
	return cpu_a != cpu_b ? cpu_a > cpu_b : strcmp(name_a, name_b) < 0;
}

bool ph_cluster_list_reader(const struct ph_cluster *cluster, uint64_t now_us,
			    const struct ph_member **reader)
{
	const struct ph_member *best = NULL;
	const struct ph_member *m = NULL;
	uint32_t in_domain = 1;

	*reader = NULL;
	while ((m = ph_cluster_next_in_domain(cluster, m, now_us))) {
		in_domain++;
		if (!m->leaving &&
		    (!best || preferred_reader(m->cpu_milli, m->name,
					       best->cpu_milli, best->name)))
			best = m;
	}
	if (in_domain < LIST_READER_MIN_INSTANCES || !best ||
	    (!cluster->leaving &&
	     preferred_reader(cluster->opt.cpu_milli, cluster->opt.name,
			      best->cpu_milli, best->name)))
		return false;
	*reader = best;
	return true;
}

/* ## State changes and ticks */

void ph_cluster_leave(struct ph_cluster *cluster)
{
	cluster->leaving = true;
}

void ph_cluster_paused(struct ph_cluster *cluster, uint64_t now_us,
		       const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_member *m;
	size_t i;

	for (m = cluster->first; m; m = m->next)
		if (m->heard_us && now_us < m->heard_us + PH_MEMBER_KNOWN_US)
			mark_silent(cluster, m, now_us);
	for (i = 0; i < cluster->pool_count; i++)
		if (cluster->pools[i].owned)
			ph_claim_release(&cluster->pools[i], sink, ctx);
	cluster->opt.start_us = now_us;
	cluster->claims_indexed = false;
}

void ph_cluster_tick(struct ph_cluster *cluster, uint64_t now_us,
		     uint64_t unix_ms, const struct ph_cluster_sink *sink,
		     void *ctx)
{
	ph_reports_expire(cluster, now_us);
	ph_heartbeat_check_peers(cluster, now_us, sink, ctx);
	ph_claims_tick(cluster, now_us, unix_ms, sink, ctx);
	ph_heartbeat_send_due(cluster, now_us, sink, ctx);
	remove_expired(cluster, now_us);
}
