#include <stdio.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "daemon.h"
#include "log.h"
#include "settings.h"

#define PROGRAM "peridothall-entry"

static void dump(void *ctx)
{
	ph_entry_dump(ctx);
}

static void reload(void *ctx)
{
	(void)ctx;
	ph_log("main", "Reload requested, nothing to read.");
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
			       "IP number to listen on", &set.address),
		PH_SETTING_NUM(PH_SETTING_PORT, "http-port", "8080",
			       "port for callers", &http_port),
		PH_SETTING_NUM(PH_SETTING_PORT, "peer-port", "8081",
			       "port for other instances", &peer_port),
		PH_SETTING_STR(PH_SETTING_TEXT, "advertise", "",
			       "ip:port that other instances dial",
			       &set.advertise),
		PH_SETTING_STR(PH_SETTING_TEXT, "seeds", "",
			       "ip:port,... of instances to ask at start",
			       &set.seeds),
		PH_SETTING_STR(PH_SETTING_TEXT, "platform", NULL,
			       "base URL of the key-value service",
			       &set.platform_url),
		PH_SETTING_NUM(PH_SETTING_MS, "ping-every-ms", "250",
			       "interval of heartbeats", &set.ping_every_us),
		PH_SETTING_NUM(PH_SETTING_MS, "suspect-after-ms", "1000",
			       "silence after which a peer is removed",
			       &set.suspect_after_us),
		PH_SETTING_NUM(
			PH_SETTING_MS, "solo-after-ms", "2000",
			"isolation after which first attempts start alone",
			&set.solo_after_us),
		PH_SETTING_NUM(PH_SETTING_MS, "remember-ms", "600000",
			       "how long an answer is remembered",
			       &set.retention_us),
		PH_SETTING_NUM(PH_SETTING_NUMBER, "answers-mb", "128",
			       "most memory for remembered answers",
			       &answers_mb),
		PH_SETTING_NUM(PH_SETTING_MS, "hold-ms", "3000",
			       "how long a request waits for its home",
			       &set.hold_us),
		PH_SETTING_NUM(PH_SETTING_MS, "task-timeout-ms", "30000",
			       "longest run of a task", &set.task_timeout_us),
		PH_SETTING_NUM(PH_SETTING_MS, "drain-ms", "500",
			       "quiet time before a stop ends", &set.drain_us),
	};
	struct ph_settings settings = {
		.program = PROGRAM,
		.summary = "Faces callers, keeps the start ledger and "
			   "dispatches tasks to endpoints.",
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
			"%s: --ping-every-ms is over half of "
			"--suspect-after-ms or --solo-after-ms\n",
			PROGRAM);
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
		fprintf(stderr, "%s: can't listen on %s (%s)\n", PROGRAM,
			set.address, ph_strerror(err));
		return PH_EXIT_FAILED;
	}
	daemon.ctx = entry;
	ph_daemon_handle_signals(&daemon, &signals);
	return PH_EXIT_OK;
}
