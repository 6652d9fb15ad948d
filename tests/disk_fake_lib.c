#include "disk_fake_lib.h"

#include <stdio.h>
#include <stdlib.h>

#include "error.h"

#define LOCK_HANDLE (FAKE_HANDLES_MAX + 1)

static struct fake_disk *
disk_of (struct ab_files *files)
{
  return (struct fake_disk *)files;
}

/* Counts a change; returns true when the disk crashes at it or has
   crashed.  */
static bool
change_crashes (struct fake_disk *disk)
{
  if (!disk->crashed && ++disk->changes == disk->crash_at)
    disk->crashed = true;
  return disk->crashed;
}

static bool
sync_fails (struct fake_disk *disk)
{
  if (disk->changes != disk->fail_sync_at)
    return false;
  disk->sync_failed = true;
  return true;
}

static struct fake_name *
find_name (struct fake_names *names, const char *path)
{
  for (size_t i = 0; i < names->count; i++)
    if (strcmp (names->items[i].path, path) == 0)
      return &names->items[i];
  return NULL;
}

static void
set_buf (struct ab_buf *to, const struct ab_buf *from, size_t len)
{
  ab_buf_clear (to);
  ab_buf_append (to, from->data, len);
}

static int
add_handle (struct fake_disk *disk, struct fake_inode *inode)
{
  for (int i = 0; i < FAKE_HANDLES_MAX; i++)
    if (!disk->handles[i])
      {
        disk->handles[i] = inode;
        return i;
      }
  abort ();
}

static bool
in_use (const struct fake_disk *disk, const struct fake_inode *inode)
{
  for (size_t i = 0; i < disk->now.count; i++)
    if (disk->now.items[i].inode == inode)
      return true;
  for (size_t i = 0; i < disk->synced.count; i++)
    if (disk->synced.items[i].inode == inode)
      return true;
  for (size_t i = 0; i < FAKE_HANDLES_MAX; i++)
    if (disk->handles[i] == inode)
      return true;
  return false;
}

static void
collect_inodes (struct fake_disk *disk)
{
  size_t kept = 0;

  for (size_t i = 0; i < disk->inode_count; i++)
    if (in_use (disk, disk->inodes[i]))
      disk->inodes[kept++] = disk->inodes[i];
    else
      {
        ab_buf_free (&disk->inodes[i]->now);
        ab_buf_free (&disk->inodes[i]->synced);
        free (disk->inodes[i]);
      }
  disk->inode_count = kept;
}

static struct fake_inode *
add_file (struct fake_disk *disk, const char *path)
{
  struct fake_inode *inode = calloc (1, sizeof *inode);
  struct fake_name *name = &disk->now.items[disk->now.count];

  if (disk->inode_count >= FAKE_INODES_MAX / 2)
    collect_inodes (disk);
  if (!inode || ++disk->now.count == FAKE_FILES_MAX
      || disk->inode_count == FAKE_INODES_MAX)
    abort ();
  disk->inodes[disk->inode_count++] = inode;
  snprintf (name->path, sizeof name->path, "%s", path);
  name->inode = inode;
  return inode;
}

static int
fake_open (struct ab_files *files, const char *path, bool create)
{
  struct fake_disk *disk = disk_of (files);
  struct fake_name *name = find_name (&disk->now, path);

  if (disk->crashed)
    return AB_ERR_IO;
  if (name)
    return add_handle (disk, name->inode);
  if (!create)
    return AB_ERR_NOT_FOUND;
  if (change_crashes (disk))
    return AB_ERR_IO;
  return add_handle (disk, add_file (disk, path));
}

static int
fake_lock (struct ab_files *files, const char *path)
{
  struct fake_disk *disk = disk_of (files);

  (void)path;
  if (disk->locked)
    return AB_ERR_BUSY;
  disk->locked = true;
  return LOCK_HANDLE;
}

static void
fake_close (struct ab_files *files, int file)
{
  if (file == LOCK_HANDLE)
    disk_of (files)->locked = false;
  else
    disk_of (files)->handles[file] = NULL;
}

static int
fake_size (struct ab_files *files, int file, uint64_t *size)
{
  *size = disk_of (files)->handles[file]->now.len;
  return disk_of (files)->crashed ? AB_ERR_IO : 0;
}

static int
fake_read (struct ab_files *files, int file, uint64_t offset, void *data,
           size_t len)
{
  const struct ab_buf *now = &disk_of (files)->handles[file]->now;

  if (disk_of (files)->crashed || offset + len > now->len)
    return AB_ERR_IO;
  if (len > 0)
    memcpy (data, now->data + offset, len);
  return 0;
}

static int
fake_write (struct ab_files *files, int file, uint64_t offset,
            const void *data, size_t len)
{
  struct fake_disk *disk = disk_of (files);
  struct ab_buf *now = &disk->handles[file]->now;
  size_t fits = len;

  if (change_crashes (disk))
    fits = len / 2;
  else if (disk->full_at > 0 && disk->bytes + len > disk->full_at)
    fits = disk->full_at > disk->bytes ? disk->full_at - disk->bytes : 0;
  disk->bytes += fits;
  /* The code under test only appends.  */
  if (offset != now->len)
    abort ();
  ab_buf_append (now, data, fits);
  if (fits == len)
    return 0;
  return disk->crashed ? AB_ERR_IO : AB_ERR_FULL;
}

static int
fake_truncate (struct ab_files *files, int file, uint64_t size)
{
  struct fake_disk *disk = disk_of (files);
  struct ab_buf *now = &disk->handles[file]->now;

  if (size == now->len)
    return disk->crashed ? AB_ERR_IO : 0;
  if (change_crashes (disk))
    return AB_ERR_IO;
  now->len = (size_t)size;
  return 0;
}

