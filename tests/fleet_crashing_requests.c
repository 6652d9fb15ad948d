/* Tests with gateways and targets as real processes that a request under which
   targets end is recognised when it comes again, and that nothing else is.

   A target that runs a request with POISON in its path or body ends, and is
   started again as a new incarnation after RETURN_MS.  With the flag "silent"
   it freezes instead, and is ended and started again after HUNG_MS.  The
   stated rule: from SETTLE_MS after the third target ended under a request, at
   most LATE_ARRIVALS repeats of it reach a target.  */

#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define POISON "poison"
#define READY_MS 10000
#define REPLY_MS 5000
#define TEST_S 120
#define CONTROLS 3
#define GATEWAYS 4
#define TARGETS 6
#define CALLERS 4
#define RETURN_MS 1200
#define HUNG_MS 4500
#define RUN_MS 60
#define SLOW_MS 700
#define SETTLE_MS 3000
#define LATE_ARRIVALS 3
#define REPEATS 60
#define REPEAT_PAUSE_MS 150
#define REJECTION_MS 150
#define SERVED_SHARE 0.8

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Targets.  */

static bool
run_request (struct raw_target *target, int fd,
             const struct raw_message *request, int number)
{
  (void)number;
  raw_target_arrival (target, request->id);
  if (strstr (request->head, POISON) || strstr (request->body, POISON))
    {
      fleet_sleep_ms (RUN_MS);
      if (raw_target_flag (target, "silent"))
        kill (getpid (), SIGSTOP);
      if (!raw_target_flag (target, "repaired"))
        _exit (EXIT_FAILURE);
    }
  if (strstr (request->head, "slow"))
    fleet_sleep_ms (SLOW_MS);
  raw_target_run (target, request->id);
  return raw_reply (fd, request, 200, "", "ran");
}

/* Starts targets that have ended again.  */
struct keeper
{
  pthread_t thread;
  struct gf_fleet *fleet;
  atomic_bool stopping;
  atomic_int ended;
  uint64_t return_ms[TARGETS + 1]; /* 0: runs.  */
  bool ends_frozen;
  uint64_t frozen_ms[TARGETS + 1];
};

/* Ends target I HUNG_MS after it froze by itself.  */
static void
end_frozen (struct keeper *keeper, int i)
{
  pid_t pid = keeper->fleet->target_pids[i];
  int status;

  if (pid <= 0)
    return;
  if (waitpid (pid, &status, WNOHANG | WUNTRACED) == pid
      && WIFSTOPPED (status))
    keeper->frozen_ms[i] = now_ms ();
  if (keeper->frozen_ms[i] && now_ms () - keeper->frozen_ms[i] > HUNG_MS)
    {
      keeper->frozen_ms[i] = 0;
      gf_kill (&keeper->fleet->target_pids[i]);
      keeper->return_ms[i] = now_ms ();
      keeper->ended++;
    }
}

static void *
run_keeper (void *arg)
{
  struct keeper *keeper = arg;
  struct gf_fleet *fleet = keeper->fleet;

  while (!keeper->stopping)
    {
      for (int i = 1; i <= TARGETS; i++)
        if (keeper->ends_frozen)
          end_frozen (keeper, i);
        else if (fleet->target_pids[i] > 0
                 && waitpid (fleet->target_pids[i], NULL, WNOHANG)
                        == fleet->target_pids[i])
          {
            fleet->target_pids[i] = 0;
            keeper->return_ms[i] = now_ms () + RETURN_MS;
            keeper->ended++;
          }
      for (int i = 1; i <= TARGETS; i++)
        if (keeper->return_ms[i] && now_ms () >= keeper->return_ms[i])
          {
            keeper->return_ms[i] = 0;
            fleet->restarts[i]++;
            raw_target_start (fleet, i, run_request);
          }
      fleet_sleep_ms (5);
    }
  return NULL;
}

/* Callers.  */

struct reply
{
  int status;
  uint64_t took_ms;
  bool quarantined;
  bool has_retry_after;
};

