#include "dispatch_task.h"

#include <event2/event.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "clock.h"
#include "control_client.h"
#include "dispatch_internal.h"
#include "error.h"
#include "peer_task.h"

#define SEQUENCE_BITS 20

uint64_t
ab_dispatch_now (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

struct ab_dispatch_service *
ab_dispatch_find_service (struct ab_dispatch_task *task, const char *name)
{
  struct ab_dispatch_service *service;

  HASH_FIND_STR (task->services, name, service);
  return service;
}

void
ab_dispatch_send (struct ab_dispatch_task *task, const char *host,
                  enum ab_frame_type type, struct ab_buf *body)
{
  /* Errors are ignored: timeouts on both sides handle a lost frame.  */
  if (body->error == 0)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (host), type,
                       ab_buf_chunk (body));
  ab_buf_free (body);
}

static struct ab_dispatch_service *
new_service (struct ab_dispatch_task *task, const char *name)
{
  struct ab_dispatch_service *service = calloc (1, sizeof *service);

  if (!service)
    return NULL;
  service->task = task;
  ab_chunk_copy_bounded (ab_chunk_str (name), service->name,
                         sizeof service->name);
  return service;
}

static struct ab_dispatch_service *
get_service (struct ab_dispatch_task *task, const char *name)
{
  struct ab_dispatch_service *service;

  HASH_FIND (hh, task->services, name, strlen (name), service);
  if (service)
    return service;
  service = new_service (task, name);
  if (service)
    HASH_ADD_STR (task->services, name, service);
  return service;
}

static void
free_services (struct ab_dispatch_task *task)
{
  struct ab_dispatch_service *service = task->services;

  HASH_CLEAR (hh, task->services);
  while (service)
    {
      struct ab_dispatch_service *next = service->hh.next;

      ab_dispatch_free_dispatcher (service);
      free (service->targets);
      free (service);
      service = next;
    }
}

static struct ab_known_target *
find_target (struct ab_dispatch_service *service, const char *address)
{
  for (size_t i = 0; i < service->target_count; i++)
    if (strcmp (service->targets[i].view.address, address) == 0)
      return &service->targets[i];
  return NULL;
}

static void
store_target (struct ab_dispatch_service *service,
              const struct ab_target_view *view)
{
  struct ab_known_target *target = find_target (service, view->address);

  if (!target && view->state == AB_TARGET_REMOVED)
    return;
  if (!target)
    {
      target = realloc (service->targets,
                        (service->target_count + 1) * sizeof *target);
      if (!target)
        return;
      service->targets = target;
      target = &target[service->target_count++];
      *target = (struct ab_known_target){ .own_requests = 0 };
    }
  if (view->state == AB_TARGET_REMOVED)
    *target = service->targets[--service->target_count];
  else
    target->view = *view;
}

static void
on_target (void *ctx, const struct ab_target_view *view)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_dispatch_service *service = get_service (task, view->service);

  if (!service)
    return;
  store_target (service, view);
  ab_rate_limit_task_set_target (
      task->rate_limits, view->address,
      view->state == AB_TARGET_REMOVED ? 0 : view->incarnation);
  ab_dispatch_update_target (service, view);
}

static bool
visit_target (void *ctx, const struct ab_target_view *view)
{
  on_target (ctx, view);
  return true;
}

static void
on_host (void *ctx, const struct ab_host_view *host)
{
  struct ab_dispatch_task *task = ctx;

  if (host->state != AB_HOST_DEAD)
    return;
  for (struct ab_dispatch_service *at = task->services; at; at = at->hh.next)
    if (at->dispatcher)
      ab_dispatcher_remove_requester (at->dispatcher, host->name,
                                      ab_dispatch_now ());
  ab_dispatch_host_dead (task, host->name);
}

static void
on_bundle (void *ctx, struct ab_bundle *bundle)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_dispatch_service *service;
  struct ab_dispatch_service *next;

  ab_bundle_unref (task->bundle);
  task->bundle = ab_bundle_ref (bundle);
  HASH_ITER (hh, task->services, service, next)
  ab_dispatch_configure (service);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_dispatch_task *task = ctx;

  (void)fd;
  (void)what;
  for (struct ab_dispatch_service *at = task->services; at; at = at->hh.next)
    if (at->dispatcher)
      ab_dispatcher_tick (at->dispatcher, ab_dispatch_now ());
}

