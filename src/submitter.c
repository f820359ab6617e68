#include <string.h>

#include "submitter.h"
#include "ident.h"
#include "log.h"
#include "pool_shard.h"
#include "startup.h"

#define PART "submitter"
/* Interval at which a batch is sent again until its owner accepts it. Leaves
 * time for two round trips to another domain and a busy receiver. */
#define RESEND_INTERVAL_US 80000U
/* Time from the first send after which a batch that was not accepted is given
 * up: it may be stuck in a broken connection. */
#define ACCEPT_TIMEOUT_US 400000U
/* Time in which a lost pool gets a new owner: the failure is detected, another
 * instance claims the pool and its heartbeat arrives here. */
#define NEW_OWNER_TIMEOUT_US 600000U
/* Network round trip to a pool of another domain, added to its expected
 * wait. */
#define OTHER_DOMAIN_ROUND_TRIP_US 4000U
/* A pool is comparable to the best one if its expected wait is at most twice
 * the shortest wait plus this much. */
#define COMPARABLE_WAIT_US 100000U
/* A pool without free capacity is still chosen with a weight of its capacity
 * divided by this. */
#define MIN_WEIGHT_DIVISOR 4U
/* Retry-after sent to the caller if no pool can be reached. */
#define NO_POOL_RETRY_AFTER_US 1000000U
/* Retry-after sent to the caller if all domains are evacuated: the time within
 * which the end of an evacuation takes effect everywhere. */
#define EVACUATED_RETRY_AFTER_US 5000000U
#define PERMILLE 1000U
/* The choice of a pool among comparable ones uses the lower bits of the hash of
 * a job's id, that of the jobs for a domain whose load is being restored the
 * upper ones. */
#define SHARE_HASH_SHIFT 32U
/* Pools that a job is sent to before it is refused. */
#define POOLS_TRIED_MAX 4U
/* A stopping instance accepts only jobs that end before it exits. Declared run
 * times are rough, so that a job may take up to this many times its own. */
#define STOP_RUN_TIME_FACTOR 2U
/* Time kept for sending the answer before the process exits. */
#define STOP_ANSWER_MARGIN_US 300000U
/* Retry-after sent to callers that a stopping instance refuses. */
#define STOPPING_RETRY_AFTER_US 1000000U
/* How long a cancellation is sent again without an acknowledgement, and what
 * the owner is told to have been received is held: until the owner has ended
 * the batch for that, even if it first stands still for as long as it can
 * without giving up its pool. */
#define CANCEL_RESEND_FOR_US 2000000U

/* A job whose caller waits for the answer. */
struct job {
	struct job *next;
	/** Names the caller's request. */
	uint64_t token;
	/** Sequence number of the batch; a resumed one gets a new one. */
	uint64_t seq;
	struct ph_batch_request *batch;
	uint64_t arrived_us;
	/** Name of the pool that the batch was sent to. */
	const char *pool;
	struct ph_owner owner;
	uint64_t sent_us;
	uint64_t first_sent_us;
	bool accepted;
	/** The owner's clock when it last told of starts; 0: it has not. */
	uint64_t told_clock_us;
	/** When the ages of the batch's unconfirmed starts were valid. */
	uint64_t ages_us;
	/** When the owner died or lost the pool; 0: it still owns it. */
	uint64_t owner_lost_us;
	/** During start-up: no pool has an owner yet. */
	bool waiting_for_first_owner;
	/** The last owner has returned the batch; there is no new one yet. */
	bool waiting_for_owner;
	/** waiting_for_owner, and no task of the batch was ever started. */
	bool not_started;
	uint32_t pools_tried;
	/** Indices of the pools that the job was sent to. */
	uint32_t tried_pools[POOLS_TRIED_MAX];
	/** Of these, in the same order: the pool has returned the job since its
	 * domain is evacuated. */
	bool tried_evacuated[POOLS_TRIED_MAX];
	/** Shortest retry-after of the pools that refused; 0: none did. */
	uint64_t retry_after_us;
};

/** A cancellation that the owner of the batch has not acknowledged. */
struct cancellation {
	struct cancellation *next;
	struct ph_owner owner;
	uint64_t seq;
	uint64_t created_us;
	uint64_t sent_us;
	/** What the owner is told to have been received until it acknowledges
	 * this; see ph_submitter_echo_us(). */
	uint64_t echo_us;
};

