#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <apr_thread_proc.h>

#include "log.h"
#include "mailbox.h"
#include "dispatcher_impl.h"
#include "pool_shard.h"

#define PART "node"
/* Longest wait of the control thread; the deciders' ticks need 20 ms. What an
 * owner starts and renews is looked at more often. */
#define TICK_US 10000U
#define IDLE_TICK_US 20000U
/* A gap of the steady clock, or of it against the clock that counts suspended
 * time, that means that this process stood still. */
#define SUSPENDED_US 100000U
/* After this time from the start a pool without an owner is cut off. */
#define SETTLED_US 3000000U
#define INCARNATION_SHIFT 20U

enum mail_type { MAIL_RUN, MAIL_MESSAGE, MAIL_REFUSED };

struct mail {
	struct ph_mail base;
	void (*run)(void *arg, uint64_t now_us);
	void *arg;
	struct ph_poolmsg *msg;
	char addr[PH_ADDR_BYTES];
};

/* ## Threads */

static void post(struct ph_dispatcher *n, struct mail *m, enum mail_type type)
{
	m->base.type = (int)type;
	ph_mailbox_put(n->box, &m->base);
}

void ph_dispatcher_post(struct ph_dispatcher *n,
			void (*run)(void *arg, uint64_t now_us), void *arg)
{
	struct mail *m = n->mem->calloc(1, sizeof(*m));

	m->run = run;
	m->arg = arg;
	post(n, m, MAIL_RUN);
}

static int on_frame(void *ctx, const char *data, size_t len)
{
	struct ph_dispatcher *n = ctx;
	struct ph_poolmsg *msg = n->mem->calloc(1, sizeof(*msg));
	int err = ph_poolmsg_decode(n->mem, data, len, msg);
	struct mail *m;

	if (err) {
		n->mem->free(msg);
		return err;
	}
	m = n->mem->calloc(1, sizeof(*m));
	m->msg = msg;
	m->base.type = MAIL_MESSAGE;
	/* Heartbeats by the hundred don't wake the control thread each. */
	if (msg->type == PH_POOLMSG_HEARTBEAT)
		ph_mailbox_put_later(n->box, &m->base);
	else
		ph_mailbox_put(n->box, &m->base);
	return 0;
}

static void on_refused(void *ctx, const char *addr)
{
	struct ph_dispatcher *n = ctx;
	struct mail *m = n->mem->calloc(1, sizeof(*m));

	ph_strcopy(m->addr, sizeof(m->addr), addr);
	post(n, m, MAIL_REFUSED);
}

static void on_broken(void *ctx, const char *addr)
{
	(void)ctx;
	ph_event(PART, "event=link_broken peer=%s", addr);
}

static const struct ph_peer_events peer_events = {
	.frame = on_frame,
	.refused = on_refused,
	.broken = on_broken,
};

static void handle_mail(struct ph_dispatcher *n, struct mail *m,
			uint64_t now_us)
{
	switch ((enum mail_type)m->base.type) {
	case MAIL_RUN:
		m->run(m->arg, now_us);
		break;
	case MAIL_MESSAGE:
		ph_dispatcher_message(n, m->msg, now_us);
		ph_poolmsg_clear(n->mem, m->msg);
		n->mem->free(m->msg);
		break;
	case MAIL_REFUSED:
		ph_cluster_connection_refused(n->members, now_us, m->addr);
		break;
	}
	n->mem->free(m);
	ph_dispatcher_locals(n);
}

/* ## Time */

/* What a process held before it stood still may be another's by now. */
static void check_pause(struct ph_dispatcher *n, uint64_t now_us)
{
	uint64_t suspended = ph_clock_suspended_us();
	uint64_t gap_us = now_us - n->ticked_us;

	if (n->ticked_us && (suspended > n->suspended_us + SUSPENDED_US ||
			     gap_us > n->set.lease_us)) {
		ph_event(PART, "event=paused suspended_us=%llu gap_us=%llu",
			 (unsigned long long)(suspended - n->suspended_us),
			 (unsigned long long)gap_us);
		ph_cluster_paused(n->members, now_us,
				  &ph_dispatcher_cluster_sink, n);
		ph_submitter_paused(n->submitter, now_us);
	}
	n->suspended_us = suspended;
	n->ticked_us = now_us;
}

