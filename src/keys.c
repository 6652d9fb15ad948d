#include "keys.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include "error.h"

#define KEY_FILE_BYTES_MAX 4096
#define KEY_KIND_BYTES 16
#define KEY_TEXT_BYTES 160
#define CURVE_TEXT_LEN (AB_CURVE_KEY_BYTES - 1)
#define CURVE_RAW_BYTES 32

struct key_file
{
  char kind[KEY_KIND_BYTES];
  char public_text[KEY_TEXT_BYTES];
  char secret_text[KEY_TEXT_BYTES];
};

static const struct ab_conf_field key_file_fields[] = {
  AB_CONF_FIELD (key_file, "kind", kind, ab_conf_name, .required = true),
  AB_CONF_FIELD (key_file, "public", public_text, ab_conf_string,
                 .required = true),
  AB_CONF_FIELD (key_file, "secret", secret_text, ab_conf_string,
                 .required = true),
};

bool
ab_curve_key_valid (struct ab_chunk text)
{
  char copy[AB_CURVE_KEY_BYTES];
  uint8_t raw[CURVE_RAW_BYTES];

  return text.len == CURVE_TEXT_LEN && ab_chunk_copy (text, copy, sizeof copy)
         && zmq_z85_decode (raw, copy) != NULL;
}

static int
check_file_mode (const char *path, char error[AB_CONF_ERROR_BYTES])
{
  struct stat st;

  if (stat (path, &st) < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%s: cannot read the key file: %s",
                path, strerror (errno));
      return AB_ERR_IO;
    }
  if (st.st_mode & (S_IRWXG | S_IRWXO))
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "%s: mode is %04o; expected 0600, a key file that only its "
                "owner can read",
                path, (unsigned)(st.st_mode & 07777));
      return AB_ERR_DENIED;
    }
  return 0;
}

static int
load_key_file (const char *path, struct key_file *file,
               char error[AB_CONF_ERROR_BYTES])
{
  struct ab_conf conf;
  char *data = NULL;
  size_t len = 0;
  int rc = check_file_mode (path, error);

  if (rc < 0)
    return rc;
  memset (file, 0, sizeof *file);
  rc = ab_read_file (path, KEY_FILE_BYTES_MAX, &data, &len);
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%s: cannot read the key file: %s",
                path, ab_strerror (rc));
      return rc;
    }
  rc = ab_conf_load (&conf, path, ab_chunk (data, len));
  if (rc == 0)
    rc = ab_conf_read_map (&conf, ab_conf_root (&conf), key_file_fields,
                           sizeof key_file_fields / sizeof key_file_fields[0],
                           file);
  memcpy (error, conf.error, sizeof conf.error);
  ab_conf_free (&conf);
  free (data);
  return rc;
}

int
ab_curve_pair_load (const char *path, struct ab_curve_pair *pair,
                    char error[AB_CONF_ERROR_BYTES])
{
  struct key_file file;
  int rc = load_key_file (path, &file, error);

  if (rc < 0)
    return rc;
  if (strcmp (file.kind, "fleet") != 0
      || !ab_curve_key_valid (ab_chunk_str (file.public_text))
      || !ab_curve_key_valid (ab_chunk_str (file.secret_text)))
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "%s: expected a key file of kind 'fleet'", path);
      return AB_ERR_INVALID;
    }
  memcpy (pair->public_key, file.public_text, sizeof pair->public_key);
  memcpy (pair->secret_key, file.secret_text, sizeof pair->secret_key);
  return 0;
}

int
ab_secret_key_load (const char *path, struct ab_secret_key *key,
                    char error[AB_CONF_ERROR_BYTES])
{
  struct key_file file;
  int rc = load_key_file (path, &file, error);

  if (rc < 0)
    return rc;
  if (ab_hex_decode (ab_chunk_str (file.secret_text), key->bytes,
                     sizeof key->bytes)
      < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "%s: 'secret' is not an Ed25519 key of %d hexadecimal digits",
                path, 2 * AB_SECRET_KEY_BYTES);
      return AB_ERR_INVALID;
    }
  return 0;
}

static int
generate_key (const char *kind, struct key_file *file)
{
  struct ab_public_key public_key;
  struct ab_secret_key secret_key;

  snprintf (file->kind, sizeof file->kind, "%s", kind);
  if (strcmp (kind, "fleet") == 0)
    return zmq_curve_keypair (file->public_text, file->secret_text) == 0
               ? 0
               : AB_ERR_UNAVAILABLE;
  if (strcmp (kind, "host") != 0 && strcmp (kind, "approver") != 0
      && strcmp (kind, "operator") != 0)
    return AB_ERR_INVALID;
  ab_key_pair_new (&public_key, &secret_key);
  ab_hex_encode (public_key.bytes, sizeof public_key.bytes, file->public_text);
  ab_hex_encode (secret_key.bytes, sizeof secret_key.bytes, file->secret_text);
  return 0;
}

static int
write_key_file (const char *path, const struct key_file *file)
{
  struct ab_buf text = AB_BUF_INIT;
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  int rc = AB_ERR_IO;

  if (fd < 0)
    return errno == EEXIST ? AB_ERR_EXISTS : AB_ERR_IO;
  ab_buf_printf (&text, "kind: %s\npublic: \"%s\"\nsecret: \"%s\"\n",
                 file->kind, file->public_text, file->secret_text);
  if (!text.error && write (fd, text.data, text.len) == (ssize_t)text.len
      && fsync (fd) == 0)
    rc = 0;
  if (close (fd) < 0)
    rc = AB_ERR_IO;
  ab_buf_free (&text);
  return rc;
}

int
ab_key_file_create (const char *kind, const char *path,
                    struct ab_buf *public_text,
                    char error[AB_CONF_ERROR_BYTES])
{
  struct key_file file = { .kind = "" };
  int rc = generate_key (kind, &file);

  if (rc < 0)
    {
      snprintf (
          error, AB_CONF_ERROR_BYTES,
          "'%s' is not a key kind; expected fleet, host, approver or operator",
          kind);
      return rc;
    }
  rc = write_key_file (path, &file);
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%s: cannot write the key: %s",
                path, ab_strerror (rc));
      return rc;
    }
  return ab_buf_append_str (public_text, file.public_text);
}
