/* Tests of the replicated state machine: register of bundles, snapshots, and
   commands that cannot be decoded.  */

#include <check.h>
#include <stdlib.h>

#include "control_state.h"
#include "error.h"
#include "rng.h"

#define TIME_MS 1000000000ULL
#define CORRUPT_ROUNDS 3000

static struct ab_control_state *state;
static uint64_t next_index;
static int last_rc;
static struct ab_bundle_record last_current_bundle;

static void
on_result (void *ctx, const struct ab_control_result *result)
{
  (void)ctx;
  last_rc = result->rc;
  if (result->current_bundle)
    last_current_bundle = *result->current_bundle;
}

static void
apply (const struct ab_command *command)
{
  struct ab_buf data = AB_BUF_INIT;

  last_rc = 1;
  ck_assert_int_eq (ab_command_encode (command, &data), 0);
  ck_assert_int_eq (
      ab_control_state_apply (state, next_index++, 1, ab_buf_chunk (&data)),
      0);
  ab_buf_free (&data);
}

static int
apply_bundle (uint64_t version, const char *text)
{
  struct ab_signed_bundle bundle = { .version = version };
  struct ab_floor floors[] = { { "shop", 0.5 } };
  struct ab_command command = { .type = AB_COMMAND_BUNDLE,
                                .time_ms = TIME_MS,
                                .operator_name = "olga",
                                .retention_ms = 1000,
                                .floors = floors,
                                .floor_count = 1 };
  struct ab_buf encoded = AB_BUF_INIT;

  ab_buf_append_str (&bundle.text, text);
  ab_signed_bundle_encode (&bundle, &encoded);
  command.bundle = ab_buf_chunk (&encoded);
  apply (&command);
  ab_signed_bundle_free (&bundle);
  ab_buf_free (&encoded);
  return last_rc;
}

static void
setup (void)
{
  next_index = 1;
  state = ab_control_state_new (NULL);
  ab_control_state_on_result (state, on_result, NULL);
}

static void
teardown (void)
{
  ab_control_state_free (state);
}

/* Guards against operators whose concurrent or retried requests revert or
   replace an accepted bundle.  */
START_TEST (acceptance_rule)
{
  ck_assert_int_eq (apply_bundle (5, "five"), 0);
  ck_assert_int_eq (apply_bundle (5, "five"), AB_ERR_EXISTS);
  ck_assert_uint_eq (last_current_bundle.log_index, 1);
  ck_assert_int_eq (apply_bundle (5, "other"), AB_ERR_CONFLICT);
  ck_assert_str_eq (last_current_bundle.operator_name, "olga");
  ck_assert_int_eq (apply_bundle (4, "four"), AB_ERR_STALE);
  ck_assert_int_eq (apply_bundle (7, "seven"), 0);
  ck_assert_int_eq (apply_bundle (5, "five"), AB_ERR_STALE);
  ck_assert_uint_eq (ab_control_state_history_count (state), 2);
  ck_assert_uint_eq (ab_control_state_current (state)->version, 7);
}
END_TEST

/* Guards against a history that grows without bound, and against the loss of
   the current bundle when the oldest entry is dropped.  */
START_TEST (history_is_bounded)
{
  for (uint64_t i = 1; i <= AB_BUNDLE_HISTORY_MAX + 10; i++)
    ck_assert_int_eq (apply_bundle (i, "text"), 0);
  ck_assert_uint_eq (ab_control_state_history_count (state),
                     AB_BUNDLE_HISTORY_MAX);
  ck_assert_uint_eq (ab_control_state_history (state, 0)->version, 11);
  ck_assert_uint_eq (ab_control_state_current (state)->version,
                     AB_BUNDLE_HISTORY_MAX + 10);
}
END_TEST

/* Guards against floors that remain after their service was removed from the
   bundle, and against a restarted member that loses them.  */
START_TEST (bundle_sets_floors)
{
  struct ab_command capacity = { .type = AB_COMMAND_CAPACITY,
                                 .time_ms = TIME_MS,
                                 .service = "shop",
                                 .count = 10 };
  struct ab_permit_counts counts;
  struct ab_buf data = AB_BUF_INIT;

  apply (&capacity);
  apply_bundle (1, "one");
  ck_assert_int_eq (ab_control_state_save (state, &data), 0);
  ck_assert_int_eq (ab_control_state_load (state, ab_buf_chunk (&data)), 0);
  ab_permits_counts (ab_control_state_permits (state), AB_CHUNK ("shop"),
                     &counts);
  ck_assert_uint_eq (counts.allowed, 5);
  ck_assert_uint_eq (ab_control_state_current (state)->version, 1);
  ck_assert_uint_gt (ab_control_state_bundle (state).len, 0);
  ab_buf_free (&data);
}
END_TEST

/* Guards against replicas that diverge or stop at a log entry of a type that
   their release does not know.  */
START_TEST (unreadable_command_changes_nothing)
{
  struct ab_buf before = AB_BUF_INIT;
  struct ab_buf after = AB_BUF_INIT;

  apply_bundle (1, "one");
  ab_control_state_save (state, &before);
  ck_assert_int_eq (
      ab_control_state_apply (state, 9, 1, AB_CHUNK ("\x96\x63")), 0);
  ck_assert_int_eq (ab_control_state_apply (state, 10, 1, AB_CHUNK ("")), 0);
  ab_control_state_save (state, &after);
  ck_assert (ab_chunk_equal (ab_buf_chunk (&before), ab_buf_chunk (&after)));
  ab_buf_free (&before);
  ab_buf_free (&after);
}
END_TEST

/* Guards against crashes on a damaged snapshot or command.  */
START_TEST (corrupt_input_gives_an_error)
{
  struct ab_command claim = { .type = AB_COMMAND_CLAIM,
                              .time_ms = TIME_MS,
                              .host = "a",
                              .key = { .team = "t", .service = "s" } };
  struct ab_control_state *scratch = ab_control_state_new (NULL);
  struct ab_buf data = AB_BUF_INIT;
  struct ab_buf command = AB_BUF_INIT;
  struct ab_rng rng;

  claim.key.key[5] = 1;
  ab_rng_init_seeded (&rng, 1);
  apply (&claim);
  apply_bundle (1, "one");
  ab_control_state_save (state, &data);
  ab_command_encode (&claim, &command);
  for (size_t len = 0; len < data.len; len++)
    ck_assert_int_lt (
        ab_control_state_load (scratch, ab_chunk (data.data, len)), 0);
  for (int i = 0; i < CORRUPT_ROUNDS; i++)
    {
      size_t at = ab_rng_below (&rng, data.len);
      char byte = data.data[at];
      data.data[at] = (char)ab_rng_next (&rng);
      ab_control_state_load (scratch, ab_buf_chunk (&data));
      data.data[at] = byte;
      command.data[ab_rng_below (&rng, command.len)]
          = (char)ab_rng_next (&rng);
      ab_control_state_apply (state, next_index++, 1, ab_buf_chunk (&command));
    }
  ab_control_state_free (scratch);
  ab_buf_free (&data);
  ab_buf_free (&command);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("control_state");
  TCase *tcase = tcase_create ("control_state");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, acceptance_rule);
  tcase_add_test (tcase, history_is_bounded);
  tcase_add_test (tcase, bundle_sets_floors);
  tcase_add_test (tcase, unreadable_command_changes_nothing);
  tcase_add_test (tcase, corrupt_input_gives_an_error);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
