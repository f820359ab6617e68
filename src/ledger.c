#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ident.h"
#include "ledger.h"

#define INITIAL_BUCKETS 1024U

static const char *const state_names[] = {
	[PH_TASK_QUEUED] = "queued",
	[PH_TASK_BOUND] = "queued",
	[PH_TASK_STARTED] = "running",
	[PH_TASK_NOT_RUN] = "not-run",
	[PH_TASK_MAY_HAVE_RUN] = "may-have-run",
	[PH_TASK_DONE] = "done",
};

void ph_ledger_init(struct ph_ledger *ledger, const struct ph_mem *mem)
{
	memset(ledger, 0, sizeof(*ledger));
	ledger->mem = mem;
	ledger->bucket_count = INITIAL_BUCKETS;
	ledger->buckets = mem->calloc(INITIAL_BUCKETS, sizeof(struct ph_job *));
}

static void live_link(struct ph_ledger *ledger, struct ph_job *job)
{
	job->live->live_next = ledger->live_head;
	if (ledger->live_head)
		ledger->live_head->live->live_prev = job;
	ledger->live_head = job;
	ledger->live_count++;
}

static void live_unlink(struct ph_ledger *ledger, struct ph_job *job)
{
	struct ph_live_job *live = job->live;

	if (live->live_prev)
		live->live_prev->live->live_next = live->live_next;
	else
		ledger->live_head = live->live_next;
	if (live->live_next)
		live->live_next->live->live_prev = live->live_prev;
	ledger->live_count--;
}

void ph_job_free_live(struct ph_ledger *ledger, struct ph_job *job)
{
	const struct ph_mem *mem = ledger->mem;
	struct ph_live_job *live = job->live;
	uint32_t i;

	if (!live)
		return;
	live_unlink(ledger, job);
	for (i = 0; i < live->task_count; i++)
		mem->free(live->tasks[i].result);
	mem->free(live->tasks);
	mem->free(live->body);
	mem->free(live->waiters);
	ph_spec_free(live->spec);
	mem->free(live);
	job->live = NULL;
}

static void job_free(struct ph_ledger *ledger, struct ph_job *job)
{
	ph_job_free_live(ledger, job);
	ledger->answer_bytes -= job->answer_len;
	ledger->mem->free(job->answer);
	ledger->mem->free(job);
	ledger->job_count--;
}

