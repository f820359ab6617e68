#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry_core_impl.h"

/* Instances may disagree on a job's home while rosters change; the limit ends
 * a relay between them that would go in circles. */
#define MAX_RELAY_HOPS 3U
#define RELAY_TIMEOUT_US 900000000U

static const char pending_doc[] =
	"{\"state\":\"pending\",\"error\":\"the outcome is not known here yet;"
	" ask again or submit again with the same id\"}";

/* ## Answers */

void ph_requests_answer(struct ph_core *core, const struct ph_waiter *waiter,
			int status, const char *doc, size_t len)
{
	struct ph_msg msg = { .type = PH_MSG_REPLY };

	core->counters.replies++;
	if (!waiter->addr[0]) {
		core->opt.sink->reply(core->opt.ctx, waiter->token, status, doc,
				      len);
		return;
	}
	msg.token = waiter->token;
	msg.status = status;
	msg.doc = doc;
	msg.doc_len = len;
	ph_core_send(core, waiter->addr, &msg);
}

void ph_requests_answer_pending(struct ph_core *core,
				const struct ph_waiter *waiter)
{
	core->counters.pending_replies++;
	ph_requests_answer(core, waiter, 503, pending_doc,
			   sizeof(pending_doc) - 1);
}

static void answer_error(struct ph_core *core, const struct ph_waiter *waiter,
			 int status, const char *field, const char *what)
{
	json_t *doc = json_pack("{s:s,s:s}", "error", what, "field", field);
	char *text = json_dumps(doc, JSON_COMPACT);

	ph_requests_answer(core, waiter, status, text, strlen(text));
	free(text);
	json_decref(doc);
}

void ph_requests_answer_job(struct ph_core *core,
			    const struct ph_waiter *waiter,
			    const struct ph_job *job)
{
	if (job->answer_len)
		ph_requests_answer(core, waiter, 200, job->answer,
				   job->answer_len);
	else
		answer_error(core, waiter, 410, "id",
			     "the job has ended; its answer was dropped");
}

/* ## Held requests */

/* Copies a request; the copy owns its strings and its body. */
static struct ph_held_request *held_new(struct ph_core *core, uint64_t now_us,
					const struct ph_waiter *origin,
					uint32_t hops,
					const struct ph_request *request)
{
	struct ph_held_request *h = core->mem->calloc(1, sizeof(*h));

	h->origin = *origin;
	h->since_us = now_us;
	h->version = core->roster.version;
	h->hops = hops;
	h->request = *request;
	ph_strcopy(h->team, sizeof(h->team), request->team);
	ph_strcopy(h->service, sizeof(h->service), request->service);
	ph_strcopy(h->id, sizeof(h->id), request->id);
	h->body = ph_memdup(core->mem, request->body, request->body_len);
	h->request.team = h->team;
	h->request.service = h->service;
	h->request.id = h->id;
	h->request.body = h->body;
	return h;
}

static void held_free(struct ph_core *core, struct ph_held_request *h)
{
	if (!h)
		return;
	core->mem->free(h->body);
	core->mem->free(h);
}

static void held_append(struct ph_core *core, struct ph_held_request *h)
{
	h->next = NULL;
	if (core->held_tail)
		core->held_tail->next = h;
	else
		core->held_head = h;
	core->held_tail = h;
	core->held_count++;
}

/* ## Relayed requests */

static struct ph_relay **relay_bucket(struct ph_core *core, uint64_t token)
{
	return &core->relays[token % PH_RELAY_BUCKETS];
}

static void relay_free(struct ph_core *core, struct ph_relay *relay)
{
	held_free(core, relay->retry_request);
	core->mem->free(relay);
	core->relay_count--;
}

/* Sends a request to another instance, which replies to it; takes over h. */
static void relay(struct ph_core *core, uint64_t now_us,
		  const struct ph_roster_member *target,
		  struct ph_held_request *h)
{
	struct ph_relay *r = core->mem->calloc(1, sizeof(*r));
	struct ph_relay **bucket;
	struct ph_msg msg = { .type = PH_MSG_REQUEST };

