#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <apr_hash.h>
#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "clock.h"
#include "log.h"
#include "transport.h"

#define PART "peer"
/* Longest time between two checks for connection attempts to time out. */
#define POLL_TIMEOUT_US 100000
#define POLLSET_SIZE 256
#define READ_CHUNK_BYTES 65536
/* Most output queued for one peer; beyond it the connection is closed. */
#define SEND_BUFFER_MAX_BYTES (64U << 20)
#define CONNECT_TIMEOUT_US 1000000
/* Shortest time between two attempts to connect to a peer; frames sent to it
 * in between, while it is not connected, are dropped. */
#define REDIAL_INTERVAL_US 50000
/* A connection fails after this time without an acknowledgement of data that
 * was sent. Longer than a few retransmissions, as a link may lose packets. */
#define USER_TIMEOUT_MS 2000U
#define IDLE_CHECK_INTERVAL_US 1000000U

enum conn_state {
	CONN_IDLE,
	CONN_CONNECTING,
	CONN_UP,
};

/* Handles the events of a polled socket. It is the first member of the struct
 * that owns the socket, so that the client_data of the poll set points to
 * either. */
struct poll_handler {
	void (*event)(struct ph_transport *tp, void *owner,
		      const apr_pollfd_t *fd);
};

/* An outgoing connection. */
struct conn {
	struct poll_handler handler;
	struct link *link;
	enum conn_state state;
	apr_pool_t *pool;
	apr_socket_t *sock;
	apr_pollfd_t fd;
	/* Bytes to send. */
	struct ph_buf out;
	uint64_t dialed_us;
	/* Polled for writability as well. */
	bool want_write;
	/* Registered with the poll set. */
	bool watched;
};

/* The outgoing connections to one address; kept while there are none. The spare
 * one is dialed to take the place of the current one, which stays in use until
 * then: it may be slow rather than dead. */
struct link {
	struct link *next;
	char addr[PH_ADDR_BYTES];
	struct conn conns[2];
	struct conn *current;
	struct conn *spare;
};

/* An accepted connection. */
struct inbound {
	struct poll_handler handler;
	struct inbound *next;
	apr_pool_t *pool;
	apr_socket_t *sock;
	apr_pollfd_t fd;
	/* Received bytes that are not handled yet. */
	struct ph_buf in;
	/* When bytes were last received, or when it was accepted. */
	uint64_t heard_us;
	/* To be freed at the end of the current turn of the event loop. */
	bool closed;
};

/* A frame queued by another thread; len 0 asks for a new connection. */
struct queued_frame {
	struct queued_frame *next;
	char addr[PH_ADDR_BYTES];
	size_t len;
	char data[];
};

struct ph_transport {
	const struct ph_mem *mem;
	struct ph_transport_options opt;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	/** Guards the queue of frames. */
	apr_thread_mutex_t *lock;
	apr_thread_t *thread;
	apr_socket_t *listener;
	apr_pollfd_t listen_fd;
	struct queued_frame *queue_head;
	struct queued_frame *queue_tail;
	struct poll_handler accept_handler;
	/** Outgoing connections by address. */
	apr_hash_t *links;
	struct link *first_link;
	struct inbound *inbounds;
	/** Number of connections in CONN_CONNECTING. */
	uint32_t dialing;
	/** When idle inbound connections were last looked for. */
	uint64_t idle_check_us;
	/** Some inbound connection is closed and not freed yet. */
	bool any_inbound_closed;
	/** Updated and read atomically. */
	struct ph_transport_counters counters;
	/** Set by ph_transport_free; atomic. */
	bool stop;
};

static void count(uint64_t *counter, uint64_t n)
{
	__atomic_add_fetch(counter, n, __ATOMIC_RELAXED);
}

/* ## Outgoing connections */

