#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <apr_base64.h>

extern "C" {
#include "executor_list.h"
}

namespace
{

const ph_mem *mem()
{
	return ph_mem_default();
}

/* ## Jobs */

struct JobCase {
	const char *description;
	const char *body;
	ph_wire_job_error error;
};

TEST(Wire, JobIsDecodedOrRejectedWithAReason)
{
	const JobCase cases[] = {
		{ "one step",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"cpu":6800,"memMb":64,"estimateMs":60}]})",
		  PH_WIRE_JOB_OK },
		{ "not best effort", R"({"spec":"x","steps":[{"count":2}]})",
		  PH_WIRE_JOB_UNSUPPORTED },
		{ "two steps",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2},{"count":1,"after":[0]}]})",
		  PH_WIRE_JOB_UNSUPPORTED },
		{ "a gang",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"gang":true}]})",
		  PH_WIRE_JOB_UNSUPPORTED },
		{ "too many tasks",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":201}]})",
		  PH_WIRE_JOB_UNSUPPORTED },
		{ "no steps", R"({"spec":"x","bestEffort":true})",
		  PH_WIRE_JOB_INVALID },
		{ "no count", R"({"spec":"x","bestEffort":true,"steps":[{}]})",
		  PH_WIRE_JOB_INVALID },
		{ "a count of the wrong type",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":"2"}]})",
		  PH_WIRE_JOB_INVALID },
		{ "more CPU than 32 bits hold",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"cpu":4294967396}]})",
		  PH_WIRE_JOB_INVALID },
		{ "a negative size",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"memMb":-1}]})",
		  PH_WIRE_JOB_INVALID },
		{ "a GPU count of the wrong type",
		  R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"gpu":"1"}]})",
		  PH_WIRE_JOB_INVALID },
		{ "no spec", R"({"bestEffort":true,"steps":[{"count":1}]})",
		  PH_WIRE_JOB_INVALID },
		{ "truncated JSON", R"({"spec":)", PH_WIRE_JOB_INVALID },
		{ "an array", "[]", PH_WIRE_JOB_INVALID },
		{ "an empty body", "", PH_WIRE_JOB_INVALID },
	};

	for (const JobCase &c : cases) {
		SCOPED_TRACE(c.description);
		const char *reason = nullptr;
		ph_batch_request *batch = nullptr;

		EXPECT_EQ(ph_wire_read_job(mem(), "s-1", c.body, strlen(c.body),
					   &batch, &reason),
			  c.error);
		EXPECT_EQ(reason == nullptr, c.error == PH_WIRE_JOB_OK);
		if (batch) {
			EXPECT_EQ(batch->count, 2U);
			EXPECT_EQ(batch->need.cpu_milli, 6800U);
			EXPECT_EQ(batch->estimate_us, 60000U);
		}
		ph_batch_request_free(mem(), batch);
	}
}

TEST(Wire, JobIdIsSixteenHexadecimalDigits)
{
	EXPECT_TRUE(ph_wire_is_job_id("5c0e7a21d94b36f8"));
	EXPECT_FALSE(ph_wire_is_job_id("5c0e7a21d94b36f"));
	EXPECT_FALSE(ph_wire_is_job_id("5c0e7a21d94b36f80"));
	EXPECT_FALSE(ph_wire_is_job_id("5c0e7a21d94b36fx"));
	EXPECT_FALSE(ph_wire_is_job_id(""));
}

/* ## Configuration */

TEST(Wire, RouteWithInvalidFieldIsSkipped)
{
	const std::string doc =
		R"({"version":7,"routes":[)"
		R"({"name":"r","host":"h","prefix":"/p/","service":"s","timeoutMs":1500,)"
		R"("targetDurationMs":60,"priority":2,"maxAttempts":4,"stretch":1.6},)"
		R"({"name":"bad","host":5,"prefix":"/p/","service":"s"}],"other":1})";
	ph_routing *routing = nullptr;

	ASSERT_EQ(ph_wire_read_config(mem(), doc.data(), doc.size(), &routing),
		  0);
	EXPECT_EQ(routing->version, 7U);
	ASSERT_EQ(routing->route_count, 1U);
	EXPECT_EQ(routing->routes[0].stretch_percent, 160U);
	EXPECT_EQ(routing->routes[0].target_extra_us, 60000U);
	EXPECT_EQ(routing->routes[0].max_attempts, 4U);
	ph_routing_free(routing);
}

/* Guards against numbers that are converted to a type that does not hold them:
 * a priority of 2^32 would be the highest. */
