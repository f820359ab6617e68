#ifndef PH_CONFSTORE_H
#define PH_CONFSTORE_H

/* The configuration in force. It is replaced only by one of a higher version,
 * so that documents may arrive from several sources in any order. */

#include "config.h"

struct ph_confstore {
	const struct ph_mem *mem;
	/** In force; NULL before the first one. */
	struct ph_config *config;
	/** The one before, since tasks may still refer to it. It is freed at
	 * the next replacement. */
	struct ph_config *previous;
	/** Text of config, to be sent to peers. */
	char *doc;
	size_t len;
	/** Numbers of documents offered, by outcome. */
	uint64_t accepted;
	uint64_t stale;
	uint64_t invalid;
};

void ph_confstore_init(struct ph_confstore *store, const struct ph_mem *mem);
void ph_confstore_free(struct ph_confstore *store);

/**
 * Puts a document in force if it is valid and of a higher version. Returns 0,
 * PH_ERR_VERSION if the version is not higher, or PH_ERR_SYNTAX. The document
 * is copied.
 */
int ph_confstore_offer(struct ph_confstore *store, const char *doc, size_t len);

/** Returns the version in force; 0: none. */
uint64_t ph_confstore_version(const struct ph_confstore *store);

#endif
