#include <string.h>

#include "endpoints.h"
#include "ident.h"

#define BACKOFF_MIN_US 20000U
#define BACKOFF_MAX_DOUBLINGS 6U

struct ph_endpoints *ph_endpoints_new(const struct ph_mem *mem,
				      const char *service)
{
	struct ph_endpoints *set = mem->calloc(1, sizeof(*set));

	set->mem = mem;
	ph_strcopy(set->service, sizeof(set->service), service);
	return set;
}

void ph_endpoints_free(struct ph_endpoints *set)
{
	size_t i;

	if (!set)
		return;
	for (i = 0; i < set->count; i++)
		set->mem->free(set->list[i]);
	set->mem->free(set->list);
	set->mem->free(set);
}

static struct ph_endpoint *find(const struct ph_endpoints *set,
				const struct ph_endpoint_info *listed)
{
	size_t i;

	for (i = 0; i < set->count; i++)
		if (!strcmp(set->list[i]->name, listed->name) &&
		    !strcmp(set->list[i]->addr, listed->addr))
			return set->list[i];
	return NULL;
}

static struct ph_endpoint *add(struct ph_endpoints *set,
			       const struct ph_endpoint_info *listed)
{
	struct ph_endpoint *e = set->mem->calloc(1, sizeof(*e));

	ph_strcopy(e->name, sizeof(e->name), listed->name);
	ph_strcopy(e->addr, sizeof(e->addr), listed->addr);
	set->list = set->mem->realloc(set->list,
				      (set->count + 1) * sizeof(*set->list));
	set->list[set->count++] = e;
	return e;
}

static void remove_idle_unlisted(struct ph_endpoints *set)
{
	size_t i = 0;

	while (i < set->count) {
		struct ph_endpoint *e = set->list[i];

		if (!e->unlisted || e->busy) {
			i++;
			continue;
		}
		set->mem->free(e);
		set->list[i] = set->list[--set->count];
	}
}

void ph_endpoints_update(struct ph_endpoints *set,
			 const struct ph_endpoint_info *listed, size_t count)
{
	size_t i;

	if (!count)
		return;
	for (i = 0; i < set->count; i++)
		set->list[i]->unlisted = true;
	for (i = 0; i < count; i++) {
		struct ph_endpoint *e = find(set, &listed[i]);

		if (!e)
			e = add(set, &listed[i]);
		e->unlisted = false;
		e->slots = listed[i].slots;
		e->leaving = listed[i].leaving;
	}
	remove_idle_unlisted(set);
}

/* Rank of a member for an endpoint by rendezvous hashing, from 0. The lowest
 * ranks get the slots that are left over by even division. */
static uint32_t rank_of(const struct ph_roster *roster, int self,
			uint64_t endpoint_hash)
{
	uint64_t own = ph_rendezvous_weight(
		endpoint_hash, ph_hash_str(roster->members[self].name));
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < roster->count; i++)
		if (ph_rendezvous_weight(endpoint_hash,
					 ph_hash_str(roster->members[i].name)) >
		    own)
			rank++;
	return rank;
}

void ph_endpoints_share_slots(struct ph_endpoints *set,
			      const struct ph_roster *roster, int self)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		struct ph_endpoint *e = set->list[i];
		uint32_t members = (uint32_t)roster->count;
		uint32_t rank;

		e->granted = 0;
		if (self < 0)
			continue;
		rank = rank_of(roster, self, ph_hash_str(e->name));
		e->granted = e->slots / members;
		if (rank < e->slots % members)
			e->granted++;
	}
}

static uint32_t free_slots(const struct ph_endpoint *e, uint64_t now_us)
{
	if (e->leaving || e->unlisted || now_us < e->backoff_until_us)
		return 0;
	return e->busy < e->granted ? e->granted - e->busy : 0;
}

struct ph_endpoint *ph_endpoints_pick(const struct ph_endpoints *set,
				      uint64_t now_us)
{
	struct ph_endpoint *best = NULL;
	uint32_t most = 0;
	size_t i;

	for (i = 0; i < set->count; i++) {
		uint32_t n = free_slots(set->list[i], now_us);

		if (n > most) {
			most = n;
			best = set->list[i];
		}
	}
	return best;
}

uint32_t ph_endpoints_free_slots(const struct ph_endpoints *set,
				 uint64_t now_us)
{
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < set->count; i++)
		sum += free_slots(set->list[i], now_us);
	return sum;
}

void ph_endpoint_refused(struct ph_endpoint *endpoint, uint64_t now_us,
			 bool leaving)
{
	uint32_t shift = endpoint->refusals;

	if (shift > BACKOFF_MAX_DOUBLINGS)
		shift = BACKOFF_MAX_DOUBLINGS;
	endpoint->refusals++;
	endpoint->backoff_until_us =
		now_us + ((uint64_t)BACKOFF_MIN_US << shift);
	if (leaving)
		endpoint->leaving = true;
}

void ph_endpoint_answered(struct ph_endpoint *endpoint)
{
	endpoint->refusals = 0;
	endpoint->backoff_until_us = 0;
}
