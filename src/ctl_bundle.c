#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "clock.h"
#include "ctl.h"
#include "error.h"
#include "keys.h"
#include "signed_bundle.h"

#define SIGNED_BYTES_MAX (AB_BUNDLE_BYTES_MAX + 4096)
#define WAIT_MAX_MS 30000
#define WAIT_POLL_US 100000

/* Reads and checks the bundle file PATH and appends its text to TEXT unless
   that is null.  Returns null after a failure, which has been printed.  */
static struct ab_bundle *
load_bundle (const char *path, struct ab_buf *text)
{
  struct ab_bundle *bundle = NULL;
  char error[AB_CONF_ERROR_BYTES] = "";
  char *data = NULL;
  size_t len = 0;
  int rc = ab_read_file (path, AB_BUNDLE_BYTES_MAX, &data, &len);

  if (rc < 0)
    {
      ctl_error ("%s: cannot read the file: %s", path,
                 rc == AB_ERR_IO ? strerror (errno) : ab_strerror (rc));
      return NULL;
    }
  rc = ab_bundle_parse (path, ab_chunk (data, len), &bundle, error);
  if (rc < 0)
    ctl_error ("%s", error[0] ? error : ab_strerror (rc));
  else if (text && ab_buf_append (text, data, len) < 0)
    {
      ab_bundle_unref (bundle);
      bundle = NULL;
    }
  free (data);
  return bundle;
}

enum ctl_exit
ctl_bundle_check (const struct ctl_options *options, int count, char **argv)
{
  struct ab_bundle *bundle = load_bundle (argv[0], NULL);
  char digest[2 * AB_DIGEST_BYTES + 1];
  json_t *summary;

  (void)count;
  if (!bundle)
    return CTL_REFUSED;
  ab_hex_encode (ab_bundle_digest (bundle)->bytes, AB_DIGEST_BYTES, digest);
  summary
      = json_pack ("{s:I, s:s, s:I, s:I, s:I}", "version",
                   (json_int_t)ab_bundle_version (bundle), "digest", digest,
                   "services", (json_int_t)ab_bundle_service_count (bundle),
                   "routes", (json_int_t)ab_bundle_route_count (bundle),
                   "teams", (json_int_t)ab_bundle_team_count (bundle));
  ctl_print (options, summary);
  json_decref (summary);
  ab_bundle_unref (bundle);
  return CTL_OK;
}

static int
write_file (const char *path, struct ab_chunk data)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  int rc = AB_ERR_IO;

  if (fd < 0)
    return AB_ERR_IO;
  if (write (fd, data.data, data.len) == (ssize_t)data.len && fsync (fd) == 0)
    rc = 0;
  if (close (fd) < 0)
    rc = AB_ERR_IO;
  return rc;
}

enum ctl_exit
ctl_bundle_sign (const struct ctl_options *options, int count, char **argv)
{
  struct ab_signed_bundle signed_bundle = { .text = AB_BUF_INIT };
  struct ab_bundle *bundle = load_bundle (argv[0], &signed_bundle.text);
  struct ab_buf encoded = AB_BUF_INIT;
  struct ab_buf path = AB_BUF_INIT;
  struct ab_secret_key key;
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc = AB_ERR_INVALID;

  (void)count;
  if (!bundle)
    goto out;
  rc = ab_secret_key_load (argv[1], &key, error);
  if (rc < 0)
    {
      ctl_error ("%s", error);
      goto out;
    }
  signed_bundle.version = ab_bundle_version (bundle);
  ab_signed_bundle_approve (&signed_bundle, &key);
  rc = ab_signed_bundle_encode (&signed_bundle, &encoded);
  if (rc < 0)
    goto out;
  ab_buf_printf (&path, "%s", options->output ? options->output : argv[0]);
  if (!options->output)
    ab_buf_append_str (&path, ".signed");
  rc = write_file (path.data, ab_buf_chunk (&encoded));
  if (rc < 0)
    ctl_error ("%s: cannot write the file: %s", path.data, strerror (errno));
  else
    printf ("%s: version %llu is signed\n", path.data,
            (unsigned long long)signed_bundle.version);
out:
  ab_bundle_unref (bundle);
  ab_signed_bundle_free (&signed_bundle);
  ab_buf_free (&encoded);
  ab_buf_free (&path);
  return rc < 0 ? CTL_REFUSED : CTL_OK;
}

/* Returns how many of HOSTS have VERSION or a later version in force.  */
static size_t
count_in_force (const struct ctl_options *options, const json_t *hosts,
                uint64_t version)
{
  size_t in_force = 0;
  size_t index;
  json_t *host;

  json_array_foreach (hosts, index, host)
  {
    const char *admin = json_string_value (json_object_get (host, "admin"));
    json_t *reply = NULL;
    if (admin
        && ctl_request (options, admin, "GET", "/v1/bundle",
                        ab_chunk (NULL, 0), &reply)
               == 200
        && json_integer_value (json_object_get (reply, "version"))
               >= (json_int_t)version)
      in_force++;
    json_decref (reply);
  }
  return in_force;
}

