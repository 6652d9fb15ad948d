#include "digest.h"

#include <sodium.h>

#include "error.h"

int
ab_crypto_init (void)
{
  return sodium_init () < 0 ? AB_ERR_UNAVAILABLE : 0;
}

struct ab_digest
ab_digest_of (struct ab_chunk data)
{
  struct ab_digest digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes,
                      (const unsigned char *)data.data, data.len, NULL, 0);
  return digest;
}

void
ab_digest_begin (struct ab_digest_stream *stream)
{
  crypto_generichash_init (&stream->state, NULL, 0, AB_DIGEST_BYTES);
}

void
ab_digest_add (struct ab_digest_stream *stream, struct ab_chunk data)
{
  crypto_generichash_update (&stream->state, (const unsigned char *)data.data,
                             data.len);
}

struct ab_digest
ab_digest_end (struct ab_digest_stream *stream)
{
  struct ab_digest digest;

  crypto_generichash_final (&stream->state, digest.bytes, sizeof digest.bytes);
  return digest;
}

struct ab_digest
ab_digest_of_parts (const struct ab_chunk *parts, size_t count)
{
  crypto_generichash_state state;
  struct ab_digest digest;

  crypto_generichash_init (&state, NULL, 0, sizeof digest.bytes);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t len = parts[i].len;
      crypto_generichash_update (&state, (const unsigned char *)&len,
                                 sizeof len);
      crypto_generichash_update (&state, (const unsigned char *)parts[i].data,
                                 parts[i].len);
    }
  crypto_generichash_final (&state, digest.bytes, sizeof digest.bytes);
  return digest;
}

bool
ab_digest_equal (const struct ab_digest *a, const struct ab_digest *b)
{
  return sodium_memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

void
ab_sign (const struct ab_secret_key *key, struct ab_chunk data,
         struct ab_signature *signature)
{
  crypto_sign_detached (signature->bytes, NULL,
                        (const unsigned char *)data.data, data.len,
                        key->bytes);
}

int
ab_verify (const struct ab_public_key *key, struct ab_chunk data,
           const struct ab_signature *signature)
{
  if (crypto_sign_verify_detached (signature->bytes,
                                   (const unsigned char *)data.data, data.len,
                                   key->bytes)
      != 0)
    return AB_ERR_DENIED;
  return 0;
}

void
ab_key_pair_new (struct ab_public_key *public_key,
                 struct ab_secret_key *secret_key)
{
  crypto_sign_keypair (public_key->bytes, secret_key->bytes);
}

struct ab_public_key
ab_secret_key_public (const struct ab_secret_key *key)
{
  struct ab_public_key public_key;

  crypto_sign_ed25519_sk_to_pk (public_key.bytes, key->bytes);
  return public_key;
}

void
ab_hex_encode (const void *bytes, size_t size, char *text)
{
  sodium_bin2hex (text, 2 * size + 1, bytes, size);
}

int
ab_hex_decode (struct ab_chunk text, void *bytes, size_t size)
{
  size_t len = 0;

  if (text.len != 2 * size
      || sodium_hex2bin (bytes, size, text.data, text.len, NULL, &len, NULL)
             != 0
      || len != size)
    return AB_ERR_INVALID;
  return 0;
}
