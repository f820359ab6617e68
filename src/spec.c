#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ident.h"
#include "spec.h"

#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_MAX_MS 600000
#define US_PER_MS 1000

int ph_fault_set(struct ph_fault *fault, int error, const char *what,
		 const char *field_format, ...)
{
	va_list args;

	va_start(args, field_format);
	vsnprintf(fault->field, sizeof(fault->field), field_format, args);
	va_end(args);
	ph_strcopy(fault->what, sizeof(fault->what), what);
	return error;
}

static int parse_deadline(json_t *doc, struct ph_spec *spec,
			  struct ph_fault *fault)
{
	json_t *item = json_object_get(doc, "deadline_ms");
	json_int_t ms = DEADLINE_DEFAULT_MS;

	if (item && !json_is_integer(item))
		return ph_fault_set(fault, PH_ERR_SYNTAX, "not an integer",
				    "/deadline_ms");
	if (item)
		ms = json_integer_value(item);
	if (ms < 1 || ms > DEADLINE_MAX_MS)
		return ph_fault_set(fault, PH_ERR_RANGE, "not in 1..600000",
				    "/deadline_ms");
	spec->deadline_us = (uint64_t)ms * US_PER_MS;
	return 0;
}

static int parse_task(json_t *item, size_t at, struct ph_spec *spec,
		      struct ph_fault *fault)
{
	struct ph_spec_task *task = &spec->tasks[at];
	json_t *kind = json_object_get(item, "kind");
	json_t *payload = json_object_get(item, "payload");
	json_t *idempotent = json_object_get(item, "idempotent");
	char *text = NULL;

	if (!json_is_string(kind) || !ph_name_valid(json_string_value(kind)))
		return ph_fault_set(fault, PH_ERR_SYNTAX, "not a kind's name",
				    "/tasks/%zu/kind", at);
	if (idempotent && !json_is_boolean(idempotent))
		return ph_fault_set(fault, PH_ERR_SYNTAX, "not a boolean",
				    "/tasks/%zu/idempotent", at);
	ph_strcopy(task->kind, sizeof(task->kind), json_string_value(kind));
	task->idempotent = json_is_true(idempotent);
	if (payload)
		text = json_dumps(payload, JSON_COMPACT | JSON_ENCODE_ANY);
	task->payload_len = text ? strlen(text) : 0;
	task->payload =
		ph_memdup(spec->mem, text ? text : "", task->payload_len);
	free(text);
	return 0;
}

static int parse_tasks(json_t *doc, struct ph_spec *spec,
		       struct ph_fault *fault)
{
	json_t *tasks = json_object_get(doc, "tasks");
	json_t *item;
	size_t i;

	if (!json_is_array(tasks) || json_array_size(tasks) == 0)
		return ph_fault_set(fault, PH_ERR_SYNTAX,
				    "not an array of tasks", "/tasks");
	if (json_array_size(tasks) > PH_MAX_TASKS)
		return ph_fault_set(fault, PH_ERR_TOO_LARGE,
				    "more than 200 tasks", "/tasks");
	spec->tasks =
		spec->mem->calloc(json_array_size(tasks), sizeof(*spec->tasks));
	json_array_foreach (tasks, i, item) {
		int err;

		spec->count = i + 1;
		err = parse_task(item, i, spec, fault);
		if (err)
			return err;
	}
	return 0;
}

int ph_spec_parse(const struct ph_mem *mem, const char *body, size_t len,
		  struct ph_spec **out, struct ph_fault *fault)
{
	json_error_t json_error;
	json_t *doc = NULL;
	struct ph_spec *spec = NULL;
	int err;

	if (len > PH_MAX_BODY_BYTES)
		return ph_fault_set(fault, PH_ERR_TOO_LARGE, "body over 1 MB",
				    "/");
	doc = json_loadb(body, len, JSON_REJECT_DUPLICATES, &json_error);
	if (!doc)
		return ph_fault_set(fault, PH_ERR_SYNTAX, json_error.text, "/");
	spec = mem->calloc(1, sizeof(*spec));
	spec->mem = mem;
	err = parse_deadline(doc, spec, fault);
	if (err)
		goto out;
	err = parse_tasks(doc, spec, fault);
out:
	json_decref(doc);
	if (err) {
		ph_spec_free(spec);
		return err;
	}
	*out = spec;
	return 0;
}

void ph_spec_free(struct ph_spec *spec)
{
	size_t i;

	if (!spec)
		return;
	for (i = 0; i < spec->count; i++)
		spec->mem->free(spec->tasks[i].payload);
	spec->mem->free(spec->tasks);
	spec->mem->free(spec);
}
