#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <fcntl.h>

#include "platform.h"

#define REQUEST_MAX (1 << 20)

struct platform platform;
struct instance instances[INSTANCES_MAX];
size_t instance_count;
char net[16];
static uint64_t start_us;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[64];

/* ## Record */

static uint64_t mono_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000000ULL + (uint64_t)t.tv_nsec / 1000;
}

static uint64_t unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000ULL + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t clock_now_us(void)
{
	return mono_us() - start_us;
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.3f s  ", (double)clock_now_us() / 1e6);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void sleep_ms(uint64_t ms)
{
	usleep((useconds_t)(ms * MS));
}

bool calm(void)
{
	const char *t = getenv("TROUBLE");

	return t && !strcmp(t, "0");
}

/* ## HTTP server */

/* Reads until a whole request is in buf; returns its length, 0 at the end of
 * the connection. *head is the length of its head. */
static size_t read_request(int fd, char *buf, size_t *used, size_t *head)
{
	for (;;) {
		char *end = memmem(buf, *used, "\r\n\r\n", 4);
		ssize_t n;

		if (end) {
			size_t len = 0;
			char *line;

			*head = (size_t)(end - buf) + 4;
			*end = '\0';
			line = strcasestr(buf, "\ncontent-length:");
			*end = '\r';
			if (line)
				len = strtoul(line + 16, NULL, 10);
			if (*used >= *head + len)
				return *head + len;
		}
		if (*used == REQUEST_MAX)
			return 0;
		n = recv(fd, buf + *used, REQUEST_MAX - *used, 0);
		if (n <= 0)
			return 0;
		*used += (size_t)n;
	}
}

static void header_value(const char *head, const char *name, char *out,
			 size_t size)
{
	const char *at = strcasestr(head, name);
	size_t n;

	out[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	at += strspn(at, " ");
	n = strcspn(at, "\r\n");
	snprintf(out, size, "%.*s", (int)n, at);
}

static void unescape(char *text)
{
	char *out = text;

	for (; *text; text++) {
		unsigned c;

		if (*text == '%' && sscanf(text + 1, "%2x", &c) == 1) {
			*out++ = (char)c;
			text += 2;
		} else {
			*out++ = *text;
		}
	}
	*out = '\0';
}

static void parse_request(char *buf, size_t head, size_t len,
			  struct request *q)
{
	char target[512] = "";
	char *mark;

	buf[head - 2] = '\0';
	sscanf(buf, "%7s %511s", q->method, target);
	mark = strchr(target, '?');
	if (mark) {
		*mark = '\0';
		snprintf(q->query, sizeof(q->query), "%.255s", mark + 1);
	}
	snprintf(q->path, sizeof(q->path), "%.255s", target);
	header_value(buf, "\nX-Expect-Instance:", q->expect,
		     sizeof(q->expect));
	q->body = calloc(1, len - head + 1);
	memcpy(q->body, buf + head, len - head);
	q->len = len - head;
}

struct conn {
	struct web *w;
	int fd;
	size_t slot;
	char from[16];
};

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static void *conn_thread(void *arg)
{
	struct conn *c = arg;
	char *buf = malloc(REQUEST_MAX + 1);
	size_t used = 0;
	size_t head;
	size_t len;

	while ((len = read_request(c->fd, buf, &used, &head))) {
		struct request q = { 0 };
		struct response r = { .status = 200 };
		char top[256];
		int n;

		parse_request(buf, head, len, &q);
		memcpy(q.from, c->from, sizeof(q.from));
		c->w->handle(c->w->ctx, &q, &r);
		memmove(buf, buf + len, used - len);
		used -= len;
		if (r.mute) {
			/* Until the caller gives up. */
			while (recv(c->fd, top, sizeof(top), 0) > 0)
				;
			free(r.body);
			free(q.body);
			break;
		}
		n = snprintf(top, sizeof(top),
			     "HTTP/1.1 %d X\r\nContent-Type: "
			     "application/json\r\nContent-Length: %zu\r\n\r\n",
			     r.status, r.body ? strlen(r.body) : 0);
		if (!send_all(c->fd, top, (size_t)n) ||
		    (r.body && !send_all(c->fd, r.body, strlen(r.body))))
			len = 0;
		free(r.body);
		free(q.body);
		if (!len)
			break;
	}
	pthread_mutex_lock(&c->w->lock);
	c->w->conns[c->slot] = -1;
	close(c->fd);
	pthread_mutex_unlock(&c->w->lock);
	free(buf);
	free(c);
	return NULL;
}

static void *accept_thread(void *arg)
{
	struct web *w = arg;

	for (;;) {
		struct sockaddr_in from;
		socklen_t size = sizeof(from);
		int fd = accept4(w->listen_fd, (struct sockaddr *)&from, &size,
				 SOCK_CLOEXEC);
		struct conn *c;
		pthread_t t;
		int one = 1;
		size_t i;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->w = w;
		c->fd = fd;
		inet_ntop(AF_INET, &from.sin_addr, c->from, sizeof(c->from));
		pthread_mutex_lock(&w->lock);
		for (i = 0; i < CONNS_MAX && w->conns[i] >= 0; i++)
			;
		if (i < CONNS_MAX && w->up) {
			w->conns[i] = fd;
			c->slot = i;
		}
		pthread_mutex_unlock(&w->lock);
		if (i == CONNS_MAX || !w->up) {
			close(fd);
			free(c);
			continue;
		}
		pthread_create(&t, NULL, conn_thread, c);
		pthread_detach(t);
	}
}

bool web_start(struct web *w)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)w->port) };
	int one = 1;
	size_t i;

	inet_pton(AF_INET, w->ip, &at.sin_addr);
	w->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(w->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(w->listen_fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(w->listen_fd, 128)) {
		close(w->listen_fd);
		return false;
	}
	pthread_mutex_init(&w->lock, NULL);
	for (i = 0; i < CONNS_MAX; i++)
		w->conns[i] = -1;
	w->up = true;
	pthread_create(&w->thread, NULL, accept_thread, w);
	return true;
}

