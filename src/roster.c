#include <string.h>

#include <jansson.h>

#include "ident.h"
#include "roster.h"

void ph_roster_encode(const struct ph_roster *roster, struct ph_buf *out)
{
	json_t *members = json_array();
	json_t *lost = json_array();
	json_t *doc;
	char *text;
	size_t i;

	for (i = 0; i < roster->count; i++) {
		const struct ph_roster_member *m = &roster->members[i];

		json_array_append_new(
			members, json_pack("{s:s,s:s,s:I,s:I}", "name", m->name,
					   "addr", m->addr, "incarnation",
					   (json_int_t)m->incarnation, "joined",
					   (json_int_t)m->joined));
	}
	for (i = 0; i < roster->lost_count; i++)
		json_array_append_new(
			lost, json_integer((json_int_t)roster->lost[i]));
	doc = json_pack("{s:s,s:I,s:I,s:o,s:o}", "domain", roster->domain,
			"version", (json_int_t)roster->version, "broken",
			(json_int_t)roster->continuity_version, "members",
			members, "lost", lost);
	text = json_dumps(doc, JSON_COMPACT);
	ph_buf_puts(out, text);
	free(text);
	json_decref(doc);
}

static int decode_members(struct ph_roster *roster, json_t *members)
{
	size_t i;
	json_t *item;

	if (json_array_size(members) > PH_MAX_MEMBERS)
		return PH_ERR_SYNTAX;
	json_array_foreach (members, i, item) {
		struct ph_roster_member *m = &roster->members[i];
		const char *name;
		const char *addr;
		json_int_t incarnation;
		json_int_t joined;

		if (json_unpack(item, "{s:s,s:s,s:I,s:I}", "name", &name,
				"addr", &addr, "incarnation", &incarnation,
				"joined", &joined))
			return PH_ERR_SYNTAX;
		ph_strcopy(m->name, sizeof(m->name), name);
		ph_strcopy(m->addr, sizeof(m->addr), addr);
		m->incarnation = (uint64_t)incarnation;
		m->joined = (uint64_t)joined;
	}
	roster->count = json_array_size(members);
	return 0;
}

static int decode_lost(struct ph_roster *roster, json_t *lost)
{
	size_t i;
	json_t *item;

	if (json_array_size(lost) > PH_MAX_LOST)
		return PH_ERR_SYNTAX;
	json_array_foreach (lost, i, item) {
		if (!json_is_integer(item))
			return PH_ERR_SYNTAX;
		roster->lost[i] = (uint64_t)json_integer_value(item);
	}
	roster->lost_count = json_array_size(lost);
	return 0;
}

int ph_roster_decode(struct ph_roster *roster, const char *text, size_t len)
{
	json_t *doc = json_loadb(text, len, 0, NULL);
	const char *domain;
	json_int_t version;
	json_int_t continuity_version;
	json_t *members;
	json_t *lost;
	int err = PH_ERR_SYNTAX;

	memset(roster, 0, sizeof(*roster));
	if (!doc)
		return PH_ERR_SYNTAX;
	if (json_unpack(doc, "{s:s,s:I,s:I,s:o,s:o}", "domain", &domain,
			"version", &version, "broken", &continuity_version,
			"members", &members, "lost", &lost))
		goto out;
	if (version < 1 || continuity_version < 0)
		goto out;
	roster->continuity_version = (uint64_t)continuity_version;
	ph_strcopy(roster->domain, sizeof(roster->domain), domain);
	roster->version = (uint64_t)version;
	err = decode_members(roster, members);
	if (!err)
		err = decode_lost(roster, lost);
out:
	json_decref(doc);
	return err;
}

int ph_roster_find(const struct ph_roster *roster, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < roster->count; i++)
		if (roster->members[i].incarnation == incarnation)
			return (int)i;
	return -1;
}

bool ph_roster_is_lost(const struct ph_roster *roster, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < roster->lost_count; i++)
		if (roster->lost[i] == incarnation)
			return true;
	return false;
}

struct ph_pair ph_roster_pair(const struct ph_roster *roster, uint64_t key)
{
	struct ph_pair pair = { -1, -1 };
	uint64_t first = 0;
	uint64_t second = 0;
	size_t i;

	for (i = 0; i < roster->count; i++) {
		uint64_t w = ph_rendezvous_weight(
			key, ph_hash_str(roster->members[i].name));

		if (pair.primary < 0 || w > first) {
			pair.backup = pair.primary;
			second = first;
			pair.primary = (int)i;
			first = w;
		} else if (pair.backup < 0 || w > second) {
			pair.backup = (int)i;
			second = w;
		}
	}
	return pair;
}

bool ph_roster_add(struct ph_roster *roster,
		   const struct ph_roster_member *member)
{
	struct ph_roster_member *m = &roster->members[roster->count];

	if (roster->count == PH_MAX_MEMBERS)
		return false;
	*m = *member;
	m->joined = roster->version;
	roster->count++;
	return true;
}

bool ph_roster_remove(struct ph_roster *roster, uint64_t incarnation, bool lost)
{
	int at = ph_roster_find(roster, incarnation);

	if (at < 0)
		return false;
	if (lost && roster->lost_count == PH_MAX_LOST)
		return false;
	roster->count--;
	roster->members[at] = roster->members[roster->count];
	if (lost && !ph_roster_is_lost(roster, incarnation))
		roster->lost[roster->lost_count++] = incarnation;
	return true;
}

void ph_roster_clear_lost(struct ph_roster *roster, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < roster->lost_count; i++)
		if (roster->lost[i] == incarnation)
			break;
	if (i == roster->lost_count)
		return;
	roster->lost_count--;
	roster->lost[i] = roster->lost[roster->lost_count];
}
