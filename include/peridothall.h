#ifndef PERIDOTHALL_H
#define PERIDOTHALL_H

/*
 * Public interface of libperidothall: the dispatcher's entry instance as an
 * embeddable object, its settings and its error numbers.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ## Memory
 *
 * Every object takes the allocator that is handed to its constructor. The
 * three functions have the contracts of their C library namesakes.
 */
struct ph_mem {
	void *(*calloc)(size_t count, size_t size);
	void *(*realloc)(void *ptr, size_t size);
	void (*free)(void *ptr);
};

/** Returns the allocator of the C library, which aborts when memory is out. */
const struct ph_mem *ph_mem_default(void);

/**
 * ## Errors
 *
 * Functions that can fail return 0 or one of these negative numbers.
 */
enum ph_error {
	PH_OK = 0,
	PH_ERR_MEMORY = -1,
	PH_ERR_SYNTAX = -2,
	PH_ERR_RANGE = -3,
	PH_ERR_UNKNOWN = -4,
	PH_ERR_CONFLICT = -5,
	PH_ERR_UNREACHABLE = -6,
	PH_ERR_TIMEOUT = -7,
	PH_ERR_VERSION = -8,
	PH_ERR_TOO_LARGE = -9,
	PH_ERR_IO = -10,
	PH_ERR_SETTINGS = -11,
};

/** Returns a static English phrase for an error number. */
const char *ph_strerror(int error);

/**
 * ## Limits
 */
#define PH_MAX_TASKS 200U
#define PH_MAX_BODY_BYTES (1U << 20)
#define PH_NAME_BYTES 32U
#define PH_ID_BYTES 96U
#define PH_ADDR_BYTES 64U
#define PH_MAX_MEMBERS 8U

/**
 * ## Entry instance
 *
 * One entry instance faces callers, keeps its share of the start ledger and
 * dispatches tasks to endpoints. It runs on threads of its own.
 */
struct ph_entry;

struct ph_entry_settings {
	/** Unique name of the instance and the failure domain it serves. */
	const char *name;
	const char *domain;
	/** IP number that sockets are bound to, also for outgoing peers. */
	const char *address;
	uint16_t http_port;
	uint16_t peer_port;
	/** "ip:port" that peers dial; NULL means address and peer_port. */
	const char *advertise;
	/** "ip:port,..." of instances to ask while no roster is known. */
	const char *seeds;
	/** Base URL of the platform's key-value service. */
	const char *platform_url;
	uint64_t ping_every_us;
	/** Silence of a peer after which its removal is requested. */
	uint64_t suspect_after_us;
	/** Isolation after which first attempts are started alone. */
	uint64_t solo_after_us;
	/** How long an ended job is remembered. */
	uint64_t retention_us;
	/** Most bytes of remembered answers; ids are kept beyond it. */
	uint64_t answer_bytes_max;
	/** How long a request may wait for a home that can't be reached. */
	uint64_t hold_us;
	uint64_t task_timeout_us;
	/** Quiet time before a graceful stop ends. */
	uint64_t drain_us;
};

/** Fills settings with the defaults; the strings are left NULL. */
void ph_entry_settings_init(struct ph_entry_settings *settings);

/**
 * Starts an entry instance. The settings' strings must outlive it. Returns
 * 0 and sets *entry, or a negative error number.
 */
int ph_entry_start(const struct ph_mem *mem,
		   const struct ph_entry_settings *settings,
		   struct ph_entry **entry);

/** Requests a graceful stop: queued jobs are handed over, running end. */
void ph_entry_stop(struct ph_entry *entry);

/** Waits until a requested stop has completed and frees the instance. */
void ph_entry_join(struct ph_entry *entry);

/** Requests a dump of the instance's state to the log. */
void ph_entry_dump(struct ph_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
