#include <string.h>

#include "pool_lengths.h"

/* Duration of an interval for which offered work is remembered. */
#define SLOT_US 2000000U
/* Shortest time by which the offered work is divided: a few jobs right after
 * the start say little. */
#define SPAN_MIN_US 100000U
/* A task is far longer than a job can wait if more than this many octaves lie
 * between them. */
#define FAR_OCTAVES 1U
/* Capacity that is kept free, in percent of what is offered on average: jobs
 * arrive unevenly, need room for several tasks at a time, and don't fill
 * executors exactly. */
#define KEPT_PERCENT 200U
/* Part of the capacity that tasks may always hold, however much is offered by
 * jobs that can't outwait them. */
#define PART_PERCENT 12U
#define PERCENT 100U

uint32_t ph_lengths_octave(uint64_t us)
{
	uint32_t n = 0;

	while (us >>= 1)
		n++;
	return n < PH_LENGTH_OCTAVES ? n : PH_LENGTH_OCTAVES - 1;
}

uint32_t ph_lengths_far_octave(uint64_t longest_wait_us)
{
	uint32_t far = ph_lengths_octave(longest_wait_us) + FAR_OCTAVES + 1;

	return far < PH_LENGTH_OCTAVES ? far : PH_LENGTH_OCTAVES;
}

void ph_lengths_offer(struct ph_lengths *l, uint64_t now_us,
		      uint64_t longest_wait_us, uint64_t milli_us)
{
	uint64_t number = now_us / SLOT_US + 1;
	struct ph_offer_slot *slot = &l->offers[number % PH_OFFER_SLOTS];

	if (slot->number != number) {
		memset(slot, 0, sizeof(*slot));
		slot->number = number;
	}
	slot->milli_us[ph_lengths_octave(longest_wait_us)] += milli_us;
}

/* Core time per time that jobs offer, in thousandths of a core, by the octave
 * of their longest wait. */
static void offered_milli(const struct ph_lengths *l, uint64_t now_us,
			  uint64_t *milli)
{
	uint64_t number = now_us / SLOT_US + 1;
	uint64_t span_us = (PH_OFFER_SLOTS - 1) * SLOT_US + now_us % SLOT_US;
	uint32_t i;
	uint32_t k;

	if (now_us < l->since_us + span_us)
		span_us = now_us > l->since_us ? now_us - l->since_us : 0;
	if (span_us < SPAN_MIN_US)
		span_us = SPAN_MIN_US;
	for (k = 0; k < PH_LENGTH_OCTAVES; k++) {
		milli[k] = 0;
		for (i = 0; i < PH_OFFER_SLOTS; i++)
			if (l->offers[i].number + PH_OFFER_SLOTS > number)
				milli[k] += l->offers[i].milli_us[k];
		milli[k] /= span_us;
	}
}

void ph_lengths_begin(struct ph_lengths *l, uint64_t now_us,
		      uint64_t capacity_milli)
{
	uint64_t most = capacity_milli * (PERCENT - PART_PERCENT) / PERCENT;
	uint64_t offered[PH_LENGTH_OCTAVES];
	uint64_t kept = 0;
	uint32_t k;

	l->capacity_milli = capacity_milli;
	memset(l->held_milli, 0, sizeof(l->held_milli));
	memset(l->left_milli_us, 0, sizeof(l->left_milli_us));
	offered_milli(l, now_us, offered);
	for (k = 0; k < PH_LENGTH_OCTAVES; k++) {
		if (k > FAR_OCTAVES)
			kept += offered[k - FAR_OCTAVES - 1] * KEPT_PERCENT /
				PERCENT;
		l->limit_milli[k] =
			capacity_milli - (kept < most ? kept : most);
	}
}

void ph_lengths_hold(struct ph_lengths *l, uint64_t length_us, uint64_t left_us,
		     uint64_t milli)
{
	uint32_t length = ph_lengths_octave(length_us);

	l->held_milli[length] += milli;
	l->left_milli_us[length] += left_us * milli;
}

uint64_t ph_lengths_held_milli(const struct ph_lengths *l)
{
	uint64_t held = 0;
	uint32_t k;

	for (k = 0; k < PH_LENGTH_OCTAVES; k++)
		held += l->held_milli[k];
	return held;
}

uint64_t ph_lengths_limit_milli(const struct ph_lengths *l, uint64_t length_us)
{
	return l->limit_milli[ph_lengths_octave(length_us)];
}

bool ph_lengths_allows(const struct ph_lengths *l, uint64_t length_us,
		       uint64_t milli)
{
	uint32_t length = ph_lengths_octave(length_us);
	uint64_t held = 0;
	uint32_t k = PH_LENGTH_OCTAVES;

	while (k--) {
		held += l->held_milli[k];
		if (k <= length && held && held + milli > l->limit_milli[k])
			return false;
	}
	return true;
}

uint64_t ph_lengths_wait_us(const struct ph_lengths *l,
			    const uint64_t *waiting_milli_us,
			    uint64_t length_us, uint64_t milli)
{
	uint32_t length = ph_lengths_octave(length_us);
	uint64_t last_milli_us = milli * length_us;
	uint64_t longest_us = 0;
	uint64_t sum = 0;
	uint32_t k = PH_LENGTH_OCTAVES;

	while (k--) {
		/* A task that needs more than all may hold runs by itself. */
		uint64_t shared =
			l->limit_milli[k] > milli ? l->limit_milli[k] : milli;

		sum += l->left_milli_us[k] + waiting_milli_us[k];
		if (k <= length && l->limit_milli[k] < l->capacity_milli &&
		    sum > last_milli_us + longest_us * shared)
			longest_us = (sum - last_milli_us) / shared;
	}
	return longest_us;
}
