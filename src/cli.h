#ifndef PH_CLI_H
#define PH_CLI_H

/* The subcommands of the peridothall program. Each takes its own arguments,
 * argv[0] being its name, and returns an exit status. */

#include "buf.h"

int ph_cli_submit(int argc, char **argv);
int ph_cli_status(int argc, char **argv);
int ph_cli_cancel(int argc, char **argv);
int ph_cli_replay(int argc, char **argv);
int ph_cli_config(int argc, char **argv);
int ph_cli_state(int argc, char **argv);
int ph_cli_evacuate(int argc, char **argv);

/**
 * Splits a comma-separated list in place, without its empty parts. Returns the
 * number of parts; what goes beyond max parts is ignored.
 */
size_t ph_cli_split(char *text, const char **parts, size_t max);

/**
 * Reads a whole file, or standard input if path is "-". Returns its content,
 * to be freed, and sets *len; NULL if the file can't be opened.
 */
char *ph_cli_read_file(const char *path, size_t *len);

#endif
