#include "histogram.h"

#define FIRST_US 1000U
/* Half an octave, in thousandths. */
#define HALF_OCTAVE_MILLI 1414U
#define MILLI 1000U

uint64_t ph_histogram_bound_us(uint32_t bucket)
{
	uint64_t bound = (uint64_t)FIRST_US << (bucket / 2);

	return bucket % 2 ? bound * HALF_OCTAVE_MILLI / MILLI : bound;
}

void ph_histogram_add(struct ph_histogram *h, uint64_t us)
{
	uint32_t b = 0;

	while (b < PH_HISTOGRAM_BUCKETS && us > ph_histogram_bound_us(b))
		b++;
	h->counts[b]++;
	h->sum_us += us;
}

void ph_histogram_write(const struct ph_histogram *h, const char *name,
		      struct ph_buf *out)
{
	uint64_t sum = 0;
	uint32_t b;

	ph_buf_printf(out, "# TYPE %s histogram\n", name);
	for (b = 0; b < PH_HISTOGRAM_BUCKETS; b++) {
		sum += h->counts[b];
		ph_buf_printf(out, "%s_bucket{le=\"%llu\"} %llu\n", name,
			      (unsigned long long)ph_histogram_bound_us(b),
			      (unsigned long long)sum);
	}
	sum += h->counts[b];
	ph_buf_printf(
		out,
		"%s_bucket{le=\"+Inf\"} %llu\n%s_sum %llu\n%s_count %llu\n",
		name, (unsigned long long)sum, name,
		(unsigned long long)h->sum_us, name, (unsigned long long)sum);
}
