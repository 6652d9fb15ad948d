#include "mailbox.h"

#include <event2/event.h>
#include <stdlib.h>

struct ab_mailbox
{
  struct event *wake;
  ab_mailbox_handler handler;
  void *ctx;
  struct ab_message *head;
  struct ab_message **tail; /* The null pointer that ends the list.  */
  size_t depth;             /* Number of queued messages.  */
};

static void
free_message (struct ab_message *message)
{
  if (message->free_message)
    message->free_message (message);
  else
    free (message);
}

static struct ab_message *
pop_message (struct ab_mailbox *box)
{
  struct ab_message *message = box->head;

  if (!message)
    return NULL;
  box->head = message->next;
  if (!box->head)
    box->tail = &box->head;
  box->depth--;
  return message;
}

static void
on_wake (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_mailbox *box = ctx;
  /* Messages that the handlers post are left to the next iteration of the
     event loop, so that two tasks that post to each other cannot starve the
     sockets.  */
  size_t count = box->depth;

  (void)fd;
  (void)events;
  while (count-- > 0)
    {
      struct ab_message *message = pop_message (box);
      box->handler (box->ctx, message);
      free_message (message);
    }
  if (box->depth > 0)
    event_active (box->wake, EV_TIMEOUT, 0);
}

struct ab_mailbox *
ab_mailbox_new (struct event_base *base, ab_mailbox_handler handler, void *ctx)
{
  struct ab_mailbox *box = calloc (1, sizeof *box);

  if (!box)
    return NULL;
  box->handler = handler;
  box->ctx = ctx;
  box->tail = &box->head;
  box->wake = event_new (base, -1, 0, on_wake, box);
  if (!box->wake)
    {
      free (box);
      return NULL;
    }
  return box;
}

void
ab_mailbox_free (struct ab_mailbox *box)
{
  struct ab_message *message;

  if (!box)
    return;
  while ((message = pop_message (box)) != NULL)
    free_message (message);
  event_free (box->wake);
  free (box);
}

void
ab_mailbox_post (struct ab_mailbox *box, struct ab_message *message)
{
  message->next = NULL;
  *box->tail = message;
  box->tail = &message->next;
  if (box->depth++ == 0)
    event_active (box->wake, EV_TIMEOUT, 0);
}

size_t
ab_mailbox_depth (const struct ab_mailbox *box)
{
  return box->depth;
}
