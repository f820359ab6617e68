#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "cli.h"
#include "settings.h"

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{ "submit", ph_cli_submit, "submit a job and wait for its answer" },
	{ "status", ph_cli_status, "wait for the answer of a job" },
	{ "cancel", ph_cli_cancel, "cancel a job" },
	{ "replay", ph_cli_replay, "submit a file of jobs and print a report" },
	{ "config", ph_cli_config, "check a configuration document" },
	{ "state", ph_cli_state, "print the state of an entry instance" },
	{ "evacuate", ph_cli_evacuate, "start no tasks in a failure domain" },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void usage(FILE *out)
{
	size_t i;

	fprintf(out, "Usage: peridothall COMMAND [--help] ...\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
}

int main(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		usage(stderr);
		return PH_EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help")) {
		usage(stdout);
		return PH_EXIT_OK;
	}
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "peridothall: unknown command %s; see --help\n",
		argv[1]);
	return PH_EXIT_USAGE;
}
