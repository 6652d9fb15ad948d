/* 700 clients of a machine send requests with a head of 15 KB in short lines.
   The first part of the head is sent at once, the end 2.5 s later.  */

#include "crowd.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 700
#define LINES 3900
#define REST_MS 2500

static void
send_heads (int machine)
{
  static int fds[CLIENTS];
  static char lines[LINES * 4 + 1];
  char head[256];
  char id[17];
  char ip[32];

  rig_address (machine, ip);
  lines[0] = '\0';
  for (int i = 0; i < LINES; i++)
    memcpy (lines + 4 * i, rig_trouble ? "a:\r\n" : "aaaa", 4);
  if (!rig_trouble)
    {
      /* A head of the same size in one line.  */
      memcpy (lines, "a: ", 3);
      memcpy (lines + sizeof lines - 3, "\r\n", 2);
    }
  for (int i = 0; i < CLIENTS; i++)
    {
      fds[i] = rig_connect (ip, RIG_FRONT);
      rig_new_id (id, 16);
      snprintf (head, sizeof head,
                "GET /look/%d HTTP/1.1\r\nHost: x.example\r\nRequest-Id: "
                "%s\r\nDeadline-Ms: 4000\r\n",
                i, id);
      if (fds[i] >= 0)
        {
          rig_send (fds[i], head, strlen (head));
          rig_send (fds[i], lines, sizeof lines - 1);
        }
    }
  rig_record ("clients: %d heads of %zu bytes sent to machine %d", CLIENTS,
              strlen (head) + sizeof lines - 1, machine);
  rig_sleep_ms (REST_MS);
  for (int i = 0; i < CLIENTS; i++)
    if (fds[i] >= 0)
      rig_send (fds[i], "\r\n", 2);
  rig_sleep_ms (1000);
  for (int i = 0; i < CLIENTS; i++)
    if (fds[i] >= 0)
      close (fds[i]);
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return RIG_NOT_RUN;
  crowd_run (argv[1], send_heads);
}
