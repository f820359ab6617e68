/*
 * The answer to an order gets lost, the machine that sent it is killed, and the
 * executor carries the order out seconds later, after it has crashed and
 * started again. Exits with 1 if two runs of the task go on at the same time, 0
 * if not, 2 if the case couldn't run.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../standin-3/platform.h"

#define ZONE "zona-rosario"
#define NODES 3
/* Before: of all orders that start a task, less than one in twenty is late. */
#define SMALL_JOBS 24
/* After the POST: the kill, and when the executor ends and starts again. */
#define KILL_MS_AFTER 25
#define CRASH_MS_AFTER 2000
#define DOWN_MS 1500
#define ORDER_LATE_MS 3000

int main(int argc, char **argv)
{
	bool trouble =
		!getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	struct job job = { .id = "91d4c06be8f73a52",
			   .count = 1,
			   .work_ms = 3600,
			   .estimate_ms = 3600,
			   .cpu_milli = 6800,
			   .deadline_ms = 12000 };
	int status = 2;
	int executor;
	int owner;
	int i;

	if (argc != 3)
		return 2;
	platform_init(argv[1], argv[2]);
	for (i = 0; i < 8; i++)
		executor_add(ZONE, 16000);
	for (i = 0; i < NODES; i++)
		node_add(ZONE);
	if (!platform_start() || !play_small_jobs(SMALL_JOBS))
		goto out;
	owner = pool_owner(ZONE);
	if (owner < 0)
		goto out;
	if (trouble)
		hold_next_start(job.id, ORDER_LATE_MS);
	job_post_later(&job, (owner + 1) % NODES);
	sleep_ms(KILL_MS_AFTER);
	executor = held_executor();
	if (trouble && executor < 0) {
		record("the order was not held");
		goto out;
	}
	if (trouble) {
		node_signal(owner, SIGKILL);
		sleep_ms(CRASH_MS_AFTER - KILL_MS_AFTER);
		record("owner  now=%d before=%d", pool_owner(ZONE), owner);
		executor_crash(executor);
		sleep_ms(DOWN_MS);
		executor_restart(executor);
	}
	while (!job_post_ended(&job))
		sleep_ms(10);
	sleep_ms(500);
	status = overlapping_starts() ? 1 : 0;
out:
	platform_stop();
	return status;
}