TEST(Wire, NumbersOutOfRangeAreLimited)
{
	const uint64_t week_us = 604800000000;
	const struct {
		const char *field;
		const char *number;
		uint64_t expected;
	} cases[] = {
		{ "stretch", "1e300", 1000000 },
		{ "stretch", "-1e300", 0 },
		{ "stretch", "-1", 0 },
		{ "stretch", "9223372036854775807", 1000000 },
		{ "stretch", "[]", 100 },
		{ "timeoutMs", "9223372036854775807", week_us },
		{ "timeoutMs", "1e300", week_us },
		{ "timeoutMs", "-1", 0 },
		{ "targetDurationMs", "18446744073709552", week_us },
		{ "priority", "4294967296", UINT32_MAX },
		{ "priority", "1e18", UINT32_MAX },
		{ "priority", "-1", 0 },
		{ "maxAttempts", "4294967297", UINT32_MAX },
		{ "maxAttempts", "null", 1 },
		{ "estimateMs", "9223372036854775807", week_us },
		{ "estimateMs", "1e18", week_us },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(std::string(c.field) + " " + c.number);
		const std::string field =
			std::string(",\"") + c.field + "\":" + c.number;
		const std::string config =
			R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s")" +
			field + "}]}";
		const std::string job =
			R"({"spec":"x","bestEffort":true,"steps":[{"count":2)" +
			field + "}]}";
		ph_routing *routing = nullptr;
		ph_batch_request *batch = nullptr;
		const char *reason;

		ASSERT_EQ(ph_wire_read_config(mem(), config.data(),
					      config.size(), &routing),
			  0);
		ASSERT_EQ(ph_wire_read_job(mem(), "s-1", job.data(), job.size(),
					   &batch, &reason),
			  PH_WIRE_JOB_OK);
		const ph_route &r = routing->routes[0];
		const std::map<std::string, uint64_t> got = {
			{ "stretch", r.stretch_percent },
			{ "timeoutMs", r.timeout_us },
			{ "targetDurationMs", r.target_extra_us },
			{ "priority", r.priority },
			{ "maxAttempts", r.max_attempts },
			{ "estimateMs", batch->estimate_us },
		};
		EXPECT_EQ(got.at(c.field), c.expected);
		ph_routing_free(routing);
		ph_batch_request_free(mem(), batch);
	}
}

/* Guards against one odd route that keeps a whole configuration, and all later
 * ones that have it, from being followed. */