struct ph_submitter {
	const struct ph_mem *mem;
	struct ph_submitter_options opt;
	uint64_t last_seq;
	struct job *jobs;
	struct cancellation *cancellations;
	/** When this process has to end all jobs; 0: it is not stopping. */
	uint64_t end_us;
	/** What this instance sent to each pool since its owner's last
	 * heartbeat, by index of the pool. */
	struct sent {
		const char *pool;
		/** When that heartbeat arrived. */
		uint64_t heard_us;
		/** Millicores x microseconds. */
		uint64_t sent_milli_us;
		/** Millicores. */
		uint64_t sent_milli;
	} * sent;
	/** Working array of choose_pool(), pool_count long. */
	struct ph_pool_candidate *candidates;
	/** Failure domains of the pools, by their indices. */
	const char **domains;
	/** Length of these arrays. */
	size_t pool_count;
};

struct ph_submitter *
ph_submitter_new(const struct ph_submitter_options *options)
{
	struct ph_submitter *s = options->mem->calloc(1, sizeof(*s));

	s->mem = options->mem;
	s->opt = *options;
	s->last_seq = options->first_seq;
	return s;
}

static void job_free(struct ph_submitter *s, struct job *j)
{
	struct job **at = &s->jobs;

	while (*at != j)
		at = &(*at)->next;
	*at = j->next;
	ph_batch_request_free(s->mem, j->batch);
	s->mem->free(j);
}

void ph_submitter_free(struct ph_submitter *s)
{
	if (!s)
		return;
	while (s->jobs)
		job_free(s, s->jobs);
	while (s->cancellations) {
		struct cancellation *c = s->cancellations;

		s->cancellations = c->next;
		s->mem->free(c);
	}
	s->mem->free(s->sent);
	s->mem->free(s->candidates);
	s->mem->free(s->domains);
	s->mem->free(s);
}

size_t ph_submitter_count(const struct ph_submitter *s)
{
	const struct job *j;
	size_t n = 0;

	for (j = s->jobs; j; j = j->next)
		n++;
	return n;
}

/* ## Choice of a pool */

static uint64_t requested_milli(const struct ph_batch_request *batch)
{
	return (uint64_t)batch->count * batch->need.cpu_milli;
}

/* Expected wait: queued work, plus the batch's work that finds no free
 * capacity, over the pool's capacity. */
static uint64_t queue_wait_us(const struct ph_pool_load *load,
			      const struct ph_batch_request *batch)
{
	uint64_t need = requested_milli(batch);
	uint64_t missing = 0;

	if (!load->capacity_milli)
		return UINT64_MAX / 2;
	if (need > load->free_milli)
		missing = (need - load->free_milli) * batch->estimate_us;
	return (load->backlog_milli_us + missing) / load->capacity_milli;
}

static uint64_t queue_and_network_wait_us(const struct ph_pool_load *load,
					  bool own,
					  const struct ph_batch_request *batch)
{
	return queue_wait_us(load, batch) +
	       (own ? 0 : OTHER_DOMAIN_ROUND_TRIP_US);
}

static size_t pick_best(const struct ph_pool_candidate *list, size_t count,
			uint64_t key)
{
	size_t best = 0;
	size_t i;

	(void)key;
	for (i = 1; i < count; i++)
		if (list[i].wait_us < list[best].wait_us)
			best = i;
	return best;
}

/* Weight of a pool in the random choice: its free capacity and a share of its
 * total, since a pool that its last heartbeat reported as full may have free
 * capacity by now. */
static uint64_t choice_weight(const struct ph_pool_candidate *c)
{
	return (uint64_t)c->free_milli +
	       c->capacity_milli / MIN_WEIGHT_DIVISOR + 1;
}

/* True if a pool may be as good as the best one: both are in this
 * instance's domain or both in others, and their waits are so close that the
 * order may have changed since the loads were reported. */
static bool comparable(const struct ph_pool_candidate *c,
		       const struct ph_pool_candidate *best)
{
	return c->own_domain == best->own_domain &&
	       c->wait_us <= 2 * best->wait_us + COMPARABLE_WAIT_US;
}

/* Chooses at random, weighted by capacity, among the pools that are comparable
 * to the best one. */
static size_t pick_spread(const struct ph_pool_candidate *list, size_t count,
			  uint64_t key)
{
	size_t best = pick_best(list, count, key);
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (comparable(&list[i], &list[best]))
			sum += choice_weight(&list[i]);
	if (!sum)
		return best;
	key %= sum;
	for (i = 0; i < count; i++) {
		if (!comparable(&list[i], &list[best]))
			continue;
		if (key < choice_weight(&list[i]))
			return i;
		key -= choice_weight(&list[i]);
	}
	return best;
}

const struct ph_pool_choice_policy ph_pool_choice_spread = {
	"spread", queue_and_network_wait_us, pick_spread
};
const struct ph_pool_choice_policy ph_pool_choice_wait = {
	"wait", queue_and_network_wait_us, pick_best
};

