/* Queue of the dispatcher: admission, order and rejection.  */

#include <math.h>
#include <stdlib.h>

#include "dispatcher_internal.h"
#include "error.h"

/* A request is admitted when its expected wait is at most this fraction of the
   time left until its deadline minus its service time.  With the whole of that
   time, small errors of the estimate would make most requests late under
   overload; and a queue longer than needed to keep the slots busy only adds
   latency.  */
#define WAIT_SHARE 0.15
/* Quantile of the service time that must still fit before the deadline.  */
#define SERVICE_QUANTILE 0.9
/* Service times are ignored when no outcome arrived for this long; otherwise
   all requests of a service that was slow for a while would be rejected for
   ever.  */
#define OUTCOME_AGE_MS 1000
/* While most targets of this failure domain look unhealthy, one request in
   this many is kept to notice a recovery; the others spill over to other
   failure domains.  */
#define IMPAIRED_KEEP_ONE_IN 8
/* A request whose expected wait is longer than this spills over while other
   failure domains have free slots: the round trip to another region takes
   40 ms.  */
#define SPILL_WAIT_MS 60

void
ab_dispatcher_remove_queued (struct ab_dispatcher *dispatcher, size_t at)
{
  free (dispatcher->queue[at]);
  dispatcher->queued--;
  memmove (&dispatcher->queue[at], &dispatcher->queue[at + 1],
           (dispatcher->queued - at) * sizeof (struct ab_queue_entry *));
}

void
ab_dispatcher_refuse (struct ab_dispatcher *dispatcher,
                      const struct ab_queue_entry *request, int rc, bool spill,
                      const char *reason)
{
  dispatcher->refused++;
  dispatcher->env->ops->refuse (dispatcher->env, request->id,
                                request->requester, rc, spill, reason);
}

/* Returns the position of REQUEST in the queue, which is sorted by priority,
   then deadline.  */
