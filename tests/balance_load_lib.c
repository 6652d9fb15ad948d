#include "balance_load_lib.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "fleet_lib.h"
#include "raw_http_lib.h"
#include "rendezvous.h"
#include "suite_lib.h"

#define GATEWAYS 8
#define TARGETS 6
#define SLOTS 4 /* Of a target of gateway_fleet_lib.h.  */
/* The stated bound: requests at a target beyond its slots.  A host tells a new
   scheduler what it has in flight with its first request there, which the
   scheduler may have decided on others before.  */
#define BEYOND_MAX 1
#define CALLERS 30
/* Work on a request takes this long, depending on its id.  With equal times
   all requests would end at the same moment, and a new scheduler would find
   all targets idle.  */
#define WORK_MIN_MS 100
#define WORK_RANGE_MS 600
#define REPLY_MS 4000

static bool stopping;
static struct gf_fleet fleet;
static int scheduler;

static uint64_t
work_ms (const char *id)
{
  return WORK_MIN_MS + ab_rendezvous_hash (ab_chunk_str (id)) % WORK_RANGE_MS;
}

static bool
work (struct raw_target *target, int fd, const struct raw_message *request,
      int number)
{
  (void)number;
  raw_target_arrival (target, request->id);
  usleep ((useconds_t)work_ms (request->id) * 1000);
  return raw_reply (fd, request, 200, "", "ran");
}

/* Sends requests one after another to a gateway other than the scheduler.  */
static void *
run_caller (void *arg)
{
  int number = *(int *)arg;
  struct raw_message *response = calloc (1, sizeof *response);
  int gateway = 1 + number % (GATEWAYS - 1);
  char address[64];
  char text[256];

  gf_print_callers (&fleet, gateway < scheduler ? gateway : gateway + 1,
                    address, sizeof address);
  for (int i = 0; response && !stopping; i++)
    {
      int fd = raw_connect (address);
      if (fd < 0)
        continue;
      snprintf (text, sizeof text,
                "GET /look/1 HTTP/1.1\r\nHost: x.example\r\n"
                "Connection: close\r\nX-Request-Id: c%d-%d\r\n\r\n",
                number, i);
      raw_send_str (fd, text);
      raw_read (fd, REPLY_MS, response);
      close (fd);
      if (response->status != 200)
        usleep (50000);
    }
  free (response);
  return NULL;
}

/* Returns the largest number of requests that target NUMBER had at once.  */
static size_t
most_in_flight (int number)
{
  struct raw_arrival *list;
  size_t count = raw_list_arrivals (&fleet, number, &list);
  size_t most = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t n = 0;
      for (size_t j = 0; j <= i; j++)
        n += list[i].at_ms < list[j].at_ms + work_ms (list[j].id);
      most = n > most ? n : most;
    }
  printf ("target %d: %zu requests, most at once %zu\n", number, count, most);
  free (list);
  return most;
}

void
balance_run (const char *name, bool returns)
{
  pthread_t threads[CALLERS];
  int numbers[CALLERS];

  gf_start (&fleet, name, 3, GATEWAYS);
  for (int i = 1; i <= TARGETS; i++)
    raw_target_start (&fleet, i, work);
  for (int i = 1; i <= GATEWAYS; i++)
    ck_assert (gf_wait_status (&fleet, i, "/look/1", 200, 8000));
  fleet_sleep_ms (1500);
  for (int i = 1; i <= GATEWAYS; i++)
    if (gf_logged (&fleet, i, "scheduler_role", "service=shop", "regular"))
      scheduler = i;
  ck_assert_int_gt (scheduler, 0);
  for (int i = 0; i < CALLERS; i++)
    {
      numbers[i] = i;
      ck_assert_int_eq (
          pthread_create (&threads[i], NULL, run_caller, &numbers[i]), 0);
    }
  fleet_sleep_ms (3000);
  gf_kill (&fleet.gateway_pids[scheduler]);
  fleet_sleep_ms (4000);
  if (returns)
    {
      gf_start_gateway (&fleet, scheduler);
      fleet_sleep_ms (4000);
    }
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  for (int i = 1; i <= TARGETS; i++)
    ck_assert_uint_le (most_in_flight (i), SLOTS + BEYOND_MAX);
  gf_stop (&fleet);
}
