/* Tests of the record of decisions: bounded memory, newest events kept, and a
   subject that has been dropped can be distinguished from one that was never
   seen.  */

#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "explain.h"
#include "suite_lib.h"

/* Guards against losing the newest events of a long-lived subject.  */
START_TEST (newest_events_kept)
{
  struct ab_explain *explain = ab_explain_new ();
  json_t *events;

  for (int i = 0; i < AB_EXPLAIN_EVENTS + 5; i++)
    AB_EXPLAIN (explain, AB_CHUNK ("a"), "step", ab_log_int ("n", i));
  events = ab_explain_get (explain, AB_CHUNK ("a"));
  ck_assert_uint_eq (json_array_size (events), AB_EXPLAIN_EVENTS);
  ck_assert_str_eq (json_string_value (json_object_get (
                        json_array_get (events, 0), "detail")),
                    "n=5");
  json_decref (events);
  ab_explain_free (explain);
}
END_TEST

/* Guards against memory growing with the number of requests.  */
START_TEST (subjects_bounded)
{
  struct ab_explain *explain = ab_explain_new ();
  const struct ab_log_field field = ab_log_int ("n", 1);
  char name[32];
  json_t *events;

  for (int i = 0; i < AB_EXPLAIN_SUBJECTS + 10; i++)
    {
      snprintf (name, sizeof name, "request-%d", i);
      ab_explain_add (explain, ab_chunk_str (name), 1000 + (uint64_t)i, "step",
                      &field, 1);
    }
  ck_assert_ptr_null (ab_explain_get (explain, AB_CHUNK ("request-0")));
  ck_assert_uint_ge (ab_explain_dropped_before_ms (explain), 1009);
  events = ab_explain_get (explain, ab_chunk_str (name));
  ck_assert_uint_eq (json_array_size (events), 1);
  json_decref (events);
  ab_explain_free (explain);
}
END_TEST

SUITE_MAIN ("explain", 60, newest_events_kept, subjects_bounded)
