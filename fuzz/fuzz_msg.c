/* Decoder of messages between entry instances. */

#include <stdint.h>

#include "msg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_decoded_msg *box;

	if (!ph_msg_decode(ph_mem_default(), (const char *)data, size, &box))
		ph_decoded_msg_free(box);
	return 0;
}
