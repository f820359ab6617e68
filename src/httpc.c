#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>

#include "clock.h"
#include "httpc.h"
#include "ident.h"
#include "log.h"

#define PART "httpc"
/* Longest wait for events while no timer is due earlier. */
#define POLL_TIMEOUT_MS 1000U
/* Most events handled in one turn of the event loop. */
#define EVENTS_MAX 512
/* Descriptors must be below this number; the limit of open files of a process
 * is lower on the machines in use. */
#define SOCKETS_MAX 65536U
#define US_PER_MS 1000U
/* Most easy handles kept for reuse. */
#define IDLE_HANDLES_MAX 256U
#define CONNECT_TIMEOUT_MS 1000L
/* Connections that libcurl keeps open for reuse, sized for several to each of a
 * few hundred servers. */
#define CONNECTION_CACHE_SIZE 1024U
#define SILENT_BUCKETS 256U
#define US_PER_S 1000000U
/* Time for which libcurl keeps an idle connection. Later there are none left
 * that were open when another one went silent. */
#define KEEP_IDLE_S 118U
/* Keep-alive probes of idle connections, in seconds: one that goes silent is
 * closed, and no call waits for it. */
#define PROBE_IDLE_S 2L
#define PROBE_INTERVAL_S 1L
/* A connection fails after this time without an acknowledgement of a probe or
 * of data that was sent. */
#define USER_TIMEOUT_MS 2000U

/* A call from ph_httpc_send to its end: first in the inbox, then active. */
struct transfer {
	struct transfer *next;
	/** Used while the transfer is active. */
	struct transfer *previous;
	struct ph_httpc *client;
	CURL *easy;
	struct curl_slist *headers;
	void *user;
	char *body;
	size_t body_len;
	size_t body_sent;
	char *url;
	char *method;
	/** By ph_clock_us. */
	uint64_t deadline_us;
	/** The deadline had passed at the last check. */
	bool overdue;
	/** Body of the response, and what is reported of its headers. */
	struct ph_buf response;
	uint64_t index;
	bool closing;
};

/* A server to which a kept connection has gone silent. */
struct silent_host {
	struct silent_host *next;
	uint64_t hash;
	/** When that was last noticed. */
	uint64_t noticed_us;
};

struct ph_httpc {
	const struct ph_mem *mem;
	struct ph_httpc_options opt;
	char *source;
	apr_pool_t *pool;
	/** Guards the inbox. */
	apr_thread_mutex_t *lock;
	apr_thread_t *thread;
	CURLM *multi;
	/** Transfers that the client's thread has not taken yet. */
	struct transfer *inbox_head;
	struct transfer *inbox_tail;
	/** Easy handles kept for reuse. */
	CURL *idle[IDLE_HANDLES_MAX];
	size_t idle_count;
	struct transfer *active;
	/** By the hash of "host:port"; each list has the latest first. */
	struct silent_host *silent_hosts[SILENT_BUCKETS];
	/** Lower bound of the deadlines of all active transfers. */
	uint64_t next_deadline_us;
	/** When libcurl's own timer expires; UINT64_MAX if it is not set. */
	uint64_t timer_us;
	int epoll_fd;
	/** An eventfd that wakes the client's thread. */
	int wake_fd;
	/** wake_fd has been written and not been read yet; atomic. */
	bool wake_pending;
	/** Events by descriptor: those registered with epoll, and those that
	 * libcurl asked for. */
	struct interest {
		uint32_t polled;
		uint32_t wanted;
	} * interests;
	/** Set by ph_httpc_free; atomic. */
	bool stop;
};

/* ## Sockets */

/* Converts libcurl's CURL_POLL_ value to epoll events. */
static uint32_t events_of(int what)
{
	switch (what) {
	case CURL_POLL_IN:
		return EPOLLIN;
	case CURL_POLL_OUT:
		return EPOLLOUT;
	case CURL_POLL_INOUT:
		return EPOLLIN | EPOLLOUT;
	default:
		return 0;
	}
}

static void poll_socket(struct ph_httpc *client, int fd, uint32_t events)
{
	struct interest *in = &client->interests[fd];
	struct epoll_event event = { .events = events, .data.fd = fd };
	int op = in->polled ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (in->polled == events)
		return;
	if (!events)
		op = EPOLL_CTL_DEL;
	/* Removal may fail, since the descriptor may be closed by now. */
	if (epoll_ctl(client->epoll_fd, op, fd, &event) && events)
		ph_log(PART,
		       "Can't poll socket %d for events 0x%x: %s; its call may "
		       "time out.",
		       fd, events, strerror(errno));
	in->polled = events;
}