TEST(Wire, ARouteThatCannotBeReadDoesNotHideTheOthers)
{
	const std::string route = R"({"host":"h","prefix":"/p/","service":"s")";
	const struct {
		const char *what;
		std::string odd;
	} cases[] = {
		{ "a NUL",
		  R"({"host":"b\u0000","prefix":"/p/","service":"s"})" },
		{ "a number of 26 digits",
		  route + R"(,"timeoutMs":12345678901234567890123456})" },
		{ "a number beyond a double", route + R"(,"stretch":1e400})" },
		{ "nested deeply", route + R"(,"x":)" + std::string(5000, '[') +
					   std::string(5000, ']') + "}" },
		{ "bytes that are no text", route + ",\"x\":\"\xff\xfe\"}" },
		{ "no object", "17" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		std::string doc = R"({"version":7,"routes":[)" + route + "}," +
				  c.odd + "," + route + "}]}";
		ph_routing *routing = nullptr;

		ASSERT_EQ(ph_wire_read_config(mem(), doc.data(), doc.size(),
					      &routing),
			  0);
		EXPECT_EQ(routing->route_count, 2U);
		EXPECT_EQ(routing->skipped, 1U);
		EXPECT_STREQ(routing->routes[1].host, "h");
		ph_routing_free(routing);
	}
}

TEST(Wire, InvalidConfigurationIsRejected)
{
	for (const char *doc :
	     { "", "[]", "{", R"({"routes":[]})", R"({"version":1})",
	       R"({"version":"1","routes":[]})" }) {
		ph_routing *routing = nullptr;

		EXPECT_NE(
			ph_wire_read_config(mem(), doc, strlen(doc), &routing),
			0)
			<< doc;
	}
}

/* ## Executors */

/* A valid entry. */
const char good_entry[] =
	R"({"service":"s-1","address":"10.0.0.1:80","zone":"z.1_b","version":"1","slots":8,)"
	R"("state":"ready","coldLeftMs":0,"seq":4,"born":1700000000000,)"
	R"("capacity":{"cpu":16000,"memMb":64,"gpu":0},"labels":["a","r1-3"]})";

/* The valid entry with one text replaced by another. */
std::string altered_entry(const std::string &from, const std::string &to)
{
	std::string text = good_entry;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

const char *entry_fault(const std::string &text, ph_executor_info *info,
			const char *id = "i-1")
{
	const char *fault = ph_wire_read_executor(mem(), id, text.data(),
						  text.size(), info);

	return fault ? fault : "";
}

std::string nested(size_t depth)
{
	return std::string(depth, '[') + std::string(depth, ']');
}

TEST(Wire, ValidExecutorEntryIsTakenAsItIs)
{
	const std::string nested_field = R"("x":)" + nested(15);
	const struct {
		const char *from;
		const char *to;
		bool draining;
	} cases[] = {
		{ "", "", false },
		{ R"("ready")", R"("draining","remainingMs":40)", true },
		{ R"(,"labels":["a","r1-3"])", "", false },
		{ R"("version":"1","slots":8,)", "", false },
		{ R"("coldLeftMs":0)", R"("coldLeftMs":0.5)", false },
		{ R"(,"gpu":0)", "", false },
		{ R"("seq":4)", R"("seq":4,"x":[[[{}]]])", false },
		{ R"("seq":4)", nested_field.c_str(), false },
		{ R"("seq":4)", R"("x":"\"[[[[[[[[[[[[[[[[[[[[[[[[[[")",
		  false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.to);
		ph_executor_info info;

		EXPECT_STREQ(entry_fault(altered_entry(c.from, c.to), &info),
			     "");
		EXPECT_EQ(info.draining, c.draining);
		EXPECT_STREQ(info.id, "i-1");
		EXPECT_STREQ(info.addr, "10.0.0.1:80");
		EXPECT_STREQ(info.service, "s-1");
		EXPECT_STREQ(info.domain, "z.1_b");
		EXPECT_EQ(info.capacity.cpu_milli, 16000U);
		EXPECT_EQ(info.capacity.mem_mb, 64U);
		ph_executor_info_clear(mem(), &info);
	}
}

/* Guards against an entry of another writer that is taken for an executor: its
 * address is polled for ever, and its texts go into headers and the log. One
 * that doesn't tell its incarnation lets tasks start by the labels and the size
 * of an earlier one. */
TEST(Wire, ExecutorEntryWithAnInvalidFieldIsRefused)
{
	const std::string deep = std::string(40000, '[');
	const std::string digits(30, '9');
	const struct {
		const char *fault;
		std::string from;
		std::string to;
	} cases[] = {
		{ "service", R"("service":"s-1",)", "" },
		{ "service", R"("s-1")", R"("")" },
		{ "service", R"("s-1")", "7" },
		{ "service", R"("s-1")", R"("a b")" },
		{ "service", R"("s-1")",
		  R"("012345678901234567890123456789x x")" },
		{ "address", R"("address":"10.0.0.1:80",)", "" },
		{ "address", R"("10.0.0.1:80")", "5" },
		{ "address", ":80", ":0" },
		{ "address", ":80", ":-1" },
		{ "address", ":80", ":+1" },
		{ "address", ":80", ": 1" },
		{ "address", ":80", ":" },
		{ "address", ":80", "" },
		{ "address", ":80", ":65536" },
		{ "address", ":80", ":99999" },
		{ "address", ":80", ":080" },
		{ "address", ":80", ":18446744073709551617" },
		{ "address", ":80", ":80/x" },
		{ "address", ":80", ":80 " },
		{ "address", ":80", ":80:80" },
		{ "address", "10.0.0.1", "10.0.0.256" },
		{ "address", "10.0.0.1", "10.0.1" },
		{ "address", "10.0.0.1", "" },
		{ "address", "10.0.0.1", "user@10.0.0.1" },
		{ "address", "10.0.0.1", " 10.0.0.1" },
		{ "address", "10.0.0.1", "nosuch.example" },
		{ "address", "10.0.0.1", "[::1]" },
		{ "address", "10.0.0.1", "[::1]:80/@x y\\n" },
		{ "address", "10.0.0.1", std::string(1000, '1') },
		{ "zone", R"("z.1_b")", R"("x#4294967295")" },
		{ "zone", R"("z.1_b")", R"("../..")" },
		{ "zone", R"("z.1_b")", R"("a\"b")" },
		{ "zone", R"("z.1_b")", R"("a\n")" },
		{ "zone", R"("z.1_b")", R"("\u00e9")" },
		{ "zone", R"("z.1_b")", "null" },
		{ "state", R"("ready")", R"("odd")" },
		{ "state", R"("ready")", "true" },
		{ "state", R"("state":"ready",)", "" },
		{ "capacity", R"({"cpu":16000,"memMb":64,"gpu":0})", "7" },
		{ "capacity", R"("capacity":{"cpu":16000,"memMb":64,"gpu":0},)",
		  "" },
		{ "capacity", R"("cpu":16000,)", "" },
		{ "capacity", "16000", "0" },
		{ "capacity", "16000", "0.9" },
		{ "capacity", "16000", "-5" },
		{ "capacity", "16000", "1e14" },
		{ "capacity", "16000", "4294967297" },
		{ "capacity", "16000", "9223372036854775807" },
		{ "capacity", "16000", R"("16000")" },
		{ "capacity", "64", "1e300" },
		{ "capacity", "64", "[]" },
		{ "capacity", R"("gpu":0)", R"("gpu":4294967296)" },
		{ "labels", R"(["a","r1-3"])", R"("a")" },
		{ "labels", R"("r1-3")", "7" },
		{ "labels", R"("r1-3")", R"("r1 r2")" },
		{ "other", R"("version":"1")", R"("version":1)" },
		{ "other", R"("slots":8)", R"("slots":"8")" },
		{ "other", R"("slots":8)", R"("slots":-8)" },
		{ "other", R"("coldLeftMs":0)", R"("coldLeftMs":1e300)" },
		{ "born", R"("born":1700000000000)", R"("born":[])" },
		{ "born", R"("born":1700000000000)", R"("born":"1700")" },
		{ "born", R"("born":1700000000000)", R"("born":null)" },
		{ "born", R"("born":1700000000000)", R"("born":0)" },
		{ "born", R"("born":1700000000000)", R"("born":-1)" },
		{ "born", R"("born":1700000000000)", R"("born":1700.5)" },
		{ "born", R"("born":1700000000000,)", "" },
		{ "json", R"("slots":8)", R"("slots":)" + digits },
		{ "json", R"("coldLeftMs":0)", R"("coldLeftMs":1e400)" },
		{ "depth", R"("seq":4)", R"("seq":)" + deep },
		{ "depth", R"("seq":4)", R"("x":)" + nested(16) },
		{ "size", R"("version":"1")",
		  R"("version":")" + std::string(1 << 20, ' ') + "\"" },
		{ "json", R"("seq":4)", R"("x":"\u0000")" },
		{ "json", R"("seq":4)", "\xff\xfe" },
		{ "json", good_entry, "" },
		{ "json", good_entry, "\x01\x02" },
		{ "json", good_entry, "null" },
		{ "json", good_entry, "[]" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.from.substr(0, 40) + " -> " +
			     c.to.substr(0, 40));
		ph_executor_info info;

		EXPECT_STREQ(entry_fault(altered_entry(c.from, c.to), &info),
			     c.fault);
	}
}

/* Guards against an id that alters the header or the line of the log in which
 * it stands. */
TEST(Wire, ExecutorEntryWithAnIdThatIsNotSafeIsRefused)
{
	const struct {
		std::string id;
		bool valid;
	} cases[] = {
		{ "i-7f3a91c2", true },
		{ "A.b_c~d:e@f+1", true },
		{ std::string(192, 'a'), true },
		{ "", false },
		{ "a b", false },
		{ "a\r\nX-Other: 1", false },
		{ "a\n", false },
		{ "a&b", false },
		{ "a#b", false },
		{ "a%00", false },
		{ "a/b", false },
		{ "a\"b", false },
		{ "a=b", false },
		{ "a\x7f", false },
		{ "\xc3\xa9", false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.id);
		ph_executor_info info;

		EXPECT_STREQ(entry_fault(good_entry, &info, c.id.c_str()),
			     c.valid ? "" : "id");
		ph_executor_info_clear(mem(), &info);
	}
}

struct ReplyCase {
	int status;
	const char *body;
	ph_call_status result;
};

TEST(Wire, ReplyStatusAndReasonGiveTheCallStatus)
{
	const ReplyCase cases[] = {
		{ 200, R"({"clockMs":5})", PH_CALL_OK },
		{ 409, R"({"clockMs":5,"reason":"fence"})", PH_CALL_FENCED },
		{ 409, R"({"reason":"old"})", PH_CALL_OLD_RUN },
		{ 409, R"({"reason":"late"})", PH_CALL_LATE },
		{ 409, R"({"reason":"room"})", PH_CALL_NO_ROOM },
		{ 409, "", PH_CALL_INVALID },
		{ 400, "", PH_CALL_INVALID },
		{ 421, "", PH_CALL_OTHER_INCARNATION },
		{ 429, "", PH_CALL_UNHEALTHY },
		{ 503, "", PH_CALL_UNHEALTHY },
		{ 500, "", PH_CALL_UNKNOWN },
	};

	for (const ReplyCase &c : cases) {
		ph_run_command_reply reply = {};

		ph_wire_command_reply(c.status, c.body, strlen(c.body), &reply);
		EXPECT_EQ(reply.status, c.result) << c.status << c.body;
	}
}

TEST(Wire, PollReplyListsRunningAndEndedRuns)
{
	const std::string body =
		R"({"clockMs":482113,"born":1700,"running":[)"
		R"(["5c0e7a21d94b36f8.0.0.17",2,"",41,6800],[7],"x",["odd",1]],)"
		R"("ended":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.0.10",1,"lapsed"]]})";
	ph_poll_reply reply;

	ph_wire_poll_reply(mem(), 200, body.data(), body.size(), &reply);
	ASSERT_EQ(reply.status, PH_CALL_OK);
	EXPECT_EQ(reply.started_ms, 1700U);
	ASSERT_EQ(reply.running_count, 1U);
	EXPECT_EQ(reply.running[0].index, 17U);
	EXPECT_EQ(reply.running[0].percent, 41U);
	EXPECT_STREQ(reply.running[0].job, "5c0e7a21d94b36f8");
	ASSERT_EQ(reply.ended_count, 2U);
	EXPECT_EQ(reply.ended[0].end_number, 58U);
	EXPECT_EQ(reply.ended[0].end, PH_END_DONE);
	EXPECT_EQ(reply.ended[1].end, PH_END_LEASE_EXPIRED);
	ph_wire_poll_clear(mem(), &reply);
}

