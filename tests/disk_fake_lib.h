/* A disk in memory that keeps apart what was synced and what was not.  It can
   crash at any change, fill up and fail a sync.  */

#ifndef DISK_FAKE_LIB_H
#define DISK_FAKE_LIB_H

#include "file_ops.h"
#include "rng.h"

#define FAKE_FILES_MAX 128
#define FAKE_INODES_MAX 1024 /* Collected when half are in use.  */
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
  struct ab_files files; /* First member.  */
  struct fake_names now;
  struct fake_names synced;
  struct fake_inode *inodes[FAKE_INODES_MAX];
  size_t inode_count;
  struct fake_inode *handles[FAKE_HANDLES_MAX];
  bool locked;
  bool crashed;          /* Every call fails until fake_disk_restart.  */
  uint64_t changes;      /* Calls that change something, so far.  */
  uint64_t crash_at;     /* The change that crashes; 0: none.  */
  uint64_t fail_sync_at; /* The change at which a sync fails; 0: none.  */
  bool sync_failed;      /* It did.  */
  uint64_t bytes;        /* Written so far.  */
  uint64_t room;         /* Bytes until the disk is full; 0: no limit.  */
  bool lose_syncs;       /* Syncs do nothing, to show what tests catch.  */
};

struct fake_disk *fake_disk_new (void);
void fake_disk_free (struct fake_disk *disk);

/* The machine comes back after a crash: of what was not synced, RNG decides
   what is there.  */
void fake_disk_restart (struct fake_disk *disk, struct ab_rng *rng);

/* The current content of PATH, or null.  */
struct ab_buf *fake_disk_file (struct fake_disk *disk, const char *path);

/* The path of the only or last file whose path contains PART, or null.  */
const char *fake_disk_find (struct fake_disk *disk, const char *part);

#endif
