/* Confirms, by reads that a majority answers, how old the state of this
   control host can be.  Gateways need that to honour keys.  */

#include "fleet_control_internal.h"

#include <stdlib.h>

#include "confirmation.h"

/* Two reads a second keep the age at a gateway, which asks for views every
   AB_FLEET_WATCH_INTERVAL_MS, near 1 s.  */
#define INTERVAL_MS 500
/* A read that takes longer than this is given up: what it confirms would be
   nearly too old for a lifetime of keys of a few seconds.  */
#define TIMEOUT_MS 2000
#define READS_MAX (TIMEOUT_MS / INTERVAL_MS)

struct read
{
  struct ab_fleet_confirm *confirm;
  uint64_t started_ms; /* Zero while none is under way.  */
};

struct ab_fleet_confirm
{
  struct ab_fleet_control *control;
  struct ab_confirmation confirmation;
  uint64_t started_ms; /* Start of the last read.  */
  struct read reads[READS_MAX];
};

static void
on_read (void *ctx, int rc, enum ab_fleet_result result)
{
  struct read *read = ctx;
  struct ab_fleet_confirm *confirm = read->confirm;
  uint64_t now = ab_fleet_now_ms ();
  bool was_recent
      = ab_confirmation_age_ms (&confirm->confirmation, now) < TIMEOUT_MS;
  uint64_t started_ms = read->started_ms;

  read->started_ms = 0;
  if (rc < 0 || result != AB_FLEET_ACCEPTED)
    {
      ++*ab_counter (confirm->control->daemon->counters,
                     "ab_fleet_confirmations_failed_total");
      return;
    }
  ab_confirmation_advance (&confirm->confirmation, started_ms);
  ++*ab_counter (confirm->control->daemon->counters,
                 "ab_fleet_confirmations_total");
  /* Gateways whose keys are not confirmed refuse requests meanwhile.  */
  if (!was_recent)
    ab_fleet_watch_push (confirm->control->watch);
}

static struct read *
find_free (struct ab_fleet_confirm *confirm)
{
  for (size_t i = 0; i < READS_MAX; i++)
    if (confirm->reads[i].started_ms == 0)
      return &confirm->reads[i];
  return NULL;
}

void
ab_fleet_confirm_tick (struct ab_fleet_confirm *confirm)
{
  struct ab_fleet_control *control = confirm->control;
  uint64_t now = ab_fleet_now_ms ();
  struct read *read = find_free (confirm);

  if (!read || now - confirm->started_ms < INTERVAL_MS
      || ab_fleet_control_leaderless_ms (control) > 0
      || !ab_fleet_watch_wants_confirmation (control->watch))
    return;
  confirm->started_ms = now;
  read->started_ms = now;
  if (ab_fleet_control_read_once (control, TIMEOUT_MS, on_read, read) < 0)
    read->started_ms = 0;
}

uint64_t
ab_fleet_confirm_age_ms (const struct ab_fleet_confirm *confirm)
{
  return ab_confirmation_age_ms (&confirm->confirmation, ab_fleet_now_ms ());
}

int
ab_fleet_confirm_new (struct ab_fleet_control *control,
                      struct ab_fleet_confirm **result)
{
  struct ab_fleet_confirm *confirm = calloc (1, sizeof *confirm);

  *result = confirm;
  if (!confirm)
    return AB_ERR_MEMORY;
  confirm->control = control;
  for (size_t i = 0; i < READS_MAX; i++)
    confirm->reads[i].confirm = confirm;
  return 0;
}

void
ab_fleet_confirm_free (struct ab_fleet_confirm *confirm)
{
  free (confirm);
}
