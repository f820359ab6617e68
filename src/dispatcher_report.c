/* Metrics and the state dump. */

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "dispatcher_impl.h"

#define PART "dispatcher"

static void put_counter(struct ph_buf *out, const char *name, uint64_t value)
{
	ph_buf_printf(out, "# TYPE %s counter\n%s %llu\n", name, name,
		      (unsigned long long)value);
}

static void put_pool_metrics(struct ph_dispatcher_pool *p, uint64_t now_us,
			     struct ph_buf *out)
{
	const struct ph_pool_counters *c = ph_pool_counters(p->pool);
	struct ph_pool_load load;
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "starts_total", c->starts },
		{ "no_room_total", c->no_room },
		{ "failed_runs_total", c->failed_runs },
		{ "lapsed_runs_total", c->expired_runs },
		{ "moved_runs_total", c->moved_runs },
		{ "stopped_for_late_starts_total", c->stopped_for_late_starts },
		{ "late_starts_taken_over_total", c->late_starts_taken_over },
		{ "strays_stopped_total", c->orphans_stopped },
		{ "adopted_runs_total", c->claimed_runs },
		{ "looks_total", c->polls },
		{ "probes_total", c->probes },
		{ "lost_executors_total", c->lost_executors },
		{ "given_up_jobs_total", c->given_up },
		{ "evacuated_batches_total", c->evacuated },
		{ "reservations_total", c->reservations },
		{ "backfilled_tasks_total", c->backfilled },
	};
	size_t i;

	ph_pool_measure(p->pool, now_us, &load);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		ph_buf_printf(out, "peridothall_pool_%s{domain=\"%s\"} %llu\n",
			      rows[i].name, p->name,
			      (unsigned long long)rows[i].value);
	ph_buf_printf(out,
		      "peridothall_pool_owned{domain=\"%s\"} %d\n"
		      "peridothall_pool_executors{domain=\"%s\"} %u\n"
		      "peridothall_pool_usable{domain=\"%s\"} %u\n"
		      "peridothall_pool_free_millicores{domain=\"%s\"} %u\n"
		      "peridothall_pool_batches{domain=\"%s\"} %u\n",
		      p->name, ph_pool_owned(p->pool), p->name, load.executors,
		      p->name, load.usable, p->name, load.free_milli, p->name,
		      load.batches);
}

/* Connections to other instances, and how long each of these has been silent.
 */
static void put_peer_metrics(struct ph_dispatcher *d, uint64_t now_us,
			     struct ph_buf *out)
{
	struct ph_transport_counters counters;
	const struct ph_member *m;
	int doubt;

	ph_transport_counters(d->transport, &counters);
	put_counter(out, "peridothall_peer_dials_total", counters.dials);
	put_counter(out, "peridothall_peer_connections_idle_closed_total",
		    counters.idle_closed);
	for (doubt = PH_LINK_SOUND + 1; doubt < PH_LINK_DOUBTS; doubt++)
		ph_buf_printf(
			out,
			"peridothall_peer_connections_renewed_total{reason="
			"\"%s\"} %llu\n",
			ph_link_doubt_name((enum ph_link_doubt)doubt),
			(unsigned long long)d->counters.renewed[doubt]);
	for (m = ph_cluster_first_member(d->cluster); m; m = m->next)
		ph_buf_printf(
			out, "peridothall_peer_silent_us{peer=\"%s\"} %llu\n",
			m->name, (unsigned long long)(now_us - m->heard_us));
}

void ph_dispatcher_metrics(struct ph_dispatcher *d, uint64_t now_us,
			   struct ph_buf *out)
{
	static const char *const outcomes[] = { "completed", "failed",
						"not_run", "unknown" };
	char name[PH_ADDR_BYTES];
	size_t i;

	put_counter(out, "peridothall_jobs_total", d->counters.jobs);
	put_counter(out, "peridothall_hangups_total", d->counters.disconnects);
	put_counter(out, "peridothall_log_lines_dropped_total",
		    ph_log_dropped());
	put_counter(out, "peridothall_incomplete_start_reports_total",
		    d->counters.incomplete_start_reports);
	put_counter(out, "peridothall_store_unreadable_total",
		    d->counters.unreadable);
	for (i = 0; i < 4; i++)
		ph_buf_printf(out,
			      "peridothall_answers_total{outcome=\"%s\"} "
			      "%llu\n",
			      outcomes[i],
			      (unsigned long long)d->counters.answers[i]);
	for (i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "peridothall_response_us_%s",
			 outcomes[i]);
		ph_histogram_write(&d->counters.response[i], name, out);
	}
	ph_buf_printf(out,
		      "peridothall_ready %d\n"
		      "peridothall_config_version %llu\n"
		      "peridothall_jobs_under_way %zu\n"
		      "peridothall_entries_skipped %zu\n"
		      "peridothall_routes_skipped %zu\n",
		      ph_dispatcher_ready(d),
		      d->routing ? (unsigned long long)d->routing->version : 0,
		      ph_submitter_count(d->submitter), d->counters.skipped,
		      d->routing ? d->routing->skipped : 0);
	ph_dispatcher_evacuation_metrics(d, out);
	ph_dispatcher_shards_metrics(d, out);
	put_peer_metrics(d, now_us, out);
	for (i = 0; i < d->pool_count; i++)
		put_pool_metrics(&d->pools[i], now_us, out);
}

static void dump(void *arg, uint64_t now_us)
{
	struct ph_dispatcher *d = arg;
	const struct ph_member *m;
	size_t i;

	ph_event(PART, "event=dump jobs=%zu ready=%d config=%llu minority=%d",
		 ph_submitter_count(d->submitter), ph_dispatcher_ready(d),
		 d->routing ? (unsigned long long)d->routing->version : 0,
		 ph_cluster_minority(d->cluster, now_us));
	ph_dispatcher_evacuation_dump(d, now_us);
	for (m = ph_cluster_first_member(d->cluster); m; m = m->next)
		ph_event(PART,
			 "event=dump_member member=%s silent_us=%llu "
			 "leaving=%d claims=%u",
			 m->name, (unsigned long long)(now_us - m->heard_us),
			 m->leaving, m->claim_count);
	for (i = 0; i < d->pool_count; i++) {
		struct ph_pool_load load;

		ph_pool_measure(d->pools[i].pool, now_us, &load);
		ph_event(PART,
			 "event=dump_pool domain=%s owned=%d executors=%u "
			 "usable=%u free_milli=%u batches=%u",
			 d->pools[i].name, ph_pool_owned(d->pools[i].pool),
			 load.executors, load.usable, load.free_milli,
			 load.batches);
		if (ph_pool_owned(d->pools[i].pool))
			ph_pool_dump_reservations(d->pools[i].pool, now_us);
	}
}

void ph_dispatcher_dump(struct ph_dispatcher *d)
{
	ph_dispatcher_post(d, dump, d);
}