/* Sends one request on a connection of its own.  */
static struct reply
send_one (const struct gf_fleet *fleet, int gateway, const char *line,
          const char *id, const char *body)
{
  struct raw_message *response = calloc (1, sizeof *response);
  struct reply reply = { 0 };
  uint64_t begin = now_ms ();
  char address[64];
  char text[1024];
  int fd;

  gf_print_callers (fleet, gateway, address, sizeof address);
  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
            "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
            line, id, strlen (body), body);
  fd = raw_connect (address);
  if (fd >= 0)
    {
      raw_send_str (fd, text);
      raw_read (fd, REPLY_MS, response);
      close (fd);
    }
  reply.status = response->status;
  reply.took_ms = now_ms () - begin;
  reply.quarantined = strstr (response->body, "\"quarantined\"") != NULL;
  reply.has_retry_after
      = raw_header (response, "Retry-After", text, sizeof text);
  free (response);
  return reply;
}

/* Sends requests that end no target, some of them always the same.  */
struct caller
{
  pthread_t thread;
  const struct gf_fleet *fleet;
  atomic_bool *stopping;
  int number;
  int sent;
  int served;
  int quarantined;
};

static void *
run_caller (void *arg)
{
  struct caller *caller = arg;

  while (!*caller->stopping)
    {
      int gateway = 1 + (caller->number + caller->sent) % GATEWAYS;
      char id[RAW_ID_BYTES];
      struct reply reply;
      snprintf (id, sizeof id, "c%d-%d", caller->number, caller->sent);
      if (caller->sent % 2)
        reply = send_one (caller->fleet, gateway, "GET /look/1", id, "");
      else
        reply = send_one (caller->fleet, gateway, "POST /shop/1", id, id);
      caller->sent++;
      caller->served += reply.status == 200;
      caller->quarantined += reply.quarantined;
      fleet_sleep_ms (20);
    }
  return NULL;
}

/* One test's fleet.  */
struct rig
{
  struct gf_fleet fleet;
  struct keeper keeper;
  struct caller callers[CALLERS];
  atomic_bool stopping;
};

static void
start_rig (struct rig *rig, const char *name)
{
  memset (rig, 0, sizeof *rig);
  gf_start (&rig->fleet, name, CONTROLS, GATEWAYS);
  for (int i = 1; i <= TARGETS; i++)
    raw_target_start (&rig->fleet, i, run_request);
  rig->keeper.fleet = &rig->fleet;
  ck_assert_int_eq (
      pthread_create (&rig->keeper.thread, NULL, run_keeper, &rig->keeper), 0);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert (gf_wait_status (&rig->fleet, i, "/look/1", 200, READY_MS));
  fleet_sleep_ms (1000);
  for (int i = 0; i < CALLERS; i++)
    {
      struct caller *caller = &rig->callers[i];
      *caller = (struct caller){ .fleet = &rig->fleet,
                                 .stopping = &rig->stopping,
                                 .number = i };
      ck_assert_int_eq (
          pthread_create (&caller->thread, NULL, run_caller, caller), 0);
    }
}

/* Ends all callers and processes.  */
static void
stop_rig (struct rig *rig)
{
  rig->stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (rig->callers[i].thread, NULL);
  rig->keeper.stopping = true;
  pthread_join (rig->keeper.thread, NULL);
  gf_stop (&rig->fleet);
}

/* Likewise, and checks that none of the other requests was quarantined and
   that at least SHARE of them were served.  */
static void
end_rig (struct rig *rig, double share)
{
  int sent = 0;
  int served = 0;
  int quarantined = 0;

  stop_rig (rig);
  for (int i = 0; i < CALLERS; i++)
    {
      sent += rig->callers[i].sent;
      served += rig->callers[i].served;
      quarantined += rig->callers[i].quarantined;
    }
  fprintf (stderr, "other requests: %d sent, %d served, %d quarantined\n",
           sent, served, quarantined);
  ck_assert_int_eq (quarantined, 0);
  ck_assert (served >= share * sent);
}

/* Arrivals.  */

/* Returns the arrivals at all targets of requests whose ids begin with PREFIX,
   and sets *TIMES to their times.  */
