#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "wal_internal.h"

#define NAME_PREFIX "wal-"
#define NAME_SUFFIX ".log"

/* State of one scan of the segment files, to open a log.  */
struct scan
{
  struct ab_wal *wal;
  struct ab_wal_content *content;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  uint64_t *found; /* First indexes of all segments found, ascending.  */
  size_t found_count;
  size_t first_needed; /* Position in FOUND of the first segment needed.  */
  bool replaced;       /* The snapshot replaced this log.  */
  uint64_t valid_size; /* Bytes of the last segment before a torn end.  */
  char *error;
};

static int
report_corruption (struct scan *scan, uint64_t segment, size_t offset,
                   const char *what)
{
  char path[PATH_MAX];

  ab_wal_path (scan->wal, segment, path);
  snprintf (scan->error, AB_CONF_ERROR_BYTES, "%.300s: offset %zu: %s", path,
            offset, what);
  return AB_ERR_CORRUPT;
}

static bool
parse_segment_name (const char *name, uint64_t *first_index)
{
  struct ab_chunk text = ab_chunk_str (name);
  size_t prefix = sizeof NAME_PREFIX - 1;
  size_t suffix = sizeof NAME_SUFFIX - 1;
  unsigned long long value;

  if (text.len <= prefix + suffix || memcmp (name, NAME_PREFIX, prefix) != 0
      || strcmp (name + text.len - suffix, NAME_SUFFIX) != 0
      || !ab_chunk_to_u64 (
          ab_chunk (name + prefix, text.len - prefix - suffix), &value))
    return false;
  *first_index = value;
  return true;
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

static int
find_segments (struct scan *scan)
{
  struct ab_files *files = scan->wal->files;
  struct ab_buf names = AB_BUF_INIT;
  size_t count = 0;
  int rc = files->ops->list (files, scan->wal->folder, &names);

  if (rc < 0)
    goto out;
  for (size_t i = 0; i < names.len; i++)
    count += names.data[i] == '\0';
  scan->found = calloc (count + 1, sizeof *scan->found);
  if (!scan->found)
    {
      rc = AB_ERR_MEMORY;
      goto out;
    }
  for (size_t at = 0; at < names.len; at += strlen (names.data + at) + 1)
    if (parse_segment_name (names.data + at, &scan->found[scan->found_count]))
      scan->found_count++;
  qsort (scan->found, scan->found_count, sizeof *scan->found, compare_u64);
out:
  ab_buf_free (&names);
  return rc;
}

static int
read_segment (struct scan *scan, uint64_t first_index, struct ab_buf *data)
{
  char path[PATH_MAX];
  int rc;

  ab_wal_path (scan->wal, first_index, path);
  rc = ab_file_read_all (scan->wal->files, path, AB_WAL_SEGMENT_BYTES_MAX,
                         data);
  if (rc < 0)
    snprintf (scan->error, AB_CONF_ERROR_BYTES, "%.300s: cannot read: %s",
              path, ab_strerror (rc));
  return rc;
}

/* Removes the last segment if its creation was interrupted: the header is
   synced before any record is written.  */
static int
drop_incomplete_segment (struct scan *scan, bool create)
{
  uint64_t last = scan->found[scan->found_count - 1];
  struct ab_buf data = AB_BUF_INIT;
  struct ab_wal_header header;
  int rc = read_segment (scan, last, &data);

  if (rc == 0 && ab_wal_header_decode (ab_buf_chunk (&data), &header) < 0)
    {
      if (data.len > AB_WAL_HEADER_BYTES
          || (scan->found_count == 1 && !create))
        rc = report_corruption (scan, last, 0,
                                "the segment's header is damaged");
      else
        rc = ab_wal_remove_segment (scan->wal, last);
      scan->found_count--;
    }
  ab_buf_free (&data);
  return rc;
}

/* Whether a record after OFFSET shows that the bytes at OFFSET were durable
   when it was written.  Then the bytes at OFFSET are damaged, and this is not
   a torn write.  */
static bool
was_durable (struct ab_chunk data, size_t offset)
{
  for (size_t at = offset + 1; at + AB_WAL_RECORD_BYTES <= data.len; at++)
    {
      struct ab_wal_record record;
      uint64_t durable = ab_get_u64 (data.data + at + 24);
      if (durable > offset && durable <= at
          && ab_wal_record_decode (data, at, &record) == 0)
        return true;
    }
  return false;
}

static int
add_entry (struct ab_wal_content *content, const struct ab_raft_entry *entry)
{
  if (content->count == content->cap)
    {
      size_t cap = content->cap ? content->cap * 2 : 1024;
      struct ab_raft_entry *entries
          = realloc (content->entries, cap * sizeof *entries);
      if (!entries)
        return AB_ERR_MEMORY;
      content->entries = entries;
      content->cap = cap;
    }
  content->entries[content->count++] = *entry;
  return 0;
}

static int
add_record (struct scan *scan, uint64_t segment, size_t offset,
            const struct ab_wal_record *record)
{
  const struct ab_raft_entry *entry = &record->entry;
  int rc;

  if (entry->index != ab_wal_next_index (scan->wal)
      || entry->term < ab_wal_last_term (scan->wal))
    return report_corruption (scan, segment, offset,
                              "the record is out of sequence");
  if (entry->index == scan->snapshot_index
      && entry->term != scan->snapshot_term)
    scan->replaced = true;
  rc = ab_wal_add_position (scan->wal, offset, entry->term);
  if (rc == 0 && entry->index > scan->snapshot_index)
    rc = add_entry (scan->content, entry);
  return rc;
}

static int
scan_records (struct scan *scan, uint64_t segment, bool last,
              struct ab_chunk data)
{
  size_t offset = AB_WAL_HEADER_BYTES;
  int rc = 0;

  while (offset < data.len && rc == 0)
    {
      struct ab_wal_record record;
      if (ab_wal_record_decode (data, offset, &record) < 0)
        {
          if (!last || was_durable (data, offset))
            return report_corruption (scan, segment, offset,
                                      "the record is damaged");
          break;
        }
      rc = add_record (scan, segment, offset, &record);
      offset += record.bytes;
    }
  scan->valid_size = offset;
  return rc;
}

static int
scan_segment (struct scan *scan, size_t i)
{
  uint64_t segment = scan->found[i];
  struct ab_buf *data = &scan->content->buffers[scan->content->buffer_count];
  struct ab_wal_header header;
  int rc = read_segment (scan, segment, data);

  if (rc < 0)
    return rc;
  scan->content->buffer_count++;
  if (ab_wal_header_decode (ab_buf_chunk (data), &header) < 0
      || header.first_index != segment)
    return report_corruption (scan, segment, 0,
                              "the segment's header is damaged");
  if (i == scan->first_needed)
    {
      scan->wal->first_index = segment;
      scan->wal->base_term = header.previous_term;
      if (segment == scan->snapshot_index + 1
          && header.previous_term != scan->snapshot_term)
        scan->replaced = true;
    }
  else if (segment != ab_wal_next_index (scan->wal)
           || header.previous_term != ab_wal_last_term (scan->wal))
    return report_corruption (scan, segment, 0,
                              "the segment does not follow the one before");
  return scan_records (scan, segment, i + 1 == scan->found_count,
                       ab_buf_chunk (data));
}

static int
scan_segments (struct scan *scan)
{
  int rc = 0;

  while (scan->first_needed + 1 < scan->found_count
         && scan->found[scan->first_needed + 1] <= scan->snapshot_index + 1)
    scan->first_needed++;
  if (scan->found[scan->first_needed] > scan->snapshot_index + 1)
    return report_corruption (
        scan, scan->found[scan->first_needed], 0,
        "entries between the snapshot and this segment are "
        "missing");
  scan->content->buffers
      = calloc (scan->found_count, sizeof *scan->content->buffers);
  if (!scan->content->buffers)
    return AB_ERR_MEMORY;
  for (size_t i = scan->first_needed; i < scan->found_count && rc == 0; i++)
    rc = scan_segment (scan, i);
  /* The log ends before the snapshot: the snapshot came from a leader, and the
     process stopped before the log was reset.  */
  if (rc == 0 && ab_wal_next_index (scan->wal) <= scan->snapshot_index)
    scan->replaced = true;
  return rc;
}

static int
reset_replaced_log (struct scan *scan)
{
  int rc = 0;

  ab_wal_content_free (scan->content);
  scan->wal->segment_count = 0;
  for (size_t i = 0; i < scan->found_count && rc == 0; i++)
    rc = ab_wal_add_segment (scan->wal, scan->found[i]);
  return rc < 0 ? rc
                : ab_wal_reset (scan->wal, scan->snapshot_index + 1,
                                scan->snapshot_term);
}

/* Removes the segments that the snapshot covers, opens the last segment and
   cuts off its torn end.  */
static int
open_for_append (struct scan *scan)
{
  struct ab_wal *wal = scan->wal;
  char path[PATH_MAX];
  int rc = 0;

  for (size_t i = 0; i < scan->first_needed && rc == 0; i++)
    rc = ab_wal_remove_segment (wal, scan->found[i]);
  for (size_t i = scan->first_needed; i < scan->found_count && rc == 0; i++)
    rc = ab_wal_add_segment (wal, scan->found[i]);
  if (rc < 0)
    return rc;
  ab_wal_path (wal, scan->found[scan->found_count - 1], path);
  wal->file = wal->files->ops->open (wal->files, path, false);
  if (wal->file < 0)
    return AB_ERR_IO;
  wal->size = scan->valid_size;
  wal->durable_bytes = scan->valid_size;
  rc = wal->files->ops->truncate (wal->files, wal->file, wal->size);
  /* Records that were complete but not synced before a crash count as durable
     from here on.  */
  if (rc == 0)
    rc = wal->files->ops->sync (wal->files, wal->file);
  return rc < 0 ? AB_ERR_IO : 0;
}

static int
scan_log (struct scan *scan, bool create)
{
  int rc = find_segments (scan);

  if (rc == 0 && scan->found_count > 0)
    rc = drop_incomplete_segment (scan, create);
  if (rc < 0)
    return rc;
  if (scan->found_count == 0)
    {
      if (!create)
        return report_corruption (scan, scan->snapshot_index + 1, 0,
                                  "the log has no segment");
      scan->wal->first_index = scan->snapshot_index + 1;
      scan->wal->base_term = scan->snapshot_term;
      return ab_wal_create_segment (scan->wal, scan->wal->first_index,
                                    scan->wal->base_term);
    }
  rc = scan_segments (scan);
  if (rc < 0)
    return rc;
  return scan->replaced ? reset_replaced_log (scan) : open_for_append (scan);
}

int
ab_wal_open (const struct ab_wal_options *options, struct ab_wal **wal,
             struct ab_wal_content *content, char error[AB_CONF_ERROR_BYTES])
{
  struct scan scan = { .content = content,
                       .snapshot_index = options->snapshot_index,
                       .snapshot_term = options->snapshot_term,
                       .error = error };
  int rc;

  memset (content, 0, sizeof *content);
  error[0] = '\0';
  scan.wal = calloc (1, sizeof *scan.wal);
  if (!scan.wal)
    return AB_ERR_MEMORY;
  scan.wal->files = options->files;
  scan.wal->segment_bytes = options->segment_bytes;
  scan.wal->file = -1;
  if (ab_chunk_copy (ab_chunk_str (options->folder), scan.wal->folder,
                     sizeof scan.wal->folder - 64))
    rc = scan_log (&scan, options->create);
  else
    rc = AB_ERR_TOO_LARGE;
  free (scan.found);
  if (rc < 0)
    {
      if (error[0] == '\0')
        snprintf (error, AB_CONF_ERROR_BYTES, "%.300s: %s", options->folder,
                  ab_strerror (rc));
      ab_wal_content_free (content);
      ab_wal_close (scan.wal);
      return rc;
    }
  *wal = scan.wal;
  return 0;
}

void
ab_wal_content_free (struct ab_wal_content *content)
{
  for (size_t i = 0; i < content->buffer_count; i++)
    ab_buf_free (&content->buffers[i]);
  free (content->buffers);
  free (content->entries);
  memset (content, 0, sizeof *content);
}
