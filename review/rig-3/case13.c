/* One of the three seeds loses its disk while the machines start for the
   first time.  */

#include "rig.h"

#include <stdio.h>

#define CONTROLS 6
#define LOSSES 1
/* The machines start within 0.3 s of each other.  */
#define FIRST_UP_S 0.1
#define OTHERS_S 0.1
#define DOWN_S 1.0
/* recover-s of the site, with 15 s to spare.  */
#define RECOVER_S 30

/* Sends one request of a client; returns whether it is served.  */
static bool
ask (int number)
{
  static struct rig_response response;
  char address[64];
  char lines[128];

  rig_gateway_address (number % 2 + 1, RIG_CALLERS, address);
  snprintf (lines, sizeof lines, "Request-Id: r%d\r\nDeadline-Ms: 2500\r\n",
            number);
  return rig_http (address, "GET", "/look/1", lines, NULL, 2.5, &response)
         == 200;
}

int
main (int argc, char **argv)
{
  double end;
  int acked = 0;
  int orders = 0;
  int requests = 0;
  int served = 0;

  (void)argc;
  rig_start (argv[1], LOSSES);
  rig_start_control (3, true);
  rig_sleep (FIRST_UP_S);
  if (rig_trouble ())
    rig_lose_controls (3, 3);
  rig_sleep (OTHERS_S);
  for (int i = 1; i <= CONTROLS; i++)
    if (i != 3)
      rig_start_control (i, true);
  rig_start_gateway (1);
  rig_start_gateway (2);
  rig_start_server (1);
  rig_start_server (2);
  if (rig_trouble ())
    {
      rig_sleep (DOWN_S);
      rig_start_control (3, false);
    }
  /* The operator sends the first bundle to one host after the other.  */
  end = rig_now () + RECOVER_S;
  while (rig_now () < end && acked == 0)
    {
      int control = orders++ % CONTROLS + 1;
      int status = rig_put_bundle (control, 1, 0, 1);
      if (status == 200)
        acked = control;
      else
        rig_sleep (0.1);
    }
  rig_record ("%d orders sent; acknowledged by control host %d (0: none)",
              orders, acked);
  end = rig_now () + 5;
  while (rig_now () < end)
    {
      served += ask (requests++);
      rig_sleep (0.05);
    }
  rig_record ("%d requests sent, %d served, %d run", requests, served,
              rig_runs (1) + rig_runs (2));
  for (int i = 1; i <= CONTROLS; i++)
    rig_record ("control host %d runs: %d", i, rig_control_runs (i));
  rig_end (acked && served > 0 ? 0 : 1);
}
