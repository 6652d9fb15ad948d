/* File operations as a vtable, so that tests can inject crashes and write
   failures.  Paths are null-terminated; file handles are small non-negative
   numbers.  */

#ifndef AB_FILE_OPS_H
#define AB_FILE_OPS_H

#include <stdint.h>

#include "buf.h"

struct ab_files;

/* Calls return 0 or a negative error unless their comment says otherwise.  */
struct ab_file_ops
{
  /* Returns a handle for reading and writing.  AB_ERR_NOT_FOUND when the file
     is missing and CREATE is false; AB_ERR_FULL; AB_ERR_IO.  */
  int (*open) (struct ab_files *files, const char *path, bool create);

  /* Returns a handle that holds the exclusive lock on PATH until it is closed;
     AB_ERR_BUSY when another process or handle holds it.  */
  int (*lock) (struct ab_files *files, const char *path);
  void (*close) (struct ab_files *files, int file);

  int (*size) (struct ab_files *files, int file, uint64_t *size);

  /* Reads exactly LEN bytes; AB_ERR_IO when there are fewer.  */
  int (*read) (struct ab_files *files, int file, uint64_t offset, void *data,
               size_t len);

  /* Writes LEN bytes.  AB_ERR_FULL when the disk is full; some of the bytes
     may have been written.  */
  int (*write) (struct ab_files *files, int file, uint64_t offset,
                const void *data, size_t len);
  int (*truncate) (struct ab_files *files, int file, uint64_t size);

  /* Makes the content and size of the file durable.  */
  int (*sync) (struct ab_files *files, int file);

  int (*rename) (struct ab_files *files, const char *from, const char *to);
  int (*remove) (struct ab_files *files, const char *path);

  /* Makes created, renamed and removed names in the folder durable.  */
  int (*sync_folder) (struct ab_files *files, const char *path);

  /* Creates the folder unless it exists; the new name is durable on
     return.  */
  int (*make_folder) (struct ab_files *files, const char *path);

  /* Appends the names of the files in the folder to NAMES, each with its
     terminating null byte.  Names that begin with a dot are left out.  */
  int (*list) (struct ab_files *files, const char *path, struct ab_buf *names);
};

struct ab_files
{
  const struct ab_file_ops *ops;
};

/* Returns the file operations of the operating system.  */
struct ab_files *ab_files_system (void);

/* Reads the whole file PATH into DATA.  AB_ERR_NOT_FOUND, AB_ERR_IO,
   AB_ERR_TOO_LARGE above MAX bytes, AB_ERR_MEMORY.  */
int ab_file_read_all (struct ab_files *files, const char *path, size_t max,
                      struct ab_buf *data);

/* Replaces the file FOLDER/NAME by the COUNT parts: writes FOLDER/NAME.tmp,
   syncs it, renames it and syncs the folder.  On AB_ERR_FULL the old file is
   unchanged.  */
int ab_file_replace (struct ab_files *files, const char *folder,
                     const char *name, const struct ab_chunk *parts,
                     size_t count);

#endif
