#ifndef PH_PLATFORM_H
#define PH_PLATFORM_H

/*
 * Interface to the platform's services: a key-value store with compare-and-swap
 * and watches, and the list of a service's instances. All operations are
 * asynchronous. Each reports its outcome once, through its callback, on a
 * thread of the implementation; those dropped by free are not reported.
 */

#include "endpoints.h"

/** Prefix of the keys by which operators request the evacuation of a failure
 * domain, followed by its name, and the value that requests it; any other value
 * ends it. */
#define PH_KEY_EVACUATION "peridothall/evacuate/"
#define PH_EVACUATION_ON "on"
#define PH_EVACUATION_OFF "off"

/** A key of the store with its value. */
struct ph_platform_item {
	const char *key;
	const char *value;
	size_t len;
	/** Store index at the last write of the key, for a conditional put. */
	uint64_t index;
};

/** Outcome of an operation, valid only during the callback. */
struct ph_platform_reply {
	/**
	 * 0 for success, also if the key or service does not exist.
	 * PH_ERR_CONFLICT: the key's index has changed, nothing was written.
	 * After any other error a put may or may not have taken place.
	 */
	int err;
	/** Index of the store to pass to the next watch. */
	uint64_t index;
	/** Result of get and watch. */
	size_t item_count;
	const struct ph_platform_item *items;
	/** Result of list_instances. */
	size_t listed_count;
	const struct ph_endpoint_info *listed;
};

typedef void ph_platform_fn(void *ctx, const struct ph_platform_reply *reply);

struct ph_platform;

struct ph_platform_ops {
	/** Reads a key, or with prefix set all keys that start with it. */
	void (*get)(struct ph_platform *p, const char *key, bool prefix,
		    ph_platform_fn *done, void *ctx);
	/**
	 * Writes a key if its index is still the given one; 0 requires that
	 * the key does not exist.
	 */
	void (*put)(struct ph_platform *p, const char *key, uint64_t index,
		    const char *value, size_t len, ph_platform_fn *done,
		    void *ctx);
	/**
	 * Long poll: like get, but answered only once the store's index is
	 * above the given one or the wait is over.
	 */
	void (*watch)(struct ph_platform *p, const char *key, bool prefix,
		      uint64_t index, ph_platform_fn *done, void *ctx);
	/** Long poll for the instances of a service, by index like watch. */
	void (*list_instances)(struct ph_platform *p, const char *service,
			       uint64_t index, ph_platform_fn *done, void *ctx);
	/** Drops pending operations and frees the object. */
	void (*free)(struct ph_platform *p);
};

/** The first member of the object of every implementation. */
struct ph_platform {
	const struct ph_platform_ops *ops;
};

struct ph_platform_options {
	const struct ph_mem *mem;
	/** Base URL with an IP address as host; must outlive the object. */
	const char *url;
	/** Local IP address to connect from, or NULL. */
	const char *source;
	/** Time limit of get and put. */
	uint64_t call_timeout_us;
	/** Longest time that the server may hold a long poll. */
	uint64_t watch_wait_us;
};

/**
 * Decodes a list of instances in the format of Consul's HTTP interface, which
 * may come from any writer: instances with an invalid name, address, port,
 * number of slots or domain are skipped. *out is allocated unless the result is
 * an error. Returns 0 or PH_ERR_SYNTAX.
 */
int ph_platform_read_instances(const struct ph_mem *mem, const char *text,
			       size_t len, struct ph_endpoint_info **out,
			       size_t *count);

/** Creates the implementation that uses Consul's HTTP interface. */
struct ph_platform *
ph_platform_http_new(const struct ph_platform_options *options);

#endif
