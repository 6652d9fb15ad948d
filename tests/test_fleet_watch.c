/* Tests of the views that a control host sends to gateways over narrow links.
   The peer sockets and the consensus group are fakes: frames to a gateway are
   delayed as on a link of LINK_BYTES_PER_MS.  */

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "fleet_control_internal.h"
#include "fleet_view_task.h"
#include "rng.h"
#include "suite_lib.h"

#define GATEWAYS 20
#define LINK_BYTES_PER_MS 250 /* 2 Mbit/s.  */
#define TARGETS 12000
#define CONTROL_ADDRESS "10.1.0.1:7000"
#define OTHER_ADDRESS "10.1.0.2:7000"
/* A control host that is silent for this long is no longer heard.  */
#define SILENT_MS 4500
/* Required time within which a change is in force.  */
#define IN_FORCE_MS 3000
#define STEP_MS 10

struct ab_peer_task
{
  char address[AB_ADDRESS_BYTES];
  struct
  {
    ab_peer_handler handle;
    void *ctx;
  } handlers[AB_FRAME_TYPE_COUNT];
  uint64_t link_free_ms; /* When the link to this host has sent its queue.  */
  uint64_t bytes;        /* Total sent to this host.  */
};

/* A frame in transit.  */
struct transit
{
  struct ab_peer_task *to;
  struct event *timer;
  enum ab_frame_type type;
  char sender[AB_ADDRESS_BYTES];
  struct ab_buf body;
};

struct gateway
{
  struct ab_peer_task peer;
  struct ab_daemon daemon;
  struct ab_fleet_settings settings;
  struct ab_fleet_view *view;
};

static struct event_base *base;
static struct ab_peer_task control_peer;
static struct ab_daemon control_daemon;
static struct ab_fleet_settings control_settings;
static struct ab_domain domains[] = { { "d1", "r" } };
static char seeds[][AB_ADDRESS_BYTES] = { CONTROL_ADDRESS };
static struct ab_fleet_control control;
static struct gateway gateways[GATEWAYS];
static uint64_t index_now;
static struct ab_rng rng;
static uint64_t held_ms; /* Delay of views, in addition to the link's.  */
static bool views_lost;
static uint64_t confirmed_age_ms; /* Of the control host's state.  */
static bool has_other; /* Whether the group has a second control host.  */

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Fakes.  */

void
ab_peer_task_set_handler (struct ab_peer_task *task, enum ab_frame_type type,
                          ab_peer_handler handler, void *ctx)
{
  task->handlers[type].handle = handler;
  task->handlers[type].ctx = ctx;
}

int
ab_peer_task_set_address (struct ab_peer_task *task, struct ab_chunk host,
                          const char *address)
{
  (void)task;
  (void)host;
  (void)address;
  return 0;
}

static void
on_arrival (evutil_socket_t fd, short events, void *ctx)
{
  struct transit *transit = ctx;
  struct ab_frame frame = { .type = transit->type,
                            .sender = ab_chunk_str (transit->sender),
                            .body = ab_buf_chunk (&transit->body) };

  (void)fd;
  (void)events;
  if (transit->to->handlers[frame.type].handle)
    transit->to->handlers[frame.type].handle (
        transit->to->handlers[frame.type].ctx, &frame);
  event_free (transit->timer);
  ab_buf_free (&transit->body);
  free (transit);
}

static struct ab_peer_task *
find_peer (struct ab_chunk host)
{
  if (ab_chunk_equal (host, AB_CHUNK (CONTROL_ADDRESS)))
    return &control_peer;
  for (int i = 0; i < GATEWAYS; i++)
    if (ab_chunk_equal (host, ab_chunk_str (gateways[i].peer.address)))
      return &gateways[i].peer;
  return NULL;
}

