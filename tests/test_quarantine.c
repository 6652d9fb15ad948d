/* Recognition of requests that crash targets.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_quarantine.h"
#include "quarantine.h"
#include "rng.h"
#include "suite_lib.h"

static unsigned marks;
static unsigned blocks;
static unsigned lifts;
static struct ab_digest blocked;
static uint64_t blocked_ms;

static void
on_mark (void *ctx, const struct ab_quarantine_record *record,
         const struct ab_quarantine_crash *crash)
{
  (void)ctx;
  (void)record;
  (void)crash;
  marks++;
}

static void
on_block (void *ctx, const struct ab_quarantine_record *record,
          const char *crashed, uint64_t duration_ms)
{
  (void)ctx;
  ck_assert_uint_ge (record->crash_count, 2);
  if (record->crash_count == 2)
    ck_assert_str_ne (record->crashes[0].target, crashed);
  blocks++;
  blocked = record->content;
  blocked_ms = duration_ms;
}

static void
on_lift (void *ctx, const struct ab_quarantine_record *record)
{
  (void)ctx;
  ck_assert (ab_digest_equal (&record->content, &blocked));
  lifts++;
}

static const struct ab_quarantine_ops ops
    = { .mark = on_mark, .block = on_block, .lift = on_lift };
static struct ab_quarantine *quarantine;
static struct ab_digest poison;
static struct ab_digest innocent;

static void
start (void)
{
  marks = 0;
  blocks = 0;
  lifts = 0;
  ck_assert_int_eq (ab_crypto_init (), 0);
  poison = ab_digest_of (AB_CHUNK ("poison"));
  innocent = ab_digest_of (AB_CHUNK ("innocent"));
  quarantine = ab_quarantine_new (&ops, NULL);
}

/* Loses a request with CONTENT at TARGET, which then refuses connections.  */
static void
crash (const char *target, const struct ab_digest *content, uint64_t now)
{
  ab_quarantine_lost (quarantine, target, 1, content, "", now);
  ab_quarantine_refused (quarantine, target, now + 50);
}

/* Reports what another host saw; it does not know the incarnation.  */
static void
report (const char *target, const struct ab_digest *content, uint64_t now)
{
  struct ab_quarantine_crash crash = { .incarnation = 0 };

  ab_chunk_copy_bounded (ab_chunk_str (target), crash.target,
                         sizeof crash.target);
  ab_quarantine_reported (quarantine, &crash, content, "", now);
}

