/* Pools of connections to targets, one for each address.  */

#ifndef AB_UPSTREAM_POOL_TASK_H
#define AB_UPSTREAM_POOL_TASK_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <jansson.h>

#include "daemon.h"

struct ab_pools;
struct ab_pool;

/* A connection carries one request at a time.  */
struct ab_connection
{
  struct ab_connection *prev;
  struct ab_connection *next;
  struct ab_pool *pool;
  struct evhttp_connection *evcon;
  struct bufferevent *bev;
  struct event *reap;
  bool busy;
  bool dying;       /* Waits to be freed.  */
  bool written;     /* Some byte of the request was handed to the kernel.  */
  bool answered;    /* Some byte came since it was taken.  */
  uint64_t used_ms; /* End of the last request; 0: new.  */
  uint64_t keep_ms; /* How long the target keeps it idle; 0: not told.  */
};

/* Responses over BODY_BYTES or HEADER_BYTES are refused.  */
int ab_pools_new (struct ab_daemon *daemon, uint64_t body_bytes,
                  uint64_t header_bytes, struct ab_pools **pools);
/* Closes all connections; none may be busy.  */
void ab_pools_free (struct ab_pools *pools);

/* A connection to ADDRESS, kept or new, or null when MAX_CONNECTIONS (0: no
   bound) are busy or memory runs out.  A kept one is taken only within
   IDLE_MS (0: no bound) of its last use.  */
struct ab_connection *ab_pools_take (struct ab_pools *pools,
                                     const char *address,
                                     uint64_t max_connections,
                                     uint64_t idle_ms);

/* Ends the use of a busy connection.  It may carry another request only with
   KEEP.  May be called from the connection's own evhttp callbacks.  */
void ab_connection_return (struct ab_connection *connection, bool keep);

/* Closes and frees a busy connection with the request on it; not from its own
   evhttp callbacks.  */
void ab_connection_close (struct ab_connection *connection);

/* The address that the connection goes to.  */
const char *ab_connection_address (const struct ab_connection *connection);

json_t *ab_pools_state (const struct ab_pools *pools);

#endif
