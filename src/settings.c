#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "ident.h"
#include "settings.h"

#define ENV_BYTES 64
#define MAX_SETTINGS 32
/* Errors of the command line that argtable reports. */
#define MAX_ERRORS 20
#define US_PER_MS 1000U

/* Table for argtable: the program's settings, then the arguments that all
 * programs have. */
struct table {
	/** 4: help, print, operands and end. */
	void *args[MAX_SETTINGS + 4];
	struct arg_lit *help;
	struct arg_lit *print;
	struct arg_str *operands;
	struct arg_end *end;
	size_t count;
};

/* Writes the name of the environment variable for a flag. */
static void env_name(const char *flag, char out[ENV_BYTES])
{
	size_t n = (size_t)snprintf(out, ENV_BYTES, "PERIDOTHALL_%s", flag);
	size_t i;

	for (i = 0; i < n && i < ENV_BYTES; i++)
		out[i] = out[i] == '-' ? '_' : (char)toupper(out[i]);
}

static const char *value_hint(enum ph_setting_type type)
{
	switch (type) {
	case PH_SETTING_NAME:
	case PH_SETTING_PLATFORM_NAME:
		return "NAME";
	case PH_SETTING_IP:
		return "IP";
	case PH_SETTING_PORT:
		return "PORT";
	case PH_SETTING_MS:
	case PH_SETTING_FRACTIONAL_MS:
		return "MS";
	case PH_SETTING_NUMBER:
		return "N";
	default:
		return "TEXT";
	}
}

static void table_build(struct table *t, const struct ph_settings *settings)
{
	size_t i;

	memset(t, 0, sizeof(*t));
	for (i = 0; i < settings->count; i++) {
		const struct ph_setting *s = &settings->list[i];

		if (s->type == PH_SETTING_FLAG)
			t->args[i] = arg_lit0(NULL, s->flag, s->help);
		else
			t->args[i] = arg_str0(NULL, s->flag,
					      value_hint(s->type), s->help);
	}
	t->help = arg_lit0("h", "help", "print this help and exit");
	t->print = arg_lit0(NULL, "print-settings",
			    "print the settings in force and exit");
	t->operands = arg_strn(NULL, NULL,
			       settings->operands ? settings->operands : "", 0,
			       settings->max_operands, NULL);
	t->end = arg_end(MAX_ERRORS);
	t->args[i++] = t->help;
	t->args[i++] = t->print;
	if (settings->max_operands)
		t->args[i++] = t->operands;
	t->args[i++] = t->end;
	t->count = i;
}

/* Frees the table but for the operands, which the settings refer to. All other
 * texts are those of the command line. */
static void table_free(struct table *t, const struct ph_settings *settings)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (t->args[i] != t->operands)
			arg_freetable(&t->args[i], 1);
	if (!settings->max_operands)
		arg_freetable((void **)&t->operands, 1);
}

static void print_help(const struct ph_settings *settings, struct table *t)
{
	printf("Usage: %s", settings->program);
	arg_print_syntax(stdout, t->args, "\n");
	printf("%s\n\n", settings->summary);
	arg_print_glossary(stdout, t->args, "  %-28s %s\n");
	printf("\nEach flag is also read from PERIDOTHALL_<FLAG>, with '_' for "
	       "'-'.\n");
}

/* Returns the text of a setting and notes its origin; NULL if it is required
 * and missing. */
static const char *raw_value(struct ph_setting *s, void *arg)
{
	char name[ENV_BYTES];
	const char *env;

	if (s->type == PH_SETTING_FLAG) {
		struct arg_lit *lit = arg;

		if (lit->count) {
			s->origin = "flag";
			return "1";
		}
	} else {
		struct arg_str *str = arg;

		if (str->count) {
			s->origin = "flag";
			return str->sval[0];
		}
	}
	env_name(s->flag, name);
	env = getenv(name);
	if (env) {
		s->origin = "environment";
		return env;
	}
	s->origin = "default";
	return s->fallback;
}

