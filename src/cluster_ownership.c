/* Claims of ownership: decides which pools this instance claims, releases and
 * offers, and which instance owns each of the other pools. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"
#include "pool_shard.h"

#define PART "cluster"
/* Time for which a pool has to be vacant before an instance of its domain
 * claims it, so that heartbeats with a claim of another instance can arrive. */
#define CLAIM_AFTER_US 100000U
/* Time for which a pool has to be vacant before an instance of another domain
 * takes it over while instances of its own domain may be running behind a
 * network partition. */
#define TAKE_OVER_AFTER_US 2000000U
/* Time for which a pool has to be vacant before an instance in a minority
 * claims it: the other instances are probably behind a network partition, not
 * dead. */
#define MINORITY_CLAIM_AFTER_US 3000000U
/* Time from the start of an instance to its first claim of a pool of its own
 * domain, in percent of the heartbeat interval: enough to read the list of the
 * other instances and to exchange a heartbeat with each. Instances that start
 * later hear of the claim in time. */
#define START_CLAIM_PERCENT 120U
/* An instance that may make its first claim within this time counts as ready to
 * claim: more than a tick and the exchange of a heartbeat. */
#define START_CLAIM_MARGIN_US 60000U
/* Time from the start of an instance to its first claim of a pool of another
 * domain, so that the instances of that domain can claim it first. */
#define START_TAKE_OVER_DELAY_US 2000000U
/* Time between the first rejection of a token by an executor and the reaction,
 * so that the heartbeat with the claim behind the rejection can arrive. */
#define FENCED_WAIT_US 100000U
/* Time between the first rejection of a token and the reaction of an instance
 * in a minority, whose connections may have to recover from a partition. */
#define MINORITY_FENCED_WAIT_US 300000U
/* Least time between two claims of an instance, so that the other instances
 * hear of the first claim before the second is decided on. */
#define CLAIM_INTERVAL_US 60000U
/* Number of live instances of a domain from which on its pools are claimed
 * without CLAIM_INTERVAL_US, since all of them compute the same claim plan. */
#define PLAN_MIN_INSTANCES 4U
/* Time since its start after which an instance counts as established: longer
 * than it takes all instances to start at once, and less than the interval
 * between two steps of a rolling restart, 1 s. */
#define ESTABLISHED_US 700000U
/* Least time between two offers of a pool to less loaded instances, and between
 * a claim and an offer. */
#define OFFER_INTERVAL_US 1500000U
/* Time since the latest start of an instance of the domain for which no pool is
 * offered: two steps of a rolling restart, which come every 1 to 2 s. Each
 * change of an owner costs its callers a wait, and the next step may undo it.
 */
#define OFFER_AFTER_START_US 4000000U
/* An offer ends after this time if no instance claims the pool. */
#define OFFER_DURATION_US 700000U
/* A pool is offered only if the other instance, with the pool, would own less
 * than this percentage of the pools per CPU that this instance owns. */
#define OFFER_MAX_LOAD_PERCENT 75U
#define PERCENT 100U
#define MS_PER_S 1000U
#define US_PER_MS 1000U
/* A fencing token is the Unix time in milliseconds, shifted left by this many
 * bits, with bits of a hash of the instance below. It stays below 2^53, beyond
 * which a JSON reader may round numbers. */
#define TOKEN_SHIFT 12U
/* A token that has to exceed a known one is ahead of that by 1 to this many
 * milliseconds, by more bits of the hash: among hundreds of instances some have
 * equal bits below. A power of two. */
#define TOKEN_SPREAD_MS 1024U
/* Executors may reject a token because they have seen a higher one that no
 * instance knows: the time of day was set back, or all instances that knew it
 * have failed. The token is raised by the equivalent of 1 s, and by 8 times as
 * much with each further rejection. */
