#ifndef PH_INTERN_H
#define PH_INTERN_H

/*
 * Names of any length that live as long as the process: those of instances,
 * failure domains and pools, of which a process meets few. Equal names have one
 * copy. Names that come and go, such as those of executors, belong to the
 * structures that hold them.
 */

/** Returns the process's copy of a name; NULL for NULL. From any thread. */
const char *ph_intern(const char *name);

#endif
