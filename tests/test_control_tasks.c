/* Integration tests of the control task, the control client and the bundle
   task: three control hosts and two entry hosts in one process, with lost
   frames.  */

#include <check.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "control_fake_lib.h"
#include "error.h"

#define ENTRY_1 3
#define ENTRY_2 4
#define LONG_MS 15000

static struct fake_group group;
static const struct ab_digest content = { { 1 } };

/* A frame in flight from host FROM to host TO.  */
struct delivery
{
  struct fake_frame_in_flight list_item;
  struct fake_group *group;
  size_t from;
  size_t to;
  enum ab_frame_type type;
  uint64_t incarnation;
  size_t len;
  char body[];
};

/* Fake of the peer sockets.  */

static size_t
host_number (struct ab_chunk name)
{
  return (size_t)(name.data[name.len - 1] - '0');
}

void
ab_peer_task_set_handler (struct ab_peer_task *task, enum ab_frame_type type,
                          ab_peer_handler handler, void *ctx)
{
  task->handlers[type].handler = handler;
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
deliver (evutil_socket_t fd, short events, void *ctx)
{
  struct delivery *d = ctx;
  struct fake_host *to = &d->group->hosts[d->to];
  char sender[8];
  struct ab_frame frame = { .type = d->type,
                            .incarnation = d->incarnation,
                            .body = ab_chunk (d->body, d->len) };

  (void)fd;
  (void)events;
  snprintf (sender, sizeof sender, "host%zu", d->from);
  frame.sender = ab_chunk_str (sender);
  if (to->running && !d->group->cut[d->from][d->to]
      && to->daemon.peer->handlers[d->type].handler)
    to->daemon.peer->handlers[d->type].handler (
        to->daemon.peer->handlers[d->type].ctx, &frame);
  *d->list_item.link = d->list_item.next;
  if (d->list_item.next)
    d->list_item.next->link = d->list_item.link;
  free (d);
}

static int
send_once (struct ab_peer_task *task, struct ab_chunk host,
           enum ab_frame_type type, struct ab_chunk body)
{
  struct fake_group *fake = task->group;
  struct timeval delay = { .tv_usec = 1000 };
  struct delivery *d = malloc (sizeof *d + body.len);

  if (fake->network_faults)
    delay.tv_usec += (suseconds_t)ab_rng_below (
        &fake->rng, ab_rng_below (&fake->rng, 10) ? 5000 : 400000);
  d->list_item.next = fake->in_flight;
  d->list_item.link = &fake->in_flight;
  if (d->list_item.next)
    d->list_item.next->link = &d->list_item.next;
  fake->in_flight = &d->list_item;
  d->group = fake;
  d->from = task->host;
  d->to = host_number (host);
  d->type = type;
  d->incarnation = fake->hosts[task->host].daemon.incarnation;
  d->len = body.len;
  if (body.len > 0)
    memcpy (d->body, body.data, body.len);
  return event_base_once (fake->base, -1, EV_TIMEOUT, deliver, d, &delay);
}

int
ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                   enum ab_frame_type type, struct ab_chunk body)
{
  uint64_t draw = ab_rng_below (&task->group->rng, 20);

  if (task->group->network_faults && draw == 0)
    return 0;
  if (task->group->network_faults && draw == 1)
    send_once (task, host, type, body);
  return send_once (task, host, type, body);
}

/* Fake of the membership view.  */

static struct ab_host_view
view_of (const struct fake_host *host)
{
  struct ab_host_view view = { .state = AB_HOST_ALIVE,
                               .role = host->settings.role,
                               .incarnation = host->daemon.incarnation };

  memcpy (view.name, host->settings.host, sizeof view.name);
  return view;
}

void
ab_member_task_visit_hosts (const struct ab_member_task *task,
                            ab_host_visitor visit, void *ctx)
{
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    {
      struct ab_host_view view = view_of (&task->group->hosts[i]);
      if (!visit (ctx, &view))
        return;
    }
}