void web_stop(struct web *w)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	size_t i;

	pthread_mutex_lock(&w->lock);
	w->up = false;
	pthread_mutex_unlock(&w->lock);
	shutdown(w->listen_fd, SHUT_RDWR);
	pthread_join(w->thread, NULL);
	close(w->listen_fd);
	pthread_mutex_lock(&w->lock);
	for (i = 0; i < CONNS_MAX; i++) {
		if (w->conns[i] < 0)
			continue;
		setsockopt(w->conns[i], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		shutdown(w->conns[i], SHUT_RD);
	}
	pthread_mutex_unlock(&w->lock);
	for (i = 0; i < 200; i++) {
		size_t open = 0;
		size_t k;

		pthread_mutex_lock(&w->lock);
		for (k = 0; k < CONNS_MAX; k++)
			open += w->conns[k] >= 0;
		pthread_mutex_unlock(&w->lock);
		if (!open)
			break;
		sleep_ms(1);
	}
}

/* ## HTTP client */

static bool wait_fd(int fd, short events, uint64_t until_us)
{
	uint64_t now = mono_us();
	struct pollfd p = { .fd = fd, .events = events };

	if (now >= until_us)
		return false;
	return poll(&p, 1, (int)((until_us - now) / MS) + 1) > 0;
}

struct answer http_call(const char *ip, int port, const char *method,
			const char *host, const char *path, const char *body,
			uint64_t deadline_ms)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	uint64_t until_us = mono_us() + deadline_ms * MS;
	struct answer a = { 0 };
	size_t len = body ? strlen(body) : 0;
	char *text = malloc(len + 1024);
	char in[4096];
	size_t used = 0;
	int n;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	inet_pton(AF_INET, ip, &at.sin_addr);
	n = snprintf(text, len + 1024,
		     "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		     "application/json\r\nX-Request-Deadline: %llu\r\n"
		     "Content-Length: %zu\r\n\r\n%s",
		     method, path, host ? host : ip,
		     (unsigned long long)deadline_ms, len, body ? body : "");
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    errno != EINPROGRESS)
		goto out;
	if (!wait_fd(fd, POLLOUT, until_us) ||
	    send(fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		goto out;
	for (;;) {
		ssize_t got;
		char *end;

		if (!wait_fd(fd, POLLIN, until_us)) {
			a.timed_out = true;
			break;
		}
		got = recv(fd, in + used, sizeof(in) - 1 - used, 0);
		if (got <= 0)
			break;
		used += (size_t)got;
		in[used] = '\0';
		end = strstr(in, "\r\n\r\n");
		if (end) {
			char *line = strcasestr(in, "\ncontent-length:");
			size_t want = line ? strtoul(line + 16, NULL, 10) : 0;

			if (used < (size_t)(end - in) + 4 + want)
				continue;
			sscanf(in, "HTTP/1.1 %d", &a.status);
			snprintf(a.body, sizeof(a.body), "%.*s", (int)want,
				 end + 4);
			break;
		}
	}
out:
	close(fd);
	free(text);
	return a;
}

/* ## Store */

static struct key {
	char key[128];
	char *value;
	uint64_t revision;
	uint64_t lease;
} keys[KEYS_MAX];
static size_t key_count;
static uint64_t revision = 100;
static uint64_t last_lease = 10;

static char *base64(const char *text)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, len * 4 / 3 + 8);
	size_t i;
	size_t o = 0;

	for (i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		out[o++] = set[v >> 18];
		out[o++] = set[v >> 12 & 63];
		out[o++] = i + 1 < len ? set[v >> 6 & 63] : '=';
		out[o++] = i + 2 < len ? set[v & 63] : '=';
	}
	return out;
}