int
ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                   enum ab_frame_type type, struct ab_chunk body)
{
  struct ab_peer_task *to = find_peer (host);
  struct transit *transit = calloc (1, sizeof *transit);
  uint64_t now = now_ms ();
  uint64_t after;
  struct timeval tv;

  if (ab_chunk_equal (host, AB_CHUNK (OTHER_ADDRESS))
      || (type == AB_FRAME_FLEET_VIEW && views_lost))
    {
      free (transit);
      return 0;
    }
  ck_assert_ptr_nonnull (to);
  transit->to = to;
  transit->type = type;
  ab_chunk_copy_bounded (ab_chunk_str (task->address), transit->sender,
                         sizeof transit->sender);
  ab_buf_append_chunk (&transit->body, body);
  if (to->link_free_ms < now)
    to->link_free_ms = now;
  to->link_free_ms += body.len / LINK_BYTES_PER_MS;
  to->bytes += body.len;
  after = to->link_free_ms - now + 1;
  if (type == AB_FRAME_FLEET_VIEW)
    after += held_ms;
  tv.tv_sec = (time_t)(after / 1000);
  tv.tv_usec = (suseconds_t)(after % 1000 * 1000);
  transit->timer = evtimer_new (base, on_arrival, transit);
  evtimer_add (transit->timer, &tv);
  return 0;
}

int
ab_peer_task_reply (struct ab_peer_task *task, struct ab_chunk host,
                    enum ab_frame_type type, struct ab_chunk body)
{
  return ab_peer_task_send (task, host, type, body);
}

void
ab_group_status (const struct ab_group_task *task,
                 struct ab_raft_status *status)
{
  (void)task;
  memset (status, 0, sizeof *status);
  status->applied_index = index_now;
}

size_t
ab_group_members (const struct ab_group_task *task,
                  const struct ab_raft_member **members)
{
  (void)task;
  *members = NULL;
  return 0;
}

size_t
ab_group_hosts (const struct ab_group_task *task,
                const char *hosts[AB_GROUP_HOSTS_MAX])
{
  (void)task;
  hosts[0] = CONTROL_ADDRESS;
  hosts[1] = OTHER_ADDRESS;
  return has_other ? 2 : 1;
}

const char *
ab_group_failure_domain (const struct ab_group_task *task, const char *address)
{
  (void)task;
  (void)address;
  return "d1";
}

uint64_t
ab_group_staleness_ms (const struct ab_group_task *task)
{
  (void)task;
  return 0;
}

uint64_t
ab_fleet_confirm_age_ms (const struct ab_fleet_confirm *confirm)
{
  (void)confirm;
  return confirmed_age_ms;
}

void
ab_fleet_confirm_tick (struct ab_fleet_confirm *confirm)
{
  (void)confirm;
}

/* Gateways.  */

static void
on_target (void *ctx, const struct ab_fleet_target *target)
{
  (void)ctx;
  (void)target;
}

static void
on_bundle (void *ctx, struct ab_route_table *table)
{
  (void)ctx;
  (void)table;
}

static void
on_change (void *ctx)
{
  (void)ctx;
}

static unsigned records_received;
static struct ab_quarantine_record last_record;

static void
on_quarantine (void *ctx, const struct ab_quarantine_record *record)
{
  (void)ctx;
  records_received++;
  last_record = *record;
}

static const struct ab_fleet_view_ops view_ops = { .target = on_target,
                                                   .bundle = on_bundle,
                                                   .hosts = on_change,
                                                   .quarantine = on_quarantine,
                                                   .applied = on_change };

static void
fill_settings (struct ab_fleet_settings *settings, const char *address)
{
  ab_chunk_copy_bounded (ab_chunk_str (address), settings->base.host,
                         sizeof settings->base.host);
  ab_chunk_copy_bounded (AB_CHUNK ("d1"), settings->base.failure_domain,
                         sizeof settings->base.failure_domain);
  ab_chunk_copy_bounded (AB_CHUNK ("r"), settings->base.region,
                         sizeof settings->base.region);
  settings->domains = domains;
  settings->domain_count = 1;
  settings->seeds = seeds;
  settings->seed_count = 1;
  settings->control_port = 7000;
}

