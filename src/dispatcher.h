#ifndef PH_DISPATCHER_H
#define PH_DISPATCHER_H

/*
 * An entry instance on a platform: its front, its pools and its membership
 * on one control thread, bound to peers here and to the platform through a
 * table of calls. Functions without "any thread" are for the control thread.
 */

#include "clock.h"
#include "directory.h"
#include "submitter.h"
#include "routing.h"

struct ph_dispatcher;

/** What the platform's adapter does for the node, on the control thread. */
struct ph_dispatcher_port {
	void (*poll)(void *ctx, const struct ph_poll *poll);
	void (*start)(void *ctx, const struct ph_run_command *order);
	void (*stop)(void *ctx, const struct ph_run_command *order);
	/** Answers the caller's request that token names. */
	void (*answer)(void *ctx, uint64_t token, enum ph_job_outcome outcome,
		       uint64_t retry_after_us);
	/** Every turn of the control thread: reads that are due, hang-ups. */
	void (*tick)(void *ctx, uint64_t now_us);
	/** Requests that are not answered yet. */
	size_t (*open_requests)(void *ctx);
};

struct ph_dispatcher_settings {
	const char *name;
	const char *domain;
	/** IP number and port for peers. */
	const char *address;
	uint16_t peer_port;
	/** "ip:port" that peers dial; empty means address and peer_port. */
	const char *advertise;
	/** "ip:port,..." of instances to ask at the start. */
	const char *seeds;
	/** Share of a core that this instance may use, in thousandths. */
	uint32_t cpu_milli;
	uint64_t heartbeat_us;
	uint64_t suspect_us;
	uint64_t lease_us;
	/** Longest time that an executor takes to stop a run. */
	uint64_t stop_us;
	/** Time to end in after a request to stop. */
	uint64_t grace_us;
	/** Time for the balancer to notice that the instance isn't ready. */
	uint64_t notice_us;
	/** Age of the list of executors from which on it is read anew. */
	uint64_t list_age_us;
};

/** Binds the peers' port; nothing is decided before ph_dispatcher_run(). */
int ph_dispatcher_start(const struct ph_mem *mem,
			const struct ph_dispatcher_settings *settings,
			const struct ph_dispatcher_port *port, void *port_ctx,
			struct ph_dispatcher **node);

/** Starts the control thread. */
void ph_dispatcher_run(struct ph_dispatcher *node);

/** Requests a graceful stop; any thread. */
void ph_dispatcher_stop(struct ph_dispatcher *node);
/** Requests a dump of the state to the log; any thread. */
void ph_dispatcher_dump(struct ph_dispatcher *node);
/** Waits for the end of a requested stop; the sockets stay open. */
void ph_dispatcher_join(struct ph_dispatcher *node);
void ph_dispatcher_free(struct ph_dispatcher *node);

/** Runs a function on the control thread; any thread. */
void ph_dispatcher_post(struct ph_dispatcher *node,
			void (*run)(void *arg, uint64_t now_us), void *arg);

/* ## From the adapter */

/** Offers a configuration as read; takes it over. doc is kept for peers. */
void ph_dispatcher_offer_routing(struct ph_dispatcher *node,
				 struct ph_routing *routing, const char *doc,
				 size_t len);
/** Reads a configuration that came from a peer; set by the adapter. */
typedef struct ph_routing *ph_dispatcher_parse_fn(const struct ph_mem *mem,
						  const char *doc, size_t len);
void ph_dispatcher_set_parser(struct ph_dispatcher *node,
			      ph_dispatcher_parse_fn *parse);

/** True if this instance is to read the platform's list of executors now. */
bool ph_dispatcher_wants_list(struct ph_dispatcher *node, uint64_t now_us);
void ph_dispatcher_executors(struct ph_dispatcher *node, uint64_t now_us,
			     uint64_t asked_us,
			     const struct ph_executor_info *list, size_t count);
void ph_dispatcher_executors_failed(struct ph_dispatcher *node,
				    uint64_t now_us);
void ph_dispatcher_contact(struct ph_dispatcher *node, const char *addr);

/** Routes in force, or NULL. */
const struct ph_routing *
ph_dispatcher_routing(const struct ph_dispatcher *node);
/** True if the balancer may send new connections. */
bool ph_dispatcher_ready(const struct ph_dispatcher *node);
bool ph_dispatcher_stopping(const struct ph_dispatcher *node);

void ph_dispatcher_submit(struct ph_dispatcher *node, uint64_t now_us,
			  uint64_t token, struct ph_batch_request *work);
void ph_dispatcher_caller_disconnected(struct ph_dispatcher *node,
				       uint64_t now_us, uint64_t token);
void ph_dispatcher_poll_done(struct ph_dispatcher *node, uint64_t now_us,
			     uint64_t call_id,
			     const struct ph_poll_reply *reply);
void ph_dispatcher_command_done(struct ph_dispatcher *node, uint64_t now_us,
				uint64_t call_id, bool stop,
				const struct ph_run_command_reply *reply);

/** Writes counters and histograms as text for a metrics collector. */
void ph_dispatcher_metrics(struct ph_dispatcher *node, uint64_t now_us,
			   struct ph_buf *out);

#endif
