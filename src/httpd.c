#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include <microhttpd.h>

#include "httpd.h"

/* Connections without activity for this long are closed. */
#define IDLE_TIMEOUT_S 120U
#define CONNECTION_LIMIT 8192U

struct ph_httpd {
	const struct ph_mem *mem;
	struct ph_httpd_options opt;
	struct MHD_Daemon *daemon;
	/** Listening socket given back by the daemon, to be closed; or -1. */
	int listen_fd;
};

struct ph_http_req {
	struct ph_httpd *httpd;
	struct MHD_Connection *connection;
	const char *method;
	char *path;
	struct ph_buf body;
	/** The body is over the limit; the excess has been dropped. */
	bool too_large;
	/** Passed to the handler. */
	bool handed_over;
	/** The reply; response is NULL until there is one. */
	bool abort;
	int status;
	struct MHD_Response *response;
};

static struct ph_http_req *req_new(struct ph_httpd *httpd,
				   struct MHD_Connection *connection,
				   const char *method, const char *path)
{
	struct ph_http_req *req = httpd->mem->calloc(1, sizeof(*req));

	req->httpd = httpd;
	req->connection = connection;
	req->method = method;
	req->path = ph_memdup(httpd->mem, path, strlen(path));
	ph_buf_init(&req->body, httpd->mem);
	return req;
}

static void build_response(struct ph_http_req *req,
			   const struct ph_http_reply *reply)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		reply->body_len, (void *)reply->body, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
				reply->type ? reply->type : "application/json");
	if (reply->header)
		MHD_add_response_header(r, reply->header, reply->value);
	if (reply->close)
		MHD_add_response_header(r, MHD_HTTP_HEADER_CONNECTION, "close");
	req->status = reply->status;
	req->abort = reply->abort != 0;
	req->response = r;
}

/* Sends the response; MHD_NO makes libmicrohttpd close the connection. */
static enum MHD_Result queue_response(struct ph_http_req *req)
{
	if (req->abort)
		return MHD_NO;
	return MHD_queue_response(req->connection, (unsigned int)req->status,
				  req->response);
}

static enum MHD_Result reject_too_large(struct ph_http_req *req)
{
	static const char doc[] =
		"{\"error\":\"body over 1 MB\",\"field\":\"/\"}";
	struct ph_http_reply reply = { .status = 413,
				       .body = doc,
				       .body_len = sizeof(doc) - 1 };

	build_response(req, &reply);
	return queue_response(req);
}

/* The daemon's access handler. libmicrohttpd calls it for the request's
 * headers, for each part of the body, at the end of the body, and again once
 * ph_http_req_reply has resumed the connection. */
static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **state)
{
	struct ph_httpd *httpd = ctx;
	struct ph_http_req *req = *state;

	(void)version;
	if (!req) {
		*state = req_new(httpd, connection, method, url);
		return MHD_YES;
	}
	if (*size) {
		if (req->body.len + *size > httpd->opt.max_body_bytes)
			req->too_large = true;
		else
			ph_buf_put(&req->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (req->too_large)
		return reject_too_large(req);
	if (req->handed_over)
		return queue_response(req);
	req->handed_over = true;
	MHD_suspend_connection(connection);
	httpd->opt.handler(httpd->opt.ctx, req);
	return MHD_YES;
}

/* Frees a request after its response was sent or its connection closed. */
static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	struct ph_httpd *httpd = ctx;
	struct ph_http_req *req = *state;

	(void)connection;
	(void)code;
	if (!req)
		return;
	if (req->response)
		MHD_destroy_response(req->response);
	ph_buf_free(&req->body);
	httpd->mem->free(req->path);
	httpd->mem->free(req);
	*state = NULL;
}

struct ph_httpd *ph_httpd_new(const struct ph_httpd_options *options)
{
	struct ph_httpd *httpd = options->mem->calloc(1, sizeof(*httpd));
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(options->port) };
	unsigned int threads = options->threads ? options->threads : 1;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;

	httpd->mem = options->mem;
	httpd->opt = *options;
	httpd->listen_fd = -1;
	inet_pton(AF_INET, options->address, &at.sin_addr);
	httpd->daemon = MHD_start_daemon(
		flags, options->port, NULL, NULL, on_request, httpd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
		MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_CONNECTION_TIMEOUT,
		IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT,
		threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END,
		threads, MHD_OPTION_END);
	if (!httpd->daemon) {
		httpd->mem->free(httpd);
		return NULL;
	}
	return httpd;
}

void ph_httpd_quiesce(struct ph_httpd *httpd)
{
	if (httpd->listen_fd < 0)
		httpd->listen_fd = MHD_quiesce_daemon(httpd->daemon);
	if (httpd->listen_fd >= 0)
		close(httpd->listen_fd);
	httpd->listen_fd = -1;
}

void ph_httpd_free(struct ph_httpd *httpd)
{
	if (!httpd)
		return;
	MHD_stop_daemon(httpd->daemon);
	httpd->mem->free(httpd);
}

const char *ph_http_req_method(const struct ph_http_req *req)
{
	return req->method;
}

const char *ph_http_req_path(const struct ph_http_req *req)
{
	return req->path;
}

const char *ph_http_req_body(const struct ph_http_req *req, size_t *len)
{
	*len = req->body.len;
	return req->body.data ? req->body.data : "";
}

const char *ph_http_req_header(const struct ph_http_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND,
					   name);
}

const char *ph_http_req_arg(const struct ph_http_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

int ph_http_req_fd(const struct ph_http_req *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

void ph_http_req_reply(struct ph_http_req *req,
		       const struct ph_http_reply *reply)
{
	build_response(req, reply);
	MHD_resume_connection(req->connection);
}
