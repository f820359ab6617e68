#include <string.h>

#include <arpa/inet.h>
#include <msgpack.h>

#include "ident.h"
#include "msg.h"
#include "pool_shard.h"
#include "poolmsg.h"

/* Numbers of array elements: of the header, of the body of a heartbeat and of a
 * list change without their entries, of the other bodies, and of one entry (a
 * claim, a suspect, a reported owner or an executor). */
#define HEADER_FIELDS 6U
#define HEARTBEAT_FIELDS 18U
#define CLAIM_FIELDS 9U
#define SUSPECT_FIELDS 5U
#define REPORTED_OWNER_FIELDS 5U
#define BATCH_REQUEST_FIELDS 21U
#define RESULT_FIELDS 9U
#define START_FIELDS 5U
#define ACCEPTED_FIELDS 4U
#define LIST_FIELDS 5U
#define EXECUTOR_FIELDS 10U
#define EVACUATION_FIELDS 3U
/* Longest interval of an instance's heartbeats. */
#define INTERVAL_MAX_US 60000000U

/* ## Encoding */

static int buf_write(void *data, const char *bytes, size_t len)
{
	ph_buf_put(data, bytes, len);
	return 0;
}

static void put_bytes(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data, len);
}

/* NULL stands for "". */
static void put_str(msgpack_packer *pk, const char *text)
{
	put_bytes(pk, text, text ? strlen(text) : 0);
}

/* Packs short executor ids in native byte order: all instances of a deployment
 * have the same one. */
static void put_executor_ids(msgpack_packer *pk, const uint32_t *ids,
			     uint32_t count)
{
	put_bytes(pk, ids, count * sizeof(*ids));
}

static void put_claim(msgpack_packer *pk, const struct ph_claim *c)
{
	put_str(pk, c->pool_name);
	msgpack_pack_uint64(pk, c->token);
	msgpack_pack_uint32(pk, c->offered);
	msgpack_pack_uint32(pk, c->load.executors);
	msgpack_pack_uint32(pk, c->load.usable);
	msgpack_pack_uint32(pk, c->load.capacity_milli);
	msgpack_pack_uint32(pk, c->load.free_milli);
	msgpack_pack_uint64(pk, c->load.backlog_milli_us);
	msgpack_pack_uint32(pk, c->load.batches);
}

static void put_suspect(msgpack_packer *pk, const struct ph_suspect *s)
{
	msgpack_pack_uint64(pk, s->job);
	msgpack_pack_uint32(pk, s->index);
	msgpack_pack_uint32(pk, s->losses);
	msgpack_pack_uint32(pk, s->crash_weight);
	msgpack_pack_uint32(pk, s->suspected);
}

static void put_reported_owner(msgpack_packer *pk,
			       const struct ph_reported_owner *o)
{
	put_str(pk, o->pool_name);
	put_str(pk, o->name);
	put_str(pk, o->addr);
	msgpack_pack_uint64(pk, o->token);
	msgpack_pack_uint64(pk, o->heard_ago_us);
}

static void put_start(msgpack_packer *pk, const struct ph_unconfirmed_start *s)
{
	msgpack_pack_uint32(pk, s->index);
	msgpack_pack_uint32(pk, s->executor);
	msgpack_pack_uint64(pk, s->run);
	msgpack_pack_uint32(pk, s->unanswered);
	msgpack_pack_uint64(pk, s->age_us);
}

static void put_unconfirmed(msgpack_packer *pk, const struct ph_unconfirmed *u)
{
	uint32_t i;

	msgpack_pack_uint32(pk, u->incomplete);
	msgpack_pack_uint32(pk, u->count);
	for (i = 0; i < u->count; i++)
		put_start(pk, &u->starts[i]);
}

