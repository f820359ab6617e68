/* Claims: which instance owns which pool. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "cluster_impl.h"
#include "pool_shard.h"

#define PART "members"
/* Vacancy of a pool before an instance of its domain claims it: time for the
 * heartbeats of another claim to arrive. */
#define CLAIM_AFTER_US 100000U
/* Vacancy before a pool is adopted from another domain, and before a minority
 * claims one: the others are likely cut off, not dead. */
#define ADOPT_AFTER_US 2000000U
#define MINORITY_AFTER_US 3000000U
/* Time from the start to the first claim: a read of the other instances and a
 * heartbeat each way. Instances that start later find the claim; what belongs
 * to another domain waits for its own instances. */
#define SETTLE_US 200000U
#define SETTLE_ADOPT_US 2000000U
/* Time for the claim behind a refused token to arrive, and for the heartbeats
 * of links that were cut. */
#define FENCED_WAIT_US 100000U
#define CUT_FENCED_WAIT_US 300000U
/* Claims of one instance follow each other at this distance, so that the
 * others hear of one before the next is weighed; */
#define CLAIM_GAP_US 60000U
/* not in a domain of which so many are heard: all have the same plan. */
#define PLAN_FROM 4U
/* Pools are offered to an instance with more processor to spare, one at a
 * time; an offer that nobody takes ends. */
#define OFFER_EVERY_US 1500000U
#define OFFER_FOR_US 700000U
/* A move has to leave the taker this much better off, in percent. */
#define OFFER_GAIN_PERCENT 75U
#define PERCENT 100U
#define MS_PER_S 1000U
#define TOKEN_SHIFT 8U
/* A token that executors refuse lies behind one that nobody here has heard of:
 * the time of day has jumped back, or all that heard it are gone. It is raised
 * by a second's worth, then by this many times that with each refusal. */
#define TOKEN_RAISE_MS 1000U
#define TOKEN_RAISE_FACTOR 8U
#define TOKEN_RAISES_MAX 6U

static struct ph_pool_claim *claim_find(const struct ph_cluster *ms,
					const char *name)
{
	size_t i;

	for (i = 0; i < ms->pool_count; i++)
		if (!strcmp(ms->pools[i].name, name))
			return &ms->pools[i];
	return NULL;
}

static const struct ph_claim *claim_of(const struct ph_member *m,
				       const char *domain)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++)
		if (!strcmp(m->claims[i].domain, domain))
			return &m->claims[i];
	return NULL;
}

/* The better of two claims of a pool: the domain's own first, then by token. */
static const struct ph_member *better(const struct ph_pool_claim *d,
				      const struct ph_member *a,
				      const struct ph_member *b)
{
	bool native_a;
	bool native_b;

	if (!a || !b)
		return a ? a : b;
	native_a = ph_pool_shard_in(d->name, a->domain);
	native_b = ph_pool_shard_in(d->name, b->domain);
	if (native_a != native_b)
		return native_a ? a : b;
	return claim_of(a, d->name)->token >= claim_of(b, d->name)->token ? a
									  : b;
}

static void index_claim(struct ph_cluster *ms, const struct ph_member *m,
			uint32_t i, uint64_t now_us)
{
	const struct ph_claim *c = &m->claims[i];
	struct ph_pool_claim *d;

	if (m->claimed[i] == UINT32_MAX)
		return;
	d = &ms->pools[m->claimed[i]];
	if (c->token > d->top_token)
		d->top_token = c->token;
	if (!ph_member_live(ms, m, now_us))
		return;
	d->claimant = better(d, d->claimant, m);
	if (!m->leaving && !c->offered)
		d->keeper = better(d, d->keeper, m);
}

/* Notes for each pool who claims it, from the heartbeats known by now. */
static void index_claims(struct ph_cluster *ms, uint64_t now_us)
{
	const struct ph_member *m;
	uint32_t i;

	for (i = 0; i < ms->pool_count; i++) {
		ms->pools[i].claimant = NULL;
		ms->pools[i].keeper = NULL;
	}
	for (m = ms->first_owner; m; m = m->next_owner)
		for (i = 0; i < m->claim_count; i++)
			index_claim(ms, m, i, now_us);
	ms->indexed = true;
}

