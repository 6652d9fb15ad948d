#include "scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "rendezvous.h"

/* Of a service without a measured latency.  */
#define LATENCY_DEFAULT_MS 200
#define LATENCY_WEIGHT 0.05
/* A request under way this many times as long as usual is stuck.  */
#define STUCK_FACTOR 5
#define STUCK_MIN_MS 900
/* A grant without an outcome is given up this long after its deadline.  */
#define GRANT_SLACK_MS 1500
/* A target that this many hosts could not reach within PATH_MS is down for
   all.  */
#define PATH_HOSTS_DOWN 2
#define PATH_MS 4000
#define PATHS_MAX 8
#define WINDOW_BUCKETS 32
/* A share of the budget is left for asks that other schedulers place.  */
#define BUDGET_USE 0.75
/* Of that share, what a priority may use: when attempts fail or are rejected
   everywhere, the urgent ones are sent again first.  */
static const double budget_of_rank[] = { 1, 0.85, 0.6, 0.6 };
/* How much less a target that sheds all is wanted.  */
#define SHED_COST 4
/* While more than this share of the attempts at trusted targets fail, or
   requests are refused, the others get one now and then: trust in few targets
   must not leave most of a service idle.  */
#define TROUBLE_SHARE 0.08
#define TROUBLE_WEIGHT 0.04
#define TROUBLE_IDLE_MS 900
/* A refusal names at least this time.  */
#define RETRY_MIN_MS 50
/* Of the time that is left, kept for the way to the caller.  */
#define REPLY_MARGIN_MS 30
#define QUEUE_MAX 4096
/* A bulky request waits at most this long for a slot in its own failure
   domain: one of several slots comes free within a part of a request.  */
#define NEAR_WAIT_MS 90
/* Ranks of priority whose arrivals are counted apart.  */
#define PRIORITIES 4
/* Rates of arrival are averaged over about this time.  */
#define RATE_MS 2500
/* Of the arrivals with a higher priority, those that are expected to go on: a
   burst may end before a waiting request's turn.  */
#define RATE_EXPECTED 0.75
/* Of the slots, left to a low priority when higher ones take all: such
   requests are hardly ever served, but not refused for a short burst.  */
#define CAPACITY_LEFT 0.1
/* A waiting request is given up when its turn is expected this much later
   than of use; the estimate is rough.  */
#define HOPELESS_SLACK 1.0

struct service;

struct path
{
  uint64_t host;
  uint64_t until_ms;
};

struct target
{
  struct ab_fleet_target known;
  struct ab_target_health health;
  struct service *service;
  struct target *prev; /* Among the service's.  */
  struct target *next;
  uint64_t in_flight;
  uint64_t trials; /* Of them, while not proven.  */
  uint64_t cold_until_ms;
  uint64_t done_ms;    /* When a request ended last.  */
  uint64_t granted_ms; /* When one was granted last.  */
  bool used;           /* Got a request.  */
  struct path paths[PATHS_MAX];
  UT_hash_handle hh;
};

struct request
{
  struct ab_sched_ask ask;
  struct request *prev; /* Among the service's, waiting or granted.  */
  struct request *next;
  struct service *service;
  struct target *target; /* Null while it waits.  */
  uint64_t asked_ms;
  uint64_t granted_ms;
  bool trial;
  bool in_time;     /* As of the last look at the queue.  */
  uint64_t left_ms; /* Of the objective, or of all its time.  */
  UT_hash_handle hh;
};

struct bucket
{
  uint64_t second;
  uint64_t first;
  uint64_t repeats;
};

/* The targets of a service in one area, and the requests for them.  */
struct service
{
  char key[2 * AB_NAME_BYTES]; /* Name, line feed, area.  */
  struct target *targets;
  struct request *waiting; /* In the order in which they are served.  */
  size_t waiting_count;
  struct request *granted;
  double latency_ms;
  double trouble; /* Moving average of failures and refusals, 0 to 1.  */
  double rates[PRIORITIES]; /* Arrivals a millisecond.  */
  uint64_t rates_ms;        /* When they were updated.  */
  struct bucket buckets[WINDOW_BUCKETS];
  UT_hash_handle hh;
};

