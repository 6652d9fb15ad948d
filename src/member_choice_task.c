#include <stdlib.h>
#include <uthash.h>

#include "error.h"
#include "member_state_task.h"
#include "rendezvous.h"

/* Dispatchers are chosen for every request; the cache avoids scoring all hosts
   each time.  */
#define CHOICES_MAX 4096
#define CHOICE_HOSTS 8
#define CANDIDATES_MAX 4096

/* The preferred dispatchers of a service in a failure domain.  */
struct member_choices
{
  uint64_t subject; /* Hash of service and failure domain.  */
  size_t count;
  const struct ab_host_view *hosts[CHOICE_HOSTS];
  UT_hash_handle hh;
};

struct candidate
{
  const struct ab_host_view *host;
  unsigned tier; /* Lower is preferred.  */
  uint64_t score;
};

#define LOCALITY_TIERS 3 /* Also added to the tier of unusable hosts.  */

struct candidates
{
  struct candidate *list;
  size_t count;
  size_t cap;
  const char *region; /* Region of the domain; null: not known.  */
  struct ab_chunk domain;
  uint64_t subject;
};

void
member_choices_clear (struct ab_member_task *task)
{
  struct member_choices *choice = task->choices;
  struct member_choices *next;

  HASH_CLEAR (hh, task->choices);
  for (; choice; choice = next)
    {
      next = choice->hh.next;
      free (choice);
    }
}

static int
compare_candidates (const void *left, const void *right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;

  if (a->tier != b->tier)
    return a->tier < b->tier ? -1 : 1;
  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  return 0;
}

static void
add_candidate (struct candidates *candidates, const struct candidate *added)
{
  if (candidates->count == candidates->cap)
    {
      size_t cap = candidates->cap ? 2 * candidates->cap : 64;
      struct candidate *list
          = realloc (candidates->list, cap * sizeof *candidates->list);
      if (!list || candidates->count >= CANDIDATES_MAX)
        {
          free (list ? list : candidates->list);
          candidates->list = NULL;
          candidates->count = 0;
          candidates->cap = 0;
          return;
        }
      candidates->list = list;
      candidates->cap = cap;
    }
  candidates->list[candidates->count++] = *added;
}

/* Whether HOST may get new requests and callers; other hosts are chosen only
   when no usable one is left.  */
static bool
is_usable (const struct ab_host_view *host)
{
  return host->state == AB_HOST_ALIVE && host->ready;
}

static bool
in_domain (const struct ab_host_view *host, struct ab_chunk domain)
{
  return ab_chunk_equal (ab_chunk_str (host->failure_domain), domain);
}

/* Returns 0 for a host in the wanted failure domain, 1 in its region, 2
   elsewhere.  */
static unsigned
locality_tier (const struct candidates *candidates,
               const struct ab_host_view *host)
{
  if (in_domain (host, candidates->domain))
    return 0;
  return ab_chunk_equal (ab_chunk_str (candidates->region),
                         ab_chunk_str (host->region))
             ? 1
             : 2;
}

static bool
find_host_region (void *ctx, const struct ab_item *item)
{
  struct candidates *candidates = ctx;

  if (!in_domain (&item->host, candidates->domain))
    return true;
  candidates->region = item->host.region;
  return false;
}

static bool
find_target_region (void *ctx, const struct ab_item *item)
{
  struct candidates *candidates = ctx;

  if (!ab_chunk_equal (ab_chunk_str (item->target.failure_domain),
                       candidates->domain))
    return true;
  candidates->region = item->target.region;
  return false;
}

/* Sets the region of the wanted failure domain, taken from a host or target of
   the domain, live or not.  */
static void
find_region (struct ab_member_task *task, struct candidates *candidates)
{
  ab_membership_visit (task->m, AB_ITEM_HOST, true, find_host_region,
                       candidates);
  if (!candidates->region)
    ab_membership_visit (task->m, AB_ITEM_TARGET, true, find_target_region,
                         candidates);
}

/* Adds an entry host as candidate.  Hosts of the failure domain come first.
   When it has no usable host, its targets are dispatched by hosts of its
   region, then by others.  */
