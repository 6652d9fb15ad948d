/* Message queues between the tasks of a process.

   Each mailbox belongs to one task.  A posted message is handled later from
   the event loop, never inside the call of ab_mailbox_post, so that a handler
   never runs while its own task is in the middle of a state change.  Not
   thread-safe.  */

#ifndef AB_MAILBOX_H
#define AB_MAILBOX_H

#include <stddef.h>

struct event_base;
struct ab_mailbox;

/* First member of every message.  The receiving task defines the values of
   TYPE.  */
struct ab_message
{
  int type;
  /* Frees the message; null if free is enough.  */
  void (*free_message) (struct ab_message *message);
  struct ab_message *next; /* Used by the mailbox.  */
};

/* Handles MESSAGE, which is freed after the call.  */
typedef void (*ab_mailbox_handler) (void *ctx, struct ab_message *message);

/* Returns a mailbox whose messages HANDLER gets from the event loop BASE, or
   null when memory or events run out.  */
struct ab_mailbox *ab_mailbox_new (struct event_base *base,
                                   ab_mailbox_handler handler, void *ctx);

/* Frees BOX and the messages that have not been handled yet.  */
void ab_mailbox_free (struct ab_mailbox *box);

/* Appends MESSAGE, allocated with malloc, to BOX, which then owns it.  */
void ab_mailbox_post (struct ab_mailbox *box, struct ab_message *message);

/* Returns the number of messages that have not been handled yet.  */
size_t ab_mailbox_depth (const struct ab_mailbox *box);

#endif
