#ifndef PH_DISPATCHER_H
#define PH_DISPATCHER_H

/*
 * A dispatcher: one instance of the entry on a platform. Its submitter, its
 * pools and its view of the cluster run on one control thread. Messages to
 * other instances are handled here; the platform is reached through callbacks.
 * Functions are for the control thread unless marked "any thread".
 */

#include "clock.h"
#include "directory.h"
#include "submitter.h"
#include "routing.h"
#include "shard_plan.h"

struct ph_dispatcher;

/** Callbacks into the platform's adapter, called on the control thread. */
struct ph_dispatcher_platform {
	/** Sends a poll to an executor; ph_dispatcher_poll_done() gets the
	 * reply. */
	void (*poll)(void *ctx, const struct ph_poll *poll);
	/** Send a run command to an executor; ph_dispatcher_command_done() gets
	 * the reply. */
	void (*start)(void *ctx, const struct ph_run_command *command);
	void (*stop)(void *ctx, const struct ph_run_command *command);
	/** Answers the caller's request that token names. retry_after_us is 0
	 * unless the outcome is PH_JOB_NOT_RUN. */
	void (*answer)(void *ctx, uint64_t token, enum ph_job_outcome outcome,
		       uint64_t retry_after_us);
	/** Whether that caller is still connected; it may hang up while its
	 * request is unread. */
	bool (*caller_connected)(void *ctx, uint64_t token);
	/** Called on every tick of the control thread, for the adapter's timers
	 * and for callers that disconnected. */
	void (*tick)(void *ctx, uint64_t now_us);
	/** Number of callers' requests that are not answered yet. */
	size_t (*open_requests)(void *ctx);
};

struct ph_dispatcher_settings {
	const char *name;
	const char *domain;
	/** IP address and port that accept connections from other instances. */
	const char *address;
	uint16_t peer_port;
	/** "ip:port" at which other instances connect; NULL or empty:
	 * address and peer_port. */
	const char *advertise;
	/** "ip:port,..." of instances that get heartbeats from the start. */
	const char *seeds;
	/** CPU that this instance may use, in millicores. */
	uint32_t cpu_milli;
	uint64_t heartbeat_us;
	/** Time without a heartbeat after which a peer counts as dead. */
	uint64_t suspect_us;
	/** Lease of runs on executors. */
	uint64_t lease_us;
	/** Longest time that an executor takes to stop a run. */
	uint64_t stop_us;
	/** Time from the request to stop until the process has to exit. */
	uint64_t grace_us;
	/** Time in which the load balancer notices that the instance is not
	 * ready; the process does not exit before unless its grace time ends.
	 */
	uint64_t unready_notice_us;
	/** Age of the list of executors at which this instance reads it itself,
	 * although another reads it for the domain. */
	uint64_t list_age_us;
	/** What an experiment has switched off. */
	struct ph_mechanisms_off off;
};

/** Creates a dispatcher and binds the port for its peers. The strings in
 * settings are borrowed. Returns PH_ERR_IO if the port cannot be bound. */
int ph_dispatcher_start(const struct ph_mem *mem,
			const struct ph_dispatcher_settings *settings,
			const struct ph_dispatcher_platform *platform,
			void *platform_ctx, struct ph_dispatcher **dispatcher);

/** Starts the control thread. */
void ph_dispatcher_run(struct ph_dispatcher *dispatcher);

/** Requests a graceful stop: jobs that are under way may end; any thread. */
void ph_dispatcher_stop(struct ph_dispatcher *dispatcher);
/** Requests that the state is written to the log; any thread. */
void ph_dispatcher_dump(struct ph_dispatcher *dispatcher);
/** Waits until the control thread has ended after a requested stop; any other
 * thread. The sockets stay open until ph_dispatcher_free(). */
void ph_dispatcher_join(struct ph_dispatcher *dispatcher);
void ph_dispatcher_free(struct ph_dispatcher *dispatcher);

/** Queues a function call for the control thread; any thread. */
void ph_dispatcher_post(struct ph_dispatcher *dispatcher,
			void (*run)(void *arg, uint64_t now_us), void *arg);

/* ## From the adapter */

/** Offers a configuration; takes ownership of routing. It comes into force if
 * its version is higher than the current one; doc, the document that it was
 * read from, is then copied to be sent to peers. */
void ph_dispatcher_offer_routing(struct ph_dispatcher *dispatcher,
				 struct ph_routing *routing, const char *doc,
				 size_t len);
/** Parses a configuration that a peer sent; NULL if it is not valid. */
typedef struct ph_routing *ph_dispatcher_parse_fn(const struct ph_mem *mem,
						  const char *doc, size_t len);
void ph_dispatcher_set_parser(struct ph_dispatcher *dispatcher,
			      ph_dispatcher_parse_fn *parse);

/** True if this instance should now read the platform's list of executors: it
 * reads for its domain, or its copy of the list is too old. */
bool ph_dispatcher_wants_list(struct ph_dispatcher *dispatcher,
			      uint64_t now_us);
/** True if that read must not wait for its interval: batches of an owner that
 * was lost wait for it. */
