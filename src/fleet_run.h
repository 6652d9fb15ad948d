/* Main loop of a fleet process: start, signals, graceful shutdown.  */

#ifndef AB_FLEET_RUN_H
#define AB_FLEET_RUN_H

#include "fleet_settings.h"

/* Runs the process until SIGTERM or SIGINT, and then until it has shut down
   gracefully.  SETTINGS was read from the file PATH, which is checked again on
   SIGHUP.  Returns 0 or a negative code, with a message in ERROR or an empty
   one.  */
int ab_fleet_run (struct ab_fleet_settings *settings, const char *path,
                  char error[AB_CONF_ERROR_BYTES]);

#endif
