#include "ident.h"
#include "pool_types.h"

uint32_t ph_where(const char *executor)
{
	uint32_t hash = (uint32_t)ph_hash_str(executor);

	return hash == PH_WHERE_NOWHERE || hash == PH_WHERE_UNKNOWN ? 1 : hash;
}

bool ph_capacity_fits(const struct ph_capacity *total,
		      const struct ph_capacity *used,
		      const struct ph_capacity *need)
{
	return used->cpu_milli + need->cpu_milli <= total->cpu_milli &&
	       used->mem_mb + need->mem_mb <= total->mem_mb &&
	       used->gpu + need->gpu <= total->gpu;
}

void ph_capacity_add(struct ph_capacity *to, const struct ph_capacity *what)
{
	to->cpu_milli += what->cpu_milli;
	to->mem_mb += what->mem_mb;
	to->gpu += what->gpu;
}

void ph_capacity_sub(struct ph_capacity *from, const struct ph_capacity *what)
{
	from->cpu_milli -= what->cpu_milli;
	from->mem_mb -= what->mem_mb;
	from->gpu -= what->gpu;
}

struct ph_batch_request *
ph_batch_request_copy(const struct ph_mem *mem,
		      const struct ph_batch_request *work)
{
	struct ph_batch_request *copy = mem->calloc(1, sizeof(*copy));

	*copy = *work;
	copy->spec = ph_memdup(mem, work->spec, work->spec_len);
	return copy;
}

uint64_t
ph_batch_request_max_useful_wait_us(const struct ph_batch_request *work)
{
	uint64_t useful_us = PH_LATE_TARGETS * work->target_us;

	if (!work->target_us)
		return UINT64_MAX;
	return useful_us > work->estimate_us ? useful_us - work->estimate_us
					     : 0;
}

bool ph_batch_request_too_late(const struct ph_batch_request *work,
			       uint64_t waited_us)
{
	return waited_us > ph_batch_request_max_useful_wait_us(work);
}

void ph_batch_request_free(const struct ph_mem *mem,
			   struct ph_batch_request *work)
{
	if (!work)
		return;
	mem->free(work->spec);
	mem->free(work);
}

const char *ph_verdict_name(enum ph_verdict verdict)
{
	static const char *const names[] = { "done", "failed", "not-run",
					     "broken", "moved" };

	return names[verdict];
}