/* Returns an error message, or NULL. */
static const char *parse_number(const char *raw, uint64_t max, uint64_t *out)
{
	char *end;
	unsigned long long n;

	errno = 0;
	n = strtoull(raw, &end, 10);
	if (errno || !*raw || *end || *raw == '-' || n > max)
		return "is not a whole number within its range";
	*out = n;
	return NULL;
}

/* Parses milliseconds, also fractions. Returns an error message, or NULL. */
static const char *parse_ms(const char *raw, uint64_t *us)
{
	char *end;
	double ms = strtod(raw, &end);

	if (end == raw || *end || !(ms > 0) || ms > UINT32_MAX)
		return "is not a positive number of milliseconds";
	*us = (uint64_t)(ms * US_PER_MS);
	return NULL;
}

/* Parses a text and stores its value. Returns an error message, or NULL. */
static const char *apply(struct ph_setting *s, const char *raw)
{
	struct in_addr ip;
	const char *error = NULL;

	switch (s->type) {
	case PH_SETTING_NAME:
		if (!ph_name_valid(raw))
			return "is not a name of 1 to 31 characters of "
			       "[a-z0-9-]";
		break;
	case PH_SETTING_PLATFORM_NAME:
		if (!ph_platform_name_valid(raw))
			return "is not a name of characters of "
			       "[A-Za-z0-9._~:@+-]";
		break;
	case PH_SETTING_IP:
		if (inet_pton(AF_INET, raw, &ip) != 1)
			return "is not an IPv4 address";
		break;
	case PH_SETTING_PORT:
		return parse_number(raw, UINT16_MAX, s->number);
	case PH_SETTING_MS:
		error = parse_number(raw, UINT32_MAX, s->number);
		*s->number *= US_PER_MS;
		return error;
	case PH_SETTING_FRACTIONAL_MS:
		return parse_ms(*raw ? raw : s->fallback, s->number);
	case PH_SETTING_NUMBER:
	case PH_SETTING_FLAG:
		return parse_number(raw, UINT32_MAX, s->number);
	case PH_SETTING_TEXT:
		break;
	}
	*s->text = raw;
	return NULL;
}

/* Stores all settings and prints a line for each fault; returns their number.
 */
static int apply_all(struct ph_settings *settings, struct table *t)
{
	int faults = 0;
	size_t i;

	for (i = 0; i < settings->count; i++) {
		struct ph_setting *s = &settings->list[i];
		const char *raw = raw_value(s, t->args[i]);
		const char *error = raw ? NULL : "is required";

		if (raw && (*raw || s->fallback != raw))
			error = apply(s, raw);
		else if (raw && s->text)
			*s->text = NULL;
		if (!error)
			continue;
		fprintf(stderr, "%s: --%s %s\n", settings->program, s->flag,
			error);
		faults++;
	}
	return faults;
}

static void print_settings(const struct ph_settings *settings)
{
	size_t i;

	for (i = 0; i < settings->count; i++) {
		const struct ph_setting *s = &settings->list[i];

		if (s->text)
			printf("%s=%s (%s)\n", s->flag,
			       *s->text ? *s->text : "", s->origin);
		else
			printf("%s=%llu (%s)\n", s->flag,
			       (unsigned long long)*s->number /
				       (s->type == PH_SETTING_MS ? US_PER_MS
								 : 1U),
			       s->origin);
	}
}

int ph_settings_load(struct ph_settings *settings, int argc, char **argv)
{
	struct table t;
	int status = -1;
	int errors;

	table_build(&t, settings);
	errors = arg_parse(argc, argv, t.args);
	if (t.help->count) {
		print_help(settings, &t);
		status = PH_EXIT_OK;
	} else if (errors) {
		arg_print_errors(stderr, t.end, settings->program);
		status = PH_EXIT_USAGE;
	} else if (apply_all(settings, &t)) {
		status = PH_EXIT_USAGE;
	} else if (t.print->count) {
		print_settings(settings);
		status = PH_EXIT_OK;
	}
	if (settings->max_operands) {
		settings->operand_count = t.operands->count;
		settings->operand = t.operands->sval;
	}
	table_free(&t, settings);
	return status;
}
