/* Areas of scheduling, as every host derives them from its view.  */

#include "schedule_areas.h"

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
static struct ab_areas *areas;
static char current[TARGETS_MAX][AB_NAME_BYTES];

static void
begin (void)
{
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_int_eq (
      ab_fleet_settings_parse ("f", ab_chunk_str (text), &settings, error), 0);
  areas = ab_areas_new (settings);
}

static void
end (void)
{
  ab_areas_free (areas);
  ab_fleet_settings_free (settings);
}

static void
on_moved (void *ctx, const struct ab_fleet_target *target, const char *area)
{
  (void)ctx;
  ab_chunk_copy (ab_chunk_str (area), current[atoi (target->id)],
                 AB_NAME_BYTES);
}

static void
set (int number, const char *domain, enum ab_fleet_target_state state)
{
  struct ab_fleet_target t = { .service = "s", .slots = 2, .state = state };

  snprintf (t.id, sizeof t.id, "%d", number);
  ab_chunk_copy (ab_chunk_str (domain), t.failure_domain,
                 sizeof t.failure_domain);
  ab_areas_set_target (areas, &t, on_moved, NULL);
}

static void
set_many (int first, int count, const char *domain)
{
  for (int i = first; i < first + count; i++)
    set (i, domain, AB_FLEET_TARGET_READY);
}

/* Guards against many small pools where one would do, and one large pool
   whose asks cross failure domains.  */
START_TEST (small_domains_share_an_area)
{
  struct ab_area list[AB_AREAS_MAX];

  begin ();
  set_many (0, 3, "a");
  set_many (3, 4, "b");
  set_many (7, AB_AREA_TARGETS, "c");
  set_many (30, 2, "x");
  ck_assert_str_eq (current[0], "");
  ck_assert_str_eq (current[3], "");
  ck_assert_str_eq (current[7], "c");
  ck_assert_uint_eq (ab_areas_list (areas, "s", "a", list, AB_AREAS_MAX), 3);
  ck_assert_str_eq (list[0].region, "r");
  ck_assert_str_eq (list[0].failure_domain, "");
  ck_assert_uint_eq (list[0].targets, 7);
  ck_assert_str_eq (list[1].failure_domain, "c");
  ck_assert_str_eq (list[2].region, "q");
  ck_assert_uint_eq (ab_areas_list (areas, "s", "c", list, AB_AREAS_MAX), 3);
  ck_assert_str_eq (list[0].failure_domain, "c");
  ck_assert_uint_eq (ab_areas_list (areas, "none", "a", list, AB_AREAS_MAX),
                     0);
  end ();
}
END_TEST

/* Guards against targets whose scheduler changes with each one that comes or
   goes.  */
START_TEST (areas_change_with_hysteresis)
{
  begin ();
  set_many (0, AB_AREA_TARGETS, "a");
  ck_assert_str_eq (current[0], "a");
  for (int i = 0; i < AB_AREA_TARGETS / 2; i++)
    {
      set (i, "a", AB_FLEET_TARGET_GONE);
      ck_assert_str_eq (current[AB_AREA_TARGETS - 1], "a");
    }
  set (AB_AREA_TARGETS / 2, "a", AB_FLEET_TARGET_GONE);
  ck_assert_str_eq (current[AB_AREA_TARGETS - 1], "");
  end ();
}
END_TEST

/* Guards against a target that is counted twice, or in a domain it left.  */
START_TEST (counts_each_target_once)
{
  struct ab_area list[AB_AREAS_MAX];

  begin ();
  for (int i = 0; i < 5; i++)
    set (1, "a", AB_FLEET_TARGET_READY);
  set (1, "x", AB_FLEET_TARGET_READY);
  set (2, "a", AB_FLEET_TARGET_GONE);
  ck_assert_uint_eq (ab_areas_list (areas, "s", "a", list, AB_AREAS_MAX), 1);
  ck_assert_str_eq (list[0].region, "q");
  ck_assert_uint_eq (list[0].targets, 1);
  end ();
}
END_TEST

/* All areas full: each request asks every area in turn, five times the
   messages at the worst time.  An area that had no slot is left out for a
   moment, for requests of the same kind only.  */
START_TEST (full_area_is_left_out_for_a_moment)
{
  const struct ab_area area = { .region = "r", .failure_domain = "a" };
  const struct ab_area other = { .region = "r", .failure_domain = "b" };

  begin ();
  ab_areas_note_full (areas, "s", &area, false, 60000, 1000);
  ck_assert (ab_areas_is_full (areas, "s", &area, false, 1001));
  ck_assert (!ab_areas_is_full (areas, "s", &area, true, 1001));
  ck_assert (!ab_areas_is_full (areas, "s", &other, false, 1001));
  ck_assert (!ab_areas_is_full (areas, "t", &area, false, 1001));
  ck_assert (
      !ab_areas_is_full (areas, "s", &area, false, 1000 + AB_AREA_FULL_MS));
  ab_areas_note_full (areas, "s", &area, false, 50, 2000);
  ck_assert (!ab_areas_is_full (areas, "s", &area, false, 2050));
  end ();
}
END_TEST

/* Guards against a request for a target that is known to drain or to be
   gone.  */
START_TEST (only_ready_targets_are_ready)
{
  begin ();
  ck_assert (!ab_areas_target_ready (areas, "1"));
  set (1, "a", AB_FLEET_TARGET_READY);
  ck_assert (ab_areas_target_ready (areas, "1"));
  set (1, "a", AB_FLEET_TARGET_DRAINING);
  ck_assert (!ab_areas_target_ready (areas, "1"));
  set (1, "a", AB_FLEET_TARGET_GONE);
  ck_assert (!ab_areas_target_ready (areas, "1"));
  end ();
}
END_TEST

SUITE_MAIN ("schedule_areas", 10, full_area_is_left_out_for_a_moment,
            only_ready_targets_are_ready, small_domains_share_an_area,
            areas_change_with_hysteresis, counts_each_target_once)
