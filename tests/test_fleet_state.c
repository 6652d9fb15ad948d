/* Unit tests of the replicated state of a fleet: bundles and targets.  */

#include "fleet_state.h"
#include "error.h"
#include "suite_lib.h"

static struct ab_fleet_state *state;
static uint64_t last_index;

static void
create_state (void)
{
  ck_assert_int_eq (ab_crypto_init (), 0);
  state = ab_fleet_state_new ();
  ck_assert_ptr_nonnull (state);
  last_index = 0;
}

static enum ab_fleet_result
apply (struct ab_buf *data)
{
  enum ab_fleet_result result;

  ck_assert_int_eq (
      ab_fleet_state_apply (state, ++last_index, ab_buf_chunk (data), &result),
      0);
  ab_buf_free (data);
  return result;
}

static enum ab_fleet_result
put_bundle (uint64_t version, uint64_t base, const char *text)
{
  struct ab_buf data = AB_BUF_INIT;

  ab_fleet_pack_bundle (&data, version, base, ab_chunk_str (text));
  return apply (&data);
}

static struct ab_fleet_target
target (const char *id, const char *address, uint64_t started_ms,
        uint64_t sequence, enum ab_fleet_target_state of)
{
  struct ab_fleet_target t = { .started_ms = started_ms,
                               .sequence = sequence,
                               .slots = 2,
                               .state = of,
                               .service = "s",
                               .failure_domain = "d" };

  ab_chunk_copy (ab_chunk_str (id), t.id, sizeof t.id);
  ab_chunk_copy (ab_chunk_str (address), t.address, sizeof t.address);
  return t;
}

static enum ab_fleet_result
announce (const char *id, const char *address, uint64_t started_ms,
          uint64_t sequence, enum ab_fleet_target_state of)
{
  struct ab_fleet_target t = target (id, address, started_ms, sequence, of);
  struct ab_buf data = AB_BUF_INIT;

  ab_fleet_pack_target_changes (&data, 1);
  ab_fleet_pack_target (&data, &t);
  return apply (&data);
}

static enum ab_fleet_target_state
state_of (const char *id)
{
  const struct ab_fleet_target *t = ab_fleet_state_find (state, id);

  ck_assert_ptr_nonnull (t);
  return t->state;
}

/* Guards against two bundles that are accepted on one base version, and
   against a resent bundle that is rejected, even after a later bundle and a
   restart from a snapshot.  */
START_TEST (one_bundle_accepted_per_base)
{
  struct ab_buf snapshot = AB_BUF_INIT;

  create_state ();
  ck_assert_int_eq (put_bundle (2, 0, "first"), AB_FLEET_ACCEPTED);
  ck_assert_int_eq (put_bundle (4, 2, "left"), AB_FLEET_ACCEPTED);
  ck_assert_int_eq (put_bundle (4, 2, "right"), AB_FLEET_CONFLICT);
  ck_assert_int_eq (put_bundle (5, 2, "right"), AB_FLEET_CONFLICT);
  ck_assert_int_eq (put_bundle (4, 4, "again"), AB_FLEET_STALE);
  ck_assert_int_eq (put_bundle (2, 0, "first"), AB_FLEET_DUPLICATE);
  ck_assert_int_eq (ab_fleet_state_save (state, &snapshot), 0);
  ab_fleet_state_free (state);
  state = ab_fleet_state_new ();
  ck_assert_int_eq (ab_fleet_state_load (state, ab_buf_chunk (&snapshot)), 0);
  ck_assert_int_eq (put_bundle (2, 0, "first"), AB_FLEET_DUPLICATE);
  ck_assert_int_eq (put_bundle (4, 2, "left"), AB_FLEET_DUPLICATE);
  ck_assert_int_eq (put_bundle (4, 2, "right"), AB_FLEET_CONFLICT);
  ck_assert_uint_eq (ab_fleet_state_version (state), 4);
  ck_assert (
      ab_chunk_equal (ab_fleet_state_bundle (state), AB_CHUNK ("left")));
  ab_buf_free (&snapshot);
  ab_fleet_state_free (state);
}
END_TEST

/* Guards against late announcements that make a draining or removed target
   ready again.  */
