/*
 * The answer to an order gets lost, and the executor carries the order out
 * seconds later. Meanwhile it has lost power for half a second and started
 * again. Exits with 1 if two runs of the task go on at the same time, 0 if not,
 * 2 if the case couldn't run.
 */
#include <stdlib.h>
#include <string.h>

#include "../standin-3/platform.h"

/* When, after the POST, the executor loses power, and for how long. */
/* Before: of all orders that start a task, less than one in twenty is late. */
#define SMALL_JOBS 24
#define DARK_MS 2000
#define DOWN_MS 500
#define ORDER_LATE_MS 2300

int main(int argc, char **argv)
{
	bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	struct job job = { .id = "a41d0c7e95b2f368",
			   .count = 1,
			   .work_ms = 3600,
			   .estimate_ms = 3600,
			   .cpu_milli = 6800,
			   .deadline_ms = 10000 };
	int status = 2;
	int executor;
	int i;

	if (argc != 3)
		return 2;
	platform_init(argv[1], argv[2]);
	for (i = 0; i < 8; i++)
		executor_add(i < 4 ? "zona-rosario" : "zona-cordoba", 16000);
	node_add("zona-rosario");
	node_add("zona-cordoba");
	if (!platform_start() || !play_small_jobs(SMALL_JOBS))
		goto out;
	if (trouble)
		hold_next_start(job.id, ORDER_LATE_MS);
	job_post_later(&job, 0);
	sleep_ms(DARK_MS);
	executor = held_executor();
	if (trouble && executor < 0) {
		record("the order was not held");
		goto out;
	}
	if (trouble) {
		executor_go_dark(executor);
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