struct ab_scheduler
{
  struct ab_scheduler_config config;
  const struct ab_scheduler_ops *ops;
  void *ctx;
  struct service *services;
  struct target *targets;
  struct request *requests;
};

struct ab_scheduler *
ab_scheduler_new (const struct ab_scheduler_config *config,
                  const struct ab_scheduler_ops *ops, void *ctx)
{
  struct ab_scheduler *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->config = *config;
  s->ops = ops;
  s->ctx = ctx;
  return s;
}

void
ab_scheduler_free (struct ab_scheduler *s)
{
  struct request *request;
  struct target *target;
  struct service *service;

  if (!s)
    return;
  request = s->requests;
  target = s->targets;
  service = s->services;
  HASH_CLEAR (hh, s->requests);
  HASH_CLEAR (hh, s->targets);
  HASH_CLEAR (hh, s->services);
  while (request)
    {
      struct request *next = request->hh.next;
      free (request);
      request = next;
    }
  while (target)
    {
      struct target *next = target->hh.next;
      free (target);
      target = next;
    }
  while (service)
    {
      struct service *next = service->hh.next;
      free (service);
      service = next;
    }
  free (s);
}

static struct service *
get_service (struct ab_scheduler *s, const char *name, const char *area)
{
  struct service *service = NULL;
  char key[sizeof service->key];

  snprintf (key, sizeof key, "%s\n%s", name, area);
  HASH_FIND_STR (s->services, key, service);
  if (service)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  memcpy (service->key, key, sizeof key);
  HASH_ADD_STR (s->services, key, service);
  return service;
}

static double
usual_ms (const struct service *service)
{
  return service->latency_ms > 0 ? service->latency_ms : LATENCY_DEFAULT_MS;
}

/* Targets.  */

static void
forget_target (struct ab_scheduler *s, struct target *target)
{
  DL_DELETE (target->service->targets, target);
  HASH_DEL (s->targets, target);
  free (target);
}

static struct target *
add_target (struct ab_scheduler *s, const struct ab_fleet_target *known,
            struct service *service)
{
  struct target *target = calloc (1, sizeof *target);

  if (!target)
    return NULL;
  target->service = service;
  target->known = *known;
  DL_APPEND (service->targets, target);
  HASH_ADD_STR (s->targets, known.id, target);
  return target;
}

/* Starts a target's record anew, for a new incarnation.  */
static void
reset_target (struct target *target, uint64_t cold_ms, uint64_t now_ms)
{
  memset (&target->health, 0, sizeof target->health);
  memset (target->paths, 0, sizeof target->paths);
  target->cold_until_ms = now_ms + cold_ms;
  target->used = false;
}

/* Requests under way stay with the service that granted them.  */
static void
move_target (struct target *target, struct service *service)
{
  DL_DELETE (target->service->targets, target);
  DL_APPEND (service->targets, target);
  target->service = service;
}

void
ab_scheduler_set_target (struct ab_scheduler *s,
                         const struct ab_fleet_target *known, const char *area,
                         uint64_t now_ms)
{
  struct service *service = get_service (s, known->service, area);
  struct target *target = NULL;

  HASH_FIND_STR (s->targets, known->id, target);
  if (!service || (!target && known->state == AB_FLEET_TARGET_GONE))
    return;
  if (!target)
    {
      target = add_target (s, known, service);
      if (!target)
        return;
      target->cold_until_ms = now_ms + known->cold_ms;
    }
  else if (target->known.born != known->born)
    reset_target (target, known->cold_ms, now_ms);
  if (target->service != service)
    move_target (target, service);
  target->known = *known;
  if (known->state == AB_FLEET_TARGET_GONE && target->in_flight == 0)
    forget_target (s, target);
}

