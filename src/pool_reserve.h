#ifndef PH_POOL_RESERVE_H
#define PH_POOL_RESERVE_H

/*
 * Reservations of executors for tasks that find no capacity at present: when an
 * executor will have it, by the expected ends of its runs, and which other
 * tasks may start there meanwhile. Reservations are made anew in each placement
 * round. This code reads no clock and changes nothing else.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pool_types.h"

/** A run that occupies an executor. */
struct ph_reserve_run {
	/** When it is expected to end. */
	uint64_t end_us;
	struct ph_capacity need;
};

/** An executor's reservation for one task. */
struct ph_reservation {
	/** When the capacity is expected to be free; 0: nothing is reserved. */
	uint64_t from_us;
	/** What the task needs. */
	struct ph_capacity need;
	/** What is free beside it from then on. */
	struct ph_capacity spare;
};

/** What is likely to be left of a run that has gone on for elapsed_us. percent
 * is its progress after percent_us, 0 if none was reported, run_time_percent
 * the executor's run time relative to the declared one. */
uint64_t ph_reserve_left_us(uint64_t estimate_us, uint32_t run_time_percent,
			    uint64_t elapsed_us, uint32_t percent,
			    uint64_t percent_us);

/** Finds out when an executor will have capacity for a task, and fills in the
 * reservation. Sorts the runs. Returns false if it will not. */
bool ph_reserve_find(const struct ph_capacity *total,
		     struct ph_reserve_run *runs, size_t count,
		     const struct ph_capacity *need, uint64_t now_us,
		     struct ph_reservation *reservation);

/** Whether a task may start beside a reservation: it fits beside the reserved
 * task, or it ends before, even if it runs for longer than the expected time.
 */
bool ph_reserve_admits(const struct ph_reservation *reservation,
		       const struct ph_capacity *need, uint64_t expected_us,
		       uint64_t now_us);

/** Notes the start of such a task. */
void ph_reserve_start(struct ph_reservation *reservation,
		      const struct ph_capacity *need, uint64_t expected_us,
		      uint64_t now_us);

#endif
