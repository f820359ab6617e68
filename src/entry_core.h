#ifndef PH_ENTRY_CORE_H
#define PH_ENTRY_CORE_H

/*
 * The decisions of one entry instance as a deterministic state machine. Each
 * call passes the present time and one input; outputs go to a sink. The core
 * reads no clock and opens no socket.
 *
 * Each job has two holders among the members of its domain's roster, a
 * primary and a backup. A task starts after the backup has acknowledged its
 * record, or solo, that is, without an acknowledgement, under the conditions
 * that the rules below give.
 */

#include "config.h"
#include "endpoints.h"
#include "msg.h"
#include "queue.h"
#include "roster.h"

/** Rules that keep a task from being started twice, or reported as not run
 * after a start. A test can omit one to show that a failure follows. */
enum ph_rule {
	/** A task starts only after the backup has acknowledged its record. */
	PH_RULE_BACKUP_ACK = 1U << 0,
	/** Records sent under another roster version are refused. */
	PH_RULE_FENCE = 1U << 1,
	/** An isolated instance starts tasks solo only if their job was
	 * submitted as a first attempt. */
	PH_RULE_SOLO_FIRST_ATTEMPT = 1U << 2,
	/** While a removed member is unaccounted for, an unknown id is accepted
	 * only as a first attempt: the member may have started the job. */
	PH_RULE_COMPLETE = 1U << 3,
	/** The condition of PH_RULE_COMPLETE is checked again at the start of
	 * a task. */
	PH_RULE_COMPLETE_AT_START = 1U << 4,
	/** The outcome not-run is recorded at the backup before a caller gets
	 * it. */
	PH_RULE_GATE_NOT_RUN = 1U << 5,
	/** Under a new roster, nothing starts before the remaining members have
	 * sent all their records. */
	PH_RULE_SYNC = 1U << 6,
	/** Of two states of a task, a merge of records keeps the more advanced
	 * one. */
	PH_RULE_MERGE = 1U << 7,
	/** A relayed request whose target is lost is not relayed again: the
	 * target may have accepted it. */
	PH_RULE_RELAY_ONCE = 1U << 8,
	/** A task that was started is not started again if its outcome is
	 * unknown. */
	PH_RULE_NO_RESTART = 1U << 9,
	/** A peer's death is clean only if the peer can't have started tasks
	 * solo before it. */
	PH_RULE_CLEAN_DEATH = 1U << 10,
	/** After a pause of the process, the time without contact is counted
	 * anew. */
	PH_RULE_PAUSE = 1U << 11,
	/** A task that the other holder may have as queued is not started
	 * solo. */
	PH_RULE_SOLO_UNSENT = 1U << 12,
	/** The acknowledgement of records returns the receiver's record of each
	 * job of which the sender lacks a start. */
	PH_RULE_CONFLICT = 1U << 13,
	/** Records complete only as of a version before the roster's last break
	 * (see struct ph_roster) permit no start. */
	PH_RULE_CONTINUITY = 1U << 14,
	/** An instance promises a peer no period without solo starts before it
	 * has replicated its earlier ones to that peer. */
	PH_RULE_UNREPLICATED = 1U << 15,
	/** An id that was in the ledger of an earlier incarnation of the
	 * instance is not accepted as a first attempt. */
	PH_RULE_EARLIER_INCARNATIONS = 1U << 16,
};

/** A task to be sent to an endpoint; strings are borrowed for the call. */
struct ph_start {
	/** To be passed to ph_core_task_done. */
	uint64_t start_id;
	/** "ip:port" of the endpoint. */
	const char *addr;
	const char *service;
	const char *kind;
	/** Key of the job, TEAM/ID. */
	const char *key;
	/** Index of the task in its job. */
	uint32_t index;
	const char *payload;
	size_t payload_len;
};

/** Outputs of the core; each call gets the options' ctx. */
struct ph_core_sink {
	/** Sends a message to "ip:port"; may lose it without an error. */
	void (*send)(void *ctx, const char *addr, const struct ph_msg *msg);
	/** Opens a new connection to "ip:port", as the present one may be dead;
	 * NULL if there are no connections. */
	void (*renew_link)(void *ctx, const char *addr);
	/** Starts a task; its outcome is passed to ph_core_task_done, once. */
	void (*start)(void *ctx, const struct ph_start *start);
	/** Answers a local request with an HTTP status and a JSON document. */
	void (*reply)(void *ctx, uint64_t token, int status, const char *doc,
		      size_t len);
	/** Reads the own domain's roster; the result is passed to
	 * ph_core_roster_read. */
	void (*roster_read)(void *ctx);
	/**
	 * Writes the own domain's roster if its modification index at the
	 * platform is still the given one (0: no roster is stored); the result
	 * is passed to ph_core_roster_written.
	 */
	void (*roster_write)(void *ctx, uint64_t index, const char *doc,
			     size_t len);
};

struct ph_core_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	/** "ip:port" to which peers connect. */
	const char *addr;
	/** Below 2^62; each start of the process needs a new one. */
	uint64_t incarnation;
	/** Heartbeat interval. */
	uint64_t ping_every_us;
	/** Time without a message after which a peer counts as silent. */
	uint64_t suspect_after_us;
	/** Time without contact to a peer and to the platform after which
	 * tasks may be started solo. */
	uint64_t solo_after_us;
	/** Time for which ended jobs are kept. */
	uint64_t retention_us;
	/** Longest time for which a request is held. */
	uint64_t hold_us;
	/** Most bytes of answers of ended jobs; 0: no limit. */
	size_t answer_bytes_max;
	const struct ph_queue_policy *queue_policy;
	/** Bits of enum ph_rule to leave out; for tests only. */
	uint32_t omitted_rules;
	const struct ph_core_sink *sink;
	void *ctx;
};