static void put_heartbeat(msgpack_packer *pk, const struct ph_poolmsg *m)
{
	uint32_t i;

	msgpack_pack_uint32(pk, m->leaving);
	msgpack_pack_uint64(pk, m->config_version);
	msgpack_pack_uint64(pk, m->heard_ago_us);
	msgpack_pack_uint64(pk, m->interval_us);
	msgpack_pack_uint64(pk, m->clock_us);
	msgpack_pack_uint32(pk, m->cpu_milli);
	msgpack_pack_uint32(pk, m->shards);
	msgpack_pack_uint64(pk, m->list_digest);
	msgpack_pack_uint64(pk, m->list_age_us);
	msgpack_pack_uint32(pk, m->claim_count);
	for (i = 0; i < m->claim_count; i++)
		put_claim(pk, &m->claims[i]);
	msgpack_pack_uint32(pk, m->suspect_count);
	for (i = 0; i < m->suspect_count; i++)
		put_suspect(pk, &m->suspects[i]);
	msgpack_pack_uint64(pk, m->echo_us);
	msgpack_pack_uint64(pk, m->shards_revision);
	msgpack_pack_uint64(pk, m->evacuation_revision);
	msgpack_pack_uint64(pk, m->evacuation_age_us);
	msgpack_pack_uint32(pk, m->reported_owner_count);
	for (i = 0; i < m->reported_owner_count; i++)
		put_reported_owner(pk, &m->reported_owners[i]);
	/* Last, since versions before this one don't have them. */
	msgpack_pack_uint32(pk, m->starts.incomplete);
	msgpack_pack_uint32(pk, m->starts.count);
	for (i = 0; i < m->starts.count; i++) {
		msgpack_pack_uint64(pk, m->starts.starts[i].seq);
		put_start(pk, &m->starts.starts[i].start);
	}
}

static void put_batch_request(msgpack_packer *pk,
			      const struct ph_batch_request *w)
{
	put_str(pk, w->job);
	put_str(pk, w->service);
	put_str(pk, w->label);
	put_bytes(pk, w->spec, w->spec_len);
	msgpack_pack_uint32(pk, w->count);
	msgpack_pack_uint32(pk, w->need.cpu_milli);
	msgpack_pack_uint32(pk, w->need.mem_mb);
	msgpack_pack_uint32(pk, w->need.gpu);
	msgpack_pack_uint64(pk, w->estimate_us);
	msgpack_pack_uint64(pk, w->age_us);
	msgpack_pack_uint64(pk, w->target_us);
	msgpack_pack_uint64(pk, w->caller_timeout_us);
	msgpack_pack_uint32(pk, w->priority);
	msgpack_pack_uint32(pk, w->max_attempts);
	msgpack_pack_uint64(pk, w->sent_us);
	msgpack_pack_uint64(pk, w->first_run);
	msgpack_pack_uint32(pk, w->resumed);
	put_bytes(pk, w->done, sizeof(w->done));
	put_executor_ids(pk, w->possible_executor, w->resumed ? w->count : 0);
	/* Last, since versions before this one don't have them. */
	put_unconfirmed(pk, &w->unconfirmed);
}

static void put_result(msgpack_packer *pk, const struct ph_result *r)
{
	msgpack_pack_uint32(pk, (uint32_t)r->verdict);
	msgpack_pack_uint64(pk, r->retry_after_us);
	put_str(pk, r->reason);
	put_bytes(pk, r->done, sizeof(r->done));
	put_executor_ids(pk, r->possible_executor, r->count);
	/* Last, since versions before this one don't have it. */
	msgpack_pack_uint32(pk, r->evacuated);
	msgpack_pack_uint32(pk, r->not_started);
	put_unconfirmed(pk, &r->unconfirmed);
}

static void put_executor(msgpack_packer *pk, const struct ph_executor_info *x)
{
	put_str(pk, x->id);
	put_str(pk, x->addr);
	put_str(pk, x->domain);
	put_str(pk, x->service);
	put_str(pk, x->labels);
	msgpack_pack_uint32(pk, x->capacity.cpu_milli);
	msgpack_pack_uint32(pk, x->capacity.mem_mb);
	msgpack_pack_uint32(pk, x->capacity.gpu);
	msgpack_pack_uint32(pk, x->draining);
}

