#include "gateway_fleet_lib.h"

#include <check.h>
#include <stdlib.h>

#include "fleet_lib.h"

#define POLL_MS 50

json_t *
gf_read_state (struct gf_fleet *fleet, int control)
{
  char *text = NULL;
  json_t *state = NULL;

  if (fleet->control_pids[control]
      && fleet_http (gf_admin (fleet, control), "GET", "/v1/state", NULL, NULL,
                     &text)
             == 200)
    state = json_loads (text, 0, NULL);
  free (text);
  return state;
}

bool
gf_is_leader (struct gf_fleet *fleet, int control)
{
  json_t *state = gf_read_state (fleet, control);
  bool leader = json_is_true (
      json_object_get (json_object_get (state, "group"), "leader"));

  json_decref (state);
  return leader;
}

int
gf_find_leader (struct gf_fleet *fleet, int timeout_ms)
{
  for (int waited = 0; waited < timeout_ms; waited += POLL_MS)
    {
      for (int i = 1; i <= GF_CONTROLS_MAX; i++)
        if (gf_is_leader (fleet, i))
          return i;
      fleet_sleep_ms (POLL_MS);
    }
  ck_abort_msg ("no leader");
}