const struct ab_host_view *
ab_member_task_find_host (const struct ab_member_task *task,
                          struct ab_chunk name)
{
  static struct ab_host_view view;

  view = view_of (&task->group->hosts[host_number (name)]);
  return &view;
}

void
ab_member_task_visit_targets (const struct ab_member_task *task,
                              ab_target_visitor visit, void *ctx)
{
  struct ab_target_view view
      = { .service = "shop", .state = AB_TARGET_ACTIVE };

  for (uint64_t i = 0; i < task->group->targets; i++)
    visit (ctx, &view);
}

/* Arguments of the callback of one request.  */
struct outcome
{
  bool done;
  enum ab_claim_result result;
  uint64_t token;
  int status;
  int rc;
  char message[256];
};

static bool
is_done (void *ctx)
{
  return ((struct outcome *)ctx)->done;
}

static struct ab_control_client *
client (size_t host)
{
  return group.hosts[host].daemon.control_client;
}

static uint64_t
ms_from_now (uint64_t ms)
{
  return ab_clock_monotonic_ms (ab_clock_system ()) + ms;
}

static void
on_claim (void *ctx, enum ab_claim_result result, uint64_t token,
          const struct ab_recorded_response *response, struct ab_chunk holder)
{
  struct outcome *outcome = ctx;

  (void)holder;
  ck_assert (!outcome->done);
  outcome->done = true;
  outcome->result = result;
  outcome->token = token;
  outcome->status = response ? response->status : 0;
}

static void
start_claim (size_t host, const struct ab_ledger_key *key, uint64_t ms,
             struct outcome *outcome)
{
  *outcome = (struct outcome){ .done = false };
  ab_control_client_claim (client (host), key, &content, ms_from_now (ms),
                           on_claim, outcome);
}

static struct outcome
claim (size_t host, const struct ab_ledger_key *key, uint64_t ms)
{
  struct outcome outcome;

  start_claim (host, key, ms, &outcome);
  group_run_until (&group, is_done, &outcome);
  return outcome;
}

static void
on_change (void *ctx, int rc, struct ab_chunk message)
{
  struct outcome *outcome = ctx;

  outcome->done = true;
  outcome->rc = rc;
  ab_chunk_copy_bounded (message, outcome->message, sizeof outcome->message);
}

static struct outcome
apply (size_t host, uint64_t version, const char *floor)
{
  struct ab_signed_bundle bundle = { .version = version };
  struct outcome outcome = { .done = false };

  ab_buf_printf (&bundle.text,
                 "version: %llu\nservices:\n  - name: shop\n"
                 "    floor: %s\n    credentials: [%064d]\nroutes:\n"
                 "  - prefix: /\n    service: shop\n    idempotent: true\n",
                 (unsigned long long)version, floor, 1);
  ab_signed_bundle_approve (&bundle, &group.approver_key);
  ab_control_client_apply_bundle (client (host), &bundle, "olga",
                                  ms_from_now (LONG_MS), on_change, &outcome);
  group_run_until (&group, is_done, &outcome);
  ab_signed_bundle_free (&bundle);
  return outcome;
}

static bool
nothing_pending (void *ctx)
{
  return ab_control_client_unconfirmed (client (*(size_t *)ctx)) == 0;
}

static void
wait_confirmed (size_t host)
{
  group_run_until (&group, nothing_pending, &host);
}

static bool
all_have_version (void *ctx)
{
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    {
      struct ab_bundle *bundle;
      if (!group.hosts[i].running)
        continue;
      bundle = ab_bundle_task_current (group.hosts[i].daemon.bundle);
      if (!bundle || ab_bundle_version (bundle) != *(uint64_t *)ctx)
        return false;
    }
  return true;
}

