/* Life of a daemon process: makes the tasks, runs the event loop until a
   planned stop or a fatal failure.  */

#ifndef AB_DAEMON_RUN_H
#define AB_DAEMON_RUN_H

#include "settings.h"

/* Returns 0 after a planned stop.  On failure to start, ERROR tells why.  */
int ab_daemon_run (const struct ab_settings *settings,
                   char error[AB_CONF_ERROR_BYTES]);

#endif
