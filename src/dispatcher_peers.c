/* Messages to and from peers, outcomes of own pools, the configuration. */

#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"

#define PART "node"
/* Outcomes are repeated to an instance that doesn't acknowledge them. */
#define RESULT_RESEND_US 120000U
#define RESULT_KEEP_US 3000000U
#define CONFIG_ASK_EVERY_US 200000U

/* ## Messages */

/* A message to this instance is handled after the decider that sent it. */
static void send_local(struct ph_dispatcher *n, const struct ph_poolmsg *msg)
{
	struct ph_local *l = n->mem->calloc(1, sizeof(*l));

	l->msg = *msg;
	if (msg->work)
		l->msg.work = ph_batch_request_copy(n->mem, msg->work);
	if (n->local_tail)
		n->local_tail->next = l;
	else
		n->local_head = l;
	n->local_tail = l;
}

void ph_dispatcher_send(struct ph_dispatcher *n, const char *addr,
			struct ph_poolmsg *msg)
{
	ph_strcopy(msg->name, sizeof(msg->name), n->set.name);
	ph_strcopy(msg->domain, sizeof(msg->domain), n->set.domain);
	ph_strcopy(msg->addr, sizeof(msg->addr), n->addr);
	msg->incarnation = n->incarnation;
	if (!strcmp(addr, n->addr)) {
		send_local(n, msg);
		return;
	}
	n->frame.len = 0;
	ph_poolmsg_encode(msg, &n->frame);
	ph_transport_send(n->transport, addr, n->frame.data, n->frame.len);
}

static const char *member_addr(struct ph_dispatcher *n, const char *name)
{
	const struct ph_member *m;

	if (!strcmp(name, n->set.name))
		return n->addr;
	for (m = ph_cluster_first(n->members); m; m = m->next)
		if (!strcmp(m->name, name))
			return m->addr;
	return NULL;
}

/* ## Results of this instance's pools */

static void result_send(struct ph_dispatcher *n, struct ph_outcome_due *o,
			uint64_t now_us)
{
	struct ph_poolmsg msg = { .type = PH_POOLMSG_RESULT,
				  .seq = o->seq,
				  .result = o->result };
	const char *addr = member_addr(n, o->submitter);

	o->sent_us = now_us;
	if (addr)
		ph_dispatcher_send(n, addr, &msg);
}

void ph_dispatcher_result(void *ctx, const char *submitter, uint64_t seq,
			  const struct ph_result *result)
{
	struct ph_dispatcher *n = ctx;
	struct ph_outcome_due *o = n->mem->calloc(1, sizeof(*o));
	uint64_t now_us = ph_clock_us();

	ph_strcopy(o->submitter, sizeof(o->submitter), submitter);
	o->seq = seq;
	o->result = *result;
	o->made_us = now_us;
	o->next = n->outcomes;
	n->outcomes = o;
	result_send(n, o, now_us);
}

void ph_dispatcher_results_tick(struct ph_dispatcher *n, uint64_t now_us)
{
	struct ph_outcome_due **at = &n->outcomes;

	while (*at) {
		struct ph_outcome_due *o = *at;

		if (now_us > o->made_us + RESULT_KEEP_US) {
			*at = o->next;
			n->mem->free(o);
			continue;
		}
		if (now_us > o->sent_us + RESULT_RESEND_US)
			result_send(n, o, now_us);
		at = &o->next;
	}
}

static struct ph_outcome_due *result_find(struct ph_dispatcher *n,
					  const char *submitter, uint64_t seq)
{
	struct ph_outcome_due *o;

	for (o = n->outcomes; o; o = o->next)
		if (o->seq == seq && !strcmp(o->submitter, submitter))
			return o;
	return NULL;
}

static void result_acked(struct ph_dispatcher *n, const char *submitter,
			 uint64_t seq)
{
	struct ph_outcome_due *o = result_find(n, submitter, seq);
	struct ph_outcome_due **at = &n->outcomes;

	if (!o)
		return;
	while (*at != o)
		at = &(*at)->next;
	*at = o->next;
	n->mem->free(o);
}

/* ## Configuration */

const struct ph_routing *ph_dispatcher_routing(const struct ph_dispatcher *n)
{
	return n->routing;
}

void ph_dispatcher_set_parser(struct ph_dispatcher *n,
			      ph_dispatcher_parse_fn *parse)
{
	n->parse = parse;
}

void ph_dispatcher_offer_routing(struct ph_dispatcher *n,
				 struct ph_routing *routing, const char *doc,
				 size_t len)
{
	if (n->routing && routing->version <= n->routing->version) {
		ph_routing_free(routing);
		return;
	}
	ph_event(PART,
		 "event=config_in_force version=%llu before=%llu routes=%zu",
		 (unsigned long long)routing->version,
		 n->routing ? (unsigned long long)n->routing->version : 0,
		 routing->route_count);
	ph_routing_free(n->routing);
	n->routing = routing;
	n->mem->free(n->doc);
	n->doc = ph_memdup(n->mem, doc, len);
	n->doc_len = len;
	ph_dispatcher_heartbeat_soon(n, PH_HEARTBEAT_DOMAIN);
}

