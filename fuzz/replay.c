/* Passes each file of a fuzzing corpus to its fuzz target as a regression test.
 * Usage: replay DIR */

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

int fuzz_msg(const uint8_t *data, size_t size);
int fuzz_spec(const uint8_t *data, size_t size);
int fuzz_config(const uint8_t *data, size_t size);
int fuzz_roster(const uint8_t *data, size_t size);
int fuzz_poolmsg(const uint8_t *data, size_t size);
int fuzz_wire(const uint8_t *data, size_t size);
int fuzz_list(const uint8_t *data, size_t size);

struct target {
	const char *name;
	int (*run)(const uint8_t *data, size_t size);
};

static const struct target targets[] = {
	{ "msg", fuzz_msg },	     { "spec", fuzz_spec },
	{ "config", fuzz_config },   { "roster", fuzz_roster },
	{ "poolmsg", fuzz_poolmsg }, { "wire", fuzz_wire },
	{ "list", fuzz_list },
};

/* Runs a target on the files of DIR/NAME and returns their number. */
static int replay(const char *base, const struct target *target)
{
	char path[1024];
	struct dirent *entry;
	int count = 0;
	DIR *dir;

	snprintf(path, sizeof(path), "%s/%s", base, target->name);
	dir = opendir(path);
	while (dir && (entry = readdir(dir))) {
		size_t len;
		char *data;

		if (entry->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s/%s", base, target->name,
			 entry->d_name);
		data = ph_cli_read_file(path, &len);
		if (!data)
			continue;
		target->run((const uint8_t *)data, len);
		free(data);
		count++;
	}
	if (dir)
		closedir(dir);
	return count;
}

int main(int argc, char **argv)
{
	size_t i;

	if (argc != 2)
		return 2;
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++) {
		int count = replay(argv[1], &targets[i]);

		printf("%s: %d inputs\n", targets[i].name, count);
		if (!count)
			return 1;
	}
	return 0;
}
