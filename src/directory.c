#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "ident.h"
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
	uint64_t digest;
	/** The list before the last read, for what changed. */
	struct ph_executor_info *old;
	size_t old_count;
	uint64_t old_digest;
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
	d->mem->free(d->old);
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

void ph_directory_read_failed(struct ph_directory *d, uint64_t now_us)
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

/* ## Digests */

static uint64_t chain(uint64_t hash, const char *text)
{
	return ph_rendezvous_weight(hash, ph_hash_str(text));
}

static uint64_t entry_hash(const struct ph_executor_info *x)
{
	uint32_t numbers[] = { x->capacity.cpu_milli, x->capacity.mem_mb,
			       x->capacity.gpu, x->draining };
	uint64_t hash = ph_hash(numbers, sizeof(numbers));

	hash = chain(hash, x->id);
	hash = chain(hash, x->addr);
	hash = chain(hash, x->domain);
	hash = chain(hash, x->service);
	return chain(hash, x->labels);
}

static uint64_t digest_of(const struct ph_executor_info *list, size_t count)
{
	uint64_t digest = count;
	size_t i;

	for (i = 0; i < count; i++)
		digest ^= entry_hash(&list[i]);
	return digest;
}

uint64_t ph_directory_digest(const struct ph_directory *d)
{
	return d->count ? d->digest : 0;
}

/* ## Reads */

/* Takes a sorted list over; true if it is another than the one in force. */
static bool put_in_force(struct ph_directory *d, struct ph_executor_info *list,
			 size_t count)
{
	uint64_t digest = digest_of(list, count);

	if (d->count && digest == d->digest) {
		d->mem->free(list);
		return false;
	}
	d->mem->free(d->old);
	d->old = d->list;
	d->old_count = d->count;
	d->old_digest = ph_directory_digest(d);
	d->list = list;
	d->count = count;
	d->digest = digest;
	return true;
}

bool ph_directory_read(struct ph_directory *d, uint64_t now_us,
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
		return false;
	keep = now_us < d->keep_until_us;
	fresh = d->mem->calloc(count + d->count, sizeof(*fresh));
	memcpy(fresh, list, count * sizeof(*fresh));
	qsort(fresh, count, sizeof(*fresh), compare);
	log_changes(d, fresh, count, keep);
	for (i = 0; keep && i < d->count; i++)
		if (!find(fresh, count, d->list[i].id))
			fresh[n++] = d->list[i];
	qsort(fresh, n, sizeof(*fresh), compare);
	d->read_us = asked_us;
	return put_in_force(d, fresh, n);
}

/* ## Changes */

static bool add_changed(const struct ph_directory *d,
			struct ph_list_change *change)
{
	size_t i;

	for (i = 0; i < d->count; i++) {
		const struct ph_executor_info *old =
			find(d->old, d->old_count, d->list[i].id);

		if (old && entry_hash(old) == entry_hash(&d->list[i]))
			continue;
		if (change->set_count == PH_LIST_CHANGES_MAX)
			return false;
		change->set[change->set_count++] = d->list[i];
	}
	return true;
}

static bool add_gone(const struct ph_directory *d,
		     struct ph_list_change *change)
{
	size_t i;

	for (i = 0; i < d->old_count; i++) {
		if (find(d->list, d->count, d->old[i].id))
			continue;
		if (change->gone_count == PH_LIST_CHANGES_MAX)
			return false;
		ph_strcopy(change->gone[change->gone_count++], PH_NAME_BYTES,
			   d->old[i].id);
	}
	return true;
}

bool ph_directory_last_change(const struct ph_directory *d, uint64_t now_us,
			 struct ph_list_change *change)
{
	change->before = d->old_digest;
	change->after = ph_directory_digest(d);
	change->age_us = now_us - d->read_us;
	change->set_count = 0;
	change->gone_count = 0;
	return add_changed(d, change) && add_gone(d, change);
}

static bool is_touched(const struct ph_list_change *change, const char *id)
{
	size_t i;

	for (i = 0; i < change->gone_count; i++)
		if (!strcmp(change->gone[i], id))
			return true;
	for (i = 0; i < change->set_count; i++)
		if (!strcmp(change->set[i].id, id))
			return true;
	return false;
}

bool ph_directory_apply(struct ph_directory *d, uint64_t now_us,
			const struct ph_list_change *change)
{
	struct ph_executor_info *fresh;
	size_t n = 0;
	size_t i;

	if (!d->count || d->digest != change->before)
		return false;
	fresh = d->mem->calloc(d->count + change->set_count, sizeof(*fresh));
	for (i = 0; i < d->count; i++)
		if (!is_touched(change, d->list[i].id))
			fresh[n++] = d->list[i];
	for (i = 0; i < change->set_count; i++)
		fresh[n++] = change->set[i];
	qsort(fresh, n, sizeof(*fresh), compare);
	if (!n || digest_of(fresh, n) != change->after) {
		d->mem->free(fresh);
		return false;
	}
	log_changes(d, fresh, n, false);
	ph_directory_confirm(d, now_us - change->age_us);
	return put_in_force(d, fresh, n);
}

void ph_directory_confirm(struct ph_directory *d, uint64_t read_us)
{
	if (read_us > d->read_us)
		d->read_us = read_us;
}
