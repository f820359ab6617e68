#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "platform.h"

#define STORE_PORT 8169
#define EXECUTOR_PORT 9000
#define FRONT_PORT 8161
#define CONTROL_PORT 8166
#define READY_PORT 8167
#define METRICS_PORT 9464
#define CONNS_MAX 1024
#define RUNS_MAX 64
#define ENDS_MAX 4096
#define TASKS_MAX 4096
#define KEYS_MAX 64
#define EVENTS_MAX 4096
#define STARTS_MAX 8192
#define ORDERS_MAX 64
#define JOBS_MAX 256
/* Interval at which an executor writes its entry anew. */
#define HEARTBEAT_S 1.5
#define TICK_MS 2

struct run {
	char task[64];
	int64_t number;
	int cpu_milli;
	double begin_s;
	double end_s;
	/* When it ends as stopped; 0: it is not being stopped. */
	double stop_s;
	/* Index of its start in starts[]. */
	int start;
};

struct end {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
};

struct highest {
	char task[64];
	int64_t run;
};

struct executor {
	char id[32];
	char ip[20];
	const char *zone;
	int cpu_milli;
	int listener;
	bool up;
	int life;
	int64_t born_ms;
	double born_s;
	int64_t token;
	/* End of the lease, on its own clock. */
	int64_t lease_ms;
	struct run runs[RUNS_MAX];
	int run_count;
	struct end ends[ENDS_MAX];
	int end_count;
	int64_t last_end;
	struct highest highest[TASKS_MAX];
	int highest_count;
	int64_t seq;
	double entry_s;
};

struct node {
	char name[32];
	char ip[20];
	const char *zone;
	pid_t pid;
};

/* A start as an executor carried it out. */
struct start {
	char task[64];
	int executor;
	double begin_s;
	/* 0: it still runs. */
	double end_s;
};

/* A connection to the store (executor is -1) or to an executor. */
struct conn {
	int fd;
	int executor;
	char *in;
	size_t in_len;
	/* A request that waits for its answer: a poll or a watch. */
	bool waiting;
	double until_s;
	int64_t after;
	char prefix[64];
	/* Its call gets no answer. */
	bool mute;
};

/* A call that gets no answer and is carried out later. */
struct order {
	int executor;
	json_t *body;
	double due_s;
};

struct key {
	char key[128];
	char *value;
	int64_t revision;
	int64_t lease;
};

struct event {
	char key[128];
	char *value;
	int64_t revision;
};

static struct {
	pthread_mutex_t lock;
	pthread_t thread;
	volatile bool stopping;
	FILE *record;
	char folder[256];
	char dispatch[256];
	int net_a;
	int net_b;
	double start_s;
	int store_listener;
	int64_t revision;
	int64_t last_lease;
	struct key keys[KEYS_MAX];
	int key_count;
	struct event events[EVENTS_MAX];
	int event_count;
	struct executor executors[EXECUTORS_MAX];
	int executor_count;
	struct node nodes[NODES_MAX];
	int node_count;
	struct conn conns[CONNS_MAX];
	int conn_count;
	struct order orders[ORDERS_MAX];
	int order_count;
	struct start starts[STARTS_MAX];
	int start_count;
	int overlaps;
	struct job *jobs[JOBS_MAX];
	int job_count;
	char held_job[17];
	int held_after_ms;
	int held_executor;
} p = { .lock = PTHREAD_MUTEX_INITIALIZER, .held_executor = -1 };

/* ## Time and record */

static double clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double now_s(void)
{
	return clock_s() - p.start_s;
}

