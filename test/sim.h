#ifndef SIM_H
#define SIM_H

/*
 * A deterministic simulation of the entry instances' core: instances of two
 * failure domains, the rosters at the platform, endpoints and callers in one
 * process with simulated time. Each message on the simulated network is a
 * numbered step at which faults can be injected.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "entry_core.h"
}

namespace sim
{

/** Faults; sender and receiver are those of the message at the step. */
enum class Fault {
	kNone,
	/** The message is lost. */
	kDrop,
	/** The message arrives 350 ms late. */
	kDelayShort,
	/** The message arrives 1.5 s late. */
	kDelayLong,
	/** The message arrives a second time, later. */
	kDuplicate,
	/** The process is killed and restarts with empty memory. */
	kKillSender,
	kKillReceiver,
	/** The process is suspended for some time. */
	kFreezeSender,
	kFreezeReceiver,
	/** The sender is suspended for a longer time. */
	kFreezeLong,
	/** The home domain's first two instances can't reach each other. */
	kCutPair,
	/** The home domain can't reach the other domain or the platform. */
	kCutDomain,
	/** The home domain's first instance reaches no instance and not the
	 * platform. */
	kIsolateFirst,
	kIsolateSecond,
	/** The platform answers nothing. */
	kPlatformDown,
	/** The platform answers after the timeout of the call. */
	kPlatformSlow,
	/** The first endpoint is killed with its running tasks. */
	kEndpointKill,
	/** The first endpoint refuses new tasks, as one that is leaving. */
	kEndpointLeave,
	/** The home domain's first instance gets a planned stop. */
	kStopFirst,
	kStopSecond,
	/** Number of values. */
	kCount,
};

/** Name of a fault on the command line, such as "kill-sender". */
const char *fault_name(Fault fault);

/** A fault and the step at which it is injected. */
struct Strike {
	Fault fault = Fault::kNone;
	uint64_t step = 0;
};

struct Options {
	/** Bits of enum ph_rule that the instances leave out. */
	uint32_t omitted_rules = 0;
	/** Entry instances of the home domain: 2 or 3. */
	int home_entries = 2;
	std::vector<Strike> strikes;
	/** Limit of the bytes of retained answers at an instance; 0: none. */
	size_t answer_bytes_max = 0;
	/** Prints each step and the final state dumps. */
	bool trace = false;
};

struct Result {
	uint64_t steps = 0;
	/** Callers that got a final answer. */
	uint64_t answered = 0;
	/** Callers without a final answer at the end. */
	uint64_t unanswered = 0;
	/** Empty if every invariant held. */
	std::vector<std::string> violations;
};

/** Simulates five callers' jobs from the start of the cluster to the end. */
Result run(const Options &options);

} // namespace sim

#endif