void ph_ledger_clear(struct ph_ledger *ledger)
{
	size_t i;

	for (i = 0; i < ledger->bucket_count; i++) {
		struct ph_job *job = ledger->buckets[i];

		while (job) {
			struct ph_job *next = job->chain;

			job_free(ledger, job);
			job = next;
		}
		ledger->buckets[i] = NULL;
	}
	ledger->ended_head = NULL;
	ledger->ended_tail = NULL;
	ledger->oldest_answered = NULL;
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

void ph_ledger_retire(struct ph_ledger *ledger, uint64_t now_us,
		      uint64_t until_us)
{
	size_t kept = now_us < ledger->retired_until_us
			      ? ledger->retired_key_count
			      : 0;
	size_t i;

	ledger->retired_keys = ledger->mem->realloc(
		ledger->retired_keys,
		(kept + ledger->job_count + 1) * sizeof(*ledger->retired_keys));
	for (i = 0; i < ledger->bucket_count; i++) {
		const struct ph_job *job = ledger->buckets[i];

		for (; job; job = job->chain)
			ledger->retired_keys[kept++] = job->key_hash;
	}
	qsort(ledger->retired_keys, kept, sizeof(*ledger->retired_keys),
	      compare_hashes);
	ledger->retired_key_count = kept;
	ledger->retired_until_us = until_us;
	ph_ledger_clear(ledger);
}

bool ph_ledger_key_retired(const struct ph_ledger *ledger, uint64_t key_hash,
			   uint64_t now_us)
{
	return now_us < ledger->retired_until_us && ledger->retired_key_count &&
	       bsearch(&key_hash, ledger->retired_keys,
		       ledger->retired_key_count, sizeof(key_hash),
		       compare_hashes);
}

void ph_ledger_free(struct ph_ledger *ledger)
{
	ph_ledger_clear(ledger);
	ledger->mem->free(ledger->retired_keys);
	ledger->retired_keys = NULL;
	ledger->mem->free(ledger->buckets);
	ledger->buckets = NULL;
}

static struct ph_job **bucket_of(const struct ph_ledger *ledger, uint64_t hash)
{
	return &ledger->buckets[hash & (ledger->bucket_count - 1)];
}

struct ph_job *ph_ledger_find(const struct ph_ledger *ledger, const char *key)
{
	uint64_t hash = ph_hash_str(key);
	struct ph_job *job = *bucket_of(ledger, hash);

	while (job && (job->key_hash != hash || strcmp(job->key, key) != 0))
		job = job->chain;
	return job;
}

static void grow_buckets(struct ph_ledger *ledger)
{
	struct ph_job **old = ledger->buckets;
	size_t old_count = ledger->bucket_count;
	size_t i;

	ledger->bucket_count *= 2;
	ledger->buckets = ledger->mem->calloc(ledger->bucket_count,
					      sizeof(struct ph_job *));
	for (i = 0; i < old_count; i++) {
		struct ph_job *job = old[i];

		while (job) {
			struct ph_job *next = job->chain;
			struct ph_job **at = bucket_of(ledger, job->key_hash);

			job->chain = *at;
			*at = job;
			job = next;
		}
	}
	ledger->mem->free(old);
}

struct ph_job *ph_ledger_add(struct ph_ledger *ledger, uint64_t now_us,
			     const char *key, const char *service,
			     uint32_t task_count)
{
	const struct ph_mem *mem = ledger->mem;
	size_t key_bytes = strlen(key) + 1;
	struct ph_job *job = mem->calloc(1, sizeof(*job) + key_bytes);
	struct ph_job **at;

	if (ledger->job_count >= ledger->bucket_count)
		grow_buckets(ledger);
	memcpy(job->key, key, key_bytes);
	job->key_hash = ph_hash_str(key);
	job->live = mem->calloc(1, sizeof(*job->live));
	ph_strcopy(job->live->service, PH_NAME_BYTES, service);
	job->live->tasks = mem->calloc(task_count, sizeof(struct ph_task));
	job->live->task_count = task_count;
	job->live->queued = task_count;
	job->live->accepted_us = now_us;
	at = bucket_of(ledger, job->key_hash);
	job->chain = *at;
	*at = job;
	ledger->job_count++;
	live_link(ledger, job);
	return job;
}

void ph_job_add_waiter(struct ph_ledger *ledger, struct ph_job *job,
		       const struct ph_waiter *waiter)
{
	struct ph_live_job *live = job->live;
	size_t bytes = (live->waiter_count + 1) * sizeof(*waiter);

	live->waiters = ledger->mem->realloc(live->waiters, bytes);
	live->waiters[live->waiter_count++] = *waiter;
}

void ph_task_set_state(struct ph_job *job, uint32_t at,
		       enum ph_task_state state)
{
	struct ph_task *task = &job->live->tasks[at];

	job->holders = 0;
	if (task->state == PH_TASK_QUEUED && state != PH_TASK_QUEUED)
		job->live->queued--;
	if (task->state != PH_TASK_QUEUED && state == PH_TASK_QUEUED)
		job->live->queued++;
	task->state = (uint8_t)state;
}

bool ph_job_all_final(const struct ph_job *job)
{
	uint32_t i;

	for (i = 0; i < job->live->task_count; i++)
		if (job->live->tasks[i].state < PH_TASK_NOT_RUN)
			return false;
	return true;
}

/* An endpoint's result as JSON; one that isn't JSON becomes a string. */
static json_t *task_result_json(const struct ph_task *task)
{
	json_t *value;

	if (!task->result)
		return json_null();
	value = json_loadb(task->result, task->result_len, JSON_DECODE_ANY,
			   NULL);
	if (!value)
		value = json_stringn(task->result, task->result_len);
	return value ? value : json_null();
}

static json_t *task_json(const struct ph_task *task)
{
	json_t *item = json_object();

	json_object_set_new(item, "class",
			    json_string(state_names[task->state]));
	if (task->state != PH_TASK_DONE)
		return item;
	json_object_set_new(item, "status", json_integer(task->status));
	json_object_set_new(item, "result", task_result_json(task));
	return item;
}

void ph_job_set_answer(struct ph_ledger *ledger, struct ph_job *job,
		       uint64_t now_us, const char *answer, size_t len)
{
	job->answer_len = (uint32_t)len;
	job->answer = ph_memdup(ledger->mem, answer, len);
	ledger->answer_bytes += len;
	job->ended = true;
	job->holders = 0;
	job->ended_us = now_us;
	job->ended_next = NULL;
	if (ledger->ended_tail)
		ledger->ended_tail->ended_next = job;
	else
		ledger->ended_head = job;
	ledger->ended_tail = job;
	if (!ledger->oldest_answered)
		ledger->oldest_answered = job;
}

void ph_job_end(struct ph_ledger *ledger, struct ph_job *job, uint64_t now_us)
{
	struct ph_live_job *live = job->live;
	json_t *tasks = json_array();
	const char *id = strchr(job->key, '/') + 1;
	bool complete = true;
	json_t *doc;
	char *text;
	uint32_t i;

	for (i = 0; i < live->task_count; i++) {
		if (live->tasks[i].state != PH_TASK_DONE)
			complete = false;
		if (live->tasks[i].state == PH_TASK_NOT_RUN)
			job->answer_awaits_backup = true;
		json_array_append_new(tasks, task_json(&live->tasks[i]));
	}
	if (job->cancelled && !live->task_count)
		job->answer_awaits_backup = true;
	if (job->cancelled && !live->task_count)
		complete = false;
	doc = json_pack("{s:s,s:s,s:s,s:b,s:o}", "id", id, "service",
			live->service, "state",
			complete ? "complete" : "failed", "cancelled",
			(int)job->cancelled, "tasks", tasks);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	ph_job_set_answer(ledger, job, now_us, text, strlen(text));
	free(text);
}

static void ended_unlink(struct ph_ledger *ledger, struct ph_job *job)
{
	struct ph_job *prev = NULL;
	struct ph_job *at = ledger->ended_head;

	while (at != job) {
		prev = at;
		at = at->ended_next;
	}
	if (prev)
		prev->ended_next = job->ended_next;
	else
		ledger->ended_head = job->ended_next;
	if (ledger->ended_tail == job)
		ledger->ended_tail = prev;
	if (ledger->oldest_answered == job)
		ledger->oldest_answered = job->ended_next;
}

void ph_job_reopen(struct ph_ledger *ledger, struct ph_job *job)
{
	struct ph_live_job *live = job->live;
	uint32_t i;

	ended_unlink(ledger, job);
	ledger->answer_bytes -= job->answer_len;
	ledger->mem->free(job->answer);
	job->answer = NULL;
	job->answer_len = 0;
	job->ended = false;
	job->answer_awaits_backup = false;
	job->holders = 0;
	for (i = 0; i < live->task_count; i++)
		if (live->tasks[i].state == PH_TASK_NOT_RUN)
			ph_task_set_state(job, i, PH_TASK_QUEUED);
}

/* Fills the entry of one task; out borrows its result. */
static void fill_task_record(const struct ph_task *task, uint32_t index,
			     struct ph_task_record *out)
{
	out->index = index;
	out->state = task->state;
	if (task->state == PH_TASK_BOUND)
		out->state = PH_TASK_STARTED;
	out->starter = task->starter;
	out->status = task->status;
	out->result = task->result;
	out->result_len = task->result_len;
}

void ph_job_fill_record(const struct ph_job *job, uint64_t now_us,
			bool with_body, struct ph_record *r,
			struct ph_task_record *tasks)
{
	const struct ph_live_job *live = job->live;
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->key = job->key;
	r->service = live ? live->service : "-";
	r->digest = job->digest;
	r->first_attempt = job->first_attempt;
	r->starts_accounted_for = job->starts_accounted_for;
	r->cancelled = job->cancelled;
	r->tasks = tasks;
	r->ended = !live;
	if (r->ended) {
		r->answer = job->answer ? job->answer : "";
		r->answer_len = job->answer_len;
		return;
	}
	r->complete_version = live->complete_version;
	r->task_count = live->task_count;
	if (live->deadline_us > now_us)
		r->remaining_us = live->deadline_us - now_us;
	if (with_body) {
		r->body = live->body;
		r->body_len = live->body_len;
	}
	for (i = 0; i < live->task_count; i++) {
		if (live->tasks[i].state == PH_TASK_QUEUED)
			continue;
		fill_task_record(&live->tasks[i], i, &tasks[r->count]);
		r->count++;
	}
}

/* Overwrites a task with the state and result of a record. */
static void apply_task_record(struct ph_ledger *ledger, struct ph_job *job,
			      const struct ph_task_record *from)
{
	struct ph_task *task = &job->live->tasks[from->index];

	ph_task_set_state(job, from->index, from->state);
	task->starter = from->starter;
	task->status = from->status;
	if (!from->result)
		return;
	ledger->mem->free(task->result);
	task->result = ph_memdup(ledger->mem, from->result, from->result_len);
	task->result_len = from->result_len;
}

/* Merges the state of one task; a conflict leaves the local state as it is. */
static enum ph_merge merge_task(struct ph_ledger *ledger, struct ph_job *job,
				const struct ph_task_record *from,
				uint64_t self,
				void (*release)(void *ctx, void *slot),
				void *ctx)
{
	struct ph_task *task = &job->live->tasks[from->index];
	bool started_here = task->starter == self;
	bool same_starter = task->starter == from->starter;

	if (from->state > PH_TASK_DONE || from->state < PH_TASK_STARTED)
		return PH_MERGE_UNCHANGED;
	if (task->state == PH_TASK_MAY_HAVE_RUN &&
	    from->state == PH_TASK_DONE) {
		apply_task_record(ledger, job, from);
		return PH_MERGE_CHANGED;
	}
	if (task->state == from->state &&
	    (same_starter || from->state == PH_TASK_NOT_RUN))
		return PH_MERGE_UNCHANGED;
	/* The local not-run has not been sent to any caller yet, so another
	 * state replaces it; but a start by the same starter is older than
	 * this not-run, and doesn't. */
	if (task->state == PH_TASK_NOT_RUN && from->state != PH_TASK_NOT_RUN &&
	    (from->state != PH_TASK_STARTED || !same_starter)) {
		apply_task_record(ledger, job, from);
		return PH_MERGE_CHANGED;
	}
	if (task->state >= PH_TASK_NOT_RUN)
		return PH_MERGE_CONFLICT;
	if (task->state == PH_TASK_STARTED && from->state == PH_TASK_NOT_RUN &&
	    !same_starter)
		return PH_MERGE_CONFLICT;
	if (task->state == PH_TASK_STARTED && started_here)
		return PH_MERGE_CONFLICT;
	if (task->state == PH_TASK_STARTED && from->state == PH_TASK_STARTED)
		return PH_MERGE_CONFLICT;
	/* The local state of a task started here is the newest. */
	if (from->state == PH_TASK_STARTED && from->starter == self)
		return PH_MERGE_UNCHANGED;
	if (task->slot) {
		release(ctx, task->slot);
		task->slot = NULL;
	}
	apply_task_record(ledger, job, from);
	return PH_MERGE_CHANGED;
}

/* A job that was cancelled before it was submitted has no tasks until a record
 * brings their number. */
static void set_task_count(struct ph_ledger *ledger, struct ph_job *job,
			   uint32_t count)
{
	struct ph_live_job *live = job->live;

	if (live->task_count || !count)
		return;
	ledger->mem->free(live->tasks);
	live->tasks = ledger->mem->calloc(count, sizeof(struct ph_task));
	live->task_count = count;
	live->queued = count;
}

enum ph_merge ph_job_merge(struct ph_ledger *ledger, struct ph_job *job,
			   const struct ph_record *record, uint64_t self,
			   bool trusted, void (*release)(void *ctx, void *slot),
			   void *ctx)
{
	enum ph_merge outcome = PH_MERGE_UNCHANGED;
	size_t i;

	set_task_count(ledger, job, record->task_count);
	for (i = 0; i < record->count; i++) {
		struct ph_task_record from = record->tasks[i];
		enum ph_merge m;

		if (from.index >= job->live->task_count)
			continue;
		if (from.state == PH_TASK_NOT_RUN && !trusted)
			from.state = PH_TASK_MAY_HAVE_RUN;
		m = merge_task(ledger, job, &from, self, release, ctx);
		if (m > outcome)
			outcome = m;
	}
	return outcome;
}

bool ph_job_unshared(const struct ph_job *job)
{
	return job->first_attempt && job->accepted_here &&
	       job->live->first_seq == 0;
}

static void bucket_unlink(struct ph_ledger *ledger, struct ph_job *job)
{
	struct ph_job **at = bucket_of(ledger, job->key_hash);

	while (*at != job)
		at = &(*at)->chain;
	*at = job->chain;
}

size_t ph_ledger_expire(struct ph_ledger *ledger, uint64_t now_us,
			uint64_t retention_us)
{
	size_t count = 0;

	while (ledger->ended_head) {
		struct ph_job *job = ledger->ended_head;

		if (now_us < job->ended_us + retention_us)
			break;
		if (job->running_refs || job->dirty || job->in_flight)
			break;
		ledger->ended_head = job->ended_next;
		if (ledger->oldest_answered == job)
			ledger->oldest_answered = job->ended_next;
		if (!ledger->ended_head)
			ledger->ended_tail = NULL;
		bucket_unlink(ledger, job);
		job_free(ledger, job);
		count++;
	}
	return count;
}

size_t ph_ledger_trim(struct ph_ledger *ledger, size_t max_bytes)
{
	size_t count = 0;

	while (ledger->oldest_answered && ledger->answer_bytes > max_bytes) {
		struct ph_job *job = ledger->oldest_answered;

		/* Callers still have to receive the answer. */
		if (job->live)
			break;
		ledger->answer_bytes -= job->answer_len;
		ledger->mem->free(job->answer);
		job->answer = NULL;
		job->answer_len = 0;
		ledger->oldest_answered = job->ended_next;
		count++;
	}
	return count;
}

size_t ph_job_ended_bytes(const struct ph_job *job)
{
	return sizeof(*job) + strlen(job->key) + 1 + sizeof(struct ph_job *);
}
