#include <poll.h>

#include "buf.h"
#include "hangups.h"

struct ph_hangups {
	const struct ph_mem *mem;
	struct pollfd *fds;
	void **items;
	/** Sockets added since the last check, and length of both arrays. */
	size_t count;
	size_t size;
};

static struct pollfd hangup_poll(int fd)
{
	return (struct pollfd){ .fd = fd, .events = POLLRDHUP };
}

static bool shows_hangup(const struct pollfd *fd)
{
	return fd->revents & (POLLRDHUP | POLLHUP | POLLERR);
}

bool ph_hung_up(int fd)
{
	struct pollfd p = hangup_poll(fd);

	return poll(&p, 1, 0) > 0 && shows_hangup(&p);
}

struct ph_hangups *ph_hangups_new(const struct ph_mem *mem)
{
	struct ph_hangups *h = mem->calloc(1, sizeof(*h));

	h->mem = mem;
	return h;
}

void ph_hangups_free(struct ph_hangups *h)
{
	if (!h)
		return;
	h->mem->free(h->fds);
	h->mem->free(h->items);
	h->mem->free(h);
}

void ph_hangups_add(struct ph_hangups *h, int fd, void *item)
{
	if (h->count == h->size) {
		h->fds =
			ph_array_grow(h->mem, h->fds, h->size, sizeof(*h->fds));
		h->items = ph_array_grow(h->mem, h->items, h->size,
					 sizeof(*h->items));
		h->size++;
	}
	h->fds[h->count] = hangup_poll(fd);
	h->items[h->count++] = item;
}

int ph_hangups_check(struct ph_hangups *h, void ***found)
{
	nfds_t n = h->count;
	int count = 0;
	nfds_t i;

	h->count = 0;
	*found = h->items;
	if (n && poll(h->fds, n, 0) < 0)
		return PH_ERR_IO;
	for (i = 0; i < n; i++)
		if (shows_hangup(&h->fds[i]))
			h->items[count++] = h->items[i];
	return count;
}
