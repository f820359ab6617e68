#include <gtest/gtest.h>

extern "C" {
#include "startup.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kStartUs = 5000 * kMs;

struct WaitCase {
	const char *what;
	/** After the start of the instance. */
	uint64_t arrived_ms;
	uint64_t caller_timeout_ms;
	/** Time after the arrival for which the request waits. */
	uint64_t waits_ms;
};

/* All callers return while the instances restart after an outage. A request
 * waits for the configuration or an owner, but never past the start-up phase or
 * about half of its caller's timeout. */
TEST(Startup, ARequestWaitsForAShortTimeWhileTheInstanceStarts)
{
	const WaitCase cases[] = {
		{ "right after the start", 1, 1500, 600 },
		{ "short timeout of the caller", 1, 200, 90 },
		{ "timeout of the caller unknown", 1, 0, 600 },
		{ "near the end of the start-up phase", 2900, 1500, 100 },
		{ "after the start-up phase", 3010, 1500, 0 },
	};

	for (const WaitCase &c : cases) {
		SCOPED_TRACE(c.what);
		uint64_t end_us = ph_startup_end_us(kStartUs);
		uint64_t arrived_us = kStartUs + c.arrived_ms * kMs;
		uint64_t timeout_us = c.caller_timeout_ms * kMs;
		uint64_t until_us = arrived_us + c.waits_ms * kMs;

		EXPECT_EQ(ph_startup_may_wait(end_us, until_us - kMs,
					      arrived_us, timeout_us),
			  c.waits_ms > 0);
		EXPECT_FALSE(ph_startup_may_wait(end_us, until_us, arrived_us,
						 timeout_us));
	}
}

} // namespace
