/* The pools of a dispatcher and what the cluster decides on their ownership. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"
#include "hand_over.h"
#include "pool_shard.h"

#define PART "dispatcher"

/* ## Pools */

static void sink_poll(void *ctx, const struct ph_poll *poll)
{
	struct ph_dispatcher *d = ctx;

	d->platform->poll(d->platform_ctx, poll);
}

static void sink_start(void *ctx, const struct ph_run_command *command)
{
	struct ph_dispatcher *d = ctx;

	d->platform->start(d->platform_ctx, command);
}

static void sink_stop(void *ctx, const struct ph_run_command *command)
{
	struct ph_dispatcher *d = ctx;

	d->platform->stop(d->platform_ctx, command);
}

static const struct ph_pool_sink pool_sink = {
	.poll = sink_poll,
	.start = sink_start,
	.stop = sink_stop,
	.accepted = ph_dispatcher_send_accepted,
	.result = ph_dispatcher_send_result,
};

struct ph_dispatcher_pool *ph_dispatcher_pool(struct ph_dispatcher *d,
					      const char *pool_name)
{
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		if (!strcmp(d->pools[i].name, pool_name))
			return &d->pools[i];
	return NULL;
}

static const struct ph_scheduling_policy *
scheduling_policy(const struct ph_dispatcher *d)
{
	if (!ph_mechanism_on(d->settings.off, PH_MECHANISM_SLACK_ORDER))
		return &ph_scheduling_fifo;
	return ph_mechanism_on(d->settings.off, PH_MECHANISM_SLACK_MARGIN)
		       ? &ph_scheduling_slack
		       : &ph_scheduling_last_moment;
}

/* Creates a pool, whose name the process keeps. The upper bits of its call ids
 * are its index. */
static void pool_add(struct ph_dispatcher *d, const char *pool_name)
{
	struct ph_dispatcher_pool *p;
	struct ph_pool_options options = {
		.mem = d->mem,
		.name = pool_name,
		.policy = scheduling_policy(d),
		.off = d->settings.off,
		.lease_us = d->settings.lease_us,
		.stop_us = d->settings.stop_us,
		.first_call = (uint64_t)d->pool_count << PH_POOL_CALL_SHIFT,
		.evacuation = &d->evacuation,
		.crashes = d->crashes,
		.sink = &pool_sink,
		.ctx = d,
	};

	d->pools = ph_array_grow(d->mem, d->pools, d->pool_count,
				 sizeof(*d->pools));
	p = &d->pools[d->pool_count];
	p->name = pool_name;
	p->pool = ph_pool_new(&options);
	d->pool_count++;
}

static struct ph_pool *pool_of_call(struct ph_dispatcher *d, uint64_t call_id)
{
	size_t i = (size_t)(call_id >> PH_POOL_CALL_SHIFT);

	return i < d->pool_count ? d->pools[i].pool : NULL;
}

void ph_dispatcher_check_fence(struct ph_dispatcher *d,
			       struct ph_dispatcher_pool *p, uint64_t now_us)
{
	if (!ph_pool_owned(p->pool) || !ph_pool_fenced(p->pool))
		return;
	/* A domain that has instances of its own is theirs, also in part. */
	if (ph_pool_shard_in(p->name, d->settings.domain) &&
	    ph_pool_fenced_in_part(p->pool))
		ph_cluster_fenced_in_part(d->cluster, now_us,
					  ph_clock_unix_ms(), p->name,
					  &ph_dispatcher_cluster_sink, d);
	else
		ph_cluster_fenced(d->cluster, now_us, ph_clock_unix_ms(),
				  p->name, ph_pool_token_accepted(p->pool),
				  &ph_dispatcher_cluster_sink, d);
}

void ph_dispatcher_check_hand_over(struct ph_dispatcher *d,
				   struct ph_dispatcher_pool *p,
				   uint64_t now_us)
{
	if (ph_pool_awaits_hand_over(p->pool) &&
	    !ph_hand_over_pending(d->cluster, now_us, p->name))
		ph_pool_handed_over(p->pool);
}