static bool
path_broken (const struct target *target, uint64_t host, uint64_t now_ms)
{
  for (size_t i = 0; i < PATHS_MAX; i++)
    if (target->paths[i].host == host && now_ms < target->paths[i].until_ms)
      return true;
  return false;
}

/* Remembers that HOST could not reach TARGET; returns how many hosts could not
   lately.  */
static size_t
note_broken_path (struct target *target, uint64_t host, uint64_t now_ms)
{
  size_t slot = 0;
  size_t count = 0;

  for (size_t i = 0; i < PATHS_MAX; i++)
    if (target->paths[i].host == host
        || (target->paths[slot].host != host
            && target->paths[i].until_ms < target->paths[slot].until_ms))
      slot = i;
  target->paths[slot]
      = (struct path){ .host = host, .until_ms = now_ms + PATH_MS };
  for (size_t i = 0; i < PATHS_MAX; i++)
    count += now_ms < target->paths[i].until_ms;
  return count;
}

static uint64_t
slots_of (const struct target *target, uint64_t now_ms)
{
  uint64_t slots = target->known.slots;

  /* A cold target works at half its speed.  */
  if (now_ms < target->cold_until_ms)
    slots = (slots + 1) / 2;
  return slots;
}

static bool
tried (const struct ab_sched_ask *ask, const struct target *target)
{
  for (size_t i = 0; i < ask->tried_count; i++)
    if (strcmp (ask->tried[i], target->known.id) == 0)
      return true;
  return false;
}

/* How much TARGET is wanted for ASK; the smallest number is best.  */
struct rating
{
  unsigned trust;
  unsigned distance; /* 0: in the asker's failure domain.  */
  double load;
};

static bool
better (const struct rating *a, const struct rating *b)
{
  if (a->trust != b->trust)
    return a->trust < b->trust;
  if (a->distance != b->distance)
    return a->distance < b->distance;
  return a->load < b->load;
}

/* Requests that may be repeated try targets of which little is known, one at a
   time, before others; the others go where requests went well.  */
static unsigned
trust_rating (const struct ab_sched_ask *ask, const struct target *target,
              enum ab_target_trust trust)
{
  static const unsigned once[] = { 1, 2, 3, 5 };
  static const unsigned idempotent[] = { 1, 0, 0, 4 };
  bool probing = target->trials > 0;

  if (ask->idempotent && !ask->repeat)
    return trust == AB_TRUST_PROVEN || trust == AB_TRUST_OUT || !probing
               ? idempotent[trust]
               : 3;
  /* A target that joined is tried once, so that it does not stay idle where
     no request may be repeated.  */
  if (trust == AB_TRUST_NEW && !target->used && !ask->repeat)
    return 0;
  return once[trust];
}

static bool
is_near (const struct target *target, const struct ab_sched_ask *ask)
{
  return strcmp (target->known.failure_domain, ask->failure_domain) == 0;
}

/* How little trusted a target may be.  Other regions are asked for a request
   that must not repeat before it goes to one that failed, and they give it
   none of theirs.  */
static enum ab_target_trust
least_trust (const struct ab_sched_ask *ask)
{
  if (!ask->idempotent && (ask->may_move || !ask->may_wait))
    return AB_TRUST_NEW;
  return AB_TRUST_TRIAL;
}

static void
note_trouble (struct service *service, bool failed)
{
  service->trouble += TROUBLE_WEIGHT * ((failed ? 1 : 0) - service->trouble);
}

/* Whether TARGET is to be tried because the trusted ones do badly.  */
static bool
due_in_trouble (const struct service *service, const struct target *target,
                enum ab_target_trust trust, uint64_t now_ms)
{
  return service->trouble > TROUBLE_SHARE && trust != AB_TRUST_PROVEN
         && trust != AB_TRUST_OUT && target->trials == 0
         && now_ms - target->granted_ms > TROUBLE_IDLE_MS;
}

