#ifndef PH_CLUSTER_H
#define PH_CLUSTER_H

/*
 * Cluster membership of the instances, detected by heartbeats, and ownership
 * of the executor pools. An instance owns a pool until it leaves, fails or a
 * better claim of another instance prevails. Pools of a failure domain that
 * has no instances are taken over by instances of other domains.
 */

#include "mechanisms.h"
#include "poolmsg.h"

struct ph_cluster;

struct ph_cluster_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	/** "ip:port" at which peers connect to this instance. */
	const char *addr;
	/** Start time of this process, Unix milliseconds. */
	uint64_t incarnation;
	/** Shortest heartbeat interval. */
	uint64_t heartbeat_us;
	/** Least time without heartbeats after which a peer is suspected. */
	uint64_t suspect_us;
	/** Monotonic start time; claims wait for a delay after it. */
	uint64_t start_us;
	/** CPU that this instance may use, in thousandths of a core. */
	uint32_t cpu_milli;
	/** What an experiment has switched off. */
	struct ph_mechanisms_off off;
};

/** A peer of which at least one heartbeat has been received. */
struct ph_member {
	struct ph_member *next;
	/** Next peer that claims at least one pool. */
	struct ph_member *next_owner;
	uint64_t name_hash;
	const char *name;
	const char *domain;
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	/** When the first heartbeat of this incarnation was received. */
	uint64_t first_heard_us;
	/** When its last heartbeat was received; set back if it fails. */
	uint64_t heard_us;
	/** When the last heartbeat was sent to it; 0: one is due. */
	uint64_t sent_us;
	/** Interval of the heartbeats sent to it, and since when it applies; at
	 * the latest since the peer is heard again. */
	uint64_t send_interval_us;
	uint64_t send_interval_since_us;
	/** Time since the peer received a heartbeat of this instance, as of the
	 * peer's last heartbeat; UINT64_MAX: never. */
	uint64_t heard_self_ago_us;
	/** When the connection to it was last replaced by a new one; at first
	 * when the peer became known. */
	uint64_t link_renewed_us;
	/** How often that was done of late; sets the time to the next. */
	uint32_t link_renewals;
	/** When the connection was last in doubt, or a renewal forgiven. */
	uint64_t link_doubted_us;
	/** The peer is back after a restart or silence; the connection opened
	 * before may be dead and has to be replaced. */
	bool reconnect_due;
	/** Interval of the peer's heartbeats to this instance. */
	uint64_t interval_us;
	/** The peer's monotonic clock when it sent its last heartbeat. */
	uint64_t clock_us;
	/** clock_us when this instance last knew which of its callers are still
	 * connected: what it tells the peer to have received. */
	uint64_t echo_us;
	/** The local clock in the latest heartbeat of this instance that the
	 * peer is known to have received; 0: it has not told any. */
	uint64_t echoed_us;
	uint32_t cpu_milli;
	bool leaving;
	/** A connection was refused since the last heartbeat received. */
	bool connection_refused;
	/** The sink's member_lost() has been called for this outage. */
	bool loss_reported;
	/** It has been called since the peer is taken to count this instance as
	 * failed. */
	bool deafness_reported;
	/** A new incarnation was heard before the loss of the earlier one was
	 * reported; the next tick reports it. */
	bool restarted;
	uint64_t config_version;
	/** Digest of the peer's list of executors, and when that list was read,
	 * by the local monotonic clock. */
	uint64_t list_digest;
	uint64_t list_read_us;
	uint32_t claim_count;
	struct ph_claim claims[PH_CLAIMS_MAX];
	/** Index of the pool of each claim; UINT32_MAX: unknown pool. */
	uint32_t claimed_pool[PH_CLAIMS_MAX];
};

enum ph_heartbeat_scope {
	/** All peers, as after a change of a pool's owner. */
	PH_HEARTBEAT_ALL,
	/** In a large cluster only the peers of the own failure domain; all
	 * peers in a small one. */
	PH_HEARTBEAT_DOMAIN,
};

/** Makes heartbeats to these peers due at the next tick. */
void ph_cluster_heartbeat_soon(struct ph_cluster *cluster,
			       enum ph_heartbeat_scope scope);

