#include <gtest/gtest.h>

extern "C" {
#include "entry_core.h"
}

namespace
{

/* An instance that stood still read the first attempt of a job after its caller
 * had submitted the job again elsewhere, and took it for the only one: it may
 * start tasks without asking where others may have started them. */
TEST(EntryRequests,
     AFirstAttemptReadAfterItsCallerHasLeftIsNotTakenForTheOnlyOne)
{
	const struct {
		const char *header;
		bool hung_up;
		uint32_t attempt;
	} cases[] = {
		{ "1", false, 1 },    { "1", true, 0 },	  { "2", false, 2 },
		{ "2", true, 0 },     { NULL, false, 0 }, { NULL, true, 0 },
		{ "none", false, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.header ? c.header : "no header");
		SCOPED_TRACE(c.hung_up);
		EXPECT_EQ(ph_request_attempt(c.header, c.hung_up), c.attempt);
	}
}

} // namespace
