#ifndef SIM_H
#define SIM_H

/*
 * A small in-memory world for the deciders: entry instances of two failure
 * domains, the platform's roster keys, endpoints and callers, joined by a
 * network whose every message is a numbered step at which a fault can strike.
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

enum class Fault {
	kNone,
	kDrop,
	kDelayShort,
	kDelayLong,
	kDuplicate,
	kKillSender,
	kKillReceiver,
	kFreezeSender,
	kFreezeReceiver,
	kFreezeLong,
	kCutPair,
	kCutDomain,
	kIsolateFirst,
	kIsolateSecond,
	kPlatformDown,
	kPlatformSlow,
	kEndpointKill,
	kEndpointLeave,
	kStopFirst,
	kStopSecond,
	kCount,
};

const char *fault_name(Fault fault);

/** A fault that strikes at the given step. */
struct Strike {
	Fault fault = Fault::kNone;
	uint64_t step = 0;
};

struct Options {
	uint32_t omitted_rules = 0;
	/** Entry instances of the home domain: 2 or 3. */
	int home_entries = 2;
	std::vector<Strike> strikes;
	/** Most bytes of remembered answers at an instance; 0: no limit. */
	size_t answer_bytes_max = 0;
	bool trace = false;
};

struct Result {
	uint64_t steps = 0;
	uint64_t answered = 0;
	uint64_t pending = 0;
	/** Empty if every invariant held. */
	std::vector<std::string> violations;
};

Result run(const Options &options);

} // namespace sim

#endif
