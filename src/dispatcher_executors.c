/*
 * The list of executors at a node: who reads it from the platform, what is
 * passed on inside the failure domain, and its split over the pools.
 *
 * One instance of a domain reads for all; it tells the others what changed.
 * Their heartbeats carry the digest of the list: an instance whose list is not
 * confirmed by the reader's for a time reads by itself.
 */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"
#include "pool_shard.h"

#define PART "node"
/* Pools that have executors which left the list are looked at this often. */
#define UNLISTED_EVERY_US 1000000U

/* ## Split over the pools */

static void count_domains(struct ph_dispatcher *n,
			  const struct ph_executor_info *all, size_t count)
{
	size_t i;

	for (i = 0; i < n->domain_count; i++)
		n->domains[i].executors = 0;
	for (i = 0; i < count; i++) {
		struct ph_dispatcher_domain *d =
			ph_dispatcher_domain(n, all[i].domain);

		if (d)
			d->executors++;
	}
	for (i = 0; i < n->domain_count; i++)
		ph_dispatcher_grow_shards(
			n, &n->domains[i],
			ph_pool_shard_count(n->domains[i].shards,
					    n->domains[i].executors));
}

/* Splits the executors over the pools. */
static void share_executors(struct ph_dispatcher *n, uint64_t now_us)
{
	struct ph_executor_info *part;
	const struct ph_executor_info *all;
	uint32_t *shard;
	size_t count;
	size_t i;
	size_t k;

	n->shared_us = now_us;
	n->unlisted_left = false;
	all = ph_directory_list(n->directory, &count);
	count_domains(n, all, count);
	part = n->mem->calloc(count, sizeof(*part));
	shard = n->mem->calloc(count, sizeof(*shard));
	for (i = 0; i < count; i++) {
		struct ph_dispatcher_domain *d =
			ph_dispatcher_domain(n, all[i].domain);

		shard[i] = d ? ph_pool_shard_of(all[i].id, d->shards) : 0;
	}
	for (k = 0; k < n->pool_count; k++) {
		const char *pool = n->pools[k].domain;
		uint32_t number = ph_pool_shard_number(pool);
		size_t m = 0;

		for (i = 0; i < count; i++)
			if (shard[i] == number &&
			    ph_pool_shard_in(pool, all[i].domain))
				part[m++] = all[i];
		if (ph_pool_update(n->pools[k].pool, now_us, part, m))
			n->unlisted_left = true;
	}
	n->mem->free(shard);
	n->mem->free(part);
}

/* ## Changes */

static void pass_on(struct ph_dispatcher *n, uint64_t now_us)
{
	struct ph_list_change *change = n->mem->calloc(1, sizeof(*change));
	struct ph_poolmsg msg = { .type = PH_POOLMSG_LIST, .change = change };
	const struct ph_member *m = NULL;

	if (!ph_directory_last_change(n->directory, now_us, change))
		goto out;
	while ((m = ph_cluster_next_in_domain(n->members, m, now_us)))
		ph_dispatcher_send(n, m->addr, &msg);
out:
	n->mem->free(change);
}

void ph_dispatcher_executors(struct ph_dispatcher *n, uint64_t now_us,
			     uint64_t asked_us,
			     const struct ph_executor_info *list, size_t count)
{
	const struct ph_member *reader;

	if (!ph_directory_read(n->directory, now_us, asked_us, list, count))
		return;
	share_executors(n, now_us);
	if (!ph_cluster_list_reader(n->members, now_us, &reader))
		pass_on(n, now_us);
}

void ph_dispatcher_executors_failed(struct ph_dispatcher *n, uint64_t now_us)
{
	ph_directory_read_failed(n->directory, now_us);
}

void ph_dispatcher_list_changed(struct ph_dispatcher *n,
				const struct ph_poolmsg *msg, uint64_t now_us)
{
	if (ph_directory_apply(n->directory, now_us, msg->change))
		share_executors(n, now_us);
}

void ph_dispatcher_list_tick(struct ph_dispatcher *n, uint64_t now_us)
{
	if (n->unlisted_left && now_us > n->shared_us + UNLISTED_EVERY_US)
		share_executors(n, now_us);
}

/* ## Reads */

bool ph_dispatcher_wants_list(struct ph_dispatcher *n, uint64_t now_us)
{
	const struct ph_member *reader;

	if (!ph_cluster_list_reader(n->members, now_us, &reader))
		return true;
	if (reader->list_digest == ph_directory_digest(n->directory))
		ph_directory_confirm(n->directory, reader->list_read_us);
	return ph_directory_age_us(n->directory, now_us) >= n->set.list_age_us;
}