bool ph_dispatcher_needs_list(struct ph_dispatcher *dispatcher);
/** The list of executors was read; requested_us is when the read was sent. */
void ph_dispatcher_list_read(struct ph_dispatcher *dispatcher, uint64_t now_us,
			     uint64_t requested_us,
			     const struct ph_executor_info *list, size_t count);
/** A read of the list of executors failed. */
void ph_dispatcher_list_read_failed(struct ph_dispatcher *dispatcher,
				    uint64_t now_us);
/** The operators' requests to evacuate failure domains were read: the names of
 * these domains as of a revision of the store. requested_us is when the read
 * was sent. */
void ph_dispatcher_evacuation_read(struct ph_dispatcher *dispatcher,
				   uint64_t now_us, uint64_t requested_us,
				   uint64_t revision, const char *const *names,
				   size_t count);
/** Counts an answer of the platform that can't be decoded. */
void ph_dispatcher_count_unreadable(struct ph_dispatcher *dispatcher);
/** Sets the number of entries of the last list of executors that were skipped
 * as they name none that can be used. */
void ph_dispatcher_set_skipped(struct ph_dispatcher *dispatcher,
			       size_t entries);
/** Name of the i-th failure domain that is known, which the process keeps; NULL
 * past the end. */
const char *ph_dispatcher_domain_name(const struct ph_dispatcher *dispatcher,
				      size_t i);
/** What the platform's store holds as the number of shards of a failure domain;
 * shards counts only for PH_SHARDS_PRESENT. */
struct ph_shards_row {
	const char *domain;
	enum ph_shards_stored stored;
	uint32_t shards;
	uint64_t revision;
};

/** The numbers of shards were read from the store, all that there are; the rows
 * are borrowed. */
void ph_dispatcher_shards_read(struct ph_dispatcher *dispatcher,
			       uint64_t now_us,
			       const struct ph_shards_row *rows, size_t count);
/** Takes a proposal that is due: the adapter writes it under the condition that
 * the key has the expected revision, and reports the outcome. Returns the name
 * of the failure domain, which the process keeps, or NULL if none is due. */
const char *
ph_dispatcher_take_shards_proposal(struct ph_dispatcher *dispatcher,
				   uint64_t now_us,
				   struct ph_shards_proposal *proposal);
/** The outcome of a proposal that was taken; row: what the store now holds for
 * its domain, unless it failed. */
void ph_dispatcher_shards_proposed(struct ph_dispatcher *dispatcher,
				   uint64_t now_us,
				   enum ph_shards_outcome outcome,
				   const struct ph_shards_row *row);
/** Adds the "ip:port" of an instance that the platform knows; it gets
 * heartbeats. */
void ph_dispatcher_contact(struct ph_dispatcher *dispatcher, const char *addr);

/** The configuration in force, or NULL. */
const struct ph_routing *
ph_dispatcher_routing(const struct ph_dispatcher *dispatcher);
/** Without a configuration: whether a request that arrived at arrived_us may
 * wait for it. caller_timeout_us: 0 if unknown. */
bool ph_dispatcher_may_wait_for_routing(const struct ph_dispatcher *dispatcher,
					uint64_t now_us, uint64_t arrived_us,
					uint64_t caller_timeout_us);
/** True if the load balancer may send new connections: there are a
 * configuration, executors and pools, and the instance is not stopping. */
bool ph_dispatcher_ready(const struct ph_dispatcher *dispatcher);
bool ph_dispatcher_stopping(const struct ph_dispatcher *dispatcher);

/** Submits a job; takes ownership of batch. */
void ph_dispatcher_submit(struct ph_dispatcher *dispatcher, uint64_t now_us,
			  uint64_t token, struct ph_batch_request *batch);
/** Cancels the job whose request token names, as its caller has disconnected.
 * Returns PH_JOB_NOT_RUN or PH_JOB_UNKNOWN, which the adapter answers. */
enum ph_job_outcome
ph_dispatcher_caller_disconnected(struct ph_dispatcher *dispatcher,
				  uint64_t now_us, uint64_t token);
/** All callers that have disconnected are known: the other instances may go on
 * relying on this one. */
void ph_dispatcher_callers_checked(struct ph_dispatcher *dispatcher);
/** Cancels the open jobs with an id that callers of this instance have
 * submitted. Returns how many there were. */
size_t ph_dispatcher_cancel_job(struct ph_dispatcher *dispatcher,
				uint64_t now_us, const char *job);
/** The reply to the poll with this call_id; borrowed. */
void ph_dispatcher_poll_done(struct ph_dispatcher *dispatcher, uint64_t now_us,
			     uint64_t call_id,
			     const struct ph_poll_reply *reply);
/** The reply to the run command with this call_id; borrowed. */
void ph_dispatcher_command_done(struct ph_dispatcher *dispatcher,
				uint64_t now_us, uint64_t call_id, bool stop,
				const struct ph_run_command_reply *reply);

/** Appends the metrics in the Prometheus text format. */
void ph_dispatcher_metrics(struct ph_dispatcher *dispatcher, uint64_t now_us,
			   struct ph_buf *out);

#endif
