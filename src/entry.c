#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_thread_proc.h>

#include "clock.h"
#include "entry_impl.h"
#include "log.h"

#define PART "entry"
/* Heartbeat intervals after which a connection of a peer from which nothing
 * comes is closed. */
#define PEER_IDLE_INTERVALS 40U
#define HTTP_THREADS 2U
#define CONNECTIONS_PER_ENDPOINT 8U
#define PLATFORM_CALL_TIMEOUT_US 1000000U
/* Longest time for which the platform holds a watch that finds no change. */
#define WATCH_WAIT_US 20000000U
/* Delay before a failed watch is sent again. */
#define WATCH_RETRY_US 300000U
/* Shortest time between two messages with the configuration, to any peer. */
#define CONFIG_SEND_INTERVAL_US 200000U
/* Time from the end of accepting connections to the exit, in which requests on
 * connections that were accepted before are still answered. */
#define LINGER_US 300000U
#define KEY_CONFIG "peridothall/config"
#define KEY_ROSTERS "peridothall/rosters/"
#define URL_BYTES 256
#define HEADER_BYTES 256

static struct mail *mail_new(struct ph_entry *e, enum mail_type type)
{
	struct mail *m = e->mem->calloc(1, sizeof(*m));

	m->base.type = (int)type;
	return m;
}

static void post(struct ph_entry *e, struct mail *m)
{
	ph_mailbox_put(e->mailbox, &m->base);
}

/* ## Events from other threads */

static void on_http_request(void *ctx, struct ph_http_req *req)
{
	struct ph_entry *e = ctx;
	struct mail *m = mail_new(e, MAIL_HTTP_REQUEST);

	m->req = req;
	post(e, m);
}

static int on_frame(void *ctx, const char *data, size_t len)
{
	struct ph_entry *e = ctx;
	struct ph_decoded_msg *msg;
	struct mail *m;
	int err = ph_msg_decode(e->mem, data, len, &msg);

	if (err)
		return err;
	m = mail_new(e, MAIL_MESSAGE);
	m->msg = msg;
	post(e, m);
	return 0;
}

static void post_addr(struct ph_entry *e, enum mail_type type, const char *addr)
{
	struct mail *m = mail_new(e, type);

	ph_strcopy(m->addr, sizeof(m->addr), addr);
	post(e, m);
}

static void on_connection_refused(void *ctx, const char *addr)
{
	post_addr(ctx, MAIL_CONNECTION_REFUSED, addr);
}

static void on_disconnected(void *ctx, const char *addr)
{
	post_addr(ctx, MAIL_DISCONNECTED, addr);
}

static const struct ph_transport_events peer_events = {
	.frame = on_frame,
	.refused = on_connection_refused,
	.broken = on_disconnected,
};

/* Maps the result of a call at an endpoint to the outcome of the task. With 503
 * the endpoint refuses the task; if it also closes the connection, it is
 * leaving. Any other status means that the task has run. Without an answer it
 * may have run, unless the request was never sent. */
static enum ph_outcome task_outcome(const struct ph_http_result *result)
{
	if (result->err == PH_ERR_UNREACHABLE)
		return PH_OUTCOME_NOT_STARTED;
	if (result->err)
		return PH_OUTCOME_AMBIGUOUS;
	if (result->status == 503)
		return result->closing ? PH_OUTCOME_LEAVING
				       : PH_OUTCOME_NOT_STARTED;
	return PH_OUTCOME_DONE;
}

static void on_task_done(void *ctx, void *user,
			 const struct ph_http_result *result)
{
	struct ph_entry *e = ctx;
	struct mail *m = mail_new(e, MAIL_TASK_DONE);

	m->start_id = (uint64_t)(uintptr_t)user;
	m->outcome = task_outcome(result);
	m->status = result->status;
	m->data = ph_memdup(e->mem, result->body, result->body_len);
	m->len = result->body_len;
	post(e, m);
}