/* Guards against letting a request crash a third target.  */
START_TEST (two_targets_block)
{
  start ();
  crash ("t1", &poison, 1000);
  ck_assert_uint_eq (blocks, 0);
  crash ("t2", &poison, 2000);
  ck_assert_uint_eq (blocks, 1);
  ck_assert (ab_digest_equal (&blocked, &poison));
  ck_assert_uint_eq (blocked_ms, AB_QUARANTINE_BLOCK_MS);
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against blocking content because one target crashes again and again
   by itself, because of lost connections to targets that stay up, or because
   of crashes that come too long after the loss.  */
START_TEST (no_block_without_two_crashes)
{
  start ();
  crash ("t1", &poison, 1000);
  crash ("t1", &poison, 5000);
  ab_quarantine_lost (quarantine, "t2", 1, &poison, "", 6000);
  ab_quarantine_announced (quarantine, "t2", 1, 6100);
  ab_quarantine_refused (quarantine, "t2", 6001 + AB_QUARANTINE_CONFIRM_MS);
  ck_assert_uint_eq (blocks, 0);
  ck_assert_uint_eq (marks, 1);
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against missing the crash of a target that restarts before it is
   probed, and a loss that is seen only after the refusal.  */
START_TEST (restart_and_late_loss_count)
{
  start ();
  ab_quarantine_lost (quarantine, "t1", 1, &poison, "", 1000);
  ab_quarantine_announced (quarantine, "t1", 2, 1500);
  ck_assert_uint_eq (marks, 1);
  crash ("t2", &innocent, 3000);
  ab_quarantine_lost (quarantine, "t2", 1, &poison, "", 3100);
  ck_assert_uint_eq (blocks, 1);
  ck_assert (ab_digest_equal (&blocked, &poison));
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against blocking a request that was in flight at the same time as the
   crashing one: it was present at one crash only, or was answered in
   between.  */
START_TEST (unrelated_request_is_not_blocked)
{
  struct ab_digest other = ab_digest_of (AB_CHUNK ("other"));

  start ();
  ab_quarantine_lost (quarantine, "t1", 1, &innocent, "", 1000);
  ab_quarantine_lost (quarantine, "t1", 1, &other, "", 1000);
  crash ("t1", &poison, 1001);
  ck_assert_uint_eq (marks, 3);
  ab_quarantine_answered (quarantine, &innocent, 1500);
  ab_quarantine_lost (quarantine, "t2", 1, &innocent, "", 2000);
  crash ("t2", &poison, 2001);
  ck_assert_uint_eq (blocks, 1);
  ck_assert (ab_digest_equal (&blocked, &poison));
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against missing a request whose crashes were seen by two different
   hosts.  */
START_TEST (crashes_seen_by_two_hosts_count)
{
  start ();
  report ("t1", &poison, 1000);
  ck_assert_uint_eq (marks + blocks, 0);
  crash ("t2", &poison, 2000);
  ck_assert_uint_eq (blocks, 1);
  /* A host that did not know of the block yet reports one more crash.  */
  report ("t3", &poison, 3050);
  ck_assert_uint_eq (blocks, 2);
  ck_assert_uint_eq (blocked_ms, AB_QUARANTINE_BLOCK_MS - 1000);
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against marks and blocks that never expire, and against letting
   content that was blocked before crash two targets after each block.  */
START_TEST (marks_expire_and_block_grows)
{
  uint64_t now = 1000;

  start ();
  crash ("t1", &poison, now);
  now += AB_QUARANTINE_MARK_MS + 100;
  ab_quarantine_tick (quarantine, now);
  ck_assert_uint_eq (ab_quarantine_records (quarantine), 0);
  crash ("t2", &poison, now);
  ck_assert_uint_eq (blocks, 0);
  crash ("t3", &poison, now + 1000);
  ck_assert_uint_eq (blocks, 1);
  crash ("t4", &poison, now + 2000);
  ck_assert_uint_eq (blocks, 1);
  crash ("t4", &poison, now + AB_QUARANTINE_BLOCK_MS + 2000);
  ck_assert_uint_eq (blocks, 2);
  ck_assert_uint_eq (blocked_ms, 2 * AB_QUARANTINE_BLOCK_MS);
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against blocking content that is in flight at each crash because it
   is sent all the time, and answered.  */
START_TEST (content_in_use_is_not_blocked)
{
  start ();
  ab_quarantine_lost (quarantine, "t1", 1, &innocent, "", 1000);
  ab_quarantine_lost (quarantine, "t2", 1, &innocent, "", 1000);
  ab_quarantine_answered (quarantine, &innocent, 1010);
  ab_quarantine_announced (quarantine, "t1", 2, 1500);
  ab_quarantine_announced (quarantine, "t2", 2, 1500);
  ck_assert_uint_eq (marks + blocks, 0);
  crash ("t3", &innocent, 2000);
  crash ("t4", &innocent, 3000);
  ck_assert_uint_eq (marks + blocks, 0);
  ck_assert (ab_quarantine_was_answered (quarantine, &innocent, 4010));
  ck_assert (!ab_quarantine_was_answered (quarantine, &poison, 4010));
  /* Content may begin to crash targets at any time.  */
  crash ("t5", &innocent, 5000);
  crash ("t6", &innocent, 6000);
  ck_assert_uint_eq (marks, 2);
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against blocking content that two restarts hit by chance, among
   others that do not.  */
START_TEST (other_crashes_need_a_third)
{
  start ();
  crash ("t1", &poison, 1000);
  crash ("t2", &innocent, 2000);
  crash ("t3", &poison, 3000);
  ck_assert_uint_eq (blocks, 0);
  crash ("t4", &poison, 4000);
  ck_assert_uint_eq (blocks, 1);
  ck_assert (ab_digest_equal (&blocked, &poison));
  /* Crashes that are long past do not count.  */
  crash ("t5", &innocent, 4000 + 2 * AB_QUARANTINE_OTHERS_MS);
  ck_assert_uint_eq (blocks, 2);
  ck_assert (ab_digest_equal (&blocked, &innocent));
  ab_quarantine_free (quarantine);
}
END_TEST

/* Guards against blocking content that was lost in the same two crashes as the
   one that caused them.  */
START_TEST (same_crashes_need_a_third)
{
  start ();
  ab_quarantine_lost (quarantine, "t1", 1, &innocent, "", 1000);
  crash ("t1", &poison, 1000);
  ab_quarantine_lost (quarantine, "t2", 1, &innocent, "", 2000);
  crash ("t2", &poison, 2000);
  ck_assert_uint_eq (blocks, 1);
  ck_assert_uint_eq (lifts, 1);
  ck_assert_uint_eq (ab_quarantine_blocked (quarantine, 2100), 0);
  crash ("t3", &poison, 3000);
  ck_assert_uint_eq (blocks, 2);
  ck_assert (ab_digest_equal (&blocked, &poison));
  ck_assert_uint_eq (ab_quarantine_blocked_ms (quarantine, &innocent, 3100),
                     0);
  ab_quarantine_free (quarantine);
}
END_TEST

static void
crash_incarnation (const char *target, uint64_t incarnation, uint64_t now)
{
  ab_quarantine_lost (quarantine, target, incarnation, &poison, "", now);
  ab_quarantine_announced (quarantine, target, incarnation + 1, now + 50);
}

/* Guards against a request that ends the only target of a service without
   end.  */
START_TEST (three_incarnations_of_one_target_block)
{
  struct ab_quarantine_crash again = { .target = "t1", .incarnation = 2 };

  start ();
  crash_incarnation ("t1", 1, 1000);
  crash_incarnation ("t1", 2, 2000);
  /* The same crash as seen by another host.  */
  ab_quarantine_reported (quarantine, &again, &poison, "", 2100);
  ck_assert_uint_eq (blocks, 0);
  crash_incarnation ("t1", 3, 3000);
  ck_assert_uint_eq (blocks, 1);
  ab_quarantine_free (quarantine);
}
END_TEST

static struct ab_quarantine *
copy_quarantine (const struct ab_quarantine *from)
{
  static const struct ab_quarantine_ops no_ops = { .mark = NULL };
  struct ab_quarantine *copy = ab_quarantine_new (&no_ops, NULL);
  struct ab_buf data = AB_BUF_INIT;
  struct ab_reader reader;

  ab_fleet_save_quarantine (&data, from);
  ck_assert_int_eq (ab_reader_init (&reader, ab_buf_chunk (&data)), 0);
  ck_assert_int_eq (ab_fleet_load_quarantine (&reader, copy), 0);
  ab_reader_free (&reader);
  ab_buf_free (&data);
  return copy;
}

static void
check_equal (const struct ab_quarantine *a, const struct ab_quarantine *b)
{
  struct ab_buf data_a = AB_BUF_INIT;
  struct ab_buf data_b = AB_BUF_INIT;

  ab_fleet_save_quarantine (&data_a, a);
  ab_fleet_save_quarantine (&data_b, b);
  ck_assert (ab_chunk_equal (ab_buf_chunk (&data_a), ab_buf_chunk (&data_b)));
  ab_buf_free (&data_a);
  ab_buf_free (&data_b);
}

#define REPORTS 3000
#define CONTENTS 900

/* Guards against replicas that differ, also after one was restored from a
   snapshot, and against records without bound.  */
START_TEST (replicas_stay_equal)
{
  static const struct ab_quarantine_ops no_ops = { .mark = NULL };
  struct ab_quarantine *a = ab_quarantine_new (&no_ops, NULL);
  struct ab_quarantine *b = ab_quarantine_new (&no_ops, NULL);
  struct ab_rng rng;

  ck_assert_int_eq (ab_crypto_init (), 0);
  ab_rng_init_seeded (&rng, 11);
  for (uint64_t i = 1; i <= REPORTS; i++)
    {
      struct ab_fleet_report report = { .kind = AB_FLEET_REPORT_CRASHED };
      uint64_t content = ab_rng_below (&rng, CONTENTS);
      uint64_t now = i * 200;
      report.content = ab_digest_of (ab_chunk (&content, sizeof content));
      if (ab_rng_below (&rng, 8) == 0)
        report.kind = AB_FLEET_REPORT_ANSWERED;
      snprintf (report.crash.target, sizeof report.crash.target, "t%d",
                (int)ab_rng_below (&rng, 40));
      report.crash.incarnation = 1 + ab_rng_below (&rng, 3);
      if (i % 500 == 0)
        {
          ab_quarantine_free (b);
          b = copy_quarantine (a);
        }
      ab_quarantine_set_stamp (a, i);
      ab_quarantine_set_stamp (b, i);
      ab_quarantine_tick (a, now);
      ab_quarantine_tick (b, now);
      ab_fleet_report_apply (a, &report, now);
      ab_fleet_report_apply (b, &report, now);
      ck_assert_uint_le (ab_quarantine_records (a), AB_QUARANTINE_RECORDS_MAX);
    }
  ck_assert_uint_gt (ab_quarantine_records (a), CONTENTS / 4);
  check_equal (a, b);
  ab_quarantine_free (a);
  ab_quarantine_free (b);
}
END_TEST

/* Guards against a host that does not follow the decision of the group, or
   gives its own up before the group knows what it is based on.  */
START_TEST (decisions_of_the_group_are_merged)
{
  struct ab_quarantine_record record = { .crash_count = 1, .stamp = 5 };

  start ();
  record.content = poison;
  crash ("t1", &poison, 1000);
  crash ("t2", &poison, 2000);
  record.crashes[0]
      = (struct ab_quarantine_crash){ .target = "t1", .incarnation = 1 };
  ck_assert (!ab_quarantine_merge (quarantine, &record, 2200));
  ck_assert_uint_gt (ab_quarantine_blocked_ms (quarantine, &poison, 2200), 0);
  record.crash_count = 2;
  record.crashes[1]
      = (struct ab_quarantine_crash){ .target = "t2", .incarnation = 1 };
  ck_assert (!ab_quarantine_merge (quarantine, &record, 2300));
  ck_assert_uint_eq (ab_quarantine_blocked_ms (quarantine, &poison, 2300), 0);
  record.blocks = 1;
  record.blocked_until_ms = 5000;
  ck_assert (ab_quarantine_merge (quarantine, &record, 2400));
  ck_assert_uint_eq (ab_quarantine_blocked_ms (quarantine, &poison, 2400),
                     2600);
  ck_assert (ab_quarantine_may_have (quarantine, poison.bytes));
  record.cleared = true;
  ck_assert (!ab_quarantine_merge (quarantine, &record, 2500));
  ck_assert_uint_eq (ab_quarantine_records (quarantine), 0);
  ck_assert (!ab_quarantine_may_have (quarantine, poison.bytes));
  ab_quarantine_free (quarantine);
}
END_TEST

SUITE_MAIN ("quarantine", 10, two_targets_block, no_block_without_two_crashes,
            restart_and_late_loss_count, unrelated_request_is_not_blocked,
            crashes_seen_by_two_hosts_count, marks_expire_and_block_grows,
            content_in_use_is_not_blocked, other_crashes_need_a_third,
            same_crashes_need_a_third, three_incarnations_of_one_target_block,
            replicas_stay_equal, decisions_of_the_group_are_merged)
