/* Operators' requests: unknown keys, modified, replayed and old requests must
   be rejected.  */

#include <stdlib.h>

#include "error.h"
#include "operator_auth.h"
#include "suite_lib.h"

#define NOW_MS 1000000000000ULL

struct fixture
{
  struct ab_settings settings;
  struct ab_signer signer;
  struct ab_secret_key secret;
  struct ab_operator_auth *auth;
  struct ab_operator_request request;
  struct ab_signature signature;
};

static void
fixture_init (struct fixture *f)
{
  *f = (struct fixture){ .signer = { .name = "ops" },
                         .request = { .method = AB_CHUNK ("POST"),
                                      .path = AB_CHUNK ("/v1/drain"),
                                      .host = AB_CHUNK ("entry-1"),
                                      .incarnation = 7,
                                      .time_ms = NOW_MS } };
  ck_assert_int_eq (ab_crypto_init (), 0);
  ab_key_pair_new (&f->signer.key, &f->secret);
  f->settings.operators = &f->signer;
  f->settings.operator_count = 1;
  f->auth = ab_operator_auth_new (&f->settings);
  ck_assert_int_eq (ab_operator_sign (&f->request, &f->secret, &f->signature),
                    0);
}

static int
check_at (struct fixture *f, uint64_t now_ms)
{
  const char *name = NULL;

  return ab_operator_auth_check (f->auth, now_ms, &f->request, &f->signer.key,
                                 &f->signature, &name);
}

START_TEST (valid_request)
{
  struct fixture f;
  const char *name = NULL;

  fixture_init (&f);
  ck_assert_int_eq (ab_operator_auth_check (f.auth, NOW_MS, &f.request,
                                            &f.signer.key, &f.signature,
                                            &name),
                    0);
  ck_assert_str_eq (name, "ops");
  ab_operator_auth_free (f.auth);
}
END_TEST

/* Guards against a captured request that is accepted a second time.  */
START_TEST (replay_refused)
{
  struct fixture f;

  fixture_init (&f);
  ck_assert_int_eq (check_at (&f, NOW_MS), 0);
  ck_assert_int_eq (check_at (&f, NOW_MS + 1), AB_ERR_EXISTS);
  /* After the nonce has been dropped, the time check must reject the
     request.  */
  ck_assert_int_eq (check_at (&f, NOW_MS + 3 * AB_OPERATOR_SKEW_MS),
                    AB_ERR_EXPIRED);
  ab_operator_auth_free (f.auth);
}
END_TEST

/* Guards against a replay at another host or after a restart, and against a
   modified request.  */
START_TEST (changed_request_refused)
{
  struct fixture f;

  fixture_init (&f);
  f.request.host = AB_CHUNK ("entry-2");
  ck_assert_int_eq (check_at (&f, NOW_MS), AB_ERR_DENIED);
  f.request.host = AB_CHUNK ("entry-1");
  f.request.incarnation = 8;
  ck_assert_int_eq (check_at (&f, NOW_MS), AB_ERR_DENIED);
  f.request.incarnation = 7;
  f.request.path = AB_CHUNK ("/v1/stop");
  ck_assert_int_eq (check_at (&f, NOW_MS), AB_ERR_DENIED);
  ab_operator_auth_free (f.auth);
}
END_TEST

/* Guards against accepting a valid signature by a key that does not belong to
   a listed operator.  */
START_TEST (unlisted_key_refused)
{
  struct fixture f;
  struct ab_public_key public_key;
  struct ab_secret_key secret;
  const char *name = NULL;

  fixture_init (&f);
  ab_key_pair_new (&public_key, &secret);
  ab_operator_sign (&f.request, &secret, &f.signature);
  ck_assert_int_eq (ab_operator_auth_check (f.auth, NOW_MS, &f.request,
                                            &public_key, &f.signature, &name),
                    AB_ERR_DENIED);
  ab_operator_auth_free (f.auth);
}
END_TEST

SUITE_MAIN ("operator_auth", 60, valid_request, replay_refused,
            changed_request_refused, unlisted_key_refused)