static void on_roster_read(void *ctx, const struct ph_platform_reply *reply)
{
	struct ph_entry *e = ctx;
	struct mail *m = mail_new(e, MAIL_ROSTER_READ);

	m->err = reply->err;
	if (reply->item_count) {
		m->index = reply->items[0].index;
		m->data = ph_memdup(e->mem, reply->items[0].value,
				    reply->items[0].len);
		m->len = reply->items[0].len;
	}
	post(e, m);
}

static void on_roster_written(void *ctx, const struct ph_platform_reply *reply)
{
	struct ph_entry *e = ctx;
	struct mail *m = mail_new(e, MAIL_ROSTER_WRITTEN);

	m->err = reply->err;
	post(e, m);
}

/* Posts each item of a reply as a mail of its own. */
static void post_items(struct watch *w, const struct ph_platform_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->item_count; i++) {
		struct mail *m = mail_new(w->entry, w->item_mail);

		m->index = reply->items[i].index;
		m->data = ph_memdup(w->entry->mem, reply->items[i].value,
				    reply->items[i].len);
		m->len = reply->items[i].len;
		post(w->entry, m);
	}
}

static void on_watch(void *ctx, const struct ph_platform_reply *reply)
{
	struct watch *w = ctx;
	struct ph_entry *e = w->entry;
	struct mail *m = mail_new(e, MAIL_WATCH_RETURNED);

	if (!reply->err)
		post_items(w, reply);
	/* The key was removed, or there is none. */
	if (!reply->err && !reply->item_count &&
	    w->item_mail == MAIL_EVACUATION)
		post(e, mail_new(e, MAIL_EVACUATION));
	m->watch = w;
	m->err = reply->err;
	m->index = reply->index;
	post(e, m);
}

static void on_endpoints_listed(void *ctx,
				const struct ph_platform_reply *reply)
{
	struct watch *w = ctx;
	struct ph_entry *e = w->entry;
	struct mail *m;

	if (!reply->err) {
		size_t bytes = reply->listed_count * sizeof(*reply->listed);

		m = mail_new(e, MAIL_ENDPOINTS);
		m->watch = w;
		m->listed = e->mem->calloc(1, bytes);
		if (bytes)
			memcpy(m->listed, reply->listed, bytes);
		m->listed_count = reply->listed_count;
		post(e, m);
	}
	m = mail_new(e, MAIL_WATCH_RETURNED);
	m->watch = w;
	m->err = reply->err;
	m->index = reply->index;
	post(e, m);
}

/* ## Outputs of the core */

static void sink_send(void *ctx, const char *addr, const struct ph_msg *msg)
{
	struct ph_entry *e = ctx;

	e->frame.len = 0;
	ph_msg_encode(msg, &e->frame);
	ph_transport_send(e->transport, addr, e->frame.data, e->frame.len);
}

static void sink_renew_link(void *ctx, const char *addr)
{
	struct ph_entry *e = ctx;

	ph_log(PART, "%s answers no heartbeats; opening a new connection.",
	       addr);
	ph_transport_renew(e->transport, addr);
}

static void sink_start(void *ctx, const struct ph_start *start)
{
	struct ph_entry *e = ctx;
	char url[URL_BYTES];
	char task[HEADER_BYTES];
	struct ph_http_call call = {
		.method = "POST",
		.url = url,
		.headers = { "Content-Type: application/json", task },
		.body = start->payload_len ? start->payload : "null",
		.body_len = start->payload_len ? start->payload_len : 4,
		.timeout_us = e->settings.task_timeout_us,
		.user = (void *)(uintptr_t)start->start_id,
	};

	snprintf(url, sizeof(url), "http://%s/run/%s/%s", start->addr,
		 start->service, start->kind);
	snprintf(task, sizeof(task), "Task: %s/%u", start->key, start->index);
	e->endpoint_calls++;
	ph_httpc_send(e->endpoints, &call);
}

static void sink_reply(void *ctx, uint64_t token, int status, const char *doc,
		       size_t len)
{
	ph_entry_answer(ctx, (struct ph_http_req *)(uintptr_t)token, status,
			NULL, doc, len);
}

