/*
 * Test stand-in for the platform: serves a subset of Consul's HTTP interface,
 * namely a key-value store with compare-and-swap, blocking queries and service
 * registration. It counts requests. POST /standin/mode makes it unavailable or
 * slow, makes it lose replies, or delays the listing of new registrations.
 */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <apr_base64.h>
#include <apr_general.h>
#include <jansson.h>

#include "httpd.h"
#include "log.h"
#include "settings.h"

#define MAX_KEYS 4096
#define MAX_INSTANCES 4096
#define KEY_BYTES 256
#define TICK_US 5000
#define US_PER_MS 1000U
#define US_PER_S 1000000U
#define NS_PER_US 1000U
#define WAIT_DEFAULT_MS 20000U

struct entry {
	char key[KEY_BYTES];
	char *value;
	size_t len;
	uint64_t index;
};

struct instance {
	char service[PH_NAME_BYTES];
	char id[PH_NAME_BYTES];
	char *doc;
	uint64_t visible_us;
	bool deregistered;
};

/* A blocking query that waits for a change, or a request that is delayed by
 * the mode slow_ms. */
struct waiting {
	struct waiting *next;
	struct ph_http_req *req;
	uint64_t due_us;
	uint64_t index;
	bool delayed;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct entry entries[MAX_KEYS];
static size_t entry_count;
static struct instance instances[MAX_INSTANCES];
static size_t instance_count;
static struct waiting *waiting;
static uint64_t store_index = 1;
static uint64_t reads;
static uint64_t writes;
static uint64_t watches;
static uint64_t lost_replies;
static uint64_t bytes_out;
static bool down;
static uint64_t slow_us;
static uint64_t lose_replies;
static uint64_t listing_delay_us;

static uint64_t now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}

static void reply_indexed(struct ph_http_req *req, int status, const char *body)
{
	char index[32];
	struct ph_http_reply reply = { .status = status,
				       .body = body,
				       .body_len = strlen(body),
				       .header = "X-Consul-Index",
				       .value = index };

	snprintf(index, sizeof(index), "%llu", (unsigned long long)store_index);
	bytes_out += reply.body_len;
	ph_http_req_reply(req, &reply);
}

static void abort_connection(struct ph_http_req *req)
{
	struct ph_http_reply reply = { .status = 500, .body = "", .abort = 1 };

	ph_http_req_reply(req, &reply);
}

static struct entry *find_entry(const char *key)
{
	size_t i;

	for (i = 0; i < entry_count; i++)
		if (!strcmp(entries[i].key, key))
			return &entries[i];
	return NULL;
}

static json_t *entry_json(const struct entry *e)
{
	char *coded = calloc(1, (size_t)apr_base64_encode_len((int)e->len) + 1);
	json_t *item;

	apr_base64_encode(coded, e->value, (int)e->len);
	item = json_pack("{s:s,s:s,s:I,s:i,s:i}", "Key", e->key, "Value", coded,
			 "ModifyIndex", (json_int_t)e->index, "LockIndex", 0,
			 "Flags", 0);
	free(coded);
	return item;
}

static void reply_keys(struct ph_http_req *req, const char *key, bool prefix)
{
	json_t *list = json_array();
	char *text;
	size_t i;

	for (i = 0; i < entry_count; i++) {
		bool hit = prefix ? !strncmp(entries[i].key, key, strlen(key))
				  : !strcmp(entries[i].key, key);

		if (hit && entries[i].value)
			json_array_append_new(list, entry_json(&entries[i]));
	}
	text = json_dumps(list, JSON_COMPACT);
	reply_indexed(req, json_array_size(list) ? 200 : 404, text);
	free(text);
	json_decref(list);
}

/* Returns the highest index among the keys that a blocking query covers, or the
 * index of the whole store if the query isn't for keys. */
static uint64_t last_change_index(const char *path, bool prefix)
{
	const char *key = path + strlen("/v1/kv/");
	uint64_t index = 0;
	size_t i;

	if (strncmp(path, "/v1/kv/", 7) != 0)
		return store_index;
	for (i = 0; i < entry_count; i++) {
		bool hit = prefix ? !strncmp(entries[i].key, key, strlen(key))
				  : !strcmp(entries[i].key, key);

		if (hit && entries[i].index > index)
			index = entries[i].index;
	}
	return index;
}