/* CURLMOPT_SOCKETFUNCTION. A connection that becomes idle stays registered with
 * epoll, since most are soon used again. Should its server close it meanwhile,
 * the event that follows removes it (socket_ready). */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		     void *socket_user)
{
	struct ph_httpc *client = user;

	(void)easy;
	(void)socket_user;
	if (fd < 0 || (uint32_t)fd >= SOCKETS_MAX)
		return -1;
	client->interests[fd].wanted = events_of(what);
	if (client->interests[fd].wanted)
		poll_socket(client, fd, client->interests[fd].wanted);
	return 0;
}

/* CURLOPT_SOCKOPTFUNCTION, called for each new socket. libcurl does not report
 * every socket that it closes, and epoll drops closed descriptors silently. The
 * number is then reused by a new socket, which is not registered yet, so that
 * what is known of its predecessor must be cleared. */
static int on_socket_created(void *user, curl_socket_t fd, curlsocktype purpose)
{
	struct ph_httpc *client = user;
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	(void)purpose;
	if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		       sizeof(timeout_ms)))
		ph_log(PART, "Can't set TCP_USER_TIMEOUT: %s.",
		       strerror(errno));
	if (fd >= 0 && (uint32_t)fd < SOCKETS_MAX)
		memset(&client->interests[fd], 0, sizeof(*client->interests));
	return CURL_SOCKOPT_OK;
}

/* CURLMOPT_TIMERFUNCTION. */
static int on_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct ph_httpc *client = user;

	(void)multi;
	client->timer_us =
		timeout_ms < 0
			? UINT64_MAX
			: ph_clock_us() + (uint64_t)timeout_ms * US_PER_MS;
	return 0;
}

static void wake(struct ph_httpc *client)
{
	uint64_t one = 1;

	if (__atomic_exchange_n(&client->wake_pending, true, __ATOMIC_ACQ_REL))
		return;
	if (write(client->wake_fd, &one, sizeof(one)) != sizeof(one))
		ph_log(PART,
		       "Can't wake the HTTP client's thread; calls start up "
		       "to %u ms late.",
		       POLL_TIMEOUT_MS);
}

static void clear_wake(struct ph_httpc *client)
{
	uint64_t count;

	if (read(client->wake_fd, &count, sizeof(count)) != sizeof(count))
		ph_log(PART, "Can't read the wake-up descriptor; going on as "
			     "if it had been read.");
	__atomic_store_n(&client->wake_pending, false, __ATOMIC_RELEASE);
}

static void socket_ready(struct ph_httpc *client, const struct epoll_event *e)
{
	int mask = 0;
	int running;

	if (!client->interests[e->data.fd].wanted) {
		poll_socket(client, e->data.fd, 0);
		return;
	}
	if (e->events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (e->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (e->events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(client->multi, e->data.fd, mask, &running);
}

/* ## Transfers */

static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	struct transfer *t = user;

	ph_buf_put(&t->response, data, size * count);
	return size * count;
}

/* Tells whether a header line starts with prefix, ignoring case. */
static bool header_starts(const char *line, size_t len, const char *prefix)
{
	size_t n = strlen(prefix);

	return len > n && !strncasecmp(line, prefix, n);
}

static size_t on_header(char *data, size_t size, size_t count, void *user)
{
	static const char index[] = "x-consul-index:";
	static const char connection[] = "connection: close";
	struct transfer *t = user;
	size_t len = size * count;

	if (header_starts(data, len, index))
		t->index = strtoull(data + sizeof(index) - 1, NULL, 10);
	if (header_starts(data, len, connection))
		t->closing = true;
	return len;
}

/* CURLOPT_READFUNCTION: gives libcurl the next part of the request's body. */
static size_t on_read(char *data, size_t size, size_t count, void *user)
{
	struct transfer *t = user;
	size_t n = t->body_len - t->body_sent;

	if (n > size * count)
		n = size * count;
	memcpy(data, t->body + t->body_sent, n);
	t->body_sent += n;
	return n;
}

/* CURLOPT_SEEKFUNCTION. libcurl rewinds the body to repeat a request on another
 * connection. This fails once any of the body was sent, since the server may
 * have processed the request, which must then not be repeated. */
static int on_seek(void *user, curl_off_t offset, int origin)
{
	struct transfer *t = user;

	(void)offset;
	(void)origin;
	return t->body_sent ? CURL_SEEKFUNC_FAIL : CURL_SEEKFUNC_OK;
}

/* Takes an easy handle kept for reuse, or creates one. */
static CURL *easy_get(struct ph_httpc *client)
{
	if (client->idle_count)
		return client->idle[--client->idle_count];
	return curl_easy_init();
}

static void easy_put(struct ph_httpc *client, CURL *easy)
{
	if (client->idle_count == IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	client->idle[client->idle_count++] = easy;
}

static void set_body(struct transfer *t)
{
	CURL *e = t->easy;

	if (!t->body)
		return;
	curl_easy_setopt(e, CURLOPT_POST, 1L);
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)t->body_len);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, t);
	curl_easy_setopt(e, CURLOPT_SEEKFUNCTION, on_seek);
	curl_easy_setopt(e, CURLOPT_SEEKDATA, t);
}