/* Resolves the names of what a peer claims. */
void ph_claims_resolve(const struct ph_cluster *ms, struct ph_member *m)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++) {
		const struct ph_pool_claim *d =
			claim_find(ms, m->claims[i].domain);

		m->claimed[i] = d ? (uint32_t)(d - ms->pools) : UINT32_MAX;
	}
}

/* True if a heartbeat claims what the one before it did. */
bool ph_claims_same(const struct ph_member *m, const struct ph_poolmsg *hello)
{
	uint32_t i;

	if (m->claim_count != hello->claim_count ||
	    m->leaving != hello->leaving)
		return false;
	for (i = 0; i < m->claim_count; i++)
		if (m->claimed[i] == UINT32_MAX ||
		    m->claims[i].token != hello->claims[i].token ||
		    m->claims[i].offered != hello->claims[i].offered ||
		    strcmp(m->claims[i].domain, hello->claims[i].domain) != 0)
			return false;
	return true;
}

static void add_by_name(struct ph_cluster *ms, size_t index)
{
	size_t i = index;

	for (; i && strcmp(ms->pools[ms->by_name[i - 1]].name,
			   ms->pools[index].name) > 0;
	     i--)
		ms->by_name[i] = ms->by_name[i - 1];
	ms->by_name[i] = index;
}

void ph_cluster_set_domains(struct ph_cluster *ms,
			    char (*domains)[PH_NAME_BYTES], size_t count)
{
	struct ph_member *m;
	size_t i;

	for (i = 0; i < count; i++) {
		if (claim_find(ms, domains[i]))
			continue;
		ms->pools = ph_array_grow(ms->mem, ms->pools, ms->pool_count,
					  sizeof(*ms->pools));
		ms->by_name =
			ph_array_grow(ms->mem, ms->by_name, ms->pool_count,
				      sizeof(*ms->by_name));
		ph_strcopy(ms->pools[ms->pool_count].name, PH_NAME_BYTES,
			   domains[i]);
		add_by_name(ms, ms->pool_count++);
	}
	for (m = ms->first_owner; m; m = m->next_owner)
		ph_claims_resolve(ms, m);
	ms->indexed = false;
}

/* ## Owners */

bool ph_cluster_owner(struct ph_cluster *ms, uint64_t now_us, const char *name,
		      struct ph_owner *owner)
{
	struct ph_pool_claim *d = claim_find(ms, name);
	const struct ph_member *m;
	const struct ph_claim *c;

	memset(owner, 0, sizeof(*owner));
	if (!d)
		return false;
	if (d->owned) {
		ph_strcopy(owner->name, sizeof(owner->name), ms->opt.name);
		ph_strcopy(owner->addr, sizeof(owner->addr), ms->opt.addr);
		owner->token = d->token;
		owner->incarnation = ms->opt.incarnation;
		owner->self = true;
		owner->heard_us = now_us;
		owner->clock_us = now_us;
		return true;
	}
	if (!ms->indexed ||
	    (d->claimant && !ph_member_live(ms, d->claimant, now_us)))
		index_claims(ms, now_us);
	m = d->claimant;
	if (!m)
		return false;
	c = claim_of(m, name);
	ph_strcopy(owner->name, sizeof(owner->name), m->name);
	ph_strcopy(owner->addr, sizeof(owner->addr), m->addr);
	owner->token = c->token;
	owner->incarnation = m->incarnation;
	owner->load = c->load;
	owner->heard_us = m->heard_us;
	owner->clock_us = m->clock_us;
	return true;
}

struct rank {
	uint32_t owned;
	uint32_t cpu_milli;
	uint64_t incarnation;
	const char *name;
};

uint32_t ph_claims_owned(const struct ph_cluster *ms)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < ms->pool_count; i++)
		n += ms->pools[i].owned;
	return n;
}

