#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_base64.h>
#include <jansson.h>

#include "httpc.h"
#include "ident.h"
#include "json_list.h"
#include "platform.h"

#define URL_BYTES 512
#define US_PER_MS 1000U
/* Time that a long poll's answer may come after the end of its wait. */
#define LONG_POLL_GRACE_US 2000000U
#define CONNECTIONS_PER_HOST 64U
/* Slots of an instance whose service entry does not say how many it has. */
#define DEFAULT_SLOTS 8
/* Most slots of an instance, and most digits of their number. */
#define SLOTS_MAX 100000U
#define SLOTS_DIGITS 6U
/* Sizes of an instance's id and host name, with their terminators. */
#define ID_BYTES 256U
#define HOST_BYTES (PH_ADDR_BYTES - 6U)

enum call_type {
	CALL_GET,
	CALL_PUT,
	CALL_LIST,
};

/* An operation under way. */
struct call {
	struct http_platform *platform;
	enum call_type type;
	ph_platform_fn *done;
	void *ctx;
};

struct http_platform {
	struct ph_platform base;
	const struct ph_mem *mem;
	struct ph_platform_options opt;
	struct ph_httpc *http;
};

static void send_call(struct http_platform *p, enum call_type type,
		      const char *method, const char *url, const char *body,
		      size_t len, uint64_t timeout_us, ph_platform_fn *done,
		      void *ctx)
{
	struct call *c = p->mem->calloc(1, sizeof(*c));
	struct ph_http_call http = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = len,
		.timeout_us = timeout_us,
		.user = c,
	};

	c->platform = p;
	c->type = type;
	c->done = done;
	c->ctx = ctx;
	ph_httpc_send(p->http, &http);
}

static void http_get(struct ph_platform *base, const char *key, bool prefix,
		     ph_platform_fn *done, void *ctx)
{
	struct http_platform *p = (struct http_platform *)base;
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "%s/v1/kv/%s%s", p->opt.url, key,
		 prefix ? "?recurse=true" : "");
	send_call(p, CALL_GET, "GET", url, NULL, 0, p->opt.call_timeout_us,
		  done, ctx);
}

static void http_put(struct ph_platform *base, const char *key, uint64_t index,
		     const char *value, size_t len, ph_platform_fn *done,
		     void *ctx)
{
	struct http_platform *p = (struct http_platform *)base;
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "%s/v1/kv/%s?cas=%llu", p->opt.url, key,
		 (unsigned long long)index);
	send_call(p, CALL_PUT, "PUT", url, value, len, p->opt.call_timeout_us,
		  done, ctx);
}

static void http_watch(struct ph_platform *base, const char *key, bool prefix,
		       uint64_t index, ph_platform_fn *done, void *ctx)
{
	struct http_platform *p = (struct http_platform *)base;
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "%s/v1/kv/%s?index=%llu&wait=%llums%s",
		 p->opt.url, key, (unsigned long long)index,
		 (unsigned long long)(p->opt.watch_wait_us / US_PER_MS),
		 prefix ? "&recurse=true" : "");
	send_call(p, CALL_GET, "GET", url, NULL, 0,
		  p->opt.watch_wait_us + LONG_POLL_GRACE_US, done, ctx);
}

static void http_list(struct ph_platform *base, const char *service,
		      uint64_t index, ph_platform_fn *done, void *ctx)
{
	struct http_platform *p = (struct http_platform *)base;
	char url[URL_BYTES];

	snprintf(url, sizeof(url),
		 "%s/v1/health/service/%s?index=%llu&wait=%llums", p->opt.url,
		 service, (unsigned long long)index,
		 (unsigned long long)(p->opt.watch_wait_us / US_PER_MS));
	send_call(p, CALL_LIST, "GET", url, NULL, 0,
		  p->opt.watch_wait_us + LONG_POLL_GRACE_US, done, ctx);
}

static void http_free(struct ph_platform *base)
{
	struct http_platform *p = (struct http_platform *)base;

	ph_httpc_free(p->http);
	p->mem->free(p);
}

static const struct ph_platform_ops http_ops = {
	.get = http_get,
	.put = http_put,
	.watch = http_watch,
	.list_instances = http_list,
	.free = http_free,
};

/* ## Replies */

/* Reads one entry of the key-value store's answer; the caller frees the value.
 * Returns false if a field is missing. */
static bool read_item(const struct ph_mem *mem, json_t *entry,
		      struct ph_platform_item *item)
{
	const char *key = json_string_value(json_object_get(entry, "Key"));
	const char *base64 = json_string_value(json_object_get(entry, "Value"));
	json_t *index = json_object_get(entry, "ModifyIndex");
	char *value;

	if (!key || !base64 || !json_is_integer(index))
		return false;
	value = mem->calloc(1, (size_t)apr_base64_decode_len(base64) + 1);
	item->key = key;
	item->len = (size_t)apr_base64_decode(value, base64);
	item->value = value;
	item->index = (uint64_t)json_integer_value(index);
	return true;
}

/* Reports the answer to a get or watch. */
static void finish_get(struct call *c, const struct ph_http_result *result,
		       struct ph_platform_reply *reply)
{
	const struct ph_mem *mem = c->platform->mem;
	json_t *doc = ph_json_load_list(mem, result->body, result->body_len,
					PH_JSON_LIST_ROOT, 0);
	struct ph_platform_item *items;
	json_t *entry;
	size_t i;

