#ifndef PH_LOG_H
#define PH_LOG_H

/* Logger with one line per event, which carries the time, the instance's name
 * and the name of the part. Messages go to standard error. Decisions go to
 * standard output as event lines of key=value pairs; their rate is limited, and
 * a line that can't be written without blocking is dropped. */

#include <stdint.h>

/** Sets the instance name that every line carries. */
void ph_log_name(const char *name);

/** Suppresses all lines if quiet is not 0; for tests that provoke errors. */
void ph_log_quiet(int quiet);

/** Writes a message to standard error; part names the module. */
void ph_log(const char *part, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Enables at most this many event lines per second (0: none) and makes
 * standard output non-blocking. */
void ph_log_events(uint64_t per_second);

/** Writes one event line of key=value pairs, of which the first is "event=". */
void ph_event(const char *part, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Returns the number of event lines dropped since the start of the process. */
uint64_t ph_log_dropped(void);

#endif