static void put_list_change(msgpack_packer *pk, const struct ph_list_change *c)
{
	size_t i;

	msgpack_pack_uint64(pk, c->digest_before);
	msgpack_pack_uint64(pk, c->digest_after);
	msgpack_pack_uint64(pk, c->age_us);
	msgpack_pack_uint64(pk, c->updated_count);
	msgpack_pack_uint64(pk, c->removed_count);
	for (i = 0; i < c->updated_count; i++)
		put_executor(pk, &c->updated[i]);
	for (i = 0; i < c->removed_count; i++)
		put_str(pk, c->removed[i]);
	/* Last, since versions before this one don't have them. */
	for (i = 0; i < c->updated_count; i++)
		msgpack_pack_uint64(pk, c->updated[i].started_ms);
}

static void put_evacuation(msgpack_packer *pk, const struct ph_poolmsg *m)
{
	uint32_t i;

	msgpack_pack_uint64(pk, m->evacuation_revision);
	msgpack_pack_uint64(pk, m->evacuation_age_us);
	msgpack_pack_uint32(pk, m->evacuated_count);
	for (i = 0; i < m->evacuated_count; i++)
		put_str(pk, m->evacuated[i]);
}

static size_t heartbeat_fields(const struct ph_poolmsg *m)
{
	return HEARTBEAT_FIELDS + m->claim_count * CLAIM_FIELDS +
	       m->suspect_count * SUSPECT_FIELDS +
	       m->reported_owner_count * REPORTED_OWNER_FIELDS +
	       m->starts.count * (1 + START_FIELDS);
}

static size_t body_fields(const struct ph_poolmsg *m)
{
	switch (m->type) {
	case PH_POOLMSG_HEARTBEAT:
		return heartbeat_fields(m);
	case PH_POOLMSG_SUBMIT:
		return 3 + BATCH_REQUEST_FIELDS +
		       m->batch_request->unconfirmed.count * START_FIELDS;
	case PH_POOLMSG_ACCEPTED:
		return ACCEPTED_FIELDS +
		       m->result.unconfirmed.count * START_FIELDS;
	case PH_POOLMSG_RESULT:
		return 1 + RESULT_FIELDS +
		       m->result.unconfirmed.count * START_FIELDS;
	case PH_POOLMSG_CONFIG:
		return 1;
	case PH_POOLMSG_CONFIG_REQUEST:
	case PH_POOLMSG_EVACUATION_REQUEST:
		return 0;
	case PH_POOLMSG_EVACUATION:
		return EVACUATION_FIELDS + m->evacuated_count;
	case PH_POOLMSG_LIST:
		return LIST_FIELDS +
		       m->change->updated_count * EXECUTOR_FIELDS +
		       m->change->removed_count;
	default:
		return 1;
	}
}

static void put_body(msgpack_packer *pk, const struct ph_poolmsg *m)
{
	switch (m->type) {
	case PH_POOLMSG_HEARTBEAT:
		put_heartbeat(pk, m);
		break;
	case PH_POOLMSG_SUBMIT:
		msgpack_pack_uint64(pk, m->seq);
		put_str(pk, m->pool);
		msgpack_pack_uint64(pk, m->owner_incarnation);
		put_batch_request(pk, m->batch_request);
		break;
	case PH_POOLMSG_ACCEPTED:
		msgpack_pack_uint64(pk, m->seq);
		msgpack_pack_uint64(pk, m->clock_us);
		put_unconfirmed(pk, &m->result.unconfirmed);
		break;
	case PH_POOLMSG_RESULT:
		msgpack_pack_uint64(pk, m->seq);
		put_result(pk, &m->result);
		break;
	case PH_POOLMSG_CONFIG:
		put_bytes(pk, m->doc, m->doc_len);
		break;
	case PH_POOLMSG_CONFIG_REQUEST:
	case PH_POOLMSG_EVACUATION_REQUEST:
		break;
	case PH_POOLMSG_EVACUATION:
		put_evacuation(pk, m);
		break;
	case PH_POOLMSG_LIST:
		put_list_change(pk, m->change);
		break;
	default:
		msgpack_pack_uint64(pk, m->seq);
		break;
	}
}

