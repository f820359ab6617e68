#ifndef PH_ENTRY_IMPL_H
#define PH_ENTRY_IMPL_H

/* State shared by entry.c (threads, platform, peers, endpoints) and
 * entry_http.c (requests of callers). All of it belongs to the control thread,
 * which is the only one that calls the core; other threads put mail into its
 * mailbox. */

#include <apr_thread_proc.h>

#include "confstore.h"
#include "entry_core.h"
#include "httpc.h"
#include "httpd.h"
#include "mailbox.h"
#include "platform.h"
#include "transport.h"

/* ## Mail to the control thread */

enum mail_type {
	/** A caller's request: req. */
	MAIL_HTTP_REQUEST,
	/** A message from another instance: msg. */
	MAIL_MESSAGE,
	/** A peer refused a connection: addr. */
	MAIL_CONNECTION_REFUSED,
	/** The connection to a peer was closed: addr. */
	MAIL_DISCONNECTED,
	/** A task has ended: start_id, outcome, status, data, len. */
	MAIL_TASK_DONE,
	/** Result of a read of the own roster: err, index, data, len. */
	MAIL_ROSTER_READ,
	/** Result of a write of the own roster: err. */
	MAIL_ROSTER_WRITTEN,
	/** A roster from the watch on all rosters: index, data, len. */
	MAIL_ROSTER_SEEN,
	/** A configuration from the platform: data, len. */
	MAIL_CONFIG,
	/** Value of the evacuation key of the own failure domain: data, len;
	 * empty if there is none. */
	MAIL_EVACUATION,
	/** The endpoints of a service: watch, listed, listed_count. */
	MAIL_ENDPOINTS,
	/** A watch has returned: watch, err, index. */
	MAIL_WATCH_RETURNED,
	MAIL_STOP,
	MAIL_DUMP,
};

/** One mail; which members are set depends on the type. */
struct mail {
	struct ph_mail base;
	struct ph_http_req *req;
	struct ph_decoded_msg *msg;
	char addr[PH_ADDR_BYTES];
	uint64_t start_id;
	enum ph_outcome outcome;
	int status;
	int err;
	uint64_t index;
	char *data;
	size_t len;
	struct ph_endpoint_info *listed;
	size_t listed_count;
	struct watch *watch;
};

/* A blocking query at the platform, which is sent again when it returns. */
struct watch {
	struct watch *next;
	struct ph_entry *entry;
	/** Type of the mail that passes each item on; it also selects the
	 * query. */
	enum mail_type item_mail;
	/** Key, key prefix or service name. */
	char key[PH_ID_BYTES];
	/** The query returns once the platform's index is higher. */
	uint64_t index;
	/** Earliest time of the next query, after an error. */
	uint64_t retry_at_us;
	/** The query has been sent and has not returned. */
	bool in_flight;
	/** Never set or read. */
	bool retired;
};

struct ph_entry {
	const struct ph_mem *mem;
	struct ph_entry_settings settings;
	/** "ip:port" to which peers connect. */
	char advertise[PH_ADDR_BYTES];
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct ph_mailbox *mailbox;
	struct ph_core *core;
	struct ph_confstore conf;
	struct ph_httpd *httpd;
	/** Client for the starts of tasks at endpoints. */
	struct ph_httpc *endpoints;
	struct ph_transport *transport;
	struct ph_platform *platform;
	struct watch *watches;
	/** Buffer for encoded messages, reused by each send. */
	struct ph_buf frame;
	/** Requests of callers that are not answered yet. */
	uint64_t open_requests;
	uint64_t last_request_us;
	/** When the configuration was last sent to a peer. */
	uint64_t config_sent_us;
	/** Calls since the start of the process. */
	uint64_t endpoint_calls;
	uint64_t watch_calls;
	/** The evacuation of the own failure domain is requested. */
	bool evacuated;
	/** A stop was requested. */
	bool stopping;
	/** The HTTP server no longer accepts connections. */
	bool quiesced;
	/** Start of the time that LINGER_US counts. */
	uint64_t idle_since_us;
};

/** Handles a caller's request on the control thread. */
void ph_entry_http(struct ph_entry *e, struct ph_http_req *req, uint64_t now);

/** Answers a request and frees it. A NULL type means JSON. */
void ph_entry_answer(struct ph_entry *e, struct ph_http_req *req, int status,
		     const char *type, const char *body, size_t len);

/** Appends the state of the instance as one JSON document. */
void ph_entry_state(struct ph_entry *e, uint64_t now, struct ph_buf *out);

#endif