START_TEST (draining_is_final_in_an_incarnation)
{
  create_state ();
  ck_assert_int_eq (announce ("t", "1.1.1.1:1", 100, 1, AB_FLEET_TARGET_READY),
                    AB_FLEET_ACCEPTED);
  ck_assert_int_eq (
      announce ("t", "1.1.1.1:1", 100, 5, AB_FLEET_TARGET_DRAINING),
      AB_FLEET_ACCEPTED);
  ck_assert_int_eq (announce ("t", "1.1.1.1:1", 100, 9, AB_FLEET_TARGET_READY),
                    AB_FLEET_DUPLICATE);
  ck_assert_int_eq (state_of ("t"), AB_FLEET_TARGET_DRAINING);
  ck_assert_int_eq (
      announce ("t", "1.1.1.1:1", 100, 0, AB_FLEET_TARGET_REMOVED),
      AB_FLEET_ACCEPTED);
  ck_assert_int_eq (
      announce ("t", "1.1.1.1:1", 100, 10, AB_FLEET_TARGET_DRAINING),
      AB_FLEET_DUPLICATE);
  ck_assert_int_eq (state_of ("t"), AB_FLEET_TARGET_REMOVED);
  /* A new incarnation with the same id starts its sequence anew.  */
  ck_assert_int_eq (announce ("t", "1.1.1.1:1", 200, 1, AB_FLEET_TARGET_READY),
                    AB_FLEET_ACCEPTED);
  ck_assert_int_eq (
      announce ("t", "1.1.1.1:1", 100, 99, AB_FLEET_TARGET_REMOVED),
      AB_FLEET_DUPLICATE);
  ck_assert_int_eq (state_of ("t"), AB_FLEET_TARGET_READY);
  ab_fleet_state_free (state);
}
END_TEST

/* Guards against requests to a target whose address another target has taken
   over, and against late announcements of the former owner.  */
START_TEST (address_belongs_to_the_newest)
{
  create_state ();
  announce ("old", "1.1.1.1:1", 100, 1, AB_FLEET_TARGET_READY);
  announce ("new", "1.1.1.1:1", 200, 1, AB_FLEET_TARGET_READY);
  ck_assert_int_eq (state_of ("old"), AB_FLEET_TARGET_REMOVED);
  ck_assert_int_eq (
      announce ("old", "1.1.1.1:1", 100, 2, AB_FLEET_TARGET_READY),
      AB_FLEET_DUPLICATE);
  ck_assert_int_eq (
      announce ("older", "1.1.1.1:1", 50, 7, AB_FLEET_TARGET_READY),
      AB_FLEET_DUPLICATE);
  ck_assert_ptr_null (ab_fleet_state_find (state, "older"));
  ck_assert_int_eq (state_of ("new"), AB_FLEET_TARGET_READY);
  ab_fleet_state_free (state);
}
END_TEST

static void
count_target (void *ctx, const struct ab_fleet_target *t)
{
  (void)t;
  ++*(size_t *)ctx;
}

/* Guards against a reader that misses a change.  */
START_TEST (reports_changes_since_an_index)
{
  size_t changes = 0;

  create_state ();
  announce ("a", "1.1.1.1:1", 1, 1, AB_FLEET_TARGET_READY);
  announce ("b", "1.1.1.1:2", 1, 1, AB_FLEET_TARGET_READY);
  announce ("a", "1.1.1.1:1", 1, 2, AB_FLEET_TARGET_READY);
  announce ("b", "1.1.1.1:2", 1, 2, AB_FLEET_TARGET_DRAINING);
  ab_fleet_state_changes (state, 0, count_target, &changes);
  ck_assert_uint_eq (changes, 2);
  changes = 0;
  ab_fleet_state_changes (state, 2, count_target, &changes);
  ck_assert_uint_eq (changes, 1);
  changes = 0;
  ab_fleet_state_changes (state, 4, count_target, &changes);
  ck_assert_uint_eq (changes, 0);
  ab_fleet_state_free (state);
}
END_TEST

/* Guards against commands that cannot be decoded and change the state.  */
START_TEST (ignores_unreadable_commands)
{
  struct ab_buf data = AB_BUF_INIT;

  create_state ();
  ab_buf_append_str (&data, "not msgpack");
  ck_assert_int_eq (apply (&data), AB_FLEET_UNUSABLE);
  ck_assert_int_eq (announce ("", "1.1.1.1:1", 1, 1, AB_FLEET_TARGET_READY),
                    AB_FLEET_UNUSABLE);
  ck_assert_uint_eq (ab_fleet_state_target_count (state), 0);
  ab_fleet_state_free (state);
}
END_TEST

SUITE_MAIN ("fleet_state", 10, one_bundle_accepted_per_base,
            draining_is_final_in_an_incarnation, address_belongs_to_the_newest,
            reports_changes_since_an_index, ignores_unreadable_commands)
