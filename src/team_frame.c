#include "team_frame.h"

#include "error.h"

#define FIELDS_MAX 16
/* Longest time in a message; longer ones are corrupt.  */
#define TIME_MAX_MS (24 * 3600 * 1000)
#define DEMAND_MAX 1e9

/* Ends READER; returns AB_ERR_CORRUPT unless all was read and is VALID.  */
static int
end (struct ab_reader *reader, bool valid)
{
  int rc = ab_reader_error (reader);

  ab_reader_free (reader);
  return rc == 0 && valid ? 0 : AB_ERR_CORRUPT;
}

void
ab_team_pack_ask (struct ab_buf *out, const struct ab_team_ask *ask)
{
  ab_pack_array (out, 3);
  ab_pack_u64 (out, ask->id);
  ab_pack_bytes (out, ab_chunk_str (ask->team));
  ab_pack_u64 (out, ask->count);
}

int
ab_team_read_ask (struct ab_chunk body, struct ab_team_ask *ask)
{
  struct ab_reader reader;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  ab_reader_enter (&reader, FIELDS_MAX);
  ask->id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, ask->team, sizeof ask->team);
  ask->count = ab_reader_u64 (&reader);
  return end (&reader, ask->count > 0 && ask->count <= AB_TEAM_TOKENS_MAX);
}

static void
pack_answer (struct ab_buf *out, const struct ab_team_reply *reply)
{
  ab_pack_u64 (out, reply->id);
  ab_pack_u64 (out, reply->status);
  ab_pack_u64 (out, reply->answer.granted);
  ab_pack_u64 (out, reply->answer.retry_ms);
  ab_pack_u64 (out, reply->answer.grantor);
  ab_pack_u64 (out, reply->answer.stamp_ms);
}

/* Returns whether the values are possible.  */
static bool
read_answer (struct ab_reader *reader, struct ab_team_reply *reply)
{
  uint64_t status;

  reply->id = ab_reader_u64 (reader);
  status = ab_reader_u64 (reader);
  reply->status = status <= AB_TEAM_UNKNOWN ? (enum ab_team_status)status
                                            : AB_TEAM_UNKNOWN;
  reply->answer.granted = ab_reader_u64 (reader);
  reply->answer.retry_ms = ab_reader_u64 (reader);
  reply->answer.grantor = ab_reader_u64 (reader);
  reply->answer.stamp_ms = ab_reader_u64 (reader);
  return reply->answer.granted <= AB_TEAM_TOKENS_MAX
         && reply->answer.retry_ms <= TIME_MAX_MS;
}

void
ab_team_pack_reply (struct ab_buf *out, const struct ab_team_reply *reply)
{
  ab_pack_array (out, 6);
  pack_answer (out, reply);
}

int
ab_team_read_reply (struct ab_chunk body, struct ab_team_reply *reply)
{
  struct ab_reader reader;
  bool valid;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  ab_reader_enter (&reader, FIELDS_MAX);
  valid = read_answer (&reader, reply);
  return end (&reader, valid);
}

static void
pack_contact (struct ab_buf *out, const struct ab_team_contact *contact)
{
  ab_pack_bool (out, contact->confirmed);
  ab_pack_u64 (out, contact->confirmed ? contact->age_ms : 0);
  ab_pack_u64 (out, contact->index);
}

static void
read_contact (struct ab_reader *reader, struct ab_team_contact *contact)
{
  contact->confirmed = ab_reader_bool (reader);
  contact->age_ms = ab_reader_u64 (reader);
  contact->index = ab_reader_u64 (reader);
}

void
ab_team_pack_pool_reply (struct ab_buf *out,
                         const struct ab_team_pool_reply *reply)
{
  ab_pack_array (out, 9);
  pack_answer (out, &reply->reply);
  pack_contact (out, &reply->contact);
}

int
ab_team_read_pool_reply (struct ab_chunk body,
                         struct ab_team_pool_reply *reply)
{
  struct ab_reader reader;
  bool valid;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  ab_reader_enter (&reader, FIELDS_MAX);
  valid = read_answer (&reader, &reply->reply);
  read_contact (&reader, &reply->contact);
  return end (&reader, valid);
}

