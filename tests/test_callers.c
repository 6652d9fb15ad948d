/* Tests of the listener for callers: slow, idle and many connections, drain
   and TLS.  */

#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

#include "proxy_fakes.h"

static char certificate_file[] = "/tmp/test_callers.XXXXXX";
static char key_file[] = "/tmp/test_callers.XXXXXX";

static void
prepare (struct ab_http_settings *http)
{
  (void)http;
}

/* Guards against callers that hold a connection by sending a request slowly,
   and against idle connections, fewer than the bound, that keep other callers
   out.  */
START_TEST (slow_and_idle_callers)
{
  struct harness_caller idle[4];
  struct harness_caller slow;

  script (0, OK ("ok", "2"), false);
  for (size_t i = 0; i < 4; i++)
    harness_caller_start (&idle[i], fake.base, fake.settings.listen.callers);
  harness_caller_start (&slow, fake.base, fake.settings.listen.callers);
  harness_caller_send (&slow, "GET /get HT");
  expect (GET CLOSE "\r\n", 200, WANT ("ok"));
  harness_run_closed (&slow);
  for (size_t i = 0; i < 4; i++)
    {
      ck_assert (!idle[i].closed);
      harness_caller_stop (&idle[i]);
    }
  harness_caller_stop (&slow);
}
END_TEST

/* Guards against a leak in the count of connections, after which the host
   would accept none: 30 callers connect, one after the other.  */
START_TEST (many_connections)
{
  script (0, OK ("ok", "2"), false);
  for (int i = 0; i < 30; i++)
    expect (GET CLOSE "\r\n", 200, WANT ("ok"));
}
END_TEST

/* Guards against a drain that interrupts requests, or that lets callers keep
   connections to a draining host.  */
START_TEST (drain)
{
  struct harness_caller idle;

  harness_target_script (
      &fake.targets[0],
      (struct harness_reply){ .raw = OK ("ok", "2"), .delay_ms = 50 });
  harness_caller_start (&idle, fake.base, fake.settings.listen.callers);
  harness_run_ms (fake.base, 20);
  ab_proxy_task_drain (fake.daemon.proxy);
  expect (GET "\r\n", 200, WANT ("Connection: close\r\n", "ok"));
  harness_run_closed (&idle);
  harness_caller_stop (&idle);
  ab_proxy_task_undrain (fake.daemon.proxy);
  expect (GET CLOSE "\r\n", 200, WANT ("ok"));
}
END_TEST

/* Writes a new self-signed certificate and its key.  */
static void
write_certificate (void)
{
  EVP_PKEY *key = EVP_RSA_gen (2048);
  X509 *x509 = X509_new ();
  FILE *file;

  ASN1_INTEGER_set (X509_get_serialNumber (x509), 1);
  X509_gmtime_adj (X509_getm_notBefore (x509), 0);
  X509_gmtime_adj (X509_getm_notAfter (x509), 3600);
  X509_set_pubkey (x509, key);
  X509_NAME_add_entry_by_txt (X509_get_subject_name (x509), "CN", MBSTRING_ASC,
                              (const unsigned char *)"test", -1, -1, 0);
  X509_set_issuer_name (x509, X509_get_subject_name (x509));
  X509_sign (x509, key, EVP_sha256 ());
  file = fopen (certificate_file, "w");
  PEM_write_X509 (file, x509);
  fclose (file);
  file = fopen (key_file, "w");
  PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
  fclose (file);
  X509_free (x509);
  EVP_PKEY_free (key);
}

/* Returns whether the body arrived.  The end of the connection would be too
   late: libevent's TLS client drops bytes that it reads together with it.  */
static bool
is_answered (void *ctx)
{
  const struct harness_caller *caller = ctx;

  return caller->received.data && strstr (caller->received.data, "\r\n\r\nok");
}

/* Guards against a listener that speaks plain HTTP although TLS is configured,
   and against a reload that applies a broken certificate.  */
START_TEST (tls)
{
  struct ab_http_settings *http = &fake.settings.http;
  char error[AB_CONF_ERROR_BYTES];
  SSL_CTX *ctx = SSL_CTX_new (TLS_client_method ());
  FILE *file;

  script (0, OK ("ok", "2"), false);
  close (mkstemp (certificate_file));
  close (mkstemp (key_file));
  write_certificate ();
  snprintf (http->certificate_file, sizeof http->certificate_file, "%s",
            certificate_file);
  snprintf (http->key_file, sizeof http->key_file, "%s", key_file);
  ck_assert_int_eq (ab_proxy_task_reload (fake.daemon.proxy, error), 0);
  file = fopen (certificate_file, "w");
  fputs ("broken", file);
  fclose (file);
  ck_assert_int_lt (ab_proxy_task_reload (fake.daemon.proxy, error), 0);
  ck_assert_ptr_nonnull (strstr (error, certificate_file));
  for (int i = 0; i < 3; i++)
    {
      struct harness_caller caller;

      harness_caller_start_tls (&caller, fake.base,
                                fake.settings.listen.callers, SSL_new (ctx));
      harness_caller_send (&caller, GET "\r\n");
      harness_run (fake.base, is_answered, &caller);
      harness_caller_stop (&caller);
    }
  SSL_CTX_free (ctx);
  unlink (certificate_file);
  unlink (key_file);
}
END_TEST

PROXY_SUITE ("callers", slow_and_idle_callers, many_connections, drain, tls)
