#ifndef PH_DAEMON_H
#define PH_DAEMON_H

/* Signal handling of the programs that run until they are stopped. */

#include <signal.h>

/** Actions on signals; they run on the main thread, not in a signal handler. */
struct ph_daemon {
	/** On SIGUSR1: writes the state to the log. */
	void (*dump)(void *ctx);
	/**
	 * On SIGHUP, which must not end the program. Flags and environment
	 * variables are read at start only.
	 */
	void (*reload)(void *ctx);
	/** On SIGTERM or SIGINT: stops gracefully; returns when stopped. */
	void (*stop)(void *ctx);
	void *ctx;
};

/**
 * Blocks the handled signals in this thread and those that it starts from now
 * on, ignores SIGPIPE, and sets *signals for ph_daemon_handle_signals. Call it
 * before any thread is started.
 */
void ph_daemon_block_signals(sigset_t *signals);

/** Waits for signals and acts on them; returns after stop has returned. */
void ph_daemon_handle_signals(const struct ph_daemon *daemon,
			      const sigset_t *signals);

#endif
