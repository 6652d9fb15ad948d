/* What the cases about the memory of entry hosts share: they bring it about
   that the processes of two machines use more memory than the machines have,
   three times each, while an ordinary client sends orders.  */

#ifndef CROWD_H
#define CROWD_H

#include "rig.h"

/* Opens the connections of one attempt to machine MACHINE, and closes them
   after some seconds.  */
typedef void (*crowd_attempt) (int machine);

/* Runs the case in FOLDER; does not return.  */
void crowd_run (const char *folder, crowd_attempt attempt);

#endif
