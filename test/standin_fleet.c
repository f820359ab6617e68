/*
 * A stand-in for the users' platform: its store, executors that keep leases,
 * and callers that send jobs, in one process that sees both ends. It checks
 * while it runs that no task runs twice at once and that a refusal that says
 * "not run" is true. Speaks what platform/ speaks; faults come from outside,
 * and from POST /standin/mode.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_base64.h>
#include <apr_general.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <jansson.h>

#include "httpc.h"
#include "httpd.h"
#include "dispatcher.h"
#include "settings.h"
#include "wire_json.h"

#define EXECUTORS_MAX 32
#define JOBS_MAX 20000
#define RUNS_MAX 64
#define ENDS_MAX 4096
#define LOOKS_MAX 16
#define TOPS_MAX 32768
#define KEYS_MAX 64
#define ENTRIES_MAX 16
#define TASK_BYTES 64
#define TICK_US 5000
#define US_PER_MS 1000U
#define CORES_MILLI 16000U
#define HOLD_MAX_US 1000000U
#define LATE_US 2500000U
#define RESEND_US 1300000U
#define ATTEMPTS_MAX 4

struct run {
	char task[TASK_BYTES];
	uint64_t run;
	uint64_t end_us;
	uint32_t cpu;
};

struct end {
	uint64_t number;
	char task[TASK_BYTES];
	uint64_t run;
	const char *how;
};

struct look {
	struct ph_http_req *req;
	uint64_t until_us;
	uint64_t seen;
};

struct top {
	char task[TASK_BYTES];
	uint64_t run;
};

struct executor {
	char id[32];
	char address[64];
	const char *zone;
	struct ph_httpd *httpd;
	uint64_t started_ms;
	uint64_t token;
	uint64_t lease_us;
	struct run runs[RUNS_MAX];
	size_t run_count;
	struct end ends[ENDS_MAX];
	size_t end_count;
	uint64_t next_end;
	struct top *tops;
	size_t top_count;
	struct look looks[LOOKS_MAX];
	bool draining;
	/** Carries starts out late and does not answer them. */
	bool late;
	bool fails;
};

struct late_start {
	struct late_start *next;
	struct executor *x;
	uint64_t at_us;
	json_t *order;
};

enum job_state { JOB_WAITING, JOB_SENT, JOB_DONE, JOB_REFUSED, JOB_LOST };

struct job {
	char id[24];
	enum job_state state;
	uint32_t tasks;
	uint32_t run_ms;
	uint32_t attempts;
	uint64_t due_us;
	bool started;
	/** Some attempt ended without a word on whether it has run. */
	bool unsure;
};

struct key {
	char key[128];
	char value[128];
	uint64_t revision;
};

static struct {
	const struct ph_mem *mem;
	apr_thread_mutex_t *lock;
	apr_pool_t *pool;
	struct executor executors[EXECUTORS_MAX];
	size_t executor_count;
	struct late_start *late;
	struct key keys[KEYS_MAX];
	size_t key_count;
	uint64_t revision;
	uint64_t config_version;
	bool store_down;
	struct ph_httpd *store;
	struct ph_httpc *http;
	char entries[ENTRIES_MAX][64];
	size_t entry_count;
	struct job *jobs;
	size_t job_count;
	uint64_t every_us;
	uint64_t next_us;
	bool sending;
	uint64_t twice;
	uint64_t starts;
	uint64_t wrong;
} f;

static void locked(void)
{
	apr_thread_mutex_lock(f.lock);
}

static void unlocked(void)
{
	apr_thread_mutex_unlock(f.lock);
}

static void reply_json(struct ph_http_req *req, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	struct ph_http_reply r = { .status = status,
				   .body = text,
				   .body_len = strlen(text) };

	ph_http_req_reply(req, &r);
	free(text);
	json_decref(doc);
}

static uint64_t clock_ms(void)
{
	return ph_clock_us() / US_PER_MS;
}

/* ## Executors */

static struct job *job_of(const char *task)
{
	size_t i;

	for (i = f.job_count; i > 0; i--)
		if (!strncmp(f.jobs[i - 1].id, task, 16))
			return &f.jobs[i - 1];
	return NULL;
}

static struct top *top_of(struct executor *x, const char *task)
{
	size_t i;

