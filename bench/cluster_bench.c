/*
 * Slopes of membership: what a tick, a heartbeat heard and the finding of a
 * pool's owner cost an instance that knows 45, 100, 300 and 1,300 others, and
 * how many heartbeats it sends a second.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "cluster.h"
#include "pool_shard.h"

#define DOMAINS 5U
#define TICK_US 10000U
#define RUN_US 5000000U
#define WARM_UP_US 1000000U
#define US_PER_S 1000000U
#define NS_PER_S 1000000000U
#define EXECUTORS_AN_INSTANCE 8U
#define EXECUTORS_A_POOL 40U
#define FINDS 10000U

struct world {
	struct ph_cluster *members;
	uint64_t greeted;
};

static uint64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

static void on_acquire(void *ctx, const char *domain, uint64_t token)
{
	(void)ctx;
	(void)domain;
	(void)token;
}

static void on_name(void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
}

static void on_send_heartbeat(void *ctx, const char *addr,
			      const struct ph_member *m)
{
	struct world *w = ctx;

	(void)addr;
	(void)m;
	w->greeted++;
}

static const struct ph_cluster_sink sink = {
	.acquire = on_acquire,
	.release = on_name,
	.send_heartbeat = on_send_heartbeat,
	.reset_link = on_name,
	.lost = on_name,
};

static uint32_t pools_of(uint32_t peers)
{
	return peers * EXECUTORS_AN_INSTANCE / EXECUTORS_A_POOL;
}

/* Heartbeat of peer i; the first ones own a pool each. Among many, those of
 * other domains that own nothing greet rarely, as the programs do. */
static void hello_of(uint32_t i, uint32_t peers, uint32_t pools,
		     struct ph_poolmsg *m)
{
	memset(m, 0, sizeof(*m));
	m->type = PH_POOLMSG_HEARTBEAT;
	snprintf(m->name, sizeof(m->name), "entry-%u", i);
	snprintf(m->domain, sizeof(m->domain), "domain-%u", i % DOMAINS);
	snprintf(m->addr, sizeof(m->addr), "10.0.%u.%u:7000", i / 250, i % 250);
	m->incarnation = 1;
	m->interval_us = 500000;
	if (i < pools)
		m->interval_us = peers > 100 && i % DOMAINS ? 200000 : 100000;
	else if (peers > 100 && i % DOMAINS)
		m->interval_us = 2000000;
	m->cpu_milli = 250;
	if (i >= pools)
		return;
	m->claim_count = 1;
	ph_pool_shard_name(m->domain, i / DOMAINS, m->claims[0].domain);
	m->claims[0].token = 1000 + i;
	m->claims[0].load.usable = EXECUTORS_A_POOL;
}

static void start(struct world *w, uint32_t peers)
{
	struct ph_cluster_options o = {
		.mem = ph_mem_default(),
		.name = "entry-self",
		.domain = "domain-0",
		.addr = "10.9.9.9:7000",
		.incarnation = 1,
		.heartbeat_us = 100000,
		.suspect_us = 350000,
		.cpu_milli = 250,
	};
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->members = ph_cluster_new(&o);
	for (i = 0; i < pools_of(peers); i++) {
		struct ph_poolmsg m;

		hello_of(i, peers, pools_of(peers), &m);
		ph_cluster_add_pools(w->members, &m.claims[0].domain, 1);
	}
	for (i = 0; i < peers; i++) {
		struct ph_poolmsg m;

		hello_of(i, peers, pools_of(peers), &m);
		ph_cluster_add_contact(w->members, m.addr);
	}
}

static void measure(uint32_t peers)
{
	uint32_t pools = pools_of(peers);
	uint64_t ticks = 0;
	uint64_t heard = 0;
	uint64_t tick_ns = 0;
	uint64_t heard_ns = 0;
	uint64_t find_ns;
	uint64_t now_us;
	struct world w;
	uint32_t i;

	start(&w, peers);
	for (now_us = US_PER_S; now_us < US_PER_S + RUN_US; now_us += TICK_US) {
		uint64_t t0 = cpu_ns();

		for (i = 0; i < peers; i++) {
			struct ph_poolmsg m;

			hello_of(i, peers, pools, &m);
			if (now_us % m.interval_us)
				continue;
			ph_cluster_heartbeat_received(w.members, now_us, &m);
			heard++;
		}
		heard_ns += cpu_ns() - t0;
		if (now_us == US_PER_S + WARM_UP_US)
			w.greeted = 0;
		t0 = cpu_ns();
		ph_cluster_tick(w.members, now_us, now_us / 1000, &sink, &w);
		tick_ns += cpu_ns() - t0;
		ticks++;
	}
	find_ns = cpu_ns();
	for (i = 0; i < FINDS; i++) {
		struct ph_owner o;

		ph_cluster_owner(w.members, now_us,
				 ph_cluster_pool_name(w.members, i % pools), &o);
	}
	find_ns = cpu_ns() - find_ns;
	printf("%6u %6u %14.1f %14.1f %14.1f %12" PRIu64 "\n", peers, pools,
	       (double)tick_ns / (double)ticks / 1e3,
	       (double)heard_ns / (double)heard / 1e3,
	       (double)find_ns / FINDS / 1e3,
	       w.greeted / ((RUN_US - WARM_UP_US) / US_PER_S));
	ph_cluster_free(w.members);
}

int main(void)
{
	static const uint32_t sizes[] = { 45, 100, 300, 1300 };
	size_t i;

	ph_log_quiet(1);
	printf("%6s %6s %14s %14s %14s %12s\n", "peers", "pools", "us a tick",
	       "us a heartbeat", "us an owner", "sent a s");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