static struct rank rank_self(const struct ph_cluster *ms)
{
	struct rank r = { ph_claims_owned(ms), ms->opt.cpu_milli,
			  ms->opt.incarnation, ms->opt.name };

	return r;
}

static struct rank rank_of(const struct ph_member *m)
{
	struct rank r = { m->claim_count, m->cpu_milli, m->incarnation,
			  m->name };

	return r;
}

/* True if a is to own one more pool rather than b: the one with more processor
 * for each of its pools, then the one that has just restarted, for it is the
 * least likely to be stopped next when all are restarted in turn. */
static bool outranks(const struct rank *a, const struct rank *b)
{
	uint64_t load_a = (uint64_t)(a->owned + 1) * b->cpu_milli;
	uint64_t load_b = (uint64_t)(b->owned + 1) * a->cpu_milli;

	if (load_a != load_b)
		return load_a < load_b;
	if (a->incarnation / MS_PER_S != b->incarnation / MS_PER_S)
		return a->incarnation > b->incarnation;
	return strcmp(a->name, b->name) > 0;
}

/* An instance that may claim pools. */
struct candidate {
	struct rank rank;
	const char *domain;
};

static uint32_t list_candidates(const struct ph_cluster *ms, uint64_t now_us,
				struct candidate *list)
{
	const struct ph_member *m;
	uint32_t n = 0;

	if (!ms->leaving && ph_claims_owned(ms) < PH_CLAIMS_MAX) {
		list[n].rank = rank_self(ms);
		list[n++].domain = ms->opt.domain;
	}
	for (m = ms->first; m; m = m->next) {
		if (!ph_member_live(ms, m, now_us) || m->leaving ||
		    m->claim_count >= PH_CLAIMS_MAX)
			continue;
		list[n].rank = rank_of(m);
		list[n++].domain = m->domain;
	}
	return n;
}

/* The one to claim a vacant pool: of its domain's own before others. */
static struct candidate *first_candidate(struct candidate *list, uint32_t count,
					 const char *pool)
{
	struct candidate *best = NULL;
	bool best_native = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool native = ph_pool_shard_in(pool, list[i].domain);

		if (list[i].rank.owned >= PH_CLAIMS_MAX)
			continue;
		if (best && (native != best_native
				     ? best_native
				     : !outranks(&list[i].rank, &best->rank)))
			continue;
		best = &list[i];
		best_native = native;
	}
	return best;
}

/* Shares the vacant pools out among the instances that live, in the order of
 * their names: all that hear each other come to the same plan, so that each
 * claims its part at once. */
static void plan_claims(struct ph_cluster *ms, uint64_t now_us)
{
	struct candidate *list =
		ms->mem->calloc(ms->member_count + 1, sizeof(*list));
	uint32_t count = list_candidates(ms, now_us, list);
	uint32_t natives = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		natives += !strcmp(list[i].domain, ms->opt.domain);
	ms->well_known = natives >= PLAN_FROM;
	for (i = 0; i < ms->pool_count; i++) {
		struct ph_pool_claim *d = &ms->pools[ms->by_name[i]];
		struct candidate *c;

		if (!d->vacant)
			continue;
		c = first_candidate(list, count, d->name);
		d->planned = c && !strcmp(c->rank.name, ms->opt.name);
		if (c)
			c->rank.owned++;
	}
	ms->mem->free(list);
}

/* Two instances that claim in the same millisecond get different tokens, but
 * for one case in 256, in which outranked() goes by their names. */
static uint64_t new_token(const struct ph_cluster *ms, struct ph_pool_claim *d,
			  uint64_t unix_ms)
{
	uint64_t own = ph_hash_str(ms->opt.name) & ((1U << TOKEN_SHIFT) - 1);
	uint64_t token = unix_ms << TOKEN_SHIFT | own;

	if (token <= d->top_token)
		token = d->top_token + 1;
	d->top_token = token;
	return token;
}

