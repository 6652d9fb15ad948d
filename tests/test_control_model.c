/* Randomised simulation of the replicated state machine with seeded faults.

   Entry hosts crash and restart, their messages to and from the state machine
   are lost, duplicated and delayed, leaders' clocks differ, retention and
   capacity change, and the state machine is restored from snapshots.  The
   hosts follow the protocol of the control client.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "control_state.h"
#include "error.h"
#include "rng.h"

#define SEEDS 24
#define HOSTS 5
#define KEYS 60
#define ATTEMPTS 48
#define CLAIM_ENDS 512
#define MESSAGES 8192
#define TICK_MS 10
#define FAULTS_MS 60000
#define RECOVERY_MS 10000
#define START_MS 1000000000ULL
#define SKEW_MS 1500
#define CAPACITY 10

struct key
{
  struct ab_ledger_key key;
  uint64_t created_ms;
  unsigned runs;
};

struct attempt
{
  bool active;
  uint8_t content;
  size_t host;
  size_t key;
  uint64_t id;
  uint64_t token; /* 0: not granted yet.  */
  uint64_t deadline_ms;
  uint64_t send_ms;
  uint64_t run_ms; /* When the request is sent to a target; 0: never.  */
  uint64_t end_ms;
};

/* A completion or release of a claim, retried until it is confirmed.  */
struct claim_end
{
  bool active;
  size_t host;
  uint64_t id;
  uint64_t send_ms;
  struct ab_command command;
  char response[32];
};

struct host
{
  char name[8];
  uint64_t incarnation;
  uint64_t next_id;
  /* Permits, as in struct ab_permit_service of the control client.  */
  uint64_t in_use;
  uint64_t wanted;
  uint64_t held;
  uint64_t sequence;
  uint64_t permit_request_id; /* 0: none in flight.  */
  uint64_t requested;
  uint64_t permit_send_ms;
};

struct reply
{
  size_t host;
  uint64_t incarnation;
  uint64_t id;
  enum ab_command_type type;
  int rc;
  enum ab_ledger_status status;
  uint64_t token;
  uint64_t held;
  size_t key;
  char response[32];
};

struct message
{
  bool used;
  bool is_reply;
  uint64_t due_ms;
  struct ab_buf data; /* Encoded command, unless IS_REPLY.  */
  struct reply reply;
};

static struct ab_rng rng;
static struct ab_control_state *state;
static uint64_t now_ms;
static uint64_t log_index;
static bool faults;
static uint64_t seed;
static struct key keys[KEYS];
static struct attempt attempts[ATTEMPTS];
static struct claim_end claim_ends[CLAIM_ENDS];
static struct host hosts[HOSTS];
static struct message messages[MESSAGES];
static uint64_t bundle_version;
static struct ab_digest bundle_digest;
static unsigned status_counts[AB_LEDGER_STATUS_COUNT];
static unsigned total_runs;

static bool
chance (unsigned percent)
{
  return ab_rng_below (&rng, 100) < percent;
}

static uint64_t
random_between (uint64_t low, uint64_t high)
{
  return low + ab_rng_below (&rng, high - low);
}

/* Network.  */

static struct message *
new_message (void)
{
  for (size_t i = 0; i < MESSAGES; i++)
    if (!messages[i].used)
      {
        messages[i].used = true;
        messages[i].due_ms
            = now_ms
              + (faults && chance (5) ? random_between (500, 20000)
                                      : random_between (1, 60));
        return &messages[i];
      }
  ck_abort_msg ("seed %llu: too many messages", (unsigned long long)seed);
  return NULL;
}

/* Returns how many copies of a message arrive, 0 to 2.  */
static int
copy_count (void)
{
  if (!faults)
    return 1;
  return chance (15) ? 0 : chance (15) ? 2 : 1;
}

