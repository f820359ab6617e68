/*
 * A stand-in for the platform that peridothall-dispatch runs on: its store,
 * executors with leases, and callers that submit jobs, all in one process that
 * sees both ends. While it runs it checks that no two runs of a task overlap,
 * and that no task of a job was started whose caller was told that it has not
 * run. Uses the formats of platform/. Faults are injected from outside the
 * process and by POST /standin/mode; GET /standin/report returns the counts.
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

/* Longest id of an executor: what a key of the store leaves for it. */
#define ID_BYTES_MAX 192U
#define EXECUTORS_MAX 160
#define JOBS_MAX 20000
#define RUNS_MAX 64
#define ENDS_MAX 4096
#define POLLS_MAX 16
#define TASKS_MAX 32768
#define KEYS_MAX 64
#define ENTRIES_MAX 64
#define DOMAINS_MAX 8
#define TASK_BYTES 64
#define TICK_US 5000
#define US_PER_MS 1000U
/* Threads of the store besides one for each instance: a watch takes one up
 * until it is answered. */
#define STORE_THREADS 4U
/* CPU of one executor in millicores; a run takes up half of it. */
#define EXECUTOR_CPU_MILLI 16000U
/* Longest lease that a poll can set. */
#define LEASE_MAX_US 1000000U
/* Time in which a request to evacuate a domain has to take effect. */
#define EVACUATION_US 5000000U
/* Prefix of the operators' keys, and of the requests to evacuate a domain. */
#define OPERATOR_KEYS "op/"
#define EVACUATIONS "op/evacuate/"
/* Delay of starts at an executor in the mode "late". */
#define LATE_START_DELAY_US 2500000U
/* Delay before a caller submits a job again whose outcome is unknown, and the
 * most attempts for one job. */
#define RESUBMIT_DELAY_US 1300000U
/* Longest run time that a job declares: declared times are rough, and those of
 * the longest tasks far too short. */
#define DECLARED_MS_MAX 900U
#define ATTEMPTS_MAX 4

struct run {
	char task[TASK_BYTES];
	uint64_t run;
	uint64_t started_us;
	uint64_t end_us;
	uint32_t cpu;
};

/* A run that has ended; number is the sequence number at its executor. */
struct end {
	uint64_t number;
	char task[TASK_BYTES];
	uint64_t run;
	const char *how;
};

/* A long poll that is not answered yet. */
struct long_poll {
	struct ph_http_req *req;
	uint64_t until_us;
	/** Ends up to this number are acknowledged. */
	uint64_t ends_seen;
};

/* Highest run number of a task that was started or stopped at an executor. */
struct highest_run {
	char task[TASK_BYTES];
	uint64_t run;
};

struct executor {
	char *id;
	char address[64];
	const char *zone;
	struct ph_httpd *httpd;
	uint64_t started_ms;
	/** Highest fencing token seen. */
	uint64_t token;
	/** End of the lease of all runs. */
	uint64_t lease_until_us;
	struct run runs[RUNS_MAX];
	size_t run_count;
	struct end ends[ENDS_MAX];
	size_t end_count;
	/** Number of the last end. */
	uint64_t last_end;
	struct highest_run *highest_runs;
	size_t task_count;
	struct long_poll polls[POLLS_MAX];
	bool draining;
	/** Breaks the connection of start requests and carries them out after
	 * LATE_START_DELAY_US. */
	bool delays_starts;
	/** Every run fails after 5 ms. */
	bool fails_runs;
};

/* A start request that is carried out later. */
struct late_start {
	struct late_start *next;
	struct executor *x;
	/** When it is carried out. */
	uint64_t at_us;
	json_t *command;
};

enum job_state {
	/** Waits to be submitted again. */
	JOB_WAITING,
	JOB_SENT,
	/** Answered as completed or failed. */
	JOB_DONE,
	/** Answered as not run. */
	JOB_REFUSED,
	/** No known outcome after ATTEMPTS_MAX attempts. */
	JOB_LOST,
};

struct job {
	char id[24];
	enum job_state state;
	uint32_t tasks;
	uint32_t run_ms;
	uint32_t attempts;
	uint64_t due_us;
	/** An executor has started a task of it. */
	bool started;
	/** An earlier attempt may have run: its outcome is unknown. */
	bool may_have_run;
};

struct key {
	char key[256];
	char value[128];
	uint64_t revision;
	bool removed;
};

