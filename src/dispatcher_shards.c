/* The number of shards of each failure domain: what the store, the heartbeats
 * of other instances and the list of executors tell, and proposals. */

#include <string.h>

#include "ident.h"
#include "log.h"
#include "dispatcher_impl.h"

#define PART "dispatcher"
/* Number of known domains from which on rows of the store for further ones are
 * ignored: anyone may write keys, and deployments have three to five domains.
 */
#define STORED_DOMAINS_MAX 256U

/* Logs a new number of shards and has it sent to the instances of the domain.
 */
static void announce(struct ph_dispatcher *d,
		     const struct ph_dispatcher_domain *domain,
		     const char *source)
{
	const struct ph_shard_plan *p = &domain->plan;

	ph_event(PART,
		 "event=shards_changed domain=%s shards=%u revision=%llu "
		 "pools=%u executors=%u source=%s",
		 domain->name, p->shards, (unsigned long long)p->revision,
		 domain->pools, p->executors, source);
	if (!strcmp(domain->name, d->settings.domain))
		ph_dispatcher_heartbeat_soon(d, PH_HEARTBEAT_DOMAIN);
}

/* ## Heartbeats and the list */

void ph_dispatcher_shards_list(struct ph_dispatcher *d,
			       struct ph_dispatcher_domain *domain,
			       uint64_t now_us, uint32_t executors)
{
	if (ph_shard_plan_list(&domain->plan, now_us, executors))
		announce(d, domain, "list");
}

void ph_dispatcher_shards_heard(struct ph_dispatcher *d,
				const struct ph_poolmsg *heartbeat,
				uint64_t now_us)
{
	struct ph_dispatcher_domain *domain =
		ph_dispatcher_domain(d, heartbeat->domain);
	bool changed = ph_shard_plan_heard(&domain->plan, heartbeat->shards,
					   heartbeat->shards_revision);

	/* Without a list of executors the instance can still send jobs to the
	 * owners of the pools. */
	if (heartbeat->shards)
		ph_dispatcher_create_pools(d, domain);
	if (!changed)
		return;
	announce(d, domain, heartbeat->name);
	ph_dispatcher_split_list(d, now_us);
}

void ph_dispatcher_shards_tick(struct ph_dispatcher *d, uint64_t now_us)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < d->domain_count; i++) {
		struct ph_dispatcher_domain *domain = &d->domains[i];

		if (!ph_shard_plan_waits(&domain->plan))
			continue;
		ph_dispatcher_shards_list(d, domain, now_us,
					  domain->plan.executors);
		changed = changed || domain->plan.shards;
	}
	if (changed)
		ph_dispatcher_split_list(d, now_us);
}

/* ## The store */

/* A domain without a row has no key. */
static struct ph_shards_row row_of(const struct ph_dispatcher_domain *domain,
				   const struct ph_shards_row *rows,
				   size_t count)
{
	struct ph_shards_row absent = { .domain = domain->name,
					.stored = PH_SHARDS_ABSENT };
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(rows[i].domain, domain->name))
			return rows[i];
	return absent;
}

static void log_unreadable(const struct ph_dispatcher_domain *domain,
			   enum ph_shards_stored before,
			   const struct ph_shards_row *row)
{
	if (domain->plan.stored == PH_SHARDS_UNREADABLE &&
	    before != PH_SHARDS_UNREADABLE)
		ph_event(PART,
			 "event=shards_unreadable domain=%s revision=%llu "
			 "action=keep_current shards=%u",
			 domain->name, (unsigned long long)row->revision,
			 domain->plan.shards);
}

void ph_dispatcher_shards_read(struct ph_dispatcher *d, uint64_t now_us,
			       const struct ph_shards_row *rows, size_t count)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < count && d->domain_count < STORED_DOMAINS_MAX; i++)
		if (ph_platform_name_valid(rows[i].domain))
			ph_dispatcher_domain(d, rows[i].domain);
	for (i = 0; i < d->domain_count; i++) {
		struct ph_dispatcher_domain *domain = &d->domains[i];
		struct ph_shards_row row = row_of(domain, rows, count);
		enum ph_shards_stored before = domain->plan.stored;

		if (ph_shard_plan_read(&domain->plan, row.stored, row.shards,
				       row.revision)) {
			announce(d, domain, "store");
			changed = true;
		}
		log_unreadable(domain, before, &row);
	}
	if (changed)
		ph_dispatcher_split_list(d, now_us);
}

const char *
ph_dispatcher_take_shards_proposal(struct ph_dispatcher *d, uint64_t now_us,
				   struct ph_shards_proposal *proposal)
{
	size_t i;

	for (i = 0; i < d->domain_count; i++) {
		struct ph_dispatcher_domain *domain = &d->domains[i];
		bool own = !strcmp(domain->name, d->settings.domain);

		if (!ph_shard_plan_due(&domain->plan, now_us, own, proposal))
			continue;
		ph_shard_plan_proposed(&domain->plan);
		return domain->name;
	}
	return NULL;
}

static const char *outcome_name(enum ph_shards_outcome outcome)
{
	static const char *const names[] = { "written", "conflict", "failed" };

	return names[outcome];
}

void ph_dispatcher_shards_proposed(struct ph_dispatcher *d, uint64_t now_us,
				   enum ph_shards_outcome outcome,
				   const struct ph_shards_row *row)
{
	struct ph_dispatcher_domain *domain =
		ph_dispatcher_domain(d, row->domain);
	bool changed =
		ph_shard_plan_outcome(&domain->plan, now_us, outcome,
				      row->stored, row->shards, row->revision);

	d->counters.shards_proposed[outcome]++;
	ph_event(PART,
		 "event=shards_proposed domain=%s outcome=%s stored=%u "
		 "revision=%llu failed=%u",
		 domain->name, outcome_name(outcome),
		 domain->plan.stored_shards,
		 (unsigned long long)domain->plan.stored_revision,
		 domain->plan.proposals_failed);
	if (!changed)
		return;
	announce(d, domain, "store");
	ph_dispatcher_split_list(d, now_us);
}

void ph_dispatcher_shards_metrics(const struct ph_dispatcher *d,
				  struct ph_buf *out)
{
	int i;
	size_t k;

	for (i = 0; i < PH_SHARDS_OUTCOMES; i++)
		ph_buf_printf(
			out,
			"peridothall_shards_proposed_total{outcome="
			"\"%s\"} %llu\n",
			outcome_name((enum ph_shards_outcome)i),
			(unsigned long long)d->counters.shards_proposed[i]);
	for (k = 0; k < d->domain_count; k++)
		ph_buf_printf(
			out,
			"peridothall_shards{domain=\"%s\"} %u\n"
			"peridothall_shards_revision{domain=\"%s\"} %llu\n",
			d->domains[k].name, d->domains[k].plan.shards,
			d->domains[k].name,
			(unsigned long long)d->domains[k].plan.revision);
}