static size_t
list_arrivals (const struct gf_fleet *fleet, const char *prefix,
               uint64_t **times)
{
  size_t count = 0;

  *times = NULL;
  for (int i = 1; i <= TARGETS; i++)
    {
      struct raw_arrival *some;
      size_t more = raw_list_arrivals (fleet, i, &some);
      *times = realloc (*times, (count + more + 1) * sizeof **times);
      for (size_t j = 0; j < more; j++)
        if (strncmp (some[j].id, prefix, strlen (prefix)) == 0)
          (*times)[count++] = some[j].at_ms;
      free (some);
    }
  qsort (*times, count, sizeof **times, gf_compare_times);
  return count;
}

/* Checks the rule for the request whose repeats have ids that begin with
   PREFIX.  Each arrival ends its target.  */
static void
check_arrivals (const struct gf_fleet *fleet, const char *prefix)
{
  uint64_t *times;
  size_t count = list_arrivals (fleet, prefix, &times);
  size_t late = 0;

  for (size_t i = 3; i < count; i++)
    late += times[i] > times[2] + RUN_MS + SETTLE_MS;
  fprintf (stderr, "%s: %zu targets ended, %zu of them late\n", prefix, count,
           late);
  free (times);
  ck_assert_uint_ge (count, 2);
  ck_assert_uint_le (late, LATE_ARRIVALS);
}

/* Sends the same request REPEATS times to all gateways in turn, each time with
   an id of its own, and checks the rejections.  */
struct repeater
{
  pthread_t thread;
  const struct gf_fleet *fleet;
  const char *line;
  const char *prefix;
  const char *body;
  int first_gateway;
  int quarantined;
  int late;   /* Rejections that took over REJECTION_MS.  */
  int untrue; /* Rejections with another status, or without Retry-After.  */
  int ran;    /* Rejections of requests that had reached a target.  */
};

static void
repeat_once (struct repeater *repeater, int number)
{
  char id[RAW_ID_BYTES];
  struct reply reply;
  int arrivals = 0;

  snprintf (id, sizeof id, "%s-%d", repeater->prefix, number);
  reply = send_one (repeater->fleet,
                    1 + (repeater->first_gateway + number) % GATEWAYS,
                    repeater->line, id, repeater->body);
  if (!reply.quarantined)
    return;
  for (int i = 1; i <= TARGETS; i++)
    arrivals += raw_arrivals (repeater->fleet, i, id);
  repeater->quarantined++;
  repeater->late += arrivals == 0 && reply.took_ms > REJECTION_MS;
  repeater->untrue
      += arrivals == 0 && (reply.status != 503 || !reply.has_retry_after);
  repeater->ran += arrivals > 0 && reply.status == 503;
}

static void *
run_repeater (void *arg)
{
  struct repeater *repeater = arg;

  for (int i = 0; i < REPEATS; i++)
    {
      repeat_once (repeater, i);
      fleet_sleep_ms (REPEAT_PAUSE_MS);
    }
  return NULL;
}

static void
check_repeater (const struct repeater *repeater)
{
  check_arrivals (repeater->fleet, repeater->prefix);
  fprintf (stderr, "%s: %d rejected, %d late, %d untrue, %d had run\n",
           repeater->prefix, repeater->quarantined, repeater->late,
           repeater->untrue, repeater->ran);
  ck_assert_int_gt (repeater->quarantined, REPEATS / 2);
  ck_assert_int_eq (repeater->untrue, 0);
  ck_assert_int_eq (repeater->ran, 0);
  ck_assert_int_le (repeater->late, 1);
}

static void
repeat_and_check (const char *name, const char *line, const char *body)
{
  static struct rig rig;
  struct repeater repeater
      = { .fleet = &rig.fleet, .line = line, .prefix = "p", .body = body };

  start_rig (&rig, name);
  run_repeater (&repeater);
  check_repeater (&repeater);
  /* The same path with another body is another request.  */
  ck_assert_int_eq (
      send_one (&rig.fleet, 1, "POST /shop/1", "other", "o").status, 200);
  end_rig (&rig, SERVED_SHARE);
}

/* Guards against a request that may run once and ends one target for each
   repeat of its caller.  */
START_TEST (crashing_order_is_quarantined)
{
  repeat_and_check ("gf_crash1", "POST /shop/1", POISON);
}
END_TEST

/* Guards against an idempotent request whose own second attempts end targets,
   too.  */
START_TEST (crashing_lookup_is_quarantined)
{
  repeat_and_check ("gf_crash2", "GET /look/" POISON, "");
}
END_TEST