static uint64_t own_domain_only_wait_us(const struct ph_pool_load *load,
					bool own,
					const struct ph_batch_request *batch)
{
	(void)load;
	(void)batch;
	return own ? 0 : UINT64_MAX / 4;
}

const struct ph_pool_choice_policy ph_pool_choice_none = {
	"none", own_domain_only_wait_us, pick_best
};

const struct ph_pool_choice_policy *const ph_pool_choice_policies[] = {
	&ph_pool_choice_spread,
	&ph_pool_choice_wait,
	&ph_pool_choice_none,
	NULL,
};

/* Adds what this instance has sent to a pool since its owner's last heartbeat
 * to the load that the heartbeat reported. */
static void add_sent_load(struct ph_submitter *s, size_t i, const char *pool,
			  struct ph_owner *o)
{
	if (!s->sent[i].pool || strcmp(s->sent[i].pool, pool) != 0 ||
	    s->sent[i].heard_us != o->heard_us) {
		s->sent[i].pool = pool;
		s->sent[i].heard_us = o->heard_us;
		s->sent[i].sent_milli = 0;
		s->sent[i].sent_milli_us = 0;
	}
	if (s->sent[i].sent_milli > o->load.free_milli) {
		o->load.backlog_milli_us += s->sent[i].sent_milli_us;
		o->load.free_milli = 0;
	} else {
		o->load.free_milli -= (uint32_t)s->sent[i].sent_milli;
	}
}

/* Whether a job was sent to a pool, or returned by a pool of the same domain
 * since that is evacuated. */
static bool was_tried(const struct ph_submitter *s, const struct job *j,
		      uint32_t pool)
{
	uint32_t i;

	for (i = 0; i < j->pools_tried && i < POOLS_TRIED_MAX; i++)
		if (j->tried_pools[i] == pool ||
		    (j->tried_evacuated[i] &&
		     s->domains[j->tried_pools[i]] == s->domains[pool]))
			return true;
	return false;
}

static void grow_pools(struct ph_submitter *s, const char *pool_name)
{
	s->domains = ph_array_grow(s->mem, s->domains, s->pool_count,
				   sizeof(*s->domains));
	s->domains[s->pool_count] = ph_pool_shard_domain(pool_name);
	s->sent =
		ph_array_grow(s->mem, s->sent, s->pool_count, sizeof(*s->sent));
	s->candidates = ph_array_grow(s->mem, s->candidates, s->pool_count,
				      sizeof(*s->candidates));
	s->pool_count++;
}

/* Finds the owner of a pool with its load as estimated here; false if the pool
 * has no owner or no usable executor. */
static bool owner_with_load(struct ph_submitter *s, uint32_t pool,
			    const char *pool_name, uint64_t now_us,
			    struct ph_owner *o)
{
	if (!ph_cluster_owner(s->opt.cluster, now_us, pool_name, o))
		return false;
	if (o->self)
		s->opt.sink->own_load(s->opt.ctx, pool_name, &o->load);
	else
		add_sent_load(s, pool, pool_name, o);
	return o->load.usable;
}

/* Share of its usual load that a pool's domain gets, in thousandths. */
static uint32_t share_permille(const struct ph_submitter *s, uint32_t pool,
			       uint64_t now_us)
{
	return s->opt.evacuation
		       ? ph_evacuation_share_permille(s->opt.evacuation, now_us,
						      s->domains[pool])
		       : PERMILLE;
}

/* Drops the candidates whose domain gets only part of its load and is not to
 * get this job, unless no others are left: a job is not refused to spare
 * executors. Returns the number of those that stay. */
static size_t drop_returning(struct ph_submitter *s, const struct job *j,
			     size_t count, uint64_t now_us)
{
	uint32_t point =
		(uint32_t)((ph_hash_str(j->batch->job) >> SHARE_HASH_SHIFT) %
			   PERMILLE);
	size_t kept = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (point < share_permille(s, s->candidates[i].pool, now_us))
			s->candidates[kept++] = s->candidates[i];
	return kept || (j->pools_tried && !j->batch->resumed) ? kept : count;
}

/* Whether all known domains with pools are evacuated. */
static bool all_evacuated(struct ph_submitter *s, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < s->pool_count; i++)
		if (share_permille(s, (uint32_t)i, now_us))
			return false;
	return s->pool_count > 0;
}

/* Chooses a pool for a job among those that it was not sent to yet; false if
 * none of them has an owner, or their domains are evacuated. */
