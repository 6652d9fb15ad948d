/* Tests with gateways as real processes that the arrivals at targets beyond
   the first one of each request stay within the fleet's retry budget.

   The targets reject most requests, so that gateways would send each several
   times, and record the arrivals of each request id.  */

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define READY_MS 10000
#define REPLY_MS 5000
#define TEST_S 200
#define TARGETS 6
#define GATEWAYS 12
#define CALLERS 8
#define PAUSE_MS 200
/* Defaults of repeat_fraction and repeat_window.  */
#define FRACTION 0.1
#define WINDOW_MS 10000
#define EXTRA 40
/* Of this many arrivals one is served by a target, the others are rejected. */
#define SERVED_ONE_IN 2

static atomic_bool stopping;

struct sent
{
  uint64_t *times;
  size_t count;
};

struct caller
{
  pthread_t thread;
  const struct gf_fleet *fleet;
  int number;
  struct sent sent;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static bool
reject_most (struct raw_target *target, int fd,
             const struct raw_message *request, int number)
{
  static atomic_uint arrivals;

  (void)number;
  raw_target_arrival (target, request->id);
  if (strcmp (request->id, "wait") != 0 && arrivals++ % SERVED_ONE_IN != 0)
    return raw_reject (fd, request);
  raw_target_run (target, request->id);
  return raw_reply (fd, request, 200, "", "ran");
}

static void
record_sent (struct sent *sent)
{
  sent->times = realloc (sent->times, (sent->count + 1) * sizeof *sent->times);
  if (!sent->times)
    abort ();
  sent->times[sent->count++] = now_ms ();
}

/* Sends requests to all gateways in turn until the test ends.  */
static void *
run_caller (void *arg)
{
  struct caller *caller = arg;
  struct raw_message *response = calloc (1, sizeof *response);

  for (int i = 0; !stopping; i++)
    {
      char address[64];
      char text[256];
      int fd;

      snprintf (address, sizeof address, "127.%d.%d.%d:8161",
                caller->fleet->block[0], caller->fleet->block[1],
                21 + (caller->number + i) % GATEWAYS);
      fd = raw_connect (address);
      snprintf (text, sizeof text,
                "%s HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
                "X-Request-Id: c%d-%d\r\nContent-Length: 0\r\n\r\n",
                i % 2 ? "POST /shop/1" : "GET /look/1", caller->number, i);
      if (fd >= 0)
        {
          record_sent (&caller->sent);
          raw_send_str (fd, text);
          raw_read (fd, REPLY_MS, response);
          close (fd);
        }
      fleet_sleep_ms (PAUSE_MS);
    }
  free (response);
  return NULL;
}

static int
compare_arrivals (const void *a, const void *b)
{
  const struct raw_arrival *x = a;
  const struct raw_arrival *y = b;
  int order = strcmp (x->id, y->id);

  return order ? order : gf_compare_times (&x->at_ms, &y->at_ms);
}

/* Sets *TIMES to the times of all arrivals beyond the first of their request,
   and returns their number.  */
static size_t
list_repeats (const struct gf_fleet *fleet, uint64_t **times)
{
  struct raw_arrival *all = NULL;
  size_t count = 0;
  size_t repeats = 0;

  for (int i = 1; i <= TARGETS; i++)
    {
      struct raw_arrival *some;
      size_t more = raw_list_arrivals (fleet, i, &some);
      all = realloc (all, (count + more + 1) * sizeof *all);
      ck_assert_ptr_nonnull (all);
      memcpy (all + count, some, more * sizeof *all);
      count += more;
      free (some);
    }
  qsort (all, count, sizeof *all, compare_arrivals);
  *times = calloc (count + 1, sizeof **times);
  for (size_t i = 1; i < count; i++)
    if (strcmp (all[i].id, all[i - 1].id) == 0)
      (*times)[repeats++] = all[i].at_ms;
  free (all);
  qsort (*times, repeats, sizeof **times, gf_compare_times);
  return repeats;
}

static size_t
count_between (const uint64_t *times, size_t count, uint64_t from, uint64_t to)
{
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    n += times[i] >= from && times[i] < to;
  return n;
}

/* Returns the requests that count for the window that begins at FROM: those of
   the window, of the one before it or of the one half a window before it,
   whichever has most.  */
static size_t
requests_for (const struct sent *sent, uint64_t from)
{
  size_t most = 0;

  for (int halves = 0; halves <= 2; halves++)
    {
      uint64_t begin = from - (uint64_t)halves * WINDOW_MS / 2;
      size_t count
          = count_between (sent->times, sent->count, begin, begin + WINDOW_MS);
      most = count > most ? count : most;
    }
  return most;
}

static void
check_budget (const struct gf_fleet *fleet, const struct sent *sent)
{
  uint64_t *repeats;
  size_t count = list_repeats (fleet, &repeats);
  double worst_share = 0;
  size_t worst_used = 0;
  double worst_allowed = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t used
          = count_between (repeats, count, repeats[i], repeats[i] + WINDOW_MS);
      double allowed
          = FRACTION * (double)requests_for (sent, repeats[i]) + EXTRA;
      if ((double)used / allowed <= worst_share)
        continue;
      worst_share = (double)used / allowed;
      worst_used = used;
      worst_allowed = allowed;
    }
  fprintf (stderr, "most repeated arrivals in a window: %zu of %.1f\n",
           worst_used, worst_allowed);
  ck_assert_msg (worst_share <= 1, "%zu repeated arrivals, allowed %.1f",
                 worst_used, worst_allowed);
  /* Without repeats the test would show nothing.  */
  ck_assert_uint_gt (worst_used, 5);
  free (repeats);
}

