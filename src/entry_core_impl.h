#ifndef PH_ENTRY_CORE_IMPL_H
#define PH_ENTRY_CORE_IMPL_H

/* State shared by the core's parts; no other module includes this. */

#include "entry_core.h"
#include "ident.h"
#include "ledger.h"

#define PH_PEERS 16U
#define PH_FOREIGN_DOMAINS 16U
#define PH_SEEDS 16U
#define PH_MAX_HELD 100000U
#define PH_KEY_BYTES (PH_NAME_BYTES + PH_ID_BYTES)

enum ph_liveness {
	PH_ALIVE = 0,
	/** Dead, and it can't have started anything alone before. */
	PH_DEAD_CLEAN,
	/** Dead, but it may have started first attempts alone. */
	PH_DEAD_LATE,
};

/** Jobs to be told to one peer; one batch is under way at a time. */
struct ph_outbox {
	struct ph_job **dirty;
	size_t count;
	size_t cap;
	struct ph_job **batch;
	size_t batch_count;
	uint64_t seq;
	uint64_t sent_us;
	/** Something waits for the acknowledgement. */
	bool urgent;
	uint64_t oldest_us;
};

/** Another instance of the own domain. */
struct ph_peer {
	bool used;
	enum ph_liveness life;
	struct ph_roster_member m;
	uint64_t added_us;
	uint64_t heard_us;
	uint64_t pinged_us;
	uint64_t no_solo_until_us;
	/** Versions for which it has told us all, and we have told it all. */
	uint64_t synced_to_me;
	uint64_t synced_by_me;
	uint64_t roster_sent_us;
	bool was_silent;
	/** It has not been told yet what was started without it. */
	bool unreplicated;
	struct ph_outbox out;
};

/** A job request that waits for a home that can be reached. */
struct ph_held {
	struct ph_held *next;
	struct ph_waiter origin;
	uint64_t since_us;
	/** Roster version when the request arrived. */
	uint64_t version;
	uint32_t hops;
	struct ph_request request;
	char team[PH_NAME_BYTES];
	char service[PH_NAME_BYTES];
	char id[PH_ID_BYTES];
	char *body;
};

/** A request that was relayed and not yet answered. */
struct ph_relay {
	struct ph_relay *chain;
	uint64_t token;
	struct ph_waiter origin;
	char target[PH_ADDR_BYTES];
	uint64_t sent_us;
	/** Kept only by the variant without PH_RULE_RELAY_ONCE. */
	struct ph_held *again;
};

#define PH_RELAY_BUCKETS 4096U

/** A task that runs at an endpoint. */
struct ph_running {
	struct ph_job *job;
	struct ph_endpoint *endpoint;
	struct ph_endpoints *set;
	uint32_t index;
	bool used;
	uint32_t generation;
	uint64_t started_us;
};

/** Per service: its endpoints and its queue. */
struct ph_service_queue {
	struct ph_endpoints *endpoints;
	struct ph_queue *queue;
};

struct ph_core {
	const struct ph_mem *mem;
	struct ph_core_options opt;
	struct ph_roster_member self;
	char domain[PH_NAME_BYTES];
	struct ph_counters counters;
	const struct ph_config *config;
	struct ph_ledger ledger;

	struct ph_roster roster;
	uint64_t roster_seen_us;
	/** Index that the next write may rest on; 0 with !index_known. */
	uint64_t index;
	bool index_known;
	bool reading;
	bool writing;
	uint64_t read_us;
	uint64_t platform_ok_us;
	bool platform_failing;
	/** Nothing may start before the old version is sealed by all. */
	bool active;
	uint64_t lost_seen_us[PH_MAX_LOST];
	uint64_t lost_ids[PH_MAX_LOST];
	uint64_t found_id;
	/** Since when this instance is not in the roster; 0: it is. */
	uint64_t outside_us;
	/** Was removed; hands over what it knows before it joins again. */
	bool retiring;
	uint64_t reviewed_us;
	struct ph_roster proposed;

