#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
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

/* Ports at each address; every process has an address of its own. */
enum { PORT_STORE = 8169, PORT_EXECUTOR = 8170, PORT_FRONT = 8161,
       PORT_CONTROL = 8166, PORT_READY = 8167, PORT_METRICS = 9464 };
enum { HOLD_MAX_MS = 1000, KEYS_MAX = 64, ENDS_MAX = 512, TASKS_MAX = 8192,
       INSTANCES_MAX = 8, BODY_MAX = 65536 };

static FILE *record_file;
static struct timespec epoch;
static int net_a, net_b; /* 127.net_a.net_b.n */
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t pids[INSTANCES_MAX];
static int instance_count;
static char log_dir[64];
static struct {
	char name[32];
	char zone[32];
} instances[INSTANCES_MAX];

static uint64_t steady_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static uint64_t unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t now_ms(void)
{
	return steady_ms() - ((uint64_t)epoch.tv_sec * 1000 +
			      (uint64_t)epoch.tv_nsec / 1000000);
}

void sleep_ms(unsigned ms)
{
	struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

static void vrecord(const char *format, va_list args)
{
	pthread_mutex_lock(&record_lock);
	if (record_file) {
		fprintf(record_file, "%8.3f s  ", (double)now_ms() / 1000);
		vfprintf(record_file, format, args);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

void record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vrecord(format, args);
	va_end(args);
}

void standin_exit(int status)
{
	int i;

	for (i = 0; i < instance_count; i++)
		if (pids[i] > 0) {
			kill(pids[i], SIGKILL);
			waitpid(pids[i], NULL, 0);
			pids[i] = 0;
		}
	/* KEEP_LOGS=1 leaves the logs of the instances in the temporary folder. */
	for (i = 0; i < instance_count && !getenv("KEEP_LOGS"); i++) {
		char log[700];

		snprintf(log, sizeof(log), "%s/%s.log", log_dir,
			 instances[i].name);
		unlink(log);
	}
	rmdir(log_dir);
	record("exit status %d", status);
	_exit(status);
}

void die(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vrecord(format, args);
	va_end(args);
	va_start(args, format);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	standin_exit(2);
}

static void make_addr(struct sockaddr_in *sa, int host, int port)
{
	char ip[32];

	snprintf(ip, sizeof(ip), "127.%d.%d.%d", net_a, net_b, host);
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &sa->sin_addr);
}

void standin_init(const char *folder)
{
	char path[512];
	int tries;

	clock_gettime(CLOCK_MONOTONIC, &epoch);
	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file)
		die("cannot write %s", path);
	snprintf(log_dir, sizeof(log_dir), "/tmp/review-XXXXXX");
	if (!mkdtemp(log_dir))
		die("no temporary folder");
	srand((unsigned)(unix_ms() ^ (uint64_t)getpid() << 8));
	/* Addresses that no other process uses. */
	for (tries = 0; tries < 50; tries++) {
		struct sockaddr_in sa;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int ok;

		net_a = 20 + rand() % 200;
		net_b = 1 + rand() % 250;
		make_addr(&sa, 1, PORT_STORE);
		ok = !bind(fd, (struct sockaddr *)&sa, sizeof(sa));
		close(fd);
		if (ok)
			return;
	}
	die("no free loopback address");
}

/* ## HTTP server: a thread a connection */

struct request {
	char method[16];
	char target[1024];
	char expect[64];
	char body[BODY_MAX];
	size_t body_len;
};

struct server;
/* Returns the status and fills out; 0: break the connection, -1: be silent. */
typedef int handler_fn(void *ctx, struct request *r, char **out, int fd);

struct server {
	int fd;
	handler_fn *handler;
	void *ctx;
	pthread_mutex_t lock;
	int conns[512];
	bool stopped;
	pthread_t thread;
};

struct conn {
	struct server *s;
	int fd;
};

static bool read_more(int fd, char *buf, size_t *len, size_t max)
{
	ssize_t n;

	if (*len >= max)
		return false;
	n = recv(fd, buf + *len, max - *len, 0);
	if (n <= 0)
		return false;
	*len += (size_t)n;
	buf[*len] = '\0';
	return true;
}

static void header_value(const char *head, const char *name, char *out,
			 size_t size)
{
	const char *at = head;
	size_t n = strlen(name);

	out[0] = '\0';
	while ((at = strstr(at, "\r\n"))) {
		at += 2;
		if (strncasecmp(at, name, n) || at[n] != ':')
			continue;
		at += n + 1;
		at += strspn(at, " ");
		n = strcspn(at, "\r");
		if (n >= size)
			n = size - 1;
		memcpy(out, at, n);
		out[n] = '\0';
		return;
	}
}

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

