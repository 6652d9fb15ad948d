#include "operator_auth.h"

#include <stdlib.h>
#include <uthash.h>

#include "error.h"
#include "pack.h"

/* Limit on the nonces that are kept at a time.  */
#define NONCES_MAX 65536

struct nonce
{
  uint8_t bytes[AB_NONCE_BYTES];
  uint64_t received_ms;
  UT_hash_handle hh;
};

struct ab_operator_auth
{
  const struct ab_settings *settings;
  struct nonce *nonces; /* In order of arrival.  */
};

static int
build_statement (const struct ab_operator_request *request,
                 struct ab_buf *statement)
{
  struct ab_digest body = ab_digest_of (request->body);

  ab_buf_append_str (statement, "almondbridge operator request 1\n");
  ab_pack_bytes (statement, request->method);
  ab_pack_bytes (statement, request->path);
  ab_pack_bytes (statement, ab_chunk (body.bytes, sizeof body.bytes));
  ab_pack_bytes (statement, request->host);
  ab_pack_u64 (statement, request->incarnation);
  ab_pack_u64 (statement, request->time_ms);
  ab_pack_bytes (statement, ab_chunk (request->nonce, AB_NONCE_BYTES));
  return statement->error;
}

int
ab_operator_sign (const struct ab_operator_request *request,
                  const struct ab_secret_key *key,
                  struct ab_signature *signature)
{
  struct ab_buf statement = AB_BUF_INIT;
  int rc = build_statement (request, &statement);

  if (rc == 0)
    ab_sign (key, ab_buf_chunk (&statement), signature);
  ab_buf_free (&statement);
  return rc;
}

struct ab_operator_auth *
ab_operator_auth_new (const struct ab_settings *settings)
{
  struct ab_operator_auth *auth = calloc (1, sizeof *auth);

  if (auth)
    auth->settings = settings;
  return auth;
}

void
ab_operator_auth_free (struct ab_operator_auth *auth)
{
  struct nonce *nonce;

  if (!auth)
    return;
  nonce = auth->nonces;
  HASH_CLEAR (hh, auth->nonces);
  while (nonce)
    {
      struct nonce *next = nonce->hh.next;
      free (nonce);
      nonce = next;
    }
  free (auth);
}

static const struct ab_signer *
find_operator (const struct ab_settings *settings,
               const struct ab_public_key *key)
{
  for (size_t i = 0; i < settings->operator_count; i++)
    if (memcmp (settings->operators[i].key.bytes, key->bytes,
                sizeof key->bytes)
        == 0)
      return &settings->operators[i];
  return NULL;
}

/* Drops the nonces whose requests are so old that the time check rejects
   them.  */
static void
drop_expired_nonces (struct ab_operator_auth *auth, uint64_t now_ms)
{
  struct nonce *nonce = auth->nonces;

  while (nonce && nonce->received_ms + 2 * AB_OPERATOR_SKEW_MS < now_ms)
    {
      struct nonce *next = nonce->hh.next;
      HASH_DEL (auth->nonces, nonce);
      free (nonce);
      nonce = next;
    }
}

static int
record_nonce (struct ab_operator_auth *auth, uint64_t now_ms,
              const uint8_t *bytes)
{
  struct nonce *nonce = NULL;

  drop_expired_nonces (auth, now_ms);
  HASH_FIND (hh, auth->nonces, bytes, AB_NONCE_BYTES, nonce);
  if (nonce)
    return AB_ERR_EXISTS;
  if (HASH_COUNT (auth->nonces) >= NONCES_MAX)
    return AB_ERR_FULL;
  nonce = calloc (1, sizeof *nonce);
  if (!nonce)
    return AB_ERR_MEMORY;
  memcpy (nonce->bytes, bytes, AB_NONCE_BYTES);
  nonce->received_ms = now_ms;
  HASH_ADD (hh, auth->nonces, bytes, AB_NONCE_BYTES, nonce);
  return 0;
}

int
ab_operator_auth_check (struct ab_operator_auth *auth, uint64_t now_ms,
                        const struct ab_operator_request *request,
                        const struct ab_public_key *key,
                        const struct ab_signature *signature,
                        const char **name)
{
  const struct ab_signer *signer = find_operator (auth->settings, key);
  struct ab_buf statement = AB_BUF_INIT;
  int rc;

  if (!signer)
    return AB_ERR_DENIED;
  rc = build_statement (request, &statement);
  if (rc == 0)
    rc = ab_verify (key, ab_buf_chunk (&statement), signature);
  ab_buf_free (&statement);
  if (rc < 0)
    return rc;
  if (request->time_ms + AB_OPERATOR_SKEW_MS < now_ms
      || request->time_ms > now_ms + AB_OPERATOR_SKEW_MS)
    return AB_ERR_EXPIRED;
  rc = record_nonce (auth, now_ms, request->nonce);
  if (rc < 0)
    return rc;
  *name = signer->name;
  return 0;
}
