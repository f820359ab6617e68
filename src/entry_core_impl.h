#ifndef PH_ENTRY_CORE_IMPL_H
#define PH_ENTRY_CORE_IMPL_H

/* State and functions that the core's source files share; for these only. */

#include "entry_core.h"
#include "ident.h"
#include "ledger.h"

#define PH_MAX_PEERS 16U
#define PH_MAX_FOREIGN_DOMAINS 16U
#define PH_MAX_SEEDS 16U
#define PH_MAX_HELD_REQUESTS 100000U
#define PH_KEY_BYTES (PH_NAME_BYTES + PH_ID_BYTES)

/** State of a peer's process. */
enum ph_liveness {
	PH_ALIVE = 0,
	/** Dead; it can't have started tasks solo before. */
	PH_DEAD_CLEAN,
	/** Dead; it may have started tasks of which no record is left. */
	PH_DEAD_UNACCOUNTED,
};

/** Jobs whose records must be sent to one peer, in batches; the next batch is
 * sent after the acknowledgement of the one before. */
struct ph_outbox {
	/** Jobs with unsent changes, oldest first. */
	struct ph_job **dirty;
	size_t count;
	size_t cap;
	/** Jobs of the batch that awaits its acknowledgement. */
	struct ph_job **batch;
	size_t batch_count;
	/** Sequence number of that batch; 0: none. */
	uint64_t seq;
	uint64_t sent_us;
	/** Sends without the batching delay: a start or an answer waits for the
	 * acknowledgement. */
	bool urgent;
	/** When the oldest unsent change was queued. */
	uint64_t oldest_us;
};

/** Another instance of the own failure domain. */
struct ph_peer {
	bool used;
	enum ph_liveness liveness;
	/** Its entry in the roster; for non-members as their messages say. */
	struct ph_roster_member member;
	uint64_t added_us;
	/** Arrival of its last message; 0: none yet. */
	uint64_t heard_us;
	/** Last heartbeat sent to it. */
	uint64_t pinged_us;
	/** When the latest heartbeat that it has answered was sent. */
	uint64_t ponged_us;
	/** When the connection to it was last replaced, and how often since it
	 * last answered. */
	uint64_t renewed_us;
	uint32_t renewals;
	/** Before this time, by its own promise, it neither starts tasks solo
	 * nor removes this instance from the roster. */
	uint64_t no_solo_until_us;
	/** Roster version as of which the peer has sent all its records to this
	 * instance. */
	uint64_t synced_to_me;
	/** Roster version as of which this instance has sent all its records to
	 * the peer. */
	uint64_t synced_by_me;
	/** Last roster or hand-over message sent to it. */
	uint64_t roster_sent_us;
	/** It was silent at the last tick. */
	bool was_silent;
	/** This instance started tasks or sent answers without the peer's
	 * acknowledgement and has not replicated them to it yet. */
	bool unreplicated;
	struct ph_outbox out;
};

/** A request held until an instance that may serve it can be reached. */
struct ph_held_request {
	struct ph_held_request *next;
	struct ph_waiter origin;
	uint64_t since_us;
	/** Roster version at the request's arrival. */
	uint64_t version;
	/** Number of instances that have relayed it. */
	uint32_t hops;
	/** Its strings point to the members below. */
	struct ph_request request;
	char team[PH_NAME_BYTES];
	char service[PH_NAME_BYTES];
	char id[PH_ID_BYTES];
	char *body;
};

/** A request that was relayed to another instance and awaits the reply. */
struct ph_relay {
	/** Next in the hash bucket. */
	struct ph_relay *chain;
	/** Identifies the relay in its reply. */
	uint64_t token;
	struct ph_waiter origin;
	char target[PH_ADDR_BYTES];
	uint64_t sent_us;
	/** Request to relay again if the target is lost; NULL unless a test
	 * omits PH_RULE_RELAY_ONCE. */
	struct ph_held_request *retry_request;
};

#define PH_RELAY_BUCKETS 4096U