static void serve_conn(struct server *s, int fd)
{
	char *buf = calloc(1, BODY_MAX + 8192);
	struct request *r = calloc(1, sizeof(*r));
	size_t len = 0;

	for (;;) {
		char *end;
		char value[64];
		char head[256];
		char *out = NULL;
		size_t head_len;
		size_t body_len;
		int status;

		while (!(end = strstr(buf, "\r\n\r\n")))
			if (!read_more(fd, buf, &len, BODY_MAX + 8000))
				goto out;
		head_len = (size_t)(end - buf) + 4;
		end[2] = '\0';
		memset(r, 0, sizeof(*r));
		sscanf(buf, "%15s %1023s", r->method, r->target);
		header_value(buf, "Content-Length", value, sizeof(value));
		body_len = strtoul(value, NULL, 10);
		header_value(buf, "X-Expect-Instance", r->expect,
			     sizeof(r->expect));
		if (body_len >= BODY_MAX)
			goto out;
		while (len < head_len + body_len)
			if (!read_more(fd, buf, &len, BODY_MAX + 8000))
				goto out;
		memcpy(r->body, buf + head_len, body_len);
		r->body_len = body_len;
		memmove(buf, buf + head_len + body_len,
			len - head_len - body_len + 1);
		len -= head_len + body_len;
		buf[len] = '\0';
		status = s->handler(s->ctx, r, &out, fd);
		if (status > 0) {
			int n = snprintf(head, sizeof(head),
					 "HTTP/1.1 %d X\r\nContent-Type: "
					 "application/json\r\n"
					 "Content-Length: %zu\r\n\r\n",
					 status, out ? strlen(out) : 0);

			if (!send_all(fd, head, (size_t)n) ||
			    (out && !send_all(fd, out, strlen(out))))
				status = 0;
		}
		free(out);
		if (status < 0)
			while (recv(fd, value, sizeof(value), 0) > 0)
				;
		if (status <= 0)
			break;
	}
out:
	free(buf);
	free(r);
}

static void *conn_main(void *arg)
{
	struct conn *c = arg;
	size_t i;

	serve_conn(c->s, c->fd);
	pthread_mutex_lock(&c->s->lock);
	for (i = 0; i < 512; i++)
		if (c->s->conns[i] == c->fd)
			c->s->conns[i] = -1;
	close(c->fd);
	pthread_mutex_unlock(&c->s->lock);
	free(c);
	return NULL;
}

static void spawn_thread(void *(*main)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&t, &attr, main, arg))
		die("cannot create a thread");
	pthread_attr_destroy(&attr);
}

static void *accept_main(void *arg)
{
	struct server *s = arg;

	for (;;) {
		int one = 1;
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		struct conn *c;
		size_t i;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&s->lock);
		for (i = 0; i < 512 && s->conns[i] >= 0; i++)
			;
		if (s->stopped || i == 512) {
			pthread_mutex_unlock(&s->lock);
			close(fd);
			continue;
		}
		s->conns[i] = fd;
		pthread_mutex_unlock(&s->lock);
		c = calloc(1, sizeof(*c));
		c->s = s;
		c->fd = fd;
		spawn_thread(conn_main, c);
	}
}

static struct server *server_start(int host, int port, handler_fn *handler,
				   void *ctx)
{
	struct server *s = calloc(1, sizeof(*s));
	struct sockaddr_in sa;
	int one = 1;
	size_t i;

	s->handler = handler;
	s->ctx = ctx;
	pthread_mutex_init(&s->lock, NULL);
	for (i = 0; i < 512; i++)
		s->conns[i] = -1;
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	make_addr(&sa, host, port);
	if (bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(s->fd, 256))
		die("cannot listen: %s", strerror(errno));
	pthread_create(&s->thread, NULL, accept_main, s);
	return s;
}

/* The process of a server dies: its port refuses and its connections break. The
 * threads of the connections end by themselves. */
static void server_stop(struct server *s)
{
	struct linger reset = { 1, 0 };
	size_t i;

	pthread_mutex_lock(&s->lock);
	s->stopped = true;
	pthread_mutex_unlock(&s->lock);
	shutdown(s->fd, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->fd);
	pthread_mutex_lock(&s->lock);
	for (i = 0; i < 512; i++)
		if (s->conns[i] >= 0) {
			setsockopt(s->conns[i], SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
			shutdown(s->conns[i], SHUT_RDWR);
		}
	pthread_mutex_unlock(&s->lock);
}

/* ## Store */

struct key {
	char key[200];
	char *value;
	uint64_t revision;
	uint64_t lease;
};

static struct {
	pthread_mutex_t lock;
	struct key keys[KEYS_MAX];
	int count;
	uint64_t revision;
	uint64_t last_lease;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = 100 };

static const char b64_chars[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *b64_encode(const char *text)
{
	size_t len = strlen(text);
	char *out = calloc(1, (len + 2) / 3 * 4 + 1);
	char *to = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		*to++ = b64_chars[v >> 18];
		*to++ = b64_chars[v >> 12 & 63];
		*to++ = i + 1 < len ? b64_chars[v >> 6 & 63] : '=';
		*to++ = i + 2 < len ? b64_chars[v & 63] : '=';
	}
	return out;
}

static char *b64_decode(const char *text)
{
	char *out = calloc(1, strlen(text) + 1);
	char *to = out;
	unsigned bits = 0;
	int n = 0;

	for (; *text && *text != '='; text++) {
		const char *at = strchr(b64_chars, *text);

		if (!at)
			continue;
		bits = bits << 6 | (unsigned)(at - b64_chars);
		n += 6;
		if (n >= 8) {
			n -= 8;
			*to++ = (char)(bits >> n & 255);
		}
	}
	return out;
}

static void put_locked(const char *key, const char *value, uint64_t lease)
{
	struct key *k = NULL;
	int i;

	for (i = 0; i < store.count; i++)
		if (!strcmp(store.keys[i].key, key))
			k = &store.keys[i];
	if (!k) {
		if (store.count == KEYS_MAX)
			die("too many keys");
		k = &store.keys[store.count++];
		snprintf(k->key, sizeof(k->key), "%s", key);
	}
	free(k->value);
	k->value = strdup(value);
	k->lease = lease;
	k->revision = ++store.revision;
}

void store_put(const char *key, const char *value)
{
	pthread_mutex_lock(&store.lock);
	put_locked(key, value, 0);
	pthread_mutex_unlock(&store.lock);
}

void store_remove(const char *key)
{
	int i;

	pthread_mutex_lock(&store.lock);
	for (i = 0; i < store.count; i++)
		if (!strcmp(store.keys[i].key, key)) {
			free(store.keys[i].value);
			store.keys[i] = store.keys[--store.count];
			memset(&store.keys[store.count], 0,
			       sizeof(store.keys[0]));
			store.revision++;
			break;
		}
	pthread_mutex_unlock(&store.lock);
}

static void add_route(json_t *routes, json_t *services, const char *prefix,
		      const char *service)
{
	json_array_append_new(
		routes,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i}", "name",
			  prefix, "host", "desk.example", "prefix", prefix,
			  "service", service, "timeoutMs", 30000,
			  "targetDurationMs", 2000, "priority", 0,
			  "maxAttempts", 4, "stretch", 8));
	json_array_append_new(services,
			      json_pack("{s:s,s:b}", "name", service,
					"enforcesCapacity", 1));
}

