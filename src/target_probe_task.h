/* Checks whether an address accepts TCP connections.  */

#ifndef AB_TARGET_PROBE_TASK_H
#define AB_TARGET_PROBE_TASK_H

#include <stdbool.h>

#include "daemon.h"

struct ab_prober;

/* ACCEPTS is false when the connection failed, for example because it was
   refused; it is true also when the attempt timed out.  */
typedef void (*ab_probe_callback) (void *ctx, const char *address,
                                   bool accepts);

/* CALLBACK is called with CTX from the event loop for each probe that was
   started.  Returns 0 or AB_ERR_MEMORY.  */
int ab_prober_new (struct ab_daemon *daemon, ab_probe_callback callback,
                   void *ctx, struct ab_prober **prober);
void ab_prober_free (struct ab_prober *prober);

/* Connects to ADDRESS and closes the connection again.  Does nothing when
   ADDRESS is not valid or memory runs out.  */
void ab_prober_probe (struct ab_prober *prober, const char *address);

#endif
