#include "crash_watch_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <uthash.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "member_task.h"
#include "quarantine.h"
#include "target_probe_task.h"

/* Interval of the probes of a target whose connection was lost.  */
#define PROBE_INTERVAL_MS 100

/* A target according to its latest announcement.  */
struct known_target
{
  char address[AB_ADDRESS_BYTES];
  char service[AB_NAME_BYTES];
  char region[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t probe_until_ms; /* Probed until this time; 0: never.  */
  UT_hash_handle hh;
};

struct ab_crash_watch
{
  struct ab_daemon *daemon;
  struct ab_prober *prober;
  struct ab_quarantine *quarantine;
  struct event *timer;
  struct known_target *targets;
  uint64_t *quarantined_total;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static struct known_target *
find_target (const struct ab_crash_watch *watch, const char *address)
{
  struct known_target *known = NULL;

  HASH_FIND_STR (watch->targets, address, known);
  return known;
}

static struct known_target *
add_target (struct ab_crash_watch *watch, const char *address)
{
  struct known_target *known = find_target (watch, address);

  if (known)
    return known;
  known = calloc (1, sizeof *known);
  if (!known)
    return NULL;
  ab_chunk_copy (ab_chunk_str (address), known->address,
                 sizeof known->address);
  HASH_ADD_STR (watch->targets, address, known);
  return known;
}

/* Publishes to the fleet that CONTENT crashed TARGET, or with an empty TARGET
   that requests with CONTENT are to be rejected for DURATION_MS.  CRASHED is
   the address of the target that crashed last.  */
static void
publish (struct ab_crash_watch *watch, const struct ab_digest *content,
         const char *target, const char *crashed, uint64_t duration_ms)
{
  const struct known_target *known = find_target (watch, crashed);
  struct ab_quarantine_view item
      = { .content = *content,
          .until_wall_ms
          = ab_clock_wall_ms (ab_clock_system ()) + duration_ms };

  if (known)
    ab_chunk_copy (ab_chunk_str (known->service), item.service,
                   sizeof item.service);
  ab_chunk_copy (ab_chunk_str (target), item.target, sizeof item.target);
  ab_member_task_quarantine (watch->daemon->member, &item);
}

static void
on_mark (void *ctx, const struct ab_digest *content, const char *target)
{
  struct ab_crash_watch *watch = ctx;
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (content->bytes, sizeof content->bytes, hex);
  AB_LOG (AB_LOG_WARN, "request_crashed_target", ab_log_str ("content", hex),
          ab_log_str ("target", target));
  if (!ab_member_task_quarantined (watch->daemon->member, content))
    publish (watch, content, target, target, AB_QUARANTINE_MARK_MS);
}

/* Applies a crash that another host detected, or a release by an operator.  */
static void
on_quarantine (void *ctx, const struct ab_quarantine_view *item)
{
  struct ab_crash_watch *watch = ctx;

  if (item->until_wall_ms == 0)
    ab_quarantine_forget (watch->quarantine, &item->content);
  else if (item->target[0]
           && item->until_wall_ms > ab_clock_wall_ms (ab_clock_system ()))
    ab_quarantine_reported (watch->quarantine, item->target, &item->content,
                            now_ms ());
}

static void
on_block (void *ctx, const struct ab_digest *content, const char *first,
          const char *second, uint64_t duration_ms)
{
  struct ab_crash_watch *watch = ctx;
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (content->bytes, sizeof content->bytes, hex);
  AB_LOG (AB_LOG_ERROR, "request_quarantined", ab_log_str ("content", hex),
          ab_log_str ("first", first), ab_log_str ("second", second),
          ab_log_int ("duration_ms", (int64_t)duration_ms));
  AB_EXPLAIN (watch->daemon->explain, ab_chunk_str (second),
              "request_quarantined", ab_log_str ("content", hex),
              ab_log_str ("first", first));
  ++*watch->quarantined_total;
  publish (watch, content, "", second, duration_ms);
}

static void
on_target (void *ctx, const struct ab_target_view *target)
{
  struct ab_crash_watch *watch = ctx;
  struct known_target *known;

  if (target->state == AB_TARGET_REMOVED)
    {
      known = find_target (watch, target->address);
      if (known && known->incarnation <= target->incarnation)
        {
          HASH_DEL (watch->targets, known);
          free (known);
        }
      return;
    }
  known = add_target (watch, target->address);
  if (!known)
    return;
  ab_chunk_copy (ab_chunk_str (target->service), known->service,
                 sizeof known->service);
  ab_chunk_copy (ab_chunk_str (target->region), known->region,
                 sizeof known->region);
  if (known->incarnation < target->incarnation)
    {
      known->incarnation = target->incarnation;
      ab_quarantine_announced (watch->quarantine, target->address,
                               target->incarnation, now_ms ());
    }
}

static bool
visit_target (void *ctx, const struct ab_target_view *target)
{
  on_target (ctx, target);
  return true;
}

static void
on_probed (void *ctx, const char *address, bool accepts)
{
  struct ab_crash_watch *watch = ctx;

  if (!accepts)
    ab_quarantine_refused (watch->quarantine, address, now_ms ());
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_crash_watch *watch = arg;
  struct known_target *known;
  uint64_t now = now_ms ();

  (void)fd;
  (void)what;
  ab_quarantine_tick (watch->quarantine, now);
  if (ab_quarantine_suspects (watch->quarantine) == 0)
    return;
  for (known = watch->targets; known; known = known->hh.next)
    if (now < known->probe_until_ms)
      ab_prober_probe (watch->prober, known->address);
}

int
ab_crash_watch_new (struct ab_daemon *daemon, struct ab_crash_watch **watch)
{
  static const struct ab_quarantine_ops ops
      = { .mark = on_mark, .block = on_block };
  struct ab_crash_watch *result = calloc (1, sizeof *result);
  struct timeval tv = { .tv_usec = PROBE_INTERVAL_MS * 1000 };

  *watch = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->quarantine = ab_quarantine_new (&ops, result);
  result->quarantined_total
      = ab_counter (daemon->counters, "ab_quarantined_total");
  result->timer = event_new (daemon->base, -1, EV_PERSIST, on_timer, result);
  if (!result->quarantine || !result->timer
      || ab_prober_new (daemon, on_probed, result, &result->prober) < 0
      || event_add (result->timer, &tv) < 0)
    {
      ab_crash_watch_free (result);
      return AB_ERR_MEMORY;
    }
  ab_member_task_listen_targets (daemon->member, on_target, result);
  ab_member_task_visit_targets (daemon->member, visit_target, result);
  ab_member_task_listen_quarantine (daemon->member, on_quarantine, result);
  *watch = result;
  return 0;
}

void
ab_crash_watch_free (struct ab_crash_watch *watch)
{
  struct known_target *known;
  struct known_target *next;

  if (!watch)
    return;
  HASH_ITER (hh, watch->targets, known, next)
  {
    HASH_DEL (watch->targets, known);
    free (known);
  }
  if (watch->timer)
    event_free (watch->timer);
  ab_prober_free (watch->prober);
  ab_quarantine_free (watch->quarantine);
  free (watch);
}

const char *
ab_crash_watch_region (const struct ab_crash_watch *watch, const char *address)
{
  const struct known_target *known = find_target (watch, address);

  return known ? known->region : NULL;
}

uint64_t
ab_crash_watch_incarnation (const struct ab_crash_watch *watch,
                            const char *address)
{
  const struct known_target *known = find_target (watch, address);

  return known ? known->incarnation : 0;
}

void
ab_crash_watch_lost (struct ab_crash_watch *watch, const char *target,
                     uint64_t incarnation, const struct ab_digest *content)
{
  struct known_target *known = add_target (watch, target);
  uint64_t now = now_ms ();

  ab_quarantine_lost (watch->quarantine, target, incarnation, content, now);
  if (!known)
    return;
  /* The first probe is sent at once, because connections to a crashed process
     are refused at once.  */
  if (now >= known->probe_until_ms)
    ab_prober_probe (watch->prober, target);
  known->probe_until_ms = now + AB_QUARANTINE_CONFIRM_MS;
}

void
ab_crash_watch_refused (struct ab_crash_watch *watch, const char *target)
{
  ab_quarantine_refused (watch->quarantine, target, now_ms ());
}

void
ab_crash_watch_answered (struct ab_crash_watch *watch,
                         const struct ab_digest *content)
{
  ab_quarantine_answered (watch->quarantine, content);
}

json_t *
ab_crash_watch_state (const struct ab_crash_watch *watch)
{
  return json_pack ("{s:I, s:I}", "suspects",
                    (json_int_t)ab_quarantine_suspects (watch->quarantine),
                    "marks",
                    (json_int_t)ab_quarantine_marks (watch->quarantine));
}
