/* Connections to targets: a bounded pool for each address, with send
   tracking.

   Each request gets a connection of its own for its duration.  evhttp does
   not send a request again by itself here (no retries are set), so a request
   leaves at most once for each ab_upstream_send.  */

#ifndef AB_UPSTREAM_TASK_H
#define AB_UPSTREAM_TASK_H

#include <event2/http.h>
#include <jansson.h>

#include "attempt.h"
#include "chunk.h"
#include "daemon.h"

/* An idle connection is closed after this time.  */
#define AB_UPSTREAM_IDLE_MS 10000
/* A request that must not repeat takes an idle connection only when it was
   used this recently: targets close idle connections after seconds, and a
   request that meets the close may have run.  */
#define AB_UPSTREAM_FRESH_MS 1000

/* All responses under way together hold at most about this much; the largest
   ends as too large when there is more.  A target may send without end, and
   several at a time must not use up the process's memory.  */
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
  uint64_t deadline_ms; /* Monotonic.  */
  uint64_t max_connections;
  bool fresh; /* Must not repeat.  */
  /* Most idle time of a kept connection that carries it; 0: by FRESH.  */
  uint64_t idle_ms;
  uint64_t connect_ms; /* To connect and begin to send; 0: no bound.  */
  /* A response of another request is malformed: this header, where a response
     has it, must have this value.  Null: not checked.  */
  const char *echo_name;
  const char *echo_value;
  /* Header of a response that says that the request did not run.  Null: by
     status and Almond-Shed.  */
  const char *not_run_name;
  /* A response without a length that ends with a closed, not a reset,
     connection is whole.  */
  bool accept_unframed;
};

/* HEADERS and BODY are those of a whole response, valid during the call; the
   body may be moved out.  */
struct ab_upstream_result
{
  struct ab_attempt attempt;
  struct evkeyvalq *headers;
  struct evbuffer *body;
  uint64_t latency_us;
  bool reused; /* The request went out on a kept connection.  */
};

/* Called from the event loop, exactly once unless the call is cancelled; the
   call is gone when it runs.  */
typedef void (*ab_upstream_callback) (void *ctx,
                                      const struct ab_upstream_result *result);

/* Responses over BODY_BYTES or HEADER_BYTES are refused.  */
int ab_upstream_new (struct ab_daemon *daemon, uint64_t body_bytes,
                     uint64_t header_bytes, struct ab_upstream **upstream);
void ab_upstream_free (struct ab_upstream *upstream);

/* Null when memory runs out; nothing was sent then.  */
struct ab_upstream_call *
ab_upstream_send (struct ab_upstream *upstream,
                  const struct ab_upstream_request *request,
                  ab_upstream_callback callback, void *ctx);

/* Closes the call's connection and returns what is known about the
   attempt.  */
struct ab_attempt ab_upstream_cancel (struct ab_upstream_call *call);

/* Tells whether some byte of the call's request was handed to the kernel.  */
bool ab_upstream_written (const struct ab_upstream_call *call);

/* State dump: connections by target, busy and idle.  */
json_t *ab_upstream_state (const struct ab_upstream *upstream);

#endif
