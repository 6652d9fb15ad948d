/* Unit tests of the frames between fleet processes and of their settings:
   encoded frames decode to the same values, and truncated ones are
   rejected.  */

#include "error.h"
#include "fleet_settings.h"
#include "fleet_watch.h"
#include "rate_limit_frame.h"
#include "schedule_frame.h"
#include "suite_lib.h"

START_TEST (slot_request_round_trip)
{
  struct ab_sched_slot_request request = { .id = UINT64_MAX,
                                           .failure_domain = "d",
                                           .service = "s",
                                           .idempotent = true,
                                           .may_spill = true,
                                           .priority = 3,
                                           .objective_ms = 600,
                                           .timeout_ms = 1200,
                                           .tried = { "t1", "t2" },
                                           .tried_count = 2 };
  struct ab_sched_slot_request read;
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_slot_request (&body, &request);
  ck_assert_int_eq (ab_sched_read_slot_request (ab_buf_chunk (&body), &read),
                    0);
  ck_assert_uint_eq (read.id, request.id);
  ck_assert_str_eq (read.failure_domain, request.failure_domain);
  ck_assert_str_eq (read.service, request.service);
  ck_assert (read.idempotent && read.may_spill);
  ck_assert (!read.is_retry && !read.may_wait);
  ck_assert_uint_eq (read.priority, request.priority);
  ck_assert_uint_eq (read.objective_ms, request.objective_ms);
  ck_assert_uint_eq (read.timeout_ms, request.timeout_ms);
  ck_assert_uint_eq (read.tried_count, 2);
  ck_assert_str_eq (read.tried[1], "t2");
  for (size_t len = 0; len < body.len; len++)
    ck_assert_int_lt (
        ab_sched_read_slot_request (ab_chunk (body.data, len), &read), 0);
  ab_buf_free (&body);
}
END_TEST

/* Guards against a team that is lost on its way, or whose loss goes
   unnoticed.  */
START_TEST (slot_request_keeps_its_team)
{
  struct ab_sched_slot_request request = {
    .id = 1, .service = "s", .team = "t", .team_priority = 2, .priority = 3
  };
  struct ab_sched_slot_request read;
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_slot_request (&body, &request);
  ck_assert_int_eq (ab_sched_read_slot_request (ab_buf_chunk (&body), &read),
                    0);
  ck_assert_str_eq (read.team, "t");
  ck_assert_uint_eq (read.team_priority, 2);
  ck_assert_uint_eq (read.priority, 3);
  for (size_t len = 0; len < body.len; len++)
    ck_assert_int_lt (
        ab_sched_read_slot_request (ab_chunk (body.data, len), &read), 0);
  ab_buf_free (&body);
}
END_TEST

START_TEST (reply_and_outcome_round_trip)
{
  struct ab_sched_reply reply = { .decision = AB_SCHED_GRANTED,
                                  .id = 7,
                                  .target = "t",
                                  .address = "1.2.3.4:5",
                                  .health_state = AB_TARGET_SUSPECT,
                                  .waited_ms = 1,
                                  .wait_ms = 2,
                                  .waiting = 3 };
  struct ab_sched_reply read;
  struct ab_buf body = AB_BUF_INIT;
  enum ab_target_event event;
  uint64_t latency;
  uint64_t id;

  ab_sched_pack_reply (&body, &reply);
  ck_assert_int_eq (ab_sched_read_reply (ab_buf_chunk (&body), &read), 0);
  ck_assert_int_eq (read.decision, reply.decision);
  ck_assert_uint_eq (read.id, reply.id);
  ck_assert_str_eq (read.target, reply.target);
  ck_assert_str_eq (read.address, reply.address);
  ck_assert_int_eq (read.health_state, reply.health_state);
  ck_assert_uint_eq (read.waited_ms, reply.waited_ms);
  ck_assert_uint_eq (read.wait_ms, reply.wait_ms);
  ck_assert_uint_eq (read.waiting, reply.waiting);
  for (size_t len = 0; len < body.len; len++)
    ck_assert_int_lt (ab_sched_read_reply (ab_chunk (body.data, len), &read),
                      0);
  ab_buf_clear (&body);
  ab_sched_pack_outcome (&body, 9, AB_TARGET_LOST, 55);
  ck_assert_int_eq (
      ab_sched_read_outcome (ab_buf_chunk (&body), &id, &event, &latency), 0);
  ck_assert_uint_eq (id, 9);
  ck_assert_int_eq (event, AB_TARGET_LOST);
  ck_assert_uint_eq (latency, 55);
  ab_buf_clear (&body);
  ab_sched_pack_outcome (&body, 9, (enum ab_target_event)99, 55);
  ck_assert_int_eq (
      ab_sched_read_outcome (ab_buf_chunk (&body), &id, &event, &latency),
      AB_ERR_CORRUPT);
  ab_buf_free (&body);
}
END_TEST

