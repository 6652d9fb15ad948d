#include "gateway_crash_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "crash_watch_task.h"
#include "error.h"
#include "fleet_quarantine.h"
#include "pack.h"
#include "peer_task.h"
#include "request_content.h"

/* A crashed process refuses connections at once; one that accepts them a
   little later is alive.  */
#define PROBE_MS 300
/* Reports are gathered for COLLECT_MS and sent again every RESEND_MS until the
   control group has applied them.  */
#define COLLECT_MS 5
#define RESEND_MS 500
/* When a report is worth nothing any more.  */
#define REPORT_MS 30000
#define REPORTS_MAX 256

struct report
{
  struct report *prev;
  struct report *next;
  uint64_t id;
  uint64_t since_ms;
  struct ab_fleet_report report;
};

struct ab_gateway_crashes
{
  struct ab_daemon *daemon;
  const struct ab_fleet_view *view;
  struct ab_crash_watch *watch;
  struct event *timer;
  struct report *reports; /* Oldest first.  */
  size_t report_count;
  uint64_t next_id;
  ab_gateway_blocked_callback callback;
  void *ctx;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static struct ab_quarantine *
quarantine_of (const struct ab_gateway_crashes *crashes)
{
  return ab_crash_watch_quarantine (crashes->watch);
}

/* Reports.  */

static void
delete_report (struct ab_gateway_crashes *crashes, struct report *report)
{
  DL_DELETE (crashes->reports, report);
  crashes->report_count--;
  free (report);
}

static void
arm_timer (struct ab_gateway_crashes *crashes, uint64_t after_ms)
{
  const struct timeval tv = { .tv_usec = (suseconds_t)after_ms * 1000 };

  event_add (crashes->timer, &tv);
}

static void
send_reports (struct ab_gateway_crashes *crashes)
{
  const char *control = ab_fleet_view_control (crashes->view);
  struct ab_buf body = AB_BUF_INIT;
  const struct report *report = crashes->reports;
  size_t count = crashes->report_count < AB_FLEET_REPORTS_MAX
                     ? crashes->report_count
                     : AB_FLEET_REPORTS_MAX;

  if (!control[0])
    return;
  ab_pack_array (&body, 2 * count);
  for (size_t i = 0; i < count; i++, report = report->next)
    {
      ab_pack_u64 (&body, report->id);
      ab_fleet_pack_report (&body, &report->report);
    }
  if (!body.error)
    ab_peer_task_send (crashes->daemon->peer, ab_chunk_str (control),
                       AB_FRAME_FLEET_REPORTS, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_crashes *crashes = arg;
  uint64_t now = now_ms ();

  (void)fd;
  (void)what;
  while (crashes->reports && now - crashes->reports->since_ms > REPORT_MS)
    delete_report (crashes, crashes->reports);
  if (!crashes->reports)
    return;
  send_reports (crashes);
  arm_timer (crashes, RESEND_MS);
}

static void
add_report (struct ab_gateway_crashes *crashes,
            const struct ab_fleet_report *content)
{
  struct report *report;

  if (crashes->report_count >= REPORTS_MAX)
    {
      ++*ab_counter (crashes->daemon->counters,
                     "ab_crash_reports_dropped_total");
      return;
    }
  report = calloc (1, sizeof *report);
  if (!report)
    return;
  report->id = ++crashes->next_id;
  report->since_ms = now_ms ();
  report->report = *content;
  DL_APPEND (crashes->reports, report);
  crashes->report_count++;
  arm_timer (crashes, COLLECT_MS);
}

static void
on_acknowledged (void *ctx, const struct ab_frame *frame)
{
  struct ab_gateway_crashes *crashes = ctx;
  struct ab_reader reader;
  struct report *report;
  uint64_t id;

  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 1);
  id = ab_reader_u64 (&reader);
  ab_reader_free (&reader);
  DL_SEARCH_SCALAR (crashes->reports, report, id, id);
  if (report)
    delete_report (crashes, report);
  if (crashes->report_count >= AB_FLEET_REPORTS_MAX)
    arm_timer (crashes, COLLECT_MS);
}

/* What this host sees.  */

static void
on_crashed (void *ctx, const struct ab_quarantine_record *record,
            const struct ab_quarantine_crash *crash, const char *service)
{
  struct ab_fleet_report report = { .kind = AB_FLEET_REPORT_CRASHED,
                                    .content = record->content,
                                    .crash = *crash };

  (void)service;
  memcpy (report.label, record->label, sizeof report.label);
  add_report (ctx, &report);
}

static void
on_blocked (void *ctx, const struct ab_quarantine_record *record,
            const char *service, uint64_t duration_ms)
{
  struct ab_gateway_crashes *crashes = ctx;

  (void)record;
  (void)service;
  (void)duration_ms;
  crashes->callback (crashes->ctx);
}

uint64_t
ab_gateway_crashes_incarnation (const struct ab_gateway_crashes *crashes,
                                const char *address)
{
  return ab_crash_watch_incarnation (crashes->watch, address);
}

void
ab_gateway_crashes_lost (struct ab_gateway_crashes *crashes,
                         const char *address, uint64_t incarnation,
                         const struct ab_digest *content,
                         struct evhttp_request *request)
{
  char label[AB_QUARANTINE_LABEL_BYTES];

