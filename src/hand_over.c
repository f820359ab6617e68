#include <string.h>

#include "hand_over.h"

static bool claims(const struct ph_member *m, const char *pool)
{
	uint32_t i;

	for (i = 0; i < m->claim_count; i++)
		if (!strcmp(m->claims[i].pool_name, pool))
			return true;
	return false;
}

bool ph_hand_over_pending(const struct ph_cluster *cluster, uint64_t now_us,
			  const char *pool)
{
	const struct ph_member *m;

	for (m = ph_cluster_first_member(cluster); m; m = m->next)
		if (claims(m, pool) &&
		    ph_cluster_hears(cluster, now_us, m->name, m->incarnation))
			return true;
	return false;
}