static bool choose_pool(struct ph_submitter *s, struct job *j, uint64_t now_us,
			uint32_t *pool)
{
	struct ph_pool_candidate *c;
	const char *pool_name;
	struct ph_owner o;
	size_t n = 0;
	uint32_t i;

	for (i = 0; (pool_name = ph_cluster_pool_name(s->opt.cluster, i));
	     i++) {
		if (i == s->pool_count)
			grow_pools(s, pool_name);
		if (was_tried(s, j, i) || !share_permille(s, i, now_us) ||
		    !owner_with_load(s, i, pool_name, now_us, &o))
			continue;
		c = &s->candidates[n++];
		c->pool = i;
		c->free_milli = o.load.free_milli;
		c->capacity_milli = o.load.capacity_milli;
		c->own_domain = ph_pool_shard_in(pool_name, s->opt.domain);
		c->wait_us = s->opt.policy->wait_us(&o.load, c->own_domain,
						    j->batch);
	}
	n = drop_returning(s, j, n, now_us);
	if (!n)
		return false;
	i = s->candidates[s->opt.policy->pick(s->candidates, n,
					      ph_hash_str(j->batch->job))]
		    .pool;
	pool_name = ph_cluster_pool_name(s->opt.cluster, i);
	if (!owner_with_load(s, i, pool_name, now_us, &j->owner))
		return false;
	j->pool = pool_name;
	*pool = i;
	return true;
}

/* ## Messages to owners */

/* Brings the ages of the batch's unconfirmed starts up to date, and forgets
 * those that can't be carried out any more. */
static void update_ages(struct job *j, uint64_t now_us)
{
	struct ph_unconfirmed *u = &j->batch->unconfirmed;
	uint64_t passed_us = now_us - j->ages_us;
	uint32_t kept = 0;
	uint32_t i;

	j->ages_us = now_us;
	for (i = 0; i < u->count; i++) {
		u->starts[kept] = u->starts[i];
		u->starts[kept].age_us += passed_us;
		kept += u->starts[kept].age_us < PH_LATE_START_US;
	}
	u->count = kept;
}

static void send_batch(struct ph_submitter *s, struct job *j, uint64_t now_us)
{
	struct ph_poolmsg m = { .type = PH_POOLMSG_SUBMIT, .seq = j->seq };

	m.pool = j->pool;
	m.owner_incarnation = j->owner.incarnation;
	j->batch->age_us = now_us - j->arrived_us;
	update_ages(j, now_us);
	m.batch_request = j->batch;
	j->sent_us = now_us;
	s->opt.sink->send(s->opt.ctx, &j->owner, &m);
}

static void send_cancellation(struct ph_submitter *s, struct cancellation *c,
			      uint64_t now_us)
{
	struct ph_poolmsg m = { .type = PH_POOLMSG_CANCEL, .seq = c->seq };

	c->sent_us = now_us;
	s->opt.sink->send(s->opt.ctx, &c->owner, &m);
}

/* Cancels a job's batch at its owner until the owner acknowledges that. */
static void cancel(struct ph_submitter *s, const struct job *j, uint64_t now_us)
{
	struct cancellation *c = s->mem->calloc(1, sizeof(*c));

	c->owner = j->owner;
	c->seq = j->seq;
	c->created_us = now_us;
	c->echo_us = ph_cluster_echo_us(s->opt.cluster, c->owner.name);
	c->next = s->cancellations;
	s->cancellations = c;
	send_cancellation(s, c, now_us);
}

static void resend_cancellations(struct ph_submitter *s, uint64_t now_us)
{
	struct cancellation **at = &s->cancellations;

	while (*at) {
		struct cancellation *c = *at;

		if (now_us > c->created_us + CANCEL_RESEND_FOR_US) {
			*at = c->next;
			s->mem->free(c);
			continue;
		}
		if (now_us > c->sent_us + RESEND_INTERVAL_US)
			send_cancellation(s, c, now_us);
		at = &c->next;
	}
}

uint64_t ph_submitter_echo_us(const struct ph_submitter *s,
			      const struct ph_member *peer)
{
	const struct cancellation *c;
	uint64_t echo_us = peer->echo_us;

	for (c = s->cancellations; c; c = c->next)
		if (c->echo_us < echo_us && !strcmp(c->owner.name, peer->name))
			echo_us = c->echo_us;
	return echo_us;
}

void ph_submitter_cancelled(struct ph_submitter *s, uint64_t seq)
{
	struct cancellation **at = &s->cancellations;
	struct cancellation *c;

	while (*at && (*at)->seq != seq)
		at = &(*at)->next;
	c = *at;
	if (!c)
		return;
	*at = c->next;
	s->mem->free(c);
}

/* Sends a batch under a new sequence number, and notes when it was sent on the
 * clock of its owner. */
