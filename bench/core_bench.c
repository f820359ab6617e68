/*
 * Cost of the entry core by job size: two cores in one process, whose messages
 * are passed through memory, run jobs of several sizes. Prints per job the
 * messages, bytes, CPU time (also per task), bytes of the answer, and the
 * memory of an ended job in the ledger, each at three sizes or more so that
 * growth shows.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry_core_impl.h"
#include "log.h"

#define INSTANCES 2
#define US_PER_S 1000000U
#define NS_PER_US 1000U
#define STEP_US 1000U
#define MAX_PENDING 65536
#define MAX_BODY_BYTES 32768

struct frame {
	int to;
	char *data;
	size_t len;
};

struct finished_task {
	int instance;
	uint64_t start_id;
};

/* Two cores, the messages between them, and a platform in memory. */
struct cluster {
	struct ph_core *core[INSTANCES];
	char addr[INSTANCES][PH_ADDR_BYTES];
	struct frame frames[MAX_PENDING];
	size_t frame_count;
	struct finished_task finished[MAX_PENDING];
	size_t finished_count;
	char roster[4096];
	uint64_t index;
	bool read_pending[INSTANCES];
	/* 1: written, 2: conflict; 0: no write is in progress. */
	int write_pending[INSTANCES];
	uint64_t now_us;
	uint64_t frames_sent;
	uint64_t bytes_sent;
	uint64_t answers;
	uint64_t answer_bytes;
	uint64_t starts;
};

struct core_ctx {
	struct cluster *cluster;
	int instance;
};

/* Bytes allocated by the cores. Each block is preceded by 16 bytes that hold
 * its size. */
static size_t allocated;

static void *counting_calloc(size_t count, size_t size)
{
	size_t *p = calloc(1, count * size + 16);

	*p = count * size;
	allocated += count * size;
	return (char *)p + 16;
}

static void counting_free(void *ptr)
{
	size_t *p;

	if (!ptr)
		return;
	p = (size_t *)((char *)ptr - 16);
	allocated -= *p;
	free(p);
}

static void *counting_realloc(void *ptr, size_t size)
{
	void *next = counting_calloc(1, size);

	if (ptr) {
		size_t old = *(size_t *)((char *)ptr - 16);

		memcpy(next, ptr, old < size ? old : size);
		counting_free(ptr);
	}
	return next;
}

static const struct ph_mem counting_mem = {
	.calloc = counting_calloc,
	.realloc = counting_realloc,
	.free = counting_free,
};

static uint64_t cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}

static void on_send(void *ctx, const char *addr, const struct ph_msg *msg)
{
	struct core_ctx *p = ctx;
	struct cluster *c = p->cluster;
	struct ph_buf buf;
	int to = strcmp(addr, c->addr[0]) != 0;

	ph_buf_init(&buf, ph_mem_default());
	ph_msg_encode(msg, &buf);
	c->frames_sent++;
	c->bytes_sent += buf.len;
	if (c->frame_count == MAX_PENDING)
		abort();
	c->frames[c->frame_count].to = to;
	c->frames[c->frame_count].len = buf.len;
	c->frames[c->frame_count++].data = ph_buf_detach(&buf);
}

static void on_start(void *ctx, const struct ph_start *start)
{
	struct core_ctx *p = ctx;
	struct cluster *c = p->cluster;

	if (c->finished_count == MAX_PENDING)
		abort();
	c->finished[c->finished_count].instance = p->instance;
	c->finished[c->finished_count++].start_id = start->start_id;
	c->starts++;
}

static void on_reply(void *ctx, uint64_t token, int status, const char *doc,
		     size_t len)
{
	struct core_ctx *p = ctx;

	(void)token;
	(void)doc;
	if (status != 200)
		return;
	p->cluster->answers++;
	p->cluster->answer_bytes += len;
}

static void on_read(void *ctx)
{
	struct core_ctx *p = ctx;

	p->cluster->read_pending[p->instance] = true;
}