static void
send_command (struct ab_command *command, size_t host, uint64_t id)
{
  memcpy (command->host, hosts[host].name, sizeof hosts[host].name);
  command->incarnation = hosts[host].incarnation;
  command->request = id;
  for (int i = copy_count (); i > 0; i--)
    {
      struct message *message = new_message ();
      message->is_reply = false;
      ab_buf_clear (&message->data);
      ck_assert_int_eq (ab_command_encode (command, &message->data), 0);
    }
}

static void
send_reply (const struct reply *reply)
{
  for (int i = copy_count (); i > 0; i--)
    {
      struct message *message = new_message ();
      message->is_reply = true;
      message->reply = *reply;
    }
}

/* The leader.  */

/* Returns the wall clock of a random leader, up to SKEW_MS off.  */
static uint64_t
leader_time (void)
{
  return now_ms + ab_rng_below (&rng, 2 * SKEW_MS) - SKEW_MS;
}

static size_t
key_number (const struct ab_ledger_key *key)
{
  return key->key[15];
}

static size_t
host_number (const char *name)
{
  return (size_t)(name[1] - '0');
}

static void
answer_from (struct reply *reply, const struct ab_ledger_answer *answer)
{
  reply->status = answer->status;
  reply->token = answer->token;
  ab_chunk_copy_bounded (answer->response, reply->response,
                         sizeof reply->response);
}

static struct reply
reply_for (const struct ab_command *command)
{
  return (struct reply){ .host = host_number (command->host),
                         .incarnation = command->incarnation,
                         .id = command->request,
                         .type = command->type,
                         .key = key_number (&command->key) };
}

static void
on_result (void *ctx, const struct ab_control_result *result)
{
  struct reply reply = reply_for (result->command);

  (void)ctx;
  if (result->command->type == AB_COMMAND_BUNDLE
      || result->command->type == AB_COMMAND_CAPACITY)
    return;
  reply.rc = result->rc;
  reply.held = result->held;
  answer_from (&reply, &result->answer);
  send_reply (&reply);
}

static struct ab_permit_counts
permit_counts (void)
{
  struct ab_permit_counts counts = { 0 };

  ab_permits_counts (ab_control_state_permits (state), AB_CHUNK ("shop"),
                     &counts);
  return counts;
}

/* Guards against permits above the number that capacity and floor allow: an
   excess may remain after the capacity was lowered, but no command may raise
   it.  */
static void
check_permits (struct ab_permit_counts before)
{
  struct ab_permit_counts after = permit_counts ();
  uint64_t in_use = 0;

  for (size_t i = 0; i < HOSTS; i++)
    in_use += hosts[i].in_use;
  ck_assert_msg (after.outstanding <= after.allowed
                     || after.outstanding <= before.outstanding,
                 "seed %llu: permits granted beyond the floor",
                 (unsigned long long)seed);
  ck_assert_msg (in_use <= after.outstanding,
                 "seed %llu: more permits are in use than counted",
                 (unsigned long long)seed);
}

static void
check_register (void)
{
  const struct ab_bundle_record *current = ab_control_state_current (state);

  if (!current)
    return;
  ck_assert_msg (current->version >= bundle_version,
                 "seed %llu: the bundle version decreased",
                 (unsigned long long)seed);
  ck_assert_msg (current->version > bundle_version
                     || ab_digest_equal (&current->digest, &bundle_digest),
                 "seed %llu: an accepted version's content changed",
                 (unsigned long long)seed);
  bundle_version = current->version;
  bundle_digest = current->digest;
}

static void
apply (const struct ab_command *command)
{
  struct ab_permit_counts before = permit_counts ();
  struct ab_command stamped = *command;
  struct ab_buf data = AB_BUF_INIT;

  stamped.time_ms = leader_time ();
  ck_assert_int_eq (ab_command_encode (&stamped, &data), 0);
  ck_assert_int_eq (
      ab_control_state_apply (state, ++log_index, 1, ab_buf_chunk (&data)), 0);
  ab_buf_free (&data);
  check_permits (before);
  check_register ();
}

