#ifndef PH_ENTRY_CORE_H
#define PH_ENTRY_CORE_H

/*
 * The decisions of one entry instance as a deterministic state machine. It is
 * given the present time and one input at a time, and gives its outputs to a
 * sink. It reads no clock and opens no socket.
 */

#include "config.h"
#include "endpoints.h"
#include "msg.h"
#include "queue.h"
#include "roster.h"

/** Rules of the start ledger; a test can leave one out to show its need. */
enum ph_rule {
	/** A task starts only after the copy has acknowledged its record. */
	PH_RULE_BACKUP_ACK = 1U << 0,
	/** Records of another roster version are refused. */
	PH_RULE_FENCE = 1U << 1,
	/** An isolated instance starts only first attempts. */
	PH_RULE_ALONE_FIRST = 1U << 2,
	/** Unknown ids wait while a removed member is unaccounted for. */
	PH_RULE_COMPLETE = 1U << 3,
	/** Completeness is judged again when a task starts. */
	PH_RULE_COMPLETE_AT_START = 1U << 4,
	/** A not-run is recorded at the copy before it is told. */
	PH_RULE_GATE_NOT_RUN = 1U << 5,
	/** A new roster starts nothing before the old one is sealed. */
	PH_RULE_SYNC = 1U << 6,
	/** The more advanced state of a task wins a merge. */
	PH_RULE_MERGE = 1U << 7,
	/** An ambiguous first attempt is not sent elsewhere. */
	PH_RULE_RELAY_ONCE = 1U << 8,
	/** A started task without an outcome is not started again. */
	PH_RULE_NO_RESTART = 1U << 9,
	/** Death proves a full ledger only before the peer could be alone. */
	PH_RULE_DEATH_IN_TIME = 1U << 10,
	/** A paused process restarts its clock of isolation. */
	PH_RULE_PAUSE = 1U << 11,
	/** Alone, tasks that another may hold as queued are not started. */
	PH_RULE_ALONE_UNSENT = 1U << 12,
	/** The copy answers a record with the starts that the sender lacks. */
	PH_RULE_CONFLICT = 1U << 13,
	/** Knowledge older than a break of the roster starts nothing. */
	PH_RULE_UNBROKEN = 1U << 14,
	/** A death proves nothing while solo starts are not yet told. */
	PH_RULE_UNREPLICATED = 1U << 15,
	/** An id that an earlier life of the instance knew has no first attempt
	 * any more. */
	PH_RULE_EARLIER_LIVES = 1U << 16,
};

/** Where a task is to run; strings are borrowed for the call. */
struct ph_start {
	uint64_t start_id;
	const char *addr;
	const char *service;
	const char *kind;
	const char *key;
	uint32_t index;
	const char *payload;
	size_t payload_len;
};

/** Outputs of the core. */
struct ph_core_sink {
	/** Sends a message to "ip:port"; may fail silently. */
	void (*send)(void *ctx, const char *addr, const struct ph_msg *msg);
	/** Starts a task; ends with one call of ph_core_task_done. */
	void (*start)(void *ctx, const struct ph_start *start);
	/** Answers a local request; the status is that of HTTP. */
	void (*reply)(void *ctx, uint64_t token, int status, const char *doc,
		      size_t len);
	/** Reads the own domain's roster; ends with ph_core_roster_read. */
	void (*roster_read)(void *ctx);
	/**
	 * Writes the own domain's roster if its index is still the given one
	 * (0: absent); ends with ph_core_roster_written.
	 */
	void (*roster_write)(void *ctx, uint64_t index, const char *doc,
			     size_t len);
};