void sleep_ms(int ms)
{
	struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

void record(const char *format, ...)
{
	va_list args;

	flockfile(p.record);
	fprintf(p.record, "%9.4f ", now_s());
	va_start(args, format);
	vfprintf(p.record, format, args);
	va_end(args);
	fputc('\n', p.record);
	fflush(p.record);
	funlockfile(p.record);
}

static int64_t unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* ## Sockets */

static int listen_at(const char *ip, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

/* Resets a connection; its slot is freed by remove_closed(). */
static void conn_close(struct conn *c)
{
	if (c->fd >= 0)
		reset(c->fd);
	c->fd = -1;
	free(c->in);
	c->in = NULL;
	c->in_len = 0;
	c->waiting = false;
}

static void answer(struct conn *c, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	char head[160];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, strlen(text));

	c->waiting = false;
	if (send(c->fd, head, (size_t)n, MSG_NOSIGNAL | MSG_MORE) != n ||
	    send(c->fd, text, strlen(text), MSG_NOSIGNAL) !=
		    (ssize_t)strlen(text))
		conn_close(c);
	free(text);
	json_decref(doc);
}

static int64_t number(const json_t *o, const char *field, int64_t fallback)
{
	const json_t *v = json_object_get(o, field);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

/* ## Store */

static const char base64_chars[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				   "qrstuvwxyz0123456789+/";

static char *base64(const char *text)
{
	size_t len = strlen(text);
	char *out = calloc(1, len * 2 + 8);
	char *at = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		v |= i + 1 < len ? (unsigned)(unsigned char)text[i + 1] << 8
				 : 0;
		v |= i + 2 < len ? (unsigned char)text[i + 2] : 0;
		*at++ = base64_chars[v >> 18];
		*at++ = base64_chars[v >> 12 & 63];
		*at++ = i + 1 < len ? base64_chars[v >> 6 & 63] : '=';
		*at++ = i + 2 < len ? base64_chars[v & 63] : '=';
	}
	return out;
}

static struct key *key_find(const char *key)
{
	int i;

	for (i = 0; i < p.key_count; i++)
		if (!strcmp(p.keys[i].key, key))
			return &p.keys[i];
	return NULL;
}

/* Writes a key; value is in base64. */
static void key_put(const char *key, const char *value, int64_t lease)
{
	struct key *k = key_find(key);
	struct event *e = &p.events[p.event_count % EVENTS_MAX];

	if (!k) {
		if (p.key_count == KEYS_MAX)
			abort();
		k = &p.keys[p.key_count++];
		snprintf(k->key, sizeof(k->key), "%s", key);
	}
	free(k->value);
	k->value = strdup(value);
	k->revision = ++p.revision;
	k->lease = lease;
	snprintf(e->key, sizeof(e->key), "%s", key);
	free(e->value);
	e->value = strdup(value);
	e->revision = p.revision;
	p.event_count++;
}

static void key_put_text(const char *key, const char *text)
{
	char *value = base64(text);

	key_put(key, value, 0);
	free(value);
}

static json_t *item(const char *key, const char *value, int64_t revision,
		    int64_t lease)
{
	return json_pack("{s:s,s:s,s:I,s:I}", "key", key, "value", value,
			 "revision", (json_int_t)revision, "lease",
			 (json_int_t)lease);
}

static int compare_keys(const void *a, const void *b)
{
	const struct key *const *x = a;
	const struct key *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void store_range(struct conn *c, const char *prefix)
{
	struct key *sorted[KEYS_MAX];
	json_t *list = json_array();
	int n = 0;
	int i;

	for (i = 0; i < p.key_count; i++)
		if (!strncmp(p.keys[i].key, prefix, strlen(prefix)))
			sorted[n++] = &p.keys[i];
	qsort(sorted, (size_t)n, sizeof(sorted[0]), compare_keys);
	for (i = 0; i < n; i++)
		json_array_append_new(
			list, item(sorted[i]->key, sorted[i]->value,
				   sorted[i]->revision, sorted[i]->lease));
	answer(c, 200,
	       json_pack("{s:o,s:b,s:I}", "items", list, "truncated", 0,
			 "storeRevision", (json_int_t)p.revision));
}

/* Answers a watch if there is an event, or its time has passed. */
static void store_watch(struct conn *c)
{
	json_t *list = json_array();
	int first = p.event_count > EVENTS_MAX ? p.event_count - EVENTS_MAX : 0;
	int i;

	for (i = first; i < p.event_count; i++) {
		const struct event *e = &p.events[i % EVENTS_MAX];

		if (e->revision > c->after &&
		    !strncmp(e->key, c->prefix, strlen(c->prefix)))
			json_array_append_new(
				list, item(e->key, e->value, e->revision, 0));
	}
	if (!json_array_size(list) && now_s() < c->until_s) {
		json_decref(list);
		return;
	}
	answer(c, 200,
	       json_pack("{s:o,s:I}", "events", list, "storeRevision",
			 (json_int_t)p.revision));
}

static void store_txn(struct conn *c, const json_t *o)
{
	json_t *items = json_array();
	bool as_expected = true;
	const json_t *row;
	size_t i;

	json_array_foreach (json_object_get(o, "expectedRev"), i, row) {
		const struct key *k = key_find(
			json_string_value(json_object_get(row, "key")));

		if ((k ? k->revision : 0) != number(row, "revision", 0))
			as_expected = false;
		if (k)
			json_array_append_new(
				items,
				item(k->key, k->value, k->revision, k->lease));
	}
	if (!as_expected) {
		answer(c, 412,
		       json_pack("{s:o,s:I}", "items", items, "storeRevision",
				 (json_int_t)p.revision));
		return;
	}
	json_decref(items);
	json_array_foreach (json_object_get(o, "puts"), i, row)
		key_put(json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")),
			number(row, "lease", 0));
	answer(c, 200, json_pack("{s:I}", "revision", (json_int_t)p.revision));
}

/* Decodes the value of a query's field into out. */
static void query(const char *path, const char *field, char *out, size_t size)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(field);
	size_t n = 0;

	while (at && !(!strncmp(at + 1, field, len) && at[1 + len] == '='))
		at = strchr(at + 1, '&');
	at = at ? at + len + 2 : "";
	while (*at && *at != '&' && n + 1 < size) {
		unsigned c = (unsigned char)*at;

		if (*at == '%' && sscanf(at + 1, "%2x", &c) == 1)
			at += 2;
		out[n++] = (char)c;
		at++;
	}
	out[n] = '\0';
}

static void on_store(struct conn *c, const char *path, const json_t *o)
{
	char text[128];

	if (!strncmp(path, "/kv-key?", 8)) {
		const struct key *k;

		query(path, "key", text, sizeof(text));
		k = key_find(text);
		if (k) {
			json_t *doc =
				item(k->key, k->value, k->revision, k->lease);

			json_object_set_new(
				doc, "storeRevision",
				json_integer((json_int_t)p.revision));
			answer(c, 200, doc);
		} else {
			answer(c, 404,
			       json_pack("{s:I}", "storeRevision",
					 (json_int_t)p.revision));
		}
	} else if (!strncmp(path, "/kv-range?", 10)) {
		query(path, "prefix", text, sizeof(text));
		store_range(c, text);
	} else if (!strncmp(path, "/kv-watch?", 10)) {
		query(path, "prefix", c->prefix, sizeof(c->prefix));
		query(path, "after", text, sizeof(text));
		c->after = strtoll(text, NULL, 10);
		query(path, "waitMs", text, sizeof(text));
		c->until_s = now_s() + atof(text) / 1000;
		c->waiting = true;
		store_watch(c);
	} else if (!strcmp(path, "/kv-txn")) {
		store_txn(c, o);
	} else if (!strcmp(path, "/kv-lease")) {
		answer(c, 200,
		       json_pack("{s:I,s:I}", "lease",
				 (json_int_t)++p.last_lease, "ttlMs",
				 (json_int_t)number(o, "ttlMs", 20000)));
	} else if (!strncmp(path, "/kv-keep/", 9)) {
		answer(c, 200, json_object());
	} else {
		answer(c, 404, json_object());
	}
}

/* ## Executors */

static int64_t executor_clock_ms(const struct executor *x)
{
	return (int64_t)((clock_s() - x->born_s) * 1000);
}

static void write_entry(struct executor *x)
{
	char text[512];
	char key[64];

	x->entry_s = now_s();
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		 "\"coldLeftMs\":0,\"seq\":%lld,\"born\":%lld,\"capacity\":{"
		 "\"cpu\":%d,\"memMb\":65536},\"labels\":[\"a\",\"r-%s\"]}",
		 SERVICE, x->ip, EXECUTOR_PORT, x->zone, (long long)++x->seq,
		 (long long)x->born_ms, x->cpu_milli, x->zone);
	snprintf(key, sizeof(key), "servers/%s", x->id);
	key_put_text(key, text);
}

static struct highest *highest_of(struct executor *x, const char *task)
{
	int i;

	for (i = 0; i < x->highest_count; i++)
		if (!strcmp(x->highest[i].task, task))
			return &x->highest[i];
	if (x->highest_count == TASKS_MAX)
		abort();
	snprintf(x->highest[x->highest_count].task, 64, "%s", task);
	x->highest[x->highest_count].run = 0;
	return &x->highest[x->highest_count++];
}

static void run_end(struct executor *x, int i, const char *how)
{
	struct run *r = &x->runs[i];
	struct end *e = &x->ends[x->end_count++ % ENDS_MAX];

	e->number = ++x->last_end;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->number;
	e->how = how;
	p.starts[r->start].end_s = now_s();
	record("end    task=%s run=%lld executor=%s how=%s", r->task,
	       (long long)r->number, x->id, how);
	x->runs[i] = x->runs[--x->run_count];
}

static json_t *reply_base(const struct executor *x)
{
	return json_pack("{s:I,s:I}", "clockMs",
			 (json_int_t)executor_clock_ms(x), "born",
			 (json_int_t)x->born_ms);
}

/* Takes the end of a lease from a call; it never shortens. */
static void grant(struct executor *x, const json_t *o)
{
	int64_t end = number(o, "deadlineMs", 0);
	int64_t longest = executor_clock_ms(x) + HOLD_MAX_MS;

	if (end > longest)
		end = longest;
	if (end > x->lease_ms)
		x->lease_ms = end;
}

static struct job *job_of(const char *task)
{
	int i;

	for (i = 0; i < p.job_count; i++)
		if (!strncmp(p.jobs[i]->id, task, 16))
			return p.jobs[i];
	return NULL;
}

/* Before a start: runs of the task that are going on elsewhere. */
static void note_overlaps(const struct executor *at, const char *task,
			  int64_t run)
{
	int i;
	int k;

	for (i = 0; i < p.executor_count; i++)
		for (k = 0; k < p.executors[i].run_count; k++) {
			const struct executor *x = &p.executors[i];

			if (!x->up || strcmp(x->runs[k].task, task) != 0)
				continue;
			p.overlaps++;
			record("BROKEN rule=TWICE task=%s run=%lld starts on "
			       "%s while run=%lld is going on on %s since "
			       "%.4f",
			       task, (long long)run, at->id,
			       (long long)x->runs[k].number, x->id,
			       x->runs[k].begin_s);
		}
}

/* Returns the reason for a refusal, or NULL. */
static const char *carry_out_start(struct executor *x, const json_t *o,
				   bool late)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	int64_t run = number(o, "run", 0);
	int64_t token = number(o, "fencingToken", 0);
	const struct job *job = job_of(task);
	struct highest *highest;
	struct run *r;
	int used = 0;
	int i;

	if (token < x->token)
		return "fence";
	x->token = token;
	if (number(o, "deadlineMs", 0) <= executor_clock_ms(x))
		return "late";
	for (i = 0; i < x->run_count; i++) {
		used += x->runs[i].cpu_milli;
		if (!strcmp(x->runs[i].task, task) &&
		    x->runs[i].number == run) {
			grant(x, o);
			return NULL;
		}
	}
	highest = highest_of(x, task);
	grant(x, o);
	if (run <= highest->run)
		return "old";
	if (!job) {
		record("BROKEN rule=UNASKED task=%s: no client sent it", task);
		return "room";
	}
	if (used + job->cpu_milli > x->cpu_milli || x->run_count == RUNS_MAX)
		return "room";
	note_overlaps(x, task, run);
	highest->run = run;
	r = &x->runs[x->run_count++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = run;
	r->cpu_milli = job->cpu_milli;
	r->begin_s = now_s();
	r->end_s = r->begin_s + job->work_ms / 1000.0;
	r->start = p.start_count % STARTS_MAX;
	snprintf(p.starts[r->start].task, 64, "%s", task);
	p.starts[r->start].executor = (int)(x - p.executors);
	p.starts[r->start].begin_s = r->begin_s;
	p.starts[r->start].end_s = 0;
	p.start_count++;
	record("start  task=%s run=%lld executor=%s life=%d token=%lld%s", task,
	       (long long)run, x->id, x->life, (long long)token,
	       late ? " carried_out_late" : "");
	return NULL;
}

static void on_start(struct conn *c, struct executor *x, json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	const char *reason;
	json_t *doc;

	if (p.held_job[0] && !strncmp(p.held_job, task, 16) &&
	    p.order_count < ORDERS_MAX) {
		p.orders[p.order_count].executor = c->executor;
		p.orders[p.order_count].body = json_incref(o);
		p.orders[p.order_count++].due_s =
			now_s() + p.held_after_ms / 1000.0;
		p.held_executor = c->executor;
		p.held_job[0] = '\0';
		record("hold   task=%s run=%lld executor=%s: the start gets no "
		       "answer and is carried out %d ms later",
		       task, (long long)number(o, "run", 0), x->id,
		       p.held_after_ms);
		c->mute = true;
		return;
	}
	reason = carry_out_start(x, o, false);
	doc = reply_base(x);
	if (reason) {
		json_object_set_new(doc, "reason", json_string(reason));
		record("refuse task=%s run=%lld executor=%s reason=%s", task,
		       (long long)number(o, "run", 0), x->id, reason);
	}
	answer(c, reason ? 409 : 200, doc);
}

static void on_stop(struct conn *c, struct executor *x, const json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	int64_t run = number(o, "run", 0);
	int64_t token = number(o, "fencingToken", 0);
	json_t *doc = reply_base(x);
	struct highest *highest;
	int i;

	if (token < x->token) {
		json_object_set_new(doc, "reason", json_string("fence"));
		answer(c, 409, doc);
		return;
	}
	x->token = token;
	highest = highest_of(x, task);
	if (run > highest->run)
		highest->run = run;
	for (i = 0; i < x->run_count; i++)
		if (!strcmp(x->runs[i].task, task) &&
		    x->runs[i].number == run && !x->runs[i].stop_s)
			x->runs[i].stop_s = now_s() + STOP_MS / 2000.0;
	record("stop   task=%s run=%lld executor=%s", task, (long long)run,
	       x->id);
	answer(c, 200, doc);
}

static bool has_end_after(const struct executor *x, int64_t seen)
{
	return x->last_end > seen;
}

static void answer_poll(struct conn *c, struct executor *x)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	json_t *doc = reply_base(x);
	int i;

	for (i = 0; i < x->run_count; i++) {
		const struct run *r = &x->runs[i];
		double share = (now_s() - r->begin_s) / (r->end_s - r->begin_s);
		int percent = share < 0.99 ? (int)(share * 100) : 99;

		json_array_append_new(running,
				      json_pack("[s,I,s,i,i]", r->task,
						(json_int_t)r->number, "",
						percent, r->cpu_milli));
	}
	for (i = x->end_count > ENDS_MAX ? x->end_count - ENDS_MAX : 0;
	     i < x->end_count && json_array_size(ended) < 500; i++) {
		const struct end *e = &x->ends[i % ENDS_MAX];

		if (e->number > c->after)
			json_array_append_new(
				ended,
				json_pack("[I,s,I,s,s]", (json_int_t)e->number,
					  e->task, (json_int_t)e->run, e->how,
					  ""));
	}
	json_object_set_new(doc, "running", running);
	json_object_set_new(doc, "ended", ended);
	answer(c, 200, doc);
}