static struct {
	const struct ph_mem *mem;
	apr_thread_mutex_t *lock;
	apr_pool_t *pool;
	struct executor executors[EXECUTORS_MAX];
	size_t executor_count;
	struct late_start *late_starts;
	struct key keys[KEYS_MAX];
	size_t key_count;
	uint64_t revision;
	uint64_t config_version;
	bool store_down;
	/** Executes writes of numbers of shards without confirming them. */
	bool loses_shards;
	struct ph_httpd *store;
	struct ph_httpc *http;
	char entries[ENTRIES_MAX][64];
	size_t entry_count;
	struct job *jobs;
	size_t job_count;
	uint64_t job_interval_us;
	/** How long a caller waits for an answer. */
	uint64_t deadline_ms;
	/** Run times of the tasks of short and long jobs. */
	uint64_t short_ms;
	uint64_t long_ms;
	/** One job in so many is long. */
	uint64_t long_interval;
	/** One answer in so many of the executors is lost; 0: none. */
	uint64_t lost_answer_interval;
	uint64_t answers;
	uint64_t next_job_us;
	bool sending;
	/** IP address of the executors in their entries; NULL: their own. */
	const char *listed_at;
	/** Length of the names of the configuration and of executors. */
	uint64_t name_bytes;
	/** Names in the configuration and the entries of executors. */
	char *service;
	char *host;
	char *prefix;
	/** The label that jobs require if names are long, and the one that
	 * every second executor has in its place. */
	char *label;
	char *other_label;
	/** Starts on executors without the required label. */
	uint64_t misplaced;
	/** Failure domain whose executors are to get no tasks, as requested at
	 * evacuated_us; NULL: none. */
	char *evacuated;
	uint64_t evacuated_us;
	/** Starts there later than EVACUATION_US after the request. */
	uint64_t evacuated_starts;
	/** Starts of a task while another run of it was in progress. */
	uint64_t overlapping_runs;
	uint64_t starts;
	/** Answers with status 200 and an unknown body. */
	uint64_t invalid_answers;
} fleet;

static void lock(void)
{
	apr_thread_mutex_lock(fleet.lock);
}

static void unlock(void)
{
	apr_thread_mutex_unlock(fleet.lock);
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

/* The job of a task's name, which begins with the job's id of 16 digits. */
static struct job *find_job(const char *task)
{
	size_t i;

	for (i = fleet.job_count; i > 0; i--)
		if (!strncmp(fleet.jobs[i - 1].id, task, 16))
			return &fleet.jobs[i - 1];
	return NULL;
}

/* The task's entry, which is added if there is none. When the table is full it
 * starts over empty. */
static struct highest_run *highest_run_of(struct executor *x, const char *task)
{
	size_t i;

	for (i = 0; i < x->task_count; i++)
		if (!strcmp(x->highest_runs[i].task, task))
			return &x->highest_runs[i];
	if (x->task_count == TASKS_MAX)
		x->task_count = 0;
	ph_strcopy(x->highest_runs[x->task_count].task, TASK_BYTES, task);
	x->highest_runs[x->task_count].run = 0;
	return &x->highest_runs[x->task_count++];
}

/* Ends run i; how is the value on the wire. */
static void end_run(struct executor *x, size_t i, const char *how)
{
	struct end *e = &x->ends[x->end_count % ENDS_MAX];

	e->number = ++x->last_end;
	ph_strcopy(e->task, TASK_BYTES, x->runs[i].task);
	e->run = x->runs[i].run;
	e->how = how;
	x->end_count++;
	x->runs[i] = x->runs[--x->run_count];
}

/* Before a start: counts and prints the runs of the task that are still in
 * progress at any executor. */
static void check_overlap(const struct executor *at, const char *task,
			  uint64_t run)
{
	size_t i;
	size_t k;

	for (i = 0; i < fleet.executor_count; i++)
		for (k = 0; k < fleet.executors[i].run_count; k++)
			if (!strcmp(fleet.executors[i].runs[k].task, task)) {
				const struct run *r =
					&fleet.executors[i].runs[k];

				printf("t=%llu task %s run %llu is started on "
				       "%s while run %llu runs on %s since "
				       "%llu ms\n",
				       (unsigned long long)clock_ms(), task,
				       (unsigned long long)run, at->id,
				       (unsigned long long)r->run,
				       fleet.executors[i].id,
				       (unsigned long long)(ph_clock_us() -
							    r->started_us) /
					       US_PER_MS);
				fleet.overlapping_runs++;
			}
}

static bool has_label(const struct executor *x)
{
	return !fleet.name_bytes || (x - fleet.executors) % 2 == 0;
}

/* Returns the reason for which the start is refused, or NULL. */
static const char *carry_out_start(struct executor *x, const json_t *o)
{
	uint64_t token = ph_json_number(o, "fencingToken", 0);
	/* The end of the executor's lease. */
	uint64_t until_ms = ph_json_number(o, "deadlineMs", 0);
	const char *task = json_string_value(json_object_get(o, "task"));
	const char *spec = json_string_value(json_object_get(o, "spec"));
	uint64_t run = ph_json_number(o, "run", 0);
	struct highest_run *highest;
	struct job *job;
	struct run *r;
	size_t i;

	if (token < x->token)
		return "fence";
	x->token = token;
	if (until_ms && until_ms < clock_ms())
		return "late";
	if (until_ms * US_PER_MS > x->lease_until_us)
		x->lease_until_us = until_ms * US_PER_MS;
	highest = highest_run_of(x, task);
	if (run <= highest->run)
		return "old";
	if ((x->run_count + 1) * (EXECUTOR_CPU_MILLI / 2) > EXECUTOR_CPU_MILLI)
		return "room";
	for (i = 0; i < x->run_count; i++)
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run == run)
			return NULL;
	check_overlap(x, task, run);
	highest->run = run;
	job = find_job(task);
	if (job)
		job->started = true;
	fleet.starts++;
	if (fleet.evacuated && !strcmp(fleet.evacuated, x->zone) &&
	    ph_clock_us() > fleet.evacuated_us + EVACUATION_US)
		fleet.evacuated_starts++;
	fleet.misplaced += !has_label(x);
	r = &x->runs[x->run_count++];
	ph_strcopy(r->task, TASK_BYTES, task);
	r->run = run;
	r->started_us = ph_clock_us();
	r->end_us = ph_clock_us() +
		    (x->fails_runs ? 5 : strtoull(spec, NULL, 10)) * US_PER_MS;
	return NULL;
}

