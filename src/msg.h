#ifndef PH_MSG_H
#define PH_MSG_H

/*
 * Messages between entry instances. A frame is a 32-bit big-endian length and
 * a msgpack array; the array starts with the protocol version and the type.
 * docs/PROTOCOL.md says who sends which message and when.
 */

#include <stdbool.h>

#include "buf.h"

#define PH_MSG_PROTOCOL 1U
#define PH_MSG_MAX_BYTES (16U << 20)
#define PH_MSG_FRAME_BYTES 4U

enum ph_msg_type {
	/** Heartbeat. */
	PH_MSG_PING = 1,
	/** Reply to a heartbeat, with the heartbeat's send time. */
	PH_MSG_PONG,
	/** A caller's request, relayed to an instance of the job's home. */
	PH_MSG_REQUEST,
	/** The reply to a relayed request. */
	PH_MSG_REPLY,
	/** Records of jobs for another holder. */
	PH_MSG_RECORDS,
	/** Whether records were accepted, and records that the sender lacks. */
	PH_MSG_RECORDS_ACK,
	/** A roster document. */
	PH_MSG_ROSTER,
	/** A removed member has transferred all its records. */
	PH_MSG_HANDED_OVER,
	/** A configuration document. */
	PH_MSG_CONFIG,
	PH_MSG_TYPES,
};

enum ph_request_type {
	PH_REQUEST_SUBMIT = 1,
	PH_REQUEST_WAIT,
	PH_REQUEST_CANCEL,
};

/** A caller's request; strings are borrowed. */
struct ph_request {
	enum ph_request_type type;
	/** 1: the id was never sent before; 0: it may have been. */
	uint32_t attempt;
	const char *team;
	const char *service;
	const char *id;
	const char *body;
	size_t body_len;
};

/** State of one task inside a record. */
struct ph_task_record {
	uint32_t index;
	/** An enum ph_task_state. */
	uint8_t state;
	/** Incarnation of the instance that starts or started it. */
	uint64_t starter;
	int32_t status;
	const char *result;
	size_t result_len;
};

/** State of a job as replicated between its holders; strings are borrowed. */
struct ph_record {
	const char *key;
	const char *service;
	/** Hash of body and service; 0: unknown. */
	uint64_t digest;
	bool first_attempt;
	/** No removed member can have started the job. */
	bool starts_accounted_for;
	bool cancelled;
	bool ended;
	uint32_t task_count;
	/** Roster version as of which the sender's state is complete. */
	uint64_t complete_version;
	/** Time left until the job's deadline. */
	uint64_t remaining_us;
	/** The job document; NULL if the receiver has it already. */
	const char *body;
	size_t body_len;
	/** JSON answer of an ended job. */
	const char *answer;
	size_t answer_len;
	/** Number of entries in tasks. */
	size_t count;
	struct ph_task_record *tasks;
};

struct ph_msg {
	enum ph_msg_type type;
	/** Sender, in every message; domain is its failure domain. */
	const char *name;
	const char *domain;
	const char *addr;
	uint64_t incarnation;
	uint64_t roster_version;
	uint64_t config_version;
	/** PING: the sender's clock; PONG: that of the heartbeat. */
	uint64_t sent_us;
	/** PONG: time for which the sender will not start tasks solo. */
	uint64_t no_solo_us;
	/** PING, PONG: roster version for which the sender has transferred all
	 * its records to the receiver. */
	uint64_t synced_version;
	/** REQUEST, REPLY: the relaying instance's id of the request. */
	uint64_t token;
	/** REQUEST: number of relays so far. */
	uint32_t hops;
	struct ph_request request;
	/** REPLY: HTTP status. */
	int32_t status;
	/** RECORDS, RECORDS_ACK: number of the message that has the records. */
	uint64_t seq;
	/** RECORDS_ACK: the records were merged, not refused. */
	bool accepted;
	size_t count;
	struct ph_record *records;
	/** REPLY, ROSTER, CONFIG: a JSON document. */
	const char *doc;
	size_t doc_len;
	/** HANDED_OVER: incarnation whose records have all been transferred;
	 * REQUEST: incarnation that is to serve it, a later one refuses. */
	uint64_t subject_incarnation;
};

/** Appends a frame, its length field included. */
void ph_msg_encode(const struct ph_msg *msg, struct ph_buf *out);

/**
 * Whether the bytes are one msgpack object of the types that messages use, with
 * as many bytes and elements as its headers declare.
 */
bool ph_msg_sizes_valid(const char *bytes, size_t len);

/** A decoded message; owns the memory that the fields of ph_msg borrow. */
struct ph_decoded_msg;

/**
 * Decodes the bytes after the frame's length field. Returns 0 and sets *out, to
 * be freed with ph_decoded_msg_free, or PH_ERR_SYNTAX, PH_ERR_VERSION or
 * PH_ERR_MEMORY.
 */
int ph_msg_decode(const struct ph_mem *mem, const char *data, size_t len,
		  struct ph_decoded_msg **out);

const struct ph_msg *ph_decoded_msg_get(const struct ph_decoded_msg *decoded);
void ph_decoded_msg_free(struct ph_decoded_msg *decoded);

#endif
