#ifndef PH_HISTOGRAM_H
#define PH_HISTOGRAM_H

/* Histogram of durations, exported in the Prometheus text format. */

#include "buf.h"

#define PH_HISTOGRAM_BUCKETS 24U

struct ph_histogram {
	/** Durations counted in each bucket; the last one has no bound. */
	uint64_t counts[PH_HISTOGRAM_BUCKETS + 1];
	uint64_t sum_us;
};

/** Counts one duration. */
void ph_histogram_add(struct ph_histogram *histogram, uint64_t us);

/**
 * Upper bound of a bucket, inclusive: 1 ms for bucket 0, and greater by the
 * square root of 2 for each further one.
 */
uint64_t ph_histogram_bound_us(uint32_t bucket);

/** Appends the metric in the Prometheus text format, in microseconds. */
void ph_histogram_write(const struct ph_histogram *histogram, const char *name,
			struct ph_buf *out);

#endif
