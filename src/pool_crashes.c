#include <string.h>

#include "pool_crashes.h"
#include "pool_types.h"

/* Entries kept; the oldest one makes room. */
#define SUSPECTS_MAX 256U
/* What a crash weighs that follows the start of a task; any one may have
 * another cause, most likely one beside other tasks. */
#define WEIGHT_ALONE 3U
#define WEIGHT_BESIDE_OTHERS 1U
/* Losses from which on a task is to run alone also if each of them is doubtful.
 */
#define LOSSES_SUSPECTED 2U
/* How long heartbeats carry an entry: several of them may get lost, and an
 * instance that has just started needs it too. */
#define SENT_FOR_US 5000000U

struct ph_crashes {
	const struct ph_mem *mem;
	uint32_t count;
	struct ph_suspect suspects[SUSPECTS_MAX];
};

struct ph_crashes *ph_crashes_new(const struct ph_mem *mem)
{
	struct ph_crashes *c = mem->calloc(1, sizeof(*c));

	c->mem = mem;
	return c;
}

void ph_crashes_free(struct ph_crashes *c)
{
	if (c)
		c->mem->free(c);
}

static struct ph_suspect *find(struct ph_crashes *c, uint64_t job,
			       uint32_t index)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->suspects[i].job == job && c->suspects[i].index == index)
			return &c->suspects[i];
	return NULL;
}

const struct ph_suspect *ph_crashes_find(const struct ph_crashes *c,
					 uint64_t job, uint32_t index)
{
	return find((struct ph_crashes *)c, job, index);
}

bool ph_crashes_has_job(const struct ph_crashes *c, uint64_t job)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->suspects[i].job == job)
			return true;
	return false;
}

bool ph_crashes_given_up(const struct ph_crashes *c, uint64_t job,
			 uint32_t index)
{
	const struct ph_suspect *s = ph_crashes_find(c, job, index);

	return s && s->crash_weight >= PH_CRASH_WEIGHT_MAX;
}

bool ph_crashes_exhausted(const struct ph_crashes *c, uint64_t job,
			  uint32_t index)
{
	const struct ph_suspect *s = ph_crashes_find(c, job, index);

	return s && s->losses >= PH_LOSSES_MAX;
}

bool ph_crashes_suspected(const struct ph_crashes *c, uint64_t job,
			  uint32_t index)
{
	const struct ph_suspect *s = ph_crashes_find(c, job, index);

	return s && s->losses && s->suspected;
}

/* Finds a task's entry or adds one, in place of the oldest if there are too
 * many. */
static struct ph_suspect *get(struct ph_crashes *c, uint64_t job,
			      uint32_t index)
{
	struct ph_suspect *s = find(c, job, index);
	uint32_t i;

	if (s)
		return s;
	s = &c->suspects[0];
	for (i = 1; i < c->count && c->count == SUSPECTS_MAX; i++)
		if (c->suspects[i].lost_us < s->lost_us)
			s = &c->suspects[i];
	if (c->count < SUSPECTS_MAX)
		s = &c->suspects[c->count++];
	memset(s, 0, sizeof(*s));
	s->job = job;
	s->index = index;
	return s;
}

/* A crash long after the start has most likely another cause; it may also be a
 * network partition that refuses connections. */
static uint32_t crash_weight(const struct ph_loss *loss)
{
	if (!loss->running || !loss->prompt)
		return 0;
	return loss->runs > 1 || loss->doubtful ? WEIGHT_BESIDE_OTHERS
						: WEIGHT_ALONE;
}

static void count_crash(struct ph_suspect *s)
{
	s->crashed = true;
	s->crash_weight += s->last_weight;
}

static void uncount_crash(struct ph_suspect *s)
{
	s->crashed = false;
	s->crash_weight -= s->crash_weight < s->last_weight ? s->crash_weight
							    : s->last_weight;
}

void ph_crashes_add(struct ph_crashes *c, uint64_t now_us, uint64_t job,
		    uint32_t index, const struct ph_loss *loss)
{
	struct ph_suspect *s = get(c, job, index);

	s->losses++;
	s->executor = loss->executor;
	s->lost_us = now_us;
	s->crashed = false;
	s->last_weight = crash_weight(loss);
	if (!loss->doubtful || s->losses >= LOSSES_SUSPECTED)
		s->suspected = true;
	if (loss->crashed)
		count_crash(s);
}

void ph_crashes_executor_back(struct ph_crashes *c, uint32_t executor,
			      uint64_t since_us, bool restarted)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		struct ph_suspect *s = &c->suspects[i];

		if (s->executor != executor || s->lost_us < since_us)
			continue;
		if (restarted && !s->crashed) {
			count_crash(s);
		} else if (!restarted && s->losses) {
			s->losses--;
			if (s->crashed)
				uncount_crash(s);
			s->executor = PH_EXECUTOR_NONE;
		}
	}
}

uint32_t ph_crashes_recent(const struct ph_crashes *c, uint64_t now_us,
			   struct ph_suspect out[PH_SUSPECTS_SENT_MAX])
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		const struct ph_suspect *s = &c->suspects[i];
		uint32_t at;

		if (s->executor == PH_EXECUTOR_NONE || !s->losses ||
		    now_us > s->lost_us + SENT_FOR_US)
			continue;
		at = n < PH_SUSPECTS_SENT_MAX ? n++ : PH_SUSPECTS_SENT_MAX;
		while (at && out[at - 1].lost_us < s->lost_us) {
			if (at < PH_SUSPECTS_SENT_MAX)
				out[at] = out[at - 1];
			at--;
		}
		if (at < PH_SUSPECTS_SENT_MAX)
			out[at] = *s;
	}
	return n;
}

void ph_crashes_heard(struct ph_crashes *c, uint64_t now_us,
		      const struct ph_suspect *heard)
{
	struct ph_suspect *s = get(c, heard->job, heard->index);

	if (heard->losses > s->losses ||
	    heard->crash_weight > s->crash_weight) {
		s->executor = PH_EXECUTOR_NONE;
		s->lost_us = now_us;
	}
	if (heard->losses > s->losses)
		s->losses = heard->losses;
	if (heard->crash_weight > s->crash_weight)
		s->crash_weight = heard->crash_weight;
	s->suspected = s->suspected || heard->suspected;
}