/** A task that was sent to an endpoint and has no outcome yet. */
struct ph_running_task {
	struct ph_job *job;
	struct ph_endpoint *endpoint;
	struct ph_endpoints *set;
	uint32_t index;
	bool used;
	/** Counts the uses of this entry; a part of the start id, so that a
	 * late outcome can't match a later task. */
	uint32_t generation;
	uint64_t started_us;
};

/** The endpoints of a service and the queue of its jobs. */
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

	/** Newest known roster of the own domain; version 0: none. */
	struct ph_roster roster;
	uint64_t roster_seen_us;
	/** Modification index for the next roster write; 0: none is stored. */
	uint64_t index;
	/** The index belongs to the roster above; unset after each write. */
	bool index_known;
	/** A roster read is in progress. */
	bool reading;
	/** A roster write is in progress. */
	bool writing;
	/** Start of the last roster read; 0: read without delay. */
	uint64_t read_us;
	/** Last successful roster read. */
	uint64_t platform_ok_us;
	/** The last roster read failed, or a write with an unknown result. */
	bool platform_failing;
	/** The failure domain is evacuated: no task starts. */
	bool evacuated;
	/** State transfer for the present roster is complete: tasks may start
	 * and new jobs are accepted. */
	bool active;
	/** When each incarnation of lost_ids was first seen as lost. */
	uint64_t lost_since_us[PH_MAX_LOST];
	/** The roster's lost list. */
	uint64_t lost_ids[PH_MAX_LOST];
	/** Removed member that has reported a complete hand-over; 0: none. */
	uint64_t handed_over_id;
	/** When this instance ceased to be a member, or the start of the
	 * process; 0: it is a member. */
	uint64_t non_member_since_us;
	/** This instance was removed from the roster; it hands over its records
	 * before it joins again. */
	bool retiring;
	/** Last review of all jobs. */
	uint64_t reviewed_us;
	/** Roster that the last write proposed. */
	struct ph_roster proposed;

	struct ph_peer peers[PH_MAX_PEERS];
	/** Rosters of other failure domains. */
	struct ph_roster foreign[PH_MAX_FOREIGN_DOMAINS];
	size_t foreign_count;

	char seeds[PH_MAX_SEEDS][PH_ADDR_BYTES];
	size_t seed_count;
	uint64_t seeds_pinged_us;

	/** Latest time passed with an input. */
	uint64_t last_input_us;
	/** End of the last pause of the process, at first its start. */
	uint64_t resumed_us;
	/** Last sequence number of a batch of records. */
	uint64_t seq;
	/** Last token of a relay. */
	uint64_t token;

	struct ph_service_queue *service_queues;
	size_t service_queue_count;
	struct ph_running_task *running;
	size_t running_cap;
	size_t running_count;
	/** Entry at which the search for an unused one begins. */
	size_t running_free_hint;

	struct ph_held_request *held_head;
	struct ph_held_request *held_tail;
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

/** Records the time of an input and detects a pause of the process. */
void ph_core_enter(struct ph_core *core, uint64_t now_us);
/** Fills in the sender's fields of a message and sends it. */
void ph_core_send(struct ph_core *core, const char *addr, struct ph_msg *msg);
/** Returns the queue of a service, which is created if there is none; valid
 * until another one is created. */
struct ph_service_queue *ph_core_service_queue(struct ph_core *core,
					       const char *service);

/* entry_peers.c */

/** Sends heartbeats that are due and detects peers that fell silent. */
void ph_peers_tick(struct ph_core *core, uint64_t now_us);
/** Allocates a peer slot for an instance; NULL if all are in use. */
struct ph_peer *ph_peer_add(struct ph_core *core, uint64_t now_us,
			    const struct ph_roster_member *member);
/** Records that a message came from its sender; creates the sender's peer, and
 * sends it the roster if it has an older one. */
void ph_peers_heard(struct ph_core *core, uint64_t now_us,
		    const struct ph_msg *msg);
void ph_peers_ping(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg);
void ph_peers_pong(struct ph_core *core, uint64_t now_us,
		   const struct ph_msg *msg);