void
ab_team_pack_return (struct ab_buf *out, const struct ab_team_return *returned)
{
  ab_pack_array (out, 4);
  ab_pack_bytes (out, ab_chunk_str (returned->team));
  ab_pack_u64 (out, returned->count);
  ab_pack_u64 (out, returned->grantor);
  ab_pack_u64 (out, returned->stamp_ms);
}

int
ab_team_read_return (struct ab_chunk body, struct ab_team_return *returned)
{
  struct ab_reader reader;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  ab_reader_enter (&reader, FIELDS_MAX);
  ab_reader_str (&reader, returned->team, sizeof returned->team);
  returned->count = ab_reader_u64 (&reader);
  returned->grantor = ab_reader_u64 (&reader);
  returned->stamp_ms = ab_reader_u64 (&reader);
  return end (&reader, returned->count <= AB_TEAM_TOKENS_MAX);
}

void
ab_team_pack_demands (struct ab_buf *out,
                      const struct ab_team_demands *demands)
{
  ab_pack_array (out, 2 + 3 * demands->count);
  ab_pack_u64 (out, demands->number);
  ab_pack_u64 (out, demands->life);
  for (size_t i = 0; i < demands->count; i++)
    {
      ab_pack_bytes (out, ab_chunk_str (demands->list[i].team));
      ab_pack_double (out, demands->list[i].demand);
      ab_pack_double (out, demands->list[i].held);
    }
}

int
ab_team_read_demands (struct ab_chunk body, struct ab_team_demands *demands)
{
  struct ab_reader reader;
  bool valid = true;
  size_t items;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  items = ab_reader_enter (&reader, 2 + 3 * (size_t)AB_TEAM_DEMANDS_MAX);
  demands->number = ab_reader_u64 (&reader);
  demands->life = ab_reader_u64 (&reader);
  demands->count = items > 2 ? (items - 2) / 3 : 0;
  for (size_t i = 0; i < demands->count; i++)
    {
      struct ab_team_demand *demand = &demands->list[i];

      ab_reader_str (&reader, demand->team, sizeof demand->team);
      demand->demand = ab_reader_double (&reader);
      demand->held = ab_reader_double (&reader);
      valid = valid && demand->demand >= 0 && demand->demand <= DEMAND_MAX
              && demand->held >= 0 && demand->held <= 1;
    }
  return end (&reader, valid);
}

void
ab_team_pack_grants (struct ab_buf *out, const struct ab_team_grants *grants)
{
  ab_pack_array (out, 4 + 3 * grants->count);
  ab_pack_u64 (out, grants->number);
  pack_contact (out, &grants->contact);
  for (size_t i = 0; i < grants->count; i++)
    {
      ab_pack_bytes (out, ab_chunk_str (grants->list[i].team));
      ab_pack_double (out, grants->list[i].fraction);
      ab_pack_bool (out, grants->list[i].renewal);
    }
}

int
ab_team_read_grants (struct ab_chunk body, struct ab_team_grants *grants)
{
  struct ab_reader reader;
  bool valid = true;
  size_t items;

  if (ab_reader_init (&reader, body) < 0)
    return AB_ERR_CORRUPT;
  items = ab_reader_enter (&reader, 4 + 3 * (size_t)AB_TEAM_DEMANDS_MAX);
  grants->number = ab_reader_u64 (&reader);
  read_contact (&reader, &grants->contact);
  grants->count = items > 4 ? (items - 4) / 3 : 0;
  for (size_t i = 0; i < grants->count; i++)
    {
      struct ab_team_granted *granted = &grants->list[i];

      ab_reader_str (&reader, granted->team, sizeof granted->team);
      granted->fraction = ab_reader_double (&reader);
      granted->renewal = ab_reader_bool (&reader);
      valid = valid && granted->fraction >= 0 && granted->fraction <= 1;
    }
  return end (&reader, valid);
}