  ab_request_content_label (request, label, sizeof label);
  ab_crash_watch_lost (crashes->watch, address, incarnation, content, label);
}

void
ab_gateway_crashes_hung (struct ab_gateway_crashes *crashes,
                         const char *address, uint64_t incarnation,
                         const struct ab_digest *content,
                         struct evhttp_request *request)
{
  char label[AB_QUARANTINE_LABEL_BYTES] = "";

  if (request)
    ab_request_content_label (request, label, sizeof label);
  ab_crash_watch_hung (crashes->watch, address, incarnation, content, label);
}

void
ab_gateway_crashes_refused (struct ab_gateway_crashes *crashes,
                            const char *address)
{
  ab_crash_watch_refused (crashes->watch, address);
}

void
ab_gateway_crashes_leaving (struct ab_gateway_crashes *crashes,
                            const char *address)
{
  ab_crash_watch_leaving (crashes->watch, address);
}

static void
report_answered (struct ab_gateway_crashes *crashes,
                 const struct ab_digest *content)
{
  const struct ab_fleet_report report
      = { .kind = AB_FLEET_REPORT_ANSWERED, .content = *content };

  add_report (crashes, &report);
}

void
ab_gateway_crashes_answered (struct ab_gateway_crashes *crashes,
                             const struct ab_digest *content)
{
  bool known = ab_quarantine_find (quarantine_of (crashes), content);

  ab_quarantine_answered (quarantine_of (crashes), content, now_ms ());
  if (known)
    report_answered (crashes, content);
}

/* What the fleet view says.  */

void
ab_gateway_crashes_set_target (struct ab_gateway_crashes *crashes,
                               const struct ab_fleet_target *target)
{
  const struct ab_crash_target crash_target
      = { .address = target->address,
          .service = target->service,
          .region = "",
          .incarnation = target->started_ms,
          .leaving = target->state != AB_FLEET_TARGET_READY };

  ab_crash_watch_set_target (crashes->watch, &crash_target);
}

/* Returns the monotonic time of the Unix time WALL_MS, which is at most
   AB_QUARANTINE_LONGEST_MS from now.  */
static uint64_t
to_monotonic (uint64_t wall_ms)
{
  uint64_t wall_now = ab_clock_wall_ms (ab_clock_system ());
  uint64_t now = now_ms ();
  uint64_t distance;

  if (wall_ms > wall_now)
    {
      distance = wall_ms - wall_now;
      return now
             + (distance < AB_QUARANTINE_LONGEST_MS
                    ? distance
                    : AB_QUARANTINE_LONGEST_MS);
    }
  distance = wall_now - wall_ms;
  return distance < now ? now - distance : 0;
}

void
ab_gateway_crashes_set_record (struct ab_gateway_crashes *crashes,
                               const struct ab_quarantine_record *record)
{
  struct ab_quarantine_record local = *record;
  uint64_t now = now_ms ();
  bool was_blocked;
  bool blocked;

  if (!record->cleared
      && ab_quarantine_was_answered (quarantine_of (crashes), &record->content,
                                     now))
    {
      report_answered (crashes, &record->content);
      return;
    }
  local.since_ms = to_monotonic (record->since_ms);
  if (record->blocked_until_ms)
    local.blocked_until_ms = to_monotonic (record->blocked_until_ms);
  was_blocked = ab_gateway_crashes_blocked_ms (crashes, &record->content) > 0;
  blocked = ab_quarantine_merge (quarantine_of (crashes), &local, now);
  if (was_blocked
      && ab_gateway_crashes_blocked_ms (crashes, &record->content) == 0)
    ab_crash_watch_log_clear (&record->content);
  if (!blocked)
    return;
  ab_crash_watch_log_block (
      crashes->watch, &local,
      local.crash_count > 0 ? local.crashes[local.crash_count - 1].target : "",
      local.blocked_until_ms - now);
  crashes->callback (crashes->ctx);
}

/* Queries.  */

bool
ab_gateway_crashes_may_know (const struct ab_gateway_crashes *crashes,
                             struct evhttp_request *request)
{
  uint8_t prefix[AB_DIGEST_PREFIX_BYTES];