static void
setup (void)
{
  struct ab_ledger_key key = group_make_key (0);

  group_open (&group);
  group_wait_leader (&group);
  /* The first leader must have recorded the members' disk identities: until
     then an election needs the votes of all members.  */
  ck_assert_int_eq (claim (ENTRY_1, &key, LONG_MS).result, AB_CLAIM_GRANTED);
}

static void
teardown (void)
{
  group_close (&group);
}

/* Guards against a bundle that is accepted but does not reach every host, and
   against concurrent or retried requests of operators that replace or revert
   one.  */
START_TEST (bundle_reaches_all_hosts)
{
  uint64_t version = 2;
  struct outcome outcome = apply (ENTRY_1, 2, "50%");

  ck_assert_msg (outcome.rc == 0, "%s", outcome.message);
  group_run_until (&group, all_have_version, &version);
  ck_assert_int_eq (apply (ENTRY_2, 2, "50%").rc, 0);
  outcome = apply (ENTRY_2, 2, "60%");
  ck_assert_int_eq (outcome.rc, AB_ERR_CONFLICT);
  ck_assert_ptr_nonnull (strstr (outcome.message, "olga"));
  ck_assert_int_eq (apply (ENTRY_2, 1, "50%").rc, AB_ERR_STALE);
  ck_assert_int_eq (apply (ENTRY_2, 9, "hello").rc, AB_ERR_INVALID);
  /* A host that starts while the control group is unreachable uses its saved
     copy.  */
  for (size_t i = 0; i < FAKE_CONTROL_HOSTS; i++)
    group_isolate (&group, i, true);
  group_stop (&group, ENTRY_1);
  group_start (&group, ENTRY_1);
  ck_assert (all_have_version (&version));
  /* Without the copy, it gets the bundle from a peer.  */
  group_stop (&group, ENTRY_1);
  group_erase_disk (&group, ENTRY_1);
  group_start (&group, ENTRY_1);
  group_run_until (&group, all_have_version, &version);
}
END_TEST

/* Guards against a request that runs twice, and against the loss of its
   recorded response in a restart of the whole group.  */
START_TEST (response_is_recorded)
{
  struct ab_recorded_response response
      = { .status = 201, .body = AB_CHUNK ("done") };
  struct ab_ledger_key key = group_make_key (1);
  struct outcome first = claim (ENTRY_1, &key, LONG_MS);
  struct outcome second;

  ck_assert_int_eq (first.result, AB_CLAIM_GRANTED);
  start_claim (ENTRY_2, &key, LONG_MS, &second);
  group_run_ms (&group, 100);
  ck_assert (!second.done);
  ab_control_client_complete (client (ENTRY_1), &key, first.token, &response);
  group_run_until (&group, is_done, &second);
  ck_assert_int_eq (second.result, AB_CLAIM_RECORDED);
  ck_assert_int_eq (second.status, 201);
  wait_confirmed (ENTRY_1);
  for (size_t i = 0; i < FAKE_CONTROL_HOSTS; i++)
    group_stop (&group, i);
  for (size_t i = 0; i < FAKE_CONTROL_HOSTS; i++)
    group_start (&group, i);
  ck_assert_int_eq (claim (0, &key, LONG_MS).result, AB_CLAIM_RECORDED);
}
END_TEST

/* Guards against a waiting attempt that does not get the key after the first
   attempt was released as not run.  */
START_TEST (released_key_goes_to_waiting_attempt)
{
  struct ab_ledger_key key = group_make_key (1);
  struct outcome first = claim (ENTRY_1, &key, LONG_MS);
  struct outcome second;

  start_claim (ENTRY_2, &key, LONG_MS, &second);
  group_run_ms (&group, 50);
  ab_control_client_release (client (ENTRY_1), &key, first.token);
  group_run_until (&group, is_done, &second);
  ck_assert_int_eq (second.result, AB_CLAIM_GRANTED);
  ck_assert_uint_gt (second.token, first.token);
  /* At its deadline, a waiting attempt learns that another may run the
     request.  */
  ck_assert_int_eq (claim (ENTRY_1, &key, 300).result, AB_CLAIM_MAY_HAVE_RUN);
}
END_TEST

