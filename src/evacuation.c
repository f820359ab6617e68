#include <string.h>

#include "evacuation.h"
#include "intern.h"
#include "log.h"

#define PART "evacuation"
/* Period over which a domain's load is restored after an evacuation: executors
 * that were restarted meanwhile are slow for several seconds after their start.
 */
#define RETURN_US 10000000U
/* Share of the load at the beginning of that period, in thousandths, so that
 * executors get some tasks by which they warm up. */
#define RETURN_FIRST_PERMILLE 50U
#define PERMILLE 1000U
/* How long an instance without a view starts no task: a call to the store
 * (0.7 s) and its repetition after a failure (0.3 s). Far less than the 5 s
 * within which an evacuation has to take effect. */
#define AWAIT_US 1000000U
/* Age from which a view tells that the store can't be read: more than two
 * intervals of reads. */
#define STALE_US 5000000U
/* Shortest interval between two requests for a view, by their reason: a change
 * that this instance lacks, or a view that is more recent. */
#define REQUEST_INTERVAL_US 200000U
#define REFRESH_INTERVAL_US 1000000U

void ph_evacuation_init(struct ph_evacuation *e, const struct ph_mem *mem,
			uint64_t now_us)
{
	memset(e, 0, sizeof(*e));
	e->mem = mem;
	e->await_until_us = now_us + AWAIT_US;
}

void ph_evacuation_clear(struct ph_evacuation *e)
{
	e->mem->free(e->domains);
	e->domains = NULL;
	e->count = 0;
}

uint64_t ph_evacuation_age_us(const struct ph_evacuation *e, uint64_t now_us)
{
	return e->revision && now_us > e->valid_us ? now_us - e->valid_us : 0;
}

static struct ph_evacuated_domain *find(const struct ph_evacuation *e,
					const char *name)
{
	size_t i;

	for (i = 0; i < e->count; i++)
		if (!strcmp(e->domains[i].name, name))
			return &e->domains[i];
	return NULL;
}

static void log_change(const struct ph_evacuation *e,
		       const struct ph_evacuated_domain *domain,
		       uint64_t now_us)
{
	ph_event(PART, "event=%s domain=%s revision=%llu age_us=%llu",
		 domain->active ? "evacuation_seen" : "evacuation_ended",
		 domain->name, (unsigned long long)e->revision,
		 (unsigned long long)ph_evacuation_age_us(e, now_us));
}

static bool listed(const char *name, const char *const *names, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(name, names[i]))
			return true;
	return false;
}

/* Ends the evacuations that are not listed any more. */
static bool end_unlisted(struct ph_evacuation *e, uint64_t now_us,
			 const char *const *names, size_t count)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < e->count; i++) {
		struct ph_evacuated_domain *domain = &e->domains[i];

		if (!domain->active || listed(domain->name, names, count))
			continue;
		domain->active = false;
		domain->ended_us = now_us;
		log_change(e, domain, now_us);
		changed = true;
	}
	return changed;
}

/* Begins the evacuation of a domain; false if it is evacuated already. */
static bool begin(struct ph_evacuation *e, uint64_t now_us, const char *name)
{
	struct ph_evacuated_domain *domain = find(e, name);

	if (domain && domain->active)
		return false;
	if (!domain) {
		e->domains = ph_array_grow(e->mem, e->domains, e->count,
					   sizeof(*e->domains));
		domain = &e->domains[e->count++];
		domain->name = ph_intern(name);
	}
	domain->active = true;
	log_change(e, domain, now_us);
	return true;
}

/* Forgets domains whose load is fully restored. */
static void forget_returned(struct ph_evacuation *e, uint64_t now_us)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < e->count; i++)
		if (e->domains[i].active ||
		    now_us < e->domains[i].ended_us + RETURN_US)
			e->domains[kept++] = e->domains[i];
	e->count = kept;
}

bool ph_evacuation_update(struct ph_evacuation *e, uint64_t now_us,
			  uint64_t revision, uint64_t age_us,
			  const char *const *names, size_t count)
{
	uint64_t valid_us = now_us > age_us ? now_us - age_us : 0;
	bool first = !e->revision;
	bool changed = false;
	size_t skipped = 0;
	size_t i;

	if (!revision || revision < e->revision)
		return false;
	if (revision > e->revision || valid_us > e->valid_us)
		e->valid_us = valid_us;
	e->revision = revision;
	if (count > PH_EVACUATIONS_MAX) {
		skipped = count - PH_EVACUATIONS_MAX;
		count = PH_EVACUATIONS_MAX;
	}
	if (skipped != e->skipped)
		ph_event(PART, "event=evacuations_skipped count=%zu", skipped);
	e->skipped = skipped;
	forget_returned(e, now_us);
	changed |= end_unlisted(e, now_us, names, count);
	for (i = 0; i < count; i++)
		changed |= begin(e, now_us, names[i]);
	/* An empty first view tells peers nothing that they would need at once:
	 * the start of an instance makes none of them request its view. */
	if (changed)
		e->changed_revision = revision;
	else if (first)
		e->changed_revision = 1;
	return changed || first;
}

bool ph_evacuation_active(const struct ph_evacuation *e, const char *domain)
{
	const struct ph_evacuated_domain *found = find(e, domain);

	return found && found->active;
}

bool ph_evacuation_any(const struct ph_evacuation *e)
{
	size_t i;

	for (i = 0; i < e->count; i++)
		if (e->domains[i].active)
			return true;
	return false;
}

bool ph_evacuation_allows_start(const struct ph_evacuation *e, uint64_t now_us,
				const char *domain)
{
	if (!e->revision && now_us < e->await_until_us)
		return false;
	return !ph_evacuation_active(e, domain);
}

uint32_t ph_evacuation_share_permille(const struct ph_evacuation *e,
				      uint64_t now_us, const char *domain)
{
	const struct ph_evacuated_domain *found = find(e, domain);
	uint64_t since_us;

	if (!found)
		return PERMILLE;
	if (found->active)
		return 0;
	since_us = now_us > found->ended_us ? now_us - found->ended_us : 0;
	if (since_us >= RETURN_US)
		return PERMILLE;
	return RETURN_FIRST_PERMILLE +
	       (uint32_t)((PERMILLE - RETURN_FIRST_PERMILLE) * since_us /
			  RETURN_US);
}

bool ph_evacuation_wants_view(struct ph_evacuation *e, uint64_t now_us,
			      uint64_t revision, uint64_t age_us)
{
	uint64_t own_age_us = ph_evacuation_age_us(e, now_us);
	bool newer = revision > e->revision;
	bool fresher = revision && own_age_us > STALE_US &&
		       age_us + STALE_US / 2 < own_age_us;

	if (!newer && !fresher)
		return false;
	if (e->requested_us &&
	    now_us < e->requested_us + (newer ? REQUEST_INTERVAL_US
					      : REFRESH_INTERVAL_US))
		return false;
	e->requested_us = now_us;
	return true;
}

size_t ph_evacuation_names(const struct ph_evacuation *e, const char **names)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < e->count && n < PH_EVACUATIONS_MAX; i++)
		if (e->domains[i].active)
			names[n++] = e->domains[i].name;
	return n;
}
