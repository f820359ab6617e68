#ifndef PH_STARTUP_H
#define PH_STARTUP_H

/*
 * Requests that arrive at an instance which has just started and does not have
 * all it needs: the configuration, or an owner of a pool. They wait for a short
 * time rather than being refused for something that is about to arrive.
 */

#include <stdbool.h>
#include <stdint.h>

/** End of the start-up phase of an instance that started at start_us.
 * Afterwards what is missing is not expected to arrive soon. */
uint64_t ph_startup_end_us(uint64_t start_us);

/** Whether a request that arrived at arrived_us may wait on. caller_timeout_us
 * is the caller's timeout, counted from the arrival; 0: unknown. */
bool ph_startup_may_wait(uint64_t startup_end_us, uint64_t now_us,
			 uint64_t arrived_us, uint64_t caller_timeout_us);

#endif
