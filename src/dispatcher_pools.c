/* Pools and membership of a node: who owns what. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"
#include "pool_shard.h"

#define PART "node"

/* ## Pools */

static void sink_poll(void *ctx, const struct ph_poll *poll)
{
	struct ph_dispatcher *n = ctx;

	n->port->poll(n->port_ctx, poll);
}

static void sink_start(void *ctx, const struct ph_run_command *order)
{
	struct ph_dispatcher *n = ctx;

	n->port->start(n->port_ctx, order);
}

static void sink_stop(void *ctx, const struct ph_run_command *order)
{
	struct ph_dispatcher *n = ctx;

	n->port->stop(n->port_ctx, order);
}

static const struct ph_pool_sink pool_sink = {
	.poll = sink_poll,
	.start = sink_start,
	.stop = sink_stop,
	.result = ph_dispatcher_result,
};

struct ph_dispatcher_pool *ph_dispatcher_pool(struct ph_dispatcher *n,
					      const char *domain)
{
	size_t i;

	for (i = 0; i < n->pool_count; i++)
		if (!strcmp(n->pools[i].domain, domain))
			return &n->pools[i];
	return NULL;
}

/* Handles of calls name the pool in their upper part. */
static void pool_add(struct ph_dispatcher *n, const char *domain)
{
	struct ph_dispatcher_pool *p;
	struct ph_pool_options options = {
		.mem = n->mem,
		.domain = domain,
		.policy = &ph_scheduling_slack,
		.lease_us = n->set.lease_us,
		.stop_us = n->set.stop_us,
		.first_call = (uint64_t)n->pool_count << PH_POOL_CALL_SHIFT,
		.sink = &pool_sink,
		.ctx = n,
	};

	n->pools = ph_array_grow(n->mem, n->pools, n->pool_count,
				 sizeof(*n->pools));
	p = &n->pools[n->pool_count];
	ph_strcopy(p->domain, sizeof(p->domain), domain);
	p->pool = ph_pool_new(&options);
	n->pool_count++;
}

static struct ph_pool *pool_of_call(struct ph_dispatcher *n, uint64_t call_id)
{
	size_t i = (size_t)(call_id >> PH_POOL_CALL_SHIFT);

	return i < n->pool_count ? n->pools[i].pool : NULL;
}

void ph_dispatcher_check_fence(struct ph_dispatcher *n,
			       struct ph_dispatcher_pool *p, uint64_t now_us)
{
	if (ph_pool_owned(p->pool) && ph_pool_fenced(p->pool))
		ph_cluster_fenced(n->members, now_us, ph_clock_unix_ms(),
				  p->domain, &ph_dispatcher_cluster_sink, n);
}

void ph_dispatcher_poll_done(struct ph_dispatcher *n, uint64_t now_us,
			     uint64_t call_id,
			     const struct ph_poll_reply *reply)
{
	struct ph_pool *pool = pool_of_call(n, call_id);

	if (!pool)
		return;
	ph_pool_poll_done(pool, now_us, call_id, reply);
	ph_pool_tick(pool, now_us);
}

void ph_dispatcher_command_done(struct ph_dispatcher *n, uint64_t now_us,
				uint64_t call_id, bool stop,
				const struct ph_run_command_reply *reply)
{
	struct ph_pool *pool = pool_of_call(n, call_id);

	if (!pool)
		return;
	if (stop)
		ph_pool_stop_done(pool, now_us, call_id, reply);
	else
		ph_pool_start_done(pool, now_us, call_id, reply);
	ph_pool_tick(pool, now_us);
}

struct ph_dispatcher_domain *ph_dispatcher_domain(struct ph_dispatcher *n,
						  const char *name)
{
	struct ph_dispatcher_domain *d;
	size_t i;

	for (i = 0; i < n->domain_count; i++)
		if (!strcmp(n->domains[i].name, name))
			return &n->domains[i];
	n->domains = ph_array_grow(n->mem, n->domains, n->domain_count,
				   sizeof(*n->domains));
	d = &n->domains[n->domain_count++];
	ph_strcopy(d->name, sizeof(d->name), name);
	return d;
}

