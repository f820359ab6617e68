#ifndef PH_HISTOGRAM_H
#define PH_HISTOGRAM_H

/* Counters of times in buckets, as a metrics collector reads them. */

#include "buf.h"

#define PH_HISTOGRAM_BUCKETS 24U

struct ph_histogram {
	uint64_t counts[PH_HISTOGRAM_BUCKETS + 1];
	uint64_t sum_us;
};

void ph_histogram_add(struct ph_histogram *histogram, uint64_t us);

/** Upper bound of a bucket: 1 ms, and half an octave more for each. */
uint64_t ph_histogram_bound_us(uint32_t bucket);

/** Writes it as Prometheus text, in microseconds. */
void ph_histogram_write(const struct ph_histogram *histogram, const char *name,
		      struct ph_buf *out);

#endif
