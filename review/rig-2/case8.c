/* An operator adds 4,200 routes, each under a host name of its own, in three
   changes, and then changes a timeout five times.  */

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 4
#define TIMEOUT_MS 2000
#define ROUTE_BYTES 256
#define CHANGE_EVERY_MS 4000
/* How long a change is sent again, and the pauses in between.  */
#define RESEND_MS 30000
#define PAUSE_MS 200
#define PAUSE_MAX_MS 1600
#define READ_BACK_MS 5000
#define ENDS 3
#define ORDER_EVERY_MS 200

/* Routes that are added by each change: 1,400 is the largest dose of
   big_config, 6,100 routes are what the system has to carry.  The last changes
   add none.  */
static const int added[] = { 1400, 1400, 1400, 0, 0, 0, 0, 0 };

static atomic_int orders;
static atomic_int served;
static atomic_bool stopping;

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  (void)server;
  rig_sleep_ms (50);
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
      atomic_fetch_add (&served, status == 200);
      rig_sleep_ms (ORDER_EVERY_MS);
    }
  return NULL;
}

/* Returns configuration VERSION with COUNT further routes.  */
static char *
make_config (int version, int count)
{
  char *text = malloc ((size_t)(count + 16) * ROUTE_BYTES);
  int len = rig_print_config (text, version, version - 1,
                              (uint64_t)(TIMEOUT_MS + version), 1000);

  /* Further routes are written before the end of the first host's list, or as
     hosts of their own after it.  */
  len -= (int)strlen (rig_trouble ? "]}" : "]}]}");
  for (int i = 0; i < count; i++)
    {
      if (rig_trouble)
        len += sprintf (text + len,
                        ",{\"host\":\"shop-%d.example\",\"prefixes\":[", i);
      else
        text[len++] = ',';
      len += sprintf (text + len,
                      "{\"name\":\"r%d\",\"prefix\":\"/%s%d/\",\"kind\":"
                      "\"once\",\"timeout_ms\":2000,\"objective_ms\":1000,"
                      "\"priority\":1,\"service\":\"shop\",\"attempts\":2}",
                      i, rig_trouble ? "o" : "shop-", i);
      if (rig_trouble)
        len += sprintf (text + len, "]}");
    }
  strcpy (text + len, rig_trouble ? "]}" : "]}]}");
  return text;
}

/* Sends a change to one machine after the other, with increasing pauses, until
   it is acknowledged.  */
static bool
send_change (int version, int count)
{
  char *config = make_config (version, count);
  uint64_t end_ms = rig_now_ms () + RESEND_MS;
  uint64_t pause_ms = PAUSE_MS;
  int status = 0;

  for (int m = 1; status != 200 && rig_now_ms () < end_ms;
       m = m % RIG_MACHINES + 1)
    {
      status = rig_control (m, "POST", "/v1/bundle", config);
      rig_record ("operator: configuration %d with %d routes, %zu bytes, at "
                  "machine %d: %d",
                  version, count + 2, strlen (config), m, status);
      if (status == 200)
        break;
      rig_sleep_ms (pause_ms);
      pause_ms = 2 * pause_ms < PAUSE_MAX_MS ? 2 * pause_ms : PAUSE_MAX_MS;
    }
  free (config);
  return status == 200;
}

int
main (int argc, char **argv)
{
  static struct rig_server servers[SERVERS];
  static int numbers[RIG_MACHINES + 1];
  uint64_t end_ms;
  int acknowledged = 1;
  int count = 0;
  int machines = 0;
  int read_back = 0;

  if (argc < 2)
    return RIG_NOT_RUN;
  rig_start (argv[1]);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (&servers[i], i + 1, handle);
  rig_wait_served ();
  for (int m = 1; m <= RIG_MACHINES; m++)
    {
      pthread_t thread;
      numbers[m] = m;
      if (pthread_create (&thread, NULL, send_orders, &numbers[m]) != 0)
        rig_exit (RIG_NOT_RUN, "cannot start a thread");
      pthread_detach (thread);
    }
  for (size_t i = 0; i < sizeof added / sizeof added[0]; i++)
    {
      rig_sleep_ms (CHANGE_EVERY_MS);
      count += added[i];
      if (!send_change (acknowledged + 1, count))
        break;
      acknowledged++;
    }
  end_ms = rig_now_ms () + READ_BACK_MS;
  for (int m = 1; read_back != 200 && rig_now_ms () < end_ms;
       m = m % RIG_MACHINES + 1)
    {
      read_back = rig_control (m, "GET", "/v1/bundle", "");
      rig_record ("operator: reads the configuration back from machine %d: "
                  "%d",
                  m, read_back);
      rig_sleep_ms (200);
    }
  atomic_store (&stopping, true);
  rig_sleep_ms (500);
  for (int m = 1; m <= RIG_MACHINES; m++)
    machines += rig_memory_ends (m) >= ENDS;
  if (acknowledged < 2)
    rig_exit (RIG_NOT_RUN, "no change was acknowledged");
  rig_exit (machines >= 2 ? RIG_BROKEN : RIG_HELD,
            "%d changes acknowledged; processes of machines 1 to 3 ended %d, "
            "%d and %d times for their memory; reading the configuration "
            "back gives %d; of %d orders %d were served",
            acknowledged, rig_memory_ends (1), rig_memory_ends (2),
            rig_memory_ends (3), read_back, atomic_load (&orders),
            atomic_load (&served));
}
