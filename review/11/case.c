/*
 * A client cancels its running job by a DELETE that reaches another entry
 * machine than the POST. Exits with 1 if a task of the job starts, or runs on,
 * later than the rule allows; 0 if not; 2 if the case couldn't run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin-3/platform.h"

#define ZONE "zona-rosario"

int main(int argc, char **argv)
{
	bool trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	struct job job = { .id = "5c0e7a21d94b36f8",
			   .count = 16,
			   .work_ms = 2000,
			   .estimate_ms = 2000,
			   .cpu_milli = 6800,
			   .deadline_ms = 20000 };
	int status = 2;
	int first;
	int other;
	int starts;
	int i;

	if (argc != 3)
		return 2;
	platform_init(argv[1], argv[2]);
	for (i = 0; i < 2; i++)
		executor_add(ZONE, 16000);
	first = node_add(ZONE);
	other = node_add(ZONE);
	if (!platform_start())
		goto out;
	job_post_later(&job, first);
	sleep_ms(500);
	if (!runs_of(job.id, -1)) {
		record("no task has started");
		goto out;
	}
	job_delete(&job, trouble ? other : first);
	if (!job.cancelled_s)
		goto out;
	sleep_ms(CANCEL_MS + STOP_MS + 5000);
	starts = starts_after(job.id, job.cancelled_s + CANCEL_MS / 1000.0);
	i = runs_at_or_after(job.id, job.cancelled_s +
					     (CANCEL_MS + STOP_MS) / 1000.0);
	record("cancelled at %.4f: %d tasks started later than cancel_ms after "
	       "that, %d ran later than stopMs more",
	       job.cancelled_s, starts, i);
	if (starts || i)
		record("BROKEN rule=UNASKED");
	status = starts || i ? 1 : 0;
out:
	platform_stop();
	return status;
}
