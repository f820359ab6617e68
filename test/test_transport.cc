/* Connections between instances, on loopback. */

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <atomic>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "clock.h"
#include "log.h"
#include "transport.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
/* Far longer than anything here takes. */
constexpr uint64_t kPatienceUs = 20000 * kMs;

bool await(const std::function<bool()> &condition)
{
	uint64_t until_us = ph_clock_us() + kPatienceUs;

	while (!condition()) {
		if (ph_clock_us() > until_us)
			return false;
		usleep(2000);
	}
	return true;
}

size_t open_files()
{
	size_t n = 0;
	DIR *dir = opendir("/proc/self/fd");

	while (readdir(dir))
		n++;
	closedir(dir);
	return n;
}

/* A port at which nobody listens. */
uint16_t free_port()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in at = {};
	socklen_t len = sizeof(at);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&at, sizeof(at));
	getsockname(fd, (struct sockaddr *)&at, &len);
	close(fd);
	return ntohs(at.sin_port);
}

struct Peer {
	ph_transport *tp = nullptr;
	std::atomic<int> frames{ 0 };
	std::atomic<int> refused{ 0 };
	std::string addr;

	explicit Peer(uint64_t idle_us = 0)
	{
		static const ph_transport_events events = { on_frame,
							    on_refused,
							    on_broken };
		ph_transport_options o = {};

		apr_initialize();
		ph_log_quiet(1);
		o.mem = ph_mem_default();
		o.address = "127.0.0.1";
		o.port = free_port();
		o.idle_us = idle_us;
		o.events = &events;
		o.ctx = this;
		tp = ph_transport_new(&o);
		addr = "127.0.0.1:" + std::to_string(o.port);
	}

	~Peer()
	{
		ph_transport_free(tp);
	}

	static int on_frame(void *ctx, const char *, size_t)
	{
		static_cast<Peer *>(ctx)->frames++;
		return 0;
	}

	static void on_refused(void *ctx, const char *)
	{
		static_cast<Peer *>(ctx)->refused++;
	}

	static void on_broken(void *, const char *)
	{
	}

	void send(const std::string &to) const
	{
		static const char frame[] = "\0\0\0\1x";

		ph_transport_send(tp, to.c_str(), frame, 5);
	}

	uint64_t dials() const
	{
		struct ph_transport_counters c;

		ph_transport_counters(tp, &c);
		return c.dials;
	}
};

/* Accepts connections and reads nothing from them. */
struct SilentServer {
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	std::vector<int> accepted;
	std::string addr;

	SilentServer()
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener, (struct sockaddr *)&at, sizeof(at));
		listen(listener, 128);
		getsockname(listener, (struct sockaddr *)&at, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
	}

	~SilentServer()
	{
		for (int fd : accepted)
			close(fd);
		close(listener);
	}

	bool accept_next()
	{
		struct pollfd p = { listener, POLLIN, 0 };

		if (poll(&p, 1, (int)(kPatienceUs / kMs)) != 1)
			return false;
		accepted.push_back(accept(listener, nullptr, nullptr));
		return true;
	}

	/* Whether a connection is closed by the other side. */
	static bool closed(int fd)
	{
		char data[64];

		for (;;) {
			ssize_t n = recv(fd, data, sizeof(data), MSG_DONTWAIT);

			if (n <= 0)
				return n == 0;
		}
	}
};

/* Guards against a renewal that loses what is sent around it, or leaves the
 * connection before it open. */
TEST(Transport, ARenewedConnectionTakesThePlaceOfTheOneBefore)
{
	Peer from;
	SilentServer to;

	from.send(to.addr);
	ASSERT_TRUE(to.accept_next());
	ph_transport_renew(from.tp, to.addr.c_str());
	from.send(to.addr);
	ASSERT_TRUE(to.accept_next());
	EXPECT_TRUE(
		await([&] { return SilentServer::closed(to.accepted[0]); }));
	from.send(to.addr);
	/* What was sent since the renewal is there, in order. */
	EXPECT_TRUE(await([&] {
		char data[64];

		return recv(to.accepted[1], data, sizeof(data),
			    MSG_DONTWAIT | MSG_PEEK) == 10;
	}));
	EXPECT_EQ(from.dials(), 2U);
}

/* Guards against a renewal that cuts off an attempt to connect, or dials a peer
 * that is known to be gone. */
TEST(Transport, OnlyAnEstablishedConnectionIsRenewed)
{
	Peer from;
	std::string nobody = "127.0.0.1:" + std::to_string(free_port());

	ph_transport_renew(from.tp, nobody.c_str());
	from.send(nobody);
	EXPECT_TRUE(await([&] { return from.refused == 1; }));
	EXPECT_EQ(from.dials(), 1U);
	for (int i = 0; i < 10; i++)
		ph_transport_renew(from.tp, nobody.c_str());
	usleep(50000);
	EXPECT_EQ(from.dials(), 1U);
}

/* Guards against descriptors that are left over from connections that have gone
 * silent: a hundred times, on both sides. */
TEST(Transport, AHundredSilentConnectionsLeaveNoDescriptors)
{
	Peer from;
	SilentServer to;
	size_t before;

	from.send(to.addr);
	ASSERT_TRUE(to.accept_next());
	before = open_files();
	for (int i = 0; i < 100; i++) {
		/* Between two dials 50 ms have to pass. */
		ASSERT_TRUE(await([&] {
			struct pollfd p = { to.listener, POLLIN, 0 };

			ph_transport_renew(from.tp, to.addr.c_str());
			return poll(&p, 1, 5) == 1;
		}));
		ASSERT_TRUE(to.accept_next());
		ASSERT_TRUE(await(
			[&] { return SilentServer::closed(to.accepted[0]); }));
		close(to.accepted[0]);
		to.accepted.erase(to.accepted.begin());
		EXPECT_LE(open_files(), before + 2);
	}
}

/* Guards against accepted connections that are kept until the process ends, as
 * their peers have gone silent: each costs a descriptor and a buffer. */
TEST(Transport, AnAcceptedConnectionFromWhichNothingComesIsClosed)
{
	Peer to(300 * kMs);
	Peer from;
	size_t before = open_files();
	struct sockaddr_in at = {};
	int silent[8];

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	at.sin_port = htons(
		(uint16_t)std::stoi(to.addr.substr(to.addr.find(':') + 1)));
	for (int &fd : silent) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
		/* The first half of a frame. */
		ASSERT_EQ(send(fd, "\0\0\0\2x", 5, 0), 5);
	}
	/* One from which frames come goes on. */
	EXPECT_TRUE(await([&] {
		bool closed = true;

		from.send(to.addr);
		for (int fd : silent)
			closed = closed && SilentServer::closed(fd);
		return closed;
	}));
	EXPECT_EQ(from.dials(), 1U);
	EXPECT_GT(to.frames, 0);
	for (int fd : silent)
		close(fd);
	EXPECT_LE(open_files(), before + 2);
}

} // namespace