#define AT_ONCE 3

/* Guards against several such requests at a time, each of which looks like a
   cause of the other's crashes.  */
START_TEST (several_crashing_requests_are_quarantined)
{
  static const char *const prefixes[AT_ONCE] = { "pa", "pb", "pc" };
  static const char *const bodies[AT_ONCE]
      = { POISON " a", POISON " b", POISON " c" };
  static struct rig rig;
  struct repeater repeaters[AT_ONCE];

  start_rig (&rig, "gf_crash3");
  for (int i = 0; i < AT_ONCE; i++)
    {
      repeaters[i] = (struct repeater){ .fleet = &rig.fleet,
                                        .line = "POST /shop/1",
                                        .prefix = prefixes[i],
                                        .body = bodies[i],
                                        .first_gateway = i };
      ck_assert_int_eq (pthread_create (&repeaters[i].thread, NULL,
                                        run_repeater, &repeaters[i]),
                        0);
    }
  for (int i = 0; i < AT_ONCE; i++)
    pthread_join (repeaters[i].thread, NULL);
  for (int i = 0; i < AT_ONCE; i++)
    check_repeater (&repeaters[i]);
  end_rig (&rig, SERVED_SHARE);
}
END_TEST

/* Sends the crashing order to GATEWAY with an id of its own.  */
static struct reply
send_crashing (const struct rig *rig, int gateway)
{
  static int number;
  char id[RAW_ID_BYTES];

  snprintf (id, sizeof id, "p-%d", number++);
  return send_one (&rig->fleet, gateway, "POST /shop/1", id, POISON);
}

#define TRIES 30

/* Sends the crashing order to all gateways in turn until each rejects it.  */
static void
wait_quarantined (const struct rig *rig)
{
  int rejecting = 0;

  for (int i = 0; rejecting < GATEWAYS; i++)
    {
      ck_assert_int_lt (i, TRIES);
      rejecting = send_crashing (rig, 1 + i % GATEWAYS).quarantined
                      ? rejecting + 1
                      : 0;
      fleet_sleep_ms (REPEAT_PAUSE_MS);
    }
}

/* Checks that each gateway rejects the crashing order, as soon as it serves
   other requests.  */
static void
check_quarantined (struct rig *rig)
{
  for (int i = 1; i <= GATEWAYS; i++)
    {
      ck_assert (gf_wait_status (&rig->fleet, i, "/look/1", 200, READY_MS));
      ck_assert (send_crashing (rig, i).quarantined);
    }
}

static void
restart_gateways (struct rig *rig)
{
  for (int i = 1; i <= GATEWAYS; i++)
    gf_kill (&rig->fleet.gateway_pids[i]);
  for (int i = 1; i <= GATEWAYS; i++)
    gf_start_gateway (&rig->fleet, i);
}

static void
restart_controls (struct rig *rig)
{
  for (int i = 1; i <= CONTROLS; i++)
    gf_kill (&rig->fleet.control_pids[i]);
  for (int i = 1; i <= CONTROLS; i++)
    gf_start_control (&rig->fleet, i, false);
}

/* Guards against hosts that forget a quarantine with a restart, or that miss
   it while they are frozen.  */
START_TEST (quarantine_survives_restarts)
{
  static struct rig rig;
  int ended;

  start_rig (&rig, "gf_crash4");
  wait_quarantined (&rig);
  ended = rig.keeper.ended;
  restart_gateways (&rig);
  check_quarantined (&rig);
  restart_controls (&rig);
  restart_gateways (&rig);
  check_quarantined (&rig);
  kill (rig.fleet.gateway_pids[2], SIGSTOP);
  fleet_sleep_ms (2000);
  kill (rig.fleet.gateway_pids[2], SIGCONT);
  check_quarantined (&rig);
  ck_assert_int_eq (rig.keeper.ended, ended);
  stop_rig (&rig);
}
END_TEST

#define DISTURBED_SHARE 0.5
#define DISTURBANCES 6