void ph_dispatcher_poll_done(struct ph_dispatcher *d, uint64_t now_us,
			     uint64_t call_id,
			     const struct ph_poll_reply *reply)
{
	struct ph_pool *pool = pool_of_call(d, call_id);

	if (!pool)
		return;
	ph_pool_poll_done(pool, now_us, call_id, reply);
}

void ph_dispatcher_command_done(struct ph_dispatcher *d, uint64_t now_us,
				uint64_t call_id, bool stop,
				const struct ph_run_command_reply *reply)
{
	struct ph_pool *pool = pool_of_call(d, call_id);

	if (!pool)
		return;
	if (stop)
		ph_pool_stop_done(pool, now_us, call_id, reply);
	else
		ph_pool_start_done(pool, now_us, call_id, reply);
}

struct ph_dispatcher_domain *ph_dispatcher_domain(struct ph_dispatcher *d,
						  const char *name)
{
	struct ph_dispatcher_domain *domain;
	size_t i;

	for (i = 0; i < d->domain_count; i++)
		if (!strcmp(d->domains[i].name, name))
			return &d->domains[i];
	d->domains = ph_array_grow(d->mem, d->domains, d->domain_count,
				   sizeof(*d->domains));
	domain = &d->domains[d->domain_count++];
	domain->name = ph_intern(name);
	return domain;
}

const char *ph_dispatcher_domain_name(const struct ph_dispatcher *d, size_t i)
{
	return i < d->domain_count ? d->domains[i].name : NULL;
}

void ph_dispatcher_create_pools(struct ph_dispatcher *d,
				struct ph_dispatcher_domain *domain)
{
	while (domain->pools < domain->plan.shards) {
		const char *name =
			ph_pool_shard_name(domain->name, domain->pools++);

		pool_add(d, name);
		ph_cluster_add_pools(d->cluster, &name, 1);
	}
}

void ph_dispatcher_contact(struct ph_dispatcher *d, const char *addr)
{
	ph_cluster_add_contact(d->cluster, addr);
}

/* ## Cluster callbacks */

static void sink_acquire(void *ctx, const char *pool_name, uint64_t token)
{
	struct ph_dispatcher *d = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(d, pool_name);
	uint64_t now_us = ph_clock_us();
	bool owned = p && ph_pool_owned(p->pool);

	if (p)
		ph_pool_acquire(p->pool, now_us, token);
	if (p && !owned && ph_hand_over_pending(d->cluster, now_us, pool_name))
		ph_pool_await_hand_over(p->pool, now_us + PH_HAND_OVER_MAX_US);
	/* Sent in the same tick of the cluster: the other instances hear of the
	 * claim before executors refuse the earlier owner. */
	ph_cluster_heartbeat_soon(d->cluster, PH_HEARTBEAT_ALL);
}

static void sink_release(void *ctx, const char *pool_name)
{
	struct ph_dispatcher *d = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(d, pool_name);

	if (p)
		ph_pool_release(p->pool, ph_clock_us());
	/* Sent in the same tick of the cluster: the next owner waits for it. */
	ph_cluster_heartbeat_soon(d->cluster, PH_HEARTBEAT_ALL);
}

static bool sink_reaches(void *ctx, const char *pool_name)
{
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(ctx, pool_name);

	return p && ph_pool_reached(p->pool, ph_clock_us());
}

static void put_own_shards(struct ph_dispatcher *d, struct ph_poolmsg *msg)
{
	const struct ph_dispatcher_domain *domain =
		ph_dispatcher_domain(d, d->settings.domain);

	msg->shards = domain->plan.shards;
	msg->shards_revision = domain->plan.revision;
}

/* Tells a member which starts of its batches may still be carried out. Those of
 * a receiver that is not known yet are not known either. */