void store_put_config_with(uint64_t version, const char *prefix,
			   const char *service)
{
	json_t *routes = json_array();
	json_t *services = json_array();
	json_t *o;
	char *doc;

	add_route(routes, services, "/q/", "desk");
	if (prefix)
		add_route(routes, services, prefix, service);
	o = json_pack("{s:I,s:o,s:o,s:{}}", "version", (json_int_t)version,
		      "routes", routes, "services", services, "limits");
	doc = json_dumps(o, JSON_COMPACT);
	store_put("op/config", doc);
	free(doc);
	json_decref(o);
	record("operator: config version %llu written, routes: /q/ %s",
	       (unsigned long long)version, prefix ? prefix : "");
}

void store_put_config(uint64_t version)
{
	store_put_config_with(version, NULL, NULL);
}

static json_t *item_json(const struct key *k)
{
	char *text = b64_encode(k->value);
	json_t *o = json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", k->key, "value",
			      text, "revision", (json_int_t)k->revision,
			      "created", (json_int_t)k->revision, "lease",
			      (json_int_t)k->lease);

	free(text);
	return o;
}

static void query_value(const char *target, const char *name, char *out,
			size_t size)
{
	const char *at = strchr(target, '?');
	size_t n = strlen(name);

	out[0] = '\0';
	while (at && *at) {
		at++;
		if (!strncmp(at, name, n) && at[n] == '=') {
			size_t k = 0;

			for (at += n + 1; *at && *at != '&' && k + 1 < size;
			     at++) {
				unsigned c;

				if (*at == '%' && sscanf(at + 1, "%2x", &c)) {
					out[k++] = (char)c;
					at += 2;
				} else {
					out[k++] = *at;
				}
			}
			out[k] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static int by_key(const void *a, const void *b)
{
	return strcmp(((const struct key *)a)->key,
		      ((const struct key *)b)->key);
}

static json_t *range_json(const char *prefix, const char *after)
{
	json_t *items = json_array();
	int i;

	qsort(store.keys, (size_t)store.count, sizeof(store.keys[0]), by_key);
	for (i = 0; i < store.count; i++)
		if (!strncmp(store.keys[i].key, prefix, strlen(prefix)) &&
		    strcmp(store.keys[i].key, after) > 0)
			json_array_append_new(items, item_json(&store.keys[i]));
	return json_pack("{s:o,s:b,s:I}", "items", items, "truncated", 0,
			 "storeRevision", (json_int_t)store.revision);
}

static json_t *watch_json(const char *prefix, uint64_t after, unsigned wait)
{
	uint64_t until = steady_ms() + wait;
	json_t *events;

	for (;;) {
		int i;

		events = json_array();
		pthread_mutex_lock(&store.lock);
		for (i = 0; i < store.count; i++)
			if (store.keys[i].revision > after &&
			    !strncmp(store.keys[i].key, prefix, strlen(prefix)))
				json_array_append_new(
					events, item_json(&store.keys[i]));
		if (json_array_size(events) || steady_ms() >= until) {
			json_t *o = json_pack("{s:o,s:I}", "events", events,
					      "storeRevision",
					      (json_int_t)store.revision);

			pthread_mutex_unlock(&store.lock);
			return o;
		}
		pthread_mutex_unlock(&store.lock);
		json_decref(events);
		sleep_ms(5);
	}
}

static int store_handler(void *ctx, struct request *r, char **out, int fd)
{
	char prefix[256];
	char after[256];
	char wait[32];
	json_t *o = NULL;
	json_t *in = json_loadb(r->body, r->body_len, 0, NULL);
	json_t *put;
	size_t i;
	int status = 200;

	(void)ctx;
	(void)fd;
	query_value(r->target, "after", after, sizeof(after));
	query_value(r->target, "prefix", prefix, sizeof(prefix));
	query_value(r->target, "waitMs", wait, sizeof(wait));
	if (!strncmp(r->target, "/kv-watch", 9)) {
		o = watch_json(prefix, strtoull(after, NULL, 10),
			       (unsigned)strtoul(wait, NULL, 10));
		goto out;
	}
	pthread_mutex_lock(&store.lock);
	if (!strncmp(r->target, "/kv-key", 7)) {
		int k;

		query_value(r->target, "key", prefix, sizeof(prefix));
		for (k = 0; k < store.count; k++)
			if (!strcmp(store.keys[k].key, prefix))
				o = item_json(&store.keys[k]);
		status = o ? 200 : 404;
		if (!o)
			o = json_object();
		json_object_set_new(o, "storeRevision",
				    json_integer((json_int_t)store.revision));
	} else if (!strncmp(r->target, "/kv-range", 9)) {
		o = range_json(prefix, after);
	} else if (!strncmp(r->target, "/kv-txn", 7)) {
		json_array_foreach (json_object_get(in, "puts"), i, put) {
			char *value = b64_decode(json_string_value(
				json_object_get(put, "value")));

			put_locked(json_string_value(
					   json_object_get(put, "key")),
				   value,
				   (uint64_t)json_integer_value(
					   json_object_get(put, "lease")));
			free(value);
		}
		o = json_pack("{s:I}", "revision", (json_int_t)store.revision);
	} else if (!strncmp(r->target, "/kv-lease", 9) ||
		   !strncmp(r->target, "/kv-keep", 8)) {
		o = json_pack("{s:I,s:I}", "lease",
			      (json_int_t)(!strncmp(r->target, "/kv-keep", 8)
						   ? strtoll(r->target + 9,
							     NULL, 10)
						   : (long long)++store
							     .last_lease),
			      "ttlMs", (json_int_t)20000);
	} else {
		status = 404;
		o = json_object();
	}
	pthread_mutex_unlock(&store.lock);
out:
	*out = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	json_decref(in);
	sleep_ms(4);
	return status;
}

void store_start(void)
{
	server_start(1, PORT_STORE, store_handler, NULL);
}

/* ## Executors */

struct end {
	uint64_t number;
	char task[64];
	uint64_t run;
	char how[12];
};

struct live_run {
	char task[64];
	uint64_t run;
	uint64_t end_ms; /* steady */
	uint64_t begin_ms;
	unsigned cpu;
	int view;
};

struct highest {
	char task[64];
	uint64_t run;
};

struct executor {
	char id[32];
	char zone[32];
	char service[64];
	char labels[256];
	unsigned cpu;
	int host;
	struct server *server;
	unsigned incarnation;
	uint64_t born_unix_ms;
	uint64_t clock_zero_ms; /* steady time at which its clock was 0 */
	uint64_t token;
	uint64_t lease_ms; /* on its clock */
	struct live_run runs[64];
	int run_count;
	struct end ends[ENDS_MAX];
	int end_count;
	uint64_t last_end;
	struct highest highest[TASKS_MAX];
	int task_count;
	bool cut;
	bool hold_next;
	json_t *held_start;
	json_t *lost_poll;
	unsigned calls;
};

static struct executor executors[EXECUTORS_MAX];
static int executor_count;
static pthread_mutex_t fleet = PTHREAD_MUTEX_INITIALIZER;
static struct run_view views[RUNS_MAX];
static int view_count;

static uint64_t x_clock(const struct executor *x)
{
	return steady_ms() - x->clock_zero_ms;
}

static void list_executor(const struct executor *x)
{
	char key[64];
	char doc[1024];

	snprintf(key, sizeof(key), "servers/%s", x->id);
	snprintf(doc, sizeof(doc),
		 "{\"service\":\"%s\",\"address\":\"127.%d.%d.%d:%d\","
		 "\"zone\":\"%s\",\"version\":\"1.0\",\"slots\":8,\"state\":"
		 "\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":%llu,"
		 "\"capacity\":{\"cpu\":%u,\"memMb\":65536,\"gpu\":0},"
		 "\"labels\":%s}",
		 x->service, net_a, net_b, x->host, PORT_EXECUTOR, x->zone,
		 (unsigned long long)x->born_unix_ms, x->cpu, x->labels);
	store_put(key, doc);
}

static void end_run(struct executor *x, int i, const char *how)
{
	struct live_run *r = &x->runs[i];
	struct end *e;

	if (x->end_count == ENDS_MAX)
		die("too many ends");
	e = &x->ends[x->end_count++];
	e->number = ++x->last_end;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->run;
	snprintf(e->how, sizeof(e->how), "%s", how);
	views[r->view].to_ms = now_ms();
	snprintf(views[r->view].how, sizeof(views[0].how), "%s", how);
	record("%s: %s run %llu ended %s", x->id, r->task,
	       (unsigned long long)r->run, how);
	x->runs[i] = x->runs[--x->run_count];
}

static struct highest *highest_of(struct executor *x, const char *task)
{
	int i;

	for (i = 0; i < x->task_count; i++)
		if (!strcmp(x->highest[i].task, task))
			return &x->highest[i];
	if (x->task_count == TASKS_MAX)
		die("too many tasks");
	snprintf(x->highest[x->task_count].task, 64, "%s", task);
	x->highest[x->task_count].run = 0;
	return &x->highest[x->task_count++];
}

static uint64_t number_of(const json_t *o, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(o, field));
}

/* A longer lease is shortened to the maximum; it never shortens. */
static void take_deadline(struct executor *x, uint64_t deadline)
{
	uint64_t most = x_clock(x) + HOLD_MAX_MS;

	if (deadline > most)
		deadline = most;
	if (deadline > x->lease_ms)
		x->lease_ms = deadline;
}

static json_t *base_reply(const struct executor *x, const char *reason)
{
	json_t *o = json_pack("{s:I,s:I}", "clockMs", (json_int_t)x_clock(x),
			      "born", (json_int_t)x->born_unix_ms);

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	return o;
}

static void expire(struct executor *x)
{
	uint64_t steady = steady_ms();
	int i;

	for (i = x->run_count; i-- > 0;)
		if (x_clock(x) >= x->lease_ms)
			end_run(x, i, "lapsed");
		else if (steady >= x->runs[i].end_ms)
			end_run(x, i, "done");
}

/* The spec is "CPU MS": what a run takes up, and how long it lasts. */
static int do_start(struct executor *x, const json_t *in, json_t **out)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	const char *spec = json_string_value(json_object_get(in, "spec"));
	uint64_t run = number_of(in, "run");
	uint64_t deadline = number_of(in, "deadlineMs");
	uint64_t token = number_of(in, "fencingToken");
	struct highest *h;
	struct live_run *r;
	struct run_view *v;
	unsigned used = 0;
	unsigned cpu = 0;
	unsigned ms = 0;
	int i;

	expire(x);
	if (!task || !spec || sscanf(spec, "%u %u", &cpu, &ms) != 2) {
		*out = base_reply(x, NULL);
		return 400;
	}
	if (token < x->token) {
		*out = base_reply(x, "fence");
		return 409;
	}
	x->token = token;
	if (deadline <= x_clock(x)) {
		*out = base_reply(x, "late");
		return 409;
	}
	take_deadline(x, deadline);
	for (i = 0; i < x->run_count; i++) {
		used += x->runs[i].cpu;
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run == run) {
			*out = base_reply(x, NULL);
			return 200;
		}
	}
	h = highest_of(x, task);
	if (run <= h->run) {
		*out = base_reply(x, "old");
		return 409;
	}
	if (used + cpu > x->cpu || x->run_count == 64) {
		*out = base_reply(x, "room");
		return 409;
	}
	if (view_count == RUNS_MAX)
		die("too many runs");
	v = &views[view_count];
	snprintf(v->task, sizeof(v->task), "%s", task);
	v->run = run;
	v->executor = (int)(x - executors);
	v->from_ms = now_ms();
	r = &x->runs[x->run_count++];
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = run;
	r->begin_ms = steady_ms();
	r->end_ms = r->begin_ms + ms;
	r->cpu = cpu;
	r->view = view_count++;
	record("%s: %s run %llu starts", x->id, task, (unsigned long long)run);
	*out = base_reply(x, NULL);
	return 200;
}

