/*
 * Test stand-in for endpoints: one process listens on several ports, each an
 * endpoint with its own slots. A task takes the time given by run_ms in its
 * payload. Starts are counted per task. POST /standin/mode makes an endpoint
 * fail tasks, refuse them, drop the connection or report that it is leaving.
 */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_general.h>
#include <jansson.h>

#include "httpc.h"
#include "httpd.h"
#include "ident.h"
#include "log.h"
#include "settings.h"

#define MAX_PORTS 64
#define HEAP_MAX 65536
#define TABLE_SLOTS (1U << 22)
#define US_PER_S 1000000U
#define US_PER_MS 1000U
#define NS_PER_US 1000U
#define DEFAULT_RUN_US 100000U

enum mode {
	MODE_OK,
	MODE_FAIL,
	MODE_REFUSE,
	MODE_DROP,
	MODE_LEAVE,
};

static const char *const mode_names[] = { "ok", "fail", "refuse", "drop",
					  "leave" };

struct endpoint {
	struct ph_httpd *httpd;
	uint16_t port;
	enum mode mode;
	uint64_t slots;
	uint64_t running;
	uint64_t most_running;
	uint64_t starts;
	uint64_t refused;
	uint64_t last_start_us;
	/** Factor of the run time, in percent. */
	uint64_t stretch;
};

struct run {
	uint64_t due_us;
	struct ph_http_req *req;
	struct endpoint *endpoint;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct endpoint endpoints[MAX_PORTS];
static size_t endpoint_count;
static struct run heap[HEAP_MAX];
static size_t heap_count;
/* Hash table with linear probing: hashes of started tasks, and the number of
 * starts of each, which stops at 2. */
static uint64_t *task_hashes;
static uint8_t *task_starts;
static uint64_t distinct;
static uint64_t doubled;

static uint64_t now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}

static void count_start(const char *task)
{
	uint64_t hash = ph_hash_str(task) | 1;
	size_t at = hash % TABLE_SLOTS;

	while (task_hashes[at] && task_hashes[at] != hash)
		at = (at + 1) % TABLE_SLOTS;
	if (!task_hashes[at]) {
		task_hashes[at] = hash;
		distinct++;
	}
	if (task_starts[at] == 1) {
		doubled++;
		ph_log("endpoint", "Task %s was started twice.", task);
	}
	if (task_starts[at] < 2)
		task_starts[at]++;
}

static void swap(size_t a, size_t b)
{
	struct run t = heap[a];

	heap[a] = heap[b];
	heap[b] = t;
}