START_TEST (watch_round_trip)
{
  struct ab_fleet_watch_frame watch = { .host = { .peer = "1.1.1.1:1",
                                                  .callers = "1.1.1.1:2",
                                                  .failure_domain = "d",
                                                  .link_mbps = 100,
                                                  .accepts_callers = true },
                                        .follow = true,
                                        .listed = true,
                                        .index = 8,
                                        .hosts_version = 9 };
  struct ab_fleet_watch_frame read;
  struct ab_buf body = AB_BUF_INIT;

  memset (&read, 0, sizeof read);
  ab_fleet_pack_watch (&body, &watch);
  ck_assert_int_eq (ab_fleet_read_watch (ab_buf_chunk (&body), &read), 0);
  ck_assert_mem_eq (&read.host, &watch.host, sizeof watch.host);
  ck_assert (read.follow && read.listed);
  ck_assert_uint_eq (read.index, 8);
  ck_assert_uint_eq (read.hosts_version, 9);
  for (size_t len = 0; len < body.len; len++)
    ck_assert_int_lt (ab_fleet_read_watch (ab_chunk (body.data, len), &read),
                      0);
  ab_buf_free (&body);
}
END_TEST

/* Guards against a time that is lost on its way, and against frames that hosts
   of an earlier version cannot read although nobody needs a confirmation.  */
START_TEST (confirmation_round_trip)
{
  struct ab_fleet_watch_frame watch = { .time_ms = 12345 };
  struct ab_fleet_view_frame view
      = { .last_index = 7, .echo_ms = 12345, .confirmed_age_ms = 60 };
  struct ab_fleet_view_frame read = { 0 };
  struct ab_buf body = AB_BUF_INIT;
  struct ab_reader reader;
  uint64_t const echoes[] = { 12345, 0, 12345 };
  uint64_t const ages[] = { 60, 60, UINT64_MAX };

  ab_fleet_pack_watch (&body, &watch);
  ck_assert_int_eq (ab_fleet_read_watch (ab_buf_chunk (&body), &watch), 0);
  ck_assert_uint_eq (watch.time_ms, 12345);
  for (int i = 0; i < 3; i++)
    {
      bool timed = echoes[i] && ages[i] != UINT64_MAX;
      ab_buf_clear (&body);
      view.echo_ms = echoes[i];
      view.confirmed_age_ms = ages[i];
      ab_fleet_pack_view (&body, &view);
      ck_assert_int_eq (ab_reader_init (&reader, ab_buf_chunk (&body)), 0);
      ck_assert_uint_eq (ab_reader_enter (&reader, 9), timed ? 9 : 7);
      ab_reader_free (&reader);
      ck_assert_int_eq (ab_reader_init (&reader, ab_buf_chunk (&body)), 0);
      ab_fleet_read_view (&reader, &read);
      ck_assert_int_eq (ab_reader_error (&reader), 0);
      ck_assert_uint_eq (read.last_index, 7);
      ck_assert_uint_eq (read.echo_ms, timed ? 12345 : 0);
      ck_assert_uint_eq (read.confirmed_age_ms, timed ? 60 : UINT64_MAX);
      ab_reader_free (&reader);
    }
  ab_buf_free (&body);
}
END_TEST

