#include <pthread.h>
#include <stddef.h>

#include "daemon.h"

void ph_daemon_block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	sigaddset(signals, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void ph_daemon_handle_signals(const struct ph_daemon *daemon,
			      const sigset_t *signals)
{
	int sig;

	for (;;) {
		if (sigwait(signals, &sig))
			continue;
		if (sig == SIGUSR1)
			daemon->dump(daemon->ctx);
		else if (sig == SIGHUP)
			daemon->reload(daemon->ctx);
		else
			break;
	}
	daemon->stop(daemon->ctx);
}
