#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>

extern "C" {
#include "msg.h"
#include "pool_shard.h"
#include "poolmsg.h"
}

namespace
{

/* A message with the fields that all types share. */
ph_poolmsg message(ph_poolmsg_type type)
{
	ph_poolmsg m = {};

	m.type = type;
	m.name = "n1";
	m.domain = "north";
	snprintf(m.addr, sizeof(m.addr), "10.0.0.1:1");
	m.incarnation = 7;
	m.seq = 99;
	return m;
}

std::string encode(const ph_poolmsg &m)
{
	ph_buf out;
	std::string bytes;

	ph_buf_init(&out, ph_mem_default());
	ph_poolmsg_encode(&m, &out);
	bytes.assign(out.data + PH_MSG_FRAME_BYTES,
		     out.len - PH_MSG_FRAME_BYTES);
	ph_buf_free(&out);
	return bytes;
}

int decode(const std::string &bytes, ph_poolmsg *m)
{
	return ph_poolmsg_decode(ph_mem_default(), bytes.data(), bytes.size(),
				 m);
}

ph_batch_request sample_batch_request(char *spec)
{
	ph_batch_request w = {};

	snprintf(w.job, sizeof(w.job), "0123456789abcdef");
	w.service = "desk";
	w.spec = spec;
	w.spec_len = strlen(spec);
	w.count = 3;
	w.need = { 6800, 64, 1 };
	w.estimate_us = 60000;
	w.resumed = true;
	w.possible_executor[1] = 5;
	ph_bit_set(w.done, 2);
	return w;
}

TEST(PoolMsg, EveryTypeIsDecodedAsEncoded)
{
	char spec[] = "text";
	char doc[] = "{}";
	ph_batch_request request = sample_batch_request(spec);
	const char *evacuated[] = { "north", "south" };
	auto change = std::make_unique<ph_list_change>();

	change->digest_before = 3;
	change->digest_after = UINT64_MAX;
	change->updated_count = 1;
	change->updated[0].id = "x1";
	snprintf(change->updated[0].addr, PH_ADDR_BYTES, "10.0.0.9:80");
	change->updated[0].domain = "north";
	change->updated[0].capacity.cpu_milli = 16000;
	change->updated[0].draining = true;
	change->updated[0].started_ms = 1700000000000;
	change->removed_count = 1;
	change->removed[0] = "x2";
	for (int t = PH_POOLMSG_HEARTBEAT; t < PH_POOLMSG_TYPES; t++) {
		SCOPED_TRACE(t);
		ph_poolmsg m = message((ph_poolmsg_type)t);
		ph_poolmsg got;

		if (t == PH_POOLMSG_HEARTBEAT) {
			m.claim_count = 1;
			m.claims[0].token = 1ULL << 52;
			m.claims[0].offered = true;
			m.claims[0].load.free_milli = 12;
			m.shards = 4;
			m.suspect_count = 1;
			m.suspects[0].job = 77;
			m.echo_us = UINT64_MAX - 1;
			m.shards_revision = 9;
			m.evacuation_revision = 1ULL << 41;
			m.evacuation_age_us = 70;
			m.reported_owner_count = 2;
			m.reported_owners[0].pool_name = "north#3";
			m.reported_owners[0].name = "n2";
			strcpy(m.reported_owners[0].addr, "10.0.0.2:1");
			m.reported_owners[0].token = 1ULL << 51;
			m.reported_owners[0].heard_ago_us = 99;
			m.reported_owners[1].name = "n3";
		}
		if (t == PH_POOLMSG_SUBMIT) {
			m.batch_request = &request;
			m.pool = "north#2";
		}
		if (t == PH_POOLMSG_RESULT) {
			m.result.verdict = PH_VERDICT_MOVED;
			m.result.reason = "another owner";
			m.result.count = 2;
			m.result.possible_executor[1] = 8;
			m.result.evacuated = true;
			m.result.not_started = true;
		}
		if (t == PH_POOLMSG_EVACUATION) {
			m.evacuation_revision = 1ULL << 41;
			m.evacuation_age_us = 70;
			m.evacuated = evacuated;
			m.evacuated_count = 2;
		}
		if (t == PH_POOLMSG_CONFIG) {
			m.doc = doc;
			m.doc_len = strlen(doc);
		}
		if (t == PH_POOLMSG_LIST)
			m.change = change.get();
		ASSERT_EQ(decode(encode(m), &got), 0);
		EXPECT_EQ(got.type, m.type);
		EXPECT_STREQ(got.name, "n1");
		EXPECT_EQ(got.claim_count, m.claim_count);
		EXPECT_EQ(got.suspect_count, m.suspect_count);
		EXPECT_EQ(got.suspects[0].job, m.suspects[0].job);
		EXPECT_EQ(got.echo_us, m.echo_us);
		EXPECT_EQ(got.shards_revision, m.shards_revision);
		EXPECT_EQ(got.evacuation_revision, m.evacuation_revision);
		EXPECT_EQ(got.evacuation_age_us, m.evacuation_age_us);
		ASSERT_EQ(got.reported_owner_count, m.reported_owner_count);
		for (uint32_t i = 0; i < got.reported_owner_count; i++) {
			const ph_reported_owner &o = m.reported_owners[i];
			const ph_reported_owner &r = got.reported_owners[i];

			EXPECT_STREQ(r.pool_name,
				     o.pool_name ? o.pool_name : "");
			EXPECT_STREQ(r.name, o.name);
			EXPECT_STREQ(r.addr, o.addr);
			EXPECT_EQ(r.token, o.token);
			EXPECT_EQ(r.heard_ago_us, o.heard_ago_us);
		}
		EXPECT_EQ(got.claims[0].token, m.claims[0].token);
		EXPECT_EQ(got.claims[0].offered, m.claims[0].offered);
		EXPECT_EQ(got.result.possible_executor[1],
			  m.result.possible_executor[1]);
		EXPECT_EQ(got.result.evacuated, m.result.evacuated);
		ASSERT_EQ(got.evacuated_count, m.evacuated_count);
		for (uint32_t i = 0; i < m.evacuated_count; i++)
			EXPECT_STREQ(got.evacuated[i], m.evacuated[i]);
		EXPECT_EQ(got.result.not_started, m.result.not_started);
		if (t == PH_POOLMSG_SUBMIT) {
			EXPECT_STREQ(got.batch_request->job, request.job);
			EXPECT_EQ(got.batch_request->possible_executor[1], 5U);
			EXPECT_TRUE(ph_bit_get(got.batch_request->done, 2));
			EXPECT_EQ(got.batch_request->need.gpu, 1U);
		}
		if (t == PH_POOLMSG_LIST) {
			EXPECT_EQ(got.change->digest_before, 3U);
			EXPECT_EQ(got.change->digest_after, UINT64_MAX);
			ASSERT_EQ(got.change->updated_count, 1U);
			EXPECT_STREQ(got.change->updated[0].id, "x1");
			EXPECT_EQ(got.change->updated[0].capacity.cpu_milli,
				  16000U);
			EXPECT_TRUE(got.change->updated[0].draining);
			EXPECT_EQ(got.change->updated[0].started_ms,
				  1700000000000U);
			ASSERT_EQ(got.change->removed_count, 1U);
			EXPECT_STREQ(got.change->removed[0], "x2");
		}
		ph_poolmsg_clear(ph_mem_default(), &got);
	}
}

/* A result of an earlier version does not tell whether the domain is
 * evacuated. */
TEST(PoolMsg, AResultWithoutAnEvacuationIsDecoded)
{
	ph_poolmsg m = message(PH_POOLMSG_RESULT);
	std::string bytes;
	ph_poolmsg got;

	m.result.verdict = PH_VERDICT_MOVED;
	m.result.reason = "another owner";
	m.result.evacuated = true;
	bytes = encode(m);
	/* An array of up to 65535 elements, the last four of one byte each. */
	ASSERT_EQ(bytes[0], '\xdc');
	ASSERT_EQ(bytes[2], 16);
	bytes.resize(bytes.size() - 4);
	bytes[2] -= 4;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.result.verdict, PH_VERDICT_MOVED);
	EXPECT_FALSE(got.result.evacuated);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

/* A heartbeat of an earlier version ends with the claims, the suspects, the
 * echo or the age of the requests to evacuate. */
TEST(PoolMsg, AHeartbeatWithoutAnEchoIsDecoded)
{
	ph_poolmsg m = message(PH_POOLMSG_HEARTBEAT);
	std::string bytes;
	ph_poolmsg got;

	m.shards = 4;
	bytes = encode(m);
	/* An array of up to 65535 elements, and the last numbers, of one byte
	 * and of nine. */
	ASSERT_EQ(bytes[0], '\xdc');
	ASSERT_EQ(bytes[2], 24);
	m.echo_us = 1ULL << 40;
	ASSERT_EQ(encode(m).size(), bytes.size() + 8);
	bytes.resize(bytes.size() - 2);
	bytes[2] -= 2;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_FALSE(got.has_starts);
	ph_poolmsg_clear(ph_mem_default(), &got);
	bytes.pop_back();
	bytes[2]--;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.reported_owner_count, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
	bytes.resize(bytes.size() - 3);
	bytes[2] -= 3;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.evacuation_revision, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
	bytes.pop_back();
	bytes[2]--;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.echo_us, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
	bytes.pop_back();
	bytes[2]--;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.shards, 4U);
	EXPECT_EQ(got.suspect_count, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

/* Guards against results of earlier versions, which end without telling whether
 * a task was started, that are rejected or count as certainly not run. */
TEST(PoolMsg, AResultOfAnEarlierVersionMayHaveRun)
{
	ph_poolmsg m = message(PH_POOLMSG_RESULT);
	std::string bytes;
	ph_poolmsg got;

	m.result.verdict = PH_VERDICT_MOVED;
	m.result.reason = "another owner";
	m.result.count = 1;
	m.result.not_started = true;
	bytes = encode(m);
	/* An array of up to 65535 elements, the last four of one byte each. */
	ASSERT_EQ(bytes[0], '\xdc');
	ASSERT_EQ(bytes[2], 16);
	bytes.resize(bytes.size() - 4);
	bytes[2] -= 4;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.result.verdict, PH_VERDICT_MOVED);
	EXPECT_FALSE(got.result.not_started);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

/* Some starts that may still be carried out. */
ph_unconfirmed starts()
{
	ph_unconfirmed u = {};

	u.count = 2;
	u.incomplete = true;
	u.starts[0] = { 3, 0xfffffff0, 1ULL << 53, true, 19999999 };
	u.starts[1] = { PH_MAX_TASKS - 1, 7, 12, false, 0 };
	return u;
}

void expect_starts(const ph_unconfirmed &got, const ph_unconfirmed &want)
{
	EXPECT_EQ(got.incomplete, want.incomplete);
	ASSERT_EQ(got.count, want.count);
	for (uint32_t i = 0; i < got.count; i++) {
		EXPECT_EQ(got.starts[i].index, want.starts[i].index);
		EXPECT_EQ(got.starts[i].executor, want.starts[i].executor);
		EXPECT_EQ(got.starts[i].run, want.starts[i].run);
		EXPECT_EQ(got.starts[i].unanswered, want.starts[i].unanswered);
		EXPECT_EQ(got.starts[i].age_us, want.starts[i].age_us);
	}
}

ph_batch_request resumed_request()
{
	ph_batch_request request = {};

	snprintf(request.job, sizeof(request.job), "a");
	request.service = "desk";
	request.label = "";
	request.spec = "";
	request.count = 2;
	request.resumed = true;
	request.unconfirmed = starts();
	return request;
}

TEST(PoolMsg, StartsThatMayStillBeCarriedOutAreDecoded)
{
	ph_batch_request request = resumed_request();
	ph_poolmsg m = message(PH_POOLMSG_RESULT);
	ph_poolmsg got;

	m.result.verdict = PH_VERDICT_MOVED;
	m.result.reason = "";
	m.result.unconfirmed = starts();
	ASSERT_EQ(decode(encode(m), &got), 0);
	expect_starts(got.result.unconfirmed, starts());
	ph_poolmsg_clear(ph_mem_default(), &got);

	m = message(PH_POOLMSG_SUBMIT);
	m.pool = "north#2";
	m.batch_request = &request;
	ASSERT_EQ(decode(encode(m), &got), 0);
	expect_starts(got.batch_request->unconfirmed, starts());
	ph_poolmsg_clear(ph_mem_default(), &got);

	m = message(PH_POOLMSG_ACCEPTED);
	m.clock_us = 1ULL << 45;
	m.result.unconfirmed = starts();
	ASSERT_EQ(decode(encode(m), &got), 0);
	EXPECT_EQ(got.clock_us, 1ULL << 45);
	expect_starts(got.result.unconfirmed, starts());
	ph_poolmsg_clear(ph_mem_default(), &got);

	m = message(PH_POOLMSG_HEARTBEAT);
	m.starts.incomplete = true;
	m.starts.count = 1;
	m.starts.starts[0].seq = 1ULL << 60;
	m.starts.starts[0].start = starts().starts[0];
	ASSERT_EQ(decode(encode(m), &got), 0);
	EXPECT_TRUE(got.has_starts);
	EXPECT_TRUE(got.starts.incomplete);
	ASSERT_EQ(got.starts.count, 1U);
	EXPECT_EQ(got.starts.starts[0].seq, 1ULL << 60);
	EXPECT_TRUE(got.starts.starts[0].start.unanswered);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

/* Guards against a batch of an earlier version, which doesn't tell of starts,
 * that is rejected. */
TEST(PoolMsg, ABatchOfAnEarlierVersionIsDecoded)
{
	ph_batch_request request = resumed_request();
	ph_poolmsg m = message(PH_POOLMSG_SUBMIT);
	std::string bytes;
	ph_poolmsg got;

	request.unconfirmed = {};
	m.pool = "north#2";
	m.batch_request = &request;
	bytes = encode(m);
	/* An array of up to 65535 elements, the last two of one byte each. */
	ASSERT_EQ(bytes[0], '\xdc');
	bytes.resize(bytes.size() - 2);
	bytes[2] -= 2;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_TRUE(got.batch_request->resumed);
	EXPECT_EQ(got.batch_request->unconfirmed.count, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

/* The same for an acceptance. */
TEST(PoolMsg, AnAcceptanceOfAnEarlierVersionIsDecoded)
{
	ph_poolmsg m = message(PH_POOLMSG_ACCEPTED);
	std::string bytes = encode(m);
	ph_poolmsg got;

	/* An array of up to 15 elements, the last three of one byte each. */
	ASSERT_EQ(bytes[0], '\x9a');
	bytes.resize(bytes.size() - 3);
	bytes[0] -= 3;
	ASSERT_EQ(decode(bytes, &got), 0);
	EXPECT_EQ(got.seq, m.seq);
	EXPECT_EQ(got.clock_us, 0U);
	EXPECT_EQ(got.result.unconfirmed.count, 0U);
	ph_poolmsg_clear(ph_mem_default(), &got);
}

bool accepted(const ph_poolmsg &m)
{
	ph_poolmsg got;
	bool valid = !decode(encode(m), &got) && ph_poolmsg_names_valid(&got);

	ph_poolmsg_clear(ph_mem_default(), &got);
	return valid;
}

/* Guards against a message whose values are used as they are: a number of
 * shards is a number of pools to create, and an address is connected to. */
TEST(PoolMsg, MessagesWithValuesOutOfRangeAreRejected)
{
	const struct {
		const char *what;
		ph_poolmsg_type type;
		std::function<void(ph_poolmsg &)> alter;
	} cases[] = {
		{ "an address without a port", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { strcpy(m.addr, "10.0.0.1"); } },
		{ "a host name", PH_POOLMSG_ACCEPTED,
		  [](ph_poolmsg &m) { strcpy(m.addr, "n1.example:7"); } },
		{ "a name with a space", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { m.name = "n 1"; } },
		{ "a domain with the separator of shards", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { m.domain = "north#2"; } },
		{ "too many shards", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { m.shards = PH_POOL_SHARDS_MAX + 1; } },
		{ "an owner with a host name", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) {
			  strcpy(m.reported_owners[0].addr, "n2.example:1");
		  } },
		{ "an owner with an unsafe name", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { m.reported_owners[0].name = "a\nb"; } },
		{ "an owner of a pool of another domain", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) {
			  m.reported_owners[0].pool_name = "south";
		  } },
		{ "an owner of a pool without a number", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) {
			  m.reported_owners[0].pool_name = "north#";
		  } },
		{ "an owner of a pool with too high a number",
		  PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) {
			  m.reported_owners[0].pool_name = "north#1000";
		  } },
		{ "an interval of an hour", PH_POOLMSG_HEARTBEAT,
		  [](ph_poolmsg &m) { m.interval_us = 3600000000; } },
		{ "CPU that overflows a sum", PH_POOLMSG_SUBMIT,
		  [](ph_poolmsg &m) {
			  m.batch_request->need.cpu_milli = UINT32_MAX;
		  } },
		{ "memory that overflows a sum", PH_POOLMSG_SUBMIT,
		  [](ph_poolmsg &m) {
			  m.batch_request->need.mem_mb = UINT32_MAX;
		  } },
		{ "an executor with a host name", PH_POOLMSG_LIST,
		  [](ph_poolmsg &m) {
			  strcpy(m.change->updated[0].addr, "x.example:1");
		  } },
		{ "an executor with an unsafe id", PH_POOLMSG_LIST,
		  [](ph_poolmsg &m) { m.change->updated[0].id = "a\nb"; } },
		{ "an executor with too much CPU", PH_POOLMSG_LIST,
		  [](ph_poolmsg &m) {
			  m.change->updated[0].capacity.cpu_milli = UINT32_MAX;
		  } },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		char spec[] = "text";
		ph_batch_request request = sample_batch_request(spec);
		auto change = std::make_unique<ph_list_change>();
		ph_poolmsg m = message(c.type);

		change->updated_count = 1;
		change->updated[0].id = "x1";
		strcpy(change->updated[0].addr, "10.0.0.9:80");
		change->updated[0].domain = "north";
		if (c.type == PH_POOLMSG_HEARTBEAT) {
			m.reported_owner_count = 1;
			m.reported_owners[0].pool_name = "north#2";
			m.reported_owners[0].name = "n2";
			strcpy(m.reported_owners[0].addr, "10.0.0.2:1");
		}
		if (c.type == PH_POOLMSG_SUBMIT)
			m.batch_request = &request;
		if (c.type == PH_POOLMSG_LIST)
			m.change = change.get();
		ASSERT_TRUE(accepted(m));
		c.alter(m);
		EXPECT_FALSE(accepted(m));
	}
}

/* Truncated messages are rejected, and altered bytes cause no memory errors,
 * also if they decode. */
TEST(PoolMsg, TruncatedMessagesAreRejectedAndAlteredOnesAreSafe)
{
	char spec[] = "text";
	ph_batch_request request = sample_batch_request(spec);
	ph_poolmsg m = message(PH_POOLMSG_SUBMIT);
	std::string bytes;
	ph_poolmsg got;

	m.batch_request = &request;
	bytes = encode(m);
	for (size_t len = 0; len < bytes.size(); len++)
		EXPECT_NE(decode(bytes.substr(0, len), &got), 0) << len;
	for (size_t at = 0; at < bytes.size(); at++) {
		std::string altered = bytes;

		altered[at] = (char)(altered[at] ^ 0xff);
		if (!decode(altered, &got))
			ph_poolmsg_clear(ph_mem_default(), &got);
	}
}

} // namespace