/* Guards against a row that is taken for another run than it names. */
TEST(Wire, RowsOfAPollReplyThatCannotBeOfAnInstanceAreSkipped)
{
	const struct {
		const char *running;
		bool taken;
		uint32_t percent;
		uint32_t cpu_milli;
	} cases[] = {
		{ R"(["5c0e7a21d94b36f8.0.0.17",2])", true, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.199",2,"",100,6800])", true, 100,
		  6800 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",2,"",1e300,1e300])", true, 100,
		  1 << 24 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",2,"",4294967297,9223372036854775807])",
		  true, 100, 1 << 24 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",2,"",-1,"x"])", true, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",2.0,"",41.5,6800.0])", true, 41,
		  6800 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",-2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",1e300])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.17",2.5])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.17"])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.200",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.-1",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0. 1",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.1x",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.4294967297",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8.0.0.18446744073709551617",2])", false,
		  0, 0 },
		{ R"(["5c0e7a21d94b36f8",2])", false, 0, 0 },
		{ R"(["5c0e7a21 94b36f8.0.0.1",2])", false, 0, 0 },
		{ R"(["5c0e7a21d94b36f8a.0.0.1",2])", false, 0, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.running);
		const std::string body =
			std::string(R"({"running":[[7],)") + c.running + "]}";
		ph_poll_reply reply;

		ph_wire_poll_reply(mem(), 200, body.data(), body.size(),
				   &reply);
		EXPECT_EQ(reply.running_count, c.taken ? 1U : 0U);
		if (c.taken && reply.running_count) {
			EXPECT_EQ(reply.running[0].run, 2U);
			EXPECT_EQ(reply.running[0].percent, c.percent);
			EXPECT_EQ(reply.running[0].cpu_milli, c.cpu_milli);
		}
		ph_wire_poll_clear(mem(), &reply);
	}
}

