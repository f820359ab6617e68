#ifndef PH_CLIENT_H
#define PH_CLIENT_H

/*
 * A client of entry instances. It submits jobs at given times and collects the
 * answers. While the outcome of a job is unknown, it submits the job again,
 * through the next entry instance and with a higher attempt number.
 */

#include <stdbool.h>

#include "buf.h"

enum ph_client_outcome {
	/** There is no answer yet. */
	PH_CLIENT_WAITING,
	/** The answer says that the job is complete. */
	PH_CLIENT_COMPLETE,
	/** The answer says that the job has failed. */
	PH_CLIENT_FAILED,
	/** Rejected with a 4xx status. */
	PH_CLIENT_REJECTED,
	/** No answer within caller_timeout_us. */
	PH_CLIENT_NO_ANSWER,
	/** The answer does not cover all tasks, or belongs to another job. */
	PH_CLIENT_INVALID_ANSWER,
};

struct ph_client_job {
	char team[PH_NAME_BYTES];
	char service[PH_NAME_BYTES];
	char id[PH_ID_BYTES];
	/** The job document; owned by whoever fills in the job. */
	char *body;
	size_t body_len;
	uint32_t task_count;
	/** When to submit, counted from the start of ph_client_run. */
	uint64_t at_us;
	/** Shortest response time possible on idle endpoints, 0 if unknown. */
	uint64_t ideal_us;

	/* Results. */
	enum ph_client_outcome outcome;
	uint32_t attempts;
	/** From the scheduled submission to the answer with status 200. */
	uint64_t response_us;
	/** HTTP status of the last attempt, 0 if there was no response. */
	int status;
	/** Number of tasks of each class in the answer. */
	uint32_t done;
	uint32_t not_run;
	uint32_t may_have_run;
	/** Body of the answer if keep_answers is set, to be freed; or NULL. */
	char *answer;

	/* State of ph_client_run. */
	/** When to submit again. */
	uint64_t due_us;
	/** Number of the entry instance for the next attempt, modulo their
	 * count; 0 at the start: the job's position in the array. */
	uint32_t next_entry;
};

struct ph_client_options {
	const struct ph_mem *mem;
	/** Base URLs of entry instances. */
	const char *const *entries;
	size_t entry_count;
	/** Returns the bearer key of a team. */
	const char *(*key_of)(void *ctx, const char *team);
	/** Called about twice a second while jobs are under way, or NULL. */
	void (*progress)(void *ctx, size_t ended, size_t total);
	void *ctx;
	/** Time limit of one attempt. */
	uint64_t attempt_us;
	/** An attempt without outcome that ends later than this after the job's
	 * scheduled time is the last. */
	uint64_t caller_timeout_us;
	/**
	 * Sends the header "Attempt: 1" with first attempts, which tells that
	 * the job's id was never sent before.
	 */
	bool mark_first_attempts;
	/** Keeps the bodies of answers and rejections in the jobs. */
	bool keep_answers;
};

/** Submits jobs, sorted by at_us, and returns when all have an outcome. */
void ph_client_run(const struct ph_client_options *options,
		   struct ph_client_job *jobs, size_t count);

/**
 * Sends one request and waits for the response. key is the bearer key and body
 * the request's body; both may be NULL. Sets *status to the HTTP status and
 * returns the response's body, to be freed, or NULL if there is no response.
 */
char *ph_client_call(const struct ph_mem *mem, const char *method,
		     const char *url, const char *key, const char *body,
		     int *status);

#endif
