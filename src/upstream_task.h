/* Requests to targets, over a bounded pool of connections for each address.

   Each request gets a connection of its own for its duration, and it is
   tracked whether any byte of it was sent.  evhttp's retries are off, so a
   request is sent at most once for each ab_upstream_send.  */

#ifndef AB_UPSTREAM_TASK_H
#define AB_UPSTREAM_TASK_H

#include <event2/http.h>
#include <jansson.h>

#include "attempt.h"
#include "chunk.h"
#include "daemon.h"

/* An idle connection is closed after this time.  */
#define AB_UPSTREAM_IDLE_MS 10000
/* Default for the longest idle time of a connection that is reused for a
   request that is not idempotent.  Targets close idle connections after
   seconds, and a request sent while that happens may have run.  */
#define AB_UPSTREAM_NON_IDEMPOTENT_IDLE_MS 1000

/* Approximate bound on the memory of all responses in flight together; above
   it the largest one ends with AB_ATTEMPT_TOO_LARGE.  A target may send an
   endless response, and several of these at a time must not exhaust the
   process's memory.  */
#define AB_UPSTREAM_MEMORY_BYTES (48ULL * 1024 * 1024)

struct ab_upstream;
struct ab_upstream_call;

struct ab_upstream_request
{
  const char *target;
  enum evhttp_cmd_type type;
  const char *uri; /* Path and query.  */
  /* Header lines "Name: value\r\n".  */
  struct ab_chunk headers;
  struct ab_chunk body; /* Copied.  */
  /* The body instead, unless null.  Its content is shared rather than
     copied.  */
  struct evbuffer *body_buffer;
  uint64_t deadline_ms;     /* On the monotonic clock.  */
  uint64_t max_connections; /* To this target; 0: no bound.  */
  bool non_idempotent;      /* Needs a recently used or new connection.  */
  /* Longest idle time of a reused connection.  0:
     AB_UPSTREAM_NON_IDEMPOTENT_IDLE_MS with NON_IDEMPOTENT, otherwise no
     bound.  */
  uint64_t idle_ms;
  uint64_t connect_ms; /* Timeout until the first byte is sent; 0: none.  */
  /* A response must have the header ECHO_NAME with the value ECHO_VALUE, which
     is copied: otherwise it may belong to another request and counts as
     malformed.  A request with an empty value has a connection of its own, as
     nothing else assigns a response to it.  Null: targets echo nothing.  */
  const char *echo_name;
  struct ab_chunk echo_value;
  /* Name of the header that a success (2xx) must have, otherwise it counts as
     malformed.  Null: not checked.  */
  const char *stamp_name;
  /* Name of the response header which says that the request did not run.
     Null: the status and Almond-Shed decide.  */
  const char *not_run_name;
  /* A response without a length counts as complete when its connection ends
     with a close rather than a reset.  */
  bool accept_unframed;
};

/* How a request ended.  HEADERS and BODY belong to a complete response, and
   are valid during the callback only; the body may be moved out.  */
struct ab_upstream_result
{
  struct ab_attempt attempt;
  struct evkeyvalq *headers;
  struct evbuffer *body;
  uint64_t latency_us;
  bool reused; /* It was sent on a connection that was used before.  */
};

/* Called from the event loop, exactly once unless the call is cancelled.  The
   call has been freed by then.  */
typedef void (*ab_upstream_callback) (void *ctx,
                                      const struct ab_upstream_result *result);

/* Responses with a larger body than BODY_BYTES, or larger headers than
   HEADER_BYTES, are errors.  Returns 0 or AB_ERR_MEMORY.  */
int ab_upstream_new (struct ab_daemon *daemon, uint64_t body_bytes,
                     uint64_t header_bytes, struct ab_upstream **upstream);
void ab_upstream_free (struct ab_upstream *upstream);

/* Sends REQUEST and calls CALLBACK with CTX when it has ended.  Returns null
   when memory runs out; nothing was sent then.  */
struct ab_upstream_call *
ab_upstream_send (struct ab_upstream *upstream,
                  const struct ab_upstream_request *request,
                  ab_upstream_callback callback, void *ctx);

/* Closes the connection of CALL, frees CALL without a callback and returns
   what is known about the attempt.  */
struct ab_attempt ab_upstream_cancel (struct ab_upstream_call *call);

/* Reads what RESULT, of a request to TARGET, says of the target's rate limit
   in the header NAME.  Sets *PER_1000_S (rate_limit.h), and *AGE_MS to the
   time since which that is known.  Returns false when it says nothing: there
   is no complete response, the value is no number, or an error response names
   no limit, which does not mean that an earlier one has ended.  */
bool ab_upstream_rate_limit (const struct ab_upstream_result *result,
                             const char *name, const char *target,
                             uint64_t *per_1000_s, uint64_t *age_ms);

/* Returns whether some byte of CALL's request was handed to the kernel.  */
bool ab_upstream_written (const struct ab_upstream_call *call);
/* Returns whether some byte of CALL's response has arrived.  */
bool ab_upstream_response_started (const struct ab_upstream_call *call);

/* State dump: numbers of all and of idle connections for each address.  */
json_t *ab_upstream_state (const struct ab_upstream *upstream);

#endif
