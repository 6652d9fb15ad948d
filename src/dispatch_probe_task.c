/* Health probes of ejected targets: a GET of PROBE_PATH.

   Any complete response with a status below 500 counts as healthy, as the path
   need not exist.  Health endpoints can be wrong, so a good probe only allows
   single requests on probation, and failed probes cannot keep a target out of
   service for ever; see dispatcher_eject.c.  */

#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <utlist.h>

#include "dispatch_internal.h"

#define PROBE_PATH "/healthz"
#define PROBE_TIMEOUT_S 1
#define HTTP_SERVER_ERROR 500

struct ab_dispatch_probe
{
  struct ab_dispatch_task *task;
  char service[AB_NAME_BYTES];
  char target[AB_ADDRESS_BYTES];
  struct evhttp_connection *connection;
  struct ab_dispatch_probe *prev;
  struct ab_dispatch_probe *next;
};

static void
free_probe (struct ab_dispatch_probe *probe)
{
  DL_DELETE (probe->task->probes, probe);
  if (probe->connection)
    evhttp_connection_free (probe->connection);
  free (probe);
}

/* Ends PROBE.  Must be called from the event loop: a connection may not be
   freed within its own callback, nor a dispatcher be called within one of its
   callbacks.  */
static void
end_probe (struct ab_dispatch_probe *probe, bool healthy)
{
  struct ab_dispatch_service *service
      = ab_dispatch_find_service (probe->task, probe->service);
  char target[AB_ADDRESS_BYTES];

  memcpy (target, probe->target, sizeof target);
  free_probe (probe);
  if (service && service->dispatcher)
    ab_dispatcher_probed (service->dispatcher, target, healthy,
                          ab_dispatch_now ());
}

static void
end_healthy (evutil_socket_t fd, short what, void *ctx)
{
  (void)fd;
  (void)what;
  end_probe (ctx, true);
}

static void
end_failed (evutil_socket_t fd, short what, void *ctx)
{
  (void)fd;
  (void)what;
  end_probe (ctx, false);
}

static void
on_response (struct evhttp_request *request, void *ctx)
{
  struct ab_dispatch_probe *probe = ctx;
  int status = request ? evhttp_request_get_response_code (request) : 0;
  bool healthy = status > 0 && status < HTTP_SERVER_ERROR;
  static const struct timeval at_once;

  event_base_once (probe->task->daemon->base, -1, EV_TIMEOUT,
                   healthy ? end_healthy : end_failed, probe, &at_once);
}

static bool
send_probe (struct ab_dispatch_probe *probe)
{
  struct evhttp_request *request;
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (ab_address_split (probe->target, host, sizeof host, &port) < 0)
    return false;
  probe->connection = evhttp_connection_base_new (probe->task->daemon->base,
                                                  NULL, host, port);
  if (!probe->connection)
    return false;
  evhttp_connection_set_timeout (probe->connection, PROBE_TIMEOUT_S);
  request = evhttp_request_new (on_response, probe);
  if (!request)
    return false;
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     probe->target);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  return evhttp_make_request (probe->connection, request, EVHTTP_REQ_GET,
                              PROBE_PATH)
         == 0;
}

void
ab_dispatch_probe (struct ab_dispatch_service *service, const char *target)
{
  struct ab_dispatch_probe *probe = calloc (1, sizeof *probe);

  /* The dispatcher counts a probe without a result as failed after its own
     timeout.  */
  if (!probe)
    return;
  probe->task = service->task;
  memcpy (probe->service, service->name, sizeof probe->service);
  ab_chunk_copy_bounded (ab_chunk_str (target), probe->target,
                         sizeof probe->target);
  DL_APPEND (service->task->probes, probe);
  if (!send_probe (probe))
    free_probe (probe);
}

void
ab_dispatch_free_probes (struct ab_dispatch_task *task)
{
  struct ab_dispatch_probe *probe;
  struct ab_dispatch_probe *next;

  DL_FOREACH_SAFE (task->probes, probe, next)
  free_probe (probe);
}