/* value is in base64; NULL removes the key. */
static void key_set(const char *key, char *value, uint64_t lease)
{
	size_t i;

	for (i = 0; i < key_count && strcmp(keys[i].key, key); i++)
		;
	if (!value) {
		if (i == key_count)
			return;
		free(keys[i].value);
		keys[i] = keys[--key_count];
		revision++;
		return;
	}
	if (i == key_count) {
		if (key_count == KEYS_MAX)
			abort();
		snprintf(keys[key_count++].key, 128, "%s", key);
	} else {
		free(keys[i].value);
	}
	keys[i].value = value;
	keys[i].lease = lease;
	keys[i].revision = ++revision;
	pthread_cond_broadcast(&platform.changed);
}

static json_t *item_of(const struct key *k)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", k->key, "value",
			 k->value, "revision", (json_int_t)k->revision,
			 "created", (json_int_t)k->revision, "lease",
			 (json_int_t)k->lease);
}

static uint64_t query_number(const char *query, const char *name)
{
	const char *at = strstr(query, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void query_text(const char *query, const char *name, char *out,
		       size_t size)
{
	const char *at = strstr(query, name);

	out[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	snprintf(out, size, "%.*s", (int)strcspn(at, "&"), at);
	unescape(out);
}

static json_t *read_prefix(const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < key_count; i++)
		if (!strncmp(keys[i].key, prefix, strlen(prefix)) &&
		    keys[i].revision > after)
			json_array_append_new(list, item_of(&keys[i]));
	return list;
}

static void wait_changed(uint64_t until_us)
{
	struct timespec t;
	uint64_t us;

	clock_gettime(CLOCK_REALTIME, &t);
	us = mono_us();
	us = until_us > us ? until_us - us : 0;
	if (us > 50000)
		us = 50000;
	t.tv_nsec += (long)us * 1000;
	t.tv_sec += t.tv_nsec / 1000000000;
	t.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&platform.changed, &platform.lock, &t);
}

static json_t *watch_keys(const struct request *q, const char *prefix)
{
	uint64_t after = query_number(q->query, "after=");
	uint64_t until_us =
		mono_us() + query_number(q->query, "waitMs=") * MS;
	json_t *events;

	for (;;) {
		events = read_prefix(prefix, after);
		if (json_array_size(events) || mono_us() >= until_us)
			return events;
		json_decref(events);
		wait_changed(until_us);
	}
}

static json_t *store_txn(const struct request *q)
{
	json_t *o = json_loadb(q->body, q->len, 0, NULL);
	json_t *put;
	size_t i;

	json_array_foreach (json_object_get(o, "puts"), i, put) {
		json_t *lease = json_object_get(put, "lease");

		key_set(json_string_value(json_object_get(put, "key")),
			strdup(json_string_value(json_object_get(put,
								 "value"))),
			(uint64_t)json_integer_value(lease));
	}
	json_decref(o);
	return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static void on_store(void *ctx, const struct request *q, struct response *r)
{
	char text[128];
	json_t *doc = NULL;
	size_t i;

	(void)ctx;
	pthread_mutex_lock(&platform.lock);
	if (platform.store_down) {
		r->status = 503;
		goto out;
	}
	if (!strcmp(q->path, "/kv-key")) {
		query_text(q->query, "key=", text, sizeof(text));
		for (i = 0; i < key_count && strcmp(keys[i].key, text); i++)
			;
		if (i < key_count) {
			doc = item_of(&keys[i]);
		} else {
			doc = json_object();
			r->status = 404;
		}
	} else if (!strcmp(q->path, "/kv-range")) {
		query_text(q->query, "prefix=", text, sizeof(text));
		doc = json_pack("{s:o,s:b}", "items", read_prefix(text, 0),
				"truncated", 0);
	} else if (!strcmp(q->path, "/kv-watch")) {
		query_text(q->query, "prefix=", text, sizeof(text));
		doc = json_pack("{s:o}", "events", watch_keys(q, text));
	} else if (!strcmp(q->path, "/kv-txn")) {
		doc = store_txn(q);
	} else if (!strcmp(q->path, "/kv-lease")) {
		doc = json_pack("{s:I,s:i}", "lease", (json_int_t)++last_lease,
				"ttlMs", 20000);
	} else {
		doc = json_object();
	}
	json_object_set_new(doc, "storeRevision",
			    json_integer((json_int_t)revision));
	r->body = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
out:
	pthread_mutex_unlock(&platform.lock);
}

void platform_config(const char *doc)
{
	pthread_mutex_lock(&platform.lock);
	key_set("op/config", base64(doc), 0);
	pthread_mutex_unlock(&platform.lock);
	record("operator: op/config acknowledged: %s", doc);
}

/* ## Executors */

static uint64_t exec_clock_ms(const struct executor *x)
{
	/* It starts anew with each incarnation. */
	return 1000 + (mono_us() - x->born_us) / MS;
}

static void register_executor(struct executor *x)
{
	char key[128];
	json_t *doc = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:{s:i,s:i,s:i},s:[s,s],s:I}",
		"service", x->service, "address", "", "zone", x->zone,
		"version", "1.0", "slots", 8, "state",
		x->draining ? "draining" : "ready", "coldLeftMs", 0, "seq",
		(json_int_t)++x->seq, "capacity", "cpu", (int)x->cpu, "memMb",
		65536, "gpu", 0, "labels", x->kind, x->rack, "born",
		(json_int_t)x->born_ms);
	char at[32];
	char *text;

	snprintf(at, sizeof(at), "%s:%d", x->web.ip, x->web.port);
	json_object_set_new(doc, "address", json_string(at));
	text = json_dumps(doc, JSON_COMPACT);
	snprintf(key, sizeof(key), "servers/%s", x->id);
	key_set(key, base64(text), 0);
	free(text);
	json_decref(doc);
	x->registered_us = mono_us();
}

