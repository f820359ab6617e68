/*
 * Runs a scenario: a Lua script that starts processes, signals them, cuts the
 * network between them and calls them over HTTP. The network is a TCP relay
 * on loopback: each process connects from an address of its own, so that the
 * relay can cut the connections between two of them.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>

#include "client.h"

#define MAX_PROCESSES 1024
#define MAX_LINKS 256
#define MAX_CUTS 256
#define MAX_FLOWS 4096
#define NAME_BYTES 64
#define BUFFER_BYTES 65536
#define POLL_MS 20
/* How often the throttles are looked at, and by how much the periods of two
 * processes are shifted. */
#define THROTTLE_STEP_US 1000
#define THROTTLE_SHIFT_MS 37
/* The places of flows are spread over so many parts by steps of this size. */
#define SHARE_PARTS 1000
#define SHARE_STEP 617
#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct process {
	char name[NAME_BYTES];
	pid_t pid;
	int status;
	int ended;
	/** It runs for the first throttle_run_ms of each period of
	 * throttle_period_ms, 0: it always runs. */
	long throttle_run_ms;
	long throttle_period_ms;
	/** Stopped for the rest of the present period. */
	int throttled;
};

/* An address at which the relay listens, and the target it forwards to. */
struct link {
	char name[NAME_BYTES];
	struct sockaddr_in target;
	/** -1: closed. */
	int listener;
	/** Delay of the bytes of its connections; 0: none. */
	long delay_ms;
};

/* Connections from a source address through a link forward nothing. */
struct cut {
	char source[INET_ADDRSTRLEN];
	char link[NAME_BYTES];
};

/* A relayed connection: the accepted socket and the one to the target. */
struct flow {
	int fds[2];
	char source[INET_ADDRSTRLEN];
	char link[NAME_BYTES];
	int used;
	/** Stays open but forwards nothing any more. */
	int silent;
	/** Time at which the waiting bytes are forwarded; 0: none wait. */
	long due_ms;
};

static struct process processes[MAX_PROCESSES];
static size_t process_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* For the throttles, and so that no process that was waited for is signalled.
 */
static pthread_mutex_t throttle_lock = PTHREAD_MUTEX_INITIALIZER;
static struct link links[MAX_LINKS];
static size_t link_count;
static struct cut cuts[MAX_CUTS];
static size_t cut_count;
static struct flow flows[MAX_FLOWS];
static const char *log_dir = ".";

static long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * MS_PER_S + t.tv_nsec / NS_PER_MS;
}

/* ## Relay */

static int is_cut(const char *source, const char *link)
{
	size_t i;

	for (i = 0; i < cut_count; i++)
		if (!strcmp(cuts[i].source, source) &&
		    !strcmp(cuts[i].link, link))
			return 1;
	return 0;
}

/* Returns the link that was added last under a name, or NULL. */
static struct link *find_link(const char *name)
{
	size_t i;

	for (i = link_count; i > 0; i--)
		if (!strcmp(links[i - 1].name, name))
			return &links[i - 1];
	return NULL;
}

/* Returns whether a flow forwards bytes now: it is in use and not cut, silent
 * or delayed. */
static int is_forwarding(const struct flow *f)
{
	return f->used && !f->silent && !is_cut(f->source, f->link) &&
	       now_ms() >= f->due_ms;
}

/* Starts the link's delay for bytes that have just arrived and returns 1;
 * returns 0 if they are to be forwarded now. */
static int delay_if_new(struct flow *f)
{
	const struct link *l = find_link(f->link);

	if (f->due_ms || !l || !l->delay_ms) {
		f->due_ms = 0;
		return 0;
	}
	f->due_ms = now_ms() + l->delay_ms;
	return 1;
}

static void flow_close(struct flow *f)
{
	close(f->fds[0]);
	close(f->fds[1]);
	f->used = 0;
}

static void accept_flow(struct link *l)
{
	struct sockaddr_in from;
	struct sockaddr_in source;
	socklen_t len = sizeof(from);
	int in = accept(l->listener, (struct sockaddr *)&from, &len);
	struct flow *f = NULL;
	size_t i;

	if (in < 0)
		return;
	for (i = 0; i < MAX_FLOWS && !f; i++)
		if (!flows[i].used)
			f = &flows[i];
	if (!f) {
		close(in);
		return;
	}
	f->fds[0] = in;
	f->fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	fcntl(in, F_SETFD, FD_CLOEXEC);
	source = from;
	source.sin_port = 0;
	bind(f->fds[1], (struct sockaddr *)&source, sizeof(source));
	if (connect(f->fds[1], (struct sockaddr *)&l->target,
		    sizeof(l->target))) {
		flow_close(f);
		return;
	}
	inet_ntop(AF_INET, &from.sin_addr, f->source, sizeof(f->source));
	snprintf(f->link, sizeof(f->link), "%s", l->name);
	f->silent = 0;
	f->due_ms = 0;
	f->used = 1;
}

