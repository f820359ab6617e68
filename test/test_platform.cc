#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform.h"
}

namespace
{

std::string instance(const std::string &id, const std::string &address,
		     const std::string &port, const std::string &meta = "{}")
{
	return R"({"Service":{"ID":")" + id + R"(","Address":")" + address +
	       R"(","Port":)" + port + R"(,"Meta":)" + meta + "}}";
}

/* The ids of a list, or "error". */
std::string ids(const std::string &text)
{
	ph_endpoint_info *list = nullptr;
	std::string out;
	size_t count;

	if (ph_platform_read_instances(ph_mem_default(), text.data(),
				       text.size(), &list, &count))
		return "error";
	for (size_t i = 0; i < count; i++)
		out += list[i].name + std::string(" ");
	ph_mem_default()->free(list);
	return out;
}

/* Guards against one odd instance that makes the whole list unreadable, is
 * called at another port than it names, or attracts all calls by its slots. */
TEST(Platform, AnOddInstanceIsSkippedAndTheOthersHold)
{
	const std::string good = instance("a-1", "10.0.0.1", "80",
					  R"({"slots":"8","domain":"north"})");
	const struct {
		const char *description;
		std::string text;
		bool valid;
	} cases[] = {
		{ "a host name", instance("x", "host-1.example", "80"), true },
		{ "no slots", instance("x", "10.0.0.2", "65535"), true },
		{ "no domain",
		  instance("x", "10.0.0.2", "1", R"({"slots":"0"})"), true },
		{ "port 0", instance("x", "10.0.0.2", "0"), false },
		{ "a negative port", instance("x", "10.0.0.2", "-1"), false },
		{ "port 65616", instance("x", "10.0.0.2", "65616"), false },
		{ "a port above 32 bits",
		  instance("x", "10.0.0.2", "4294967376"), false },
		{ "a port of 30 digits",
		  instance("x", "10.0.0.2", std::string(30, '9')), false },
		{ "a port of 1e999", instance("x", "10.0.0.2", "1e999"),
		  false },
		{ "a port that is a text", instance("x", "10.0.0.2", "\"80\""),
		  false },
		{ "an address with a path", instance("x", "10.0.0.2/", "80"),
		  false },
		{ "an address with a port", instance("x", "10.0.0.2:1", "80"),
		  false },
		{ "a user in the address", instance("x", "u@10.0.0.2", "80"),
		  false },
		{ "no address", instance("x", "", "80"), false },
		{ "a long address",
		  instance("x", std::string(PH_ADDR_BYTES, '1'), "80"), false },
		{ "a NUL in the id", instance("x\\u0000", "10.0.0.2", "80"),
		  false },
		{ "half of a surrogate pair",
		  instance("\\ud800", "10.0.0.2", "80"), false },
		{ "not UTF-8", instance("\xff", "10.0.0.2", "80"), false },
		{ "a newline in the id", instance("x\\ny", "10.0.0.2", "80"),
		  false },
		{ "no id", instance("", "10.0.0.2", "80"), false },
		{ "a domain with a space",
		  instance("x", "10.0.0.2", "80", R"({"domain":"a b"})"),
		  false },
		{ "negative slots",
		  instance("x", "10.0.0.2", "80", R"({"slots":"-1"})"), false },
		{ "too many slots",
		  instance("x", "10.0.0.2", "80", R"({"slots":"100001"})"),
		  false },
		{ "slots above 32 bits",
		  instance("x", "10.0.0.2", "80", R"({"slots":"4294967297"})"),
		  false },
		{ "slots with a rest",
		  instance("x", "10.0.0.2", "80", R"({"slots":"8x"})"), false },
		{ "nested deeply",
		  std::string(100000, '[') + std::string(100000, ']'), false },
		{ "not an object", "7", false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.description);
		EXPECT_EQ(ids("[" + good + "," + c.text + "," + good + "]"),
			  c.valid ? "a-1 x a-1 " : "a-1 a-1 ");
	}
	EXPECT_EQ(ids("[]"), "");
	EXPECT_EQ(ids("{}"), "error");
	EXPECT_EQ(ids(""), "error");
	EXPECT_EQ(ids("[" + good), "error");
}

} // namespace