/* ## Connections that have gone silent */

static uint64_t host_hash(const char *url)
{
	const char *host = strstr(url, "://");

	host = host ? host + 3 : url;
	return ph_hash(host, strcspn(host, "/"));
}

/* Frees the entries of a list from the first that is outdated on. */
static void forget_silent(struct ph_httpc *client, struct silent_host **list,
			  uint64_t now_us)
{
	while (*list &&
	       now_us < (*list)->noticed_us + (uint64_t)KEEP_IDLE_S * US_PER_S)
		list = &(*list)->next;
	while (*list) {
		struct silent_host *h = *list;

		*list = h->next;
		client->mem->free(h);
	}
}

/* A call on a kept connection got no answer: other connections to the server
 * that were open by then may be as dead. */
static void note_silent(struct ph_httpc *client, const struct transfer *t,
			uint64_t now_us)
{
	uint64_t hash = host_hash(t->url);
	struct silent_host **list =
		&client->silent_hosts[hash % SILENT_BUCKETS];
	struct silent_host **at = list;
	struct silent_host *h;

	forget_silent(client, list, now_us);
	while (*at && (*at)->hash != hash)
		at = &(*at)->next;
	h = *at;
	if (h)
		*at = h->next;
	else
		h = client->mem->calloc(1, sizeof(*h));
	h->hash = hash;
	h->noticed_us = now_us;
	h->next = *list;
	*list = h;
}

/* Longest age of a connection, in seconds, that a call may use, so that none is
 * used that was open when another one went silent; 0: any. */
static long usable_age_s(const struct ph_httpc *client, const char *url,
			 uint64_t now_us)
{
	uint64_t hash = host_hash(url);
	const struct silent_host *h =
		client->silent_hosts[hash % SILENT_BUCKETS];
	uint64_t age_s;

	while (h && h->hash != hash)
		h = h->next;
	if (!h || now_us >= h->noticed_us + (uint64_t)KEEP_IDLE_S * US_PER_S)
		return 0;
	age_s = (now_us - h->noticed_us) / US_PER_S;
	return age_s ? (long)age_s : 1;
}

/* Whether a call that has timed out was sent on a kept connection and got not
 * even the start of an answer. */
static bool is_silent(const struct transfer *t, CURLcode code)
{
	long connects = 0;
	long status = 0;

	if (code != CURLE_OPERATION_TIMEDOUT)
		return false;
	curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	return !connects && !status && (t->body_sent || !t->body);
}

/* Starts a transfer: sets the options of its handle and makes it active. */
static void begin(struct ph_httpc *client, struct transfer *t)
{
	CURL *e = easy_get(client);

	t->easy = e;
	curl_easy_setopt(e, CURLOPT_URL, t->url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, client);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)KEEP_IDLE_S);
	curl_easy_setopt(e, CURLOPT_MAXLIFETIME_CONN,
			 usable_age_s(client, t->url, ph_clock_us()));
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, PROBE_IDLE_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, PROBE_INTERVAL_S);
	if (client->source)
		curl_easy_setopt(e, CURLOPT_INTERFACE, client->source);
	set_body(t);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, t->method);
	t->previous = NULL;
	t->next = client->active;
	if (t->next)
		t->next->previous = t;
	client->active = t;
	if (t->deadline_us < client->next_deadline_us)
		client->next_deadline_us = t->deadline_us;
	curl_multi_add_handle(client->multi, e);
}