static void on_poll(struct conn *c, struct executor *x, const json_t *o)
{
	int64_t token = number(o, "fencingToken", 0);

	if (token < x->token) {
		json_t *doc = reply_base(x);

		json_object_set_new(doc, "reason", json_string("fence"));
		answer(c, 409, doc);
		return;
	}
	x->token = token;
	grant(x, o);
	c->after = number(o, "lastSeen", 0);
	c->until_s = now_s() + (double)number(o, "waitMs", 0) / 1000;
	c->waiting = true;
	if (has_end_after(x, c->after) || now_s() >= c->until_s)
		answer_poll(c, x);
}

static void executor_tick(struct executor *x)
{
	int i;

	if (!x->up)
		return;
	for (i = x->run_count - 1; i >= 0; i--) {
		if (x->lease_ms <= executor_clock_ms(x))
			run_end(x, i, "lapsed");
		else if (x->runs[i].stop_s && now_s() >= x->runs[i].stop_s)
			run_end(x, i, "stopped");
		else if (!x->runs[i].stop_s && now_s() >= x->runs[i].end_s)
			run_end(x, i, "done");
	}
	if (now_s() >= x->entry_s + HEARTBEAT_S)
		write_entry(x);
}

static void orders_tick(void)
{
	int i;

	for (i = p.order_count - 1; i >= 0; i--) {
		struct order *o = &p.orders[i];
		struct executor *x = &p.executors[o->executor];
		const char *reason;

		if (now_s() < o->due_s || !x->up)
			continue;
		reason = carry_out_start(x, o->body, true);
		record("held   start is carried out by %s life=%d: %s", x->id,
		       x->life, reason ? reason : "runs");
		json_decref(o->body);
		*o = p.orders[--p.order_count];
	}
}