/* Runs CALLERS callers while DISTURB runs, and checks the budget.  */
static void
run_load (const char *name, int regions, void (*disturb) (struct gf_fleet *))
{
  static struct caller callers[CALLERS];
  struct sent sent = { 0 };
  struct gf_fleet fleet;

  gf_start (&fleet, name, 3, 0);
  fleet.regions = regions;
  fleet.retry_extra = EXTRA;
  fleet.gateways = GATEWAYS;
  for (int i = 1; i <= GATEWAYS; i++)
    gf_start_gateway (&fleet, i);
  for (int i = 1; i <= TARGETS; i++)
    raw_target_start (&fleet, i, reject_most);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert (gf_wait_status (&fleet, i, "/look/1", 200, READY_MS));
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .fleet = &fleet, .number = i };
      ck_assert_int_eq (
          pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]),
          0);
    }
  disturb (&fleet);
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    {
      const struct sent *own = &callers[i].sent;
      pthread_join (callers[i].thread, NULL);
      sent.times = realloc (sent.times, (sent.count + own->count + 1)
                                            * sizeof *sent.times);
      ck_assert_ptr_nonnull (sent.times);
      memcpy (sent.times + sent.count, own->times,
              own->count * sizeof *sent.times);
      sent.count += own->count;
      free (own->times);
    }
  check_budget (&fleet, &sent);
  free (sent.times);
  gf_stop (&fleet);
}

static void
wait_only (struct gf_fleet *fleet)
{
  (void)fleet;
  fleet_sleep_ms (2 * WINDOW_MS + WINDOW_MS / 2);
}

/* Guards against a request that counts once for the budget at each scheduler
   that it is offered to.  */
START_TEST (request_counts_once_in_all_shards)
{
  run_load ("gf_shards", 2, wait_only);
}
END_TEST

/* Gateways that are disturbed at a time.  */
#define GROUP 4
#define ROUNDS 12
#define FREEZE_MS 1000
#define BETWEEN_MS 400

static void
signal_group (const struct gf_fleet *fleet, int round, int number)
{
  for (int i = 0; i < GROUP; i++)
    kill (fleet->gateway_pids[1 + (round * GROUP + i) % GATEWAYS], number);
}

static void
freeze_in_turn (struct gf_fleet *fleet)
{
  fleet_sleep_ms (WINDOW_MS + WINDOW_MS / 2);
  for (int i = 0; i < ROUNDS; i++)
    {
      signal_group (fleet, i, SIGSTOP);
      fleet_sleep_ms (FREEZE_MS);
      signal_group (fleet, i, SIGCONT);
      fleet_sleep_ms (BETWEEN_MS);
    }
}

/* Guards against hosts that stand in for a frozen scheduler, each with the
   whole additional budget.  */
START_TEST (frozen_schedulers_share_one_budget)
{
  run_load ("gf_frozen", 1, freeze_in_turn);
}
END_TEST

static void
restart_in_turn (struct gf_fleet *fleet)
{
  fleet_sleep_ms (WINDOW_MS + WINDOW_MS / 2);
  for (int i = 0; i < ROUNDS; i++)
    {
      for (int j = 0; j < GROUP; j++)
        gf_kill (&fleet->gateway_pids[1 + (i * GROUP + j) % GATEWAYS]);
      fleet_sleep_ms (BETWEEN_MS / 2);
      for (int j = 0; j < GROUP; j++)
        gf_start_gateway (fleet, 1 + (i * GROUP + j) % GATEWAYS);
      fleet_sleep_ms (FREEZE_MS);
    }
}

/* Guards against a scheduler that forgets with a restart what was spent.  */
START_TEST (restarted_schedulers_share_one_budget)
{
  run_load ("gf_forget", 1, restart_in_turn);
}
END_TEST

SUITE_MAIN ("fleet_budget", TEST_S, request_counts_once_in_all_shards,
            frozen_schedulers_share_one_budget,
            restarted_schedulers_share_one_budget)
