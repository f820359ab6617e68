/* Names that come from the platform and may have any length: what can't be held
 * is refused, never cut or left out. */

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <set>
#include <string>

#include "pool_world.h"

extern "C" {
#include "log.h"
#include "pool_shard.h"
#include "settings.h"
#include "wire.h"
}

using namespace world;

namespace
{

constexpr size_t kLengths[] = { 1, 31, 32, 63, 64, 127, 128, 200, 4000 };

const ph_mem *mem()
{
	return ph_mem_default();
}

/* A name of this length; names with other tails differ in the last byte. */
std::string name_of(size_t length, char tail = 'a')
{
	return std::string(length - 1, 'x') + tail;
}

/* What code writes to the log of events. */
std::string logged_by(const std::function<void()> &code)
{
	testing::internal::CaptureStdout();
	ph_log_quiet(0);
	ph_log_events(1000000);
	code();
	ph_log_events(0);
	ph_log_quiet(1);
	return testing::internal::GetCapturedStdout();
}

/* ## Required labels */

std::string job_requiring(const std::string &json)
{
	return R"({"spec":"x","bestEffort":true,"steps":[{"count":1,"requires":)" +
	       json + "}]}";
}

/* Guards against a requirement that is dropped as it doesn't fit: the tasks
 * would start on executors without the label. */
TEST(LongNames, ARequiredLabelIsKeptWhole)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		const std::string label = name_of(length);
		const std::string body = job_requiring("\"" + label + "\"");
		ph_batch_request *batch = nullptr;
		const char *reason = nullptr;

		ASSERT_EQ(ph_wire_read_job(mem(), "s-1", body.data(),
					   body.size(), &batch, &reason),
			  PH_WIRE_JOB_OK);
		EXPECT_EQ(batch->label, label);
		ph_batch_request_free(mem(), batch);
	}
}

/* Guards against a requirement that no label can meet and that counts as none.
 */
TEST(LongNames, AJobWithARequirementThatCannotBeMetIsRefused)
{
	const struct {
		const char *requires_json;
		ph_wire_job_error error;
	} cases[] = {
		{ R"("k1")", PH_WIRE_JOB_OK },
		{ R"("")", PH_WIRE_JOB_OK },
		{ "5", PH_WIRE_JOB_INVALID },
		{ "true", PH_WIRE_JOB_INVALID },
		{ R"(["k1"])", PH_WIRE_JOB_INVALID },
		{ "null", PH_WIRE_JOB_INVALID },
		{ R"("k1\u0000")", PH_WIRE_JOB_INVALID },
		{ R"("k1 k2")", PH_WIRE_JOB_UNSUPPORTED },
		{ R"(" ")", PH_WIRE_JOB_UNSUPPORTED },
		{ R"("k/1")", PH_WIRE_JOB_UNSUPPORTED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.requires_json);
		const std::string body = job_requiring(c.requires_json);
		ph_batch_request *batch = nullptr;
		const char *reason = nullptr;

		EXPECT_EQ(ph_wire_read_job(mem(), "s-1", body.data(),
					   body.size(), &batch, &reason),
			  c.error);
		EXPECT_EQ(reason == nullptr, c.error == PH_WIRE_JOB_OK);
		ph_batch_request_free(mem(), batch);
	}
}

/* Guards against labels that are told apart by their first bytes only. */
TEST(LongNames, ATaskStartsOnlyWhereTheWholeLabelIs)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		for (char tail : { 'a', 'b' }) {
			World w(1, 16000);
			Owner *o = ready_owner(&w);
			ph_batch_request request = {};
			const std::string required = name_of(length);
			const std::string labels =
				" " + name_of(length, tail) + " r1 ";
			ph_executor_info info = {};

			info.id = "i-0";
			info.labels = labels.c_str();
			info.service = "desk";
			info.capacity = { 16000, 65536, 0 };
			snprintf(info.addr, sizeof(info.addr), "i-0");
			ph_pool_update(o->pool, w.now_us, &info, 1);
			w.run_until(w.now_us + 200000);
			snprintf(request.job, sizeof(request.job), "a");
			request.service = "desk";
			request.label = required.c_str();
			request.count = 1;
			request.need = { 1000, 1, 0 };
			request.estimate_us = 50000;
			request.caller_timeout_us = 1500000;
			request.max_attempts = 1;
			w.submit_request(o, request, 50000);
			w.run_until(w.now_us + 300000);
			EXPECT_EQ(w.starts, tail == 'a' ? 1 : 0);
		}
	}
}