static void on_write(void *ctx, uint64_t index, const char *doc, size_t len)
{
	struct core_ctx *p = ctx;
	struct cluster *c = p->cluster;

	c->write_pending[p->instance] = index == c->index ? 1 : 2;
	if (index != c->index || len >= sizeof(c->roster))
		return;
	memcpy(c->roster, doc, len);
	c->roster[len] = '\0';
	c->index++;
}

static const struct ph_core_sink sink = {
	.send = on_send,
	.start = on_start,
	.reply = on_reply,
	.roster_read = on_read,
	.roster_write = on_write,
};

static void deliver_messages(struct cluster *c)
{
	size_t i;

	for (i = 0; i < c->frame_count; i++) {
		struct frame *f = &c->frames[i];
		struct ph_decoded_msg *box;

		if (!ph_msg_decode(ph_mem_default(),
				   f->data + PH_MSG_FRAME_BYTES,
				   f->len - PH_MSG_FRAME_BYTES, &box)) {
			ph_core_message(c->core[f->to], c->now_us,
					ph_decoded_msg_get(box));
			ph_decoded_msg_free(box);
		}
		free(f->data);
	}
	c->frame_count = 0;
}

static void finish_tasks(struct cluster *c)
{
	size_t count = c->finished_count;
	size_t i;

	for (i = 0; i < count; i++)
		ph_core_task_done(c->core[c->finished[i].instance], c->now_us,
				  c->finished[i].start_id, PH_OUTCOME_DONE, 200,
				  "{\"ok\":true}", 11);
	c->finished_count -= count;
	memmove(c->finished, c->finished + count,
		c->finished_count * sizeof(c->finished[0]));
}

static void pass_platform_results(struct cluster *c, int instance)
{
	if (c->read_pending[instance]) {
		c->read_pending[instance] = false;
		ph_core_roster_read(c->core[instance], c->now_us, 0, c->index,
				    c->index ? c->roster : NULL,
				    strlen(c->roster));
	}
	if (c->write_pending[instance]) {
		int err = c->write_pending[instance] == 1 ? 0 : PH_ERR_CONFLICT;

		c->write_pending[instance] = 0;
		ph_core_roster_written(c->core[instance], c->now_us, err);
	}
}

static void step(struct cluster *c)
{
	int n;

	c->now_us += STEP_US;
	deliver_messages(c);
	finish_tasks(c);
	for (n = 0; n < INSTANCES; n++) {
		pass_platform_results(c, n);
		if (c->now_us % PH_CORE_TICK_US == 0)
			ph_core_tick(c->core[n], c->now_us);
	}
}

static const char config_text[] =
	"{\"version\":1,\"domains\":[\"a\"],\"services\":[{\"name\":\"s\","
	"\"kinds\":[{\"name\":\"k\"}]}],\"teams\":[{\"name\":\"t\","
	"\"key_sha256\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	"aaaaaaaaaaaa\"}]}";

static void start_core(struct cluster *c, struct core_ctx *ctx,
		       const struct ph_config *config, uint32_t slots)
{
	char name[2][PH_NAME_BYTES] = { "n0", "n1" };
	struct ph_endpoint_info listed = { .name = "e0",
					   .addr = "127.0.0.1:1",
					   .slots = slots };
	struct ph_core_options o = {
		.mem = &counting_mem,
		.name = name[ctx->instance],
		.domain = "a",
		.addr = c->addr[ctx->instance],
		.incarnation = 1000 + (uint64_t)ctx->instance,
		.ping_every_us = 250000,
		.suspect_after_us = 1000000,
		.solo_after_us = 2000000,
		.retention_us = 3600U * (uint64_t)US_PER_S,
		.hold_us = 3000000,
		.queue_policy = &ph_queue_fair,
		.sink = &sink,
		.ctx = ctx,
	};

	c->core[ctx->instance] = ph_core_new(&o, c->now_us);
	ph_core_add_seed(c->core[ctx->instance], c->addr[1 - ctx->instance]);
	ph_core_set_config(c->core[ctx->instance], c->now_us, config);
	ph_core_set_endpoints(c->core[ctx->instance], c->now_us, "s", &listed,
			      1);
}

