#include "peridothall.h"

static const char *const messages[] = {
	"ok",		"out of memory", "syntax error",
	"out of range", "unknown",	 "conflict",
	"unreachable",	"timeout",	 "unknown version",
	"too large",	"I/O error",	 "bad setting",
};

const char *ph_strerror(int error)
{
	size_t index = error > 0 ? 0 : (size_t)-error;

	if (index >= sizeof(messages) / sizeof(messages[0]))
		return "unknown error";
	return messages[index];
}
