/* Public interface of libalmondbridge.

   Error numbers, verdicts, and the coordination modules that other programs
   may embed: the detector, which decides by the outcomes of requests whether
   targets are healthy, and the dispatcher, which grants slots on the targets.
   Neither does I/O; time and randomness are arguments, and effects go through
   a vtable.  examples/embed_dispatcher.c shows their use.  */

#ifndef ALMONDBRIDGE_H
#define ALMONDBRIDGE_H

#include "chunk.h"
#include "detector.h"
#include "dispatcher.h"
#include "error.h"
#include "outcome.h"
#include "rng.h"
#include "verdict.h"

#endif
