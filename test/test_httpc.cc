#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <apr_general.h>

extern "C" {
#include "httpc.h"
#include "httpd.h"
#include "log.h"
}

namespace
{

constexpr uint64_t kMs = 1000;

sockaddr_in loopback(uint16_t port)
{
	sockaddr_in at = {};

	at.sin_family = AF_INET;
	at.sin_port = htons(port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return at;
}

/* Returns a socket that is bound to a free port of the loopback interface. */
int bind_any(uint16_t *port)
{
	sockaddr_in at = loopback(0);
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	EXPECT_EQ(bind(fd, (sockaddr *)&at, sizeof(at)), 0);
	EXPECT_EQ(getsockname(fd, (sockaddr *)&at, &len), 0);
	*port = ntohs(at.sin_port);
	return fd;
}

/* A port whose backlog is full, so that the kernel leaves further connection
 * attempts unanswered. */
struct FullBacklogPort {
	uint16_t port;
	std::vector<int> fds;

	FullBacklogPort()
	{
		int listener = bind_any(&port);
		sockaddr_in at = loopback(port);

		listen(listener, 0);
		fds.push_back(listener);
		for (int i = 0; i < 4; i++) {
			int fd =
				socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

			connect(fd, (sockaddr *)&at, sizeof(at));
			fds.push_back(fd);
		}
	}

	~FullBacklogPort()
	{
		for (int fd : fds)
			close(fd);
	}
};

/* An HTTP client that records the results of its calls. */
struct RecordingClient {
	std::mutex lock;
	std::condition_variable changed;
	std::vector<ph_http_result> ended;
	ph_httpc *client;

	RecordingClient()
	{
		ph_httpc_options o = {};

		apr_initialize();
		ph_log_quiet(1);
		o.mem = ph_mem_default();
		o.done = on_done;
		o.ctx = this;
		client = ph_httpc_new(&o);
	}

	~RecordingClient()
	{
		ph_httpc_free(client);
	}

	static void on_done(void *ctx, void *, const ph_http_result *result)
	{
		RecordingClient *c = static_cast<RecordingClient *>(ctx);
		std::lock_guard<std::mutex> held(c->lock);

		c->ended.push_back(*result);
		c->changed.notify_one();
	}

	/* Sends calls concurrently and waits until all have ended. Their bodies
	 * are not kept. */
	std::vector<ph_http_result> send(uint16_t port, int count,
					 uint64_t timeout_us)
	{
		std::string url =
			"http://127.0.0.1:" + std::to_string(port) + "/";
		ph_http_call call = {};
		std::unique_lock<std::mutex> held(lock);

		ended.clear();
		call.method = "POST";
		call.url = url.c_str();
		call.body = "{}";
		call.body_len = 2;
		call.timeout_us = timeout_us;
		for (int i = 0; i < count; i++)
			ph_httpc_send(client, &call);
		changed.wait(held,
			     [&] { return ended.size() == (size_t)count; });
		return ended;
	}
};

/* An HTTP server whose open connections can be made to say nothing any more,
 * while new ones work. */
struct SeverableServer {
	uint16_t port;
	int listener = bind_any(&port);
	/** Listens before the first call, whenever the thread runs. */
	int listening = listen(listener, 64);
	std::atomic<int> accepted{ 0 };
	/** Connections up to this one get no answers. */
	std::atomic<int> severed{ 0 };
	std::atomic<bool> stop{ false };
	std::thread thread{ [this] { run(); } };

	~SeverableServer()
	{
		stop = true;
		thread.join();
		close(listener);
	}

	void run()
	{
		static const char answer[] =
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
		std::vector<int> fds;
		char data[4096];

		while (!stop) {
			std::vector<pollfd> polled{ { listener, POLLIN, 0 } };

			for (int fd : fds)
				polled.push_back({ fd, POLLIN, 0 });
			poll(polled.data(), polled.size(), 5);
			if (polled[0].revents) {
				fds.push_back(
					accept(listener, nullptr, nullptr));
				accepted++;
			}
			for (size_t i = 1; i < polled.size(); i++) {
				/* A request arrives as a whole here. */
				ssize_t n = recv(fds[i - 1], data, sizeof(data),
						 MSG_DONTWAIT);

				if (n > 0 && (int)i > severed &&
				    memmem(data, (size_t)n, "{}", 2))
					send(fds[i - 1], answer,
					     sizeof(answer) - 1, MSG_NOSIGNAL);
			}
		}
		for (int fd : fds)
			close(fd);
	}
};

/* Guards against calls that wait in vain one after the other, each on the next
 * of the connections that were kept when all of them went silent. */
TEST(Httpc, OneCallIsLostOnKeptConnectionsThatHaveGoneSilent)
{
	RecordingClient c;
	SeverableServer server;
	int connections;

	for (const ph_http_result &r : c.send(server.port, 8, 5000 * kMs))
		ASSERT_EQ(r.err, 0);
	connections = server.accepted;
	ASSERT_GE(connections, 2);
	/* Ages of connections are known in whole seconds. */
	sleep(3);
	server.severed = connections;
	EXPECT_EQ(c.send(server.port, 1, 200 * kMs)[0].err, PH_ERR_IO);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(c.send(server.port, 1, 5000 * kMs)[0].err, 0) << i;
	/* The new connection is kept. */
	EXPECT_EQ(server.accepted, connections + 1);
}

void reply_ok(void *, ph_http_req *req)
{
	ph_http_reply reply = {};

	reply.status = 200;
	reply.body = "{}";
	reply.body_len = 2;
	ph_http_req_reply(req, &reply);
}

/* libcurl does not report that it closes a socket which never connected. The
 * next connections get the same descriptors; if the client still takes these
 * for registered with epoll, it misses their events and the calls time out. */
TEST(Httpc, CallsAfterConnectTimeoutsAreAnswered)
{
	constexpr int kCalls = 12;
	/* Less than 1 s, after which libcurl checks a connection by itself also
	 * if no event of it was reported. */
	constexpr uint64_t kTimeoutUs = 900 * kMs;
	RecordingClient client;
	FullBacklogPort unanswered;
	ph_httpd_options o = {};
	uint16_t port;

	close(bind_any(&port));
	o.mem = ph_mem_default();
	o.address = "127.0.0.1";
	o.port = port;
	o.max_body_bytes = 1000;
	o.handler = reply_ok;
	ph_httpd *server = ph_httpd_new(&o);

	ASSERT_NE(server, nullptr);
	for (int round = 0; round < 3; round++) {
		for (const ph_http_result &r :
		     client.send(unanswered.port, kCalls, 100 * kMs)) {
			EXPECT_EQ(r.err, PH_ERR_UNREACHABLE);
			EXPECT_FALSE(r.refused);
		}
		for (const ph_http_result &r :
		     client.send(port, kCalls, kTimeoutUs)) {
			EXPECT_EQ(r.err, 0);
			EXPECT_EQ(r.status, 200);
		}
	}
	ph_httpd_free(server);
}

/* A connection that is not established in time looks like a port that nobody
 * listens at, and a server that was cut off like one that has crashed. */
TEST(Httpc, ARefusedConnectionIsToldFromOneThatTimesOut)
{
	RecordingClient client;
	FullBacklogPort unanswered;
	uint16_t closed;

	close(bind_any(&closed));
	for (const ph_http_result &r : client.send(closed, 2, 500 * kMs)) {
		EXPECT_EQ(r.err, PH_ERR_UNREACHABLE);
		EXPECT_TRUE(r.refused);
	}
	for (const ph_http_result &r :
	     client.send(unanswered.port, 2, 100 * kMs)) {
		EXPECT_EQ(r.err, PH_ERR_UNREACHABLE);
		EXPECT_FALSE(r.refused);
	}
}

} // namespace
