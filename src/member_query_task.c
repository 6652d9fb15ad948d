#include <stdio.h>

#include "clock.h"
#include "member_state_task.h"

struct visit
{
  ab_host_visitor host;
  ab_target_visitor target;
  void *ctx;
};

static bool
visit_host (void *ctx, const struct ab_item *item)
{
  const struct visit *visit = ctx;

  return visit->host (visit->ctx, &item->host);
}

static bool
visit_target (void *ctx, const struct ab_item *item)
{
  const struct visit *visit = ctx;

  return visit->target (visit->ctx, &item->target);
}

void
ab_member_task_visit_hosts (const struct ab_member_task *task,
                            ab_host_visitor visit, void *ctx)
{
  struct visit v = { .host = visit, .ctx = ctx };

  ab_membership_visit (task->m, AB_ITEM_HOST, true, visit_host, &v);
}

void
ab_member_task_visit_targets (const struct ab_member_task *task,
                              ab_target_visitor visit, void *ctx)
{
  struct visit v = { .target = visit, .ctx = ctx };

  ab_membership_visit (task->m, AB_ITEM_TARGET, false, visit_target, &v);
}

static bool
add_quarantine (void *ctx, const struct ab_item *item)
{
  const struct ab_quarantine_view *view = &item->quarantine;
  char content[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (view->content.bytes, sizeof view->content.bytes, content);
  json_array_append_new (
      ctx, json_pack ("{s:s, s:s, s:b, s:I}", "content", content, "service",
                      view->service, "refused", !view->target[0],
                      "until_wall_ms", (json_int_t)view->until_wall_ms));
  return true;
}

static json_t *
gossip_state (const struct ab_membership_stats *stats)
{
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
      "packets_sent", (json_int_t)stats->packets_sent, "bytes_sent",
      (json_int_t)stats->bytes_sent, "bytes_cross_region",
      (json_int_t)stats->bytes_cross_region, "probes_failed",
      (json_int_t)stats->probes_failed, "suspected",
      (json_int_t)stats->suspected, "declared_gone",
      (json_int_t)stats->declared_dead, "refuted", (json_int_t)stats->refuted,
      "late_items", (json_int_t)stats->stale, "repaired",
      (json_int_t)stats->repaired, "unusable", (json_int_t)stats->corrupt,
      "stalls", (json_int_t)stats->stalls, "changes_waiting",
      (json_int_t)stats->updates_waiting);
}

json_t *
ab_member_task_state (const struct ab_member_task *task)
{
  struct ab_membership_stats stats = ab_membership_stats (task->m);
  json_t *quarantines = json_array ();
  char digest[2 * sizeof (uint64_t) + 1];

  snprintf (digest, sizeof digest, "%016llx",
            (unsigned long long)ab_membership_digest (task->m));
  ab_membership_visit (task->m, AB_ITEM_QUARANTINE, false, add_quarantine,
                       quarantines);
  return json_pack (
      "{s:b, s:b, s:b, s:s, s:I, s:I, s:I, s:o, s:o, s:{s:I, s:I, s:I}}",
      "joined", ab_membership_joined (task->m), "leaving", task->leaving,
      "ready", task->ready, "view_digest", digest, "hosts",
      (json_int_t)stats.hosts, "items", (json_int_t)stats.items,
      "memory_bytes", (json_int_t)stats.memory_bytes, "quarantines",
      quarantines, "gossip", gossip_state (&stats), "leases", "held",
      (json_int_t)ab_leases_count (task->leases), "changes_waiting",
      (json_int_t)ab_leases_waiting (task->leases), "overdue",
      (json_int_t)ab_leases_overdue (task->leases, member_now_ms ()));
}