static void
start_control (void)
{
  memset (&control, 0, sizeof control);
  memset (&control_peer, 0, sizeof control_peer);
  ab_chunk_copy_bounded (AB_CHUNK (CONTROL_ADDRESS), control_peer.address,
                         sizeof control_peer.address);
  fill_settings (&control_settings, CONTROL_ADDRESS);
  control_daemon = (struct ab_daemon){ .settings = &control_settings.base,
                                       .base = base,
                                       .peer = &control_peer };
  control.daemon = &control_daemon;
  control.settings = &control_settings;
  control.state = ab_fleet_state_new ();
  ck_assert_int_eq (ab_fleet_watch_new (&control, &control.watch), 0);
}

static void
start_gateway (struct gateway *gateway, int n)
{
  memset (gateway, 0, sizeof *gateway);
  snprintf (gateway->peer.address, sizeof gateway->peer.address,
            "10.1.1.%d:7001", n);
  fill_settings (&gateway->settings, gateway->peer.address);
  gateway->daemon = (struct ab_daemon){ .settings = &gateway->settings.base,
                                        .base = base,
                                        .peer = &gateway->peer };
  ck_assert_int_eq (ab_fleet_view_new (&gateway->daemon, &gateway->settings,
                                       &view_ops, NULL, &gateway->view),
                    0);
}

static void
setup (void)
{
  base = event_base_new ();
  index_now = 0;
  held_ms = 0;
  views_lost = false;
  confirmed_age_ms = 0;
  ab_rng_init_seeded (&rng, 7);
  start_control ();
}

static void
start_gateways (void)
{
  for (int i = 0; i < GATEWAYS; i++)
    start_gateway (&gateways[i], i + 1);
}

static void
run_ms (uint64_t ms)
{
  uint64_t end = now_ms () + ms;
  const struct timeval step = { .tv_usec = STEP_MS * 1000 };

  while (now_ms () < end)
    {
      event_base_loopexit (base, &step);
      event_base_dispatch (base);
    }
}

static void
teardown (void)
{
  for (int i = 0; i < GATEWAYS; i++)
    ab_fleet_view_free (gateways[i].view);
  ab_fleet_watch_free (control.watch);
  ab_fleet_state_free (control.state);
}

/* Adds COUNT targets in one command, with random ids that do not compress.  */
static void
add_targets (size_t count)
{
  enum ab_fleet_result result;
  struct ab_buf data = AB_BUF_INIT;

  ab_fleet_pack_target_changes (&data, count);
  for (size_t i = 0; i < count; i++)
    {
      struct ab_fleet_target target
          = { .state = AB_FLEET_TARGET_READY,
              .service = "s",
              .failure_domain = "d1",
              .slots = 2,
              .started_ms = ab_rng_next (&rng) >> 1 };
      snprintf (target.id, sizeof target.id, "%016llx%016llx",
                (unsigned long long)ab_rng_next (&rng),
                (unsigned long long)ab_rng_next (&rng));
      snprintf (target.address, sizeof target.address, "10.2.%u.%u:%u",
                (unsigned)ab_rng_below (&rng, 250),
                (unsigned)ab_rng_below (&rng, 250),
                1024 + (unsigned)ab_rng_below (&rng, 60000));
      ab_fleet_pack_target (&data, &target);
    }
  ck_assert_int_eq (ab_fleet_state_apply (control.state, ++index_now,
                                          ab_buf_chunk (&data), &result),
                    0);
  ck_assert_int_eq (result, AB_FLEET_ACCEPTED);
  ab_buf_free (&data);
  ab_fleet_watch_push (control.watch);
}

static bool
all_have_index (uint64_t index)
{
  for (int i = 0; i < GATEWAYS; i++)
    if (ab_fleet_view_index (gateways[i].view) < index)
      return false;
  return true;
}

/* Waits until every gateway has all changes; fails after IN_FORCE_MS.  */
static void
assert_delivered_in_time (void)
{
  uint64_t end = now_ms () + IN_FORCE_MS;

  while (!all_have_index (index_now) && now_ms () < end)
    run_ms (STEP_MS);
  ck_assert (all_have_index (index_now));
}