/* The best target with a free slot, in the asker's failure domain only if
   NEAR.  */
static struct target *
choose_target (const struct service *service, const struct ab_sched_ask *ask,
               bool near, uint64_t now_ms)
{
  uint64_t host = ab_rendezvous_hash (ab_chunk_str (ask->host));
  struct target *best = NULL;
  struct rating best_rating = { 0 };
  struct target *target;

  DL_FOREACH (service->targets, target)
  {
    enum ab_target_trust trust
        = ab_target_health_trust (&target->health, now_ms);
    uint64_t slots = slots_of (target, now_ms);
    bool due = due_in_trouble (service, target, trust, now_ms);
    struct rating rating;

    if (target->known.state != AB_FLEET_TARGET_READY
        || target->in_flight >= slots || now_ms < target->health.busy_until_ms
        || (trust > least_trust (ask) && !due) || tried (ask, target)
        || (near && !is_near (target, ask))
        || path_broken (target, host, now_ms))
      continue;
    rating.trust = due ? 0 : trust_rating (ask, target, trust);
    rating.distance = !is_near (target, ask);
    rating.load = (double)(target->in_flight + 1) / (double)slots
                  * (target->health.latency_ms > 0 ? target->health.latency_ms
                                                   : usual_ms (service))
                  * (1 + SHED_COST * target->health.shed_rate);
    if (best && !better (&rating, &best_rating))
      continue;
    best = target;
    best_rating = rating;
  }
  return best;
}

/* Slots of targets that are not out, or of all when all are.  */
static uint64_t
usable_slots (const struct service *service, uint64_t now_ms)
{
  uint64_t usable = 0;
  const struct target *target;

  DL_FOREACH (service->targets, target)
  if (target->known.state == AB_FLEET_TARGET_READY
      && ab_target_health_trust (&target->health, now_ms) <= AB_TRUST_TRIAL)
    usable += slots_of (target, now_ms);
  return usable;
}

/* The repeat budget.  */

static struct bucket *
bucket_at (struct service *service, uint64_t now_ms)
{
  uint64_t second = now_ms / 1000;
  struct bucket *bucket = &service->buckets[second % WINDOW_BUCKETS];

  if (bucket->second != second)
    *bucket = (struct bucket){ .second = second };
  return bucket;
}

static size_t
rank_of (const struct ab_sched_ask *ask)
{
  return ask->priority < PRIORITIES ? (size_t)ask->priority : PRIORITIES - 1;
}

static bool
take_repeat (struct ab_scheduler *s, struct service *service,
             const struct ab_sched_ask *ask, uint64_t now_ms)
{
  uint64_t seconds = s->config.repeat_window_ms / 1000;
  uint64_t now = now_ms / 1000;
  double first = 0;
  double repeats = 0;

  for (size_t i = 0; i < WINDOW_BUCKETS; i++)
    if (service->buckets[i].second + seconds > now
        && service->buckets[i].second <= now)
      {
        first += (double)service->buckets[i].first;
        repeats += (double)service->buckets[i].repeats;
      }
  if (repeats + 1
      > BUDGET_USE * budget_of_rank[rank_of (ask)]
            * (s->config.repeat_fraction * first + s->config.repeat_extra))
    return false;
  bucket_at (service, now_ms)->repeats++;
  return true;
}

/* Decisions.  */

static void
decide (struct ab_scheduler *s, const struct request *request,
        enum ab_sched_kind kind, uint64_t wait_ms, uint64_t now_ms)
{
  struct ab_sched_reply reply = { .kind = kind,
                                  .id = request->ask.id,
                                  .waited_ms = now_ms - request->asked_ms,
                                  .wait_ms = wait_ms,
                                  .waiting = request->service->waiting_count };

  if (request->target)
    {
      memcpy (reply.target, request->target->known.id, sizeof reply.target);
      memcpy (reply.address, request->target->known.address,
              sizeof reply.address);
      reply.trust = ab_target_health_trust (&request->target->health, now_ms);
    }
  s->ops->decide (s->ctx, &request->ask, &reply);
}

