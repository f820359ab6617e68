#include <string.h>

#include "ident.h"
#include "queue.h"

/* Run time granted per round and unit of weight. */
#define QUANTUM_US 100000
#define TEAM_BUCKETS 256U

struct team {
	struct team *chain;
	/** Links in the ring of teams with queued jobs; NULL if idle. */
	struct team *next;
	struct team *prev;
	/** The team's queued jobs in order of arrival. */
	struct ph_job *head;
	struct ph_job *tail;
	/** Run time that the team may still start; negative when overdrawn. */
	int64_t deficit_us;
	uint32_t weight;
	char name[PH_NAME_BYTES];
};

struct ph_queue {
	const struct ph_mem *mem;
	const struct ph_queue_policy *policy;
	struct team *buckets[TEAM_BUCKETS];
	/** Team whose turn it is. */
	struct team *ring;
	size_t jobs;
};

static struct team *team_find(const struct ph_queue *queue, const char *name)
{
	struct team *t = queue->buckets[ph_hash_str(name) % TEAM_BUCKETS];

	while (t && strcmp(t->name, name) != 0)
		t = t->chain;
	return t;
}

/* Finds or adds a job's team. With ph_queue_fifo, all jobs are in one nameless
 * team. */
static struct team *team_get(struct ph_queue *queue, const char *key)
{
	char name[PH_NAME_BYTES] = "";
	struct team **at;
	struct team *t;

	if (queue->policy != &ph_queue_fifo)
		ph_key_team(key, name);
	t = team_find(queue, name);
	if (t)
		return t;
	t = queue->mem->calloc(1, sizeof(*t));
	ph_strcopy(t->name, sizeof(t->name), name);
	at = &queue->buckets[ph_hash_str(name) % TEAM_BUCKETS];
	t->chain = *at;
	*at = t;
	return t;
}

static void ring_add(struct ph_queue *queue, struct team *t)
{
	if (!queue->ring) {
		t->next = t;
		t->prev = t;
		queue->ring = t;
		return;
	}
	t->next = queue->ring;
	t->prev = queue->ring->prev;
	t->prev->next = t;
	t->next->prev = t;
}

static void ring_remove(struct ph_queue *queue, struct team *t)
{
	if (queue->ring == t)
		queue->ring = t->next == t ? NULL : t->next;
	t->prev->next = t->next;
	t->next->prev = t->prev;
	t->next = NULL;
	t->prev = NULL;
	if (t->deficit_us > 0)
		t->deficit_us = 0;
}

struct ph_queue *ph_queue_new(const struct ph_mem *mem,
			      const struct ph_queue_policy *policy)
{
	struct ph_queue *queue = mem->calloc(1, sizeof(*queue));

	queue->mem = mem;
	queue->policy = policy;
	return queue;
}

void ph_queue_free(struct ph_queue *queue)
{
	size_t i;

	if (!queue)
		return;
	for (i = 0; i < TEAM_BUCKETS; i++) {
		struct team *t = queue->buckets[i];

		while (t) {
			struct team *next = t->chain;

			queue->mem->free(t);
			t = next;
		}
	}
	queue->mem->free(queue);
}

void ph_queue_add(struct ph_queue *queue, struct ph_job *job, uint32_t weight)
{
	struct team *t = team_get(queue, job->key);

	if (job->live->enqueued)
		return;
	job->live->enqueued = true;
	job->live->queue_next = NULL;
	t->weight = weight;
	if (!t->head) {
		t->head = job;
		ring_add(queue, t);
	} else {
		t->tail->live->queue_next = job;
	}
	t->tail = job;
	queue->jobs++;
}

void ph_queue_remove(struct ph_queue *queue, struct ph_job *job)
{
	struct team *t = team_get(queue, job->key);
	struct ph_job *prev = NULL;
	struct ph_job *at = t->head;

	if (!job->live->enqueued)
		return;
	while (at != job) {
		prev = at;
		at = at->live->queue_next;
	}
	if (prev)
		prev->live->queue_next = job->live->queue_next;
	else
		t->head = job->live->queue_next;
	if (t->tail == job)
		t->tail = prev;
	job->live->enqueued = false;
	queue->jobs--;
	if (!t->head)
		ring_remove(queue, t);
}

/* Grants quanta in turn until a team has run time left for a start. */
static struct ph_job *fair_pick(struct ph_queue *queue)
{
	while (queue->ring->deficit_us <= 0) {
		queue->ring->deficit_us +=
			(int64_t)QUANTUM_US * queue->ring->weight;
		if (queue->ring->deficit_us <= 0)
			queue->ring = queue->ring->next;
	}
	return queue->ring->head;
}

static void fair_charge(struct ph_queue *queue, struct ph_job *job,
			uint64_t cost_us)
{
	struct team *t = team_get(queue, job->key);

	t->deficit_us -= (int64_t)cost_us;
	if (t->deficit_us <= 0 && queue->ring == t)
		queue->ring = t->next;
}

static struct ph_job *fifo_pick(struct ph_queue *queue)
{
	return queue->ring->head;
}

static void fifo_charge(struct ph_queue *queue, struct ph_job *job,
			uint64_t cost_us)
{
	(void)queue;
	(void)job;
	(void)cost_us;
}

const struct ph_queue_policy ph_queue_fair = {
	.name = "fair",
	.pick = fair_pick,
	.charge = fair_charge,
};

const struct ph_queue_policy ph_queue_fifo = {
	.name = "fifo",
	.pick = fifo_pick,
	.charge = fifo_charge,
};

struct ph_job *ph_queue_pick(struct ph_queue *queue)
{
	if (!queue->ring)
		return NULL;
	return queue->policy->pick(queue);
}

void ph_queue_charge(struct ph_queue *queue, struct ph_job *job,
		     uint64_t cost_us)
{
	queue->policy->charge(queue, job, cost_us);
	if (!job->live->queued)
		ph_queue_remove(queue, job);
}

uint64_t ph_queue_team_tasks(const struct ph_queue *queue, const char *key)
{
	char name[PH_NAME_BYTES] = "";
	struct ph_job *job;
	struct team *t;
	uint64_t tasks = 0;

	if (queue->policy != &ph_queue_fifo)
		ph_key_team(key, name);
	t = team_find(queue, name);
	for (job = t ? t->head : NULL; job; job = job->live->queue_next)
		tasks += job->live->queued;
	return tasks;
}

size_t ph_queue_jobs(const struct ph_queue *queue)
{
	return queue->jobs;
}
