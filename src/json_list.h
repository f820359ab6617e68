#ifndef PH_JSON_LIST_H
#define PH_JSON_LIST_H

/* JSON documents that hold a list whose elements come from several writers: one
 * element that can't be parsed does not hide the others. */

#include <jansson.h>

#include "buf.h"

/** Depth at which the elements of the list begin: the document is the list, or
 * the list is a field of the document. */
#define PH_JSON_LIST_ROOT 1U
#define PH_JSON_LIST_FIELD 2U

/** Parses a document; flags are those of json_loadb(). If that fails, elements
 * of its lists that can't be parsed are replaced by the number 0. Returns NULL
 * if the document can't be parsed all the same; the caller releases it with
 * json_decref(). */
json_t *ph_json_load_list(const struct ph_mem *mem, const char *text,
			  size_t len, size_t depth, size_t flags);

#endif
