#include "bundle_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "error.h"

#define PATH_MAX_BYTES (2 * AB_PATH_BYTES)
#define FILE_BYTES_MAX (AB_BUNDLE_BYTES_MAX + 4096)
#define FILE_MODE 0600

static int
io_error (void)
{
  return errno == ENOSPC || errno == EDQUOT ? AB_ERR_FULL : AB_ERR_IO;
}

static int
make_path (char path[PATH_MAX_BYTES], const char *folder, const char *name,
           const char *suffix)
{
  int len = snprintf (path, PATH_MAX_BYTES, "%s/%s%s", folder, name, suffix);

  return len < 0 || len >= PATH_MAX_BYTES ? AB_ERR_TOO_LARGE : 0;
}

static int
write_all (int fd, struct ab_chunk data)
{
  while (data.len > 0)
    {
      ssize_t written = write (fd, data.data, data.len);
      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return io_error ();
      data.data += written;
      data.len -= (size_t)written;
    }
  return 0;
}

static int
write_file (const char *path, struct ab_chunk data)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  int rc;

  if (fd < 0)
    return io_error ();
  rc = write_all (fd, data);
  if (rc == 0 && fsync (fd) < 0)
    rc = io_error ();
  if (close (fd) < 0 && rc == 0)
    rc = io_error ();
  return rc;
}

static int
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  int rc = 0;

  if (fd < 0)
    return io_error ();
  if (fsync (fd) < 0)
    rc = io_error ();
  close (fd);
  return rc;
}

int
ab_bundle_file_save (const char *folder, const char *name,
                     const struct ab_signed_bundle *bundle)
{
  char path[PATH_MAX_BYTES];
  char temporary[PATH_MAX_BYTES];
  struct ab_buf data = AB_BUF_INIT;
  int rc = make_path (path, folder, name, "");

  if (rc == 0)
    rc = make_path (temporary, folder, name, ".new");
  if (rc == 0)
    rc = ab_signed_bundle_encode (bundle, &data);
  if (rc == 0)
    rc = write_file (temporary, ab_buf_chunk (&data));
  if (rc == 0 && rename (temporary, path) < 0)
    rc = io_error ();
  if (rc == 0)
    rc = sync_folder (folder);
  ab_buf_free (&data);
  return rc;
}

int
ab_bundle_file_load (const char *folder, const char *name,
                     struct ab_signed_bundle *bundle)
{
  char path[PATH_MAX_BYTES];
  char *data = NULL;
  size_t len = 0;
  int rc = make_path (path, folder, name, "");

  if (rc == 0 && access (path, F_OK) < 0 && errno == ENOENT)
    return AB_ERR_NOT_FOUND;
  if (rc == 0)
    rc = ab_read_file (path, FILE_BYTES_MAX, &data, &len);
  if (rc == AB_ERR_TOO_LARGE)
    rc = AB_ERR_CORRUPT;
  if (rc == 0)
    rc = ab_signed_bundle_decode (ab_chunk (data, len), bundle);
  free (data);
  return rc;
}

int
ab_bundle_file_set_aside (const char *folder, const char *name)
{
  char path[PATH_MAX_BYTES];
  char aside[PATH_MAX_BYTES];
  int rc = make_path (path, folder, name, "");

  if (rc == 0)
    rc = make_path (aside, folder, name, ".unusable");
  if (rc == 0 && rename (path, aside) < 0)
    rc = io_error ();
  return rc;
}