static void forward(struct flow *f, int from)
{
	static char data[BUFFER_BYTES];
	ssize_t n = recv(f->fds[from], data, sizeof(data), MSG_DONTWAIT);
	ssize_t done = 0;

	/* The flow that poll reported was closed in the meantime, and a new one
	 * without bytes took its place; a blocking read would hang the relay.
	 */
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		flow_close(f);
		return;
	}
	while (done < n) {
		ssize_t m = send(f->fds[1 - from], data + done,
				 (size_t)(n - done), MSG_NOSIGNAL);

		if (m <= 0) {
			flow_close(f);
			return;
		}
		done += m;
	}
}

/* Builds the poll set. Flows that forward nothing now are left out, so that
 * their bytes wait in the sockets. */
static size_t build_poll_set(struct pollfd *fds, size_t *owner)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < link_count; i++) {
		if (links[i].listener < 0)
			continue;
		fds[n] = (struct pollfd){ .fd = links[i].listener,
					  .events = POLLIN };
		owner[n++] = i;
	}
	for (i = 0; i < MAX_FLOWS; i++) {
		if (!is_forwarding(&flows[i]))
			continue;
		fds[n] = (struct pollfd){ .fd = flows[i].fds[0],
					  .events = POLLIN };
		owner[n++] = MAX_LINKS + 2 * i;
		fds[n] = (struct pollfd){ .fd = flows[i].fds[1],
					  .events = POLLIN };
		owner[n++] = MAX_LINKS + 2 * i + 1;
	}
	return n;
}

static void *relay(void *unused)
{
	static struct pollfd fds[MAX_LINKS + 2 * MAX_FLOWS];
	static size_t owner[MAX_LINKS + 2 * MAX_FLOWS];

	(void)unused;
	for (;;) {
		size_t n;
		size_t i;

		pthread_mutex_lock(&lock);
		n = build_poll_set(fds, owner);
		pthread_mutex_unlock(&lock);
		poll(fds, n, POLL_MS);
		pthread_mutex_lock(&lock);
		for (i = 0; i < n; i++) {
			struct flow *f;

			if (!fds[i].revents)
				continue;
			if (owner[i] < MAX_LINKS) {
				if (links[owner[i]].listener == fds[i].fd)
					accept_flow(&links[owner[i]]);
				continue;
			}
			f = &flows[(owner[i] - MAX_LINKS) / 2];
			if (is_forwarding(f) && !delay_if_new(f))
				forward(f, (int)(owner[i] % 2));
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

static struct sockaddr_in address(const char *ip, lua_Integer port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &at.sin_addr);
	return at;
}

/* link(name, listen_ip, listen_port, target_ip, target_port) */
static int script_link(lua_State *lua)
{
	struct sockaddr_in at =
		address(luaL_checkstring(lua, 2), luaL_checkinteger(lua, 3));
	struct link *l;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 64))
		return luaL_error(lua, "link %s: can't listen: %s",
				  luaL_checkstring(lua, 1), strerror(errno));
	pthread_mutex_lock(&lock);
	l = &links[link_count++];
	snprintf(l->name, sizeof(l->name), "%s", luaL_checkstring(lua, 1));
	l->target =
		address(luaL_checkstring(lua, 4), luaL_checkinteger(lua, 5));
	l->listener = fd;
	pthread_mutex_unlock(&lock);
	return 0;
}

/* unlink(name): closes its connections and refuses new ones. */
static int script_unlink(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	size_t i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < link_count; i++) {
		if (strcmp(links[i].name, name) != 0 || links[i].listener < 0)
			continue;
		/* While the relay polls a closed listener, its port stays in
		 * use. */
		shutdown(links[i].listener, SHUT_RDWR);
		close(links[i].listener);
		links[i].listener = -1;
	}
	for (i = 0; i < MAX_FLOWS; i++)
		if (flows[i].used && !strcmp(flows[i].link, name))
			flow_close(&flows[i]);
	pthread_mutex_unlock(&lock);
	return 0;
}

/* cut(source_ip, link): stops forwarding from a source through a link. */
static int script_cut(lua_State *lua)
{
	pthread_mutex_lock(&lock);
	snprintf(cuts[cut_count].source, sizeof(cuts[0].source), "%s",
		 luaL_checkstring(lua, 1));
	snprintf(cuts[cut_count].link, sizeof(cuts[0].link), "%s",
		 luaL_checkstring(lua, 2));
	cut_count++;
	pthread_mutex_unlock(&lock);
	return 0;
}

