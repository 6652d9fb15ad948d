/* Membership: what the view must survive, over a fake network and clock.  */

#include <check.h>
#include <stdlib.h>

#include "member_net_lib.h"

#define SMALL 30
#define LARGE 100
#define JOIN_LIMIT_MS 60000
/* From the requirements: 3 KB/s for control, a leaving target gets no new work
   after 3 s, a change is in force within 5 s.  */
#define RATE_LIMIT (3 * 1024)
#define DRAIN_LIMIT_MS 3000
#define CHANGE_LIMIT_MS 5000

static struct net net;

static void
start (size_t hosts, size_t targets, uint64_t seed)
{
  net_init (&net, hosts, targets, seed);
  ck_assert_uint_lt (net_converge (&net, JOIN_LIMIT_MS), JOIN_LIMIT_MS);
  /* Everybody is past the time in which a view is fetched.  */
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
  check_change_spreads (_i ? LARGE : SMALL, 11);
}
END_TEST

static bool
one_way (const struct net *n, size_t from, size_t to)
{
  (void)n;
  return from == 4 && to == 7;
}

/* Guards against a one-way cut between two hosts that makes either of them
   gone for the fleet.  */
START_TEST (one_way_cut_declares_nobody_gone)
{
  start (SMALL, 0, 12);
  net.cut = one_way;
  net_run (&net, 120000);
  for (size_t i = 0; i < SMALL; i++)
    {
      ck_assert_uint_eq (net_seen_as (&net, i, AB_HOST_GONE), 0);
      ck_assert_uint_eq (ab_membership_stats (net.nodes[i].m).declared_gone,
                         0);
    }
}
END_TEST

/* Guards against a frozen host that stays in the view, and against one that
   declares all others gone when it goes on, or does not come back.  */
START_TEST (frozen_host_comes_back)
{
  start (SMALL, 0, 13);
  net.nodes[5].frozen = true;
  net_run (&net, 20000);
  ck_assert_uint_eq (net_seen_as (&net, 5, AB_HOST_GONE), SMALL - 1);
  net.nodes[5].frozen = false;
  net_run (&net, 20000);
  ck_assert_uint_eq (net_seen_as (&net, 5, AB_HOST_ALIVE), SMALL - 1);
  for (size_t i = 0; i < SMALL; i++)
    if (i != 5)
      ck_assert_uint_eq (net_seen_as (&net, i, AB_HOST_GONE), 0);
  ck_assert_uint_eq (ab_membership_stats (net.nodes[5].m).declared_gone, 0);
}
END_TEST

/* Guards against an accuser that gets a host declared gone alone: host 5 hears
   nobody, so that it misses all answers.  */
static bool
deaf (const struct net *n, size_t from, size_t to)
{
  (void)n;
  (void)from;
  return to == 5;
}

START_TEST (deaf_host_declares_nobody_gone)
{
  start (SMALL, 0, 14);
  net.cut = deaf;
  net_run (&net, 60000);
  ck_assert_uint_eq (ab_membership_stats (net.nodes[5].m).declared_gone, 0);
  for (size_t i = 0; i < SMALL; i++)
    if (i != 5)
      ck_assert_uint_eq (net_seen_as (&net, i, AB_HOST_GONE), 0);
  net.cut = NULL;
  net_run (&net, 30000);
  for (size_t i = 0; i < SMALL; i++)
    ck_assert_uint_eq (net_seen_as (&net, i, AB_HOST_ALIVE), SMALL - 1);
}
END_TEST

/* Guards against late news that wins: the drain of an earlier incarnation, and
   the announcement from before the drain.  */
START_TEST (late_news_never_wins)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_item old = { .kind = AB_ITEM_TARGET, .version = 9 };
  struct ab_frame frame = { .type = AB_FRAME_DELTA,
                            .sender = AB_CHUNK ("host-2"),
                            .incarnation = 1001 };
  struct ab_target_view view = net_target (0, 7);

  start (SMALL, 1, 15);
  net_announce (&net, 1, 0, 7);
  net_run (&net, 5000);
  old.incarnation = 6;
  old.target = net_target (0, 6);
  old.target.state = AB_TARGET_GONE;
  ab_item_seal (&old);
  ab_pack_array (&body, 1);
  ab_item_pack (&old, &body);
  frame.body = ab_buf_chunk (&body);
  for (size_t i = 0; i < SMALL; i++)
    ab_membership_receive (net.nodes[i].m, &frame, net.now_ms);
  net_run (&net, 5000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL);

  ab_membership_set_target_state (net.nodes[1].m, &view, AB_TARGET_DRAINING,
                                  net.now_ms);
  net_run (&net, 5000);
  old.incarnation = 7;
  old.version = 1;
  old.target = net_target (0, 7);
  ab_item_seal (&old);
  ab_buf_clear (&body);
  ab_pack_array (&body, 1);
  ab_item_pack (&old, &body);
  frame.body = ab_buf_chunk (&body);
  for (size_t i = 0; i < SMALL; i++)
    ab_membership_receive (net.nodes[i].m, &frame, net.now_ms);
  net_run (&net, 5000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_DRAINING), SMALL);
  ab_buf_free (&body);
}
END_TEST

static bool
split (const struct net *n, size_t from, size_t to)
{
  (void)n;
  return from % NET_REGIONS != to % NET_REGIONS;
}

