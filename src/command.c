#include "command.h"

#include <stdlib.h>

#include "error.h"

#define FIELDS_MAX 32
#define HEADER_FIELDS 6
#define REPLY_FIELDS 12
#define SIGNED_BUNDLE_BYTES_MAX (AB_BUNDLE_BYTES_MAX + 1024)

static void
pack_str (struct ab_buf *out, const char *s)
{
  ab_pack_bytes (out, ab_chunk_str (s));
}

static void
pack_bundle (const struct ab_command *command, struct ab_buf *out)
{
  ab_pack_array (out, 4);
  pack_str (out, command->operator_name);
  ab_pack_bytes (out, command->bundle);
  ab_pack_u64 (out, command->retention_ms);
  ab_pack_array (out, command->floor_count);
  for (size_t i = 0; i < command->floor_count; i++)
    {
      ab_pack_array (out, 2);
      pack_str (out, command->floors[i].service);
      ab_pack_double (out, command->floors[i].floor);
    }
}

static void
pack_ledger (const struct ab_command *command, struct ab_buf *out)
{
  ab_pack_array (out, 5);
  ab_ledger_key_pack (&command->key, out);
  ab_pack_bytes (
      out, ab_chunk (command->content.bytes, sizeof command->content.bytes));
  ab_pack_u64 (out, command->attempt);
  ab_pack_u64 (out, command->token);
  ab_pack_bytes (out, command->response);
}

static void
pack_permit (const struct ab_command *command, struct ab_buf *out)
{
  ab_pack_array (out, 3);
  pack_str (out, command->service);
  ab_pack_u64 (out, command->sequence);
  ab_pack_u64 (out, command->count);
}

static void
pack_member (const struct ab_command *command, struct ab_buf *out)
{
  ab_pack_array (out, 3);
  pack_str (out, command->action);
  pack_str (out, command->member);
  pack_str (out, command->address);
}

int
ab_command_encode (const struct ab_command *command, struct ab_buf *out)
{
  ab_pack_array (out, HEADER_FIELDS);
  ab_pack_u64 (out, command->type);
  ab_pack_u64 (out, command->time_ms);
  pack_str (out, command->host);
  ab_pack_u64 (out, command->incarnation);
  ab_pack_u64 (out, command->request);
  switch (command->type)
    {
    case AB_COMMAND_BUNDLE:
      pack_bundle (command, out);
      break;
    case AB_COMMAND_PERMIT_SET:
    case AB_COMMAND_CAPACITY:
    case AB_COMMAND_HOST_SEEN:
    case AB_COMMAND_HOST_REMOVE:
      pack_permit (command, out);
      break;
    case AB_COMMAND_MEMBER:
      pack_member (command, out);
      break;
    default:
      pack_ledger (command, out);
    }
  return out->error;
}

static int
read_floors (struct ab_reader *reader, struct ab_command *command)
{
  size_t count = ab_reader_enter (reader, AB_SERVICES_MAX);

  if (count == 0)
    return 0;
  command->floors = calloc (count, sizeof *command->floors);
  if (!command->floors)
    return AB_ERR_MEMORY;
  command->floor_count = count;
  for (size_t i = 0; i < count; i++)
    {
      ab_reader_enter (reader, FIELDS_MAX);
      ab_reader_str (reader, command->floors[i].service,
                     sizeof command->floors[i].service);
      command->floors[i].floor = ab_reader_double (reader);
      ab_reader_leave (reader);
    }
  return 0;
}

static int
read_bundle (struct ab_reader *reader, struct ab_command *command)
{
  ab_reader_str (reader, command->operator_name,
                 sizeof command->operator_name);
  command->bundle = ab_reader_bytes (reader, SIGNED_BUNDLE_BYTES_MAX);
  command->retention_ms = ab_reader_u64 (reader);
  return read_floors (reader, command);
}

static void
read_ledger (struct ab_reader *reader, struct ab_command *command)
{
  ab_ledger_key_read (reader, &command->key);
  ab_reader_fixed_bytes (reader, command->content.bytes,
                         sizeof command->content.bytes);
  command->attempt = ab_reader_u64 (reader);
  command->token = ab_reader_u64 (reader);
  command->response = ab_reader_bytes (reader, AB_RECORDED_ENCODED_MAX);
}

static void
read_permit (struct ab_reader *reader, struct ab_command *command)
{
  ab_reader_str (reader, command->service, sizeof command->service);
  command->sequence = ab_reader_u64 (reader);
  command->count = ab_reader_u64 (reader);
}

static void
read_member (struct ab_reader *reader, struct ab_command *command)
{
  ab_reader_str (reader, command->action, sizeof command->action);
  ab_reader_str (reader, command->member, sizeof command->member);
  ab_reader_str (reader, command->address, sizeof command->address);
}