	struct ph_peer peers[PH_PEERS];
	struct ph_roster foreign[PH_FOREIGN_DOMAINS];
	size_t foreign_count;

	char seeds[PH_SEEDS][PH_ADDR_BYTES];
	size_t seed_count;
	uint64_t seeds_pinged_us;

	uint64_t last_us;
	uint64_t awake_us;
	uint64_t seq;
	uint64_t token;

	struct ph_service_queue *lanes;
	size_t lane_count;
	struct ph_running *running;
	size_t running_cap;
	size_t running_count;
	size_t running_free;

	struct ph_held *held_head;
	struct ph_held *held_tail;
	size_t held_count;
	struct ph_relay *relays[PH_RELAY_BUCKETS];
	size_t relay_count;

	bool stopping;
	uint64_t stop_us;
	bool stopped;
};

static inline bool ph_rule(const struct ph_core *core, enum ph_rule rule)
{
	return !(core->opt.omitted_rules & rule);
}

/* entry_core.c */

/** Notes the time of an input and detects that the process was paused. */
void ph_core_enter(struct ph_core *core, uint64_t now_us);
/** Fills the header and sends. */
void ph_core_send(struct ph_core *core, const char *addr, struct ph_msg *msg);
struct ph_service_queue *ph_core_service_queue(struct ph_core *core,
					       const char *service);

/* entry_peers.c */

void ph_peers_tick(struct ph_core *core, uint64_t now_us);
/** Takes a slot for another instance; NULL if all are in use. */
struct ph_peer *ph_peer_add(struct ph_core *core, uint64_t now_us,
			    const struct ph_roster_member *member);
void ph_peers_heard(struct ph_core *core, uint64_t now_us,
		    const struct ph_msg *msg);
void ph_peers_ping(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg);
void ph_peers_pong(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg);
struct ph_peer *ph_peer_by_incarnation(struct ph_core *core, uint64_t id);
struct ph_peer *ph_peer_by_addr(struct ph_core *core, const char *addr);
uint32_t ph_peer_slot(const struct ph_core *core, const struct ph_peer *peer);
bool ph_peer_silent(const struct ph_core *core, const struct ph_peer *peer,
		    uint64_t now_us);
/** The peer's silence and the platform's outage allow starting alone. */
bool ph_peer_solo(const struct ph_core *core, const struct ph_peer *peer,
		  uint64_t now_us);
void ph_peer_send_ping(struct ph_core *core, uint64_t now_us,
		       struct ph_peer *peer);

/* entry_membership.c */

void ph_membership_tick(struct ph_core *core, uint64_t now_us);
void ph_membership_handed_over(struct ph_core *core, uint64_t now_us,
			       const struct ph_msg *msg);
/** Adopts a roster document if it is newer than the known one. */
void ph_membership_adopt(struct ph_core *core, uint64_t now_us, uint64_t index,
			 const char *doc, size_t len);
int ph_membership_self(const struct ph_core *core);
/** No removed member is unaccounted for. */
bool ph_membership_complete(const struct ph_core *core);
/** Judges again whether the roster is sealed; runs what that allows. */
void ph_membership_check_active(struct ph_core *core, uint64_t now_us);

/* entry_replication.c */

/** Notes that a job's news must reach its other holder. */
void ph_replicate(struct ph_core *core, uint64_t now_us, struct ph_job *job,
		  bool urgent);
/** Notes that one peer must be told a job. */
void ph_replicate_to(struct ph_core *core, uint64_t now_us,
		     struct ph_peer *peer, struct ph_job *job, bool urgent);
void ph_replicate_flush(struct ph_core *core, uint64_t now_us);
/** Notes that something was started, or told, without a silent peer. */
void ph_replicate_note_unreplicated(struct ph_peer *peer);
void ph_replicate_records(struct ph_core *core, uint64_t now_us,
			  const struct ph_msg *msg);
