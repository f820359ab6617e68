/* Fuzz target: decodes arbitrary bytes as a message between instances. */

#include <stdint.h>

#include "poolmsg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_poolmsg msg;

	if (!ph_poolmsg_decode(ph_mem_default(), (const char *)data, size,
			       &msg))
		ph_poolmsg_clear(ph_mem_default(), &msg);
	return 0;
}