	r->token = ++core->token;
	r->origin = h->origin;
	r->sent_us = now_us;
	ph_strcopy(r->target, sizeof(r->target), target->addr);
	bucket = relay_bucket(core, r->token);
	r->chain = *bucket;
	*bucket = r;
	core->relay_count++;
	core->counters.relayed++;
	msg.token = r->token;
	msg.subject_incarnation = target->incarnation;
	msg.hops = h->hops + 1;
	msg.request = h->request;
	ph_core_send(core, target->addr, &msg);
	if (ph_rule(core, PH_RULE_RELAY_ONCE))
		held_free(core, h);
	else
		r->retry_request = h;
}

void ph_requests_reply(struct ph_core *core, uint64_t now_us,
		       const struct ph_msg *msg)
{
	struct ph_relay **at = relay_bucket(core, msg->token);
	struct ph_relay *r;

	(void)now_us;
	while (*at && (*at)->token != msg->token)
		at = &(*at)->chain;
	r = *at;
	if (!r)
		return;
	*at = r->chain;
	ph_requests_answer(core, &r->origin, msg->status, msg->doc,
			   msg->doc_len);
	relay_free(core, r);
}

static bool relay_ended(const struct ph_relay *r, uint64_t now_us,
			const char *addr)
{
	if (addr)
		return !strcmp(r->target, addr);
	return now_us >= r->sent_us + RELAY_TIMEOUT_US;
}

/* Ends the relays to an address or, with addr NULL, those that have timed out.
 * Their requests may have been served: the caller gets a "pending" reply. */
static void end_relays(struct ph_core *core, uint64_t now_us, const char *addr)
{
	size_t i;

	for (i = 0; i < PH_RELAY_BUCKETS; i++) {
		struct ph_relay **at = &core->relays[i];

		while (*at) {
			struct ph_relay *r = *at;

			if (!relay_ended(r, now_us, addr)) {
				at = &r->chain;
				continue;
			}
			*at = r->chain;
			if (r->retry_request) {
				held_append(core, r->retry_request);
				r->retry_request = NULL;
			} else {
				ph_requests_answer_pending(core, &r->origin);
			}
			relay_free(core, r);
		}
	}
}

void ph_requests_target_lost(struct ph_core *core, uint64_t now_us,
			     const char *addr)
{
	if (core->relay_count)
		end_relays(core, now_us, addr);
}

/* ## Routing */

enum route {
	ROUTE_LOCAL,
	ROUTE_PEER,
	/** No instance can serve the request at present. */
	ROUTE_HOLD,
};

static bool peer_reachable(const struct ph_core *core,
			   const struct ph_peer *peer, uint64_t now_us)
{
	return peer && peer->liveness == PH_ALIVE && peer->heard_us &&
	       !ph_peer_silent(core, peer, now_us);
}

/* The primary can't be reached. Once it is dead, its backup serves the request;
 * before, only first attempts, and only while the backup may start solo. */
static enum route route_to_backup(struct ph_core *core, uint64_t now_us,
				  const struct ph_held_request *h,
				  const struct ph_peer *primary, int backup,
				  const struct ph_roster_member **target)
{
	bool dead = primary && primary->liveness != PH_ALIVE;
	const struct ph_roster_member *m;

	if (backup < 0 || !primary)
		return ROUTE_HOLD;
	m = &core->roster.members[backup];
	if (m->incarnation == core->self.incarnation) {
		if (dead)
			return ROUTE_LOCAL;
		if (h->request.attempt == 1 ||
		    !ph_rule(core, PH_RULE_SOLO_FIRST_ATTEMPT))
			if (ph_peer_solo_allowed(core, primary, now_us))
				return ROUTE_LOCAL;
		return ROUTE_HOLD;
	}
	if (!dead ||
	    !peer_reachable(core, ph_peer_by_incarnation(core, m->incarnation),
			    now_us))
		return ROUTE_HOLD;
	*target = m;
	return ROUTE_PEER;
}

