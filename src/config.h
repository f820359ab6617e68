#ifndef PH_CONFIG_H
#define PH_CONFIG_H

/* The operators' configuration document: failure domains, services with their
 * kinds of tasks, and teams. Immutable once parsed. */

#include "spec.h"

/** A SHA-256 digest in hexadecimal digits, with its NUL. */
#define PH_DIGEST_HEX_BYTES 65U

/** A kind of task that a service runs. */
struct ph_kind {
	char name[PH_NAME_BYTES];
	/** False makes every task of the kind non-idempotent. */
	bool idempotent;
	/** Expected duration of a task. */
	uint64_t expected_us;
};

struct ph_service {
	char name[PH_NAME_BYTES];
	/** Validated only: the slots that an endpoint registers count. */
	uint32_t slots_per_endpoint;
	size_t kind_count;
	struct ph_kind *kinds;
};

struct ph_team {
	char name[PH_NAME_BYTES];
	/** Digest of the key with which the team's callers authenticate. */
	char key_sha256[PH_DIGEST_HEX_BYTES];
	/** Share of the run time relative to the other teams. */
	uint32_t weight;
	/** Most tasks that may be queued at one entry instance. */
	uint32_t queued_max;
};

struct ph_config {
	const struct ph_mem *mem;
	uint64_t version;
	size_t domain_count;
	char (*domains)[PH_NAME_BYTES];
	size_t service_count;
	struct ph_service *services;
	size_t team_count;
	struct ph_team *teams;
};

/** Receives each fault of a document; fault is borrowed for the call. */
typedef void ph_fault_fn(void *ctx, const struct ph_fault *fault);

/**
 * Parses and validates a document and passes every fault to report, which may
 * be NULL. Returns 0 and sets *config, which the caller frees, or
 * PH_ERR_SYNTAX.
 */
int ph_config_parse(const struct ph_mem *mem, const char *text, size_t len,
		    struct ph_config **config, ph_fault_fn *report, void *ctx);

void ph_config_free(struct ph_config *config);

/** Look-ups by name; each returns NULL for an unknown name. */
const struct ph_service *ph_config_service(const struct ph_config *config,
					   const char *name);
const struct ph_kind *ph_service_kind(const struct ph_service *service,
				      const char *name);
const struct ph_team *ph_config_team(const struct ph_config *config,
				     const char *name);

/** Returns the team that authenticates with key, or NULL. */
const struct ph_team *ph_config_team_by_key(const struct ph_config *config,
					    const char *key);

/** Writes the SHA-256 of a string in lower-case hexadecimal digits. */
void ph_sha256_hex(const char *text, char out[PH_DIGEST_HEX_BYTES]);

#endif
