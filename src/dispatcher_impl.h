#ifndef PH_DISPATCHER_IMPL_H
#define PH_DISPATCHER_IMPL_H

/* Shared by node.c (the control thread, life), node_peer.c (messages),
 * node_pools.c (pools, membership), node_list.c (the list of executors),
 * node_front.c (callers) and node_report.c (metrics, dump). */

#include <apr_thread_proc.h>

#include "histogram.h"
#include "dispatcher.h"
#include "transport.h"

#define PH_POOL_CALL_SHIFT 48U

struct ph_node_pool {
	char domain[PH_NAME_BYTES];
	struct ph_pool *pool;
};

struct ph_node_domain {
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
	char front[PH_NAME_BYTES];
	uint64_t seq;
	struct ph_result result;
	uint64_t made_us;
	uint64_t sent_us;
};

struct ph_node_counters {
	uint64_t jobs;
	uint64_t hangups;
	/** By enum ph_front_outcome. */
	uint64_t answers[4];
	struct ph_histogram response[4];
};

struct ph_node {
	const struct ph_mem *mem;
	struct ph_node_settings set;
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	const struct ph_node_port *port;
	void *port_ctx;
	apr_pool_t *apr;
	apr_thread_t *thread;
	struct ph_mailbox *box;
	struct ph_transport *transport;
	struct ph_buf frame;

	/* Control thread only. */
	struct ph_members *members;
	struct ph_front *front;
	struct ph_directory *directory;
	struct ph_node_pool *pools;
	/** Failure domains with executors, and their shards. */
	struct ph_node_domain *domains;
	size_t domain_count;
	size_t pool_count;
	struct ph_poolmsg hello;
	struct ph_local *local_head;
	struct ph_local *local_tail;
	struct ph_outcome_due *outcomes;
	struct ph_routing *routing;
	ph_node_parse_fn *parse;
	char *doc;
	size_t doc_len;
	uint64_t config_asked_us;
	/** Heartbeats that are due at once. */
	bool greet_all;
	bool greet_near;
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
	struct ph_node_counters counters;
};

extern const struct ph_members_sink ph_node_members_sink;
extern const struct ph_front_sink ph_node_front_sink;

/* Quiet time in which the last answers leave the process. */
#define PH_NODE_LINGER_US 300000U

/* ## node_peer.c */

/** Sends a message to "ip:port"; one to this instance is queued. */
void ph_node_send(struct ph_node *n, const char *addr, struct ph_poolmsg *msg);
void ph_node_message(struct ph_node *n, struct ph_poolmsg *msg,
		     uint64_t now_us);
/** Handles the queued messages to this instance. */
void ph_node_locals(struct ph_node *n);
/** Tells a batch's outcome until it is acknowledged. */
void ph_node_result(void *ctx, const char *front, uint64_t seq,
		    const struct ph_result *result);
void ph_node_results_tick(struct ph_node *n, uint64_t now_us);

/* ## node_pools.c */

struct ph_node_pool *ph_node_pool(struct ph_node *n, const char *pool);
struct ph_node_domain *ph_node_domain(struct ph_node *n, const char *name);
/** Sees to it that a domain's pools exist. */
void ph_node_grow_shards(struct ph_node *n, struct ph_node_domain *domain,
			 uint32_t shards);
void ph_node_check_fence(struct ph_node *n, struct ph_node_pool *pool,
			 uint64_t now_us);

/* ## node_list.c */

/** Takes a change of the list from another instance of the domain. */
void ph_node_list_changed(struct ph_node *n, const struct ph_poolmsg *msg,
			  uint64_t now_us);
void ph_node_list_tick(struct ph_node *n, uint64_t now_us);

/* ## node.c */

/** Sends heartbeats with the next tick. */
void ph_node_greet(struct ph_node *n, enum ph_greeted whom);

/* ## node_front.c */

/** When a stopping process ends at the latest. */
uint64_t ph_node_end_us(const struct ph_node *n);

#endif