bool ph_dispatcher_stopping(const struct ph_dispatcher *n)
{
	return n->stopping;
}

bool ph_dispatcher_ready(const struct ph_dispatcher *n)
{
	size_t count;

	ph_directory_list(n->directory, &count);
	return n->routing && count && !n->stopping;
}

static bool owns_any(const struct ph_dispatcher *n)
{
	size_t i;

	for (i = 0; i < n->pool_count; i++)
		if (ph_pool_owned(n->pools[i].pool))
			return true;
	return false;
}

static bool may_exit(struct ph_dispatcher *n, uint64_t now_us)
{
	if (!n->stopping)
		return false;
	if (now_us >= ph_dispatcher_end_us(n))
		return true;
	if (owns_any(n) || ph_submitter_count(n->submitter) ||
	    n->port->open_requests(n->port_ctx))
		n->busy_us = now_us;
	return now_us >= n->stop_us + n->set.notice_us &&
	       now_us >= n->busy_us + PH_DISPATCHER_LINGER_US;
}

void ph_dispatcher_heartbeat_soon(struct ph_dispatcher *n,
				  enum ph_heartbeat_scope whom)
{
	if (whom == PH_HEARTBEAT_ALL)
		n->heartbeat_all_due = true;
	else
		n->heartbeat_domain_due = true;
}

static void tick(struct ph_dispatcher *n, uint64_t now_us)
{
	size_t i;

	ph_cluster_tick(n->members, now_us, ph_clock_unix_ms(),
			&ph_dispatcher_cluster_sink, n);
	for (i = 0; i < n->pool_count; i++) {
		ph_dispatcher_check_fence(n, &n->pools[i], now_us);
		ph_pool_tick(n->pools[i].pool, now_us);
	}
	ph_submitter_tick(n->submitter, now_us);
	ph_dispatcher_results_tick(n, now_us);
	ph_dispatcher_list_tick(n, now_us);
	n->port->tick(n->port_ctx, now_us);
	if (n->heartbeat_all_due || n->heartbeat_domain_due)
		ph_cluster_heartbeat_soon(
			n->members, n->heartbeat_all_due ? PH_HEARTBEAT_ALL
							 : PH_HEARTBEAT_DOMAIN);
	n->heartbeat_all_due = false;
	n->heartbeat_domain_due = false;
	ph_dispatcher_locals(n);
}

static uint64_t tick_us(const struct ph_dispatcher *n)
{
	return owns_any(n) ? TICK_US : IDLE_TICK_US;
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct ph_dispatcher *n = data;
	uint64_t now_us;

	(void)thread;
	do {
		struct ph_mail *mail = ph_mailbox_take(n->box, tick_us(n));

		now_us = ph_clock_us();
		check_pause(n, now_us);
		while (mail) {
			struct ph_mail *next = mail->next;

			handle_mail(n, (struct mail *)mail, now_us);
			mail = next;
		}
		if (now_us < n->worked_us + tick_us(n))
			continue;
		n->worked_us = now_us;
		tick(n, now_us);
	} while (!may_exit(n, now_us));
	ph_event(PART, "event=stopped took_us=%llu",
		 (unsigned long long)(now_us - n->stop_us));
	return NULL;
}

static void begin_stop(void *arg, uint64_t now_us)
{
	struct ph_dispatcher *n = arg;

	if (n->stopping)
		return;
	ph_event(PART, "event=stopping jobs=%zu",
		 ph_submitter_count(n->submitter));
	n->stopping = true;
	n->stop_us = now_us;
	ph_dispatcher_heartbeat_soon(n, PH_HEARTBEAT_ALL);
	ph_submitter_stopping(n->submitter, ph_dispatcher_end_us(n));
	ph_cluster_leave(n->members);
}

void ph_dispatcher_stop(struct ph_dispatcher *n)
{
	ph_dispatcher_post(n, begin_stop, n);
}

/* ## Life */

static void add_seeds(struct ph_dispatcher *n)
{
	const char *at = n->set.seeds;

	while (at && *at) {
		char seed[PH_ADDR_BYTES];
		size_t len = strcspn(at, ",");

		if (len && len < sizeof(seed)) {
			memcpy(seed, at, len);
			seed[len] = '\0';
			ph_cluster_add_contact(n->members, seed);
		}
		at += len;
		at += *at == ',';
	}
}

