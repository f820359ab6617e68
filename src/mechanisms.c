#include <string.h>

#include "buf.h"
#include "mechanisms.h"

static const char *const names[PH_MECHANISMS] = {
	[PH_MECHANISM_SLACK_ORDER] = "slack-order",
	[PH_MECHANISM_SLACK_MARGIN] = "slack-margin",
	[PH_MECHANISM_EARLY_REFUSAL] = "early-refusal",
	[PH_MECHANISM_USEFUL_WAIT] = "useful-wait",
	[PH_MECHANISM_PENDING_POLLS] = "pending-polls",
	[PH_MECHANISM_AVOID_FAILING] = "avoid-failing",
	[PH_MECHANISM_AVOID_UNANSWERING] = "avoid-unanswering",
	[PH_MECHANISM_WIDESPREAD_LOSS] = "widespread-loss",
	[PH_MECHANISM_MOVE_SLOW] = "move-slow",
	[PH_MECHANISM_PROGRESS_CHECKS] = "progress-checks",
	[PH_MECHANISM_SHORT_POLLS] = "short-polls",
	[PH_MECHANISM_SHORT_TIMEOUT] = "short-timeout",
	[PH_MECHANISM_CLAIM_ORPHANS] = "claim-orphans",
	[PH_MECHANISM_SPREAD] = "spread",
	[PH_MECHANISM_SECOND_POOL] = "second-pool",
	[PH_MECHANISM_START_WAIT] = "start-wait",
	[PH_MECHANISM_OFFERS] = "offers",
	[PH_MECHANISM_PROBES] = "probes",
	[PH_MECHANISM_SHARED_PLAN] = "shared-plan",
	[PH_MECHANISM_READY_FIRST] = "ready-first",
	[PH_MECHANISM_LENGTH_LIMIT] = "length-limit",
	[PH_MECHANISM_ADMISSION] = "admission",
	[PH_MECHANISM_BEST_FIT] = "best-fit",
	[PH_MECHANISM_LOOK_AHEAD] = "look-ahead",
};

const char *ph_mechanism_name(enum ph_mechanism mechanism)
{
	return names[mechanism];
}

static bool switch_off(const char *name, struct ph_mechanisms_off *off)
{
	uint32_t i;

	for (i = 0; i < PH_MECHANISMS; i++) {
		if (strcmp(names[i], name) != 0)
			continue;
		off->bits |= 1U << i;
		return true;
	}
	return false;
}

int ph_mechanisms_parse(const char *list, struct ph_mechanisms_off *off,
			char *unknown)
{
	char name[PH_NAME_BYTES];
	const char *at = list ? list : "";

	off->bits = 0;
	while (*at) {
		size_t len = strcspn(at, ",");

		ph_strcopy(name,
			   len + 1 < sizeof(name) ? len + 1 : sizeof(name), at);
		if (!switch_off(name, off)) {
			ph_strcopy(unknown, PH_NAME_BYTES, name);
			return PH_ERR_UNKNOWN;
		}
		at += len;
		at += *at == ',';
	}
	return 0;
}