static int do_stop(struct executor *x, const json_t *in, json_t **out)
{
	const char *task = json_string_value(json_object_get(in, "task"));
	uint64_t run = number_of(in, "run");
	uint64_t token = number_of(in, "fencingToken");
	struct highest *h;
	int i;

	expire(x);
	if (token < x->token) {
		*out = base_reply(x, "fence");
		return 409;
	}
	x->token = token;
	h = highest_of(x, task);
	if (run > h->run)
		h->run = run;
	record("%s: %s is to stop up to run %llu", x->id, task,
	       (unsigned long long)run);
	for (i = x->run_count; i-- > 0;)
		if (!strcmp(x->runs[i].task, task) && x->runs[i].run <= run)
			end_run(x, i, "stopped");
	*out = base_reply(x, NULL);
	return 200;
}

static json_t *lists(struct executor *x)
{
	json_t *o = base_reply(x, NULL);
	json_t *running = json_array();
	json_t *ended = json_array();
	int i;

	for (i = 0; i < x->run_count; i++) {
		const struct live_run *r = &x->runs[i];
		uint64_t percent = (steady_ms() - r->begin_ms) * 100 /
				   (r->end_ms - r->begin_ms + 1);

		json_array_append_new(running,
				      json_pack("[sIsii]", r->task,
						(json_int_t)r->run, "",
						(int)percent, (int)r->cpu));
	}
	for (i = 0; i < x->end_count; i++)
		json_array_append_new(
			ended, json_pack("[IsIss]",
					 (json_int_t)x->ends[i].number,
					 x->ends[i].task,
					 (json_int_t)x->ends[i].run,
					 x->ends[i].how, ""));
	json_object_set_new(o, "running", running);
	json_object_set_new(o, "ended", ended);
	return o;
}