static size_t
find_position (const struct ab_dispatcher *dispatcher,
               const struct ab_queue_entry *request)
{
  size_t low = 0;
  size_t high = dispatcher->queued;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      const struct ab_queue_entry *at = dispatcher->queue[middle];

      if (at->priority > request->priority
          || (at->priority == request->priority
              && at->deadline_ms <= request->deadline_ms))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static int
insert (struct ab_dispatcher *dispatcher, const struct ab_queue_entry *request,
        size_t position)
{
  struct ab_queue_entry *copy;

  if (dispatcher->queued == dispatcher->queue_size)
    {
      size_t size = dispatcher->queue_size ? 2 * dispatcher->queue_size : 16;
      struct ab_queue_entry **grown = realloc (
          dispatcher->queue, size * sizeof (struct ab_queue_entry *));

      if (!grown)
        return AB_ERR_MEMORY;
      dispatcher->queue = grown;
      dispatcher->queue_size = size;
    }
  copy = malloc (sizeof *copy);
  if (!copy)
    return AB_ERR_MEMORY;
  *copy = *request;
  memmove (&dispatcher->queue[position + 1], &dispatcher->queue[position],
           (dispatcher->queued - position) * sizeof (struct ab_queue_entry *));
  dispatcher->queue[position] = copy;
  dispatcher->queued++;
  return 0;
}

static double
service_ms (const struct ab_dispatcher *dispatcher, int class_id,
            double quantile, uint64_t now_ms)
{
  if (now_ms > dispatcher->last_outcome_ms + OUTCOME_AGE_MS)
    return 0;
  return ab_detector_service_time_ms (dispatcher->detector, class_id,
                                      quantile);
}

/* Returns the expected wait in milliseconds behind AHEAD other requests;
   infinite when no slot may be used.  */
static double
wait_ms (const struct ab_dispatcher *dispatcher, size_t ahead, uint64_t now_ms)
{
  /* Requests that take less than a millisecond have an average of 0.  */
  double hold_ms = fmax (dispatcher->mean_hold_ms, 1);
  double slots = 0;

  for (size_t i = 0; i < dispatcher->target_count; i++)
    if (dispatcher->targets[i]->state == AB_DISPATCH_STATE_ACTIVE)
      slots += ab_target_entry_filled_slots (dispatcher->targets[i], hold_ms,
                                             now_ms);
  if (slots <= 0)
    return INFINITY;
  return (double)(ahead + 1) * hold_ms / slots;
}

/* Returns whether REQUEST can wait behind AHEAD others and still meet its
   deadline.  */
static bool
can_wait (const struct ab_dispatcher *dispatcher,
          const struct ab_queue_entry *request, size_t ahead, uint64_t now_ms)
{
  double left = (double)request->deadline_ms - (double)now_ms;
  double service
      = service_ms (dispatcher, request->class_id, SERVICE_QUANTILE, now_ms);
  double wait = wait_ms (dispatcher, ahead, now_ms);

  /* Requests of a class whose service time is close to the deadline may wait a
     little; otherwise they would never be queued.  */
  service = fmin (service, left / 2);
  return left > 0 && wait <= WAIT_SHARE * (left - service);
}

/* Returns whether REQUEST would probably miss its deadline even if it started
   now: the median service time no longer fits.  */
static bool
will_be_late (const struct ab_dispatcher *dispatcher,
              const struct ab_queue_entry *request, uint64_t now_ms)
{
  return (double)now_ms
             + service_ms (dispatcher, request->class_id, 0.5, now_ms)
         >= (double)request->deadline_ms;
}

static bool
should_spill_impaired (struct ab_dispatcher *dispatcher,
                       const struct ab_queue_entry *request)
{
  if (!dispatcher->impaired || request->spilled || request->no_spill
      || dispatcher->remote_announced_slots == 0)
    return false;
  return ++dispatcher->impaired_count % IMPAIRED_KEEP_ONE_IN != 0;
}

static bool
should_spill (struct ab_dispatcher *dispatcher,
              const struct ab_queue_entry *request, size_t ahead,
              uint64_t now_ms)
{
  if (request->no_spill || dispatcher->spill_tokens < 1
      || wait_ms (dispatcher, ahead, now_ms) <= SPILL_WAIT_MS)
    return false;
  dispatcher->spill_tokens -= 1;
  return true;
}

void
ab_dispatcher_enqueue (struct ab_dispatcher *dispatcher,
                       const struct ab_queue_entry *request, uint64_t now_ms)
{
  size_t position = find_position (dispatcher, request);

  if (will_be_late (dispatcher, request, now_ms))
    ab_dispatcher_refuse (dispatcher, request, AB_ERR_FULL, false,
                          "the deadline cannot be met");
  else if (!ab_dispatcher_has_active_target (dispatcher))
    ab_dispatcher_refuse (dispatcher, request, AB_ERR_NOT_FOUND, true,
                          "no target in this failure domain");
  else if (!request->spilled && !request->no_spill
           && !ab_dispatcher_has_eligible_target (dispatcher, request, now_ms))
    ab_dispatcher_refuse (
        dispatcher, request, AB_ERR_FULL, true,
        "the requesting host cannot reach any target in this failure domain");
  else if (should_spill_impaired (dispatcher, request))
    ab_dispatcher_refuse (
        dispatcher, request, AB_ERR_FULL, true,
        "most targets in this failure domain look unhealthy");
  else if (position == 0
           && ab_dispatcher_try_grant (dispatcher, request, now_ms))
    return;
  else if (request->spilled)
    ab_dispatcher_refuse (
        dispatcher, request, AB_ERR_FULL, true,
        "no free slot for a request of another failure domain");
  else if (should_spill (dispatcher, request, position, now_ms))
    ab_dispatcher_refuse (
        dispatcher, request, AB_ERR_FULL, true,
        "no free slot in this failure domain, but in others");
  else if (!can_wait (dispatcher, request, position, now_ms))
    ab_dispatcher_refuse (dispatcher, request, AB_ERR_FULL, false,
                          "the wait would be too long");
  else if (dispatcher->queued >= dispatcher->options.queue
           && position == dispatcher->queued)
    ab_dispatcher_refuse (dispatcher, request, AB_ERR_FULL, false,
                          "the queue is full");
  else if (insert (dispatcher, request, position) < 0)
    ab_dispatcher_refuse (dispatcher, request, AB_ERR_FULL, true,
                          "out of memory");
  else if (dispatcher->queued > dispatcher->options.queue)
    {
      ab_dispatcher_refuse (
          dispatcher, dispatcher->queue[dispatcher->queued - 1], AB_ERR_FULL,
          false, "the queue is full of more urgent requests");
      ab_dispatcher_remove_queued (dispatcher, dispatcher->queued - 1);
    }
}

void
ab_dispatcher_serve (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  size_t at = 0;
  size_t skipped = 0;

  /* A request that may not use any free target must not block those behind it.
     At most 8 requests are skipped, to bound the work.  */
  while (at < dispatcher->queued && skipped < 8)
    {
      const struct ab_queue_entry *request = dispatcher->queue[at];

      if (will_be_late (dispatcher, request, now_ms))
        ab_dispatcher_refuse (dispatcher, request, AB_ERR_FULL, false,
                              "the deadline can no longer be met");
      else if (!ab_dispatcher_try_grant (dispatcher, request, now_ms))
        {
          at++;
          skipped++;
          continue;
        }
      ab_dispatcher_remove_queued (dispatcher, at);
    }
}
