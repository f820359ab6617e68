#ifndef PH_BUF_H
#define PH_BUF_H

/* A growable byte buffer that is always NUL-terminated once written. */

#include "peridothall.h"

struct ph_buf {
	const struct ph_mem *mem;
	char *data;
	size_t len;
	size_t cap;
};

/** Initializes an empty buffer; memory is allocated at the first write. */
void ph_buf_init(struct ph_buf *buf, const struct ph_mem *mem);

/** Appends len bytes. */
void ph_buf_put(struct ph_buf *buf, const void *data, size_t len);

/** Appends a NUL-terminated string. */
void ph_buf_puts(struct ph_buf *buf, const char *text);

/** Appends formatted text. */
void ph_buf_printf(struct ph_buf *buf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Removes the first len bytes. */
void ph_buf_consume(struct ph_buf *buf, size_t len);

/** Returns the memory, which the caller then frees, and empties the buffer. */
char *ph_buf_detach(struct ph_buf *buf);

void ph_buf_free(struct ph_buf *buf);

/** Returns a NUL-terminated copy of len bytes, or NULL if data is NULL. */
char *ph_memdup(const struct ph_mem *mem, const char *data, size_t len);

/** Copies a string, cut off at size - 1 bytes; a NULL src is an empty string.
 */
void ph_strcopy(char *dst, size_t size, const char *src);

/**
 * Adds a zeroed element of size bytes to an array of count elements that was
 * grown by this function only. Returns the array, which may have moved.
 */
void *ph_array_grow(const struct ph_mem *mem, void *array, size_t count,
		    size_t size);

#endif
