/*
 * An instance is frozen for 3.5 s. Clients whose requests it has not read give
 * up at their deadline and send their jobs again to other instances. When it
 * wakes, it reads the old requests and starts their tasks.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

/* Site file: node_freeze, share 0.11 (one of six machines), for_s 3.5. */
#define FREEZE_MS 3500U
#define ROUNDS 3
/* The deadline of all kinds of request on the site. */
#define DEADLINE_MS 1500U
/* Jobs sent to the frozen instance in each round, and their interval. */
#define JOBS 12
#define EVERY_MS 50U
/* The first is sent again 2.8 s after this, while the instance is frozen. */
#define FIRST_MS 50U

static const char config[] =
	"{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"desk.example\","
	"\"prefix\":\"/q/\",\"service\":\"desk\",\"timeoutMs\":1500,"
	"\"targetDurationMs\":60,\"priority\":0,\"maxAttempts\":4,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"desk\"}],\"limits\":{}}";

static uint64_t served;
static uint64_t open_jobs;

struct job {
	unsigned number;
	/** Index of the instance that gets the first attempt. */
	size_t first;
};

/* Submits a job; after no answer, a broken connection or a 502 again, to
 * another instance, as PROTOCOL.md says of bestEffort jobs. */
static void *client(void *arg)
{
	struct job *j = arg;
	struct answer a = { 0 };
	char path[64];
	char body[256];
	int attempt;

	snprintf(path, sizeof(path), "/q/5c0e7a21%08x", j->number);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"900 ms 6800 of job %u\",\"bestEffort\":true,"
		 "\"steps\":[{\"count\":2,\"cpu\":6800,\"memMb\":64,"
		 "\"estimateMs\":900}]}",
		 j->number);
	for (attempt = 0; attempt < 3; attempt++) {
		size_t at = (j->first + (size_t)attempt * 2) % instance_count;
		struct instance *in = &instances[at];

		if (attempt)
			sleep_ms(RESEND_MS);
		record("client: POST %s to %s, attempt %d", path, in->name,
		       attempt + 1);
		a = http_call(in->ip, PORT_JOBS, "POST", "desk.example", path,
			      body, DEADLINE_MS);
		record("client: the answer for %s is %s (%d)", path + 3,
		       a.status ? a.body : a.timed_out ? "none in time"
						       : "none",
		       a.status);
		if (a.status && a.status != 502 && a.status != 504)
			break;
	}
	__atomic_add_fetch(&served, a.status == 200, __ATOMIC_RELAXED);
	__atomic_sub_fetch(&open_jobs, 1, __ATOMIC_RELAXED);
	free(j);
	return NULL;
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "dabuleni",      "dabuleni",
					     "calarasi-hill", "calarasi-hill",
					     "sadova",	      "bechet" };
	static const char *const executor_zones[] = { "dabuleni",
						      "calarasi-hill", "sadova",
						      "bechet" };
	unsigned sent = 0;
	int round;
	size_t i;

	platform_open(argc > 1 ? argv[1] : "record.txt");
	platform_config(config);
	for (i = 0; i < 16; i++) {
		char id[8];

		snprintf(id, sizeof(id), "i-%zu", i);
		executor_add(id, executor_zones[i % 4], "desk", "a", "r1",
			     32000, true);
	}
	for (i = 0; i < 6; i++) {
		char name[32];

		snprintf(name, sizeof(name), "edge-%s-%zu", zones[i], i);
		instance_add(name, zones[i]);
	}
	for (i = 0; i < instance_count; i++)
		instance_start(&instances[i]);
	if (!instances_await(10000)) {
		record("the instances don't get ready");
		finish(2);
	}
	sleep_ms(3000);
	for (round = 0; round < ROUNDS; round++) {
		size_t frozen = (size_t)round;
		uint64_t begin_us = clock_now_us();

		if (!calm())
			instance_signal(&instances[frozen], SIGSTOP);
		sleep_ms(FIRST_MS);
		for (i = 0; i < JOBS; i++) {
			struct job *j = calloc(1, sizeof(*j));
			pthread_t t;

			j->number = sent++;
			j->first = frozen;
			__atomic_add_fetch(&open_jobs, 1, __ATOMIC_RELAXED);
			pthread_create(&t, NULL, client, j);
			pthread_detach(t);
			sleep_ms(EVERY_MS);
		}
		while (clock_now_us() < begin_us + FREEZE_MS * MS)
			sleep_ms(1);
		if (!calm())
			instance_signal(&instances[frozen], SIGCONT);
		for (i = 0; i < 150 && __atomic_load_n(&open_jobs,
						       __ATOMIC_RELAXED);
		     i++)
			sleep_ms(100);
		sleep_ms(3000);
	}
	record("%u jobs, %llu served; starts of a task while another run of it "
	       "was in progress: %llu",
	       sent, (unsigned long long)served,
	       (unsigned long long)platform.twice);
	if (!platform.twice && served * 2 < sent) {
		record("under half of the jobs was served");
		finish(2);
	}
	finish(platform.twice ? 1 : 0);
}