/* ## Connections */

static void on_request(struct conn *c, const char *method, const char *path,
		       const char *head, json_t *o)
{
	struct executor *x;
	const char *expected = strcasestr(head, "\r\nX-Expect-Instance: ");

	(void)method;
	if (c->executor < 0) {
		on_store(c, path, o);
		return;
	}
	x = &p.executors[c->executor];
	if (expected && strncmp(expected + 21, x->id, strlen(x->id)) != 0) {
		answer(c, 421, reply_base(x));
		return;
	}
	if (!strcmp(path, "/run-start"))
		on_start(c, x, o);
	else if (!strcmp(path, "/run-stop"))
		on_stop(c, x, o);
	else if (!strcmp(path, "/hold"))
		on_poll(c, x, o);
	else
		answer(c, 200, json_object());
}

/* Handles the first request of a connection if it has arrived whole. */
static bool take_request(struct conn *c)
{
	char *end = c->in ? strstr(c->in, "\r\n\r\n") : NULL;
	char method[16];
	char path[256];
	size_t body_len = 0;
	size_t used;
	const char *at;
	json_t *o;

	if (!end || c->waiting)
		return false;
	*end = '\0';
	at = strcasestr(c->in, "\r\nContent-Length:");
	if (at)
		body_len = strtoul(at + 17, NULL, 10);
	used = (size_t)(end - c->in) + 4 + body_len;
	if (c->in_len < used) {
		*end = '\r';
		return false;
	}
	if (sscanf(c->in, "%15s %255s", method, path) != 2) {
		conn_close(c);
		return false;
	}
	o = json_loadb(end + 4, body_len, 0, NULL);
	on_request(c, method, path, c->in, o);
	json_decref(o);
	if (c->fd < 0)
		return false;
	memmove(c->in, c->in + used, c->in_len - used + 1);
	c->in_len -= used;
	return true;
}