static void acquire(const struct ph_cluster *ms, struct ph_pool_claim *d,
		    uint64_t unix_ms, const struct ph_cluster_sink *sink,
		    void *ctx)
{
	d->offered_until_us = 0;
	d->owned = true;
	d->vacant_us = 0;
	d->fenced_us = 0;
	d->token = new_token(ms, d, unix_ms);
	sink->acquire(ctx, d->name, d->token);
}

void ph_claim_release(struct ph_pool_claim *d,
		      const struct ph_cluster_sink *sink, void *ctx)
{
	d->owned = false;
	d->vacant_us = 0;
	sink->release(ctx, d->name);
}

static bool outranked(const struct ph_cluster *ms,
		      const struct ph_pool_claim *d)
{
	const struct ph_member *m = d->keeper;
	bool self_native = ph_pool_shard_in(d->name, ms->opt.domain);
	bool other_native;
	uint64_t token;

	if (!m)
		return false;
	if (ms->leaving)
		return true;
	other_native = ph_pool_shard_in(d->name, m->domain);
	if (self_native != other_native)
		return other_native;
	token = claim_of(m, d->name)->token;
	return token > d->token ||
	       (token == d->token && strcmp(m->name, ms->opt.name) > 0);
}

/* True if an instance of the domain may be at work behind a cut. */
static bool maybe_cut_off(const struct ph_cluster *ms, const char *pool,
			  uint64_t now_us)
{
	const struct ph_member *m;

	for (m = ms->first; m; m = m->next)
		if (ph_pool_shard_in(pool, m->domain) && !m->leaving &&
		    !m->dead && now_us < m->heard_us + PH_KNOWN_US)
			return true;
	return false;
}

static uint64_t claim_delay(const struct ph_cluster *ms, const char *pool,
			    bool native, uint64_t now_us)
{
	if (ph_cluster_minority(ms, now_us))
		return MINORITY_AFTER_US;
	if (native || !maybe_cut_off(ms, pool, now_us))
		return CLAIM_AFTER_US;
	return ADOPT_AFTER_US;
}

/* True if nobody owns the pool that would keep it. */
static bool vacant(const struct ph_cluster *ms, const struct ph_pool_claim *d)
{
	const struct ph_member *m = d->keeper;
	bool native = ph_pool_shard_in(d->name, ms->opt.domain);

	return !m || (native && !ph_pool_shard_in(d->name, m->domain));
}

static void consider(struct ph_cluster *ms, struct ph_pool_claim *d,
		     bool minority, uint64_t now_us, uint64_t unix_ms,
		     const struct ph_cluster_sink *sink, void *ctx)
{
	bool native = ph_pool_shard_in(d->name, ms->opt.domain);
	uint64_t settle_us = native ? SETTLE_US : SETTLE_ADOPT_US;

	if (!minority)
		d->yielded = false;
	if (!d->vacant || !d->planned ||
	    now_us < ms->opt.start_us + settle_us || (minority && d->yielded)) {
		d->vacant_us = 0;
		return;
	}
	if (!d->vacant_us)
		d->vacant_us = now_us;
	if (now_us < d->vacant_us + claim_delay(ms, d->name, native, now_us))
		return;
	if (!(native && ms->well_known) &&
	    now_us < ms->claimed_us + CLAIM_GAP_US)
		return;
	ms->claimed_us = now_us;
	d->raises = 0;
	acquire(ms, d, unix_ms, sink, ctx);
}

/* True if another instance of the domain would carry one more pool with ease
 * while this one carries many for its processor. */
static bool better_off_elsewhere(const struct ph_cluster *ms, uint64_t now_us)
{
	uint64_t owned = ph_claims_owned(ms);
	const struct ph_member *m;

	for (m = ms->first; m; m = m->next) {
		uint64_t after = (uint64_t)(m->claim_count + 1) *
				 ms->opt.cpu_milli * PERCENT;

		if (strcmp(m->domain, ms->opt.domain) != 0 || m->leaving ||
		    !ph_member_live(ms, m, now_us))
			continue;
		if (after < owned * m->cpu_milli * OFFER_GAIN_PERCENT)
			return true;
	}
	return false;
}

