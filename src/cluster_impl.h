#ifndef PH_CLUSTER_IMPL_H
#define PH_CLUSTER_IMPL_H

/* Shared by cluster.c (members and failure detection), cluster_heartbeat.c
 * (heartbeats and connections), cluster_ownership.c (claims of pools) and
 * cluster_start.c (what an instance that starts is told of the others). */

#include "cluster.h"
#include "intern.h"

/* Time after the last heartbeat for which a peer counts as a possibly
 * partitioned member; heartbeats are sent to it until then. */
#define PH_MEMBER_KNOWN_US 15000000U
/* Factor of the heartbeat interval between instances that exchange no batches:
 * neither owns a pool. */
#define PH_IDLE_INTERVAL_FACTOR 5U

/** State of the claims of ownership of one pool. */
struct ph_pool_claim {
	const char *name;
	/** This instance owns the pool, under token. */
	bool owned;
	uint64_t token;
	/** Highest fencing token seen for the pool. */
	uint64_t highest_token;
	/** Live peer with the best claim; NULL: none. */
	const struct ph_member *claimant;
	/** Live peer with the best claim among those that are not leaving and
	 * do not offer the pool; NULL: none. */
	const struct ph_member *committed_claimant;
	/** The pool has no owner that keeps it, so it may be claimed. */
	bool vacant;
	/** The claim plan assigns the vacant pool to this instance. */
	bool assigned_to_self;
	/** Since when the pool has been vacant; 0: it is not. */
	uint64_t vacant_since_us;
	/** When an executor first rejected the token; 0: none has. */
	uint64_t fenced_since_us;
	/** How often the token has been raised since the pool was claimed. */
	uint32_t token_raises;
	/** When the token was last raised as a few executors refused it. */
	uint64_t raised_in_part_us;
	/** How often of late the pool was taken by an instance that isn't
	 * heard, and when it was last. */
	uint32_t contests;
	uint64_t contested_us;
	/** The pool is left to that instance until this time. */
	uint64_t contested_until_us;
	/** Released because executors rejected the token while this instance
	 * was in a minority; not claimed again until it is in the majority. */
	bool yielded;
	/** The pool is offered to other instances until this time. */
	uint64_t offered_until_us;
};

/** An address that gets heartbeats until a member is known there. */
struct ph_contact {
	char addr[PH_ADDR_BYTES];
	/** When the last heartbeat to it was due. */
	uint64_t sent_us;
	/** When the connection to it was last replaced. */
	uint64_t renewed_us;
};

/** What a peer has reported of an instance of the own domain that was not heard
 * at that time. */
struct ph_owner_report {
	/** "": it owns no pool of the domain. */
	const char *pool_name;
	const char *name;
	char addr[PH_ADDR_BYTES];
	uint64_t token;
	/** When it was reported first. */
	uint64_t first_us;
	/** Until then the pool counts as owned. */
	uint64_t until_us;
	/** The instance is heard now, or its process is gone. */
	bool settled;
};

struct ph_cluster {
	const struct ph_mem *mem;
	struct ph_cluster_options opt;
	/** List of all members, linked by next. */
	struct ph_member *first;
	/** List of the members that claim pools, linked by next_owner. */
	struct ph_member *first_owner;
	size_t member_count;
	struct ph_contact *contacts;
	size_t contact_count;
	/** Pools: each holds the executors of a failure domain or of a shard
	 * of one. */
	struct ph_pool_claim *pools;
	/** Indexes into pools, sorted by pool name. */
	size_t *by_name;
	size_t pool_count;
	bool leaving;
	/** So many instances of the own domain are alive that all of them are
	 * taken to compute the same claim plan. */
	bool plan_shared;
	/** No other instance of the own domain may claim at present. */
	bool sole_claimant;
	/** claimant and committed_claimant of all pools reflect the heartbeats
	 * received. */
	bool claims_indexed;
	/** When this instance last claimed, and last offered, a pool. */
	uint64_t last_claim_us;
	uint64_t last_offer_us;
	struct ph_owner_report *reports;
	size_t report_count;
	/** A peer that has been running for long knows of this instance, so
	 * that its heartbeats report the owners. */
	bool introduced;
	/** Until then no pool of the own domain is claimed before that. */
	uint64_t introduction_until_us;
};

