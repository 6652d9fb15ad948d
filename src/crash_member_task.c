#include "crash_member_task.h"

#include <stdlib.h>

#include "clock.h"
#include "error.h"
#include "member_task.h"

struct ab_crash_member
{
  struct ab_daemon *daemon;
  struct ab_crash_watch *watch;
};

/* Publishes to the fleet that CONTENT crashed TARGET, or with an empty TARGET
   that requests with CONTENT are to be rejected for DURATION_MS.  */
static void
publish (struct ab_crash_member *member, const struct ab_digest *content,
         const char *target, const char *service, uint64_t duration_ms)
{
  struct ab_quarantine_view item
      = { .content = *content,
          .until_wall_ms
          = ab_clock_wall_ms (ab_clock_system ()) + duration_ms };

  ab_chunk_copy_bounded (ab_chunk_str (service), item.service,
                         sizeof item.service);
  ab_chunk_copy_bounded (ab_chunk_str (target), item.target,
                         sizeof item.target);
  ab_member_task_quarantine (member->daemon->member, &item);
}

static void
on_crashed (void *ctx, const struct ab_quarantine_record *record,
            const struct ab_quarantine_crash *crash, const char *service)
{
  struct ab_crash_member *member = ctx;

  if (!ab_member_task_quarantined (member->daemon->member, &record->content))
    publish (member, &record->content, crash->target, service,
             AB_QUARANTINE_MARK_MS);
}

static void
on_blocked (void *ctx, const struct ab_quarantine_record *record,
            const char *service, uint64_t duration_ms)
{
  publish (ctx, &record->content, "", service, duration_ms);
}

static void
on_lifted (void *ctx, const struct ab_quarantine_record *record)
{
  struct ab_crash_member *member = ctx;

  ab_member_task_release_quarantine (member->daemon->member, &record->content);
}

/* Applies a crash that another host detected, or a release by an operator.  */
static void
on_quarantine (void *ctx, const struct ab_quarantine_view *item)
{
  struct ab_crash_member *member = ctx;
  struct ab_quarantine *quarantine = ab_crash_watch_quarantine (member->watch);
  struct ab_quarantine_crash crash = { .incarnation = 0 };

  if (item->until_wall_ms == 0)
    {
      ab_quarantine_forget (quarantine, &item->content);
      return;
    }
  if (!item->target[0]
      || ab_quarantine_was_answered (
          quarantine, &item->content,
          ab_clock_monotonic_ms (ab_clock_system ()))
      || item->until_wall_ms <= ab_clock_wall_ms (ab_clock_system ()))
    return;
  ab_chunk_copy_bounded (ab_chunk_str (item->target), crash.target,
                         sizeof crash.target);
  ab_quarantine_reported (quarantine, &crash, &item->content, "",
                          ab_clock_monotonic_ms (ab_clock_system ()));
}

static void
on_target (void *ctx, const struct ab_target_view *target)
{
  struct ab_crash_member *member = ctx;
  const struct ab_crash_target crash_target
      = { .address = target->address,
          .service = target->service,
          .region = target->region,
          .incarnation = target->incarnation,
          .leaving = target->state != AB_TARGET_ACTIVE };

  ab_crash_watch_set_target (member->watch, &crash_target);
}

static bool
visit_target (void *ctx, const struct ab_target_view *target)
{
  on_target (ctx, target);
  return true;
}

int
ab_crash_member_new (struct ab_daemon *daemon, struct ab_crash_member **member)
{
  static const struct ab_crash_watch_ops ops
      = { .crashed = on_crashed,
          .blocked = on_blocked,
          .lifted = on_lifted,
          .probe_ms = AB_QUARANTINE_CONFIRM_MS };
  struct ab_crash_member *result = calloc (1, sizeof *result);

  *member = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  if (ab_crash_watch_new (daemon, &ops, result, &result->watch) < 0)
    {
      free (result);
      return AB_ERR_MEMORY;
    }
  ab_member_task_listen_targets (daemon->member, on_target, result);
  ab_member_task_visit_targets (daemon->member, visit_target, result);
  ab_member_task_listen_quarantine (daemon->member, on_quarantine, result);
  *member = result;
  return 0;
}

void
ab_crash_member_free (struct ab_crash_member *member)
{
  if (!member)
    return;
  ab_crash_watch_free (member->watch);
  free (member);
}

struct ab_crash_watch *
ab_crash_member_watch (const struct ab_crash_member *member)
{
  return member->watch;
}