	for (i = 0; i < x->top_count; i++)
		if (!strcmp(x->tops[i].task, task))
			return &x->tops[i];
	if (x->top_count == TOPS_MAX)
		x->top_count = 0;
	ph_strcopy(x->tops[x->top_count].task, TASK_BYTES, task);
	x->tops[x->top_count].run = 0;
	return &x->tops[x->top_count++];
}

static void run_end(struct executor *x, size_t i, const char *how)
{
	struct end *e = &x->ends[x->end_count % ENDS_MAX];

	e->number = ++x->next_end;
	ph_strcopy(e->task, TASK_BYTES, x->runs[i].task);
	e->run = x->runs[i].run;
	e->how = how;
	x->end_count++;
	x->runs[i] = x->runs[--x->run_count];
}

static void count_twice(const char *task)
{
	size_t i;
	size_t k;

	for (i = 0; i < f.executor_count; i++)
		for (k = 0; k < f.executors[i].run_count; k++)
			if (!strcmp(f.executors[i].runs[k].task, task)) {
				printf("TWICE %s on %s\n", task,
				       f.executors[i].id);
				f.twice++;
			}
}

/* Returns the reason of a refusal, or NULL. */
static const char *carry_out_start(struct executor *x, const json_t *o)
{
	uint64_t token = ph_json_number(o, "fencingToken", 0);
	uint64_t until_ms = ph_json_number(o, "deadlineMs", 0);
	const char *task = json_string_value(json_object_get(o, "task"));
	const char *spec = json_string_value(json_object_get(o, "spec"));
	uint64_t run = ph_json_number(o, "run", 0);
	struct top *top;
	struct job *job;
	struct run *r;
	size_t i;

	if (token < x->token)
		return "fence";
	x->token = token;
	if (until_ms && until_ms < clock_ms())
		return "late";
	if (until_ms * US_PER_MS > x->lease_us)
		x->lease_us = until_ms * US_PER_MS;
	top = top_of(x, task);
	if (run <= top->run)
		return "old";
	if ((x->run_count + 1) * (CORES_MILLI / 2) > CORES_MILLI)
		return "room";
	for (i = 0; i < x->run_count; i++)
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run == run)
			return NULL;
	count_twice(task);
	top->run = run;
	job = job_of(task);
	if (job)
		job->started = true;
	f.starts++;
	r = &x->runs[x->run_count++];
	ph_strcopy(r->task, TASK_BYTES, task);
	r->run = run;
	r->end_us = ph_clock_us() +
		    (x->fails ? 5 : strtoull(spec, NULL, 10)) * US_PER_MS;
	return NULL;
}

static void on_start(struct executor *x, struct ph_http_req *req, json_t *o)
{
	const char *reason;
	json_t *doc;

	if (x->late) {
		struct late_start *l = calloc(1, sizeof(*l));

		l->x = x;
		l->at_us = ph_clock_us() + LATE_US;
		l->order = json_incref(o);
		l->next = f.late;
		f.late = l;
		ph_http_req_reply(req, &(struct ph_http_reply){ .status = 503,
								.body = "",
								.abort = 1 });
		return;
	}
	reason = carry_out_start(x, o);
	doc = json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
	if (reason)
		json_object_set_new(doc, "reason", json_string(reason));
	reply_json(req, reason ? 409 : 200, doc);
}

static void on_stop(struct executor *x, struct ph_http_req *req, json_t *o)
{
	uint64_t token = ph_json_number(o, "fencingToken", 0);
	const char *task = json_string_value(json_object_get(o, "task"));
	uint64_t run = ph_json_number(o, "run", 0);
	json_t *doc = json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
	struct top *top;
	size_t i;

	if (token < x->token) {
		json_object_set_new(doc, "reason", json_string("fence"));
		reply_json(req, 409, doc);
		return;
	}
	x->token = token;
	top = top_of(x, task);
	if (run > top->run)
		top->run = run;
	for (i = x->run_count; i > 0; i--)
		if (!strcmp(x->runs[i - 1].task, task) &&
		    x->runs[i - 1].run <= run)
			run_end(x, i - 1, "stopped");
	reply_json(req, 200, doc);
}

