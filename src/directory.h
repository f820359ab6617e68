#ifndef PH_DIRECTORY_H
#define PH_DIRECTORY_H

/*
 * The current list of executors, as last read from the platform. The
 * platform's answers may be outdated, empty or missing: a failed or empty read
 * changes nothing, and entries that are missing after an outage of the
 * platform's store are retained for a short time. Instances compare their lists
 * by digest and replicate changes to instances that hold the same list.
 */

#include "pool_types.h"

struct ph_directory;

/**
 * Most entries of either kind in a change that is sent to other instances. They
 * read the list themselves after a larger change.
 */
#define PH_LIST_CHANGES_MAX 128U
/** Most bytes of texts in such a change. */
#define PH_LIST_CHANGE_BYTES_MAX (1U << 20)

/** The difference between two successive lists; its texts are borrowed. */
struct ph_list_change {
	/** Digest of the list that the change applies to, and of the list that
	 * results; 0: no list. */
	uint64_t digest_before;
	uint64_t digest_after;
	/** Time since the read of the resulting list was sent. */
	uint64_t age_us;
	/** New entries and entries with changed fields. */
	size_t updated_count;
	struct ph_executor_info updated[PH_LIST_CHANGES_MAX];
	/** Ids of entries that are no longer listed. */
	size_t removed_count;
	const char *removed[PH_LIST_CHANGES_MAX];
};

struct ph_directory *ph_directory_new(const struct ph_mem *mem);
void ph_directory_free(struct ph_directory *directory);

/**
 * Takes over a complete list that was read; asked_us is when the read was sent.
 * Copies the list. Returns true if the current list has changed.
 */
bool ph_directory_read(struct ph_directory *directory, uint64_t now_us,
		       uint64_t asked_us, const struct ph_executor_info *list,
		       size_t count);

/**
 * Fills in the change made by the last read or applied change, whose texts are
 * valid until the next one. Returns false if it has more entries than
 * PH_LIST_CHANGES_MAX or more texts than PH_LIST_CHANGE_BYTES_MAX.
 */
bool ph_directory_last_change(const struct ph_directory *directory,
			      uint64_t now_us, struct ph_list_change *change);

/**
 * Applies a change received from another instance. Returns false, and changes
 * nothing, if its digests don't match the current or the resulting list.
 */
bool ph_directory_apply(struct ph_directory *directory, uint64_t now_us,
			const struct ph_list_change *change);

/**
 * Another instance, by a read sent at read_us, got the list that is current
 * here; the age of the list counts from then if that is later.
 */
void ph_directory_confirm(struct ph_directory *directory, uint64_t read_us);

/** Digest of the current list; 0: no list. */
uint64_t ph_directory_digest(const struct ph_directory *directory);

/** Records that a read of the list has failed. */
void ph_directory_read_failed(struct ph_directory *directory, uint64_t now_us);

/**
 * Time since the read that last gave or confirmed the current list was sent;
 * UINT64_MAX: no list has been read.
 */
uint64_t ph_directory_age_us(const struct ph_directory *directory,
			     uint64_t now_us);

/**
 * The current list, sorted by id; valid until the next read or applied change.
 */
const struct ph_executor_info *
ph_directory_list(const struct ph_directory *directory, size_t *count);

#endif
