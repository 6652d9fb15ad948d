#include "crash_watch_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <uthash.h>

#include "clock.h"
#include "error.h"
#include "explain.h"
#include "fleet_quarantine.h"
#include "log.h"
#include "target_probe_task.h"

/* Interval of the probes of a target whose connection was lost, and of the
   deletion of expired records while no target is probed.  */
#define PROBE_INTERVAL_MS 100
#define IDLE_INTERVAL_MS 1000
/* How long a target that has left is remembered.  */
#define LEFT_MS 60000
/* A target that is recorded as gone this long or less before the next one at
   its address was replaced by it.  */
#define REPLACED_MS 1000

/* A target according to its latest announcement.  */
struct known_target
{
  char address[AB_ADDRESS_BYTES];
  char service[AB_NAME_BYTES];
  char region[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t probe_until_ms; /* Probed until this time; 0: never.  */
  uint64_t leaving_ms;     /* When it began to leave; 0: it does not.  */
  UT_hash_handle hh;
};

struct ab_crash_watch
{
  struct ab_daemon *daemon;
  const struct ab_crash_watch_ops *ops;
  void *ctx;
  struct ab_prober *prober;
  struct ab_quarantine *quarantine;
  struct event *timer;
  struct known_target *targets;
  uint64_t probe_until_ms; /* Some target is probed until this time.  */
  uint64_t *quarantined_total;
  uint64_t *crashed_total;
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
  ab_chunk_copy_bounded (ab_chunk_str (address), known->address,
                         sizeof known->address);
  HASH_ADD_STR (watch->targets, address, known);
  return known;
}

static const char *
service_of (const struct ab_crash_watch *watch, const char *address)
{
  const struct known_target *known = find_target (watch, address);

  return known ? known->service : "";
}

static void
on_mark (void *ctx, const struct ab_quarantine_record *record,
         const struct ab_quarantine_crash *crash)
{
  struct ab_crash_watch *watch = ctx;
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (record->content.bytes, sizeof record->content.bytes, hex);
  AB_LOG (AB_LOG_WARN, "request_crashed_target", ab_log_str ("content", hex),
          ab_log_str ("request", record->label),
          ab_log_str ("target", crash->target),
          ab_log_int ("incarnation", (int64_t)crash->incarnation),
          ab_log_int ("crashes", (int64_t)record->crash_count));
  ++*watch->crashed_total;
  if (watch->ops->crashed)
    watch->ops->crashed (watch->ctx, record, crash,
                         service_of (watch, crash->target));
}

void
ab_crash_watch_log_block (struct ab_crash_watch *watch,
                          const struct ab_quarantine_record *record,
                          const char *crashed, uint64_t duration_ms)
{
  char hex[2 * AB_DIGEST_BYTES + 1];
  const char *first = record->crash_count > 0 ? record->crashes[0].target : "";

  ab_hex_encode (record->content.bytes, sizeof record->content.bytes, hex);
  AB_LOG (AB_LOG_ERROR, "request_quarantined", ab_log_str ("content", hex),
          ab_log_str ("request", record->label), ab_log_str ("first", first),
          ab_log_str ("second", crashed),
          ab_log_int ("crashes", (int64_t)record->crash_count),
          ab_log_int ("blocks", record->blocks),
          ab_log_int ("duration_ms", (int64_t)duration_ms));
  if (watch->daemon->explain)
    AB_EXPLAIN (watch->daemon->explain, ab_chunk_str (crashed),
                "request_quarantined", ab_log_str ("content", hex),
                ab_log_str ("first", first));
  ++*watch->quarantined_total;
}

static void
on_block (void *ctx, const struct ab_quarantine_record *record,
          const char *crashed, uint64_t duration_ms)
{
  struct ab_crash_watch *watch = ctx;

  ab_crash_watch_log_block (watch, record, crashed, duration_ms);
  if (watch->ops->blocked)
    watch->ops->blocked (watch->ctx, record, service_of (watch, crashed),
                         duration_ms);
}

void
ab_crash_watch_log_clear (const struct ab_digest *content)
{
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (content->bytes, sizeof content->bytes, hex);
  AB_LOG (AB_LOG_INFO, "request_cleared", ab_log_str ("content", hex));
}

static void
on_lift (void *ctx, const struct ab_quarantine_record *record)
{
  struct ab_crash_watch *watch = ctx;

  ab_crash_watch_log_clear (&record->content);
  if (watch->ops->lifted)
    watch->ops->lifted (watch->ctx, record);
}

/* Returns whether KNOWN has left by plan.  A target that crashed is recorded
   as gone when the next one announces itself at its address.  */
static bool
has_left (const struct known_target *known)
{
  return known->leaving_ms && now_ms () - known->leaving_ms > REPLACED_MS;
}

void
ab_crash_watch_set_target (struct ab_crash_watch *watch,
                           const struct ab_crash_target *target)
{
  struct known_target *known = target->leaving
                                   ? find_target (watch, target->address)
                                   : add_target (watch, target->address);

  if (!known || target->incarnation < known->incarnation)
    return;
  ab_chunk_copy_bounded (ab_chunk_str (target->service), known->service,
                         sizeof known->service);
  ab_chunk_copy_bounded (ab_chunk_str (target->region), known->region,
                         sizeof known->region);
  if (known->incarnation < target->incarnation)
    {
      if (has_left (known))
        ab_quarantine_left (watch->quarantine, target->address);
      known->incarnation = target->incarnation;
      known->leaving_ms = 0;
      ab_quarantine_announced (watch->quarantine, target->address,
                               target->incarnation, now_ms ());
    }
  if (target->leaving && !known->leaving_ms)
    known->leaving_ms = now_ms ();
}

void
ab_crash_watch_leaving (struct ab_crash_watch *watch, const char *address)
{
  struct known_target *known = find_target (watch, address);

  if (known && !known->leaving_ms)
    known->leaving_ms = now_ms ();
}

static void
delete_target (struct ab_crash_watch *watch, struct known_target *known)
{
  HASH_DEL (watch->targets, known);
  free (known);
}

static void
delete_left_targets (struct ab_crash_watch *watch, uint64_t now)
{
  struct known_target *known;
  struct known_target *next;

  HASH_ITER (hh, watch->targets, known, next)
  if (known->leaving_ms && now - known->leaving_ms > LEFT_MS)
    delete_target (watch, known);
}

static void
on_probed (void *ctx, const char *address, bool accepts)
{
  struct ab_crash_watch *watch = ctx;

  if (!accepts)
    ab_quarantine_refused (watch->quarantine, address, now_ms ());
}

static int
arm_timer (const struct ab_crash_watch *watch)
{
  uint64_t ms = now_ms () < watch->probe_until_ms ? PROBE_INTERVAL_MS
                                                  : IDLE_INTERVAL_MS;
  const struct timeval tv = { .tv_sec = (time_t)(ms / 1000),
                              .tv_usec = (suseconds_t)(ms % 1000 * 1000) };

  return event_add (watch->timer, &tv);
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
  delete_left_targets (watch, now);
  arm_timer (watch);
  if (now >= watch->probe_until_ms)
    return;
  for (known = watch->targets; known; known = known->hh.next)
    if (now < known->probe_until_ms)
      ab_prober_probe (watch->prober, known->address);
}

int
ab_crash_watch_new (struct ab_daemon *daemon,
                    const struct ab_crash_watch_ops *ops, void *ctx,
                    struct ab_crash_watch **watch)
{
  static const struct ab_quarantine_ops quarantine_ops
      = { .mark = on_mark, .block = on_block, .lift = on_lift };
  struct ab_crash_watch *result = calloc (1, sizeof *result);

