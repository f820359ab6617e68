#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "msg.h"
}

namespace
{

std::string encode(const ph_msg &msg)
{
	struct ph_buf buf;

	ph_buf_init(&buf, ph_mem_default());
	ph_msg_encode(&msg, &buf);
	std::string frame(buf.data + PH_MSG_FRAME_BYTES,
			  buf.len - PH_MSG_FRAME_BYTES);
	ph_buf_free(&buf);
	return frame;
}

ph_msg header(ph_msg_type type)
{
	ph_msg m = {};

	m.type = type;
	m.name = "n";
	m.domain = "d";
	m.addr = "127.0.0.1:1";
	m.incarnation = 7;
	m.roster_version = 3;
	return m;
}

int decode(const std::string &frame)
{
	struct ph_decoded_msg *decoded = nullptr;
	int err = ph_msg_decode(ph_mem_default(), frame.data(), frame.size(),
				&decoded);

	if (!err)
		ph_decoded_msg_free(decoded);
	return err;
}

std::string sample(int type)
{
	ph_msg m = header((ph_msg_type)type);
	ph_task_record task = { 1, 2, 7, 200, "ok", 2 };
	ph_record record = {};

	record.key = "t/a";
	record.service = "s";
	record.task_count = 2;
	record.body = "{}";
	record.body_len = 2;
	record.count = 1;
	record.tasks = &task;
	m.records = &record;
	m.count = 1;
	m.doc = "{}";
	m.doc_len = 2;
	m.request.type = PH_REQUEST_SUBMIT;
	m.request.team = "t";
	m.request.service = "s";
	m.request.id = "a";
	m.request.body = "{}";
	m.request.body_len = 2;
	return encode(m);
}

TEST(Msg, DecodesEveryEncodedType)
{
	for (int type = 1; type < PH_MSG_TYPES; type++) {
		std::string frame = sample(type);
		struct ph_decoded_msg *decoded = nullptr;

		ASSERT_EQ(ph_msg_decode(ph_mem_default(), frame.data(),
					frame.size(), &decoded),
			  0)
			<< type;
		EXPECT_EQ(ph_decoded_msg_get(decoded)->type, type);
		EXPECT_EQ(ph_decoded_msg_get(decoded)->incarnation, 7u);
		ph_decoded_msg_free(decoded);
	}
}

TEST(Msg, RejectsTruncatedAndOverlongFrames)
{
	for (int type = 1; type < PH_MSG_TYPES; type++) {
		std::string frame = sample(type);

		for (size_t len = 0; len < frame.size(); len++)
			EXPECT_NE(decode(frame.substr(0, len)), 0)
				<< type << " cut to " << len;
		EXPECT_NE(decode(frame + "x"), 0);
	}
}

struct BadCase {
	const char *what;
	size_t at;
	char value;
	int err;
};

TEST(Msg, RejectsInvalidHeaders)
{
	const BadCase cases[] = {
		{ "another protocol version", 1, 2, PH_ERR_VERSION },
		{ "type 0", 2, 0, PH_ERR_SYNTAX },
		{ "an unknown type", 2, 0x7f, PH_ERR_SYNTAX },
		{ "not an array", 0, 0x01, PH_ERR_SYNTAX },
	};

	for (const BadCase &c : cases) {
		std::string frame = sample(PH_MSG_PING);

		frame[c.at] = c.value;
		EXPECT_EQ(decode(frame), c.err) << c.what;
	}
}

TEST(Msg, RejectsDeclaredSizesBeyondFrameEnd)
{
	const std::string cases[] = {
		std::string("\xdd\xdd\xdd\xdd\x85", 5),
		std::string("\xdd\xff\xff\xff\xff", 5),
		std::string("\xdc\xff\xff", 3),
		std::string("\xc6\xff\xff\xff\xff", 5),
		std::string("\x92\x01\xdd\x7f\xff\xff\xff", 7),
	};

	for (const std::string &c : cases)
		EXPECT_EQ(decode(c), PH_ERR_SYNTAX);
}

} // namespace
