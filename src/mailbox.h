/* Messages between the tasks of a process.

   A task owns one mailbox.  A posted message is handled later from the event
   loop, never inside the poster's call, so that a handler never meets its own
   task half-way through a change.  */

#ifndef AB_MAILBOX_H
#define AB_MAILBOX_H

#include <stddef.h>

struct event_base;
struct ab_mailbox;

/* First member of every message.  TYPE is the receiving task's own.  */
struct ab_message
{
  int type;
  /* Frees the message; null for plain free.  */
  void (*free_message) (struct ab_message *message);
  struct ab_message *next;
};

/* Handles MESSAGE, which is freed after the call.  */
typedef void (*ab_mailbox_handler) (void *ctx, struct ab_message *message);

/* Returns null when memory or events run out.  */
struct ab_mailbox *ab_mailbox_new (struct event_base *base,
                                   ab_mailbox_handler handler, void *ctx);

/* Frees BOX and the messages not yet handled.  */
void ab_mailbox_free (struct ab_mailbox *box);

/* Gives MESSAGE, allocated with malloc, to BOX.  */
void ab_mailbox_post (struct ab_mailbox *box, struct ab_message *message);

/* Number of messages that wait.  */
size_t ab_mailbox_depth (const struct ab_mailbox *box);

#endif
