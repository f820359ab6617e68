#ifndef PH_DISPATCHER_IMPL_H
#define PH_DISPATCHER_IMPL_H

/* Shared by dispatcher.c (the control thread, life), dispatcher_peers.c
 * (messages), dispatcher_pools.c (pools, membership), dispatcher_executors.c
 * (the list of executors), dispatcher_jobs.c (callers) and dispatcher_report.c
 * (metrics, dump). */

#include <apr_thread_proc.h>

#include "histogram.h"
#include "dispatcher.h"
#include "transport.h"

#define PH_POOL_CALL_SHIFT 48U

struct ph_dispatcher_pool {
	char domain[PH_NAME_BYTES];
	struct ph_pool *pool;
};

struct ph_dispatcher_domain {
	char name[PH_NAME_BYTES];
	uint32_t executors;
	uint32_t shards;
};

/** A message from this instance to itself. */
struct ph_local {
	struct ph_local *next;
	struct ph_poolmsg msg;
};

/** An outcome that the submitting instance has not acknowledged. */
struct ph_outcome_due {
	struct ph_outcome_due *next;
	char submitter[PH_NAME_BYTES];
	uint64_t seq;
	struct ph_result result;
	uint64_t made_us;
	uint64_t sent_us;
};

struct ph_dispatcher_counters {
	uint64_t jobs;
	uint64_t disconnects;
	/** By enum ph_job_outcome. */
	uint64_t answers[4];
	struct ph_histogram response[4];
};

struct ph_dispatcher {
	const struct ph_mem *mem;
	struct ph_dispatcher_settings set;
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	const struct ph_dispatcher_port *port;
	void *port_ctx;
	apr_pool_t *apr;
	apr_thread_t *thread;
	struct ph_mailbox *box;
	struct ph_transport *transport;
	struct ph_buf frame;

	/* Control thread only. */
	struct ph_cluster *members;
	struct ph_submitter *submitter;
	struct ph_directory *directory;
	struct ph_dispatcher_pool *pools;
	/** Failure domains with executors, and their shards. */
	struct ph_dispatcher_domain *domains;
	size_t domain_count;
	size_t pool_count;
	struct ph_poolmsg hello;
	struct ph_local *local_head;
	struct ph_local *local_tail;
	struct ph_outcome_due *outcomes;
	struct ph_routing *routing;
	ph_dispatcher_parse_fn *parse;
	char *doc;
	size_t doc_len;
	uint64_t config_asked_us;
	/** Heartbeats that are due at once. */
	bool heartbeat_all_due;
	bool heartbeat_domain_due;
	/** When the list was split over the pools, and whether some of them
	 * still have executors that left it. */
	uint64_t shared_us;
	bool unlisted_left;
	bool stopping;
	uint64_t stop_us;
	/** Last time that something was under way while stopping. */
	uint64_t busy_us;
	uint64_t ticked_us;
	uint64_t worked_us;
	uint64_t suspended_us;
	struct ph_dispatcher_counters counters;
};

extern const struct ph_cluster_sink ph_dispatcher_cluster_sink;
extern const struct ph_submitter_sink ph_dispatcher_submitter_sink;

/* Quiet time in which the last answers leave the process. */
#define PH_DISPATCHER_LINGER_US 300000U

/* ## dispatcher_peers.c */

/** Sends a message to "ip:port"; one to this instance is queued. */
void ph_dispatcher_send(struct ph_dispatcher *n, const char *addr,
			struct ph_poolmsg *msg);
void ph_dispatcher_message(struct ph_dispatcher *n, struct ph_poolmsg *msg,
			   uint64_t now_us);
/** Handles the queued messages to this instance. */
void ph_dispatcher_locals(struct ph_dispatcher *n);
/** Tells a batch's outcome until it is acknowledged. */
void ph_dispatcher_result(void *ctx, const char *submitter, uint64_t seq,
			  const struct ph_result *result);
void ph_dispatcher_results_tick(struct ph_dispatcher *n, uint64_t now_us);

/* ## dispatcher_pools.c */

struct ph_dispatcher_pool *ph_dispatcher_pool(struct ph_dispatcher *n,
					      const char *pool);
struct ph_dispatcher_domain *ph_dispatcher_domain(struct ph_dispatcher *n,
						  const char *name);
/** Sees to it that a domain's pools exist. */
void ph_dispatcher_grow_shards(struct ph_dispatcher *n,
			       struct ph_dispatcher_domain *domain,
			       uint32_t shards);
void ph_dispatcher_check_fence(struct ph_dispatcher *n,
			       struct ph_dispatcher_pool *pool,
			       uint64_t now_us);

/* ## dispatcher_executors.c */

/** Takes a change of the list from another instance of the domain. */
void ph_dispatcher_list_changed(struct ph_dispatcher *n,
				const struct ph_poolmsg *msg, uint64_t now_us);
void ph_dispatcher_list_tick(struct ph_dispatcher *n, uint64_t now_us);

/* ## dispatcher.c */

/** Sends heartbeats with the next tick. */
void ph_dispatcher_heartbeat_soon(struct ph_dispatcher *n,
				  enum ph_heartbeat_scope whom);

/* ## dispatcher_jobs.c */

/** When a stopping process ends at the latest. */
uint64_t ph_dispatcher_end_us(const struct ph_dispatcher *n);

#endif
