#include <stdbool.h>
#include <string.h>

#include "json_list.h"

/* Overwrites a list's element with a number if it can't be parsed. */
static void drop_element(char *text, size_t len, size_t flags)
{
	json_t *element = json_loadb(text, len, flags, NULL);

	if (!element) {
		memset(text, ' ', len);
		text[0] = '0';
	}
	json_decref(element);
}

/* Drops the elements of a document's lists that can't be parsed. */
static void drop_elements(char *text, size_t len, size_t element_depth,
			  size_t flags)
{
	bool in_string = false;
	size_t depth = 0;
	size_t start = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		char c = text[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
		} else if (c == '"') {
			in_string = true;
		} else if (c == '{' || c == '[') {
			if (depth++ == element_depth)
				start = i;
		} else if ((c == '}' || c == ']') && depth &&
			   --depth == element_depth) {
			drop_element(text + start, i + 1 - start, flags);
		}
	}
}

json_t *ph_json_load_list(const struct ph_mem *mem, const char *text,
			  size_t len, size_t depth, size_t flags)
{
	json_t *root = json_loadb(text, len, flags, NULL);
	char *copy;

	if (root || !text)
		return root;
	copy = ph_memdup(mem, text, len);
	drop_elements(copy, len, depth, flags);
	root = json_loadb(copy, len, flags, NULL);
	mem->free(copy);
	return root;
}
