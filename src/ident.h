#ifndef PH_IDENT_H
#define PH_IDENT_H

/* Names, job ids and rendezvous hashing. */

#include <stdbool.h>

#include "peridothall.h"

/** Whether text is a valid name: 1 to 31 characters of [a-z0-9-]. */
bool ph_name_valid(const char *text);

/** Whether text is a valid job id: 1 to 95 characters of [A-Za-z0-9._~-]. */
bool ph_id_valid(const char *text);

/** Whether text is a valid name given by the platform, such as that of an
 * executor, a failure domain, a service or a label: at least one character, all
 * of [A-Za-z0-9._~:@+-]. Such a name may stand in a header, a line of the log
 * or a metric as it is. */
bool ph_platform_name_valid(const char *text);

/** Whether text is an IPv4 address, a colon and a port from 1 to 65535. */
bool ph_addr_valid(const char *text);

/** 64-bit hash of len bytes, the same on all instances. */
uint64_t ph_hash(const void *data, size_t len);

/** ph_hash() of a string without its terminator. */
uint64_t ph_hash_str(const char *text);

/**
 * Weight of a candidate for a key in rendezvous hashing; the key goes to the
 * candidate with the largest weight.
 */
uint64_t ph_rendezvous_weight(uint64_t key_hash, uint64_t candidate_hash);

/**
 * Index in domains of the home failure domain of a job id: the domain named by
 * the id's prefix up to the first '~', or, if there is none of that name, the
 * one chosen by rendezvous hashing. Returns -1 if count is 0.
 */
int ph_home_domain(const char *id, const char *const *domains, size_t count);

/** Copies the team from a job's key "team/id", cut off at PH_NAME_BYTES - 1. */
void ph_key_team(const char *key, char team[PH_NAME_BYTES]);

#endif