#define TOKEN_RAISE_MS 1000U
#define TOKEN_RAISE_FACTOR 8U
/* Rejections after which the raise grows no further. */
#define TOKEN_RAISES_MAX 6U
/* Time between two raises of a token that a few executors refuse from which on
 * the raise begins at its least again. If the raised token was still too low
 * the next follows in 1.5 to 2 s, if another owner has exceeded it in 3 s or
 * more: two owners that raise in turn must not get to 2^53. */
#define RAISED_ENOUGH_US 2500000U
/* Two instances that don't hear of each other take a pool from each other for
 * as long as that lasts. Each leaves it to the other for a time that doubles,
 * from the shortest to the longest, and is up to twice as long by chance. */
#define CONTEST_MIN_US 500000U
#define CONTEST_MAX_US 4000000U
/* Time without a contest after which earlier ones don't count. */
#define CONTEST_FORGET_US 20000000U

static struct ph_pool_claim *claim_find(const struct ph_cluster *cluster,
					const char *name)
{
	size_t i;

	for (i = 0; i < cluster->pool_count; i++)
		if (!strcmp(cluster->pools[i].name, name))
			return &cluster->pools[i];
	return NULL;
}

static const struct ph_claim *claim_of(const struct ph_member *m,
				       const char *pool_name)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++)
		if (!strcmp(m->claims[i].pool_name, pool_name))
			return &m->claims[i];
	return NULL;
}

/* The peer with the better claim of a pool, of two that claim it; either may be
 * NULL. A claim by an instance of the pool's domain comes first, then the one
 * with the higher token. */
static const struct ph_member *better_claimant(const struct ph_pool_claim *p,
					       const struct ph_member *a,
					       const struct ph_member *b)
{
	bool a_in_domain;
	bool b_in_domain;

	if (!a || !b)
		return a ? a : b;
	a_in_domain = ph_pool_shard_in(p->name, a->domain);
	b_in_domain = ph_pool_shard_in(p->name, b->domain);
	if (a_in_domain != b_in_domain)
		return a_in_domain ? a : b;
	return claim_of(a, p->name)->token >= claim_of(b, p->name)->token ? a
									  : b;
}

/* Updates the claimants of a pool with one claim of a peer. */
static void index_claim(struct ph_cluster *cluster, const struct ph_member *m,
			uint32_t i, uint64_t now_us)
{
	const struct ph_claim *c = &m->claims[i];
	struct ph_pool_claim *p;

	if (m->claimed_pool[i] == UINT32_MAX)
		return;
	p = &cluster->pools[m->claimed_pool[i]];
	if (c->token > p->highest_token)
		p->highest_token = c->token;
	if (!ph_member_alive(cluster, m, now_us))
		return;
	p->claimant = better_claimant(p, p->claimant, m);
	if (!m->leaving && !c->offered)
		p->committed_claimant =
			better_claimant(p, p->committed_claimant, m);
}

/* Determines the claimants of each pool from the latest heartbeats. */
static void index_claims(struct ph_cluster *cluster, uint64_t now_us)
{
	const struct ph_member *m;
	uint32_t i;

	for (i = 0; i < cluster->pool_count; i++) {
		cluster->pools[i].claimant = NULL;
		cluster->pools[i].committed_claimant = NULL;
	}
	for (m = cluster->first_owner; m; m = m->next_owner)
		for (i = 0; i < m->claim_count; i++)
			index_claim(cluster, m, i, now_us);
	cluster->claims_indexed = true;
}

void ph_claims_resolve(const struct ph_cluster *cluster, struct ph_member *m)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++) {
		const struct ph_pool_claim *p =
			claim_find(cluster, m->claims[i].pool_name);

		m->claimed_pool[i] =
			p ? (uint32_t)(p - cluster->pools) : UINT32_MAX;
	}
}

