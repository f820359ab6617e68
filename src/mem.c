#include <stdio.h>
#include <stdlib.h>

#include "peridothall.h"

static void *abort_if_null(void *ptr)
{
	if (!ptr) {
		fputs("mem: Out of memory, aborting.\n", stderr);
		abort();
	}
	return ptr;
}

static void *default_calloc(size_t count, size_t size)
{
	return abort_if_null(calloc(count ? count : 1, size ? size : 1));
}

static void *default_realloc(void *ptr, size_t size)
{
	return abort_if_null(realloc(ptr, size ? size : 1));
}

static const struct ph_mem default_mem = {
	.calloc = default_calloc,
	.realloc = default_realloc,
	.free = free,
};

const struct ph_mem *ph_mem_default(void)
{
	return &default_mem;
}
