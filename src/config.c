#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <openssl/evp.h>

#include "config.h"
#include "ident.h"

#define US_PER_MS 1000U
#define MAX_DOMAINS 64
#define MAX_WEIGHT 1000
#define MAX_SLOTS 4096
#define MAX_EXPECTED_MS 600000
#define MAX_QUEUED 10000000
#define DEFAULT_SLOTS 8
#define DEFAULT_QUEUED 100000
#define DEFAULT_EXPECTED_MS 200

/* State of one ph_config_parse call. */
struct parser {
	const struct ph_mem *mem;
	struct ph_config *config;
	ph_fault_fn *report;
	void *ctx;
	size_t fault_count;
};

/* Counts a fault and passes it to the caller's report function. */
static void fault(struct parser *parser, const char *field, const char *what)
{
	struct ph_fault f;

	ph_strcopy(f.field, sizeof(f.field), field);
	ph_strcopy(f.what, sizeof(f.what), what);
	parser->fault_count++;
	if (parser->report)
		parser->report(parser->ctx, &f);
}

static void read_name(struct parser *parser, json_t *item, const char *field,
		      char out[PH_NAME_BYTES])
{
	const char *text = json_string_value(item);

	if (!text || !ph_name_valid(text))
		fault(parser, field,
		      "not a name of 1 to 31 characters of [a-z0-9-]");
	else
		ph_strcopy(out, PH_NAME_BYTES, text);
}

/* Reads an integer from 1 to max; returns fallback if the key is missing. */
static uint64_t read_number(struct parser *parser, json_t *object,
			    const char *base, const char *key,
			    uint64_t fallback, uint64_t max)
{
	json_t *item = json_object_get(object, key);
	char field[PH_ID_BYTES];
	char message[PH_ID_BYTES];

	if (!item)
		return fallback;
	if (json_is_integer(item) && json_integer_value(item) >= 1 &&
	    (uint64_t)json_integer_value(item) <= max)
		return (uint64_t)json_integer_value(item);
	snprintf(field, sizeof(field), "%s/%s", base, key);
	snprintf(message, sizeof(message), "not an integer from 1 to %llu",
		 (unsigned long long)max);
	fault(parser, field, message);
	return fallback;
}

static json_t *read_array(struct parser *parser, json_t *object,
			  const char *field, const char *key)
{
	json_t *item = json_object_get(object, key);

	if (json_is_array(item) && json_array_size(item) > 0)
		return item;
	fault(parser, field, "not a non-empty array");
	return NULL;
}

/* Reports each key of an object that is not among known, which ends with
 * NULL. */
static void check_unknown_keys(struct parser *parser, json_t *object,
			       const char *base, const char *const *known)
{
	const char *key;
	json_t *value;

	json_object_foreach (object, key, value) {
		char field[PH_ID_BYTES];
		size_t i;

		for (i = 0; known[i]; i++)
			if (!strcmp(known[i], key))
				break;
		if (known[i])
			continue;
		snprintf(field, sizeof(field), "%.40s/%.40s", base, key);
		fault(parser, field, "unknown field");
	}
}

static void read_domains(struct parser *parser, json_t *doc)
{
	struct ph_config *config = parser->config;
	json_t *domains = read_array(parser, doc, "/domains", "domains");
	json_t *item;
	size_t i;

	if (json_array_size(domains) > MAX_DOMAINS) {
		fault(parser, "/domains", "more than 64 domains");
		return;
	}
	config->domain_count = json_array_size(domains);
	config->domains =
		parser->mem->calloc(config->domain_count, PH_NAME_BYTES);
	json_array_foreach (domains, i, item) {
		char field[PH_ID_BYTES];

		snprintf(field, sizeof(field), "/domains/%zu", i);
		read_name(parser, item, field, config->domains[i]);
	}
}

static void read_kinds(struct parser *parser, json_t *object, const char *base,
		       struct ph_service *service)
{
	static const char *const known[] = { "name", "idempotent",
					     "expected_ms", NULL };
	char field[PH_ID_BYTES];
	json_t *kinds;
	json_t *item;
	size_t i;

