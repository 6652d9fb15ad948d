#include "wal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "wal_internal.h"

void
ab_wal_path (const struct ab_wal *wal, uint64_t first_index,
             char path[PATH_MAX])
{
  /* The length of the folder's path was checked when the log was opened.  */
  if (snprintf (path, PATH_MAX, "%s/wal-%020" PRIu64 ".log", wal->folder,
                first_index)
      >= PATH_MAX)
    path[0] = '\0';
}

uint64_t
ab_wal_next_index (const struct ab_wal *wal)
{
  return wal->first_index + wal->position_count;
}

uint64_t
ab_wal_last_term (const struct ab_wal *wal)
{
  return wal->position_count ? wal->positions[wal->position_count - 1].term
                             : wal->base_term;
}

int
ab_wal_add_position (struct ab_wal *wal, uint64_t offset, uint64_t term)
{
  if (wal->position_count == wal->position_cap)
    {
      size_t cap = wal->position_cap ? wal->position_cap * 2 : 1024;
      struct ab_wal_position *positions
          = realloc (wal->positions, cap * sizeof *positions);
      if (!positions)
        return AB_ERR_MEMORY;
      wal->positions = positions;
      wal->position_cap = cap;
    }
  wal->positions[wal->position_count++]
      = (struct ab_wal_position){ .offset = offset, .term = term };
  return 0;
}

int
ab_wal_add_segment (struct ab_wal *wal, uint64_t first_index)
{
  if (wal->segment_count == wal->segment_cap)
    {
      size_t cap = wal->segment_cap ? wal->segment_cap * 2 : 16;
      uint64_t *segments = realloc (wal->segments, cap * sizeof *segments);
      if (!segments)
        return AB_ERR_MEMORY;
      wal->segments = segments;
      wal->segment_cap = cap;
    }
  wal->segments[wal->segment_count++] = first_index;
  return 0;
}

int
ab_wal_remove_segment (struct ab_wal *wal, uint64_t first_index)
{
  char path[PATH_MAX];
  int rc;

  ab_wal_path (wal, first_index, path);
  rc = wal->files->ops->remove (wal->files, path);
  if (rc == 0)
    rc = wal->files->ops->sync_folder (wal->files, wal->folder);
  return rc < 0 ? AB_ERR_IO : 0;
}

static int
write_header (struct ab_wal *wal, int file, uint64_t first_index,
              uint64_t previous_term)
{
  struct ab_wal_header header
      = { .first_index = first_index, .previous_term = previous_term };
  uint8_t bytes[AB_WAL_HEADER_BYTES];
  int rc;

  ab_wal_header_encode (&header, bytes);
  rc = wal->files->ops->truncate (wal->files, file, 0);
  if (rc == 0)
    rc = wal->files->ops->write (wal->files, file, 0, bytes, sizeof bytes);
  if (rc < 0)
    return rc;
  rc = wal->files->ops->sync (wal->files, file);
  if (rc == 0)
    rc = wal->files->ops->sync_folder (wal->files, wal->folder);
  return rc < 0 ? AB_ERR_IO : 0;
}

int
ab_wal_create_segment (struct ab_wal *wal, uint64_t first_index,
                       uint64_t previous_term)
{
  char path[PATH_MAX];
  int file;
  int rc;

  ab_wal_path (wal, first_index, path);
  file = wal->files->ops->open (wal->files, path, true);
  if (file < 0)
    return file;
  rc = write_header (wal, file, first_index, previous_term);
  if (rc == 0)
    rc = ab_wal_add_segment (wal, first_index);
  if (rc < 0)
    {
      wal->files->ops->close (wal->files, file);
      if (rc == AB_ERR_FULL && wal->files->ops->remove (wal->files, path) < 0)
        rc = AB_ERR_IO;
      return rc;
    }
  if (wal->file >= 0)
    wal->files->ops->close (wal->files, wal->file);
  wal->file = file;
  wal->size = AB_WAL_HEADER_BYTES;
  wal->durable_bytes = AB_WAL_HEADER_BYTES;
  return 0;
}

void
ab_wal_close (struct ab_wal *wal)
{
  if (!wal)
    return;
  if (wal->file >= 0)
    wal->files->ops->close (wal->files, wal->file);
  free (wal->segments);
  free (wal->positions);
  ab_buf_free (&wal->scratch);
  free (wal);
}

int
ab_wal_sync (struct ab_wal *wal)
{
  int rc;

  if (!wal->dirty)
    return 0;
  rc = wal->files->ops->sync (wal->files, wal->file);
  if (rc < 0)
    return rc;
  wal->dirty = false;
  wal->durable_bytes = wal->size;
  return 0;
}

static int
roll_segment (struct ab_wal *wal)
{
  int rc = ab_wal_sync (wal);

  return rc < 0 ? rc
                : ab_wal_create_segment (wal, ab_wal_next_index (wal),
                                         ab_wal_last_term (wal));
}

static int
encode_batch (struct ab_wal *wal, const struct ab_raft_entry *entries,
              size_t count)
{
  uint64_t next = ab_wal_next_index (wal);

  ab_buf_clear (&wal->scratch);
  for (size_t i = 0; i < count; i++)
    {
      if (entries[i].index != next + i)
        return AB_ERR_INVALID;
      if (entries[i].data.len > AB_RAFT_ENTRY_BYTES_MAX)
        return AB_ERR_TOO_LARGE;
      ab_wal_record_encode (&entries[i], wal->durable_bytes, &wal->scratch);
    }
  return wal->scratch.error;
}