struct ph_core_options {
	const struct ph_mem *mem;
	const char *name;
	const char *domain;
	/** "ip:port" that peers dial. */
	const char *addr;
	/** Below 2^62, and new with each life of the process. */
	uint64_t incarnation;
	uint64_t ping_every_us;
	uint64_t suspect_after_us;
	uint64_t solo_after_us;
	uint64_t remember_us;
	uint64_t hold_us;
	/** Most bytes of remembered answers; 0: no limit. */
	size_t answer_bytes_max;
	const struct ph_queue_policy *queue_policy;
	/** Rules left out, for tests only. */
	uint32_t omitted_rules;
	const struct ph_core_sink *sink;
	void *ctx;
};

/** What became of a task that was handed to the sink. */
enum ph_outcome {
	/** The endpoint answered with a status and a result. */
	PH_OUTCOME_DONE,
	/** It surely did not start: refused, or no connection. */
	PH_OUTCOME_NOT_STARTED,
	/** As NOT_STARTED, and the endpoint said that it leaves. */
	PH_OUTCOME_LEAVING,
	/** No whole answer came back. */
	PH_OUTCOME_AMBIGUOUS,
};

struct ph_core;

struct ph_core *ph_core_new(const struct ph_core_options *options,
			    uint64_t now_us);
void ph_core_free(struct ph_core *core);

/** Names an instance to ask while no roster is known. */
void ph_core_add_seed(struct ph_core *core, const char *addr);

/** Puts a configuration in force; it must outlive its successor's call. */
void ph_core_set_config(struct ph_core *core, uint64_t now_us,
			const struct ph_config *config);

/** Replaces the endpoint list of a service. */
void ph_core_set_endpoints(struct ph_core *core, uint64_t now_us,
			   const char *service, const struct ph_endpoint_info *listed,
			   size_t count);

/** A local caller's request; it is answered once through sink->reply. */
void ph_core_request(struct ph_core *core, uint64_t now_us, uint64_t token,
		     const struct ph_request *request);

/** A message of another instance. */
void ph_core_message(struct ph_core *core, uint64_t now_us,
		     const struct ph_msg *msg);

/** A connection to "ip:port" was refused: no process listens there. */
void ph_core_refused(struct ph_core *core, uint64_t now_us, const char *addr);

/** A connection to "ip:port" broke; what was sent may be lost. */
void ph_core_disconnected(struct ph_core *core, uint64_t now_us,
			  const char *addr);

/** Result of a roster read: err, or the index and the document (or NULL). */
void ph_core_roster_read(struct ph_core *core, uint64_t now_us, int err,
			 uint64_t index, const char *doc, size_t len);

/** Another domain's roster, or a watch's news of the own one. */
void ph_core_roster_seen(struct ph_core *core, uint64_t now_us, uint64_t index,
			 const char *doc, size_t len);

/** Result of a roster write: 0, PH_ERR_CONFLICT, or ambiguous otherwise. */
void ph_core_roster_written(struct ph_core *core, uint64_t now_us, int err);

/** Outcome of a started task. */
void ph_core_task_done(struct ph_core *core, uint64_t now_us, uint64_t start_id,
		       enum ph_outcome outcome, int32_t status,
		       const char *result, size_t len);

/** Timers; to be called every PH_CORE_TICK_US or so. */
#define PH_CORE_TICK_US 20000U
void ph_core_tick(struct ph_core *core, uint64_t now_us);

/** Begins a graceful stop. */
void ph_core_stop(struct ph_core *core, uint64_t now_us);

/** Tells whether a graceful stop has nothing left to do. */
bool ph_core_stopped(const struct ph_core *core);

/** Tells whether the instance can serve requests. */
bool ph_core_ready(const struct ph_core *core);

/** Counters since the start of the process. */
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
	uint64_t platform_calls;
	uint64_t expired;
	uint64_t answers_dropped;
};

const struct ph_counters *ph_core_counters(const struct ph_core *core);

/** Writes the counters in the Prometheus text format. */
void ph_core_metrics(const struct ph_core *core, struct ph_buf *out);

/** Writes the state as one JSON document. */
void ph_core_dump(const struct ph_core *core, uint64_t now_us,
		  struct ph_buf *out);

#endif
