#ifndef PH_DIRECTORY_H
#define PH_DIRECTORY_H

/*
 * The executors that may be used, from the platform's list, which lags, is
 * empty or away at times. A failed or empty read changes nothing; an entry
 * that is missing after an outage has a short time to come back. Instances
 * that hold the same list, by its digest, keep it alike by passing changes on.
 */

#include "pool_types.h"

struct ph_directory;

/** Entries of a change that is passed on; a larger one is read anew. */
#define PH_LIST_CHANGES_MAX 128U

/** What turns one list into the next. */
struct ph_list_change {
	/** Digests of the lists before and after; 0: no list. */
	uint64_t before;
	uint64_t after;
	/** Age of the newer list. */
	uint64_t age_us;
	/** New entries, and those with another content. */
	size_t set_count;
	struct ph_executor_info set[PH_LIST_CHANGES_MAX];
	size_t gone_count;
	char gone[PH_LIST_CHANGES_MAX][PH_NAME_BYTES];
};

struct ph_directory *ph_directory_new(const struct ph_mem *mem);
void ph_directory_free(struct ph_directory *directory);

/**
 * A whole list was read; asked_us is when the read was sent. True if the list
 * in force has changed.
 */
bool ph_directory_read(struct ph_directory *directory, uint64_t now_us,
		       uint64_t asked_us, const struct ph_executor_info *list,
		       size_t count);

/**
 * What the last read has changed, for instances that hold the list of before;
 * false if it is too large to be passed on.
 */
bool ph_directory_last_change(const struct ph_directory *directory, uint64_t now_us,
			 struct ph_list_change *change);

/**
 * Applies another instance's change; false if the list here is not the one
 * that it starts from.
 */
bool ph_directory_apply(struct ph_directory *directory, uint64_t now_us,
			const struct ph_list_change *change);

/** Another instance had the same list in force when it was so old. */
void ph_directory_confirm(struct ph_directory *directory, uint64_t read_us);

/** Digest of the list in force; 0: none. */
uint64_t ph_directory_digest(const struct ph_directory *directory);

/** A read failed. */
void ph_directory_read_failed(struct ph_directory *directory, uint64_t now_us);

/** Age of the newest whole list; UINT64_MAX: none. */
uint64_t ph_directory_age_us(const struct ph_directory *directory,
			     uint64_t now_us);

/** The executors in force. */
const struct ph_executor_info *
ph_directory_list(const struct ph_directory *directory, size_t *count);

#endif