/* Returns true once the group has granted a claim in addition to the one made
   by setup.  */
static bool
second_record (void *ctx)
{
  (void)ctx;
  return group_ledger_records (&group) == 2;
}

/* Guards against a key that stays claimed by an attempt whose host answered
   "not run" because the reply with the grant was lost.  */
START_TEST (lost_grant_is_released)
{
  struct ab_ledger_key key = group_make_key (1);
  struct outcome lost;

  for (size_t i = 0; i < FAKE_CONTROL_HOSTS; i++)
    group.cut[i][ENTRY_1] = true;
  start_claim (ENTRY_1, &key, 5000, &lost);
  group_run_until (&group, second_record, NULL);
  group_isolate (&group, ENTRY_1, true);
  group_run_until (&group, is_done, &lost);
  ck_assert_int_eq (lost.result, AB_CLAIM_UNAVAILABLE);
  ck_assert_int_eq (claim (ENTRY_2, &key, 300).result, AB_CLAIM_MAY_HAVE_RUN);
  group_isolate (&group, ENTRY_1, false);
  wait_confirmed (ENTRY_1);
  ck_assert_int_eq (claim (ENTRY_2, &key, LONG_MS).result, AB_CLAIM_GRANTED);
}
END_TEST

/* Guards against a group that makes no progress after the loss of its leader,
   and against a grant from a leader that has lost its majority.  */
START_TEST (isolated_leader_grants_nothing)
{
  struct ab_ledger_key key = group_make_key (1);
  struct ab_ledger_key other = group_make_key (2);
  size_t leader = group_leader (&group);
  struct outcome alone;

  group_isolate (&group, leader, true);
  start_claim (leader, &other, 1000, &alone);
  ck_assert_int_eq (claim (ENTRY_1, &key, LONG_MS).result, AB_CLAIM_GRANTED);
  group_run_until (&group, is_done, &alone);
  ck_assert_int_eq (alone.result, AB_CLAIM_UNAVAILABLE);
  group_isolate (&group, leader, false);
  wait_confirmed (leader);
  ck_assert_int_eq (claim (ENTRY_1, &other, LONG_MS).result, AB_CLAIM_GRANTED);
}
END_TEST

/* Guards against a key that stays claimed by a cancelled attempt.  */
START_TEST (cancelled_claim_is_released)
{
  struct ab_ledger_key key = group_make_key (1);
  struct outcome unused = { .done = false };
  struct ab_claim *cancelled
      = ab_control_client_claim (client (ENTRY_1), &key, &content,
                                 ms_from_now (LONG_MS), on_claim, &unused);

  ab_control_client_cancel (cancelled);
  wait_confirmed (ENTRY_1);
  ck_assert_int_eq (claim (ENTRY_2, &key, LONG_MS).result, AB_CLAIM_GRANTED);
  ck_assert (!unused.done);
}
END_TEST

struct permits
{
  unsigned granted;
  unsigned refused;
  unsigned revoked;
  unsigned wanted;
};

static void
on_permit (void *ctx, int rc)
{
  struct permits *permits = ctx;

  if (rc == 0)
    permits->granted++;
  else
    permits->refused++;
}

static void
on_revoked (void *ctx, struct ab_chunk service)
{
  ck_assert_uint_eq (service.len, 4);
  ((struct permits *)ctx)->revoked++;
}

static bool
permits_answered (void *ctx)
{
  struct permits *permits = ctx;

  return permits->granted + permits->refused == permits->wanted;
}

static bool
was_revoked (void *ctx)
{
  return ((struct permits *)ctx)->revoked > 0;
}

static void
acquire (size_t host, struct permits *permits, unsigned count)
{
  permits->wanted += count;
  for (unsigned i = 0; i < count; i++)
    ab_control_client_permit_acquire (client (host), AB_CHUNK ("shop"),
                                      ms_from_now (LONG_MS), on_permit,
                                      permits);
  group_run_until (&group, permits_answered, permits);
}

