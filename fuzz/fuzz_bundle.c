/* Fuzz target: parses a bundle and, if it is valid, looks up routes in it.  */

#include "bundle.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_bundle *bundle = NULL;
  char error[AB_CONF_ERROR_BYTES];

  if (ab_bundle_parse ("input", ab_chunk (data, size), &bundle, error) == 0)
    {
      ab_bundle_find_route (bundle, AB_METHOD_GET, ab_chunk (data, size));
      ab_bundle_find_route (bundle, AB_METHOD_POST, AB_CHUNK ("/orders/1"));
    }
  ab_bundle_unref (bundle);
  return 0;
}