bool ph_claims_unchanged(const struct ph_member *m,
			 const struct ph_poolmsg *heartbeat)
{
	uint32_t i;

	if (m->claim_count != heartbeat->claim_count ||
	    m->leaving != heartbeat->leaving)
		return false;
	for (i = 0; i < m->claim_count; i++)
		if (m->claimed_pool[i] == UINT32_MAX ||
		    m->claims[i].token != heartbeat->claims[i].token ||
		    m->claims[i].offered != heartbeat->claims[i].offered ||
		    strcmp(m->claims[i].pool_name,
			   heartbeat->claims[i].pool_name) != 0)
			return false;
	return true;
}

static void add_by_name(struct ph_cluster *cluster, size_t index)
{
	size_t i = index;

	for (; i && strcmp(cluster->pools[cluster->by_name[i - 1]].name,
			   cluster->pools[index].name) > 0;
	     i--)
		cluster->by_name[i] = cluster->by_name[i - 1];
	cluster->by_name[i] = index;
}

void ph_cluster_add_pools(struct ph_cluster *cluster, const char *const *names,
			  size_t count)
{
	struct ph_member *m;
	size_t i;

	for (i = 0; i < count; i++) {
		if (claim_find(cluster, names[i]))
			continue;
		cluster->pools = ph_array_grow(cluster->mem, cluster->pools,
					       cluster->pool_count,
					       sizeof(*cluster->pools));
		cluster->by_name = ph_array_grow(cluster->mem, cluster->by_name,
						 cluster->pool_count,
						 sizeof(*cluster->by_name));
		cluster->pools[cluster->pool_count].name = ph_intern(names[i]);
		add_by_name(cluster, cluster->pool_count++);
	}
	for (m = cluster->first_owner; m; m = m->next_owner)
		ph_claims_resolve(cluster, m);
	cluster->claims_indexed = false;
}

/* ## Current owners */

bool ph_cluster_owner(struct ph_cluster *cluster, uint64_t now_us,
		      const char *name, struct ph_owner *owner)
{
	struct ph_pool_claim *p = claim_find(cluster, name);
	const struct ph_member *m;
	const struct ph_claim *c;

	memset(owner, 0, sizeof(*owner));
	owner->name = "";
	if (!p)
		return false;
	if (p->owned) {
		owner->name = cluster->opt.name;
		ph_strcopy(owner->addr, sizeof(owner->addr), cluster->opt.addr);
		owner->token = p->token;
		owner->incarnation = cluster->opt.incarnation;
		owner->self = true;
		owner->heard_us = now_us;
		owner->clock_us = now_us;
		return true;
	}
	if (!cluster->claims_indexed ||
	    (p->claimant && !ph_member_alive(cluster, p->claimant, now_us)))
		index_claims(cluster, now_us);
	m = p->claimant;
	if (!m)
		return false;
	c = claim_of(m, name);
	owner->name = m->name;
	ph_strcopy(owner->addr, sizeof(owner->addr), m->addr);
	owner->token = c->token;
	owner->incarnation = m->incarnation;
	owner->load = c->load;
	owner->heard_us = m->heard_us;
	owner->clock_us = m->clock_us;
	return true;
}

/* ## Claim plan */

/* What decides which of several instances claims a pool. */
struct rank {
	/** It does not have to wait before its first claim. */
	bool ready;
	/** Number of pools that it owns or is assigned. */
	uint32_t owned;
	uint32_t cpu_milli;
	uint64_t incarnation;
	const char *name;
};

uint32_t ph_claims_owned_count(const struct ph_cluster *cluster)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < cluster->pool_count; i++)
		n += cluster->pools[i].owned;
	return n;
}

static uint64_t start_claim_delay_us(const struct ph_cluster *cluster)
{
	return cluster->opt.heartbeat_us * START_CLAIM_PERCENT / PERCENT;
}

static bool ready_to_claim(const struct ph_cluster *cluster, uint64_t start_us,
			   uint64_t now_us)
{
	return now_us + START_CLAIM_MARGIN_US >=
	       start_us + start_claim_delay_us(cluster);
}

static struct rank rank_self(const struct ph_cluster *cluster, uint64_t now_us)
{
	struct rank r = {
		ready_to_claim(cluster, cluster->opt.start_us, now_us),
		ph_claims_owned_count(cluster), cluster->opt.cpu_milli,
		cluster->opt.incarnation, cluster->opt.name
	};

