/* Policies without a dispatcher, for comparison.  */

#include "policy_world_lib.h"

#define US_PER_S 1000000ULL
#define ERRORS_IN_A_ROW 5
#define OUT_US (5 * US_PER_S)
#define OUT_SHARE_MAX 0.3
#define HOSTS_PER_DOMAIN (FAKE_HOSTS / FAKE_DOMAINS)

static bool
is_excluded (const struct policy_request *request, int target)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == target)
      return true;
  return false;
}

static bool
is_open (const struct policy_world *world,
         const struct policy_request *request, int target)
{
  const struct policy_host *host = &world->hosts[request->host];

  return world->now_us >= host->out_until_us[target]
         && !is_excluded (request, target);
}

static int
round_robin (struct policy_world *world, const struct policy_request *request)
{
  struct policy_host *host = &world->hosts[request->host];
  int count = world->setup.targets ? (int)world->setup.targets : 1;

  for (int i = 0; i < count; i++)
    {
      int target = host->next++ % count;

      if (is_open (world, request, target))
        return target;
    }
  return host->next++ % count;
}

static int
least_outstanding (struct policy_world *world,
                   const struct policy_request *request)
{
  const struct policy_host *host = &world->hosts[request->host];
  int best = -1;
  uint64_t ties = 0;

  for (int i = 0; i < (int)world->setup.targets; i++)
    {
      if (!is_open (world, request, i))
        continue;
      if (best >= 0 && host->outstanding[i] < host->outstanding[best])
        ties = 0;
      if ((best < 0 || host->outstanding[i] <= host->outstanding[best])
          && ab_rng_below (&world->choice_rng, ++ties) == 0)
        best = i;
    }
  return best < 0 ? round_robin (world, request) : best;
}

static int
better_of_two (struct policy_world *world,
               const struct policy_request *request)
{
  const struct policy_host *host = &world->hosts[request->host];
  uint64_t near = world->setup.targets / FAKE_DOMAINS;
  int domain = request->host % FAKE_DOMAINS;
  int first
      = domain + FAKE_DOMAINS * (int)ab_rng_below (&world->choice_rng, near);
  int second
      = domain + FAKE_DOMAINS * (int)ab_rng_below (&world->choice_rng, near);

  if (!is_open (world, request, first))
    return second;
  if (!is_open (world, request, second))
    return first;
  return host->outstanding[second] < host->outstanding[first] ? second : first;
}

static bool
use_lease (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];
  struct policy_host *host = &world->hosts[request->host];
  int best = -1;

  for (int i = 0; i < (int)world->setup.targets; i++)
    if (host->outstanding[i] < host->leased[i] && is_open (world, request, i)
        && (best < 0
            || host->leased[i] - host->outstanding[i]
                   > host->leased[best] - host->outstanding[best]))
      best = i;
  if (best < 0)
    return false;
  host->outstanding[best]++;
  policy_send (world, id, best);
  return true;
}

static void
wait_for_lease (struct policy_world *world, int id)
{
  struct policy_host *host = &world->hosts[world->requests[id].host];
  size_t max = sizeof host->waiting / sizeof host->waiting[0];

  host->demand++;
  if (host->waiting_count == 0 && use_lease (world, id))
    return;
  if (host->waiting_count == max)
    policy_finish (world, id, false, true);
  else
    host->waiting[host->waiting_count++] = id;
}

static void
serve_waiting (struct policy_world *world, struct policy_host *host)
{
  while (host->waiting_count > 0)
    {
      int id = host->waiting[0];
      const struct policy_request *request = &world->requests[id];
      bool gone = !request->used || request->sent
                  || &world->hosts[request->host] != host;

      if (!gone && !use_lease (world, id))
        return;
      host->waiting_count--;
      for (size_t i = 0; i < host->waiting_count; i++)
        host->waiting[i] = host->waiting[i + 1];
    }
}

/* Leases each slot of a failure domain to one of its hosts, in proportion to
   the hosts' demand.  */
void
policy_divide_leases (struct policy_world *world)
{
  double given[FAKE_HOSTS] = { 0 };

  for (int h = 0; h < FAKE_HOSTS; h++)
    for (int t = 0; t < FAKE_TARGETS_MAX; t++)
      world->hosts[h].leased[t] = 0;
  for (size_t slot = 0; slot < world->setup.slots; slot++)
    for (int t = 0; t < (int)world->setup.targets; t++)
      {
        int best = t % FAKE_DOMAINS;

        for (int i = 0; i < HOSTS_PER_DOMAIN; i++)
          {
            int h = t % FAKE_DOMAINS + i * FAKE_DOMAINS;

            if (given[h] / (double)(world->hosts[h].demand + 1)
                < given[best] / (double)(world->hosts[best].demand + 1))
              best = h;
          }
        world->hosts[best].leased[t]++;
        given[best] += 1;
      }
  for (int h = 0; h < FAKE_HOSTS; h++)
    {
      world->hosts[h].demand = 0;
      serve_waiting (world, &world->hosts[h]);
      world->result->control_bytes += 60;
    }
}

void
policy_choose (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];
  int target;

  if (world->setup.policy == FAKE_LEASES)
    {
      wait_for_lease (world, id);
      return;
    }
  if (world->setup.policy == FAKE_ROUND_ROBIN)
    target = round_robin (world, request);
  else if (world->setup.policy == FAKE_LEAST)
    target = least_outstanding (world, request);
  else
    target = better_of_two (world, request);
  world->hosts[request->host].outstanding[target]++;
  policy_send (world, id, target);
}

static void
eject (struct policy_world *world, struct policy_host *host, int target)
{
  int out = 0;

  for (int i = 0; i < (int)world->setup.targets; i++)
    out += world->now_us < host->out_until_us[i];
  if (out + 1 > OUT_SHARE_MAX * (double)world->setup.targets)
    return;
  host->times[target]++;
  host->out_until_us[target]
      = world->now_us + OUT_US * (uint64_t)host->times[target];
  world->result->ejections++;
  /* An ejection by one of 30 hosts counts as a thirtieth.  */
  if (target != world->sick || !policy_fault_on (world))
    world->result->false_ejections += 1.0 / FAKE_HOSTS;
}

void
policy_chosen_done (struct policy_world *world, int id,
                    enum ab_outcome_kind kind)
{
  struct policy_request *request = &world->requests[id];
  struct policy_host *host = &world->hosts[request->host];
  int target = request->target;

  host->outstanding[target]--;
  if (kind == AB_OUTCOME_OK)
    host->errors[target] = 0;
  else if (kind != AB_OUTCOME_SHED
           && ++host->errors[target] >= ERRORS_IN_A_ROW)
    {
      host->errors[target] = 0;
      eject (world, host, target);
    }
  if (world->setup.policy == FAKE_LEASES)
    {
      request->sent = false;
      serve_waiting (world, host);
    }
}
