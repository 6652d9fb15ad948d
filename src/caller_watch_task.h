/* Notices that the caller of a request in progress has gone.

   evhttp does not read a connection while its request is handled.  A close is
   reported as EV_CLOSED, a reset only as an error, which epoll reports without
   end to whoever waits for other events on the socket.  */

#ifndef AB_CALLER_WATCH_TASK_H
#define AB_CALLER_WATCH_TASK_H

#include <event2/http.h>

struct ab_caller_watch;

/* Calls ON_GONE with CTX, from the event loop and at most once, when the
   caller closes or resets CONNECTION, or shuts down its direction.  Returns
   null without memory.  */
struct ab_caller_watch *
ab_caller_watch_new (struct event_base *base,
                     struct evhttp_connection *connection,
                     void (*on_gone) (void *ctx), void *ctx);

/* To be called before CONNECTION may be freed, and allowed in ON_GONE.  Does
   nothing when WATCH is null.  */
void ab_caller_watch_free (struct ab_caller_watch *watch);

#endif