static void
leader_receives (struct ab_chunk data)
{
  struct ab_command command;
  struct ab_ledger_answer answer;
  struct ab_attempt attempt = { 0 };
  struct reply reply;

  ck_assert_int_eq (ab_command_decode (data, &command), 0);
  memcpy (attempt.host, command.host, sizeof attempt.host);
  attempt.incarnation = command.incarnation;
  attempt.attempt = command.request;
  if (command.type == AB_COMMAND_CLAIM && chance (50)
      && ab_ledger_peek (ab_control_state_ledger (state), &command.key,
                         &command.content, &attempt, &answer))
    {
      reply = reply_for (&command);
      answer_from (&reply, &answer);
      send_reply (&reply);
    }
  else
    apply (&command);
  ab_command_free (&command);
}

/* Operators and the membership view.  */

static void
apply_bundle (void)
{
  struct ab_signed_bundle bundle = { .text = AB_BUF_INIT };
  struct ab_floor floors[1] = { { "shop", chance (50) ? 0.5 : 0.75 } };
  struct ab_command command = { .type = AB_COMMAND_BUNDLE,
                                .retention_ms = random_between (5000, 20000),
                                .floors = floors,
                                .floor_count = 1 };
  struct ab_buf encoded = AB_BUF_INIT;

  bundle.version = bundle_version + 2 - ab_rng_below (&rng, 2);
  if (bundle_version > 0)
    bundle.version -= ab_rng_below (&rng, 3);
  ab_buf_printf (&bundle.text, "text %d", (int)ab_rng_below (&rng, 3));
  ck_assert_int_eq (ab_signed_bundle_encode (&bundle, &encoded), 0);
  command.bundle = ab_buf_chunk (&encoded);
  apply (&command);
  ab_buf_free (&encoded);
  ab_signed_bundle_free (&bundle);
}

static void
change_capacity (void)
{
  struct ab_command command
      = { .type = AB_COMMAND_CAPACITY,
          .service = "shop",
          .count = random_between (CAPACITY / 2, CAPACITY) };

  apply (&command);
}

static void
restore_from_snapshot (void)
{
  struct ab_buf first = AB_BUF_INIT;
  struct ab_buf second = AB_BUF_INIT;
  struct ab_control_state *restored = ab_control_state_new (NULL);

  ck_assert_int_eq (ab_control_state_save (state, &first), 0);
  ck_assert_int_eq (ab_control_state_load (restored, ab_buf_chunk (&first)),
                    0);
  ck_assert_int_eq (ab_control_state_save (restored, &second), 0);
  ck_assert (ab_chunk_equal (ab_buf_chunk (&first), ab_buf_chunk (&second)));
  ab_control_state_free (state);
  state = restored;
  ab_control_state_on_result (state, on_result, NULL);
  ab_buf_free (&first);
  ab_buf_free (&second);
}

/* Entry hosts.  */

static void
start_claim_end (size_t host, enum ab_command_type type, size_t key,
                 uint64_t token, uint64_t attempt, const char *response)
{
  for (size_t i = 0; i < CLAIM_ENDS; i++)
    {
      struct claim_end *end = &claim_ends[i];
      if (end->active)
        continue;
      *end = (struct claim_end){ .active = true,
                                 .host = host,
                                 .id = ++hosts[host].next_id,
                                 .send_ms = now_ms };
      end->command = (struct ab_command){
        .type = type, .key = keys[key].key, .token = token, .attempt = attempt
      };
      snprintf (end->response, sizeof end->response, "%s", response);
      end->command.response = ab_chunk_str (end->response);
      return;
    }
  ck_abort_msg ("seed %llu: too many completions and releases",
                (unsigned long long)seed);
}

/* Returns true if an attempt of HOST uses TOKEN, or if its completion or
   release is not confirmed.  */
static bool
token_held (size_t host, uint64_t token)
{
  for (size_t i = 0; i < ATTEMPTS; i++)
    if (attempts[i].active && attempts[i].host == host
        && attempts[i].token == token)
      return true;
  for (size_t i = 0; i < CLAIM_ENDS; i++)
    if (claim_ends[i].active && claim_ends[i].host == host
        && claim_ends[i].command.token == token)
      return true;
  return false;
}

