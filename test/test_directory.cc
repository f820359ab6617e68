#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "directory.h"
#include "intern.h"
#include "log.h"
}

namespace
{

constexpr uint64_t kMs = 1000;

ph_executor_info executor(const std::string &id)
{
	ph_executor_info info = {};

	info.id = ph_intern(id.c_str());
	info.domain = "";
	info.service = "";
	info.labels = "";
	return info;
}

struct Step {
	uint64_t at_ms;
	/** Ids in the answer, a letter each; nullptr: the read failed. */
	const char *read;
	/** Ids in the current list after the read. */
	const char *current;
};

struct Case {
	const char *what;
	std::vector<Step> steps;
};

TEST(Directory, FailedAndEmptyReadsKeepTheListAndOutagesRetainEntries)
{
	const Case cases[] = {
		{ "an entry that is no longer listed is removed",
		  { { 0, "ab", "ab" }, { 600, "a", "a" } } },
		{ "an empty read changes nothing",
		  { { 0, "ab", "ab" },
		    { 600, "", "ab" },
		    { 1200, "b", "b" } } },
		{ "a failed read changes nothing",
		  { { 0, "ab", "ab" }, { 600, nullptr, "ab" } } },
		{ "missing entries are retained for a time after an outage",
		  { { 0, "ab", "ab" },
		    { 600, nullptr, "ab" },
		    { 1200, nullptr, "ab" },
		    { 5000, "a", "ab" },
		    { 7000, "a", "ab" },
		    { 7600, "a", "a" } } },
		{ "a single failed read does not count as an outage",
		  { { 0, "ab", "ab" },
		    { 600, nullptr, "ab" },
		    { 900, "a", "a" } } },
		{ "entries that are listed again stay",
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
			const ph_executor_info *current;

			for (const char *p = s.read; p && *p; p++) {
				list.push_back(executor(std::string(1, *p)));
			}
			if (s.read)
				ph_directory_read(d, now, now, list.data(),
						  list.size());
			else
				ph_directory_read_failed(d, now);
			current = ph_directory_list(d, &count);
			for (size_t i = 0; i < count; i++)
				got += current[i].id;
			EXPECT_EQ(got, s.current) << "at " << s.at_ms;
		}
		ph_directory_free(d);
	}
}

std::vector<ph_executor_info> list_of(const std::string &text)
{
	std::vector<ph_executor_info> list;

	for (char c : text) {
		/* A capital letter stands for the executor while draining. */
		ph_executor_info info =
			executor(std::string(1, (char)tolower(c)));

		info.draining = isupper(c) != 0;
		list.push_back(info);
	}
	return list;
}

std::string current_ids(const ph_directory *d)
{
	size_t count;
	const ph_executor_info *list = ph_directory_list(d, &count);
	std::string text;

	for (size_t i = 0; i < count; i++)
		text += list[i].draining ? (char)toupper(list[i].id[0])
					 : list[i].id[0];
	return text;
}

/* One instance of a domain reads the list and sends the changes to the others,
 * which apply them if they hold the list that the change starts from. */
TEST(Directory, AChangeIsAppliedOnlyToTheListItStartsFrom)
{
	const struct {
		const char *what;
		const char *first;
		const char *second;
		/** List of the receiver when the change arrives. */
		const char *held;
		/** List of the receiver after the change. */
		const char *after;
	} cases[] = {
		{ "an entry is added", "ab", "abc", "ab", "abc" },
		{ "an entry is removed", "abc", "ac", "abc", "ac" },
		{ "an entry is draining", "ab", "aB", "ab", "aB" },
		{ "all three changes", "abc", "Acd", "abc", "Acd" },
		{ "the receiver holds another list", "ab", "abc", "abd",
		  "abd" },
		{ "the receiver has no list", "ab", "abc", "", "" },
	};

	ph_log_quiet(1);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		ph_directory *sender = ph_directory_new(ph_mem_default());
		ph_directory *receiver = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();
		bool same_list = !strcmp(c.first, c.held);
		auto list = list_of(c.first);

		EXPECT_TRUE(ph_directory_read(sender, 1000, 1000, list.data(),
					      list.size()));
		list = list_of(c.held);
		ph_directory_read(receiver, 1000, 1000, list.data(),
				  list.size());
		EXPECT_EQ(ph_directory_digest(sender) ==
				  ph_directory_digest(receiver),
			  same_list);
		list = list_of(c.second);
		EXPECT_TRUE(ph_directory_read(sender, 601000, 600000,
					      list.data(), list.size()));
		ASSERT_TRUE(
			ph_directory_last_change(sender, 601000, change.get()));
		EXPECT_EQ(ph_directory_apply(receiver, 601500, change.get()),
			  same_list);
		EXPECT_EQ(current_ids(receiver), c.after);
		if (same_list) {
			EXPECT_EQ(ph_directory_digest(sender),
				  ph_directory_digest(receiver));
			EXPECT_LE(ph_directory_age_us(receiver, 601500), 1500U);
		}
		EXPECT_FALSE(ph_directory_read(sender, 1201000, 1200000,
					       list.data(), list.size()));
		ph_directory_free(sender);
		ph_directory_free(receiver);
	}
}

