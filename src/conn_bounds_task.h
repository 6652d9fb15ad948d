/* Bounds on what the connections of all HTTP listeners of a process hold.

   evhttp reads on from a connection while its response is written, and holds a
   response until the other side has read it.  A connection that sends requests
   ahead and reads no responses would hold memory without bound.  Here, a
   connection reads at most AB_READ_AHEAD_BYTES beyond the request in progress;
   the rest waits in the system's buffers, and the sender waits with it.  When
   all connections together hold more than unread_bytes of the settings, those
   that read nothing are closed, the ones that hold most first.  */

#ifndef AB_CONN_BOUNDS_TASK_H
#define AB_CONN_BOUNDS_TASK_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdbool.h>

#include "daemon.h"

/* Longer than the headers of any request that is within the limits, and
   shorter than the requests that are rejected for the memory of all.  */
#define AB_READ_AHEAD_BYTES 49152

struct ab_conn_bounds;
struct ab_bounded_conn;

/* Uses the settings, the event base and the counters of DAEMON.  Returns 0 or
   AB_ERR_MEMORY.  */
int ab_conn_bounds_new (struct ab_daemon *daemon,
                        struct ab_conn_bounds **bounds);
/* To be called after all evhttp objects were freed.  */
void ab_conn_bounds_free (struct ab_conn_bounds *bounds);

/* Bounds the connection of BEV, which must outlive the result.  Returns null
   when out of memory.  */
struct ab_bounded_conn *ab_conn_bounds_add (struct ab_conn_bounds *bounds,
                                            struct bufferevent *bev);
void ab_conn_bounds_remove (struct ab_bounded_conn *conn);

/* Makes HTTP listen on ADDRESS ("IP:PORT") for other than callers' requests,
   with at most side_connections of the settings open connections.  When there
   are more, the one that has been idle longest is closed.  Returns 0,
   AB_ERR_INVALID, AB_ERR_IO or AB_ERR_MEMORY.  */
int ab_conn_bounds_listen (struct ab_conn_bounds *bounds, struct evhttp *http,
                           const char *address);

/* Largest head and body of a request to a listener whose requests need no
   body.  */
#define AB_SIDE_HEAD_BYTES 16384
#define AB_SIDE_BODY_BYTES 4096

/* Makes HTTP, a listener whose requests need no body, refuse longer ones and
   close their connections; evhttp has no bounds of its own.  */
void ab_conn_bounds_limit_requests (struct evhttp *http);

/* Returns whether evhttp has dropped the connection of BEV, which clears its
   callbacks.  */
bool ab_conn_is_released (struct bufferevent *bev);

#endif
