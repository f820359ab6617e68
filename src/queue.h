#ifndef PH_QUEUE_H
#define PH_QUEUE_H

/*
 * The queue of one service: selects the job whose task takes the next free
 * slot. Policies are tables of functions, so that fair queueing can be compared
 * with first come, first served.
 */

#include "config.h"
#include "ledger.h"

struct ph_queue;

struct ph_queue_policy {
	const char *name;
	/** Selects the next job; the queue is not empty. */
	struct ph_job *(*pick)(struct ph_queue *queue);
	/** Charges the cost of a task to the job's team. */
	void (*charge)(struct ph_queue *queue, struct ph_job *job,
		       uint64_t cost_us);
};

/** Deficit round robin over teams by weight; costs are expected run times. */
extern const struct ph_queue_policy ph_queue_fair;
/** First come, first served over all teams; the baseline in comparisons. */
extern const struct ph_queue_policy ph_queue_fifo;

struct ph_queue *ph_queue_new(const struct ph_mem *mem,
			      const struct ph_queue_policy *policy);
void ph_queue_free(struct ph_queue *queue);

/** Adds a job with queued tasks and sets its team's weight. */
void ph_queue_add(struct ph_queue *queue, struct ph_job *job, uint32_t weight);

/** Removes a job; does nothing if it is not in the queue. */
void ph_queue_remove(struct ph_queue *queue, struct ph_job *job);

/** Next job with a queued task, or NULL; it stays in the queue. */
struct ph_job *ph_queue_pick(struct ph_queue *queue);

/**
 * Charges a start to the job's team; to be called after the task has left the
 * queued state. Removes the job if it has no more queued tasks.
 */
void ph_queue_charge(struct ph_queue *queue, struct ph_job *job,
		     uint64_t cost_us);

/** Number of queued tasks of the team that a job key names. */
uint64_t ph_queue_team_tasks(const struct ph_queue *queue, const char *key);

/** Number of jobs in the queue. */
size_t ph_queue_jobs(const struct ph_queue *queue);

#endif