	snprintf(field, sizeof(field), "%.80s/kinds", base);
	kinds = read_array(parser, object, field, "kinds");
	service->kind_count = json_array_size(kinds);
	service->kinds = parser->mem->calloc(service->kind_count,
					     sizeof(struct ph_kind));
	json_array_foreach (kinds, i, item) {
		struct ph_kind *kind = &service->kinds[i];
		char name[PH_ID_BYTES];

		snprintf(field, sizeof(field), "%.60s/kinds/%zu", base, i);
		check_unknown_keys(parser, item, field, known);
		snprintf(name, sizeof(name), "%.80s/name", field);
		read_name(parser, json_object_get(item, "name"), name,
			  kind->name);
		kind->idempotent =
			json_is_true(json_object_get(item, "idempotent"));
		kind->expected_us = US_PER_MS * read_number(parser, item, field,
							    "expected_ms",
							    DEFAULT_EXPECTED_MS,
							    MAX_EXPECTED_MS);
	}
}

static void read_services(struct parser *parser, json_t *doc)
{
	static const char *const known[] = { "name", "kinds",
					     "slots_per_endpoint", NULL };
	struct ph_config *config = parser->config;
	json_t *services = read_array(parser, doc, "/services", "services");
	json_t *item;
	size_t i;

	config->service_count = json_array_size(services);
	config->services = parser->mem->calloc(config->service_count,
					       sizeof(struct ph_service));
	json_array_foreach (services, i, item) {
		struct ph_service *service = &config->services[i];
		char field[PH_ID_BYTES];
		char name[PH_ID_BYTES];

		snprintf(field, sizeof(field), "/services/%zu", i);
		check_unknown_keys(parser, item, field, known);
		snprintf(name, sizeof(name), "/services/%zu/name", i);
		read_name(parser, json_object_get(item, "name"), name,
			  service->name);
		service->slots_per_endpoint = (uint32_t)read_number(
			parser, item, field, "slots_per_endpoint",
			DEFAULT_SLOTS, MAX_SLOTS);
		read_kinds(parser, item, field, service);
	}
}

static void read_teams(struct parser *parser, json_t *doc)
{
	static const char *const known[] = { "name", "key_sha256", "weight",
					     "queued_max", NULL };
	struct ph_config *config = parser->config;
	json_t *teams = read_array(parser, doc, "/teams", "teams");
	json_t *item;
	size_t i;

	config->team_count = json_array_size(teams);
	config->teams =
		parser->mem->calloc(config->team_count, sizeof(struct ph_team));
	json_array_foreach (teams, i, item) {
		struct ph_team *team = &config->teams[i];
		const char *digest =
			json_string_value(json_object_get(item, "key_sha256"));
		char field[PH_ID_BYTES];
		char name[PH_ID_BYTES];

		snprintf(field, sizeof(field), "/teams/%zu", i);
		check_unknown_keys(parser, item, field, known);
		snprintf(name, sizeof(name), "/teams/%zu/name", i);
		read_name(parser, json_object_get(item, "name"), name,
			  team->name);
		team->weight = (uint32_t)read_number(parser, item, field,
						     "weight", 1, MAX_WEIGHT);
		team->queued_max =
			(uint32_t)read_number(parser, item, field, "queued_max",
					      DEFAULT_QUEUED, MAX_QUEUED);
		snprintf(name, sizeof(name), "/teams/%zu/key_sha256", i);
		if (!digest || strlen(digest) != PH_DIGEST_HEX_BYTES - 1 ||
		    strspn(digest, "0123456789abcdef") !=
			    PH_DIGEST_HEX_BYTES - 1)
			fault(parser, name, "not 64 lower-case hex digits");
		else
			ph_strcopy(team->key_sha256, PH_DIGEST_HEX_BYTES,
				   digest);
	}
}

/* Reports each repeated name. A name is the first member of its element, and
 * stride is the size of an element; empty names are skipped, since they were
 * reported before. */