/* Polls the socket for closing and, if write is set, writability. */
static void conn_watch(struct ph_transport *tp, struct conn *c, bool write)
{
	if (c->watched)
		apr_pollset_remove(tp->pollset, &c->fd);
	c->watched = true;
	c->fd.p = c->pool;
	c->fd.desc_type = APR_POLL_SOCKET;
	c->fd.desc.s = c->sock;
	c->fd.client_data = c;
	c->fd.reqevents = (apr_int16_t)(APR_POLLIN | (write ? APR_POLLOUT : 0));
	apr_pollset_add(tp->pollset, &c->fd);
	c->want_write = write;
}

static void conn_set_state(struct ph_transport *tp, struct conn *c,
			   enum conn_state state)
{
	tp->dialing += state == CONN_CONNECTING;
	tp->dialing -= c->state == CONN_CONNECTING;
	c->state = state;
}

static void conn_close(struct ph_transport *tp, struct conn *c)
{
	if (c->watched)
		apr_pollset_remove(tp->pollset, &c->fd);
	c->watched = false;
	if (c->sock)
		apr_pool_destroy(c->pool);
	c->pool = NULL;
	c->sock = NULL;
	conn_set_state(tp, c, CONN_IDLE);
	ph_buf_free(&c->out);
}

/* Makes the spare connection the current one. */
static void link_swap(struct link *l)
{
	struct conn *spare = l->spare;

	l->spare = l->current;
	l->current = spare;
}

/* Closes a connection and reports why: a refused connection, or the loss of an
 * established one that no other replaces. Other failures to connect are not
 * reported. */
static void conn_failed(struct ph_transport *tp, struct conn *c, int error)
{
	struct link *l = c->link;
	enum conn_state was = c->state;

	conn_close(tp, c);
	if (c == l->current && l->spare->state != CONN_IDLE)
		link_swap(l);
	if (error == ECONNREFUSED)
		tp->opt.events->refused(tp->opt.ctx, l->addr);
	else if (was == CONN_UP && l->current->state == CONN_IDLE)
		tp->opt.events->broken(tp->opt.ctx, l->addr);
}

/* So that the connection ends, and its memory is freed, if the peer's host
 * acknowledges nothing any more. */
static void set_user_timeout(apr_socket_t *sock)
{
	unsigned int ms = USER_TIMEOUT_MS;
	apr_os_sock_t fd;

	apr_os_sock_get(&fd, sock);
	if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms)))
		ph_log(PART, "Can't set TCP_USER_TIMEOUT: errno %d.", errno);
}