/* Answers a run command, or breaks the connection in place of an answer. */
static void answer_command(struct ph_http_req *req, int status, json_t *doc)
{
	if (!fleet.lost_answer_interval ||
	    ++fleet.answers % fleet.lost_answer_interval) {
		reply_json(req, status, doc);
		return;
	}
	json_decref(doc);
	ph_http_req_reply(req, &(struct ph_http_reply){
				       .status = 503, .body = "", .abort = 1 });
}

static void on_start(struct executor *x, struct ph_http_req *req, json_t *o)
{
	const char *reason;
	json_t *doc;

	if (x->delays_starts) {
		struct late_start *l = calloc(1, sizeof(*l));

		l->x = x;
		l->at_us = ph_clock_us() + LATE_START_DELAY_US;
		l->command = json_incref(o);
		l->next = fleet.late_starts;
		fleet.late_starts = l;
		ph_http_req_reply(req, &(struct ph_http_reply){ .status = 503,
								.body = "",
								.abort = 1 });
		return;
	}
	reason = carry_out_start(x, o);
	doc = json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
	if (reason)
		json_object_set_new(doc, "reason", json_string(reason));
	answer_command(req, reason ? 409 : 200, doc);
}

static void on_stop(struct executor *x, struct ph_http_req *req, json_t *o)
{
	uint64_t token = ph_json_number(o, "fencingToken", 0);
	const char *task = json_string_value(json_object_get(o, "task"));
	uint64_t run = ph_json_number(o, "run", 0);
	json_t *doc = json_pack("{s:I}", "clockMs", (json_int_t)clock_ms());
	struct highest_run *highest;
	size_t i;

	if (token < x->token) {
		json_object_set_new(doc, "reason", json_string("fence"));
		reply_json(req, 409, doc);
		return;
	}
	x->token = token;
	highest = highest_run_of(x, task);
	if (run > highest->run)
		highest->run = run;
	for (i = x->run_count; i > 0; i--)
		if (!strcmp(x->runs[i - 1].task, task) &&
		    x->runs[i - 1].run <= run)
			end_run(x, i - 1, "stopped");
	answer_command(req, 200, doc);
}

/* Answers with the runs in progress and the ends that are not acknowledged. */
static void answer_poll(struct executor *x, struct long_poll *l)
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

		if (e->number > l->ends_seen)
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
	struct long_poll *l = NULL;
	size_t i;

	if (token < x->token) {
		reply_json(req, 409,
			   json_pack("{s:I,s:s}", "clockMs",
				     (json_int_t)clock_ms(), "reason",
				     "fence"));
		return;
	}
	x->token = token;
	if (until_us > now_us + LEASE_MAX_US)
		until_us = now_us + LEASE_MAX_US;
	if (until_us > x->lease_until_us)
		x->lease_until_us = until_us;
	for (i = 0; i < POLLS_MAX && !l; i++)
		if (!x->polls[i].req)
			l = &x->polls[i];
	if (!l) {
		/* The table is full: answers a poll early. */
		l = &x->polls[0];
		answer_poll(x, l);
	}
	l->req = req;
	l->ends_seen = ph_json_number(o, "lastSeen", 0);
	l->until_us = now_us + ph_json_number(o, "waitMs", 0) * US_PER_MS;
}

