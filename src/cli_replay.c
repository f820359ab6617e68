#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "cli.h"
#include "client.h"
#include "settings.h"

#define MAX_URLS 32U
#define US_PER_MS 1000U
#define URL_BYTES 512

/* Options of a replay and the jobs that it submits. */
struct replay {
	/** Value of --entries; entries points into it. */
	const char *entries_text;
	const char *keys_path;
	/** Value of --counts; standins points into it. */
	const char *counts_text;
	uint64_t slots;
	uint64_t speed_percent;
	uint64_t caller_timeout_us;
	uint64_t attempt_us;
	uint64_t json;
	uint64_t quiet;
	/** Bearer keys by team. */
	json_t *keys;
	/** Base URLs of entry instances. */
	const char *entries[MAX_URLS];
	size_t entry_count;
	/** Base URLs of endpoint stand-ins, which count the starts of tasks. */
	const char *standins[MAX_URLS];
	size_t standin_count;
	struct ph_client_job *jobs;
	size_t job_count;
};

/* Results of a replay. */
struct tally {
	/** Number of jobs by enum ph_client_outcome. */
	size_t by_outcome[PH_CLIENT_INVALID_ANSWER + 1];
	size_t tasks;
	size_t attempts;
	/** During the replay, as counted by add_messages. */
	uint64_t messages;
	uint64_t peer_bytes;
	/** Tasks that endpoints started more than once. */
	uint64_t started_twice;
	/** Starts of tasks at endpoints. */
	uint64_t starts;
	/** Quantiles of the response time over the ideal one. */
	double p50;
	double p99;
	double p999;
};

static const char *key_of(void *ctx, const char *team)
{
	struct replay *r = ctx;
	const char *key = json_string_value(json_object_get(r->keys, team));

	return key ? key : "";
}

static void progress(void *ctx, size_t ended, size_t total)
{
	struct replay *r = ctx;

	if (!r->quiet && isatty(STDERR_FILENO))
		fprintf(stderr, "\rreplay: %zu of %zu jobs ended", ended,
			total);
}

/* ## Reading the job file */

/* Run time that a task's payload asks of a stand-in. */
static double task_run_us(json_t *task)
{
	json_t *payload = json_object_get(task, "payload");

	return json_number_value(json_object_get(payload, "run_ms")) *
	       US_PER_MS;
}

/* Shortest possible response time of a job: the run time of its longest task,
 * or of all its tasks spread evenly over the slots if that is longer. */
static uint64_t ideal_us(json_t *tasks, uint64_t slots)
{
	double longest = 0;
	double sum = 0;
	json_t *task;
	size_t i;

	json_array_foreach (tasks, i, task) {
		double us = task_run_us(task);

		sum += us;
		if (us > longest)
			longest = us;
	}
	if (slots && sum / (double)slots > longest)
		longest = sum / (double)slots;
	return (uint64_t)longest;
}

/* Fills in a job from its line of the file; false if the line is malformed. */
static bool read_job(struct replay *r, json_t *line, struct ph_client_job *job)
{
	const char *team;
	const char *service;
	const char *id;
	json_int_t at_ms = 0;
	json_int_t deadline_ms = 0;
	json_t *tasks;
	json_t *body;

	if (json_unpack(line, "{s:s,s:s,s:s,s?I,s?I,s:o}", "team", &team,
			"service", &service, "id", &id, "at_ms", &at_ms,
			"deadline_ms", &deadline_ms, "tasks", &tasks))
		return false;
	ph_strcopy(job->team, sizeof(job->team), team);
	ph_strcopy(job->service, sizeof(job->service), service);
	ph_strcopy(job->id, sizeof(job->id), id);
	job->at_us = (uint64_t)at_ms * US_PER_MS * 100 / r->speed_percent;
	job->task_count = (uint32_t)json_array_size(tasks);
	job->ideal_us = ideal_us(tasks, r->slots);
	body = json_object();
	json_object_set(body, "tasks", tasks);
	if (deadline_ms)
		json_object_set_new(body, "deadline_ms",
				    json_integer(deadline_ms));
	job->body = json_dumps(body, JSON_COMPACT);
	job->body_len = strlen(job->body);
	json_decref(body);
	return true;
}