static void send_first(struct ph_submitter *s, struct job *j, uint64_t now_us)
{
	j->seq = ++s->last_seq;
	j->accepted = false;
	j->told_clock_us = 0;
	j->owner_lost_us = 0;
	j->waiting_for_owner = false;
	j->not_started = false;
	j->first_sent_us = now_us;
	j->batch->sent_us =
		j->owner.clock_us
			? j->owner.clock_us + (now_us - j->owner.heard_us)
			: 0;
	send_batch(s, j, now_us);
}

static void answer(struct ph_submitter *s, struct job *j,
		   enum ph_job_outcome outcome, uint64_t retry_after_us,
		   const char *reason, uint64_t now_us)
{
	static const char *const names[] = { "completed", "failed", "not_run",
					     "unknown" };

	ph_event(PART,
		 "event=job_end job=%s outcome=%s reason=\"%s\" pool=%s "
		 "owner=%s pools_tried=%u took_us=%llu target_us=%llu "
		 "retry_after_us=%llu",
		 j->batch->job, names[outcome], reason, j->pool, j->owner.name,
		 j->pools_tried, (unsigned long long)(now_us - j->arrived_us),
		 (unsigned long long)j->batch->target_us,
		 (unsigned long long)retry_after_us);
	s->opt.sink->answer(s->opt.ctx, j->token, outcome, retry_after_us,
			    now_us - j->arrived_us);
	job_free(s, j);
}

/* A caller that has left may have submitted the job again elsewhere, so its
 * tasks must not start here. Its request may have waited for longer than it
 * did: unread while the process stood still, or for a configuration or an
 * owner. Checked whenever a batch is sent to an owner. */
static bool caller_left(struct ph_submitter *s, const struct job *j)
{
	return !s->opt.sink->caller_connected(s->opt.ctx, j->token);
}

static uint32_t pools_tried_max(const struct ph_submitter *s)
{
	return ph_mechanism_on(s->opt.off, PH_MECHANISM_SECOND_POOL)
		       ? POOLS_TRIED_MAX
		       : 1;
}

static uint64_t retry_after_us(const struct job *j)
{
	return j->retry_after_us ? j->retry_after_us : NO_POOL_RETRY_AFTER_US;
}

/* Answers a job for which there is no pool. */
static void answer_no_pool(struct ph_submitter *s, struct job *j,
			   uint64_t now_us)
{
	if (j->batch->resumed)
		answer(s, j, PH_JOB_UNKNOWN, 0,
		       "no pool for the rest of an evacuated job", now_us);
	else if (all_evacuated(s, now_us))
		answer(s, j, PH_JOB_NOT_RUN, EVACUATED_RETRY_AFTER_US,
		       "all domains are evacuated", now_us);
	else
		answer(s, j, PH_JOB_NOT_RUN, retry_after_us(j),
		       j->pools_tried ? "no pool has room"
				      : "no pool can be reached",
		       now_us);
}

/* Whether a job for which there is no pool may wait for the first owner. */
static bool may_await_owner(struct ph_submitter *s, const struct job *j,
			    uint64_t now_us)
{
	return !j->pools_tried && !all_evacuated(s, now_us) &&
	       ph_mechanism_on(s->opt.off, PH_MECHANISM_START_WAIT) &&
	       ph_startup_may_wait(s->opt.startup_end_us, now_us, j->arrived_us,
				   j->batch->caller_timeout_us);
}

/* Sends a batch to the pool that choose_pool() has chosen. */
static void send_to_pool(struct ph_submitter *s, struct job *j, uint32_t pool,
			 uint64_t now_us)
{
	uint64_t milli = requested_milli(j->batch);

	j->tried_evacuated[j->pools_tried] = false;
	j->tried_pools[j->pools_tried++] = pool;
	s->sent[pool].sent_milli += milli;
	s->sent[pool].sent_milli_us += milli * j->batch->estimate_us;
	send_first(s, j, now_us);
}

/* Sends a job to a pool; none of its tasks has run yet, or it was returned by
 * an evacuated domain where none of its runs is left. Answers "not run", or
 * "unknown" in the second case, if no pool is left, or if another one would run
 * it too late. During start-up the job waits for the first owner of a pool
 * instead. */
static void dispatch(struct ph_submitter *s, struct job *j, uint64_t now_us)
{
	uint32_t i = 0;

	j->waiting_for_first_owner = false;
	if (caller_left(s, j)) {
		answer(s, j,
		       j->batch->resumed ? PH_JOB_UNKNOWN : PH_JOB_NOT_RUN, 0,
		       "caller has left", now_us);
		return;
	}
	/* A pool lets started jobs go on until the caller's deadline. */
	if (!j->batch->resumed &&
	    ph_batch_request_too_late(j->batch, now_us - j->arrived_us)) {
		answer(s, j, PH_JOB_NOT_RUN, retry_after_us(j),
		       j->pools_tried ? "too late for another pool"
				      : "too late for a first pool",
		       now_us);
		return;
	}
	if (j->pools_tried >= pools_tried_max(s) ||
	    !choose_pool(s, j, now_us, &i)) {
		if (may_await_owner(s, j, now_us))
			j->waiting_for_first_owner = true;
		else
			answer_no_pool(s, j, now_us);
		return;
	}
	send_to_pool(s, j, i, now_us);
}