static void
free_request (struct ab_scheduler *s, struct request *request)
{
  struct service *service = request->service;

  if (request->target)
    DL_DELETE (service->granted, request);
  else
    {
      DL_DELETE (service->waiting, request);
      service->waiting_count--;
    }
  HASH_DEL (s->requests, request);
  free (request);
}

static void
grant (struct ab_scheduler *s, struct request *request, struct target *target,
       uint64_t now_ms)
{
  struct service *service = request->service;

  DL_DELETE (service->waiting, request);
  service->waiting_count--;
  DL_APPEND (service->granted, request);
  request->target = target;
  request->granted_ms = now_ms;
  target->granted_ms = now_ms;
  request->trial
      = ab_target_health_trust (&target->health, now_ms) != AB_TRUST_PROVEN;
  target->in_flight++;
  target->trials += request->trial;
  target->used = true;
  decide (s, request, AB_SCHED_GRANTED, 0, now_ms);
}

static uint64_t
left (uint64_t time_ms, const struct request *request, uint64_t now_ms)
{
  uint64_t gone = now_ms - request->asked_ms;

  return time_ms > gone ? time_ms - gone : 0;
}

/* Whether the response would still make its objective if it began now.  */
static bool
in_time (const struct request *request, uint64_t now_ms)
{
  return (double)left (request->ask.objective_ms, request, now_ms)
         >= usual_ms (request->service);
}

static bool
too_late (const struct request *request, uint64_t now_ms)
{
  return (double)left (request->ask.time_ms, request, now_ms)
         < usual_ms (request->service) / 2 + REPLY_MARGIN_MS;
}

/* Whether A is served before B.  */
static bool
goes_before (const struct request *a, const struct request *b, uint64_t now_ms)
{
  bool a_in_time = in_time (a, now_ms);
  bool b_in_time = in_time (b, now_ms);
  uint64_t a_left;
  uint64_t b_left;

  if (a->ask.priority != b->ask.priority)
    return a->ask.priority < b->ask.priority;
  if (a_in_time != b_in_time)
    return a_in_time;
  a_left = left (a_in_time ? a->ask.objective_ms : a->ask.time_ms, a, now_ms);
  b_left = left (b_in_time ? b->ask.objective_ms : b->ask.time_ms, b, now_ms);
  return a_left < b_left;
}

static int
by_turn (const void *a, const void *b)
{
  const struct request *left = *(struct request *const *)a;
  const struct request *right = *(struct request *const *)b;

  if (left->ask.priority != right->ask.priority)
    return left->ask.priority < right->ask.priority ? -1 : 1;
  if (left->in_time != right->in_time)
    return left->in_time ? -1 : 1;
  if (left->left_ms != right->left_ms)
    return left->left_ms < right->left_ms ? -1 : 1;
  return 0;
}

/* The waiting requests in the order in which they are served; to be freed.  */
static struct request **
list_waiting (const struct service *service, uint64_t now_ms)
{
  struct request **list
      = calloc (service->waiting_count, sizeof (struct request *));
  struct request *request;
  size_t count = 0;

  if (!list)
    return NULL;
  DL_FOREACH (service->waiting, request)
  {
    request->in_time = in_time (request, now_ms);
    request->left_ms = left (request->in_time ? request->ask.objective_ms
                                              : request->ask.time_ms,
                             request, now_ms);
    list[count++] = request;
  }
  qsort (list, count, sizeof (struct request *), by_turn);
  return list;
}

/* Whether a busy target near the asker is worth waiting for.  */
static bool
near_is_busy (const struct service *service, const struct ab_sched_ask *ask,
              uint64_t now_ms)
{
  const struct target *target;

  DL_FOREACH (service->targets, target)
  if (is_near (target, ask) && target->known.state == AB_FLEET_TARGET_READY
      && !tried (ask, target)
      && ab_target_health_trust (&target->health, now_ms) == AB_TRUST_PROVEN
      && target->in_flight >= slots_of (target, now_ms))
    return true;
  return false;
}

