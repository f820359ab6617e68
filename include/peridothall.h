#ifndef PERIDOTHALL_H
#define PERIDOTHALL_H

/*
 * Public interface of libperidothall: an embeddable entry instance of the
 * dispatcher, its settings, the allocator interface and the error codes.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ## Memory
 *
 * Every object allocates with the functions passed to its constructor. They
 * behave like the C library functions of the same names.
 */
struct ph_mem {
	void *(*calloc)(size_t count, size_t size);
	void *(*realloc)(void *ptr, size_t size);
	void (*free)(void *ptr);
};

/** Returns a static allocator that uses the C library and aborts the process
 * when memory runs out. */
const struct ph_mem *ph_mem_default(void);

/**
 * ## Errors
 *
 * Functions that can fail return 0 (PH_OK) or one of these negative codes.
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

/** Returns a static English description of an error code. */
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
 * An entry instance accepts jobs from callers, holds its share of the ledger
 * (the records of jobs and task starts) and dispatches tasks to endpoints. It
 * runs on its own threads.
 */
struct ph_entry;

struct ph_entry_settings {
	/** Unique name of the instance. */
	const char *name;
	/** Failure domain that the instance serves. */
	const char *domain;
	/** IP address that sockets bind to, including those of outgoing
	 * connections to peers. */
	const char *address;
	uint16_t http_port;
	uint16_t peer_port;
	/** "ip:port" to which peers connect; NULL: address and peer_port. */
	const char *advertise;
	/** "ip:port,..." of instances that get heartbeats while no roster is
	 * known. */
	const char *seeds;
	/** Base URL of the platform's key-value service. */
	const char *platform_url;
	/** Heartbeat interval. */
	uint64_t ping_every_us;
	/** Time without a message from a peer after which the instance requests
	 * the peer's removal from the roster. */
	uint64_t suspect_after_us;
	/** Time without contact to a peer and to the platform after which first
	 * attempts of tasks start without that peer's acknowledgement. */
	uint64_t solo_after_us;
	/** Time for which the records of ended jobs are kept. */
	uint64_t retention_us;
	/** Most bytes of kept answers of ended jobs, 0: no limit. Answers over
	 * the limit are dropped; the job ids are still kept. */
	uint64_t answer_bytes_max;
	/** Longest time for which a request waits while the job's home can't be
	 * reached. */
	uint64_t hold_us;
	/** Time limit of one call to an endpoint. */
	uint64_t task_timeout_us;
	/** Time without a new request before a graceful stop completes. */
	uint64_t drain_us;
};

/** Sets all settings to their defaults; strings are set to NULL. */
void ph_entry_settings_init(struct ph_entry_settings *settings);

/**
 * Starts an entry instance. The strings in settings must stay valid until
 * ph_entry_join() returns. Returns 0 and sets *entry, or a negative error code.
 */
int ph_entry_start(const struct ph_mem *mem,
		   const struct ph_entry_settings *settings,
		   struct ph_entry **entry);

/** Requests a graceful stop: queued jobs are handed over to other instances,
 * running jobs are completed. */
void ph_entry_stop(struct ph_entry *entry);

/** Waits for the stop requested by ph_entry_stop() and frees the instance. */
void ph_entry_join(struct ph_entry *entry);

/** Requests that the instance writes its state to the log. */
void ph_entry_dump(struct ph_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