static void make_key(char key[PH_KEY_BYTES], const struct ph_request *q)
{
	snprintf(key, PH_KEY_BYTES, "%s/%s", q->team, q->id);
}

static enum route route_in_domain(struct ph_core *core, uint64_t now_us,
				  const struct ph_held_request *h,
				  const struct ph_roster_member **target)
{
	char key[PH_KEY_BYTES];
	struct ph_pair pair;
	struct ph_peer *primary;
	const struct ph_roster_member *m;

	make_key(key, &h->request);
	pair = ph_roster_pair(&core->roster, ph_hash_str(key));
	if (pair.primary < 0)
		return ROUTE_HOLD;
	m = &core->roster.members[pair.primary];
	if (m->incarnation == core->self.incarnation)
		return ROUTE_LOCAL;
	primary = ph_peer_by_incarnation(core, m->incarnation);
	if (!peer_reachable(core, primary, now_us))
		return route_to_backup(core, now_us, h, primary, pair.backup,
				       target);
	*target = m;
	return ROUTE_PEER;
}

/* Routes to the primary of a job whose home is another failure domain. */
static enum route route_to_other_domain(struct ph_core *core,
					const char *domain,
					const struct ph_held_request *h,
					const struct ph_roster_member **target)
{
	char key[PH_KEY_BYTES];
	size_t i;

	make_key(key, &h->request);
	for (i = 0; i < core->foreign_count; i++) {
		struct ph_pair pair;

		if (strcmp(core->foreign[i].domain, domain) != 0)
			continue;
		pair = ph_roster_pair(&core->foreign[i], ph_hash_str(key));
		if (pair.primary < 0)
			return ROUTE_HOLD;
		*target = &core->foreign[i].members[pair.primary];
		return ROUTE_PEER;
	}
	return ROUTE_HOLD;
}

static enum route route(struct ph_core *core, uint64_t now_us,
			const struct ph_held_request *h,
			const struct ph_roster_member **target)
{
	const char *domains[PH_MAX_FOREIGN_DOMAINS * 4];
	size_t count = core->config ? core->config->domain_count : 0;
	size_t i;
	int home;

	for (i = 0; i < count; i++)
		domains[i] = core->config->domains[i];
	home = ph_home_domain(h->request.id, domains, count);
	if (home < 0)
		return ROUTE_HOLD;
	if (strcmp(domains[home], core->domain) != 0)
		return route_to_other_domain(core, domains[home], h, target);
	return route_in_domain(core, now_us, h, target);
}

/* ## Requests served by the job's home */

/* Checks that the configuration has the request's service, team and task kinds;
 * answers the caller if it does not. */
static bool check_against_config(struct ph_core *core,
				 const struct ph_waiter *origin,
				 const struct ph_request *q,
				 const struct ph_spec *spec)
{
	const struct ph_service *service =
		ph_config_service(core->config, q->service);
	char field[PH_ID_BYTES];
	size_t i;

	if (!service) {
		answer_error(core, origin, 404, "service", "unknown service");
		return false;
	}
	if (!ph_config_team(core->config, q->team)) {
		answer_error(core, origin, 401, "team", "unknown team");
		return false;
	}
	for (i = 0; i < spec->count; i++) {
		if (ph_service_kind(service, spec->tasks[i].kind))
			continue;
		snprintf(field, sizeof(field), "/tasks/%zu/kind", i);
		answer_error(core, origin, 422, field, "unknown kind");
		return false;
	}
	return true;
}

uint32_t ph_request_attempt(const char *header, bool hung_up)
{
	if (!header || hung_up)
		return 0;
	return (uint32_t)strtoul(header, NULL, 10);
}

/* Whether an id that is not in the ledger may be served as new: a first attempt
 * always, any other request only if no removed or dead member of the domain can
 * hold the id's job. */
