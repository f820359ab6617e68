#ifndef PH_DISPATCHER_IMPL_H
#define PH_DISPATCHER_IMPL_H

/* Shared by dispatcher.c (the control thread, start and stop),
 * dispatcher_peers.c (messages), dispatcher_pools.c (pools, the cluster),
 * dispatcher_executors.c (the list of executors), dispatcher_evacuation.c
 * (evacuated domains), dispatcher_shards.c (the number of shards of each
 * failure domain), dispatcher_jobs.c (callers) and dispatcher_report.c
 * (metrics, state dump). */

#include <apr_thread_proc.h>

#include "histogram.h"
#include "dispatcher.h"
#include "intern.h"
#include "transport.h"

/* Bits of a call id below the index of its pool. */
#define PH_POOL_CALL_SHIFT 48U

/** The pool of one shard of a failure domain; this instance may own it. */
struct ph_dispatcher_pool {
	/** Name of the shard, which for shard 0 is that of the domain. */
	const char *name;
	struct ph_pool *pool;
};

/** A failure domain that has or had executors, instances or a number of shards
 * in the store. */
struct ph_dispatcher_domain {
	const char *name;
	struct ph_shard_plan plan;
	/** Number of its pools. One whose shard is beyond the plan's number has
	 * no executors. */
	uint32_t pools;
};

/** A queued message from this instance to itself. */
struct ph_local_message {
	struct ph_local_message *next;
	struct ph_poolmsg msg;
};

/** A result of a batch that the submitting instance has not acknowledged. */
struct ph_unacked_result {
	struct ph_unacked_result *next;
	const char *submitter;
	uint64_t seq;
	struct ph_result result;
	uint64_t created_us;
	uint64_t sent_us;
};

struct ph_dispatcher_counters {
	uint64_t jobs;
	uint64_t disconnects;
	/** Answers of the platform that couldn't be decoded. */
	uint64_t unreadable;
	/** Connections to peers that were replaced, by enum ph_link_doubt. */
	uint64_t renewed[PH_LINK_DOUBTS];
	/** Heartbeats that could not tell all starts which may still be carried
	 * out. */
	uint64_t incomplete_start_reports;
	/** Proposed numbers of shards, by enum ph_shards_outcome. */
	uint64_t shards_proposed[PH_SHARDS_OUTCOMES];
	/** Entries of the last list of executors that were skipped. */
	size_t skipped;
	/** Answers and response times, by enum ph_job_outcome. */
	uint64_t answers[4];
	struct ph_histogram response[4];
};

struct ph_dispatcher {
	const struct ph_mem *mem;
	struct ph_dispatcher_settings settings;
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	/** See startup.h. */
	uint64_t startup_end_us;
	const struct ph_dispatcher_platform *platform;
	void *platform_ctx;
	apr_pool_t *apr;
	apr_thread_t *thread;
	struct ph_mailbox *box;
	struct ph_transport *transport;
	/** Buffer for encoding a message. */
	struct ph_buf frame;

	/* Control thread only. */
	struct ph_cluster *cluster;
	struct ph_submitter *submitter;
	struct ph_directory *directory;
	/** Of all pools. */
	struct ph_crashes *crashes;
	/** The evacuated domains. */
	struct ph_evacuation evacuation;
	struct ph_dispatcher_pool *pools;
	struct ph_dispatcher_domain *domains;
	size_t domain_count;
	size_t pool_count;
	/** Buffer for building a heartbeat. */
	struct ph_poolmsg heartbeat;
	struct ph_local_message *local_head;
	struct ph_local_message *local_tail;
	struct ph_unacked_result *unacked_results;
	struct ph_routing *routing;
	ph_dispatcher_parse_fn *parse;
	/** Document of the configuration in force, as sent to peers. */
	char *doc;
	size_t doc_len;
	uint64_t config_requested_us;
	/** Heartbeats that the next tick has to send. */
	bool heartbeat_all_due;
	bool heartbeat_domain_due;
	/** When the list of executors was last split over the pools, and
	 * whether a pool still has executors that are no longer listed. */
	uint64_t list_split_us;
	bool has_unlisted_executors;
	bool stopping;
	uint64_t stop_us;
	/** Last time while stopping that a pool was owned or a job or request
	 * was open. */
	uint64_t busy_us;
	/** Last time that the control thread woke up. */
	uint64_t last_wakeup_us;
	uint64_t last_tick_us;
	/** Time that the system was suspended, as read at the last wake-up. */
	uint64_t suspended_us;
	struct ph_dispatcher_counters counters;
};

extern const struct ph_cluster_sink ph_dispatcher_cluster_sink;
extern const struct ph_submitter_sink ph_dispatcher_submitter_sink;

/* Time without open jobs or requests before the process exits, so that the last
 * answers are sent. */
#define PH_DISPATCHER_LINGER_US 300000U

/* ## dispatcher_peers.c */

/** Fills in the sender and sends a message to "ip:port"; one to this instance
 * itself is queued. */
void ph_dispatcher_send(struct ph_dispatcher *d, const char *addr,
			struct ph_poolmsg *msg);