/**
 * Finds the peer that reads the platform's list of executors on behalf of the
 * own failure domain. Returns false if this instance reads the list itself:
 * the domain has few instances, or this is the one that reads it for the rest.
 */
bool ph_cluster_list_reader(const struct ph_cluster *cluster, uint64_t now_us,
			    const struct ph_member **reader);

/**
 * Iterates over the live peers of the own failure domain; starts with after
 * NULL and returns NULL at the end.
 */
const struct ph_member *
ph_cluster_next_in_domain(const struct ph_cluster *cluster,
			  const struct ph_member *after, uint64_t now_us);

/** Interval of the heartbeats that this instance sends to a live peer. */
uint64_t ph_cluster_interval_us(const struct ph_cluster *cluster,
				const struct ph_member *member);

/**
 * Lists the owners of the pools of the own domain, and the other instances of
 * it that are heard, for a heartbeat to a peer that has become known lately.
 * Returns their number, of at most PH_REPORTED_OWNERS_MAX; 0 for other peers
 * and for NULL.
 */
uint32_t ph_cluster_report_owners(const struct ph_cluster *cluster,
				  uint64_t now_us, const struct ph_member *to,
				  struct ph_reported_owner *owners);

/** Whether an owned pool is currently offered to other instances. */
bool ph_cluster_pool_offered(const struct ph_cluster *cluster, uint64_t now_us,
			     const char *pool);

/** Why a connection to a peer may be dead. */
enum ph_link_doubt {
	PH_LINK_SOUND,
	/** No heartbeat of the peer arrives. */
	PH_LINK_PEER_SILENT,
	/** The peer tells that it gets no heartbeats from here. */
	PH_LINK_PEER_DEAF,
	/** The peer is back after a restart or silence. */
	PH_LINK_PEER_BACK,
	/** Nobody answers at a contact's address. */
	PH_LINK_NO_MEMBER,
	PH_LINK_DOUBTS,
};

const char *ph_link_doubt_name(enum ph_link_doubt doubt);

/** Callbacks for the actions that a tick decides on. */
struct ph_cluster_sink {
	/** This instance now owns the pool, under this fencing token. */
	void (*acquire)(void *ctx, const char *pool, uint64_t token);
	/** This instance no longer owns the pool. */
	void (*release)(void *ctx, const char *pool);
	/** Whether an executor of a pool of another domain, which this instance
	 * does not own, has answered it lately. Tries to reach some for as long
	 * as it is called. */
	bool (*reaches)(void *ctx, const char *pool);
	/** A heartbeat is due; m is NULL for an address at which no member is
	 * known yet. */
	void (*send_heartbeat)(void *ctx, const char *addr,
			       const struct ph_member *m);
	/** Open a new connection to a peer, as the present one may be dead. */
	void (*renew_link)(void *ctx, const char *addr,
			   enum ph_link_doubt doubt);
	/** A peer timed out, refused a connection, has restarted or is taken to
	 * count this instance as failed: its batches have to end. */
	void (*member_lost)(void *ctx, const char *name);
};

struct ph_cluster *ph_cluster_new(const struct ph_cluster_options *options);
void ph_cluster_free(struct ph_cluster *cluster);

/**
 * Adds an address to which heartbeats are sent until a member is known there.
 * Addresses already present, and the own one, are ignored.
 */
void ph_cluster_add_contact(struct ph_cluster *cluster, const char *addr);

/**
 * Updates the sender of a heartbeat. Returns the sender, which the cluster
 * owns, or NULL for a heartbeat of an earlier incarnation or of this instance.
 */
const struct ph_member *
ph_cluster_heartbeat_received(struct ph_cluster *cluster, uint64_t now_us,
			      const struct ph_poolmsg *heartbeat);

/**
 * A connection to a peer's address was refused: its process is gone rather
 * than unreachable, so it counts as failed at once.
 */
void ph_cluster_connection_refused(struct ph_cluster *cluster, uint64_t now_us,
				   const char *addr);

/** Adds pools by name; those already present are ignored. */
void ph_cluster_add_pools(struct ph_cluster *cluster, const char *const *names,
			  size_t count);