static int compare_times(const void *a, const void *b)
{
	const struct ph_client_job *x = a;
	const struct ph_client_job *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* Reads the jobs of a file and sorts them by time; returns an exit status. */
static int read_jobs(struct replay *r, char *text)
{
	const struct ph_mem *mem = ph_mem_default();
	size_t cap = 0;
	size_t line_no = 0;
	char *save = NULL;
	char *line;

	for (line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		json_t *doc = json_loads(line, 0, NULL);

		line_no++;
		if (r->job_count == cap) {
			cap = cap ? cap * 2 : 256;
			r->jobs = mem->realloc(r->jobs, cap * sizeof(*r->jobs));
		}
		memset(&r->jobs[r->job_count], 0, sizeof(*r->jobs));
		if (!doc || !read_job(r, doc, &r->jobs[r->job_count])) {
			fprintf(stderr,
				"replay: line %zu of the job file is not a "
				"valid job\n",
				line_no);
			json_decref(doc);
			return PH_EXIT_USAGE;
		}
		r->job_count++;
		json_decref(doc);
	}
	qsort(r->jobs, r->job_count, sizeof(*r->jobs), compare_times);
	return PH_EXIT_OK;
}

/* ## Counters of the instances and stand-ins */

/* Gets a JSON document by HTTP; NULL if there is none. */
static json_t *fetch_json(const char *base, const char *path)
{
	char url[URL_BYTES];
	int status;
	char *text;
	json_t *doc = NULL;

	snprintf(url, sizeof(url), "%s%s", base, path);
	text = ph_client_call(ph_mem_default(), "GET", url, NULL, NULL,
			      &status);
	if (text)
		doc = json_loads(text, 0, NULL);
	free(text);
	return doc;
}

static uint64_t integer_of(json_t *doc, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(doc, key));
}

/* Adds the messages and bytes of all instances since their start: messages to
 * each other, and two for each HTTP call to an endpoint or the platform, its
 * request and its response. The bytes are those sent to other instances. */
static void add_messages(const struct replay *r, uint64_t *messages,
			 uint64_t *bytes)
{
	size_t i;

	for (i = 0; i < r->entry_count; i++) {
		json_t *doc = fetch_json(r->entries[i], "/v1/state");
		json_t *process = json_object_get(doc, "process");
		json_t *core = json_object_get(doc, "core");
		json_t *c = json_object_get(core, "counters");

		*messages += integer_of(c, "messages_sent") +
			     2 * integer_of(process, "endpoint_calls") +
			     2 * integer_of(c, "platform_calls") +
			     2 * integer_of(process, "watch_calls");
		*bytes += integer_of(process, "peer_bytes_sent");
		json_decref(doc);
	}
}

static void add_starts(const struct replay *r, struct tally *t)
{
	size_t i;

	for (i = 0; i < r->standin_count; i++) {
		json_t *doc = fetch_json(r->standins[i], "/standin/counts");

		t->starts += integer_of(doc, "starts");
		t->started_twice += integer_of(doc, "doubled");
		json_decref(doc);
	}
}

/* ## Report */

static int compare_values(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const double *sorted, size_t count, double q)
{
	size_t index = (size_t)(q * (double)count);

	if (!count)
		return 0;
	return sorted[index < count ? index : count - 1];
}

static void tally_jobs(const struct replay *r, struct tally *t)
{
	double *ratios = calloc(r->job_count + 1, sizeof(*ratios));
	size_t n = 0;
	size_t i;

	for (i = 0; i < r->job_count; i++) {
		const struct ph_client_job *job = &r->jobs[i];

		t->by_outcome[job->outcome]++;
		t->tasks += job->task_count;
		t->attempts += job->attempts;
		if (job->outcome == PH_CLIENT_COMPLETE && job->ideal_us)
			ratios[n++] = (double)job->response_us /
				      (double)job->ideal_us;
	}
	qsort(ratios, n, sizeof(*ratios), compare_values);
	t->p50 = quantile(ratios, n, 0.5);
	t->p99 = quantile(ratios, n, 0.99);
	t->p999 = quantile(ratios, n, 0.999);
	free(ratios);
}