static void conn_read(struct conn *c)
{
	char data[16384];
	ssize_t n = recv(c->fd, data, sizeof(data), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		conn_close(c);
		return;
	}
	c->in = realloc(c->in, c->in_len + (size_t)n + 1);
	memcpy(c->in + c->in_len, data, (size_t)n);
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	while (!c->mute && take_request(c))
		;
}

static void accept_at(int listener, int executor)
{
	int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	int one = 1;
	struct conn *c;

	if (fd < 0)
		return;
	if (p.conn_count == CONNS_MAX) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c = &p.conns[p.conn_count++];
	memset(c, 0, sizeof(*c));
	c->fd = fd;
	c->executor = executor;
}

static void remove_closed(void)
{
	int i;

	for (i = p.conn_count - 1; i >= 0; i--)
		if (p.conns[i].fd < 0)
			p.conns[i] = p.conns[--p.conn_count];
}

static void serve_waiting(struct conn *c)
{
	if (!c->waiting)
		return;
	if (c->executor < 0) {
		store_watch(c);
	} else {
		struct executor *x = &p.executors[c->executor];

		if (has_end_after(x, c->after) || now_s() >= c->until_s)
			answer_poll(c, x);
	}
	while (c->fd >= 0 && !c->mute && take_request(c))
		;
}

