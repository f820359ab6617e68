/* Parser of configuration documents. */

#include <stdint.h>

#include "config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_config *config;

	if (!ph_config_parse(ph_mem_default(), (const char *)data, size,
			     &config, NULL, NULL))
		ph_config_free(config);
	return 0;
}