static void on_executor(void *ctx, struct ph_http_req *req)
{
	struct executor *x = ctx;
	const char *path = ph_http_req_path(req);
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *o = ph_json_object(body, len);

	lock();
	if (!strcmp(path, "/run-start"))
		on_start(x, req, o);
	else if (!strcmp(path, "/run-stop"))
		on_stop(x, req, o);
	else
		on_poll(x, req, o);
	unlock();
	json_decref(o);
}

static void executor_tick(struct executor *x, uint64_t now_us)
{
	bool lease_expired = now_us > x->lease_until_us;
	size_t i;

	for (i = x->run_count; i > 0; i--) {
		if (lease_expired)
			end_run(x, i - 1, "lapsed");
		else if (now_us >= x->runs[i - 1].end_us)
			end_run(x, i - 1, x->fails_runs ? "failed" : "done");
	}
	for (i = 0; i < POLLS_MAX; i++) {
		struct long_poll *l = &x->polls[i];

		if (l->req &&
		    (x->last_end > l->ends_seen || now_us >= l->until_us))
			answer_poll(x, l);
	}
}

/* Carries out the delayed starts that are due. */
static void late_starts_tick(uint64_t now_us)
{
	struct late_start **at = &fleet.late_starts;

	while (*at) {
		struct late_start *l = *at;

		if (now_us < l->at_us) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		carry_out_start(l->x, l->command);
		json_decref(l->command);
		free(l);
	}
}

/* ## Store */

/* A key of the store as it is sent: the value is in base64. */
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
	struct ph_buf doc;
	json_t *o;

	ph_buf_init(&doc, fleet.mem);
	ph_buf_printf(&doc,
		      "{\"version\":%llu,\"routes\":[{\"name\":\"r\",\"host\":"
		      "\"%s\",\"prefix\":\"%s\",\"service\":\"%s\","
		      "\"timeoutMs\":1500,\"targetDurationMs\":60,\"priority\":"
		      "0,\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[]}",
		      (unsigned long long)fleet.config_version, fleet.host,
		      fleet.prefix, fleet.service);
	o = item("op/config", doc.data, fleet.revision);
	ph_buf_free(&doc);
	return o;
}

static json_t *executor_items(void)
{
	json_t *list = json_array();
	struct ph_buf key;
	struct ph_buf doc;
	size_t i;

	ph_buf_init(&key, fleet.mem);
	ph_buf_init(&doc, fleet.mem);
	for (i = 0; i < fleet.executor_count; i++) {
		const struct executor *x = &fleet.executors[i];

		key.len = 0;
		doc.len = 0;
		ph_buf_printf(&key, "servers/%s", x->id);
		ph_buf_printf(&doc,
			      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":"
			      "\"%s\",\"state\":\"%s\",\"born\":%llu,"
			      "\"capacity\":{\"cpu\":%u,\"memMb\":65536},"
			      "\"labels\":[\"r1\",\"%s\"]}",
			      fleet.service, x->address, x->zone,
			      x->draining ? "draining" : "ready",
			      (unsigned long long)x->started_ms,
			      EXECUTOR_CPU_MILLI,
			      has_label(x) ? fleet.label : fleet.other_label);
		json_array_append_new(list,
				      item(key.data, doc.data, fleet.revision));
	}
	ph_buf_free(&key);
	ph_buf_free(&doc);
	return list;
}

static json_t *key_items(const char *prefix)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < fleet.key_count; i++)
		if (!fleet.keys[i].removed &&
		    !strncmp(fleet.keys[i].key, prefix, strlen(prefix)))
			json_array_append_new(list,
					      item(fleet.keys[i].key,
						   fleet.keys[i].value,
						   fleet.keys[i].revision));
	return list;
}

/* The configuration, and the operators' keys that were written or removed
 * after a revision. */
static json_t *operator_events(uint64_t after)
{
	json_t *list = json_array();
	size_t i;

	json_array_append_new(list, config_item());
	for (i = 0; i < fleet.key_count; i++) {
		const struct key *k = &fleet.keys[i];

		if (k->revision <= after ||
		    strncmp(k->key, OPERATOR_KEYS, strlen(OPERATOR_KEYS)) != 0)
			continue;
		json_array_append_new(
			list,
			k->removed ? json_pack("{s:s,s:b,s:I}", "key", k->key,
					       "tombstone", 1, "revision",
					       (json_int_t)k->revision)
				   : item(k->key, k->value, k->revision));
	}
	return list;
}

