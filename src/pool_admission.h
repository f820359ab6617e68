#ifndef PH_POOL_ADMISSION_H
#define PH_POOL_ADMISSION_H

/*
 * Admission while more work is offered than a pool can start: predicts from
 * the work ahead of a batch, and from what the pool did of late, when the batch
 * would start. One that would start too late to be of use is refused at once,
 * while its caller can still do something else. Answers the load pattern of a
 * burst that lasts for longer than jobs can wait: batches that miss their
 * target then stay behind those that can still meet theirs, and wait in vain.
 */

#include <stdbool.h>
#include <stdint.h>

/** The executors of one service in one pool. */
struct ph_admission {
	/** Capacity that is in use while tasks wait, in thousandths of what
	 * could be used, smoothed; 0: no task has waited yet. The rest is lost
	 * to gaps that no waiting task fits into. */
	uint32_t used_permille;
	/** Rate at which work of batches that could still meet their target was
	 * started, in thousandths of a core, smoothed, as of in_time_us. */
	uint64_t in_time_milli;
	uint64_t in_time_us;
};

/** What waits ahead of a batch, and when its start is of use. */
struct ph_admission_need {
	/** Core time ahead of it, in millicore-microseconds. */
	uint64_t ahead_milli_us;
	/** Capacity that could be used, in thousandths of a core. */
	uint64_t capacity_milli;
	/** Latest start with which the batch meets its target, and latest one
	 * that is of use at all. */
	uint64_t target_start_us;
	uint64_t useful_start_us;
};

/** Work of a batch that could still meet its target was started. */
void ph_admission_started(struct ph_admission *admission, uint64_t now_us,
			  uint64_t milli_us);
/** A task found no executor, while this much of the capacity was in use. */
void ph_admission_blocked(struct ph_admission *admission, uint64_t used_milli,
			  uint64_t capacity_milli);

/**
 * Predicted start of a batch. One that will meet its target waits for the work
 * ahead of it. One that won't also waits for all those to come that can still
 * meet theirs; UINT64_MAX: these leave no capacity.
 */
uint64_t ph_admission_start_us(const struct ph_admission *admission,
			       uint64_t now_us,
			       const struct ph_admission_need *need);
/** Whether the batch would start too late to be of use. */
bool ph_admission_hopeless(const struct ph_admission *admission,
			   uint64_t now_us,
			   const struct ph_admission_need *need);

#endif