	return r;
}

/* When a peer started, by the local monotonic clock: by the difference of the
 * start times in the heartbeats, so that two instances that hear of each other
 * late judge alike, but no later than it was first heard, as the clocks of the
 * time of day may differ. */
static uint64_t start_of(const struct ph_cluster *cluster,
			 const struct ph_member *m)
{
	int64_t later_ms = (int64_t)(m->incarnation - cluster->opt.incarnation);
	uint64_t later_us = (uint64_t)later_ms * US_PER_MS;
	uint64_t start_us = cluster->opt.start_us + later_us;

	if (later_ms < 0 && 0 - later_us > cluster->opt.start_us)
		return 0;
	return start_us < m->first_heard_us ? start_us : m->first_heard_us;
}

static struct rank rank_of(const struct ph_cluster *cluster,
			   const struct ph_member *m, uint64_t now_us)
{
	struct rank r = { ready_to_claim(cluster, start_of(cluster, m), now_us),
			  m->claim_count, m->cpu_milli, m->incarnation,
			  m->name };

	return r;
}

/* Whether a takes precedence over b for one more pool: an instance that is
 * ready to claim, then the one with more CPU per pool, then the one that was
 * started last, since in a rolling restart it is the least likely to be stopped
 * next. */
static bool outranks(const struct rank *a, const struct rank *b)
{
	uint64_t load_a = (uint64_t)(a->owned + 1) * b->cpu_milli;
	uint64_t load_b = (uint64_t)(b->owned + 1) * a->cpu_milli;

	if (a->ready != b->ready)
		return a->ready;
	if (load_a != load_b)
		return load_a < load_b;
	if (a->incarnation / MS_PER_S != b->incarnation / MS_PER_S)
		return a->incarnation > b->incarnation;
	return strcmp(a->name, b->name) > 0;
}

/* A live instance that may claim more pools, and its failure domain. */
struct candidate {
	struct rank rank;
	/** It started before those that start at once now. */
	bool established;
	const char *domain;
};

static uint32_t list_candidates(const struct ph_cluster *cluster,
				uint64_t now_us, struct candidate *list)
{
	const struct ph_member *m;
	uint32_t n = 0;

	if (!cluster->leaving &&
	    ph_claims_owned_count(cluster) < PH_CLAIMS_MAX) {
		list[n].rank = rank_self(cluster, now_us);
		list[n].established =
			now_us >= cluster->opt.start_us + ESTABLISHED_US;
		list[n++].domain = cluster->opt.domain;
	}
	for (m = cluster->first; m; m = m->next) {
		if (!ph_member_alive(cluster, m, now_us) || m->leaving ||
		    m->claim_count >= PH_CLAIMS_MAX)
			continue;
		list[n].rank = rank_of(cluster, m, now_us);
		list[n].established =
			now_us >= start_of(cluster, m) + ESTABLISHED_US;
		list[n++].domain = m->domain;
	}
	return n;
}

/* The instance that is to claim a vacant pool; instances of the pool's domain
 * take precedence. NULL if all candidates own PH_CLAIMS_MAX pools. */
static struct candidate *first_candidate(struct candidate *list, uint32_t count,
					 const char *pool)
{
	struct candidate *best = NULL;
	bool best_in_domain = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool in_domain = ph_pool_shard_in(pool, list[i].domain);

		if (list[i].rank.owned >= PH_CLAIMS_MAX)
			continue;
		if (best && (in_domain != best_in_domain
				     ? best_in_domain
				     : !outranks(&list[i].rank, &best->rank)))
			continue;
		best = &list[i];
		best_in_domain = in_domain;
	}
	return best;
}

/* Assigns the vacant pools, sorted by name, to the live instances. Instances
 * that know of the same peers compute the same plan, so that each can claim its
 * share at once. */