static void offer(struct ph_cluster *ms, uint64_t now_us)
{
	size_t i;

	if (ms->leaving || now_us < ms->offered_us + OFFER_EVERY_US ||
	    now_us < ms->claimed_us + OFFER_EVERY_US ||
	    !better_off_elsewhere(ms, now_us))
		return;
	for (i = 0; i < ms->pool_count; i++) {
		struct ph_pool_claim *d = &ms->pools[i];

		if (!d->owned || !ph_pool_shard_in(d->name, ms->opt.domain))
			continue;
		ms->offered_us = now_us;
		d->offered_until_us = now_us + OFFER_FOR_US;
		ph_event(PART, "event=pool_offered pool=%s owned=%u", d->name,
			 ph_claims_owned(ms));
		return;
	}
}

bool ph_cluster_offers(const struct ph_cluster *ms, uint64_t now_us,
		       const char *pool)
{
	const struct ph_pool_claim *d = claim_find(ms, pool);

	return d && now_us < d->offered_until_us;
}

/* Lifts the floor of the next token. */
static void raise_token(struct ph_pool_claim *d)
{
	uint64_t ms = TOKEN_RAISE_MS;
	uint32_t i;

	for (i = 0; i < d->raises; i++)
		ms *= TOKEN_RAISE_FACTOR;
	if (d->raises < TOKEN_RAISES_MAX)
		d->raises++;
	if (d->top_token < d->token)
		d->top_token = d->token;
	d->top_token += ms << TOKEN_SHIFT;
}

void ph_cluster_fenced(struct ph_cluster *ms, uint64_t now_us, uint64_t unix_ms,
		       const char *domain, const struct ph_cluster_sink *sink,
		       void *ctx)
{
	struct ph_pool_claim *d = claim_find(ms, domain);

	if (!d || !d->owned)
		return;
	if (!ms->indexed)
		index_claims(ms, now_us);
	if (!d->fenced_us) {
		ph_event(PART, "event=fenced domain=%s token=%llu minority=%d",
			 domain, (unsigned long long)d->token,
			 ph_cluster_minority(ms, now_us));
		d->fenced_us = now_us;
	}
	/* The domain's own instances are back: an adopter makes way. */
	if (!ph_pool_shard_in(domain, ms->opt.domain)) {
		ph_claim_release(d, sink, ctx);
		return;
	}
	/* Whoever took the pool over has greeted all; a minority that was cut
	 * off until now needs longer to hear the others. */
	if (now_us < d->fenced_us + (ph_cluster_minority(ms, now_us)
					     ? CUT_FENCED_WAIT_US
					     : FENCED_WAIT_US))
		return;
	d->fenced_us = 0;
	if (ph_cluster_minority(ms, now_us)) {
		d->yielded = true;
		ph_claim_release(d, sink, ctx);
		return;
	}
	if (outranked(ms, d)) {
		ph_claim_release(d, sink, ctx);
		return;
	}
	raise_token(d);
	acquire(ms, d, unix_ms, sink, ctx);
}

void ph_claims_tick(struct ph_cluster *ms, uint64_t now_us, uint64_t unix_ms,
		    const struct ph_cluster_sink *sink, void *ctx)
{
	bool minority = ph_cluster_minority(ms, now_us);
	bool any_vacant = false;
	size_t i;

	index_claims(ms, now_us);
	for (i = 0; i < ms->pool_count; i++) {
		struct ph_pool_claim *d = &ms->pools[i];

		if (d->owned && outranked(ms, d))
			ph_claim_release(d, sink, ctx);
		d->vacant = !d->owned && vacant(ms, d);
		any_vacant = any_vacant || d->vacant;
	}
	if (any_vacant)
		plan_claims(ms, now_us);
	for (i = 0; i < ms->pool_count; i++)
		if (!ms->pools[i].owned)
			consider(ms, &ms->pools[i], minority, now_us, unix_ms,
				 sink, ctx);
	offer(ms, now_us);
}