static void answer_look(struct executor *x, struct look *l)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	size_t i;

	for (i = 0; i < x->run_count; i++)
		json_array_append_new(running,
				      json_pack("[sIsii]", x->runs[i].task,
						(json_int_t)x->runs[i].run, "",
						50, 6800));
	for (i = x->end_count > ENDS_MAX ? x->end_count - ENDS_MAX : 0;
	     i < x->end_count; i++) {
		const struct end *e = &x->ends[i % ENDS_MAX];

		if (e->number > l->seen)
			json_array_append_new(
				ended,
				json_pack("[IsIss]", (json_int_t)e->number,
					  e->task, (json_int_t)e->run, e->how,
					  ""));
	}
	reply_json(l->req, 200,
		   json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			     (json_int_t)clock_ms(), "born",
			     (json_int_t)x->started_ms, "running", running,
			     "ended", ended));
	l->req = NULL;
}

static void on_poll(struct executor *x, struct ph_http_req *req, json_t *o)
{
	uint64_t token = ph_json_number(o, "fencingToken", 0);
	uint64_t until_us = ph_json_number(o, "deadlineMs", 0) * US_PER_MS;
	uint64_t now_us = ph_clock_us();
	struct look *l = NULL;
	size_t i;

	if (token < x->token) {
		reply_json(req, 409,
			   json_pack("{s:I,s:s}", "clockMs",
				     (json_int_t)clock_ms(), "reason",
				     "fence"));
		return;
	}
	x->token = token;
	if (until_us > now_us + HOLD_MAX_US)
		until_us = now_us + HOLD_MAX_US;
	if (until_us > x->lease_us)
		x->lease_us = until_us;
	for (i = 0; i < LOOKS_MAX && !l; i++)
		if (!x->looks[i].req)
			l = &x->looks[i];
	if (!l) {
		l = &x->looks[0];
		answer_look(x, l);
	}
	l->req = req;
	l->seen = ph_json_number(o, "lastSeen", 0);
	l->until_us = now_us + ph_json_number(o, "waitMs", 0) * US_PER_MS;
}

static void on_executor(void *ctx, struct ph_http_req *req)
{
	struct executor *x = ctx;
	const char *path = ph_http_req_path(req);
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *o = ph_json_object(body, len);

	locked();
	if (!strcmp(path, "/run-start"))
		on_start(x, req, o);
	else if (!strcmp(path, "/run-stop"))
		on_stop(x, req, o);
	else
		on_poll(x, req, o);
	unlocked();
	json_decref(o);
}

static void executor_tick(struct executor *x, uint64_t now_us)
{
	bool lapsed = now_us > x->lease_us;
	size_t i;

	for (i = x->run_count; i > 0; i--) {
		if (lapsed)
			run_end(x, i - 1, "lapsed");
		else if (now_us >= x->runs[i - 1].end_us)
			run_end(x, i - 1, x->fails ? "failed" : "done");
	}
	for (i = 0; i < LOOKS_MAX; i++) {
		struct look *l = &x->looks[i];

		if (l->req && (x->next_end > l->seen || now_us >= l->until_us))
			answer_look(x, l);
	}
}

static void late_tick(uint64_t now_us)
{
	struct late_start **at = &f.late;

	while (*at) {
		struct late_start *l = *at;

		if (now_us < l->at_us) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		carry_out_start(l->x, l->order);
		json_decref(l->order);
		free(l);
	}
}

/* ## Store */

static json_t *item(const char *key, const char *value, uint64_t revision)
{
	size_t len = strlen(value);
	char *text = calloc(1, (size_t)apr_base64_encode_len((int)len) + 1);
	json_t *o;

	apr_base64_encode(text, value, (int)len);
	o = json_pack("{s:s,s:s,s:I}", "key", key, "value", text, "revision",
		      (json_int_t)revision);
	free(text);
	return o;
}

static json_t *config_item(void)
{
	char doc[1024];

	snprintf(doc, sizeof(doc),
		 "{\"version\":%llu,\"routes\":[{\"name\":\"r\",\"host\":"
		 "\"desk.example\",\"prefix\":\"/q/\",\"service\":\"desk\","
		 "\"timeoutMs\":1500,\"targetDurationMs\":60,\"priority\":0,"
		 "\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[]}",
		 (unsigned long long)f.config_version);
	return item("op/config", doc, f.revision);
}