/* ## Executors */

std::string entry_with(const std::string &field, const std::string &json)
{
	std::string fields[][2] = {
		{ "service", "\"s-1\"" },
		{ "address", "\"10.0.0.1:80\"" },
		{ "zone", "\"north\"" },
		{ "state", "\"ready\"" },
		{ "capacity", R"({"cpu":16000,"memMb":64})" },
		{ "labels", "[]" },
		{ "born", "1700000000000" },
	};
	std::string text;

	for (auto &f : fields)
		text += (text.empty() ? "{\"" : ",\"") + f[0] +
			"\":" + (f[0] == field ? json : f[1]);
	return text + "}";
}

/* Decodes an entry; its texts are those of info. */
std::string entry_fault(const std::string &id, const std::string &text,
			ph_executor_info *info)
{
	const char *fault = ph_wire_read_executor(
		mem(), id.c_str(), text.data(), text.size(), info);

	return fault ? fault : "";
}

/* Guards against labels that are left out as they don't fit: their executor
 * gets none of the tasks that require them. */
TEST(LongNames, AnExecutorHasAllOfItsLabels)
{
	const struct {
		size_t count;
		size_t length;
	} cases[] = {
		{ 2, 8 }, { 2, 63 }, { 1, 64 }, { 8, 20 }, { 6000, 128 }
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.count);
		SCOPED_TRACE(c.length);
		ph_executor_info info;
		std::string expected = " ";
		std::string json;

		for (size_t i = 0; i < c.count; i++) {
			std::string label =
				std::to_string(i) + name_of(c.length);

			expected += label + " ";
			json += (json.empty() ? "[\"" : ",\"") + label + "\"";
		}
		ASSERT_EQ(entry_fault("i-1", entry_with("labels", json + "]"),
				      &info),
			  "");
		EXPECT_EQ(info.labels, expected);
		ph_executor_info_clear(mem(), &info);
	}
}

/* Guards against an executor that gets no work as its id doesn't fit. The
 * store's keys, "servers/" and the id, have at most 200 bytes. */
TEST(LongNames, AnExecutorIsUsedWhateverTheLengthOfItsId)
{
	for (size_t length : { 1, 31, 32, 63, 64, 100, 192 }) {
		SCOPED_TRACE(length);
		World w(2, 16000);
		std::vector<ph_executor_info> list(2);

		for (size_t i = 0; i < 2; i++) {
			const std::string id = name_of(length, (char)('a' + i));

			w.executors[i].id = id;
			ASSERT_EQ(entry_fault(id, entry_with("", ""), &list[i]),
				  "");
			ASSERT_EQ(list[i].id, id);
			list[i].started_ms = w.executors[i].started_ms;
			snprintf(list[i].addr, sizeof(list[i].addr), "%zu", i);
		}
		Owner *o = ready_owner(&w);

		ph_pool_update(o->pool, w.now_us, list.data(), 2);
		for (ph_executor_info &info : list)
			ph_executor_info_clear(mem(), &info);
		w.run_until(w.now_us + 200000);
		/* Each executor has room for two tasks. */
		ph_batch_request request = {};

		snprintf(request.job, sizeof(request.job), "a");
		request.service = "s-1";
		request.count = 4;
		request.need = { 8000, 1, 0 };
		request.estimate_us = 50000;
		request.caller_timeout_us = 1500000;
		request.max_attempts = 1;
		uint64_t seq = w.submit_request(o, request, 50000);
		w.run_until(w.now_us + 300000);
		EXPECT_TRUE(w.ended(o, seq, PH_VERDICT_DONE));
		EXPECT_EQ(w.starts, 4);
		EXPECT_EQ(ph_pool_counters(o->pool)->no_room, 0U);
	}
}

/* ## Services and failure domains */

/* Guards against a service whose route or executors are left out as its name
 * doesn't fit, and against services that are told apart by their first bytes
 * only. */