/* Whether REQUEST takes only a slot in its own failure domain for now.  */
static bool
waits_near (const struct request *request, uint64_t now_ms)
{
  const struct ab_sched_ask *ask = &request->ask;

  return ask->bulky && ask->may_wait
         && now_ms - request->asked_ms < NEAR_WAIT_MS
         && (double)ask->objective_ms
                > 2 * usual_ms (request->service) + NEAR_WAIT_MS
         && near_is_busy (request->service, ask, now_ms);
}

static bool
has_free_slot (const struct service *service, uint64_t now_ms)
{
  const struct target *target;

  DL_FOREACH (service->targets, target)
  if (target->known.state == AB_FLEET_TARGET_READY
      && target->in_flight < slots_of (target, now_ms)
      && now_ms >= target->health.busy_until_ms
      && ab_target_health_trust (&target->health, now_ms) < AB_TRUST_OUT)
    return true;
  return false;
}

/* Gives free slots to those that wait, in their order.  What one may not use
   another one may.  */
static void
serve_waiting (struct ab_scheduler *s, struct service *service,
               uint64_t now_ms)
{
  size_t count = service->waiting_count;
  struct request **list;

  if (count == 0 || !has_free_slot (service, now_ms))
    return;
  list = list_waiting (service, now_ms);
  for (size_t i = 0; list && i < count && has_free_slot (service, now_ms); i++)
    {
      struct target *target = choose_target (
          service, &list[i]->ask, waits_near (list[i], now_ms), now_ms);
      if (target)
        grant (s, list[i], target, now_ms);
    }
  free (list);
}

/* Arrivals.  */

static void
age_rates (struct service *service, uint64_t now_ms)
{
  double gone = (double)(now_ms - service->rates_ms);
  double kept = gone >= RATE_MS ? 0 : 1 - gone / RATE_MS;

  for (size_t i = 0; i < PRIORITIES; i++)
    service->rates[i] *= kept;
  service->rates_ms = now_ms;
}

static void
count_arrival (struct service *service, const struct ab_sched_ask *ask,
               uint64_t now_ms)
{
  age_rates (service, now_ms);
  service->rates[rank_of (ask)] += 1.0 / RATE_MS;
}

/* Requests a millisecond that SLOTS serve for the priority of ASK: what
   arrives with a higher one takes its part first.  */
static double
serving_rate (struct service *service, const struct ab_sched_ask *ask,
              uint64_t slots, uint64_t now_ms)
{
  double capacity = (double)slots / usual_ms (service);
  double rate = capacity;

  age_rates (service, now_ms);
  for (size_t i = 0; i < rank_of (ask); i++)
    rate -= RATE_EXPECTED * service->rates[i];
  return rate > capacity * CAPACITY_LEFT ? rate : capacity * CAPACITY_LEFT;
}

/* When a slot is expected to be free for REQUEST.  */
static uint64_t
expected_wait (const struct request *request, uint64_t slots, uint64_t now_ms)
{
  struct service *service = request->service;
  const struct request *other;
  uint64_t ahead = 1;

  DL_FOREACH (service->waiting, other)
  if (other != request && goes_before (other, request, now_ms))
    ahead++;
  return (uint64_t)((double)ahead
                    / serving_rate (service, &request->ask, slots, now_ms));
}

static void
refuse (struct ab_scheduler *s, struct request *request,
        enum ab_sched_kind kind, uint64_t wait_ms, uint64_t now_ms)
{
  if (kind != AB_SCHED_MOVE)
    note_trouble (request->service, true);
  decide (s, request, kind, wait_ms < RETRY_MIN_MS ? RETRY_MIN_MS : wait_ms,
          now_ms);
  free_request (s, request);
}