static bool
add_dispatcher (void *ctx, const struct ab_item *item)
{
  struct candidates *candidates = ctx;
  const struct ab_host_view *host = &item->host;
  struct candidate added
      = { .host = host, .tier = locality_tier (candidates, host) };

  if (host->role != AB_ROLE_ENTRY)
    return true;
  if (!is_usable (host))
    added.tier += LOCALITY_TIERS;
  added.score = ab_rendezvous_score (
      candidates->subject, ab_rendezvous_hash (ab_chunk_str (host->name)));
  add_candidate (candidates, &added);
  return true;
}

static struct member_choices *
make_choice (struct ab_member_task *task, uint64_t subject,
             struct ab_chunk domain)
{
  struct candidates candidates = { .domain = domain, .subject = subject };
  struct member_choices *choice = calloc (1, sizeof *choice);

  if (!choice)
    return NULL;
  find_region (task, &candidates);
  ab_membership_visit (task->m, AB_ITEM_HOST, false, add_dispatcher,
                       &candidates);
  if (candidates.count > 0)
    qsort (candidates.list, candidates.count, sizeof *candidates.list,
           compare_candidates);
  choice->subject = subject;
  while (choice->count < CHOICE_HOSTS && choice->count < candidates.count)
    {
      choice->hosts[choice->count] = candidates.list[choice->count].host;
      choice->count++;
    }
  free (candidates.list);
  if (HASH_COUNT (task->choices) >= CHOICES_MAX)
    member_choices_clear (task);
  HASH_ADD (hh, task->choices, subject, sizeof subject, choice);
  return choice;
}

size_t
ab_member_task_choose_dispatchers (const struct ab_member_task *task,
                                   struct ab_chunk service,
                                   struct ab_chunk failure_domain,
                                   const struct ab_host_view **hosts,
                                   size_t max)
{
  uint64_t subject = ab_rendezvous_hash_pair (service, failure_domain);
  struct member_choices *choice = NULL;
  size_t count;

  HASH_FIND (hh, task->choices, &subject, sizeof subject, choice);
  /* Removes const, as the cache is not part of the task's visible state.  */
  if (!choice)
    choice
        = make_choice ((struct ab_member_task *)task, subject, failure_domain);
  if (!choice)
    return 0;
  count = choice->count < max ? choice->count : max;
  for (size_t i = 0; i < count; i++)
    hosts[i] = choice->hosts[i];
  return count;
}

/* Adds an entry host as candidate for callers.  Usable hosts come before
   others, then hosts of the domain, of its region, elsewhere.  The order of
   equal hosts is random, so that callers spread.  */
static bool
add_address (void *ctx, const struct ab_item *item)
{
  struct candidates *candidates = ctx;
  const struct ab_host_view *host = &item->host;
  struct candidate added
      = { .host = host,
          .score = ab_rendezvous_score (candidates->subject, item->key) };

  if (host->role != AB_ROLE_ENTRY || !host->callers[0])
    return true;
  added.tier = locality_tier (candidates, host);
  if (!is_usable (host))
    added.tier += LOCALITY_TIERS;
  add_candidate (candidates, &added);
  return true;
}

static size_t
first_dispatcher (struct ab_member_task *task, struct ab_chunk service,
                  struct ab_chunk domain, const struct ab_host_view **hosts)
{
  size_t count
      = ab_member_task_choose_dispatchers (task, service, domain, hosts, 1);

  return count > 0 && is_usable (hosts[0]) ? 1 : 0;
}

size_t
member_choose_addresses (struct ab_member_task *task, struct ab_chunk service,
                         struct ab_chunk failure_domain,
                         const struct ab_host_view **hosts, size_t max)
{
  struct candidates candidates
      = { .domain = failure_domain, .subject = ab_rng_next (&task->rng) };
  size_t count = first_dispatcher (task, service, failure_domain, hosts);
  const struct ab_host_view *first = count ? hosts[0] : NULL;

  find_region (task, &candidates);
  ab_membership_visit (task->m, AB_ITEM_HOST, false, add_address, &candidates);
  if (candidates.count > 0)
    qsort (candidates.list, candidates.count, sizeof *candidates.list,
           compare_candidates);
  for (size_t i = 0; i < candidates.count && count < max; i++)
    {
      const struct candidate *c = &candidates.list[i];
      if (c->host == first)
        continue;
      /* Unusable hosts are named only when there is no usable one.  */
      if (c->tier >= LOCALITY_TIERS && count > 0 && is_usable (hosts[0]))
        break;
      hosts[count++] = c->host;
    }
  free (candidates.list);
  return count;
}