static struct highest *highest_of(struct executor *x, const char *task)
{
	size_t i;

	for (i = 0; i < x->highest_count; i++)
		if (!strcmp(x->highest[i].task, task))
			return &x->highest[i];
	if (x->highest_count == TASKS_MAX)
		abort();
	snprintf(x->highest[i].task, NAME_MAX_BYTES, "%s", task);
	x->highest[i].run = 0;
	return &x->highest[x->highest_count++];
}

static void run_end(struct executor *x, size_t i, const char *how)
{
	struct end *e = &x->ends[x->end_count++ % ENDS_MAX];
	struct highest *h = highest_of(x, x->runs[i].task);

	if (x->runs[i].run > h->run)
		h->run = x->runs[i].run;
	e->number = ++x->last_end;
	memcpy(e->task, x->runs[i].task, NAME_MAX_BYTES);
	e->run = x->runs[i].run;
	e->how = how;
	record("executor %s: run %s#%llu ends %s", x->id, e->task,
	       (unsigned long long)e->run, how);
	if (platform.watch.ended)
		platform.watch.ended(x, &x->runs[i], how);
	x->runs[i] = x->runs[--x->run_count];
	pthread_cond_broadcast(&platform.changed);
}

static void executor_tick(struct executor *x)
{
	uint64_t now = mono_us();
	size_t i;

	if (!x->up)
		return;
	for (i = x->run_count; i > 0; i--) {
		const struct run *r = &x->runs[i - 1];

		if (now > x->lease_until_us)
			run_end(x, i - 1, "lapsed");
		else if (r->stop_at_us && now >= r->stop_at_us)
			run_end(x, i - 1, "stopped");
		else if (now >= r->started_us + r->work_us)
			run_end(x, i - 1, "done");
	}
	if (now >= x->registered_us + HEARTBEAT_MS * MS && !x->hidden)
		register_executor(x);
}

/* Takes the lease end of an order: never shortens, at most HOLD_MAX_MS. */
static void take_lease(struct executor *x, uint64_t deadline_ms)
{
	uint64_t clock = exec_clock_ms(x);
	uint64_t until;

	if (!deadline_ms)
		return;
	if (deadline_ms > clock + HOLD_MAX_MS)
		deadline_ms = clock + HOLD_MAX_MS;
	until = deadline_ms > clock ? mono_us() + (deadline_ms - clock) * MS
				    : 0;
	if (until > x->lease_until_us)
		x->lease_until_us = until;
}

