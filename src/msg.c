#include <string.h>

#include <arpa/inet.h>
#include <msgpack.h>

#include "msg.h"

#define MAX_RECORDS 65536U
#define HEADER_FIELDS 8U
#define RECORD_FIELDS 13U
#define TASK_FIELDS 5U

struct ph_decoded_msg {
	struct ph_msg msg;
	const struct ph_mem *mem;
	msgpack_unpacked unpacked;
	char *data;
};

static int buf_write(void *data, const char *bytes, size_t len)
{
	ph_buf_put(data, bytes, len);
	return 0;
}

static void pack_str(msgpack_packer *pk, const char *text)
{
	size_t len = text ? strlen(text) + 1 : 0;

	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, text, len);
}

static void pack_bytes(msgpack_packer *pk, const char *data, size_t len)
{
	if (!data) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data, len);
}

static void pack_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void pack_record(msgpack_packer *pk, const struct ph_record *r)
{
	size_t i;

	msgpack_pack_array(pk, RECORD_FIELDS);
	pack_str(pk, r->key);
	pack_str(pk, r->service);
	msgpack_pack_uint64(pk, r->digest);
	pack_bool(pk, r->first_attempt);
	pack_bool(pk, r->starts_accounted_for);
	pack_bool(pk, r->cancelled);
	pack_bool(pk, r->ended);
	msgpack_pack_uint32(pk, r->task_count);
	msgpack_pack_uint64(pk, r->complete_version);
	msgpack_pack_uint64(pk, r->remaining_us);
	pack_bytes(pk, r->body, r->body_len);
	pack_bytes(pk, r->answer, r->answer_len);
	msgpack_pack_array(pk, r->count * TASK_FIELDS);
	for (i = 0; i < r->count; i++) {
		const struct ph_task_record *t = &r->tasks[i];

		msgpack_pack_uint32(pk, t->index);
		msgpack_pack_uint8(pk, t->state);
		msgpack_pack_uint64(pk, t->starter);
		msgpack_pack_int32(pk, t->status);
		pack_bytes(pk, t->result, t->result_len);
	}
}

static void pack_records(msgpack_packer *pk, const struct ph_msg *m)
{
	size_t i;

	msgpack_pack_array(pk, m->count);
	for (i = 0; i < m->count; i++)
		pack_record(pk, &m->records[i]);
}

static void pack_request(msgpack_packer *pk, const struct ph_msg *m)
{
	msgpack_pack_uint64(pk, m->token);
	msgpack_pack_uint64(pk, m->subject_incarnation);
	msgpack_pack_uint32(pk, m->hops);
	msgpack_pack_uint32(pk, m->request.type);
	msgpack_pack_uint32(pk, m->request.attempt);
	pack_str(pk, m->request.team);
	pack_str(pk, m->request.service);
	pack_str(pk, m->request.id);
	pack_bytes(pk, m->request.body, m->request.body_len);
}

/* Number of fields after the header, by message type. */
static const uint32_t body_field_counts[PH_MSG_TYPES] = {
	[PH_MSG_PING] = 2,   [PH_MSG_PONG] = 3,	       [PH_MSG_REQUEST] = 9,
	[PH_MSG_REPLY] = 3,  [PH_MSG_RECORDS] = 2,     [PH_MSG_RECORDS_ACK] = 3,
	[PH_MSG_ROSTER] = 1, [PH_MSG_HANDED_OVER] = 1, [PH_MSG_CONFIG] = 1,
};

static void pack_body(msgpack_packer *pk, const struct ph_msg *m)
{
	switch (m->type) {
	case PH_MSG_PONG:
		msgpack_pack_uint64(pk, m->no_solo_us);
		/* fallthrough */
	case PH_MSG_PING:
		msgpack_pack_uint64(pk, m->sent_us);
		msgpack_pack_uint64(pk, m->synced_version);
		break;
	case PH_MSG_REQUEST:
		pack_request(pk, m);
		break;
	case PH_MSG_REPLY:
		msgpack_pack_uint64(pk, m->token);
		msgpack_pack_int32(pk, m->status);
		pack_bytes(pk, m->doc, m->doc_len);
		break;
	case PH_MSG_RECORDS_ACK:
		pack_bool(pk, m->accepted);
		/* fallthrough */
	case PH_MSG_RECORDS:
		msgpack_pack_uint64(pk, m->seq);
		pack_records(pk, m);
		break;
	case PH_MSG_ROSTER:
	case PH_MSG_CONFIG:
		pack_bytes(pk, m->doc, m->doc_len);
		break;
	case PH_MSG_HANDED_OVER:
		msgpack_pack_uint64(pk, m->subject_incarnation);
		break;
	case PH_MSG_TYPES:
		break;
	}
}