/* ## cluster.c */

struct ph_member *ph_member_find(const struct ph_cluster *cluster,
				 const char *name);
/** Whether a heartbeat of the peer was received within its suspicion time. */
bool ph_member_alive(const struct ph_cluster *cluster,
		     const struct ph_member *m, uint64_t now_us);

/* ## cluster_heartbeat.c */

/** How sure it is that a peer, whose heartbeats arrive, receives those of this
 * instance. */
enum ph_echo {
	/** It has received one lately, or its version does not tell. */
	PH_ECHO_RECENT,
	/** It may count this instance as failed. */
	PH_ECHO_DOUBTFUL,
	/** The same, for so long that its batches may be resumed elsewhere. */
	PH_ECHO_LATE,
	/** It is taken to count this instance as failed. */
	PH_ECHO_LOST,
};

enum ph_echo ph_heartbeat_echo(const struct ph_cluster *cluster,
			       const struct ph_member *m, uint64_t now_us);
/** Time after which one of two instances suspects the other, if the heartbeats
 * have this interval. */
uint64_t ph_heartbeat_suspect_us(const struct ph_cluster *cluster,
				 uint64_t interval_us);
/** Why the connection to a peer may be dead: a peer that is gone, a connection
 * that is dead and a peer that doesn't hear this instance look alike at first,
 * and a new connection is the answer to each. */
enum ph_link_doubt ph_heartbeat_link_doubt(const struct ph_cluster *cluster,
					   const struct ph_member *m,
					   uint64_t now_us);
/** Reports failed and restarted peers; replaces connections in doubt. */
void ph_heartbeat_check_peers(struct ph_cluster *cluster, uint64_t now_us,
			      const struct ph_cluster_sink *sink, void *ctx);
/** Sends heartbeats that are due to members and contacts. */
void ph_heartbeat_send_due(struct ph_cluster *cluster, uint64_t now_us,
			   const struct ph_cluster_sink *sink, void *ctx);

/* ## cluster_ownership.c */

/** Number of pools that this instance owns. */
uint32_t ph_claims_owned_count(const struct ph_cluster *cluster);
/** Looks up the pool index of each of a peer's claims. */
void ph_claims_resolve(const struct ph_cluster *cluster, struct ph_member *m);
/** Whether a heartbeat has the same claims as the sender's previous one. */
bool ph_claims_unchanged(const struct ph_member *m,
			 const struct ph_poolmsg *heartbeat);
/** Ends this instance's ownership of a pool. */
void ph_claim_release(struct ph_pool_claim *pool,
		      const struct ph_cluster_sink *sink, void *ctx);
/** Releases outranked pools, claims vacant ones and offers surplus ones. */
void ph_claims_tick(struct ph_cluster *cluster, uint64_t now_us,
		    uint64_t unix_ms, const struct ph_cluster_sink *sink,
		    void *ctx);

/* ## cluster_start.c */

/** Handles the reports of owners in a heartbeat of m; new_claims: m claims
 * pools that it didn't before. */
void ph_reports_received(struct ph_cluster *cluster, const struct ph_member *m,
			 const struct ph_poolmsg *heartbeat, bool new_claims,
			 uint64_t now_us);
/** A connection to this address was refused. */
void ph_reports_refused(struct ph_cluster *cluster, const char *addr);
/** Removes reports that have had no effect for long. */
void ph_reports_expire(struct ph_cluster *cluster, uint64_t now_us);
/** Whether an owner of the pool was reported that is not heard yet. */
bool ph_reports_owned(const struct ph_cluster *cluster, const char *pool,
		      uint64_t now_us);
/** Highest token of the reported owners of a pool. */
uint64_t ph_reports_token(const struct ph_cluster *cluster, const char *pool);
/** Whether claims of pools of the own domain have to wait for other instances,
 * which are about to be heard. */
bool ph_reports_incomplete(const struct ph_cluster *cluster, uint64_t now_us);

#endif
