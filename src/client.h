#ifndef PH_CLIENT_H
#define PH_CLIENT_H

/*
 * A caller's side: submits jobs to entry instances at given times, submits
 * again through another instance with a higher attempt number while the
 * outcome is unknown, and collects the answers.
 */

#include <stdbool.h>

#include "buf.h"

enum ph_client_outcome {
	PH_CLIENT_WAITING,
	PH_CLIENT_COMPLETE,
	PH_CLIENT_FAILED,
	/** Refused with a 4xx status. */
	PH_CLIENT_REJECTED,
	/** No answer in the time allowed. */
	PH_CLIENT_NO_ANSWER,
	/** An answer that is not whole, or is another request's. */
	PH_CLIENT_INVALID_ANSWER,
};

struct ph_client_job {
	char team[PH_NAME_BYTES];
	char service[PH_NAME_BYTES];
	char id[PH_ID_BYTES];
	char *body;
	size_t body_len;
	uint32_t task_count;
	/** When to submit, from the start of the run. */
	uint64_t at_us;
	/** Best response time on idle endpoints, 0 if unknown. */
	uint64_t ideal_us;

	/* Results. */
	enum ph_client_outcome outcome;
	uint32_t attempts;
	uint64_t response_us;
	int status;
	uint32_t done;
	uint32_t not_run;
	uint32_t may_have_run;
	char *answer;

	/* Working state. */
	uint64_t due_us;
	uint32_t next_entry;
};

struct ph_client_options {
	const struct ph_mem *mem;
	/** Base URLs of entry instances. */
	const char *const *entries;
	size_t entry_count;
	/** Bearer key of a job's team. */
	const char *(*key_of)(void *ctx, const char *team);
	/** Called about twice a second while jobs are under way, or NULL. */
	void (*progress)(void *ctx, size_t ended, size_t total);
	void *ctx;
	/** Time for one attempt, and for all attempts of a job. */
	uint64_t attempt_us;
	uint64_t caller_timeout_us;
	/** Says on the first attempt that the id was never sent before. */
	bool mark_first_attempts;
	bool keep_answers;
};

/** Runs all jobs, which are sorted by at_us, to their ends. */
void ph_client_run(const struct ph_client_options *options,
		   struct ph_client_job *jobs, size_t count);

/** Body of a GET, or of another call with a body; NULL if it failed. */
char *ph_client_call(const struct ph_mem *mem, const char *method,
		     const char *url, const char *key, const char *body,
		     int *status);

#endif