/* ## Events */

static struct job *find_job(struct ph_submitter *s, uint64_t seq)
{
	struct job *j;

	for (j = s->jobs; j; j = j->next)
		if (j->seq == seq)
			return j;
	return NULL;
}

void ph_submitter_stopping(struct ph_submitter *s, uint64_t end_us)
{
	s->end_us = end_us;
}

/* True if this process stops and a job may outlast it. Callers submit jobs over
 * open connections until the process has exited. */
static bool ends_too_late(const struct ph_submitter *s,
			  const struct ph_batch_request *batch, uint64_t now_us)
{
	return s->end_us && now_us + STOP_RUN_TIME_FACTOR * batch->estimate_us +
					    STOP_ANSWER_MARGIN_US >
				    s->end_us;
}

void ph_submitter_submit(struct ph_submitter *s, uint64_t now_us,
			 uint64_t token, struct ph_batch_request *batch)
{
	struct job *j = s->mem->calloc(1, sizeof(*j));

	j->token = token;
	j->batch = batch;
	j->arrived_us = now_us - batch->age_us;
	j->pool = "";
	j->owner.name = "";
	j->next = s->jobs;
	s->jobs = j;
	if (ends_too_late(s, batch, now_us))
		answer(s, j, PH_JOB_NOT_RUN, STOPPING_RETRY_AFTER_US,
		       "instance is stopping", now_us);
	else
		dispatch(s, j, now_us);
}

enum ph_job_outcome ph_submitter_caller_disconnected(struct ph_submitter *s,
						     uint64_t now_us,
						     uint64_t token)
{
	enum ph_job_outcome outcome;
	struct job *j;

	for (j = s->jobs; j; j = j->next)
		if (j->token == token)
			break;
	if (!j)
		return PH_JOB_NOT_RUN;
	outcome = j->pools_tried ? PH_JOB_UNKNOWN : PH_JOB_NOT_RUN;
	ph_event(PART,
		 "event=caller_disconnected job=%s pool=%s after_us=%llu "
		 "pools_tried=%u",
		 j->batch->job, j->pool,
		 (unsigned long long)(now_us - j->arrived_us), j->pools_tried);
	if (!j->waiting_for_owner && !j->waiting_for_first_owner)
		cancel(s, j, now_us);
	job_free(s, j);
	return outcome;
}

size_t ph_submitter_cancel_job(struct ph_submitter *s, uint64_t now_us,
			       const char *job)
{
	struct job *j = s->jobs;
	size_t count = 0;

	while (j) {
		struct job *next = j->next;

		if (!strcmp(j->batch->job, job)) {
			if (!j->waiting_for_owner &&
			    !j->waiting_for_first_owner)
				cancel(s, j, now_us);
			answer(s, j, PH_JOB_FAILED, 0, "cancelled", now_us);
			count++;
		}
		j = next;
	}
	return count;
}

/* Keeps what an owner has told of starts that may still be carried out. */
static void keep_starts(struct job *j, const struct ph_unconfirmed *told,
			uint64_t now_us)
{
	struct ph_unconfirmed *kept = &j->batch->unconfirmed;
	uint32_t i;

	update_ages(j, now_us);
	kept->incomplete = kept->incomplete || told->incomplete;
	for (i = 0; i < told->count; i++)
		ph_unconfirmed_add(kept, &told->starts[i]);
}

void ph_submitter_accepted(struct ph_submitter *s, uint64_t now_us,
			   uint64_t seq, uint64_t clock_us,
			   const struct ph_unconfirmed *starts)
{
	struct job *j = find_job(s, seq);

	if (!j)
		return;
	j->accepted = true;
	if (clock_us > j->told_clock_us)
		j->told_clock_us = clock_us;
	keep_starts(j, starts, now_us);
}

/* Whether a heartbeat tells all starts of a job that may still be carried out:
 * its owner had accepted it by then, and told no more since. */
static bool reports_all(const struct job *j, const struct ph_poolmsg *heartbeat)
{
	return heartbeat->has_starts && !heartbeat->starts.incomplete &&
	       !j->waiting_for_owner && j->told_clock_us &&
	       heartbeat->clock_us >= j->told_clock_us &&
	       heartbeat->incarnation == j->owner.incarnation &&
	       !strcmp(heartbeat->name, j->owner.name);
}

