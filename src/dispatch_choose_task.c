/* Order in which dispatchers are tried, and the choice of a target when none
   replies.  */

#include "dispatch_internal.h"

#define HOSTS_PER_DOMAIN 2
#define SPILL_DOMAINS 4

struct domain
{
  const char *name;
  /* Distance from this host: 0 in the same failure domain, 1 in the same
     region, 2 in another region.  */
  int distance;
};

/* Lists the failure domains with active targets of SERVICE: the one of this
   host first, then those in its region, then the others.  Returns their
   number.  */
static size_t
list_domains (const struct ab_dispatch_service *service,
              struct domain *domains)
{
  const struct ab_settings *own = service->task->daemon->settings;
  size_t count = 0;

  for (size_t i = 0; i < service->target_count; i++)
    {
      const struct ab_target_view *view = &service->targets[i].view;
      size_t at = 0;
      int distance = 2;

      while (at < count
             && strcmp (domains[at].name, view->failure_domain) != 0)
        at++;
      if (at < count || count == AB_DISPATCH_DOMAINS_MAX
          || view->state != AB_TARGET_ACTIVE)
        continue;
      if (strcmp (view->failure_domain, own->failure_domain) == 0)
        distance = 0;
      else if (strcmp (view->region, own->region) == 0)
        distance = 1;
      for (at = count++; at > 0 && domains[at - 1].distance > distance; at--)
        domains[at] = domains[at - 1];
      domains[at] = (struct domain){ .name = view->failure_domain,
                                     .distance = distance };
    }
  return count;
}

static void
add_steps (struct ab_dispatch_slot_request *slot_request, const char *domain,
           size_t max, bool spilled, bool no_spill)
{
  const struct ab_host_view *hosts[HOSTS_PER_DOMAIN];
  size_t count = ab_member_task_choose_dispatchers (
      slot_request->task->daemon->member,
      ab_chunk_str (slot_request->request.service), ab_chunk_str (domain),
      hosts, max);

  for (size_t i = 0;
       i < count && slot_request->step_count < AB_DISPATCH_STEPS_MAX; i++)
    {
      struct ab_dispatch_step *step
          = &slot_request->steps[slot_request->step_count++];

      *step = (struct ab_dispatch_step){ .spilled = spilled,
                                         .no_spill = no_spill };
      ab_chunk_copy_bounded (ab_chunk_str (hosts[i]->name), step->host,
                             sizeof step->host);
    }
}

void
ab_dispatch_plan (struct ab_dispatch_slot_request *slot_request)
{
  struct ab_dispatch_service *service = ab_dispatch_find_service (
      slot_request->task, slot_request->request.service);
  struct domain domains[AB_DISPATCH_DOMAINS_MAX];

  slot_request->step = 0;
  slot_request->step_count = 0;
  if (service && list_domains (service, domains) > 0)
    add_steps (slot_request, domains[0].name, HOSTS_PER_DOMAIN, false, false);
}

void
ab_dispatch_plan_spill (struct ab_dispatch_slot_request *slot_request)
{
  struct ab_dispatch_service *service = ab_dispatch_find_service (
      slot_request->task, slot_request->request.service);
  struct domain domains[AB_DISPATCH_DOMAINS_MAX];
  size_t count = service ? list_domains (service, domains) : 0;
  size_t next = 1;

  slot_request->step = 0;
  slot_request->step_count = 0;
  slot_request->spilling = true;
  if (count == 0)
    return;
  /* Pick domains at equal distance at random, so that hosts spread their
     requests over them.  */
  for (size_t i = 0; i < SPILL_DOMAINS && next < count; i++)
    {
      size_t end = next;
      size_t pick;
      struct domain chosen;

      while (end < count && domains[end].distance == domains[next].distance)
        end++;
      pick = next + ab_rng_below (&slot_request->task->rng, end - next);
      chosen = domains[pick];
      domains[pick] = domains[next];
      domains[next++] = chosen;
      add_steps (slot_request, chosen.name, 1, true, false);
    }
  add_steps (slot_request, domains[0].name, 1, false, true);
}

static bool
is_excluded (const struct ab_dispatch_request *request, const char *address)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (strcmp (request->excluded[i], address) == 0)
      return true;
  return false;
}

/* Returns a target without own_requests in the nearest domain that has one: of
   two random picks, the one with more slots.  Returns null when there is
   none.  */
static struct ab_known_target *
choose_target (struct ab_dispatch_service *service,
               const struct ab_dispatch_request *request)
{
  struct domain domains[AB_DISPATCH_DOMAINS_MAX];
  size_t count = list_domains (service, domains);

  for (size_t d = 0; d < count; d++)
    {
      struct ab_known_target *picks[2] = { NULL, NULL };
      uint64_t seen = 0;

      for (size_t i = 0; i < service->target_count; i++)
        {
          struct ab_known_target *at = &service->targets[i];

          /* Other hosts may choose by themselves too, so that a limit could
             be exceeded.  */
          if (at->view.state != AB_TARGET_ACTIVE || at->own_requests > 0
              || ab_rate_limit_task_find (service->task->rate_limits,
                                          at->view.address,
                                          at->view.incarnation)
                     != AB_RATE_LIMIT_NONE
              || strcmp (at->view.failure_domain, domains[d].name) != 0
              || is_excluded (request, at->view.address))
            continue;
          seen++;
          for (size_t p = 0; p < 2; p++)
            if (ab_rng_below (&service->task->rng, seen) == 0)
              picks[p] = at;
        }
      if (picks[0] && picks[1])
        return picks[1]->view.slots > picks[0]->view.slots ? picks[1]
                                                           : picks[0];
    }
  return NULL;
}

bool
ab_dispatch_choose_independently (struct ab_dispatch_task *task,
                                  const struct ab_dispatch_request *request,
                                  struct ab_dispatch_grant *grant)
{
  struct ab_dispatch_service *service
      = ab_dispatch_find_service (task, request->service);
  struct ab_known_target *target
      = service ? choose_target (service, request) : NULL;

  if (!target)
    return false;
  target->own_requests++;
  *grant = (struct ab_dispatch_grant){
    .id = task->next_id++,
    .max_connections = ab_dispatch_connections (task, service)
  };
  memcpy (grant->service, request->service, sizeof grant->service);
  memcpy (grant->class_name, request->class_name, sizeof grant->class_name);
  memcpy (grant->target, target->view.address, sizeof grant->target);
  return true;
}

static bool
count_host (void *ctx, const struct ab_host_view *host)
{
  uint64_t *count = ctx;

  if (host->role == AB_ROLE_ENTRY && host->state != AB_HOST_DEAD)
    *count += 1;
  return true;
}

uint64_t
ab_dispatch_connections (struct ab_dispatch_task *task,
                         const struct ab_dispatch_service *service)
{
  uint64_t hosts = 0;
  uint64_t share;

  ab_member_task_visit_hosts (task->daemon->member, count_host, &hosts);
  share = service->connections / (hosts ? hosts : 1);
  return share ? share : 1;
}