void ph_msg_encode(const struct ph_msg *m, struct ph_buf *out)
{
	size_t start = out->len;
	msgpack_packer pk;
	uint32_t len = 0;

	ph_buf_put(out, &len, sizeof(len));
	msgpack_packer_init(&pk, out, buf_write);
	msgpack_pack_array(&pk, HEADER_FIELDS + body_field_counts[m->type]);
	msgpack_pack_uint32(&pk, PH_MSG_PROTOCOL);
	msgpack_pack_uint32(&pk, m->type);
	pack_str(&pk, m->name);
	pack_str(&pk, m->domain);
	pack_str(&pk, m->addr);
	msgpack_pack_uint64(&pk, m->incarnation);
	msgpack_pack_uint64(&pk, m->roster_version);
	msgpack_pack_uint64(&pk, m->config_version);
	pack_body(&pk, m);
	len = htonl((uint32_t)(out->len - start - sizeof(len)));
	memcpy(out->data + start, &len, sizeof(len));
}

/* Reads the elements of a msgpack array in order; an element of the wrong type
 * sets err. */
struct reader {
	const msgpack_object *at;
	size_t left;
	int err;
};

static const msgpack_object *next_object(struct reader *r)
{
	static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };

	if (!r->left) {
		r->err = PH_ERR_SYNTAX;
		return &nil;
	}
	r->left--;
	return r->at++;
}

static uint64_t get_uint(struct reader *r, uint64_t max)
{
	const msgpack_object *o = next_object(r);

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max) {
		r->err = PH_ERR_SYNTAX;
		return 0;
	}
	return o->via.u64;
}

static int32_t get_int(struct reader *r)
{
	const msgpack_object *o = next_object(r);

	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT32_MAX)
		return (int32_t)o->via.u64;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    o->via.i64 >= INT32_MIN)
		return (int32_t)o->via.i64;
	r->err = PH_ERR_SYNTAX;
	return 0;
}

static bool get_bool(struct reader *r)
{
	const msgpack_object *o = next_object(r);

	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		r->err = PH_ERR_SYNTAX;
	return o->type == MSGPACK_OBJECT_BOOLEAN && o->via.boolean;
}

static const char *get_bytes(struct reader *r, size_t *len)
{
	const msgpack_object *o = next_object(r);

	*len = 0;
	if (o->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (o->type != MSGPACK_OBJECT_BIN) {
		r->err = PH_ERR_SYNTAX;
		return NULL;
	}
	*len = o->via.bin.size;
	return o->via.bin.ptr;
}

/* Strings are encoded with their terminating NUL, so that they can be borrowed
 * in place. */
static const char *get_str(struct reader *r)
{
	size_t len;
	const char *text = get_bytes(r, &len);

	if (text && len && memchr(text, 0, len) == text + len - 1)
		return text;
	r->err = PH_ERR_SYNTAX;
	return "";
}

static struct reader get_array(struct reader *r, size_t max)
{
	const msgpack_object *o = next_object(r);
	struct reader inner = { NULL, 0, 0 };

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max) {
		r->err = PH_ERR_SYNTAX;
		return inner;
	}
	inner.at = o->via.array.ptr;
	inner.left = o->via.array.size;
	return inner;
}

static int get_tasks(struct reader *r, struct ph_record *rec,
		     msgpack_zone *zone)
{
	struct reader tasks = get_array(r, (size_t)PH_MAX_TASKS * TASK_FIELDS);
	size_t i;

	if (tasks.left % TASK_FIELDS || rec->task_count > PH_MAX_TASKS)
		return PH_ERR_SYNTAX;
	rec->count = tasks.left / TASK_FIELDS;
	if (!rec->count)
		return 0;
	rec->tasks =
		msgpack_zone_malloc(zone, rec->count * sizeof(*rec->tasks));
	if (!rec->tasks)
		return PH_ERR_MEMORY;
	for (i = 0; i < rec->count; i++) {
		struct ph_task_record *t = &rec->tasks[i];

		t->index = (uint32_t)get_uint(&tasks, PH_MAX_TASKS - 1);
		t->state = (uint8_t)get_uint(&tasks, UINT8_MAX);
		t->starter = get_uint(&tasks, UINT64_MAX);
		t->status = get_int(&tasks);
		t->result = get_bytes(&tasks, &t->result_len);
		if (t->index >= rec->task_count)
			return PH_ERR_SYNTAX;
	}
	return tasks.err;
}

