#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "client.h"
#include "httpc.h"
#include "mailbox.h"

#define US_PER_S 1000000U
/* Delay between an attempt without outcome and the next. */
#define RETRY_DELAY_US 150000U
/* Longest wait for results, after which attempts that are due are sent. */
#define POLL_TIMEOUT_US 20000U
#define PROGRESS_INTERVAL_US 500000U
/* Time limit of ph_client_call. */
#define CALL_TIMEOUT_US 30000000U
#define URL_BYTES 512
#define HEADER_BYTES 256
#define CONNECTIONS_PER_HOST 1024U

/* The result of an attempt, passed from the HTTP client's thread. */
struct mail {
	struct ph_mail base;
	struct ph_client_job *job;
	uint64_t at_us;
	int err;
	int status;
	char *data;
	size_t len;
};

struct run {
	const struct ph_client_options *opt;
	struct ph_mailbox *box;
	struct ph_httpc *http;
	struct ph_client_job *jobs;
	size_t count;
	/** Number of jobs submitted at least once. */
	size_t sent;
	/** Number of jobs with an outcome. */
	size_t ended;
	uint64_t start_us;
	/** Jobs that wait to be submitted again. */
	struct ph_client_job **retries;
	size_t retry_count;
};

static void on_done(void *ctx, void *user, const struct ph_http_result *result)
{
	struct run *run = ctx;
	struct mail *m = run->opt->mem->calloc(1, sizeof(*m));

	m->job = user;
	m->at_us = ph_clock_us();
	m->err = result->err;
	m->status = result->status;
	m->data = ph_memdup(run->opt->mem, result->body, result->body_len);
	m->len = result->body_len;
	ph_mailbox_put(run->box, &m->base);
}

static void submit(struct run *run, struct ph_client_job *job)
{
	const struct ph_client_options *opt = run->opt;
	char url[URL_BYTES];
	char auth[HEADER_BYTES];
	char attempt[HEADER_BYTES] = "";
	struct ph_http_call call = {
		.method = "POST",
		.url = url,
		.headers = { "Content-Type: application/json", auth, attempt },
		.body = job->body,
		.body_len = job->body_len,
		.timeout_us = opt->attempt_us,
		.user = job,
	};

	job->attempts++;
	snprintf(url, sizeof(url), "%s/v1/services/%s/jobs/%s",
		 opt->entries[job->next_entry % opt->entry_count], job->service,
		 job->id);
	snprintf(auth, sizeof(auth), "Authorization: Bearer %s",
		 opt->key_of(opt->ctx, job->team));
	if (job->attempts > 1 || opt->mark_first_attempts)
		snprintf(attempt, sizeof(attempt), "Attempt: %u",
			 job->attempts);
	else
		call.headers[2] = NULL;
	job->next_entry++;
	ph_httpc_send(run->http, &call);
}

/* Counts the tasks of each class in an answer. */
static void count_classes(struct ph_client_job *job, json_t *tasks)
{
	json_t *item;
	size_t i;

	json_array_foreach (tasks, i, item) {
		const char *class =
			json_string_value(json_object_get(item, "class"));

		if (!class)
			continue;
		job->done += !strcmp(class, "done");
		job->not_run += !strcmp(class, "not-run");
		job->may_have_run += !strcmp(class, "may-have-run");
	}
}

/* Sets the outcome by an answer with status 200. It must carry the job's id and
 * the class of each task, all done if its state is "complete". */
static void check_answer(struct ph_client_job *job, const struct mail *m)
{
	json_t *doc = json_loadb(m->data, m->len, 0, NULL);
	const char *id = json_string_value(json_object_get(doc, "id"));
	const char *state = json_string_value(json_object_get(doc, "state"));
	json_t *tasks = json_object_get(doc, "tasks");
	bool complete = state && !strcmp(state, "complete");
	uint32_t classified;

	count_classes(job, tasks);
	classified = job->done + job->not_run + job->may_have_run;
	if (!id || strcmp(id, job->id) != 0 || classified != job->task_count ||
	    (complete && job->done != job->task_count))
		job->outcome = PH_CLIENT_INVALID_ANSWER;
	else
		job->outcome = complete ? PH_CLIENT_COMPLETE : PH_CLIENT_FAILED;
	json_decref(doc);
}

static void finish(struct run *run, struct ph_client_job *job,
		   enum ph_client_outcome outcome)
{
	job->outcome = outcome;
	run->ended++;
}

/* Handles and frees the result of an attempt: ends the job, or has it submitted
 * again. */
