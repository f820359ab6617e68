#ifndef PH_ENDPOINTS_H
#define PH_ENDPOINTS_H

/*
 * The endpoints of one service: their slots, back-off after refusals, and
 * draining. An endpoint's slots are divided evenly among the members of the
 * domain's roster.
 */

#include "roster.h"

struct ph_endpoint {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	/** Number of tasks that the endpoint runs at a time. */
	uint32_t slots;
	/** Slots in use by this instance, reserved ones included. */
	uint32_t busy;
	/** Listed as leaving, or has refused a task because it is leaving. */
	bool leaving;
	/** Missing from the latest list; removed when no slot is in use. */
	bool unlisted;
	/** Slots that this instance may use. */
	uint32_t granted;
	/** No task is sent before this time, because of refusals. */
	uint64_t backoff_until_us;
	/** Consecutive refusals; each doubles the back-off, up to a limit. */
	uint32_t refusals;
};

struct ph_endpoints {
	const struct ph_mem *mem;
	char service[PH_NAME_BYTES];
	struct ph_endpoint **list;
	size_t count;
};

/** One entry of the platform's endpoint list. */
struct ph_endpoint_info {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	/** Failure domain; empty if unknown. */
	char domain[PH_NAME_BYTES];
	uint32_t slots;
	bool leaving;
};

struct ph_endpoints *ph_endpoints_new(const struct ph_mem *mem,
				      const char *service);
void ph_endpoints_free(struct ph_endpoints *set);

/** Applies a new list; an empty one is ignored, since the platform can lag. */
void ph_endpoints_update(struct ph_endpoints *set,
			 const struct ph_endpoint_info *listed, size_t count);

/**
 * Sets the slots of each endpoint that the member at index self may use; with
 * self < 0, none.
 */
void ph_endpoints_share_slots(struct ph_endpoints *set,
			      const struct ph_roster *roster, int self);

/** Endpoint with the most free granted slots, or NULL. */
struct ph_endpoint *ph_endpoints_pick(const struct ph_endpoints *set,
				      uint64_t now_us);

/** Number of free granted slots over all usable endpoints. */
uint32_t ph_endpoints_free_slots(const struct ph_endpoints *set,
				 uint64_t now_us);

/** Notes that an endpoint refused a task; begins or extends the back-off. */
void ph_endpoint_refused(struct ph_endpoint *endpoint, uint64_t now_us,
			 bool leaving);

/** Notes that an endpoint answered; ends the back-off. */
void ph_endpoint_answered(struct ph_endpoint *endpoint);

#endif