static int get_record(struct reader *list, struct ph_record *rec,
		      msgpack_zone *zone)
{
	struct reader r = get_array(list, RECORD_FIELDS);
	int err;

	memset(rec, 0, sizeof(*rec));
	rec->key = get_str(&r);
	rec->service = get_str(&r);
	rec->digest = get_uint(&r, UINT64_MAX);
	rec->first_attempt = get_bool(&r);
	rec->starts_accounted_for = get_bool(&r);
	rec->cancelled = get_bool(&r);
	rec->ended = get_bool(&r);
	rec->task_count = (uint32_t)get_uint(&r, PH_MAX_TASKS);
	rec->complete_version = get_uint(&r, UINT64_MAX);
	rec->remaining_us = get_uint(&r, UINT64_MAX);
	rec->body = get_bytes(&r, &rec->body_len);
	rec->answer = get_bytes(&r, &rec->answer_len);
	err = get_tasks(&r, rec, zone);
	return err ? err : r.err;
}

static int get_records(struct reader *r, struct ph_msg *m, msgpack_zone *zone)
{
	struct reader list = get_array(r, MAX_RECORDS);
	size_t i;

	m->count = list.left;
	if (!m->count)
		return 0;
	m->records = msgpack_zone_malloc(zone, m->count * sizeof(*m->records));
	if (!m->records)
		return PH_ERR_MEMORY;
	for (i = 0; i < m->count; i++) {
		int err = get_record(&list, &m->records[i], zone);

		if (err)
			return err;
	}
	return list.err;
}

static void get_request(struct reader *r, struct ph_msg *m)
{
	struct ph_request *q = &m->request;

	m->token = get_uint(r, UINT64_MAX);
	m->subject_incarnation = get_uint(r, UINT64_MAX);
	m->hops = (uint32_t)get_uint(r, UINT32_MAX);
	q->type = (enum ph_request_type)get_uint(r, PH_REQUEST_CANCEL);
	q->attempt = (uint32_t)get_uint(r, UINT32_MAX);
	q->team = get_str(r);
	q->service = get_str(r);
	q->id = get_str(r);
	q->body = get_bytes(r, &q->body_len);
	if (q->type < PH_REQUEST_SUBMIT)
		r->err = PH_ERR_SYNTAX;
}

static int get_body(struct reader *r, struct ph_msg *m, msgpack_zone *zone)
{
	switch (m->type) {
	case PH_MSG_PONG:
		m->no_solo_us = get_uint(r, UINT64_MAX);
		/* fallthrough */
	case PH_MSG_PING:
		m->sent_us = get_uint(r, UINT64_MAX);
		m->synced_version = get_uint(r, UINT64_MAX);
		break;
	case PH_MSG_REQUEST:
		get_request(r, m);
		break;
	case PH_MSG_REPLY:
		m->token = get_uint(r, UINT64_MAX);
		m->status = get_int(r);
		m->doc = get_bytes(r, &m->doc_len);
		break;
	case PH_MSG_RECORDS_ACK:
		m->accepted = get_bool(r);
		/* fallthrough */
	case PH_MSG_RECORDS:
		m->seq = get_uint(r, UINT64_MAX);
		return get_records(r, m, zone);
	case PH_MSG_ROSTER:
	case PH_MSG_CONFIG:
		m->doc = get_bytes(r, &m->doc_len);
		if (!m->doc)
			r->err = PH_ERR_SYNTAX;
		break;
	case PH_MSG_HANDED_OVER:
		m->subject_incarnation = get_uint(r, UINT64_MAX);
		break;
	case PH_MSG_TYPES:
		break;
	}
	return r->err;
}

