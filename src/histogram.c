#include "histogram.h"

#define FIRST_BOUND_US 1000U
/* Square root of 2, in thousandths. */
#define SQRT_2_MILLI 1414U
#define MILLI 1000U

uint64_t ph_histogram_bound_us(uint32_t bucket)
{
	uint64_t bound = (uint64_t)FIRST_BOUND_US << (bucket / 2);

	return bucket % 2 ? bound * SQRT_2_MILLI / MILLI : bound;
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
	uint64_t cumulative = 0;
	uint32_t b;

	ph_buf_printf(out, "# TYPE %s histogram\n", name);
	for (b = 0; b < PH_HISTOGRAM_BUCKETS; b++) {
		cumulative += h->counts[b];
		ph_buf_printf(out, "%s_bucket{le=\"%llu\"} %llu\n", name,
			      (unsigned long long)ph_histogram_bound_us(b),
			      (unsigned long long)cumulative);
	}
	cumulative += h->counts[b];
	ph_buf_printf(
		out,
		"%s_bucket{le=\"+Inf\"} %llu\n%s_sum %llu\n%s_count %llu\n",
		name, (unsigned long long)cumulative, name,
		(unsigned long long)h->sum_us, name,
		(unsigned long long)cumulative);
}