static void transfer_free(struct ph_httpc *client, struct transfer *t)
{
	curl_slist_free_all(t->headers);
	ph_buf_free(&t->response);
	client->mem->free(t->body);
	client->mem->free(t->url);
	client->mem->free(t->method);
	client->mem->free(t);
}

static void begin_inbox(struct ph_httpc *client)
{
	struct transfer *t;

	apr_thread_mutex_lock(client->lock);
	t = client->inbox_head;
	client->inbox_head = NULL;
	client->inbox_tail = NULL;
	apr_thread_mutex_unlock(client->lock);
	while (t) {
		struct transfer *next = t->next;

		begin(client, t);
		t = next;
	}
}

/* Maps libcurl's result to the error of struct ph_http_result. */
static int error_of(const struct transfer *t, CURLcode code)
{
	/* When a reused connection breaks, libcurl tries again on a new one and
	 * reports the error of that one only, which does not tell whether the
	 * server got the request on the first. */
	if (code != CURLE_OK && t->body_sent)
		return PH_ERR_IO;
	switch (code) {
	case CURLE_OK:
		return 0;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_URL_MALFORMAT:
	case CURLE_INTERFACE_FAILED:
		return PH_ERR_UNREACHABLE;
	default:
		break;
	}
	/* Without any of its body, the request can't have started anything. */
	if (t->body && !t->body_sent)
		return PH_ERR_UNREACHABLE;
	return PH_ERR_IO;
}

static bool connection_refused(CURL *easy, CURLcode code)
{
	long os_errno = 0;

	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_errno);
	return code == CURLE_COULDNT_CONNECT && os_errno == ECONNREFUSED;
}

static void unlink_active(struct ph_httpc *client, struct transfer *t)
{
	if (t->previous)
		t->previous->next = t->next;
	else
		client->active = t->next;
	if (t->next)
		t->next->previous = t->previous;
}

/* Reports the outcome of a transfer and frees it. */
static void complete(struct ph_httpc *client, CURL *easy, CURLcode code)
{
	struct ph_http_result result = { 0 };
	struct transfer *t = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&t);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (is_silent(t, code))
		note_silent(client, t, ph_clock_us());
	result.err = error_of(t, code);
	if (result.err == PH_ERR_UNREACHABLE)
		result.refused = connection_refused(easy, code);
	result.status = (int)status;
	result.index = t->index;
	result.closing = t->closing;
	result.body = t->response.data ? t->response.data : "";
	result.body_len = t->response.len;
	curl_multi_remove_handle(client->multi, easy);
	easy_put(client, easy);
	unlink_active(client, t);
	client->opt.done(client->opt.ctx, t->user, &result);
	transfer_free(client, t);
}

/* Times out transfers whose deadlines had already passed at the last check.
 * After a pause of the process, deadlines have passed while responses wait in
 * the sockets; the turn in between reads them first. */
static void end_overdue(struct ph_httpc *client, uint64_t now_us)
{
	struct transfer *t = client->active;
	uint64_t next_us = UINT64_MAX;

	if (now_us < client->next_deadline_us)
		return;
	while (t) {
		struct transfer *next = t->next;

		if (t->overdue) {
			complete(client, t->easy, CURLE_OPERATION_TIMEDOUT);
		} else if (now_us >= t->deadline_us) {
			t->overdue = true;
			next_us = now_us;
		} else if (t->deadline_us < next_us) {
			next_us = t->deadline_us;
		}
		t = next;
	}
	client->next_deadline_us = next_us;
}

static void end_finished(struct ph_httpc *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left)))
		if (msg->msg == CURLMSG_DONE)
			complete(client, msg->easy_handle, msg->data.result);
}

/* Milliseconds until the next timer or deadline, at most POLL_TIMEOUT_MS. */
static int wait_ms(const struct ph_httpc *client, uint64_t now_us)
{
	uint64_t due_us = client->timer_us < client->next_deadline_us
				  ? client->timer_us
				  : client->next_deadline_us;
	uint64_t ms = POLL_TIMEOUT_MS;

	if (due_us <= now_us)
		return 0;
	if (due_us < now_us + POLL_TIMEOUT_MS * US_PER_MS)
		ms = (due_us - now_us + US_PER_MS - 1) / US_PER_MS;
	return (int)ms;
}