/* Waits for events without the lock, then handles them. */
static void serve_once(void)
{
	static struct pollfd fds[CONNS_MAX + EXECUTORS_MAX + 1];
	int conns;
	int n = 0;
	int i;

	pthread_mutex_lock(&p.lock);
	remove_closed();
	conns = p.conn_count;
	for (i = 0; i < conns; i++) {
		fds[n].fd = p.conns[i].fd;
		fds[n++].events = POLLIN;
	}
	fds[n].fd = p.store_listener;
	fds[n++].events = POLLIN;
	for (i = 0; i < p.executor_count; i++) {
		fds[n].fd = p.executors[i].up ? p.executors[i].listener : -1;
		fds[n++].events = POLLIN;
	}
	pthread_mutex_unlock(&p.lock);
	poll(fds, (nfds_t)n, TICK_MS);
	pthread_mutex_lock(&p.lock);
	for (i = 0; i < conns; i++)
		if (fds[i].fd >= 0 && fds[i].fd == p.conns[i].fd &&
		    fds[i].revents)
			conn_read(&p.conns[i]);
	if (fds[conns].revents)
		accept_at(p.store_listener, -1);
	for (i = 0; i < p.executor_count; i++)
		if (fds[conns + 1 + i].fd >= 0 && fds[conns + 1 + i].revents &&
		    p.executors[i].up)
			accept_at(p.executors[i].listener, i);
	orders_tick();
	for (i = 0; i < p.executor_count; i++)
		executor_tick(&p.executors[i]);
	for (i = 0; i < p.conn_count; i++)
		if (p.conns[i].fd >= 0)
			serve_waiting(&p.conns[i]);
	pthread_mutex_unlock(&p.lock);
}

static void *serve(void *arg)
{
	(void)arg;
	while (!p.stopping)
		serve_once();
	return NULL;
}

/* ## Machines and executors */

static void executor_up(struct executor *x)
{
	x->life++;
	x->born_ms = unix_ms();
	x->born_s = clock_s();
	x->token = 0;
	x->lease_ms = 0;
	x->run_count = 0;
	x->end_count = 0;
	x->last_end = 0;
	x->highest_count = 0;
	x->seq = 0;
	x->listener = listen_at(x->ip, EXECUTOR_PORT);
	if (x->listener < 0) {
		record("executor %s can't listen", x->id);
		abort();
	}
	x->up = true;
	write_entry(x);
	record("up     executor=%s life=%d", x->id, x->life);
}

void executor_crash(int executor)
{
	struct executor *x = &p.executors[executor];
	int i;

	pthread_mutex_lock(&p.lock);
	record("crash  executor=%s", x->id);
	x->up = false;
	close(x->listener);
	x->listener = -1;
	for (i = 0; i < p.conn_count; i++)
		if (p.conns[i].executor == executor)
			conn_close(&p.conns[i]);
	while (x->run_count)
		run_end(x, x->run_count - 1, "crash");
	pthread_mutex_unlock(&p.lock);
}

void executor_restart(int executor)
{
	pthread_mutex_lock(&p.lock);
	executor_up(&p.executors[executor]);
	pthread_mutex_unlock(&p.lock);
}

void hold_next_start(const char *job_id, int after_ms)
{
	pthread_mutex_lock(&p.lock);
	snprintf(p.held_job, sizeof(p.held_job), "%s", job_id);
	p.held_after_ms = after_ms;
	p.held_executor = -1;
	pthread_mutex_unlock(&p.lock);
}

int held_executor(void)
{
	return p.held_executor;
}

int pool_owner(const char *zone)
{
	char path[320];
	char line[1024];
	char sought[64];
	double latest = 0;
	int owner = -1;
	int i;

	snprintf(sought, sizeof(sought), "event=pool_acquired domain=%s ",
		 zone);
	for (i = 0; i < p.node_count; i++) {
		FILE *f;

		snprintf(path, sizeof(path), "%s/%s.log", p.folder,
			 p.nodes[i].name);
		f = fopen(path, "r");
		while (f && fgets(line, sizeof(line), f)) {
			double t = atof(line + 2);

			if (strstr(line, sought) && t > latest) {
				latest = t;
				owner = i;
			}
		}
		if (f)
			fclose(f);
	}
	return owner;
}