/* Guards against the number of an end that is altered: all ends up to it would
 * be acknowledged. */
TEST(Wire, AnEndWithoutAWholeNumberIsSkipped)
{
	for (const char *number : { "1e300", "-1", "1.5", "\"1\"", "null" }) {
		SCOPED_TRACE(number);
		const std::string body =
			std::string(R"({"ended":[[)") + number +
			R"(,"5c0e7a21d94b36f8.0.0.9",1,"done",""],)"
			R"([4,"5c0e7a21d94b36f8.0.0.8",1,"done",""]]})";
		ph_poll_reply reply;

		ph_wire_poll_reply(mem(), 200, body.data(), body.size(),
				   &reply);
		ASSERT_EQ(reply.ended_count, 1U);
		EXPECT_EQ(reply.ended[0].end_number, 4U);
		EXPECT_EQ(reply.ended[0].index, 8U);
		ph_wire_poll_clear(mem(), &reply);
	}
}

TEST(Wire, StoreItemsAreDecodedAndRemovedKeysHaveNoValue)
{
	const std::string body =
		R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4},{"key":"b","tombstone":true,"revision":5},{"value":""}],)"
		R"("truncated":true,"storeRevision":9})";
	ph_wire_items items;

	ASSERT_EQ(ph_wire_read_items(mem(), body.data(), body.size(), &items),
		  0);
	ASSERT_EQ(items.count, 2U);
	EXPECT_EQ(std::string(items.list[0].value, items.list[0].len),
		  "node-1");
	EXPECT_EQ(items.list[1].value, nullptr);
	EXPECT_EQ(items.skipped, 1U);
	EXPECT_TRUE(items.truncated);
	EXPECT_EQ(items.store_revision, 9U);
	ph_wire_items_clear(mem(), &items);
}