static struct key *find_key(const char *key)
{
	size_t i;

	for (i = 0; key && i < fleet.key_count; i++)
		if (!strcmp(fleet.keys[i].key, key))
			return &fleet.keys[i];
	return NULL;
}

/* Whether all keys have the revisions that a write expects. */
static bool revisions_expected(const json_t *rows)
{
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		const struct key *k = find_key(
			json_string_value(json_object_get(row, "key")));

		if ((k ? k->revision : 0) != ph_json_number(row, "revision", 0))
			return false;
	}
	return true;
}

/* The keys of these rows that exist. */
static json_t *current_items(const json_t *rows)
{
	json_t *list = json_array();
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		const struct key *k = find_key(
			json_string_value(json_object_get(row, "key")));

		if (k)
			json_array_append_new(
				list, item(k->key, k->value, k->revision));
	}
	return list;
}

/* The key of this name, which is added if there is none. */
static struct key *key_slot(const char *key)
{
	struct key *k = find_key(key);

	if (!k && fleet.key_count < KEYS_MAX)
		k = &fleet.keys[fleet.key_count++];
	if (k)
		ph_strcopy(k->key, sizeof(k->key), key);
	return k;
}

static void put_key(const json_t *put)
{
	const char *key = json_string_value(json_object_get(put, "key"));
	const char *value = json_string_value(json_object_get(put, "value"));
	struct key *k = key_slot(key);

	if (!k)
		return;
	memset(k->value, 0, sizeof(k->value));
	if ((size_t)apr_base64_decode_len(value) < sizeof(k->value))
		apr_base64_decode(k->value, value);
	k->revision = ++fleet.revision;
}

static json_t *write_keys(const json_t *o, int *status)
{
	const json_t *expected = json_object_get(o, "expectedRev");
	const json_t *put;
	size_t i;

	if (!revisions_expected(expected)) {
		*status = 412;
		return json_pack("{s:o}", "items", current_items(expected));
	}
	json_array_foreach (json_object_get(o, "puts"), i, put) {
		put_key(put);
	}
	/* The writes under a condition are those of numbers of shards. */
	if (fleet.loses_shards && json_array_size(expected))
		*status = 500;
	return json_pack("{s:I}", "revision", (json_int_t)fleet.revision);
}

static json_t *store_answer(struct ph_http_req *req, const char *path,
			    int *status)
{
	const char *prefix = ph_http_req_arg(req, "prefix");
	const char *after = ph_http_req_arg(req, "after");
	json_t *doc = NULL;
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *o = ph_json_object(body, len);

	if (!strcmp(path, "/kv-key")) {
		doc = config_item();
	} else if (!strcmp(path, "/kv-range")) {
		doc = json_pack("{s:o,s:b}", "items",
				prefix && !strncmp(prefix, "servers/", 8)
					? executor_items()
					: key_items(prefix ? prefix : ""),
				"truncated", 0);
	} else if (!strcmp(path, "/kv-watch")) {
		doc = json_pack(
			"{s:o}", "events",
			operator_events(after ? strtoull(after, NULL, 10) : 0));
	} else if (!strcmp(path, "/kv-txn")) {
		doc = write_keys(o, status);
	} else {
		doc = json_pack("{s:i,s:i}", "lease", 7, "ttlMs", 20000);
	}
	json_object_set_new(doc, "storeRevision",
			    json_integer((json_int_t)fleet.revision));
	json_decref(o);
	return doc;
}

/* ## Callers */

/* A submission under way; job is the job's index. */
struct attempt {
	size_t job;
};

/* Submits a job, each attempt to the next instance of the list. */
static void send_job(size_t index)
{
	static const char format[] =
		"{\"spec\":\"%u ms\",\"bestEffort\":true,\"steps\":[{\"count\":"
		"%u,\"cpu\":6800,\"memMb\":64,\"estimateMs\":%u,"
		"\"requires\":\"%s\"}]}";
	struct job *j = &fleet.jobs[index];
	struct attempt *a = calloc(1, sizeof(*a));
	struct ph_buf url;
	struct ph_buf body;
	struct ph_buf host;
	char deadline[48];
	struct ph_http_call call = {
		.method = "POST",
		.headers = { NULL, deadline },
		.timeout_us = fleet.deadline_ms * US_PER_MS,
		.user = a,
	};

	a->job = index;
	j->state = JOB_SENT;
	ph_buf_init(&url, fleet.mem);
	ph_buf_init(&body, fleet.mem);
	ph_buf_init(&host, fleet.mem);
	ph_buf_printf(&url, "http://%s%s%s",
		      fleet.entries[(index + j->attempts) % fleet.entry_count],
		      fleet.prefix, j->id);
	ph_buf_printf(&host, "Host: %s", fleet.host);
	snprintf(deadline, sizeof(deadline), "X-Request-Deadline: %llu",
		 (unsigned long long)fleet.deadline_ms);
	ph_buf_printf(&body, format, j->run_ms, j->tasks,
		      j->run_ms < DECLARED_MS_MAX ? j->run_ms : DECLARED_MS_MAX,
		      fleet.name_bytes ? fleet.label : "");
	call.url = url.data;
	call.headers[0] = host.data;
	call.body = body.data;
	call.body_len = body.len;
	j->attempts++;
	ph_httpc_send(fleet.http, &call);
	ph_buf_free(&url);
	ph_buf_free(&body);
	ph_buf_free(&host);
}