static json_t *executor_items(void)
{
	json_t *list = json_array();
	char key[64];
	char doc[512];
	size_t i;

	for (i = 0; i < f.executor_count; i++) {
		const struct executor *x = &f.executors[i];

		snprintf(key, sizeof(key), "servers/%s", x->id);
		snprintf(doc, sizeof(doc),
			 "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":"
			 "\"%s\",\"state\":\"%s\",\"capacity\":{\"cpu\":%u,"
			 "\"memMb\":65536},\"labels\":[\"a\"]}",
			 x->address, x->zone,
			 x->draining ? "draining" : "ready", CORES_MILLI);
		json_array_append_new(list, item(key, doc, f.revision));
	}
	return list;
}

static json_t *key_items(const char *prefix)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < f.key_count; i++)
		if (!strncmp(f.keys[i].key, prefix, strlen(prefix)))
			json_array_append_new(list, item(f.keys[i].key,
							 f.keys[i].value,
							 f.keys[i].revision));
	return list;
}

static void put_key(const json_t *put)
{
	const char *key = json_string_value(json_object_get(put, "key"));
	const char *value = json_string_value(json_object_get(put, "value"));
	struct key *k = NULL;
	size_t i;

	for (i = 0; i < f.key_count; i++)
		if (!strcmp(f.keys[i].key, key))
			k = &f.keys[i];
	if (!k && f.key_count < KEYS_MAX)
		k = &f.keys[f.key_count++];
	if (!k)
		return;
	ph_strcopy(k->key, sizeof(k->key), key);
	memset(k->value, 0, sizeof(k->value));
	if ((size_t)apr_base64_decode_len(value) < sizeof(k->value))
		apr_base64_decode(k->value, value);
	k->revision = ++f.revision;
}

static json_t *store_answer(struct ph_http_req *req, const char *path)
{
	const char *prefix = ph_http_req_arg(req, "prefix");
	json_t *doc = NULL;
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *o = ph_json_object(body, len);
	json_t *put;
	size_t i;

	if (!strcmp(path, "/kv-key")) {
		doc = config_item();
	} else if (!strcmp(path, "/kv-range")) {
		doc = json_pack("{s:o,s:b}", "items",
				prefix && !strncmp(prefix, "servers/", 8)
					? executor_items()
					: key_items(prefix ? prefix : ""),
				"truncated", 0);
	} else if (!strcmp(path, "/kv-watch")) {
		doc = json_pack("{s:[o]}", "events", config_item());
	} else if (!strcmp(path, "/kv-txn")) {
		json_array_foreach (json_object_get(o, "puts"), i, put) {
			put_key(put);
		}
		doc = json_pack("{s:I}", "revision", (json_int_t)f.revision);
	} else {
		doc = json_pack("{s:i,s:i}", "lease", 7, "ttlMs", 20000);
	}
	json_object_set_new(doc, "storeRevision",
			    json_integer((json_int_t)f.revision));
	json_decref(o);
	return doc;
}

/* ## Callers */

struct attempt {
	size_t job;
};

static void send_job(size_t index)
{
	static const char format[] =
		"{\"spec\":\"%u ms\",\"bestEffort\":true,\"steps\":[{\"count\":"
		"%u,\"cpu\":6800,\"memMb\":64,\"estimateMs\":%u}]}";
	struct job *j = &f.jobs[index];
	struct attempt *a = calloc(1, sizeof(*a));
	char url[128];
	char body[256];
	struct ph_http_call call = {
		.method = "POST",
		.url = url,
		.headers = { "Host: desk.example", "X-Request-Deadline: 4000" },
		.body = body,
		.timeout_us = 4000000,
		.user = a,
	};

	a->job = index;
	j->state = JOB_SENT;
	snprintf(url, sizeof(url), "http://%s/q/%s",
		 f.entries[(index + j->attempts) % f.entry_count], j->id);
	snprintf(body, sizeof(body), format, j->run_ms, j->tasks, j->run_ms);
	call.body_len = strlen(body);
	j->attempts++;
	ph_httpc_send(f.http, &call);
}

