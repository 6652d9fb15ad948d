/* Fuzz target: settings files.  */

#include "settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_settings *settings = NULL;
  char error[AB_CONF_ERROR_BYTES];

  ab_settings_parse ("input", ab_chunk (data, size), &settings, error);
  ab_settings_free (settings);
  return 0;
}
