#ifndef PH_ENTRY_IMPL_H
#define PH_ENTRY_IMPL_H

/* State shared by the parts of an entry instance's driver. */

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
	MAIL_HTTP,
	MAIL_MESSAGE,
	MAIL_REFUSED,
	MAIL_BROKEN,
	MAIL_TASK,
	MAIL_ROSTER_READ,
	MAIL_ROSTER_WRITTEN,
	MAIL_ROSTER_SEEN,
	MAIL_CONFIG,
	MAIL_LISTED,
	MAIL_WATCH_AGAIN,
	MAIL_STOP,
	MAIL_DUMP,
};

struct mail {
	struct ph_mail base;
	struct ph_http_req *req;
	struct ph_decoded_msg *box;
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

/* One waiting call at the platform, begun again when it returns. */
struct watch {
	struct watch *next;
	struct ph_entry *entry;
	enum mail_type news;
	char key[PH_ID_BYTES];
	uint64_t index;
	uint64_t due_us;
	bool waiting;
	bool retired;
};

struct ph_entry {
	const struct ph_mem *mem;
	struct ph_entry_settings set;
	char advertise[PH_ADDR_BYTES];
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct ph_mailbox *box;
	struct ph_core *core;
	struct ph_confstore conf;
	struct ph_httpd *httpd;
	struct ph_httpc *endpoints;
	struct ph_transport *transport;
	struct ph_platform *platform;
	struct watch *watches;
	struct ph_buf frame;
	uint64_t open_requests;
	uint64_t last_request_us;
	uint64_t config_sent_us;
	uint64_t endpoint_calls;
	uint64_t watch_calls;
	bool stopping;
	bool quiesced;
	uint64_t quiet_since_us;
};

/** Handles a caller's request on the control thread. */
void ph_entry_http(struct ph_entry *e, struct ph_http_req *req, uint64_t now);

/** Answers a request and counts it off. */
void ph_entry_answer(struct ph_entry *e, struct ph_http_req *req, int status,
		     const char *type, const char *body, size_t len);

/** Writes the state of the instance as one JSON document. */
void ph_entry_state(struct ph_entry *e, uint64_t now, struct ph_buf *out);

#endif
