/* How an instance learns of evacuated failure domains, from the store and from
 * its peers, and what it reports of them. docs/design/evacuation.md describes
 * the exchange. */

#include "log.h"
#include "dispatcher_impl.h"

#define PART "dispatcher"

static void update(struct ph_dispatcher *d, uint64_t now_us, uint64_t revision,
		   uint64_t age_us, const char *const *names, size_t count)
{
	/* Peers learn of a change by the revision in heartbeats. */
	if (ph_evacuation_update(&d->evacuation, now_us, revision, age_us,
				 names, count))
		ph_dispatcher_heartbeat_soon(d, PH_HEARTBEAT_DOMAIN);
}

void ph_dispatcher_evacuation_read(struct ph_dispatcher *d, uint64_t now_us,
				   uint64_t requested_us, uint64_t revision,
				   const char *const *names, size_t count)
{
	update(d, now_us, revision,
	       now_us > requested_us ? now_us - requested_us : 0, names, count);
}

void ph_dispatcher_evacuation_heartbeat(struct ph_dispatcher *d,
					const struct ph_poolmsg *heartbeat,
					uint64_t now_us)
{
	struct ph_poolmsg msg = { .type = PH_POOLMSG_EVACUATION_REQUEST };

	if (ph_evacuation_wants_view(&d->evacuation, now_us,
				     heartbeat->evacuation_revision,
				     heartbeat->evacuation_age_us))
		ph_dispatcher_send(d, heartbeat->addr, &msg);
}

void ph_dispatcher_evacuation_requested(struct ph_dispatcher *d,
					const struct ph_poolmsg *msg,
					uint64_t now_us)
{
	const char *names[PH_EVACUATIONS_MAX];
	struct ph_poolmsg reply = { .type = PH_POOLMSG_EVACUATION };

	if (!d->evacuation.revision)
		return;
	reply.evacuation_revision = d->evacuation.revision;
	reply.evacuation_age_us = ph_evacuation_age_us(&d->evacuation, now_us);
	reply.evacuated = names;
	reply.evacuated_count =
		(uint32_t)ph_evacuation_names(&d->evacuation, names);
	ph_dispatcher_send(d, msg->addr, &reply);
}

void ph_dispatcher_evacuation_received(struct ph_dispatcher *d,
				       const struct ph_poolmsg *msg,
				       uint64_t now_us)
{
	update(d, now_us, msg->evacuation_revision, msg->evacuation_age_us,
	       msg->evacuated, msg->evacuated_count);
}

/* Number of evacuated domains that have or had executors. */
static size_t evacuated_domains(const struct ph_dispatcher *d)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < d->domain_count; i++)
		n += ph_evacuation_active(&d->evacuation, d->domains[i].name);
	return n;
}

void ph_dispatcher_evacuation_metrics(struct ph_dispatcher *d,
				      struct ph_buf *out)
{
	ph_buf_printf(out,
		      "peridothall_evacuated_domains %zu\n"
		      "peridothall_evacuation_revision %llu\n",
		      evacuated_domains(d),
		      (unsigned long long)d->evacuation.revision);
}

void ph_dispatcher_evacuation_dump(struct ph_dispatcher *d, uint64_t now_us)
{
	const struct ph_evacuation *e = &d->evacuation;
	size_t i;

	ph_event(PART,
		 "event=dump_evacuations revision=%llu changed_revision=%llu "
		 "age_us=%llu domains=%zu",
		 (unsigned long long)e->revision,
		 (unsigned long long)e->changed_revision,
		 (unsigned long long)ph_evacuation_age_us(e, now_us),
		 evacuated_domains(d));
	for (i = 0; i < e->count; i++)
		ph_event(PART,
			 "event=dump_evacuation domain=%s active=%d "
			 "share_permille=%u",
			 e->domains[i].name, e->domains[i].active,
			 ph_evacuation_share_permille(e, now_us,
						      e->domains[i].name));
}