TEST(LongNames, AServiceIsServedWhateverTheLengthOfItsName)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		World w(1, 16000);
		Owner *o = ready_owner(&w);
		const std::string names[] = { name_of(length, 'a'),
					      name_of(length, 'b') };
		const std::string config =
			R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":")" +
			names[0] + R"("}]})";
		ph_routing *routing = nullptr;
		ph_executor_info info;

		ASSERT_EQ(ph_wire_read_config(mem(), config.data(),
					      config.size(), &routing),
			  0);
		ASSERT_EQ(routing->route_count, 1U);
		EXPECT_EQ(routing->routes[0].service, names[0]);
		ASSERT_EQ(entry_fault(
				  w.executors[0].id,
				  entry_with("service", "\"" + names[0] + "\""),
				  &info),
			  "");
		info.started_ms = w.executors[0].started_ms;
		ph_pool_update(o->pool, w.now_us, &info, 1);
		ph_executor_info_clear(mem(), &info);
		w.run_until(w.now_us + 200000);
		for (int i = 0; i < 2; i++) {
			ph_batch_request request = {};

			snprintf(request.job, sizeof(request.job), "j%d", i);
			request.service = names[i].c_str();
			request.count = 1;
			request.need = { 8000, 1, 0 };
			request.estimate_us = 50000;
			request.caller_timeout_us = 1500000;
			request.max_attempts = 1;
			w.submit_request(o, request, 50000);
		}
		w.run_until(w.now_us + 300000);
		EXPECT_EQ(w.done["j0.0"], 1);
		EXPECT_EQ(w.done["j1.0"], 0);
		ph_routing_free(routing);
	}
}

TEST(LongNames, AnExecutorIsInItsFailureDomainWhateverTheLengthOfItsName)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		const std::string domain = name_of(length);
		ph_executor_info info;

		ASSERT_EQ(entry_fault("i-1",
				      entry_with("zone", "\"" + domain + "\""),
				      &info),
			  "");
		EXPECT_EQ(info.domain, domain);
		ph_executor_info_clear(mem(), &info);
	}
}

/* Guards against shards of two failure domains that get one name, as only the
 * first bytes of the domain's stand in it: their executors would be mixed, and
 * have two owners. */
TEST(LongNames, ShardsOfFailureDomainsWithLikeNamesAreDifferentPools)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		const std::string domains[] = { name_of(length, 'a'),
						name_of(length, 'b') };

		for (uint32_t shard : { 0, 1, 999 }) {
			std::string names[2];

			for (int i = 0; i < 2; i++) {
				names[i] = ph_pool_shard_name(
					domains[i].c_str(), shard);
				EXPECT_TRUE(ph_pool_shard_in(
					names[i].c_str(), domains[i].c_str()));
				EXPECT_FALSE(ph_pool_shard_in(
					names[i].c_str(),
					domains[1 - i].c_str()));
				EXPECT_EQ(
					ph_pool_shard_number(names[i].c_str()),
					shard);
			}
			EXPECT_NE(names[0], names[1]);
		}
	}
}

/* ## Instances */

/* Guards against an instance that doesn't start as the platform's name for it
 * or its failure domain is longer than the project's own names may be. */
TEST(LongNames, SettingsTakeNamesOfThePlatform)
{
	const struct {
		std::string name;
		int status;
	} cases[] = {
		{ "n1", -1 },
		{ name_of(32), -1 },
		{ name_of(4000), -1 },
		{ "Edge_1.rack:4", -1 },
		{ "", PH_EXIT_USAGE },
		{ "a b", PH_EXIT_USAGE },
		{ "a#1", PH_EXIT_USAGE },
		{ "a/b", PH_EXIT_USAGE },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		const char *value = nullptr;
		ph_setting list[1] = {};
		ph_settings settings = {};
		std::string flag = "--domain=" + c.name;
		char *argv[] = { const_cast<char *>("p"), flag.data(),
				 nullptr };

		list[0].flag = "domain";
		list[0].type = PH_SETTING_PLATFORM_NAME;
		list[0].help = "";
		list[0].text = &value;
		settings.program = "p";
		settings.summary = "";
		settings.list = list;
		settings.count = 1;
		testing::internal::CaptureStderr();
		EXPECT_EQ(ph_settings_load(&settings, 2, argv), c.status);
		testing::internal::GetCapturedStderr();
		if (c.status < 0) {
			EXPECT_EQ(value, c.name);
		}
	}
}

/* Guards against an instance that isn't registered, as its key is longer than
 * the store's keys may be, and against instances with one key. */
TEST(LongNames, InstancesAreRegisteredUnderKeysOfTheirOwn)
{
	std::set<std::string> keys;
	size_t count = 0;

	for (size_t length : kLengths) {
		for (char tail : { 'a', 'b' }) {
			ph_buf key;

			ph_buf_init(&key, mem());
			ph_wire_put_member_key(&key,
					       name_of(length, tail).c_str());
			EXPECT_LE(key.len, 200U);
			keys.insert(key.data);
			count++;
			ph_buf_free(&key);
		}
	}
	EXPECT_EQ(keys.size(), count);
	EXPECT_TRUE(keys.count("peridothall/members/a"));
}

