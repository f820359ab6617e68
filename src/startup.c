#include "startup.h"

/* Length of the start-up phase. */
#define STARTUP_US 3000000U
/* Longest wait of a request. */
#define WAIT_MAX_US 600000U
/* Longest wait in percent of the caller's timeout: leaves the caller time to
 * submit the job elsewhere. */
#define WAIT_MAX_PERCENT 45U

uint64_t ph_startup_end_us(uint64_t start_us)
{
	return start_us + STARTUP_US;
}

bool ph_startup_may_wait(uint64_t startup_end_us, uint64_t now_us,
			 uint64_t arrived_us, uint64_t caller_timeout_us)
{
	uint64_t wait_us = caller_timeout_us * WAIT_MAX_PERCENT / 100;

	if (!caller_timeout_us || wait_us > WAIT_MAX_US)
		wait_us = WAIT_MAX_US;
	return now_us < startup_end_us && now_us < arrived_us + wait_us;
}