void ph_poolmsg_encode(const struct ph_poolmsg *m, struct ph_buf *out)
{
	size_t start = out->len;
	uint32_t len = 0;
	msgpack_packer pk;

	ph_buf_put(out, &len, sizeof(len));
	msgpack_packer_init(&pk, out, buf_write);
	msgpack_pack_array(&pk, HEADER_FIELDS + body_fields(m));
	msgpack_pack_uint32(&pk, PH_POOLMSG_PROTOCOL);
	msgpack_pack_uint32(&pk, (uint32_t)m->type);
	put_str(&pk, m->name);
	put_str(&pk, m->domain);
	put_str(&pk, m->addr);
	msgpack_pack_uint64(&pk, m->incarnation);
	put_body(&pk, m);
	len = htonl((uint32_t)(out->len - start - PH_MSG_FRAME_BYTES));
	memcpy(out->data + start, &len, sizeof(len));
}

/* ## Decoding */

/* Reads the elements of an array in turn. After the first invalid element bad
 * stays set, and numbers read as 0 and bytes as empty. */
struct reader {
	const msgpack_object *at;
	size_t left;
	/** Free memory for strings; as each takes more bytes in the frame than
	 * with its terminator, memory of the size of the frame is enough. */
	char *texts;
	bool bad;
};

static uint64_t get_uint(struct reader *r, uint64_t max)
{
	uint64_t n;

	if (r->bad || !r->left ||
	    r->at->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		r->bad = true;
		return 0;
	}
	n = r->at->via.u64;
	r->bad = n > max;
	r->at++;
	r->left--;
	return r->bad ? 0 : n;
}

static uint32_t get_u32(struct reader *r)
{
	return (uint32_t)get_uint(r, UINT32_MAX);
}

static uint64_t get_u64(struct reader *r)
{
	return get_uint(r, UINT64_MAX);
}

static void get_capacity(struct reader *r, struct ph_capacity *c)
{
	c->cpu_milli = (uint32_t)get_uint(r, PH_CPU_MILLI_MAX);
	c->mem_mb = (uint32_t)get_uint(r, PH_MEM_MB_MAX);
	c->gpu = (uint32_t)get_uint(r, PH_GPU_MAX);
}

static const char *get_bytes(struct reader *r, size_t *len)
{
	const char *data;

	*len = 0;
	if (r->bad || !r->left || r->at->type != MSGPACK_OBJECT_BIN) {
		r->bad = true;
		return "";
	}
	data = r->at->via.bin.ptr;
	*len = r->at->via.bin.size;
	r->at++;
	r->left--;
	return data;
}

static const char *get_str(struct reader *r)
{
	char *text = r->texts;
	size_t len;
	const char *data = get_bytes(r, &len);

	r->bad = r->bad || memchr(data, '\0', len);
	if (r->bad)
		return "";
	memcpy(text, data, len);
	text[len] = '\0';
	r->texts += len + 1;
	return text;
}

/* Reads a string of at most size - 1 bytes. */
static void get_short_str(struct reader *r, char *out, size_t size)
{
	size_t len;
	const char *data = get_bytes(r, &len);

	if (len >= size || memchr(data, '\0', len)) {
		r->bad = true;
		len = 0;
	}
	memcpy(out, data, len);
	out[len] = '\0';
}

static void get_bits(struct reader *r, uint8_t *bits, size_t size)
{
	size_t len;
	const char *data = get_bytes(r, &len);

	if (len != size)
		r->bad = true;
	else
		memcpy(bits, data, size);
}

static uint32_t get_executor_ids(struct reader *r, uint32_t *ids)
{
	size_t len;
	const char *data = get_bytes(r, &len);

	if (len > PH_MAX_TASKS * sizeof(*ids) || len % sizeof(*ids)) {
		r->bad = true;
		return 0;
	}
	memcpy(ids, data, len);
	return (uint32_t)(len / sizeof(*ids));
}