static uint64_t
bytes_sent (void)
{
  uint64_t bytes = 0;

  for (int i = 0; i < GATEWAYS; i++)
    bytes += gateways[i].peer.bytes;
  return bytes;
}

/* Guards against resending a view that is still in transit, which saturates a
   narrow link.  All gateways restart in a fleet with so many targets that a
   view takes longer to send than the time between two watch frames.  */
START_TEST (narrow_links_catch_up)
{
  uint64_t bytes;

  for (size_t added = 0; added < TARGETS; added += AB_FLEET_BATCH_MAX)
    add_targets (AB_FLEET_BATCH_MAX);
  start_gateways ();
  run_ms (1000);
  add_targets (1);
  assert_delivered_in_time ();
  run_ms (500);
  /* Only periodic confirmations are sent after that.  */
  bytes = bytes_sent ();
  run_ms (1000);
  ck_assert_uint_lt (bytes_sent () - bytes, GATEWAYS * 4 * 512);
}
END_TEST

/* Guards against sending more than the change when one target changes.  */
START_TEST (changes_are_sent_alone)
{
  uint64_t bytes;

  start_gateways ();
  add_targets (AB_FLEET_BATCH_MAX);
  run_ms (500);
  assert_delivered_in_time ();
  run_ms (500);
  bytes = bytes_sent ();
  add_targets (1);
  assert_delivered_in_time ();
  ck_assert_uint_lt (bytes_sent () - bytes, GATEWAYS * 2048);
}
END_TEST

static void
report_crash (const char *target)
{
  struct ab_fleet_report report
      = { .kind = AB_FLEET_REPORT_CRASHED, .label = "GET x/" };
  enum ab_fleet_result result;
  struct ab_buf data = AB_BUF_INIT;

  snprintf (report.crash.target, sizeof report.crash.target, "%s", target);
  ab_fleet_pack_reports (&data, 100000, 1);
  ab_fleet_pack_report (&data, &report);
  ck_assert_int_eq (ab_fleet_state_apply (control.state, ++index_now,
                                          ab_buf_chunk (&data), &result),
                    0);
  ab_buf_free (&data);
  ab_fleet_watch_push (control.watch);
}

/* Guards against a gateway that does not learn, soon or after its start, which
   requests crash targets, or that gets a record more than once.  */
START_TEST (crashing_requests_are_sent_once)
{
  records_received = 0;
  report_crash ("t1");
  start_gateways ();
  run_ms (1000);
  assert_delivered_in_time ();
  ck_assert_uint_eq (records_received, GATEWAYS);
  report_crash ("t2");
  assert_delivered_in_time ();
  run_ms (1000);
  ck_assert_uint_eq (records_received, 2 * GATEWAYS);
  ck_assert_uint_eq (last_record.crash_count, 2);
  ck_assert_uint_eq (last_record.blocks, 1);
  ck_assert_str_eq (last_record.label, "GET x/");
  add_targets (1);
  assert_delivered_in_time ();
  ck_assert_uint_eq (records_received, 2 * GATEWAYS);
}
END_TEST

/* Delivers the list of the second control host's followers, which is empty. */
static void
hear_other (void)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_frame frame = { .type = AB_FRAME_FLEET_HOSTS,
                            .sender = ab_chunk_str (OTHER_ADDRESS) };

  ab_pack_array (&body, 3);
  ab_pack_bytes (&body, ab_chunk_str ("d1"));
  ab_pack_bytes (&body, ab_chunk_str ("10.1.0.2:80"));
  ab_pack_array (&body, 0);
  frame.body = ab_buf_chunk (&body);
  control_peer.handlers[frame.type].handle (
      control_peer.handlers[frame.type].ctx, &frame);
  ab_buf_free (&body);
}

static void
assert_unheard (size_t unheard)
{
  for (int i = 0; i < GATEWAYS; i++)
    ck_assert_uint_eq (ab_fleet_view_unheard_controls (gateways[i].view),
                       unheard);
}