static void heap_push(const struct run *run)
{
	size_t at = heap_count++;

	heap[at] = *run;
	while (at && heap[(at - 1) / 2].due_us > heap[at].due_us) {
		swap(at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

static struct run heap_pop(void)
{
	struct run top = heap[0];
	size_t at = 0;

	heap[0] = heap[--heap_count];
	for (;;) {
		size_t least = at;
		size_t child = 2 * at + 1;

		if (child < heap_count &&
		    heap[child].due_us < heap[least].due_us)
			least = child;
		if (child + 1 < heap_count &&
		    heap[child + 1].due_us < heap[least].due_us)
			least = child + 1;
		if (least == at)
			return top;
		swap(at, least);
		at = least;
	}
}

static void reply(struct ph_http_req *req, int status, const char *body,
		  bool closing, int abort_it)
{
	struct ph_http_reply r = { .status = status,
				   .body = body,
				   .body_len = strlen(body),
				   .abort = abort_it };

	if (closing) {
		r.header = "Connection";
		r.value = "close";
	}
	ph_http_req_reply(req, &r);
}

static uint64_t run_time_us(struct ph_http_req *req)
{
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *doc = json_loadb(body, len, JSON_DECODE_ANY, NULL);
	json_t *ms = json_object_get(doc, "run_ms");
	uint64_t us = DEFAULT_RUN_US;

	if (json_is_number(ms))
		us = (uint64_t)(json_number_value(ms) * US_PER_MS);
	json_decref(doc);
	return us;
}

static void start_task(struct endpoint *e, struct ph_http_req *req)
{
	const char *task = ph_http_req_header(req, "Task");
	struct run run = { .req = req, .endpoint = e };

	e->starts++;
	e->last_start_us = now_us();
	count_start(task ? task : "-");
	if (e->mode == MODE_DROP) {
		reply(req, 500, "", false, 1);
		return;
	}
	e->running++;
	if (e->running > e->most_running)
		e->most_running = e->running;
	run.due_us = now_us() + run_time_us(req) * e->stretch / 100;
	heap_push(&run);
	pthread_cond_signal(&changed);
}

static void reply_counts(struct ph_http_req *req)
{
	json_t *list = json_array();
	uint64_t starts = 0;
	json_t *doc;
	char *text;
	size_t i;

	for (i = 0; i < endpoint_count; i++) {
		const struct endpoint *e = &endpoints[i];

		starts += e->starts;
		json_array_append_new(
			list, json_pack("{s:i,s:I,s:I,s:I,s:I,s:I}", "port",
					(int)e->port, "starts",
					(json_int_t)e->starts, "running",
					(json_int_t)e->running, "most_running",
					(json_int_t)e->most_running, "refused",
					(json_int_t)e->refused, "last_start_us",
					(json_int_t)e->last_start_us));
	}
	doc = json_pack("{s:I,s:I,s:I,s:I,s:o}", "starts", (json_int_t)starts,
			"distinct", (json_int_t)distinct, "doubled",
			(json_int_t)doubled, "now_us", (json_int_t)now_us(),
			"endpoints", list);
	text = json_dumps(doc, JSON_COMPACT);
	reply(req, 200, text, false, 0);
	free(text);
	json_decref(doc);
}

static void set_mode(struct endpoint *e, struct ph_http_req *req)
{
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *doc = json_loadb(body, len, 0, NULL);
	const char *mode = json_string_value(json_object_get(doc, "mode"));
	json_t *stretch = json_object_get(doc, "stretch");
	size_t i;

	for (i = 0; mode && i < sizeof(mode_names) / sizeof(mode_names[0]); i++)
		if (!strcmp(mode, mode_names[i]))
			e->mode = (enum mode)i;
	if (json_is_integer(stretch))
		e->stretch = (uint64_t)json_integer_value(stretch);
	json_decref(doc);
	reply(req, 200, "true", false, 0);
}

static void on_request(void *ctx, struct ph_http_req *req)
{
	struct endpoint *e = ctx;
	const char *path = ph_http_req_path(req);

	pthread_mutex_lock(&lock);
	if (!strcmp(path, "/standin/mode")) {
		set_mode(e, req);
	} else if (!strcmp(path, "/standin/counts")) {
		reply_counts(req);
	} else if (e->mode == MODE_LEAVE) {
		e->refused++;
		reply(req, 503, "{\"error\":\"leaving\"}", true, 0);
	} else if (e->mode == MODE_REFUSE || e->running >= e->slots ||
		   heap_count == HEAP_MAX) {
		e->refused++;
		reply(req, 503, "{\"error\":\"busy\"}", false, 0);
	} else {
		start_task(e, req);
	}
	pthread_mutex_unlock(&lock);
}

static void finish(const struct run *run)
{
	struct endpoint *e = run->endpoint;

	e->running--;
	if (e->mode == MODE_FAIL)
		reply(run->req, 500, "{\"error\":\"failed\"}", false, 0);
	else
		reply(run->req, 200, "{\"ok\":true}", false, 0);
}

static void finish_due_runs(void)
{
	pthread_mutex_lock(&lock);
	for (;;) {
		if (!heap_count) {
			pthread_cond_wait(&changed, &lock);
		} else if (heap[0].due_us > now_us()) {
			struct timespec until = {
				.tv_sec = (time_t)(heap[0].due_us / US_PER_S),
				.tv_nsec = (long)(heap[0].due_us % US_PER_S *
						  NS_PER_US),
			};

			pthread_cond_timedwait(&changed, &lock, &until);
		} else {
			struct run run = heap_pop();

			finish(&run);
		}
	}
}

static void on_register_result(void *ctx, void *user,
			       const struct ph_http_result *result)
{
	(void)ctx;
	if (result->err || result->status != 200)
		ph_log("endpoint", "Registration of %s failed.",
		       (const char *)user);
}

static void register_all(const char *platform, const char *service,
			 const char *domain, const char *address)
{
	struct ph_httpc_options options = { .mem = ph_mem_default(),
					    .done = on_register_result };
	struct ph_httpc *http = ph_httpc_new(&options);
	char url[256];
	size_t i;

	snprintf(url, sizeof(url), "%s/v1/agent/service/register", platform);
	for (i = 0; i < endpoint_count; i++) {
		char doc[512];
		struct ph_http_call call = { .method = "PUT",
					     .url = url,
					     .body = doc,
					     .timeout_us = US_PER_S,
					     .user = (void *)service };

		call.body_len = (size_t)snprintf(
			doc, sizeof(doc),
			"{\"Name\":\"%s\",\"ID\":\"%s-%u\",\"Address\":\"%s\","
			"\"Port\":%u,\"Meta\":{\"slots\":\"%u\","
			"\"domain\":\"%s\"}}",
			service, domain, endpoints[i].port, address,
			endpoints[i].port, (unsigned int)endpoints[i].slots,
			domain);
		ph_httpc_send(http, &call);
	}
}

int main(int argc, char **argv)
{
	const char *address;
	const char *platform;
	const char *service;
	const char *domain;
	uint64_t port = 0;
	uint64_t count = 0;
	uint64_t slots = 0;
	struct ph_setting list[] = {
		{ .flag = "address",
		  .type = PH_SETTING_IP,
		  .fallback = "127.0.0.1",
		  .help = "IP address to listen on",
		  .text = &address },
		{ .flag = "port",
		  .type = PH_SETTING_PORT,
		  .fallback = "9100",
		  .help = "port of the first endpoint",
		  .number = &port },
		{ .flag = "count",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "1",
		  .help = "number of endpoints",
		  .number = &count },
		{ .flag = "slots",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "8",
		  .help = "slots of each endpoint",
		  .number = &slots },
		{ .flag = "platform",
		  .type = PH_SETTING_TEXT,
		  .fallback = "",
		  .help = "base URL of the platform to register with",
		  .text = &platform },
		{ .flag = "service",
		  .type = PH_SETTING_NAME,
		  .fallback = "mostrador-comun",
		  .help = "service name",
		  .text = &service },
		{ .flag = "domain",
		  .type = PH_SETTING_NAME,
		  .fallback = "a",
		  .help = "failure domain",
		  .text = &domain },
	};
	struct ph_settings settings = {
		.program = "standin-endpoint",
		.summary = "Test stand-ins for endpoints.",
		.list = list,
		.count = sizeof(list) / sizeof(list[0]),
	};
	struct ph_httpd_options options = { .mem = ph_mem_default(),
					    .threads = 1,
					    .max_body_bytes = PH_MAX_BODY_BYTES,
					    .handler = on_request };
	int status = ph_settings_load(&settings, argc, argv);
	size_t i;

	if (status >= 0)
		return status;
	if (count > MAX_PORTS)
		return PH_EXIT_USAGE;
	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	ph_log_name(domain);
	task_hashes = calloc(TABLE_SLOTS, sizeof(*task_hashes));
	task_starts = calloc(TABLE_SLOTS, sizeof(*task_starts));
	endpoint_count = (size_t)count;
	for (i = 0; i < endpoint_count; i++) {
		endpoints[i].port = (uint16_t)(port + i);
		endpoints[i].slots = slots;
		endpoints[i].stretch = 100;
		options.address = address;
		options.port = endpoints[i].port;
		options.ctx = &endpoints[i];
		endpoints[i].httpd = ph_httpd_new(&options);
		if (!endpoints[i].httpd) {
			fprintf(stderr, "standin-endpoint: can't listen\n");
			return PH_EXIT_FAILED;
		}
	}
	if (platform)
		register_all(platform, service, domain, address);
	finish_due_runs();
	return PH_EXIT_OK;
}