/* Decides on a request that no free slot takes.  */
static void
wait_or_refuse (struct ab_scheduler *s, struct request *request,
                uint64_t now_ms)
{
  const struct ab_sched_ask *ask = &request->ask;
  uint64_t slots = usable_slots (request->service, now_ms);
  double usual = usual_ms (request->service);
  uint64_t wait;

  if (slots == 0)
    {
      refuse (s, request, AB_SCHED_NONE, (uint64_t)usual, now_ms);
      return;
    }
  wait = expected_wait (request, slots, now_ms);
  if ((double)wait + usual + REPLY_MARGIN_MS > (double)ask->time_ms
      || request->service->waiting_count > QUEUE_MAX)
    refuse (s, request, AB_SCHED_FULL, wait, now_ms);
  else if (!ask->may_wait
           || (ask->may_move && !ask->idempotent
               && has_free_slot (request->service, now_ms))
           || (ask->may_move
               && (double)wait + usual > (double)ask->objective_ms))
    refuse (s, request, AB_SCHED_MOVE, wait, now_ms);
  else
    decide (s, request, AB_SCHED_WAITING, wait, now_ms);
}

static struct request *
add_request (struct ab_scheduler *s, const struct ab_sched_ask *ask,
             uint64_t now_ms)
{
  struct request *request = calloc (1, sizeof *request);

  if (!request)
    return NULL;
  request->service = get_service (s, ask->service, ask->area);
  if (!request->service)
    {
      free (request);
      return NULL;
    }
  request->ask = *ask;
  request->asked_ms = now_ms;
  DL_APPEND (request->service->waiting, request);
  request->service->waiting_count++;
  HASH_ADD (hh, s->requests, ask.id, sizeof request->ask.id, request);
  return request;
}

void
ab_scheduler_ask (struct ab_scheduler *s, const struct ab_sched_ask *ask,
                  uint64_t now_ms)
{
  struct request *request = NULL;
  struct target *target;

  HASH_FIND (hh, s->requests, &ask->id, sizeof ask->id, request);
  if (request)
    {
      decide (s, request,
              request->target ? AB_SCHED_GRANTED : AB_SCHED_WAITING, 0,
              now_ms);
      return;
    }
  request = add_request (s, ask, now_ms);
  if (!request)
    return; /* The asker turns to another host.  */
  count_arrival (request->service, ask, now_ms);
  if (!ask->repeat)
    bucket_at (request->service, now_ms)->first++;
  else if (!take_repeat (s, request->service, ask, now_ms))
    {
      refuse (s, request, AB_SCHED_BUDGET, RETRY_MIN_MS, now_ms);
      return;
    }
  /* A free slot belongs to those that wait for it already.  */
  serve_waiting (s, request->service, now_ms);
  HASH_FIND (hh, s->requests, &ask->id, sizeof ask->id, request);
  if (!request || request->target)
    return;
  if (waits_near (request, now_ms))
    {
      decide (s, request, AB_SCHED_WAITING, NEAR_WAIT_MS, now_ms);
      return;
    }
  target = choose_target (request->service, ask, false, now_ms);
  if (target)
    grant (s, request, target, now_ms);
  else
    wait_or_refuse (s, request, now_ms);
}

static void
release (struct ab_scheduler *s, struct request *request, uint64_t now_ms)
{
  struct target *target = request->target;

  target->in_flight--;
  target->trials -= request->trial;
  target->done_ms = now_ms;
  free_request (s, request);
  if (target->known.state == AB_FLEET_TARGET_GONE && target->in_flight == 0)
    forget_target (s, target);
}

static void
note_outcome (struct target *target, const struct request *request,
              enum ab_target_event event, uint64_t latency_ms, uint64_t now_ms)
{
  struct service *service = target->service;
  bool counts = !request->trial && event != AB_TARGET_UNUSED;
  uint64_t host = ab_rendezvous_hash (ab_chunk_str (request->ask.host));

