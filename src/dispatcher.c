#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <apr_thread_proc.h>

#include "log.h"
#include "mailbox.h"
#include "dispatcher_impl.h"
#include "startup.h"

#define PART "dispatcher"
/* Heartbeat intervals after which a connection of a peer from which nothing
 * comes is closed: five of the longest between instances, which is 20 times the
 * shortest. */
#define PEER_IDLE_INTERVALS 100U
/* Interval of ticks while this instance owns a pool: task starts and lease
 * renewals of an owner should not wait for longer. */
#define TICK_US 10000U
/* Interval of ticks otherwise; ph_pool_tick() needs a call every 20 ms. */
#define IDLE_TICK_US 20000U
/* Increase of the system's suspended time between two wake-ups of the control
 * thread that counts as a pause of the process. Without one, a gap of more than
 * a lease does. */
#define SUSPENDED_MIN_US 100000U
/* Bits of a batch's sequence number below the incarnation. */
#define INCARNATION_SHIFT 20U

/* A function to call, a message, or an address that refused a connection. */
enum mail_type { MAIL_RUN, MAIL_MESSAGE, MAIL_REFUSED };

/* An item for the control thread; which members it uses depends on its type. */
struct mail {
	struct ph_mail base;
	void (*run)(void *arg, uint64_t now_us);
	void *arg;
	struct ph_poolmsg *msg;
	char addr[PH_ADDR_BYTES];
};

/* ## Threads */

static void post(struct ph_dispatcher *d, struct mail *m, enum mail_type type)
{
	m->base.type = (int)type;
	ph_mailbox_put(d->box, &m->base);
}

void ph_dispatcher_post(struct ph_dispatcher *d,
			void (*run)(void *arg, uint64_t now_us), void *arg)
{
	struct mail *m = d->mem->calloc(1, sizeof(*m));

	m->run = run;
	m->arg = arg;
	post(d, m, MAIL_RUN);
}

static int on_frame(void *ctx, const char *data, size_t len)
{
	struct ph_dispatcher *d = ctx;
	struct ph_poolmsg *msg = d->mem->calloc(1, sizeof(*msg));
	int err = ph_poolmsg_decode(d->mem, data, len, msg);
	struct mail *m;

	if (!err && !ph_poolmsg_names_valid(msg)) {
		ph_poolmsg_clear(d->mem, msg);
		err = PH_ERR_SYNTAX;
	}
	if (err) {
		d->mem->free(msg);
		return err;
	}
	m = d->mem->calloc(1, sizeof(*m));
	m->msg = msg;
	m->base.type = MAIL_MESSAGE;
	/* Heartbeats of hundreds of peers do not wake the control thread each;
	 * they wait for its next wake-up. */
	if (msg->type == PH_POOLMSG_HEARTBEAT)
		ph_mailbox_put_no_wake(d->box, &m->base);
	else
		ph_mailbox_put(d->box, &m->base);
	return 0;
}

static void on_refused(void *ctx, const char *addr)
{
	struct ph_dispatcher *d = ctx;
	struct mail *m = d->mem->calloc(1, sizeof(*m));

	ph_strcopy(m->addr, sizeof(m->addr), addr);
	post(d, m, MAIL_REFUSED);
}

static void on_broken(void *ctx, const char *addr)
{
	(void)ctx;
	ph_event(PART, "event=connection_lost peer=%s", addr);
}

static const struct ph_transport_events peer_events = {
	.frame = on_frame,
	.refused = on_refused,
	.broken = on_broken,
};

static void handle_mail(struct ph_dispatcher *d, struct mail *m,
			uint64_t now_us)
{
	switch ((enum mail_type)m->base.type) {
	case MAIL_RUN:
		m->run(m->arg, now_us);
		break;
	case MAIL_MESSAGE:
		ph_dispatcher_message(d, m->msg, now_us);
		ph_poolmsg_clear(d->mem, m->msg);
		d->mem->free(m->msg);
		break;
	case MAIL_REFUSED:
		ph_cluster_connection_refused(d->cluster, now_us, m->addr);
		break;
	}
	d->mem->free(m);
	ph_dispatcher_handle_local_messages(d);
}

/* ## Time */

/* During a pause of this process other instances may have taken over its pools,
 * and leases may have expired. Gives up all pools and open jobs. */
static void check_pause(struct ph_dispatcher *d, uint64_t now_us)
{
	uint64_t suspended = ph_clock_suspended_us();
	uint64_t gap_us = now_us - d->last_wakeup_us;

	if (d->last_wakeup_us &&
	    (suspended > d->suspended_us + SUSPENDED_MIN_US ||
	     gap_us > d->settings.lease_us)) {
		ph_event(PART,
			 "event=process_paused suspended_us=%llu gap_us=%llu "
			 "action=release_all",
			 (unsigned long long)(suspended - d->suspended_us),
			 (unsigned long long)gap_us);
		ph_cluster_paused(d->cluster, now_us,
				  &ph_dispatcher_cluster_sink, d);
		ph_submitter_paused(d->submitter, now_us);
	}
	d->suspended_us = suspended;
	d->last_wakeup_us = now_us;
}

