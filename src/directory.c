#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "log.h"

#define PART "directory"
/* The platform's bound: entries that lapsed while its store was away are back
 * within two seconds of its return; half a second for the read itself. */
#define COME_BACK_US 2500000U
/* Reads that fail for longer than this mean that the store is away. */
#define AWAY_US 1000000U

struct ph_directory {
	const struct ph_mem *mem;
	struct ph_executor_info *list;
	size_t count;
	uint64_t read_us;
	uint64_t first_failed_us;
	/** Missing entries are kept until then. */
	uint64_t keep_until_us;
};

struct ph_directory *ph_directory_new(const struct ph_mem *mem)
{
	struct ph_directory *d = mem->calloc(1, sizeof(*d));

	d->mem = mem;
	return d;
}

void ph_directory_free(struct ph_directory *d)
{
	if (!d)
		return;
	d->mem->free(d->list);
	d->mem->free(d);
}

uint64_t ph_directory_age_us(const struct ph_directory *d, uint64_t now_us)
{
	return d->read_us ? now_us - d->read_us : UINT64_MAX;
}

const struct ph_executor_info *ph_directory_list(const struct ph_directory *d,
						 size_t *count)
{
	*count = d->count;
	return d->list;
}

void ph_directory_failed(struct ph_directory *d, uint64_t now_us)
{
	if (!d->first_failed_us)
		d->first_failed_us = now_us;
}

static int compare(const void *a, const void *b)
{
	const struct ph_executor_info *x = a;
	const struct ph_executor_info *y = b;

	return strcmp(x->id, y->id);
}

/* Finds an entry in a list that is sorted by id. */
static const struct ph_executor_info *find(const struct ph_executor_info *list,
					   size_t count, const char *id)
{
	struct ph_executor_info key;

	ph_strcopy(key.id, sizeof(key.id), id);
	return count ? bsearch(&key, list, count, sizeof(*list), compare)
		     : NULL;
}

static void log_changes(const struct ph_directory *d,
			const struct ph_executor_info *list, size_t count,
			bool keep)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const struct ph_executor_info *old =
			find(d->list, d->count, list[i].id);

		if (!old || old->draining != list[i].draining)
			ph_event(PART,
				 "event=executor_listed executor=%s domain=%s "
				 "draining=%d cpu_milli=%u",
				 list[i].id, list[i].domain, list[i].draining,
				 list[i].capacity.cpu_milli);
	}
	for (i = 0; i < d->count; i++)
		if (!find(list, count, d->list[i].id))
			ph_event(PART,
				 "event=executor_unlisted executor=%s kept=%d",
				 d->list[i].id, keep);
}

void ph_directory_read(struct ph_directory *d, uint64_t now_us,
		       uint64_t asked_us, const struct ph_executor_info *list,
		       size_t count)
{
	struct ph_executor_info *fresh;
	size_t n = count;
	bool keep;
	size_t i;

	if (d->first_failed_us && asked_us > d->first_failed_us + AWAY_US)
		d->keep_until_us = now_us + COME_BACK_US;
	d->first_failed_us = 0;
	if (!count)
		return;
	keep = now_us < d->keep_until_us;
	fresh = d->mem->calloc(count + d->count, sizeof(*fresh));
	memcpy(fresh, list, count * sizeof(*fresh));
	qsort(fresh, count, sizeof(*fresh), compare);
	log_changes(d, fresh, count, keep);
	for (i = 0; keep && i < d->count; i++)
		if (!find(fresh, count, d->list[i].id))
			fresh[n++] = d->list[i];
	qsort(fresh, n, sizeof(*fresh), compare);
	d->mem->free(d->list);
	d->list = fresh;
	d->count = n;
	d->read_us = asked_us;
}