/* Kills, freezes and restarts one host after the other.  */
static void *
disturb_hosts (void *arg)
{
  struct rig *rig = arg;
  struct gf_fleet *fleet = &rig->fleet;

  for (int i = 0; i < DISTURBANCES; i++)
    {
      int control = 1 + i % CONTROLS;
      int gateway = 1 + i % GATEWAYS;
      gf_kill (&fleet->gateway_pids[gateway]);
      kill (fleet->control_pids[control], SIGSTOP);
      fleet_sleep_ms (700);
      kill (fleet->control_pids[control], SIGCONT);
      gf_start_gateway (fleet, gateway);
      gf_kill (&fleet->control_pids[control]);
      fleet_sleep_ms (300);
      gf_start_control (fleet, control, false);
      fleet_sleep_ms (500);
    }
  return NULL;
}

/* Guards against reports that are lost with the host that has them.  */
START_TEST (hosts_lost_meanwhile)
{
  static struct rig rig;
  struct repeater repeater = {
    .fleet = &rig.fleet, .line = "POST /shop/1", .prefix = "p", .body = POISON
  };
  pthread_t disturber;

  start_rig (&rig, "gf_crash5");
  ck_assert_int_eq (pthread_create (&disturber, NULL, disturb_hosts, &rig), 0);
  run_repeater (&repeater);
  pthread_join (disturber, NULL);
  check_arrivals (&rig.fleet, "p");
  ck_assert_int_eq (repeater.untrue, 0);
  ck_assert_int_eq (repeater.ran, 0);
  end_rig (&rig, DISTURBED_SHARE);
}
END_TEST

/* Sends the same slow order again and again.  */
static void *
repeat_slow (void *arg)
{
  struct caller *caller = arg;

  while (!*caller->stopping)
    {
      char id[RAW_ID_BYTES];
      struct reply reply;
      snprintf (id, sizeof id, "s%d-%d", caller->number, caller->sent);
      reply = send_one (caller->fleet, 1 + caller->sent % GATEWAYS,
                        "POST /shop/slow", id, "same");
      caller->sent++;
      caller->served += reply.status == 200;
      caller->quarantined += reply.quarantined;
    }
  return NULL;
}

static bool
any_logged (const struct gf_fleet *fleet, const char *event)
{
  for (int i = 1; i <= GATEWAYS; i++)
    if (gf_logged (fleet, i, event, "", ""))
      return true;
  return false;
}

/* Guards against taking a target that is replaced, restarted or frozen for
   one that a request ended.  */
START_TEST (restarts_and_deploys_quarantine_nothing)
{
  static struct rig rig;
  struct caller slow = { .fleet = &rig.fleet, .stopping = &rig.stopping };

  start_rig (&rig, "gf_crash6");
  ck_assert_int_eq (pthread_create (&slow.thread, NULL, repeat_slow, &slow),
                    0);
  for (int i = 1; i <= TARGETS; i++)
    {
      ck_assert_int_eq (gf_announce (&rig.fleet, 1, i, "draining", 1000000),
                        200);
      fleet_sleep_ms (300);
      kill (rig.fleet.target_pids[i], SIGKILL);
      fleet_sleep_ms (700);
    }
  for (int i = 1; i <= TARGETS; i++)
    {
      kill (rig.fleet.target_pids[i], SIGSTOP);
      fleet_sleep_ms (500);
      kill (rig.fleet.target_pids[i], SIGCONT);
    }
  ck_assert (!any_logged (&rig.fleet, "request_crashed_target"));
  for (int i = 1; i <= TARGETS; i++)
    {
      kill (rig.fleet.target_pids[i], SIGKILL);
      fleet_sleep_ms (2 * SLOW_MS);
    }
  ck_assert (!any_logged (&rig.fleet, "request_quarantined"));
  rig.stopping = true;
  pthread_join (slow.thread, NULL);
  fprintf (stderr, "same slow order: %d sent, %d served\n", slow.sent,
           slow.served);
  ck_assert_int_eq (slow.quarantined, 0);
  end_rig (&rig, SERVED_SHARE);
}
END_TEST

/* Copies to DIGEST the content that CONTROL lists as blocked, which must be
   the only one.  Other orders may be listed: they were in progress at a target
   that ended.  */
