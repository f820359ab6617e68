/* Feeds the readers of lists that anyone may write to: the executors and
 * instances in the store, and the instances of a service. The input is used as
 * a whole answer, and as one item: its key up to the first newline, then its
 * value. What is taken over has to be valid. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <apr_base64.h>
#include <jansson.h>

#include "executor_list.h"
#include "ident.h"
#include "platform.h"

static void check(bool valid)
{
	if (!valid)
		abort();
}

static void check_executors(const struct ph_executor_list *list)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		const struct ph_executor_info *x = &list->list[i];

		check(ph_platform_name_valid(x->id));
		check(ph_platform_name_valid(x->domain));
		check(ph_platform_name_valid(x->service));
		check(ph_addr_valid(x->addr));
		check(x->capacity.cpu_milli > 0);
	}
}

/* Reads the answer as two pages of the list, the second of which follows if the
 * first says so. */
static void read_pages(const char *text, size_t len)
{
	struct ph_executor_list list;
	struct ph_buf path;
	int i;

	ph_executor_list_init(&list, ph_mem_default());
	ph_buf_init(&path, ph_mem_default());
	for (i = 0; i < 2; i++) {
		enum ph_list_step step =
			ph_executor_list_page(&list, 1, text, len);

		check_executors(&list);
		ph_executor_list_put_path(&list, &path);
		check(!strpbrk(path.data, " \r\n#"));
		if (step != PH_LIST_NEXT)
			break;
	}
	ph_executor_list_free(&list);
	ph_buf_free(&path);
}

static void read_members(const char *text, size_t len)
{
	const struct ph_mem *mem = ph_mem_default();
	struct ph_wire_items items;
	size_t i;

	if (ph_wire_read_items(mem, text, len, &items))
		return;
	for (i = 0; i < items.count; i++) {
		const char *addr = ph_wire_read_member(&items.list[i]);

		check(!addr || strlen(addr) < PH_ADDR_BYTES);
	}
	ph_wire_items_clear(mem, &items);
}

static void read_instances(const char *text, size_t len)
{
	const struct ph_mem *mem = ph_mem_default();
	struct ph_endpoint_info *list;
	size_t count;

	if (!ph_platform_read_instances(mem, text, len, &list, &count))
		mem->free(list);
}

/* Reads the input as the key and the value of one item. */
static void read_item(const char *data, size_t size)
{
	const char *newline = memchr(data, '\n', size);
	size_t key_len = newline ? (size_t)(newline - data) : size;
	const char *value = newline ? newline + 1 : data + size;
	size_t value_len = size - (size_t)(value - data);
	char *base64 =
		calloc(1, (size_t)apr_base64_encode_len((int)value_len) + 1);
	json_t *key = json_stringn(data, key_len);
	json_t *page;
	char *text;

	apr_base64_encode(base64, value, (int)value_len);
	if (!key)
		key = json_string("servers/i-1");
	page = json_pack("{s:[{s:o,s:s,s:i}],s:b}", "items", "key", key,
			 "value", base64, "revision", 1, "truncated", 1);
	text = json_dumps(page, 0);
	read_pages(text, strlen(text));
	read_members(text, strlen(text));
	free(text);
	json_decref(page);
	free(base64);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	read_pages(text, size);
	read_members(text, size);
	read_instances(text, size);
	read_item(text, size);
	return 0;
}
