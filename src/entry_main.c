#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "log.h"
#include "settings.h"

#define PROGRAM "peridothall-entry"
#define TEXT(f, fb, h, v)                                                      \
	{                                                                      \
		.flag = (f), .type = PH_SETTING_TEXT, .fallback = (fb),        \
		.help = (h), .text = (v)                                       \
	}
#define TYPED(t, f, fb, h, v)                                                  \
	{                                                                      \
		.flag = (f), .type = (t), .fallback = (fb), .help = (h),       \
		.text = (v)                                                    \
	}
#define NUMBER(t, f, fb, h, v)                                                 \
	{                                                                      \
		.flag = (f), .type = (t), .fallback = (fb), .help = (h),       \
		.number = (v)                                                  \
	}

/* Signals are taken by one call in the main thread, by no handler. */
static void serve(struct ph_entry *entry, const sigset_t *signals)
{
	int sig;

	for (;;) {
		if (sigwait(signals, &sig))
			continue;
		if (sig == SIGUSR1)
			ph_entry_dump(entry);
		else if (sig == SIGHUP)
			/* Flags and environment are fixed for a process. */
			ph_log("main", "Reload requested, nothing to read.");
		else
			break;
	}
	ph_entry_stop(entry);
	ph_entry_join(entry);
}

static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	sigaddset(signals, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv)
{
	struct ph_entry_settings set;
	uint64_t http_port = 0;
	uint64_t peer_port = 0;
	uint64_t answers_mb = 0;
	struct ph_setting list[] = {
		TYPED(PH_SETTING_NAME, "name", NULL,
		      "unique name of this instance", &set.name),
		TYPED(PH_SETTING_NAME, "domain", NULL,
		      "failure domain of this instance", &set.domain),
		TYPED(PH_SETTING_IP, "address", "127.0.0.1",
		      "IP number to listen on", &set.address),
		NUMBER(PH_SETTING_PORT, "http-port", "8080", "port for callers",
		       &http_port),
		NUMBER(PH_SETTING_PORT, "peer-port", "8081",
		       "port for other instances", &peer_port),
		TEXT("advertise", "", "ip:port that other instances dial",
		     &set.advertise),
		TEXT("seeds", "", "ip:port,... of instances to ask at start",
		     &set.seeds),
		TEXT("platform", NULL, "base URL of the key-value service",
		     &set.platform_url),
		NUMBER(PH_SETTING_MS, "ping-every-ms", "250",
		       "interval of heartbeats", &set.ping_every_us),
		NUMBER(PH_SETTING_MS, "suspect-after-ms", "1000",
		       "silence after which a peer is removed",
		       &set.suspect_after_us),
		NUMBER(PH_SETTING_MS, "solo-after-ms", "2000",
		       "isolation after which first attempts start alone",
		       &set.solo_after_us),
		NUMBER(PH_SETTING_MS, "remember-ms", "600000",
		       "how long an answer is remembered", &set.remember_us),
		NUMBER(PH_SETTING_NUMBER, "answers-mb", "128",
		       "most memory for remembered answers", &answers_mb),
		NUMBER(PH_SETTING_MS, "hold-ms", "3000",
		       "how long a request waits for its home", &set.hold_us),
		NUMBER(PH_SETTING_MS, "task-timeout-ms", "30000",
		       "longest run of a task", &set.task_timeout_us),
		NUMBER(PH_SETTING_MS, "drain-ms", "500",
		       "quiet time before a stop ends", &set.drain_us),
	};
	struct ph_settings settings = {
		.program = PROGRAM,
		.summary = "Faces callers, keeps the start ledger and "
			   "dispatches tasks to endpoints.",
		.list = list,
		.count = sizeof(list) / sizeof(list[0]),
	};
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
	block_signals(&signals);
	ph_log_name(set.name);
	err = ph_entry_start(ph_mem_default(), &set, &entry);
	if (err) {
		fprintf(stderr, "%s: can't listen on %s (%s)\n", PROGRAM,
			set.address, ph_strerror(err));
		return PH_EXIT_FAILED;
	}
	serve(entry, &signals);
	return PH_EXIT_OK;
}
