#include <string.h>

#include "confstore.h"

void ph_confstore_init(struct ph_confstore *store, const struct ph_mem *mem)
{
	memset(store, 0, sizeof(*store));
	store->mem = mem;
}

void ph_confstore_free(struct ph_confstore *store)
{
	ph_config_free(store->config);
	ph_config_free(store->previous);
	store->mem->free(store->doc);
}

uint64_t ph_confstore_version(const struct ph_confstore *store)
{
	return store->config ? store->config->version : 0;
}

int ph_confstore_offer(struct ph_confstore *store, const char *doc, size_t len)
{
	struct ph_config *config;

	if (ph_config_parse(store->mem, doc, len, &config, NULL, NULL)) {
		store->invalid++;
		return PH_ERR_SYNTAX;
	}
	if (config->version <= ph_confstore_version(store)) {
		store->stale++;
		ph_config_free(config);
		return PH_ERR_VERSION;
	}
	ph_config_free(store->previous);
	store->previous = store->config;
	store->config = config;
	store->mem->free(store->doc);
	store->doc = ph_memdup(store->mem, doc, len);
	store->len = len;
	store->accepted++;
	return 0;
}
