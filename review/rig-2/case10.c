/* Clients ask the directory address of a machine which addresses to use, with
   a body of 60 MiB.  */

#include "crowd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define MIB ((size_t)1024 * 1024)
#define BODY_MIB 60
#define STAY_MS 1500

static void
ask (int machine)
{
  static char piece[MIB];
  int fds[CLIENTS];
  char head[256];
  char ip[32];

  rig_address (machine, ip);
  snprintf (head, sizeof head,
            "GET /v1/addresses?name=x.example&region=region-1"
            "&failure_domain=zone-1 HTTP/1.1\r\nHost: %s\r\n"
            "Content-Length: %zu\r\n\r\n",
            ip, rig_trouble ? BODY_MIB * MIB : (size_t)0);
  for (int i = 0; i < CLIENTS; i++)
    {
      fds[i] = rig_connect (ip, RIG_DIRECTORY);
      if (fds[i] < 0 || !rig_send (fds[i], head, strlen (head)))
        continue;
      /* The last byte is left out: the request is not complete yet.  */
      for (int j = 0; rig_trouble && j < BODY_MIB; j++)
        if (!rig_send (fds[i], piece, j + 1 < BODY_MIB ? MIB : MIB - 1))
          break;
      rig_record ("client: asked machine %d for addresses%s", machine,
                  rig_trouble ? ", 60 MiB of body sent" : "");
    }
  rig_sleep_ms (STAY_MS);
  for (int i = 0; i < CLIENTS; i++)
    if (fds[i] >= 0)
      close (fds[i]);
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return RIG_NOT_RUN;
  crowd_run (argv[1], ask);
}