bool ph_dispatcher_stopping(const struct ph_dispatcher *d)
{
	return d->stopping;
}

bool ph_dispatcher_ready(const struct ph_dispatcher *d)
{
	size_t count;

	ph_directory_list(d->directory, &count);
	return d->routing && count && d->pool_count && !d->stopping;
}

bool ph_dispatcher_may_wait_for_routing(const struct ph_dispatcher *d,
					uint64_t now_us, uint64_t arrived_us,
					uint64_t caller_timeout_us)
{
	return !d->stopping &&
	       ph_mechanism_on(d->settings.off, PH_MECHANISM_START_WAIT) &&
	       ph_startup_may_wait(d->startup_end_us, now_us, arrived_us,
				   caller_timeout_us);
}

static bool owns_any(const struct ph_dispatcher *d)
{
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		if (ph_pool_owned(d->pools[i].pool))
			return true;
	return false;
}

static bool may_exit(struct ph_dispatcher *d, uint64_t now_us)
{
	if (!d->stopping)
		return false;
	if (now_us >=
	    ph_dispatcher_stop_deadline_us(d) + PH_DISPATCHER_LINGER_US)
		return true;
	if (owns_any(d) || ph_submitter_count(d->submitter) ||
	    d->platform->open_requests(d->platform_ctx))
		d->busy_us = now_us;
	return now_us >= d->stop_us + d->settings.unready_notice_us &&
	       now_us >= d->busy_us + PH_DISPATCHER_LINGER_US;
}

void ph_dispatcher_heartbeat_soon(struct ph_dispatcher *d,
				  enum ph_heartbeat_scope scope)
{
	if (scope == PH_HEARTBEAT_ALL)
		d->heartbeat_all_due = true;
	else
		d->heartbeat_domain_due = true;
}

/* Called once for all mail of a wake-up: while many tasks wait, a placement
 * round for each reply of an executor would take most of the CPU. */
static void handle_pool_changes(struct ph_dispatcher *d, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < d->pool_count; i++)
		ph_pool_handle_changes(d->pools[i].pool, now_us);
	ph_dispatcher_handle_local_messages(d);
}

static void tick(struct ph_dispatcher *d, uint64_t now_us)
{
	size_t i;

	ph_cluster_tick(d->cluster, now_us, ph_clock_unix_ms(),
			&ph_dispatcher_cluster_sink, d);
	for (i = 0; i < d->pool_count; i++) {
		ph_dispatcher_check_fence(d, &d->pools[i], now_us);
		ph_dispatcher_check_hand_over(d, &d->pools[i], now_us);
		ph_dispatcher_check_submitters(d, d->pools[i].pool, now_us);
		ph_pool_tick(d->pools[i].pool, now_us);
	}
	ph_submitter_tick(d->submitter, now_us);
	ph_dispatcher_resend_results(d, now_us);
	ph_dispatcher_list_tick(d, now_us);
	ph_dispatcher_shards_tick(d, now_us);
	d->platform->tick(d->platform_ctx, now_us);
	if (d->heartbeat_all_due || d->heartbeat_domain_due)
		ph_cluster_heartbeat_soon(
			d->cluster, d->heartbeat_all_due ? PH_HEARTBEAT_ALL
							 : PH_HEARTBEAT_DOMAIN);
	d->heartbeat_all_due = false;
	d->heartbeat_domain_due = false;
	ph_dispatcher_handle_local_messages(d);
}

static uint64_t tick_us(const struct ph_dispatcher *d)
{
	return owns_any(d) ? TICK_US : IDLE_TICK_US;
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *data)
{
	struct ph_dispatcher *d = data;
	uint64_t now_us;

	(void)thread;
	do {
		struct ph_mail *mail = ph_mailbox_take(d->box, tick_us(d));

		now_us = ph_clock_us();
		check_pause(d, now_us);
		while (mail) {
			struct ph_mail *next = mail->next;

			handle_mail(d, (struct mail *)mail, now_us);
			mail = next;
		}
		handle_pool_changes(d, now_us);
		if (now_us < d->last_tick_us + tick_us(d))
			continue;
		d->last_tick_us = now_us;
		tick(d, now_us);
	} while (!may_exit(d, now_us));
	ph_event(PART, "event=stopped took_us=%llu",
		 (unsigned long long)(now_us - d->stop_us));
	return NULL;
}

static void begin_stop(void *arg, uint64_t now_us)
{
	struct ph_dispatcher *d = arg;

	if (d->stopping)
		return;
	ph_event(PART, "event=stopping open_jobs=%zu",
		 ph_submitter_count(d->submitter));
	d->stopping = true;
	d->stop_us = now_us;
	ph_dispatcher_heartbeat_soon(d, PH_HEARTBEAT_ALL);
	ph_submitter_stopping(d->submitter, ph_dispatcher_stop_deadline_us(d));
	ph_cluster_leave(d->cluster);
}

void ph_dispatcher_stop(struct ph_dispatcher *d)
{
	ph_dispatcher_post(d, begin_stop, d);
}

/* ## Start and stop */