/* ## Routes */

/* Guards against a route that is left out, so that its requests get 404, as its
 * host, prefix or name doesn't fit; and against routes that are told apart by
 * their first bytes only. */
TEST(LongNames, ARouteIsFoundWhateverTheLengthOfItsHostAndPrefix)
{
	for (size_t length : kLengths) {
		SCOPED_TRACE(length);
		const std::string host[] = { name_of(length, 'a'),
					     name_of(length, 'b') };
		const std::string prefix[] = { "/" + name_of(length, 'a') + "/",
					       "/" + name_of(length, 'b') +
						       "/" };
		std::string doc;
		ph_routing *routing = nullptr;

		for (int i = 0; i < 4; i++)
			doc += (doc.empty() ? "" : ",") +
			       std::string(R"({"service":"s","name":")") +
			       name_of(length, (char)('0' + i)) +
			       R"(","host":")" + host[i / 2] +
			       R"(","prefix":")" + prefix[i % 2] + R"("})";
		doc = R"({"version":7,"routes":[)" + doc + "]}";
		ASSERT_EQ(ph_wire_read_config(mem(), doc.data(), doc.size(),
					      &routing),
			  0);
		EXPECT_EQ(routing->skipped, 0U);
		for (int i = 0; i < 4; i++) {
			const ph_route *r = ph_routing_find(
				routing, (host[i / 2] + ":80").c_str(),
				(prefix[i % 2] + "1").c_str());

			ASSERT_NE(r, nullptr);
			EXPECT_EQ(r->name, name_of(length, (char)('0' + i)));
		}
		EXPECT_EQ(ph_routing_find(routing, "h",
					  (prefix[0] + "1").c_str()),
			  nullptr);
		ph_routing_free(routing);
	}
}

/* Guards against a part of a configuration that isn't followed without a line
 * that names it: callers get 404, and nobody learns why. */
TEST(LongNames, ARouteThatIsSkippedIsLoggedWithItsNameAndTheField)
{
	const struct {
		const char *route;
		const char *logged;
	} cases[] = {
		{ R"({"name":"a b","host":5,"prefix":"/","service":"s"})",
		  "version=7 index=1 field=host route=a%20b" },
		{ R"({"name":"r","host":"h","service":"s"})",
		  "field=prefix route=r" },
		{ R"({"host":"h","prefix":"/","service":"\u0000"})",
		  "field=service route=\n" },
		{ "17", "field=object route=\n" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.route);
		const std::string doc =
			R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s"},)" +
			std::string(c.route) + "]}";
		ph_routing *routing = nullptr;
		std::string log;

		log = logged_by([&] {
			ph_wire_read_config(mem(), doc.data(), doc.size(),
					    &routing);
		});
		ASSERT_NE(routing, nullptr);
		EXPECT_EQ(routing->route_count, 1U);
		EXPECT_EQ(routing->skipped, 1U);
		EXPECT_NE(log.find(c.logged), std::string::npos) << log;
		ph_routing_free(routing);
	}
}

/* ## Logs and metrics */

/* Guards against lines that end before what tells one name from another. */
TEST(LongNames, LinesOfTheLogAndTextsAreNotCutWithinNames)
{
	for (size_t length : { 31, 200, 700, 1000, 3000 }) {
		SCOPED_TRACE(length);
		for (char tail : { 'a', 'b' }) {
			const std::string name = name_of(length, tail);
			ph_buf text;
			std::string log;

			log = logged_by([&] {
				ph_event("test", "event=x name=%s end=1",
					 name.c_str());
			});
			EXPECT_NE(log.find("name=" + name + " end=1\n"),
				  std::string::npos);
			ph_buf_init(&text, mem());
			ph_buf_printf(&text, "%s %s", name.c_str(), "end");
			EXPECT_EQ(text.data, name + " end");
			ph_buf_free(&text);
		}
	}
}

/* A line of the log has a bound, so that it is written whole or not at all. */
TEST(LongNames, ALineOfTheLogThatIsTooLongTellsSo)
{
	const std::string name = name_of(100000);
	std::string log =
		logged_by([&] { ph_event("test", "name=%s", name.c_str()); });

	EXPECT_EQ(log.size(), 4096U);
	EXPECT_EQ(log.substr(log.size() - 7), " cut=1\n");
}

} // namespace
