#ifndef PH_IDENT_H
#define PH_IDENT_H

/* Names, job ids and rendezvous hashing. */

#include <stdbool.h>

#include "peridothall.h"

/** Tells whether text is a name: 1 to 31 of [a-z0-9-]. */
bool ph_name_valid(const char *text);

/** Tells whether text is a job id: 1 to 95 of [A-Za-z0-9._~-]. */
bool ph_id_valid(const char *text);

/** Hashes len bytes. */
uint64_t ph_hash(const void *data, size_t len);

/** Hashes a string. */
uint64_t ph_hash_str(const char *text);

/** Weight of a candidate for a key; the largest weight owns the key. */
uint64_t ph_rendezvous_weight(uint64_t key_hash, uint64_t candidate_hash);

/**
 * Index of the home failure domain of a job id among domains: its prefix up
 * to the first '~' if that names one, else by rendezvous. Returns -1 if there
 * is no domain.
 */
int ph_home_domain(const char *id, const char *const *domains, size_t count);

/** Copies the team of a job's key, "team/id". */
void ph_key_team(const char *key, char team[PH_NAME_BYTES]);

#endif