struct ph_peer *ph_peer_by_incarnation(struct ph_core *core, uint64_t id);
/** Finds the live peer at "ip:port", or returns NULL. */
struct ph_peer *ph_peer_by_addr(struct ph_core *core, const char *addr);
/** Index of a peer, and number of its bit in a job's peer masks. */
uint32_t ph_peer_slot(const struct ph_core *core, const struct ph_peer *peer);
/** True if nothing came from the peer for suspect_after_us. */
bool ph_peer_silent(const struct ph_core *core, const struct ph_peer *peer,
		    uint64_t now_us);
/** True if neither the peer nor the platform has answered for solo_after_us, so
 * that tasks may start without the peer's acknowledgement. */
bool ph_peer_solo_allowed(const struct ph_core *core,
			  const struct ph_peer *peer, uint64_t now_us);
void ph_peer_send_ping(struct ph_core *core, uint64_t now_us,
		       struct ph_peer *peer);

/* entry_membership.c */

void ph_membership_tick(struct ph_core *core, uint64_t now_us);
/** Handles a removed member's report that all its records are replicated. */
void ph_membership_handed_over(struct ph_core *core, uint64_t now_us,
			       const struct ph_msg *msg);
/** Applies a roster document of any domain if its version is newer than the
 * known one. An index of 0 means that it didn't come from the platform. */
void ph_membership_apply_roster(struct ph_core *core, uint64_t now_us,
				uint64_t index, const char *doc, size_t len);
/** Index of this instance in the roster, or -1. */
int ph_membership_self(const struct ph_core *core);
/** True if no removed member is unaccounted for. */
bool ph_membership_all_accounted_for(const struct ph_core *core);
/** Checks whether state transfer for the present roster is complete; if so,
 * starts the tasks and serves the requests that were waiting for it. */
void ph_membership_check_active(struct ph_core *core, uint64_t now_us);

/* entry_replication.c */

/** Queues a job's record for its other holder; urgent: without the batching
 * delay. */
void ph_replicate(struct ph_core *core, uint64_t now_us, struct ph_job *job,
		  bool urgent);
/** Queues a job's record for one peer. */
void ph_replicate_to(struct ph_core *core, uint64_t now_us,
		     struct ph_peer *peer, struct ph_job *job, bool urgent);
/** Sends the batches that are due, and resends those without an
 * acknowledgement. */
void ph_replicate_flush(struct ph_core *core, uint64_t now_us);
/** Marks that a task was started, or an answer sent, without the peer's
 * acknowledgement; peer may be NULL. */
void ph_replicate_note_unreplicated(struct ph_peer *peer);
/** Merges a batch of records into the ledger and acknowledges it. */
void ph_replicate_records(struct ph_core *core, uint64_t now_us,
			  const struct ph_msg *msg);
/** Handles the acknowledgement of a batch, or its refusal. */
void ph_replicate_ack(struct ph_core *core, uint64_t now_us,
		      const struct ph_msg *msg);
/** Queues the jobs of the unacknowledged batch again. */
void ph_replicate_reset(struct ph_core *core, struct ph_peer *peer);
/** Discards the outbox of a peer that is dead or no longer a member. */
void ph_replicate_drop(struct ph_core *core, struct ph_peer *peer);
/** True if the outboxes of all live peers are empty. */
bool ph_replicate_idle(const struct ph_core *core);
/** Queues every job for its holders under a new roster, unless they have its
 * newest state. */
void ph_replicate_all(struct ph_core *core, uint64_t now_us);

/* entry_dispatch.c */

/** What this instance may do with a job's queued tasks at present. */
enum ph_start_permission {
	/** Nothing: another instance starts them. */
	PH_START_NONE,
	/** Nothing yet: it isn't known whether another instance may have
	 * started them. */
	PH_START_WAIT,
	/** Start them after the backup's acknowledgement. */
	PH_START_WITH_BACKUP,
	/** Start them without an acknowledgement. */
	PH_START_SOLO,
};

/** Returns the permission and, if backup isn't NULL, sets it to the job's other
 * holder, or to NULL if there is none whose acknowledgement counts. */