  /* Targets that are not trusted are expected to fail.  */
  if (counts)
    note_trouble (service, event != AB_TARGET_OK);
  /* One host that cannot connect says something of its path, several of the
     target.  */
  if (event == AB_TARGET_UNREACHABLE
      && note_broken_path (target, host, now_ms) < PATH_HOSTS_DOWN)
    return;
  if (event == AB_TARGET_OK)
    service->latency_ms
        = usual_ms (service)
          + LATENCY_WEIGHT * ((double)latency_ms - usual_ms (service));
  ab_target_health_note (&target->health, event, latency_ms, now_ms);
}

void
ab_scheduler_outcome (struct ab_scheduler *s, uint64_t id,
                      enum ab_target_event event, uint64_t latency_ms,
                      uint64_t now_ms)
{
  struct request *request = NULL;
  struct service *service;

  HASH_FIND (hh, s->requests, &id, sizeof id, request);
  if (!request)
    return;
  service = request->service;
  if (request->target)
    {
      note_outcome (request->target, request, event, latency_ms, now_ms);
      release (s, request, now_ms);
    }
  else
    free_request (s, request);
  serve_waiting (s, service, now_ms);
}

/* Grants whose outcome never came, and targets at which requests are
   stuck.  */
static void
check_granted (struct ab_scheduler *s, struct service *service,
               uint64_t now_ms)
{
  struct request *request;
  struct request *next;
  double stuck_ms = usual_ms (service) * STUCK_FACTOR;

  if (stuck_ms < STUCK_MIN_MS)
    stuck_ms = STUCK_MIN_MS;
  DL_FOREACH_SAFE (service->granted, request, next)
  {
    uint64_t age = now_ms - request->granted_ms;
    if (age > request->ask.time_ms + GRANT_SLACK_MS)
      release (s, request, now_ms);
    else if ((double)age > stuck_ms
             && request->target->done_ms <= request->granted_ms)
      ab_target_health_note_stuck (&request->target->health, now_ms);
  }
}

/* Refuses those that wait in vain, as soon as that is known.  */
static void
refuse_hopeless (struct ab_scheduler *s, struct service *service,
                 uint64_t now_ms)
{
  uint64_t slots = usable_slots (service, now_ms);
  double usual = usual_ms (service);
  size_t count = service->waiting_count;
  struct request **list = count > 0 ? list_waiting (service, now_ms) : NULL;
  size_t ahead = 0;

  for (size_t i = 0; list && i < count; i++)
    {
      struct request *request = list[i];
      double rate = serving_rate (service, &request->ask,
                                  slots > 0 ? slots : 1, now_ms);
      double wait = (double)(ahead + 1) / rate;
      double rest = (double)left (request->ask.time_ms, request, now_ms);
      if (too_late (request, now_ms)
          || wait * HOPELESS_SLACK + usual + REPLY_MARGIN_MS > rest)
        refuse (s, request, AB_SCHED_FULL, (uint64_t)wait, now_ms);
      else
        ahead++;
    }
  free (list);
}

void
ab_scheduler_tick (struct ab_scheduler *s, uint64_t now_ms)
{
  for (struct service *service = s->services; service;
       service = service->hh.next)
    {
      check_granted (s, service, now_ms);
      serve_waiting (s, service, now_ms);
      refuse_hopeless (s, service, now_ms);
    }
}

json_t *
ab_scheduler_state (const struct ab_scheduler *s, uint64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct target *t = s->targets; t; t = t->hh.next)
    json_array_append_new (
        list,
        json_pack (
            "{s:s, s:s, s:s, s:s, s:I, s:I, s:f}", "target", t->known.id,
            "service", t->service->key, "address", t->known.address, "trust",
            ab_target_trust_name (ab_target_health_trust (&t->health, now_ms)),
            "in_flight", (json_int_t)t->in_flight, "failures",
            (json_int_t)t->health.failures, "latency_ms",
            t->health.latency_ms));
  return list;
}