static void roster_key(const struct ph_entry *e, char key[PH_ID_BYTES])
{
	snprintf(key, PH_ID_BYTES, KEY_ROSTERS "%s", e->settings.domain);
}

static void sink_roster_read(void *ctx)
{
	struct ph_entry *e = ctx;
	char key[PH_ID_BYTES];

	roster_key(e, key);
	e->platform->ops->get(e->platform, key, false, on_roster_read, e);
}

static void sink_roster_write(void *ctx, uint64_t index, const char *doc,
			      size_t len)
{
	struct ph_entry *e = ctx;
	char key[PH_ID_BYTES];

	roster_key(e, key);
	e->platform->ops->put(e->platform, key, index, doc, len,
			      on_roster_written, e);
}

static const struct ph_core_sink core_sink = {
	.send = sink_send,
	.renew_link = sink_renew_link,
	.start = sink_start,
	.reply = sink_reply,
	.roster_read = sink_roster_read,
	.roster_write = sink_roster_write,
};

/* ## Watches */

static void watch_start(struct watch *w)
{
	struct ph_entry *e = w->entry;
	struct ph_platform *p = e->platform;

	w->in_flight = true;
	e->watch_calls++;
	if (w->item_mail == MAIL_ENDPOINTS)
		p->ops->list_instances(p, w->key, w->index, on_endpoints_listed,
				       w);
	else
		p->ops->watch(p, w->key, w->item_mail == MAIL_ROSTER_SEEN,
			      w->index, on_watch, w);
}

static void watch_add(struct ph_entry *e, enum mail_type item_mail,
		      const char *key)
{
	struct watch *w = e->mem->calloc(1, sizeof(*w));

	w->entry = e;
	w->item_mail = item_mail;
	ph_strcopy(w->key, sizeof(w->key), key);
	w->next = e->watches;
	e->watches = w;
	watch_start(w);
}

/* Sends the query again, at once or, after an error, in WATCH_RETRY_US. */
static void watch_returned(struct ph_entry *e, const struct mail *m,
			   uint64_t now)
{
	struct watch *w = m->watch;

	w->in_flight = false;
	w->retry_at_us = m->err ? now + WATCH_RETRY_US : now;
	/* A lower index than before means that the platform's store was
	 * restored from a backup: start from 0 to read everything anew. */
	if (!m->err)
		w->index = m->index < w->index ? 0 : m->index;
	if (!m->err && !e->stopping)
		watch_start(w);
}

static void watches_retry(struct ph_entry *e, uint64_t now)
{
	struct watch *w;

	for (w = e->watches; w; w = w->next)
		if (!w->in_flight && now >= w->retry_at_us && !e->stopping)
			watch_start(w);
}

/* Whether the endpoints of a service are watched already. */
static bool is_watched(const struct ph_entry *e, const char *service)
{
	const struct watch *w;

	for (w = e->watches; w; w = w->next)
		if (w->item_mail == MAIL_ENDPOINTS && !strcmp(w->key, service))
			return true;
	return false;
}

/* ## Configuration */

/* Applies a configuration document if it is valid and newer than the one in
 * force, and watches the endpoints of services that are new in it. */
static void apply_config(struct ph_entry *e, const char *doc, size_t len,
			 uint64_t now)
{
	const struct ph_config *config;
	size_t i;

	switch (ph_confstore_offer(&e->conf, doc, len)) {
	case 0:
		break;
	case PH_ERR_SYNTAX:
		ph_log(PART,
		       "Ignored an invalid configuration of %zu bytes; version "
		       "%llu stays in force.",
		       len, (unsigned long long)ph_confstore_version(&e->conf));
		return;
	default:
		return;
	}
	config = e->conf.config;
	ph_log(PART, "Applied configuration version %llu.",
	       (unsigned long long)config->version);
	ph_core_set_config(e->core, now, config);
	for (i = 0; i < config->service_count; i++)
		if (!is_watched(e, config->services[i].name))
			watch_add(e, MAIL_ENDPOINTS, config->services[i].name);
}