static size_t make_body(char *body, int tasks)
{
	size_t len = (size_t)sprintf(body, "{\"tasks\":[");
	int i;

	for (i = 0; i < tasks; i++)
		len += (size_t)sprintf(body + len,
				       "%s{\"kind\":\"k\",\"payload\":"
				       "{\"number\":%d}}",
				       i ? "," : "", i);
	return len + (size_t)sprintf(body + len, "]}");
}

/* Submits per_round jobs at each step until all have been, and prints one line
 * when all answers have come. */
static void measure(int tasks, int jobs, int per_round, uint32_t slots)
{
	static struct cluster c;
	static char body[MAX_BODY_BYTES];
	struct core_ctx ctxs[INSTANCES] = { { &c, 0 }, { &c, 1 } };
	struct ph_config *config;
	size_t body_len = make_body(body, tasks);
	uint64_t frames;
	uint64_t bytes;
	uint64_t cpu;
	size_t before;
	int sent = 0;
	int n;

	memset(&c, 0, sizeof(c));
	c.now_us = US_PER_S;
	snprintf(c.addr[0], PH_ADDR_BYTES, "10.0.0.1:1");
	snprintf(c.addr[1], PH_ADDR_BYTES, "10.0.0.2:1");
	if (ph_config_parse(ph_mem_default(), config_text,
			    sizeof(config_text) - 1, &config, NULL, NULL))
		abort();
	for (n = 0; n < INSTANCES; n++)
		start_core(&c, &ctxs[n], config, slots);
	while (c.now_us < 3 * (uint64_t)US_PER_S)
		step(&c);
	frames = c.frames_sent;
	bytes = c.bytes_sent;
	before = allocated;
	cpu = cpu_us();
	while (c.answers < (uint64_t)jobs) {
		int i;

		for (i = 0; i < per_round && sent < jobs; i++, sent++) {
			char id[PH_ID_BYTES];
			struct ph_request q = {
				.type = PH_REQUEST_SUBMIT,
				.attempt = 1,
				.team = "t",
				.service = "s",
				.id = id,
				.body = body,
				.body_len = body_len,
			};

			snprintf(id, sizeof(id), "a~job-%08d", sent);
			ph_core_request(c.core[sent % INSTANCES], c.now_us,
					(uint64_t)sent + 1, &q);
		}
		step(&c);
	}
	cpu = cpu_us() - cpu;
	for (n = 0; n < 200; n++)
		step(&c);
	printf("%5d %7d %8.2f %9.0f %9.1f %8.2f %9.0f %9.0f\n", tasks, jobs,
	       (double)(c.frames_sent - frames) / jobs,
	       (double)(c.bytes_sent - bytes) / jobs, (double)cpu / jobs,
	       (double)cpu / jobs / tasks, (double)c.answer_bytes / jobs,
	       (double)(allocated - before) / jobs / INSTANCES -
		       (double)c.answer_bytes / jobs);
	for (n = 0; n < INSTANCES; n++)
		ph_core_free(c.core[n]);
	ph_config_free(config);
}

int main(void)
{
	static const int sizes[] = { 1, 10, 50, 100, 200 };
	size_t i;

	ph_log_quiet(1);
	printf("Two instances in one process; per job: messages and bytes "
	       "between them,\nCPU time of both with encoding and decoding, "
	       "bytes of the answer, and bytes\nin the ledger of each instance "
	       "without the answer.\n\n");
	printf("One new job per step of 1 ms:\n");
	printf("tasks    jobs messages     bytes   cpu_us  us/task    answer  "
	       "ledger\n");
	for (i = 0; i < 5; i++)
		measure(sizes[i], 2000, 1, 1000);
	printf("\nTen new jobs per step of 1 ms:\n");
	for (i = 0; i < 5; i++)
		measure(sizes[i], 20000 / (sizes[i] > 20 ? 10 : 1), 10, 4000);
	printf("\nMemory by number of ended jobs of one task in the ledger:\n");
	measure(1, 10000, 50, 4000);
	measure(1, 40000, 50, 4000);
	measure(1, 160000, 50, 4000);
	return 0;
}