/* Token, acknowledged ends and lease of a poll. */
static int begin_hold(struct executor *x, const json_t *in, json_t **out)
{
	uint64_t token = number_of(in, "fencingToken");
	uint64_t seen = number_of(in, "lastSeen");
	int kept = 0;
	int i;

	expire(x);
	if (token < x->token) {
		*out = base_reply(x, "fence");
		return 409;
	}
	x->token = token;
	for (i = 0; i < x->end_count; i++)
		if (x->ends[i].number > seen)
			x->ends[kept++] = x->ends[i];
	x->end_count = kept;
	take_deadline(x, number_of(in, "deadlineMs"));
	return 200;
}

static bool peer_gone(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP |
						   POLLERR));
}

/* A poll waits, without the lock, for an end or waitMs. It stays without an
 * answer if the executor crashes or is cut off meanwhile. */
static int do_hold(struct executor *x, const json_t *in, json_t **out, int fd)
{
	uint64_t until = steady_ms() + number_of(in, "waitMs");
	unsigned incarnation = x->incarnation;
	int status = begin_hold(x, in, out);

	if (status != 200)
		return status;
	while (!x->end_count && steady_ms() < until) {
		pthread_mutex_unlock(&fleet);
		sleep_ms(2);
		pthread_mutex_lock(&fleet);
		if (x->cut)
			return -1;
		if (incarnation != x->incarnation || !x->server) {
			if (number_of(in, "deadlineMs")) {
				json_decref(x->lost_poll);
				x->lost_poll = json_deep_copy(in);
			}
			return 0;
		}
		if (peer_gone(fd))
			return -1;
		expire(x);
	}
	*out = lists(x);
	return 200;
}

