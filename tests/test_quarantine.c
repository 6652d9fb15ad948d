/* Recognition of requests that crash targets.  */

#include <check.h>
#include <stdlib.h>

#include "quarantine.h"
#include "suite_lib.h"

static unsigned marks;
static unsigned blocks;
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
  ck_assert_str_ne (record->crashes[0].target, crashed);
  blocks++;
  blocked = record->content;
  blocked_ms = duration_ms;
}

static const struct ab_quarantine_ops ops
    = { .mark = on_mark, .block = on_block };
static struct ab_quarantine *quarantine;
static struct ab_digest poison;
static struct ab_digest innocent;

static void
start (void)
{
  marks = 0;
  blocks = 0;
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

  ab_chunk_copy (ab_chunk_str (target), crash.target, sizeof crash.target);
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
  ab_quarantine_answered (quarantine, &innocent);
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

SUITE_MAIN ("quarantine", 10, two_targets_block, no_block_without_two_crashes,
            restart_and_late_loss_count, unrelated_request_is_not_blocked,
            crashes_seen_by_two_hosts_count, marks_expire_and_block_grows)
