/* BLAKE2b digests, Ed25519 signatures and hexadecimal text, by libsodium.
   No I/O.  */

#ifndef AB_DIGEST_H
#define AB_DIGEST_H

#include <sodium.h>
#include <stdint.h>

#include "chunk.h"

#define AB_DIGEST_BYTES 32
/* Bytes by which digests are told apart cheaply.  */
#define AB_DIGEST_PREFIX_BYTES 8
#define AB_PUBLIC_KEY_BYTES 32
#define AB_SECRET_KEY_BYTES 64
#define AB_SIGNATURE_BYTES 64

struct ab_digest
{
  uint8_t bytes[AB_DIGEST_BYTES];
};

struct ab_public_key
{
  uint8_t bytes[AB_PUBLIC_KEY_BYTES];
};

struct ab_secret_key
{
  uint8_t bytes[AB_SECRET_KEY_BYTES];
};

struct ab_signature
{
  uint8_t bytes[AB_SIGNATURE_BYTES];
};

/* Must be called before the other functions.  Returns 0 or
   AB_ERR_UNAVAILABLE.  */
int ab_crypto_init (void);

struct ab_digest ab_digest_of (struct ab_chunk data);

/* Digest of COUNT parts, each preceded by its length, so that moving a byte
   from one part to the next changes the result.  */
struct ab_digest ab_digest_of_parts (const struct ab_chunk *parts,
                                     size_t count);

/* Digest of data that comes in pieces.  How it is split does not change the
   result.  */
struct ab_digest_stream
{
  crypto_generichash_state state;
};

void ab_digest_begin (struct ab_digest_stream *stream);
void ab_digest_add (struct ab_digest_stream *stream, struct ab_chunk data);
struct ab_digest ab_digest_end (struct ab_digest_stream *stream);

bool ab_digest_equal (const struct ab_digest *a, const struct ab_digest *b);

void ab_sign (const struct ab_secret_key *key, struct ab_chunk data,
              struct ab_signature *signature);

/* Returns 0, or AB_ERR_DENIED when SIGNATURE is not that of DATA by KEY.  */
int ab_verify (const struct ab_public_key *key, struct ab_chunk data,
               const struct ab_signature *signature);

void ab_key_pair_new (struct ab_public_key *public_key,
                      struct ab_secret_key *secret_key);

/* Returns the public key that belongs to KEY.  */
struct ab_public_key ab_secret_key_public (const struct ab_secret_key *key);

/* Writes SIZE bytes as 2 * SIZE hexadecimal digits and a null byte.  */
void ab_hex_encode (const void *bytes, size_t size, char *text);

/* Reads exactly SIZE bytes from the hexadecimal TEXT.  Returns 0, or
   AB_ERR_INVALID when TEXT has another length or other characters.  */
int ab_hex_decode (struct ab_chunk text, void *bytes, size_t size);

#endif
