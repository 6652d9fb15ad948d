/* Pools of HTTP connections to targets, one for each address.  */

#ifndef AB_UPSTREAM_POOL_TASK_H
#define AB_UPSTREAM_POOL_TASK_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <jansson.h>

#include "daemon.h"
#include "status_line.h"

struct ab_pools;
struct ab_pool;

/* A connection to a target; carries one request at a time.  */
struct ab_connection
{
  struct ab_connection *prev;
  struct ab_connection *next;
  struct ab_pool *pool;
  struct evhttp_connection *evcon;
  struct bufferevent *bev;
  struct event *reap;
  bool busy;
  bool closing; /* Shut down; the event loop frees it.  */
  bool written; /* Some byte of the request was handed to the kernel.  */
  bool response_started; /* Some byte arrived since it became busy.  */
  uint64_t received;     /* Bytes that arrived since then.  */
  struct ab_status_line status_line; /* Of the response to its request.  */
  uint64_t checked;       /* RECEIVED when the owner was last told.  */
  uint64_t used_ms;       /* End of the last request; 0: never used.  */
  uint64_t keep_alive_ms; /* Idle timeout of the target; 0: unknown.  */
};

/* Responses with a larger body than BODY_BYTES, or larger headers than
   HEADER_BYTES, are errors.  Returns 0 or AB_ERR_MEMORY.  */
int ab_pools_new (struct ab_daemon *daemon, uint64_t body_bytes,
                  uint64_t header_bytes, struct ab_pools **pools);
/* Makes CHECK active whenever a response has grown by AB_POOL_CHECK_BYTES.  */
#define AB_POOL_CHECK_BYTES (128 * 1024)
void ab_pools_set_check (struct ab_pools *pools, struct event *check);
/* Closes all connections; none may be busy.  */
void ab_pools_free (struct ab_pools *pools);

/* Returns a connection to ADDRESS, idle or new, which is busy from then on;
   null when MAX_CONNECTIONS (0: no bound) are busy or memory runs out.  An
   idle connection is reused only within IDLE_MS (0: no bound) of its last
   use, and only when UNUSED is false.  */
struct ab_connection *ab_pools_take (struct ab_pools *pools,
                                     const char *address,
                                     uint64_t max_connections,
                                     uint64_t idle_ms, bool unused);

/* Ends the use of a busy connection, which may carry another request only when
   KEEP is true.  May be called from the evhttp callbacks of CONNECTION.  */
void ab_connection_return (struct ab_connection *connection, bool keep);

/* Closes and frees a busy connection with the request on it.  Must not be
   called from the evhttp callbacks of CONNECTION.  */
void ab_connection_close (struct ab_connection *connection);

/* Returns the address that CONNECTION is connected to.  */
const char *ab_connection_address (const struct ab_connection *connection);

/* State dump: numbers of all and of idle connections for each address.  */
json_t *ab_pools_state (const struct ab_pools *pools);

#endif