static void reply_instances(struct ph_http_req *req, const char *service)
{
	json_t *list = json_array();
	uint64_t now = now_us();
	char *text;
	size_t i;

	for (i = 0; i < instance_count; i++) {
		struct instance *in = &instances[i];

		if (strcmp(in->service, service) != 0)
			continue;
		if (now < in->visible_us || in->deregistered)
			continue;
		json_array_append_new(list,
				      json_pack("{s:o}", "Service",
						json_loads(in->doc, 0, NULL)));
	}
	text = json_dumps(list, JSON_COMPACT);
	reply_indexed(req, 200, text);
	free(text);
	json_decref(list);
}

static void reply_read(struct ph_http_req *req)
{
	const char *path = ph_http_req_path(req);

	if (!strncmp(path, "/v1/kv/", 7))
		reply_keys(req, path + 7,
			   ph_http_req_arg(req, "recurse") != NULL);
	else
		reply_instances(req, path + strlen("/v1/health/service/"));
}

static void enqueue(struct ph_http_req *req, uint64_t due, uint64_t index,
		    bool delayed)
{
	struct waiting *w = calloc(1, sizeof(*w));

	w->req = req;
	w->due_us = due;
	w->index = index;
	w->delayed = delayed;
	w->next = waiting;
	waiting = w;
}

static void read_or_wait(struct ph_http_req *req)
{
	const char *index = ph_http_req_arg(req, "index");
	const char *wait = ph_http_req_arg(req, "wait");
	bool prefix = ph_http_req_arg(req, "recurse") != NULL;
	uint64_t from = index ? strtoull(index, NULL, 10) : 0;
	uint64_t ms = wait ? strtoull(wait, NULL, 10) : WAIT_DEFAULT_MS;

	if (from && last_change_index(ph_http_req_path(req), prefix) <= from) {
		watches++;
		enqueue(req, now_us() + ms * US_PER_MS, from, false);
		return;
	}
	reads++;
	reply_read(req);
}

static void write_key(struct ph_http_req *req, const char *key)
{
	const char *cas = ph_http_req_arg(req, "cas");
	struct entry *e = find_entry(key);
	uint64_t have = e && e->value ? e->index : 0;
	size_t len;
	const char *body = ph_http_req_body(req, &len);

	writes++;
	if (cas && strtoull(cas, NULL, 10) != have) {
		reply_indexed(req, 200, "false");
		return;
	}
	if (!e) {
		e = &entries[entry_count++];
		snprintf(e->key, sizeof(e->key), "%s", key);
	}
	free(e->value);
	e->value = calloc(1, len + 1);
	memcpy(e->value, body, len);
	e->len = len;
	e->index = ++store_index;
	if (lose_replies) {
		lose_replies--;
		lost_replies++;
		abort_connection(req);
		return;
	}
	reply_indexed(req, 200, "true");
}

static void register_instance(struct ph_http_req *req)
{
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *doc = json_loadb(body, len, 0, NULL);
	const char *name = json_string_value(json_object_get(doc, "Name"));
	const char *id = json_string_value(json_object_get(doc, "ID"));
	struct instance *in = NULL;
	size_t i;

	if (!name || !id) {
		json_decref(doc);
		reply_indexed(req, 400, "false");
		return;
	}
	for (i = 0; i < instance_count; i++)
		if (!strcmp(instances[i].id, id) &&
		    !strcmp(instances[i].service, name))
			in = &instances[i];
	if (!in)
		in = &instances[instance_count++];
	snprintf(in->service, sizeof(in->service), "%s", name);
	snprintf(in->id, sizeof(in->id), "%s", id);
	free(in->doc);
	in->doc = json_dumps(doc, JSON_COMPACT);
	in->deregistered = false;
	in->visible_us = now_us() + listing_delay_us;
	store_index++;
	json_decref(doc);
	reply_indexed(req, 200, "true");
}

static void deregister(struct ph_http_req *req, const char *id)
{
	size_t i;

	for (i = 0; i < instance_count; i++)
		if (!strcmp(instances[i].id, id))
			instances[i].deregistered = true;
	store_index++;
	reply_indexed(req, 200, "true");
}

static void set_mode(struct ph_http_req *req)
{
	size_t len;
	const char *body = ph_http_req_body(req, &len);
	json_t *doc = json_loadb(body, len, 0, NULL);
	json_t *v;

	v = json_object_get(doc, "down");
	if (v)
		down = json_is_true(v);
	v = json_object_get(doc, "slow_ms");
	if (v)
		slow_us = (uint64_t)json_integer_value(v) * US_PER_MS;
	v = json_object_get(doc, "lose_replies");
	if (v)
		lose_replies = (uint64_t)json_integer_value(v);
	v = json_object_get(doc, "lag_ms");
	if (v)
		listing_delay_us = (uint64_t)json_integer_value(v) * US_PER_MS;
	json_decref(doc);
	reply_indexed(req, 200, "true");
}

