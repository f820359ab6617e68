#ifndef PH_CLUSTER_H
#define PH_CLUSTER_H

/*
 * The entry instances that live, by their heartbeats, and which of them owns
 * which failure domain's pool. An owner keeps its pool until it leaves, dies
 * or is outranked; a domain without instances is adopted by others.
 */

#include "poolmsg.h"

struct ph_cluster;

struct ph_cluster_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	/** "ip:port" for peers. */
	const char *addr;
	/** Start of this process, Unix milliseconds. */
	uint64_t incarnation;
	uint64_t heartbeat_us;
	/** Silence after which a peer counts as dead. */
	uint64_t suspect_us;
	uint64_t start_us;
	/** Share of a core that this instance may use, in thousandths. */
	uint32_t cpu_milli;
};

struct ph_member {
	struct ph_member *next;
	/** Next one that claims a pool. */
	struct ph_member *next_owner;
	uint64_t name_hash;
	char name[PH_NAME_BYTES];
	char domain[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	uint64_t heard_us;
	uint64_t sent_us;
	/** Distance of this instance's heartbeats to it, and since when. */
	uint64_t every_us;
	uint64_t every_since_us;
	/** As the peer says, how long ago it last heard this instance. */
	uint64_t heard_me_ago_us;
	uint64_t link_reset_us;
	/** It is back: a link that was opened before may hang. */
	bool relink;
	/** Distance of its heartbeats to this instance, as it says. */
	uint64_t interval_us;
	/** Its steady clock when it was heard. */
	uint64_t clock_us;
	uint32_t cpu_milli;
	bool leaving;
	/** Nothing listened at its address since it was heard last. */
	bool dead;
	/** Reported lost already. */
	bool lost;
	/** Another life has answered: the one before is to be reported lost. */
	bool restarted;
	uint64_t config_version;
	/** Its list of executors, and when that was read, on this clock. */
	uint64_t list_digest;
	uint64_t list_read_us;
	uint32_t claim_count;
	struct ph_claim claims[PH_CLAIMS_MAX];
	/** Index of each claimed pool; UINT32_MAX: not known here. */
	uint32_t claimed[PH_CLAIMS_MAX];
};

enum ph_heartbeat_scope {
	/** A pool changed hands: everyone has to know. */
	PH_HEARTBEAT_ALL,
	/** Among many, those of the own domain: they pass it on. */
	PH_HEARTBEAT_DOMAIN,
};

/** The next tick greets them: something changed. */
void ph_cluster_heartbeat_soon(struct ph_cluster *members,
			       enum ph_heartbeat_scope whom);

/**
 * The instance of the own domain that reads the platform's list of executors
 * for all of it. False if there are too few for that, or it is this one.
 */
bool ph_cluster_reader(const struct ph_cluster *members, uint64_t now_us,
		       const struct ph_member **reader);

/** Other instances of the own domain that live, one by one; NULL: none left. */
const struct ph_member *ph_cluster_near(const struct ph_cluster *members,
					const struct ph_member *after,
					uint64_t now_us);

/** Distance of the heartbeats to a peer. */
uint64_t ph_cluster_interval_us(const struct ph_cluster *members,
				const struct ph_member *member);

/** True while an owned pool is offered to others. */
bool ph_cluster_offers(const struct ph_cluster *members, uint64_t now_us,
		       const char *pool);

/** What a tick decides. */
struct ph_cluster_sink {
	void (*acquire)(void *ctx, const char *domain, uint64_t token);
	void (*release)(void *ctx, const char *domain);
	/** A heartbeat is due; member is NULL for a bare contact. */
	void (*send_heartbeat)(void *ctx, const char *addr,
			       const struct ph_member *m);
	/** The link to a peer that doesn't hear this instance. */
	void (*reset_link)(void *ctx, const char *addr);
	/** A peer has fallen silent or restarted. */
	void (*lost)(void *ctx, const char *name);
};

struct ph_cluster *ph_cluster_new(const struct ph_cluster_options *options);
void ph_cluster_free(struct ph_cluster *members);

/** An address to greet: a seed, or one that the platform knows. */
void ph_cluster_contact(struct ph_cluster *members, const char *addr);

/** Takes note of a heartbeat; returns the sender, NULL if it is stale. */
const struct ph_member *ph_cluster_heard(struct ph_cluster *members,
					 uint64_t now_us,
					 const struct ph_poolmsg *hello);

/** Nothing listens at a peer's address: it is dead, not just silent. */
void ph_cluster_refused(struct ph_cluster *members, uint64_t now_us,
			const char *addr);

/** The failure domains that have executors. */
void ph_cluster_set_domains(struct ph_cluster *members,
			    char (*domains)[PH_NAME_BYTES], size_t count);

/** No more claims; what is owned is left to others as they claim it. */
void ph_cluster_leave(struct ph_cluster *members);

/** This process stood still: nothing that it owned is its own. */
void ph_cluster_paused(struct ph_cluster *members, uint64_t now_us,
		       const struct ph_cluster_sink *sink, void *ctx);

/** An executor refused this instance's token of a domain. */
void ph_cluster_fenced(struct ph_cluster *members, uint64_t now_us,
		       uint64_t unix_ms, const char *domain,
		       const struct ph_cluster_sink *sink, void *ctx);

/** Heartbeats and claims; at least every 50 ms. */
void ph_cluster_tick(struct ph_cluster *members, uint64_t now_us,
		     uint64_t unix_ms, const struct ph_cluster_sink *sink,
		     void *ctx);

/** The owner of a domain's pool as known here. */
struct ph_owner {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	uint64_t token;
	/** Life of the owner. */
	uint64_t incarnation;
	bool self;
	struct ph_pool_load load;
	/** When load was heard, and the owner's clock as it said then. */
	uint64_t heard_us;
	uint64_t clock_us;
};

/** Finds the live owner of a domain; false if there is none. */
bool ph_cluster_owner(struct ph_cluster *members, uint64_t now_us,
		      const char *domain, struct ph_owner *owner);

/** True while the same life of an owner is heard. */
bool ph_cluster_owner_lives(const struct ph_cluster *members, uint64_t now_us,
			    const struct ph_owner *owner);

/** Domain by index, NULL at the end. */
const char *ph_cluster_domain(const struct ph_cluster *members, size_t i);

/** True if fewer than half of the instances known lately are heard. */
bool ph_cluster_minority(const struct ph_cluster *members, uint64_t now_us);

/** First member of the list, for dumps and messages. */
const struct ph_member *ph_cluster_first(const struct ph_cluster *members);

#endif
