/* Life of a process of a fleet: start, signals, stop.  */

#ifndef AB_FLEET_RUN_H
#define AB_FLEET_RUN_H

#include "fleet_settings.h"

/* Runs until the process is told to stop.  SETTINGS came from the file PATH,
   which is checked again at SIGHUP.  */
int ab_fleet_run (struct ab_fleet_settings *settings, const char *path,
                  char error[AB_CONF_ERROR_BYTES]);

#endif
