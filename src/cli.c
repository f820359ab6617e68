#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cli.h"
#include "client.h"
#include "config.h"
#include "ident.h"
#include "platform.h"
#include "settings.h"

#define URL_BYTES 512
#define READ_CHUNK_BYTES 65536

size_t ph_cli_split(char *text, const char **parts, size_t max)
{
	size_t count = 0;
	char *save = NULL;
	char *part;

	for (part = strtok_r(text, ",", &save); part && count < max;
	     part = strtok_r(NULL, ",", &save))
		parts[count++] = part;
	return count;
}

char *ph_cli_read_file(const char *path, size_t *len)
{
	FILE *file = strcmp(path, "-") != 0 ? fopen(path, "rb") : stdin;
	struct ph_buf buf;
	char data[READ_CHUNK_BYTES];
	size_t n;

	if (!file)
		return NULL;
	ph_buf_init(&buf, ph_mem_default());
	ph_buf_put(&buf, "", 0);
	while ((n = fread(data, 1, sizeof(data), file)))
		ph_buf_put(&buf, data, n);
	if (file != stdin)
		fclose(file);
	*len = buf.len;
	return ph_buf_detach(&buf);
}

/* ## Requests for one job */

struct job_options {
	const char *entry;
	const char *key;
	const char *service;
};

/* Prints and frees an answer. Returns the exit status, which is a success only
 * if the job is complete. */
static int print_answer(const char *program, char *answer, int http_status)
{
	int status = PH_EXIT_FAILED;

	if (!answer) {
		fprintf(stderr, "%s: no answer from the entry instance\n",
			program);
		return PH_EXIT_FAILED;
	}
	printf("%s\n", answer);
	if (http_status == 200 && strstr(answer, "\"state\":\"complete\""))
		status = PH_EXIT_OK;
	free(answer);
	return status;
}

/* Runs a subcommand that sends one request for the job ID; body tells whether
 * the request carries the content of the operand FILE. */
static int call_job(const char *program, const char *summary,
		    const char *method, bool body, int argc, char **argv)
{
	struct job_options o = { 0 };
	struct ph_setting list[] = {
		{ .flag = "entry",
		  .type = PH_SETTING_TEXT,
		  .fallback = "http://127.0.0.1:8080",
		  .help = "base URL of an entry instance",
		  .text = &o.entry },
		{ .flag = "key",
		  .type = PH_SETTING_TEXT,
		  .help = "the team's key",
		  .text = &o.key },
		{ .flag = "service",
		  .type = PH_SETTING_NAME,
		  .help = "service of the job",
		  .text = &o.service },
	};
	struct ph_settings settings = {
		.program = program,
		.summary = summary,
		.list = list,
		.count = 3,
		.operands = body ? "ID FILE" : "ID",
		.max_operands = body ? 2 : 1,
	};
	int status = ph_settings_load(&settings, argc, argv);
	char url[URL_BYTES];
	char *text = NULL;
	char *answer;
	size_t len;

	if (status >= 0)
		return status;
	if (settings.operand_count != settings.max_operands) {
		fprintf(stderr, "%s: %s is required\n", program,
			settings.operands);
		return PH_EXIT_USAGE;
	}
	if (body) {
		text = ph_cli_read_file(settings.operand[1], &len);
		if (!text) {
			fprintf(stderr, "%s: can't read %s\n", program,
				settings.operand[1]);
			return PH_EXIT_USAGE;
		}
	}
	snprintf(url, sizeof(url), "%s/v1/services/%s/jobs/%s", o.entry,
		 o.service, settings.operand[0]);
	answer = ph_client_call(ph_mem_default(), method, url, o.key, text,
				&status);
	free(text);
	return print_answer(program, answer, status);
}

int ph_cli_submit(int argc, char **argv)
{
	return call_job("peridothall submit",
			"Submits a job document and waits for the answer.",
			"POST", true, argc, argv);
}

int ph_cli_status(int argc, char **argv)
{
	return call_job("peridothall status", "Waits for the answer of a job.",
			"GET", false, argc, argv);
}

int ph_cli_cancel(int argc, char **argv)
{
	return call_job("peridothall cancel",
			"Cancels the tasks of a job that have not started.",
			"DELETE", false, argc, argv);
}

/* ## State */

