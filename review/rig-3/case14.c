/* A HEAD request with a body that reads like a request: its body must not
   run.  */

#include "rig.h"

#include <stdio.h>
#include <string.h>

#define READY_S 10
#define SETTLE_S 2
#define TRIES 5

static const char inner[]
    = "POST /buy/inner HTTP/1.1\r\nHost: x.example\r\nRequest-Id: inner\r\n"
      "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";

int
main (int argc, char **argv)
{
  static struct rig_response response;
  char address[64];
  double end;
  int status = 0;
  int before;
  int runs;
  int answered = 0;

  (void)argc;
  rig_start (argv[1], 1);
  for (int i = 1; i <= 3; i++)
    rig_start_control (i, true);
  rig_start_gateway (1);
  rig_start_server (1);
  end = rig_now () + READY_S;
  while (status != 200 && rig_now () < end)
    status = rig_put_bundle (1, 1, 0, 1);
  rig_gateway_address (1, RIG_CALLERS, address);
  while (rig_now () < end
         && rig_http (address, "GET", "/look/1",
                      "Request-Id: first\r\nDeadline-Ms: 2000\r\n", NULL, 3,
                      &response)
                != 200)
    rig_sleep (0.1);
  if (status != 200 || response.status != 200)
    rig_end (2);
  rig_sleep (SETTLE_S);
  before = rig_runs (1);
  for (int i = 0; i < TRIES; i++)
    {
      char lines[128];
      snprintf (lines, sizeof lines,
                "Request-Id: outer-%d\r\nDeadline-Ms: 3000\r\n", i);
      /* rig_http adds the Content-Length, and reads until the gateway
         closes.  */
      status = rig_http_kept (address, rig_trouble () ? "HEAD" : "GET",
                              "/look/1", lines, inner, 2, &response);
      rig_record ("request outer-%d with a body of %zu bytes: status %d", i,
                  strlen (inner), status);
      answered += status == 200;
    }
  rig_sleep (0.5);
  runs = rig_runs (1) - before;
  rig_record ("%d requests sent, %d answered with 200, %d runs; runs of the "
              "request that no client sent: %d",
              TRIES, answered, runs, rig_runs_of (1, "inner"));
  rig_end (rig_runs_of (1, "inner") > 0 ? 1 : 0);
}