static bool
capacity_known (void *ctx)
{
  struct permits *permits = ctx;

  *permits = (struct permits){ .wanted = 0 };
  acquire (ENTRY_2, permits, 1);
  return permits->granted == 1;
}

/* Guards against more permits than the floor allows, and against an excess
   that is not revoked when the floor rises.  */
START_TEST (permits_follow_floor_and_capacity)
{
  struct permits entry = { .wanted = 0 };
  struct permits other;

  group.targets = 4;
  ck_assert_int_eq (apply (ENTRY_1, 1, "50%").rc, 0);
  group_run_until (&group, capacity_known, &other);
  ab_control_client_on_revoke (client (ENTRY_1), on_revoked, &entry);
  acquire (ENTRY_1, &entry, 3);
  ck_assert_uint_eq (entry.granted, 1);
  ck_assert_uint_eq (entry.refused, 2);
  /* The permit of a process that has ended is free again.  */
  group_stop (&group, ENTRY_2);
  group_start (&group, ENTRY_2);
  group_run_ms (&group, 500);
  acquire (ENTRY_1, &entry, 1);
  ck_assert_uint_eq (entry.granted, 2);
  ck_assert_int_eq (apply (ENTRY_1, 2, "75%").rc, 0);
  group_run_until (&group, was_revoked, &entry);
  ab_control_client_permit_release (client (ENTRY_1), AB_CHUNK ("shop"));
  group_run_ms (&group, 500);
  ck_assert_uint_eq (entry.revoked, 1);
}
END_TEST

/* Guards against a member with an erased disk that cannot rejoin, and against
   a group that does not tolerate the loss of another member right after the
   replacement.  */
START_TEST (member_with_an_empty_disk_is_replaced)
{
  struct outcome outcome = { .done = false };
  struct ab_ledger_key key = group_make_key (1);
  struct ab_ledger_key other = group_make_key (2);
  size_t leader = group_leader (&group);
  size_t broken = (leader + 1) % FAKE_CONTROL_HOSTS;
  size_t second = (leader + 2) % FAKE_CONTROL_HOSTS;
  struct outcome granted = claim (ENTRY_1, &key, LONG_MS);

  ab_control_client_complete (client (ENTRY_1), &key, granted.token, NULL);
  wait_confirmed (ENTRY_1);
  group_stop (&group, broken);
  group_erase_disk (&group, broken);
  group_start (&group, broken);
  ab_control_client_change_member (client (ENTRY_1), AB_CHUNK ("replace"),
                                   group.hosts[broken].settings.host,
                                   group.control[broken].address,
                                   ms_from_now (LONG_MS), on_change, &outcome);
  group_run_until (&group, is_done, &outcome);
  ck_assert_msg (outcome.rc == 0, "%s", outcome.message);
  group_stop (&group, second);
  ck_assert_int_eq (claim (ENTRY_1, &other, LONG_MS).result, AB_CLAIM_GRANTED);
  ck_assert_int_eq (claim (ENTRY_1, &key, LONG_MS).result,
                    AB_CLAIM_MAY_HAVE_RUN);
}
END_TEST

#define KEYS 40
#define CLAIMS 64
#define FAULT_STEPS 600

struct random_claim
{
  bool active, granted, ran;
  size_t host, key;
  uint64_t token, end_ms;
};

static struct random_claim random_claims[CLAIMS];
static struct ab_ledger_key random_keys[KEYS];
static unsigned random_runs[KEYS];
static unsigned random_results[AB_CLAIM_UNAVAILABLE + 1];

static void
on_random_claim (void *ctx, enum ab_claim_result result, uint64_t token,
                 const struct ab_recorded_response *response,
                 struct ab_chunk holder)
{
  struct random_claim *c = ctx;