static void get_claim(struct reader *r, struct ph_claim *c)
{
	c->pool_name = get_str(r);
	c->token = get_u64(r);
	c->offered = get_u32(r) != 0;
	c->load.executors = get_u32(r);
	c->load.usable = get_u32(r);
	c->load.capacity_milli = get_u32(r);
	c->load.free_milli = get_u32(r);
	c->load.backlog_milli_us = get_u64(r);
	c->load.batches = get_u32(r);
}

static void get_suspect(struct reader *r, struct ph_suspect *s)
{
	s->job = get_u64(r);
	s->index = get_u32(r);
	s->losses = get_u32(r);
	s->crash_weight = get_u32(r);
	s->suspected = get_u32(r) != 0;
}

static void get_reported_owner(struct reader *r, struct ph_reported_owner *o)
{
	o->pool_name = get_str(r);
	o->name = get_str(r);
	get_short_str(r, o->addr, sizeof(o->addr));
	o->token = get_u64(r);
	o->heard_ago_us = get_u64(r);
}

static void get_start(struct reader *r, struct ph_unconfirmed_start *s)
{
	s->index = (uint32_t)get_uint(r, PH_MAX_TASKS - 1);
	s->executor = get_u32(r);
	s->run = get_u64(r);
	s->unanswered = get_u32(r) != 0;
	s->age_us = get_u64(r);
}

static void get_unconfirmed(struct reader *r, struct ph_unconfirmed *u)
{
	uint32_t i;

	if (r->bad || !r->left)
		return;
	u->incomplete = get_u32(r) != 0;
	u->count = (uint32_t)get_uint(r, PH_UNCONFIRMED_MAX);
	for (i = 0; i < u->count; i++)
		get_start(r, &u->starts[i]);
}

static void get_heartbeat(struct reader *r, struct ph_poolmsg *m)
{
	uint32_t i;

	m->leaving = get_u32(r) != 0;
	m->config_version = get_u64(r);
	m->heard_ago_us = get_u64(r);
	m->interval_us = get_uint(r, INTERVAL_MAX_US);
	m->clock_us = get_u64(r);
	m->cpu_milli = get_u32(r);
	m->shards = (uint32_t)get_uint(r, PH_POOL_SHARDS_MAX);
	m->list_digest = get_u64(r);
	m->list_age_us = get_u64(r);
	m->claim_count = (uint32_t)get_uint(r, PH_CLAIMS_MAX);
	for (i = 0; i < m->claim_count; i++)
		get_claim(r, &m->claims[i]);
	if (r->bad || !r->left)
		return;
	m->suspect_count = (uint32_t)get_uint(r, PH_SUSPECTS_SENT_MAX);
	for (i = 0; i < m->suspect_count; i++)
		get_suspect(r, &m->suspects[i]);
	if (!r->bad && r->left)
		m->echo_us = get_u64(r);
	if (r->bad || !r->left)
		return;
	m->shards_revision = get_u64(r);
	m->evacuation_revision = get_u64(r);
	m->evacuation_age_us = get_u64(r);
	if (r->bad || !r->left)
		return;
	m->reported_owner_count = (uint32_t)get_uint(r, PH_REPORTED_OWNERS_MAX);
	for (i = 0; i < m->reported_owner_count; i++)
		get_reported_owner(r, &m->reported_owners[i]);
	m->has_starts = !r->bad && r->left;
	if (!m->has_starts)
		return;
	m->starts.incomplete = get_u32(r) != 0;
	m->starts.count = (uint32_t)get_uint(r, PH_REPORTED_STARTS_MAX);
	for (i = 0; i < m->starts.count; i++) {
		m->starts.starts[i].seq = get_u64(r);
		get_start(r, &m->starts.starts[i].start);
	}
}

static void get_batch_request(const struct ph_mem *mem, struct reader *r,
			      struct ph_batch_request *w)
{
	const char *service;
	const char *label;
	const char *spec;
	size_t spec_len;

