#include "file_ops.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "error.h"

static int
error_from_errno (int number)
{
  switch (number)
    {
    case ENOSPC:
    case EDQUOT:
    case EFBIG: /* The limit on file sizes is reached.  */
      return AB_ERR_FULL;
    case ENOENT:
      return AB_ERR_NOT_FOUND;
    case EWOULDBLOCK:
      return AB_ERR_BUSY;
    default:
      return AB_ERR_IO;
    }
}

static int
system_open (struct ab_files *files, const char *path, bool create)
{
  int fd = open (path, O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), 0600);

  (void)files;
  return fd < 0 ? error_from_errno (errno) : fd;
}

static int
system_lock (struct ab_files *files, const char *path)
{
  int fd = system_open (files, path, true);

  if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) < 0)
    {
      int rc = error_from_errno (errno);
      close (fd);
      return rc;
    }
  return fd;
}

static void
system_close (struct ab_files *files, int file)
{
  (void)files;
  close (file);
}

static int
system_size (struct ab_files *files, int file, uint64_t *size)
{
  struct stat st;

  (void)files;
  if (fstat (file, &st) < 0)
    return error_from_errno (errno);
  *size = (uint64_t)st.st_size;
  return 0;
}

static int
system_read (struct ab_files *files, int file, uint64_t offset, void *data,
             size_t len)
{
  char *to = data;

  (void)files;
  while (len > 0)
    {
      ssize_t n = pread (file, to, len, (off_t)offset);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return AB_ERR_IO;
      to += n;
      offset += (uint64_t)n;
      len -= (size_t)n;
    }
  return 0;
}

static int
system_write (struct ab_files *files, int file, uint64_t offset,
              const void *data, size_t len)
{
  const char *from = data;

  (void)files;
  while (len > 0)
    {
      ssize_t n = pwrite (file, from, len, (off_t)offset);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return error_from_errno (errno);
      from += n;
      offset += (uint64_t)n;
      len -= (size_t)n;
    }
  return 0;
}

static int
system_truncate (struct ab_files *files, int file, uint64_t size)
{
  (void)files;
  return ftruncate (file, (off_t)size) < 0 ? error_from_errno (errno) : 0;
}

static int
system_sync (struct ab_files *files, int file)
{
  (void)files;
  /* fdatasync also writes the size of a file that grew.  A disk that is full
     at this point has lost data, so it is an I/O error.  */
  return fdatasync (file) < 0 ? AB_ERR_IO : 0;
}

static int
system_rename (struct ab_files *files, const char *from, const char *to)
{
  (void)files;
  return rename (from, to) < 0 ? error_from_errno (errno) : 0;
}

static int
system_remove (struct ab_files *files, const char *path)
{
  (void)files;
  return unlink (path) < 0 ? error_from_errno (errno) : 0;
}

static int
system_sync_folder (struct ab_files *files, const char *path)
{
  int fd = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  int rc = 0;

  (void)files;
  if (fd < 0)
    return AB_ERR_IO;
  if (fsync (fd) < 0)
    rc = AB_ERR_IO;
  close (fd);
  return rc;
}

static int
system_make_folder (struct ab_files *files, const char *path)
{
  char parent[PATH_MAX];

  if (mkdir (path, 0700) < 0)
    return errno == EEXIST ? 0 : error_from_errno (errno);
  if (snprintf (parent, sizeof parent, "%s/..", path) >= (int)sizeof parent)
    return AB_ERR_TOO_LARGE;
  return system_sync_folder (files, parent);
}

static int
system_list (struct ab_files *files, const char *path, struct ab_buf *names)
{
  DIR *folder = opendir (path);
  const struct dirent *entry;

  (void)files;
  if (!folder)
    return error_from_errno (errno);
  while ((entry = readdir (folder)) != NULL)
    if (entry->d_name[0] != '.')
      ab_buf_append (names, entry->d_name, strlen (entry->d_name) + 1);
  closedir (folder);
  return names->error;
}

static const struct ab_file_ops system_ops = {
  .open = system_open,
  .lock = system_lock,
  .close = system_close,
  .size = system_size,
  .read = system_read,
  .write = system_write,
  .truncate = system_truncate,
  .sync = system_sync,
  .rename = system_rename,
  .remove = system_remove,
  .sync_folder = system_sync_folder,
  .make_folder = system_make_folder,
  .list = system_list,
};

struct ab_files *
ab_files_system (void)
{
  static struct ab_files files = { .ops = &system_ops };

  return &files;
}

int
ab_file_read_all (struct ab_files *files, const char *path, size_t max,
                  struct ab_buf *data)
{
  int file = files->ops->open (files, path, false);
  uint64_t size;
  int rc;

  if (file < 0)
    return file;
  rc = files->ops->size (files, file, &size);
  if (rc < 0)
    goto out;
  if (size > max)
    {
      rc = AB_ERR_TOO_LARGE;
      goto out;
    }
  ab_buf_clear (data);
  rc = ab_buf_reserve (data, (size_t)size);
  if (rc < 0)
    goto out;
  rc = files->ops->read (files, file, 0, data->data, (size_t)size);
  if (rc == 0)
    data->len = (size_t)size;
out:
  files->ops->close (files, file);
  return rc;
}

static int
write_parts (struct ab_files *files, int file, const struct ab_chunk *parts,
             size_t count)
{
  uint64_t offset = 0;
  int rc = files->ops->truncate (files, file, 0);

  for (size_t i = 0; i < count && rc == 0; i++)
    {
      rc = files->ops->write (files, file, offset, parts[i].data,
                              parts[i].len);
      offset += parts[i].len;
    }
  return rc == 0 ? files->ops->sync (files, file) : rc;
}

int
ab_file_replace (struct ab_files *files, const char *folder, const char *name,
                 const struct ab_chunk *parts, size_t count)
{
  char temporary[PATH_MAX];
  char final[PATH_MAX];
  int file;
  int rc;

  if (snprintf (final, sizeof final, "%s/%s", folder, name)
          >= (int)sizeof final
      || snprintf (temporary, sizeof temporary, "%s/%s.tmp", folder, name)
             >= (int)sizeof temporary)
    return AB_ERR_TOO_LARGE;
  file = files->ops->open (files, temporary, true);
  if (file < 0)
    return file;
  rc = write_parts (files, file, parts, count);
  files->ops->close (files, file);
  if (rc < 0)
    {
      files->ops->remove (files, temporary);
      return rc;
    }
  rc = files->ops->rename (files, temporary, final);
  if (rc < 0)
    return AB_ERR_IO;
  return files->ops->sync_folder (files, folder) < 0 ? AB_ERR_IO : 0;
}
