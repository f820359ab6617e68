/* Feeds the decoders of the platform's formats with arbitrary bytes. */

#include <stdint.h>

#include "wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct ph_mem *mem = ph_mem_default();
	const char *text = (const char *)data;
	struct ph_routing *routing = NULL;
	struct ph_batch_request *batch = NULL;
	struct ph_executor_info info;
	struct ph_poll_reply poll;
	struct ph_wire_items items;
	uint32_t shards;
	const char *reason;

	if (!ph_wire_read_config(mem, text, size, &routing))
		ph_routing_free(routing);
	ph_wire_read_job(mem, "s-1", text, size, &batch, &reason);
	ph_batch_request_free(mem, batch);
	if (!ph_wire_read_executor(mem, "i-1", text, size, &info))
		ph_executor_info_clear(mem, &info);
	ph_wire_poll_reply(mem, 200, text, size, &poll);
	ph_wire_poll_clear(mem, &poll);
	ph_wire_read_revision(text, size);
	if (!ph_wire_read_items(mem, text, size, &items)) {
		size_t i;

		for (i = 0; i < items.count; i++)
			ph_wire_read_shards(&items.list[i], &shards);
		ph_wire_items_clear(mem, &items);
	}
	return 0;
}