/* ## List of executors */

std::string base64(const std::string &text)
{
	std::string out((size_t)apr_base64_encode_len((int)text.size()), '\0');

	apr_base64_encode(&out[0], text.data(), (int)text.size());
	out.pop_back();
	return out;
}

/* An item of a page; key is the text of a JSON string. */
std::string item(const std::string &key, const std::string &value,
		 int revision = 4)
{
	return R"({"key":")" + key + R"(","value":")" + base64(value) +
	       R"(","revision":)" + std::to_string(revision) + "}";
}

std::string page(const std::vector<std::string> &items, bool truncated = false)
{
	std::string text = R"({"items":[)";

	for (const std::string &i : items)
		text += (text.back() == '[' ? "" : ",") + i;
	return text + R"(],"truncated":)" + (truncated ? "true" : "false") +
	       R"(,"storeRevision":9})";
}

/* The ids that the pages give, or what the last page led to instead; sent_us of
 * the pages counts from 1000. */
class ListReader
{
      public:
	ListReader()
	{
		ph_executor_list_init(&list, mem());
	}
	~ListReader()
	{
		ph_executor_list_free(&list);
	}
	ph_list_step read(const std::string &text)
	{
		return ph_executor_list_page(&list, sent_us++, text.data(),
					     text.size());
	}
	std::string ids() const
	{
		std::string text;

		for (size_t i = 0; i < list.count; i++)
			text += std::string(i ? " " : "") + list.list[i].id;
		return text;
	}
	std::string path() const
	{
		ph_buf buf;
		std::string text;

		ph_buf_init(&buf, mem());
		ph_executor_list_put_path(&list, &buf);
		text = buf.data;
		ph_buf_free(&buf);
		return text;
	}
	ph_executor_list list;
	uint64_t sent_us = 1000;
};

struct OddItemCase {
	const char *description;
	std::string item;
};

/* Guards against one odd item that makes the whole list unreadable. */
TEST(Wire, AnItemThatCannotBeReadDoesNotHideTheOthers)
{
	const OddItemCase cases[] = {
		{ "a key with a NUL", item("servers/x\\u0000y", good_entry) },
		{ "a key that ends with a NUL",
		  item("servers/x\\u0000", good_entry) },
		{ "half of a surrogate pair",
		  item("servers/\\ud800", good_entry) },
		{ "a key that is not UTF-8", item("servers/\xff", good_entry) },
		{ "a key with a control character",
		  item("servers/a\nb", good_entry) },
		{ "a NUL in the name of a field", R"({"\u0000":1})" },
		{ "a revision of 30 digits",
		  R"({"key":"servers/x","revision":123456789012345678901234567890})" },
		{ "a revision of 1e999",
		  R"({"key":"servers/x","revision":1e999})" },
		{ "nested deeply",
		  std::string(100000, '[') + std::string(100000, ']') },
		{ "braces and escapes in a string",
		  R"({"key":"servers/}]\"\\{\ud800"})" },
		{ "no key", R"({"value":""})" },
		{ "not an object", "7" },
	};

	for (const OddItemCase &c : cases) {
		SCOPED_TRACE(c.description);
		for (size_t at = 0; at < 3; at++) {
			std::vector<std::string> items = {
				item("servers/a", good_entry),
				item("servers/b", good_entry)
			};
			ListReader reader;

			items.insert(items.begin() + (long)at, c.item);
			EXPECT_EQ(reader.read(page(items)), PH_LIST_COMPLETE);
			EXPECT_EQ(reader.ids(), "a b");
			EXPECT_EQ(reader.list.skipped, 1U);
		}
	}
}