static void
read_blocked (struct gf_fleet *fleet, int control, char digest[65])
{
  char *body = NULL;
  json_t *state;
  json_t *item;
  size_t index;
  int blocked = 0;

  ck_assert_int_eq (fleet_http (gf_admin (fleet, control), "GET",
                                "/v1/quarantine", NULL, NULL, &body),
                    200);
  state = json_loads (body, 0, NULL);
  ck_assert_ptr_nonnull (state);
  json_array_foreach (json_object_get (state, "requests"), index, item)
  {
    if (!json_is_true (json_object_get (item, "blocked")))
      continue;
    blocked++;
    ck_assert_str_eq (json_string_value (json_object_get (item, "request")),
                      "POST x.example/shop/1");
    ck_assert_int_eq (
        sscanf (json_string_value (json_object_get (item, "content")), "%64s",
                digest),
        1);
  }
  ck_assert_int_eq (blocked, 1);
  json_decref (state);
  free (body);
}

static int
release (struct gf_fleet *fleet, int control, const char *digest)
{
  char path[128];

  snprintf (path, sizeof path, "/v1/quarantine/release?content=%s", digest);
  return fleet_http (gf_admin (fleet, control), "POST", path, NULL, "", NULL);
}

/* Guards against a quarantine that an operator cannot see or end.  */
START_TEST (operator_sees_and_releases)
{
  static struct rig rig;
  char digest[65];

  start_rig (&rig, "gf_crash7");
  wait_quarantined (&rig);
  for (int i = 1; i <= TARGETS; i++)
    gf_set_flag (&rig.fleet, i, "repaired", true);
  check_quarantined (&rig);
  read_blocked (&rig.fleet, 2, digest);
  ck_assert_int_eq (release (&rig.fleet, 3, "12"), 400);
  ck_assert_int_eq (release (&rig.fleet, 3, digest), 200);
  fleet_sleep_ms (1000);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert_int_eq (send_crashing (&rig, i).status, 200);
  end_rig (&rig, SERVED_SHARE);
}
END_TEST

#define LEARN_MS 5000

/* Guards against a gateway that needs the control group to protect targets,
   and against forgetting meanwhile what it saw.  */
START_TEST (gateway_decides_alone)
{
  static struct rig rig;
  int ended;
  bool learnt = false;

  start_rig (&rig, "gf_crash8");
  for (int i = 1; i <= CONTROLS; i++)
    kill (rig.fleet.control_pids[i], SIGSTOP);
  for (int i = 0; !send_crashing (&rig, 1).quarantined; i++)
    ck_assert_int_lt (i, 3);
  ck_assert_int_le (rig.keeper.ended, 3);
  for (int i = 1; i <= CONTROLS; i++)
    kill (rig.fleet.control_pids[i], SIGCONT);
  for (int waited = 0; !learnt && waited < LEARN_MS; waited += 50)
    {
      fleet_sleep_ms (50);
      learnt = gf_logged (&rig.fleet, 2, "request_quarantined", "", "");
    }
  ck_assert (learnt);
  ended = rig.keeper.ended;
  check_quarantined (&rig);
  ck_assert_int_eq (rig.keeper.ended, ended);
  stop_rig (&rig);
}
END_TEST

#define SILENT_REPEATS 30

/* Guards against a request whose targets fall silent instead of closing their
   connections, and come back as new incarnations.  */
START_TEST (silent_crashes_are_recognised)
{
  static struct rig rig;
  int quarantined = 0;

  start_rig (&rig, "gf_crash9");
  rig.keeper.ends_frozen = true;
  for (int i = 1; i <= TARGETS; i++)
    gf_set_flag (&rig.fleet, i, "silent", true);
  for (int i = 0; i < SILENT_REPEATS && quarantined < GATEWAYS; i++)
    {
      if (send_crashing (&rig, 1 + i % GATEWAYS).quarantined)
        quarantined++;
      fleet_sleep_ms (REPEAT_PAUSE_MS);
    }
  check_arrivals (&rig.fleet, "p");
  ck_assert_int_eq (quarantined, GATEWAYS);
  stop_rig (&rig);
}
END_TEST

SUITE_MAIN ("fleet_crashing_requests", TEST_S, crashing_order_is_quarantined,
            crashing_lookup_is_quarantined,
            several_crashing_requests_are_quarantined,
            quarantine_survives_restarts, hosts_lost_meanwhile,
            restarts_and_deploys_quarantine_nothing,
            operator_sees_and_releases, gateway_decides_alone,
            silent_crashes_are_recognised)
