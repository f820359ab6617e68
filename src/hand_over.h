#ifndef PH_HAND_OVER_H
#define PH_HAND_OVER_H

/* Hand-over of a pool between two instances that hear each other: the next
 * owner claims the pool, the one before stops starting tasks as it hears of
 * that, and only then the next one polls the executors, which refuse the
 * earlier token from then on. */

#include "cluster.h"

/** How long the next owner waits for the one before before it polls. Usually
 * two ticks of 10 ms and 3 ms in the network pass; twice that covers busy
 * instances, and is 3 % of the 1.5 s that a caller waits. */
#define PH_HAND_OVER_MAX_US 50000U

/** Whether another instance that is heard has claimed the pool in its last
 * heartbeat. */
bool ph_hand_over_pending(const struct ph_cluster *cluster, uint64_t now_us,
			  const char *pool);

#endif
