#ifndef PH_MECHANISMS_H
#define PH_MECHANISMS_H

/*
 * Mechanisms that an experiment can switch off, one by one, to measure what
 * each is worth (tools/ablate.py). They are all on otherwise.
 */

#include <stdbool.h>
#include <stdint.h>

enum ph_mechanism {
	PH_MECHANISM_SLACK_ORDER,
	PH_MECHANISM_SLACK_MARGIN,
	PH_MECHANISM_EARLY_REFUSAL,
	PH_MECHANISM_USEFUL_WAIT,
	PH_MECHANISM_PENDING_POLLS,
	PH_MECHANISM_AVOID_FAILING,
	PH_MECHANISM_AVOID_UNANSWERING,
	PH_MECHANISM_WIDESPREAD_LOSS,
	PH_MECHANISM_MOVE_SLOW,
	PH_MECHANISM_PROGRESS_CHECKS,
	PH_MECHANISM_SHORT_POLLS,
	PH_MECHANISM_SHORT_TIMEOUT,
	PH_MECHANISM_CLAIM_ORPHANS,
	PH_MECHANISM_SPREAD,
	PH_MECHANISM_SECOND_POOL,
	PH_MECHANISM_START_WAIT,
	PH_MECHANISM_OFFERS,
	PH_MECHANISM_PROBES,
	PH_MECHANISM_SHARED_PLAN,
	PH_MECHANISM_READY_FIRST,
	PH_MECHANISM_LENGTH_LIMIT,
	PH_MECHANISM_ADMISSION,
	PH_MECHANISM_BEST_FIT,
	PH_MECHANISM_LOOK_AHEAD,
	PH_MECHANISMS,
};

/** A set of mechanisms that are switched off. */
struct ph_mechanisms_off {
	uint32_t bits;
};

static inline bool ph_mechanism_on(struct ph_mechanisms_off off,
				   enum ph_mechanism mechanism)
{
	return !(off.bits >> mechanism & 1);
}

/** Name of a mechanism in settings. */
const char *ph_mechanism_name(enum ph_mechanism mechanism);

/** Reads a list of names, separated by commas; an empty one, or NULL,
 * switches nothing off. Returns PH_ERR_UNKNOWN if a name is unknown, and then
 * copies it to unknown, which has PH_NAME_BYTES. */
int ph_mechanisms_parse(const char *names, struct ph_mechanisms_off *off,
			char *unknown);

#endif