static void on_answer(void *ctx, void *user, const struct ph_http_result *r)
{
	struct attempt *a = user;
	struct job *j;

	(void)ctx;
	locked();
	j = &f.jobs[a->job];
	if (!r->err && r->status == 200) {
		if (strcmp(r->body, "{\"state\":\"completed\"}") != 0 &&
		    strcmp(r->body, "{\"state\":\"failed\"}") != 0)
			f.wrong++;
		j->state = JOB_DONE;
	} else if (!r->err && r->status == 503 && !j->unsure) {
		j->state = JOB_REFUSED;
	} else {
		j->unsure = j->unsure || r->err != PH_ERR_UNREACHABLE;
		j->state = j->attempts < ATTEMPTS_MAX ? JOB_WAITING : JOB_LOST;
		j->due_us = ph_clock_us() + RESEND_US;
	}
	unlocked();
	free(a);
}

static void callers_tick(uint64_t now_us)
{
	size_t i;

	if (f.sending && now_us >= f.next_us && f.job_count < JOBS_MAX) {
		struct job *j = &f.jobs[f.job_count];

		f.next_us = now_us + f.every_us;
		snprintf(j->id, sizeof(j->id), "%016zx", f.job_count + 1);
		j->tasks = 1 + f.job_count % 4;
		j->run_ms = f.job_count % 7 ? 60 : 600;
		f.job_count++;
		send_job(f.job_count - 1);
	}
	for (i = 0; i < f.job_count; i++)
		if (f.jobs[i].state == JOB_WAITING &&
		    now_us >= f.jobs[i].due_us)
			send_job(i);
}

/* ## Control */

static json_t *report(void)
{
	uint64_t counts[5] = { 0 };
	uint64_t untrue = 0;
	size_t i;

	for (i = 0; i < f.job_count; i++) {
		counts[f.jobs[i].state]++;
		untrue += f.jobs[i].state == JOB_REFUSED && f.jobs[i].started;
	}
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "jobs",
		(json_int_t)f.job_count, "done", (json_int_t)counts[JOB_DONE],
		"refused", (json_int_t)counts[JOB_REFUSED], "lost",
		(json_int_t)counts[JOB_LOST], "open",
		(json_int_t)(counts[JOB_WAITING] + counts[JOB_SENT]), "starts",
		(json_int_t)f.starts, "twice", (json_int_t)f.twice, "untrue",
		(json_int_t)untrue, "wrong", (json_int_t)f.wrong);
}

static void set_mode(const json_t *o)
{
	size_t i = (size_t)ph_json_number(o, "executor", 0);
	struct executor *x = &f.executors[i % f.executor_count];

	if (json_object_get(o, "store_down"))
		f.store_down = ph_json_true(o, "store_down");
	if (json_object_get(o, "sending"))
		f.sending = ph_json_true(o, "sending");
	if (json_object_get(o, "late"))
		x->late = ph_json_true(o, "late");
	if (json_object_get(o, "fails"))
		x->fails = ph_json_true(o, "fails");
	if (json_object_get(o, "draining"))
		x->draining = ph_json_true(o, "draining");
	if (ph_json_true(o, "config"))
		f.config_version++;
	if (ph_json_true(o, "reborn")) {
		x->started_ms++;
		x->run_count = 0;
		x->end_count = 0;
		x->next_end = 0;
		x->top_count = 0;
		x->token = 0;
		x->lease_us = 0;
	}
	f.revision++;
}

static void on_store(void *ctx, struct ph_http_req *req)
{
	const char *path = ph_http_req_path(req);
	size_t len;
	const char *body = ph_http_req_body(req, &len);

	(void)ctx;
	locked();
	if (!strcmp(path, "/standin/report")) {
		reply_json(req, 200, report());
	} else if (!strcmp(path, "/standin/mode")) {
		json_t *o = ph_json_object(body, len);

		set_mode(o);
		json_decref(o);
		reply_json(req, 200, json_object());
	} else if (f.store_down) {
		reply_json(req, 503, json_object());
	} else {
		if (!strcmp(path, "/kv-watch")) {
			unlocked();
			usleep(300 * US_PER_MS);
			locked();
		}
		reply_json(req, 200, store_answer(req, path));
	}
	unlocked();
}

