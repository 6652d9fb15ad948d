/* Collects the reports of gateways about requests that crash targets and
   applies them to the replicated state in batches.  */

#include "fleet_control_internal.h"

#include <stdlib.h>
#include <utlist.h>

#include "pack.h"

/* Reports are collected for COLLECT_MS, and longer while BATCHES_MAX earlier
   batches are in flight.  */
#define COLLECT_MS 20
#define BATCHES_MAX 2
/* Reports that wait; further ones are dropped, and their senders send them
   again.  */
#define WAITING_MAX 1024
#define CHANGE_TIMEOUT_MS 900

struct pending_report
{
  struct pending_report *prev;
  struct pending_report *next;
  char sender[AB_ADDRESS_BYTES];
  uint64_t id; /* Of the sender.  */
  struct ab_fleet_report report;
};

/* Reports that were sent in one command.  */
struct batch
{
  struct batch *prev;
  struct batch *next;
  struct ab_fleet_reports *owner;
  struct pending_report *reports;
};

struct ab_fleet_reports
{
  struct ab_fleet_control *control;
  struct event *timer;
  struct pending_report *waiting;
  size_t waiting_count;
  struct batch *batches;
  size_t batch_count;
};

static uint64_t
wall_ms (void)
{
  return ab_clock_wall_ms (ab_clock_system ());
}

static void
acknowledge (const struct ab_fleet_reports *reports,
             const struct pending_report *pending)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, 1);
  ab_pack_u64 (&body, pending->id);
  if (!body.error)
    ab_peer_task_reply (reports->control->daemon->peer,
                        ab_chunk_str (pending->sender),
                        AB_FRAME_FLEET_REPORTS_ACK, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static bool
is_in (const struct pending_report *list, const struct pending_report *pending)
{
  const struct pending_report *known;

  DL_FOREACH (list, known)
  if (known->id == pending->id && strcmp (known->sender, pending->sender) == 0)
    return true;
  return false;
}

static bool
is_pending (const struct ab_fleet_reports *reports,
            const struct pending_report *pending)
{
  const struct batch *batch;

  DL_FOREACH (reports->batches, batch)
  if (is_in (batch->reports, pending))
    return true;
  return is_in (reports->waiting, pending);
}

static void flush (struct ab_fleet_reports *reports);

static void
free_reports (struct pending_report *list)
{
  struct pending_report *pending;
  struct pending_report *next;

  DL_FOREACH_SAFE (list, pending, next)
  free (pending);
}

static void
on_batch_done (void *ctx, int rc, enum ab_fleet_result result)
{
  struct batch *batch = ctx;
  struct ab_fleet_reports *reports = batch->owner;
  const struct pending_report *pending;

  DL_DELETE (reports->batches, batch);
  reports->batch_count--;
  if (rc == 0 && result != AB_FLEET_UNUSABLE)
    DL_FOREACH (batch->reports, pending)
  acknowledge (reports, pending);
  free_reports (batch->reports);
  free (batch);
  flush (reports);
}

/* Moves waiting reports to BATCH and appends them to DATA.  */
static void
fill_batch (struct ab_fleet_reports *reports, struct batch *batch,
            struct ab_buf *data)
{
  size_t count = reports->waiting_count < AB_FLEET_REPORTS_MAX
                     ? reports->waiting_count
                     : AB_FLEET_REPORTS_MAX;

  ab_fleet_pack_reports (data, wall_ms (), count);
  for (; count > 0 && reports->waiting; count--)
    {
      struct pending_report *pending = reports->waiting;
      ab_fleet_pack_report (data, &pending->report);
      DL_DELETE (reports->waiting, pending);
      reports->waiting_count--;
      DL_APPEND (batch->reports, pending);
    }
}

static void
flush (struct ab_fleet_reports *reports)
{
  struct ab_buf data = AB_BUF_INIT;
  struct batch *batch;
  int rc;

  if (!reports->waiting || reports->batch_count >= BATCHES_MAX)
    return;
  batch = calloc (1, sizeof *batch);
  if (!batch)
    return; /* The next report tries again.  */
  batch->owner = reports;
  DL_APPEND (reports->batches, batch);
  reports->batch_count++;
  fill_batch (reports, batch, &data);
  rc = data.error;
  if (rc == 0)
    rc = ab_fleet_control_change (reports->control, ab_buf_chunk (&data),
                                  CHANGE_TIMEOUT_MS, on_batch_done, batch);
  if (rc < 0)
    on_batch_done (batch, rc, AB_FLEET_UNUSABLE);
  ab_buf_free (&data);
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  (void)fd;
  (void)events;
  flush (ctx);
}

static bool
is_news (const struct ab_fleet_reports *reports,
         const struct ab_fleet_report *report)
{
  return ab_fleet_report_is_news (
      ab_fleet_state_quarantine (reports->control->state), report, wall_ms ());
}

static void
collect (struct ab_fleet_reports *reports,
         const struct pending_report *received)
{
  const struct timeval tv = { .tv_usec = COLLECT_MS * 1000 };
  struct pending_report *pending;

  if (!is_news (reports, &received->report))
    {
      acknowledge (reports, received);
      return;
    }
  if (reports->waiting_count >= WAITING_MAX || is_pending (reports, received))
    return;
  pending = malloc (sizeof *pending);
  if (!pending)
    return;
  *pending = *received;
  DL_APPEND (reports->waiting, pending);
  reports->waiting_count++;
  if (!event_pending (reports->timer, EV_TIMEOUT, NULL))
    event_add (reports->timer, &tv);
}

static void
on_reports (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_reports *reports = ctx;
  struct pending_report received = { .id = 0 };
  struct ab_reader reader;
  size_t count;

  if (!ab_chunk_copy (frame->sender, received.sender, sizeof received.sender)
      || ab_reader_init (&reader, frame->body) < 0)
    return;
  count = ab_reader_enter (&reader, 2 * (size_t)AB_FLEET_REPORTS_MAX);
  for (size_t i = 0; i < count / 2; i++)
    {
      received.id = ab_reader_u64 (&reader);
      ab_fleet_read_report (&reader, &received.report);
      if (ab_reader_error (&reader) < 0)
        break;
      collect (reports, &received);
    }
  ab_reader_free (&reader);
}

int
ab_fleet_reports_new (struct ab_fleet_control *control,
                      struct ab_fleet_reports **result)
{
  struct ab_fleet_reports *reports = calloc (1, sizeof *reports);

  *result = reports;
  if (!reports)
    return AB_ERR_MEMORY;
  reports->control = control;
  reports->timer = evtimer_new (control->daemon->base, on_timer, reports);
  if (!reports->timer)
    return AB_ERR_MEMORY;
  ab_peer_task_set_handler (control->daemon->peer, AB_FRAME_FLEET_REPORTS,
                            on_reports, reports);
  return 0;
}

void
ab_fleet_reports_free (struct ab_fleet_reports *reports)
{
  struct batch *batch;
  struct batch *next;

  if (!reports)
    return;
  free_reports (reports->waiting);
  DL_FOREACH_SAFE (reports->batches, batch, next)
  {
    free_reports (batch->reports);
    free (batch);
  }
  if (reports->timer)
    event_free (reports->timer);
  free (reports);
}
