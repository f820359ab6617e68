#include <gtest/gtest.h>

#include <cstring>
#include <memory>
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
				ph_directory_read_failed(d, now);
			in_force = ph_directory_list(d, &count);
			for (size_t i = 0; i < count; i++)
				got += in_force[i].id;
			EXPECT_EQ(got, s.in_force) << "at " << s.at_ms;
		}
		ph_directory_free(d);
	}
}

std::vector<ph_executor_info> entries(const std::string &text)
{
	std::vector<ph_executor_info> list;

	for (char c : text) {
		ph_executor_info info = {};

		/* A capital letter is the same executor, draining. */
		info.id[0] = (char)tolower(c);
		info.draining = isupper(c) != 0;
		list.push_back(info);
	}
	return list;
}

std::string shown(const ph_directory *d)
{
	size_t count;
	const ph_executor_info *list = ph_directory_list(d, &count);
	std::string text;

	for (size_t i = 0; i < count; i++)
		text += list[i].draining ? (char)toupper(list[i].id[0])
					 : list[i].id[0];
	return text;
}

/* One instance of a domain reads the list; what changed reaches the others. */
TEST(Directory, ChangesKeepTwoListsAlike)
{
	const struct {
		const char *what;
		const char *first;
		const char *second;
		/** What the other instance holds when the change arrives. */
		const char *held;
		/** And after it. */
		const char *after;
	} cases[] = {
		{ "one comes", "ab", "abc", "ab", "abc" },
		{ "one goes", "abc", "ac", "abc", "ac" },
		{ "one drains", "ab", "aB", "ab", "aB" },
		{ "all at once", "abc", "Acd", "abc", "Acd" },
		{ "another list stays as it is", "ab", "abc", "abd", "abd" },
		{ "and one that has none", "ab", "abc", "", "" },
	};

	ph_log_quiet(1);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		ph_directory *from = ph_directory_new(ph_mem_default());
		ph_directory *to = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();
		bool alike = !strcmp(c.first, c.held);
		auto list = entries(c.first);

		EXPECT_TRUE(ph_directory_read(from, 1000, 1000, list.data(),
					      list.size()));
		list = entries(c.held);
		ph_directory_read(to, 1000, 1000, list.data(), list.size());
		EXPECT_EQ(ph_directory_digest(from) == ph_directory_digest(to),
			  alike);
		list = entries(c.second);
		EXPECT_TRUE(ph_directory_read(from, 601000, 600000, list.data(),
					      list.size()));
		ASSERT_TRUE(ph_directory_last_change(from, 601000, change.get()));
		EXPECT_EQ(ph_directory_apply(to, 601500, change.get()), alike);
		EXPECT_EQ(shown(to), c.after);
		if (alike) {
			EXPECT_EQ(ph_directory_digest(from),
				  ph_directory_digest(to));
			EXPECT_LE(ph_directory_age_us(to, 601500), 1500U);
		}
		EXPECT_FALSE(ph_directory_read(from, 1201000, 1200000,
					       list.data(), list.size()));
		ph_directory_free(from);
		ph_directory_free(to);
	}
}

/* At the edge of what is passed on: one entry more is read anew. */
TEST(Directory, ALargeChangeIsNotPassedOn)
{
	for (size_t extra : { 0, 1 }) {
		SCOPED_TRACE(extra);
		ph_directory *d = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();
		std::vector<ph_executor_info> list(1 + PH_LIST_CHANGES_MAX +
						   extra);

		for (size_t i = 0; i < list.size(); i++)
			snprintf(list[i].id, PH_NAME_BYTES, "x%zu", i);
		ph_directory_read(d, 1000, 1000, list.data(), 1);
		ph_directory_read(d, 2000, 2000, list.data(), list.size());
		EXPECT_EQ(ph_directory_last_change(d, 2000, change.get()), !extra);
		ph_directory_free(d);
	}
}

} // namespace