static void put_starts(struct ph_dispatcher *d, const struct ph_member *m,
		       uint64_t now_us, struct ph_poolmsg *msg)
{
	size_t i;

	if (!m) {
		msg->starts.incomplete = true;
		return;
	}
	for (i = 0; i < d->pool_count; i++)
		ph_pool_report_starts(d->pools[i].pool, now_us, m->name,
				      &msg->starts);
	d->counters.incomplete_start_reports += msg->starts.incomplete;
}

static void sink_send_heartbeat(void *ctx, const char *addr,
				const struct ph_member *m)
{
	struct ph_dispatcher *d = ctx;
	uint64_t now_us = ph_clock_us();
	struct ph_poolmsg *msg = &d->heartbeat;
	size_t i;

	memset(msg, 0, sizeof(*msg));
	msg->type = PH_POOLMSG_HEARTBEAT;
	msg->leaving = d->stopping;
	msg->config_version = d->routing ? d->routing->version : 0;
	msg->interval_us = m ? ph_cluster_interval_us(d->cluster, m)
			     : d->settings.heartbeat_us;
	msg->clock_us = now_us;
	msg->echo_us = m ? ph_submitter_echo_us(d->submitter, m) : 0;
	msg->cpu_milli = d->settings.cpu_milli;
	put_own_shards(d, msg);
	msg->list_digest = ph_directory_digest(d->directory);
	msg->list_age_us = ph_directory_age_us(d->directory, now_us);
	msg->evacuation_revision = d->evacuation.changed_revision;
	msg->evacuation_age_us = ph_evacuation_age_us(&d->evacuation, now_us);
	msg->heard_ago_us =
		m && m->heard_us ? now_us - m->heard_us : UINT64_MAX;
	put_starts(d, m, now_us, msg);
	for (i = 0; i < d->pool_count; i++) {
		struct ph_claim *c = &msg->claims[msg->claim_count];

		if (msg->claim_count == PH_CLAIMS_MAX ||
		    !ph_pool_owned(d->pools[i].pool))
			continue;
		c->pool_name = d->pools[i].name;
		c->token = ph_pool_token(d->pools[i].pool);
		c->offered = ph_cluster_pool_offered(d->cluster, now_us,
						     d->pools[i].name);
		ph_pool_measure(d->pools[i].pool, now_us, &c->load);
		msg->claim_count++;
	}
	msg->suspect_count =
		ph_crashes_recent(d->crashes, now_us, msg->suspects);
	msg->reported_owner_count = ph_cluster_report_owners(
		d->cluster, now_us, m, msg->reported_owners);
	ph_dispatcher_send(d, addr, msg);
}

static void sink_renew_link(void *ctx, const char *addr,
			    enum ph_link_doubt doubt)
{
	struct ph_dispatcher *d = ctx;

	d->counters.renewed[doubt]++;
	ph_transport_renew(d->transport, addr);
}

static void sink_member_lost(void *ctx, const char *name)
{
	struct ph_dispatcher *d = ctx;
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		ph_pool_submitter_lost(d->pools[i].pool, ph_clock_us(), name);
}

struct reliance {
	const struct ph_cluster *cluster;
	uint64_t now_us;
};

static bool submitter_relies(void *ctx, const char *submitter)
{
	const struct reliance *r = ctx;

	return ph_cluster_relied_on(r->cluster, r->now_us, submitter);
}

static bool submitter_surely_relies(void *ctx, const char *submitter)
{
	const struct reliance *r = ctx;

	return ph_cluster_surely_relied_on(r->cluster, r->now_us, submitter);
}

void ph_dispatcher_check_submitters(struct ph_dispatcher *d,
				    struct ph_pool *pool, uint64_t now_us)
{
	struct reliance r = { d->cluster, now_us };

	ph_pool_check_submitters(pool, submitter_relies,
				 submitter_surely_relies, &r);
}

const struct ph_cluster_sink ph_dispatcher_cluster_sink = {
	.acquire = sink_acquire,
	.release = sink_release,
	.reaches = sink_reaches,
	.send_heartbeat = sink_send_heartbeat,
	.renew_link = sink_renew_link,
	.member_lost = sink_member_lost,
};
