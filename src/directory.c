#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "ident.h"
#include "log.h"

#define PART "directory"
/* Time after an outage for which missing entries are retained. The platform
 * guarantees that entries which expired while its store was unavailable are
 * listed again within 2 s of its return; a read may take another 0.5 s. */
#define RETAIN_MISSING_US 2500000U
/* Reads that fail for longer than this count as an outage of the store. */
#define OUTAGE_MIN_US 1000000U

struct ph_directory {
	const struct ph_mem *mem;
	struct ph_executor_info *list;
	size_t count;
	uint64_t digest;
	/** The list that the current one replaced, to compute the change. */
	struct ph_executor_info *previous;
	size_t previous_count;
	uint64_t previous_digest;
	/** When the read that last gave or confirmed the list was sent. */
	uint64_t read_us;
	/** First failure since the last successful read; 0: none. */
	uint64_t first_failed_us;
	/** Until this time missing entries stay in the list. */
	uint64_t retain_until_us;
};

struct ph_directory *ph_directory_new(const struct ph_mem *mem)
{
	struct ph_directory *d = mem->calloc(1, sizeof(*d));

	d->mem = mem;
	return d;
}

static void free_list(const struct ph_mem *mem, struct ph_executor_info *list,
		      size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		ph_executor_info_clear(mem, &list[i]);
	mem->free(list);
}

void ph_directory_free(struct ph_directory *d)
{
	if (!d)
		return;
	free_list(d->mem, d->list, d->count);
	free_list(d->mem, d->previous, d->previous_count);
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

/* Finds an entry in a list that is sorted by id; NULL if there is none. */
static const struct ph_executor_info *find(const struct ph_executor_info *list,
					   size_t count, const char *id)
{
	struct ph_executor_info key = { .id = id };

	return count ? bsearch(&key, list, count, sizeof(*list), compare)
		     : NULL;
}

/* Logs entries that are new, start or stop draining, or are missing in a list
 * compared with the current one. */
static void log_changes(const struct ph_directory *d,
			const struct ph_executor_info *list, size_t count,
			bool retain)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const struct ph_executor_info *previous =
			find(d->list, d->count, list[i].id);

		if (!previous || previous->draining != list[i].draining)
			ph_event(PART,
				 "event=executor_listed executor=%s domain=%s "
				 "draining=%d cpu_milli=%u",
				 list[i].id, list[i].domain, list[i].draining,
				 list[i].capacity.cpu_milli);
	}
	for (i = 0; i < d->count; i++)
		if (!find(list, count, d->list[i].id))
			ph_event(PART,
				 "event=executor_unlisted executor=%s "
				 "retained=%d",
				 d->list[i].id, retain);
}

/* ## Digests */

static uint64_t combine_hash(uint64_t hash, const char *text)
{
	return ph_rendezvous_weight(hash, ph_hash_str(text));
}

static uint64_t entry_hash(const struct ph_executor_info *x)
{
	uint32_t numbers[] = { x->capacity.cpu_milli, x->capacity.mem_mb,
			       x->capacity.gpu, x->draining };
	uint64_t hash = ph_hash(numbers, sizeof(numbers));

	hash = combine_hash(hash, x->id);
	hash = combine_hash(hash, x->addr);
	hash = combine_hash(hash, x->domain);
	hash = combine_hash(hash, x->service);
	hash = combine_hash(hash, x->labels);
	return x->started_ms ? ph_rendezvous_weight(hash, x->started_ms) : hash;
}

/* Digest of a list; does not depend on the order of its entries. */
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

/* Makes a list sorted by id, whose texts are borrowed, the current one, and
 * takes ownership of the array. Returns false, and frees it, if its content is
 * that of the current list. */
static bool replace_list(struct ph_directory *d, struct ph_executor_info *list,
			 size_t count)
{
	uint64_t digest = digest_of(list, count);
	size_t i;

	if (d->count && digest == d->digest) {
		d->mem->free(list);
		return false;
	}
	for (i = 0; i < count; i++)
		ph_executor_info_copy(d->mem, &list[i], &list[i]);
	free_list(d->mem, d->previous, d->previous_count);
	d->previous = d->list;
	d->previous_count = d->count;
	d->previous_digest = ph_directory_digest(d);
	d->list = list;
	d->count = count;
	d->digest = digest;
	return true;
}

