/* A simulated disk in memory that separates synced from unsynced data.  It can
   crash at any change, fill up and fail a sync.  */

#ifndef DISK_FAKE_LIB_H
#define DISK_FAKE_LIB_H

#include "file_ops.h"
#include "rng.h"

#define FAKE_FILES_MAX 128
/* Unused inodes are freed when half are in use.  */
#define FAKE_INODES_MAX 1024
#define FAKE_HANDLES_MAX 16

struct fake_inode
{
  struct ab_buf now;
  struct ab_buf synced;
};

struct fake_name
{
  char path[64];
  struct fake_inode *inode;
};

struct fake_names
{
  struct fake_name items[FAKE_FILES_MAX];
  size_t count;
};

struct fake_disk
{
  /* First member, so that a pointer to it can be cast back.  */
  struct ab_files files;
  struct fake_names now;
  struct fake_names synced;
  struct fake_inode *inodes[FAKE_INODES_MAX];
  size_t inode_count;
  struct fake_inode *handles[FAKE_HANDLES_MAX];
  bool locked;
  bool crashed;     /* Every call fails until fake_disk_restart.  */
  uint64_t changes; /* Calls so far that change something.  */
  /* Number of the change at which the disk crashes; 0 means never.  */
  uint64_t crash_at;
  /* Number of the change at which a sync fails; 0 means never.  */
  uint64_t fail_sync_at;
  bool sync_failed; /* A sync has failed because of FAIL_SYNC_AT.  */
  uint64_t bytes;   /* Bytes written so far.  */
  /* Value of BYTES at which the disk is full; 0 means no limit.  */
  uint64_t full_at;
  /* Syncs have no effect, to verify that the tests detect missing syncs.  */
  bool ignore_syncs;
};

struct fake_disk *fake_disk_new (void);
void fake_disk_free (struct fake_disk *disk);

/* Restarts the host after a crash.  RNG decides which unsynced changes
   survive.  */
void fake_disk_restart (struct fake_disk *disk, struct ab_rng *rng);

/* Returns the current content of PATH, or null.  */
struct ab_buf *fake_disk_file (struct fake_disk *disk, const char *path);

/* Returns the path that contains PART, the last one in order if there are
   several, or null.  */
const char *fake_disk_find (struct fake_disk *disk, const char *part);

#endif
