/* Two control hosts lose their disks right after the first bundle was
   acknowledged, with tolerated_losses 2.  */

#include "rig.h"

#define CONTROLS 6
#define LOSSES 2
#define FIRST_ACK_S 10
#define DOWN_S 1.0
/* recover-s of the site, with 10 s to spare.  */
#define RECOVER_S 25

int
main (int argc, char **argv)
{
  double acked;
  double end;
  int asks = 0;
  int seen = 0;
  int status = 0;

  (void)argc;
  rig_start (argv[1], LOSSES);
  for (int i = 1; i <= CONTROLS; i++)
    rig_start_control (i, true);
  rig_start_gateway (1);
  /* The operator sends the first bundle until it is accepted.  */
  end = rig_now () + FIRST_ACK_S;
  while (status != 200 && rig_now () < end)
    {
      status = rig_put_bundle (1, 1, 0, 1);
      if (status != 200)
        rig_sleep (0.02);
    }
  rig_record ("bundle 1 sent to control host 1: status %d", status);
  if (status != 200)
    rig_end (2);
  acked = rig_now ();
  if (rig_trouble ())
    {
      rig_lose_controls (1, 2);
      rig_sleep (DOWN_S);
      rig_start_control (1, false);
      rig_start_control (2, false);
    }
  /* All machines are back: the operator reads back what was acknowledged.  */
  end = rig_now () + RECOVER_S;
  while (rig_now () < end && seen < 1)
    for (int i = 1; i <= CONTROLS; i++)
      {
        int version = rig_read_bundle (i, 1);
        asks++;
        if (version > seen)
          {
            seen = version;
            rig_record ("control host %d answers with version %d", i, version);
          }
      }
  for (int i = 1; i <= CONTROLS; i++)
    if (!rig_control_runs (i))
      rig_record ("control host %d does not run", i);
  rig_record ("%d reads in %.1f s after the acknowledgement; newest version "
              "read: %d",
              asks, rig_now () - acked, seen);
  /* An operator that builds on the acknowledged version.  */
  status = 0;
  for (int i = 1; i <= CONTROLS && status != 200; i++)
    {
      status = rig_put_bundle (i, 2, 1, 1.5);
      rig_record ("bundle 2 sent to control host %d: status %d", i, status);
    }
  rig_end (seen >= 1 ? 0 : 1);
}
