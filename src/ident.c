#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "ident.h"

/* Longest port, in digits. */
#define PORT_DIGITS 5U

/* Whether text has 1 to size - 1 characters, each of [a-z0-9] or of extra. */
static bool in_alphabet(const char *text, size_t size, const char *extra)
{
	size_t len = strlen(text);
	size_t i;

	if (len == 0 || len >= size)
		return false;
	for (i = 0; i < len; i++) {
		char c = text[i];
		bool alphanumeric =
			(c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');

		if (!alphanumeric && !strchr(extra, c))
			return false;
	}
	return true;
}

bool ph_name_valid(const char *text)
{
	return in_alphabet(text, PH_NAME_BYTES, "-");
}

bool ph_id_valid(const char *text)
{
	return in_alphabet(text, PH_ID_BYTES, "ABCDEFGHIJKLMNOPQRSTUVWXYZ._~-");
}

bool ph_platform_name_valid(const char *text)
{
	return in_alphabet(text, SIZE_MAX, "ABCDEFGHIJKLMNOPQRSTUVWXYZ._~:@+-");
}

bool ph_addr_valid(const char *text)
{
	char ip[INET_ADDRSTRLEN];
	size_t ip_len = strcspn(text, ":");
	const char *port = text + ip_len + 1;
	struct in_addr addr;
	size_t digits;
	unsigned long number;

	if (!text[ip_len] || ip_len >= sizeof(ip))
		return false;
	memcpy(ip, text, ip_len);
	ip[ip_len] = '\0';
	digits = strspn(port, "0123456789");
	if (!digits || digits > PORT_DIGITS || port[digits] || port[0] == '0')
		return false;
	number = strtoul(port, NULL, 10);
	return number <= UINT16_MAX && inet_pton(AF_INET, ip, &addr) == 1;
}

uint64_t ph_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t ph_hash_str(const char *text)
{
	return ph_hash(text, strlen(text));
}

uint64_t ph_rendezvous_weight(uint64_t key_hash, uint64_t candidate_hash)
{
	uint64_t pair[2] = { key_hash, candidate_hash };

	return ph_hash(pair, sizeof(pair));
}

/* Index of the domain named by the id's prefix up to '~'; -1 if none is. */
static int domain_by_prefix(const char *id, const char *const *domains,
			    size_t count)
{
	const char *separator = strchr(id, '~');
	size_t i;

	if (!separator)
		return -1;
	for (i = 0; i < count; i++) {
		size_t len = strlen(domains[i]);

		if (len == (size_t)(separator - id) &&
		    !strncmp(id, domains[i], len))
			return (int)i;
	}
	return -1;
}

int ph_home_domain(const char *id, const char *const *domains, size_t count)
{
	uint64_t key = ph_hash_str(id);
	uint64_t best = 0;
	int home = domain_by_prefix(id, domains, count);
	size_t i;

	if (home >= 0)
		return home;
	for (i = 0; i < count; i++) {
		uint64_t weight =
			ph_rendezvous_weight(key, ph_hash_str(domains[i]));

		if (home < 0 || weight > best) {
			best = weight;
			home = (int)i;
		}
	}
	return home;
}

void ph_key_team(const char *key, char team[PH_NAME_BYTES])
{
	size_t len = strcspn(key, "/");

	if (len >= PH_NAME_BYTES)
		len = PH_NAME_BYTES - 1;
	memcpy(team, key, len);
	team[len] = '\0';
}
