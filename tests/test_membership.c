/* Membership: the view under loss, partitions, freezes, restarts and storms of
   changes, over a simulated network and clock.  */

#include <check.h>
#include <stdlib.h>

#include "member_net_lib.h"

#define SMALL_FLEET 30
#define LARGE_FLEET 100
#define JOIN_LIMIT_MS 60000
/* From the requirements: control traffic of 3 KB/s, a leaving target gets no
   new requests after 3 s, a change is in force within 5 s.  */
#define RATE_LIMIT (3 * 1024)
#define DRAIN_LIMIT_MS 3000
#define CHANGE_LIMIT_MS 5000

static struct net net;

static void
start (size_t hosts, size_t targets, uint64_t seed)
{
  net_init (&net, hosts, targets, seed);
  ck_assert_uint_lt (net_converge (&net, JOIN_LIMIT_MS), JOIN_LIMIT_MS);
  /* Long enough for all hosts to have finished joining.  */
  net_run (&net, 12000);
}

static void
stop (void)
{
  net_free (&net);
}

static void
check_change_spreads (size_t hosts, uint64_t seed)
{
  start (hosts, 1, seed);
  net.loss = 0.02;
  net_announce (&net, 3, 0, 1);
  for (uint64_t ms = 0; ms < CHANGE_LIMIT_MS
                        && net_target_seen (&net, 0, AB_TARGET_ACTIVE) < hosts;
       ms += 10)
    net_run (&net, 10);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), hosts);
}

/* Guards against changes that do not reach all hosts, with 2% loss.  */
START_TEST (change_reaches_all)
{
  check_change_spreads (_i ? LARGE_FLEET : SMALL_FLEET, 11);
}
END_TEST

static bool
cut_4_to_7 (const struct net *n, size_t from, size_t to)
{
  (void)n;
  return from == 4 && to == 7;
}

/* Guards against a host that the fleet declares dead because of a cut in one
   direction between two hosts.  */
START_TEST (one_way_cut_declares_nobody_dead)
{
  start (SMALL_FLEET, 0, 12);
  net.cut = cut_4_to_7;
  net_run (&net, 120000);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    {
      ck_assert_uint_eq (net_host_seen (&net, i, AB_HOST_DEAD), 0);
      ck_assert_uint_eq (ab_membership_stats (net.nodes[i].m).declared_dead,
                         0);
    }
}
END_TEST

/* Guards against a frozen host that stays in the view, and against one that
   declares all others dead, or stays dead, when it resumes.  */
START_TEST (frozen_host_comes_back)
{
  start (SMALL_FLEET, 0, 13);
  net.nodes[5].frozen = true;
  net_run (&net, 20000);
  ck_assert_uint_eq (net_host_seen (&net, 5, AB_HOST_DEAD), SMALL_FLEET - 1);
  net.nodes[5].frozen = false;
  net_run (&net, 20000);
  ck_assert_uint_eq (net_host_seen (&net, 5, AB_HOST_ALIVE), SMALL_FLEET - 1);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    if (i != 5)
      ck_assert_uint_eq (net_host_seen (&net, i, AB_HOST_DEAD), 0);
  ck_assert_uint_eq (ab_membership_stats (net.nodes[5].m).declared_dead, 0);
}
END_TEST

/* Guards against a single suspecting host that gets others declared dead: host
   5 receives nothing, so that it misses all replies.  */
static bool
cut_into_host_5 (const struct net *n, size_t from, size_t to)
{
  (void)n;
  (void)from;
  return to == 5;
}

START_TEST (host_without_input_declares_nobody_dead)
{
  start (SMALL_FLEET, 0, 14);
  net.cut = cut_into_host_5;
  net_run (&net, 60000);
  ck_assert_uint_eq (ab_membership_stats (net.nodes[5].m).declared_dead, 0);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    if (i != 5)
      ck_assert_uint_eq (net_host_seen (&net, i, AB_HOST_DEAD), 0);
  net.cut = NULL;
  net_run (&net, 30000);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    ck_assert_uint_eq (net_host_seen (&net, i, AB_HOST_ALIVE),
                       SMALL_FLEET - 1);
}
END_TEST