static void on_answer(void *ctx, void *user, const struct ph_http_result *r)
{
	struct attempt *a = user;
	struct job *j;

	(void)ctx;
	lock();
	j = &fleet.jobs[a->job];
	if (!r->err && r->status == 200) {
		if (strcmp(r->body, "{\"state\":\"completed\"}") != 0 &&
		    strcmp(r->body, "{\"state\":\"failed\"}") != 0)
			fleet.invalid_answers++;
		j->state = JOB_DONE;
	} else if (!r->err && r->status == 503 && !j->may_have_run) {
		j->state = JOB_REFUSED;
	} else {
		j->may_have_run =
			j->may_have_run || r->err != PH_ERR_UNREACHABLE;
		j->state = j->attempts < ATTEMPTS_MAX ? JOB_WAITING : JOB_LOST;
		j->due_us = ph_clock_us() + RESUBMIT_DELAY_US;
	}
	unlock();
	free(a);
}

/* Submits a new job if one is due, of 1 to 4 tasks, which are long in some
 * jobs; and jobs again whose delay is over. */
static void callers_tick(uint64_t now_us)
{
	size_t i;

	if (fleet.sending && now_us >= fleet.next_job_us &&
	    fleet.job_count < JOBS_MAX) {
		struct job *j = &fleet.jobs[fleet.job_count];

		fleet.next_job_us = now_us + fleet.job_interval_us;
		snprintf(j->id, sizeof(j->id), "%016zx", fleet.job_count + 1);
		j->tasks = 1 + fleet.job_count % 4;
		j->run_ms = (uint32_t)(fleet.job_count % fleet.long_interval
					       ? fleet.short_ms
					       : fleet.long_ms);
		fleet.job_count++;
		send_job(fleet.job_count - 1);
	}
	for (i = 0; i < fleet.job_count; i++)
		if (fleet.jobs[i].state == JOB_WAITING &&
		    now_us >= fleet.jobs[i].due_us)
			send_job(i);
}

/* ## Control */

/* The counts that the scenarios check: "twice", "untrue", "wrong" and
 * "misplaced" have to be 0. */
static json_t *report(void)
{
	uint64_t counts[JOB_LOST + 1] = { 0 };
	uint64_t false_refusals = 0;
	size_t i;

	for (i = 0; i < fleet.job_count; i++) {
		counts[fleet.jobs[i].state]++;
		false_refusals += fleet.jobs[i].state == JOB_REFUSED &&
				  fleet.jobs[i].started;
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
			 "evacuated_starts", (json_int_t)fleet.evacuated_starts,
			 "jobs", (json_int_t)fleet.job_count, "done",
			 (json_int_t)counts[JOB_DONE], "refused",
			 (json_int_t)counts[JOB_REFUSED], "lost",
			 (json_int_t)counts[JOB_LOST], "open",
			 (json_int_t)(counts[JOB_WAITING] + counts[JOB_SENT]),
			 "starts", (json_int_t)fleet.starts, "twice",
			 (json_int_t)fleet.overlapping_runs, "untrue",
			 (json_int_t)false_refusals, "wrong",
			 (json_int_t)fleet.invalid_answers, "misplaced",
			 (json_int_t)fleet.misplaced);
}

/* Writes or removes the operator's request to evacuate a domain. */
static void set_evacuated(const char *zone, bool evacuated)
{
	struct key *k;
	char name[256];

	snprintf(name, sizeof(name), EVACUATIONS "%s", zone);
	k = key_slot(name);
	if (!k)
		return;
	k->removed = !evacuated;
	k->revision = ++fleet.revision;
	fleet.mem->free(fleet.evacuated);
	fleet.evacuated =
		evacuated ? ph_memdup(fleet.mem, zone, strlen(zone)) : NULL;
	fleet.evacuated_us = ph_clock_us();
}