/* Guards against a gateway that does not know where a control host is, and
   follows one in another region, because the sender of its view does not hear
   that one.  */
static void
assert_domain_known (void)
{
  for (int i = 0; i < GATEWAYS; i++)
    {
      json_t *state = ab_fleet_view_state (gateways[i].view);
      const char *domain = json_string_value (json_object_get (
          json_object_get (state, "control_domains"), OTHER_ADDRESS));
      ck_assert_ptr_nonnull (domain);
      ck_assert_str_eq (domain, "d1");
      json_decref (state);
    }
}

/* Guards against gateways that do not learn that the list of hosts may lack
   the followers of a control host that is cut off from theirs: each side would
   have regular schedulers of its own.  */
START_TEST (cut_control_host_is_counted)
{
  start_gateways ();
  run_ms (1000);
  assert_unheard (0);
  has_other = true;
  add_targets (1);
  run_ms (1000);
  assert_unheard (1);
  assert_domain_known ();
  hear_other ();
  run_ms (1000);
  assert_unheard (0);
  run_ms (SILENT_MS);
  assert_unheard (1);
  has_other = false;
}
END_TEST

static void
put_teams (void)
{
  static const char text[] = "{\"version\":1,\"base_version\":0,\"services\":["
                             "],\"hosts\":[],\"teams\":[{\"name\":"
                             "\"t\",\"keys\":[\"k\"]}]}";
  enum ab_fleet_result result;
  struct ab_buf data = AB_BUF_INIT;

  ck_assert_int_eq (ab_fleet_pack_bundle (&data, 1, 0, ab_chunk_str (text)),
                    0);
  ck_assert_int_eq (ab_fleet_state_apply (control.state, ++index_now,
                                          ab_buf_chunk (&data), &result),
                    0);
  ab_buf_free (&data);
}

/* Starts the gateways with a limited lifetime of keys and a bundle with
   teams.  */
static void
start_keyed (void)
{
  put_teams ();
  start_gateways ();
  for (int i = 0; i < GATEWAYS; i++)
    gateways[i].settings.key_lifetime_ms = 5000;
  run_ms (1500);
  assert_delivered_in_time ();
}

/* Returns the lowest and, in *MOST, the highest confirmed age.  */
static uint64_t
confirmed_ages (uint64_t *most)
{
  uint64_t least = UINT64_MAX;

  *most = 0;
  for (int i = 0; i < GATEWAYS; i++)
    {
      uint64_t age = ab_fleet_view_confirmed_age_ms (gateways[i].view);
      least = age < least ? age : least;
      *most = age > *most ? age : *most;
    }
  return least;
}

/* Guards against a view that counts as new although it was held up or its
   sender has not confirmed it lately, and against ages near the lifetime in
   calm.  */
START_TEST (confirmed_age_counts_delays)
{
  uint64_t most;

  /* Nearly the longest age at a control host in calm: its interval and two
     round trips between regions.  */
  confirmed_age_ms = 600;
  start_keyed ();
  for (int i = 0; i < 100; i++)
    {
      run_ms (STEP_MS);
      ck_assert_uint_ge (confirmed_ages (&most), 600);
      ck_assert_uint_lt (most, 2500);
    }
  held_ms = 1500;
  run_ms (held_ms);
  for (int i = 0; i < 100; i++)
    {
      run_ms (STEP_MS);
      ck_assert_uint_ge (confirmed_ages (&most), 600 + held_ms);
      ck_assert_uint_lt (most, UINT64_MAX);
    }
}
END_TEST

/* Guards against a view that counts as complete although changes are missing:
   views with the changes are lost, and later ones are refused for the gap.  */