/** Outcome of a task that was passed to sink->start. */
enum ph_outcome {
	/** The endpoint answered with a status and a result. */
	PH_OUTCOME_DONE,
	/** It did not start: the endpoint refused it or the connection. */
	PH_OUTCOME_NOT_STARTED,
	/** As NOT_STARTED, and the endpoint reported that it is leaving. */
	PH_OUTCOME_LEAVING,
	/** No complete answer arrived: the task may have run. */
	PH_OUTCOME_AMBIGUOUS,
};

struct ph_core;

struct ph_core *ph_core_new(const struct ph_core_options *options,
			    uint64_t now_us);
void ph_core_free(struct ph_core *core);

/** Adds the "ip:port" of an instance that gets heartbeats while no roster is
 * known. Further seeds are ignored once there are sixteen. */
void ph_core_add_seed(struct ph_core *core, const char *addr);

/** Applies a configuration, which is borrowed until the next one has been
 * applied. */
void ph_core_set_config(struct ph_core *core, uint64_t now_us,
			const struct ph_config *config);

/** Replaces a service's list of endpoints; an empty list is ignored. */
void ph_core_set_endpoints(struct ph_core *core, uint64_t now_us,
			   const char *service,
			   const struct ph_endpoint_info *listed, size_t count);
/** Whether the instance's failure domain is evacuated: while it is, no task
 * starts; what runs ends. */
void ph_core_set_evacuated(struct ph_core *core, uint64_t now_us,
			   bool evacuated);

/** Number of the attempt that a request is: the value of its header Attempt, 1
 * for the first one; 0 if that is NULL. A request may have waited unread for
 * longer than its caller did: if that has hung up, the job may have been
 * submitted again elsewhere by now, and 0 is returned. */
uint32_t ph_request_attempt(const char *header, bool hung_up);

/** Handles a local caller's request; sink->reply gets one answer to token. */
void ph_core_request(struct ph_core *core, uint64_t now_us, uint64_t token,
		     const struct ph_request *request);

/** Handles a message from another instance. */
void ph_core_message(struct ph_core *core, uint64_t now_us,
		     const struct ph_msg *msg);

/** Reports that "ip:port" refused a connection: no process listens there, so
 * the peer with this address is dead. */
void ph_core_connection_refused(struct ph_core *core, uint64_t now_us,
				const char *addr);

/** Reports that a connection to "ip:port" was closed; sent messages may be
 * lost. */
void ph_core_disconnected(struct ph_core *core, uint64_t now_us,
			  const char *addr);

/** Passes the result of sink->roster_read: an error, or the modification index
 * and the document (NULL: no roster is stored). */
void ph_core_roster_read(struct ph_core *core, uint64_t now_us, int err,
			 uint64_t index, const char *doc, size_t len);

/** Passes a roster from a watch at the platform: another domain's, or a newer
 * one of the own domain. */
void ph_core_roster_seen(struct ph_core *core, uint64_t now_us, uint64_t index,
			 const char *doc, size_t len);

/** Passes the result of sink->roster_write: 0, or PH_ERR_CONFLICT if the index
 * had changed. After any other error it is unknown whether it was written. */
void ph_core_roster_written(struct ph_core *core, uint64_t now_us, int err);

/** Passes the outcome of a started task; status and result count for
 * PH_OUTCOME_DONE only and are copied. */
void ph_core_task_done(struct ph_core *core, uint64_t now_us, uint64_t start_id,
		       enum ph_outcome outcome, int32_t status,
		       const char *result, size_t len);

/** Interval of ph_core_tick. A much longer gap between two inputs counts
 * as a pause of the process. */
#define PH_CORE_TICK_US 20000U
/** Runs the timers; to be called about every PH_CORE_TICK_US. */
void ph_core_tick(struct ph_core *core, uint64_t now_us);

/** Begins a graceful stop: the instance hands over its jobs and leaves the
 * roster. */
void ph_core_stop(struct ph_core *core, uint64_t now_us);

/** True once a graceful stop is complete. */
bool ph_core_stopped(const struct ph_core *core);

/** True if the instance has a configuration and a roster and is not
 * stopping. */
bool ph_core_ready(const struct ph_core *core);

/** Counters since the start of the process; the fields' names are those of the
 * metrics. */
struct ph_counters {
	uint64_t requests;
	uint64_t relayed;
	uint64_t replies;
	uint64_t pending_replies;
	uint64_t jobs_accepted;
	uint64_t jobs_ended;
	uint64_t tasks_started;
	uint64_t tasks_started_alone;
	uint64_t tasks_refused;
	uint64_t tasks_may_have_run;
	uint64_t records_sent;
	uint64_t record_batches;
	uint64_t records_refused;
	uint64_t conflicts;
	uint64_t takeovers;
	uint64_t roster_changes;
	uint64_t messages_sent;
	uint64_t messages_received;
	uint64_t links_renewed;
	uint64_t platform_calls;
	uint64_t expired;
	uint64_t answers_dropped;
};

const struct ph_counters *ph_core_counters(const struct ph_core *core);

/** Appends the counters in the Prometheus text format. */
void ph_core_metrics(const struct ph_core *core, struct ph_buf *out);

/** Appends the state as one JSON document. */
void ph_core_dump(const struct ph_core *core, uint64_t now_us,
		  struct ph_buf *out);

#endif
