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

  ab_chunk_copy_bounded (ab_chunk_str (id), t.id, sizeof t.id);
  ab_chunk_copy_bounded (ab_chunk_str (address), t.address, sizeof t.address);
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

/* Requests that crash targets.  */

static struct ab_digest poison;

static void
pack_crash (struct ab_buf *data, const char *crashed)
{
  struct ab_fleet_report report = { .kind = AB_FLEET_REPORT_CRASHED,
                                    .content = poison,
                                    .crash = { .incarnation = 1 },
                                    .label = "GET x/" };

  ab_chunk_copy_bounded (ab_chunk_str (crashed), report.crash.target,
                         sizeof report.crash.target);
  ab_fleet_pack_report (data, &report);
}

static enum ab_fleet_result
report_crash (uint64_t wall_ms, const char *crashed)
{
  struct ab_buf data = AB_BUF_INIT;

  ab_fleet_pack_reports (&data, wall_ms, 1);
  pack_crash (&data, crashed);
  return apply (&data);
}

static void
release_poison (uint64_t wall_ms)
{
  struct ab_fleet_report report
      = { .kind = AB_FLEET_REPORT_RELEASED, .content = poison };
  struct ab_buf data = AB_BUF_INIT;

  ab_fleet_pack_reports (&data, wall_ms, 1);
  ab_fleet_pack_report (&data, &report);
  ck_assert_int_eq (apply (&data), AB_FLEET_ACCEPTED);
}

static void
keep_record (void *ctx, const struct ab_quarantine_record *record)
{
  *(struct ab_quarantine_record *)ctx = *record;
}

/* Returns the record that changed after INDEX; its stamp is 0 if none did.  */
static struct ab_quarantine_record
changed_after (uint64_t index)
{
  struct ab_quarantine_record record = { .stamp = 0 };

  ab_fleet_state_quarantine_changes (state, index, keep_record, &record);
  return record;
}

static uint64_t
poison_blocked_ms (uint64_t now_ms)
{
  return ab_quarantine_blocked_ms (ab_fleet_state_quarantine (state), &poison,
                                   now_ms);
}

/* Replaces the state by one that is loaded from its snapshot.  */
static void
restart (void)
{
  struct ab_buf snapshot = AB_BUF_INIT;

  ck_assert_int_eq (ab_fleet_state_save (state, &snapshot), 0);
  ab_fleet_state_free (state);
  state = ab_fleet_state_new ();
  ck_assert_int_eq (ab_fleet_state_load (state, ab_buf_chunk (&snapshot)), 0);
  ab_buf_free (&snapshot);
}

/* Guards against crashes that are forgotten with a restart, and against
   readers that miss a change or get it again.  */
START_TEST (crash_reports_are_kept)
{
  create_state ();
  poison = ab_digest_of (AB_CHUNK ("poison"));
  restart ();
  ck_assert_ptr_null (ab_fleet_state_quarantine (state));
  ck_assert_int_eq (report_crash (100000, "t1"), AB_FLEET_ACCEPTED);
  ck_assert_uint_eq (changed_after (0).stamp, last_index);
  ck_assert_uint_eq (changed_after (last_index).stamp, 0);
  restart ();
  /* A proposer whose clock is behind does not turn time back.  */
  ck_assert_int_eq (report_crash (99000, "t2"), AB_FLEET_ACCEPTED);
  ck_assert_uint_eq (poison_blocked_ms (100000), AB_QUARANTINE_BLOCK_MS);
  restart ();
  ck_assert_uint_eq (poison_blocked_ms (100000), AB_QUARANTINE_BLOCK_MS);
  ck_assert_uint_eq (changed_after (0).stamp, last_index);
  ck_assert_uint_eq (changed_after (0).crash_count, 2);
  ck_assert_str_eq (changed_after (0).label, "GET x/");
  ab_fleet_state_free (state);
}
END_TEST

/* Guards against a released content that stays blocked on some hosts, that one
   late copy of an old report blocks again, or that is never blocked again.  */
START_TEST (released_content_is_announced)
{
  uint64_t blocked_index;

  create_state ();
  poison = ab_digest_of (AB_CHUNK ("poison"));
  report_crash (100000, "t1");
  report_crash (101000, "t2");
  blocked_index = last_index;
  release_poison (102000);
  ck_assert_uint_eq (poison_blocked_ms (102000), 0);
  ck_assert (changed_after (blocked_index).cleared);
  restart ();
  ck_assert (changed_after (blocked_index).cleared);
  report_crash (120000, "t2");
  ck_assert_uint_eq (poison_blocked_ms (120000), 0);
  report_crash (121000, "t3");
  ck_assert_uint_gt (poison_blocked_ms (121000), 0);
  ab_fleet_state_free (state);
}
END_TEST

/* Guards against a damaged report that stops a control host.  */
START_TEST (damaged_reports_change_nothing)
{
  struct ab_buf data = AB_BUF_INIT;
  enum ab_fleet_result result;

  create_state ();
  poison = ab_digest_of (AB_CHUNK ("poison"));
  ab_fleet_pack_reports (&data, 100000, 2);
  pack_crash (&data, "t1");
  ab_pack_u64 (&data, 7);
  apply (&data);
  ck_assert_uint_eq (ab_quarantine_records (ab_fleet_state_quarantine (state)),
                     1);
  ab_fleet_pack_reports (&data, 100000, 1);
  pack_crash (&data, "t1");
  for (size_t i = 0; i < data.len; i++)
    for (unsigned bit = 0; bit < 8; bit++)
      {
        data.data[i] ^= (char)(1 << bit);
        ck_assert_int_eq (ab_fleet_state_apply (state, ++last_index,
                                                ab_buf_chunk (&data), &result),
                          0);
        data.data[i] ^= (char)(1 << bit);
      }
  ab_buf_free (&data);
  restart ();
  ab_fleet_state_free (state);
}
END_TEST

SUITE_MAIN ("fleet_state", 10, one_bundle_accepted_per_base,
            draining_is_final_in_an_incarnation, address_belongs_to_the_newest,
            reports_changes_since_an_index, ignores_unreadable_commands,
            crash_reports_are_kept, released_content_is_announced,
            damaged_reports_change_nothing)