#define GATEWAY                                                               \
  "host: h1\nrole: gateway\nregion: r\nfailure_domain: d\n"                   \
  "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2}\n"                      \
  "control_port: 7000\nseeds: [127.0.0.2:8000]\n"

static void
assert_settings_rejected (const char *text, const char *word)
{
  struct ab_fleet_settings *settings;
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_int_lt (
      ab_fleet_settings_parse ("f", ab_chunk_str (text), &settings, error), 0);
  ck_assert_ptr_null (settings);
  ck_assert_msg (strstr (error, word) != NULL, "%s", error);
}

/* Guards against a process that starts with invalid settings.  */
START_TEST (settings_are_checked)
{
  struct ab_fleet_settings *settings;
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_msg (ab_fleet_settings_parse (
                     "f", ab_chunk_str (GATEWAY "domains: {d: r, e: q}\n"),
                     &settings, error)
                     == 0,
                 "%s", error);
  ck_assert_str_eq (settings->base.host, "127.0.0.1:2");
  ck_assert_str_eq (ab_fleet_region (settings, "e"), "q");
  ck_assert_str_eq (ab_fleet_region (settings, "x"), "");
  ab_fleet_settings_free (settings);
  ck_assert_int_eq (
      ab_fleet_settings_parse (
          "f", ab_chunk_str (GATEWAY "domains: {d: r}\nlink_mbps: 100.0\n"),
          &settings, error),
      0);
  ck_assert_double_eq (settings->link_mbps, 100);
  ab_fleet_settings_free (settings);
  assert_settings_rejected (GATEWAY "domains: {d: r}\nlink_mbps: wide\n",
                            "number from 0 to");
  assert_settings_rejected (GATEWAY "domains: {e: q}\n", "'d'");
  assert_settings_rejected (GATEWAY, "domains");
  assert_settings_rejected (GATEWAY "domains: {d: r}\nunknown: 1\n",
                            "unknown");
  assert_settings_rejected (
      "host: h\nrole: control\nregion: r\nfailure_domain: d\n"
      "listen: {peers: 127.0.0.1:2, admin: 127.0.0.1:3}\n"
      "control_port: 1\nseeds: [127.0.0.1:3]\ndomains: {d: r}\n",
      "data_folder");
  assert_settings_rejected ("role: other\n", "gateway or control");
}
END_TEST

START_TEST (rate_limit_round_trip)
{
  struct ab_rate_limit limit = { .target = "t",
                                 .started_ms = 1780000000000,
                                 .per_1000_s = 1400,
                                 .age_ms = 12 };
  struct ab_rate_limit read;
  struct ab_buf body = AB_BUF_INIT;

  ab_rate_limit_pack (&body, &limit);
  ck_assert_int_eq (ab_rate_limit_read (ab_buf_chunk (&body), &read), 0);
  ck_assert_str_eq (read.target, limit.target);
  ck_assert_uint_eq (read.started_ms, limit.started_ms);
  ck_assert_uint_eq (read.per_1000_s, limit.per_1000_s);
  ck_assert_uint_eq (read.age_ms, limit.age_ms);
  for (size_t len = 0; len < body.len; len++)
    ck_assert_int_lt (ab_rate_limit_read (ab_chunk (body.data, len), &read),
                      0);
  limit.per_1000_s = AB_RATE_LIMIT_MAX + 1UL;
  ab_buf_clear (&body);
  ab_rate_limit_pack (&body, &limit);
  ck_assert_int_lt (ab_rate_limit_read (ab_buf_chunk (&body), &read), 0);
  ab_buf_free (&body);
}
END_TEST

SUITE_MAIN ("fleet_frames", 10, slot_request_round_trip,
            slot_request_keeps_its_team, reply_and_outcome_round_trip,
            rate_limit_round_trip, watch_round_trip, confirmation_round_trip,
            settings_are_checked)