  (void)holder;
  random_results[result]++;
  c->active = result == AB_CLAIM_GRANTED;
  c->granted = c->active;
  if (response)
    ck_assert_int_eq (response->status, 200 + (int)c->key);
  if (!c->granted)
    return;
  c->token = token;
  c->end_ms = ms_from_now (ab_rng_below (&group.rng, 400));
  c->ran = ab_rng_below (&group.rng, 3) > 0;
  if (c->ran)
    ck_assert_msg (++random_runs[c->key] == 1, "key %zu ran again", c->key);
}

static void
start_random_claim (void)
{
  struct random_claim *c = &random_claims[ab_rng_below (&group.rng, CLAIMS)];

  if (c->active)
    return;
  *c = (struct random_claim){ .active = true,
                              .host = ab_rng_below (&group.rng, FAKE_HOSTS),
                              .key = ab_rng_below (&group.rng, KEYS) };
  ab_control_client_claim (client (c->host), &random_keys[c->key], &content,
                           ms_from_now (50 + ab_rng_below (&group.rng, 1500)),
                           on_random_claim, c);
}

static void
end_random_claims (void)
{
  for (size_t i = 0; i < CLAIMS; i++)
    {
      struct random_claim *c = &random_claims[i];
      struct ab_recorded_response response = { .status = 200 + (int)c->key };
      if (!c->active || !c->granted || ms_from_now (0) < c->end_ms)
        continue;
      c->active = false;
      if (c->ran)
        ab_control_client_complete (client (c->host), &random_keys[c->key],
                                    c->token, &response);
      else
        ab_control_client_release (client (c->host), &random_keys[c->key],
                                   c->token);
    }
}

static void
random_fault (void)
{
  size_t host = ab_rng_below (&group.rng, FAKE_HOSTS);

  switch (ab_rng_below (&group.rng, 4))
    {
    case 0:
      group_isolate (&group, host, true);
      break;
    case 1:
      group.cut[host][ab_rng_below (&group.rng, FAKE_HOSTS)] = true;
      break;
    case 2:
      memset (group.cut, 0, sizeof group.cut);
      break;
    default:
      for (size_t i = 0; i < CLAIMS; i++)
        if (random_claims[i].host == host)
          random_claims[i].active = false;
      group_stop (&group, host);
      group_start (&group, host);
    }
}

/* Guards against a key that runs twice under restarts, partitions, and lost,
   duplicated and late frames.  The timing differs from run to run.  */
START_TEST (random_faults_run_no_key_twice)
{
  for (size_t i = 0; i < KEYS; i++)
    random_keys[i] = group_make_key ((uint8_t)(i + 1));
  group.network_faults = true;
  for (int i = 0; i < FAULT_STEPS; i++)
    {
      start_random_claim ();
      end_random_claims ();
      if (ab_rng_below (&group.rng, 40) == 0)
        random_fault ();
      group_run_ms (&group, 10);
    }
  group.network_faults = false;
  memset (group.cut, 0, sizeof group.cut);
  for (size_t i = 0; i < FAKE_HOSTS; i++)
    wait_confirmed (i);
  ck_assert_uint_gt (random_results[AB_CLAIM_GRANTED], 0);
  ck_assert_uint_gt (random_results[AB_CLAIM_RECORDED], 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("control_tasks");
  TCase *tcase = tcase_create ("control_tasks");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, bundle_reaches_all_hosts);
  tcase_add_test (tcase, response_is_recorded);
  tcase_add_test (tcase, released_key_goes_to_waiting_attempt);
  tcase_add_test (tcase, lost_grant_is_released);
  tcase_add_test (tcase, isolated_leader_grants_nothing);
  tcase_add_test (tcase, cancelled_claim_is_released);
  tcase_add_test (tcase, permits_follow_floor_and_capacity);
  tcase_add_test (tcase, member_with_an_empty_disk_is_replaced);
  tcase_add_test (tcase, random_faults_run_no_key_twice);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