	if (!json_is_array(doc)) {
		reply->err = PH_ERR_SYNTAX;
		c->done(c->ctx, reply);
		json_decref(doc);
		return;
	}
	items = mem->calloc(json_array_size(doc), sizeof(*items));
	json_array_foreach (doc, i, entry)
		if (read_item(mem, entry, &items[reply->item_count]))
			reply->item_count++;
	reply->items = items;
	c->done(c->ctx, reply);
	for (i = 0; i < reply->item_count; i++)
		mem->free((void *)items[i].value);
	mem->free(items);
	json_decref(doc);
}

/* Whether text is a name of at most size - 1 bytes. */
static bool name_fits(const char *text, size_t size)
{
	return strlen(text) < size && ph_platform_name_valid(text);
}

/* Whether text is an IPv4 address or a host name. */
static bool host_valid(const char *text)
{
	return name_fits(text, HOST_BYTES) && !strpbrk(text, "_~:@+");
}

/* Reads a number of slots. Returns false if it is not one up to SLOTS_MAX. */
static bool read_slots(const char *text, uint32_t *slots)
{
	size_t digits = strspn(text, "0123456789");
	unsigned long number;

	if (!digits || digits > SLOTS_DIGITS || text[digits])
		return false;
	number = strtoul(text, NULL, 10);
	*slots = (uint32_t)number;
	return number <= SLOTS_MAX;
}

/* Reads one instance of the health list; returns false if it is malformed. */
static bool read_listed(json_t *entry, struct ph_endpoint_info *out)
{
	const char *id;
	const char *address;
	json_int_t port;
	json_t *service = json_object_get(entry, "Service");
	json_t *meta = json_object_get(service, "Meta");
	const char *slots = json_string_value(json_object_get(meta, "slots"));
	const char *state = json_string_value(json_object_get(meta, "state"));
	const char *domain = json_string_value(json_object_get(meta, "domain"));

	if (json_unpack(service, "{s:s,s:s,s:I}", "ID", &id, "Address",
			&address, "Port", &port))
		return false;
	if (!name_fits(id, ID_BYTES) || !host_valid(address) || port < 1 ||
	    port > UINT16_MAX ||
	    (domain && domain[0] && !name_fits(domain, sizeof(out->domain))))
		return false;
	ph_strcopy(out->name, sizeof(out->name), id);
	snprintf(out->addr, sizeof(out->addr), "%s:%d", address, (int)port);
	out->slots = DEFAULT_SLOTS;
	if (slots && !read_slots(slots, &out->slots))
		return false;
	out->leaving = state && !strcmp(state, "leaving");
	ph_strcopy(out->domain, sizeof(out->domain), domain);
	return true;
}

int ph_platform_read_instances(const struct ph_mem *mem, const char *text,
			       size_t len, struct ph_endpoint_info **out,
			       size_t *count)
{
	json_t *doc = ph_json_load_list(mem, text, len, PH_JSON_LIST_ROOT, 0);
	json_t *entry;
	size_t i;

	*count = 0;
	if (!json_is_array(doc)) {
		json_decref(doc);
		return PH_ERR_SYNTAX;
	}
	*out = mem->calloc(json_array_size(doc), sizeof(**out));
	json_array_foreach (doc, i, entry)
		if (read_listed(entry, &(*out)[*count]))
			(*count)++;
	json_decref(doc);
	return 0;
}

/* Reports the answer to list_instances. */
static void finish_list(struct call *c, const struct ph_http_result *result,
			struct ph_platform_reply *reply)
{
	const struct ph_mem *mem = c->platform->mem;
	struct ph_endpoint_info *listed = NULL;

	reply->err =
		ph_platform_read_instances(mem, result->body, result->body_len,
					   &listed, &reply->listed_count);
	reply->listed = listed;
	c->done(c->ctx, reply);
	mem->free(listed);
}

static void on_done(void *ctx, void *user, const struct ph_http_result *result)
{
	struct http_platform *p = ctx;
	struct call *c = user;
	struct ph_platform_reply reply = { .err = result->err,
					   .index = result->index };
	bool found = result->status == 200;

	if (!reply.err && !found && result->status != 404)
		reply.err = PH_ERR_IO;
	if (reply.err || (!found && c->type != CALL_PUT)) {
		c->done(c->ctx, &reply);
	} else if (c->type == CALL_PUT) {
		if (strncmp(result->body, "true", 4) != 0)
			reply.err = PH_ERR_CONFLICT;
		c->done(c->ctx, &reply);
	} else if (c->type == CALL_GET) {
		finish_get(c, result, &reply);
	} else {
		finish_list(c, result, &reply);
	}
	p->mem->free(c);
}

struct ph_platform *
ph_platform_http_new(const struct ph_platform_options *options)
{
	struct http_platform *p = options->mem->calloc(1, sizeof(*p));
	struct ph_httpc_options http = {
		.mem = options->mem,
		.connections_per_host = CONNECTIONS_PER_HOST,
		.source = options->source,
		.done = on_done,
		.ctx = p,
	};

	p->base.ops = &http_ops;
	p->mem = options->mem;
	p->opt = *options;
	p->http = ph_httpc_new(&http);
	return &p->base;
}