int
ab_wal_append (struct ab_wal *wal, const struct ab_raft_entry *entries,
               size_t count)
{
  uint64_t offset;
  int rc = 0;

  if (wal->size >= wal->segment_bytes)
    rc = roll_segment (wal);
  if (rc == 0)
    rc = encode_batch (wal, entries, count);
  if (rc < 0)
    return rc;
  rc = wal->files->ops->write (wal->files, wal->file, wal->size,
                               wal->scratch.data, wal->scratch.len);
  if (rc < 0)
    {
      /* Remove the part of the batch that was written.  */
      int undone
          = wal->files->ops->truncate (wal->files, wal->file, wal->size);
      return undone < 0 ? AB_ERR_IO : rc;
    }
  offset = wal->size;
  for (size_t i = 0; i < count && rc == 0; i++)
    {
      rc = ab_wal_add_position (wal, offset, entries[i].term);
      offset += AB_WAL_RECORD_BYTES + entries[i].data.len;
    }
  wal->size = offset;
  wal->dirty = true;
  return rc;
}

/* Opens the last segment after later ones were removed.  */
static int
reopen_last (struct ab_wal *wal)
{
  char path[PATH_MAX];

  wal->files->ops->close (wal->files, wal->file);
  ab_wal_path (wal, wal->segments[wal->segment_count - 1], path);
  wal->file = wal->files->ops->open (wal->files, path, false);
  return wal->file < 0 ? AB_ERR_IO : 0;
}

/* Removes the segments that begin at FIRST_INDEX or later, newest first, so
   that a crash leaves a prefix of the log.  Sets *OLDEST to the first index of
   the oldest segment removed, or to 0.  */
static int
remove_segments_from (struct ab_wal *wal, uint64_t first_index,
                      uint64_t *oldest)
{
  *oldest = 0;
  while (wal->segment_count > 1
         && wal->segments[wal->segment_count - 1] >= first_index)
    {
      int rc
          = ab_wal_remove_segment (wal, wal->segments[wal->segment_count - 1]);
      if (rc < 0)
        return rc;
      *oldest = wal->segments[--wal->segment_count];
    }
  return *oldest > 0 ? reopen_last (wal) : 0;
}

int
ab_wal_truncate (struct ab_wal *wal, uint64_t first_index)
{
  uint64_t oldest;
  int rc;

  if (first_index >= ab_wal_next_index (wal))
    return 0;
  if (first_index < wal->first_index)
    return AB_ERR_INVALID;
  rc = remove_segments_from (wal, first_index, &oldest);
  if (rc < 0)
    return rc;
  if (oldest == first_index)
    /* The truncation is at a segment boundary: the segment before it stays
       complete.  */
    rc = wal->files->ops->size (wal->files, wal->file, &wal->size);
  else
    {
      wal->size = wal->positions[first_index - wal->first_index].offset;
      rc = wal->files->ops->truncate (wal->files, wal->file, wal->size);
    }
  /* Sync at once: records written over the old ones must never be followed by
     old ones that are still valid.  */
  if (rc == 0)
    rc = wal->files->ops->sync (wal->files, wal->file);
  wal->durable_bytes = wal->size;
  wal->dirty = false;
  wal->position_count = (size_t)(first_index - wal->first_index);
  return rc < 0 ? AB_ERR_IO : 0;
}

int
ab_wal_drop_covered (struct ab_wal *wal, uint64_t index, uint64_t term)
{
  size_t drop = 0;
  size_t dropped;

  if (index < wal->first_index || index >= ab_wal_next_index (wal)
      || wal->positions[index - wal->first_index].term != term)
    return 0;
  while (drop + 1 < wal->segment_count && wal->segments[drop + 1] <= index + 1)
    {
      int rc = ab_wal_remove_segment (wal, wal->segments[drop]);
      if (rc < 0)
        return rc;
      drop++;
    }
  if (drop == 0)
    return 0;
  dropped = (size_t)(wal->segments[drop] - wal->first_index);
  wal->base_term = wal->positions[dropped - 1].term;
  wal->first_index = wal->segments[drop];
  wal->position_count -= dropped;
  memmove (wal->positions, wal->positions + dropped,
           wal->position_count * sizeof *wal->positions);
  wal->segment_count -= drop;
  memmove (wal->segments, wal->segments + drop,
           wal->segment_count * sizeof *wal->segments);
  return 0;
}

int
ab_wal_reset (struct ab_wal *wal, uint64_t next_index, uint64_t previous_term)
{
  uint64_t oldest;
  int rc;

  /* Remove the newest segments first, and the oldest one only after the new
     one exists.  At any moment there is either the start of the old log, which
     shows that the snapshot replaced it, or the new segment.  */
  while (wal->segment_count > 1)
    {
      rc = ab_wal_remove_segment (wal, wal->segments[wal->segment_count - 1]);
      if (rc < 0)
        return rc;
      wal->segment_count--;
    }
  oldest = wal->segments[0];
  wal->segment_count = 0;
  rc = ab_wal_create_segment (wal, next_index, previous_term);
  if (rc == 0 && oldest != next_index)
    rc = ab_wal_remove_segment (wal, oldest);
  wal->first_index = next_index;
  wal->base_term = previous_term;
  wal->position_count = 0;
  wal->dirty = false;
  return rc;
}
