/* Messages to and from other instances, results of batches in this instance's
 * pools, and the exchange of the configuration. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"

#define PART "dispatcher"
/* How often and how long a result is sent again until it is acknowledged. */
#define RESULT_RESEND_INTERVAL_US 120000U
#define RESULT_RESEND_FOR_US 3000000U
/* Shortest interval between two requests for a newer configuration. */
#define CONFIG_REQUEST_INTERVAL_US 200000U

/* ## Messages */

/* Queues a message to this instance, which is handled when the code that sent
 * it has returned. */
static void send_local(struct ph_dispatcher *d, const struct ph_poolmsg *msg)
{
	struct ph_local_message *l = d->mem->calloc(1, sizeof(*l));

	l->msg = *msg;
	if (msg->batch_request)
		l->msg.batch_request =
			ph_batch_request_copy(d->mem, msg->batch_request);
	if (d->local_tail)
		d->local_tail->next = l;
	else
		d->local_head = l;
	d->local_tail = l;
}

void ph_dispatcher_send(struct ph_dispatcher *d, const char *addr,
			struct ph_poolmsg *msg)
{
	msg->name = d->settings.name;
	msg->domain = d->settings.domain;
	ph_strcopy(msg->addr, sizeof(msg->addr), d->addr);
	msg->incarnation = d->incarnation;
	if (!strcmp(addr, d->addr)) {
		send_local(d, msg);
		return;
	}
	d->frame.len = 0;
	ph_poolmsg_encode(msg, &d->frame);
	ph_transport_send(d->transport, addr, d->frame.data, d->frame.len);
}

static const char *member_addr(struct ph_dispatcher *d, const char *name)
{
	const struct ph_member *m;

	if (!strcmp(name, d->settings.name))
		return d->addr;
	for (m = ph_cluster_first_member(d->cluster); m; m = m->next)
		if (!strcmp(m->name, name))
			return m->addr;
	return NULL;
}

/* ## Batches of this instance's pools */

void ph_dispatcher_send_accepted(void *ctx, const char *submitter, uint64_t seq,
				 const struct ph_unconfirmed *starts)
{
	struct ph_dispatcher *d = ctx;
	struct ph_poolmsg msg = { .type = PH_POOLMSG_ACCEPTED,
				  .seq = seq,
				  .clock_us = ph_clock_us() };
	const char *addr = member_addr(d, submitter);

	msg.result.unconfirmed = *starts;
	if (addr)
		ph_dispatcher_send(d, addr, &msg);
}

static void send_result(struct ph_dispatcher *d, struct ph_unacked_result *o,
			uint64_t now_us)
{
	struct ph_poolmsg msg = { .type = PH_POOLMSG_RESULT,
				  .seq = o->seq,
				  .result = o->result };
	const char *addr = member_addr(d, o->submitter);

	o->sent_us = now_us;
	if (addr)
		ph_dispatcher_send(d, addr, &msg);
}

void ph_dispatcher_send_result(void *ctx, const char *submitter, uint64_t seq,
			       const struct ph_result *result)
{
	struct ph_dispatcher *d = ctx;
	struct ph_unacked_result *o = d->mem->calloc(1, sizeof(*o));
	uint64_t now_us = ph_clock_us();

	o->submitter = ph_intern(submitter);
	o->seq = seq;
	o->result = *result;
	o->created_us = now_us;
	o->next = d->unacked_results;
	d->unacked_results = o;
	send_result(d, o, now_us);
}

void ph_dispatcher_resend_results(struct ph_dispatcher *d, uint64_t now_us)
{
	struct ph_unacked_result **at = &d->unacked_results;

	while (*at) {
		struct ph_unacked_result *o = *at;

		if (now_us > o->created_us + RESULT_RESEND_FOR_US) {
			*at = o->next;
			d->mem->free(o);
			continue;
		}
		if (now_us > o->sent_us + RESULT_RESEND_INTERVAL_US)
			send_result(d, o, now_us);
		at = &o->next;
	}
}

static struct ph_unacked_result *
find_result(struct ph_dispatcher *d, const char *submitter, uint64_t seq)
{
	struct ph_unacked_result *o;

	for (o = d->unacked_results; o; o = o->next)
		if (o->seq == seq && !strcmp(o->submitter, submitter))
			return o;
	return NULL;
}