static void
start_attempt (void)
{
  struct attempt *attempt = &attempts[ab_rng_below (&rng, ATTEMPTS)];
  size_t key = ab_rng_below (&rng, KEYS);

  if (attempt->active || keys[key].created_ms > now_ms)
    return;
  *attempt
      = (struct attempt){ .active = true,
                          .host = ab_rng_below (&rng, HOSTS),
                          .key = key,
                          .content = chance (10) ? 2 : 1,
                          .deadline_ms = now_ms + random_between (50, 3000),
                          .send_ms = now_ms };
  attempt->id = ++hosts[attempt->host].next_id;
}

static void
tick_claiming (struct attempt *attempt)
{
  struct ab_command command
      = { .type = AB_COMMAND_CLAIM, .key = keys[attempt->key].key };

  if (now_ms >= attempt->deadline_ms)
    {
      /* The host answers its caller "not run".  */
      attempt->active = false;
      start_claim_end (attempt->host, AB_COMMAND_RELEASE, attempt->key, 0,
                       attempt->id, "");
      return;
    }
  if (now_ms < attempt->send_ms)
    return;
  attempt->send_ms = now_ms + 150;
  command.content.bytes[0] = attempt->content;
  send_command (&command, attempt->host, attempt->id);
}

static void
run_request (struct attempt *attempt)
{
  struct key *key = &keys[attempt->key];

  key->runs++;
  total_runs++;
  ck_assert_msg (key->runs == 1, "seed %llu: key %zu ran %u times",
                 (unsigned long long)seed, attempt->key, key->runs);
}

static void
tick_granted (struct attempt *attempt)
{
  bool ran = attempt->run_ms && now_ms >= attempt->run_ms;
  char response[32];

  if (ran && now_ms < attempt->run_ms + TICK_MS)
    run_request (attempt);
  if (now_ms < attempt->end_ms)
    return;
  attempt->active = false;
  snprintf (response, sizeof response, "key %zu content %d", attempt->key,
            attempt->content);
  if (!attempt->run_ms)
    start_claim_end (attempt->host, AB_COMMAND_RELEASE, attempt->key,
                     attempt->token, attempt->id, "");
  else
    start_claim_end (attempt->host, AB_COMMAND_COMPLETE, attempt->key,
                     attempt->token, attempt->id, chance (80) ? response : "");
}

static void
tick_claim_ends (void)
{
  for (size_t i = 0; i < CLAIM_ENDS; i++)
    {
      struct claim_end *end = &claim_ends[i];
      if (!end->active || now_ms < end->send_ms)
        continue;
      end->send_ms = now_ms + 300;
      send_command (&end->command, end->host, end->id);
    }
}

static void
claim_answered (struct attempt *attempt, const struct reply *reply)
{
  char expected[32];

  status_counts[reply->status]++;
  if (reply->status == AB_LEDGER_IN_PROGRESS)
    return;
  if (reply->status == AB_LEDGER_GRANTED)
    {
      attempt->token = reply->token;
      attempt->run_ms = chance (70) ? now_ms - now_ms % TICK_MS
                                          + TICK_MS * random_between (1, 100)
                                    : 0;
      attempt->end_ms = now_ms + random_between (1000, 4000);
      return;
    }
  if (reply->status == AB_LEDGER_RECORDED)
    {
      snprintf (expected, sizeof expected, "key %zu content %d", attempt->key,
                attempt->content);
      ck_assert_str_eq (reply->response, expected);
    }
  attempt->active = false;
  start_claim_end (attempt->host, AB_COMMAND_RELEASE, attempt->key, 0,
                   attempt->id, "");
}

static void
permit_answered (struct host *host, const struct reply *reply)
{
  if (host->permit_request_id != reply->id)
    return;
  host->permit_request_id = 0;
  host->held = reply->rc == 0 ? reply->held : 0;
  if (host->wanted > host->held)
    host->wanted = host->held;
  host->in_use = host->wanted;
}

