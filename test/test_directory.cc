#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "directory.h"
#include "log.h"
}

namespace
{

constexpr uint64_t kMs = 1000;

struct Step {
	uint64_t at_ms;
	/** Ids that the read shows, a letter each; nullptr: it failed. */
	const char *read;
	/** Ids in force after it. */
	const char *in_force;
};

struct Case {
	const char *what;
	std::vector<Step> steps;
};

TEST(Directory, AnswersLagFailAndComeBack)
{
	const Case cases[] = {
		{ "an entry that goes is gone",
		  { { 0, "ab", "ab" }, { 600, "a", "a" } } },
		{ "an empty read changes nothing",
		  { { 0, "ab", "ab" },
		    { 600, "", "ab" },
		    { 1200, "b", "b" } } },
		{ "a failed read changes nothing",
		  { { 0, "ab", "ab" }, { 600, nullptr, "ab" } } },
		{ "after an outage missing entries have time to come back",
		  { { 0, "ab", "ab" },
		    { 600, nullptr, "ab" },
		    { 1200, nullptr, "ab" },
		    { 5000, "a", "ab" },
		    { 7000, "a", "ab" },
		    { 7600, "a", "a" } } },
		{ "a single failed read is no outage",
		  { { 0, "ab", "ab" },
		    { 600, nullptr, "ab" },
		    { 900, "a", "a" } } },
		{ "entries that came back stay",
		  { { 0, "ab", "ab" },
		    { 600, nullptr, "ab" },
		    { 5000, "b", "ab" },
		    { 5600, "ab", "ab" },
		    { 9000, "ab", "ab" } } },
	};

	ph_log_quiet(1);
	for (const Case &c : cases) {
		SCOPED_TRACE(c.what);
		ph_directory *d = ph_directory_new(ph_mem_default());

		for (const Step &s : c.steps) {
			uint64_t now = (s.at_ms + 1000) * kMs;
			std::vector<ph_executor_info> list;
			std::string got;
			size_t count;
			const ph_executor_info *in_force;

			for (const char *p = s.read; p && *p; p++) {
				ph_executor_info info = {};

				info.id[0] = *p;
				list.push_back(info);
			}
			if (s.read)
				ph_directory_read(d, now, now, list.data(),
						  list.size());
			else
				ph_directory_failed(d, now);
			in_force = ph_directory_list(d, &count);
			for (size_t i = 0; i < count; i++)
				got += in_force[i].id;
			EXPECT_EQ(got, s.in_force) << "at " << s.at_ms;
		}
		ph_directory_free(d);
	}
}

} // namespace
