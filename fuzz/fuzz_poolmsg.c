/* Fuzz target: decodes arbitrary bytes as a message between instances. What is
 * decoded and encoded again has to decode to the same. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "msg.h"
#include "poolmsg.h"

/* Encodes a message to out and decodes that into again, which the caller
 * clears. */
static void through_the_wire(const struct ph_poolmsg *msg, struct ph_buf *out,
			     struct ph_poolmsg *again)
{
	ph_buf_init(out, ph_mem_default());
	ph_poolmsg_encode(msg, out);
	if (ph_poolmsg_decode(ph_mem_default(), out->data + PH_MSG_FRAME_BYTES,
			      out->len - PH_MSG_FRAME_BYTES, again))
		abort();
}

static void check_round_trip(const struct ph_poolmsg *msg)
{
	const struct ph_mem *mem = ph_mem_default();
	struct ph_poolmsg first;
	struct ph_poolmsg second;
	struct ph_buf a;
	struct ph_buf b;

	through_the_wire(msg, &a, &first);
	through_the_wire(&first, &b, &second);
	if (a.len != b.len || memcmp(a.data, b.data, a.len) != 0)
		abort();
	ph_poolmsg_clear(mem, &first);
	ph_poolmsg_clear(mem, &second);
	ph_buf_free(&a);
	ph_buf_free(&b);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_poolmsg msg;

	if (!ph_poolmsg_decode(ph_mem_default(), (const char *)data, size,
			       &msg)) {
		check_round_trip(&msg);
		ph_poolmsg_clear(ph_mem_default(), &msg);
	}
	return 0;
}
