#ifndef PH_HTTPC_H
#define PH_HTTPC_H

/*
 * An asynchronous HTTP client on a thread of its own, over libcurl's multi
 * interface. It never repeats a request once any of the body has been sent.
 */

#include <stdbool.h>

#include "buf.h"

#define PH_HTTP_MAX_HEADERS 6U

/** A request to send. ph_httpc_send copies the strings. */
struct ph_http_call {
	const char *method;
	const char *url;
	/** "Name: value" lines; NULL entries are skipped. */
	const char *headers[PH_HTTP_MAX_HEADERS];
	/** NULL for a request without a body. */
	const char *body;
	size_t body_len;
	/** Time from ph_httpc_send to the end of the call. */
	uint64_t timeout_us;
	/** Passed to the done callback. */
	void *user;
};

struct ph_http_result {
	/**
	 * 0 if there is a response. PH_ERR_UNREACHABLE: the server can't have
	 * processed the request. PH_ERR_IO: it may have.
	 */
	int err;
	/** With PH_ERR_UNREACHABLE: the connection was refused, rather than not
	 * established in time. */
	bool refused;
	/** HTTP status, 0 if there is none. */
	int status;
	/** Value of the X-Consul-Index header, or 0. */
	uint64_t index;
	/** The response has the header "Connection: close". */
	bool closing;
	const char *body;
	size_t body_len;
};

/** Called on the client's thread; result is valid during the call only. */
typedef void ph_http_done_fn(void *ctx, void *user,
			     const struct ph_http_result *result);

struct ph_httpc;

struct ph_httpc_options {
	const struct ph_mem *mem;
	/**
	 * Most connections to one server, beyond which calls are queued; 0 for
	 * no limit.
	 */
	uint32_t connections_per_host;
	/** Local IP address to connect from, or NULL; copied. */
	const char *source;
	ph_http_done_fn *done;
	void *ctx;
};

struct ph_httpc *ph_httpc_new(const struct ph_httpc_options *options);

/** Stops the thread and drops all calls without reporting them. */
void ph_httpc_free(struct ph_httpc *client);

/**
 * Starts a call, whose outcome is reported once, through the done callback.
 * May be called on any thread.
 */
void ph_httpc_send(struct ph_httpc *client, const struct ph_http_call *call);

#endif