static void check_twice(struct executor *x, const char *task, bool late)
{
	size_t i;
	size_t k;

	for (i = 0; i < platform.executor_count; i++) {
		const struct executor *o = platform.executors[i];

		for (k = 0; o->up && k < o->run_count; k++) {
			if (strcmp(o->runs[k].task, task) != 0)
				continue;
			record("TWICE: task %s starts on %s%s while run %llu "
			       "of it%s is in progress on %s",
			       task, x->id, late ? " by a late order" : "",
			       (unsigned long long)o->runs[k].run,
			       o->runs[k].late ? ", started by a late order,"
					       : "",
			       o->id);
			platform.twice++;
		}
	}
}

/* Returns the reason of a refusal, or NULL. */
static const char *do_start(struct executor *x, const json_t *o, bool late)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	const char *spec = json_string_value(json_object_get(o, "spec"));
	uint64_t run = (uint64_t)json_integer_value(json_object_get(o, "run"));
	uint64_t token = (uint64_t)json_integer_value(
		json_object_get(o, "fencingToken"));
	uint64_t used = 0;
	struct run *r;
	/* The work in ms stands at the start of the spec, then the cpu. */
	unsigned work_ms = 0;
	unsigned cpu = 0;
	size_t i;

	if (token < x->token)
		return "fence";
	x->token = token;
	take_lease(x, (uint64_t)json_integer_value(
			      json_object_get(o, "deadlineMs")));
	for (i = 0; i < x->run_count; i++)
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run == run)
			return NULL;
	if (run <= highest_of(x, task)->run)
		return "old";
	if (mono_us() > x->lease_until_us)
		return "late";
	sscanf(spec, "%u ms %u", &work_ms, &cpu);
	for (i = 0; i < x->run_count; i++)
		used += x->runs[i].cpu;
	if ((x->guards && used + cpu > x->cpu) || x->run_count == RUNS_MAX)
		return "room";
	record("executor %s (%s): run %s#%llu starts%s, spec \"%.40s\"", x->id,
	       x->kind, task, (unsigned long long)run,
	       late ? " (order carried out late)" : "", spec);
	check_twice(x, task, late);
	r = &x->runs[x->run_count++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, NAME_MAX_BYTES, "%s", task);
	r->run = run;
	r->started_us = mono_us();
	r->work_us = work_ms * MS;
	r->cpu = cpu;
	r->late = late;
	platform.starts++;
	if (platform.watch.started)
		platform.watch.started(x, r, o, late);
	return NULL;
}

static const char *do_stop(struct executor *x, const json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	uint64_t run = (uint64_t)json_integer_value(json_object_get(o, "run"));
	uint64_t token = (uint64_t)json_integer_value(
		json_object_get(o, "fencingToken"));
	struct highest *h;
	size_t i;

	if (token < x->token)
		return "fence";
	x->token = token;
	h = highest_of(x, task);
	if (run > h->run)
		h->run = run;
	for (i = 0; i < x->run_count; i++)
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run == run &&
		    !x->runs[i].stop_at_us)
			x->runs[i].stop_at_us = mono_us() + STOP_MS * MS / 2;
	return NULL;
}

static json_t *lists_of(struct executor *x, uint64_t seen)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	size_t first = x->end_count > ENDS_MAX ? x->end_count - ENDS_MAX : 0;
	size_t i;

	for (i = 0; i < x->run_count; i++) {
		const struct run *r = &x->runs[i];
		uint64_t done = (mono_us() - r->started_us) * 100 /
				(r->work_us + 1);

		json_array_append_new(
			running,
			json_pack("[s,I,s,i,i]", r->task, (json_int_t)r->run,
				  "", (int)(done > 99 ? 99 : done),
				  (int)r->cpu));
	}
	for (i = first; i < x->end_count && json_array_size(ended) < 500; i++) {
		const struct end *e = &x->ends[i % ENDS_MAX];

		if (e->number > seen)
			json_array_append_new(
				ended, json_pack("[I,s,I,s,s]",
						 (json_int_t)e->number,
						 e->task, (json_int_t)e->run,
						 e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)exec_clock_ms(x), "born",
			 (json_int_t)x->born_ms, "running", running, "ended",
			 ended);
}