static void *APR_THREAD_FUNC tick(apr_thread_t *thread, void *data)
{
	(void)thread;
	(void)data;
	for (;;) {
		uint64_t now_us = ph_clock_us();
		size_t i;

		locked();
		late_tick(now_us);
		for (i = 0; i < f.executor_count; i++)
			executor_tick(&f.executors[i], now_us);
		callers_tick(now_us);
		unlocked();
		usleep(TICK_US);
	}
	return NULL;
}

static struct ph_httpd *serve(const char *address, uint16_t port,
			      ph_http_handler_fn *handler, void *ctx,
			      uint32_t threads)
{
	struct ph_httpd_options options = {
		.mem = f.mem,
		.address = address,
		.port = port,
		.threads = threads,
		.max_body_bytes = PH_MAX_BODY_BYTES,
		.handler = handler,
		.ctx = ctx,
	};

	return ph_httpd_new(&options);
}

static void add_executor(const char *address, uint16_t port, const char *zone)
{
	struct executor *x = &f.executors[f.executor_count];

	snprintf(x->id, sizeof(x->id), "i-%zu", f.executor_count++);
	snprintf(x->address, sizeof(x->address), "%s:%u", address, port);
	x->zone = zone;
	x->started_ms = 1;
	x->tops = f.mem->calloc(TOPS_MAX, sizeof(*x->tops));
	x->httpd = serve(address, port, on_executor, x, 1);
}

static void split_entries(const char *text)
{
	while (*text && f.entry_count < ENTRIES_MAX) {
		size_t len = strcspn(text, ",");

		snprintf(f.entries[f.entry_count++], sizeof(f.entries[0]),
			 "%.*s", (int)len, text);
		text += len;
		text += *text == ',';
	}
}

int main(int argc, char **argv)
{
	const char *address = NULL;
	const char *entries = NULL;
	uint64_t port = 0;
	uint64_t count = 0;
	uint64_t every_ms = 0;
	struct ph_setting list[] = {
		{ .flag = "address",
		  .type = PH_SETTING_IP,
		  .fallback = "127.0.0.99",
		  .help = "IP number to listen on",
		  .text = &address },
		{ .flag = "port",
		  .type = PH_SETTING_PORT,
		  .fallback = "20000",
		  .help = "port of the store; executors follow",
		  .number = &port },
		{ .flag = "count",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "8",
		  .help = "executors, half in each of two failure domains",
		  .number = &count },
		{ .flag = "entries",
		  .type = PH_SETTING_TEXT,
		  .fallback = NULL,
		  .help = "ip:port,... that callers send jobs to",
		  .text = &entries },
		{ .flag = "every-ms",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "30",
		  .help = "distance of two jobs",
		  .number = &every_ms },
	};
	struct ph_settings settings = {
		.program = "standin-fleet",
		.summary = "Stands in for the platform's store, executors and "
			   "callers.",
		.list = list,
		.count = sizeof(list) / sizeof(list[0]),
	};
	struct ph_httpc_options http = { .done = on_answer,
					 .source = "127.0.0.98" };
	apr_thread_t *thread;
	int status = ph_settings_load(&settings, argc, argv);
	uint64_t i;

	if (status >= 0)
		return status;
	/* The process is killed at the end of a scenario. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	f.mem = ph_mem_default();
	http.mem = f.mem;
	apr_pool_create(&f.pool, NULL);
	apr_thread_mutex_create(&f.lock, APR_THREAD_MUTEX_DEFAULT, f.pool);
	f.jobs = f.mem->calloc(JOBS_MAX, sizeof(*f.jobs));
	f.revision = 1;
	f.config_version = 1;
	f.every_us = every_ms * US_PER_MS;
	split_entries(entries);
	f.http = ph_httpc_new(&http);
	for (i = 0; i < count && i < EXECUTORS_MAX; i++)
		add_executor(address, (uint16_t)(port + 1 + i),
			     i < count / 2 ? "north" : "south");
	f.store = serve(address, (uint16_t)port, on_store, NULL, 4);
	if (!f.store)
		return PH_EXIT_FAILED;
	apr_thread_create(&thread, NULL, tick, NULL, f.pool);
	apr_thread_join(&(apr_status_t){ 0 }, thread);
	return PH_EXIT_OK;
}
