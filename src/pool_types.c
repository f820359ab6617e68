#include <string.h>

#include "ident.h"
#include "pool_types.h"

uint32_t ph_executor_hash(const char *executor)
{
	uint32_t hash = (uint32_t)ph_hash_str(executor);

	return hash == PH_EXECUTOR_NONE || hash == PH_EXECUTOR_UNKNOWN ? 1
								       : hash;
}

void ph_unconfirmed_add(struct ph_unconfirmed *to,
			const struct ph_unconfirmed_start *start)
{
	struct ph_unconfirmed_start *known;
	uint32_t i;

	for (i = 0; i < to->count; i++) {
		known = &to->starts[i];
		if (known->index != start->index || known->run != start->run ||
		    known->executor != start->executor)
			continue;
		if (start->age_us < known->age_us)
			known->age_us = start->age_us;
		known->unanswered = known->unanswered || start->unanswered;
		return;
	}
	if (to->count == PH_UNCONFIRMED_MAX)
		to->incomplete = true;
	else
		to->starts[to->count++] = *start;
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

/* Appends len bytes of a text and a terminator; returns the copy. */
static const char *append_text(char **at, const char *text, size_t len)
{
	char *copy = *at;

	if (len)
		memcpy(copy, text, len);
	copy[len] = '\0';
	*at += len + 1;
	return copy;
}

/* ## Batch requests */

void ph_batch_request_set_texts(const struct ph_mem *mem,
				struct ph_batch_request *request,
				const char *service, const char *label,
				const char *spec, size_t spec_len)
{
	size_t service_len = service ? strlen(service) : 0;
	size_t label_len = label ? strlen(label) : 0;
	char *texts = mem->calloc(1, service_len + label_len + spec_len + 3);
	char *at = texts;

	request->service = append_text(&at, service, service_len);
	request->label = append_text(&at, label, label_len);
	request->spec = append_text(&at, spec, spec_len);
	request->spec_len = spec_len;
	request->texts = texts;
}

struct ph_batch_request *
ph_batch_request_copy(const struct ph_mem *mem,
		      const struct ph_batch_request *request)
{
	struct ph_batch_request *copy = mem->calloc(1, sizeof(*copy));

	*copy = *request;
	ph_batch_request_set_texts(mem, copy, request->service, request->label,
				   request->spec, request->spec_len);
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
	mem->free(request->texts);
	mem->free(request);
}

/* ## Executors */

void ph_executor_info_set_texts(const struct ph_mem *mem,
				struct ph_executor_info *info, const char *id,
				const char *domain, const char *service,
				const char *labels)
{
	const char *from[] = { id, domain, service, labels };
	const char **to[] = { &info->id, &info->domain, &info->service,
			      &info->labels };
	size_t len[sizeof(from) / sizeof(from[0])];
	size_t size = 0;
	char *at;
	size_t i;

	for (i = 0; i < sizeof(from) / sizeof(from[0]); i++) {
		len[i] = from[i] ? strlen(from[i]) : 0;
		size += len[i] + 1;
	}
	info->texts = mem->calloc(1, size);
	at = info->texts;
	for (i = 0; i < sizeof(from) / sizeof(from[0]); i++)
		*to[i] = append_text(&at, from[i], len[i]);
}

void ph_executor_info_copy(const struct ph_mem *mem,
			   struct ph_executor_info *to,
			   const struct ph_executor_info *from)
{
	struct ph_executor_info copy = *from;

	ph_executor_info_set_texts(mem, &copy, from->id, from->domain,
				   from->service, from->labels);
	*to = copy;
}

void ph_executor_info_clear(const struct ph_mem *mem,
			    struct ph_executor_info *info)
{
	mem->free(info->texts);
	memset(info, 0, sizeof(*info));
}

/* ## Outcomes */

const char *ph_verdict_name(enum ph_verdict verdict)
{
	static const char *const names[] = { "done", "failed", "not-run",
					     "broken", "moved" };

	return names[verdict];
}
