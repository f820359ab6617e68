#ifndef PH_POOLMSG_H
#define PH_POOLMSG_H

/*
 * Messages between instances about pools of executors. A frame is a 32-bit
 * big-endian length and a msgpack array that starts with the protocol version,
 * the type and the sender. docs/PLATFORM.md describes the protocol.
 */

#include "directory.h"
#include "evacuation.h"
#include "pool.h"

#define PH_POOLMSG_PROTOCOL 4U
/** Most pools that an instance owns: as many as a heartbeat can carry. */
#define PH_CLAIMS_MAX 32U
/** Most owners in a heartbeat: 1,100 executors in one domain make 35 pools, and
 * some instances that own none start at the same time. */
#define PH_REPORTED_OWNERS_MAX 64U

enum ph_poolmsg_type {
	/** Shows that the sender is alive; carries its claims and their load.
	 */
	PH_POOLMSG_HEARTBEAT = 1,
	/** Batch request to the owner of a pool; resent until accepted. */
	PH_POOLMSG_SUBMIT,
	/** Also tells which starts of the batch may still be carried out; sent
	 * again after each later round in which tasks of it were started. */
	PH_POOLMSG_ACCEPTED,
	/** Result of a batch; resent until acknowledged. */
	PH_POOLMSG_RESULT,
	PH_POOLMSG_RESULT_ACK,
	/** The batch's caller disconnected; resent until acknowledged. */
	PH_POOLMSG_CANCEL,
	PH_POOLMSG_CANCEL_ACK,
	/** Request for the configuration, answered by PH_POOLMSG_CONFIG. */
	PH_POOLMSG_CONFIG_REQUEST,
	PH_POOLMSG_CONFIG,
	/** Change of the list of executors, to instances of the sender's
	 * failure domain. */
	PH_POOLMSG_LIST,
	/** Request for the view of the evacuated failure domains, answered by
	 * PH_POOLMSG_EVACUATION; only to instances whose heartbeats carry an
	 * evacuation_revision. */
	PH_POOLMSG_EVACUATION_REQUEST,
	PH_POOLMSG_EVACUATION,
	PH_POOLMSG_TYPES,
};

/** Claim of ownership of one pool, by the sender of a heartbeat. */
struct ph_claim {
	const char *pool_name;
	/** Fencing token. */
	uint64_t token;
	/** The sender releases the pool when another instance claims it. */
	bool offered;
	struct ph_pool_load load;
};

/** An instance of the sender's domain that the sender hears: the owner of one
 * of the domain's pools, or an instance that owns none. */
struct ph_reported_owner {
	/** "": it owns none of them. */
	const char *pool_name;
	const char *name;
	char addr[PH_ADDR_BYTES];
	/** Fencing token; 0 without a pool. */
	uint64_t token;
	/** Time since its last heartbeat was received by the sender. */
	uint64_t heard_ago_us;
};

/** A message; fields that its type does not carry are unused, 0 if decoded. Its
 * strings are borrowed when it is encoded. */
struct ph_poolmsg {
	/** Memory of its strings; owned by the message when decoded. */
	char *texts;
	enum ph_poolmsg_type type;
	/** The sender's name, failure domain, address and incarnation; in every
	 * message. */
	const char *name;
	const char *domain;
	char addr[PH_ADDR_BYTES];
	uint64_t incarnation;
	/* The fields from here to starts are those of HEARTBEAT. */
	/** The sender is stopping and claims no more pools. */
	bool leaving;
	uint64_t config_version;
	/** Time since the sender last received a heartbeat of the receiver;
	 * UINT64_MAX: never. */
	uint64_t heard_ago_us;
	/** Interval of the sender's heartbeats to the receiver. */
	uint64_t interval_us;
	/** The sender's monotonic clock; also in ACCEPTED, where versions
	 * before this one don't tell it (0). */
	uint64_t clock_us;
	/** CPU that the sender may use, in thousandths of a core. */
	uint32_t cpu_milli;
	/** Number of shards of the sender's domain, as known to the sender. */
	uint32_t shards;
	/** Digest of the sender's list of executors (0: none), and its age. */
	uint64_t list_digest;
	uint64_t list_age_us;
	uint32_t claim_count;
	struct ph_claim claims[PH_CLAIMS_MAX];
	/** Tasks on executors whose loss the sender has seen; their last
	 * losses are not sent. Versions that don't know them ignore them. */
	uint32_t suspect_count;
	struct ph_suspect suspects[PH_SUSPECTS_SENT_MAX];
	/** The clock in the last heartbeat that the sender has received of the
	 * receiver; 0: none, or the sender's version does not tell. Versions
	 * that don't know it ignore it. */
	uint64_t echo_us;
	/** Revision of the store at which the number of shards was written; 0:
	 * it is not from the store. Versions that don't know this field and the
	 * next two ignore them. */
	uint64_t shards_revision;
	/** Revision of the store as of which the sender knows the requests to
	 * evacuate failure domains, and the age of that knowledge; 0: none. A
	 * heartbeat carries the revision at which the sender first saw its
	 * present set of requests, EVACUATION the latest one at which it was
	 * valid. */
	uint64_t evacuation_revision;
	uint64_t evacuation_age_us;
	/** To an instance of the own domain that has become known lately: who
	 * owns the domain's pools. Versions that don't know them ignore them.
	 */
	uint32_t reported_owner_count;
	struct ph_reported_owner reported_owners[PH_REPORTED_OWNERS_MAX];
	/** The starts of the receiver's batches that may still be carried out,
	 * if has_starts: versions before this one don't tell them. */
	bool has_starts;
	struct ph_start_report starts;
	/** Number that identifies a batch at the submitting instance; in all
	 * types but HEARTBEAT, CONFIG_REQUEST, CONFIG, LIST,
	 * EVACUATION_REQUEST and EVACUATION. */
	uint64_t seq;
	/** SUBMIT: the pool, and the incarnation of its owner for which the
	 * batch request is meant. */
	const char *pool;
	uint64_t owner_incarnation;
	/** SUBMIT: the batch request; owned by the message when decoded. */
	struct ph_batch_request *batch_request;
	/** RESULT; of ACCEPTED only unconfirmed. */
	struct ph_result result;
	/** CONFIG: the configuration; owned by the message when decoded. */
	char *doc;
	size_t doc_len;
	/** LIST: owned by the message when decoded, but for its texts. */
	struct ph_list_change *change;
	/** EVACUATION: names of all evacuated domains, at most
	 * PH_EVACUATIONS_MAX; the array is owned by the message when decoded.
	 */
	const char **evacuated;
	uint32_t evacuated_count;
};

/** Appends a message to out as a frame with its length. */
void ph_poolmsg_encode(const struct ph_poolmsg *msg, struct ph_buf *out);

/**
 * Decodes the bytes of a frame after its length. Returns 0, PH_ERR_SYNTAX or
 * PH_ERR_VERSION. After success the caller frees what msg owns by
 * ph_poolmsg_clear(); after an error msg owns nothing.
 */
int ph_poolmsg_decode(const struct ph_mem *mem, const char *data, size_t len,
		      struct ph_poolmsg *msg);

/** Whether the names and addresses of the sender and of the executors in a
 * decoded message are valid: only then it may be handled. */
bool ph_poolmsg_names_valid(const struct ph_poolmsg *msg);

/** Frees what a decoded message owns. */
void ph_poolmsg_clear(const struct ph_mem *mem, struct ph_poolmsg *msg);

#endif