static int executor_handler(void *ctx, struct request *r, char **out, int fd)
{
	struct executor *x = ctx;
	json_t *in;
	json_t *o = NULL;
	int status;

	pthread_mutex_lock(&fleet);
	if (x->cut || !x->server) {
		status = x->cut ? -1 : 0;
		pthread_mutex_unlock(&fleet);
		return status;
	}
	in = json_loadb(r->body, r->body_len, 0, NULL);
	if (r->expect[0] && strcmp(r->expect, x->id) != 0) {
		status = 421;
		o = base_reply(x, NULL);
	} else if (!strcmp(r->target, "/run-start") && x->hold_next) {
		x->hold_next = false;
		x->held_start = json_incref(in);
		record("%s: holds the start of %s run %llu, no answer", x->id,
		       json_string_value(json_object_get(in, "task")),
		       (unsigned long long)number_of(in, "run"));
		status = -1;
	} else if (!strcmp(r->target, "/run-start")) {
		status = do_start(x, in, &o);
	} else if (!strcmp(r->target, "/run-stop")) {
		status = do_stop(x, in, &o);
	} else if (!strcmp(r->target, "/hold")) {
		status = do_hold(x, in, &o, fd);
	} else {
		status = 404;
	}
	if (status > 0)
		x->calls++;
	/* Cut off while it worked: the answer does not get through. */
	if (x->cut)
		status = -1;
	pthread_mutex_unlock(&fleet);
	if (o)
		*out = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	json_decref(in);
	return status;
}

static void *executors_tick(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		sleep_ms(2);
		pthread_mutex_lock(&fleet);
		for (i = 0; i < executor_count; i++)
			expire(&executors[i]);
		pthread_mutex_unlock(&fleet);
	}
	return NULL;
}

static void begin_incarnation(struct executor *x, uint64_t clock)
{
	x->incarnation++;
	x->born_unix_ms = unix_ms() - clock;
	x->clock_zero_ms = steady_ms() - clock;
	x->token = 0;
	x->lease_ms = 0;
	x->end_count = 0;
	x->last_end = 0;
	x->task_count = 0;
	x->calls = 0;
}

int executor_add_to(const char *service, const char *id, const char *zone,
		    const char *labels, unsigned cpu)
{
	struct executor *x = &executors[executor_count];

	if (!executor_count)
		spawn_thread(executors_tick, NULL);
	snprintf(x->id, sizeof(x->id), "%s", id);
	snprintf(x->zone, sizeof(x->zone), "%s", zone);
	snprintf(x->service, sizeof(x->service), "%s", service);
	snprintf(x->labels, sizeof(x->labels), "%s", labels);
	x->cpu = cpu;
	x->host = 100 + executor_count;
	/* It has been up for seven minutes. */
	begin_incarnation(x, 420000);
	x->server = server_start(x->host, PORT_EXECUTOR, executor_handler, x);
	list_executor(x);
	return executor_count++;
}

int executor_add(const char *id, const char *zone, const char *labels,
		 unsigned cpu)
{
	return executor_add_to("desk", id, zone, labels, cpu);
}

const char *executor_id(int x)
{
	return executors[x].id;
}

void executor_crash(int i)
{
	struct executor *x = &executors[i];
	struct server *s;
	int k;

	pthread_mutex_lock(&fleet);
	record("%s: crashes", x->id);
	s = x->server;
	x->server = NULL;
	for (k = x->run_count; k-- > 0;)
		end_run(x, k, "crashed");
	x->end_count = 0;
	/* Behind a cut nobody sees connections break or its port refuse. */
	if (x->cut) {
		x->server = s;
		x->incarnation++;
	}
	pthread_mutex_unlock(&fleet);
	if (!x->cut)
		server_stop(s);
}

void executor_restart(int i)
{
	struct executor *x = &executors[i];

	pthread_mutex_lock(&fleet);
	begin_incarnation(x, 0);
	record("%s: starts again, born %llu", x->id,
	       (unsigned long long)x->born_unix_ms);
	if (!x->server)
		x->server = server_start(x->host, PORT_EXECUTOR,
					 executor_handler, x);
	pthread_mutex_unlock(&fleet);
	list_executor(x);
}