/* One turn of the event loop. */
static void poll_once(struct ph_httpc *client)
{
	struct epoll_event events[EVENTS_MAX];
	int running;
	int n = epoll_wait(client->epoll_fd, events, EVENTS_MAX,
			   wait_ms(client, ph_clock_us()));
	int i;

	for (i = 0; i < n; i++) {
		if (events[i].data.fd == client->wake_fd)
			clear_wake(client);
		else
			socket_ready(client, &events[i]);
	}
	begin_inbox(client);
	if (ph_clock_us() >= client->timer_us) {
		client->timer_us = UINT64_MAX;
		curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	end_finished(client);
	end_overdue(client, ph_clock_us());
}

static void *APR_THREAD_FUNC event_loop(apr_thread_t *thread, void *data)
{
	struct ph_httpc *client = data;

	(void)thread;
	while (!__atomic_load_n(&client->stop, __ATOMIC_ACQUIRE))
		poll_once(client);
	return NULL;
}

/* Sets up epoll and connects libcurl's multi interface to it. */
static void open_poll(struct ph_httpc *client)
{
	struct epoll_event event = { .events = EPOLLIN };

	client->interests =
		client->mem->calloc(SOCKETS_MAX, sizeof(*client->interests));
	client->next_deadline_us = UINT64_MAX;
	client->timer_us = UINT64_MAX;
	client->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	client->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	event.data.fd = client->wake_fd;
	if (epoll_ctl(client->epoll_fd, EPOLL_CTL_ADD, client->wake_fd, &event))
		ph_log(PART,
		       "Can't poll the wake-up descriptor; calls start up to "
		       "%u ms late.",
		       POLL_TIMEOUT_MS);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
}

struct ph_httpc *ph_httpc_new(const struct ph_httpc_options *options)
{
	struct ph_httpc *client = options->mem->calloc(1, sizeof(*client));

	client->mem = options->mem;
	client->opt = *options;
	if (options->source)
		client->source = ph_memdup(client->mem, options->source,
					   strlen(options->source));
	apr_pool_create(&client->pool, NULL);
	apr_thread_mutex_create(&client->lock, APR_THREAD_MUTEX_DEFAULT,
				client->pool);
	client->multi = curl_multi_init();
	open_poll(client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTION_CACHE_SIZE);
	if (options->connections_per_host)
		curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
				  (long)options->connections_per_host);
	apr_thread_create(&client->thread, NULL, event_loop, client,
			  client->pool);
	return client;
}

void ph_httpc_send(struct ph_httpc *client, const struct ph_http_call *call)
{
	struct transfer *t = client->mem->calloc(1, sizeof(*t));
	size_t i;

	t->client = client;
	t->user = call->user;
	t->deadline_us = ph_clock_us() + call->timeout_us;
	t->url = ph_memdup(client->mem, call->url, strlen(call->url));
	t->method = ph_memdup(client->mem, call->method, strlen(call->method));
	t->body = ph_memdup(client->mem, call->body, call->body_len);
	t->body_len = call->body_len;
	ph_buf_init(&t->response, client->mem);
	t->headers = curl_slist_append(NULL, "Expect:");
	for (i = 0; i < PH_HTTP_MAX_HEADERS; i++)
		if (call->headers[i])
			t->headers =
				curl_slist_append(t->headers, call->headers[i]);
	apr_thread_mutex_lock(client->lock);
	if (client->inbox_tail)
		client->inbox_tail->next = t;
	else
		client->inbox_head = t;
	client->inbox_tail = t;
	apr_thread_mutex_unlock(client->lock);
	wake(client);
}

void ph_httpc_free(struct ph_httpc *client)
{
	apr_status_t status;
	struct transfer *t;
	size_t i;

	if (!client)
		return;
	__atomic_store_n(&client->stop, true, __ATOMIC_RELEASE);
	wake(client);
	apr_thread_join(&status, client->thread);
	while ((t = client->active)) {
		client->active = t->next;
		curl_multi_remove_handle(client->multi, t->easy);
		curl_easy_cleanup(t->easy);
		transfer_free(client, t);
	}
	while ((t = client->inbox_head)) {
		client->inbox_head = t->next;
		transfer_free(client, t);
	}
	while (client->idle_count)
		curl_easy_cleanup(client->idle[--client->idle_count]);
	curl_multi_cleanup(client->multi);
	for (i = 0; i < SILENT_BUCKETS; i++)
		forget_silent(client, &client->silent_hosts[i], UINT64_MAX);
	close(client->epoll_fd);
	close(client->wake_fd);
	client->mem->free(client->interests);
	apr_pool_destroy(client->pool);
	client->mem->free(client->source);
	client->mem->free(client);
}
