#ifndef STANDIN_H
#define STANDIN_H

/*
 * Stand-ins for the scripts of this review: the platform's store, executors and
 * callers, in one process on loopback addresses, and the instances of
 * peridothall-dispatch under test, started with the flags of the deploy file.
 * Written from the users' PROTOCOL page. A fatal error of the stand-in itself
 * ends the process with status 2.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

uint64_t now_ms(void); /* steady, since the start of this program */
void sleep_ms(unsigned ms);
/* Writes a line to record.txt, with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
_Noreturn void die(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

/* Opens record.txt in the folder of the case and chooses loopback addresses. */
void standin_init(const char *folder);
/* Kills the instances that are left and exits. */
_Noreturn void standin_exit(int status);

/* ## Store */

void store_start(void);
void store_put(const char *key, const char *value);
void store_remove(const char *key);
/* Writes op/config with one route, /q/ at desk.example, to the service desk. */
void store_put_config(uint64_t version);
/* The same with a second route. */
void store_put_config_with(uint64_t version, const char *prefix,
			   const char *service);

/* ## Executors */

enum { EXECUTORS_MAX = 8, RUNS_MAX = 8192 };

struct executor;

struct run_view {
	char task[64];
	uint64_t run;
	int executor;
	uint64_t from_ms;
	uint64_t to_ms; /* 0: still running */
	char how[12];
};

/* Adds an executor and lists it in the store; labels: JSON text of a list. */
int executor_add(const char *id, const char *zone, const char *labels,
		 unsigned cpu);
int executor_add_to(const char *service, const char *id, const char *zone,
		    const char *labels, unsigned cpu);
const char *executor_id(int x);
/* The process dies: connections break and its port refuses. */
void executor_crash(int x);
/* The process starts again under its id, as a new incarnation: nothing runs,
 * its clock and its counts start anew. Its entry in the store follows. */
void executor_restart(int x);
/* It is cut off from all instances, in both directions, and runs on. */
void executor_cut(int x, bool cut);
/* The next start gets no answer and is not carried out yet; it is handed back
 * to be carried out later. False until then. */
void executor_hold_next_start(int x);
bool executor_held_start(int x);
/* Keeps a copy of each poll that renews a lease and got no answer. */
bool executor_unanswered_poll(int x);
/* Carries out the held start or the unanswered poll now; what the executor
 * would have answered is written to the record. */
int executor_carry_out_start(int x);
int executor_carry_out_poll(int x);
/* Number of calls that the present incarnation has answered. */
unsigned executor_calls(int x);
/* Copies all runs so far; returns their number. */
int runs_list(struct run_view *out, int max);
/* The executor on which the task runs now; -1: none. */
int running_on(const char *task);
/* Longest time in ms for which two runs of one task went on at the same time;
 * writes each such pair to the record. */
uint64_t longest_overlap_ms(void);

/* ## Instances */

int instance_start(const char *name, const char *zone);
void instance_signal(int i, int sig);
/* Waits until all instances report ready. */
void instances_await_ready(unsigned ms);
bool instance_alive(int i);

/* ## Callers */

struct answer {
	int status; /* 0: the connection broke or nothing came in time */
	char body[512];
};

struct call;

/* Sends a request on a connection of its own. deadline_ms: the value of
 * X-Request-Deadline, for which the caller waits; then it closes. */
struct call *call_begin(int instance, const char *method, const char *path,
			const char *body, unsigned deadline_ms);
bool call_done(struct call *c);
/* Waits for the end; the call is freed. */
struct answer call_end(struct call *c);
struct answer call_now(int instance, const char *method, const char *path,
		       const char *body, unsigned deadline_ms);

#endif