static void
host_receives (const struct reply *reply)
{
  struct host *host = &hosts[reply->host];

  if (reply->incarnation != host->incarnation)
    return;
  if (reply->type == AB_COMMAND_PERMIT_SET)
    permit_answered (host, reply);
  for (size_t i = 0; i < CLAIM_ENDS; i++)
    if (claim_ends[i].active && claim_ends[i].host == reply->host
        && claim_ends[i].id == reply->id)
      claim_ends[i].active = false;
  for (size_t i = 0; i < ATTEMPTS; i++)
    if (attempts[i].active && attempts[i].host == reply->host
        && attempts[i].id == reply->id)
      {
        if (!attempts[i].token)
          claim_answered (&attempts[i], reply);
        return;
      }
  if (reply->type == AB_COMMAND_CLAIM && reply->status == AB_LEDGER_GRANTED
      && !token_held (reply->host, reply->token))
    start_claim_end (reply->host, AB_COMMAND_RELEASE, reply->key, reply->token,
                     reply->id, "");
}

static void
add_revoked (void *ctx, const struct ab_permit_holding *holding)
{
  struct host *host = &hosts[host_number (holding->holder.host)];

  (void)ctx;
  if (holding->revoked > 0 && host->incarnation == holding->holder.incarnation
      && holding->sequence == host->sequence
      && host->wanted + holding->revoked > host->held)
    host->wanted = holding->held - holding->revoked;
}

static void
tick_permits (struct host *host)
{
  struct ab_command command
      = { .type = AB_COMMAND_PERMIT_SET, .service = "shop" };

  if (faults && chance (2))
    host->wanted = ab_rng_below (&rng, 5);
  /* Targets are readmitted before the permits are released.  */
  if (host->in_use > host->wanted)
    host->in_use = host->wanted;
  if (!host->permit_request_id && host->wanted != host->held)
    {
      host->permit_request_id = ++host->next_id;
      host->requested = host->wanted;
      host->sequence++;
      host->permit_send_ms = now_ms;
    }
  if (!host->permit_request_id || now_ms < host->permit_send_ms)
    return;
  host->permit_send_ms = now_ms + 150;
  command.sequence = host->sequence;
  command.count = host->requested;
  send_command (&command, (size_t)(host - hosts), host->permit_request_id);
}

static void
crash (size_t number)
{
  struct host *host = &hosts[number];

  for (size_t i = 0; i < ATTEMPTS; i++)
    if (attempts[i].host == number)
      attempts[i].active = false;
  for (size_t i = 0; i < CLAIM_ENDS; i++)
    if (claim_ends[i].host == number)
      claim_ends[i].active = false;
  *host = (struct host){ .incarnation = now_ms };
  snprintf (host->name, sizeof host->name, "h%zu", number);
}

/* Simulation.  */

static void
deliver (void)
{
  for (size_t i = 0; i < MESSAGES; i++)
    {
      struct message *message = &messages[i];
      if (!message->used || now_ms < message->due_ms)
        continue;
      if (message->is_reply)
        host_receives (&message->reply);
      else
        leader_receives (ab_buf_chunk (&message->data));
      message->used = false;
    }
}

static void
tick_faults (void)
{
  if (chance (20))
    start_attempt ();
  if (ab_rng_below (&rng, 400) == 0)
    crash (ab_rng_below (&rng, HOSTS));
  if (chance (2))
    apply_bundle ();
  if (chance (1))
    change_capacity ();
  if (ab_rng_below (&rng, 500) == 0)
    restore_from_snapshot ();
}

static void
tick (void)
{
  now_ms += TICK_MS;
  deliver ();
  if (faults)
    tick_faults ();
  for (size_t i = 0; i < ATTEMPTS; i++)
    if (attempts[i].active && attempts[i].token)
      tick_granted (&attempts[i]);
    else if (attempts[i].active)
      tick_claiming (&attempts[i]);
  tick_claim_ends ();
  ab_permits_visit_holders (ab_control_state_permits (state), add_revoked,
                            NULL);
  for (size_t i = 0; i < HOSTS; i++)
    tick_permits (&hosts[i]);
}

