/*
 * Slopes of the deciders: two cores joined by memory run jobs of several
 * sizes. Prints messages, bytes and processor time per job and per task, and
 * the memory of a remembered job, at three sizes or more.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry_core_impl.h"
#include "log.h"

#define NODES 2
#define US_PER_S 1000000U
#define NS_PER_US 1000U
#define STEP_US 1000U
#define PENDING_MAX 65536
#define BODY_BYTES 32768

struct frame {
	int to;
	char *data;
	size_t len;
};

struct done {
	int node;
	uint64_t start_id;
};

struct world {
	struct ph_core *core[NODES];
	char addr[NODES][PH_ADDR_BYTES];
	struct frame frames[PENDING_MAX];
	size_t frame_count;
	struct done dones[PENDING_MAX];
	size_t done_count;
	char roster[4096];
	uint64_t index;
	bool read_pending[NODES];
	int write_pending[NODES];
	uint64_t now_us;
	uint64_t frames_sent;
	uint64_t bytes_sent;
	uint64_t answers;
	uint64_t answer_bytes;
	uint64_t starts;
};

struct port {
	struct world *world;
	int node;
};

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
	struct port *p = ctx;
	struct world *w = p->world;
	struct ph_buf buf;
	int to = strcmp(addr, w->addr[0]) != 0;

	ph_buf_init(&buf, ph_mem_default());
	ph_msg_encode(msg, &buf);
	w->frames_sent++;
	w->bytes_sent += buf.len;
	if (w->frame_count == PENDING_MAX)
		abort();
	w->frames[w->frame_count].to = to;
	w->frames[w->frame_count].len = buf.len;
	w->frames[w->frame_count++].data = ph_buf_detach(&buf);
}

static void on_start(void *ctx, const struct ph_start *start)
{
	struct port *p = ctx;
	struct world *w = p->world;

	if (w->done_count == PENDING_MAX)
		abort();
	w->dones[w->done_count].node = p->node;
	w->dones[w->done_count++].start_id = start->start_id;
	w->starts++;
}

static void on_reply(void *ctx, uint64_t token, int status, const char *doc,
		     size_t len)
{
	struct port *p = ctx;

	(void)token;
	(void)doc;
	if (status != 200)
		return;
	p->world->answers++;
	p->world->answer_bytes += len;
}

static void on_read(void *ctx)
{
	struct port *p = ctx;

	p->world->read_pending[p->node] = true;
}

static void on_write(void *ctx, uint64_t index, const char *doc, size_t len)
{
	struct port *p = ctx;
	struct world *w = p->world;

	w->write_pending[p->node] = index == w->index ? 1 : 2;
	if (index != w->index || len >= sizeof(w->roster))
		return;
	memcpy(w->roster, doc, len);
	w->roster[len] = '\0';
	w->index++;
}

static const struct ph_core_sink sink = {
	.send = on_send,
	.start = on_start,
	.reply = on_reply,
	.roster_read = on_read,
	.roster_write = on_write,
};

static void deliver(struct world *w)
{
	size_t i;

	for (i = 0; i < w->frame_count; i++) {
		struct frame *f = &w->frames[i];
		struct ph_decoded_msg *box;

		if (!ph_msg_decode(ph_mem_default(),
				   f->data + PH_MSG_FRAME_BYTES,
				   f->len - PH_MSG_FRAME_BYTES, &box)) {
			ph_core_message(w->core[f->to], w->now_us,
					ph_decoded_msg_get(box));
			ph_decoded_msg_free(box);
		}
		free(f->data);
	}
	w->frame_count = 0;
}

static void finish_tasks(struct world *w)
{
	size_t count = w->done_count;
	size_t i;

	for (i = 0; i < count; i++)
		ph_core_task_done(w->core[w->dones[i].node], w->now_us,
				  w->dones[i].start_id, PH_OUTCOME_DONE, 200,
				  "{\"ok\":true}", 11);
	w->done_count -= count;
	memmove(w->dones, w->dones + count,
		w->done_count * sizeof(w->dones[0]));
}

static void platform(struct world *w, int node)
{
	if (w->read_pending[node]) {
		w->read_pending[node] = false;
		ph_core_roster_read(w->core[node], w->now_us, 0, w->index,
				    w->index ? w->roster : NULL,
				    strlen(w->roster));
	}
	if (w->write_pending[node]) {
		int err = w->write_pending[node] == 1 ? 0 : PH_ERR_CONFLICT;

		w->write_pending[node] = 0;
		ph_core_roster_written(w->core[node], w->now_us, err);
	}
}

static void step(struct world *w)
{
	int n;

	w->now_us += STEP_US;
	deliver(w);
	finish_tasks(w);
	for (n = 0; n < NODES; n++) {
		platform(w, n);
		if (w->now_us % PH_CORE_TICK_US == 0)
			ph_core_tick(w->core[n], w->now_us);
	}
}

static const char config_text[] =
	"{\"version\":1,\"domains\":[\"a\"],\"services\":[{\"name\":\"s\","
	"\"kinds\":[{\"name\":\"k\"}]}],\"teams\":[{\"name\":\"t\","
	"\"key_sha256\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	"aaaaaaaaaaaa\"}]}";

static void start_core(struct world *w, struct port *port,
		       const struct ph_config *config, uint32_t slots)
{
	char name[2][PH_NAME_BYTES] = { "n0", "n1" };
	struct ph_endpoint_info listed = { .name = "e0",
				    .addr = "127.0.0.1:1",
				    .slots = slots };
	struct ph_core_options o = {
		.mem = &counting_mem,
		.name = name[port->node],
		.domain = "a",
		.addr = w->addr[port->node],
		.incarnation = 1000 + (uint64_t)port->node,
		.ping_every_us = 250000,
		.suspect_after_us = 1000000,
		.solo_after_us = 2000000,
		.remember_us = 3600U * (uint64_t)US_PER_S,
		.hold_us = 3000000,
		.queue_policy = &ph_queue_fair,
		.sink = &sink,
		.ctx = port,
	};

	w->core[port->node] = ph_core_new(&o, w->now_us);
	ph_core_add_seed(w->core[port->node], w->addr[1 - port->node]);
	ph_core_set_config(w->core[port->node], w->now_us, config);
	ph_core_set_endpoints(w->core[port->node], w->now_us, "s", &listed, 1);
}

static size_t make_body(char *body, int tasks)
{
	size_t len = (size_t)sprintf(body, "{\"tasks\":[");
	int i;

	for (i = 0; i < tasks; i++)
		len += (size_t)sprintf(body + len,
				       "%s{\"kind\":\"k\",\"payload\":"
				       "{\"racket\":%d}}",
				       i ? "," : "", i);
	return len + (size_t)sprintf(body + len, "]}");
}

/* Runs jobs one after another in rounds and prints one line. */
static void measure(int tasks, int jobs, int per_round, uint32_t slots)
{
	static struct world w;
	static char body[BODY_BYTES];
	struct port ports[NODES] = { { &w, 0 }, { &w, 1 } };
	struct ph_config *config;
	size_t body_len = make_body(body, tasks);
	uint64_t frames;
	uint64_t bytes;
	uint64_t cpu;
	size_t before;
	int sent = 0;
	int n;

	memset(&w, 0, sizeof(w));
	w.now_us = US_PER_S;
	snprintf(w.addr[0], PH_ADDR_BYTES, "10.0.0.1:1");
	snprintf(w.addr[1], PH_ADDR_BYTES, "10.0.0.2:1");
	if (ph_config_parse(ph_mem_default(), config_text,
			    sizeof(config_text) - 1, &config, NULL, NULL))
		abort();
	for (n = 0; n < NODES; n++)
		start_core(&w, &ports[n], config, slots);
	while (w.now_us < 3 * (uint64_t)US_PER_S)
		step(&w);
	frames = w.frames_sent;
	bytes = w.bytes_sent;
	before = allocated;
	cpu = cpu_us();
	while (w.answers < (uint64_t)jobs) {
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
			ph_core_request(w.core[sent % NODES], w.now_us,
					(uint64_t)sent + 1, &q);
		}
		step(&w);
	}
	cpu = cpu_us() - cpu;
	for (n = 0; n < 200; n++)
		step(&w);
	printf("%5d %7d %8.2f %9.0f %9.1f %8.2f %9.0f %9.0f\n", tasks, jobs,
	       (double)(w.frames_sent - frames) / jobs,
	       (double)(w.bytes_sent - bytes) / jobs, (double)cpu / jobs,
	       (double)cpu / jobs / tasks, (double)w.answer_bytes / jobs,
	       (double)(allocated - before) / jobs / NODES -
		       (double)w.answer_bytes / jobs);
	for (n = 0; n < NODES; n++)
		ph_core_free(w.core[n]);
	ph_config_free(config);
}

int main(void)
{
	static const int sizes[] = { 1, 10, 50, 100, 200 };
	size_t i;

	ph_log_quiet(1);
	printf("Two instances in one process; per job: messages and bytes "
	       "between them,\nprocessor time of both with coding, answer "
	       "bytes, and remembered bytes\nbeside the answer at each.\n\n");
	printf("One job at a time:\n");
	printf("tasks    jobs messages     bytes   cpu_us  us/task    answer  "
	       "beside\n");
	for (i = 0; i < 5; i++)
		measure(sizes[i], 2000, 1, 1000);
	printf("\nMany jobs at a time:\n");
	for (i = 0; i < 5; i++)
		measure(sizes[i], 20000 / (sizes[i] > 20 ? 10 : 1), 10, 4000);
	printf("\nMemory by number of remembered jobs of one task:\n");
	measure(1, 10000, 50, 4000);
	measure(1, 40000, 50, 4000);
	measure(1, 160000, 50, 4000);
	return 0;
}
