#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "spec.h"
}

namespace
{

std::string tasks(int n)
{
	std::string s = "{\"tasks\":[";
	for (int i = 0; i < n; i++)
		s += std::string(i ? "," : "") + "{\"kind\":\"k\"}";
	return s + "]}";
}

struct BadCase {
	std::string body;
	int err;
	const char *field;
};

TEST(Spec, RejectsInvalidDocumentsNamingTheField)
{
	const BadCase cases[] = {
		{ "", PH_ERR_SYNTAX, "/" },
		{ "{", PH_ERR_SYNTAX, "/" },
		{ "[]", PH_ERR_SYNTAX, "/tasks" },
		{ "{}", PH_ERR_SYNTAX, "/tasks" },
		{ "{\"tasks\":[]}", PH_ERR_SYNTAX, "/tasks" },
		{ "{\"tasks\":[{}]}", PH_ERR_SYNTAX, "/tasks/0/kind" },
		{ "{\"tasks\":[{\"kind\":\"A B\"}]}", PH_ERR_SYNTAX,
		  "/tasks/0/kind" },
		{ "{\"tasks\":[{\"kind\":\"k\"},{\"kind\":\"k\","
		  "\"idempotent\":1}]}",
		  PH_ERR_SYNTAX, "/tasks/1/idempotent" },
		{ "{\"deadline_ms\":\"x\",\"tasks\":[{\"kind\":\"k\"}]}",
		  PH_ERR_SYNTAX, "/deadline_ms" },
		{ "{\"deadline_ms\":0,\"tasks\":[{\"kind\":\"k\"}]}",
		  PH_ERR_RANGE, "/deadline_ms" },
		{ tasks(201), PH_ERR_TOO_LARGE, "/tasks" },
	};

	for (const BadCase &c : cases) {
		struct ph_spec *spec = nullptr;
		struct ph_fault fault = {};

		EXPECT_EQ(ph_spec_parse(ph_mem_default(), c.body.data(),
					c.body.size(), &spec, &fault),
			  c.err)
			<< c.body;
		EXPECT_STREQ(fault.field, c.field) << c.body;
	}
}

TEST(Spec, AcceptsTheMostTasksAndTheDefaultDeadline)
{
	const std::string body = tasks(200);
	struct ph_spec *spec = nullptr;
	struct ph_fault fault = {};

	ASSERT_EQ(ph_spec_parse(ph_mem_default(), body.data(), body.size(),
				&spec, &fault),
		  0);
	EXPECT_EQ(spec->count, 200u);
	EXPECT_EQ(spec->deadline_us, 30000000u);
	EXPECT_FALSE(spec->tasks[0].idempotent);
	ph_spec_free(spec);
}

} // namespace