static void check_unique(struct parser *parser, const char *list,
			 const char *names, size_t stride, size_t count)
{
	char field[PH_ID_BYTES];
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < i; j++)
			if (!strcmp(names + i * stride, names + j * stride))
				break;
		if (j == i || !names[i * stride])
			continue;
		snprintf(field, sizeof(field), "/%.60s/%zu", list, i);
		fault(parser, field, "name is used twice");
	}
}

static void check_all_unique(struct parser *parser)
{
	struct ph_config *config = parser->config;
	size_t i;

	check_unique(parser, "domains", (const char *)config->domains,
		     PH_NAME_BYTES, config->domain_count);
	check_unique(parser, "services", (const char *)config->services,
		     sizeof(struct ph_service), config->service_count);
	check_unique(parser, "teams", (const char *)config->teams,
		     sizeof(struct ph_team), config->team_count);
	for (i = 0; i < config->service_count; i++) {
		struct ph_service *service = &config->services[i];
		char list[PH_ID_BYTES];

		snprintf(list, sizeof(list), "services/%zu/kinds", i);
		check_unique(parser, list, (const char *)service->kinds,
			     sizeof(struct ph_kind), service->kind_count);
	}
}

int ph_config_parse(const struct ph_mem *mem, const char *text, size_t len,
		    struct ph_config **out, ph_fault_fn *report, void *ctx)
{
	static const char *const known[] = { "version", "domains", "services",
					     "teams",	"request", NULL };
	struct parser parser = { mem, NULL, report, ctx, 0 };
	json_error_t json_error;
	json_t *doc =
		json_loadb(text, len, JSON_REJECT_DUPLICATES, &json_error);

	if (!json_is_object(doc)) {
		fault(&parser, "/", doc ? "not an object" : json_error.text);
		json_decref(doc);
		return PH_ERR_SYNTAX;
	}
	parser.config = mem->calloc(1, sizeof(*parser.config));
	parser.config->mem = mem;
	check_unknown_keys(&parser, doc, "", known);
	parser.config->version = read_number(&parser, doc, "", "version", 1,
					     (uint64_t)INT64_MAX);
	read_domains(&parser, doc);
	read_services(&parser, doc);
	read_teams(&parser, doc);
	check_all_unique(&parser);
	json_decref(doc);
	if (parser.fault_count) {
		ph_config_free(parser.config);
		return PH_ERR_SYNTAX;
	}
	*out = parser.config;
	return 0;
}

void ph_config_free(struct ph_config *config)
{
	size_t i;

	if (!config)
		return;
	for (i = 0; i < config->service_count; i++)
		config->mem->free(config->services[i].kinds);
	config->mem->free(config->services);
	config->mem->free(config->domains);
	config->mem->free(config->teams);
	config->mem->free(config);
}

const struct ph_service *ph_config_service(const struct ph_config *config,
					   const char *name)
{
	size_t i;

	for (i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}

const struct ph_kind *ph_service_kind(const struct ph_service *service,
				      const char *name)
{
	size_t i;

	for (i = 0; i < service->kind_count; i++)
		if (!strcmp(service->kinds[i].name, name))
			return &service->kinds[i];
	return NULL;
}

const struct ph_team *ph_config_team(const struct ph_config *config,
				     const char *name)
{
	size_t i;

	for (i = 0; i < config->team_count; i++)
		if (!strcmp(config->teams[i].name, name))
			return &config->teams[i];
	return NULL;
}

void ph_sha256_hex(const char *text, char out[PH_DIGEST_HEX_BYTES])
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned int len = 0;
	unsigned int i;

	EVP_Digest(text, strlen(text), digest, &len, EVP_sha256(), NULL);
	for (i = 0; i < len; i++)
		snprintf(out + 2 * i, 3, "%02x", digest[i]);
}

const struct ph_team *ph_config_team_by_key(const struct ph_config *config,
					    const char *key)
{
	char digest[PH_DIGEST_HEX_BYTES];
	size_t i;

	ph_sha256_hex(key, digest);
	for (i = 0; i < config->team_count; i++)
		if (!strcmp(config->teams[i].key_sha256, digest))
			return &config->teams[i];
	return NULL;
}
