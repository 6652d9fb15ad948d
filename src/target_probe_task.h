/* Finds out whether an address accepts connections.  */

#ifndef AB_TARGET_PROBE_TASK_H
#define AB_TARGET_PROBE_TASK_H

#include <stdbool.h>

#include "daemon.h"

struct ab_prober;

/* ACCEPTS is false only after a refusal; no answer at all is none.  */
typedef void (*ab_probed) (void *ctx, const char *address, bool accepts);

/* PROBED is called from the event loop for each probe that was started.  */
int ab_prober_new (struct ab_daemon *daemon, ab_probed probed, void *ctx,
                   struct ab_prober **prober);
void ab_prober_free (struct ab_prober *prober);

/* Connects to ADDRESS and closes again.  */
void ab_prober_probe (struct ab_prober *prober, const char *address);

#endif