/* heal(): removes all cuts. */
static int script_heal(lua_State *lua)
{
	(void)lua;
	pthread_mutex_lock(&lock);
	cut_count = 0;
	pthread_mutex_unlock(&lock);
	return 0;
}

/* delay(link, ms): delays bytes that arrive from now on; 0: no delay. */
static int script_delay(lua_State *lua)
{
	struct link *l;

	pthread_mutex_lock(&lock);
	l = find_link(luaL_checkstring(lua, 1));
	if (l)
		l->delay_ms = (long)luaL_checkinteger(lua, 2);
	pthread_mutex_unlock(&lock);
	return 0;
}

/* Whether a flow belongs to a share of all, which depends on its place only. */
static int in_share(size_t i, double share)
{
	return (double)(i * SHARE_STEP % SHARE_PARTS) < share * SHARE_PARTS;
}

/* Applies an action to a share of a link's flows; 1 is all of them. */
static void for_each_flow_of(const char *name, double share,
			     void (*action)(struct flow *f))
{
	size_t i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < MAX_FLOWS; i++)
		if (flows[i].used && !strcmp(flows[i].link, name) &&
		    in_share(i, share))
			action(&flows[i]);
	pthread_mutex_unlock(&lock);
}

static void reset_flow(struct flow *f)
{
	struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };
	int i;

	for (i = 0; i < 2; i++)
		setsockopt(f->fds[i], SOL_SOCKET, SO_LINGER, &reset_on_close,
			   sizeof(reset_on_close));
	flow_close(f);
}

static void silence_flow(struct flow *f)
{
	f->silent = 1;
}

/* reset(link): resets its connections; bytes in transit are lost. */
static int script_reset(lua_State *lua)
{
	for_each_flow_of(luaL_checkstring(lua, 1), 1, reset_flow);
	return 0;
}

/* silence(link, [share]): a share of its connections, or all, stay open but
 * forward nothing any more; new ones work. */
static int script_silence(lua_State *lua)
{
	for_each_flow_of(luaL_checkstring(lua, 1), luaL_optnumber(lua, 2, 1),
			 silence_flow);
	return 0;
}

/* ## Processes */

static struct process *find_process(lua_State *lua, int arg)
{
	const char *name = luaL_checkstring(lua, arg);
	size_t i;

	for (i = process_count; i > 0; i--)
		if (!strcmp(processes[i - 1].name, name))
			return &processes[i - 1];
	luaL_error(lua, "no process was started as %s", name);
	return NULL;
}

