/* Tests that bytes which belong to one request of a caller are never run as
   another one.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define TEST_S 90
#define READY_MS 10000
#define ANSWER_MS 3000
#define SETTLE_MS 500

struct form
{
  const char *method;
  const char *length; /* Header line; %zu is the length of the body.  */
  bool chunked;
  bool refused; /* Must get 400, and its connection be closed.  */
};

static const struct form forms[] = {
  { "HEAD", "Content-Length: %zu", false, true },
  { "HEAD", "Transfer-Encoding: chunked", true, true },
  { "POST", "Content-Length : %zu", false, true },
  { "POST", "Content-Length\t: %zu", false, true },
  { "PUT", "Transfer-Encoding : chunked", true, true },
  { "POST", "Content-Length: %zu\r\nContent-Length: %zu", false, true },
  { "GET", "Content-Length : %zu", false, true },
  { "GET", "Content-Length: %zu", false, false },
  { "DELETE", "Content-Length: %zu", false, false },
  { "OPTIONS", "Content-Length: %zu", false, false },
  { "PATCH", "Content-Length: %zu", false, false },
  { "POST", "Content-Length: %zu", false, false },
  { "POST", "Transfer-Encoding: chunked", true, false },
  { "GET", "Transfer-Encoding: chunked", true, false },
};

#define FORMS ((int)(sizeof forms / sizeof forms[0]))

/* Sends a request of form NUMBER whose body quotes a request with the id
   quoted-NUMBER, and checks the response.  */
static void
send_form (struct gf_fleet *fleet, int number)
{
  static struct raw_message response;
  const struct form *form = &forms[number];
  char quoted[256];
  char body[512];
  char length[128];
  char text[1024];
  int fd = raw_connect (gf_callers (fleet, 1));

  ck_assert_int_ge (fd, 0);
  snprintf (quoted, sizeof quoted,
            "GET /look/1 HTTP/1.1\r\nHost: x.example\r\n"
            "X-Request-Id: quoted-%d\r\n\r\n",
            number);
  if (form->chunked)
    snprintf (body, sizeof body, "%zx\r\n%s\r\n0\r\n\r\n", strlen (quoted),
              quoted);
  else
    snprintf (body, sizeof body, "%s", quoted);
  /* The second length differs, so that the two conflict.  */
  snprintf (length, sizeof length, form->length, strlen (body),
            strlen (body) - 1);
  snprintf (text, sizeof text,
            "%s /look/%d HTTP/1.1\r\nHost: x.example\r\n"
            "X-Request-Id: form-%d\r\n%s\r\n\r\n%s",
            form->method, number, number, length, body);
  ck_assert (raw_send_str (fd, text));
  raw_read (fd, ANSWER_MS, &response);
  if (form->refused)
    {
      ck_assert_msg (response.status == 400, "%s with \"%s\" got %d",
                     form->method, form->length, response.status);
      ck_assert_msg (!raw_read (fd, ANSWER_MS, &response),
                     "%s with \"%s\" got a second response", form->method,
                     form->length);
    }
  close (fd);
}

/* Guards against bodies that are read as the next request of a connection:
   those of HEAD requests, and those whose length is in a header with a space
   before the colon.  */
START_TEST (quoted_requests_do_not_run)
{
  struct gf_fleet fleet;

  gf_start (&fleet, "gf_quoted", 3, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_start_target (&fleet, 2, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 0; i < FORMS; i++)
    send_form (&fleet, i);
  fleet_sleep_ms (SETTLE_MS);
  for (int i = 0; i < FORMS; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "quoted-%d", i);
      ck_assert_msg (gf_runs (&fleet, id) == 0, "%s with \"%s\": %s ran",
                     forms[i].method, forms[i].length, id);
      snprintf (id, sizeof id, "form-%d", i);
      if (forms[i].refused)
        ck_assert_int_eq (gf_runs (&fleet, id), 0);
    }
  /* Ids of requests that run are recorded.  */
  ck_assert_int_eq (gf_runs (&fleet, "form-11"), 1);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_quoted_requests", TEST_S, quoted_requests_do_not_run)
