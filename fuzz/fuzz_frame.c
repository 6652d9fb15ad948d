/* Fuzz target: decoders of frames and of signed bundles.  The bundle decoder
   gets the body of a valid frame, else the whole input.  */

#include "frame.h"
#include "signed_bundle.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_frame frame;
  struct ab_signed_bundle bundle;
  struct ab_chunk input = ab_chunk (data, size);

  if (ab_frame_decode (input, &frame) == 0)
    input = frame.body;
  if (ab_signed_bundle_decode (input, &bundle) == 0)
    ab_signed_bundle_free (&bundle);
  return 0;
}