/* Guards against views that stay apart once a partition between the regions
   has healed.  */
START_TEST (partition_heals)
{
  start (SMALL, 40, 16);
  net.cut = split;
  net_run (&net, 30000);
  for (size_t t = 0; t < 40; t++)
    net_announce (&net, t % SMALL, t, 1);
  net_run (&net, 60000);
  ck_assert (!net_converged (&net));
  net.cut = NULL;
  ck_assert_uint_lt (net_converge (&net, JOIN_LIMIT_MS), JOIN_LIMIT_MS);
  for (size_t t = 0; t < 40; t++)
    ck_assert_uint_eq (net_target_seen (&net, t, AB_TARGET_ACTIVE), SMALL);
  for (size_t i = 0; i < SMALL; i++)
    ck_assert_uint_eq (net_seen_as (&net, i, AB_HOST_ALIVE), SMALL - 1);
}
END_TEST

/* Guards against a storm of announcements that takes more than the budget for
   control traffic in any 5 s, or that does not settle.  */
START_TEST (storm_keeps_to_the_budget)
{
  uint64_t before[SMALL];

  start (SMALL, 100, 17);
  for (size_t t = 0; t < 100; t++)
    net_announce (&net, t % SMALL, t, 1);
  for (int window = 0; window < 8; window++)
    {
      for (size_t i = 0; i < SMALL; i++)
        before[i] = ab_membership_stats (net.nodes[i].m).bytes_sent;
      net_run (&net, 5000);
      for (size_t i = 0; i < SMALL; i++)
        ck_assert_uint_le (ab_membership_stats (net.nodes[i].m).bytes_sent
                               - before[i],
                           5 * RATE_LIMIT);
    }
  for (size_t t = 0; t < 100; t++)
    ck_assert_uint_eq (net_target_seen (&net, t, AB_TARGET_ACTIVE), SMALL);
}
END_TEST

/* Guards against targets lost with their registrar before they could move, and
   against targets kept for ever when they did not move.  */
START_TEST (targets_outlive_their_registrar)
{
  start (SMALL, 2, 18);
  net_announce (&net, 5, 0, 1);
  net_announce (&net, 5, 1, 1);
  net_run (&net, 5000);
  net_stop (&net, 5);
  net_run (&net, 2 * NET_LEASE_MS);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL - 1);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_ACTIVE), SMALL - 1);
  net_announce (&net, 6, 0, 1);
  /* Found missing, suspected, gone; then two leases.  */
  net_run (&net, 10000 + 2 * NET_LEASE_MS + 2000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL - 1);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_GONE), SMALL - 1);
}
END_TEST

/* Guards against a restarted registrar that keeps targets which never come
   back to it.  */
START_TEST (restarted_registrar_drops_targets)
{
  start (SMALL, 2, 19);
  net_announce (&net, 5, 0, 1);
  net_announce (&net, 5, 1, 1);
  net_run (&net, 5000);
  net_stop (&net, 5);
  net_run (&net, 500);
  net_start (&net, 5);
  net_run (&net, 3000);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 2 * NET_LEASE_MS + 8000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL);
  ck_assert_uint_eq (net_target_seen (&net, 1, AB_TARGET_GONE), SMALL);
}
END_TEST

/* Guards against an earlier registrar whose late expiry ends a target that has
   moved.  */
START_TEST (moved_target_survives_late_expiry)
{
  struct ab_target_view view = net_target (0, 1);

  start (SMALL, 1, 20);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 5000);
  net_announce (&net, 6, 0, 1);
  ab_membership_set_target_state (net.nodes[5].m, &view, AB_TARGET_GONE,
                                  net.now_ms);
  net_run (&net, 10000);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_ACTIVE), SMALL);
}
END_TEST

/* Guards against a drain that is not known everywhere within 3 s, with 10%
   loss and a storm of announcements at the same time.  */
START_TEST (drain_is_known_in_time)
{
  struct ab_target_view view = net_target (0, 1);

  start (SMALL, 101, 21 + (uint64_t)_i);
  net_announce (&net, 5, 0, 1);
  net_run (&net, 5000);
  net.loss = 0.1;
  for (size_t t = 1; t <= 100; t++)
    net_announce (&net, t % SMALL, t, 1);
  ab_membership_set_target_state (net.nodes[5].m, &view, AB_TARGET_DRAINING,
                                  net.now_ms);
  net_run (&net, DRAIN_LIMIT_MS);
  ck_assert_uint_eq (net_target_seen (&net, 0, AB_TARGET_DRAINING), SMALL);
}
END_TEST

/* Guards against a host that restarts and does not get the whole view.  */
START_TEST (restarted_host_gets_the_view)
{
  net_init (&net, SMALL, 1000, 51);
  net_preload (&net);
  net_run (&net, 20000);
  ck_assert (net_converged (&net));
  net_stop (&net, SMALL - 1);
  net_run (&net, 1000);
  net_start (&net, SMALL - 1);
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
  tcase_add_test (tcase, one_way_cut_declares_nobody_gone);
  tcase_add_test (tcase, frozen_host_comes_back);
  tcase_add_test (tcase, deaf_host_declares_nobody_gone);
  tcase_add_test (tcase, late_news_never_wins);
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
