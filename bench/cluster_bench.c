/*
 * Benchmark of the cluster: CPU time of a tick, of a received heartbeat and of
 * the lookup of a pool's owner at an instance with 45, 100, 300 and 1,300
 * peers, and the number of heartbeats that it sends per second.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "cluster.h"
#include "intern.h"
#include "pool_shard.h"

#define DOMAIN_COUNT 5U
#define TICK_US 10000U
#define RUN_US 5000000U
#define WARM_UP_US 1000000U
#define US_PER_S 1000000U
#define NS_PER_S 1000000000U
#define EXECUTORS_PER_INSTANCE 8U
#define EXECUTORS_PER_POOL 40U
#define OWNER_LOOKUPS 10000U

struct bench_state {
	struct ph_cluster *cluster;
	uint64_t heartbeats_sent;
};

static uint64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

static void on_acquire(void *ctx, const char *pool, uint64_t token)
{
	(void)ctx;
	(void)pool;
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
	struct bench_state *w = ctx;

	(void)addr;
	(void)m;
	w->heartbeats_sent++;
}

static bool on_reaches(void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return true;
}

static void on_renew(void *ctx, const char *addr, enum ph_link_doubt doubt)
{
	(void)ctx;
	(void)addr;
	(void)doubt;
}

static const struct ph_cluster_sink sink = {
	.acquire = on_acquire,
	.release = on_name,
	.reaches = on_reaches,
	.send_heartbeat = on_send_heartbeat,
	.renew_link = on_renew,
	.member_lost = on_name,
};

static uint32_t pool_count_for(uint32_t peers)
{
	return peers * EXECUTORS_PER_INSTANCE / EXECUTORS_PER_POOL;
}

/* Fills in the heartbeat of peer i. Each of the first peers owns a pool. The
 * intervals are those of ph_cluster_interval_us(): with more than 100 peers,
 * peers of other domains send fewer heartbeats. */
static void make_heartbeat(uint32_t i, uint32_t peers, uint32_t pools,
			   struct ph_poolmsg *m)
{
	char name[PH_NAME_BYTES];

	memset(m, 0, sizeof(*m));
	m->type = PH_POOLMSG_HEARTBEAT;
	snprintf(name, sizeof(name), "entry-%u", i);
	m->name = ph_intern(name);
	snprintf(name, sizeof(name), "domain-%u", i % DOMAIN_COUNT);
	m->domain = ph_intern(name);
	snprintf(m->addr, sizeof(m->addr), "10.0.%u.%u:7000", i / 250, i % 250);
	m->incarnation = 1;
	m->interval_us = 500000;
	if (i < pools)
		m->interval_us =
			peers > 100 && i % DOMAIN_COUNT ? 200000 : 100000;
	else if (peers > 100 && i % DOMAIN_COUNT)
		m->interval_us = 2000000;
	m->cpu_milli = 250;
	if (i >= pools)
		return;
	m->claim_count = 1;
	m->claims[0].pool_name =
		ph_pool_shard_name(m->domain, i / DOMAIN_COUNT);
	m->claims[0].token = 1000 + i;
	m->claims[0].load.usable = EXECUTORS_PER_POOL;
}

static void start(struct bench_state *w, uint32_t peers)
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
	w->cluster = ph_cluster_new(&o);
	for (i = 0; i < pool_count_for(peers); i++) {
		struct ph_poolmsg m;

		make_heartbeat(i, peers, pool_count_for(peers), &m);
		ph_cluster_add_pools(w->cluster, &m.claims[0].pool_name, 1);
	}
	for (i = 0; i < peers; i++) {
		struct ph_poolmsg m;

		make_heartbeat(i, peers, pool_count_for(peers), &m);
		ph_cluster_add_contact(w->cluster, m.addr);
	}
}

static void measure(uint32_t peers)
{
	uint32_t pools = pool_count_for(peers);
	uint64_t ticks = 0;
	uint64_t heard = 0;
	uint64_t tick_ns = 0;
	uint64_t heard_ns = 0;
	uint64_t lookup_ns;
	uint64_t now_us;
	struct ph_poolmsg *heartbeats;
	struct bench_state w;
	uint32_t i;

	start(&w, peers);
	heartbeats = ph_mem_default()->calloc(peers, sizeof(*heartbeats));
	for (i = 0; i < peers; i++)
		make_heartbeat(i, peers, pools, &heartbeats[i]);
	for (now_us = US_PER_S; now_us < US_PER_S + RUN_US; now_us += TICK_US) {
		uint64_t t0 = cpu_ns();

		for (i = 0; i < peers; i++) {
			if (now_us % heartbeats[i].interval_us)
				continue;
			ph_cluster_heartbeat_received(w.cluster, now_us,
						      &heartbeats[i]);
			heard++;
		}
		heard_ns += cpu_ns() - t0;
		if (now_us == US_PER_S + WARM_UP_US)
			w.heartbeats_sent = 0;
		t0 = cpu_ns();
		ph_cluster_tick(w.cluster, now_us, now_us / 1000, &sink, &w);
		tick_ns += cpu_ns() - t0;
		ticks++;
	}
	lookup_ns = cpu_ns();
	for (i = 0; i < OWNER_LOOKUPS; i++) {
		struct ph_owner o;

		ph_cluster_owner(w.cluster, now_us,
				 ph_cluster_pool_name(w.cluster, i % pools),
				 &o);
	}
	lookup_ns = cpu_ns() - lookup_ns;
	printf("%6u %6u %14.1f %14.1f %14.1f %14" PRIu64 "\n", peers, pools,
	       (double)tick_ns / (double)ticks / 1e3,
	       (double)heard_ns / (double)heard / 1e3,
	       (double)lookup_ns / OWNER_LOOKUPS / 1e3,
	       w.heartbeats_sent / ((RUN_US - WARM_UP_US) / US_PER_S));
	ph_cluster_free(w.cluster);
	ph_mem_default()->free(heartbeats);
}

int main(void)
{
	static const uint32_t sizes[] = { 45, 100, 300, 1300 };
	size_t i;

	ph_log_quiet(1);
	printf("%6s %6s %14s %14s %14s %14s\n", "peers", "pools", "us per tick",
	       "us per receipt", "us per lookup", "hb sent per s");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
