#include "ident.h"
#include "pool_types.h"

uint32_t ph_executor_hash(const char *executor)
{
	uint32_t hash = (uint32_t)ph_hash_str(executor);

	return hash == PH_EXECUTOR_NONE || hash == PH_EXECUTOR_UNKNOWN ? 1
								       : hash;
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
		      const struct ph_batch_request *request)
{
	struct ph_batch_request *copy = mem->calloc(1, sizeof(*copy));

	*copy = *request;
	copy->spec = ph_memdup(mem, request->spec, request->spec_len);
	return copy;
}

uint64_t
ph_batch_request_max_useful_wait_us(const struct ph_batch_request *request)
{
	uint64_t useful_us = PH_LATE_TARGETS * request->target_us;

	if (!request->target_us)
		return UINT64_MAX;
	return useful_us > request->estimate_us
		       ? useful_us - request->estimate_us
		       : 0;
}

bool ph_batch_request_too_late(const struct ph_batch_request *request,
			       uint64_t waited_us)
{
	return waited_us > ph_batch_request_max_useful_wait_us(request);
}

void ph_batch_request_free(const struct ph_mem *mem,
			   struct ph_batch_request *request)
{
	if (!request)
		return;
	mem->free(request->spec);
	mem->free(request);
}

const char *ph_verdict_name(enum ph_verdict verdict)
{
	static const char *const names[] = { "done", "failed", "not-run",
					     "broken", "moved" };

	return names[verdict];
}
