#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "buf.h"

#define MIN_CAPACITY_BYTES 256U
/* Room for formatted text; if it is longer, it is formatted anew. */
#define PRINTF_BYTES 128U

void ph_buf_init(struct ph_buf *buf, const struct ph_mem *mem)
{
	memset(buf, 0, sizeof(*buf));
	buf->mem = mem;
}

/* Makes room for len more bytes and a NUL. */
static void reserve(struct ph_buf *buf, size_t len)
{
	size_t need = buf->len + len + 1;
	size_t cap = buf->cap * 2;

	if (need <= buf->cap)
		return;
	if (cap < need)
		cap = need;
	if (cap < MIN_CAPACITY_BYTES)
		cap = MIN_CAPACITY_BYTES;
	buf->data = buf->mem->realloc(buf->data, cap);
	buf->cap = cap;
}

void ph_buf_put(struct ph_buf *buf, const void *data, size_t len)
{
	reserve(buf, len);
	if (len)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
}

void ph_buf_puts(struct ph_buf *buf, const char *text)
{
	ph_buf_put(buf, text, strlen(text));
}

void ph_buf_printf(struct ph_buf *buf, const char *format, ...)
{
	size_t room = PRINTF_BYTES;
	va_list args;
	int len;

	do {
		reserve(buf, room);
		va_start(args, format);
		len = vsnprintf(buf->data + buf->len, room + 1, format, args);
		va_end(args);
		if (len < 0) {
			buf->data[buf->len] = '\0';
			return;
		}
	} while ((size_t)len > room && (room = (size_t)len));
	buf->len += (size_t)len;
}

void ph_buf_consume(struct ph_buf *buf, size_t len)
{
	if (!len)
		return;
	buf->len -= len;
	memmove(buf->data, buf->data + len, buf->len);
	buf->data[buf->len] = '\0';
}

char *ph_buf_detach(struct ph_buf *buf)
{
	char *data = buf->data;

	ph_buf_init(buf, buf->mem);
	return data;
}

void ph_buf_free(struct ph_buf *buf)
{
	buf->mem->free(buf->data);
	ph_buf_init(buf, buf->mem);
}

char *ph_memdup(const struct ph_mem *mem, const char *data, size_t len)
{
	char *copy;

	if (!data)
		return NULL;
	copy = mem->calloc(1, len + 1);
	memcpy(copy, data, len);
	return copy;
}

void ph_strcopy(char *dst, size_t size, const char *src)
{
	size_t len = src ? strnlen(src, size - 1) : 0;

	if (len)
		memcpy(dst, src, len);
	dst[len] = '\0';
}

void *ph_array_grow(const struct ph_mem *mem, void *array, size_t count,
		    size_t size)
{
	/* The capacity is the least power of two that holds count elements,
	 * so the array is full whenever count is 0 or a power of two. */
	if (!(count & (count - 1)))
		array = mem->realloc(array, (count ? 2 * count : 1) * size);
	memset((char *)array + count * size, 0, size);
	return array;
}