static int
read_body (struct ab_reader *reader, struct ab_command *command)
{
  ab_reader_enter (reader, FIELDS_MAX);
  switch (command->type)
    {
    case AB_COMMAND_BUNDLE:
      return read_bundle (reader, command);
    case AB_COMMAND_PERMIT_SET:
    case AB_COMMAND_CAPACITY:
    case AB_COMMAND_HOST_SEEN:
    case AB_COMMAND_HOST_REMOVE:
      read_permit (reader, command);
      return 0;
    case AB_COMMAND_MEMBER:
      read_member (reader, command);
      return 0;
    default:
      read_ledger (reader, command);
      return 0;
    }
}

int
ab_command_decode (struct ab_chunk input, struct ab_command *command)
{
  struct ab_reader reader;
  uint64_t type = 0;
  int rc;

  memset (command, 0, sizeof *command);
  rc = ab_reader_init (&reader, input);
  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, FIELDS_MAX);
  type = ab_reader_u64 (&reader);
  command->time_ms = ab_reader_u64 (&reader);
  ab_reader_str (&reader, command->host, sizeof command->host);
  command->incarnation = ab_reader_u64 (&reader);
  command->request = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  if (rc == 0 && (type == 0 || type >= AB_COMMAND_TYPE_COUNT))
    rc = AB_ERR_VERSION;
  if (rc < 0)
    goto out;
  command->type = (enum ab_command_type)type;
  rc = read_body (&reader, command);
  if (rc == 0)
    rc = ab_reader_error (&reader);
out:
  ab_reader_free (&reader);
  return rc;
}

void
ab_command_free (struct ab_command *command)
{
  free (command->floors);
  command->floors = NULL;
}

int
ab_command_set_bundle_parameters (struct ab_command *command,
                                  const struct ab_bundle *bundle)
{
  size_t count = ab_bundle_service_count (bundle);

  free (command->floors);
  command->floors = calloc (count + 1, sizeof *command->floors);
  if (!command->floors)
    return AB_ERR_MEMORY;
  command->floor_count = count;
  command->retention_ms = ab_bundle_retention_ms (bundle);
  for (size_t i = 0; i < count; i++)
    {
      const struct ab_service *service = ab_bundle_service (bundle, i);
      memcpy (command->floors[i].service, service->name,
              sizeof command->floors[i].service);
      command->floors[i].floor = service->floor;
    }
  return 0;
}

int
ab_control_reply_encode (const struct ab_control_reply *reply,
                         struct ab_buf *out)
{
  ab_pack_array (out, REPLY_FIELDS);
  ab_pack_u64 (out, reply->request);
  ab_pack_u64 (out, reply->incarnation);
  ab_pack_i64 (out, reply->rc);
  pack_str (out, reply->leader);
  pack_str (out, reply->leader_address);
  ab_ledger_key_pack (&reply->key, out);
  ab_pack_u64 (out, reply->status);
  ab_pack_u64 (out, reply->token);
  ab_pack_u64 (out, reply->held);
  ab_pack_bytes (out, reply->holder);
  ab_pack_bytes (out, reply->response);
  ab_pack_bytes (out, reply->message);
  return out->error;
}

int
ab_control_reply_decode (struct ab_chunk input, struct ab_control_reply *reply)
{
  struct ab_reader reader;
  uint64_t status;
  int rc;

  memset (reply, 0, sizeof *reply);
  rc = ab_reader_init (&reader, input);
  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, FIELDS_MAX);
  reply->request = ab_reader_u64 (&reader);
  reply->incarnation = ab_reader_u64 (&reader);
  reply->rc = (int)ab_reader_i64 (&reader);
  ab_reader_str (&reader, reply->leader, sizeof reply->leader);
  ab_reader_str (&reader, reply->leader_address, sizeof reply->leader_address);
  ab_ledger_key_read (&reader, &reply->key);
  status = ab_reader_u64 (&reader);
  reply->token = ab_reader_u64 (&reader);
  reply->held = ab_reader_u64 (&reader);
  reply->holder = ab_reader_bytes (&reader, AB_NAME_BYTES);
  reply->response = ab_reader_bytes (&reader, AB_RECORDED_ENCODED_MAX);
  reply->message = ab_reader_bytes (&reader, AB_CONTROL_MESSAGE_BYTES);
  rc = ab_reader_error (&reader);
  if (rc == 0 && status >= AB_LEDGER_STATUS_COUNT)
    rc = AB_ERR_CORRUPT;
  if (rc == 0)
    reply->status = (enum ab_ledger_status)status;
out:
  ab_reader_free (&reader);
  return rc;
}