  *watch = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->ops = ops;
  result->ctx = ctx;
  result->quarantine = ab_quarantine_new (&quarantine_ops, result);
  result->quarantined_total
      = ab_counter (daemon->counters, "ab_quarantined_total");
  result->crashed_total
      = ab_counter (daemon->counters, "ab_requests_crashed_target_total");
  result->timer = evtimer_new (daemon->base, on_timer, result);
  if (!result->quarantine || !result->timer
      || ab_prober_new (daemon, on_probed, result, &result->prober) < 0
      || arm_timer (result) < 0)
    {
      ab_crash_watch_free (result);
      return AB_ERR_MEMORY;
    }
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
  delete_target (watch, known);
  if (watch->timer)
    event_free (watch->timer);
  ab_prober_free (watch->prober);
  ab_quarantine_free (watch->quarantine);
  free (watch);
}

struct ab_quarantine *
ab_crash_watch_quarantine (const struct ab_crash_watch *watch)
{
  return watch->quarantine;
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

/* Records a request that TARGET has not answered.  Returns the target if it is
   not known yet whether it crashed; null otherwise.  */
static struct known_target *
add_suspect (struct ab_crash_watch *watch, const char *address,
             uint64_t incarnation, const struct ab_digest *content,
             const char *label, uint64_t now)
{
  struct known_target *known = add_target (watch, address);

  if (!known || (known->leaving_ms && incarnation == known->incarnation))
    return NULL;
  ab_quarantine_lost (watch->quarantine, address, incarnation, content, label,
                      now);
  /* The announcement of the next incarnation may arrive first.  */
  if (incarnation == 0 || known->incarnation <= incarnation)
    return known;
  ab_quarantine_announced (watch->quarantine, address, known->incarnation,
                           now);
  return NULL;
}

void
ab_crash_watch_lost (struct ab_crash_watch *watch, const char *address,
                     uint64_t incarnation, const struct ab_digest *content,
                     const char *label)
{
  uint64_t now = now_ms ();
  bool probing = now < watch->probe_until_ms;
  struct known_target *known
      = add_suspect (watch, address, incarnation, content, label, now);

  if (!known)
    return;
  /* The first probe is sent at once, because connections to a crashed process
     are refused at once.  */
  if (now >= known->probe_until_ms)
    ab_prober_probe (watch->prober, address);
  known->probe_until_ms = now + watch->ops->probe_ms;
  watch->probe_until_ms = known->probe_until_ms;
  if (!probing)
    arm_timer (watch);
}

void
ab_crash_watch_hung (struct ab_crash_watch *watch, const char *address,
                     uint64_t incarnation, const struct ab_digest *content,
                     const char *label)
{
  add_suspect (watch, address, incarnation, content, label, now_ms ());
}

void
ab_crash_watch_refused (struct ab_crash_watch *watch, const char *address)
{
  ab_quarantine_refused (watch->quarantine, address, now_ms ());
}

json_t *
ab_crash_watch_state (const struct ab_crash_watch *watch)
{
  return json_pack (
      "{s:I, s:I, s:o}", "suspects",
      (json_int_t)ab_quarantine_suspects (watch->quarantine), "marks",
      (json_int_t)ab_quarantine_records (watch->quarantine), "records",
      ab_fleet_quarantine_state (watch->quarantine, now_ms ()));
}