/* Guards against old updates that override newer ones: the removal of an
   earlier incarnation, and the announcement from before a drain.  */
START_TEST (late_updates_never_win)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_item old = { .kind = AB_ITEM_TARGET, .version = 9 };
  struct ab_frame frame = { .type = AB_FRAME_DELTA,
                            .sender = AB_CHUNK ("host-2"),
                            .incarnation = 1001 };
  struct ab_target_view view = net_target (0, 7);

  start (SMALL_FLEET, 1, 15);
  net_announce (&net, 1, 0, 7);
  net_run (&net, 5000);
  old.incarnation = 6;
  old.target = net_target (0, 6);
  old.target.state = AB_TARGET_REMOVED;
  ab_item_update_hashes (&old);
  ab_pack_array (&body, 1);
  ab_item_pack (&old, &body);
  frame.body = ab_buf_chunk (&body);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    ab_membership_receive (net.nodes[i].m, &frame, net.now_ms);
  net_run (&net, 5000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL_FLEET);

  ab_membership_set_target_state (net.nodes[1].m, &view, AB_TARGET_DRAINING,
                                  net.now_ms);
  net_run (&net, 5000);
  old.incarnation = 7;
  old.version = 1;
  old.target = net_target (0, 7);
  ab_item_update_hashes (&old);
  ab_buf_clear (&body);
  ab_pack_array (&body, 1);
  ab_item_pack (&old, &body);
  frame.body = ab_buf_chunk (&body);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    ab_membership_receive (net.nodes[i].m, &frame, net.now_ms);
  net_run (&net, 5000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_DRAINING),
                     SMALL_FLEET);
  ab_buf_free (&body);
}
END_TEST

static bool
cut_between_regions (const struct net *n, size_t from, size_t to)
{
  (void)n;
  return from % NET_REGIONS != to % NET_REGIONS;
}

/* Guards against views that keep differing once a partition between the
   regions has healed.  */
START_TEST (partition_heals)
{
  start (SMALL_FLEET, 40, 16);
  net.cut = cut_between_regions;
  net_run (&net, 30000);
  for (size_t t = 0; t < 40; t++)
    net_announce (&net, t % SMALL_FLEET, t, 1);
  net_run (&net, 60000);
  ck_assert (!net_converged (&net));
  net.cut = NULL;
  ck_assert_uint_lt (net_converge (&net, JOIN_LIMIT_MS), JOIN_LIMIT_MS);
  for (size_t t = 0; t < 40; t++)
    ck_assert_uint_eq (net_target_seen (&net, t, AB_TARGET_ACTIVE),
                       SMALL_FLEET);
  for (size_t i = 0; i < SMALL_FLEET; i++)
    ck_assert_uint_eq (net_host_seen (&net, i, AB_HOST_ALIVE),
                       SMALL_FLEET - 1);
}
END_TEST

/* Guards against a storm of announcements that exceeds the budget for control
   traffic in any 5 s, or does not reach all hosts.  */
START_TEST (storm_keeps_to_the_budget)
{
  uint64_t before[SMALL_FLEET];

  start (SMALL_FLEET, 100, 17);
  for (size_t t = 0; t < 100; t++)
    net_announce (&net, t % SMALL_FLEET, t, 1);
  for (int window = 0; window < 8; window++)
    {
      for (size_t i = 0; i < SMALL_FLEET; i++)
        before[i] = ab_membership_stats (net.nodes[i].m).bytes_sent;
      net_run (&net, 5000);
      for (size_t i = 0; i < SMALL_FLEET; i++)
        ck_assert_uint_le (ab_membership_stats (net.nodes[i].m).bytes_sent
                               - before[i],
                           5 * RATE_LIMIT);
    }
  for (size_t t = 0; t < 100; t++)
    ck_assert_uint_eq (net_target_seen (&net, t, AB_TARGET_ACTIVE),
                       SMALL_FLEET);
}
END_TEST

/* Guards against targets that are removed with their registrar before they
   could announce themselves to another one, and against targets that are kept
   for ever when they did not.  */
