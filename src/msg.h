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
	/** Heartbeat; the echo carries the sender's send time back. */
	PH_MSG_PING = 1,
	PH_MSG_PONG,
	/** A caller's request, relayed to the home of the job. */
	PH_MSG_REQUEST,
	/** The answer to a relayed request. */
	PH_MSG_REPLY,
	/** Records of jobs for another holder, and its acknowledgement. */
	PH_MSG_RECORDS,
	PH_MSG_RECORDS_ACK,
	/** A roster document. */
	PH_MSG_ROSTER,
	/** A removed member has handed over all it knows. */
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

/** A caller's request as it travels; strings are borrowed. */
struct ph_request {
	enum ph_request_type type;
	/** 1: the id was never sent before; 0: unknown. */
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
	uint8_t state;
	/** Incarnation of the instance that starts or started it. */
	uint64_t starter;
	int32_t status;
	const char *result;
	size_t result_len;
};

/** What one holder tells another about a job; strings are borrowed. */
struct ph_record {
	const char *key;
	const char *service;
	uint64_t digest;
	bool first_attempt;
	/** No removed member can have started the job. */
	bool known;
	bool cancelled;
	bool ended;
	uint32_t task_count;
	/** Roster version up to which the sender's knowledge is whole. */
	uint64_t fresh;
	uint64_t remaining_us;
	/** The job document; NULL if the receiver has it already. */
	const char *body;
	size_t body_len;
	/** The whole answer of an ended job. */
	const char *answer;
	size_t answer_len;
	size_t count;
	struct ph_task_record *tasks;
};

struct ph_msg {
	enum ph_msg_type type;
	/** Sender, in every message. */
	const char *name;
	const char *domain;
	const char *addr;
	uint64_t incarnation;
	uint64_t roster_version;
	uint64_t config_version;
	/** PING: sender's clock; PONG: the echoed one. */
	uint64_t sent_us;
	/** PONG: the sender can't start alone before this much has passed. */
	uint64_t no_solo_us;
	/** PING, PONG: version for which the receiver has all records. */
	uint64_t synced_version;
	/** REQUEST and REPLY: the relaying instance's handle. */
	uint64_t token;
	uint32_t hops;
	struct ph_request request;
	int32_t status;
	/** RECORDS and their ACK. */
	uint64_t seq;
	bool accepted;
	size_t count;
	struct ph_record *records;
	/** REPLY, ROSTER, CONFIG: a JSON document. */
	const char *doc;
	size_t doc_len;
	/** HANDED_OVER: the incarnation that is accounted for; REQUEST: the
	 * one that it is meant for, and no later life of it. */
	uint64_t subject_incarnation;
};

/** Encodes a frame, its length included. */
void ph_msg_encode(const struct ph_msg *msg, struct ph_buf *out);

/**
 * Tells whether bytes can be one msgpack object of the kinds in use whose
 * declared sizes are all there.
 */
bool ph_msg_sizes_valid(const char *bytes, size_t len);

/** A decoded message together with the memory that its fields borrow. */
struct ph_decoded_msg;

/**
 * Decodes the bytes after the frame's length. Returns 0 and sets *box, or
 * PH_ERR_SYNTAX or PH_ERR_VERSION.
 */
int ph_msg_decode(const struct ph_mem *mem, const char *data, size_t len,
		  struct ph_decoded_msg **box);

const struct ph_msg *ph_decoded_msg_get(const struct ph_decoded_msg *box);
void ph_decoded_msg_free(struct ph_decoded_msg *box);

#endif
