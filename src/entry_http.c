#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"
#include "hangups.h"
#include "ident.h"

#define US_PER_MS 1000U

void ph_entry_answer(struct ph_entry *e, struct ph_http_req *req, int status,
		     const char *type, const char *body, size_t len)
{
	struct ph_http_reply reply = {
		.status = status,
		.type = type,
		.body = body,
		.body_len = len,
	};

	if (status == 503) {
		reply.header = "Retry-After";
		reply.value = "1";
	}
	if (e->stopping) {
		reply.header = "Connection";
		reply.value = "close";
	}
	e->open_requests--;
	ph_http_req_reply(req, &reply);
}

static void answer_text(struct ph_entry *e, struct ph_http_req *req, int status,
			const char *text)
{
	ph_entry_answer(e, req, status, NULL, text, strlen(text));
}

/* Returns the team whose key the request bears, or NULL. */
static const struct ph_team *authenticate(const struct ph_entry *e,
					  const struct ph_http_req *req)
{
	static const char scheme[] = "Bearer ";
	const char *value = ph_http_req_header(req, "Authorization");

	if (!value || !e->conf.config ||
	    strncmp(value, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	return ph_config_team_by_key(e->conf.config,
				     value + sizeof(scheme) - 1);
}

/* Splits /v1/services/{service}/jobs/{id}; false if the path has another form
 * or a part is too long. */
static bool split_path(const char *path, char service[PH_NAME_BYTES],
		       char id[PH_ID_BYTES])
{
	static const char prefix[] = "/v1/services/";
	static const char separator[] = "/jobs/";
	const char *at;
	size_t len;

	if (strncmp(path, prefix, sizeof(prefix) - 1) != 0)
		return false;
	path += sizeof(prefix) - 1;
	at = strstr(path, separator);
	if (!at)
		return false;
	len = (size_t)(at - path);
	if (len >= PH_NAME_BYTES ||
	    strlen(at) - sizeof(separator) + 1 >= PH_ID_BYTES)
		return false;
	memcpy(service, path, len);
	service[len] = '\0';
	ph_strcopy(id, PH_ID_BYTES, at + sizeof(separator) - 1);
	return true;
}

/* Returns 0 for a method that jobs do not have. */
static enum ph_request_type request_type(const char *method)
{
	if (!strcmp(method, "POST"))
		return PH_REQUEST_SUBMIT;
	if (!strcmp(method, "GET"))
		return PH_REQUEST_WAIT;
	if (!strcmp(method, "DELETE"))
		return PH_REQUEST_CANCEL;
	return 0;
}

/* Whether a job was first sent longer ago than ended jobs are kept. Its record
 * may be gone from the ledger, so an unknown id does not show that the job is
 * new, and accepting it could run its tasks twice. */
static bool is_past_retention(const struct ph_entry *e,
			      const struct ph_http_req *req)
{
	const char *value = ph_http_req_header(req, "Sent-Ago-Ms");

	return value && strtoull(value, NULL, 10) >=
				e->settings.retention_us / US_PER_MS;
}

/* Checks a request on a job and passes it to the core, which answers it. */
static void handle_job(struct ph_entry *e, struct ph_http_req *req,
		       uint64_t now)
{
	char service[PH_NAME_BYTES];
	char id[PH_ID_BYTES];
	struct ph_request q = { 0 };
	const struct ph_team *team;

	if (!split_path(ph_http_req_path(req), service, id)) {
		answer_text(e, req, 404,
			    "{\"error\":\"unknown path\",\"field\":\"path\"}");
		return;
	}
	if (!ph_id_valid(id) || !ph_name_valid(service)) {
		answer_text(e, req, 400,
			    "{\"error\":\"not 1 to 95 of [A-Za-z0-9._~-]\","
			    "\"field\":\"id\"}");
		return;
	}
	q.type = request_type(ph_http_req_method(req));
	if (!q.type) {
		answer_text(e, req, 405,
			    "{\"error\":\"unknown method\","
			    "\"field\":\"method\"}");
		return;
	}
	if (!e->conf.config) {
		answer_text(e, req, 503,
			    "{\"state\":\"pending\","
			    "\"error\":\"no configuration is known yet\"}");
		return;
	}
	team = authenticate(e, req);
	if (!team) {
		answer_text(e, req, 401,
			    "{\"error\":\"unknown key\","
			    "\"field\":\"Authorization\"}");
		return;
	}
	if (q.type == PH_REQUEST_SUBMIT && is_past_retention(e, req)) {
		answer_text(e, req, 410,
			    "{\"error\":\"first sent before the window; its "
			    "tasks may have run\","
			    "\"field\":\"Sent-Ago-Ms\"}");
		return;
	}
	q.attempt = ph_request_attempt(ph_http_req_header(req, "Attempt"),
				       ph_hung_up(ph_http_req_fd(req)));
	q.team = team->name;
	q.service = service;
	q.id = id;
	q.body = ph_http_req_body(req, &q.body_len);
	ph_core_request(e->core, now, (uint64_t)(uintptr_t)req, &q);
}

void ph_entry_state(struct ph_entry *e, uint64_t now, struct ph_buf *out)
{
	struct ph_transport_counters c;

	ph_transport_counters(e->transport, &c);
	ph_buf_printf(out,
		      "{\"process\":{\"open_requests\":%llu,"
		      "\"endpoint_calls\":%llu,\"watch_calls\":%llu,"
		      "\"config_stale\":%llu,\"config_invalid\":%llu,"
		      "\"peer_bytes_sent\":%llu,\"peer_bytes_received\":%llu,"
		      "\"peer_bad_frames\":%llu,\"peer_dials\":%llu},\"core\":",
		      (unsigned long long)e->open_requests,
		      (unsigned long long)e->endpoint_calls,
		      (unsigned long long)e->watch_calls,
		      (unsigned long long)e->conf.stale,
		      (unsigned long long)e->conf.invalid,
		      (unsigned long long)c.bytes_sent,
		      (unsigned long long)c.bytes_received,
		      (unsigned long long)c.bad_frames,
		      (unsigned long long)c.dials);
	ph_core_dump(e->core, now, out);
	ph_buf_puts(out, "}\n");
}

static void handle_state(struct ph_entry *e, struct ph_http_req *req,
			 uint64_t now)
{
	struct ph_buf out;

	ph_buf_init(&out, e->mem);
	ph_entry_state(e, now, &out);
	ph_entry_answer(e, req, 200, NULL, out.data, out.len);
	ph_buf_free(&out);
}

static void handle_metrics(struct ph_entry *e, struct ph_http_req *req)
{
	struct ph_buf out;

	ph_buf_init(&out, e->mem);
	ph_core_metrics(e->core, &out);
	ph_entry_answer(e, req, 200, "text/plain; version=0.0.4", out.data,
			out.len);
	ph_buf_free(&out);
}

void ph_entry_http(struct ph_entry *e, struct ph_http_req *req, uint64_t now)
{
	const char *path = ph_http_req_path(req);

	e->open_requests++;
	e->last_request_us = now;
	if (!strcmp(path, "/healthz"))
		answer_text(e, req, 200, "{\"healthy\":true}");
	else if (!strcmp(path, "/readyz"))
		answer_text(e, req, ph_core_ready(e->core) ? 200 : 503,
			    ph_core_ready(e->core) ? "{\"ready\":true}"
						   : "{\"ready\":false}");
	else if (!strcmp(path, "/v1/state"))
		handle_state(e, req, now);
	else if (!strcmp(path, "/metrics"))
		handle_metrics(e, req);
	else
		handle_job(e, req, now);
}