static void remove_acked_result(struct ph_dispatcher *d, const char *submitter,
				uint64_t seq)
{
	struct ph_unacked_result *o = find_result(d, submitter, seq);
	struct ph_unacked_result **at = &d->unacked_results;

	if (!o)
		return;
	while (*at != o)
		at = &(*at)->next;
	*at = o->next;
	d->mem->free(o);
}

/* ## Configuration */

const struct ph_routing *ph_dispatcher_routing(const struct ph_dispatcher *d)
{
	return d->routing;
}

void ph_dispatcher_set_parser(struct ph_dispatcher *d,
			      ph_dispatcher_parse_fn *parse)
{
	d->parse = parse;
}

void ph_dispatcher_offer_routing(struct ph_dispatcher *d,
				 struct ph_routing *routing, const char *doc,
				 size_t len)
{
	if (d->routing && routing->version <= d->routing->version) {
		ph_routing_free(routing);
		return;
	}
	ph_event(PART,
		 "event=config_applied version=%llu previous_version=%llu "
		 "routes=%zu",
		 (unsigned long long)routing->version,
		 d->routing ? (unsigned long long)d->routing->version : 0,
		 routing->route_count);
	ph_routing_free(d->routing);
	d->routing = routing;
	d->mem->free(d->doc);
	d->doc = ph_memdup(d->mem, doc, len);
	d->doc_len = len;
	ph_dispatcher_heartbeat_soon(d, PH_HEARTBEAT_DOMAIN);
}

static void config_from_peer(struct ph_dispatcher *d,
			     const struct ph_poolmsg *msg)
{
	struct ph_routing *routing =
		d->parse ? d->parse(d->mem, msg->doc, msg->doc_len) : NULL;

	if (!routing) {
		ph_event(PART,
			 "event=config_unreadable peer=%s "
			 "action=keep_current",
			 msg->name);
		return;
	}
	ph_dispatcher_offer_routing(d, routing, msg->doc, msg->doc_len);
}

/* Requests the configuration of a peer whose heartbeat has a newer version. */
static void request_config(struct ph_dispatcher *d,
			   const struct ph_poolmsg *heartbeat, uint64_t now_us)
{
	struct ph_poolmsg msg = { .type = PH_POOLMSG_CONFIG_REQUEST };
	uint64_t own = d->routing ? d->routing->version : 0;

	if (heartbeat->config_version <= own ||
	    now_us < d->config_requested_us + CONFIG_REQUEST_INTERVAL_US)
		return;
	d->config_requested_us = now_us;
	ph_dispatcher_send(d, heartbeat->addr, &msg);
}

/* ## Received messages */

/* Notes that any task of the batch may be running at any executor. */
static void mark_locations_unknown(struct ph_batch_request *batch)
{
	uint32_t i;

	for (i = 0; i < batch->count; i++)
		batch->possible_executor[i] = PH_EXECUTOR_UNKNOWN;
}

static void handle_submit(struct ph_dispatcher *d, struct ph_poolmsg *msg,
			  uint64_t now_us)
{
	struct ph_poolmsg reply = { .type = PH_POOLMSG_ACCEPTED,
				    .seq = msg->seq };
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(d, msg->pool);
	struct ph_batch_request *batch = msg->batch_request;
	struct ph_result moved = { .verdict = PH_VERDICT_MOVED,
				   .reason = "no such pool here",
				   .not_started = !batch->resumed };

	msg->batch_request = NULL;
	ph_cluster_add_contact(d->cluster, msg->addr);
	/* Nothing would end the batch if its submitter fails. One that is alive
	 * sends it again, after its heartbeat. */
	if (!ph_cluster_hears(d->cluster, now_us, msg->name,
			      msg->incarnation)) {
		ph_event(PART,
			 "event=batch_ignored job=%s submitter=%s seq=%llu "
			 "reason=submitter_not_heard",
			 batch->job, msg->name, (unsigned long long)msg->seq);
		ph_batch_request_free(d->mem, batch);
		return;
	}
	if (find_result(d, msg->name, msg->seq)) {
		ph_dispatcher_send(d, msg->addr, &reply);
		ph_batch_request_free(d->mem, batch);
		return;
	}
	/* An earlier incarnation of this instance may have started tasks of the
	 * batch before it could acknowledge it. */
	if (msg->owner_incarnation != d->incarnation) {
		moved.reason = "meant for an earlier life";
		moved.not_started = false;
		p = NULL;
		mark_locations_unknown(batch);
	}
	if (!p) {
		ph_dispatcher_send(d, msg->addr, &reply);
		memcpy(moved.done, batch->done, sizeof(moved.done));
		memcpy(moved.possible_executor, batch->possible_executor,
		       sizeof(moved.possible_executor));
		moved.count = batch->count;
		ph_batch_request_free(d->mem, batch);
		ph_dispatcher_send_result(d, msg->name, msg->seq, &moved);
		return;
	}
	ph_pool_submit(p->pool, now_us, msg->name, msg->seq, batch);
	/* Else it is told so with the starts of the next placement round. */
	if (!ph_pool_has_batch(p->pool, msg->name, msg->seq))
		ph_dispatcher_send(d, msg->addr, &reply);
	ph_dispatcher_check_submitters(d, p->pool, now_us);
}