/* Polls all known hosts until VERSION is in force on each, for WAIT_MAX_MS at
   most.  */
static enum ctl_exit
wait_in_force (const struct ctl_options *options, uint64_t version)
{
  uint64_t start_ms = ab_clock_monotonic_ms (ab_clock_system ());
  json_t *hosts = NULL;
  enum ctl_exit result;
  size_t in_force = 0;
  size_t total;

  result = ctl_report (ctl_request (options, options->host, "GET", "/v1/hosts",
                                    ab_chunk (NULL, 0), &hosts),
                       hosts);
  total = json_array_size (hosts);
  while (result == CTL_OK)
    {
      uint64_t waited_ms
          = ab_clock_monotonic_ms (ab_clock_system ()) - start_ms;
      in_force = count_in_force (options, hosts, version);
      if (!options->json)
        printf ("version %llu is in force on %zu of %zu hosts after %llu ms\n",
                (unsigned long long)version, in_force, total,
                (unsigned long long)waited_ms);
      if (in_force == total)
        break;
      if (waited_ms > WAIT_MAX_MS)
        result = CTL_UNREACHABLE;
      usleep (WAIT_POLL_US);
    }
  json_decref (hosts);
  return result;
}

enum ctl_exit
ctl_bundle_apply (const struct ctl_options *options, int count, char **argv)
{
  struct ab_signed_bundle signed_bundle;
  enum ctl_exit result = CTL_REFUSED;
  char *data = NULL;
  size_t len = 0;
  int rc = ab_read_file (argv[0], SIGNED_BYTES_MAX, &data, &len);

  (void)count;
  if (rc < 0)
    {
      ctl_error ("%s: cannot read the file: %s", argv[0],
                 rc == AB_ERR_IO ? strerror (errno) : ab_strerror (rc));
      return CTL_REFUSED;
    }
  rc = ab_signed_bundle_decode (ab_chunk (data, len), &signed_bundle);
  if (rc < 0)
    {
      ctl_error ("%s: not a signed bundle; make one with 'bundle sign'",
                 argv[0]);
      goto out;
    }
  result = ctl_send_and_print (options, "POST",
                               options->dry_run ? "/v1/bundle?dry_run=1"
                                                : "/v1/bundle",
                               ab_chunk (data, len));
  if (result == CTL_OK && options->wait && !options->dry_run)
    result = wait_in_force (options, signed_bundle.version);
  ab_signed_bundle_free (&signed_bundle);
out:
  free (data);
  return result;
}

/* Returns whether LINE is one of the lines of TEXT.  */
static bool
has_line (struct ab_chunk text, struct ab_chunk line)
{
  size_t at = 0;

  while (at < text.len)
    {
      const char *start = text.data + at;
      const char *end = memchr (start, '\n', text.len - at);
      size_t len = end ? (size_t)(end - start) : text.len - at;
      if (ab_chunk_equal (ab_chunk (start, len), line))
        return true;
      at += len + 1;
    }
  return false;
}

/* Prints the lines of A that are not in B, each after PREFIX.  The order of a
   bundle's items has no meaning, so the lines are compared as sets.  */
static void
print_missing_lines (struct ab_chunk a, struct ab_chunk b, char prefix)
{
  size_t at = 0;

  while (at < a.len)
    {
      const char *line = a.data + at;
      const char *end = memchr (line, '\n', a.len - at);
      size_t len = end ? (size_t)(end - line) : a.len - at;
      if (len > 0 && !has_line (b, ab_chunk (line, len)))
        printf ("%c %.*s\n", prefix, (int)len, line);
      at += len + 1;
    }
}

enum ctl_exit
ctl_bundle_diff (const struct ctl_options *options, int count, char **argv)
{
  struct ab_buf old_text = AB_BUF_INIT;
  struct ab_buf new_text = AB_BUF_INIT;
  struct ab_bundle *old_bundle = load_bundle (argv[0], &old_text);
  struct ab_bundle *new_bundle = load_bundle (argv[1], &new_text);
  enum ctl_exit result = CTL_REFUSED;

  (void)options;
  (void)count;
  if (old_bundle && new_bundle)
    {
      print_missing_lines (ab_buf_chunk (&old_text), ab_buf_chunk (&new_text),
                           '-');
      print_missing_lines (ab_buf_chunk (&new_text), ab_buf_chunk (&old_text),
                           '+');
      result = CTL_OK;
    }
  ab_bundle_unref (old_bundle);
  ab_bundle_unref (new_bundle);
  ab_buf_free (&old_text);
  ab_buf_free (&new_text);
  return result;
}
