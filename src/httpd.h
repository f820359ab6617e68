#ifndef PH_HTTPD_H
#define PH_HTTPD_H

/* An HTTP server over libmicrohttpd whose requests are answered later, from
 * any thread. */

#include <stdbool.h>

#include "buf.h"

struct ph_httpd;

/** A whole request; it lives until it is answered. */
struct ph_http_req;

/** Called on a server thread with a whole request to be answered once. */
typedef void ph_http_handler_fn(void *ctx, struct ph_http_req *req);

struct ph_httpd_options {
	const struct ph_mem *mem;
	const char *address;
	uint16_t port;
	uint32_t threads;
	size_t max_body_bytes;
	ph_http_handler_fn *handler;
	void *ctx;
};

/** Starts a server; returns NULL if the address can't be had. */
struct ph_httpd *ph_httpd_new(const struct ph_httpd_options *options);

/** Stops accepting; requests under way go on. */
void ph_httpd_quiesce(struct ph_httpd *httpd);

/** Stops the server; every request must have been answered. */
void ph_httpd_free(struct ph_httpd *httpd);

const char *ph_http_req_method(const struct ph_http_req *req);
const char *ph_http_req_path(const struct ph_http_req *req);
const char *ph_http_req_body(const struct ph_http_req *req, size_t *len);
/** Value of a header or query argument, or NULL. */
const char *ph_http_req_header(const struct ph_http_req *req, const char *name);
const char *ph_http_req_arg(const struct ph_http_req *req, const char *name);

/** Socket of the request's connection, to see whether its caller is there. */
int ph_http_req_fd(const struct ph_http_req *req);

/** A reply; the body is copied. */
struct ph_http_reply {
	int status;
	const char *type;
	const char *body;
	size_t body_len;
	/** One more header, or NULLs. */
	const char *header;
	const char *value;
	/** Breaks the connection without an answer. */
	int abort;
	/** Closes the connection behind the answer. */
	int close;
};

/** Answers a request, from any thread; req is gone afterwards. */
void ph_http_req_reply(struct ph_http_req *req,
		       const struct ph_http_reply *reply);

#endif
