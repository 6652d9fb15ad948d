/* Policies without a dispatcher, for comparison.  */

#include "policy_simulation_parts_lib.h"

#define US_PER_S 1000000ULL
#define EJECTION_ERRORS 5
#define EJECTION_US (5 * US_PER_S)
#define EJECTED_SHARE_MAX 0.3
#define HOSTS_PER_DOMAIN (POLICY_HOSTS / POLICY_DOMAINS)

static bool
is_excluded (const struct policy_request *request, int target)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == target)
      return true;
  return false;
}

static bool
is_usable (const struct policy_simulation *simulation,
           const struct policy_request *request, int target)
{
  const struct policy_host *host = &simulation->hosts[request->host];

  return simulation->now_us >= host->out_until_us[target]
         && !is_excluded (request, target);
}

static int
round_robin (struct policy_simulation *simulation,
             const struct policy_request *request)
{
  struct policy_host *host = &simulation->hosts[request->host];
  int count = simulation->setup.targets ? (int)simulation->setup.targets : 1;

  for (int i = 0; i < count; i++)
    {
      int target = host->next_target++ % count;

      if (is_usable (simulation, request, target))
        return target;
    }
  return host->next_target++ % count;
}

static int
least_outstanding (struct policy_simulation *simulation,
                   const struct policy_request *request)
{
  const struct policy_host *host = &simulation->hosts[request->host];
  int best = -1;
  uint64_t ties = 0;

  for (int i = 0; i < (int)simulation->setup.targets; i++)
    {
      if (!is_usable (simulation, request, i))
        continue;
      if (best >= 0 && host->outstanding[i] < host->outstanding[best])
        ties = 0;
      if ((best < 0 || host->outstanding[i] <= host->outstanding[best])
          && ab_rng_below (&simulation->choice_rng, ++ties) == 0)
        best = i;
    }
  return best < 0 ? round_robin (simulation, request) : best;
}

static int
better_of_two (struct policy_simulation *simulation,
               const struct policy_request *request)
{
  const struct policy_host *host = &simulation->hosts[request->host];
  uint64_t targets_per_domain = simulation->setup.targets / POLICY_DOMAINS;
  int domain = request->host % POLICY_DOMAINS;
  int first = domain
              + POLICY_DOMAINS
                    * (int)ab_rng_below (&simulation->choice_rng,
                                         targets_per_domain);
  int second = domain
               + POLICY_DOMAINS
                     * (int)ab_rng_below (&simulation->choice_rng,
                                          targets_per_domain);

  if (!is_usable (simulation, request, first))
    return second;
  if (!is_usable (simulation, request, second))
    return first;
  return host->outstanding[second] < host->outstanding[first] ? second : first;
}

static bool
use_lease (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];
  struct policy_host *host = &simulation->hosts[request->host];
  int best = -1;

  for (int i = 0; i < (int)simulation->setup.targets; i++)
    if (host->outstanding[i] < host->leased[i]
        && is_usable (simulation, request, i)
        && (best < 0
            || host->leased[i] - host->outstanding[i]
                   > host->leased[best] - host->outstanding[best]))
      best = i;
  if (best < 0)
    return false;
  host->outstanding[best]++;
  policy_send (simulation, id, best);
  return true;
}

static void
wait_for_lease (struct policy_simulation *simulation, int id)
{
  struct policy_host *host = &simulation->hosts[simulation->requests[id].host];
  size_t max = sizeof host->waiting / sizeof host->waiting[0];

  host->demand++;
  if (host->waiting_count == 0 && use_lease (simulation, id))
    return;
  if (host->waiting_count == max)
    policy_finish (simulation, id, false, true);
  else
    host->waiting[host->waiting_count++] = id;
}

static void
serve_waiting (struct policy_simulation *simulation, struct policy_host *host)
{
  while (host->waiting_count > 0)
    {
      int id = host->waiting[0];
      const struct policy_request *request = &simulation->requests[id];
      bool stale = !request->used || request->sent
                   || &simulation->hosts[request->host] != host;

      if (!stale && !use_lease (simulation, id))
        return;
      host->waiting_count--;
      for (size_t i = 0; i < host->waiting_count; i++)
        host->waiting[i] = host->waiting[i + 1];
    }
}

/* Leases each slot of a failure domain to one of its hosts, in proportion to
   the hosts' demand.  */
void
policy_assign_leases (struct policy_simulation *simulation)
{
  double given[POLICY_HOSTS] = { 0 };

  for (int h = 0; h < POLICY_HOSTS; h++)
    for (int t = 0; t < POLICY_TARGETS_MAX; t++)
      simulation->hosts[h].leased[t] = 0;
  for (size_t slot = 0; slot < simulation->setup.slots; slot++)
    for (int t = 0; t < (int)simulation->setup.targets; t++)
      {
        int best = t % POLICY_DOMAINS;

        for (int i = 0; i < HOSTS_PER_DOMAIN; i++)
          {
            int h = t % POLICY_DOMAINS + i * POLICY_DOMAINS;

            if (given[h] / (double)(simulation->hosts[h].demand + 1)
                < given[best] / (double)(simulation->hosts[best].demand + 1))
              best = h;
          }
        simulation->hosts[best].leased[t]++;
        given[best] += 1;
      }
  for (int h = 0; h < POLICY_HOSTS; h++)
    {
      simulation->hosts[h].demand = 0;
      serve_waiting (simulation, &simulation->hosts[h]);
      simulation->result->control_bytes += 60;
    }
}

void
policy_choose (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];
  int target;

  if (simulation->setup.policy == POLICY_LEASES)
    {
      wait_for_lease (simulation, id);
      return;
    }
  if (simulation->setup.policy == POLICY_ROUND_ROBIN)
    target = round_robin (simulation, request);
  else if (simulation->setup.policy == POLICY_LEAST_OUTSTANDING)
    target = least_outstanding (simulation, request);
  else
    target = better_of_two (simulation, request);
  simulation->hosts[request->host].outstanding[target]++;
  policy_send (simulation, id, target);
}

static void
eject (struct policy_simulation *simulation, struct policy_host *host,
       int target)
{
  int ejected_count = 0;

  for (int i = 0; i < (int)simulation->setup.targets; i++)
    ejected_count += simulation->now_us < host->out_until_us[i];
  if (ejected_count + 1
      > EJECTED_SHARE_MAX * (double)simulation->setup.targets)
    return;
  host->ejection_counts[target]++;
  host->out_until_us[target]
      = simulation->now_us
        + EJECTION_US * (uint64_t)host->ejection_counts[target];
  simulation->result->ejections++;
  /* An ejection by one of 30 hosts counts as a thirtieth.  */
  if (target != simulation->faulty_target
      || !policy_fault_is_active (simulation))
    simulation->result->false_ejections += 1.0 / POLICY_HOSTS;
}

void
policy_chosen_done (struct policy_simulation *simulation, int id,
                    enum ab_outcome_kind kind)
{
  struct policy_request *request = &simulation->requests[id];
  struct policy_host *host = &simulation->hosts[request->host];
  int target = request->target;

  host->outstanding[target]--;
  if (kind == AB_OUTCOME_OK)
    host->errors_in_a_row[target] = 0;
  else if (kind != AB_OUTCOME_SHED
           && ++host->errors_in_a_row[target] >= EJECTION_ERRORS)
    {
      host->errors_in_a_row[target] = 0;
      eject (simulation, host, target);
    }
  if (simulation->setup.policy == POLICY_LEASES)
    {
      request->sent = false;
      serve_waiting (simulation, host);
    }
}