static double per_task(uint64_t n, const struct tally *t)
{
	return t->tasks ? (double)n / (double)t->tasks : 0;
}

static void print_json(const struct replay *r, const struct tally *t)
{
	printf("{\"jobs\":%zu,\"tasks\":%zu,\"attempts\":%zu,"
	       "\"complete\":%zu,\"failed\":%zu,\"rejected\":%zu,"
	       "\"lost\":%zu,\"wrong\":%zu,\"starts\":%llu,"
	       "\"doubled\":%llu,\"p50\":%.3f,\"p99\":%.3f,\"p999\":%.3f,"
	       "\"messages_per_task\":%.3f,\"peer_bytes_per_task\":%.1f}\n",
	       r->job_count, t->tasks, t->attempts,
	       t->by_outcome[PH_CLIENT_COMPLETE],
	       t->by_outcome[PH_CLIENT_FAILED],
	       t->by_outcome[PH_CLIENT_REJECTED],
	       t->by_outcome[PH_CLIENT_NO_ANSWER],
	       t->by_outcome[PH_CLIENT_INVALID_ANSWER],
	       (unsigned long long)t->starts,
	       (unsigned long long)t->started_twice, t->p50, t->p99, t->p999,
	       per_task(t->messages, t), per_task(t->peer_bytes, t));
}

static void print_table(const struct replay *r, const struct tally *t)
{
	printf("jobs                 %zu with %zu tasks, %zu attempts\n",
	       r->job_count, t->tasks, t->attempts);
	printf("complete             %zu\n", t->by_outcome[PH_CLIENT_COMPLETE]);
	printf("failed               %zu\n", t->by_outcome[PH_CLIENT_FAILED]);
	printf("rejected             %zu\n", t->by_outcome[PH_CLIENT_REJECTED]);
	printf("lost                 %zu\n",
	       t->by_outcome[PH_CLIENT_NO_ANSWER]);
	printf("invalid answers      %zu\n",
	       t->by_outcome[PH_CLIENT_INVALID_ANSWER]);
	if (r->standin_count)
		printf("starts               %llu; tasks started twice: %llu\n",
		       (unsigned long long)t->starts,
		       (unsigned long long)t->started_twice);
	printf("response over ideal  p50 %.2f  p99 %.2f  p99.9 %.2f\n", t->p50,
	       t->p99, t->p999);
	printf("messages per task    %.2f, of which 2 are the task's own "
	       "call\n",
	       per_task(t->messages, t));
	printf("peer bytes per task  %.0f\n", per_task(t->peer_bytes, t));
}

/* Jobs may fail, but each must be accepted and get a valid answer, and no task
 * may be started twice. */
static int exit_status(const struct tally *t)
{
	if (t->by_outcome[PH_CLIENT_NO_ANSWER] ||
	    t->by_outcome[PH_CLIENT_INVALID_ANSWER] ||
	    t->by_outcome[PH_CLIENT_REJECTED] || t->started_twice)
		return PH_EXIT_FAILED;
	return PH_EXIT_OK;
}

static int run(struct replay *r)
{
	struct ph_client_options options = {
		.mem = ph_mem_default(),
		.entries = r->entries,
		.entry_count = r->entry_count,
		.key_of = key_of,
		.progress = progress,
		.ctx = r,
		.attempt_us = r->attempt_us,
		.caller_timeout_us = r->caller_timeout_us,
		.mark_first_attempts = true,
	};
	struct tally t = { 0 };
	uint64_t messages_before = 0;
	uint64_t bytes_before = 0;

	add_messages(r, &messages_before, &bytes_before);
	ph_client_run(&options, r->jobs, r->job_count);
	if (!r->quiet && isatty(STDERR_FILENO))
		fprintf(stderr, "\r%60s\r", "");
	add_messages(r, &t.messages, &t.peer_bytes);
	/* Counters are lower than before if an instance was restarted. */
	t.messages -=
		t.messages > messages_before ? messages_before : t.messages;
	t.peer_bytes -=
		t.peer_bytes > bytes_before ? bytes_before : t.peer_bytes;
	add_starts(r, &t);
	tally_jobs(r, &t);
	if (r->json)
		print_json(r, &t);
	else
		print_table(r, &t);
	return exit_status(&t);
}