	get_short_str(r, w->job, sizeof(w->job));
	service = get_str(r);
	label = get_str(r);
	spec = get_bytes(r, &spec_len);
	ph_batch_request_set_texts(mem, w, service, label, spec, spec_len);
	w->count = (uint32_t)get_uint(r, PH_MAX_TASKS);
	get_capacity(r, &w->need);
	w->estimate_us = get_u64(r);
	w->age_us = get_u64(r);
	w->target_us = get_u64(r);
	w->caller_timeout_us = get_u64(r);
	w->priority = get_u32(r);
	w->max_attempts = get_u32(r);
	w->sent_us = get_u64(r);
	w->first_run = get_u64(r);
	w->resumed = get_u32(r) != 0;
	get_bits(r, w->done, sizeof(w->done));
	if (get_executor_ids(r, w->possible_executor) !=
		    (w->resumed ? w->count : 0) ||
	    !w->count)
		r->bad = true;
	get_unconfirmed(r, &w->unconfirmed);
}

static void get_result(struct reader *r, struct ph_poolmsg *m)
{
	m->result.verdict = (enum ph_verdict)get_uint(r, PH_VERDICT_MOVED);
	m->result.retry_after_us = get_u64(r);
	m->result.reason = get_str(r);
	get_bits(r, m->result.done, sizeof(m->result.done));
	m->result.count = get_executor_ids(r, m->result.possible_executor);
	if (!r->bad && r->left)
		m->result.evacuated = get_u32(r) != 0;
	if (!r->bad && r->left)
		m->result.not_started = get_u32(r) != 0;
	get_unconfirmed(r, &m->result.unconfirmed);
}

static void get_evacuation(const struct ph_mem *mem, struct reader *r,
			   struct ph_poolmsg *m)
{
	uint32_t i;

	m->evacuation_revision = get_u64(r);
	m->evacuation_age_us = get_u64(r);
	m->evacuated_count = (uint32_t)get_uint(r, PH_EVACUATIONS_MAX);
	m->evacuated = mem->calloc(m->evacuated_count + 1, sizeof(char *));
	for (i = 0; i < m->evacuated_count; i++)
		m->evacuated[i] = get_str(r);
}

static void get_executor(struct reader *r, struct ph_executor_info *x)
{
	x->id = get_str(r);
	get_short_str(r, x->addr, sizeof(x->addr));
	x->domain = get_str(r);
	x->service = get_str(r);
	x->labels = get_str(r);
	get_capacity(r, &x->capacity);
	x->draining = get_u32(r) != 0;
}

static void get_list_change(struct reader *r, struct ph_list_change *c)
{
	size_t i;

	c->digest_before = get_u64(r);
	c->digest_after = get_u64(r);
	c->age_us = get_u64(r);
	c->updated_count = get_uint(r, PH_LIST_CHANGES_MAX);
	c->removed_count = get_uint(r, PH_LIST_CHANGES_MAX);
	for (i = 0; i < c->updated_count; i++)
		get_executor(r, &c->updated[i]);
	for (i = 0; i < c->removed_count; i++)
		c->removed[i] = get_str(r);
	for (i = 0; i < c->updated_count && !r->bad && r->left; i++)
		c->updated[i].started_ms = get_u64(r);
}

static void get_body(const struct ph_mem *mem, struct reader *r,
		     struct ph_poolmsg *m)
{
	const char *doc;

	switch (m->type) {
	case PH_POOLMSG_HEARTBEAT:
		get_heartbeat(r, m);
		break;
	case PH_POOLMSG_SUBMIT:
		m->seq = get_u64(r);
		m->pool = get_str(r);
		m->owner_incarnation = get_u64(r);
		m->batch_request = mem->calloc(1, sizeof(*m->batch_request));
		get_batch_request(mem, r, m->batch_request);
		break;
	case PH_POOLMSG_ACCEPTED:
		m->seq = get_u64(r);
		if (r->bad || !r->left)
			break;
		m->clock_us = get_u64(r);
		get_unconfirmed(r, &m->result.unconfirmed);
		break;
	case PH_POOLMSG_RESULT:
		m->seq = get_u64(r);
		get_result(r, m);
		break;
	case PH_POOLMSG_CONFIG:
		doc = get_bytes(r, &m->doc_len);
		m->doc = ph_memdup(mem, doc, m->doc_len);
		break;
	case PH_POOLMSG_CONFIG_REQUEST:
	case PH_POOLMSG_EVACUATION_REQUEST:
		break;
	case PH_POOLMSG_EVACUATION:
		get_evacuation(mem, r, m);
		break;
	case PH_POOLMSG_LIST:
		m->change = mem->calloc(1, sizeof(*m->change));
		get_list_change(r, m->change);
		break;
	default:
		m->seq = get_u64(r);
		break;
	}
}