void executor_cut(int i, bool cut)
{
	pthread_mutex_lock(&fleet);
	executors[i].cut = cut;
	record("%s: %s", executors[i].id, cut ? "cut off" : "no longer cut off");
	pthread_mutex_unlock(&fleet);
}

void executor_hold_next_start(int i)
{
	pthread_mutex_lock(&fleet);
	executors[i].hold_next = true;
	pthread_mutex_unlock(&fleet);
}

bool executor_held_start(int i)
{
	bool held;

	pthread_mutex_lock(&fleet);
	held = executors[i].held_start;
	pthread_mutex_unlock(&fleet);
	return held;
}

bool executor_unanswered_poll(int i)
{
	bool lost;

	pthread_mutex_lock(&fleet);
	lost = executors[i].lost_poll;
	pthread_mutex_unlock(&fleet);
	return lost;
}

int executor_carry_out_start(int i)
{
	struct executor *x = &executors[i];
	json_t *o = NULL;
	int status;

	pthread_mutex_lock(&fleet);
	status = do_start(x, x->held_start, &o);
	record("%s: carries out the held start late: %d %s", x->id, status,
	       json_object_get(o, "reason")
		       ? json_string_value(json_object_get(o, "reason"))
		       : "");
	json_decref(x->held_start);
	x->held_start = NULL;
	pthread_mutex_unlock(&fleet);
	json_decref(o);
	return status;
}

int executor_carry_out_poll(int i)
{
	struct executor *x = &executors[i];
	json_t *o = NULL;
	int status;

	pthread_mutex_lock(&fleet);
	status = begin_hold(x, x->lost_poll, &o);
	record("%s: carries out a poll late: %d, lease until its clock %llu, "
	       "now %llu",
	       x->id, status, (unsigned long long)x->lease_ms,
	       (unsigned long long)x_clock(x));
	json_decref(x->lost_poll);
	x->lost_poll = NULL;
	pthread_mutex_unlock(&fleet);
	json_decref(o);
	return status;
}

unsigned executor_calls(int i)
{
	unsigned calls;

	pthread_mutex_lock(&fleet);
	calls = executors[i].calls;
	pthread_mutex_unlock(&fleet);
	return calls;
}

int runs_list(struct run_view *out, int max)
{
	int n;

	pthread_mutex_lock(&fleet);
	n = view_count < max ? view_count : max;
	memcpy(out, views, (size_t)n * sizeof(*out));
	pthread_mutex_unlock(&fleet);
	return n;
}

int running_on(const char *task)
{
	int found = -1;
	int i;

	pthread_mutex_lock(&fleet);
	for (i = 0; i < view_count; i++)
		if (!views[i].to_ms && !strcmp(views[i].task, task))
			found = views[i].executor;
	pthread_mutex_unlock(&fleet);
	return found;
}

uint64_t longest_overlap_ms(void)
{
	static struct run_view list[RUNS_MAX];
	uint64_t now = now_ms();
	uint64_t longest = 0;
	int n = runs_list(list, RUNS_MAX);
	int i;
	int k;

	for (i = 0; i < n; i++)
		for (k = i + 1; k < n; k++) {
			uint64_t from = list[i].from_ms > list[k].from_ms
						? list[i].from_ms
						: list[k].from_ms;
			uint64_t to_i = list[i].to_ms ? list[i].to_ms : now;
			uint64_t to_k = list[k].to_ms ? list[k].to_ms : now;
			uint64_t to = to_i < to_k ? to_i : to_k;

			if (strcmp(list[i].task, list[k].task) != 0 ||
			    to <= from)
				continue;
			record("TWICE: %s run %llu on %s and run %llu on %s "
			       "went on together from %.3f to %.3f s",
			       list[i].task, (unsigned long long)list[i].run,
			       executors[list[i].executor].id,
			       (unsigned long long)list[k].run,
			       executors[list[k].executor].id,
			       (double)from / 1000, (double)to / 1000);
			if (to - from > longest)
				longest = to - from;
		}
	return longest;
}

/* ## Instances */

static void instance_exec(int i)
{
	char name[64], zone[64], ip[32], control[64], front[64], ready[64];
	char seeds[256] = "";
	char at_store[64];
	char log[700];
	int fd;
	int k;

	snprintf(name, sizeof(name), "%s", instances[i].name);
	snprintf(zone, sizeof(zone), "%s", instances[i].zone);
	snprintf(ip, sizeof(ip), "127.%d.%d.%d", net_a, net_b, 10 + i);
	snprintf(control, sizeof(control), "%s:%d", ip, PORT_CONTROL);
	snprintf(front, sizeof(front), "%s:%d", ip, PORT_FRONT);
	snprintf(ready, sizeof(ready), "%s:%d", ip, PORT_READY);
	snprintf(at_store, sizeof(at_store), "127.%d.%d.1:%d", net_a, net_b,
		 PORT_STORE);
	for (k = 0; k < 3; k++)
		snprintf(seeds + strlen(seeds), sizeof(seeds) - strlen(seeds),
			 "%s127.%d.%d.%d:%d", k ? "," : "", net_a, net_b,
			 10 + k, PORT_CONTROL);
	snprintf(log, sizeof(log), "%s/%s.log", log_dir, name);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execl("target/peridothall-dispatch", "target/peridothall-dispatch",
	      "--name", name, "--domain", zone, "--address", ip, "--peers-at",
	      control, "--jobs-at", front, "--ready-at", ready,
	      "--metrics-port", "9464", "--seeds", seeds, "--store", at_store,
	      "--hold-max-ms=1000", "--stop-ms=50", "--drain-ms=2000",
	      "--config-apply-ms=2000", "--cpu-share", "0.25", (char *)NULL);
	_exit(127);
}

