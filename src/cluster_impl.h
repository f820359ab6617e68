#ifndef PH_CLUSTER_IMPL_H
#define PH_CLUSTER_IMPL_H

/* Shared by cluster.c (who lives), cluster_heartbeat.c (heartbeats and links)
 * and cluster_ownership.c (who owns which pool). */

#include "cluster.h"

/* A silent peer counts as known for this long. */
#define PH_KNOWN_US 15000000U
/* Peers that have no work for each other greet this much less often. */
#define PH_FAR_FACTOR 5U

/** A pool as to who owns it. */
struct ph_pool_claim {
	char name[PH_NAME_BYTES];
	/** This instance owns it, under this token. */
	bool owned;
	uint64_t token;
	/** Highest token that was ever seen. */
	uint64_t top_token;
	/** Live peer with the best claim; NULL: none. */
	const struct ph_member *claimant;
	/** Likewise, of those that neither leave nor offer it. */
	const struct ph_member *keeper;
	/** Nobody owns it that would keep it. */
	bool vacant;
	/** By the plan of claims this instance is to claim it. */
	bool planned;
	/** Since when both are so; 0: they aren't. */
	uint64_t vacant_us;
	/** Refused by an executor at this time; 0: no. */
	uint64_t fenced_us;
	/** Times that the token was raised since the pool was claimed. */
	uint32_t raises;
	/** Given up by a fenced minority: not claimed again as one. */
	bool yielded;
	/** Offered to others until then. */
	uint64_t offered_until_us;
};

/* An address to greet until an instance is known there. */
struct ph_contact {
	char addr[PH_ADDR_BYTES];
	uint64_t sent_us;
};

struct ph_cluster {
	const struct ph_mem *mem;
	struct ph_cluster_options opt;
	struct ph_member *first;
	/** Those that claim pools, in no order. */
	struct ph_member *first_owner;
	size_t member_count;
	struct ph_contact *contacts;
	size_t contact_count;
	/** Pools: a failure domain each, or a shard of one. */
	struct ph_pool_claim *pools;
	/** Their indexes in the order of their names. */
	size_t *by_name;
	size_t pool_count;
	bool leaving;
	/** Enough instances of the own domain are heard for all to agree on
	 * who claims what. */
	bool well_known;
	/** The claims of all heartbeats are noted at their pools. */
	bool indexed;
	uint64_t claimed_us;
	uint64_t offered_us;
};

/* ## cluster.c */

struct ph_member *ph_member_find(const struct ph_cluster *ms, const char *name);
/** True unless it has been silent for too long. */
bool ph_member_live(const struct ph_cluster *ms, const struct ph_member *m,
		    uint64_t now_us);

/* ## cluster_heartbeat.c */

/** Reports peers that are lost and links that are at fault. */
void ph_beats_watch(struct ph_cluster *ms, uint64_t now_us,
		    const struct ph_cluster_sink *sink, void *ctx);
/** Sends the heartbeats that are due. */
void ph_beats_send(struct ph_cluster *ms, uint64_t now_us,
		   const struct ph_cluster_sink *sink, void *ctx);

/* ## cluster_ownership.c */

uint32_t ph_claims_owned(const struct ph_cluster *ms);
/** Resolves the names of what a peer claims. */
void ph_claims_resolve(const struct ph_cluster *ms, struct ph_member *m);
/** True if a heartbeat claims what the one before it did. */
bool ph_claims_same(const struct ph_member *m, const struct ph_poolmsg *hello);
/** Gives a pool up. */
void ph_claim_release(struct ph_pool_claim *d,
		      const struct ph_cluster_sink *sink, void *ctx);
/** Claims, releases and offers that are due. */
void ph_claims_tick(struct ph_cluster *ms, uint64_t now_us, uint64_t unix_ms,
		    const struct ph_cluster_sink *sink, void *ctx);

#endif
