#include <time.h>

#include "clock.h"

#define US_PER_S 1000000U
#define MS_PER_S 1000U
#define NS_PER_US 1000U
#define NS_PER_MS 1000000U

static uint64_t read_us(clockid_t clock)
{
	struct timespec t;

	clock_gettime(clock, &t);
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_nsec / NS_PER_US;
}

uint64_t ph_clock_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

uint64_t ph_clock_unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * MS_PER_S + (uint64_t)t.tv_nsec / NS_PER_MS;
}

uint64_t ph_clock_suspended_us(void)
{
	uint64_t monotonic_us = read_us(CLOCK_MONOTONIC);
	uint64_t boot_us = read_us(CLOCK_BOOTTIME);

	return boot_us > monotonic_us ? boot_us - monotonic_us : 0;
}
