#ifndef PH_HTTPD_H
#define PH_HTTPD_H

/*
 * An HTTP server on top of libmicrohttpd. Requests are handed to a callback
 * once they have arrived whole, and may be answered later from any thread.
 */

#include <stdbool.h>

#include "buf.h"

struct ph_httpd;

/** A request with its whole body; valid until it is answered. */
struct ph_http_req;

/** Takes a request, on a server thread; it must be answered exactly once. */
typedef void ph_http_handler_fn(void *ctx, struct ph_http_req *req);

struct ph_httpd_options {
	const struct ph_mem *mem;
	/** IPv4 address to listen on. */
	const char *address;
	uint16_t port;
	/** Server threads; 0 counts as 1. */
	uint32_t threads;
	/** Requests with a larger body are answered with status 413. */
	size_t max_body_bytes;
	ph_http_handler_fn *handler;
	void *ctx;
};

/** Starts a server; returns NULL if it can't listen on the address. */
struct ph_httpd *ph_httpd_new(const struct ph_httpd_options *options);

/** Stops accepting connections; those that are open are still served. */
void ph_httpd_quiesce(struct ph_httpd *httpd);

/** Stops the server; every request must have been answered. */
void ph_httpd_free(struct ph_httpd *httpd);

/* The strings that these functions return belong to the request. */

const char *ph_http_req_method(const struct ph_http_req *req);
const char *ph_http_req_path(const struct ph_http_req *req);

/** Returns the body, NUL-terminated, and sets *len; never NULL. */
const char *ph_http_req_body(const struct ph_http_req *req, size_t *len);

/** Return the value of a header or of a query argument, NULL if absent. */
const char *ph_http_req_header(const struct ph_http_req *req, const char *name);
const char *ph_http_req_arg(const struct ph_http_req *req, const char *name);

/**
 * Returns the descriptor of the request's connection, for checks whether the
 * caller has disconnected, or -1.
 */
int ph_http_req_fd(const struct ph_http_req *req);

/** A response. ph_http_req_reply copies the strings. */
struct ph_http_reply {
	int status;
	/** Content type; NULL stands for application/json. */
	const char *type;
	const char *body;
	size_t body_len;
	/** Name and value of an additional header, or NULL. */
	const char *header;
	const char *value;
	/** Non-zero closes the connection without a response. */
	int abort;
	/** Non-zero closes the connection after the response. */
	int close;
};

/** Answers a request, on any thread; req must not be used afterwards. */
void ph_http_req_reply(struct ph_http_req *req,
		       const struct ph_http_reply *reply);

#endif