/* Sees to it that a domain's pools exist. */
void ph_dispatcher_grow_shards(struct ph_dispatcher *n,
			       struct ph_dispatcher_domain *d, uint32_t shards)
{
	char name[PH_NAME_BYTES];

	while (d->shards < shards) {
		ph_pool_shard_name(d->name, d->shards++, name);
		pool_add(n, name);
		ph_cluster_set_domains(n->members,
				       &n->pools[n->pool_count - 1].domain, 1);
	}
}

void ph_dispatcher_contact(struct ph_dispatcher *n, const char *addr)
{
	ph_cluster_contact(n->members, addr);
}

/* ## Membership */

static void sink_acquire(void *ctx, const char *domain, uint64_t token)
{
	struct ph_dispatcher *n = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(n, domain);

	if (p)
		ph_pool_acquire(p->pool, ph_clock_us(), token);
	ph_dispatcher_heartbeat_soon(n, PH_HEARTBEAT_ALL);
}

static void sink_release(void *ctx, const char *domain)
{
	struct ph_dispatcher *n = ctx;
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(n, domain);

	if (p)
		ph_pool_release(p->pool, ph_clock_us());
	ph_dispatcher_heartbeat_soon(n, PH_HEARTBEAT_ALL);
}

static uint32_t own_shards(struct ph_dispatcher *n)
{
	struct ph_dispatcher_domain *d = ph_dispatcher_domain(n, n->set.domain);

	return d ? d->shards : 0;
}

static void sink_send_heartbeat(void *ctx, const char *addr,
				const struct ph_member *m)
{
	struct ph_dispatcher *n = ctx;
	uint64_t now_us = ph_clock_us();
	struct ph_poolmsg *msg = &n->hello;
	size_t i;

	memset(msg, 0, sizeof(*msg));
	msg->type = PH_POOLMSG_HEARTBEAT;
	msg->leaving = n->stopping;
	msg->config_version = n->routing ? n->routing->version : 0;
	msg->interval_us =
		m ? ph_cluster_interval_us(n->members, m) : n->set.heartbeat_us;
	msg->clock_us = now_us;
	msg->cpu_milli = n->set.cpu_milli;
	msg->shards = own_shards(n);
	msg->list_digest = ph_directory_digest(n->directory);
	msg->list_age_us = ph_directory_age_us(n->directory, now_us);
	msg->heard_ago_us =
		m && m->heard_us ? now_us - m->heard_us : UINT64_MAX;
	for (i = 0; i < n->pool_count; i++) {
		struct ph_claim *c = &msg->claims[msg->claim_count];

		if (msg->claim_count == PH_CLAIMS_MAX ||
		    !ph_pool_owned(n->pools[i].pool))
			continue;
		ph_strcopy(c->domain, sizeof(c->domain), n->pools[i].domain);
		c->token = ph_pool_token(n->pools[i].pool);
		c->offered = ph_cluster_offers(n->members, now_us,
					       n->pools[i].domain);
		ph_pool_measure(n->pools[i].pool, now_us, &c->load);
		msg->claim_count++;
	}
	ph_dispatcher_send(n, addr, msg);
}

static void sink_reset_link(void *ctx, const char *addr)
{
	struct ph_dispatcher *n = ctx;

	ph_event(PART, "event=link_reset peer=%s", addr);
	ph_transport_reset(n->transport, addr);
}

static void sink_lost(void *ctx, const char *name)
{
	struct ph_dispatcher *n = ctx;
	size_t i;

	for (i = 0; i < n->pool_count; i++)
		ph_pool_submitter_lost(n->pools[i].pool, ph_clock_us(), name);
}

const struct ph_cluster_sink ph_dispatcher_cluster_sink = {
	.acquire = sink_acquire,
	.release = sink_release,
	.send_heartbeat = sink_send_heartbeat,
	.reset_link = sink_reset_link,
	.lost = sink_lost,
};