void ph_submitter_starts_reported(struct ph_submitter *s, uint64_t now_us,
				  const struct ph_poolmsg *heartbeat)
{
	const struct ph_start_report *report = &heartbeat->starts;
	struct ph_unconfirmed one = { .count = 1 };
	struct job *j;
	uint32_t i;

	for (j = s->jobs; j; j = j->next)
		if (reports_all(j, heartbeat))
			j->batch->unconfirmed.count = 0;
	for (i = 0; i < report->count; i++) {
		j = find_job(s, report->starts[i].seq);
		if (!j || j->waiting_for_owner)
			continue;
		one.starts[0] = report->starts[i].start;
		keep_starts(j, &one, now_us);
	}
}

/* Marks the batch as resumed, with the executors where its tasks may be running
 * as the old owner reported them; unknown without its result. */
static void set_run_locations(struct job *j, const struct ph_result *result)
{
	uint32_t i;

	for (i = 0; i < j->batch->count; i++)
		j->batch->possible_executor[i] =
			result && i < result->count
				? result->possible_executor[i]
				: PH_EXECUTOR_UNKNOWN;
	j->batch->resumed = true;
}

/* Takes over the state of a batch that was returned. */
static void take_state(struct job *j, const struct ph_result *result,
		       uint64_t now_us)
{
	size_t i;

	j->not_started = result->not_started && !j->batch->resumed;
	/* An owner that had accepted the batch tells all. */
	if (j->told_clock_us)
		j->batch->unconfirmed.count = 0;
	keep_starts(j, &result->unconfirmed, now_us);
	for (i = 0; i < sizeof(result->done); i++)
		j->batch->done[i] |= result->done[i];
	if (!j->not_started)
		set_run_locations(j, result);
}

/* Takes over the state of a batch whose owner has lost the pool. */
static void wait_for_new_owner(struct job *j, const struct ph_result *result,
			       uint64_t now_us)
{
	take_state(j, result, now_us);
	j->waiting_for_owner = true;
	j->owner_lost_us = now_us;
}

/* A pool that the job was sent to has returned it as its domain is evacuated.
 */
static void note_evacuated(struct job *j)
{
	if (j->pools_tried)
		j->tried_evacuated[j->pools_tried - 1] = true;
}

/* The rest of a job may go to pools that have refused the whole of it. */
static void forget_refusals(struct job *j)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < j->pools_tried; i++) {
		if (!j->tried_evacuated[i])
			continue;
		j->tried_pools[kept] = j->tried_pools[i];
		j->tried_evacuated[kept++] = true;
	}
	j->pools_tried = kept;
}

/* Sends the rest of a job, of which no run is left, to a pool of another
 * domain. */
static void continue_elsewhere(struct ph_submitter *s, struct job *j,
			       const struct ph_result *result, uint64_t now_us)
{
	ph_event(PART, "event=job_evacuated job=%s pool=%s owner=%s",
		 j->batch->job, j->pool, j->owner.name);
	take_state(j, result, now_us);
	note_evacuated(j);
	forget_refusals(j);
	dispatch(s, j, now_us);
}

/* Whether the owner that the batch was sent to may still have it: it has not
 * returned it, and has not restarted. Messages to an owner that is not heard
 * may still arrive there. */
static bool may_keep_batch(const struct job *j, const struct ph_owner *next)
{
	return !j->waiting_for_owner && strcmp(next->name, j->owner.name) != 0;
}

/* Offers a returned batch of which no task was started to another pool, as the
 * pool's new owner is not known yet. Returns false if there is none. */
static bool offer_elsewhere(struct ph_submitter *s, struct job *j,
			    uint64_t now_us)
{
	const char *from = j->pool;
	uint32_t pool = 0;

	if (!j->not_started || j->pools_tried >= pools_tried_max(s) ||
	    caller_left(s, j) || !choose_pool(s, j, now_us, &pool))
		return false;
	ph_event(PART,
		 "event=job_offered_elsewhere job=%s old_pool=%s pool=%s "
		 "owner=%s lost_for_us=%llu",
		 j->batch->job, from, j->pool, j->owner.name,
		 (unsigned long long)(now_us - j->owner_lost_us));
	send_to_pool(s, j, pool, now_us);
	return true;
}

/* Resumes a batch at the pool's new owner, which claims the orphaned runs of
 * the job. The earlier owner would go on renewing their leases, so the batch is
 * cancelled there. A returned batch of which no task was started is sent there
 * as a new one, or to another pool. Without a new owner in time the answer is
 * "unknown", or "not run" for such a batch. */
