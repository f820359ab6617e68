#ifndef PH_HANGUPS_H
#define PH_HANGUPS_H

/* Finds out which of any number of connections the other side has closed. */

#include <stdbool.h>

#include "peridothall.h"

/** Whether the other side has closed its end of a socket, as far as this system
 * has heard. False if that can't be found out. */
bool ph_hung_up(int fd);

struct ph_hangups;

struct ph_hangups *ph_hangups_new(const struct ph_mem *mem);
void ph_hangups_free(struct ph_hangups *hangups);

/** Adds a socket to the next check; item, which is borrowed, names it. */
void ph_hangups_add(struct ph_hangups *hangups, int fd, void *item);

/** Checks the added sockets, and removes them. *found, which is valid until the
 * next call, has the items of those that the other side has closed. Returns how
 * many, or a negative error number if they could not be checked. */
int ph_hangups_check(struct ph_hangups *hangups, void ***found);

#endif
