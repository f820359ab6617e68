/*
 * A configuration adds a route to a service with a name of 35 characters. See
 * claim.txt.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define SERVICE "consorcio-encordado-mostrador-comun"
#define BODY                                                                  \
	"{\"spec\":\"4000 60\",\"bestEffort\":true,\"steps\":[{\"count\":1," \
	"\"cpu\":4000,\"memMb\":64,\"estimateMs\":60}]}"

enum { CONFIG_APPLY_MS = 2000 };

int main(int argc, char **argv)
{
	const char *setting = getenv("TROUBLE");
	bool trouble = !setting || strcmp(setting, "0") != 0;
	int broken = 0;
	int i;

	if (argc != 2)
		return 2;
	standin_init(argv[1]);
	store_start();
	store_put_config(3);
	executor_add("i-0a1", "north", "[\"k1\"]", 16000);
	executor_add("i-0b1", "south", "[\"k1\"]", 16000);
	executor_add_to(SERVICE, "i-0a2", "north", "[\"k1\"]", 16000);
	executor_add_to(SERVICE, "i-0b2", "south", "[\"k1\"]", 16000);
	instance_start("edge-north-1", "north");
	instance_start("edge-north-2", "north");
	instance_start("edge-south-1", "south");
	instance_start("edge-south-2", "south");
	instances_await_ready(10000);
	sleep_ms(3000);

	if (trouble)
		store_put_config_with(9, "/long/", SERVICE);
	sleep_ms(CONFIG_APPLY_MS + 500);
	for (i = 0; i < 40; i++) {
		char path[64];
		struct answer a;

		snprintf(path, sizeof(path), "%s%016x",
			 trouble && i % 2 ? "/long/" : "/q/", i + 1);
		a = call_now(i / 2 % 4, "POST", path, BODY, 1500);
		if (a.status == 404) {
			record("CONFIG: 404 for %s, the route is there since "
			       "version 9",
			       path);
			broken++;
		}
		sleep_ms(100);
	}
	record("%d requests refused with 404 though the route is there",
	       broken);
	standin_exit(broken ? 1 : 0);
}