static void conn_dial(struct ph_transport *tp, struct conn *c, uint64_t now_us)
{
	apr_sockaddr_t *to;
	apr_sockaddr_t *from;
	apr_status_t st;
	char *host;
	char *scope;
	apr_port_t port;

	c->dialed_us = now_us;
	count(&tp->counters.dials, 1);
	apr_pool_create(&c->pool, tp->pool);
	if (apr_parse_addr_port(&host, &scope, &port, c->link->addr, c->pool) ||
	    !host ||
	    apr_sockaddr_info_get(&to, host, APR_INET, port, 0, c->pool) ||
	    apr_sockaddr_info_get(&from, tp->opt.address, APR_INET, 0, 0,
				  c->pool) ||
	    apr_socket_create(&c->sock, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
			      c->pool)) {
		apr_pool_destroy(c->pool);
		c->pool = NULL;
		c->sock = NULL;
		ph_buf_free(&c->out);
		return;
	}
	apr_socket_opt_set(c->sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(c->sock, 0);
	apr_socket_opt_set(c->sock, APR_TCP_NODELAY, 1);
	set_user_timeout(c->sock);
	apr_socket_bind(c->sock, from);
	st = apr_socket_connect(c->sock, to);
	conn_set_state(tp, c, st ? CONN_CONNECTING : CONN_UP);
	conn_watch(tp, c, true);
	if (st && !APR_STATUS_IS_EINPROGRESS(st))
		conn_failed(tp, c, APR_TO_OS_ERROR(st));
}

static void conn_write(struct ph_transport *tp, struct conn *c)
{
	while (c->out.len) {
		apr_size_t n = c->out.len;
		apr_status_t st = apr_socket_send(c->sock, c->out.data, &n);

		count(&tp->counters.bytes_sent, n);
		ph_buf_consume(&c->out, n);
		if (APR_STATUS_IS_EAGAIN(st))
			break;
		if (st) {
			conn_failed(tp, c, 0);
			return;
		}
	}
	if (c->want_write != (c->out.len > 0))
		conn_watch(tp, c, c->out.len > 0);
}

/* Returns the errno of the attempt to connect, 0 if there is none. */
static int connect_error(const struct conn *c)
{
	apr_os_sock_t fd;
	int error = 0;
	socklen_t len = sizeof(error);

	apr_os_sock_get(&fd, c->sock);
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return error;
}

/* Tells whether the peer has closed the connection. An accepting instance
 * sends nothing, so that a readable socket means closed. */
static bool conn_closed_by_peer(const struct conn *c)
{
	char byte;
	apr_size_t n = 1;
	apr_status_t st = apr_socket_recv(c->sock, &byte, &n);

	return !APR_STATUS_IS_EAGAIN(st);
}

/* An attempt to connect has ended. Returns false if it has failed. */
static bool conn_established(struct ph_transport *tp, struct conn *c)
{
	int error = connect_error(c);

	if (error) {
		conn_failed(tp, c, error);
		return false;
	}
	conn_set_state(tp, c, CONN_UP);
	if (c == c->link->spare) {
		conn_close(tp, c->link->current);
		link_swap(c->link);
	}
	return true;
}

static void conn_event(struct ph_transport *tp, struct conn *c,
		       apr_int16_t events)
{
	if (c->state == CONN_CONNECTING) {
		if (!(events & (APR_POLLOUT | APR_POLLERR | APR_POLLHUP)) ||
		    !conn_established(tp, c))
			return;
	}
	if ((events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) &&
	    conn_closed_by_peer(c)) {
		conn_failed(tp, c, 0);
		return;
	}
	conn_write(tp, c);
}

static void on_conn_event(struct ph_transport *tp, void *owner,
			  const apr_pollfd_t *fd)
{
	struct conn *c = owner;

	/* An earlier event of this turn may have closed the socket. */
	if (c->sock && c->sock == fd->desc.s)
		conn_event(tp, c, fd->rtnevents);
}

/* Returns the link to an address, which it creates if need be. */
static struct link *link_get(struct ph_transport *tp, const char *addr)
{
	struct link *l = apr_hash_get(tp->links, addr, APR_HASH_KEY_STRING);
	size_t i;

	if (l)
		return l;
	l = tp->mem->calloc(1, sizeof(*l));
	ph_strcopy(l->addr, sizeof(l->addr), addr);
	for (i = 0; i < 2; i++) {
		l->conns[i].handler.event = on_conn_event;
		l->conns[i].link = l;
		ph_buf_init(&l->conns[i].out, tp->mem);
	}
	l->current = &l->conns[0];
	l->spare = &l->conns[1];
	l->next = tp->first_link;
	tp->first_link = l;
	apr_hash_set(tp->links, l->addr, APR_HASH_KEY_STRING, l);
	return l;
}

/* Queues a frame on a connection. Returns false if it was closed, as too much
 * is queued there. */
static bool conn_queue(struct ph_transport *tp, struct conn *c,
		       const struct queued_frame *f)
{
	if (c->out.len + f->len > SEND_BUFFER_MAX_BYTES) {
		ph_log(PART,
		       "Send buffer for %s is full (%zu bytes); dropping it "
		       "and closing the connection.",
		       c->link->addr, c->out.len);
		conn_failed(tp, c, 0);
		return false;
	}
	ph_buf_put(&c->out, f->data, f->len);
	return true;
}

static void send_frame(struct ph_transport *tp, const struct queued_frame *f,
		       uint64_t now_us)
{
	struct link *l = link_get(tp, f->addr);
	struct conn *c = l->current;

	/* It isn't known whether the current connection is dead, so the frame
	 * goes to both. */
	if (l->spare->state == CONN_CONNECTING)
		conn_queue(tp, l->spare, f);
	if (c->state == CONN_IDLE && now_us < c->dialed_us + REDIAL_INTERVAL_US)
		return;
	if (!conn_queue(tp, c, f))
		return;
	if (c->state == CONN_IDLE)
		conn_dial(tp, c, now_us);
	else if (c->state == CONN_UP)
		conn_write(tp, c);
}

/* Only an established connection is replaced: an attempt to connect is not cut
 * off. */
static void link_renew(struct ph_transport *tp, struct link *l, uint64_t now_us)
{
	if (l->current->state == CONN_UP && l->spare->state == CONN_IDLE &&
	    now_us >= l->spare->dialed_us + REDIAL_INTERVAL_US)
		conn_dial(tp, l->spare, now_us);
}

static void send_queued(struct ph_transport *tp)
{
	uint64_t now_us = ph_clock_us();
	struct queued_frame *f;

	apr_thread_mutex_lock(tp->lock);
	f = tp->queue_head;
	tp->queue_head = NULL;
	tp->queue_tail = NULL;
	apr_thread_mutex_unlock(tp->lock);
	while (f) {
		struct queued_frame *next = f->next;

		if (f->len)
			send_frame(tp, f, now_us);
		else
			link_renew(tp, link_get(tp, f->addr), now_us);
		tp->mem->free(f);
		f = next;
	}
}

static void time_out_dials(struct ph_transport *tp, uint64_t now_us)
{
	struct link *l;
	size_t i;

	if (!tp->dialing)
		return;
	for (l = tp->first_link; l; l = l->next)
		for (i = 0; i < 2; i++)
			if (l->conns[i].state == CONN_CONNECTING &&
			    now_us > l->conns[i].dialed_us + CONNECT_TIMEOUT_US)
				conn_failed(tp, &l->conns[i], ETIMEDOUT);
}

/* ## Incoming connections */

/* Marks a connection as closed. It is freed at the end of the turn: a later
 * event of the same turn may still refer to it. */
static void inbound_close(struct ph_transport *tp, struct inbound *in)
{
	in->closed = true;
	tp->any_inbound_closed = true;
}

/* Handles the frame at offset from, if it has arrived whole. Returns its length
 * with the prefix; 0 if it is incomplete or bad, the latter closing the
 * connection. */
static size_t handle_frame(struct ph_transport *tp, struct inbound *in,
			   size_t from)
{
	size_t left = in->in.len - from;
	uint32_t len;
	int err;

	if (left < PH_MSG_FRAME_BYTES)
		return 0;
	memcpy(&len, in->in.data + from, sizeof(len));
	len = ntohl(len);
	if (len > PH_MSG_MAX_BYTES) {
		err = PH_ERR_TOO_LARGE;
		goto bad;
	}
	if (left < PH_MSG_FRAME_BYTES + len)
		return 0;
	err = tp->opt.events->frame(
		tp->opt.ctx, in->in.data + from + PH_MSG_FRAME_BYTES, len);
	if (err)
		goto bad;
	return PH_MSG_FRAME_BYTES + len;
bad:
	ph_log(PART,
	       "Rejected a frame of %u bytes from a peer (%s); closing the "
	       "connection.",
	       len, ph_strerror(err));
	count(&tp->counters.bad_frames, 1);
	inbound_close(tp, in);
	return 0;
}

static void on_inbound_event(struct ph_transport *tp, void *owner,
			     const apr_pollfd_t *fd)
{
	struct inbound *in = owner;
	char data[READ_CHUNK_BYTES];
	size_t used = 0;
	size_t n;

	(void)fd;
	for (;;) {
		apr_size_t got = sizeof(data);
		apr_status_t st = apr_socket_recv(in->sock, data, &got);

		if (got) {
			in->heard_us = ph_clock_us();
			count(&tp->counters.bytes_received, got);
			ph_buf_put(&in->in, data, got);
		}
		if (APR_STATUS_IS_EAGAIN(st) || (!st && got < sizeof(data)))
			break;
		if (st) {
			inbound_close(tp, in);
			break;
		}
	}
	while ((n = handle_frame(tp, in, used)))
		used += n;
	ph_buf_consume(&in->in, used);
}

static void on_accept(struct ph_transport *tp, void *owner,
		      const apr_pollfd_t *fd)
{
	struct inbound *in = tp->mem->calloc(1, sizeof(*in));

	(void)owner;
	(void)fd;
	apr_pool_create(&in->pool, tp->pool);
	if (apr_socket_accept(&in->sock, tp->listener, in->pool)) {
		apr_pool_destroy(in->pool);
		tp->mem->free(in);
		return;
	}
	apr_socket_opt_set(in->sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(in->sock, 0);
	ph_buf_init(&in->in, tp->mem);
	in->fd.p = in->pool;
	in->fd.desc_type = APR_POLL_SOCKET;
	in->fd.desc.s = in->sock;
	in->fd.reqevents = APR_POLLIN;
	in->fd.client_data = in;
	apr_pollset_add(tp->pollset, &in->fd);
	in->handler.event = on_inbound_event;
	in->heard_us = ph_clock_us();
	in->next = tp->inbounds;
	tp->inbounds = in;
}

static void inbound_free(struct ph_transport *tp, struct inbound *in)
{
	apr_pollset_remove(tp->pollset, &in->fd);
	apr_pool_destroy(in->pool);
	ph_buf_free(&in->in);
	tp->mem->free(in);
}

/* Closes connections from which nothing comes: their peer has opened another
 * one, or is gone without having closed them. */
static void close_idle_inbounds(struct ph_transport *tp, uint64_t now_us)
{
	struct inbound *in;

	if (!tp->opt.idle_us ||
	    now_us < tp->idle_check_us + IDLE_CHECK_INTERVAL_US)
		return;
	tp->idle_check_us = now_us;
	for (in = tp->inbounds; in; in = in->next) {
		if (in->closed || now_us < in->heard_us + tp->opt.idle_us)
			continue;
		count(&tp->counters.idle_closed, 1);
		inbound_close(tp, in);
	}
}

static void free_closed_inbounds(struct ph_transport *tp)
{
	struct inbound **at = &tp->inbounds;

	if (!tp->any_inbound_closed)
		return;
	tp->any_inbound_closed = false;
	while (*at) {
		struct inbound *in = *at;

		if (!in->closed) {
			at = &in->next;
			continue;
		}
		*at = in->next;
		inbound_free(tp, in);
	}
}

/* ## Thread */

static void *APR_THREAD_FUNC event_loop(apr_thread_t *thread, void *data)
{
	struct ph_transport *tp = data;

	(void)thread;
	while (!__atomic_load_n(&tp->stop, __ATOMIC_ACQUIRE)) {
		const apr_pollfd_t *fds = NULL;
		apr_int32_t n = 0;
		uint64_t now_us;
		apr_int32_t i;

		send_queued(tp);
		if (apr_pollset_poll(tp->pollset, POLL_TIMEOUT_US, &n, &fds))
			n = 0;
		for (i = 0; i < n; i++) {
			struct poll_handler *handler = fds[i].client_data;

			handler->event(tp, handler, &fds[i]);
		}
		now_us = ph_clock_us();
		close_idle_inbounds(tp, now_us);
		free_closed_inbounds(tp);
		time_out_dials(tp, now_us);
	}
	return NULL;
}

static int listen_on(struct ph_transport *tp)
{
	apr_sockaddr_t *at;

	if (apr_sockaddr_info_get(&at, tp->opt.address, APR_INET, tp->opt.port,
				  0, tp->pool) ||
	    apr_socket_create(&tp->listener, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, tp->pool))
		return PH_ERR_IO;
	apr_socket_opt_set(tp->listener, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(tp->listener, APR_SO_NONBLOCK, 1);
	if (apr_socket_bind(tp->listener, at) ||
	    apr_socket_listen(tp->listener, SOMAXCONN))
		return PH_ERR_IO;
	tp->listen_fd.p = tp->pool;
	tp->listen_fd.desc_type = APR_POLL_SOCKET;
	tp->listen_fd.desc.s = tp->listener;
	tp->listen_fd.reqevents = APR_POLLIN;
	tp->accept_handler.event = on_accept;
	tp->listen_fd.client_data = &tp->accept_handler;
	apr_pollset_add(tp->pollset, &tp->listen_fd);
	return 0;
}

struct ph_transport *
ph_transport_new(const struct ph_transport_options *options)
{
	struct ph_transport *tp = options->mem->calloc(1, sizeof(*tp));

	tp->mem = options->mem;
	tp->opt = *options;
	apr_pool_create(&tp->pool, NULL);
	apr_thread_mutex_create(&tp->lock, APR_THREAD_MUTEX_DEFAULT, tp->pool);
	tp->links = apr_hash_make(tp->pool);
	apr_pollset_create(&tp->pollset, POLLSET_SIZE, tp->pool,
			   APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY);
	if (listen_on(tp)) {
		apr_pool_destroy(tp->pool);
		tp->mem->free(tp);
		return NULL;
	}
	apr_thread_create(&tp->thread, NULL, event_loop, tp, tp->pool);
	return tp;
}

void ph_transport_send(struct ph_transport *tp, const char *addr,
		       const char *data, size_t len)
{
	struct queued_frame *f = tp->mem->calloc(1, sizeof(*f) + len);

	ph_strcopy(f->addr, sizeof(f->addr), addr);
	f->len = len;
	memcpy(f->data, data, len);
	apr_thread_mutex_lock(tp->lock);
	if (tp->queue_tail)
		tp->queue_tail->next = f;
	else
		tp->queue_head = f;
	tp->queue_tail = f;
	apr_thread_mutex_unlock(tp->lock);
	apr_pollset_wakeup(tp->pollset);
}

/* Queues an empty frame, so that it takes effect in the order of the calls. */
void ph_transport_renew(struct ph_transport *tp, const char *addr)
{
	ph_transport_send(tp, addr, "", 0);
}

void ph_transport_counters(const struct ph_transport *tp,
			   struct ph_transport_counters *counters)
{
	const struct ph_transport_counters *c = &tp->counters;

	counters->bytes_sent =
		__atomic_load_n(&c->bytes_sent, __ATOMIC_RELAXED);
	counters->bytes_received =
		__atomic_load_n(&c->bytes_received, __ATOMIC_RELAXED);
	counters->bad_frames =
		__atomic_load_n(&c->bad_frames, __ATOMIC_RELAXED);
	counters->dials = __atomic_load_n(&c->dials, __ATOMIC_RELAXED);
	counters->idle_closed =
		__atomic_load_n(&c->idle_closed, __ATOMIC_RELAXED);
}

void ph_transport_free(struct ph_transport *tp)
{
	apr_status_t status;

	if (!tp)
		return;
	__atomic_store_n(&tp->stop, true, __ATOMIC_RELEASE);
	apr_pollset_wakeup(tp->pollset);
	apr_thread_join(&status, tp->thread);
	while (tp->first_link) {
		struct link *l = tp->first_link;

		tp->first_link = l->next;
		conn_close(tp, l->current);
		conn_close(tp, l->spare);
		tp->mem->free(l);
	}
	while (tp->inbounds) {
		struct inbound *in = tp->inbounds;

		tp->inbounds = in->next;
		inbound_free(tp, in);
	}
	while (tp->queue_head) {
		struct queued_frame *f = tp->queue_head;

		tp->queue_head = f->next;
		tp->mem->free(f);
	}
	apr_pool_destroy(tp->pool);
	tp->mem->free(tp);
}
