#ifndef PH_CLOCK_H
#define PH_CLOCK_H

/*
 * Clocks. Only code that runs threads and I/O reads them; the modules that make
 * decisions get the time as a parameter, so that tests can set it.
 */

#include <stdint.h>

/** Monotonic time in microseconds; stands still while the machine sleeps. */
uint64_t ph_clock_us(void);

/** Unix time in milliseconds. */
uint64_t ph_clock_unix_ms(void);

/**
 * Microseconds that the machine has spent suspended since it was booted, which
 * ph_clock_us does not count.
 */
uint64_t ph_clock_suspended_us(void);

#endif
