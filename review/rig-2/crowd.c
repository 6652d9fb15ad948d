#include "crowd.h"

#include <stdio.h>
#include <unistd.h>

#define SERVERS 4
#define TIMEOUT_MS 4000
#define RUN_MS 300
#define ORDER_EVERY_MS 100
#define MACHINES 2
#define ENDS 3
#define ATTEMPTS 4
#define PAUSE_MS 3000

static atomic_int orders;
static atomic_int served;
static atomic_int cut;
static atomic_bool stopping;

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  (void)server;
  rig_sleep_ms (RUN_MS);
  return rig_answer (fd, request, 200, "", "ok");
}

static void *
send_orders (void *arg)
{
  static struct rig_message answers[RIG_MACHINES + 1];
  int machine = *(int *)arg;
  char id[17];

  while (!atomic_load (&stopping))
    {
      int status;
      rig_new_id (id, 16);
      status = rig_request (machine, "POST", "/order/1", id, "", "x",
                            TIMEOUT_MS, &answers[machine]);
      rig_record ("client: order %s at machine %d got %d", id, machine,
                  status);
      atomic_fetch_add (&orders, 1);
      atomic_fetch_add (status == 200 ? &served : &cut,
                        status == 200 || status == 0);
      rig_sleep_ms (ORDER_EVERY_MS);
    }
  return NULL;
}

void
crowd_run (const char *folder, crowd_attempt attempt)
{
  static struct rig_server servers[SERVERS];
  static int numbers[MACHINES + 1];
  int broken = 0;

  rig_start (folder);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (&servers[i], i + 1, handle);
  rig_wait_served ();
  for (int m = 1; m <= MACHINES; m++)
    {
      pthread_t thread;
      numbers[m] = m;
      if (pthread_create (&thread, NULL, send_orders, &numbers[m]) != 0)
        rig_exit (RIG_NOT_RUN, "cannot start a thread");
      pthread_detach (thread);
    }
  rig_sleep_ms (2000);
  for (int i = 0; i < ATTEMPTS; i++)
    for (int m = 1; m <= MACHINES; m++)
      if (rig_memory_ends (m) < ENDS)
        {
          attempt (m);
          rig_record ("machine %d: gateway's peak memory %llu MB", m,
                      (unsigned long long)rig_gateway_peak_mb (m));
          rig_sleep_ms (PAUSE_MS);
        }
  atomic_store (&stopping, true);
  rig_sleep_ms (500);
  for (int m = 1; m <= MACHINES; m++)
    broken += rig_memory_ends (m) >= ENDS;
  if (atomic_load (&served) < 10)
    rig_exit (RIG_NOT_RUN, "only %d orders were served",
              atomic_load (&served));
  rig_exit (broken == MACHINES ? RIG_BROKEN : RIG_HELD,
            "processes of machine 1 and 2 ended %d and %d times for their "
            "memory; of %d orders %d were served and %d cut or not accepted",
            rig_memory_ends (1), rig_memory_ends (2), atomic_load (&orders),
            atomic_load (&served), atomic_load (&cut));
}
