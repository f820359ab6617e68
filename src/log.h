#ifndef PH_LOG_H
#define PH_LOG_H

/* A small logger: one line per event with the time, the instance's name and a
 * fixed prefix per part. Faults of the program's surroundings go to standard
 * error; decisions go to standard output as key=value lines, bounded in number
 * and never waited for. */

#include <stdint.h>

/** Sets the instance name that every line carries. */
void ph_log_name(const char *name);

/** Drops all lines, for tests that provoke errors. */
void ph_log_quiet(int quiet);

/** Writes one line; part is the fixed prefix of the module. */
void ph_log(const char *part, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Turns decision lines on, at most this many a second; 0: off. */
void ph_log_events(uint64_t per_second);

/** Writes one decision line of key=value pairs, the first "event=". */
void ph_event(const char *part, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Decision lines that were dropped since the start. */
uint64_t ph_log_dropped(void);

#endif