static int decode_message(const struct ph_mem *mem, const msgpack_object *root,
			  struct ph_poolmsg *m)
{
	struct reader r = { .texts = m->texts };

	if (root->type != MSGPACK_OBJECT_ARRAY)
		return PH_ERR_SYNTAX;
	r.at = root->via.array.ptr;
	r.left = root->via.array.size;
	if (get_u32(&r) != PH_POOLMSG_PROTOCOL)
		return PH_ERR_VERSION;
	m->type = (enum ph_poolmsg_type)get_uint(&r, PH_POOLMSG_TYPES - 1);
	m->name = get_str(&r);
	m->domain = get_str(&r);
	get_short_str(&r, m->addr, sizeof(m->addr));
	m->incarnation = get_u64(&r);
	if (!r.bad && m->type)
		get_body(mem, &r, m);
	return r.bad || !m->type ? PH_ERR_SYNTAX : 0;
}

int ph_poolmsg_decode(const struct ph_mem *mem, const char *data, size_t len,
		      struct ph_poolmsg *m)
{
	msgpack_unpacked unpacked;
	int err = PH_ERR_SYNTAX;

	memset(m, 0, sizeof(*m));
	if (!ph_msg_sizes_valid(data, len))
		return PH_ERR_SYNTAX;
	m->texts = mem->calloc(1, len);
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, len, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		err = decode_message(mem, &unpacked.data, m);
	msgpack_unpacked_destroy(&unpacked);
	if (err)
		ph_poolmsg_clear(mem, m);
	return err;
}

static bool executor_valid(const struct ph_executor_info *x)
{
	return ph_platform_name_valid(x->id) &&
	       ph_platform_name_valid(x->domain) && ph_addr_valid(x->addr);
}

/* Whether a name is that of a pool of the domain. */
static bool pool_in_domain(const char *pool, const char *domain)
{
	const char *shard = strchr(pool, '#');

	return ph_pool_shard_in(pool, domain) &&
	       (!shard ||
		(shard[1] && !shard[1 + strspn(shard + 1, "0123456789")] &&
		 ph_pool_shard_number(pool) < PH_POOL_SHARDS_MAX));
}

static bool reported_owner_valid(const struct ph_reported_owner *o,
				 const char *domain)
{
	return (!o->pool_name[0] || pool_in_domain(o->pool_name, domain)) &&
	       ph_platform_name_valid(o->name) && ph_addr_valid(o->addr);
}

bool ph_poolmsg_names_valid(const struct ph_poolmsg *m)
{
	size_t i;

	for (i = 0; i < m->reported_owner_count; i++)
		if (!reported_owner_valid(&m->reported_owners[i], m->domain))
			return false;

	for (i = 0; m->change && i < m->change->updated_count; i++)
		if (!executor_valid(&m->change->updated[i]))
			return false;
	for (i = 0; i < m->evacuated_count; i++)
		if (!ph_platform_name_valid(m->evacuated[i]))
			return false;
	return ph_platform_name_valid(m->name) &&
	       ph_platform_name_valid(m->domain) && ph_addr_valid(m->addr);
}

void ph_poolmsg_clear(const struct ph_mem *mem, struct ph_poolmsg *m)
{
	ph_batch_request_free(mem, m->batch_request);
	mem->free(m->doc);
	mem->free(m->change);
	mem->free(m->evacuated);
	mem->free(m->texts);
	m->texts = NULL;
	m->batch_request = NULL;
	m->doc = NULL;
	m->change = NULL;
	m->evacuated = NULL;
}