/* Reads the options' files; returns an exit status. */
static int prepare(struct replay *r, const char *path)
{
	size_t len;
	char *keys = ph_cli_read_file(r->keys_path, &len);
	char *text;
	int status;

	r->keys = keys ? json_loads(keys, 0, NULL) : NULL;
	free(keys);
	if (!r->keys) {
		fprintf(stderr, "replay: --keys: %s is not a JSON file\n",
			r->keys_path);
		return PH_EXIT_USAGE;
	}
	if (!r->speed_percent) {
		fprintf(stderr, "replay: --speed-percent must be above 0\n");
		return PH_EXIT_USAGE;
	}
	r->entry_count =
		ph_cli_split((char *)r->entries_text, r->entries, MAX_URLS);
	if (r->counts_text)
		r->standin_count = ph_cli_split((char *)r->counts_text,
						r->standins, MAX_URLS);
	text = ph_cli_read_file(path, &len);
	if (!text) {
		fprintf(stderr, "replay: can't read %s\n", path);
		return PH_EXIT_USAGE;
	}
	status = read_jobs(r, text);
	free(text);
	return status;
}

int ph_cli_replay(int argc, char **argv)
{
	struct replay r = { 0 };
	struct ph_setting list[] = {
		{ .flag = "entries",
		  .type = PH_SETTING_TEXT,
		  .help = "base URLs of entry instances, comma-separated",
		  .text = &r.entries_text },
		{ .flag = "keys",
		  .type = PH_SETTING_TEXT,
		  .help = "JSON file of team names and their keys",
		  .text = &r.keys_path },
		{ .flag = "counts",
		  .type = PH_SETTING_TEXT,
		  .fallback = "",
		  .help = "base URLs of endpoint stand-ins, whose counts of "
			  "starts are reported",
		  .text = &r.counts_text },
		{ .flag = "slots",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "0",
		  .help = "slots assumed for the ideal response time, 0: one "
			  "for each task",
		  .number = &r.slots },
		{ .flag = "speed-percent",
		  .type = PH_SETTING_NUMBER,
		  .fallback = "100",
		  .help = "speed of the replay, 200: in half the time",
		  .number = &r.speed_percent },
		{ .flag = "attempt-ms",
		  .type = PH_SETTING_MS,
		  .fallback = "10000",
		  .help = "time limit of one attempt",
		  .number = &r.attempt_us },
		{ .flag = "give-up-ms",
		  .type = PH_SETTING_MS,
		  .fallback = "60000",
		  .help = "time limit of all attempts of a job",
		  .number = &r.caller_timeout_us },
		{ .flag = "json",
		  .type = PH_SETTING_FLAG,
		  .fallback = "0",
		  .help = "report as JSON",
		  .number = &r.json },
		{ .flag = "quiet",
		  .type = PH_SETTING_FLAG,
		  .fallback = "0",
		  .help = "no progress line",
		  .number = &r.quiet },
	};
	struct ph_settings settings = {
		.program = "peridothall replay",
		.summary = "Submits a file of jobs, one JSON document a line.",
		.list = list,
		.count = sizeof(list) / sizeof(list[0]),
		.operands = "FILE",
		.max_operands = 1,
	};
	int status = ph_settings_load(&settings, argc, argv);
	size_t i;

	if (status >= 0)
		return status;
	if (settings.operand_count != 1) {
		fprintf(stderr, "replay: FILE is required\n");
		return PH_EXIT_USAGE;
	}
	status = prepare(&r, settings.operand[0]);
	if (!status)
		status = run(&r);
	for (i = 0; i < r.job_count; i++)
		free(r.jobs[i].body);
	free(r.jobs);
	json_decref(r.keys);
	return status;
}
