#ifndef PH_DAEMON_H
#define PH_DAEMON_H

/* What the programs that run until they are stopped share: their signals. */

#include <signal.h>

struct ph_daemon {
	/** SIGUSR1: writes the state to the log. */
	void (*dump)(void *ctx);
	/** SIGHUP; flags and environment are fixed for a process. */
	void (*reload)(void *ctx);
	/** SIGTERM or SIGINT: stops gracefully, and returns when done. */
	void (*stop)(void *ctx);
	void *ctx;
};

/** Blocks the signals in all threads to come; before the first is started. */
void ph_daemon_block_signals(sigset_t *signals);

/** Takes signals, by one call in the main thread, until the program stops. */
void ph_daemon_handle_signals(const struct ph_daemon *daemon, const sigset_t *signals);

#endif
