#ifndef PH_ROSTER_H
#define PH_ROSTER_H

/*
 * The roster of one failure domain: which entry instances may start tasks of
 * its jobs. It is kept at the platform and changed by compare-and-swap only;
 * its version rises by one with each change.
 */

#include <stdbool.h>

#include "buf.h"

#define PH_MAX_LOST 32U

struct ph_roster_member {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	/** Differs between two lives of one instance. */
	uint64_t incarnation;
	/** Version in which the member joined. */
	uint64_t joined;
};

struct ph_roster {
	char domain[PH_NAME_BYTES];
	uint64_t version;
	/** Platform's modification index, for compare-and-swap; 0: none. */
	uint64_t index;
	/** Version in which knowledge of started jobs was last broken off. */
	uint64_t broken;
	size_t count;
	struct ph_roster_member members[PH_MAX_MEMBERS];
	/** Removed members that may have started jobs nobody else knows. */
	size_t lost_count;
	uint64_t lost[PH_MAX_LOST];
};

/** Primary and copy of a key; -1 where the roster has too few members. */
struct ph_pair {
	int primary;
	int backup;
};

/** Writes the roster as a JSON document. */
void ph_roster_encode(const struct ph_roster *roster, struct ph_buf *out);

/** Reads a JSON document; returns 0 or PH_ERR_SYNTAX. */
int ph_roster_decode(struct ph_roster *roster, const char *text, size_t len);

/** Index of the member with the incarnation, or -1. */
int ph_roster_find(const struct ph_roster *roster, uint64_t incarnation);

bool ph_roster_is_lost(const struct ph_roster *roster, uint64_t incarnation);

/** Ranks the members for a key hash by rendezvous. */
struct ph_pair ph_roster_pair(const struct ph_roster *roster, uint64_t key);

/** Adds a member as of the roster's version; false if it is full. */
bool ph_roster_add(struct ph_roster *roster,
		   const struct ph_roster_member *member);

/**
 * Removes a member; if lost, keeps its incarnation on the lost list. False if
 * there is no such member or no room to keep it.
 */
bool ph_roster_remove(struct ph_roster *roster, uint64_t incarnation,
		      bool lost);

/** Takes an incarnation off the lost list. */
void ph_roster_found(struct ph_roster *roster, uint64_t incarnation);

#endif
