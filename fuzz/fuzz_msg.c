/* Fuzzes the decoder of messages between entry instances. */

#include <stdint.h>

#include "msg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_decoded_msg *decoded;

	if (!ph_msg_decode(ph_mem_default(), (const char *)data, size,
			   &decoded))
		ph_decoded_msg_free(decoded);
	return 0;
}
