#ifndef PH_DIRECTORY_H
#define PH_DIRECTORY_H

/*
 * The executors that may be used, from the platform's list, which lags, is
 * empty or away at times. A failed or empty read changes nothing; an entry
 * that is missing after an outage has a short time to come back.
 */

#include "work.h"

struct ph_directory;

struct ph_directory *ph_directory_new(const struct ph_mem *mem);
void ph_directory_free(struct ph_directory *directory);

/** A whole list was read; asked_us is when the read was sent. */
void ph_directory_read(struct ph_directory *directory, uint64_t now_us,
		       uint64_t asked_us, const struct ph_executor_info *list,
		       size_t count);

/** A read failed. */
void ph_directory_failed(struct ph_directory *directory, uint64_t now_us);

/** Age of the newest whole list; UINT64_MAX: none. */
uint64_t ph_directory_age_us(const struct ph_directory *directory,
			     uint64_t now_us);

/** The executors in force. */
const struct ph_executor_info *
ph_directory_list(const struct ph_directory *directory, size_t *count);

#endif