/**
 * Stops claiming pools; an owned pool is released as soon as another instance
 * claims it.
 */
void ph_cluster_leave(struct ph_cluster *cluster);

/**
 * The process was paused, so others may have taken over its pools: releases
 * all of them and treats all peers as not heard.
 */
void ph_cluster_paused(struct ph_cluster *cluster, uint64_t now_us,
		       const struct ph_cluster_sink *sink, void *ctx);

/**
 * An executor rejected this instance's fencing token for a pool; accepted tells
 * whether one has accepted it before. Releases the pool or acquires it again
 * under a higher token.
 */
void ph_cluster_fenced(struct ph_cluster *cluster, uint64_t now_us,
		       uint64_t unix_ms, const char *pool, bool accepted,
		       const struct ph_cluster_sink *sink, void *ctx);

/**
 * Less than half of a pool's executors have rejected this instance's token for
 * a while: acquires the pool again under a higher token. Unless another
 * instance's claim takes precedence, the pool is not released: the rest of its
 * executors has no other owner.
 */
void ph_cluster_fenced_in_part(struct ph_cluster *cluster, uint64_t now_us,
			       uint64_t unix_ms, const char *pool,
			       const struct ph_cluster_sink *sink, void *ctx);

/**
 * Detects failed peers, decides on claims and sends heartbeats that are due.
 * Has to be called at least every 50 ms.
 */
void ph_cluster_tick(struct ph_cluster *cluster, uint64_t now_us,
		     uint64_t unix_ms, const struct ph_cluster_sink *sink,
		     void *ctx);

/** The owner of a pool as known to this instance. */
struct ph_owner {
	const char *name;
	char addr[PH_ADDR_BYTES];
	uint64_t token;
	uint64_t incarnation;
	/** This instance is the owner; load is not set then. */
	bool self;
	struct ph_pool_load load;
	/** When the heartbeat with the load was received, and the owner's
	 * monotonic clock in that heartbeat. */
	uint64_t heard_us;
	uint64_t clock_us;
};

/** Finds the live owner of a pool; false if there is none. */
bool ph_cluster_owner(struct ph_cluster *cluster, uint64_t now_us,
		      const char *pool, struct ph_owner *owner);

/** Whether the owner is alive in the same incarnation. */
bool ph_cluster_owner_alive(const struct ph_cluster *cluster, uint64_t now_us,
			    const struct ph_owner *owner);

/**
 * Whether heartbeats of this incarnation of an instance arrive and it receives
 * those of this one, or it is this instance: only then the sink's member_lost()
 * follows when they cease.
 */
bool ph_cluster_hears(const struct ph_cluster *cluster, uint64_t now_us,
		      const char *name, uint64_t incarnation);

/**
 * False if an instance may count this one as failed, or may soon do so, since
 * it has told of no recent heartbeat of this one: it may then resume its
 * batches at other owners. Also true for this instance and unknown ones.
 */
bool ph_cluster_relied_on(const struct ph_cluster *cluster, uint64_t now_us,
			  const char *name);

/** True only if an instance can't count this one as failed yet. */
bool ph_cluster_surely_relied_on(const struct ph_cluster *cluster,
				 uint64_t now_us, const char *name);

/**
 * This instance has looked which of its callers are still connected, and has
 * cancelled the jobs of the others. Only then may peers go on relying on it: it
 * tells them of the heartbeats that it had received by now.
 */
void ph_cluster_callers_checked(struct ph_cluster *cluster);

/** The echo_us of a peer; 0 if it is not known. */
uint64_t ph_cluster_echo_us(const struct ph_cluster *cluster, const char *name);

/** Name of the pool at an index, valid for the life of the process; NULL past
 * the end. */
const char *ph_cluster_pool_name(const struct ph_cluster *cluster, size_t i);

/**
 * Whether this instance is on the minority side of a network partition: fewer
 * than half of the recently known instances, itself included, are alive.
 */
bool ph_cluster_minority(const struct ph_cluster *cluster, uint64_t now_us);

/** Head of the list of members, linked by next. */
const struct ph_member *
ph_cluster_first_member(const struct ph_cluster *cluster);

#endif