static int
fake_sync (struct ab_files *files, int file)
{
  struct fake_disk *disk = disk_of (files);
  struct fake_inode *inode = disk->handles[file];

  if (change_crashes (disk) || sync_fails (disk))
    return AB_ERR_IO;
  if (!disk->ignore_syncs)
    set_buf (&inode->synced, &inode->now, inode->now.len);
  return 0;
}

static int
fake_remove (struct ab_files *files, const char *path)
{
  struct fake_disk *disk = disk_of (files);
  struct fake_name *name = find_name (&disk->now, path);

  if (change_crashes (disk))
    return AB_ERR_IO;
  if (!name)
    return AB_ERR_NOT_FOUND;
  *name = disk->now.items[--disk->now.count];
  return 0;
}

static int
fake_rename (struct ab_files *files, const char *from, const char *to)
{
  struct fake_disk *disk = disk_of (files);
  struct fake_name *old = find_name (&disk->now, to);
  struct fake_name *name;

  if (change_crashes (disk))
    return AB_ERR_IO;
  if (old)
    *old = disk->now.items[--disk->now.count];
  name = find_name (&disk->now, from);
  if (!name)
    return AB_ERR_NOT_FOUND;
  snprintf (name->path, sizeof name->path, "%s", to);
  return 0;
}

static int
fake_sync_folder (struct ab_files *files, const char *path)
{
  struct fake_disk *disk = disk_of (files);

  (void)path;
  if (change_crashes (disk) || sync_fails (disk))
    return AB_ERR_IO;
  if (!disk->ignore_syncs)
    disk->synced = disk->now;
  return 0;
}

static int
fake_make_folder (struct ab_files *files, const char *path)
{
  (void)path;
  return disk_of (files)->crashed ? AB_ERR_IO : 0;
}

static int
fake_list (struct ab_files *files, const char *path, struct ab_buf *names)
{
  struct fake_disk *disk = disk_of (files);

  if (disk->crashed)
    return AB_ERR_IO;
  for (size_t i = 0; i < disk->now.count; i++)
    {
      const char *name = disk->now.items[i].path + strlen (path) + 1;
      ab_buf_append (names, name, strlen (name) + 1);
    }
  return names->error;
}

static const struct ab_file_ops fake_ops = {
  .open = fake_open,
  .lock = fake_lock,
  .close = fake_close,
  .size = fake_size,
  .read = fake_read,
  .write = fake_write,
  .truncate = fake_truncate,
  .sync = fake_sync,
  .rename = fake_rename,
  .remove = fake_remove,
  .sync_folder = fake_sync_folder,
  .make_folder = fake_make_folder,
  .list = fake_list,
};

struct fake_disk *
fake_disk_new (void)
{
  struct fake_disk *disk = calloc (1, sizeof *disk);

  if (!disk)
    abort ();
  disk->files.ops = &fake_ops;
  return disk;
}

void
fake_disk_free (struct fake_disk *disk)
{
  if (!disk)
    return;
  for (size_t i = 0; i < disk->inode_count; i++)
    {
      ab_buf_free (&disk->inodes[i]->now);
      ab_buf_free (&disk->inodes[i]->synced);
      free (disk->inodes[i]);
    }
  free (disk);
}

/* Sets a file to what a crash leaves of it: the synced content, the current
   content, or part of the appended data, possibly with a block of zeros in
   it.  */
static void
crash_inode (struct fake_inode *inode, struct ab_rng *rng)
{
  size_t synced = inode->synced.len;
  bool appended
      = inode->now.len > synced
        && (synced == 0
            || memcmp (inode->now.data, inode->synced.data, synced) == 0);

  switch (ab_rng_below (rng, 3))
    {
    case 0:
      set_buf (&inode->now, &inode->synced, synced);
      break;
    case 1:
      break;
    default:
      if (!appended)
        break;
      inode->now.len
          = synced + (size_t)ab_rng_below (rng, inode->now.len - synced + 1);
      if (inode->now.len > synced && ab_rng_below (rng, 2))
        {
          size_t hole
              = synced + (size_t)ab_rng_below (rng, inode->now.len - synced);
          size_t len = inode->now.len - hole;
          memset (inode->now.data + hole, 0, len < 64 ? len : 64);
        }
    }
  set_buf (&inode->synced, &inode->now, inode->now.len);
}

void
fake_disk_restart (struct fake_disk *disk, struct ab_rng *rng)
{
  memset (disk->handles, 0, sizeof disk->handles);
  disk->locked = false;
  disk->crashed = false;
  disk->crash_at = 0;
  disk->fail_sync_at = 0;
  disk->sync_failed = false;
  for (size_t i = 0; i < disk->inode_count; i++)
    crash_inode (disk->inodes[i], rng);
  if (ab_rng_below (rng, 2))
    disk->now = disk->synced;
  else
    disk->synced = disk->now;
}

struct ab_buf *
fake_disk_file (struct fake_disk *disk, const char *path)
{
  struct fake_name *name = find_name (&disk->now, path);

  return name ? &name->inode->now : NULL;
}

const char *
fake_disk_find (struct fake_disk *disk, const char *part)
{
  const char *found = NULL;

  for (size_t i = 0; i < disk->now.count; i++)
    if (strstr (disk->now.items[i].path, part)
        && (!found || strcmp (disk->now.items[i].path, found) > 0))
      found = disk->now.items[i].path;
  return found;
}