static json_t *do_hold(struct executor *x, const json_t *o, int *status)
{
	uint64_t token = (uint64_t)json_integer_value(
		json_object_get(o, "fencingToken"));
	uint64_t seen = (uint64_t)json_integer_value(
		json_object_get(o, "lastSeen"));
	uint64_t born = x->born_ms;
	uint64_t until;

	if (token < x->token) {
		*status = 409;
		return json_pack("{s:I,s:s}", "clockMs",
				 (json_int_t)exec_clock_ms(x), "reason",
				 "fence");
	}
	x->token = token;
	if (seen > x->forgotten)
		x->forgotten = seen;
	take_lease(x, (uint64_t)json_integer_value(
			      json_object_get(o, "deadlineMs")));
	until = mono_us() + (uint64_t)json_integer_value(
				    json_object_get(o, "waitMs")) *
				    MS;
	while (x->up && x->born_ms == born && x->last_end <= seen &&
	       mono_us() < until)
		wait_changed(until);
	return lists_of(x, seen);
}

static json_t *carry_out(struct executor *x, const struct request *q,
			 bool late, int *status)
{
	json_t *o = json_loadb(q->body, q->len, 0, NULL);
	const char *reason = NULL;
	json_t *doc;

	if (!strcmp(q->path, "/hold")) {
		doc = do_hold(x, o, status);
		json_decref(o);
		return doc;
	}
	if (!strcmp(q->path, "/run-start"))
		reason = do_start(x, o, late);
	else
		reason = do_stop(x, o);
	if (late || reason)
		record("executor %s: %s of %s#%lld%s: %s", x->id, q->path + 1,
		       json_string_value(json_object_get(o, "task")),
		       (long long)json_integer_value(json_object_get(o, "run")),
		       late ? " (carried out late)" : "",
		       reason ? reason : "ok");
	doc = json_pack("{s:I}", "clockMs", (json_int_t)exec_clock_ms(x));
	if (reason) {
		json_object_set_new(doc, "reason", json_string(reason));
		*status = 409;
	}
	json_decref(o);
	return doc;
}

static bool hold_back(struct executor *x, const struct request *q)
{
	struct late_order *l;
	uint64_t ms;

	if (!strcmp(q->path, "/hold"))
		return false;
	if (x->hold_next_start && !strcmp(q->path, "/run-start"))
		ms = 12000;
	else if ((uint32_t)(random() % 100) < x->late_percent)
		ms = x->late_min_ms + (uint64_t)random() %
					      (x->late_max_ms -
					       x->late_min_ms + 1);
	else
		return false;
	x->hold_next_start = false;
	l = calloc(1, sizeof(*l));
	l->at_us = mono_us() + ms * MS;
	l->q = *q;
	l->q.body = strdup(q->body);
	l->next = x->late;
	x->late = l;
	record("executor %s: %s gets no answer, to be carried out late: %.90s",
	       x->id, q->path + 1, q->body);
	return true;
}

static void on_executor(void *ctx, const struct request *q, struct response *r)
{
	struct executor *x = ctx;
	uint64_t born_us;
	json_t *doc;
	size_t i;

	if (x->delay_percent && (uint32_t)(random() % 100) < x->delay_percent)
		sleep_ms((uint64_t)random() % (x->delay_max_ms + 1));
	pthread_mutex_lock(&platform.lock);
	born_us = x->born_us;
	for (i = 0; i < x->cut_count; i++)
		r->mute = r->mute || !strcmp(x->cut_from[i], q->from);
	if (r->mute || !x->up) {
		r->mute = true;
	} else if (q->expect[0] && strcmp(q->expect, x->id) != 0) {
		r->status = 421;
	} else if (hold_back(x, q)) {
		r->mute = true;
	} else {
		executor_tick(x);
		doc = carry_out(x, q, false, &r->status);
		r->body = json_dumps(doc, JSON_COMPACT);
		json_decref(doc);
		if (x->lose_percent &&
		    (uint32_t)(random() % 100) < x->lose_percent)
			r->mute = true;
		/* It has crashed, or was cut off, during a long poll. */
		if (!x->up || x->born_us != born_us)
			r->mute = true;
		for (i = 0; i < x->cut_count; i++)
			r->mute = r->mute || !strcmp(x->cut_from[i], q->from);
	}
	pthread_mutex_unlock(&platform.lock);
}

static void late_tick(struct executor *x)
{
	struct late_order **at = &x->late;

	while (x->up && *at) {
		struct late_order *l = *at;
		int status = 200;

		if (mono_us() < l->at_us) {
			at = &l->next;
			continue;
		}
		*at = l->next;
		json_decref(carry_out(x, &l->q, true, &status));
		free(l->q.body);
		free(l);
	}
}

