#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ident.h"
}

namespace
{

struct IdCase {
	const char *text;
	bool valid;
};

TEST(Ident, ValidAndInvalidJobIds)
{
	const std::string longest(95, 'x');
	const std::string too_long(96, 'x');
	const IdCase cases[] = {
		{ "a", true },
		{ "zona-rosario~m0001", true },
		{ "A.b_c-9", true },
		{ "", false },
		{ "a/b", false },
		{ "a b", false },
		{ "caf\xc3\xa9", false },
		{ longest.c_str(), true },
		{ too_long.c_str(), false },
	};

	for (const IdCase &c : cases)
		EXPECT_EQ(ph_id_valid(c.text), c.valid) << c.text;
}

struct HomeCase {
	const char *id;
	int home;
};

TEST(Ident, HomeDomainIsNamedByPrefixOrChosenByHash)
{
	const char *domains[] = { "zona-a", "zona-b", "zona-ab" };
	const HomeCase cases[] = {
		{ "zona-a~1", 0 },
		{ "zona-b~1~2", 1 },
		{ "zona-ab~", 2 },
	};

	for (const HomeCase &c : cases)
		EXPECT_EQ(ph_home_domain(c.id, domains, 3), c.home) << c.id;
	EXPECT_EQ(ph_home_domain("x", domains, 0), -1);
	/* Without a known prefix the hash decides, always in the same way. */
	EXPECT_EQ(ph_home_domain("zona-c~1", domains, 3),
		  ph_home_domain("zona-c~1", domains, 3));
}

} // namespace