void ph_replicate_ack(struct ph_core *core, uint64_t now_us,
		      const struct ph_msg *msg);
/** Makes everything under way dirty again. */
void ph_replicate_reset(struct ph_core *core, struct ph_peer *peer);
/** Drops all that was to be told to a peer that is gone. */
void ph_replicate_drop(struct ph_core *core, struct ph_peer *peer);
bool ph_replicate_idle(const struct ph_core *core);
/** Marks the whole ledger for its holders under a new roster. */
void ph_replicate_all(struct ph_core *core, uint64_t now_us);

/* entry_dispatch.c */

/** What this instance may do with a job's queued tasks at this time. */
enum ph_start_permission {
	/** Another instance starts them. */
	PH_START_NONE,
	/** Nobody can tell now; wait. */
	PH_START_WAIT,
	/** Start after the copy's acknowledgement. */
	PH_START_WITH_BACKUP,
	/** Start at once. */
	PH_START_SOLO,
};

enum ph_start_permission ph_dispatch_permission(const struct ph_core *core,
						const struct ph_job *job,
						uint64_t now_us,
						struct ph_peer **backup);
/** May this instance start this very task without an acknowledgement? */
bool ph_dispatch_alone_task(const struct ph_core *core,
			    const struct ph_job *job,
			    const struct ph_task *task, uint64_t now_us);
/** Starts what may start now, in all services. */
void ph_dispatch_pump(struct ph_core *core, uint64_t now_us);
/** Starts the bound tasks of a job whose record was acknowledged. */
void ph_dispatch_acked(struct ph_core *core, uint64_t now_us,
		       struct ph_job *job, uint64_t seq);
/** Takes up, gives up or resolves one job, if it is live. */
void ph_dispatch_review_job(struct ph_core *core, uint64_t now_us,
			    struct ph_job *job);
/** Does so with all jobs after a change of rights. */
void ph_dispatch_review(struct ph_core *core, uint64_t now_us);
/** Gives up bindings whose start has not happened. */
void ph_dispatch_unbind(struct ph_core *core, uint64_t now_us,
			struct ph_job *job);
/** Marks all tasks that have not started as not run. */
void ph_dispatch_refuse(struct ph_core *core, struct ph_job *job);
/** Settles a job when all its tasks are final. */
void ph_dispatch_finish(struct ph_core *core, uint64_t now_us,
			struct ph_job *job);
/** Tells the waiters of an ended job, if the answer may be told. */
void ph_dispatch_answer(struct ph_core *core, uint64_t now_us,
			struct ph_job *job);
void ph_dispatch_tick(struct ph_core *core, uint64_t now_us);
void ph_dispatch_release(void *ctx, void *slot);
int ph_dispatch_parse(struct ph_core *core, struct ph_job *job);

/* entry_requests.c */

void ph_requests_message(struct ph_core *core, uint64_t now_us,
			 const struct ph_msg *msg);
void ph_requests_reply(struct ph_core *core, uint64_t now_us,
		       const struct ph_msg *msg);
void ph_requests_tick(struct ph_core *core, uint64_t now_us);
/** Tries held requests again. */
void ph_requests_retry(struct ph_core *core, uint64_t now_us);
/** A target is gone; what was relayed to it is ambiguous. */
void ph_requests_target_gone(struct ph_core *core, uint64_t now_us,
			     const char *addr);
void ph_requests_answer(struct ph_core *core, const struct ph_waiter *waiter,
			int status, const char *doc, size_t len);
/** Gives the answer of an ended job, or says that it was dropped. */
void ph_requests_answer_job(struct ph_core *core,
			    const struct ph_waiter *waiter,
			    const struct ph_job *job);
void ph_requests_pending(struct ph_core *core, const struct ph_waiter *waiter);
/** Moves the waiters of a job that is now served elsewhere. */
void ph_requests_forward_waiters(struct ph_core *core, uint64_t now_us,
				 struct ph_job *job);
void ph_requests_free(struct ph_core *core);

#endif
