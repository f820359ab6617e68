#ifndef PH_EVACUATION_H
#define PH_EVACUATION_H

/*
 * The operators' requests to evacuate failure domains, as one instance knows
 * them: which domains get no new tasks, as of which revision of the store, and
 * how much of its load a domain gets again after the end of its evacuation.
 * docs/design/evacuation.md describes how instances learn of changes.
 */

#include <stdbool.h>

#include "buf.h"

/** Most requests that an instance keeps; a deployment has a handful of domains.
 * Names beyond this many are skipped and counted. */
#define PH_EVACUATIONS_MAX 256U

/** A domain that is evacuated, or was until recently. */
struct ph_evacuated_domain {
	/** Interned. */
	const char *name;
	bool active;
	/** When this instance learned of the end; while active: unused. */
	uint64_t ended_us;
};

struct ph_evacuation {
	const struct ph_mem *mem;
	struct ph_evacuated_domain *domains;
	size_t count;
	/** Revision of the store as of which the set is valid; 0: unknown. */
	uint64_t revision;
	/** Revision at which this instance first saw the present set; 1 if its
	 * first view was empty and still is. It is what heartbeats carry, as it
	 * changes with the set only. */
	uint64_t changed_revision;
	/** The local time at which the set was valid. */
	uint64_t valid_us;
	/** Without a view, until when no task starts. */
	uint64_t await_until_us;
	/** When a view was last requested of a peer. */
	uint64_t requested_us;
	/** Names of the last update that were skipped. */
	size_t skipped;
};

void ph_evacuation_init(struct ph_evacuation *e, const struct ph_mem *mem,
			uint64_t now_us);
void ph_evacuation_clear(struct ph_evacuation *e);

/**
 * Offers a view: the names of all evacuated domains as of a revision of the
 * store, age_us ago. One that is older than the present view is ignored.
 * Returns true if the set has changed, or is the first one.
 */
bool ph_evacuation_update(struct ph_evacuation *e, uint64_t now_us,
			  uint64_t revision, uint64_t age_us,
			  const char *const *names, size_t count);

/** Whether a domain is evacuated, as far as this instance knows. */
bool ph_evacuation_active(const struct ph_evacuation *e, const char *domain);

/** Whether any domain is evacuated. */
bool ph_evacuation_any(const struct ph_evacuation *e);

/** Whether a task may start in a domain: it is not evacuated, and a view is
 * known or has been awaited for long enough. */
bool ph_evacuation_allows_start(const struct ph_evacuation *e, uint64_t now_us,
				const char *domain);

/** Share of its usual load that a domain gets, in thousandths: 0 while it is
 * evacuated, and increasing to 1000 after the end. */
uint32_t ph_evacuation_share_permille(const struct ph_evacuation *e,
				      uint64_t now_us, const char *domain);

/** Age of the view; 0 if there is none. */
uint64_t ph_evacuation_age_us(const struct ph_evacuation *e, uint64_t now_us);

/**
 * A peer's heartbeat carries this revision and age of its view (0: none).
 * Returns true if its view is to be requested now: it knows of a change that
 * this instance does not, or this instance can't read the store and the peer's
 * view is more recent.
 */
bool ph_evacuation_wants_view(struct ph_evacuation *e, uint64_t now_us,
			      uint64_t revision, uint64_t age_us);

/** Lists the names of evacuated domains into names, which has
 * PH_EVACUATIONS_MAX entries; returns their number. */
size_t ph_evacuation_names(const struct ph_evacuation *e, const char **names);

#endif