  if (ab_quarantine_records (quarantine_of (crashes)) == 0)
    return false;
  ab_request_content_prefix (request, prefix);
  return ab_quarantine_may_have (quarantine_of (crashes), prefix);
}

uint64_t
ab_gateway_crashes_blocked_ms (const struct ab_gateway_crashes *crashes,
                               const struct ab_digest *content)
{
  return ab_quarantine_blocked_ms (quarantine_of (crashes), content,
                                   now_ms ());
}

json_t *
ab_gateway_crashes_state (const struct ab_gateway_crashes *crashes)
{
  json_t *state = ab_crash_watch_state (crashes->watch);

  if (state)
    json_object_set_new (state, "unacknowledged",
                         json_integer ((json_int_t)crashes->report_count));
  return state;
}

int
ab_gateway_crashes_new (struct ab_daemon *daemon,
                        ab_gateway_blocked_callback callback, void *ctx,
                        struct ab_gateway_crashes **result)
{
  static const struct ab_crash_watch_ops ops
      = { .crashed = on_crashed, .blocked = on_blocked, .probe_ms = PROBE_MS };
  struct ab_gateway_crashes *crashes = calloc (1, sizeof *crashes);

  *result = NULL;
  if (!crashes)
    return AB_ERR_MEMORY;
  crashes->daemon = daemon;
  crashes->callback = callback;
  crashes->ctx = ctx;
  /* Start above the ids of earlier processes on this host.  */
  crashes->next_id = daemon->incarnation << 20;
  crashes->timer = evtimer_new (daemon->base, on_timer, crashes);
  if (!crashes->timer
      || ab_crash_watch_new (daemon, &ops, crashes, &crashes->watch) < 0)
    {
      ab_gateway_crashes_free (crashes);
      return AB_ERR_MEMORY;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_FLEET_REPORTS_ACK,
                            on_acknowledged, crashes);
  *result = crashes;
  return 0;
}

void
ab_gateway_crashes_free (struct ab_gateway_crashes *crashes)
{
  struct report *report;
  struct report *next;

  if (!crashes)
    return;
  DL_FOREACH_SAFE (crashes->reports, report, next)
  free (report);
  if (crashes->timer)
    event_free (crashes->timer);
  ab_crash_watch_free (crashes->watch);
  free (crashes);
}

void
ab_gateway_crashes_use_view (struct ab_gateway_crashes *crashes,
                             const struct ab_fleet_view *view)
{
  crashes->view = view;
}
