#ifndef PH_SPEC_H
#define PH_SPEC_H

/* A submitted job document: 1 to 200 tasks and a deadline. */

#include <stdbool.h>

#include "buf.h"

struct ph_spec_task {
	char kind[PH_NAME_BYTES];
	bool idempotent;
	/** Compact JSON that the endpoint receives as the request body. */
	char *payload;
	size_t payload_len;
};

struct ph_spec {
	const struct ph_mem *mem;
	uint64_t deadline_us;
	/** Number of tasks. */
	size_t count;
	struct ph_spec_task *tasks;
};

/** An error in a document: the JSON pointer of the field, and what is wrong
 * with its value. */
struct ph_fault {
	char field[PH_ID_BYTES];
	char what[PH_ID_BYTES];
};

/** Fills fault and returns error, so that a parser can return the call. */
int ph_fault_set(struct ph_fault *fault, int error, const char *what,
		 const char *field_format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * Parses a job document. Returns 0 and sets *spec, which the caller frees, or a
 * negative error number after filling fault with the first error.
 */
int ph_spec_parse(const struct ph_mem *mem, const char *body, size_t len,
		  struct ph_spec **spec, struct ph_fault *fault);

void ph_spec_free(struct ph_spec *spec);

#endif
