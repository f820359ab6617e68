#ifndef PH_POOLMSG_H
#define PH_POOLMSG_H

/*
 * Messages between entry instances about pools of executors. A frame is a
 * 32-bit big-endian length and a msgpack array that starts with the protocol
 * version, the type and the sender. docs/PLATFORM.md says who sends which.
 */

#include "directory.h"
#include "pool.h"

#define PH_POOLMSG_PROTOCOL 4U
#define PH_CLAIMS_MAX 32U

enum ph_poolmsg_type {
	/** Heartbeat: who lives, what it owns and how loaded that is. */
	PH_POOLMSG_HEARTBEAT = 1,
	/** A batch for the owner of a pool; repeated until accepted. */
	PH_POOLMSG_SUBMIT,
	PH_POOLMSG_ACCEPTED,
	/** Outcome of a batch; repeated until acknowledged. */
	PH_POOLMSG_RESULT,
	PH_POOLMSG_RESULT_ACK,
	/** The caller of a batch has gone; repeated until acknowledged. */
	PH_POOLMSG_CANCEL,
	PH_POOLMSG_CANCEL_ACK,
	/** Asks for the configuration, and carries it. */
	PH_POOLMSG_CONFIG_REQUEST,
	PH_POOLMSG_CONFIG,
	/** What changed in the list of executors, to the sender's domain. */
	PH_POOLMSG_LIST,
	PH_POOLMSG_TYPES,
};

/** One pool that the sender of a heartbeat owns. */
struct ph_claim {
	char domain[PH_NAME_BYTES];
	uint64_t token;
	/** Kept only until another instance claims it. */
	bool offered;
	struct ph_pool_load load;
};

struct ph_poolmsg {
	enum ph_poolmsg_type type;
	/** Sender, in every message. */
	char name[PH_NAME_BYTES];
	char domain[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	/* HELLO */
	bool leaving;
	uint64_t config_version;
	/** Time since the sender last heard the receiver; UINT64_MAX: never. */
	uint64_t heard_ago_us;
	/** Time to the sender's next heartbeat. */
	uint64_t interval_us;
	/** The sender's steady clock. */
	uint64_t clock_us;
	uint32_t cpu_milli;
	/** Shards that the sender's domain is split into, as it knows. */
	uint32_t shards;
	/** Digest of the sender's list of executors (0: none), and its age. */
	uint64_t list_digest;
	uint64_t list_age_us;
	uint32_t claim_count;
	struct ph_claim claims[PH_CLAIMS_MAX];
	/** Handle of a batch at the instance that submitted it. */
	uint64_t seq;
	/** SUBMIT: the pool, and the life of the owner that it is meant for. */
	char pool[PH_NAME_BYTES];
	uint64_t owner_incarnation;
	/** SUBMIT: owned by the message when decoded. */
	struct ph_batch_request *work;
	/* RESULT; its reason is borrowed from reason_text when decoded. */
	struct ph_result result;
	char reason_text[PH_ADDR_BYTES];
	/** CONFIG: a document, owned by the message when decoded. */
	char *doc;
	size_t doc_len;
	/** LIST: owned by the message when decoded. */
	struct ph_list_change *change;
};

/** Encodes a frame, its length included. */
void ph_poolmsg_encode(const struct ph_poolmsg *msg, struct ph_buf *out);

/**
 * Decodes the bytes after the frame's length. Returns 0, PH_ERR_SYNTAX or
 * PH_ERR_VERSION; on success ph_poolmsg_clear() frees what msg owns.
 */
int ph_poolmsg_decode(const struct ph_mem *mem, const char *data, size_t len,
		      struct ph_poolmsg *msg);

void ph_poolmsg_clear(const struct ph_mem *mem, struct ph_poolmsg *msg);

#endif