int instance_start(const char *name, const char *zone)
{
	int i = instance_count++;

	snprintf(instances[i].name, sizeof(instances[i].name), "%s", name);
	snprintf(instances[i].zone, sizeof(instances[i].zone), "%s", zone);
	pids[i] = fork();
	if (!pids[i])
		instance_exec(i);
	if (pids[i] < 0)
		die("cannot fork");
	record("%s: started in zone %s", name, zone);
	return i;
}

void instance_signal(int i, int sig)
{
	record("%s: gets signal %d", instances[i].name, sig);
	kill(pids[i], sig);
}

bool instance_alive(int i)
{
	if (pids[i] <= 0)
		return false;
	if (waitpid(pids[i], NULL, WNOHANG) == pids[i]) {
		pids[i] = 0;
		return false;
	}
	return true;
}

/* ## Callers */

struct call {
	int instance;
	int port;
	char method[16];
	char path[128];
	char *body;
	unsigned deadline_ms;
	struct answer answer;
	bool done; /* guarded by fleet */
	pthread_t thread;
};

static void call_run(struct call *c)
{
	struct sockaddr_in sa;
	char head[512];
	char buf[8192] = "";
	size_t len = 0;
	uint64_t until = steady_ms() + c->deadline_ms;
	struct timeval tv;
	char *end;
	char value[64];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int n;

	make_addr(&sa, 10 + c->instance, c->port);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
		goto out;
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: desk.example\r\n"
		     "Content-Type: application/json\r\n"
		     "X-Request-Deadline: %u\r\nContent-Length: %zu\r\n\r\n",
		     c->method, c->path, c->deadline_ms, strlen(c->body));
	if (!send_all(fd, head, (size_t)n) ||
	    !send_all(fd, c->body, strlen(c->body)))
		goto out;
	for (;;) {
		uint64_t now = steady_ms();

		end = strstr(buf, "\r\n\r\n");
		if (end) {
			header_value(buf, "Content-Length", value,
				     sizeof(value));
			if (len >= (size_t)(end - buf) + 4 +
					   strtoul(value, NULL, 10))
				break;
		}
		if (now >= until)
			goto out;
		tv.tv_sec = (time_t)((until - now) / 1000);
		tv.tv_usec = (suseconds_t)((until - now) % 1000 * 1000 + 1);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
		if (!read_more(fd, buf, &len, sizeof(buf) - 1))
			goto out;
	}
	sscanf(buf, "HTTP/1.1 %d", &c->answer.status);
	snprintf(c->answer.body, sizeof(c->answer.body), "%s", end + 4);
out:
	close(fd);
}

static void *call_main(void *arg)
{
	struct call *c = arg;

	call_run(c);
	if (c->port == PORT_FRONT)
		record("caller: %s %s at %s answered %d %s", c->method, c->path,
		       instances[c->instance].name, c->answer.status,
		       c->answer.body);
	pthread_mutex_lock(&fleet);
	c->done = true;
	pthread_mutex_unlock(&fleet);
	return NULL;
}

static struct call *call_at(int instance, int port, const char *method,
			    const char *path, const char *body,
			    unsigned deadline_ms)
{
	struct call *c = calloc(1, sizeof(*c));

	c->instance = instance;
	c->port = port;
	snprintf(c->method, sizeof(c->method), "%s", method);
	snprintf(c->path, sizeof(c->path), "%s", path);
	c->body = strdup(body ? body : "");
	c->deadline_ms = deadline_ms;
	if (port == PORT_FRONT)
		record("caller: %s %s to %s, waits %u ms: %s", method, path,
		       instances[instance].name, deadline_ms, c->body);
	if (pthread_create(&c->thread, NULL, call_main, c))
		die("cannot create a thread");
	return c;
}

struct call *call_begin(int instance, const char *method, const char *path,
			const char *body, unsigned deadline_ms)
{
	return call_at(instance, PORT_FRONT, method, path, body, deadline_ms);
}

bool call_done(struct call *c)
{
	bool done;

	pthread_mutex_lock(&fleet);
	done = c->done;
	pthread_mutex_unlock(&fleet);
	return done;
}

struct answer call_end(struct call *c)
{
	struct answer a;

	pthread_join(c->thread, NULL);
	a = c->answer;
	free(c->body);
	free(c);
	return a;
}

struct answer call_now(int instance, const char *method, const char *path,
		       const char *body, unsigned deadline_ms)
{
	return call_end(call_begin(instance, method, path, body, deadline_ms));
}

void instances_await_ready(unsigned ms)
{
	uint64_t until = steady_ms() + ms;
	int i = 0;

	while (i < instance_count) {
		struct answer a = call_end(
			call_at(i, PORT_READY, "GET", "/ready", NULL, 500));

		if (a.status == 200) {
			i++;
			continue;
		}
		if (steady_ms() > until)
			die("%s does not get ready", instances[i].name);
		sleep_ms(50);
	}
	record("all instances are ready");
}