static void resume_at_new_owner(struct ph_submitter *s, struct job *j,
				uint64_t now_us)
{
	struct ph_owner o;

	if (ph_cluster_owner(s->opt.cluster, now_us, j->pool, &o) &&
	    (o.token != j->owner.token || strcmp(o.name, j->owner.name) != 0)) {
		ph_event(PART,
			 "event=job_resumed job=%s pool=%s old_owner=%s "
			 "old_token=%llu new_owner=%s new_token=%llu "
			 "returned=%d lost_for_us=%llu",
			 j->batch->job, j->pool, j->owner.name,
			 (unsigned long long)j->owner.token, o.name,
			 (unsigned long long)o.token, j->waiting_for_owner,
			 (unsigned long long)(now_us - j->owner_lost_us));
		if (may_keep_batch(j, &o))
			cancel(s, j, now_us);
		if (caller_left(s, j)) {
			answer(s, j,
			       j->not_started ? PH_JOB_NOT_RUN : PH_JOB_UNKNOWN,
			       0, "caller has left", now_us);
			return;
		}
		if (!j->waiting_for_owner)
			set_run_locations(j, NULL);
		j->owner = o;
		send_first(s, j, now_us);
		return;
	}
	if (offer_elsewhere(s, j, now_us) ||
	    now_us <= j->owner_lost_us + NEW_OWNER_TIMEOUT_US)
		return;
	if (!j->waiting_for_owner)
		cancel(s, j, now_us);
	answer(s, j, j->not_started ? PH_JOB_NOT_RUN : PH_JOB_UNKNOWN,
	       j->not_started ? retry_after_us(j) : 0,
	       "pool owner lost, no new owner in time", now_us);
}

void ph_submitter_result(struct ph_submitter *s, uint64_t now_us, uint64_t seq,
			 const struct ph_result *result)
{
	struct job *j = find_job(s, seq);

	if (!j || j->waiting_for_owner)
		return;
	switch (result->verdict) {
	case PH_VERDICT_DONE:
		answer(s, j, PH_JOB_COMPLETED, 0, "", now_us);
		break;
	case PH_VERDICT_FAILED:
		answer(s, j, PH_JOB_FAILED, 0, result->reason, now_us);
		break;
	case PH_VERDICT_NOT_RUN:
		if (result->evacuated)
			note_evacuated(j);
		else if (!j->retry_after_us ||
			 result->retry_after_us < j->retry_after_us)
			j->retry_after_us = result->retry_after_us;
		dispatch(s, j, now_us);
		break;
	case PH_VERDICT_BROKEN:
		answer(s, j, PH_JOB_UNKNOWN, 0, result->reason, now_us);
		break;
	case PH_VERDICT_MOVED:
		if (result->evacuated) {
			continue_elsewhere(s, j, result, now_us);
			break;
		}
		wait_for_new_owner(j, result, now_us);
		resume_at_new_owner(s, j, now_us);
		break;
	}
}

/* Cancels all jobs and answers them. */
static void end_all(struct ph_submitter *s, const char *reason, uint64_t now_us)
{
	while (s->jobs) {
		struct job *j = s->jobs;

		if (!j->waiting_for_owner && !j->waiting_for_first_owner)
			cancel(s, j, now_us);
		answer(s, j, PH_JOB_UNKNOWN, 0, reason, now_us);
	}
}

void ph_submitter_paused(struct ph_submitter *s, uint64_t now_us)
{
	end_all(s, "process was paused", now_us);
}

/* ## Time */

static void job_tick(struct ph_submitter *s, struct job *j, uint64_t now_us)
{
	bool owner_lost =
		j->waiting_for_owner ||
		!ph_cluster_owner_alive(s->opt.cluster, now_us, &j->owner);

	if (j->waiting_for_first_owner) {
		dispatch(s, j, now_us);
		return;
	}
	if (owner_lost) {
		if (!j->owner_lost_us)
			j->owner_lost_us = now_us;
		resume_at_new_owner(s, j, now_us);
		return;
	}
	j->owner_lost_us = 0;
	if (j->accepted || now_us < j->sent_us + RESEND_INTERVAL_US)
		return;
	if (now_us > j->first_sent_us + ACCEPT_TIMEOUT_US) {
		cancel(s, j, now_us);
		answer(s, j, PH_JOB_UNKNOWN, 0,
		       "pool owner did not accept the batch", now_us);
		return;
	}
	send_batch(s, j, now_us);
}

void ph_submitter_tick(struct ph_submitter *s, uint64_t now_us)
{
	struct job *j = s->jobs;

	while (j) {
		struct job *next = j->next;

		job_tick(s, j, now_us);
		j = next;
	}
	if (s->end_us && now_us >= s->end_us)
		end_all(s, "instance has to exit", now_us);
	resend_cancellations(s, now_us);
}
