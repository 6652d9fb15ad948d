#include "budget_load_lib.h"

#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "raw_http_lib.h"
#include "rng.h"

#define READY_MS 20000
#define REPLY_MS 5000
#define CALLERS_MAX 64
#define SERVICES_MAX 2
/* The flag is a file of target 0, which does not exist.  */
#define CALM_TARGET 0

static atomic_bool stopping;
static atomic_int burst = 1;
static int reject_percent;

/* Requests for one service.  */
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
  int pause_ms;
  struct sent sent[SERVICES_MAX];
  size_t served;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static bool
reject_some (struct raw_target *target, int fd,
             const struct raw_message *request, int number)
{
  (void)number;
  raw_target_arrival (target, request->id);
  if (strncmp (request->id, "wait", 4) != 0 && random () % 100 < reject_percent
      && !raw_target_fleet_flag (target, "calm"))
    return raw_reject (fd, request);
  return raw_reply (fd, request, 200, "", "ran");
}

void
budget_set_calm (const struct gf_fleet *fleet, bool calm)
{
  gf_set_flag (fleet, CALM_TARGET, "calm", calm);
}

void
budget_set_burst (int count)
{
  burst = count;
}

static void
record_sent (struct sent *sent)
{
  sent->times = realloc (sent->times, (sent->count + 1) * sizeof *sent->times);
  if (!sent->times)
    abort ();
  sent->times[sent->count++] = now_ms ();
}

/* Sends the request I of CALLER to a gateway.  Each id begins with the number
   of its service.  */
static void
send_request (struct caller *caller, int i, struct raw_message *response)
{
  static const char *const paths[SERVICES_MAX][2]
      = { { "GET /look/1", "POST /shop/1" },
          { "POST /pay/1", "POST /pay/1" } };
  const struct gf_fleet *fleet = caller->fleet;
  int service = fleet->services == 2 && i % 3 == 2;
  char address[64];
  char text[256];
  int fd;

  gf_print_callers (fleet, 1 + (caller->number * 7 + i) % fleet->gateways,
                    address, sizeof address);
  fd = raw_connect (address);
  if (fd < 0)
    return;
  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n"
            "X-Request-Id: %d-c%d-%d\r\nContent-Length: 0\r\n\r\n",
            paths[service][i / 3 % 2], service, caller->number, i);
  record_sent (&caller->sent[service]);
  raw_send_str (fd, text);
  raw_read (fd, REPLY_MS, response);
  caller->served += response->status == 200;
  close (fd);
}