int ph_cli_state(int argc, char **argv)
{
	const char *entry;
	struct ph_setting list[] = {
		{ .flag = "entry",
		  .type = PH_SETTING_TEXT,
		  .fallback = "http://127.0.0.1:8080",
		  .help = "base URL of an entry instance",
		  .text = &entry },
	};
	struct ph_settings settings = {
		.program = "peridothall state",
		.summary = "Prints the state of an entry instance.",
		.list = list,
		.count = 1,
	};
	int status = ph_settings_load(&settings, argc, argv);
	char url[URL_BYTES];
	char *text;

	if (status >= 0)
		return status;
	snprintf(url, sizeof(url), "%s/v1/state", entry);
	text = ph_client_call(ph_mem_default(), "GET", url, NULL, NULL,
			      &status);
	if (!text) {
		fprintf(stderr, "state: no answer from %s\n", entry);
		return PH_EXIT_FAILED;
	}
	printf("%s", text);
	free(text);
	return PH_EXIT_OK;
}

/* ## Evacuation */

int ph_cli_evacuate(int argc, char **argv)
{
	const char *platform;
	uint64_t end;
	struct ph_setting list[] = {
		{ .flag = "platform",
		  .type = PH_SETTING_TEXT,
		  .help = "base URL of the platform",
		  .text = &platform },
		{ .flag = "end",
		  .type = PH_SETTING_FLAG,
		  .fallback = "0",
		  .help = "end the evacuation",
		  .number = &end },
	};
	struct ph_settings settings = {
		.program = "peridothall evacuate",
		.summary = "Has no task start in a failure domain until the "
			   "evacuation is ended.",
		.list = list,
		.count = 2,
		.operands = "DOMAIN",
		.max_operands = 1,
	};
	int status = ph_settings_load(&settings, argc, argv);
	char url[URL_BYTES];
	char *answer;
	bool written;

	if (status >= 0)
		return status;
	if (settings.operand_count != 1 ||
	    !ph_name_valid(settings.operand[0])) {
		fprintf(stderr, "evacuate: a valid DOMAIN is required\n");
		return PH_EXIT_USAGE;
	}
	snprintf(url, sizeof(url), "%s/v1/kv/" PH_KEY_EVACUATION "%s", platform,
		 settings.operand[0]);
	answer = ph_client_call(ph_mem_default(), "PUT", url, NULL,
				end ? PH_EVACUATION_OFF : PH_EVACUATION_ON,
				&status);
	written = answer && status == 200 && !strncmp(answer, "true", 4);
	free(answer);
	if (!written) {
		fprintf(stderr,
			"evacuate: no confirmation from %s; the request may or "
			"may not be in force\n",
			platform);
		return PH_EXIT_FAILED;
	}
	printf("%s: evacuation %s\n", settings.operand[0],
	       end ? "ended" : "requested");
	return PH_EXIT_OK;
}

/* ## Configuration */

static void print_fault(void *ctx, const struct ph_fault *fault)
{
	(void)ctx;
	fprintf(stderr, "config: %s: %s\n", fault->field, fault->what);
}

static int config_check(const char *path)
{
	const struct ph_mem *mem = ph_mem_default();
	struct ph_config *config;
	size_t len;
	char *text = ph_cli_read_file(path, &len);
	int err;

	if (!text) {
		fprintf(stderr, "config: can't read %s\n", path);
		return PH_EXIT_USAGE;
	}
	err = ph_config_parse(mem, text, len, &config, print_fault, NULL);
	free(text);
	if (err)
		return PH_EXIT_FAILED;
	printf("%zu services, %zu teams, %zu domains: valid\n",
	       config->service_count, config->team_count, config->domain_count);
	ph_config_free(config);
	return PH_EXIT_OK;
}

int ph_cli_config(int argc, char **argv)
{
	struct ph_settings settings = {
		.program = "peridothall config",
		.summary = "check FILE: validates a configuration document, "
			   "offline.",
		.operands = "check FILE",
		.max_operands = 2,
	};
	int status = ph_settings_load(&settings, argc, argv);

	if (status >= 0)
		return status;
	if (settings.operand_count != 2 ||
	    strcmp(settings.operand[0], "check") != 0) {
		fprintf(stderr, "config: 'check FILE' is required\n");
		return PH_EXIT_USAGE;
	}
	return config_check(settings.operand[1]);
}