static void deciders_start(struct ph_dispatcher *n)
{
	struct ph_cluster_options members = {
		.mem = n->mem,
		.name = n->set.name,
		.domain = n->set.domain,
		.addr = n->addr,
		.incarnation = n->incarnation,
		.heartbeat_us = n->set.heartbeat_us,
		.suspect_us = n->set.suspect_us,
		.start_us = ph_clock_us(),
		.cpu_milli = n->set.cpu_milli,
	};
	struct ph_submitter_options submitter = {
		.mem = n->mem,
		.name = n->set.name,
		.domain = n->set.domain,
		.policy = &ph_pool_choice_spread,
		.first_seq = n->incarnation << INCARNATION_SHIFT,
		.settled_us = ph_clock_us() + SETTLED_US,
		.sink = &ph_dispatcher_submitter_sink,
		.ctx = n,
	};

	n->members = ph_cluster_new(&members);
	submitter.members = n->members;
	n->submitter = ph_submitter_new(&submitter);
	n->directory = ph_directory_new(n->mem);
	add_seeds(n);
}

int ph_dispatcher_start(const struct ph_mem *mem,
			const struct ph_dispatcher_settings *settings,
			const struct ph_dispatcher_port *port, void *port_ctx,
			struct ph_dispatcher **out)
{
	struct ph_dispatcher *n = mem->calloc(1, sizeof(*n));
	struct ph_peer_options peer = {
		.mem = mem,
		.address = settings->address,
		.port = settings->peer_port,
		.events = &peer_events,
		.ctx = n,
	};
	int err = 0;

	n->mem = mem;
	n->set = *settings;
	n->port = port;
	n->port_ctx = port_ctx;
	n->incarnation = ph_clock_unix_ms();
	if (settings->advertise && settings->advertise[0])
		ph_strcopy(n->addr, sizeof(n->addr), settings->advertise);
	else
		snprintf(n->addr, sizeof(n->addr), "%s:%u", settings->address,
			 settings->peer_port);
	apr_pool_create(&n->apr, NULL);
	n->box = ph_mailbox_new(mem);
	ph_buf_init(&n->frame, mem);
	n->suspended_us = ph_clock_suspended_us();
	deciders_start(n);
	*out = n;
	n->transport = ph_transport_new(&peer);
	if (!n->transport) {
		err = PH_ERR_IO;
		goto out;
	}
	ph_event(PART, "event=started addr=%s domain=%s incarnation=%llu",
		 n->addr, n->set.domain, (unsigned long long)n->incarnation);
out:
	if (err) {
		ph_dispatcher_free(n);
		*out = NULL;
	}
	return err;
}

void ph_dispatcher_run(struct ph_dispatcher *n)
{
	apr_thread_create(&n->thread, NULL, run, n, n->apr);
}

void ph_dispatcher_join(struct ph_dispatcher *n)
{
	apr_status_t status;

	apr_thread_join(&status, n->thread);
}

void ph_dispatcher_free(struct ph_dispatcher *n)
{
	struct ph_mail *mail = ph_mailbox_take(n->box, 0);
	size_t i;

	ph_transport_free(n->transport);
	while (mail) {
		struct mail *m = (struct mail *)mail;

		mail = mail->next;
		if (m->msg)
			ph_poolmsg_clear(n->mem, m->msg);
		n->mem->free(m->msg);
		n->mem->free(m);
	}
	for (i = 0; i < n->pool_count; i++)
		ph_pool_free(n->pools[i].pool);
	n->mem->free(n->pools);
	n->mem->free(n->domains);
	while (n->outcomes) {
		struct ph_outcome_due *o = n->outcomes;

		n->outcomes = o->next;
		n->mem->free(o);
	}
	ph_submitter_free(n->submitter);
	ph_cluster_free(n->members);
	ph_directory_free(n->directory);
	ph_routing_free(n->routing);
	n->mem->free(n->doc);
	ph_mailbox_free(n->box);
	ph_buf_free(&n->frame);
	apr_pool_destroy(n->apr);
	n->mem->free(n);
}
