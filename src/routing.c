#include <string.h>
#include <strings.h>

#include "routing.h"

void ph_route_clear(const struct ph_mem *mem, struct ph_route *route)
{
	mem->free(route->name);
	mem->free(route->host);
	mem->free(route->prefix);
	mem->free(route->service);
	memset(route, 0, sizeof(*route));
}

void ph_routing_free(struct ph_routing *routing)
{
	size_t i;

	if (!routing)
		return;
	for (i = 0; i < routing->route_count; i++)
		ph_route_clear(routing->mem, &routing->routes[i]);
	routing->mem->free(routing->routes);
	routing->mem->free(routing);
}

static bool host_matches(const struct ph_route *route, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(route->host) == len &&
	       !strncasecmp(route->host, host, len);
}

const struct ph_route *ph_routing_find(const struct ph_routing *routing,
				       const char *host, const char *path)
{
	const struct ph_route *best = NULL;
	size_t best_len = 0;
	size_t i;

	for (i = 0; i < routing->route_count; i++) {
		const struct ph_route *r = &routing->routes[i];
		size_t len = strlen(r->prefix);

		if (len < best_len || strncmp(path, r->prefix, len) != 0 ||
		    !host_matches(r, host))
			continue;
		best = r;
		best_len = len;
	}
	return best;
}