/* Guards against a large odd entry that is decoded at each read. */
TEST(Wire, ASkippedEntryIsDecodedAgainOnlyIfItWasWrittenAnew)
{
	const std::string odd = altered_entry(":80", ":0");
	ListReader reader;
	const struct {
		const char *description;
		std::string value;
		int revision;
		const char *ids;
	} reads[] = {
		{ "odd", odd, 5, "a" },
		{ "as before, so that its value is not looked at", good_entry,
		  5, "a" },
		{ "written anew, odd again", odd, 6, "a" },
		{ "written anew, good", good_entry, 7, "a b" },
		{ "good ones are decoded each time", odd, 7, "a" },
		{ "no revision given", odd, 0, "a" },
		{ "no revision given, good", good_entry, 0, "a b" },
	};

	for (const auto &r : reads) {
		SCOPED_TRACE(r.description);
		EXPECT_EQ(reader.read(page(
				  { item("servers/a", good_entry),
				    item("servers/b", r.value, r.revision) })),
			  PH_LIST_COMPLETE);
		EXPECT_EQ(reader.ids(), r.ids);
		EXPECT_EQ(reader.list.skipped, strlen(r.ids) == 1 ? 1U : 0U);
		ph_executor_list_restart(&reader.list);
	}
}

/* Guards against a page that fails and leaves its part of the list, its time or
 * its key to the next read. */
TEST(Wire, AListWithAPageThatCannotBeReadIsReadAnew)
{
	const std::string bad[] = {
		"", "[]", "{\"items\":[",
		page({ item("servers/c", good_entry) }).substr(0, 60)
	};

	for (const std::string &text : bad) {
		SCOPED_TRACE(text);
		ListReader reader;

		EXPECT_EQ(reader.read(page({ item("servers/a", good_entry) },
					   true)),
			  PH_LIST_NEXT);
		EXPECT_EQ(reader.path(),
			  "/kv-range?prefix=servers/&after=servers/a");
		EXPECT_EQ(reader.read(text), PH_LIST_FAILED);
		EXPECT_EQ(reader.path(), "/kv-range?prefix=servers/");
		EXPECT_EQ(reader.read(page({ item("servers/b", good_entry) })),
			  PH_LIST_COMPLETE);
		EXPECT_EQ(reader.ids(), "b");
		EXPECT_EQ(reader.list.requested_us, 1002U);
	}
}

/* Guards against a next page that is asked for by an altered key, and against
 * one that is asked for again and again. */
TEST(Wire, TheNextPageBeginsAfterTheLastKeyWhateverItIs)
{
	const std::string longest = "servers/" + std::string(192, ' ');
	std::string encoded = "servers/";
	const struct {
		const char *description;
		std::string key;
		std::string after;
	} cases[] = {
		{ "a usual key", "servers/i-1.b_c~", "servers/i-1.b_c~" },
		{ "separators of a URL", "servers/a b&c#?=+%",
		  "servers/a%20b%26c%23%3F%3D%2B%25" },
		{ "a NUL and a newline", "servers/\\u0000\\n",
		  "servers/%00%0A" },
		{ "not ASCII", "servers/\\u00e9", "servers/%C3%A9" },
		{ "the longest key, to be encoded whole", longest,
		  [&] {
			  for (int i = 0; i < 192; i++)
				  encoded += "%20";
			  return encoded;
		  }() },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.description);
		ListReader reader;
		const std::string last = page({ item(c.key, "odd") }, true);

		EXPECT_EQ(reader.read(last), PH_LIST_NEXT);
		EXPECT_EQ(reader.path(),
			  "/kv-range?prefix=servers/&after=" + c.after);
		EXPECT_EQ(reader.read(last), PH_LIST_FAILED)
			<< "the store sent the same page again";
	}
}

/* Guards against a list that is taken for whole, without the executors of its
 * later pages. */
TEST(Wire, ATruncatedPageWithoutAReadableItemIsNotTheEndOfTheList)
{
	for (const std::string &text :
	     { page({}, true), page({ item("\\ud800", "") }, true) }) {
		ListReader reader;

		EXPECT_EQ(reader.read(text), PH_LIST_FAILED) << text;
	}
}

/* Guards against an odd registration of an instance: a name would be looked up
 * by the thread that connects to the others. */
TEST(Wire, OnlyAnAddressNamesAnotherInstance)
{
	const struct {
		std::string value;
		bool valid;
	} cases[] = {
		{ "10.0.0.1:7001", true },
		{ "", false },
		{ "10.0.0.1", false },
		{ "10.0.0.1:99999", false },
		{ "10.0.0.1:7001 ", false },
		{ "nosuch.example:7001", false },
		{ std::string("10.0.0.1:7001\0", 14), false },
		{ std::string(5000, '1') + ":1", false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.value.substr(0, 40));
		std::string text =
			page({ item("peridothall/members/n", c.value) });
		ph_wire_items items;

		ASSERT_EQ(ph_wire_read_items(mem(), text.data(), text.size(),
					     &items),
			  0);
		ASSERT_EQ(items.count, 1U);
		if (c.valid)
			EXPECT_STREQ(ph_wire_read_member(&items.list[0]),
				     c.value.c_str());
		else
			EXPECT_EQ(ph_wire_read_member(&items.list[0]), nullptr);
		ph_wire_items_clear(mem(), &items);
	}
}