static void plan_claims(struct ph_cluster *cluster, uint64_t now_us)
{
	struct candidate *list =
		cluster->mem->calloc(cluster->member_count + 1, sizeof(*list));
	uint32_t count = list_candidates(cluster, now_us, list);
	uint32_t same_domain = 0;
	uint32_t established = 0;
	bool established_first;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool same = !strcmp(list[i].domain, cluster->opt.domain);

		same_domain += same;
		established += same && list[i].established;
	}
	cluster->plan_shared =
		same_domain >= PLAN_MIN_INSTANCES &&
		ph_mechanism_on(cluster->opt.off, PH_MECHANISM_SHARED_PLAN);
	/* The shared plan of a large domain spreads its pools over all
	 * instances instead of waiting for as few as possible, but waits for
	 * none where most were established before. */
	established_first =
		ph_mechanism_on(cluster->opt.off, PH_MECHANISM_READY_FIRST) &&
		established &&
		(!cluster->plan_shared || 2 * established >= same_domain);
	cluster->sole_claimant =
		established_first && established == 1 && !cluster->leaving &&
		now_us >= cluster->opt.start_us + ESTABLISHED_US;
	for (i = 0; i < count; i++) {
		if (established_first)
			list[i].rank.ready = list[i].established;
		else if (cluster->plan_shared ||
			 !ph_mechanism_on(cluster->opt.off,
					  PH_MECHANISM_READY_FIRST))
			list[i].rank.ready = true;
	}
	for (i = 0; i < cluster->pool_count; i++) {
		struct ph_pool_claim *p = &cluster->pools[cluster->by_name[i]];
		struct candidate *c;

		if (!p->vacant)
			continue;
		c = first_candidate(list, count, p->name);
		p->assigned_to_self =
			c && !strcmp(c->rank.name, cluster->opt.name);
		if (c)
			c->rank.owned++;
	}
	cluster->mem->free(list);
}

/* Two instances that do not hear of each other may claim a pool after the same
 * highest token. Their tokens differ by the bits of a hash of the instance, of
 * which there are more when the token has to exceed that one: executors accept
 * calls of both owners if their tokens are equal. */
static uint64_t new_token(const struct ph_cluster *cluster,
			  struct ph_pool_claim *p, uint64_t unix_ms)
{
	uint64_t hash =
		ph_hash_str(cluster->opt.name) + cluster->opt.incarnation;
	uint64_t own = hash & ((1U << TOKEN_SHIFT) - 1);
	uint64_t ahead_ms = 1 + ((hash >> TOKEN_SHIFT) & (TOKEN_SPREAD_MS - 1));
	uint64_t token = unix_ms << TOKEN_SHIFT | own;
	uint64_t reported = ph_reports_token(cluster, p->name);

	if (reported > p->highest_token)
		p->highest_token = reported;
	if (token <= p->highest_token)
		token = ((p->highest_token >> TOKEN_SHIFT) + ahead_ms)
				<< TOKEN_SHIFT |
			own;
	p->highest_token = token;
	return token;
}

/* ## Acquisition and release */

static void acquire(const struct ph_cluster *cluster, struct ph_pool_claim *p,
		    uint64_t unix_ms, const struct ph_cluster_sink *sink,
		    void *ctx)
{
	p->offered_until_us = 0;
	p->owned = true;
	p->vacant_since_us = 0;
	p->fenced_since_us = 0;
	p->token = new_token(cluster, p, unix_ms);
	sink->acquire(ctx, p->name, p->token);
}

void ph_claim_release(struct ph_pool_claim *p,
		      const struct ph_cluster_sink *sink, void *ctx)
{
	p->owned = false;
	p->vacant_since_us = 0;
	sink->release(ctx, p->name);
}

