#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "buf.h"
#include "intern.h"
#include "log.h"

#define LINE_BYTES 512
#define EVENT_BYTES 768
/* Longest line of an event: so much is written to a pipe whole or not at all.
 */
#define EVENT_BYTES_MAX 4096U
/* Ends a line that would be longer. */
#define CUT_MARK " cut=1\n"
#define US_PER_S 1000000U
#define NS_PER_US 1000U

static const char *instance = "";
static int quiet_flag;

/* Event lines of the present second and those dropped, for all threads. */
static struct {
	uint64_t per_second;
	uint64_t second;
	uint64_t count;
	uint64_t dropped;
	uint64_t dropped_reported;
} events;

void ph_log_name(const char *name)
{
	instance = ph_intern(name);
}

void ph_log_quiet(int quiet)
{
	quiet_flag = quiet;
}

void ph_log(const char *part, const char *format, ...)
{
	char line[LINE_BYTES];
	struct timespec now;
	va_list args;

	if (quiet_flag)
		return;
	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	clock_gettime(CLOCK_MONOTONIC, &now);
	fprintf(stderr, "%ld.%06ld %s %s: %s\n", (long)now.tv_sec,
		now.tv_nsec / 1000, instance, part, line);
}

void ph_log_events(uint64_t per_second)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	events.per_second = per_second;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t ph_log_dropped(void)
{
	return __atomic_load_n(&events.dropped, __ATOMIC_RELAXED);
}

/* Counts a line and returns whether the limit of this second permits it. */
static int within_limit(uint64_t second)
{
	if (__atomic_exchange_n(&events.second, second, __ATOMIC_RELAXED) !=
	    second)
		__atomic_store_n(&events.count, 0, __ATOMIC_RELAXED);
	return __atomic_add_fetch(&events.count, 1, __ATOMIC_RELAXED) <=
	       events.per_second;
}

static void write_line(const char *line, size_t len)
{
	if (write(STDOUT_FILENO, line, len) != (ssize_t)len)
		__atomic_add_fetch(&events.dropped, 1, __ATOMIC_RELAXED);
}

static size_t write_line_prefix(char *line, size_t size,
				const struct timespec *now, const char *part)
{
	int n = snprintf(line, size, "t=%lld.%06ld instance=%s part=%s ",
			 (long long)now->tv_sec, now->tv_nsec / (long)NS_PER_US,
			 instance, part);

	return n < 0 || (size_t)n >= size ? size - 1 : (size_t)n;
}

/* Writes an event with the number of lines dropped since the last such event.
 */
static void report_dropped(const struct timespec *now)
{
	char line[EVENT_BYTES_MAX];
	uint64_t dropped = ph_log_dropped();
	size_t len;
	int n;

	if (dropped == events.dropped_reported)
		return;
	len = write_line_prefix(line, sizeof(line) / 2, now, "log");
	n = snprintf(line + len, sizeof(line) - len,
		     "event=lines_dropped count=%llu\n",
		     (unsigned long long)(dropped - events.dropped_reported));
	if (n > 0 && (size_t)n < sizeof(line) - len)
		len += (size_t)n;
	events.dropped_reported = dropped;
	write_line(line, len);
}

/* Writes a line that doesn't fit into EVENT_BYTES. */
static void write_long_line(const struct timespec *now, const char *part,
			    const char *format, va_list args)
{
	char line[EVENT_BYTES_MAX];
	size_t size = sizeof(line) - sizeof(CUT_MARK) + 1;
	size_t len = write_line_prefix(line, size, now, part);
	int n = vsnprintf(line + len, size - len, format, args);

	if (n >= 0 && (size_t)n < size - len) {
		len += (size_t)n;
		line[len++] = '\n';
	} else {
		len = size;
		memcpy(line + len, CUT_MARK, sizeof(CUT_MARK) - 1);
		len += sizeof(CUT_MARK) - 1;
	}
	write_line(line, len);
}

void ph_event(const char *part, const char *format, ...)
{
	char line[EVENT_BYTES];
	struct timespec now;
	va_list args;
	size_t len;
	int n;

	if (quiet_flag || !events.per_second)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	if (!within_limit((uint64_t)now.tv_sec)) {
		__atomic_add_fetch(&events.dropped, 1, __ATOMIC_RELAXED);
		return;
	}
	report_dropped(&now);
	len = write_line_prefix(line, sizeof(line), &now, part);
	va_start(args, format);
	n = vsnprintf(line + len, sizeof(line) - len, format, args);
	va_end(args);
	if (n < 0 || (size_t)n >= sizeof(line) - len) {
		va_start(args, format);
		write_long_line(&now, part, format, args);
		va_end(args);
		return;
	}
	len += (size_t)n;
	line[len++] = '\n';
	write_line(line, len);
}