/* Guards against a list that never counts as old: the age of a change is
 * greater than the time for which the receiver's clock has run. */
TEST(Directory, AChangeOlderThanTheClockDoesNotMakeTheListNewer)
{
	for (uint64_t age_us : { (uint64_t)2000, UINT64_MAX }) {
		SCOPED_TRACE(age_us);
		ph_directory *sender = ph_directory_new(ph_mem_default());
		ph_directory *receiver = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();

		for (const char *ids : { "ab", "abc" }) {
			auto list = list_of(ids);

			ph_directory_read(sender, 100, 100, list.data(),
					  list.size());
			if (!strcmp(ids, "ab"))
				ph_directory_read(receiver, 100, 100,
						  list.data(), list.size());
		}
		ASSERT_TRUE(
			ph_directory_last_change(sender, 1000, change.get()));
		change->age_us = age_us;
		EXPECT_TRUE(ph_directory_apply(receiver, 1000, change.get()));
		EXPECT_EQ(current_ids(receiver), "abc");
		EXPECT_EQ(ph_directory_age_us(receiver, 1000), 900U);
		ph_directory_free(sender);
		ph_directory_free(receiver);
	}
}

/* A change of PH_LIST_CHANGES_MAX entries can be sent, one with an entry more
 * cannot. */
TEST(Directory, AChangeOfTooManyEntriesIsNotSent)
{
	for (size_t extra : { 0, 1 }) {
		SCOPED_TRACE(extra);
		ph_directory *d = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();
		std::vector<ph_executor_info> list(1 + PH_LIST_CHANGES_MAX +
						   extra);

		for (size_t i = 0; i < list.size(); i++)
			list[i] = executor("x" + std::to_string(i));
		ph_directory_read(d, 1000, 1000, list.data(), 1);
		ph_directory_read(d, 2000, 2000, list.data(), list.size());
		EXPECT_EQ(ph_directory_last_change(d, 2000, change.get()),
			  !extra);
		ph_directory_free(d);
	}
}

/* Guards against a message that is too long for its receivers, which then close
 * the connection. */
TEST(Directory, AChangeWithTooManyBytesIsNotSent)
{
	for (size_t bytes : { 1 << 10, 1 << 18 }) {
		SCOPED_TRACE(bytes);
		ph_directory *d = ph_directory_new(ph_mem_default());
		auto change = std::make_unique<ph_list_change>();
		std::vector<ph_executor_info> list;
		const std::string labels = " " + std::string(bytes, 'a') + " ";

		for (int i = 0; i < 5; i++)
			list.push_back(executor("x" + std::to_string(i)));
		for (ph_executor_info &info : list)
			info.labels = labels.c_str();
		ph_directory_read(d, 1000, 1000, list.data(), 1);
		ph_directory_read(d, 2000, 2000, list.data(), list.size());
		EXPECT_EQ(ph_directory_last_change(d, 2000, change.get()),
			  bytes == 1 << 10);
		ph_directory_free(d);
	}
}

} // namespace
