#ifndef PH_MAILBOX_H
#define PH_MAILBOX_H

/* A queue of messages from any number of threads to one receiving thread. */

#include "peridothall.h"

/**
 * The first member of every message. Its type tells the receiver what struct
 * the message is.
 */
struct ph_mail {
	struct ph_mail *next;
	int type;
};

struct ph_mailbox;

struct ph_mailbox *ph_mailbox_new(const struct ph_mem *mem);

/** Frees the mailbox, but not the messages in it. */
void ph_mailbox_free(struct ph_mailbox *box);

/** Appends a message and wakes the receiver, which then owns the message. */
void ph_mailbox_put(struct ph_mailbox *box, struct ph_mail *mail);

/**
 * Appends a message without waking the receiver: it is taken with the next
 * message that does, or when the receiver's wait ends.
 */
void ph_mailbox_put_no_wake(struct ph_mailbox *box, struct ph_mail *mail);

/**
 * Takes all messages in the order in which they were put, NULL if there are
 * none. Waits for up to wait_us microseconds if no message is there that wakes
 * the receiver.
 */
struct ph_mail *ph_mailbox_take(struct ph_mailbox *box, uint64_t wait_us);

#endif
