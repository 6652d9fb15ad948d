/* Scheduling shards, as every host derives them from its view.  */

#include "schedule_shards.h"

#include <stdio.h>
#include <stdlib.h>

#include "suite_lib.h"

#define TARGETS_MAX 64

static const char text[]
    = "host: h\nrole: gateway\nregion: r\nfailure_domain: a\n"
      "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2}\n"
      "control_port: 7000\nseeds: [127.0.0.2:8000]\n"
      "domains: {a: r, b: r, c: r, x: q}\n";

static struct ab_fleet_settings *settings;
static struct ab_shards *shards;
static char current_shard[TARGETS_MAX][AB_NAME_BYTES];

static void
create_shards (void)
{
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_int_eq (
      ab_fleet_settings_parse ("f", ab_chunk_str (text), &settings, error), 0);
  shards = ab_shards_new (settings);
}

static void
free_shards (void)
{
  ab_shards_free (shards);
  ab_fleet_settings_free (settings);
}

static void
on_reassigned (void *ctx, const struct ab_fleet_target *target,
               const char *shard)
{
  (void)ctx;
  ab_chunk_copy_bounded (ab_chunk_str (shard),
                         current_shard[atoi (target->id)], AB_NAME_BYTES);
}

static void
set_target (int number, const char *domain, enum ab_fleet_target_state state)
{
  struct ab_fleet_target t = { .service = "s", .slots = 2, .state = state };

  snprintf (t.id, sizeof t.id, "%d", number);
  ab_chunk_copy_bounded (ab_chunk_str (domain), t.failure_domain,
                         sizeof t.failure_domain);
  ab_shards_set_target (shards, &t, on_reassigned, NULL);
}

static void
set_ready_targets (int first, int count, const char *domain)
{
  for (int i = first; i < first + count; i++)
    set_target (i, domain, AB_FLEET_TARGET_READY);
}

/* Guards against many small shards where one is enough, and against one large
   shard whose messages cross failure domains.  */
START_TEST (small_domains_share_a_shard)
{
  struct ab_shard list[AB_SHARDS_MAX];

  create_shards ();
  set_ready_targets (0, 3, "a");
  set_ready_targets (3, 4, "b");
  set_ready_targets (7, AB_SHARD_TARGETS_MIN, "c");
  set_ready_targets (30, 2, "x");
  ck_assert_str_eq (current_shard[0], "");
  ck_assert_str_eq (current_shard[3], "");
  ck_assert_str_eq (current_shard[7], "c");
  ck_assert_uint_eq (ab_shards_list (shards, "s", "a", list, AB_SHARDS_MAX),
                     3);
  ck_assert_str_eq (list[0].region, "r");
  ck_assert_str_eq (list[0].failure_domain, "");
  ck_assert_uint_eq (list[0].targets, 7);
  ck_assert_str_eq (list[1].failure_domain, "c");
  ck_assert_str_eq (list[2].region, "q");
  ck_assert_uint_eq (ab_shards_list (shards, "s", "c", list, AB_SHARDS_MAX),
                     3);
  ck_assert_str_eq (list[0].failure_domain, "c");
  ck_assert_uint_eq (ab_shards_list (shards, "none", "a", list, AB_SHARDS_MAX),
                     0);
  free_shards ();
}
END_TEST

/* Guards against targets whose scheduler changes with each target that joins
   or leaves.  */
START_TEST (shards_change_with_hysteresis)
{
  create_shards ();
  set_ready_targets (0, AB_SHARD_TARGETS_MIN, "a");
  ck_assert_str_eq (current_shard[0], "a");
  for (int i = 0; i < AB_SHARD_TARGETS_MIN / 2; i++)
    {
      set_target (i, "a", AB_FLEET_TARGET_REMOVED);
      ck_assert_str_eq (current_shard[AB_SHARD_TARGETS_MIN - 1], "a");
    }
  set_target (AB_SHARD_TARGETS_MIN / 2, "a", AB_FLEET_TARGET_REMOVED);
  ck_assert_str_eq (current_shard[AB_SHARD_TARGETS_MIN - 1], "");
  free_shards ();
}
END_TEST

/* Guards against a target that is counted twice, or in a failure domain that
   it left.  */
START_TEST (counts_each_target_once)
{
  struct ab_shard list[AB_SHARDS_MAX];

  create_shards ();
  for (int i = 0; i < 5; i++)
    set_target (1, "a", AB_FLEET_TARGET_READY);
  set_target (1, "x", AB_FLEET_TARGET_READY);
  set_target (2, "a", AB_FLEET_TARGET_REMOVED);
  ck_assert_uint_eq (ab_shards_list (shards, "s", "a", list, AB_SHARDS_MAX),
                     1);
  ck_assert_str_eq (list[0].region, "q");
  ck_assert_uint_eq (list[0].targets, 1);
  free_shards ();
}
END_TEST

/* While all shards are full, each request would try every shard in turn: five
   times the messages at the time of the highest load.  A shard that had no
   free slot is skipped for a short time, for requests of the same kind
   only.  */
START_TEST (full_shard_is_skipped_for_a_short_time)
{
  const struct ab_shard shard = { .region = "r", .failure_domain = "a" };
  const struct ab_shard other = { .region = "r", .failure_domain = "b" };

  create_shards ();
  ab_shards_record_full (shards, "s", &shard, false, 60000, 1000);
  ck_assert (ab_shards_is_full (shards, "s", &shard, false, 1001));
  ck_assert (!ab_shards_is_full (shards, "s", &shard, true, 1001));
  ck_assert (!ab_shards_is_full (shards, "s", &other, false, 1001));
  ck_assert (!ab_shards_is_full (shards, "t", &shard, false, 1001));
  ck_assert (!ab_shards_is_full (shards, "s", &shard, false,
                                 1000 + AB_SHARD_FULL_MS));
  ab_shards_record_full (shards, "s", &shard, false, 50, 2000);
  ck_assert (!ab_shards_is_full (shards, "s", &shard, false, 2050));
  free_shards ();
}
END_TEST

/* Guards against requests for a target that is known to drain or to be
   deregistered.  */
START_TEST (only_ready_targets_are_ready)
{
  create_shards ();
  ck_assert (!ab_shards_target_ready (shards, "1"));
  set_target (1, "a", AB_FLEET_TARGET_READY);
  ck_assert (ab_shards_target_ready (shards, "1"));
  set_target (1, "a", AB_FLEET_TARGET_DRAINING);
  ck_assert (!ab_shards_target_ready (shards, "1"));
  set_target (1, "a", AB_FLEET_TARGET_REMOVED);
  ck_assert (!ab_shards_target_ready (shards, "1"));
  free_shards ();
}
END_TEST

SUITE_MAIN ("schedule_shards", 10, full_shard_is_skipped_for_a_short_time,
            only_ready_targets_are_ready, small_domains_share_a_shard,
            shards_change_with_hysteresis, counts_each_target_once)