/* Sets the given modes; "executor" is the index of the executor that they apply
 * to. Modes that are not given stay. */
static void set_mode(const json_t *o)
{
	size_t i = (size_t)ph_json_number(o, "executor", 0);
	struct executor *x = &fleet.executors[i % fleet.executor_count];

	if (json_object_get(o, "store_down"))
		fleet.store_down = ph_json_true(o, "store_down");
	if (json_object_get(o, "lost_answer_interval"))
		fleet.lost_answer_interval =
			ph_json_number(o, "lost_answer_interval", 0);
	if (json_object_get(o, "loses_shards"))
		fleet.loses_shards = ph_json_true(o, "loses_shards");
	if (json_object_get(o, "sending"))
		fleet.sending = ph_json_true(o, "sending");
	if (json_object_get(o, "late"))
		x->delays_starts = ph_json_true(o, "late");
	if (json_object_get(o, "fails"))
		x->fails_runs = ph_json_true(o, "fails");
	if (json_object_get(o, "draining"))
		x->draining = ph_json_true(o, "draining");
	if (json_is_string(json_object_get(o, "evacuate")))
		set_evacuated(json_string_value(json_object_get(o, "evacuate")),
			      true);
	if (json_is_string(json_object_get(o, "evacuation_end")))
		set_evacuated(
			json_string_value(json_object_get(o, "evacuation_end")),
			false);
	if (ph_json_true(o, "config"))
		fleet.config_version++;
	/* The executor restarts and has forgotten all. */
	if (ph_json_true(o, "reborn")) {
		x->started_ms++;
		x->run_count = 0;
		x->end_count = 0;
		x->last_end = 0;
		x->task_count = 0;
		x->token = 0;
		x->lease_until_us = 0;
	}
	fleet.revision++;
}

static void on_store(void *ctx, struct ph_http_req *req)
{
	const char *path = ph_http_req_path(req);
	size_t len;
	const char *body = ph_http_req_body(req, &len);

	(void)ctx;
	lock();
	if (!strcmp(path, "/standin/report")) {
		reply_json(req, 200, report());
	} else if (!strcmp(path, "/standin/mode")) {
		json_t *o = ph_json_object(body, len);

		set_mode(o);
		json_decref(o);
		reply_json(req, 200, json_object());
	} else if (fleet.store_down) {
		reply_json(req, 503, json_object());
	} else {
		int status = 200;
		json_t *doc;

		/* A watch is answered after 300 ms, changed or not. */
		if (!strcmp(path, "/kv-watch")) {
			unlock();
			usleep(300 * US_PER_MS);
			lock();
		}
		doc = store_answer(req, path, &status);
		reply_json(req, status, doc);
	}
	unlock();
}

static void *APR_THREAD_FUNC tick(apr_thread_t *thread, void *data)
{
	(void)thread;
	(void)data;
	for (;;) {
		uint64_t now_us = ph_clock_us();
		size_t i;

		lock();
		late_starts_tick(now_us);
		for (i = 0; i < fleet.executor_count; i++)
			executor_tick(&fleet.executors[i], now_us);
		callers_tick(now_us);
		unlock();
		usleep(TICK_US);
	}
	return NULL;
}

static struct ph_httpd *start_server(const char *address, uint16_t port,
				     ph_http_handler_fn *handler, void *ctx,
				     uint32_t threads)
{
	struct ph_httpd_options options = {
		.mem = fleet.mem,
		.address = address,
		.port = port,
		.threads = threads,
		.max_body_bytes = PH_MAX_BODY_BYTES,
		.handler = handler,
		.ctx = ctx,
	};

	return ph_httpd_new(&options);
}

/* Splits "a,b,..." into domains, and returns how many there are. */
static size_t split_domains(const char *text, char **domains)
{
	size_t count = 0;

	while (*text && count < DOMAINS_MAX) {
		size_t len = strcspn(text, ",");

		domains[count++] = ph_memdup(fleet.mem, text, len);
		text += len;
		text += *text == ',';
	}
	return count;
}

/* A name of fleet.name_bytes, or max if that is less, that ends with "end". */
static char *long_name(const char *begin, const char *end, uint64_t max)
{
	uint64_t bytes = fleet.name_bytes < max ? fleet.name_bytes : max;
	struct ph_buf name;

	ph_buf_init(&name, fleet.mem);
	ph_buf_puts(&name, begin);
	while (name.len + strlen(end) < bytes)
		ph_buf_puts(&name, "x");
	ph_buf_puts(&name, end);
	return ph_buf_detach(&name);
}