static void *tick_thread(void *arg)
{
	(void)arg;
	for (;;) {
		size_t i;

		pthread_mutex_lock(&platform.lock);
		for (i = 0; i < platform.executor_count; i++) {
			executor_tick(platform.executors[i]);
			late_tick(platform.executors[i]);
		}
		pthread_mutex_unlock(&platform.lock);
		usleep(1000);
	}
	return NULL;
}

static void executor_reset(struct executor *x)
{
	x->born_ms = unix_ms();
	x->born_us = mono_us();
	x->up_since_us = clock_now_us();
	x->seq = 0;
	x->token = 0;
	x->lease_until_us = 0;
	x->run_count = 0;
	x->end_count = 0;
	x->last_end = 0;
	x->forgotten = 0;
	x->highest_count = 0;
	x->draining = false;
	x->hidden = false;
	while (x->late && !platform.late_survives) {
		struct late_order *l = x->late;

		x->late = l->next;
		free(l->q.body);
		free(l);
	}
}

struct executor *executor_add(const char *id, const char *zone,
			      const char *service, const char *kind,
			      const char *rack, uint32_t cpu, bool guards)
{
	struct executor *x = calloc(1, sizeof(*x));

	snprintf(x->id, sizeof(x->id), "%s", id);
	snprintf(x->zone, sizeof(x->zone), "%s", zone);
	snprintf(x->service, sizeof(x->service), "%s", service);
	snprintf(x->kind, sizeof(x->kind), "%s", kind);
	snprintf(x->rack, sizeof(x->rack), "%s", rack);
	x->cpu = cpu;
	x->guards = guards;
	x->highest = calloc(TASKS_MAX, sizeof(*x->highest));
	snprintf(x->web.ip, sizeof(x->web.ip), "%s.%u", net,
		 100 + (unsigned)platform.executor_count);
	x->web.port = 8200;
	x->web.handle = on_executor;
	x->web.ctx = x;
	executor_reset(x);
	if (!web_start(&x->web)) {
		record("cannot listen on %s:%d", x->web.ip, x->web.port);
		finish(2);
	}
	pthread_mutex_lock(&platform.lock);
	x->up = true;
	platform.executors[platform.executor_count++] = x;
	register_executor(x);
	pthread_mutex_unlock(&platform.lock);
	record("executor %s registers: zone %s, kind %s, cpu %u", x->id,
	       x->zone, x->kind, x->cpu);
	return x;
}

void executor_crash(struct executor *x)
{
	pthread_mutex_lock(&platform.lock);
	record("executor %s crashes with %zu runs", x->id, x->run_count);
	x->up = false;
	x->run_count = 0;
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.lock);
	web_stop(&x->web);
}

void executor_restart(struct executor *x)
{
	pthread_mutex_lock(&platform.lock);
	executor_reset(x);
	if (!web_start(&x->web)) {
		record("executor %s cannot listen again", x->id);
		finish(2);
	}
	x->up = true;
	register_executor(x);
	record("executor %s is up again under its id: kind %s, cpu %u, born "
	       "%llu",
	       x->id, x->kind, x->cpu, (unsigned long long)x->born_ms);
	pthread_mutex_unlock(&platform.lock);
}

void executor_drain(struct executor *x)
{
	pthread_mutex_lock(&platform.lock);
	x->draining = true;
	register_executor(x);
	pthread_mutex_unlock(&platform.lock);
	record("executor %s reports draining", x->id);
}

void executor_hide(struct executor *x)
{
	char key[128];

	snprintf(key, sizeof(key), "servers/%s", x->id);
	pthread_mutex_lock(&platform.lock);
	x->hidden = true;
	key_set(key, NULL, 0);
	pthread_mutex_unlock(&platform.lock);
	record("executor %s is no longer listed", x->id);
}

void executor_leave(struct executor *x)
{
	char key[128];

	executor_crash(x);
	snprintf(key, sizeof(key), "servers/%s", x->id);
	pthread_mutex_lock(&platform.lock);
	key_set(key, NULL, 0);
	pthread_mutex_unlock(&platform.lock);
	record("executor %s has left the list", x->id);
}

/* ## Instances */

struct instance *instance_add(const char *name, const char *zone)
{
	struct instance *in = &instances[instance_count];

	snprintf(in->name, sizeof(in->name), "%s", name);
	snprintf(in->zone, sizeof(in->zone), "%s", zone);
	snprintf(in->ip, sizeof(in->ip), "%s.%u", net,
		 10 + (unsigned)instance_count);
	instance_count++;
	return in;
}