/* Guards against keys that stay claimed by an attempt that has ended, and
   against an excess of permits that no holder releases.  */
static void
check_recovered (void)
{
  struct ab_permit_counts counts = permit_counts ();

  for (size_t i = 0; i < KEYS; i++)
    {
      struct ab_ledger_record record;
      if (ab_ledger_find (ab_control_state_ledger (state), &keys[i].key,
                          &record)
              < 0
          || record.state != AB_LEDGER_CLAIMED)
        continue;
      ck_assert_msg (hosts[host_number (record.holder.host)].incarnation
                         != record.holder.incarnation,
                     "seed %llu: key %zu is claimed by an ended attempt",
                     (unsigned long long)seed, i);
    }
  ck_assert_msg (counts.outstanding <= counts.allowed,
                 "seed %llu: excess permits are not released",
                 (unsigned long long)seed);
}

static void
end_simulation (void)
{
  ab_control_state_free (state);
  for (size_t i = 0; i < MESSAGES; i++)
    {
      ab_buf_free (&messages[i].data);
      messages[i].used = false;
    }
}

static void
start_simulation (uint64_t number)
{
  seed = number;
  ab_rng_init_seeded (&rng, seed);
  now_ms = START_MS;
  log_index = 0;
  bundle_version = 0;
  memset (attempts, 0, sizeof attempts);
  memset (claim_ends, 0, sizeof claim_ends);
  state = ab_control_state_new (NULL);
  ab_control_state_on_result (state, on_result, NULL);
  for (size_t i = 0; i < HOSTS; i++)
    crash (i);
  for (size_t i = 0; i < KEYS; i++)
    {
      uint64_t created = START_MS + ab_rng_below (&rng, FAULTS_MS);
      keys[i]
          = (struct key){ .key = { "team", "shop" }, .created_ms = created };
      for (size_t b = 0; b < 6; b++)
        keys[i].key.key[b] = (uint8_t)(created >> (8 * (5 - b)));
      keys[i].key.key[15] = (uint8_t)i;
    }
}

/* Guards against a key that runs twice, permits beyond the floor, and a bundle
   that reverts, under crashes and lost, duplicated and late messages.  */
START_TEST (faults_violate_no_invariant)
{
  start_simulation ((uint64_t)_i + 1);
  faults = true;
  while (now_ms < START_MS + FAULTS_MS)
    tick ();
  faults = false;
  while (now_ms < START_MS + FAULTS_MS + RECOVERY_MS + 20000)
    tick ();
  check_recovered ();
  end_simulation ();
}
END_TEST

/* Guards against a simulation that passes because outcomes never occur.  */
START_TEST (all_outcomes_occur)
{
  for (uint64_t i = 1; i <= 3; i++)
    {
      start_simulation (i);
      faults = true;
      while (now_ms < START_MS + FAULTS_MS)
        tick ();
      end_simulation ();
    }
  ck_assert_uint_gt (total_runs, KEYS / 2);
  ck_assert_uint_gt (status_counts[AB_LEDGER_GRANTED], KEYS / 2);
  ck_assert_uint_gt (status_counts[AB_LEDGER_RECORDED], 0);
  ck_assert_uint_gt (status_counts[AB_LEDGER_MAY_HAVE_RUN], 0);
  ck_assert_uint_gt (status_counts[AB_LEDGER_MISMATCH], 0);
  ck_assert_uint_gt (status_counts[AB_LEDGER_EXPIRED], 0);
  ck_assert_uint_gt (status_counts[AB_LEDGER_IN_PROGRESS], 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("control_model");
  TCase *tcase = tcase_create ("control_model");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, faults_violate_no_invariant, 0, SEEDS);
  tcase_add_test (tcase, all_outcomes_occur);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