/* Sends the configuration to a peer that reports an older version. */
static void send_newer_config(struct ph_entry *e, const struct ph_msg *msg,
			      uint64_t now)
{
	struct ph_msg out = { .type = PH_MSG_CONFIG };

	if (msg->config_version >= ph_confstore_version(&e->conf))
		return;
	if (now < e->config_sent_us + CONFIG_SEND_INTERVAL_US)
		return;
	e->config_sent_us = now;
	out.name = e->settings.name;
	out.domain = e->settings.domain;
	out.addr = e->advertise;
	out.incarnation = 0;
	out.config_version = ph_confstore_version(&e->conf);
	out.doc = e->conf.doc;
	out.doc_len = e->conf.len;
	sink_send(e, msg->addr, &out);
}

/* ## Control thread */

/* The value of the domain's evacuation key: only PH_EVACUATION_ON requests it.
 */
static void handle_evacuation(struct ph_entry *e, const struct mail *m,
			      uint64_t now)
{
	bool on = m->len == strlen(PH_EVACUATION_ON) &&
		  !memcmp(m->data, PH_EVACUATION_ON, m->len);

	if (on == e->evacuated)
		return;
	e->evacuated = on;
	ph_log(PART, "The evacuation of %s %s (index %llu).",
	       e->settings.domain, on ? "is requested" : "has ended",
	       (unsigned long long)m->index);
	ph_core_set_evacuated(e->core, now, on);
}

/* Passes the endpoints of the own failure domain, and those without a domain,
 * to the core. */
static void handle_endpoints(struct ph_entry *e, struct mail *m, uint64_t now)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < m->listed_count; i++)
		if (!m->listed[i].domain[0] ||
		    !strcmp(m->listed[i].domain, e->settings.domain))
			m->listed[kept++] = m->listed[i];
	ph_core_set_endpoints(e->core, now, m->watch->key, m->listed, kept);
}

static void handle_message(struct ph_entry *e, const struct ph_msg *msg,
			   uint64_t now)
{
	if (msg->type == PH_MSG_CONFIG) {
		apply_config(e, msg->doc, msg->doc_len, now);
		return;
	}
	if (msg->type == PH_MSG_PING || msg->type == PH_MSG_PONG)
		send_newer_config(e, msg, now);
	ph_core_message(e->core, now, msg);
}

static void log_state(struct ph_entry *e, uint64_t now)
{
	struct ph_buf out;

	ph_buf_init(&out, e->mem);
	ph_entry_state(e, now, &out);
	fputs(out.data, stderr);
	ph_buf_free(&out);
}

static void handle(struct ph_entry *e, struct mail *m, uint64_t now)
{
	switch ((enum mail_type)m->base.type) {
	case MAIL_HTTP_REQUEST:
		ph_entry_http(e, m->req, now);
		break;
	case MAIL_MESSAGE:
		handle_message(e, ph_decoded_msg_get(m->msg), now);
		break;
	case MAIL_CONNECTION_REFUSED:
		ph_core_connection_refused(e->core, now, m->addr);
		break;
	case MAIL_DISCONNECTED:
		ph_core_disconnected(e->core, now, m->addr);
		break;
	case MAIL_TASK_DONE:
		ph_core_task_done(e->core, now, m->start_id, m->outcome,
				  m->status, m->data, m->len);
		break;
	case MAIL_ROSTER_READ:
		ph_core_roster_read(e->core, now, m->err, m->index, m->data,
				    m->len);
		break;
	case MAIL_ROSTER_WRITTEN:
		ph_core_roster_written(e->core, now, m->err);
		break;
	case MAIL_ROSTER_SEEN:
		ph_core_roster_seen(e->core, now, m->index, m->data, m->len);
		break;
	case MAIL_CONFIG:
		apply_config(e, m->data, m->len, now);
		break;
	case MAIL_EVACUATION:
		handle_evacuation(e, m, now);
		break;
	case MAIL_ENDPOINTS:
		handle_endpoints(e, m, now);
		break;
	case MAIL_WATCH_RETURNED:
		watch_returned(e, m, now);
		break;
	case MAIL_STOP:
		if (!e->stopping)
			ph_log(PART, "Stop requested; handing over jobs and "
				     "leaving the roster.");
		e->stopping = true;
		ph_core_stop(e->core, now);
		break;
	case MAIL_DUMP:
		log_state(e, now);
		break;
	}
}