bool ph_directory_read(struct ph_directory *d, uint64_t now_us,
		       uint64_t asked_us, const struct ph_executor_info *list,
		       size_t count)
{
	struct ph_executor_info *next;
	size_t n = count;
	bool retain;
	size_t i;

	if (d->first_failed_us && asked_us > d->first_failed_us + OUTAGE_MIN_US)
		d->retain_until_us = now_us + RETAIN_MISSING_US;
	d->first_failed_us = 0;
	if (!count)
		return false;
	retain = now_us < d->retain_until_us;
	next = d->mem->calloc(count + d->count, sizeof(*next));
	memcpy(next, list, count * sizeof(*next));
	qsort(next, count, sizeof(*next), compare);
	log_changes(d, next, count, retain);
	for (i = 0; retain && i < d->count; i++)
		if (!find(next, count, d->list[i].id))
			next[n++] = d->list[i];
	qsort(next, n, sizeof(*next), compare);
	d->read_us = asked_us;
	return replace_list(d, next, n);
}

/* ## Changes */

static size_t text_bytes(const struct ph_executor_info *x)
{
	return strlen(x->id) + strlen(x->domain) + strlen(x->service) +
	       strlen(x->labels);
}

static bool add_updated(const struct ph_directory *d,
			struct ph_list_change *change)
{
	size_t bytes = 0;
	size_t i;

	for (i = 0; i < d->count; i++) {
		const struct ph_executor_info *previous =
			find(d->previous, d->previous_count, d->list[i].id);

		if (previous && entry_hash(previous) == entry_hash(&d->list[i]))
			continue;
		bytes += text_bytes(&d->list[i]);
		if (change->updated_count == PH_LIST_CHANGES_MAX ||
		    bytes > PH_LIST_CHANGE_BYTES_MAX)
			return false;
		change->updated[change->updated_count++] = d->list[i];
	}
	return true;
}

static bool add_removed(const struct ph_directory *d,
			struct ph_list_change *change)
{
	size_t i;

	for (i = 0; i < d->previous_count; i++) {
		if (find(d->list, d->count, d->previous[i].id))
			continue;
		if (change->removed_count == PH_LIST_CHANGES_MAX)
			return false;
		change->removed[change->removed_count++] = d->previous[i].id;
	}
	return true;
}

bool ph_directory_last_change(const struct ph_directory *d, uint64_t now_us,
			      struct ph_list_change *change)
{
	change->digest_before = d->previous_digest;
	change->digest_after = ph_directory_digest(d);
	change->age_us = now_us - d->read_us;
	change->updated_count = 0;
	change->removed_count = 0;
	return add_updated(d, change) && add_removed(d, change);
}

static bool is_in_change(const struct ph_list_change *change, const char *id)
{
	size_t i;

	for (i = 0; i < change->removed_count; i++)
		if (!strcmp(change->removed[i], id))
			return true;
	for (i = 0; i < change->updated_count; i++)
		if (!strcmp(change->updated[i].id, id))
			return true;
	return false;
}

bool ph_directory_apply(struct ph_directory *d, uint64_t now_us,
			const struct ph_list_change *change)
{
	struct ph_executor_info *next;
	size_t n = 0;
	size_t i;

	if (!d->count || d->digest != change->digest_before)
		return false;
	next = d->mem->calloc(d->count + change->updated_count, sizeof(*next));
	for (i = 0; i < d->count; i++)
		if (!is_in_change(change, d->list[i].id))
			next[n++] = d->list[i];
	for (i = 0; i < change->updated_count; i++)
		next[n++] = change->updated[i];
	qsort(next, n, sizeof(*next), compare);
	if (!n || digest_of(next, n) != change->digest_after) {
		d->mem->free(next);
		return false;
	}
	log_changes(d, next, n, false);
	/* The sender's clock may have run for longer than the one here. */
	if (change->age_us < now_us)
		ph_directory_confirm(d, now_us - change->age_us);
	return replace_list(d, next, n);
}

void ph_directory_confirm(struct ph_directory *d, uint64_t read_us)
{
	if (read_us > d->read_us)
		d->read_us = read_us;
}