static bool may_accept(struct ph_core *core, const struct ph_request *q,
		       uint64_t key_hash)
{
	struct ph_pair pair = ph_roster_pair(&core->roster, key_hash);
	int self = ph_membership_self(core);
	int other = pair.primary == self ? pair.backup : pair.primary;
	struct ph_peer *partner;

	if (q->attempt == 1 && q->type == PH_REQUEST_SUBMIT)
		return true;
	if (!ph_membership_all_accounted_for(core))
		return false;
	if (other < 0)
		return true;
	partner = ph_peer_by_incarnation(
		core, core->roster.members[other].incarnation);
	return partner && partner->liveness != PH_DEAD_UNACCOUNTED;
}

static uint64_t digest_of(const struct ph_request *q)
{
	return ph_hash(q->body, q->body_len) ^ ph_hash_str(q->service);
}

/* Adds the job of a request to the ledger; the job owns spec. */
static struct ph_job *accept_job(struct ph_core *core, uint64_t now_us,
				 const struct ph_request *q,
				 struct ph_spec *spec)
{
	char key[PH_KEY_BYTES];
	struct ph_job *job;

	make_key(key, q);
	job = ph_ledger_add(&core->ledger, now_us, key, q->service,
			    (uint32_t)spec->count);
	job->digest = digest_of(q);
	job->first_attempt = q->attempt == 1;
	job->accepted_here = true;
	job->live->complete_version = core->roster.version;
	job->live->spec = spec;
	job->live->body = ph_memdup(core->mem, q->body, q->body_len);
	job->live->body_len = q->body_len;
	job->live->deadline_us = now_us + spec->deadline_us;
	core->counters.jobs_accepted++;
	return job;
}

/* Whether the job's tasks exceed its team's limit of queued tasks. */
static bool over_queue_limit(struct ph_core *core, const struct ph_job *job)
{
	struct ph_service_queue *service_queue =
		ph_core_service_queue(core, job->live->service);
	char team[PH_NAME_BYTES];
	const struct ph_team *t;

	ph_key_team(job->key, team);
	t = ph_config_team(core->config, team);
	return t && ph_queue_team_tasks(service_queue->queue, job->key) +
				    job->live->queued >
			    t->queued_max;
}

static void submit_new_job(struct ph_core *core, uint64_t now_us,
			   const struct ph_held_request *h)
{
	const struct ph_request *q = &h->request;
	struct ph_spec *spec = NULL;
	struct ph_fault fault;
	struct ph_job *job;
	int err;

	err = ph_spec_parse(core->mem, q->body ? q->body : "", q->body_len,
			    &spec, &fault);
	if (err) {
		answer_error(core, &h->origin,
			     err == PH_ERR_TOO_LARGE ? 413 : 400, fault.field,
			     fault.what);
		return;
	}
	if (!check_against_config(core, &h->origin, q, spec)) {
		ph_spec_free(spec);
		return;
	}
	job = accept_job(core, now_us, q, spec);
	ph_job_add_waiter(&core->ledger, job, &h->origin);
	if (over_queue_limit(core, job)) {
		ph_dispatch_mark_not_run(core, job);
		ph_dispatch_finish(core, now_us, job);
		return;
	}
	if (ph_dispatch_permission(core, job, now_us, NULL) >=
	    PH_START_WITH_BACKUP)
		ph_queue_add(
			ph_core_service_queue(core, job->live->service)->queue,
			job, ph_config_team(core->config, q->team)->weight);
	/* The backup gets the record of a job that can't start now, too. */
	if (!job->live->enqueued || core->stopping)
		ph_replicate(core, now_us, job, true);
	ph_dispatch_start_queued(core, now_us);
}