static void add_seeds(struct ph_dispatcher *d)
{
	const char *at = d->settings.seeds;

	while (at && *at) {
		char seed[PH_ADDR_BYTES];
		size_t len = strcspn(at, ",");

		if (len && len < sizeof(seed)) {
			memcpy(seed, at, len);
			seed[len] = '\0';
			ph_cluster_add_contact(d->cluster, seed);
		}
		at += len;
		at += *at == ',';
	}
}

static void create_components(struct ph_dispatcher *d)
{
	struct ph_cluster_options cluster = {
		.mem = d->mem,
		.name = d->settings.name,
		.domain = d->settings.domain,
		.addr = d->addr,
		.incarnation = d->incarnation,
		.heartbeat_us = d->settings.heartbeat_us,
		.suspect_us = d->settings.suspect_us,
		.start_us = ph_clock_us(),
		.cpu_milli = d->settings.cpu_milli,
		.off = d->settings.off,
	};
	struct ph_submitter_options submitter = {
		.mem = d->mem,
		.name = d->settings.name,
		.domain = d->settings.domain,
		.policy = ph_mechanism_on(d->settings.off, PH_MECHANISM_SPREAD)
				  ? &ph_pool_choice_spread
				  : &ph_pool_choice_wait,
		.first_seq = d->incarnation << INCARNATION_SHIFT,
		.startup_end_us = d->startup_end_us,
		.off = d->settings.off,
		.sink = &ph_dispatcher_submitter_sink,
		.ctx = d,
	};

	d->cluster = ph_cluster_new(&cluster);
	ph_evacuation_init(&d->evacuation, d->mem, ph_clock_us());
	submitter.cluster = d->cluster;
	submitter.evacuation = &d->evacuation;
	d->submitter = ph_submitter_new(&submitter);
	d->directory = ph_directory_new(d->mem);
	d->crashes = ph_crashes_new(d->mem);
	add_seeds(d);
}

int ph_dispatcher_start(const struct ph_mem *mem,
			const struct ph_dispatcher_settings *settings,
			const struct ph_dispatcher_platform *platform,
			void *platform_ctx, struct ph_dispatcher **out)
{
	struct ph_dispatcher *d = mem->calloc(1, sizeof(*d));
	struct ph_transport_options peer = {
		.mem = mem,
		.address = settings->address,
		.port = settings->peer_port,
		.idle_us = PEER_IDLE_INTERVALS * settings->heartbeat_us,
		.events = &peer_events,
		.ctx = d,
	};
	int err = 0;

	d->mem = mem;
	d->settings = *settings;
	d->platform = platform;
	d->platform_ctx = platform_ctx;
	d->incarnation = ph_clock_unix_ms();
	d->startup_end_us = ph_startup_end_us(ph_clock_us());
	if (settings->advertise && settings->advertise[0])
		ph_strcopy(d->addr, sizeof(d->addr), settings->advertise);
	else
		snprintf(d->addr, sizeof(d->addr), "%s:%u", settings->address,
			 settings->peer_port);
	apr_pool_create(&d->apr, NULL);
	d->box = ph_mailbox_new(mem);
	ph_buf_init(&d->frame, mem);
	d->suspended_us = ph_clock_suspended_us();
	create_components(d);
	*out = d;
	d->transport = ph_transport_new(&peer);
	if (!d->transport) {
		err = PH_ERR_IO;
		goto out;
	}
	ph_event(PART, "event=started addr=%s domain=%s incarnation=%llu",
		 d->addr, d->settings.domain,
		 (unsigned long long)d->incarnation);
out:
	if (err) {
		ph_dispatcher_free(d);
		*out = NULL;
	}
	return err;
}

void ph_dispatcher_run(struct ph_dispatcher *d)
{
	apr_thread_create(&d->thread, NULL, run, d, d->apr);
}

void ph_dispatcher_join(struct ph_dispatcher *d)
{
	apr_status_t status;

	apr_thread_join(&status, d->thread);
}

void ph_dispatcher_free(struct ph_dispatcher *d)
{
	struct ph_mail *mail = ph_mailbox_take(d->box, 0);
	size_t i;

	ph_transport_free(d->transport);
	while (mail) {
		struct mail *m = (struct mail *)mail;

		mail = mail->next;
		if (m->msg)
			ph_poolmsg_clear(d->mem, m->msg);
		d->mem->free(m->msg);
		d->mem->free(m);
	}
	for (i = 0; i < d->pool_count; i++)
		ph_pool_free(d->pools[i].pool);
	ph_crashes_free(d->crashes);
	ph_evacuation_clear(&d->evacuation);
	d->mem->free(d->pools);
	d->mem->free(d->domains);
	while (d->unacked_results) {
		struct ph_unacked_result *o = d->unacked_results;

		d->unacked_results = o->next;
		d->mem->free(o);
	}
	ph_submitter_free(d->submitter);
	ph_cluster_free(d->cluster);
	ph_directory_free(d->directory);
	ph_routing_free(d->routing);
	d->mem->free(d->doc);
	ph_mailbox_free(d->box);
	ph_buf_free(&d->frame);
	apr_pool_destroy(d->apr);
	d->mem->free(d);
}