/** Handles a message; takes its batch request, if any, from it. */
void ph_dispatcher_message(struct ph_dispatcher *d, struct ph_poolmsg *msg,
			   uint64_t now_us);
/** Handles the queued messages to this instance. */
void ph_dispatcher_handle_local_messages(struct ph_dispatcher *d);
/** Tells a submitter that its batch is accepted, and which starts of it may
 * still be carried out; ctx is the dispatcher. */
void ph_dispatcher_send_accepted(void *ctx, const char *submitter, uint64_t seq,
				 const struct ph_unconfirmed *starts);
/** Sends the result of a batch to its submitter, again and again until it is
 * acknowledged; ctx is the dispatcher. */
void ph_dispatcher_send_result(void *ctx, const char *submitter, uint64_t seq,
			       const struct ph_result *result);
/** Sends unacknowledged results again when due, and drops old ones. */
void ph_dispatcher_resend_results(struct ph_dispatcher *d, uint64_t now_us);

/* ## dispatcher_pools.c */

/** Finds a pool by name; NULL if there is none. */
struct ph_dispatcher_pool *ph_dispatcher_pool(struct ph_dispatcher *d,
					      const char *pool);
/** Finds a failure domain by name, or adds it without shards. The pointer is
 * valid until the next addition. */
struct ph_dispatcher_domain *ph_dispatcher_domain(struct ph_dispatcher *d,
						  const char *name);
/** Creates the pools of a domain up to its number of shards. */
void ph_dispatcher_create_pools(struct ph_dispatcher *d,
				struct ph_dispatcher_domain *domain);
/** Reports to the cluster if an executor has refused this instance's token of
 * an owned pool. */
void ph_dispatcher_check_fence(struct ph_dispatcher *d,
			       struct ph_dispatcher_pool *pool,
			       uint64_t now_us);
/** Lets a pool poll its executors once the owner before has released it. */
void ph_dispatcher_check_hand_over(struct ph_dispatcher *d,
				   struct ph_dispatcher_pool *pool,
				   uint64_t now_us);
/** Has a pool start nothing, and renew no leases, for batches that their
 * submitters may have resumed elsewhere. */
void ph_dispatcher_check_submitters(struct ph_dispatcher *d,
				    struct ph_pool *pool, uint64_t now_us);

/* ## dispatcher_evacuation.c */

/** Handles the revision of evacuations in a peer's heartbeat. */
void ph_dispatcher_evacuation_heartbeat(struct ph_dispatcher *d,
					const struct ph_poolmsg *heartbeat,
					uint64_t now_us);
/** Answers a request for the view of the evacuations. */
void ph_dispatcher_evacuation_requested(struct ph_dispatcher *d,
					const struct ph_poolmsg *msg,
					uint64_t now_us);
/** Handles a peer's view of the evacuations. */
void ph_dispatcher_evacuation_received(struct ph_dispatcher *d,
				       const struct ph_poolmsg *msg,
				       uint64_t now_us);
/** Appends the metrics of evacuations. */
void ph_dispatcher_evacuation_metrics(struct ph_dispatcher *d,
				      struct ph_buf *out);
/** Writes the state of evacuations to the log. */
void ph_dispatcher_evacuation_dump(struct ph_dispatcher *d, uint64_t now_us);

/* ## dispatcher_executors.c */

/** Applies a change of the list of executors that another instance sent. */
void ph_dispatcher_list_changed(struct ph_dispatcher *d,
				const struct ph_poolmsg *msg, uint64_t now_us);
/** Tells the pools how old the list is, and splits it again when due, until no
 * pool has unlisted executors. */
void ph_dispatcher_list_tick(struct ph_dispatcher *d, uint64_t now_us);
/** Gives each pool its executors by their failure domain and shard. */
void ph_dispatcher_split_list(struct ph_dispatcher *d, uint64_t now_us);

/* ## dispatcher_shards.c */

/** Notes the number of executors of a domain in a new list. */
void ph_dispatcher_shards_list(struct ph_dispatcher *d,
			       struct ph_dispatcher_domain *domain,
			       uint64_t now_us, uint32_t executors);
/** Takes over the number of shards in a heartbeat, if it has precedence. The
 * instances of a domain are the first to know of new shards. */
void ph_dispatcher_shards_heard(struct ph_dispatcher *d,
				const struct ph_poolmsg *heartbeat,
				uint64_t now_us);
/** Computes numbers of shards that have not become known in time. */
void ph_dispatcher_shards_tick(struct ph_dispatcher *d, uint64_t now_us);
void ph_dispatcher_shards_metrics(const struct ph_dispatcher *d,
				  struct ph_buf *out);

/* ## dispatcher.c */

/** Has the next tick send heartbeats. */
void ph_dispatcher_heartbeat_soon(struct ph_dispatcher *d,
				  enum ph_heartbeat_scope scope);

/* ## dispatcher_jobs.c */

/** When a stopping process ends all open jobs. */
uint64_t ph_dispatcher_stop_deadline_us(const struct ph_dispatcher *d);

#endif