/* Whether another instance's claim prevails over this instance's ownership. */
static bool outranked(const struct ph_cluster *cluster,
		      const struct ph_pool_claim *p)
{
	const struct ph_member *m = p->committed_claimant;
	bool self_in_domain = ph_pool_shard_in(p->name, cluster->opt.domain);
	bool other_in_domain;
	uint64_t token;

	if (!m)
		return false;
	if (cluster->leaving)
		return true;
	other_in_domain = ph_pool_shard_in(p->name, m->domain);
	if (self_in_domain != other_in_domain)
		return other_in_domain;
	token = claim_of(m, p->name)->token;
	return token > p->token ||
	       (token == p->token && strcmp(m->name, cluster->opt.name) > 0);
}

/* Whether an instance of the pool's domain may still be running behind a
 * network partition. */
static bool maybe_partitioned(const struct ph_cluster *cluster,
			      const char *pool, uint64_t now_us)
{
	const struct ph_member *m;

	for (m = cluster->first; m; m = m->next)
		if (ph_pool_shard_in(pool, m->domain) && !m->leaving &&
		    !m->connection_refused &&
		    now_us < m->heard_us + PH_MEMBER_KNOWN_US)
			return true;
	return false;
}

/* Time for which the pool has to be vacant before it is claimed, in us. */
static uint64_t claim_delay_us(const struct ph_cluster *cluster,
			       const char *pool, bool in_domain,
			       uint64_t now_us)
{
	if (ph_cluster_minority(cluster, now_us))
		return MINORITY_CLAIM_AFTER_US;
	if (in_domain || !maybe_partitioned(cluster, pool, now_us))
		return CLAIM_AFTER_US;
	return TAKE_OVER_AFTER_US;
}

/* Whether a pool that this instance doesn't own has no lasting owner: no
 * committed claim or, for an instance of its domain, just claims by instances
 * of other domains. */
static bool vacant(const struct ph_cluster *cluster,
		   const struct ph_pool_claim *p, uint64_t now_us)
{
	const struct ph_member *m = p->committed_claimant;
	bool in_domain = ph_pool_shard_in(p->name, cluster->opt.domain);

	return (!m || (in_domain && !ph_pool_shard_in(p->name, m->domain))) &&
	       !ph_reports_owned(cluster, p->name, now_us);
}

/* Claims a pool that the plan has assigned to this instance for long enough. */
static void claim_if_due(struct ph_cluster *cluster, struct ph_pool_claim *p,
			 bool minority, uint64_t now_us, uint64_t unix_ms,
			 const struct ph_cluster_sink *sink, void *ctx)
{
	bool in_domain = ph_pool_shard_in(p->name, cluster->opt.domain);
	uint64_t start_delay_us = in_domain ? start_claim_delay_us(cluster)
					    : START_TAKE_OVER_DELAY_US;

	if (!minority)
		p->yielded = false;
	/* Behind a network partition, a claim of executors that cannot be
	 * reached serves no job, and takes the pool from its owner when the
	 * partition heals. So the wait begins when they can be reached. */
	if (!p->vacant || (minority && p->yielded) ||
	    (!in_domain && p->assigned_to_self &&
	     ph_mechanism_on(cluster->opt.off, PH_MECHANISM_PROBES) &&
	     !sink->reaches(ctx, p->name))) {
		p->vacant_since_us = 0;
		return;
	}
	if (!p->vacant_since_us)
		p->vacant_since_us = now_us;
	if (!p->assigned_to_self)
		return;
	if (now_us < p->contested_until_us ||
	    (in_domain && ph_reports_incomplete(cluster, now_us)))
		return;
	/* The waits run at the same time. */
	if (now_us < cluster->opt.start_us + start_delay_us ||
	    now_us < p->vacant_since_us + claim_delay_us(cluster, p->name,
							 in_domain, now_us))
		return;
	if (!(in_domain && (cluster->plan_shared || cluster->sole_claimant)) &&
	    now_us < cluster->last_claim_us + CLAIM_INTERVAL_US)
		return;
	cluster->last_claim_us = now_us;
	p->token_raises = 0;
	acquire(cluster, p, unix_ms, sink, ctx);
}

