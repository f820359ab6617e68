#ifndef PH_PLATFORM_H
#define PH_PLATFORM_H

/*
 * The platform's services behind one table of functions: a key-value store
 * with compare-and-swap and watches, and the list of live and leaving
 * instances. Every call ends with one call of its callback, on a thread of
 * the implementation.
 */

#include "endpoints.h"

struct ph_platform_item {
	const char *key;
	const char *value;
	size_t len;
	uint64_t index;
};

/** Outcome of a call; borrowed for the callback. */
struct ph_platform_reply {
	/** 0; PH_ERR_CONFLICT: not written; else unknown. */
	int err;
	/** Index to pass to the next watch. */
	uint64_t index;
	size_t item_count;
	const struct ph_platform_item *items;
	size_t listed_count;
	const struct ph_endpoint_info *listed;
};

typedef void ph_platform_fn(void *ctx, const struct ph_platform_reply *reply);

struct ph_platform;

struct ph_platform_ops {
	/** Reads a key, or with prefix set all keys below it. */
	void (*get)(struct ph_platform *p, const char *key, bool prefix,
		    ph_platform_fn *done, void *ctx);
	/** Writes a key if its index is still the given one; 0: absent. */
	void (*put)(struct ph_platform *p, const char *key, uint64_t index,
		    const char *value, size_t len, ph_platform_fn *done,
		    void *ctx);
	/** As get, but waits until the store's index passes the given one. */
	void (*watch)(struct ph_platform *p, const char *key, bool prefix,
		      uint64_t index, ph_platform_fn *done, void *ctx);
	/** Waits likewise for the instances of a service. */
	void (*list_instances)(struct ph_platform *p, const char *service,
			       uint64_t index, ph_platform_fn *done, void *ctx);
	void (*free)(struct ph_platform *p);
};

/** Head of every implementation. */
struct ph_platform {
	const struct ph_platform_ops *ops;
};

struct ph_platform_options {
	const struct ph_mem *mem;
	/** Base URL by IP number. */
	const char *url;
	const char *source;
	uint64_t call_timeout_us;
	uint64_t watch_wait_us;
};

/** The Consul-shaped HTTP implementation. */
struct ph_platform *
ph_platform_http_new(const struct ph_platform_options *options);

#endif
