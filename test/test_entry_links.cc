/* When an entry instance opens a new connection to a peer. */

#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "entry_core.h"
#include "log.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr char kPeer[] = "127.0.0.2:1";

/* An instance and a peer that answers its heartbeats, or does not. */
struct Pair {
	uint64_t now_us = 1000 * kMs;
	ph_core *core;
	/** Whether messages arrive, in either direction. */
	bool to_peer = true;
	bool from_peer = true;
	/** A new connection makes them arrive again. */
	bool new_connections_work = true;
	int renewals = 0;
	std::vector<uint64_t> pings;

	Pair()
	{
		static const ph_core_sink sink = {
			on_send,
			on_renew,
			[](void *, const ph_start *) {},
			[](void *, uint64_t, int, const char *, size_t) {},
			[](void *) {},
			[](void *, uint64_t, const char *, size_t) {},
		};
		ph_core_options o = {};

		ph_log_quiet(1);
		o.mem = ph_mem_default();
		o.name = "n1";
		o.domain = "d";
		o.addr = "127.0.0.1:1";
		o.incarnation = 1;
		o.ping_every_us = 250 * kMs;
		o.suspect_after_us = 1000 * kMs;
		o.solo_after_us = 2000 * kMs;
		o.retention_us = 60000 * kMs;
		o.hold_us = 1000 * kMs;
		o.sink = &sink;
		o.ctx = this;
		core = ph_core_new(&o, now_us);
	}

	~Pair()
	{
		ph_core_free(core);
	}

	static void on_send(void *ctx, const char *addr, const ph_msg *msg)
	{
		Pair *p = static_cast<Pair *>(ctx);

		if (p->to_peer && msg->type == PH_MSG_PING &&
		    !strcmp(addr, kPeer))
			p->pings.push_back(msg->sent_us);
	}

	static void on_renew(void *ctx, const char *addr)
	{
		Pair *p = static_cast<Pair *>(ctx);

		EXPECT_STREQ(addr, kPeer);
		p->renewals++;
		p->to_peer = p->to_peer || p->new_connections_work;
	}

	void receive(ph_msg_type type, uint64_t sent_us)
	{
		ph_msg msg = {};

		msg.type = type;
		msg.name = "n2";
		msg.domain = "d";
		msg.addr = kPeer;
		msg.incarnation = 2;
		msg.sent_us = sent_us;
		if (from_peer)
			ph_core_message(core, now_us, &msg);
	}

	/* The peer, too, renews its connection, at its own doubt. */
	void run_for(uint64_t us, bool peer_renews = true)
	{
		uint64_t until_us = now_us + us;
		uint64_t silent_us = 0;

		for (; now_us < until_us; now_us += PH_CORE_TICK_US) {
			ph_core_tick(core, now_us);
			for (uint64_t sent_us : pings)
				receive(PH_MSG_PONG, sent_us);
			pings.clear();
			if (now_us / PH_CORE_TICK_US % 12 == 0)
				receive(PH_MSG_PING, now_us);
			silent_us = from_peer ? 0 : silent_us + PH_CORE_TICK_US;
			if (silent_us > 625 * kMs && peer_renews)
				from_peer = true;
		}
	}
};

/* Guards against a connection that stays dead, so that the peer is removed. */
TEST(EntryLinks, AConnectionThatGoesSilentIsReplacedBeforeThePeerIsSilent)
{
	const struct {
		const char *what;
		bool to_peer;
		bool from_peer;
		int least;
		int most;
	} cases[] = {
		{ "none", true, true, 0, 0 },
		{ "to the peer", false, true, 1, 1 },
		{ "from the peer", true, false, 1, 2 },
		{ "both", false, false, 1, 2 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		Pair p;

		p.run_for(2000 * kMs);
		EXPECT_EQ(p.renewals, 0);
		for (int times = 1; times <= 3; times++) {
			p.to_peer = c.to_peer;
			p.from_peer = c.from_peer;
			p.run_for(900 * kMs);
			EXPECT_TRUE(p.to_peer);
			EXPECT_TRUE(p.from_peer);
			p.run_for(1000 * kMs);
			EXPECT_GE(p.renewals, c.least * times);
			EXPECT_LE(p.renewals, c.most * times);
		}
	}
}

/* Guards against a flood of dials to a peer that can't be reached. */
TEST(EntryLinks, APeerThatCannotBeReachedCostsFewNewConnections)
{
	Pair p;

	p.run_for(2000 * kMs);
	p.new_connections_work = false;
	p.to_peer = false;
	p.from_peer = false;
	p.run_for(20000 * kMs, false);
	EXPECT_GE(p.renewals, 5);
	EXPECT_LE(p.renewals, 14);
}

} // namespace
