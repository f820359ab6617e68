#ifndef PH_ROSTER_H
#define PH_ROSTER_H

/*
 * The roster of one failure domain lists the entry instances that may start
 * tasks of the domain's jobs. It is stored at the platform and changed by
 * compare-and-swap only; each change raises its version by one.
 */

#include <stdbool.h>

#include "buf.h"

/** Most incarnations on a roster's lost list. */
#define PH_MAX_LOST 32U

struct ph_roster_member {
	char name[PH_NAME_BYTES];
	char addr[PH_ADDR_BYTES];
	/** Identifies one run of the instance's process, or one membership
	 * of it: an instance that was removed rejoins under a new one. */
	uint64_t incarnation;
	/** Roster version that added the member. */
	uint64_t joined;
};

struct ph_roster {
	char domain[PH_NAME_BYTES];
	uint64_t version;
	/** Modification index at the platform; 0: none. */
	uint64_t index;
	/**
	 * Version of the last change that may have lost records of started
	 * tasks: a member was removed before state transfer was complete, or
	 * all members were replaced. Records that are complete only as of an
	 * earlier version permit no start. 0: there was no such change.
	 */
	uint64_t continuity_version;
	size_t count;
	struct ph_roster_member members[PH_MAX_MEMBERS];
	/** Incarnations of removed members that may have started tasks which
	 * no other member has a record of. */
	size_t lost_count;
	uint64_t lost[PH_MAX_LOST];
};

/** Indices of a key's primary and backup among the roster's members; -1 where
 * there are too few. */
struct ph_pair {
	int primary;
	int backup;
};

/** Appends the roster as a JSON document. */
void ph_roster_encode(const struct ph_roster *roster, struct ph_buf *out);

/** Decodes a JSON document; returns 0 or PH_ERR_SYNTAX. */
int ph_roster_decode(struct ph_roster *roster, const char *text, size_t len);

/** Index of the member with the incarnation, or -1. */
int ph_roster_find(const struct ph_roster *roster, uint64_t incarnation);

bool ph_roster_is_lost(const struct ph_roster *roster, uint64_t incarnation);

/** Selects primary and backup of a key hash by rendezvous hashing. */
struct ph_pair ph_roster_pair(const struct ph_roster *roster, uint64_t key);

/** Adds a member as joined in the roster's version; false if the roster is
 * full. */
bool ph_roster_add(struct ph_roster *roster,
		   const struct ph_roster_member *member);

/**
 * Removes a member and, if lost is set, puts its incarnation on the lost list.
 * Returns false and changes nothing if there is no such member or the lost
 * list is full.
 */
bool ph_roster_remove(struct ph_roster *roster, uint64_t incarnation,
		      bool lost);

/** Removes an incarnation from the lost list, if it is there. */
void ph_roster_clear_lost(struct ph_roster *roster, uint64_t incarnation);

#endif
