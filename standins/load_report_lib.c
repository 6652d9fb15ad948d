#include "load_report_lib.h"

#include <stdio.h>
#include <string.h>

static const char *const verdict_names[LOAD_VERDICTS]
    = { "not-run", "may-have-run", "ran", "none" };

enum load_verdict
load_verdict_parse (const char *text)
{
  for (int i = 0; text && i < LOAD_NO_VERDICT; i++)
    if (strcmp (text, verdict_names[i]) == 0)
      return i;
  return LOAD_NO_VERDICT;
}

const char *
load_verdict_name (enum load_verdict verdict)
{
  return verdict_names[verdict];
}

void
load_counts_init (struct load_counts *counts, const char *name)
{
  memset (counts, 0, sizeof *counts);
  snprintf (counts->name, sizeof counts->name, "%s", name);
  counts->latency = ab_histogram_new ();
}

void
load_counts_free (struct load_counts *counts)
{
  ab_histogram_free (counts->latency);
}

void
load_counts_add_error (struct load_counts *counts, const char *code)
{
  for (int i = 0; i < LOAD_CODES_MAX; i++)
    {
      if (!counts->codes[i].code[0])
        snprintf (counts->codes[i].code, LOAD_NAME_BYTES, "%s", code);
      if (strcmp (counts->codes[i].code, code) != 0)
        continue;
      counts->codes[i].count++;
      return;
    }
}

static json_t *
codes_json (const struct load_counts *counts)
{
  json_t *codes = json_object ();

  for (int i = 0; i < LOAD_CODES_MAX && counts->codes[i].code[0]; i++)
    json_object_set_new (codes, counts->codes[i].code,
                         json_integer ((json_int_t)counts->codes[i].count));
  return codes;
}

static json_t *
failed_json (const struct load_counts *counts)
{
  json_t *failed = json_object ();

  for (int i = 0; i < LOAD_VERDICTS; i++)
    json_object_set_new (failed, verdict_names[i],
                         json_integer ((json_int_t)counts->failed[i]));
  return failed;
}

static json_t *
statuses_json (const struct load_counts *counts)
{
  json_t *statuses = json_object ();
  char text[8];

  for (int i = 0; i < LOAD_STATUS_MAX; i++)
    if (counts->statuses[i] > 0)
      {
        snprintf (text, sizeof text, "%d", i);
        json_object_set_new (statuses, text,
                             json_integer ((json_int_t)counts->statuses[i]));
      }
  return statuses;
}

static json_t *
latency_json (const struct ab_histogram *latency)
{
  return json_pack ("{s:I, s:I, s:I}", "p50",
                    (json_int_t)ab_histogram_quantile (latency, 0.5), "p99",
                    (json_int_t)ab_histogram_quantile (latency, 0.99), "p999",
                    (json_int_t)ab_histogram_quantile (latency, 0.999));
}

json_t *
load_counts_json (const struct load_counts *counts, uint64_t duration_us)
{
  double seconds = (double)duration_us / 1e6;

  return json_pack (
      "{s:I, s:I, s:o, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:f}", "sent",
      (json_int_t)counts->sent, "ok", (json_int_t)counts->ok, "failed",
      failed_json (counts), "cut", (json_int_t)counts->cut, "wrong",
      (json_int_t)counts->wrong, "resent", (json_int_t)counts->resent,
      "replayed", (json_int_t)counts->replayed, "skipped",
      (json_int_t)counts->skipped, "statuses", statuses_json (counts), "codes",
      codes_json (counts), "latency_us", latency_json (counts->latency),
      "goodput_per_s", seconds > 0 ? (double)counts->ok / seconds : 0.0);
}
