#include <pthread.h>
#include <string.h>

#include "ident.h"
#include "intern.h"

#define BUCKETS 1024U

struct name {
	struct name *next;
	uint64_t hash;
	char text[];
};

static struct name *buckets[BUCKETS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

const char *ph_intern(const char *text)
{
	uint64_t hash;
	struct name **bucket;
	struct name *n;

	if (!text)
		return NULL;
	hash = ph_hash_str(text);
	bucket = &buckets[hash % BUCKETS];
	pthread_mutex_lock(&lock);
	for (n = *bucket; n; n = n->next)
		if (n->hash == hash && !strcmp(n->text, text))
			goto out;
	n = ph_mem_default()->calloc(1, sizeof(*n) + strlen(text) + 1);
	n->hash = hash;
	memcpy(n->text, text, strlen(text));
	n->next = *bucket;
	*bucket = n;
out:
	pthread_mutex_unlock(&lock);
	return n->text;
}
