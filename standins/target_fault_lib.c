#include <stdio.h>
#include <string.h>

#include "error.h"
#include "target_fault_lib.h"

void
target_faults_clear (struct target_faults *faults)
{
  *faults = (struct target_faults){ .slow_factor = 1 };
}

static double *
find_rate (struct target_faults *faults, const char *kind)
{
  const struct
  {
    const char *kind;
    double *rate;
  } rates[] = { { "errors", &faults->error_rate },
                { "hang", &faults->hang_rate },
                { "reset", &faults->reset_rate },
                { "truncate", &faults->truncate_rate },
                { "wrong-length", &faults->wrong_length_rate } };

  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    if (strcmp (kind, rates[i].kind) == 0)
      return rates[i].rate;
  return NULL;
}

int
target_faults_set (struct target_faults *faults, struct evhttp_request *req,
                   uint64_t now_ms)
{
  char kind[32];
  double *rate;
  double for_ms = standin_query_number (req, "for_ms", 0);

  standin_query_text (req, "kind", kind, sizeof kind);
  rate = find_rate (faults, kind);
  if (rate)
    *rate = standin_query_number (req, "rate", 1);
  else if (strcmp (kind, "none") == 0)
    target_faults_clear (faults);
  else if (strcmp (kind, "slow") == 0)
    faults->slow_factor = standin_query_number (req, "factor", 10);
  else if (strcmp (kind, "late") == 0)
    faults->extra_delay_ms
        = (uint64_t)standin_query_number (req, "delay_ms", 1000);
  else if (strcmp (kind, "flap") == 0)
    faults->flap_period_ms
        = (uint64_t)standin_query_number (req, "period_ms", 2000);
  else if (strcmp (kind, "crash-on") == 0)
    standin_query_text (req, "marker", faults->crash_marker,
                        sizeof faults->crash_marker);
  else if (strcmp (kind, "refuse") == 0)
    faults->refuse = standin_query_number (req, "on", 1) > 0;
  else
    return AB_ERR_INVALID;
  faults->since_ms = now_ms;
  faults->until_ms = for_ms > 0 ? now_ms + (uint64_t)for_ms : 0;
  return 0;
}

struct target_faults
target_faults_active (const struct target_faults *faults, uint64_t now_ms)
{
  struct target_faults now = *faults;
  uint64_t phase;

  if (faults->until_ms > 0 && now_ms >= faults->until_ms)
    target_faults_clear (&now);
  if (now.flap_period_ms == 0)
    return now;
  phase = (now_ms - now.since_ms) % now.flap_period_ms;
  if (phase < now.flap_period_ms / 2)
    target_faults_clear (&now);
  return now;
}

json_t *
target_faults_json (const struct target_faults *faults)
{
  return json_pack ("{s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I, s:s, s:b}",
                    "slow", faults->slow_factor, "errors", faults->error_rate,
                    "hang", faults->hang_rate, "reset", faults->reset_rate,
                    "truncate", faults->truncate_rate, "wrong-length",
                    faults->wrong_length_rate, "late_ms",
                    (json_int_t)faults->extra_delay_ms, "flap_period_ms",
                    (json_int_t)faults->flap_period_ms, "crash-on",
                    faults->crash_marker, "refuse", faults->refuse);
}