bool instance_start(struct instance *in)
{
	/* The command line of deploy/system.toml, with its placeholders
	 * replaced. */
	char peers[32], jobs[32], ready[32], store[32], seeds[128] = "";
	char log[128];
	size_t i;
	char *argv[] = { "target/peridothall-dispatch",
			 "--name",
			 in->name,
			 "--domain",
			 in->zone,
			 "--address",
			 in->ip,
			 "--peers-at",
			 peers,
			 "--jobs-at",
			 jobs,
			 "--ready-at",
			 ready,
			 "--metrics-port",
			 "9464",
			 "--seeds",
			 seeds,
			 "--store",
			 store,
			 "--hold-max-ms=1000",
			 "--stop-ms=50",
			 "--drain-ms=2000",
			 "--config-apply-ms=2000",
			 "--cpu-share",
			 "0.25",
			 NULL };

	snprintf(peers, sizeof(peers), "%s:%d", in->ip, PORT_PEERS);
	snprintf(jobs, sizeof(jobs), "%s:%d", in->ip, PORT_JOBS);
	snprintf(ready, sizeof(ready), "%s:%d", in->ip, PORT_READY);
	snprintf(store, sizeof(store), "%s:%d", platform.store.ip,
		 platform.store.port);
	for (i = 0; i < instance_count && i < 3; i++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s%s:%d", i ? "," : "", instances[i].ip, PORT_PEERS);
	snprintf(log, sizeof(log), "%s/%s.log", folder, in->name);
	in->pid = fork();
	if (!in->pid) {
		int fd = open(log, O_CREAT | O_WRONLY | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(argv[0], argv);
		_exit(127);
	}
	record("instance %s starts", in->name);
	return in->pid > 0;
}

void instance_signal(struct instance *in, int sig)
{
	if (in->pid > 0) {
		record("instance %s gets signal %s", in->name, strsignal(sig));
		kill(in->pid, sig);
	}
}

int instance_wait(struct instance *in)
{
	int status = 0;

	if (in->pid > 0)
		waitpid(in->pid, &status, 0);
	in->pid = 0;
	record("instance %s has ended, status %d", in->name, status);
	return status;
}

bool instance_ready(struct instance *in)
{
	return http_call(in->ip, PORT_READY, "GET", NULL, "/ready", NULL, 500)
		       .status == 200;
}

bool instances_await(uint64_t ms)
{
	uint64_t until = mono_us() + ms * MS;
	size_t i;

	for (i = 0; i < instance_count; i++)
		while (!instance_ready(&instances[i])) {
			if (mono_us() > until)
				return false;
			sleep_ms(50);
		}
	return true;
}

/* ## Start and end */

void finish(int status)
{
	size_t i;

	for (i = 0; i < instance_count; i++) {
		if (instances[i].pid <= 0)
			continue;
		kill(instances[i].pid, SIGKILL);
		waitpid(instances[i].pid, NULL, 0);
	}
	record("exit status %d", status);
	if (!getenv("KEEP_LOGS")) {
		char command[128];

		for (i = 0; i < instance_count; i++) {
			snprintf(command, sizeof(command), "%s/%s.log", folder,
				 instances[i].name);
			unlink(command);
		}
		rmdir(folder);
	} else {
		fprintf(stderr, "logs: %s\n", folder);
	}
	_exit(status);
}

void platform_open(const char *record_path)
{
	pthread_t t;
	int i;

	start_us = mono_us();
	srandom((unsigned)unix_ms());
	signal(SIGPIPE, SIG_IGN);
	record_file = fopen(record_path, "w");
	if (!record_file)
		_exit(2);
	snprintf(folder, sizeof(folder), "/tmp/review.XXXXXX");
	if (!mkdtemp(folder))
		_exit(2);
	pthread_mutex_init(&platform.lock, NULL);
	pthread_cond_init(&platform.changed, NULL);
	platform.store.port = 8169;
	platform.store.handle = on_store;
	for (i = 0; i < 50; i++) {
		snprintf(net, sizeof(net), "127.%ld.%ld", 20 + random() % 200,
			 random() % 250);
		snprintf(platform.store.ip, sizeof(platform.store.ip), "%s.2",
			 net);
		if (web_start(&platform.store))
			break;
	}
	if (i == 50)
		_exit(2);
	record("TROUBLE=%d, addresses %s.0/24", !calm(), net);
	pthread_create(&t, NULL, tick_thread, NULL);
}
