/* Two control hosts are replaced by empty ones at other addresses, and 10 s
   later two others, with tolerated_losses 2.  */

#include "rig.h"

#define CONTROLS 6
#define ALL (CONTROLS + 4)
#define LOSSES 2
#define FIRST_ACK_S 10
/* Until all hosts are members, and more than catch-up-s.  */
#define SETTLE_S 8
/* A successor starts this long after its predecessor ended.  */
#define SUCCESSOR_S 1
/* From one pair to the next: more than SUCCESSOR_S and catch-up-s (6 s).  */
#define PAIRS_S 10
/* recover-s of the site, with 10 s to spare.  */
#define RECOVER_S 25

/* Sends a bundle to one running host after the other until it is
   acknowledged.  Returns the version, or 0.  */
static int
put (int version, int base, double seconds)
{
  double end = rig_now () + seconds;

  while (rig_now () < end)
    for (int i = 1; i <= ALL; i++)
      if (rig_control_runs (i) && rig_put_bundle (i, version, base, 1) == 200)
        {
          rig_record ("bundle %d acknowledged by control host %d", version, i);
          return version;
        }
  rig_record ("bundle %d was not acknowledged", version);
  return 0;
}

/* Ends two hosts for good and starts their successors.  */
static void
replace_pair (int first, int successor)
{
  rig_lose_controls (first, first + 1);
  rig_sleep (SUCCESSOR_S);
  rig_start_control (successor, false);
  rig_start_control (successor + 1, false);
}

int
main (int argc, char **argv)
{
  double end;
  int acked;
  int newest = 0;
  int reads = 0;

  (void)argc;
  rig_start (argv[1], LOSSES);
  for (int i = 1; i <= CONTROLS; i++)
    rig_start_control (i, true);
  rig_start_gateway (1);
  if (put (1, 0, FIRST_ACK_S) == 0)
    rig_end (2);
  rig_sleep (SETTLE_S);
  if (rig_trouble ())
    replace_pair (3, CONTROLS + 1);
  rig_sleep (PAIRS_S - SUCCESSOR_S);
  acked = put (2, 1, FIRST_ACK_S);
  if (acked == 0)
    rig_end (2);
  if (rig_trouble ())
    replace_pair (5, CONTROLS + 3);
  /* All successors run: the operator reads back what was acknowledged.  */
  end = rig_now () + RECOVER_S;
  while (rig_now () < end && newest < acked)
    for (int i = 1; i <= ALL; i++)
      if (rig_control_runs (i))
        {
          int version = rig_read_bundle (i, 1);
          reads++;
          newest = version > newest ? version : newest;
        }
  rig_record ("%d reads; newest version read: %d, acknowledged: %d", reads,
              newest, acked);
  if (newest < acked)
    put (3, acked, 5);
  rig_end (newest >= acked ? 0 : 1);
}