void ph_dispatcher_message(struct ph_dispatcher *d, struct ph_poolmsg *msg,
			   uint64_t now_us)
{
	struct ph_poolmsg reply = { .seq = msg->seq };
	size_t i;

	switch (msg->type) {
	case PH_POOLMSG_HEARTBEAT:
		ph_cluster_heartbeat_received(d->cluster, now_us, msg);
		ph_dispatcher_shards_heard(d, msg, now_us);
		request_config(d, msg, now_us);
		ph_dispatcher_evacuation_heartbeat(d, msg, now_us);
		ph_submitter_starts_reported(d->submitter, now_us, msg);
		for (i = 0; i < msg->suspect_count; i++)
			ph_crashes_heard(d->crashes, now_us, &msg->suspects[i]);
		break;
	case PH_POOLMSG_SUBMIT:
		handle_submit(d, msg, now_us);
		break;
	case PH_POOLMSG_ACCEPTED:
		ph_submitter_accepted(d->submitter, now_us, msg->seq,
				      msg->clock_us, &msg->result.unconfirmed);
		break;
	case PH_POOLMSG_RESULT:
		reply.type = PH_POOLMSG_RESULT_ACK;
		ph_dispatcher_send(d, msg->addr, &reply);
		ph_submitter_result(d->submitter, now_us, msg->seq,
				    &msg->result);
		break;
	case PH_POOLMSG_RESULT_ACK:
		remove_acked_result(d, msg->name, msg->seq);
		break;
	case PH_POOLMSG_CANCEL:
		for (i = 0; i < d->pool_count; i++)
			ph_pool_cancel(d->pools[i].pool, now_us, msg->name,
				       msg->seq);
		reply.type = PH_POOLMSG_CANCEL_ACK;
		ph_dispatcher_send(d, msg->addr, &reply);
		break;
	case PH_POOLMSG_CANCEL_ACK:
		ph_submitter_cancelled(d->submitter, msg->seq);
		break;
	case PH_POOLMSG_CONFIG_REQUEST:
		if (!d->doc)
			break;
		reply.type = PH_POOLMSG_CONFIG;
		reply.doc = d->doc;
		reply.doc_len = d->doc_len;
		ph_dispatcher_send(d, msg->addr, &reply);
		break;
	case PH_POOLMSG_CONFIG:
		config_from_peer(d, msg);
		break;
	case PH_POOLMSG_LIST:
		ph_dispatcher_list_changed(d, msg, now_us);
		break;
	case PH_POOLMSG_EVACUATION_REQUEST:
		ph_dispatcher_evacuation_requested(d, msg, now_us);
		break;
	case PH_POOLMSG_EVACUATION:
		ph_dispatcher_evacuation_received(d, msg, now_us);
		break;
	case PH_POOLMSG_TYPES:
		break;
	}
}

void ph_dispatcher_handle_local_messages(struct ph_dispatcher *d)
{
	while (d->local_head) {
		struct ph_local_message *l = d->local_head;

		d->local_head = l->next;
		if (!d->local_head)
			d->local_tail = NULL;
		ph_dispatcher_message(d, &l->msg, ph_clock_us());
		ph_batch_request_free(d->mem, l->msg.batch_request);
		d->mem->free(l);
	}
}