static int get_msg(struct reader *r, struct ph_msg *m, msgpack_zone *zone)
{
	uint64_t protocol = get_uint(r, UINT64_MAX);
	uint64_t type = get_uint(r, UINT64_MAX);
	int err;

	if (!r->err && protocol != PH_MSG_PROTOCOL)
		return PH_ERR_VERSION;
	if (r->err || !type || type >= PH_MSG_TYPES)
		return PH_ERR_SYNTAX;
	m->type = (enum ph_msg_type)type;
	m->name = get_str(r);
	m->domain = get_str(r);
	m->addr = get_str(r);
	m->incarnation = get_uint(r, UINT64_MAX);
	m->roster_version = get_uint(r, UINT64_MAX);
	m->config_version = get_uint(r, UINT64_MAX);
	if (r->err)
		return r->err;
	err = get_body(r, m, zone);
	if (!err && r->left)
		err = PH_ERR_SYNTAX;
	return err ? err : r->err;
}

/* Number of bytes after a type byte that hold the integer, or the length of a
 * binary or an array; SIZE_MAX for a type that no message uses. */
static size_t token_bytes(uint8_t type)
{
	if (type <= 0x7f || type >= 0xe0 || (type & 0xf0) == 0x90)
		return 0;
	switch (type) {
	case 0xc0: /* nil, false, true */
	case 0xc2:
	case 0xc3:
		return 0;
	case 0xc4: /* bin 8, integers of 8 bits */
	case 0xcc:
	case 0xd0:
		return 1;
	case 0xc5: /* bin 16, integers of 16 bits, array 16 */
	case 0xcd:
	case 0xd1:
	case 0xdc:
		return 2;
	case 0xc6: /* bin 32, integers of 32 bits, array 32 */
	case 0xce:
	case 0xd2:
	case 0xdd:
		return 4;
	case 0xcf: /* integers of 64 bits */
	case 0xd3:
		return 8;
	default:
		return SIZE_MAX;
	}
}

static size_t big_endian(const uint8_t *at, size_t bytes)
{
	size_t value = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

/* The unpacker allocates memory for as many elements as an array declares, so
 * declared sizes are checked against the bytes at hand before unpacking. */
bool ph_msg_sizes_valid(const char *bytes, size_t len)
{
	const uint8_t *data = (const uint8_t *)bytes;
	size_t pending = 1;
	size_t at = 0;

	while (pending) {
		uint8_t type;
		size_t bytes;
		size_t skip = 0;

		if (at >= len)
			return false;
		type = data[at++];
		bytes = token_bytes(type);
		if (bytes > len - at)
			return false;
		pending--;
		if (type >= 0xc4 && type <= 0xc6)
			skip = big_endian(data + at, bytes);
		else if (type == 0xdc || type == 0xdd)
			pending += big_endian(data + at, bytes);
		else if ((type & 0xf0) == 0x90)
			pending += type & 0x0f;
		at += bytes;
		if (skip > len - at)
			return false;
		at += skip;
		if (pending > len - at)
			return false;
	}
	return at == len;
}

int ph_msg_decode(const struct ph_mem *mem, const char *data, size_t len,
		  struct ph_decoded_msg **out)
{
	struct ph_decoded_msg *decoded;
	struct reader r = { NULL, 0, 0 };
	size_t used = 0;
	int err = PH_ERR_SYNTAX;

	if (!ph_msg_sizes_valid(data, len))
		return PH_ERR_SYNTAX;
	decoded = mem->calloc(1, sizeof(*decoded));
	decoded->mem = mem;
	decoded->data = ph_memdup(mem, data, len);
	msgpack_unpacked_init(&decoded->unpacked);
	if (msgpack_unpack_next(&decoded->unpacked, decoded->data, len,
				&used) != MSGPACK_UNPACK_SUCCESS)
		goto out;
	if (used != len || decoded->unpacked.data.type != MSGPACK_OBJECT_ARRAY)
		goto out;
	r.at = decoded->unpacked.data.via.array.ptr;
	r.left = decoded->unpacked.data.via.array.size;
	err = get_msg(&r, &decoded->msg, decoded->unpacked.zone);
out:
	if (err) {
		ph_decoded_msg_free(decoded);
		return err;
	}
	*out = decoded;
	return 0;
}

const struct ph_msg *ph_decoded_msg_get(const struct ph_decoded_msg *decoded)
{
	return &decoded->msg;
}

void ph_decoded_msg_free(struct ph_decoded_msg *decoded)
{
	if (!decoded)
		return;
	msgpack_unpacked_destroy(&decoded->unpacked);
	decoded->mem->free(decoded->data);
	decoded->mem->free(decoded);
}
