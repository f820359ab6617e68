/*
 * The list of executors: which instance reads it from the platform, how changes
 * reach the other instances of the failure domain, and its split over the
 * pools.
 *
 * In a domain with enough instances, one reads the list and sends the others
 * what changed. Heartbeats carry a digest of the list. An instance whose digest
 * matches the reader's knows that its list is as recent as the reader's; one
 * whose list gets too old reads it from the platform itself.
 */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"
#include "pool_shard.h"

#define PART "dispatcher"
/* Interval at which the list is split again while a pool still has executors
 * that are no longer listed. */
#define UNLISTED_CHECK_INTERVAL_US 1000000U
#define NO_SHARD UINT32_MAX

/* ## Split over the pools */

/* Counts the executors of each domain, and creates the pools of those domains
 * whose number of shards is known. */
static void count_executors(struct ph_dispatcher *d, uint64_t now_us,
			    const struct ph_executor_info *all, size_t count)
{
	uint32_t *executors;
	size_t i;

	for (i = 0; i < count; i++)
		ph_dispatcher_domain(d, all[i].domain);
	executors = d->mem->calloc(d->domain_count, sizeof(*executors));
	for (i = 0; i < count; i++)
		executors[ph_dispatcher_domain(d, all[i].domain) -
			  d->domains]++;
	for (i = 0; i < d->domain_count; i++) {
		ph_dispatcher_shards_list(d, &d->domains[i], now_us,
					  executors[i]);
		if (executors[i])
			ph_dispatcher_create_pools(d, &d->domains[i]);
	}
	d->mem->free(executors);
}

/* Number of the executor's shard; NO_SHARD while its domain has no pools. */
static uint32_t shard_of(struct ph_dispatcher *d,
			 const struct ph_executor_info *x)
{
	const struct ph_dispatcher_domain *domain =
		ph_dispatcher_domain(d, x->domain);

	return domain->plan.shards
		       ? ph_pool_shard_of(x->id, domain->plan.shards)
		       : NO_SHARD;
}

void ph_dispatcher_split_list(struct ph_dispatcher *d, uint64_t now_us)
{
	struct ph_executor_info *part;
	const struct ph_executor_info *all;
	uint32_t *shard;
	size_t count;
	size_t i;
	size_t k;

	d->list_split_us = now_us;
	d->has_unlisted_executors = false;
	all = ph_directory_list(d->directory, &count);
	count_executors(d, now_us, all, count);
	part = d->mem->calloc(count, sizeof(*part));
	shard = d->mem->calloc(count, sizeof(*shard));
	for (i = 0; i < count; i++)
		shard[i] = shard_of(d, &all[i]);
	for (k = 0; k < d->pool_count; k++) {
		const char *pool = d->pools[k].name;
		uint32_t number = ph_pool_shard_number(pool);
		size_t m = 0;

		for (i = 0; i < count; i++)
			if (shard[i] == number &&
			    ph_pool_shard_in(pool, all[i].domain))
				part[m++] = all[i];
		if (ph_pool_update(d->pools[k].pool, now_us, part, m))
			d->has_unlisted_executors = true;
	}
	d->mem->free(shard);
	d->mem->free(part);
}

/* ## Changes of the list */

/* Sends the change of the last read to the other instances of the domain. One
 * that is too large for a message is left to their own reads. */
static void send_change_to_domain(struct ph_dispatcher *d, uint64_t now_us)
{
	struct ph_list_change *change = d->mem->calloc(1, sizeof(*change));
	struct ph_poolmsg msg = { .type = PH_POOLMSG_LIST, .change = change };
	const struct ph_member *m = NULL;

	if (!ph_directory_last_change(d->directory, now_us, change))
		goto out;
	while ((m = ph_cluster_next_in_domain(d->cluster, m, now_us)))
		ph_dispatcher_send(d, m->addr, &msg);
out:
	d->mem->free(change);
}

void ph_dispatcher_list_read(struct ph_dispatcher *d, uint64_t now_us,
			     uint64_t requested_us,
			     const struct ph_executor_info *list, size_t count)
{
	const struct ph_member *reader;

	if (!ph_directory_read(d->directory, now_us, requested_us, list, count))
		return;
	ph_dispatcher_split_list(d, now_us);
	if (!ph_cluster_list_reader(d->cluster, now_us, &reader))
		send_change_to_domain(d, now_us);
}

void ph_dispatcher_list_read_failed(struct ph_dispatcher *d, uint64_t now_us)
{
	ph_directory_read_failed(d->directory, now_us);
}

void ph_dispatcher_count_unreadable(struct ph_dispatcher *d)
{
	d->counters.unreadable++;
}

void ph_dispatcher_set_skipped(struct ph_dispatcher *d, size_t entries)
{
	d->counters.skipped = entries;
}

void ph_dispatcher_list_changed(struct ph_dispatcher *d,
				const struct ph_poolmsg *msg, uint64_t now_us)
{
	if (ph_directory_apply(d->directory, now_us, msg->change))
		ph_dispatcher_split_list(d, now_us);
}

void ph_dispatcher_list_tick(struct ph_dispatcher *d, uint64_t now_us)
{
	uint64_t age_us = ph_directory_age_us(d->directory, now_us);
	uint64_t read_us = age_us < now_us ? now_us - age_us : 0;
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		ph_pool_list_read(d->pools[i].pool, read_us);
	if (d->has_unlisted_executors &&
	    now_us > d->list_split_us + UNLISTED_CHECK_INTERVAL_US)
		ph_dispatcher_split_list(d, now_us);
}

/* ## Reads from the platform */

bool ph_dispatcher_needs_list(struct ph_dispatcher *d)
{
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		if (ph_pool_needs_list(d->pools[i].pool))
			return true;
	return false;
}

bool ph_dispatcher_wants_list(struct ph_dispatcher *d, uint64_t now_us)
{
	const struct ph_member *reader;

	if (ph_dispatcher_needs_list(d) ||
	    !ph_cluster_list_reader(d->cluster, now_us, &reader))
		return true;
	if (reader->list_digest == ph_directory_digest(d->directory))
		ph_directory_confirm(d->directory, reader->list_read_us);
	return ph_directory_age_us(d->directory, now_us) >=
	       d->settings.list_age_us;
}