/* Records the id as cancelled, so that a later submit of it starts nothing. */
static void cancel_unknown_id(struct ph_core *core, uint64_t now_us,
			      const struct ph_held_request *h)
{
	char key[PH_KEY_BYTES];
	struct ph_job *job;

	make_key(key, &h->request);
	job = ph_ledger_add(&core->ledger, now_us, key, h->request.service, 0);
	job->cancelled = true;
	job->accepted_here = true;
	job->live->complete_version = core->roster.version;
	job->live->deadline_us = now_us;
	ph_job_add_waiter(&core->ledger, job, &h->origin);
	ph_dispatch_finish(core, now_us, job);
}

static void cancel_live_job(struct ph_core *core, uint64_t now_us,
			    struct ph_job *job)
{
	job->cancelled = true;
	ph_dispatch_mark_not_run(core, job);
	if (ph_job_all_final(job))
		ph_dispatch_finish(core, now_us, job);
}

static void serve_known_job(struct ph_core *core, uint64_t now_us,
			    const struct ph_held_request *h, struct ph_job *job)
{
	const struct ph_request *q = &h->request;

	if (q->type == PH_REQUEST_SUBMIT && job->digest &&
	    job->digest != digest_of(q)) {
		answer_error(core, &h->origin, 409, "id",
			     "id was used with another body");
		return;
	}
	if (!job->live) {
		ph_requests_answer_job(core, &h->origin, job);
		return;
	}
	ph_job_add_waiter(&core->ledger, job, &h->origin);
	if (q->type == PH_REQUEST_CANCEL && !job->ended &&
	    ph_dispatch_permission(core, job, now_us, NULL) >=
		    PH_START_WITH_BACKUP)
		cancel_live_job(core, now_us, job);
}

/* Whether an earlier incarnation's ledger held the id: since it was handed
 * over, another instance may have run and ended the job. */
static bool held_by_earlier_ledger(const struct ph_core *core,
				   uint64_t key_hash, uint64_t now_us)
{
	return ph_rule(core, PH_RULE_EARLIER_INCARNATIONS) &&
	       ph_ledger_key_retired(&core->ledger, key_hash, now_us);
}

/* Serves a request as its home; false if that isn't possible yet. */
static bool serve_locally(struct ph_core *core, uint64_t now_us,
			  struct ph_held_request *h)
{
	struct ph_request *q = &h->request;
	char key[PH_KEY_BYTES];
	struct ph_job *job;

	make_key(key, q);
	job = ph_ledger_find(&core->ledger, key);
	if (job) {
		serve_known_job(core, now_us, h, job);
		return true;
	}
	/* Records may have been lost since the request arrived, or an earlier
	 * incarnation held the id: it may have been served already and no
	 * longer counts as a first attempt. */
	if (q->type == PH_REQUEST_SUBMIT &&
	    (h->version < core->roster.continuity_version ||
	     held_by_earlier_ledger(core, ph_hash_str(key), now_us)))
		q->attempt = 0;
	if (!core->active || core->retiring)
		return false;
	if (core->stopping && core->roster.count < 2) {
		ph_requests_answer_pending(core, &h->origin);
		return true;
	}
	if (!may_accept(core, q, ph_hash_str(key))) {
		ph_requests_answer_pending(core, &h->origin);
		return true;
	}
	if (q->type == PH_REQUEST_SUBMIT)
		submit_new_job(core, now_us, h);
	else if (q->type == PH_REQUEST_CANCEL)
		cancel_unknown_id(core, now_us, h);
	else if (q->attempt)
		ph_requests_answer_pending(core, &h->origin);
	else
		answer_error(core, &h->origin, 404, "id", "unknown id");
	return true;
}

/* Routes or serves a request. Returns true and frees or passes on h if it was
 * answered, relayed or accepted; else the calling function still owns h. */
static bool try_request(struct ph_core *core, uint64_t now_us,
			struct ph_held_request *h)
{
	const struct ph_roster_member *target = NULL;

	switch (route(core, now_us, h, &target)) {
	case ROUTE_LOCAL:
		if (!serve_locally(core, now_us, h))
			return false;
		held_free(core, h);
		return true;
	case ROUTE_PEER:
		if (h->hops >= MAX_RELAY_HOPS) {
			ph_requests_answer_pending(core, &h->origin);
			held_free(core, h);
			return true;
		}
		relay(core, now_us, target, h);
		return true;
	case ROUTE_HOLD:
		break;
	}
	return false;
}