static void
on_second (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_dispatch_task *task = ctx;

  (void)fd;
  (void)what;
  for (struct ab_dispatch_service *at = task->services; at; at = at->hh.next)
    ab_dispatch_each_second (at);
}

const struct ab_target_view *
ab_dispatch_find_target (const struct ab_dispatch_service *service,
                         const char *address)
{
  for (size_t i = 0; i < service->target_count; i++)
    if (strcmp (service->targets[i].view.address, address) == 0)
      return &service->targets[i].view;
  return NULL;
}

static bool
is_known (void *ctx, const char *target)
{
  const struct ab_dispatch_task *task = ctx;

  for (struct ab_dispatch_service *at = task->services; at; at = at->hh.next)
    if (ab_dispatch_find_target (at, target))
      return true;
  return false;
}

static const struct ab_rate_limit_ops rate_limit_ops
    = { .is_known = is_known, .changed = ab_dispatch_limit_changed };

static int
start_timers (struct ab_dispatch_task *task)
{
  struct timeval tick = { .tv_usec = AB_DISPATCHER_TICK_MS * 1000 };
  struct timeval second = { .tv_sec = 1 };

  task->tick = event_new (task->daemon->base, -1, EV_PERSIST, on_tick, task);
  task->second
      = event_new (task->daemon->base, -1, EV_PERSIST, on_second, task);
  if (!task->tick || !task->second)
    return AB_ERR_MEMORY;
  if (event_add (task->tick, &tick) < 0
      || event_add (task->second, &second) < 0)
    return AB_ERR_MEMORY;
  return 0;
}

static void
register_handlers (struct ab_dispatch_task *task)
{
  struct ab_daemon *daemon = task->daemon;

  ab_peer_task_set_handler (daemon->peer, AB_FRAME_DISPATCH_SLOT_REQUEST,
                            ab_dispatch_on_slot_request, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_DISPATCH_GRANT,
                            ab_dispatch_on_grant, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_DISPATCH_REFUSE,
                            ab_dispatch_on_refuse, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_DISPATCH_OUTCOME,
                            ab_dispatch_on_outcome, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_EVIDENCE,
                            ab_dispatch_on_evidence, task);
  ab_control_client_on_revoke (daemon->control_client, ab_dispatch_on_revoke,
                               task);
  ab_bundle_task_add_listener (daemon->bundle, on_bundle, task);
  ab_member_task_visit_targets (daemon->member, visit_target, task);
  ab_member_task_listen_targets (daemon->member, on_target, task);
  ab_member_task_listen_hosts (daemon->member, on_host, task);
}

int
ab_dispatch_task_new (struct ab_daemon *daemon, struct ab_dispatch_task **out)
{
  struct ab_dispatch_task *task = calloc (1, sizeof *task);
  int rc;

  if (!task)
    return AB_ERR_MEMORY;
  task->daemon = daemon;
  ab_rng_init_system (&task->rng);
  /* Identifiers must differ from those of an earlier process of this host.  */
  task->next_id = daemon->incarnation << SEQUENCE_BITS;
  task->rate_limits = ab_rate_limit_task_new (daemon, &rate_limit_ops, task);
  rc = task->rate_limits ? start_timers (task) : AB_ERR_MEMORY;
  if (rc < 0)
    {
      ab_dispatch_task_free (task);
      return rc;
    }
  register_handlers (task);
  *out = task;
  return 0;
}

void
ab_dispatch_task_free (struct ab_dispatch_task *task)
{
  if (!task)
    return;
  ab_dispatch_free_probes (task);
  ab_dispatch_free_slot_requests (task);
  free_services (task);
  ab_rate_limit_task_free (task->rate_limits);
  ab_bundle_unref (task->bundle);
  if (task->tick)
    event_free (task->tick);
  if (task->second)
    event_free (task->second);
  free (task);
}