static void mail_free(struct ph_entry *e, struct mail *m)
{
	ph_decoded_msg_free(m->msg);
	e->mem->free(m->data);
	e->mem->free(m->listed);
	e->mem->free(m);
}

/* True once a requested stop is complete: the core has stopped, all requests
 * are answered, none has arrived for drain_us, and LINGER_US have passed since
 * the HTTP server stopped accepting connections. */
static bool may_exit(struct ph_entry *e, uint64_t now)
{
	if (!e->stopping || !ph_core_stopped(e->core) || e->open_requests) {
		e->idle_since_us = now;
		return false;
	}
	if (now < e->last_request_us + e->settings.drain_us)
		return false;
	if (!e->quiesced) {
		e->quiesced = true;
		e->idle_since_us = now;
		ph_httpd_quiesce(e->httpd);
	}
	return now >= e->idle_since_us + LINGER_US;
}

static void *APR_THREAD_FUNC control_thread(apr_thread_t *thread, void *data)
{
	struct ph_entry *e = data;
	uint64_t last_tick_us = 0;

	(void)thread;
	for (;;) {
		struct ph_mail *mail =
			ph_mailbox_take(e->mailbox, PH_CORE_TICK_US / 2);

		while (mail) {
			struct ph_mail *next = mail->next;

			handle(e, (struct mail *)mail, ph_clock_us());
			mail_free(e, (struct mail *)mail);
			mail = next;
		}
		if (ph_clock_us() < last_tick_us + PH_CORE_TICK_US)
			continue;
		last_tick_us = ph_clock_us();
		watches_retry(e, last_tick_us);
		ph_core_tick(e->core, last_tick_us);
		if (may_exit(e, last_tick_us))
			break;
	}
	ph_log(PART, "Stopped.");
	return NULL;
}

/* ## Start and stop */

void ph_entry_settings_init(struct ph_entry_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->ping_every_us = 250000;
	settings->suspect_after_us = 1000000;
	settings->solo_after_us = 2000000;
	settings->retention_us = 600000000;
	settings->hold_us = 3000000;
	settings->answer_bytes_max = 128U << 20;
	settings->task_timeout_us = 30000000;
	settings->drain_us = 500000;
}

/* Returns a random number below 2^62 that is never 0. */
static uint64_t new_incarnation(void)
{
	uint64_t id = 0;

	apr_generate_random_bytes((unsigned char *)&id, sizeof(id));
	return (id & (((uint64_t)1 << 62) - 1)) | 1;
}

static void create_core(struct ph_entry *e)
{
	struct ph_core_options options = {
		.mem = e->mem,
		.name = e->settings.name,
		.domain = e->settings.domain,
		.addr = e->advertise,
		.incarnation = new_incarnation(),
		.ping_every_us = e->settings.ping_every_us,
		.suspect_after_us = e->settings.suspect_after_us,
		.solo_after_us = e->settings.solo_after_us,
		.retention_us = e->settings.retention_us,
		.hold_us = e->settings.hold_us,
		.answer_bytes_max = (size_t)e->settings.answer_bytes_max,
		.queue_policy = &ph_queue_fair,
		.sink = &core_sink,
		.ctx = e,
	};

	e->core = ph_core_new(&options, ph_clock_us());
}

/* Passes each address of the comma-separated list to the core. */
static void add_seeds(struct ph_entry *e)
{
	char seed[PH_ADDR_BYTES];
	const char *at = e->settings.seeds;

	while (at && *at) {
		size_t len = strcspn(at, ",");

		if (len && len < sizeof(seed)) {
			memcpy(seed, at, len);
			seed[len] = '\0';
			ph_core_add_seed(e->core, seed);
		}
		at += len;
		at += *at == ',';
	}
}

