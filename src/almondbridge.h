/* Public interface of libalmondbridge.

   Error numbers, verdicts, and the coordination parts that other programs may
   embed.  */

#ifndef ALMONDBRIDGE_H
#define ALMONDBRIDGE_H

#include "error.h"
#include "verdict.h"

#endif
