#include <stdbool.h>

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>

#include "mailbox.h"

struct ph_mailbox {
	const struct ph_mem *mem;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *wake_cond;
	struct ph_mail *head;
	struct ph_mail *tail;
	/** The queue holds a message that wakes the receiver. */
	bool wake;
};

struct ph_mailbox *ph_mailbox_new(const struct ph_mem *mem)
{
	struct ph_mailbox *box = mem->calloc(1, sizeof(*box));

	box->mem = mem;
	apr_pool_create(&box->pool, NULL);
	apr_thread_mutex_create(&box->lock, APR_THREAD_MUTEX_DEFAULT,
				box->pool);
	apr_thread_cond_create(&box->wake_cond, box->pool);
	return box;
}

void ph_mailbox_free(struct ph_mailbox *box)
{
	if (!box)
		return;
	apr_pool_destroy(box->pool);
	box->mem->free(box);
}

static void append(struct ph_mailbox *box, struct ph_mail *mail)
{
	mail->next = NULL;
	if (box->tail)
		box->tail->next = mail;
	else
		box->head = mail;
	box->tail = mail;
}

void ph_mailbox_put(struct ph_mailbox *box, struct ph_mail *mail)
{
	apr_thread_mutex_lock(box->lock);
	append(box, mail);
	if (!box->wake)
		apr_thread_cond_signal(box->wake_cond);
	box->wake = true;
	apr_thread_mutex_unlock(box->lock);
}

void ph_mailbox_put_no_wake(struct ph_mailbox *box, struct ph_mail *mail)
{
	apr_thread_mutex_lock(box->lock);
	append(box, mail);
	apr_thread_mutex_unlock(box->lock);
}

struct ph_mail *ph_mailbox_take(struct ph_mailbox *box, uint64_t wait_us)
{
	struct ph_mail *head;

	apr_thread_mutex_lock(box->lock);
	if (!box->wake && wait_us)
		apr_thread_cond_timedwait(box->wake_cond, box->lock,
					  (apr_interval_time_t)wait_us);
	head = box->head;
	box->head = NULL;
	box->tail = NULL;
	box->wake = false;
	apr_thread_mutex_unlock(box->lock);
	return head;
}
