#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "ident.h"
#include "intern.h"
#include "pool_shard.h"

/* Executors per shard: their starts and polls take at most a tenth of the
 * owner's core, and the jobs with the most tasks still fit into one shard. */
#define SHARD_EXECUTORS 32U
/* The domain is split anew only if its shards have more executors than this on
 * average. */
#define SHARD_EXECUTORS_MAX 48U

uint32_t ph_pool_shard_count(uint32_t before, uint32_t executors)
{
	uint32_t wanted = (executors + SHARD_EXECUTORS - 1) / SHARD_EXECUTORS;

	if (wanted > PH_POOL_SHARDS_MAX)
		wanted = PH_POOL_SHARDS_MAX;
	if (!before)
		before = 1;
	return executors > before * SHARD_EXECUTORS_MAX ? wanted : before;
}

uint32_t ph_pool_shard_of(const char *executor, uint32_t shards)
{
	uint64_t key = ph_hash_str(executor);
	uint64_t best_weight = 0;
	uint32_t best = 0;
	uint32_t k;

	for (k = 0; k < shards; k++) {
		uint64_t weight =
			ph_rendezvous_weight(key, ph_hash(&k, sizeof(k)));

		if (weight <= best_weight)
			continue;
		best_weight = weight;
		best = k;
	}
	return best;
}

const char *ph_pool_shard_name(const char *domain, uint32_t shard)
{
	const char *name;
	struct ph_buf text;

	if (!shard)
		return ph_intern(domain);
	ph_buf_init(&text, ph_mem_default());
	ph_buf_printf(&text, "%s#%u", domain, shard % PH_POOL_SHARDS_MAX);
	name = ph_intern(text.data);
	ph_buf_free(&text);
	return name;
}

const char *ph_pool_shard_domain(const char *pool)
{
	const char *domain;
	struct ph_buf text;

	ph_buf_init(&text, ph_mem_default());
	ph_buf_printf(&text, "%.*s", (int)strcspn(pool, "#"), pool);
	domain = ph_intern(text.data);
	ph_buf_free(&text);
	return domain;
}

bool ph_pool_shard_in(const char *pool, const char *domain)
{
	size_t len = strcspn(pool, "#");

	return strlen(domain) == len && !strncmp(pool, domain, len);
}

uint32_t ph_pool_shard_number(const char *pool)
{
	const char *hash = strchr(pool, '#');

	return hash ? (uint32_t)strtoul(hash + 1, NULL, 10) : 0;
}