static void node_spawn(struct node *n)
{
	char peers[40];
	char jobs[40];
	char ready[40];
	char store[40];
	char log[320];
	char metrics[16];
	char seeds[160] = "";
	int fd;
	int i;

	for (i = 0; i < p.node_count && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s%s:%d", i ? "," : "", p.nodes[i].ip, CONTROL_PORT);
	snprintf(peers, sizeof(peers), "%s:%d", n->ip, CONTROL_PORT);
	snprintf(jobs, sizeof(jobs), "%s:%d", n->ip, FRONT_PORT);
	snprintf(ready, sizeof(ready), "%s:%d", n->ip, READY_PORT);
	snprintf(store, sizeof(store), "127.%d.%d.1:%d", p.net_a, p.net_b,
		 STORE_PORT);
	snprintf(metrics, sizeof(metrics), "%d", METRICS_PORT);
	snprintf(log, sizeof(log), "%s/%s.log", p.folder, n->name);
	n->pid = fork();
	if (n->pid)
		return;
	/* It ends with this process, whatever ends that one. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	execl(p.dispatch, "peridothall-dispatch", "--name", n->name, "--domain",
	      n->zone, "--address", n->ip, "--peers-at", peers, "--jobs-at",
	      jobs, "--ready-at", ready, "--metrics-port", metrics, "--seeds",
	      seeds, "--store", store, "--hold-max-ms=1000", "--stop-ms=50",
	      "--drain-ms=2000", "--config-apply-ms=2000", "--cpu-share",
	      "0.25", (char *)NULL);
	_exit(127);
}

void node_signal(int node, int signal_number)
{
	record("signal node=%s signal=%d", p.nodes[node].name, signal_number);
	kill(p.nodes[node].pid, signal_number);
}

/* ## Clients */

static int client_connect(const char *ip, int port, int wait_ms)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &to.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends a request and waits for the whole answer, for wait_ms at most. Returns
 * the status; 0 without a whole answer. */
static int call(const char *ip, int port, const char *method, const char *path,
		const char *body, int wait_ms, char *out, size_t out_size)
{
	double until_s = now_s() + wait_ms / 1000.0;
	int fd = client_connect(ip, port, wait_ms);
	char text[8192];
	size_t len = 0;
	int status = 0;
	int n;

	if (fd < 0)
		return 0;
	n = snprintf(text, sizeof(text),
		     "%s %s HTTP/1.1\r\nHost: " HOST
		     "\r\nContent-Type: application/json\r\n"
		     "X-Request-Deadline: %d\r\nContent-Length: %zu\r\n\r\n%s",
		     method, path, wait_ms, strlen(body), body);
	if (send(fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		goto out;
	for (;;) {
		struct pollfd f = { fd, POLLIN, 0 };
		int left_ms = (int)((until_s - now_s()) * 1000);
		const char *end;
		const char *at;
		ssize_t got;

		if (left_ms <= 0 || poll(&f, 1, left_ms) <= 0)
			break;
		got = recv(fd, text + len, sizeof(text) - len - 1, 0);
		if (got <= 0)
			break;
		len += (size_t)got;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		at = strcasestr(text, "\r\nContent-Length:");
		if (!end || !at ||
		    len < (size_t)(end + 4 - text) + strtoul(at + 17, NULL, 10))
			continue;
		sscanf(text, "HTTP/1.1 %d", &status);
		snprintf(out, out_size, "%s", end + 4);
		break;
	}
out:
	close(fd);
	return status;
}

static void job_register(struct job *job)
{
	pthread_mutex_lock(&p.lock);
	if (!job_of(job->id))
		p.jobs[p.job_count++] = job;
	pthread_mutex_unlock(&p.lock);
}

int job_post(struct job *job, int node)
{
	char path[128];
	char body[512];

	job_register(job);
	snprintf(path, sizeof(path), "%s%s", job->prefix ? job->prefix : PREFIX,
		 job->id);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"job %s\",\"bestEffort\":true,\"steps\":[{"
		 "\"count\":%d,\"cpu\":%d,\"memMb\":64,\"estimateMs\":%d}]}",
		 job->id, job->count, job->cpu_milli, job->estimate_ms);
	record("POST   %s at=%s %s", path, p.nodes[node].name, body);
	job->status = call(p.nodes[node].ip, FRONT_PORT, "POST", path, body,
			   job->deadline_ms, job->answer, sizeof(job->answer));
	record("answer job=%s at=%s status=%d %s", job->id, p.nodes[node].name,
	       job->status, job->status ? job->answer : "none");
	job->answered = true;
	return job->status;
}

bool play_small_jobs(int count)
{
	static struct job jobs[JOBS_MAX];
	static int played;
	int i;

	for (i = 0; i < count; i++) {
		struct job *job = &jobs[played++];

		snprintf(job->id, sizeof(job->id), "%016x", played);
		job->count = 1;
		job->work_ms = 60;
		job->estimate_ms = 60;
		job->cpu_milli = 6800;
		job->deadline_ms = 1500;
		if (job_post(job, i % p.node_count) != 200)
			return false;
	}
	return true;
}

struct post {
	struct job *job;
	int node;
};

static void *post_thread(void *arg)
{
	struct post *post = arg;

	job_post(post->job, post->node);
	free(post);
	return NULL;
}

void job_post_later(struct job *job, int node)
{
	struct post *post = calloc(1, sizeof(*post));
	pthread_t thread;

	job->answered = false;
	post->job = job;
	post->node = node;
	pthread_create(&thread, NULL, post_thread, post);
	pthread_detach(thread);
}

bool job_post_ended(struct job *job)
{
	return job->answered;
}

/* ## What was seen */

int overlapping_starts(void)
{
	return p.overlaps;
}

/* ## Set-up */

static int add_route(char *text, size_t size, const char *name,
		     const char *prefix)
{
	return snprintf(text, size,
			"{\"name\":\"%s\",\"host\":\"" HOST
			"\",\"prefix\":\"%s\",\"service\":\"" SERVICE
			"\",\"timeoutMs\":30000,\"targetDurationMs\":60000,"
			"\"maxAttempts\":3,\"stretch\":1.6}",
			name, prefix);
}

/* The operator's configuration, with a second route unless its prefix is
 * NULL. */
static void write_config(int version, const char *prefix)
{
	char text[2048];
	int n = snprintf(text, sizeof(text), "{\"version\":%d,\"routes\":[",
			 version);

	n += add_route(text + n, sizeof(text) - (size_t)n, "lohu930", PREFIX);
	if (prefix) {
		text[n++] = ',';
		n += add_route(text + n, sizeof(text) - (size_t)n, "second",
			       prefix);
	}
	snprintf(text + n, sizeof(text) - (size_t)n,
		 "],\"services\":[{\"name\":\"" SERVICE
		 "\",\"enforcesCapacity\":true}],\"limits\":{}}");
	key_put_text("op/config", text);
	record("config version=%d %s", version, text);
}

void config_add_route(const char *prefix)
{
	pthread_mutex_lock(&p.lock);
	write_config(19, prefix);
	pthread_mutex_unlock(&p.lock);
}

void platform_init(const char *folder, const char *dispatch)
{
	char path[320];
	char ip[32];
	int tries = 0;

	signal(SIGPIPE, SIG_IGN);
	snprintf(p.folder, sizeof(p.folder), "%s", folder);
	snprintf(p.dispatch, sizeof(p.dispatch), "%s", dispatch);
	p.start_s = clock_s();
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	p.record = fopen(path, "w");
	if (!p.record) {
		perror(path);
		exit(2);
	}
	srand((unsigned)(unix_ms() ^ getpid()));
	do {
		p.net_a = 1 + rand() % 250;
		p.net_b = 1 + rand() % 250;
		snprintf(ip, sizeof(ip), "127.%d.%d.1", p.net_a, p.net_b);
		p.store_listener = listen_at(ip, STORE_PORT);
	} while (p.store_listener < 0 && ++tries < 20);
	if (p.store_listener < 0)
		exit(2);
	p.revision = 10;
	write_config(12, NULL);
}

int executor_add(const char *zone, int cpu_milli)
{
	int i = p.executor_count++;
	struct executor *x = &p.executors[i];

	snprintf(x->id, sizeof(x->id), "i-%02d%04x", i, rand() & 0xffff);
	snprintf(x->ip, sizeof(x->ip), "127.%d.%d.%d", p.net_a, p.net_b,
		 100 + i);
	x->zone = zone;
	x->cpu_milli = cpu_milli;
	executor_up(x);
	return i;
}

int node_add(const char *zone)
{
	int i = p.node_count++;
	struct node *n = &p.nodes[i];

	snprintf(n->name, sizeof(n->name), "edge-%s-%d", zone, i + 1);
	snprintf(n->ip, sizeof(n->ip), "127.%d.%d.%d", p.net_a, p.net_b,
		 10 + i);
	n->zone = zone;
	return i;
}

bool platform_start(void)
{
	char text[64];
	int i;

	pthread_create(&p.thread, NULL, serve, NULL);
	for (i = 0; i < p.node_count; i++)
		node_spawn(&p.nodes[i]);
	for (i = 0; i < p.node_count; i++)
		while (call(p.nodes[i].ip, READY_PORT, "GET", "/ready", "", 500,
			    text, sizeof(text)) != 200) {
			if (now_s() > 15)
				return false;
			sleep_ms(50);
		}
	record("ready  all machines");
	sleep_ms(CONTACT_MS + 500);
	return true;
}

void platform_stop(void)
{
	int i;

	for (i = 0; i < p.node_count; i++) {
		kill(p.nodes[i].pid, SIGCONT);
		kill(p.nodes[i].pid, SIGKILL);
		waitpid(p.nodes[i].pid, NULL, 0);
	}
	p.stopping = true;
	pthread_join(p.thread, NULL);
}
