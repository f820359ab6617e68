#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

/*
 * A stand-in for the users' platform: its store, executors that hold runs under
 * leases, clients, and the processes of the system, started with the command
 * line of deploy/system.toml. It follows PROTOCOL.md; where that page is silent
 * it does what a sound store, executor or client would do. Everything that is
 * sent, answered and run is written to record.txt.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#define MS 1000ULL
#define EXECUTORS_MAX 32
#define INSTANCES_MAX 8
#define RUNS_MAX 64
#define ENDS_MAX 4096
#define TASKS_MAX 8192
#define KEYS_MAX 64
#define CONNS_MAX 256
#define NAME_MAX_BYTES 96
/* Bounds of the site dune-ops, as in its settings. */
#define HOLD_MAX_MS 1000
#define STOP_MS 50
#define DRAIN_MS 2000
#define CONFIG_APPLY_MS 2000
#define CANCEL_MS 3000
#define HEARTBEAT_MS 1500
#define RESEND_MS 1300

/* ## Record */

/** Milliseconds since the start of the script. */
uint64_t clock_now_us(void);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void sleep_ms(uint64_t ms);

/* ## HTTP */

struct request {
	char method[8];
	/** Without the query. */
	char path[256];
	char query[256];
	/** Value of X-Expect-Instance, or empty. */
	char expect[64];
	/** Address of the caller. */
	char from[16];
	char *body;
	size_t len;
};

struct response {
	int status;
	/** Freed by the server. */
	char *body;
	/** No answer: the connection stays open until the caller closes it. */
	bool mute;
};

struct web {
	char ip[16];
	int port;
	void (*handle)(void *ctx, const struct request *q, struct response *r);
	void *ctx;
	int listen_fd;
	bool up;
	pthread_t thread;
	pthread_mutex_t lock;
	int conns[CONNS_MAX];
};

bool web_start(struct web *w);
/** Closes the listener and resets all connections. */
void web_stop(struct web *w);

struct answer {
	/** 0: no answer until the deadline, or a broken connection. */
	int status;
	char body[512];
	bool timed_out;
};

/**
 * One request over a new connection. deadline_ms: how long the client waits; it
 * is also sent as X-Request-Deadline. host may be NULL.
 */
struct answer http_call(const char *ip, int port, const char *method,
			const char *host, const char *path, const char *body,
			uint64_t deadline_ms);

/* ## Executors */

struct run {
	char task[NAME_MAX_BYTES];
	uint64_t run;
	uint64_t started_us;
	uint64_t work_us;
	/** 0: not being stopped. */
	uint64_t stop_at_us;
	uint32_t cpu;
	/** Its order was carried out late. */
	bool late;
};

struct end {
	uint64_t number;
	char task[NAME_MAX_BYTES];
	uint64_t run;
	const char *how;
};

struct highest {
	char task[NAME_MAX_BYTES];
	uint64_t run;
};

struct late_order {
	struct late_order *next;
	uint64_t at_us;
	struct request q;
};

struct executor {
	struct web web;
	char id[64];
	char zone[32];
	char service[32];
	/** Labels: the kind, and the rack. */
	char kind[64];
	char rack[16];
	uint32_t cpu;
	bool guards;
	bool up;
	bool draining;
	/** Its entry in the store has lapsed. */
	bool hidden;
	uint64_t born_ms;
	uint64_t born_us;
	/** The same, since the start of the script. */
	uint64_t up_since_us;
	uint64_t seq;
	uint64_t registered_us;
	uint64_t token;
	uint64_t lease_until_us;
	struct run runs[RUNS_MAX];
	size_t run_count;
	struct end ends[ENDS_MAX];
	size_t end_count;
	uint64_t last_end;
	uint64_t forgotten;
	struct highest *highest;
	size_t highest_count;
	struct late_order *late;
	/** Share of run orders that get no answer and are carried out late, in
	 * percent, and for how long. */
	uint32_t late_percent;
	uint64_t late_min_ms;
	uint64_t late_max_ms;
	/** The next start gets no answer; it is carried out when the script
	 * sets its time. */
	bool hold_next_start;
	/** Share of requests that are carried out and not answered, and of those
	 * that are held up for up to delay_max_ms before, in percent. */
	uint32_t lose_percent;
	uint32_t delay_percent;
	uint64_t delay_max_ms;
	/** Requests from these addresses get no answer (a cut path). */
	char cut_from[INSTANCES_MAX][16];
	size_t cut_count;
};

/** What the checks look at, called under the platform's lock. */
struct watch {
	void (*started)(struct executor *x, const struct run *r,
			const json_t *order, bool late);
	void (*ended)(struct executor *x, const struct run *r, const char *how);
};

extern struct platform {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct web store;
	struct executor *executors[EXECUTORS_MAX];
	size_t executor_count;
	struct watch watch;
	/** The store answers 503. */
	bool store_down;
	/** Orders that are held up reach the next incarnation, too. */
	bool late_survives;
	/** Starts of a task while another run of it was in progress. */
	uint64_t twice;
	uint64_t starts;
} platform;

/** Prefix of all addresses of this script, such as "127.53.7". */
extern char net[16];

/** Creates the record, the store, and picks addresses. */
void platform_open(const char *record_path);
/** Sets op/config; returns when the store has acknowledged it. */
void platform_config(const char *doc);

struct executor *executor_add(const char *id, const char *zone,
			      const char *service, const char *kind,
			      const char *rack, uint32_t cpu, bool guards);
/** The process dies: its runs are gone, its connections are reset. */
void executor_crash(struct executor *x);
/** It starts again under the same id and address, and registers at once. */
void executor_restart(struct executor *x);
/** Reports draining. */
void executor_drain(struct executor *x);
/** Its entry in the store lapses; it works on. */
void executor_hide(struct executor *x);
/** Leaves: removes its entry. */
void executor_leave(struct executor *x);

/* ## Instances */

struct instance {
	char name[32];
	char zone[32];
	char ip[16];
	pid_t pid;
};

extern struct instance instances[INSTANCES_MAX];
extern size_t instance_count;

/** Ports of each instance, at its own address. */
#define PORT_JOBS 8161
#define PORT_READY 8167
#define PORT_PEERS 8166

struct instance *instance_add(const char *name, const char *zone);
bool instance_start(struct instance *in);
void instance_signal(struct instance *in, int sig);
/** Waits until the process has ended; returns its wait status. */
int instance_wait(struct instance *in);
bool instance_ready(struct instance *in);
/** Waits up to ms until all are ready. */
bool instances_await(uint64_t ms);

/** Ends all processes that the script started, and exits. */
void finish(int status) __attribute__((noreturn));
/** TROUBLE=0 in the environment. */
bool calm(void);

#endif