START_TEST (lost_changes_stay_unconfirmed)
{
  uint64_t changed_ms;
  uint64_t end;
  uint64_t most;

  start_keyed ();
  views_lost = true;
  changed_ms = now_ms ();
  add_targets (1);
  run_ms (300);
  views_lost = false;
  end = now_ms () + IN_FORCE_MS;
  while (!all_have_index (index_now) && now_ms () < end)
    {
      run_ms (STEP_MS);
      for (int i = 0; i < GATEWAYS; i++)
        if (ab_fleet_view_index (gateways[i].view) < index_now)
          ck_assert_uint_ge (ab_fleet_view_confirmed_age_ms (gateways[i].view),
                             now_ms () - changed_ms - 1);
    }
  run_ms (1000);
  ck_assert (all_have_index (index_now));
  confirmed_ages (&most);
  ck_assert_uint_lt (most, 2500);
}
END_TEST

/* Delivers to the first gateway a view of SENDER without changes after
   AFTER_INDEX that confirms the present.  */
static void
deliver_view (const char *sender, uint64_t after_index)
{
  struct ab_peer_task *peer = &gateways[0].peer;
  struct ab_fleet_view_frame view = { .failure_domain = "d1",
                                      .after_index = after_index,
                                      .last_index = index_now,
                                      .echo_ms = now_ms () };
  struct ab_frame frame
      = { .type = AB_FRAME_FLEET_VIEW, .sender = ab_chunk_str (sender) };
  struct ab_buf lists = AB_BUF_INIT;
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&lists, 5);
  ab_pack_u64 (&lists, 1);
  ab_pack_bytes (&lists, ab_chunk ("", 0));
  for (int i = 0; i < 3; i++)
    ab_pack_array (&lists, 0);
  ab_pack_array (&body, 2);
  ab_fleet_pack_view (&body, &view);
  ab_pack_bytes (&body, ab_buf_chunk (&lists));
  frame.body = ab_buf_chunk (&body);
  peer->handlers[frame.type].handle (peer->handlers[frame.type].ctx, &frame);
  ab_buf_free (&lists);
  ab_buf_free (&body);
}

/* Guards against a confirmation from frames that bring no changes: the reply
   to a poll, and a view that follows one that is missing.  */
START_TEST (incomplete_views_confirm_nothing)
{
  struct ab_fleet_view *view;

  confirmed_age_ms = 600;
  start_keyed ();
  view = gateways[0].view;
  deliver_view (CONTROL_ADDRESS, UINT64_MAX);
  ck_assert_uint_ge (ab_fleet_view_confirmed_age_ms (view), 600);
  deliver_view (CONTROL_ADDRESS, index_now + 1);
  ck_assert_uint_ge (ab_fleet_view_confirmed_age_ms (view), 600);
  deliver_view (CONTROL_ADDRESS, index_now);
  ck_assert_uint_lt (ab_fleet_view_confirmed_age_ms (view), 600);
}
END_TEST

/* Guards against keyed requests that are refused without end because the
   followed control host, which hears the leader, cannot confirm its state
   while another could, and against leaving one that does.  */
START_TEST (control_without_confirmation_is_left)
{
  start_keyed ();
  for (int i = 0; i < 60; i++)
    {
      deliver_view (OTHER_ADDRESS, UINT64_MAX);
      run_ms (100);
      if (i == 29)
        {
          ck_assert_str_eq (ab_fleet_view_control (gateways[0].view),
                            CONTROL_ADDRESS);
          confirmed_age_ms = UINT64_MAX;
        }
    }
  ck_assert_str_eq (ab_fleet_view_control (gateways[0].view), OTHER_ADDRESS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet_watch");
  TCase *tcase = tcase_create ("fleet_watch");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, narrow_links_catch_up);
  tcase_add_test (tcase, crashing_requests_are_sent_once);
  tcase_add_test (tcase, changes_are_sent_alone);
  tcase_add_test (tcase, cut_control_host_is_counted);
  tcase_add_test (tcase, confirmed_age_counts_delays);
  tcase_add_test (tcase, lost_changes_stay_unconfirmed);
  tcase_add_test (tcase, incomplete_views_confirm_nothing);
  tcase_add_test (tcase, control_without_confirmation_is_left);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