/* ## Offers */

/* Whether an instance of the own domain has started of late. */
static bool started_of_late(const struct ph_cluster *cluster, uint64_t now_us)
{
	const struct ph_member *m = NULL;

	while ((m = ph_cluster_next_in_domain(cluster, m, now_us)))
		if (now_us < m->first_heard_us + OFFER_AFTER_START_US)
			return true;
	return false;
}

/* Whether a live peer of the own domain would, with one more pool, still own
 * far fewer pools per CPU than this instance. */
static bool peer_has_spare_capacity(const struct ph_cluster *cluster,
				    uint64_t now_us)
{
	uint64_t owned = ph_claims_owned_count(cluster);
	const struct ph_member *m;

	for (m = cluster->first; m; m = m->next) {
		uint64_t after = (uint64_t)(m->claim_count + 1) *
				 cluster->opt.cpu_milli * PERCENT;

		if (strcmp(m->domain, cluster->opt.domain) != 0 || m->leaving ||
		    !ph_member_alive(cluster, m, now_us))
			continue;
		if (after < owned * m->cpu_milli * OFFER_MAX_LOAD_PERCENT)
			return true;
	}
	return false;
}

/* Offers one owned pool of the own domain if a peer has spare capacity. */
static void offer_pool(struct ph_cluster *cluster, uint64_t now_us)
{
	size_t i;

	if (cluster->leaving ||
	    !ph_mechanism_on(cluster->opt.off, PH_MECHANISM_OFFERS) ||
	    now_us < cluster->last_offer_us + OFFER_INTERVAL_US ||
	    now_us < cluster->last_claim_us + OFFER_INTERVAL_US ||
	    started_of_late(cluster, now_us) ||
	    !peer_has_spare_capacity(cluster, now_us))
		return;
	for (i = 0; i < cluster->pool_count; i++) {
		struct ph_pool_claim *p = &cluster->pools[i];

		if (!p->owned ||
		    !ph_pool_shard_in(p->name, cluster->opt.domain))
			continue;
		cluster->last_offer_us = now_us;
		p->offered_until_us = now_us + OFFER_DURATION_US;
		ph_event(PART, "event=pool_offered pool=%s owned_pools=%u",
			 p->name, ph_claims_owned_count(cluster));
		return;
	}
}

bool ph_cluster_pool_offered(const struct ph_cluster *cluster, uint64_t now_us,
			     const char *pool)
{
	const struct ph_pool_claim *p = claim_find(cluster, pool);

	return p && now_us < p->offered_until_us;
}

/* ## Rejected tokens */

/* Raises the minimum of the next token. */
static void raise_token(struct ph_pool_claim *p)
{
	uint64_t raise_ms = TOKEN_RAISE_MS;
	uint32_t i;

	for (i = 0; i < p->token_raises; i++)
		raise_ms *= TOKEN_RAISE_FACTOR;
	if (p->token_raises < TOKEN_RAISES_MAX)
		p->token_raises++;
	if (p->highest_token < p->token)
		p->highest_token = p->token;
	p->highest_token += raise_ms << TOKEN_SHIFT;
}

/* An instance that isn't heard has taken the pool. Returns whether to leave it
 * to that one for a while; the first time it may be gone since. */
static bool leave_to_other(const struct ph_cluster *cluster,
			   struct ph_pool_claim *p, uint64_t now_us)
{
	uint64_t wait_us = CONTEST_MIN_US;
	uint64_t hash;
	uint32_t i;

	if (now_us > p->contested_us + CONTEST_FORGET_US)
		p->contests = 0;
	p->contested_us = now_us;
	if (!p->contests++)
		return false;
	for (i = 2; i < p->contests && wait_us < CONTEST_MAX_US; i++)
		wait_us *= 2;
	hash = ph_rendezvous_weight(ph_hash_str(cluster->opt.name), p->token);
	wait_us += hash % wait_us;
	p->contested_until_us = now_us + wait_us;
	ph_event(
		PART,
		"event=pool_contested pool=%s token=%llu count=%u wait_us=%llu",
		p->name, (unsigned long long)p->token, p->contests,
		(unsigned long long)wait_us);
	return true;
}

