#ifndef PH_POOL_LENGTHS_H
#define PH_POOL_LENGTHS_H

/*
 * How much of a pool's capacity tasks of different lengths may hold at a time.
 * Tasks aren't preempted, so those that run for far longer than others can wait
 * would in the end hold every executor: each of them stays long after a place
 * has got free for it. What is offered by jobs that can't outwait a task is
 * therefore kept free of such tasks, but for a part that these may always hold.
 * Lengths and waits are those that jobs declare; they are told apart by
 * octaves.
 */

#include <stdbool.h>

#include "buf.h"
#include "pool_admission.h"

/** Octaves of microseconds: up to 71 minutes, the last one without an end. */
#define PH_LENGTH_OCTAVES 32U
/** Intervals for which offered work is remembered. */
#define PH_OFFER_SLOTS 8U

/** Work that was offered in one interval. */
struct ph_offer_slot {
	/** Number of the interval; 0: none. */
	uint64_t number;
	/** Core time in millicore-microseconds, by the octave of the longest
	 * wait. */
	uint64_t milli_us[PH_LENGTH_OCTAVES];
};

/** The executors of one service in one pool. */
struct ph_lengths {
	struct ph_lengths *next;
	/** Owned; of any length. */
	char *service;
	/** What the refusal of hopeless batches goes by. */
	struct ph_admission admission;
	/** Since when offered work has been counted. */
	uint64_t since_us;
	/** Ring, by the number of the interval. */
	struct ph_offer_slot offers[PH_OFFER_SLOTS];
	/** State of a placement round, in thousandths of a core: capacity of
	 * the executors that may be usable, most that tasks from an octave of
	 * length on may hold, and what tasks of each octave hold. */
	uint64_t capacity_milli;
	uint64_t limit_milli[PH_LENGTH_OCTAVES];
	uint64_t held_milli[PH_LENGTH_OCTAVES];
	/** What is left of the declared core time of these. */
	uint64_t left_milli_us[PH_LENGTH_OCTAVES];
};

/** The octave of a length or wait. */
uint32_t ph_lengths_octave(uint64_t us);
/** The first octave of lengths that are far longer than a wait: tasks of these
 * are to leave capacity free for jobs that can wait for no longer. */
uint32_t ph_lengths_far_octave(uint64_t longest_wait_us);

/** Counts the work of a job that can wait for this long. */
void ph_lengths_offer(struct ph_lengths *lengths, uint64_t now_us,
		      uint64_t longest_wait_us, uint64_t milli_us);

/** Begins a round in which nothing is held yet of this much capacity. */
void ph_lengths_begin(struct ph_lengths *lengths, uint64_t now_us,
		      uint64_t capacity_milli);
/** Counts a task that runs, or that the round has started. length_us is the
 * declared run time, or what it has become, left_us what is left of it. */
void ph_lengths_hold(struct ph_lengths *lengths, uint64_t length_us,
		     uint64_t left_us, uint64_t milli);

/** What tasks of all lengths hold, in thousandths of a core. */
uint64_t ph_lengths_held_milli(const struct ph_lengths *lengths);

/** Most that tasks of a length and longer ones may hold in all, in thousandths
 * of a core. */
uint64_t ph_lengths_limit_milli(const struct ph_lengths *lengths,
				uint64_t length_us);
/** Whether one more task may be started: neither the tasks of its length and
 * longer ones, nor those from any shorter length on, would hold more than they
 * may. One may always run. */
bool ph_lengths_allows(const struct ph_lengths *lengths, uint64_t length_us,
		       uint64_t milli);
/** Least time until tasks that wait have been started, and the own ones of a
 * batch with this length but the last, if what the tasks may hold stays as it
 * is. waiting_milli_us is their core time by octave, the own one included. 0 if
 * the length is not bounded. */
uint64_t ph_lengths_wait_us(const struct ph_lengths *lengths,
			    const uint64_t *waiting_milli_us,
			    uint64_t length_us, uint64_t milli);

#endif
