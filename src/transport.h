#ifndef PH_TRANSPORT_H
#define PH_TRANSPORT_H

/*
 * Frames between entry instances over TCP, on a thread of its own. Each
 * instance dials the others for what it sends; accepted connections are only
 * read.
 */

#include "msg.h"

/** Events, called on the transport's thread. */
struct ph_peer_events {
	/** A frame arrived, without its length; an error closes its link. */
	int (*frame)(void *ctx, const char *data, size_t len);
	/** Nothing listens at "ip:port". */
	void (*refused)(void *ctx, const char *addr);
	/** A connection that was in use has broken. */
	void (*broken)(void *ctx, const char *addr);
};

struct ph_peer_options {
	const struct ph_mem *mem;
	/** IP number to listen on and to dial from. */
	const char *address;
	uint16_t port;
	const struct ph_peer_events *events;
	void *ctx;
};

struct ph_transport;

/** Binds and starts; returns NULL if the address can't be had. */
struct ph_transport *ph_transport_new(const struct ph_peer_options *options);
void ph_transport_free(struct ph_transport *transport);

/** Queues an encoded frame for "ip:port"; any thread. */
void ph_transport_send(struct ph_transport *transport, const char *addr,
		       const char *frame, size_t len);

/** Closes the link to "ip:port"; the next frame opens a new one. */
void ph_transport_reset(struct ph_transport *transport, const char *addr);

struct ph_transport_counters {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t bad_frames;
	uint64_t dials;
};

/** A snapshot of the counters; any thread. */
void ph_transport_counters(const struct ph_transport *transport,
			   struct ph_transport_counters *counters);

#endif