static void config_from_peer(struct ph_dispatcher *n,
			     const struct ph_poolmsg *msg)
{
	struct ph_routing *routing =
		n->parse ? n->parse(n->mem, msg->doc, msg->doc_len) : NULL;

	if (!routing) {
		ph_event(PART, "event=config_unreadable from=%s", msg->name);
		return;
	}
	ph_dispatcher_offer_routing(n, routing, msg->doc, msg->doc_len);
}

static void ask_config(struct ph_dispatcher *n, const struct ph_poolmsg *hello,
		       uint64_t now_us)
{
	struct ph_poolmsg msg = { .type = PH_POOLMSG_CONFIG_WANTED };
	uint64_t own = n->routing ? n->routing->version : 0;

	if (hello->config_version <= own ||
	    now_us < n->config_asked_us + CONFIG_ASK_EVERY_US)
		return;
	n->config_asked_us = now_us;
	ph_dispatcher_send(n, hello->addr, &msg);
}

/* ## Incoming */

static void mark_unknown(struct ph_batch_request *work)
{
	uint32_t i;

	for (i = 0; i < work->count; i++)
		work->where[i] = PH_EXECUTOR_UNKNOWN;
}

static void handle_submit(struct ph_dispatcher *n, struct ph_poolmsg *msg,
			  uint64_t now_us)
{
	struct ph_poolmsg reply = { .type = PH_POOLMSG_ACCEPTED,
				    .seq = msg->seq };
	struct ph_dispatcher_pool *p = ph_dispatcher_pool(n, msg->pool);
	struct ph_batch_request *work = msg->work;
	struct ph_result moved = { .verdict = PH_VERDICT_MOVED,
				   .reason = "no such pool here" };

	msg->work = NULL;
	ph_cluster_contact(n->members, msg->addr);
	ph_dispatcher_send(n, msg->addr, &reply);
	if (result_find(n, msg->name, msg->seq)) {
		ph_batch_request_free(n->mem, work);
		return;
	}
	/* An earlier life may have started what it did not acknowledge. */
	if (msg->owner_incarnation != n->incarnation) {
		moved.reason = "meant for an earlier life";
		p = NULL;
		mark_unknown(work);
	}
	if (!p) {
		memcpy(moved.done, work->done, sizeof(moved.done));
		memcpy(moved.where, work->where, sizeof(moved.where));
		moved.count = work->count;
		ph_batch_request_free(n->mem, work);
		ph_dispatcher_result(n, msg->name, msg->seq, &moved);
		return;
	}
	ph_pool_submit(p->pool, now_us, msg->name, msg->seq, work);
}

/* A peer of a domain knows best how its domain is split. */
static void learn_shards(struct ph_dispatcher *n,
			 const struct ph_poolmsg *hello)
{
	struct ph_dispatcher_domain *d = ph_dispatcher_domain(n, hello->domain);

	if (d && hello->shards > d->shards)
		ph_dispatcher_grow_shards(n, d, hello->shards);
}

void ph_dispatcher_message(struct ph_dispatcher *n, struct ph_poolmsg *msg,
			   uint64_t now_us)
{
	struct ph_poolmsg reply = { .seq = msg->seq };
	size_t i;

	switch (msg->type) {
	case PH_POOLMSG_HEARTBEAT:
		ph_cluster_heard(n->members, now_us, msg);
		learn_shards(n, msg);
		ask_config(n, msg, now_us);
		break;
	case PH_POOLMSG_SUBMIT:
		handle_submit(n, msg, now_us);
		break;
	case PH_POOLMSG_ACCEPTED:
		ph_submitter_accepted(n->submitter, msg->seq);
		break;
	case PH_POOLMSG_RESULT:
		reply.type = PH_POOLMSG_RESULT_ACK;
		ph_dispatcher_send(n, msg->addr, &reply);
		ph_submitter_result(n->submitter, now_us, msg->seq,
				    &msg->result);
		break;
	case PH_POOLMSG_RESULT_ACK:
		result_acked(n, msg->name, msg->seq);
		break;
	case PH_POOLMSG_CANCEL:
		for (i = 0; i < n->pool_count; i++)
			ph_pool_cancel(n->pools[i].pool, now_us, msg->name,
				       msg->seq);
		reply.type = PH_POOLMSG_CANCEL_ACK;
		ph_dispatcher_send(n, msg->addr, &reply);
		break;
	case PH_POOLMSG_CANCEL_ACK:
		ph_submitter_cancelled(n->submitter, msg->seq);
		break;
	case PH_POOLMSG_CONFIG_WANTED:
		if (!n->doc)
			break;
		reply.type = PH_POOLMSG_CONFIG;
		reply.doc = n->doc;
		reply.doc_len = n->doc_len;
		ph_dispatcher_send(n, msg->addr, &reply);
		break;
	case PH_POOLMSG_CONFIG:
		config_from_peer(n, msg);
		break;
	case PH_POOLMSG_LIST:
		ph_dispatcher_list_changed(n, msg, now_us);
		break;
	case PH_POOLMSG_TYPES:
		break;
	}
}

void ph_dispatcher_locals(struct ph_dispatcher *n)
{
	while (n->local_head) {
		struct ph_local *l = n->local_head;

		n->local_head = l->next;
		if (!n->local_head)
			n->local_tail = NULL;
		ph_dispatcher_message(n, &l->msg, ph_clock_us());
		ph_batch_request_free(n->mem, l->msg.work);
		n->mem->free(l);
	}
}
