/*
 * A stand-in for the users' platform, on loopback addresses and the real clock:
 * the store, executors and clients. A case's program links it, starts the
 * dispatchers and then plays its order of events.
 */
#ifndef STANDIN3_PLATFORM_H
#define STANDIN3_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define EXECUTORS_MAX 16
#define NODES_MAX 8

/* Bounds of the small deployments. */
#define HOLD_MAX_MS 1000
#define STOP_MS 50
#define DRAIN_MS 2000
#define CONFIG_APPLY_MS 2000
#define CONTACT_MS 3000

#define PREFIX "/lohu930/"
#define HOST "nony24.example"
#define SERVICE "mostrador-comun"

/* A job as a client hands it in. */
struct job {
	char id[17];
	/* Prefix of the queue; NULL: PREFIX. */
	const char *prefix;
	int count;
	/* Time that each task works, and what the job declares. */
	int work_ms;
	int estimate_ms;
	int cpu_milli;
	/* How long the client waits for the answer. */
	int deadline_ms;
	/* The answer to the latest POST; 0: none, or the connection broke. */
	int status;
	bool answered;
	char answer[256];
};

/* ## Set-up */

/* Opens record.txt in the folder and takes a free loopback network. */
void platform_init(const char *folder, const char *dispatch);
/* Adds an executor of the zone; returns its number. */
int executor_add(const char *zone, int cpu_milli);
/* Adds an entry machine of the zone; returns its number. */
int node_add(const char *zone);
/* Starts the platform's thread and all machines, and waits until each is ready
 * and has been running for contactMs. False if one is not ready in time. */
bool platform_start(void);
/* Ends all processes. */
void platform_stop(void);

/* ## Time and record */

double now_s(void);
void sleep_ms(int ms);
/* Adds a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ## Clients */

/* The operator adds a route with this prefix to the configuration. */
void config_add_route(const char *prefix);
/* POST of the job at a node; returns when it is answered, the connection broke
 * or the client's deadline has passed. Returns the status, or 0. */
int job_post(struct job *job, int node);
/* The same in a thread of its own. */
void job_post_later(struct job *job, int node);
/* Whether that thread has ended. */
bool job_post_ended(struct job *job);
/* Jobs of one task of 60 ms, one after the other, at the machines in turn.
 * False if one is not answered with 200. */
bool play_small_jobs(int count);

/* ## Machines and executors */

void node_signal(int node, int signal_number);
/* The machine that acquired the zone's pool last, by the logs; -1: none. */
int pool_owner(const char *zone);
/* The next start of a task of this job, at any executor, gets no answer and is
 * carried out so much later, or as soon as the executor is up after that. */
void hold_next_start(const char *job_id, int after_ms);
/* The executor whose start was held, or -1. */
int held_executor(void);
/* The executor's process ends: connections are reset, new ones refused. */
void executor_crash(int executor);
/* It starts again under its id and knows nothing of before. */
void executor_restart(int executor);

/* ## What was seen */

/* Starts of a task while another run of it was going on, on executors that are
 * up. */
int overlapping_starts(void);

#endif