static void handle_result(struct run *run, struct mail *m)
{
	struct ph_client_job *job = m->job;
	uint64_t scheduled_us = run->start_us + job->at_us;

	job->status = m->status;
	if (!m->err && m->status == 200) {
		job->response_us = m->at_us - scheduled_us;
		check_answer(job, m);
		run->ended++;
		if (run->opt->keep_answers) {
			job->answer = m->data;
			m->data = NULL;
		}
	} else if (!m->err && m->status >= 400 && m->status < 500) {
		finish(run, job, PH_CLIENT_REJECTED);
		if (run->opt->keep_answers) {
			job->answer = m->data;
			m->data = NULL;
		}
	} else if (m->at_us > scheduled_us + run->opt->caller_timeout_us) {
		finish(run, job, PH_CLIENT_NO_ANSWER);
	} else {
		job->due_us = m->at_us + RETRY_DELAY_US;
		run->retries[run->retry_count++] = job;
	}
	run->opt->mem->free(m->data);
	run->opt->mem->free(m);
}

/* Submits the jobs and retries whose time has come. */
static void submit_due(struct run *run)
{
	uint64_t now = ph_clock_us();
	size_t i = 0;

	while (run->sent < run->count &&
	       now >= run->start_us + run->jobs[run->sent].at_us)
		submit(run, &run->jobs[run->sent++]);
	while (i < run->retry_count) {
		struct ph_client_job *job = run->retries[i];

		if (now < job->due_us) {
			i++;
			continue;
		}
		run->retries[i] = run->retries[--run->retry_count];
		submit(run, job);
	}
}

/* Time until the next job is scheduled, at most POLL_TIMEOUT_US. */
static uint64_t wait_time_us(const struct run *run)
{
	uint64_t now = ph_clock_us();
	uint64_t next;

	if (run->sent == run->count)
		return POLL_TIMEOUT_US;
	next = run->start_us + run->jobs[run->sent].at_us;
	if (next <= now)
		return 1;
	return next - now < POLL_TIMEOUT_US ? next - now : POLL_TIMEOUT_US;
}

static void run_jobs(struct run *run)
{
	uint64_t shown_us = ph_clock_us();

	while (run->ended < run->count) {
		struct ph_mail *mail;

		submit_due(run);
		mail = ph_mailbox_take(run->box, wait_time_us(run));
		while (mail) {
			struct ph_mail *next = mail->next;

			handle_result(run, (struct mail *)mail);
			mail = next;
		}
		if (!run->opt->progress ||
		    ph_clock_us() < shown_us + PROGRESS_INTERVAL_US)
			continue;
		shown_us = ph_clock_us();
		run->opt->progress(run->opt->ctx, run->ended, run->count);
	}
}

void ph_client_run(const struct ph_client_options *options,
		   struct ph_client_job *jobs, size_t count)
{
	struct run run = { .opt = options, .jobs = jobs, .count = count };
	struct ph_httpc_options http = {
		.mem = options->mem,
		.connections_per_host = CONNECTIONS_PER_HOST,
		.done = on_done,
		.ctx = &run,
	};
	size_t i;

	for (i = 0; i < count; i++)
		if (!jobs[i].next_entry)
			jobs[i].next_entry = (uint32_t)i;
	run.box = ph_mailbox_new(options->mem);
	run.retries = options->mem->calloc(count, sizeof(*run.retries));
	run.http = ph_httpc_new(&http);
	run.start_us = ph_clock_us();
	run_jobs(&run);
	ph_httpc_free(run.http);
	ph_mailbox_free(run.box);
	options->mem->free(run.retries);
}

/* ## Single calls */

struct single_call {
	const struct ph_mem *mem;
	struct ph_mailbox *box;
};

static void on_single_done(void *ctx, void *user,
			   const struct ph_http_result *result)
{
	struct single_call *s = ctx;
	struct mail *m = s->mem->calloc(1, sizeof(*m));

	(void)user;
	m->err = result->err;
	m->status = result->status;
	m->data = ph_memdup(s->mem, result->body, result->body_len);
	ph_mailbox_put(s->box, &m->base);
}

char *ph_client_call(const struct ph_mem *mem, const char *method,
		     const char *url, const char *key, const char *body,
		     int *status)
{
	struct single_call s = { mem, ph_mailbox_new(mem) };
	struct ph_httpc_options options = {
		.mem = mem,
		.done = on_single_done,
		.ctx = &s,
	};
	struct ph_httpc *http = ph_httpc_new(&options);
	char auth[HEADER_BYTES];
	struct ph_http_call call = {
		.method = method,
		.url = url,
		.headers = { key ? auth : NULL },
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = CALL_TIMEOUT_US,
	};
	struct mail *m = NULL;
	char *data;

	if (key)
		snprintf(auth, sizeof(auth), "Authorization: Bearer %s", key);
	ph_httpc_send(http, &call);
	while (!m)
		m = (struct mail *)ph_mailbox_take(s.box, US_PER_S);
	data = m->data;
	*status = m->status;
	if (m->err) {
		mem->free(data);
		data = NULL;
	}
	mem->free(m);
	ph_httpc_free(http);
	ph_mailbox_free(s.box);
	return data;
}