enum ph_start_permission ph_dispatch_permission(const struct ph_core *core,
						const struct ph_job *job,
						uint64_t now_us,
						struct ph_peer **backup);
/** True if this instance may start the task without an acknowledgement. */
bool ph_dispatch_may_start_solo(const struct ph_core *core,
				const struct ph_job *job,
				const struct ph_task *task, uint64_t now_us);
/** Starts the queued tasks of all services that have a free slot. */
void ph_dispatch_start_queued(struct ph_core *core, uint64_t now_us);
/** Starts the bound tasks of a job whose record with this sequence number was
 * acknowledged; sends the answer if the job has ended. */
void ph_dispatch_record_acked(struct ph_core *core, uint64_t now_us,
			      struct ph_job *job, uint64_t seq);
/** Applies the present start permission to a live job: queues its tasks, hands
 * it to another instance, or determines its outcome. */
void ph_dispatch_review_job(struct ph_core *core, uint64_t now_us,
			    struct ph_job *job);
/** Does so with all live jobs; for changes of roster or peers. */
void ph_dispatch_review(struct ph_core *core, uint64_t now_us);
/** Returns the bound tasks of a job, which have not started, to the queued
 * state and releases their slots. */
void ph_dispatch_unbind(struct ph_core *core, uint64_t now_us,
			struct ph_job *job);
/** Marks all tasks that have not started as not run. */
void ph_dispatch_mark_not_run(struct ph_core *core, struct ph_job *job);
/** Builds the answer of a job whose tasks are all final and sends it to the
 * waiters; if another instance serves the job, only sends it the record. */
void ph_dispatch_finish(struct ph_core *core, uint64_t now_us,
			struct ph_job *job);
/** Sends the answer of an ended job to its waiters, unless a not-run in it
 * must first be recorded at the backup or can still be overruled. */
void ph_dispatch_send_answer(struct ph_core *core, uint64_t now_us,
			     struct ph_job *job);
/** Starts tasks and, at intervals, reviews and expires jobs. */
void ph_dispatch_tick(struct ph_core *core, uint64_t now_us);
/** Releases an endpoint slot of a bound task; a callback of ph_job_merge. */
void ph_dispatch_release_slot(void *ctx, void *slot);
/** Parses a live job's body if that is not done yet; returns 0 or an error. */
int ph_dispatch_parse(struct ph_core *core, struct ph_job *job);

/* entry_requests.c */

/** Handles a request that another instance relayed. */
void ph_requests_message(struct ph_core *core, uint64_t now_us,
			 const struct ph_msg *msg);
/** Passes the reply to a relayed request on to its origin. */
void ph_requests_reply(struct ph_core *core, uint64_t now_us,
		       const struct ph_msg *msg);
void ph_requests_tick(struct ph_core *core, uint64_t now_us);
/** Routes the held requests again; answers those held for hold_us. */
void ph_requests_retry(struct ph_core *core, uint64_t now_us);
/** Ends the relays to an address that was lost; their origins get the pending
 * answer, as the outcome is unknown. */
void ph_requests_target_lost(struct ph_core *core, uint64_t now_us,
			     const char *addr);
/** Answers a local caller or a relaying instance with an HTTP status and a JSON
 * document. */
void ph_requests_answer(struct ph_core *core, const struct ph_waiter *waiter,
			int status, const char *doc, size_t len);
/** Answers with the result of an ended job, or that it was dropped. */
void ph_requests_answer_job(struct ph_core *core,
			    const struct ph_waiter *waiter,
			    const struct ph_job *job);
/** Answers with status 503: the outcome is unknown here, ask or submit again.
 */
void ph_requests_answer_pending(struct ph_core *core,
				const struct ph_waiter *waiter);
/** Relays the waiters of a job to the instance that serves it now. */
void ph_requests_forward_waiters(struct ph_core *core, uint64_t now_us,
				 struct ph_job *job);
/** Frees the held requests and the relays. */
void ph_requests_free(struct ph_core *core);

#endif
