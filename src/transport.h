#ifndef PH_TRANSPORT_H
#define PH_TRANSPORT_H

/*
 * Sends and receives length-prefixed frames between instances over TCP, on a
 * thread of its own. A connection carries frames in one direction only: an
 * instance dials each peer that it sends to, and only reads from connections
 * that it accepts. Delivery is best effort: frames for a peer that can't be
 * reached are dropped.
 */

#include "msg.h"

/** Callbacks of the transport; all run on its thread. */
struct ph_transport_events {
	/**
	 * Takes a received frame, without its length prefix. A negative error
	 * number closes the connection that it came from.
	 */
	int (*frame)(void *ctx, const char *data, size_t len);
	/** The peer at "ip:port" refused the connection (ECONNREFUSED). */
	void (*refused)(void *ctx, const char *addr);
	/**
	 * An established connection to "ip:port" was lost or closed; what was
	 * still queued for it is dropped.
	 */
	void (*broken)(void *ctx, const char *addr);
};

struct ph_transport_options {
	const struct ph_mem *mem;
	/** Local IP address to listen on and to dial from. */
	const char *address;
	uint16_t port;
	/** Accepted connections are closed after this time without a frame;
	 * 0: never. More than the longest interval of frames between peers. */
	uint64_t idle_us;
	const struct ph_transport_events *events;
	void *ctx;
};

struct ph_transport;

/** Listens and starts the thread; returns NULL if it can't listen. */
struct ph_transport *
ph_transport_new(const struct ph_transport_options *options);

/** Stops the thread and closes all connections; queued frames are dropped. */
void ph_transport_free(struct ph_transport *transport);

/**
 * Queues a copy of an encoded frame, length prefix included, for the peer at
 * "ip:port" and connects to it if need be. May be called on any thread.
 */
void ph_transport_send(struct ph_transport *transport, const char *addr,
		       const char *frame, size_t len);

/**
 * Opens a new connection to "ip:port" that takes the place of an established
 * one, which may have gone silent. Until then frames are sent on both, so that
 * receivers may get them twice. Does nothing while there is no established
 * connection: a frame or an attempt to connect opens one. May be called on any
 * thread.
 */
void ph_transport_renew(struct ph_transport *transport, const char *addr);

struct ph_transport_counters {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	/** Received frames that were too long or failed to decode. */
	uint64_t bad_frames;
	/** Attempts to open a connection. */
	uint64_t dials;
	/** Accepted connections that were closed as nothing came from them. */
	uint64_t idle_closed;
};

/** Reads the counters, each atomically. May be called on any thread. */
void ph_transport_counters(const struct ph_transport *transport,
			   struct ph_transport_counters *counters);

#endif
