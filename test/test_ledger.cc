#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ident.h"
#include "ledger.h"
#include "queue.h"
#include "roster.h"
}

namespace
{

void ignore_release(void *, void *)
{
}

constexpr uint64_t kSelf = 1;
constexpr uint64_t kOther = 2;
constexpr uint64_t kThird = 3;

struct MergeCase {
	const char *what;
	int local;
	uint64_t local_starter;
	int remote;
	uint64_t remote_starter;
	bool trusted;
	int result;
	ph_merge merge;
};

TEST(Ledger, MergeKeepsMoreAdvancedState)
{
	const MergeCase cases[] = {
		{ "a start by another instance is taken over", PH_TASK_QUEUED,
		  0, PH_TASK_STARTED, kOther, true, PH_TASK_STARTED,
		  PH_MERGE_CHANGED },
		{ "a start by another instance replaces a local binding",
		  PH_TASK_BOUND, kSelf, PH_TASK_STARTED, kOther, true,
		  PH_TASK_STARTED, PH_MERGE_CHANGED },
		{ "a local start is not overwritten", PH_TASK_STARTED, kSelf,
		  PH_TASK_STARTED, kOther, true, PH_TASK_STARTED,
		  PH_MERGE_CONFLICT },
		{ "an outdated record of a local start is ignored",
		  PH_TASK_QUEUED, kSelf, PH_TASK_STARTED, kSelf, true,
		  PH_TASK_QUEUED, PH_MERGE_UNCHANGED },
		{ "not-run from the starter replaces its start",
		  PH_TASK_STARTED, kOther, PH_TASK_NOT_RUN, kOther, true,
		  PH_TASK_NOT_RUN, PH_MERGE_CHANGED },
		{ "not-run from another instance conflicts with a start",
		  PH_TASK_STARTED, kOther, PH_TASK_NOT_RUN, kThird, true,
		  PH_TASK_STARTED, PH_MERGE_CONFLICT },
		{ "a start replaces a not-run that was not sent yet",
		  PH_TASK_NOT_RUN, 0, PH_TASK_STARTED, kOther, true,
		  PH_TASK_STARTED, PH_MERGE_CHANGED },
		{ "an untrusted not-run becomes may-have-run", PH_TASK_QUEUED,
		  0, PH_TASK_NOT_RUN, kOther, false, PH_TASK_MAY_HAVE_RUN,
		  PH_MERGE_CHANGED },
		{ "an outcome replaces may-have-run", PH_TASK_MAY_HAVE_RUN,
		  kOther, PH_TASK_DONE, kOther, true, PH_TASK_DONE,
		  PH_MERGE_CHANGED },
		{ "an outcome is not replaced by a start", PH_TASK_DONE, kOther,
		  PH_TASK_STARTED, kOther, true, PH_TASK_DONE,
		  PH_MERGE_CONFLICT },
		{ "a queued task in a record changes nothing", PH_TASK_STARTED,
		  kOther, PH_TASK_QUEUED, 0, true, PH_TASK_STARTED,
		  PH_MERGE_UNCHANGED },
	};

	for (const MergeCase &c : cases) {
		struct ph_ledger ledger;
		struct ph_record record = {};
		struct ph_task_record task = {
			0, (uint8_t)c.remote, c.remote_starter, 200, "1", 1
		};

		ph_ledger_init(&ledger, ph_mem_default());
		struct ph_job *job = ph_ledger_add(&ledger, 1, "t/a", "s", 1);
		ph_task_set_state(job, 0, (ph_task_state)c.local);
		job->live->tasks[0].starter = c.local_starter;
		record.task_count = 1;
		record.count = 1;
		record.tasks = &task;
		EXPECT_EQ(ph_job_merge(&ledger, job, &record, kSelf, c.trusted,
				       ignore_release, nullptr),
			  c.merge)
			<< c.what;
		EXPECT_EQ(job->live->tasks[0].state, c.result) << c.what;
		ph_ledger_free(&ledger);
	}
}

TEST(Ledger, ExpiresEndedJobsAfterRetentionPeriod)
{
	struct ph_ledger ledger;

	ph_ledger_init(&ledger, ph_mem_default());
	for (int i = 0; i < 5000; i++) {
		std::string key = "t/" + std::to_string(i);
		struct ph_job *job =
			ph_ledger_add(&ledger, 1, key.c_str(), "s", 1);

		ph_task_set_state(job, 0, PH_TASK_DONE);
		ph_job_end(&ledger, job, 1000 + (uint64_t)i);
		ph_job_free_live(&ledger, job);
	}
	EXPECT_EQ(ph_ledger_expire(&ledger, 1000 + 99, 100), 0u);
	EXPECT_EQ(ph_ledger_expire(&ledger, 1000 + 100, 100), 1u);
	EXPECT_EQ(ph_ledger_find(&ledger, "t/0"), nullptr);
	EXPECT_NE(ph_ledger_find(&ledger, "t/1"), nullptr);
	EXPECT_EQ(ph_ledger_expire(&ledger, 9000, 100), 4999u);
	EXPECT_EQ(ledger.answer_bytes, 0u);
	ph_ledger_free(&ledger);
}

struct TrimCase {
	size_t keep;
	size_t dropped;
};

TEST(Ledger, TrimDropsOldestAnswersAndKeepsJobs)
{
	const TrimCase cases[] = {
		{ 100, 0 }, { 99, 1 }, { 60, 39 }, { 60, 0 }, { 0, 60 },
	};
	struct ph_ledger ledger;
	size_t bytes = 0;
	size_t first = 0;

	ph_ledger_init(&ledger, ph_mem_default());
	for (int i = 100; i < 200; i++) {
		std::string key = "t/" + std::to_string(i);
		struct ph_job *job =
			ph_ledger_add(&ledger, 1, key.c_str(), "s", 1);

		ph_task_set_state(job, 0, PH_TASK_DONE);
		ph_job_end(&ledger, job, 1000);
		ph_job_free_live(&ledger, job);
		bytes = job->answer_len;
	}
	for (const TrimCase &c : cases) {
		EXPECT_EQ(ph_ledger_trim(&ledger, c.keep * bytes), c.dropped);
		EXPECT_EQ(ledger.answer_bytes, c.keep * bytes);
		first += c.dropped;
		for (size_t i = 0; i < 100; i++) {
			std::string key = "t/" + std::to_string(100 + i);
			struct ph_job *job =
				ph_ledger_find(&ledger, key.c_str());

			ASSERT_NE(job, nullptr);
			EXPECT_EQ(job->answer != nullptr, i >= first) << key;
		}
	}
	EXPECT_EQ(ph_ledger_expire(&ledger, 5000, 100), 100u);
	ph_ledger_free(&ledger);
}

struct ShareCase {
	const ph_queue_policy *policy;
	uint32_t weight_a;
	uint32_t weight_b;
	/* Bounds for the starts of team b among the first 1,000, with 5,000
	 * tasks of team a queued before those of b. */
	int min_starts_of_b;
	int max_starts_of_b;
};

TEST(Queue, StartsTasksInProportionToTeamWeight)
{
	const ShareCase cases[] = {
		{ &ph_queue_fifo, 1, 1, 0, 0 },
		{ &ph_queue_fair, 1, 1, 475, 525 },
		{ &ph_queue_fair, 3, 1, 237, 263 },
		{ &ph_queue_fair, 1, 4, 760, 840 },
	};

	for (const ShareCase &c : cases) {
		struct ph_ledger ledger;
		struct ph_queue *queue =
			ph_queue_new(ph_mem_default(), c.policy);
		int starts_of_b = 0;

		ph_ledger_init(&ledger, ph_mem_default());
		for (int i = 0; i < 50; i++) {
			std::string a = "a/" + std::to_string(i);
			std::string b = "b/" + std::to_string(i);

			ph_queue_add(
				queue,
				ph_ledger_add(&ledger, 1, a.c_str(), "s", 100),
				c.weight_a);
			if (i >= 25)
				continue;
			ph_ledger_add(&ledger, 1, b.c_str(), "s", 100);
		}
		for (int i = 0; i < 25; i++) {
			std::string b = "b/" + std::to_string(i);

			ph_queue_add(queue, ph_ledger_find(&ledger, b.c_str()),
				     c.weight_b);
		}
		for (int i = 0; i < 1000; i++) {
			struct ph_job *job = ph_queue_pick(queue);
			uint32_t at = 0;

			while (job->live->tasks[at].state != PH_TASK_QUEUED)
				at++;
			ph_task_set_state(job, at, PH_TASK_STARTED);
			starts_of_b += job->key[0] == 'b';
			ph_queue_charge(queue, job, 60000);
		}
		EXPECT_GE(starts_of_b, c.min_starts_of_b) << c.policy->name;
		EXPECT_LE(starts_of_b, c.max_starts_of_b) << c.policy->name;
		ph_queue_free(queue);
		ph_ledger_free(&ledger);
	}
}

TEST(Roster, RemovingPrimaryPromotesBackup)
{
	struct ph_roster roster = {};

	roster.version = 1;
	for (int i = 0; i < 4; i++) {
		struct ph_roster_member m = {};

		snprintf(m.name, sizeof(m.name), "n%d", i);
		m.incarnation = 10 + (uint64_t)i;
		ASSERT_TRUE(ph_roster_add(&roster, &m));
	}
	for (uint64_t key = 0; key < 200; key++) {
		struct ph_pair pair = ph_roster_pair(&roster, key);
		struct ph_roster next = roster;
		uint64_t backup = roster.members[pair.backup].incarnation;

		ASSERT_TRUE(ph_roster_remove(
			&next, roster.members[pair.primary].incarnation, true));
		pair = ph_roster_pair(&next, key);
		EXPECT_EQ(next.members[pair.primary].incarnation, backup);
		EXPECT_EQ(next.lost_count, 1u);
	}
}

TEST(Roster, DecodesEncodedRosterAndRejectsInvalidDocuments)
{
	const char *bad[] = { "",
			      "{}",
			      "[]",
			      "{\"domain\":\"a\"}",
			      "{\"domain\":\"a\",\"version\":0,\"broken\":0,"
			      "\"members\":[],\"lost\":[]}",
			      "{\"domain\":\"a\",\"version\":1,\"broken\":0,"
			      "\"members\":[{}],\"lost\":[]}" };
	struct ph_roster roster = {};
	struct ph_roster back;
	struct ph_buf buf;

	snprintf(roster.domain, sizeof(roster.domain), "a");
	roster.version = 9;
	roster.continuity_version = 4;
	roster.lost[roster.lost_count++] = 77;
	ph_buf_init(&buf, ph_mem_default());
	ph_roster_encode(&roster, &buf);
	EXPECT_EQ(ph_roster_decode(&back, buf.data, buf.len), 0);
	EXPECT_EQ(back.version, 9u);
	EXPECT_EQ(back.continuity_version, 4u);
	EXPECT_TRUE(ph_roster_is_lost(&back, 77));
	ph_buf_free(&buf);
	for (const char *text : bad)
		EXPECT_NE(ph_roster_decode(&back, text, strlen(text)), 0)
			<< text;
}

/* An instance that rejoins under a new incarnation has no jobs. If it didn't
 * know which ids its earlier incarnations held, a late first attempt would run
 * such a job again. */
TEST(Ledger, RetiredKeysAreKeptUntilTheirExpiry)
{
	struct KeyCase {
		const char *key;
		uint64_t now_us;
		bool known;
	};
	const KeyCase cases[] = {
		{ "t1/first", 150, true },   { "t1/second", 150, true },
		{ "t1/first", 250, false },  { "t1/other", 150, false },
		{ "t1/second", 200, false },
	};
	struct ph_ledger ledger = {};

	ph_ledger_init(&ledger, ph_mem_default());
	ph_ledger_add(&ledger, 1, "t1/first", "s", 2);
	ph_ledger_retire(&ledger, 10, 110);
	EXPECT_EQ(ledger.job_count, 0U);
	ph_ledger_add(&ledger, 20, "t1/second", "s", 2);
	ph_ledger_retire(&ledger, 100, 200);
	for (const KeyCase &c : cases) {
		SCOPED_TRACE(c.key);
		EXPECT_EQ(ph_ledger_key_retired(&ledger, ph_hash_str(c.key),
						c.now_us),
			  c.known);
	}
	ph_ledger_free(&ledger);
}

} // namespace
