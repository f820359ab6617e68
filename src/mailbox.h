#ifndef PH_MAILBOX_H
#define PH_MAILBOX_H

/* A queue of messages from any thread to one thread. */

#include "peridothall.h"

/** Head of every message; the receiver knows the rest by its type. */
struct ph_mail {
	struct ph_mail *next;
	int type;
};

struct ph_mailbox;

struct ph_mailbox *ph_mailbox_new(const struct ph_mem *mem);
void ph_mailbox_free(struct ph_mailbox *box);

/** Appends a message; the receiver owns it from then on. */
void ph_mailbox_put(struct ph_mailbox *box, struct ph_mail *mail);

/** Likewise; it may wait for the next other message or the end of a wait. */
void ph_mailbox_put_no_wake(struct ph_mailbox *box, struct ph_mail *mail);

/** Takes all messages in order, waiting up to wait_us for the first. */
struct ph_mail *ph_mailbox_take(struct ph_mailbox *box, uint64_t wait_us);

#endif
