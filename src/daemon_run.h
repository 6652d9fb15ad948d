/* Main loop of a daemon process: creates the tasks and runs the event loop
   until a planned stop or a fatal failure.  */

#ifndef AB_DAEMON_RUN_H
#define AB_DAEMON_RUN_H

#include "settings.h"

/* Returns 0 after a planned stop, or a negative error.  When the daemon cannot
   start, ERROR tells why or is unchanged.  */
int ab_daemon_run (const struct ab_settings *settings,
                   char error[AB_CONF_ERROR_BYTES]);

#endif