/* Guards against a value of another writer that is taken for a number. */
TEST(Wire, NumberOfShardsIsDecimalTextInRange)
{
	const struct {
		std::string value;
		uint32_t shards;
	} cases[] = {
		{ "1", 1 },	    { "17", 17 }, { "1000", 1000 },
		{ "1001", 0 },	    { "0", 0 },	  { "", 0 },
		{ "-1", 0 },	    { "+3", 0 },  { " 3", 0 },
		{ "3 ", 0 },	    { "3\n", 0 }, { "03", 0 },
		{ "3.0", 0 },	    { "0x3", 0 }, { "4294967299", 0 },
		{ "three", 0 },	    { "1e2", 0 }, { std::string("3\0", 2), 0 },
		{ "{\"n\":3}", 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.value);
		std::string text =
			page({ item("peridothall/shards/z", c.value) });
		ph_wire_items items;
		uint32_t shards = 7;

		ASSERT_EQ(ph_wire_read_items(mem(), text.data(), text.size(),
					     &items),
			  0);
		ASSERT_EQ(items.count, 1U);
		EXPECT_EQ(ph_wire_read_shards(&items.list[0], &shards),
			  c.shards ? PH_SHARDS_PRESENT : PH_SHARDS_UNREADABLE);
		EXPECT_EQ(shards, c.shards);
		ph_wire_items_clear(mem(), &items);
	}
}

/* Guards against a write without its condition: it would replace the number
 * that another instance has written. */
TEST(Wire, NumberOfShardsIsWrittenUnderTheExpectedRevision)
{
	ph_buf buf;

	ph_buf_init(&buf, mem());
	ph_wire_put_shards_write(&buf, "peridothall/shards/z", 4, 0);
	ph_buf_put(&buf, "", 1);
	EXPECT_STREQ(
		buf.data,
		R"({"expectedRev":[{"key":"peridothall/shards/z","revision":0}],"puts":[{"key":"peridothall/shards/z","value":"NA=="}],"remove":[]})");
	buf.len = 0;
	ph_wire_put_shards_write(&buf, "peridothall/shards/z", 1000, 12345);
	ph_buf_put(&buf, "", 1);
	EXPECT_NE(strstr(buf.data, R"("revision":12345)"), nullptr);
	ph_buf_free(&buf);
	EXPECT_EQ(ph_wire_read_revision(R"({"revision":31})", 15), 31U);
	EXPECT_EQ(ph_wire_read_revision("{}", 2), 0U);
	EXPECT_EQ(ph_wire_read_revision("x", 1), 0U);
}

/* Replaces each byte of a valid document in turn. The results are not checked:
 * every decoder has to return without a memory error. */
TEST(Wire, DecodersReturnOnCorruptDocuments)
{
	const std::string good =
		R"({"version":7,"routes":[{"host":"h"}],"spec":"x","steps":[{"count":2}],"items":[{"key":"a","value":"bm9kZS0x"}],"running":[["a.0.0.1",2,"",4]],"ended":[[1,"a.0.0.1",1,"done",""]]})";

	for (size_t at = 0; at < good.size(); at++) {
		for (char c : { '\0', '"', '[', '}', '9', '-', '\xff' }) {
			std::string bad = good;
			ph_routing *routing = nullptr;
			ph_batch_request *batch = nullptr;
			const char *reason;
			ph_executor_info info;
			ph_poll_reply poll;
			ph_wire_items items;

			bad[at] = c;
			if (!ph_wire_read_config(mem(), bad.data(), bad.size(),
						 &routing))
				ph_routing_free(routing);
			ph_wire_read_job(mem(), "s-1", bad.data(), bad.size(),
					 &batch, &reason);
			ph_batch_request_free(mem(), batch);
			if (!ph_wire_read_executor(mem(), "i", bad.data(),
						   bad.size(), &info))
				ph_executor_info_clear(mem(), &info);
			ph_wire_poll_reply(mem(), 200, bad.data(), bad.size(),
					   &poll);
			ph_wire_poll_clear(mem(), &poll);
			if (!ph_wire_read_items(mem(), bad.data(), bad.size(),
						&items))
				ph_wire_items_clear(mem(), &items);
		}
	}
}

} // namespace