void ph_cluster_fenced(struct ph_cluster *cluster, uint64_t now_us,
		       uint64_t unix_ms, const char *pool, bool accepted,
		       const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_pool_claim *p = claim_find(cluster, pool);

	if (!p || !p->owned)
		return;
	if (!cluster->claims_indexed)
		index_claims(cluster, now_us);
	if (!p->fenced_since_us) {
		ph_event(PART,
			 "event=token_rejected pool=%s token=%llu minority=%d",
			 pool, (unsigned long long)p->token,
			 ph_cluster_minority(cluster, now_us));
		p->fenced_since_us = now_us;
	}
	/* Probably an instance of the pool's domain has claimed it; an owner
	 * from another domain releases it without a wait. */
	if (!ph_pool_shard_in(pool, cluster->opt.domain)) {
		if (accepted)
			leave_to_other(cluster, p, now_us);
		ph_claim_release(p, sink, ctx);
		return;
	}
	/* An instance that took the pool over sent heartbeats to all others at
	 * once. A minority that was behind a partition until now needs longer
	 * to receive them. */
	if (now_us < p->fenced_since_us + (ph_cluster_minority(cluster, now_us)
						   ? MINORITY_FENCED_WAIT_US
						   : FENCED_WAIT_US))
		return;
	p->fenced_since_us = 0;
	if (ph_cluster_minority(cluster, now_us)) {
		p->yielded = true;
		ph_claim_release(p, sink, ctx);
		return;
	}
	if (outranked(cluster, p) ||
	    (accepted && leave_to_other(cluster, p, now_us))) {
		ph_claim_release(p, sink, ctx);
		return;
	}
	raise_token(p);
	acquire(cluster, p, unix_ms, sink, ctx);
}

void ph_cluster_fenced_in_part(struct ph_cluster *cluster, uint64_t now_us,
			       uint64_t unix_ms, const char *pool,
			       const struct ph_cluster_sink *sink, void *ctx)
{
	struct ph_pool_claim *p = claim_find(cluster, pool);

	if (!p || !p->owned)
		return;
	if (!cluster->claims_indexed)
		index_claims(cluster, now_us);
	ph_event(PART, "event=token_rejected_in_part pool=%s token=%llu", pool,
		 (unsigned long long)p->token);
	if (outranked(cluster, p)) {
		ph_claim_release(p, sink, ctx);
		return;
	}
	if (now_us > p->raised_in_part_us + RAISED_ENOUGH_US)
		p->token_raises = 0;
	p->raised_in_part_us = now_us;
	raise_token(p);
	acquire(cluster, p, unix_ms, sink, ctx);
}

void ph_claims_tick(struct ph_cluster *cluster, uint64_t now_us,
		    uint64_t unix_ms, const struct ph_cluster_sink *sink,
		    void *ctx)
{
	bool minority = ph_cluster_minority(cluster, now_us);
	bool any_vacant = false;
	size_t i;

	index_claims(cluster, now_us);
	for (i = 0; i < cluster->pool_count; i++) {
		struct ph_pool_claim *p = &cluster->pools[i];

		if (p->owned && outranked(cluster, p))
			ph_claim_release(p, sink, ctx);
		p->vacant = !p->owned && vacant(cluster, p, now_us);
		/* The other instance is heard by now. */
		if (p->committed_claimant)
			p->contested_until_us = 0;
		any_vacant = any_vacant || p->vacant;
	}
	if (any_vacant)
		plan_claims(cluster, now_us);
	for (i = 0; i < cluster->pool_count; i++)
		if (!cluster->pools[i].owned)
			claim_if_due(cluster, &cluster->pools[i], minority,
				     now_us, unix_ms, sink, ctx);
	offer_pool(cluster, now_us);
}
