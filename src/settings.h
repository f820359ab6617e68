#ifndef PH_SETTINGS_H
#define PH_SETTINGS_H

/* Settings of a program from flags and environment variables, such as
 * --peer-port and PERIDOTHALL_PEER_PORT. A flag overrides the environment, and
 * the environment overrides the default. */

#include <stdbool.h>

#include "buf.h"

enum ph_setting_type {
	PH_SETTING_TEXT,
	PH_SETTING_NAME,
	/** A name that the platform gives; of any length. */
	PH_SETTING_PLATFORM_NAME,
	PH_SETTING_IP,
	PH_SETTING_PORT,
	/** Whole milliseconds in the text, microseconds in the value. */
	PH_SETTING_MS,
	/** Positive milliseconds, also fractions, in the text, microseconds in
	 * the value. An empty text, as from an environment that sets no such
	 * limit, means the default. */
	PH_SETTING_FRACTIONAL_MS,
	PH_SETTING_NUMBER,
	/** Takes no value on the command line; the value is 0 or 1. */
	PH_SETTING_FLAG,
};

struct ph_setting {
	/** Name of the flag without its dashes. */
	const char *flag;
	enum ph_setting_type type;
	/** Default as text; NULL makes the setting required. */
	const char *fallback;
	const char *help;
	/** Where the value is stored: text for TEXT, the names and IP, number
	 * for all other types. */
	const char **text;
	uint64_t *number;
	/** Set by ph_settings_load: "flag", "environment" or "default". */
	const char *origin;
};

/** Initializers of a setting whose value is a string, or a number. */
#define PH_SETTING_STR(t, f, fb, h, v)                                         \
	{                                                                      \
		.flag = (f), .type = (t), .fallback = (fb), .help = (h),       \
		.text = (v)                                                    \
	}
#define PH_SETTING_NUM(t, f, fb, h, v)                                         \
	{                                                                      \
		.flag = (f), .type = (t), .fallback = (fb), .help = (h),       \
		.number = (v)                                                  \
	}

struct ph_settings {
	const char *program;
	/** One sentence on the program, for --help. */
	const char *summary;
	struct ph_setting *list;
	size_t count;
	/** Names of the positional arguments, for --help, and the most that are
	 * allowed. */
	const char *operands;
	int max_operands;
	/** Set by ph_settings_load; the strings are argv's. */
	int operand_count;
	const char **operand;
};

/** Exit statuses of the programs. */
#define PH_EXIT_OK 0
#define PH_EXIT_FAILED 1
#define PH_EXIT_USAGE 2

/**
 * Reads all settings. Prints one line to standard error for each fault, or, if
 * asked, the help or the settings in force to standard output. Returns -1 if
 * the program is to continue, else its exit status.
 */
int ph_settings_load(struct ph_settings *settings, int argc, char **argv);

#endif
