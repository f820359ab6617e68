#include <stdio.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "daemon.h"
#include "log.h"
#include "settings.h"

#define PROGRAM "peridothall-entry"
#define US_PER_MS 1000U

static void dump(void *ctx)
{
	ph_entry_dump(ctx);
}

static void reload(void *ctx)
{
	(void)ctx;
	ph_log("main", "Ignored SIGHUP: settings are fixed for the process, "
		       "and the configuration comes from the platform.");
}

static void stop(void *ctx)
{
	ph_entry_stop(ctx);
	ph_entry_join(ctx);
}

int main(int argc, char **argv)
{
	struct ph_entry_settings set;
	uint64_t http_port = 0;
	uint64_t peer_port = 0;
	uint64_t answers_mb = 0;
	struct ph_setting list[] = {
		PH_SETTING_STR(PH_SETTING_NAME, "name", NULL,
			       "unique name of this instance", &set.name),
		PH_SETTING_STR(PH_SETTING_NAME, "domain", NULL,
			       "failure domain of this instance", &set.domain),
		PH_SETTING_STR(PH_SETTING_IP, "address", "127.0.0.1",
			       "IPv4 address to listen on", &set.address),
		PH_SETTING_NUM(PH_SETTING_PORT, "http-port", "8080",
			       "port for callers", &http_port),
		PH_SETTING_NUM(PH_SETTING_PORT, "peer-port", "8081",
			       "port for other instances", &peer_port),
		PH_SETTING_STR(PH_SETTING_TEXT, "advertise", "",
			       "ip:port to which other instances connect",
			       &set.advertise),
		PH_SETTING_STR(PH_SETTING_TEXT, "seeds", "",
			       "ip:port,... of instances to contact at start",
			       &set.seeds),
		PH_SETTING_STR(PH_SETTING_TEXT, "platform", NULL,
			       "base URL of the key-value service",
			       &set.platform_url),
		PH_SETTING_NUM(PH_SETTING_MS, "ping-every-ms", "250",
			       "interval of heartbeats to other instances",
			       &set.ping_every_us),
		PH_SETTING_NUM(PH_SETTING_MS, "suspect-after-ms", "1000",
			       "time without a message from a peer after "
			       "which its removal is requested",
			       &set.suspect_after_us),
		PH_SETTING_NUM(PH_SETTING_MS, "solo-after-ms", "2000",
			       "time without contact to peers and platform "
			       "after which first attempts start without the "
			       "backup's acknowledgement",
			       &set.solo_after_us),
		PH_SETTING_NUM(PH_SETTING_MS, "remember-ms", "600000",
			       "time for which ended jobs and their answers "
			       "are kept",
			       &set.retention_us),
		PH_SETTING_NUM(PH_SETTING_NUMBER, "answers-mb", "128",
			       "most memory for answers of ended jobs, in MiB",
			       &answers_mb),
		PH_SETTING_NUM(PH_SETTING_MS, "hold-ms", "3000",
			       "longest time for which a request is held while "
			       "its job's home can't be reached",
			       &set.hold_us),
		PH_SETTING_NUM(PH_SETTING_MS, "task-timeout-ms", "30000",
			       "time after which a task without an answer "
			       "from its endpoint may have run",
			       &set.task_timeout_us),
		PH_SETTING_NUM(PH_SETTING_MS, "drain-ms", "500",
			       "time without requests before a stop ends",
			       &set.drain_us),
	};
	struct ph_settings settings = {
		.program = PROGRAM,
		.summary =
			"Accepts jobs from callers, replicates the ledger of "
			"started tasks and dispatches tasks to endpoints.",
		.list = list,
		.count = sizeof(list) / sizeof(list[0]),
	};
	struct ph_daemon daemon = { .dump = dump,
				    .reload = reload,
				    .stop = stop };
	struct ph_entry *entry;
	sigset_t signals;
	int status;
	int err;

	ph_entry_settings_init(&set);
	status = ph_settings_load(&settings, argc, argv);
	if (status >= 0)
		return status;
	if (set.solo_after_us < 2 * set.ping_every_us ||
	    set.suspect_after_us < 2 * set.ping_every_us) {
		fprintf(stderr,
			"%s: --ping-every-ms is %llu, more than half of "
			"--suspect-after-ms (%llu) or --solo-after-ms (%llu)\n",
			PROGRAM,
			(unsigned long long)set.ping_every_us / US_PER_MS,
			(unsigned long long)set.suspect_after_us / US_PER_MS,
			(unsigned long long)set.solo_after_us / US_PER_MS);
		return PH_EXIT_USAGE;
	}
	set.http_port = (uint16_t)http_port;
	set.peer_port = (uint16_t)peer_port;
	set.answer_bytes_max = answers_mb << 20;
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ph_daemon_block_signals(&signals);
	ph_log_name(set.name);
	err = ph_entry_start(ph_mem_default(), &set, &entry);
	if (err) {
		fprintf(stderr,
			"%s: cannot listen on %s, port %u (callers) or %u "
			"(other instances): %s\n",
			PROGRAM, set.address, set.http_port, set.peer_port,
			ph_strerror(err));
		return PH_EXIT_FAILED;
	}
	daemon.ctx = entry;
	ph_daemon_handle_signals(&daemon, &signals);
	return PH_EXIT_OK;
}