static void set_names(void)
{
	fleet.service = long_name("", "desk", UINT64_MAX);
	fleet.host = long_name("", "desk.example", UINT64_MAX);
	fleet.prefix = long_name("/", "q/", UINT64_MAX);
	fleet.label = long_name("", "a", UINT64_MAX);
	fleet.other_label = long_name("", "b", UINT64_MAX);
}

static void add_executor(const char *address, uint16_t port, const char *zone)
{
	struct executor *x = &fleet.executors[fleet.executor_count];
	char id[24];

	snprintf(id, sizeof(id), "i-%zu", fleet.executor_count++);
	x->id = long_name("", id, ID_BYTES_MAX);
	snprintf(x->address, sizeof(x->address), "%s:%u",
		 fleet.listed_at ? fleet.listed_at : address, port);
	x->zone = zone;
	x->started_ms = 1;
	x->highest_runs =
		fleet.mem->calloc(TASKS_MAX, sizeof(*x->highest_runs));
	x->httpd = start_server(address, port, on_executor, x, 1);
}

/* Splits "ip:port,..." into the list of entry instances. */
static void split_entries(const char *text)
{
	while (*text && fleet.entry_count < ENTRIES_MAX) {
		size_t len = strcspn(text, ",");

		snprintf(fleet.entries[fleet.entry_count++],
			 sizeof(fleet.entries[0]), "%.*s", (int)len, text);
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
	const char *domain_list = NULL;
	static char *domains[DOMAINS_MAX];
	size_t domain_count;
	struct ph_setting list[] = {
		{ .flag = "address",
		  .type = PH_SETTING_IP,
		  .fallback = "127.0.0.99",
		  .help = "IP address to listen on",
		  .text = &address },
		{ .flag = "port",
		  .type = PH_SETTING_PORT,
		  .fallback = "20000",
		  .help = "port of the store; the executors have the next ones",
		  .number = &port },
		{ .flag = "count",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "8",
		  .help = "executors, as many in each failure domain",
		  .number = &count },
		{ .flag = "domains",
		  .type = PH_SETTING_TEXT,
		  .fallback = "north,south",
		  .help = "failure domains of the executors",
		  .text = &domain_list },
		{ .flag = "deadline-ms",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "4000",
		  .help = "time for which a caller waits for an answer",
		  .number = &fleet.deadline_ms },
		{ .flag = "short-ms",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "60",
		  .help = "run time of the tasks of most jobs",
		  .number = &fleet.short_ms },
		{ .flag = "long-ms",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "600",
		  .help = "run time of the tasks of the other jobs",
		  .number = &fleet.long_ms },
		{ .flag = "long-interval",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "7",
		  .help = "one job in so many is long",
		  .number = &fleet.long_interval },
		{ .flag = "entries",
		  .type = PH_SETTING_TEXT,
		  .fallback = NULL,
		  .help = "ip:port,... that callers submit jobs to",
		  .text = &entries },
		{ .flag = "listed-at",
		  .type = PH_SETTING_TEXT,
		  .fallback = "",
		  .help = "IP address of the executors in the store, if it "
			  "isn't theirs",
		  .text = &fleet.listed_at },
		{ .flag = "name-bytes",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "0",
		  .help = "least length of the names of service, host, prefix, "
			  "label and executors; over 0: jobs require a label",
		  .number = &fleet.name_bytes },
		{ .flag = "every-ms",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "30",
		  .help = "interval between two jobs",
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
	/* The process is killed at the end of a scenario: lines that were
	 * printed must not be left in a buffer. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	fleet.mem = ph_mem_default();
	http.mem = fleet.mem;
	apr_pool_create(&fleet.pool, NULL);
	apr_thread_mutex_create(&fleet.lock, APR_THREAD_MUTEX_DEFAULT,
				fleet.pool);
	fleet.jobs = fleet.mem->calloc(JOBS_MAX, sizeof(*fleet.jobs));
	fleet.revision = 1;
	fleet.config_version = 1;
	fleet.job_interval_us = every_ms * US_PER_MS;
	set_names();
	split_entries(entries);
	fleet.http = ph_httpc_new(&http);
	domain_count = split_domains(domain_list, domains);
	for (i = 0; i < count && i < EXECUTORS_MAX; i++)
		add_executor(address, (uint16_t)(port + 1 + i),
			     domains[i * domain_count / count]);
	fleet.store = start_server(address, (uint16_t)port, on_store, NULL,
				   STORE_THREADS + (uint32_t)fleet.entry_count);
	if (!fleet.store)
		return PH_EXIT_FAILED;
	apr_thread_create(&thread, NULL, tick, NULL, fleet.pool);
	apr_thread_join(&(apr_status_t){ 0 }, thread);
	return PH_EXIT_OK;
}
