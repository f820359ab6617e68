#ifndef PH_CLOCK_H
#define PH_CLOCK_H

/* The clocks that drivers read; deciders are given the time. */

#include <stdint.h>

/** Steady clock, microseconds; any thread. */
uint64_t ph_clock_us(void);

/** Unix time, milliseconds; any thread. */
uint64_t ph_clock_unix_ms(void);

/** Time that the steady clock has not counted while the machine was
 * suspended. */
uint64_t ph_clock_suspended_us(void);

#endif
