#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "buf.h"
#include "mechanisms.h"
}

namespace
{

struct ListCase {
	const char *names;
	int result;
	std::set<ph_mechanism> off;
	const char *unknown;
};

TEST(Mechanisms, AListOfNamesSwitchesThemOff)
{
	const ListCase cases[] = {
		{ nullptr, 0, {}, "" },
		{ "", 0, {}, "" },
		{ "spread", 0, { PH_MECHANISM_SPREAD }, "" },
		{ "probes,slack-order",
		  0,
		  { PH_MECHANISM_PROBES, PH_MECHANISM_SLACK_ORDER },
		  "" },
		{ "spread,nothing", PH_ERR_UNKNOWN, {}, "nothing" },
		{ "spreads", PH_ERR_UNKNOWN, {}, "spreads" },
		{ ",spread", PH_ERR_UNKNOWN, {}, "" },
	};

	for (const ListCase &c : cases) {
		SCOPED_TRACE(c.names ? c.names : "none");
		struct ph_mechanisms_off off;
		char unknown[PH_NAME_BYTES] = "";

		EXPECT_EQ(ph_mechanisms_parse(c.names, &off, unknown),
			  c.result);
		EXPECT_STREQ(unknown, c.unknown);
		for (int i = 0; !c.result && i < PH_MECHANISMS; i++) {
			ph_mechanism m = static_cast<ph_mechanism>(i);

			EXPECT_EQ(ph_mechanism_on(off, m), !c.off.count(m));
		}
	}
}

/* Each mechanism has a name of its own, by which it can be switched off. */
TEST(Mechanisms, NamesAreDistinct)
{
	std::set<std::string> names;

	for (int i = 0; i < PH_MECHANISMS; i++)
		names.insert(ph_mechanism_name(static_cast<ph_mechanism>(i)));
	EXPECT_EQ(names.size(), (size_t)PH_MECHANISMS);
}

} // namespace
