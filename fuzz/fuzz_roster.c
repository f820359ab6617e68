/* Fuzzes the decoder of roster documents, which come from the platform and from
 * peers. */

#include <stdint.h>

#include "roster.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ph_roster roster;

	if (!ph_roster_decode(&roster, (const char *)data, size) &&
	    roster.count)
		(void)ph_roster_pair(&roster, 1);
	return 0;
}
