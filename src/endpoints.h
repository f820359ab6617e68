#ifndef PH_ENDPOINTS_H
#define PH_ENDPOINTS_H

/*
 * The endpoints of one service: their slots, health and departure. The
 * members of the domain's roster share an endpoint's slots evenly.
 */

#include "roster.h"

struct ph_endpoint {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	uint32_t slots;
	uint32_t busy;
	/** Listed as leaving, or has refused work because it leaves. */
	bool leaving;
	/** Absent from the newest list; kept until its tasks have ended. */
	bool unlisted;
	/** Slots that this instance may use; the members share them. */
	uint32_t granted;
	/** No work before this time; doubles with each refusal in a row. */
	uint64_t backoff_until_us;
	uint32_t refusals;
};

struct ph_endpoints {
	const struct ph_mem *mem;
	char service[PH_NAME_BYTES];
	struct ph_endpoint **list;
	size_t count;
};

/** One line of the platform's instance list. */
struct ph_endpoint_info {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	/** Failure domain, or empty. */
	char domain[PH_NAME_BYTES];
	uint32_t slots;
	bool leaving;
};

struct ph_endpoints *ph_endpoints_new(const struct ph_mem *mem,
				      const char *service);
void ph_endpoints_free(struct ph_endpoints *set);

/** Replaces the list; an empty one is ignored, for the list can lag. */
void ph_endpoints_update(struct ph_endpoints *set,
			 const struct ph_endpoint_info *listed, size_t count);

/** Splits each endpoint's slots over the members; self < 0 gets none. */
void ph_endpoints_share_slots(struct ph_endpoints *set,
			const struct ph_roster *roster, int self);

/** Endpoint with the most free granted slots, or NULL. */
struct ph_endpoint *ph_endpoints_pick(const struct ph_endpoints *set,
				      uint64_t now_us);

/** Free granted slots over all usable endpoints. */
uint32_t ph_endpoints_free_slots(const struct ph_endpoints *set,
				 uint64_t now_us);

/** An endpoint refused a task before starting it. */
void ph_endpoint_refused(struct ph_endpoint *endpoint, uint64_t now_us,
			 bool leaving);

/** An endpoint answered. */
void ph_endpoint_answered(struct ph_endpoint *endpoint);

#endif