static void reply_counts(struct ph_http_req *req)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,"
		 "\"lost_replies\":%llu,\"bytes_out\":%llu}",
		 (unsigned long long)reads, (unsigned long long)writes,
		 (unsigned long long)watches, (unsigned long long)lost_replies,
		 (unsigned long long)bytes_out);
	reply_indexed(req, 200, text);
}

static void serve(struct ph_http_req *req)
{
	const char *path = ph_http_req_path(req);
	bool put = !strcmp(ph_http_req_method(req), "PUT");

	if (!strncmp(path, "/v1/kv/", 7) && put)
		write_key(req, path + 7);
	else if (!strcmp(path, "/v1/agent/service/register"))
		register_instance(req);
	else if (!strncmp(path, "/v1/agent/service/deregister/", 29))
		deregister(req, path + 29);
	else if (!strncmp(path, "/v1/kv/", 7) ||
		 !strncmp(path, "/v1/health/service/", 19))
		read_or_wait(req);
	else
		reply_indexed(req, 404, "null");
}

static void on_request(void *ctx, struct ph_http_req *req)
{
	const char *path = ph_http_req_path(req);

	(void)ctx;
	pthread_mutex_lock(&lock);
	if (!strcmp(path, "/standin/mode"))
		set_mode(req);
	else if (!strcmp(path, "/standin/counts"))
		reply_counts(req);
	else if (down)
		abort_connection(req);
	else if (slow_us)
		enqueue(req, now_us() + slow_us, 0, true);
	else
		serve(req);
	pthread_mutex_unlock(&lock);
}

/* Removes and returns a request that is due or whose data has changed; while
 * the platform is down, any request. Returns NULL if there is none. */
static struct waiting *take_due(uint64_t now)
{
	struct waiting **at = &waiting;

	for (; *at; at = &(*at)->next) {
		struct waiting *w = *at;
		const char *path = ph_http_req_path(w->req);
		bool prefix = ph_http_req_arg(w->req, "recurse") != NULL;

		if (now < w->due_us && !down &&
		    (w->delayed || last_change_index(path, prefix) <= w->index))
			continue;
		*at = w->next;
		return w;
	}
	return NULL;
}

static void list_delayed_instances(uint64_t now)
{
	size_t i;

	for (i = 0; i < instance_count; i++) {
		if (!instances[i].visible_us || now < instances[i].visible_us)
			continue;
		instances[i].visible_us = 0;
		store_index++;
	}
}

static void tick(void)
{
	struct waiting *w;

	pthread_mutex_lock(&lock);
	list_delayed_instances(now_us());
	while ((w = take_due(now_us()))) {
		if (down)
			abort_connection(w->req);
		else if (w->delayed)
			serve(w->req);
		else
			reply_read(w->req);
		free(w);
	}
	pthread_mutex_unlock(&lock);
}

int main(int argc, char **argv)
{
	const char *address;
	uint64_t port = 0;
	struct ph_setting list[] = {
		{ .flag = "address",
		  .type = PH_SETTING_IP,
		  .fallback = "127.0.0.1",
		  .help = "IP address to listen on",
		  .text = &address },
		{ .flag = "port",
		  .type = PH_SETTING_PORT,
		  .fallback = "8500",
		  .help = "port to listen on",
		  .number = &port },
	};
	struct ph_settings settings = {
		.program = "standin-platform",
		.summary = "Test stand-in for the platform's HTTP interface.",
		.list = list,
		.count = 2,
	};
	struct ph_httpd_options options = { .mem = ph_mem_default(),
					    .threads = 1,
					    .max_body_bytes = PH_MAX_BODY_BYTES,
					    .handler = on_request };
	int status = ph_settings_load(&settings, argc, argv);

	if (status >= 0)
		return status;
	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	ph_log_name("platform");
	options.address = address;
	options.port = (uint16_t)port;
	if (!ph_httpd_new(&options)) {
		fprintf(stderr, "standin-platform: can't listen\n");
		return PH_EXIT_FAILED;
	}
	for (;;) {
		usleep(TICK_US);
		tick();
	}
}