static void *
run_caller (void *arg)
{
  struct caller *caller = arg;
  struct raw_message *response = calloc (1, sizeof *response);
  uint64_t due = now_ms ();

  for (int i = 0; !stopping; i++)
    {
      uint64_t now = now_ms ();
      send_request (caller, i, response);
      due += (uint64_t)(caller->pause_ms / burst);
      if (due < now)
        due = now;
      now = now_ms ();
      if (due > now)
        fleet_sleep_ms ((int)(due - now));
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

/* Appends to *ALL, with *COUNT elements, the arrivals at target NUMBER of
   requests for SERVICE.  */
static void
add_arrivals (const struct gf_fleet *fleet, int number, int service,
              struct raw_arrival **all, size_t *count)
{
  struct raw_arrival *some;
  size_t more = raw_list_arrivals (fleet, number, &some);

  *all = realloc (*all, (*count + more + 1) * sizeof **all);
  ck_assert_ptr_nonnull (*all);
  for (size_t i = 0; i < more; i++)
    if (some[i].id[0] == '0' + service)
      (*all)[(*count)++] = some[i];
  free (some);
}

/* Sets *TIMES to the times of all arrivals for SERVICE beyond the first of
   their request, and returns their number.  */
static size_t
list_repeats (const struct gf_fleet *fleet, int targets, int service,
              uint64_t **times)
{
  struct raw_arrival *all = NULL;
  size_t count = 0;
  size_t repeats = 0;

  for (int i = 1; i <= targets; i++)
    add_arrivals (fleet, i, service, &all, &count);
  ck_assert_ptr_nonnull (all);
  qsort (all, count, sizeof *all, compare_arrivals);
  *times = calloc (count + 1, sizeof **times);
  ck_assert_ptr_nonnull (*times);
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

/* Returns the requests that count for the window that begins at FROM.  */
static size_t
requests_for (const struct sent *sent, uint64_t from)
{
  size_t most = 0;

  for (uint64_t halves = 0; halves <= 2; halves++)
    {
      uint64_t begin = from - halves * BUDGET_WINDOW_MS / 2;
      size_t count = count_between (sent->times, sent->count, begin,
                                    begin + BUDGET_WINDOW_MS);
      most = count > most ? count : most;
    }
  return most;
}

/* Prints the repeated arrivals of each second of the window from FROM.  */
static void
print_seconds (const uint64_t *repeats, size_t count, uint64_t from)
{
  fprintf (stderr, "repeated arrivals by second:");
  for (uint64_t at = from; at < from + BUDGET_WINDOW_MS; at += 1000)
    fprintf (stderr, " %zu", count_between (repeats, count, at, at + 1000));
  fprintf (stderr, "\n");
}

/* Checks the window of SERVICE in which most of the allowed repeated arrivals
   were used.  */
static void
check_service (const struct budget_load *load, const struct gf_fleet *fleet,
               int service, const struct sent *sent)
{
  uint64_t *repeats;
  size_t count = list_repeats (fleet, load->targets, service, &repeats);
  double worst_share = 0;
  size_t worst_used = 0;
  double worst_allowed = 0;
  uint64_t worst_from = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t from = repeats[i];
      size_t used
          = count_between (repeats, count, from, from + BUDGET_WINDOW_MS);
      double allowed = load->retry_fraction * (double)requests_for (sent, from)
                       + load->retry_extra;
      if ((double)used / allowed <= worst_share)
        continue;
      worst_share = (double)used / allowed;
      worst_used = used;
      worst_allowed = allowed;
      worst_from = from;
    }
  fprintf (stderr,
           "%s service %d: %zu requests, most repeated arrivals in a window: "
           "%zu of %.1f (%.2f)\n",
           load->name, service, sent->count, worst_used, worst_allowed,
           worst_share);
  print_seconds (repeats, count, worst_from);
  free (repeats);
  ck_assert_msg (worst_share <= load->share_max,
                 "%zu repeated arrivals, allowed %.1f * %.2f", worst_used,
                 worst_allowed, load->share_max);
  ck_assert_uint_ge (worst_used, load->used_min);
}

static void
start_fleet (const struct budget_load *load, struct gf_fleet *fleet)
{
  reject_percent = load->reject_percent;
  gf_start_wide (fleet, load->name, load->controls, load->regions,
                 load->services, load->proxied_gateways);
  fleet->retry_extra = load->retry_extra;
  fleet->retry_fraction = load->retry_fraction;
  fleet->gateways = load->gateways;
  for (int i = 1; i <= load->gateways; i++)
    gf_start_gateway (fleet, i);
  for (int i = 1; i <= load->targets; i++)
    raw_target_start (fleet, i, reject_some);
  for (int i = 1; i <= load->gateways; i++)
    {
      ck_assert (gf_wait_status (fleet, i, "/look/1", 200, READY_MS));
      if (load->services == 2)
        ck_assert (gf_wait_status (fleet, i, "/pay/1", 200, READY_MS));
    }
}

/* Ends CALLER and appends what it sent to SENT.  */
static void
join_caller (struct caller *caller, struct sent sent[SERVICES_MAX])
{
  pthread_join (caller->thread, NULL);
  for (int i = 0; i < SERVICES_MAX; i++)
    {
      const struct sent *own = &caller->sent[i];
      sent[i].times = realloc (sent[i].times, (sent[i].count + own->count + 1)
                                                  * sizeof *own->times);
      ck_assert_ptr_nonnull (sent[i].times);
      for (size_t j = 0; j < own->count; j++)
        sent[i].times[sent[i].count++] = own->times[j];
      free (own->times);
    }
}

void
budget_run (const struct budget_load *load,
            void (*disturb) (struct gf_fleet *fleet))
{
  static struct caller callers[CALLERS_MAX];
  struct sent sent[SERVICES_MAX] = { 0 };
  struct gf_fleet fleet;
  size_t served = 0;
  size_t requests = 0;

  ck_assert_int_le (load->callers, CALLERS_MAX);
  start_fleet (load, &fleet);
  for (int i = 0; i < load->callers; i++)
    {
      callers[i] = (struct caller){ .fleet = &fleet,
                                    .number = i,
                                    .pause_ms = load->pause_ms };
      ck_assert_int_eq (
          pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]),
          0);
    }
  disturb (&fleet);
  stopping = true;
  for (int i = 0; i < load->callers; i++)
    {
      join_caller (&callers[i], sent);
      served += callers[i].served;
    }
  for (int i = 0; i < SERVICES_MAX; i++)
    requests += sent[i].count;
  fprintf (stderr, "%s served: %zu of %zu (%.3f)\n", load->name, served,
           requests, (double)served / (double)requests);
  for (int i = 0; i < (load->services == 2 ? 2 : 1); i++)
    check_service (load, &fleet, i, &sent[i]);
  for (int i = 0; i < SERVICES_MAX; i++)
    free (sent[i].times);
  gf_stop (&fleet);
}
