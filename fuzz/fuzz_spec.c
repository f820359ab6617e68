/* Parser of job documents. */

#include <stdint.h>

#include "spec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_spec *spec;
	struct ph_fault fault;

	if (!ph_spec_parse(ph_mem_default(), (const char *)data, size, &spec,
			   &fault))
		ph_spec_free(spec);
	return 0;
}