static int open_servers(struct ph_entry *e)
{
	struct ph_transport_options peer = {
		.mem = e->mem,
		.address = e->settings.address,
		.port = e->settings.peer_port,
		.idle_us = PEER_IDLE_INTERVALS * e->settings.ping_every_us,
		.events = &peer_events,
		.ctx = e,
	};
	struct ph_httpd_options http = {
		.mem = e->mem,
		.address = e->settings.address,
		.port = e->settings.http_port,
		.threads = HTTP_THREADS,
		.max_body_bytes = PH_MAX_BODY_BYTES,
		.handler = on_http_request,
		.ctx = e,
	};

	e->transport = ph_transport_new(&peer);
	if (!e->transport)
		return PH_ERR_IO;
	e->httpd = ph_httpd_new(&http);
	return e->httpd ? 0 : PH_ERR_IO;
}

static void open_clients(struct ph_entry *e)
{
	struct ph_httpc_options calls = {
		.mem = e->mem,
		.connections_per_host = CONNECTIONS_PER_ENDPOINT,
		.source = e->settings.address,
		.done = on_task_done,
		.ctx = e,
	};
	struct ph_platform_options platform = {
		.mem = e->mem,
		.url = e->settings.platform_url,
		.source = e->settings.address,
		.call_timeout_us = PLATFORM_CALL_TIMEOUT_US,
		.watch_wait_us = WATCH_WAIT_US,
	};

	e->endpoints = ph_httpc_new(&calls);
	e->platform = ph_platform_http_new(&platform);
}

static void entry_free(struct ph_entry *e)
{
	struct ph_mail *mail;

	ph_httpd_free(e->httpd);
	ph_transport_free(e->transport);
	ph_httpc_free(e->endpoints);
	if (e->platform)
		e->platform->ops->free(e->platform);
	mail = ph_mailbox_take(e->mailbox, 0);
	while (mail) {
		struct ph_mail *next = mail->next;

		mail_free(e, (struct mail *)mail);
		mail = next;
	}
	while (e->watches) {
		struct watch *w = e->watches;

		e->watches = w->next;
		e->mem->free(w);
	}
	ph_core_free(e->core);
	ph_confstore_free(&e->conf);
	ph_mailbox_free(e->mailbox);
	ph_buf_free(&e->frame);
	apr_pool_destroy(e->pool);
	e->mem->free(e);
}

int ph_entry_start(const struct ph_mem *mem,
		   const struct ph_entry_settings *settings,
		   struct ph_entry **out)
{
	struct ph_entry *e = mem->calloc(1, sizeof(*e));
	char key[PH_ID_BYTES];
	int err;

	e->mem = mem;
	e->settings = *settings;
	if (settings->advertise)
		ph_strcopy(e->advertise, PH_ADDR_BYTES, settings->advertise);
	else
		snprintf(e->advertise, PH_ADDR_BYTES, "%s:%u",
			 settings->address, settings->peer_port);
	apr_pool_create(&e->pool, NULL);
	e->mailbox = ph_mailbox_new(mem);
	ph_confstore_init(&e->conf, mem);
	ph_buf_init(&e->frame, mem);
	create_core(e);
	add_seeds(e);
	err = open_servers(e);
	if (err)
		goto fail;
	open_clients(e);
	watch_add(e, MAIL_ROSTER_SEEN, KEY_ROSTERS);
	watch_add(e, MAIL_CONFIG, KEY_CONFIG);
	snprintf(key, sizeof(key), PH_KEY_EVACUATION "%s", settings->domain);
	watch_add(e, MAIL_EVACUATION, key);
	apr_thread_create(&e->thread, NULL, control_thread, e, e->pool);
	*out = e;
	return 0;
fail:
	entry_free(e);
	return err;
}

void ph_entry_stop(struct ph_entry *entry)
{
	post(entry, mail_new(entry, MAIL_STOP));
}

void ph_entry_dump(struct ph_entry *entry)
{
	post(entry, mail_new(entry, MAIL_DUMP));
}

void ph_entry_join(struct ph_entry *entry)
{
	apr_status_t status;

	apr_thread_join(&status, entry->thread);
	entry_free(entry);
}