static void handle_request(struct ph_core *core, uint64_t now_us,
			   const struct ph_waiter *origin, uint32_t hops,
			   const struct ph_request *request)
{
	struct ph_held_request *h =
		held_new(core, now_us, origin, hops, request);

	core->counters.requests++;
	if (try_request(core, now_us, h))
		return;
	if (core->held_count < PH_MAX_HELD_REQUESTS) {
		held_append(core, h);
		return;
	}
	ph_requests_answer_pending(core, origin);
	held_free(core, h);
}

void ph_requests_retry(struct ph_core *core, uint64_t now_us)
{
	struct ph_held_request *h = core->held_head;

	core->held_head = NULL;
	core->held_tail = NULL;
	core->held_count = 0;
	while (h) {
		struct ph_held_request *next = h->next;

		if (try_request(core, now_us, h)) {
			h = next;
			continue;
		}
		if (now_us >= h->since_us + core->opt.hold_us) {
			ph_requests_answer_pending(core, &h->origin);
			held_free(core, h);
		} else {
			held_append(core, h);
		}
		h = next;
	}
}

void ph_core_request(struct ph_core *core, uint64_t now_us, uint64_t token,
		     const struct ph_request *request)
{
	struct ph_waiter origin = { .token = token };

	ph_core_enter(core, now_us);
	if (!core->config) {
		ph_requests_answer_pending(core, &origin);
		return;
	}
	handle_request(core, now_us, &origin, 0, request);
	ph_replicate_flush(core, now_us);
}

void ph_requests_message(struct ph_core *core, uint64_t now_us,
			 const struct ph_msg *msg)
{
	struct ph_waiter origin = { .token = msg->token };

	ph_strcopy(origin.addr, sizeof(origin.addr), msg->addr);
	if (msg->subject_incarnation != core->self.incarnation) {
		ph_requests_answer_pending(core, &origin);
		return;
	}
	if (!core->config) {
		ph_requests_answer_pending(core, &origin);
		return;
	}
	handle_request(core, now_us, &origin, msg->hops, &msg->request);
}

void ph_requests_forward_waiters(struct ph_core *core, uint64_t now_us,
				 struct ph_job *job)
{
	struct ph_live_job *live = job->live;
	char team[PH_NAME_BYTES];
	struct ph_request q = { .type = PH_REQUEST_WAIT };
	size_t count = live->waiter_count;
	size_t i;

	live->waiter_count = 0;
	ph_key_team(job->key, team);
	/* The job exists: with a nonzero attempt, an instance that has not
	 * received its record replies "pending" rather than "unknown id". */
	q.attempt = 1;
	q.team = team;
	q.service = live->service;
	q.id = strchr(job->key, '/') + 1;
	for (i = 0; i < count; i++) {
		struct ph_held_request *h =
			held_new(core, now_us, &live->waiters[i], 0, &q);
		const struct ph_roster_member *target = NULL;

		if (route(core, now_us, h, &target) == ROUTE_PEER)
			relay(core, now_us, target, h);
		else if (core->held_count < PH_MAX_HELD_REQUESTS)
			held_append(core, h);
		else
			held_free(core, h);
	}
}

void ph_requests_tick(struct ph_core *core, uint64_t now_us)
{
	if (core->held_head)
		ph_requests_retry(core, now_us);
}

void ph_requests_free(struct ph_core *core)
{
	struct ph_held_request *h = core->held_head;
	size_t i;

	while (h) {
		struct ph_held_request *next = h->next;

		held_free(core, h);
		h = next;
	}
	for (i = 0; i < PH_RELAY_BUCKETS; i++) {
		struct ph_relay *r = core->relays[i];

		while (r) {
			struct ph_relay *next = r->chain;

			relay_free(core, r);
			r = next;
		}
	}
}