/* spawn(name, program, args...): starts a process that logs to NAME.log. */
static int script_spawn(lua_State *lua)
{
	struct process *p = &processes[process_count];
	char path[512];
	char *argv[64] = { NULL };
	int args = lua_gettop(lua);
	int i;

	snprintf(p->name, sizeof(p->name), "%s", luaL_checkstring(lua, 1));
	for (i = 2; i <= args && i < 64; i++)
		argv[i - 2] = (char *)luaL_tolstring(lua, i, NULL);
	snprintf(path, sizeof(path), "%s/%s.log", log_dir, p->name);
	p->pid = fork();
	if (p->pid == 0) {
		int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	pthread_mutex_lock(&throttle_lock);
	process_count++;
	pthread_mutex_unlock(&throttle_lock);
	return 0;
}

/* signal(name, "KILL" | "STOP" | "CONT" | "HUP" | "TERM") */
static int script_signal(lua_State *lua)
{
	struct process *p = find_process(lua, 1);
	const char *name = luaL_checkstring(lua, 2);
	int sig = SIGTERM;

	if (!strcmp(name, "KILL"))
		sig = SIGKILL;
	else if (!strcmp(name, "STOP"))
		sig = SIGSTOP;
	else if (!strcmp(name, "CONT"))
		sig = SIGCONT;
	else if (!strcmp(name, "HUP"))
		sig = SIGHUP;
	if (!p->ended)
		kill(p->pid, sig);
	return 0;
}

/* Stops or continues a process by its throttle. */
static void throttle_step(struct process *p, size_t number, long now)
{
	long period = p->throttle_period_ms;
	int stop = period && !p->ended &&
		   (now + (long)number * THROTTLE_SHIFT_MS) % period >=
			   p->throttle_run_ms;

	if (stop == p->throttled)
		return;
	p->throttled = stop;
	if (!p->ended)
		kill(p->pid, stop ? SIGSTOP : SIGCONT);
}

static void *throttle_all(void *unused)
{
	for (;;) {
		size_t i;

		pthread_mutex_lock(&throttle_lock);
		for (i = 0; i < process_count; i++)
			throttle_step(&processes[i], i, now_ms());
		pthread_mutex_unlock(&throttle_lock);
		usleep(THROTTLE_STEP_US);
	}
	return unused;
}

/* throttle(name, run_ms, period_ms): from now on the process runs only for the
 * first run_ms of each period, as on a small share of a processor; a period of
 * 0 lets it run always. Not for processes that get STOP or CONT meanwhile. */
static int script_throttle(lua_State *lua)
{
	struct process *p = find_process(lua, 1);

	pthread_mutex_lock(&throttle_lock);
	p->throttle_run_ms = (long)luaL_checkinteger(lua, 2);
	p->throttle_period_ms = (long)luaL_checkinteger(lua, 3);
	throttle_step(p, 0, now_ms());
	pthread_mutex_unlock(&throttle_lock);
	return 0;
}

/* wait(name, ms): returns the exit status, -1 if a signal ended the process,
 * nil if it is still running after that time. */
static int script_wait(lua_State *lua)
{
	struct process *p = find_process(lua, 1);
	long until = now_ms() + (long)luaL_checkinteger(lua, 2);

	while (!p->ended) {
		int status;

		pthread_mutex_lock(&throttle_lock);
		if (waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->ended = 1;
			p->status =
				WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		pthread_mutex_unlock(&throttle_lock);
		if (p->ended)
			break;
		if (now_ms() >= until)
			return 0;
		usleep(10000);
	}
	lua_pushinteger(lua, p->status);
	return 1;
}

/* sleep(ms) */
static int script_sleep(lua_State *lua)
{
	usleep((useconds_t)luaL_checkinteger(lua, 1) * MS_PER_S);
	return 0;
}

/* now(): returns the monotonic time in ms. */
static int script_now(lua_State *lua)
{
	lua_pushinteger(lua, now_ms());
	return 1;
}

/* http(method, url, body or nil, key or nil): returns the status, 0 if no
 * response arrived, and the body. */
static int script_http(lua_State *lua)
{
	int status = 0;
	char *text = ph_client_call(ph_mem_default(), luaL_checkstring(lua, 1),
				    luaL_checkstring(lua, 2),
				    luaL_optstring(lua, 4, NULL),
				    luaL_optstring(lua, 3, NULL), &status);

	lua_pushinteger(lua, text ? status : 0);
	lua_pushstring(lua, text ? text : "");
	free(text);
	return 2;
}

/* Kills the processes that are still running. */
static void stop_all(void)
{
	size_t i;

	pthread_mutex_lock(&throttle_lock);
	for (i = 0; i < process_count; i++) {
		if (processes[i].ended)
			continue;
		kill(processes[i].pid, SIGKILL);
		waitpid(processes[i].pid, NULL, 0);
		processes[i].ended = 1;
	}
	pthread_mutex_unlock(&throttle_lock);
}

int main(int argc, char **argv)
{
	static const luaL_Reg functions[] = {
		{ "link", script_link },       { "unlink", script_unlink },
		{ "cut", script_cut },	       { "heal", script_heal },
		{ "spawn", script_spawn },     { "signal", script_signal },
		{ "wait", script_wait },       { "sleep", script_sleep },
		{ "now", script_now },	       { "http", script_http },
		{ "delay", script_delay },     { "reset", script_reset },
		{ "silence", script_silence }, { "throttle", script_throttle },
	};
	lua_State *lua = luaL_newstate();
	pthread_t thread;
	size_t i;
	int failed;

	if (argc < 4) {
		fprintf(stderr, "Usage: scenario BUILD_DIR LOG_DIR SCRIPT\n");
		return 2;
	}
	log_dir = argv[2];
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_create(&thread, NULL, relay, NULL);
	pthread_create(&thread, NULL, throttle_all, NULL);
	luaL_openlibs(lua);
	for (i = 0; i < sizeof(functions) / sizeof(functions[0]); i++)
		lua_register(lua, functions[i].name, functions[i].func);
	lua_pushstring(lua, argv[1]);
	lua_setglobal(lua, "BUILD");
	lua_pushstring(lua, argv[2]);
	lua_setglobal(lua, "LOGS");
	failed = luaL_dofile(lua, "test/scenarios/lib.lua") ||
		 luaL_dofile(lua, argv[3]);
	if (failed)
		fprintf(stderr, "%s: %s\n", argv[3], lua_tostring(lua, -1));
	stop_all();
	return failed ? 1 : 0;
}