START_TEST (targets_outlive_their_registrar)
{
  start (SMALL_FLEET, 2, 18);
  net_announce (&net, 5, 0, 1);
  net_announce (&net, 5, 1, 1);
  net_run (&net, 5000);
  net_stop (&net, 5);
  net_run (&net, 2 * NET_LEASE_MS);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE),
                     SMALL_FLEET - 1);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_ACTIVE),
                     SMALL_FLEET - 1);
  net_announce (&net, 6, 0, 1);
  /* Host 5 is found unresponsive, suspected, declared dead; then two lease
     times pass.  */
  net_run (&net, 10000 + 2 * NET_LEASE_MS + 2000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE),
                     SMALL_FLEET - 1);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_REMOVED),
                     SMALL_FLEET - 1);
}
END_TEST

/* Guards against a restarted registrar that keeps targets which do not
   announce themselves again.  */
START_TEST (restarted_registrar_drops_targets)
{
  start (SMALL_FLEET, 2, 19);
  net_announce (&net, 5, 0, 1);
  net_announce (&net, 5, 1, 1);
  net_run (&net, 5000);
  net_stop (&net, 5);
  net_run (&net, 500);
  net_start (&net, 5);
  net_run (&net, 3000);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 2 * NET_LEASE_MS + 8000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL_FLEET);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_REMOVED),
                     SMALL_FLEET);
}
END_TEST

/* Guards against an earlier registrar that removes a target when the old lease
   expires, although the target has moved to another registrar.  */
START_TEST (moved_target_survives_late_expiry)
{
  struct ab_target_view view = net_target (0, 1);

  start (SMALL_FLEET, 1, 20);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 5000);
  net_announce (&net, 6, 0, 1);
  ab_membership_set_target_state (net.nodes[5].m, &view, AB_TARGET_REMOVED,
                                  net.now_ms);
  net_run (&net, 10000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL_FLEET);
}
END_TEST

/* Guards against a drain that some host does not know within 3 s, with 10%
   loss and a storm of announcements at the same time.  */
START_TEST (drain_is_known_in_time)
{
  struct ab_target_view view = net_target (0, 1);

  start (SMALL_FLEET, 101, 21 + (uint64_t)_i);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 5000);
  net.loss = 0.1;
  for (size_t t = 1; t <= 100; t++)
    net_announce (&net, t % SMALL_FLEET, t, 1);
  ab_membership_set_target_state (net.nodes[5].m, &view, AB_TARGET_DRAINING,
                                  net.now_ms);
  net_run (&net, DRAIN_LIMIT_MS);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_DRAINING),
                     SMALL_FLEET);
}
END_TEST

/* Guards against a restarted host that does not get the whole view.  */
START_TEST (restarted_host_gets_the_view)
{
  net_init (&net, SMALL_FLEET, 1000, 51);
  net_preload (&net);
  net_run (&net, 20000);
  ck_assert (net_converged (&net));
  net_stop (&net, SMALL_FLEET - 1);
  net_run (&net, 1000);
  net_start (&net, SMALL_FLEET - 1);
  ck_assert_uint_lt (net_converge (&net, CHANGE_LIMIT_MS), CHANGE_LIMIT_MS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("membership");
  TCase *tcase = tcase_create ("membership");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, NULL, stop);
  tcase_set_timeout (tcase, 240);
  tcase_add_loop_test (tcase, change_reaches_all, 0, 2);
  tcase_add_test (tcase, one_way_cut_declares_nobody_dead);
  tcase_add_test (tcase, frozen_host_comes_back);
  tcase_add_test (tcase, host_without_input_declares_nobody_dead);
  tcase_add_test (tcase, late_updates_never_win);
  tcase_add_test (tcase, partition_heals);
  tcase_add_test (tcase, storm_keeps_to_the_budget);
  tcase_add_test (tcase, targets_outlive_their_registrar);
  tcase_add_test (tcase, restarted_registrar_drops_targets);
  tcase_add_test (tcase, moved_target_survives_late_expiry);
  tcase_add_loop_test (tcase, drain_is_known_in_time, 0, 8);
  tcase_add_test (tcase, restarted_host_gets_the_view);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
