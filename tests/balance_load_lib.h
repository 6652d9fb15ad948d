/* A load on gateways as real processes whose scheduler is replaced.  */

#ifndef BALANCE_LOAD_LIB_H
#define BALANCE_LOAD_LIB_H

#include <stdbool.h>

/* Runs 30 callers on 24 slots of six targets, kills the scheduler and, if
   RETURNS is true, starts it again after 4 s.  Fails the test if a target had
   more requests at once than its slots and the stated number beyond them. NAME
   is the name of the fleet.  */
void balance_run (const char *name, bool returns);

#endif
